//! What cold targets get.
//!
//! A cold target accepts a rate of requests from all hosts together, and crashes well above it. The
//! [`Scheduler`](super::Scheduler) of its pool keeps to the rate of [`WarmUpRules::scheduler_per_s`]. Hosts that
//! select targets themselves use a cold one only if there are no others, and then only the host on which the lot
//! fell for this target, at [`WarmUpRules::host_per_s`]. The bound that follows for all hosts is shown in
//! `docs/design/cold-targets.md`.

use super::limits::RateBucket;
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Length of the window in which the requests of a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Differences of the times that requests take from the decision to the target.
const MAX_SPREAD: Duration = Duration::from_millis(250);
/// Schedulers that a pool has at the same time at most, while hosts differ in whom they take for it. As many hosts
/// may take the lot for a target for their own.
const MAX_SCHEDULERS: f64 = 2.0;
/// Part of the accepted rate that hosts take which select targets themselves.
const HOST_SHARE: f64 = 0.2;
/// Time without use after which a host forgets its share of a target.
const SHARE_RETENTION: Duration = Duration::from_secs(60);

/// What a cold target of a pool may get, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Requests per second that the target accepts.
    pub per_s: f64,
    /// Requests that it may get in a second, as a multiple of that.
    pub overage: f64,
    /// Requests that it may get in a second besides.
    pub slack: f64,
}

impl WarmUpRules {
    /// Returns how many requests a second one scheduler grants. It is what the target accepts, or less if two
    /// schedulers with full buckets could exceed what is allowed.
    pub fn scheduler_per_s(&self) -> f64 {
        let allowed = (self.overage * self.per_s + self.slack) * WINDOW.as_secs_f64();
        let of_scheduler = (allowed - MAX_SCHEDULERS) / MAX_SCHEDULERS - RateBucket::WHOLE;
        let safe = of_scheduler / (WINDOW + MAX_SPREAD).as_secs_f64();
        self.per_s.min(safe).max(0.0)
    }

    /// Returns how many requests a second the host sends that has the lot for a target: one in each window at
    /// most.
    pub fn host_per_s(&self) -> f64 {
        (self.per_s * HOST_SHARE).min(1.0 / (WINDOW + MAX_SPREAD).as_secs_f64())
    }
}

/// What one host may send to cold targets for which it has the lot.
#[derive(Clone, Debug, Default)]
pub struct WarmUpShares {
    /// Sorted by target, each with the time of its last use.
    shares: Vec<(Arc<str>, Time, RateBucket)>,
}

impl WarmUpShares {
    /// Takes a request out of this host's share of a target, and returns whether it is allowed. A share starts
    /// empty, as another host may just have used its own.
    pub fn try_take(&mut self, now: Time, target: &Arc<str>, rules: &WarmUpRules) -> bool {
        self.shares.retain(|(_, used, _)| now.since(*used) < SHARE_RETENTION);
        let per_s = rules.host_per_s();
        let i = self.shares.binary_search_by(|(t, ..)| t.cmp(target)).unwrap_or_else(|i| {
            let bucket = RateBucket::with_capacity(now, per_s, RateBucket::WHOLE);
            self.shares.insert(i, (target.clone(), now, bucket));
            i
        });
        let (_, used, bucket) = &mut self.shares[i];
        *used = now;
        bucket.set_per_s(now, per_s);
        let allowed = bucket.has_token(now);
        if allowed {
            bucket.take(now);
        }
        allowed
    }
}
