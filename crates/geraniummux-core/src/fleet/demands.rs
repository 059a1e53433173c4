//! What targets demand with their answers: a limit of the request rate, a pause, or no more requests,
//! because they are leaving.
//!
//! A limit holds for all hosts together. The [`Scheduler`](super::Scheduler) of a pool keeps it for all
//! requests that it grants, with a [`RateBucket`]. A host that selects a target itself uses a target
//! without a limit if there is one, and otherwise its [`LimitShare`].

use super::limits::{LimitShare, MAX_LIMIT_AGE};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time without an answer of a target after which a host forgets its limit. A host rarely sends to a
/// target with a low limit.
const HOST_LIMIT_AGE: Duration = Duration::from_secs(60);
/// Time since the last answer of a target that is not registered after which its demands are forgotten.
const GONE_TARGET_RETENTION: Duration = Duration::from_secs(600);

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
    pool: Arc<str>,
    demand: TargetDemand,
    heard_at: Time,
    /// This host's share of the limit.
    share: Option<LimitShare>,
    /// End of the time in which the target accepts nothing from this host.
    paused_until: Time,
    /// Start of the target that made the demand; `None` until it is known to be registered.
    started_unix_ms: Option<u64>,
}

/// What the targets demanded with their answers to one host.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    /// Sorted by target.
    entries: Vec<Entry>,
}

impl Demands {
    /// Records what a target demands with an answer. Returns whether it has to be reported to the scheduler
    /// of the pool at once, because it has changed, or because a limit was not heard for so long that the
    /// scheduler takes it for ended if it isn't confirmed.
    ///
    /// `started_unix_ms` is when the target was started, if it is registered.
    pub fn on_answer(
        &mut self,
        now: Time,
        pool: &Arc<str>,
        target: &Arc<str>,
        demand: TargetDemand,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let found = self.entries.binary_search_by(|e| e.target.cmp(target));
        if found.is_err() && demand == TargetDemand::default() {
            return false;
        }
        let e = self.entry(now, pool, target);
        e.started_unix_ms = e.started_unix_ms.or(started_unix_ms);
        if e.demand.limit_per_s != demand.limit_per_s || demand.limit_per_s.is_none() {
            e.share = demand.limit_per_s.map(LimitShare::new);
        }
        // A leaving target does not come back under its identity before it is registered again.
        let demand = TargetDemand { leaving: demand.leaving || e.demand.leaving, ..demand };
        let is_old = demand.limit_per_s.is_some() && now.since(e.heard_at) >= MAX_LIMIT_AGE / 2;
        let is_due = e.demand != demand || is_old;
        e.demand = demand;
        e.heard_at = now;
        is_due
    }

    /// Records that a target accepts nothing from this host for some time.
    pub fn on_pause(&mut self, now: Time, pool: &Arc<str>, target: &Arc<str>, pause: Duration) {
        let e = self.entry(now, pool, target);
        e.paused_until = e.paused_until.max(now + pause);
    }

    fn entry(&mut self, now: Time, pool: &Arc<str>, target: &Arc<str>) -> &mut Entry {
        let i = self.entries.binary_search_by(|e| e.target.cmp(target)).unwrap_or_else(|i| {
            let entry = Entry {
                target: target.clone(),
                pool: pool.clone(),
                demand: TargetDemand::default(),
                heard_at: now,
                share: None,
                paused_until: now,
                started_unix_ms: None,
            };
            self.entries.insert(i, entry);
            i
        });
        &mut self.entries[i]
    }

    fn find(&self, target: &str) -> Option<&Entry> {
        let i = self.entries.binary_search_by(|e| (*e.target).cmp(target)).ok()?;
        Some(&self.entries[i])
    }

    /// Returns whether a target must get no requests of this host, because it leaves or for a pause.
    pub fn is_closed(&self, now: Time, target: &str) -> bool {
        self.find(target).is_some_and(|e| e.is_closed(now))
    }

    /// Returns the targets of a pool that must get no requests of this host.
    pub fn closed(&self, now: Time, pool: &str) -> Vec<Arc<str>> {
        self.of_pool(pool).filter(|e| e.is_closed(now)).map(|e| e.target.clone()).collect()
    }

    /// Returns the targets of a pool that have a limit.
    pub fn limited(&self, now: Time, pool: &str) -> Vec<Arc<str>> {
        self.of_pool(pool).filter(|e| e.is_limited(now)).map(|e| e.target.clone()).collect()
    }

    /// Returns whether a target has a limit.
    pub fn is_limited(&self, now: Time, target: &str) -> bool {
        self.find(target).is_some_and(|e| e.is_limited(now))
    }

    /// Takes a request out of the share of a target's limit, if it has one, that this host has as one of
    /// `hosts`; see [`LimitShare::try_take`].
    pub fn try_take_share(&mut self, now: Time, target: &str, hosts: usize, random: f64) -> bool {
        let Ok(i) = self.entries.binary_search_by(|e| (*e.target).cmp(target)) else { return true };
        self.entries[i].share.as_mut().is_none_or(|s| s.try_take(now, hosts, random))
    }

    /// Returns what the targets of a pool demand, for its scheduler.
    pub fn reports(&self, now: Time, pool: &str) -> Vec<ReportedDemand> {
        self.of_pool(pool)
            .filter(|e| e.demand.leaving || e.is_limited(now))
            .map(|e| ReportedDemand {
                target: e.target.clone(),
                demand: e.demand,
                age: now.since(e.heard_at),
            })
            .collect()
    }

    /// Forgets pauses that are over, limits that have not been heard for long, and targets that have
    /// restarted or have been gone for long. `started_unix_ms` returns when a registered target was
    /// started. What a target demanded survives the end of its registration, which may return.
    pub fn retain<F>(&mut self, now: Time, started_unix_ms: F)
    where
        F: Fn(&str) -> Option<u64>,
    {
        self.entries.retain_mut(|e| {
            let is_same_run = match started_unix_ms(&e.target) {
                Some(started) => *e.started_unix_ms.get_or_insert(started) == started,
                None => now.since(e.heard_at) < GONE_TARGET_RETENTION,
            };
            is_same_run && (e.is_closed(now) || e.is_limited(now))
        });
    }

    /// Returns whether nothing is demanded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn of_pool(&self, pool: &str) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| *e.pool == *pool)
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
