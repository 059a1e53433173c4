//! Limits of the request rate of a target, for a scheduler and for a host that selects targets itself.

use crate::time::Time;
use std::time::Duration;

/// Time since a target last named its limit after which a scheduler takes an answer without it for the end
/// of the limit. A target that does not answer at all keeps its limit.
pub const MAX_LIMIT_AGE: Duration = Duration::from_secs(10);
/// Lowest rate that is granted to a target. The answers to these requests tell when its limit has
/// changed.
const MIN_PER_S: f64 = 2.0 / MAX_LIMIT_AGE.as_secs() as f64;
/// Capacity of a bucket beyond one request, as time at the limited rate.
const BURST: Duration = Duration::from_millis(500);
/// Time for which a host draws what it may send of its share. Nothing is carried over, so that hosts that
/// all begin to select targets themselves don't send at once what they have saved.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// Requests that a limited rate allows at present.
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    per_s: f64,
    /// Maximum number of tokens; `None` if it depends on the rate.
    fixed_capacity: Option<f64>,
    tokens: f64,
    at: Time,
}

impl RateBucket {
    /// The capacity of a bucket that allows no two requests at once.
    pub const WHOLE: f64 = 1.0;

    /// Returns an empty bucket. It allows a request from time to time even if `per_s` is 0.
    pub fn new(now: Time, per_s: f64) -> Self {
        RateBucket { per_s: per_s.max(MIN_PER_S), fixed_capacity: None, tokens: 0.0, at: now }
    }

    /// Returns an empty bucket that allows up to `capacity` requests at once, one at least.
    pub fn with_capacity(now: Time, per_s: f64, capacity: f64) -> Self {
        let fixed_capacity = Some(capacity.max(RateBucket::WHOLE));
        RateBucket { fixed_capacity, ..RateBucket::new(now, per_s) }
    }

    /// Changes the rate and keeps the tokens, as far as the new capacity allows.
    pub fn set_per_s(&mut self, now: Time, per_s: f64) {
        self.refill(now);
        self.per_s = per_s.max(MIN_PER_S);
        self.refill(now);
    }

    fn capacity(&self) -> f64 {
        self.fixed_capacity.unwrap_or(RateBucket::WHOLE + self.per_s * BURST.as_secs_f64())
    }

    /// Returns the requests per second that the bucket allows.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns whether a whole request is allowed.
    pub fn has_token(&self, now: Time) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Returns the time until a whole request is allowed.
    pub fn next_token(&self, now: Time) -> Duration {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::MAX)
    }

    /// Takes a request out of the bucket.
    pub fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn tokens_at(&self, now: Time) -> f64 {
        (self.tokens + now.since(self.at).as_secs_f64() * self.per_s).min(self.capacity())
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.at = now;
    }
}

/// One host's share of a limit, which may be much less than one request a second: whole requests are
/// drawn by lot, so that the fleet as a whole sends what the limit allows.
#[derive(Clone, Copy, Debug)]
pub struct LimitShare {
    /// Requests per second that the target accepts from all hosts together.
    per_s: f64,
    /// Number of the period for which `left` was drawn.
    period: u128,
    left: u32,
}

impl LimitShare {
    /// Returns a share of a limit.
    pub fn new(per_s: f64) -> Self {
        LimitShare { per_s, period: 0, left: 0 }
    }

    /// Takes a request out of the share that one of `hosts` hosts has, and returns whether it is allowed.
    /// `random` is in 0..1.
    pub fn try_take(&mut self, now: Time, hosts: usize, random: f64) -> bool {
        let period = now.since(Time::default()).as_millis() / SHARE_PERIOD.as_millis();
        if period != self.period {
            self.period = period;
            let share = self.per_s * SHARE_PERIOD.as_secs_f64() / hosts.max(1) as f64;
            self.left = (share + random).floor() as u32;
        }
        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);
        allowed
    }
}

/// What the targets of a pool accept together while some of them have limits.
#[derive(Clone, Copy, Debug)]
pub struct LimitOutlook {
    per_s: f64,
    /// Time until the first target accepts a request.
    next: Duration,
}

impl LimitOutlook {
    /// The outlook of a pool without targets.
    pub const NONE: LimitOutlook = LimitOutlook { per_s: 0.0, next: Duration::MAX };

    /// Adds a target that accepts `per_s` requests a second, the first after `next`.
    pub fn add(self, per_s: f64, next: Duration) -> Self {
        LimitOutlook { per_s: self.per_s + per_s, next: self.next.min(next) }
    }

    /// Returns the time until a target accepts a request behind `ahead` others.
    pub fn turn(&self, ahead: usize) -> Duration {
        let others = Duration::try_from_secs_f64(ahead as f64 / self.per_s);
        others.map_or(Duration::MAX, |others| self.next.saturating_add(others))
    }
}
