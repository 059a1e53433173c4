//! The budget for probes, which ask targets for their load.

use crate::time::Time;

/// Fraction of the allowed rate that is used; the rest covers hosts that are not known as members
/// yet.
const USED_SHARE: f64 = 0.75;
/// Longest time in seconds for which unused budget accumulates.
const MAX_ACCUMULATED_S: f64 = 2.0;

/// Token bucket of one host for one pool; each probe takes one token.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    tokens: f64,
    /// Time of the last refill.
    at: Option<Time>,
}

impl ProbeBudget {
    /// Takes tokens for up to `wanted` probes and returns how many may be sent.
    ///
    /// At least `least` are granted even if that overdraws the bucket. `rate` is this host's share
    /// of the allowed probes per second.
    pub fn take(&mut self, now: Time, wanted: usize, least: usize, rate: f64) -> usize {
        let rate = rate * USED_SHARE;
        let capacity = rate * MAX_ACCUMULATED_S;
        let elapsed_s = self.at.map_or(MAX_ACCUMULATED_S, |at| now.since(at).as_secs_f64());
        self.tokens = (self.tokens + elapsed_s * rate).min(capacity);
        self.at = Some(now);
        let granted = (self.tokens.max(0.0) as usize).min(wanted).max(least);
        // The debt is bounded so that probes resume soon after a burst.
        self.tokens = (self.tokens - granted as f64).max(-capacity);
        granted
    }

    /// Returns whether the bucket is full again, as a new one is.
    pub fn is_idle(&self, now: Time) -> bool {
        // From the largest debt to the capacity.
        self.at.is_none_or(|at| now.since(at).as_secs_f64() >= 2.0 * MAX_ACCUMULATED_S)
    }
}
