//! Token budgets that bound retries and hedges per route.

use crate::time::Time;
use std::time::Duration;

/// Requests at this depth or deeper share one bucket, the smallest one.
pub const MAX_DEPTH: u32 = 16;

/// Settings of a [`TokenBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Extra attempts allowed for each first attempt at depth 0; halved with each level of depth.
    pub ratio: f64,
    /// Extra attempts at depth 0 that may be saved up, which is also the initial amount.
    pub burst: f64,
    /// Extra attempts a second at depth 0 that are allowed without first attempts, so that a route
    /// with little traffic can retry at all.
    pub floor_per_s: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        BudgetOptions { ratio: 0.1, burst: 10.0, floor_per_s: 0.1 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled: Time,
}

/// A budget for one kind of extra attempt (retries or hedges) of one route.
///
/// Each depth has its own bucket, so that deep requests can't spend what shallow ones earned. Over
/// any run, the extra attempts at depth `d` are at most
/// `(burst + ratio * first attempts + floor_per_s * seconds) / 2^d`.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    options: BudgetOptions,
    /// Indexed by depth, up to [`MAX_DEPTH`].
    buckets: Vec<Bucket>,
}

impl TokenBudget {
    /// Returns a budget with full buckets.
    pub fn new(options: BudgetOptions, now: Time) -> Self {
        let bucket = |d| Bucket { tokens: options.burst * share(d), refilled: now };
        TokenBudget { options, buckets: (0..=MAX_DEPTH).map(bucket).collect() }
    }

    /// Changes the ratio after an edit of the route; saved tokens stay.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.options.ratio = ratio;
    }

    /// Records a first attempt at `depth`.
    pub fn deposit(&mut self, now: Time, depth: u32) {
        let earned = self.options.ratio * share(depth);
        self.refill(now, depth, earned);
    }

    /// Takes one token for an extra attempt at `depth`; returns whether the attempt is allowed.
    pub fn try_spend(&mut self, now: Time, depth: u32) -> bool {
        // A ratio of 0 turns the extra attempts off, whatever was saved.
        if self.options.ratio <= 0.0 {
            return false;
        }
        let bucket = self.refill(now, depth, 0.0);
        let allowed = bucket.tokens >= 1.0;
        if allowed {
            bucket.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the tokens that requests at `depth` may spend.
    pub fn available(&self, depth: u32) -> f64 {
        self.buckets[index(depth)].tokens
    }

    fn refill(&mut self, now: Time, depth: u32, earned: f64) -> &mut Bucket {
        let share = share(depth);
        // A bucket must be able to hold one whole token, or deep requests could never spend.
        let cap = (self.options.burst * share).max(1.0);
        let bucket = &mut self.buckets[index(depth)];
        let elapsed: Duration = now.since(bucket.refilled);
        let trickle = self.options.floor_per_s * share * elapsed.as_secs_f64();
        bucket.tokens = (bucket.tokens + earned + trickle).min(cap);
        bucket.refilled = bucket.refilled.max(now);
        bucket
    }
}

fn index(depth: u32) -> usize {
    depth.min(MAX_DEPTH) as usize
}

fn share(depth: u32) -> f64 {
    0.5f64.powi(index(depth) as i32)
}

/// The two budgets of a route.
#[derive(Clone, Debug)]
pub struct RouteBudgets {
    /// Pays for attempts after a failed one.
    pub retry: TokenBudget,
    /// Pays for hedges and for moves away from silent connections.
    pub hedge: TokenBudget,
}

impl RouteBudgets {
    /// Returns full budgets with the ratios of a route.
    pub fn new(retry_ratio: f64, hedge_ratio: f64, now: Time) -> Self {
        let with_ratio = |ratio| BudgetOptions { ratio, ..BudgetOptions::default() };
        RouteBudgets {
            retry: TokenBudget::new(with_ratio(retry_ratio), now),
            hedge: TokenBudget::new(with_ratio(hedge_ratio), now),
        }
    }

    /// Records a first attempt at `depth` in both budgets.
    pub fn deposit(&mut self, now: Time, depth: u32) {
        self.retry.deposit(now, depth);
        self.hedge.deposit(now, depth);
    }
}
