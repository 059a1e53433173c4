//! Bounds of the figures that targets and peers state.
//!
//! A figure outside of them is none: it comes from a faulty target, or from a host that passes on what a faulty
//! target stated. Figures are checked where they are decoded; what decides by them must not rely on that alone,
//! and computes with [`scaled`](crate::time::scaled) and saturating sums.

use super::allowance::TeamTerms;
use super::demands::TargetDemand;
use super::forecast::TargetReport;
use super::scheduler::{SlotDecision, SlotRequest};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Largest number of slots of a target, which runs each request on a connection of its own.
pub const MAX_SLOTS: u32 = 65_535;
/// Largest number of requests that a target runs, or that wait there.
const MAX_REQUESTS: u32 = 1 << 20;
/// Service time of a target as a multiple of the normal one.
const SLOWDOWNS: RangeInclusive<f64> = 1e-3..=1e4;
/// Largest multiple of the typical service time that a request is expected to take.
const MAX_LATENCY_FACTOR: f64 = 1e9;
/// Highest limit of a target in requests per second.
const MAX_LIMIT_PER_S: f64 = 1e9;
/// Largest sum of the weights of faults that one message reports.
const MAX_FAULT_WEIGHT: f64 = 1e4;
/// Longest time for which a target stays cold.
pub const MAX_WARM_UP: Duration = Duration::from_secs(3_600);
/// Longest time of a request.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(24 * 3_600);

impl TargetReport {
    /// Returns whether the figures can be those of a target.
    pub fn is_plausible(&self) -> bool {
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.running <= MAX_REQUESTS
            && self.waiting <= MAX_REQUESTS
            && SLOWDOWNS.contains(&self.slowdown)
    }
}

impl TargetDemand {
    /// Returns whether the limit can be that of a target.
    pub fn is_plausible(&self) -> bool {
        self.limit_per_s.is_none_or(|l| (0.0..=MAX_LIMIT_PER_S).contains(&l))
    }
}

impl SlotRequest {
    /// Returns whether the figures can be those of a request.
    pub fn is_plausible(&self) -> bool {
        [self.service_time, self.time_left, self.latency_target_left]
            .iter()
            .all(|time| *time <= MAX_REQUEST_TIME)
    }
}

impl TeamTerms {
    /// Returns whether the figures can be those of a team.
    pub fn is_plausible(&self) -> bool {
        (0.0..=MAX_LIMIT_PER_S).contains(&f64::from(self.weight))
    }
}

impl SlotDecision {
    /// Returns whether the figures can be those of a decision.
    pub fn is_plausible(&self) -> bool {
        match self {
            SlotDecision::Grant { latency_factor, .. }
            | SlotDecision::Hedge { latency_factor, .. } => {
                (0.0..=MAX_LATENCY_FACTOR).contains(latency_factor)
            }
            SlotDecision::Reject { retry_after, .. } => *retry_after <= MAX_REQUEST_TIME,
            SlotDecision::Wait => true,
        }
    }
}

/// Returns whether the weight of reported faults is possible.
pub fn is_plausible_fault_weight(weight: f64) -> bool {
    (0.0..=MAX_FAULT_WEIGHT).contains(&weight)
}
