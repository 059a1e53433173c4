//! Decisions about targets and requests, with what is usual for each route.

use geraniummux_core::fleet::{
    ExtraAttemptBudget, FleetRoute, ProbeBudget, RegistryDelta, SplitState, TableOptions,
    TargetRegistry, TargetTable,
};
use geraniummux_core::quarantine::QuarantineOptions;
use geraniummux_core::{Quarantine, Time};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Changes of the registry that are kept for followers; one that is further behind gets a full list.
const KEPT_DELTAS: usize = 64;
/// Part of a new sample in the usual time of a route.
const USUAL_WEIGHT: f64 = 0.05;
/// Usual time of a route that has had no answers, as a part of its latency target.
const USUAL_OF_TARGET: f64 = 0.4;

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
    pub seconds: f64,
    /// Size of its bodies, in bytes.
    pub bytes: f64,
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
    deltas: VecDeque<RegistryDelta>,
    /// Sorted by route.
    splits: Vec<(Arc<str>, SplitState)>,
    /// Sorted by pool.
    probes: Vec<(Arc<str>, [ProbeBudget; 2])>,
    /// Sorted by pool.
    extra_attempts: Vec<(Arc<str>, ExtraAttemptBudget)>,
    /// Sorted by route.
    typical: Vec<(Arc<str>, TypicalRequest)>,
    /// Faults seen here that the peers have not been told.
    pub untold_faults: Vec<(Arc<str>, f64)>,
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
            probes: Vec::new(),
            extra_attempts: Vec::new(),
            typical: Vec::new(),
            untold_faults: Vec::new(),
        }
    }

    /// Returns the requests of a route by pool.
    pub fn split(&mut self, route: &Arc<str>) -> &mut SplitState {
        entry(&mut self.splits, route, SplitState::default)
    }

    /// Returns the budget for second sends to a pool.
    pub fn extra_attempts(&mut self, pool: &Arc<str>) -> &mut ExtraAttemptBudget {
        entry(&mut self.extra_attempts, pool, ExtraAttemptBudget::default)
    }

    /// Returns the budget for health checks of a pool's targets.
    pub fn probes(&mut self, pool: &Arc<str>, by: Prober) -> &mut ProbeBudget {
        let [scheduler, host] = entry(&mut self.probes, pool, Default::default);
        match by {
            Prober::Scheduler => scheduler,
            Prober::Host => host,
        }
    }

    /// Returns what is usual for a request of a route.
    pub fn typical(&mut self, route: &Arc<str>, latency_target: Duration) -> &mut TypicalRequest {
        let seconds = latency_target.as_secs_f64() * USUAL_OF_TARGET;
        entry(&mut self.typical, route, || TypicalRequest { seconds, bytes: 0.0 })
    }

    /// Records that a request of a route took `took` at a target that was expected to take
    /// `latency_factor` x the usual time, and how large its bodies were.
    pub fn observe(
        &mut self,
        route: &FleetRoute,
        took: Duration,
        latency_factor: f64,
        bytes: usize,
    ) {
        let typical = self.typical(&route.name, route.latency_target);
        typical.seconds +=
            (took.as_secs_f64() / latency_factor.max(1.0) - typical.seconds) * USUAL_WEIGHT;
        typical.bytes += (bytes as f64 - typical.bytes) * USUAL_WEIGHT;
    }

    /// Returns what a follower lacks that knows the registry up to `revision`.
    pub fn since(&self, revision: Option<u64>) -> Option<RegistryDelta> {
        let to = self.registry.revision()?;
        if revision.is_some_and(|r| r >= to) {
            return None;
        }
        let start = self.deltas.iter().rposition(|d| revision.is_some_and(|r| d.from <= Some(r)));
        let Some(start) = start.filter(|i| self.deltas[*i].from.is_some()) else {
            return self.registry.snapshot();
        };
        let changes = self.deltas.iter().skip(start).flat_map(|d| d.changes.clone()).collect();
        Some(RegistryDelta { from: self.deltas[start].from, to, changes })
    }

    /// Keeps changes for followers.
    pub fn keep(&mut self, delta: RegistryDelta) {
        if delta.from.is_none() {
            // Followers that are behind a full list need one as well.
            self.deltas.clear();
            return;
        }
        if self.deltas.len() >= KEPT_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Takes over the registered targets into the table.
    pub fn refresh(&mut self, now: Time) {
        let Fleet { registry, table, .. } = self;
        table.update(registry.targets(now));
    }
}
