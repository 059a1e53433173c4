//! Forecasts how long a target takes to answer one more request, from its last load report.
//!
//! A forecast is a latency factor: the expected latency as a multiple of the typical service time
//! of the request.

use serde::{Deserialize, Serialize};

/// A target's report of its load.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// Requests that the target runs.
    pub running: u32,
    /// Requests that wait in the target's own queue.
    pub waiting: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Current service time as a multiple of the target's normal service time; 1 is normal speed.
    pub slowdown: f64,
}

impl TargetReport {
    /// Returns how many more requests the target can start immediately; zero while requests wait.
    pub fn free_slots(&self) -> u32 {
        if self.waiting > 0 { 0 } else { self.slots.saturating_sub(self.running) }
    }
}

/// Parameters of [`latency_factor`].
#[derive(Clone, Copy, Debug)]
pub struct ForecastOptions {
    /// Fraction of slots in use above which targets slow down.
    pub knee_utilization: f64,
    /// Factor on the service time above `knee_utilization`.
    pub knee_slowdown: f64,
    /// Factor on the service time of a target that is warming up.
    pub warm_up_slowdown: f64,
    /// Fraction of a reported slowdown that is assumed to last until the request ends, 0 to 1.
    pub slowdown_persistence: f64,
}

impl Default for ForecastOptions {
    fn default() -> Self {
        ForecastOptions {
            knee_utilization: 0.8,
            knee_slowdown: 1.7,
            warm_up_slowdown: 2.0,
            slowdown_persistence: 1.0,
        }
    }
}

/// Ratio of a target's slowdown to the latency factor with which a slot was granted there from which
/// another target is likely to be better, although it takes another decision.
const SLOWED_RATIO: f64 = 1.5;

/// Returns whether a target has become so slow since a slot was granted there with the latency factor
/// `granted` that the request is better sent elsewhere.
pub fn has_slowed(granted: f64, slowdown: f64) -> bool {
    slowdown > granted * SLOWED_RATIO
}

/// Expected latency of one more request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyForecast {
    /// Expected service time as a multiple of the typical one.
    pub slowdown: f64,
    /// Number of requests that end before a slot is free, divided by the slots that they leave.
    pub queue: f64,
}

impl LatencyForecast {
    /// Returns the expected latency of a request as a multiple of its typical service time.
    ///
    /// The requests before it in the queue take `others` times as long as it does, so that a short request
    /// waits for long behind long ones.
    pub fn latency_factor(&self, others: f64) -> f64 {
        self.slowdown * (1.0 + self.queue * others)
    }
}

/// Returns the expected latency of one more request as a multiple of its typical service time, at a target whose
/// requests take as long as this one.
///
/// The estimate includes the wait in the target's queue if all slots are taken.
pub fn latency_factor(report: &TargetReport, warming_up: bool, opts: &ForecastOptions) -> f64 {
    forecast(report, warming_up, opts).latency_factor(1.0)
}

/// Returns what to expect of one more request at a target.
pub fn forecast(
    report: &TargetReport,
    warming_up: bool,
    opts: &ForecastOptions,
) -> LatencyForecast {
    let slots = f64::from(report.slots.max(1));
    let mut slowdown = 1.0 + (report.slowdown - 1.0).max(-0.9) * opts.slowdown_persistence;
    if (f64::from(report.running) + 1.0) / slots > opts.knee_utilization {
        slowdown *= opts.knee_slowdown;
    }
    if warming_up {
        slowdown *= opts.warm_up_slowdown;
    }
    let queued = if report.free_slots() > 0 { 0.0 } else { f64::from(report.waiting) + 1.0 };
    LatencyForecast { slowdown, queue: queued / slots }
}
