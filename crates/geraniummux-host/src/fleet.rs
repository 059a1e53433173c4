//! Decisions about targets and requests, with what is usual for each route.

use geraniummux_core::fleet::{
    Delta, FleetRoute, ProbeBudget, RepeatBudget, SplitState, TableOptions, TargetRegistry,
    TargetTable,
};
use geraniummux_core::quarantine::QuarantineOptions;
use geraniummux_core::{Quarantine, Time};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Changes of the registry that are kept for followers; one that is further behind gets a full list.
const MAX_RETAINED_DELTAS: usize = 64;
/// Part of a new sample in the usual time of a route.
const TYPICAL_SAMPLE_WEIGHT: f64 = 0.05;
/// Usual time of a route that has had no answers, as a part of its latency target.
const INITIAL_TYPICAL_SHARE: f64 = 0.4;

/// Who makes a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prober {
    /// The scheduler of the pool.
    Scheduler,
    /// A host for a request of its own.
    Host,
}

/// What is usual for a request of a route.
#[derive(Clone, Copy, Debug)]
pub struct TypicalRequest {
    /// Time to run it, in seconds.
    pub service_time_s: f64,
    /// Size of its bodies, in bytes.
    pub body_bytes: f64,
}

/// Decisions about targets and requests.
pub struct Fleet {
    /// Registered targets.
    pub registry: TargetRegistry,
    /// Load and faults of targets.
    pub table: TargetTable,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Latest changes of the registry, oldest first.
    deltas: VecDeque<Delta>,
    /// Sorted by route.
    splits: Vec<(Arc<str>, SplitState)>,
    /// Sorted by pool.
    probe_budgets: Vec<(Arc<str>, [ProbeBudget; 2])>,
    /// Sorted by pool.
    extra_attempts: Vec<(Arc<str>, RepeatBudget)>,
    /// Sorted by route.
    typical_request: Vec<(Arc<str>, TypicalRequest)>,
    /// Faults seen here that the peers have not been told.
    pub unsent_faults: Vec<(Arc<str>, f64)>,
}

/// Returns the value under a name in a sorted list, which it is added to if it is missing.
fn entry<'a, T, F>(list: &'a mut Vec<(Arc<str>, T)>, name: &Arc<str>, new: F) -> &'a mut T
where
    F: FnOnce() -> T,
{
    let i = list.binary_search_by(|(n, _)| n.cmp(name)).unwrap_or_else(|i| {
        list.insert(i, (name.clone(), new()));
        i
    });
    &mut list[i].1
}

impl Fleet {
    /// Returns the state of a host in `failure_domain` that knows no targets. `process` names this run of
    /// the host.
    pub fn new(failure_domain: Arc<str>, process: Arc<str>) -> Self {
        Fleet {
            registry: TargetRegistry::default(),
            table: TargetTable::new(failure_domain, TableOptions::default()),
            quarantine: Quarantine::new(process, QuarantineOptions::default()),
            deltas: VecDeque::new(),
            splits: Vec::new(),
            probe_budgets: Vec::new(),
            extra_attempts: Vec::new(),
            typical_request: Vec::new(),
            unsent_faults: Vec::new(),
        }
    }

    /// Returns the requests of a route by pool.
    pub fn split(&mut self, route: &Arc<str>) -> &mut SplitState {
        entry(&mut self.splits, route, SplitState::default)
    }

    /// Returns the budget for second sends to a pool.
    pub fn extra_attempts(&mut self, pool: &Arc<str>) -> &mut RepeatBudget {
        entry(&mut self.extra_attempts, pool, RepeatBudget::default)
    }

    /// Returns the budget for health checks of a pool's targets.
    pub fn probe_budget(&mut self, pool: &Arc<str>, by: Prober) -> &mut ProbeBudget {
        let [scheduler, host] = entry(&mut self.probe_budgets, pool, Default::default);
        match by {
            Prober::Scheduler => scheduler,
            Prober::Host => host,
        }
    }

    /// Returns what is usual for a request of a route.
    pub fn typical_request(
        &mut self,
        route: &Arc<str>,
        latency_target: Duration,
    ) -> &mut TypicalRequest {
        let service_time_s = latency_target.as_secs_f64() * INITIAL_TYPICAL_SHARE;
        entry(&mut self.typical_request, route, || TypicalRequest {
            service_time_s,
            body_bytes: 0.0,
        })
    }

    /// Records that a request of a route took `took` at a target that was expected to take
    /// `stretch` x the usual time, and how large its bodies were.
    pub fn observe(&mut self, route: &FleetRoute, took: Duration, stretch: f64, bytes: usize) {
        let typical_request = self.typical_request(&route.name, route.latency_target);
        typical_request.service_time_s += (took.as_secs_f64() / stretch.max(1.0)
            - typical_request.service_time_s)
            * TYPICAL_SAMPLE_WEIGHT;
        typical_request.body_bytes +=
            (bytes as f64 - typical_request.body_bytes) * TYPICAL_SAMPLE_WEIGHT;
    }

    /// Returns what a follower lacks that knows the registry up to `revision`.
    pub fn delta_since(&self, revision: Option<u64>) -> Option<Delta> {
        let to = self.registry.revision()?;
        if revision.is_some_and(|r| r >= to) {
            return None;
        }
        let start = self.deltas.iter().rposition(|d| revision.is_some_and(|r| d.from <= Some(r)));
        let Some(start) = start.filter(|i| self.deltas[*i].from.is_some()) else {
            return self.registry.snapshot();
        };
        let changes = self.deltas.iter().skip(start).flat_map(|d| d.changes.clone()).collect();
        Some(Delta { from: self.deltas[start].from, to, changes })
    }

    /// Keeps changes for followers.
    pub fn retain_delta(&mut self, delta: Delta) {
        if delta.from.is_none() {
            // Followers that are behind a full list need one as well.
            self.deltas.clear();
            return;
        }
        if self.deltas.len() >= MAX_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Takes over the registered targets into the table.
    pub fn update_table(&mut self, now: Time) {
        let Fleet { registry, table, .. } = self;
        table.update(registry.targets(now));
    }
}
