//! The budget for retries and hedges, which all hosts share without exchanging messages.
//!
//! In any window the fleet may make `ratio` x (first attempts) + `slack` extra attempts. The share
//! of a host is `ratio` x (its first attempts) + `slack` / hosts, of which it spends at most
//! `used_share`. The shares add up to no more than the whole as long as no host counts fewer hosts
//! than there are. Hosts therefore count every member seen recently, dead ones included.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits of an [`ExtraAttemptBudget`].
#[derive(Clone, Copy, Debug)]
pub struct ExtraAttemptOptions {
    /// Extra attempts allowed for each first attempt.
    pub ratio: f64,
    /// Extra attempts allowed in addition, over all hosts, in each window.
    pub slack: f64,
    /// The sliding window in which attempts are counted.
    pub window: Duration,
    /// Fraction of the budget that is used, 0 to 1; the rest allows for hosts whose views of the
    /// fleet differ.
    pub used_share: f64,
    /// Fraction of the used budget above which only retries are made.
    pub hedge_share: f64,
}

/// Kind of an extra attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraAttempt {
    /// The previous attempt failed.
    Retry,
    /// The previous attempt is still running.
    Hedge,
}

impl Default for ExtraAttemptOptions {
    fn default() -> Self {
        ExtraAttemptOptions {
            ratio: 0.2,
            slack: 75.0,
            window: Duration::from_secs(10),
            used_share: 0.85,
            hedge_share: 0.6,
        }
    }
}

/// The share of one host in a pool's budget for extra attempts. Counts the host's first and extra
/// attempts within the window.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttemptBudget {
    first_attempts: VecDeque<Time>,
    extra_attempts: VecDeque<Time>,
}

impl ExtraAttemptBudget {
    /// Records the first attempt of a request of this host.
    pub fn on_first_attempt(&mut self, now: Time, opts: &ExtraAttemptOptions) {
        expire(&mut self.first_attempts, now, opts.window);
        self.first_attempts.push_back(now);
    }

    /// Takes one extra attempt from the budget and returns whether it was available.
    ///
    /// `hosts` is the number of hosts that share the budget.
    pub fn try_take(
        &mut self,
        now: Time,
        why: ExtraAttempt,
        hosts: usize,
        opts: &ExtraAttemptOptions,
    ) -> bool {
        expire(&mut self.first_attempts, now, opts.window);
        expire(&mut self.extra_attempts, now, opts.window);
        let slack = opts.slack / hosts.max(1) as f64;
        let allowed = opts.used_share * (opts.ratio * self.first_attempts.len() as f64 + slack);
        let share = match why {
            ExtraAttempt::Retry => 1.0,
            ExtraAttempt::Hedge => opts.hedge_share,
        };
        if (self.extra_attempts.len() + 1) as f64 > allowed * share {
            return false;
        }
        self.extra_attempts.push_back(now);
        true
    }

    /// Returns whether nothing is counted any more, so that a new budget would allow the same.
    pub fn is_idle(&self, now: Time, opts: &ExtraAttemptOptions) -> bool {
        let last = self.first_attempts.back().max(self.extra_attempts.back());
        last.is_none_or(|at| now.since(*at) > opts.window)
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
