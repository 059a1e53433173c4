//! Metrics by cadence and a latency histogram for each tenant and class.

use anyhow::Context;
use cadence::{
    Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use geraniummux_core::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Largest recorded latency: ten minutes, the longest route timeout, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Counters and histograms of one host.
pub struct Telemetry {
    client: StatsdClient,
    /// Sorted by tenant and class.
    classes: Mutex<Vec<ClassEntry>>,
}

struct ClassEntry {
    tenant: Arc<str>,
    class: Arc<str>,
    outcomes: [u64; 3],
    delivered: u64,
    latency: Histogram<u64>,
}

/// What one tenant and class experienced since the host started.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// The tenant.
    pub tenant: Arc<str>,
    /// The class.
    pub class: Arc<str>,
    /// Requests that a target's handler answered, or whose stored response was repeated.
    pub served: u64,
    /// Responses whose last byte the caller's TCP acknowledged, of any outcome but `not-run`.
    pub delivered: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
}

impl Telemetry {
    /// Starts telemetry that sends StatsD metrics to `sink`, or nowhere.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub fn start(sink: Option<SocketAddr>) -> anyhow::Result<Self> {
        let client = match sink {
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0").context("opening the metrics socket")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket)?;
                StatsdClient::from_sink("geraniummux", QueuingMetricSink::from(sink))
            }
            None => StatsdClient::from_sink("geraniummux", NopMetricSink),
        };
        Ok(Telemetry { client, classes: Mutex::default() })
    }

    /// Records the end of a request. `delivered` tells whether its caller acknowledged the whole
    /// relayed response.
    pub fn record_request(
        &self,
        tenant: &Arc<str>,
        class: &Arc<str>,
        outcome: Outcome,
        delivered: bool,
        took: Duration,
    ) {
        let micros = (took.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS);
        self.client
            .count_with_tags("requests", 1)
            .with_tag("tenant", tenant)
            .with_tag("class", class)
            .with_tag("outcome", outcome.as_str())
            .with_tag("delivered", if delivered { "yes" } else { "no" })
            .send();
        self.client
            .time_with_tags("latency", took)
            .with_tag("tenant", tenant)
            .with_tag("class", class)
            .send();
        let mut classes = self.classes.lock().unwrap_or_else(|e| e.into_inner());
        let at = classes.binary_search_by(|e| (&*e.tenant, &*e.class).cmp(&(tenant, class)));
        let at = at.unwrap_or_else(|at| {
            classes.insert(at, ClassEntry::new(tenant.clone(), class.clone()));
            at
        });
        let entry = &mut classes[at];
        entry.outcomes[outcome_index(outcome)] += 1;
        entry.delivered += u64::from(delivered);
        entry.latency.saturating_record(micros);
    }

    /// Counts an event of the host itself.
    pub fn count_event(&self, name: &str) {
        // A metric that can't be sent is not worth failing for.
        let _ = self.client.incr(name);
    }

    /// Adds to a counter of the host itself.
    pub fn add_to_counter(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Returns what each tenant and class experienced, sorted by tenant and class.
    pub fn report(&self) -> Vec<ClassReport> {
        let classes = self.classes.lock().unwrap_or_else(|e| e.into_inner());
        classes.iter().map(ClassEntry::report).collect()
    }
}

const fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Served => 0,
        Outcome::NotRun => 1,
        Outcome::Unknown => 2,
    }
}

impl ClassEntry {
    fn new(tenant: Arc<str>, class: Arc<str>) -> Self {
        // The arguments are constants within the library's limits.
        let latency = Histogram::new_with_max(MAX_LATENCY_MICROS, 2).expect("valid bounds");
        ClassEntry { tenant, class, outcomes: [0; 3], delivered: 0, latency }
    }

    fn report(&self) -> ClassReport {
        ClassReport {
            tenant: self.tenant.clone(),
            class: self.class.clone(),
            served: self.outcomes[outcome_index(Outcome::Served)],
            delivered: self.delivered,
            not_run: self.outcomes[outcome_index(Outcome::NotRun)],
            unknown: self.outcomes[outcome_index(Outcome::Unknown)],
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
        }
    }
}
