//! Counters, gauges and latency histograms, served in the text format of Prometheus.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.9, 1.5, 2.5, 5.0];

/// All metrics of a host.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    team_requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    probes: IntCounterVec,
    connections: IntCounterVec,
    pipelined_requests: IntCounter,
    store_calls: IntCounterVec,
    peer_messages: IntCounterVec,
    slot_decisions: IntCounterVec,
    tokens: IntCounterVec,
    unknown_route_types: IntCounter,
    refused_figures: IntCounter,
    task_ends: IntCounterVec,
    state: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> anyhow::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(format!("geraniummux_{name}"), help), labels)
        };
        let buckets = LATENCY_BUCKETS.to_vec();
        let latency = HistogramOpts::new("geraniummux_request_seconds", "Time to the answer");
        let metrics = Metrics {
            registry: Registry::new(),
            requests: counter(
                "requests_total",
                "Requests by route and outcome",
                &["route", "outcome"],
            )?,
            team_requests: counter(
                "team_requests_total",
                "Requests by team and outcome",
                &["team", "outcome"],
            )?,
            latency: HistogramVec::new(latency.buckets(buckets), &["route"])?,
            attempts: counter(
                "sends_total",
                "Sends to targets by pool and result",
                &["pool", "result"],
            )?,
            probes: counter(
                "probes_total",
                "Health checks by pool and result",
                &["pool", "result"],
            )?,
            connections: counter("connections_total", "New connections by peer", &["kind"])?,
            pipelined_requests: IntCounter::new(
                "geraniummux_pipelined_requests_total",
                "Requests started before the response to the one before them was written",
            )?,
            store_calls: counter("store_calls_total", "Calls to the store", &["call", "result"])?,
            peer_messages: counter("peer_messages_total", "Messages to and from peers", &["kind"])?,
            slot_decisions: counter(
                "slot_decisions_total",
                "Decisions of schedulers by what became of them",
                &["result"],
            )?,
            tokens: counter(
                "allowance_tokens_total",
                "Tokens of teams' allowances by what this host did with them as an allocator",
                &["result"],
            )?,
            unknown_route_types: IntCounter::new(
                "geraniummux_unknown_route_types_total",
                "Routes of unknown types in new configurations",
            )?,
            refused_figures: IntCounter::new(
                "geraniummux_refused_figures_total",
                "Figures of targets and peers that can't be true",
            )?,
            task_ends: counter("task_ends_total", "Ends of tasks that have to run", &["task"])?,
            state: IntGaugeVec::new(Opts::new("geraniummux_state", "State of the host"), &["of"])?,
        };
        let all: [Box<dyn prometheus::core::Collector>; 15] = [
            Box::new(metrics.requests.clone()),
            Box::new(metrics.team_requests.clone()),
            Box::new(metrics.latency.clone()),
            Box::new(metrics.attempts.clone()),
            Box::new(metrics.probes.clone()),
            Box::new(metrics.connections.clone()),
            Box::new(metrics.pipelined_requests.clone()),
            Box::new(metrics.store_calls.clone()),
            Box::new(metrics.peer_messages.clone()),
            Box::new(metrics.slot_decisions.clone()),
            Box::new(metrics.tokens.clone()),
            Box::new(metrics.unknown_route_types.clone()),
            Box::new(metrics.refused_figures.clone()),
            Box::new(metrics.task_ends.clone()),
            Box::new(metrics.state.clone()),
        ];
        for metric in all {
            metrics.registry.register(metric)?;
        }
        Ok(metrics)
    }

    /// Records a finished caller's request, with its team if it belongs to one.
    pub fn request(&self, route: &str, team: Option<&str>, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[route, outcome]).inc();
        if let Some(team) = team {
            self.team_requests.with_label_values(&[team, outcome]).inc();
        }
        self.latency.with_label_values(&[route]).observe(took.as_secs_f64());
    }

    /// Records the end of an attempt at a target.
    pub fn attempt(&self, pool: &str, result: &str) {
        self.attempts.with_label_values(&[pool, result]).inc();
    }

    /// Records the end of a probe of a target.
    pub fn probe(&self, pool: &str, result: &str) {
        self.probes.with_label_values(&[pool, result]).inc();
    }

    /// Records a new connection: `kind` is the service that accepted it, or "target".
    pub fn connection(&self, kind: &str) {
        self.connections.with_label_values(&[kind]).inc();
    }

    /// Records a request that was started before the response to the one before it was written.
    pub fn pipelined_request(&self) {
        self.pipelined_requests.inc();
    }

    /// Records the end of a call to the store.
    pub fn store_call(&self, call: &str, result: &str) {
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Records a message to or from a peer: `kind` is "sent", "unsent", "received" or "refused".
    pub fn peer_message(&self, kind: &str) {
        self.peer_messages.with_label_values(&[kind]).inc();
    }

    /// Records what became of a decision of a scheduler.
    pub fn slot_decision(&self, result: &str) {
        self.slot_decisions.with_label_values(&[result]).inc();
    }

    /// Records what this host did with tokens of an allowance: "granted", "denied" or "returned".
    pub fn tokens(&self, result: &str, count: u32) {
        self.tokens.with_label_values(&[result]).inc_by(u64::from(count));
    }

    /// Records the end of a task that has to run.
    pub fn task_ended(&self, task: &str) {
        self.task_ends.with_label_values(&[task]).inc();
    }

    /// Records a figure of a target or a peer that was refused.
    pub fn refused_figure(&self) {
        self.refused_figures.inc();
    }

    /// Records routes of a new configuration whose type is unknown.
    pub fn unknown_route_type(&self, routes: usize) {
        self.unknown_route_types.inc_by(routes as u64);
    }

    /// Sets the gauge of the host's state that is labelled `name`.
    pub fn set_state(&self, name: &str, value: i64) {
        self.state.with_label_values(&[name]).set(value);
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
