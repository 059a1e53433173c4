//! The budget for sending a request to a second target, shared by all hosts without messages.
//!
//! Over any window the fleet may send `ratio` x (first sends) + `slack` more. A host spends at most
//! its own part: `ratio` x (its first sends) + `slack` / hosts. The parts add up to no more than the
//! whole as long as no host counts fewer hosts than there are, so hosts count each member that they
//! heard of lately, dead ones included.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits of the budget.
#[derive(Clone, Copy, Debug)]
pub struct ExtraAttemptOptions {
    /// Second sends allowed for each first send.
    pub ratio: f64,
    /// Second sends allowed besides, over all hosts, in each window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
    /// Part of the budget that is used, 0 to 1; the rest covers views of the fleet that differ.
    pub use_share: f64,
    /// Part of that from which on second sends are only made after failures.
    pub hedge_share: f64,
}

/// Why a request is sent a second time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraAttempt {
    /// The first send failed.
    Retry,
    /// The first send has not been answered.
    Hedge,
}

impl Default for ExtraAttemptOptions {
    fn default() -> Self {
        ExtraAttemptOptions {
            ratio: 0.2,
            slack: 75.0,
            window: Duration::from_secs(10),
            use_share: 0.85,
            hedge_share: 0.6,
        }
    }
}

/// First and second sends of one host to one pool within the window.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttemptBudget {
    firsts: VecDeque<Time>,
    extra_attempts: VecDeque<Time>,
}

impl ExtraAttemptBudget {
    /// Records a request of this host.
    pub fn on_first_attempt(&mut self, now: Time, opts: &ExtraAttemptOptions) {
        expire(&mut self.firsts, now, opts.window);
        self.firsts.push_back(now);
    }

    /// Takes one second send from the budget if there is one. `hosts` is the number of hosts that
    /// share the budget.
    pub fn try_take(
        &mut self,
        now: Time,
        why: ExtraAttempt,
        hosts: usize,
        opts: &ExtraAttemptOptions,
    ) -> bool {
        expire(&mut self.firsts, now, opts.window);
        expire(&mut self.extra_attempts, now, opts.window);
        let share = opts.slack / hosts.max(1) as f64;
        let allowed = opts.use_share * (opts.ratio * self.firsts.len() as f64 + share);
        let part = match why {
            ExtraAttempt::Retry => 1.0,
            ExtraAttempt::Hedge => opts.hedge_share,
        };
        if (self.extra_attempts.len() + 1) as f64 > allowed * part {
            return false;
        }
        self.extra_attempts.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
