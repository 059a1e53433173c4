//! Token budgets that bound the extra attempts (retries and hedges) of each route.
//!
//! Start with [`RouteBudgets`]. Each first attempt earns a fraction of a token and each extra
//! attempt costs one token, so extra attempts can't multiply the load when targets fail. The
//! fraction is halved with each level of request depth, so that the extra attempts of a chain of
//! services don't multiply either.

use crate::time::Time;
use std::time::Duration;

/// Depth of the last and smallest bucket, which all requests at this depth or deeper share.
pub const MAX_DEPTH: u32 = 16;

/// Settings of a [`TokenBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Tokens that a first attempt at depth 0 earns: the long-term limit on the ratio of extra
    /// attempts to first attempts, apart from `floor_per_s`. Halved with each level of depth.
    pub ratio: f64,
    /// Capacity and initial content of the bucket of depth 0, in tokens. Halved with each level of
    /// depth, down to a capacity of one token.
    pub burst: f64,
    /// Tokens that the bucket of depth 0 earns each second regardless of the traffic, so that a
    /// route with little traffic can retry at all. Halved with each level of depth.
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
/// Each depth has its own bucket, so that deep requests can't spend the tokens that shallow ones
/// earned. Over the lifetime of a budget, the extra attempts at depth `d` are at most
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
        let bucket = |d| Bucket { tokens: options.burst * depth_factor(d), refilled: now };
        TokenBudget { options, buckets: (0..=MAX_DEPTH).map(bucket).collect() }
    }

    /// Changes the ratio after an edit of the route. The buckets keep their tokens.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.options.ratio = ratio;
    }

    /// Records a first attempt at `depth`.
    pub fn deposit(&mut self, now: Time, depth: u32) {
        let earned = self.options.ratio * depth_factor(depth);
        self.refill(now, depth, earned);
    }

    /// Takes one token for an extra attempt at `depth`; returns whether the attempt is allowed.
    pub fn try_spend(&mut self, now: Time, depth: u32) -> bool {
        // A ratio of 0 disables extra attempts, even if there are tokens left.
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

    /// Returns the tokens in the bucket of `depth`, as of its last deposit or spend.
    pub fn available(&self, depth: u32) -> f64 {
        self.buckets[bucket_index(depth)].tokens
    }

    /// Adds `earned` tokens and those of the elapsed time to the bucket of `depth`.
    fn refill(&mut self, now: Time, depth: u32, earned: f64) -> &mut Bucket {
        let depth_factor = depth_factor(depth);
        // Every bucket can hold one whole token, since deep requests could never spend otherwise.
        let cap = (self.options.burst * depth_factor).max(1.0);
        let bucket = &mut self.buckets[bucket_index(depth)];
        let elapsed: Duration = now.since(bucket.refilled);
        let accrued = self.options.floor_per_s * depth_factor * elapsed.as_secs_f64();
        bucket.tokens = (bucket.tokens + earned + accrued).min(cap);
        bucket.refilled = bucket.refilled.max(now);
        bucket
    }
}

fn bucket_index(depth: u32) -> usize {
    depth.min(MAX_DEPTH) as usize
}

/// Returns the factor by which `depth` reduces ratio, burst and floor: 1/2 to the power of the
/// depth.
fn depth_factor(depth: u32) -> f64 {
    0.5f64.powi(bucket_index(depth) as i32)
}

/// The retry budget and the hedge budget of a route.
#[derive(Clone, Debug)]
pub struct RouteBudgets {
    /// Budget of attempts after a failed one.
    pub retry: TokenBudget,
    /// Budget of hedges and of attempts that replace one on a connection without progress.
    pub hedge: TokenBudget,
}

impl RouteBudgets {
    /// Returns budgets with full buckets and the ratios of a route.
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
