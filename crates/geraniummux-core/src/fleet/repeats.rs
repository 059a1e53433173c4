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
pub struct RepeatOptions {
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
pub enum Repeat {
    /// The first send failed.
    Failure,
    /// The first send has not been answered.
    Hedge,
}

impl Default for RepeatOptions {
    fn default() -> Self {
        RepeatOptions {
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
pub struct RepeatBudget {
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RepeatBudget {
    /// Records a request of this host.
    pub fn on_first(&mut self, now: Time, opts: &RepeatOptions) {
        expire(&mut self.firsts, now, opts.window);
        self.firsts.push_back(now);
    }

    /// Takes one second send from the budget if there is one. `hosts` is the number of hosts that
    /// share the budget.
    pub fn try_repeat(
        &mut self,
        now: Time,
        why: Repeat,
        hosts: usize,
        opts: &RepeatOptions,
    ) -> bool {
        expire(&mut self.firsts, now, opts.window);
        expire(&mut self.repeats, now, opts.window);
        let share = opts.slack / hosts.max(1) as f64;
        let allowed = opts.use_share * (opts.ratio * self.firsts.len() as f64 + share);
        let part = match why {
            Repeat::Failure => 1.0,
            Repeat::Hedge => opts.hedge_share,
        };
        if (self.repeats.len() + 1) as f64 > allowed * part {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
