//! What targets demand with their answers: no more requests, because they are leaving.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// What a target demands of all hosts with an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetDemand {
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
    /// Start of the target, once the registry was asked for it.
    started_unix_ms: Option<u64>,
}

/// What the targets demanded with their answers to one host.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    /// Sorted by target.
    entries: Vec<Entry>,
}

impl Demands {
    /// Records what a target demands with an answer. Returns whether that has changed, so that it has to
    /// be reported to the scheduler of the pool.
    pub fn on_answer(
        &mut self,
        now: Time,
        pool: &Arc<str>,
        target: &Arc<str>,
        demand: TargetDemand,
    ) -> bool {
        let found = self.entries.binary_search_by(|e| e.target.cmp(target));
        if found.is_err() && demand == TargetDemand::default() {
            return false;
        }
        let e = self.entry(now, pool, target);
        // A leaving target does not come back under its identity before it is registered again.
        let demand = TargetDemand { leaving: demand.leaving || e.demand.leaving };
        let is_changed = e.demand != demand;
        e.demand = demand;
        e.heard_at = now;
        is_changed
    }

    fn entry(&mut self, now: Time, pool: &Arc<str>, target: &Arc<str>) -> &mut Entry {
        let i = self.entries.binary_search_by(|e| e.target.cmp(target)).unwrap_or_else(|i| {
            let entry = Entry {
                target: target.clone(),
                pool: pool.clone(),
                demand: TargetDemand::default(),
                heard_at: now,
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

    /// Returns whether a target must get no requests of this host.
    pub fn is_closed(&self, target: &str) -> bool {
        self.find(target).is_some_and(|e| e.demand.leaving)
    }

    /// Returns the targets of a pool that must get no requests of this host.
    pub fn closed(&self, pool: &str) -> Vec<Arc<str>> {
        self.of_pool(pool).filter(|e| e.demand.leaving).map(|e| e.target.clone()).collect()
    }

    /// Returns what the targets of a pool demand, for its scheduler.
    pub fn reports(&self, now: Time, pool: &str) -> Vec<ReportedDemand> {
        self.of_pool(pool)
            .filter(|e| e.demand.leaving)
            .map(|e| ReportedDemand {
                target: e.target.clone(),
                demand: e.demand,
                age: now.since(e.heard_at),
            })
            .collect()
    }

    /// Forgets targets that are gone or have restarted. `started_unix_ms` returns when a registered target
    /// was started.
    pub fn retain<F>(&mut self, started_unix_ms: F)
    where
        F: Fn(&str) -> Option<u64>,
    {
        self.entries.retain_mut(|e| {
            let Some(started) = started_unix_ms(&e.target) else { return false };
            *e.started_unix_ms.get_or_insert(started) == started && e.demand.leaving
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
