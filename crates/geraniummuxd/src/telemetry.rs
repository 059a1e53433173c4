//! StatsD metrics, and counters and a latency histogram for each tenant and class.

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

/// Maximum recorded latency in microseconds: ten minutes, the longest possible route timeout.
const MAX_LATENCY_US: u64 = 600_000_000;

/// StatsD client, and statistics by tenant and class of one host.
pub struct Telemetry {
    client: StatsdClient,
    /// Sorted by tenant and class.
    classes: Mutex<Vec<ClassStats>>,
}

struct ClassStats {
    tenant: Arc<str>,
    class: Arc<str>,
    /// Number of requests by outcome, see [`outcome_index`].
    outcomes: [u64; 3],
    delivered: u64,
    latency: Histogram<u64>,
}

/// Outcomes and latencies of one tenant's requests of one class since the start of the process.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Name of the class.
    pub class: Arc<str>,
    /// Requests that a target executed and responded to, or whose stored response was replayed.
    pub served: u64,
    /// Responses whose last byte the caller's TCP acknowledged, of any outcome but `not-run`.
    pub delivered: u64,
    /// Requests that were not executed.
    pub not_run: u64,
    /// Requests that may or may not have been executed.
    pub unknown: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
}

impl Telemetry {
    /// Starts telemetry. StatsD metrics are sent to `sink`, or not at all if it is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
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

    /// Records a finished request. `delivered` is whether the caller's TCP acknowledged the whole
    /// relayed response, `latency` the time from the request to its end.
    pub fn record_request(
        &self,
        tenant: &Arc<str>,
        class: &Arc<str>,
        outcome: Outcome,
        delivered: bool,
        latency: Duration,
    ) {
        let latency_us = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        self.client
            .count_with_tags("requests", 1)
            .with_tag("tenant", tenant)
            .with_tag("class", class)
            .with_tag("outcome", outcome.as_str())
            .with_tag("delivered", if delivered { "yes" } else { "no" })
            .send();
        self.client
            .time_with_tags("latency", latency)
            .with_tag("tenant", tenant)
            .with_tag("class", class)
            .send();
        let mut classes = self.classes.lock().unwrap_or_else(|e| e.into_inner());
        let index = classes.binary_search_by(|e| (&*e.tenant, &*e.class).cmp(&(tenant, class)));
        let index = index.unwrap_or_else(|index| {
            classes.insert(index, ClassStats::new(tenant.clone(), class.clone()));
            index
        });
        let stats = &mut classes[index];
        stats.outcomes[outcome_index(outcome)] += 1;
        stats.delivered += u64::from(delivered);
        stats.latency.saturating_record(latency_us);
    }

    /// Increments the counter `name` of this host.
    pub fn count_event(&self, name: &str) {
        // A metric that can't be sent is dropped.
        let _ = self.client.incr(name);
    }

    /// Adds `amount` to the counter `name` of this host.
    pub fn add_to_counter(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Returns the statistics of all tenants and classes, sorted by tenant and class.
    pub fn report(&self) -> Vec<ClassReport> {
        let classes = self.classes.lock().unwrap_or_else(|e| e.into_inner());
        classes.iter().map(ClassStats::report).collect()
    }
}

const fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Served => 0,
        Outcome::NotRun => 1,
        Outcome::Unknown => 2,
    }
}

impl ClassStats {
    fn new(tenant: Arc<str>, class: Arc<str>) -> Self {
        // The bounds are constants within the library's limits.
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 2).expect("valid bounds");
        ClassStats { tenant, class, outcomes: [0; 3], delivered: 0, latency }
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
