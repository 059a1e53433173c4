//! A host's view of the fleet of targets, its budgets, and what is typical of each route's requests.

use geraniummux_core::fleet::{
    Demands, ExtraAttemptBudget, ExtraAttemptOptions, FleetRoute, ProbeBudget, RegistryDelta,
    ReportedDemand, Revision, SplitState, TableOptions, TargetRegistry, TargetTable, WarmUpShares,
};
use geraniummux_core::quarantine::QuarantineOptions;
use geraniummux_core::{Quarantine, Time};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Registry changes retained for followers; a follower that is further behind receives a full list.
const MAX_RETAINED_DELTAS: usize = 64;
/// Weight of a new sample in the typical service time and body size of a route.
const TYPICAL_SAMPLE_WEIGHT: f64 = 0.05;
/// Typical service time of a route that has had no responses, as a share of its latency target.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.4;

/// Who sends a probe; each has a budget of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prober {
    /// The scheduler of the pool.
    Scheduler,
    /// A host, to select a target for a request by itself.
    Host,
}

/// Typical values of a route's requests.
#[derive(Clone, Copy, Debug)]
pub struct TypicalRequest {
    /// Service time, in seconds.
    pub service_time_s: f64,
    /// Size of the bodies of a request and its response together, in bytes.
    pub body_bytes: f64,
}

/// A host's view of the fleet of targets, with its budgets and typical values per route.
pub struct Fleet {
    /// Registered targets.
    pub registry: TargetRegistry,
    /// Load and faults of the targets that may be used.
    pub table: TargetTable,
    /// What targets demanded with their answers to this host.
    pub demands: Demands,
    /// What this host may send to cold targets when it selects targets itself.
    pub warm_up_shares: WarmUpShares,
    /// Crash reports, and the requests that are blocked because of them.
    pub quarantine: Quarantine,
    /// The latest changes of the registry, oldest first.
    deltas: VecDeque<RegistryDelta>,
    /// Sorted by route.
    splits: Vec<(Arc<str>, SplitState)>,
    /// Sorted by pool.
    probe_budgets: Vec<(Arc<str>, [ProbeBudget; 2])>,
    /// Sorted by pool.
    extra_attempts: Vec<(Arc<str>, ExtraAttemptBudget)>,
    /// Sorted by route.
    typical_requests: Vec<(Arc<str>, TypicalRequest)>,
    /// Faults observed by this host that have not been sent to peers, with their weights.
    pub unsent_faults: Vec<(Arc<str>, f64)>,
}

/// Returns the value for `name` in a list that is sorted by name; inserts `new()` if it is missing.
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
    /// Returns the state of a host in `failure_domain` without any targets. `process` identifies this
    /// run of the host.
    pub fn new(failure_domain: Arc<str>, process: Arc<str>) -> Self {
        Fleet {
            registry: TargetRegistry::default(),
            table: TargetTable::new(failure_domain, TableOptions::default()),
            demands: Demands::default(),
            warm_up_shares: WarmUpShares::default(),
            quarantine: Quarantine::new(process, QuarantineOptions::default()),
            deltas: VecDeque::new(),
            splits: Vec::new(),
            probe_budgets: Vec::new(),
            extra_attempts: Vec::new(),
            typical_requests: Vec::new(),
            unsent_faults: Vec::new(),
        }
    }

    /// Returns what the targets of a pool demand, for its scheduler.
    pub fn demand_reports(&self, now: Time, pool: &str) -> Vec<ReportedDemand> {
        if self.demands.is_empty() {
            return Vec::new();
        }
        self.demands.reports(now, pool, |target| self.registry.run(target))
    }

    /// Returns the state of a route's traffic split between pools.
    pub fn split(&mut self, route: &Arc<str>) -> &mut SplitState {
        entry(&mut self.splits, route, SplitState::default)
    }

    /// Forgets what is kept for routes and pools that are not configured, but for budgets that still count something.
    /// Returns whether none of these is left.
    pub fn retain_configured<R, P>(
        &mut self,
        now: Time,
        opts: &ExtraAttemptOptions,
        is_route: R,
        is_pool: P,
    ) -> bool
    where
        R: Fn(&str) -> bool,
        P: Fn(&str) -> bool,
    {
        self.splits.retain(|(route, _)| is_route(route));
        self.typical_requests.retain(|(route, _)| is_route(route));
        self.extra_attempts.retain(|(pool, b)| is_pool(pool) || !b.is_idle(now, opts));
        self.probe_budgets
            .retain(|(pool, both)| is_pool(pool) || both.iter().any(|budget| !budget.is_idle(now)));
        self.extra_attempts.iter().all(|(pool, _)| is_pool(pool))
            && self.probe_budgets.iter().all(|(pool, _)| is_pool(pool))
    }

    /// Returns the budget for extra attempts at a pool's targets.
    pub fn extra_attempts(&mut self, pool: &Arc<str>) -> &mut ExtraAttemptBudget {
        entry(&mut self.extra_attempts, pool, ExtraAttemptBudget::default)
    }

    /// Returns the budget of one kind of prober for probes of a pool's targets.
    pub fn probe_budget(&mut self, pool: &Arc<str>, by: Prober) -> &mut ProbeBudget {
        let [scheduler, host] = entry(&mut self.probe_budgets, pool, Default::default);
        match by {
            Prober::Scheduler => scheduler,
            Prober::Host => host,
        }
    }

    /// Returns the typical values of a route's requests.
    pub fn typical_request(
        &mut self,
        route: &Arc<str>,
        latency_target: Duration,
    ) -> &mut TypicalRequest {
        let service_time_s = latency_target.as_secs_f64() * INITIAL_SERVICE_TIME_SHARE;
        entry(&mut self.typical_requests, route, || TypicalRequest {
            service_time_s,
            body_bytes: 0.0,
        })
    }

    /// Updates a route's typical values with an attempt that took `took` at a target whose expected
    /// latency was `latency_factor` times the typical service time, and whose bodies had `body_bytes` in total.
    pub fn observe(
        &mut self,
        route: &FleetRoute,
        took: Duration,
        latency_factor: f64,
        body_bytes: usize,
    ) {
        let typical = self.typical_request(&route.name, route.latency_target);
        typical.service_time_s += (took.as_secs_f64() / latency_factor.max(1.0)
            - typical.service_time_s)
            * TYPICAL_SAMPLE_WEIGHT;
        typical.body_bytes += (body_bytes as f64 - typical.body_bytes) * TYPICAL_SAMPLE_WEIGHT;
    }

    /// Returns the changes that a follower lacks which has the registry as of `revision`: those
    /// retained or, if they don't reach back so far, a full list; `None` if it lacks nothing.
    pub fn delta_since(&self, revision: Option<Revision>) -> Option<RegistryDelta> {
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

    /// Retains changes for followers.
    pub fn retain_delta(&mut self, delta: RegistryDelta) {
        if delta.from.is_none() {
            // A follower that is behind a full list needs a full list as well.
            self.deltas.clear();
            return;
        }
        if self.deltas.len() >= MAX_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Updates the table from the registered targets.
    pub fn update_table(&mut self, now: Time) {
        let Fleet { registry, table, demands, .. } = self;
        table.update(registry.targets(now));
        if !demands.is_empty() {
            demands.retain(now, |target| registry.run(target));
        }
    }
}
