//! Admission on a host that selects a target itself: whether a request is sent to the best target
//! found, held on the host, or rejected.
//!
//! A request is always sent if the target has a free slot. If it has none, the request is sent to
//! wait in the target's queue if it is expected to be answered within its latency target; urgent
//! requests may fill more of the queue than others. A request that would be late or finds the queue
//! full is first held on the host to wait for a free slot, so that queues stay short for requests
//! that can still be in time; after that it is sent to the queue too, up to a limit of its own. A
//! request that is not expected to be answered before its deadline is rejected at once.

use super::forecast::TargetReport;
use crate::time::scaled;
use std::time::Duration;

/// What an admission decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput {
    /// Whether some requests to the same pool are less urgent, or all are equally urgent.
    pub urgent: bool,
    /// Typical service time of the requests of its route, as a moving average.
    pub service_time: Duration,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Time from its arrival within which a response has its full value.
    pub latency_target: Duration,
    /// Time since the arrival of the request.
    pub elapsed: Duration,
}

/// Limits of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRules {
    /// Limit of a target's queue for urgent requests that are in time, as a fraction of its slots.
    pub urgent_queue_share: f64,
    /// Limit of a target's queue for other requests that are in time, as a fraction of its slots.
    pub other_queue_share: f64,
    /// Limit of a target's queue for requests that will be late, as a fraction of its slots.
    pub late_queue_share: f64,
    /// Time since the arrival of a request up to which it is held on the host for a free slot, as a
    /// fraction of its latency target.
    pub max_hold_share: f64,
    /// Interval at which the decision on a held request is repeated with a new target report.
    pub hold_interval: Duration,
    /// Maximum time after which a rejected caller is asked to retry, as a fraction of the time left
    /// until the deadline. The actual time is random, between half of the maximum and the maximum.
    pub retry_after_share: f64,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        AdmissionRules {
            urgent_queue_share: 0.7,
            other_queue_share: 0.35,
            late_queue_share: 0.35,
            max_hold_share: 0.3,
            hold_interval: Duration::from_millis(20),
            retry_after_share: 0.33,
        }
    }
}

/// Why a request is rejected before it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRejectReason {
    /// The expected latency at the best target exceeds the time left until the deadline.
    TooLate,
    /// The queue of the best target found is full for requests that will be late.
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

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Send it to the target.
    Send,
    /// Hold it on the host for this long, then select a target and decide again.
    Hold(Duration),
    /// Reject it and ask the caller to retry later.
    Reject {
        /// Why it is rejected.
        reason: AdmissionRejectReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Decides whether to send, hold or reject a request.
///
/// `best` is the report of the best target found, and `latency_factor` the expected latency there as
/// a multiple of the typical service time. `random` in 0..1 spreads the retries of rejected callers.
pub fn admit(
    input: &AdmissionInput,
    best: &TargetReport,
    latency_factor: f64,
    random: f64,
    rules: &AdmissionRules,
) -> AdmissionDecision {
    if best.free_slots() > 0 {
        return AdmissionDecision::Send;
    }
    let reject = |reason| {
        let share = rules.retry_after_share * (0.5 + 0.5 * random);
        AdmissionDecision::Reject { reason, retry_after: scaled(input.time_left, share) }
    };
    let expected = scaled(input.service_time, latency_factor);
    if expected > input.time_left {
        return reject(AdmissionRejectReason::TooLate);
    }
    let queue_has_room = |limit: f64| f64::from(best.waiting) < limit * f64::from(best.slots);
    let queue_share = if input.urgent { rules.urgent_queue_share } else { rules.other_queue_share };
    let latency_target_left = input.latency_target.saturating_sub(input.elapsed);
    if expected <= latency_target_left && queue_has_room(queue_share) {
        return AdmissionDecision::Send;
    }
    if input.elapsed < scaled(input.latency_target, rules.max_hold_share) {
        return AdmissionDecision::Hold(rules.hold_interval);
    }
    if queue_has_room(rules.late_queue_share) {
        AdmissionDecision::Send
    } else {
        reject(AdmissionRejectReason::Full)
    }
}
