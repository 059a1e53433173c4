//! The budget for asking targets for their load.

use crate::time::Time;

/// Part of the allowed rate that is used; the rest covers hosts that are not known yet.
const USE_SHARE: f64 = 0.75;
/// Time in seconds in which an unused budget is saved up.
const SAVED_S: f64 = 2.0;

/// Tokens of one host for one pool; a health check takes one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    tokens: f64,
    at: Option<Time>,
}

impl ProbeBudget {
    /// Returns how many of `wanted` health checks may be made, and at least `least`, which may
    /// overdraw the budget. `rate` is the host's part of the allowed checks a second.
    pub fn take(&mut self, now: Time, wanted: usize, least: usize, rate: f64) -> usize {
        let rate = rate * USE_SHARE;
        let most = rate * SAVED_S;
        let passed = self.at.map_or(SAVED_S, |at| now.since(at).as_secs_f64());
        self.tokens = (self.tokens + passed * rate).min(most);
        self.at = Some(now);
        let granted = (self.tokens.max(0.0) as usize).min(wanted).max(least);
        // The debt is bounded, so that a surge does not silence the time after it.
        self.tokens = (self.tokens - granted as f64).max(-most);
        granted
    }
}
