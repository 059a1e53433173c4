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
pub struct Demand {
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
    pub hold: f64,
    /// Pause between two looks for a free slot.
    pub look_again: Duration,
    /// Largest part of the time left after which a refused caller is asked to return.
    pub return_part: f64,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        AdmissionRules {
            urgent_queue: 0.7,
            other_queue: 0.35,
            late_queue: 0.35,
            hold: 0.3,
            look_again: Duration::from_millis(20),
            return_part: 0.33,
        }
    }
}

/// Why a request is refused before it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It would not be answered before its deadline.
    TooLate,
    /// All targets that were asked are full.
    Full,
}

impl Refusal {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::TooLate => "too_late",
            Refusal::Full => "full",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to the target.
    Send,
    /// It waits on the host for this long and looks again.
    Hold(Duration),
    /// It is refused; the caller is asked to come back after the given time.
    Refuse {
        /// Why.
        why: Refusal,
        /// When to return.
        retry_after: Duration,
    },
}

/// Decides what becomes of a request whose best target reported `best` and is expected to answer in
/// `latency_factor` x the usual time. `random` in 0..1 spreads the returns of refused callers.
pub fn judge(
    demand: &Demand,
    best: &TargetReport,
    latency_factor: f64,
    random: f64,
    rules: &AdmissionRules,
) -> Verdict {
    if best.free() > 0 {
        return Verdict::Send;
    }
    let refuse = |why| {
        let part = rules.return_part * (0.5 + 0.5 * random);
        Verdict::Refuse { why, retry_after: demand.time_left.mul_f64(part) }
    };
    let expected = demand.service_time.mul_f64(latency_factor);
    if expected > demand.time_left {
        return refuse(Refusal::TooLate);
    }
    let has_place = |part: f64| f64::from(best.waiting) < part * f64::from(best.slots);
    let places = if demand.urgent { rules.urgent_queue } else { rules.other_queue };
    let latency_target_left = demand.latency_target.saturating_sub(demand.held);
    if expected <= latency_target_left && has_place(places) {
        return Verdict::Send;
    }
    if demand.held < demand.latency_target.mul_f64(rules.hold) {
        return Verdict::Hold(rules.look_again);
    }
    if has_place(rules.late_queue) { Verdict::Send } else { refuse(Refusal::Full) }
}
