//! What targets demand with their answers: a limit of the request rate, a pause, or no more requests,
//! because they are leaving.
//!
//! A limit holds for all hosts together. The [`Scheduler`](super::Scheduler) of a pool keeps it for all
//! requests that it grants, with a [`RateBucket`]. A host that selects a target itself uses a target
//! without a limit if there is one, and otherwise its [`LimitShare`].
//!
//! A demand holds for the run of the target that made it: a target that has started again under its name
//! knows nothing of it, and may answer beside the run before.

use super::limits::{LimitShare, MAX_LIMIT_AGE};
use super::registry::TargetRun;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time without an answer of a target after which a host forgets its limit. A host rarely sends to a
/// target with a low limit.
const HOST_LIMIT_AGE: Duration = Duration::from_secs(60);
/// Time since the last answer of a run that is not registered after which its demands are forgotten.
const GONE_RUN_RETENTION: Duration = Duration::from_secs(600);
/// Time since a registered run last said that it is leaving after which it is asked again. Two runs can't be
/// told apart if neither the start nor the address differs.
pub const LEAVING_RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// What a target demands of all hosts with an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetDemand {
    /// Requests per second that the target accepts from all hosts together; `None` if it sets no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target is leaving and must get no new requests.
    pub leaving: bool,
}

/// A demand with its target and the time since it was last heard, as hosts report it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedDemand {
    /// Identity of the target.
    pub target: Arc<str>,
    /// What it demands.
    pub demand: TargetDemand,
    /// Time since the answer that stated it.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Arc<str>,
    run: TargetRun,
    pool: Arc<str>,
    demand: TargetDemand,
    heard_at: Time,
    /// When the run last said that it is leaving, or was last asked.
    leaving_checked_at: Time,
    /// This host's share of the limit.
    share: Option<LimitShare>,
    /// End of the time in which the run accepts nothing from this host.
    paused_until: Time,
}

/// What the targets demanded with their answers to one host.
///
/// Methods that take `run_of` consider the registered runs only, which it returns for a target's name.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    /// Sorted by target and run.
    entries: Vec<Entry>,
}

impl Demands {
    /// Records what a run of a target demands with an answer to what was sent to it at `sent_at`. Returns
    /// whether it has to be reported to the scheduler of the pool at once, because it has changed, or because
    /// a limit was not heard for so long that the scheduler takes it for ended if it isn't confirmed.
    pub fn on_answer(
        &mut self,
        now: Time,
        sent_at: Time,
        pool: &Arc<str>,
        target: &Arc<str>,
        run: TargetRun,
        demand: TargetDemand,
    ) -> bool {
        if demand == TargetDemand::default() && self.find(target, run).is_none() {
            return false;
        }
        let e = self.entry(now, pool, target, run);
        if e.demand.limit_per_s != demand.limit_per_s || demand.limit_per_s.is_none() {
            e.share = demand.limit_per_s.map(LimitShare::new);
        }
        // Answers to requests of before may arrive in any order. A leaving run says so in all answers, so that
        // one without to a later request is from another run.
        let was_asked_again = sent_at > e.leaving_checked_at && e.demand.leaving;
        let leaving = demand.leaving || e.demand.leaving && !was_asked_again;
        if demand.leaving {
            e.leaving_checked_at = now;
        }
        let demand = TargetDemand { leaving, ..demand };
        let is_old = demand.limit_per_s.is_some() && now.since(e.heard_at) >= MAX_LIMIT_AGE / 2;
        let is_due = e.demand != demand || is_old;
        e.demand = demand;
        e.heard_at = now;
        is_due
    }

    /// Records that a run of a target accepts nothing from this host for some time.
    pub fn on_pause(
        &mut self,
        now: Time,
        pool: &Arc<str>,
        target: &Arc<str>,
        run: TargetRun,
        pause: Duration,
    ) {
        let e = self.entry(now, pool, target, run);
        e.paused_until = e.paused_until.max(now + pause);
    }

    fn search(&self, target: &str, run: TargetRun) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (&*e.target, e.run).cmp(&(target, run)))
    }

    fn entry(
        &mut self,
        now: Time,
        pool: &Arc<str>,
        target: &Arc<str>,
        run: TargetRun,
    ) -> &mut Entry {
        let i = self.search(target, run).unwrap_or_else(|i| {
            let entry = Entry {
                target: target.clone(),
                run,
                pool: pool.clone(),
                demand: TargetDemand::default(),
                heard_at: now,
                leaving_checked_at: now,
                share: None,
                paused_until: now,
            };
            self.entries.insert(i, entry);
            i
        });
        &mut self.entries[i]
    }

    fn find(&self, target: &str, run: TargetRun) -> Option<&Entry> {
        Some(&self.entries[self.search(target, run).ok()?])
    }

    /// Returns whether a run of a target must get no requests of this host, because it leaves or for a pause.
    pub fn is_closed(&self, now: Time, target: &str, run: TargetRun) -> bool {
        self.find(target, run).is_some_and(|e| e.is_closed(now))
    }

    /// Returns the targets of a pool that must get no requests of this host.
    pub fn closed<F>(&self, now: Time, pool: &str, run_of: F) -> Vec<Arc<str>>
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        let closed = self.of_pool(pool, run_of).filter(|e| e.is_closed(now));
        closed.map(|e| e.target.clone()).collect()
    }

    /// Returns the targets of a pool that have a limit.
    pub fn limited<F>(&self, now: Time, pool: &str, run_of: F) -> Vec<Arc<str>>
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        let limited = self.of_pool(pool, run_of).filter(|e| e.is_limited(now));
        limited.map(|e| e.target.clone()).collect()
    }

    /// Returns whether a run of a target has a limit.
    pub fn is_limited(&self, now: Time, target: &str, run: TargetRun) -> bool {
        self.find(target, run).is_some_and(|e| e.is_limited(now))
    }

    /// Takes a request out of the share of a run's limit, if it has one, that this host has as one of
    /// `hosts`; see [`LimitShare::try_take`].
    pub fn try_take_share(
        &mut self,
        now: Time,
        target: &str,
        run: TargetRun,
        hosts: usize,
        random: f64,
    ) -> bool {
        let Ok(i) = self.search(target, run) else { return true };
        self.entries[i].share.as_mut().is_none_or(|s| s.try_take(now, hosts, random))
    }

    /// Returns what the targets of a pool demand, for its scheduler.
    pub fn reports<F>(&self, now: Time, pool: &str, run_of: F) -> Vec<ReportedDemand>
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        self.of_pool(pool, run_of)
            .filter(|e| e.demand.leaving || e.is_limited(now))
            .map(|e| ReportedDemand {
                target: e.target.clone(),
                demand: e.demand,
                age: now.since(e.heard_at),
            })
            .collect()
    }

    /// Returns the registered runs that have not said for [`LEAVING_RECHECK_INTERVAL`] that they are leaving,
    /// and are to be asked, with their pools. Each is returned once in this time.
    pub fn take_due_rechecks<F>(&mut self, now: Time, run_of: F) -> Vec<(Arc<str>, Arc<str>)>
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        let is_due = |e: &Entry| {
            e.demand.leaving
                && now.since(e.leaving_checked_at) >= LEAVING_RECHECK_INTERVAL
                && now >= e.paused_until
                && run_of(&e.target) == Some(e.run)
        };
        let due = self.entries.iter_mut().filter(|e| is_due(e));
        due.map(|e| {
            e.leaving_checked_at = now;
            (e.pool.clone(), e.target.clone())
        })
        .collect()
    }

    /// Forgets pauses that are over, limits that have not been heard for long, and runs that have been gone
    /// for long. What a run demanded survives the end of its registration, which may return.
    pub fn retain<F>(&mut self, now: Time, run_of: F)
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        self.entries.retain(|e| {
            let is_registered = run_of(&e.target) == Some(e.run);
            let may_return = now.since(e.heard_at) < GONE_RUN_RETENTION;
            (is_registered || may_return) && (e.is_closed(now) || e.is_limited(now))
        });
    }

    /// Returns whether nothing is demanded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what the registered runs of a pool demand.
    fn of_pool<F>(&self, pool: &str, run_of: F) -> impl Iterator<Item = &Entry>
    where
        F: Fn(&str) -> Option<TargetRun>,
    {
        let of_pool = self.entries.iter().filter(move |e| *e.pool == *pool);
        of_pool.filter(move |e| run_of(&e.target) == Some(e.run))
    }
}

impl Entry {
    fn is_closed(&self, now: Time) -> bool {
        self.demand.leaving || now < self.paused_until
    }

    fn is_limited(&self, now: Time) -> bool {
        self.share.is_some() && now.since(self.heard_at) < HOST_LIMIT_AGE
    }
}
