//! How long a target is expected to take for one more request.

use serde::{Deserialize, Serialize};

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there at present, relative to usual; 1 means as usual.
    pub slowdown: f64,
}

impl TargetReport {
    /// Returns how many more requests it can start at once.
    pub fn free_slots(&self) -> u32 {
        if self.waiting > 0 { 0 } else { self.slots.saturating_sub(self.running) }
    }
}

/// Weights of a forecast.
#[derive(Clone, Copy, Debug)]
pub struct ForecastOptions {
    /// Part of the slots in use above which targets slow down.
    pub knee: f64,
    /// Slowdown above the knee, relative to usual.
    pub knee_slowdown: f64,
    /// Slowdown of a target that has just started, relative to usual.
    pub cold_slowdown: f64,
    /// Part of a reported slowdown that lasts until the request ends, 0 to 1.
    pub persistence: f64,
}

impl Default for ForecastOptions {
    fn default() -> Self {
        ForecastOptions { knee: 0.8, knee_slowdown: 1.7, cold_slowdown: 2.0, persistence: 1.0 }
    }
}

/// Returns the expected time to an answer as a multiple of the usual time to run the request.
pub fn latency_factor(report: &TargetReport, cold: bool, opts: &ForecastOptions) -> f64 {
    let slots = f64::from(report.slots.max(1));
    let mut slowdown = 1.0 + (report.slowdown - 1.0).max(-0.9) * opts.persistence;
    if (f64::from(report.running) + 1.0) / slots > opts.knee {
        slowdown *= opts.knee_slowdown;
    }
    if cold {
        slowdown *= opts.cold_slowdown;
    }
    let ahead = if report.free_slots() > 0 { 0.0 } else { f64::from(report.waiting) + 1.0 };
    slowdown * (1.0 + ahead / slots)
}
