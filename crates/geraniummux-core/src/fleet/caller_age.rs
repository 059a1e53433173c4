//! Estimates how long ago a caller sent the first attempt of a request, from the time that it still
//! waits.
//!
//! A caller whose request was rejected sends it again with the time that is left, as a request of its
//! own. Its latency target has started with the first attempt, which the host did not necessarily see.
//! Where most requests of a route come with the same time left, those with less are repeats.

use std::time::Duration;

/// Fraction of the longest time left from which a request counts as a first attempt.
const FIRST_ATTEMPT_SHARE: f64 = 0.98;
/// Share of first attempts among the requests of a route below which callers are taken to differ in how
/// long they wait, so that nothing is estimated.
const MIN_FIRST_ATTEMPTS: f64 = 0.5;
/// Number of requests after which estimates are made.
const MIN_REQUESTS: u32 = 20;
/// Weight of a new request in the share of first attempts.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Factor on the longest time left for each request with less. A rare caller that waits much longer
/// than all others is forgotten after some thousand requests.
const DECAY: f64 = 0.999;

/// How long the callers of one route wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerAge {
    /// Longest time left, in seconds.
    longest: f64,
    /// Share of the requests that count as first attempts.
    first_attempts: f64,
    requests: u32,
}

impl CallerAge {
    /// Records a request whose caller waits for `time_left`, and returns the estimated time since its
    /// first attempt; zero for a first attempt and if there is no estimate.
    pub fn observe(&mut self, time_left: Duration) -> Duration {
        let left = time_left.as_secs_f64();
        let is_first = left >= self.longest * FIRST_ATTEMPT_SHARE;
        self.requests = self.requests.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.requests));
        self.first_attempts += (f64::from(u8::from(is_first)) - self.first_attempts) * weight;
        if is_first {
            self.longest = self.longest.max(left);
            return Duration::ZERO;
        }
        let age = self.longest - left;
        let is_known = self.requests >= MIN_REQUESTS && self.first_attempts >= MIN_FIRST_ATTEMPTS;
        self.longest *= DECAY;
        if is_known { Duration::from_secs_f64(age.max(0.0)) } else { Duration::ZERO }
    }
}
