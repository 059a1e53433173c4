//! Who is sent, who waits and who is refused when the best target at hand is full.
//!
//! A free slot is always taken. Without one, a request takes a place in a target's queue if it is
//! answered within its latency target there; urgent ones may take more places than others. What
//! would be late waits on the host for a free slot for a while, so that queues stay short for those
//! that can still be in time, and then takes a place behind them. What can't be answered before its
//! deadline is refused at once.

use super::forecast::TargetReport;
use std::time::Duration;

/// A request that wants a place at a target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Whether a kind of request to the same pool is less urgent, or all are equal.
    pub urgent: bool,
    /// Usual time to run the request.
    pub service_time: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time within which its answer has its full value, from its arrival.
    pub latency_target: Duration,
    /// Time since its arrival.
    pub held: Duration,
}

/// Limits of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRules {
    /// Places in a target's queue, as a part of its slots, for urgent requests that are in time.
    pub urgent_queue: f64,
    /// Places in a target's queue, as a part of its slots, for other requests that are in time.
    pub other_queue: f64,
    /// Places in a target's queue, as a part of its slots, for requests that will be late.
    pub late_queue: f64,
    /// How long a request waits on the host for a free slot, as a part of its latency target.
    pub max_hold: f64,
    /// Pause between two looks for a free slot.
    pub hold_interval: Duration,
    /// Largest part of the time left after which a refused caller is asked to return.
    pub retry_after_share: f64,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        AdmissionRules {
            urgent_queue: 0.7,
            other_queue: 0.35,
            late_queue: 0.35,
            max_hold: 0.3,
            hold_interval: Duration::from_millis(20),
            retry_after_share: 0.33,
        }
    }
}

/// Why a request is refused before it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRejectReason {
    /// It would not be answered before its deadline.
    TooLate,
    /// All targets that were asked are full.
    Full,
}

impl AdmissionRejectReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AdmissionRejectReason::TooLate => "too_late",
            AdmissionRejectReason::Full => "full",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It is sent to the target.
    Send,
    /// It waits on the host for this long and looks again.
    Hold(Duration),
    /// It is refused; the caller is asked to come back after the given time.
    Reject {
        /// Why.
        reason: AdmissionRejectReason,
        /// When to return.
        retry_after: Duration,
    },
}

/// Decides what becomes of a request whose best target reported `best` and is expected to answer in
/// `latency_factor` x the usual time. `random` in 0..1 spreads the returns of refused callers.
pub fn admit(
    request: &AdmissionRequest,
    best: &TargetReport,
    latency_factor: f64,
    random: f64,
    rules: &AdmissionRules,
) -> AdmissionDecision {
    if best.free_slots() > 0 {
        return AdmissionDecision::Send;
    }
    let refuse = |reason| {
        let part = rules.retry_after_share * (0.5 + 0.5 * random);
        AdmissionDecision::Reject { reason, retry_after: request.time_left.mul_f64(part) }
    };
    let expected = request.service_time.mul_f64(latency_factor);
    if expected > request.time_left {
        return refuse(AdmissionRejectReason::TooLate);
    }
    let has_place = |part: f64| f64::from(best.waiting) < part * f64::from(best.slots);
    let places = if request.urgent { rules.urgent_queue } else { rules.other_queue };
    let latency_target_left = request.latency_target.saturating_sub(request.held);
    if expected <= latency_target_left && has_place(places) {
        return AdmissionDecision::Send;
    }
    if request.held < request.latency_target.mul_f64(rules.max_hold) {
        return AdmissionDecision::Hold(rules.hold_interval);
    }
    if has_place(rules.late_queue) {
        AdmissionDecision::Send
    } else {
        refuse(AdmissionRejectReason::Full)
    }
}
