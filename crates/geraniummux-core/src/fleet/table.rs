//! Load and faults of each target as one host sees them, and the candidates for a request.
//!
//! Load reports are outdated within a fraction of a second. A host that selects a target itself
//! therefore asks a few candidates for their load directly before it sends a request. The candidates
//! are the targets with the lowest expected cost; random jitter gives the others a chance.

use super::faults::{FaultOptions, FaultScore};
use super::forecast::{ForecastOptions, TargetReport, latency_factor};
use super::registry::{RegisteredTarget, TargetRun};
use crate::time::Time;
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Parameters of a [`TargetTable`].
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// Forecast of a target's latency.
    pub forecast: ForecastOptions,
    /// Score of a target's faults.
    pub faults: FaultOptions,
    /// Time in which the weight of a report decays to about a third (1/e).
    pub report_decay: Duration,
    /// Latency factor assumed for a target without a recent report.
    pub unknown_latency_factor: f64,
    /// Factor on the cost of targets in other failure domains.
    pub remote_factor: f64,
    /// Maximum random addition to a cost that is expected from earlier reports, as a fraction of it.
    pub cost_jitter: f64,
    /// Fraction of a pool's targets above which no target is ejected for faults, since the cause
    /// then lies elsewhere or the remaining targets could not carry the load.
    pub max_ejected_share: f64,
    /// How long a target is ejected after another target has answered at its address.
    pub identity_mismatch_ejection: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        TableOptions {
            forecast: ForecastOptions::default(),
            faults: FaultOptions::default(),
            report_decay: Duration::from_millis(200),
            unknown_latency_factor: 1.5,
            remote_factor: 1.1,
            cost_jitter: 0.4,
            max_ejected_share: 0.4,
            identity_mismatch_ejection: Duration::from_secs(2),
        }
    }
}

/// A target to ask for its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the target.
    pub id: Arc<str>,
    /// Run of the target, with its address.
    pub run: TargetRun,
}

/// Assessment of a target for one more request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Cost by which targets are compared, the lowest being the best: the latency factor, raised for
    /// faults and for a target in another failure domain.
    pub cost: f64,
    /// Expected latency as a multiple of the typical service time.
    pub latency_factor: f64,
}

#[derive(Clone, Debug)]
struct Target {
    pool: Arc<str>,
    id: Arc<str>,
    run: TargetRun,
    remote: bool,
    warming_up: bool,
    /// The last report and its time. Requests that this host has sent since are added to it.
    report: Option<(Time, TargetReport)>,
    faults: FaultScore,
    ejected_until: Time,
}

/// The usable targets of all pools, with their load and faults.
#[derive(Debug)]
pub struct TargetTable {
    opts: TableOptions,
    failure_domain: Arc<str>,
    /// Sorted by pool, then by id.
    targets: Vec<Target>,
}

impl TargetTable {
    /// Returns an empty table for a host in `failure_domain`.
    pub fn new(failure_domain: Arc<str>, opts: TableOptions) -> Self {
        TargetTable { opts, failure_domain, targets: Vec::new() }
    }

    /// Replaces the targets by the registered ones that are not leaving; the flag of each one is
    /// whether it is warming up. Targets that have not started again keep their load and faults.
    pub fn update<'a, I>(&mut self, registered: I)
    where
        I: Iterator<Item = (&'a RegisteredTarget, bool)>,
    {
        let old = std::mem::take(&mut self.targets);
        for (t, warming_up) in registered.filter(|(t, _)| !t.leaving) {
            let previous = old
                .binary_search_by(|o| (&o.pool, &o.id).cmp(&(&t.pool, &t.id)))
                .ok()
                .map(|i| &old[i])
                .filter(|o| o.run == t.run());
            self.targets.push(Target {
                pool: t.pool.clone(),
                id: t.id.clone(),
                run: t.run(),
                remote: t.failure_domain != self.failure_domain,
                warming_up,
                report: previous.and_then(|p| p.report),
                faults: previous.map(|p| p.faults).unwrap_or_default(),
                ejected_until: previous.map(|p| p.ejected_until).unwrap_or_default(),
            });
        }
        self.targets.sort_by(|a, b| (&a.pool, &a.id).cmp(&(&b.pool, &b.id)));
    }

    /// Returns the number of targets of a pool.
    pub fn count(&self, pool: &str) -> usize {
        self.pool(pool).len()
    }

    /// Returns whether the target may be sent requests of the pool.
    pub fn contains(&self, pool: &str, id: &str) -> bool {
        self.candidate(pool, id).is_some()
    }

    /// Returns the target as a candidate if it may be sent requests of the pool.
    pub fn candidate(&self, pool: &str, id: &str) -> Option<Candidate> {
        self.pool(pool).iter().find(|t| &*t.id == id).map(Target::candidate)
    }

    /// Returns whether any target in the table has this address.
    pub fn contains_addr(&self, addr: SocketAddr) -> bool {
        self.targets.iter().any(|t| t.run.addr == addr)
    }

    /// Returns up to `count` targets to ask for their load, the one with the lowest expected cost
    /// first. Targets in `avoid` are excluded, and ejected targets are returned only if there are no
    /// others.
    pub fn candidates<R>(
        &self,
        now: Time,
        pool: &str,
        avoid: &[Arc<str>],
        count: usize,
        rng: &mut R,
    ) -> Vec<Candidate>
    where
        R: Rng + ?Sized,
    {
        let all = self.pool(pool);
        let ejected_count =
            all.iter().filter(|t| t.faults.is_ejected(now, &self.opts.faults)).count();
        let may_eject = ejected_count as f64 <= self.opts.max_ejected_share * all.len() as f64;
        let is_ejected = |t: &Target| {
            now < t.ejected_until || may_eject && t.faults.is_ejected(now, &self.opts.faults)
        };
        let mut ranked: Vec<(bool, f64, &Target)> = all
            .iter()
            .filter(|t| !avoid.contains(&t.id))
            .map(|t| {
                let jitter = 1.0 + self.opts.cost_jitter * rng.random::<f64>();
                (is_ejected(t), self.expected_cost(t, now) * jitter, t)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let usable = ranked.iter().filter(|r| !r.0).count();
        // Ejected targets are tried only if there are no others.
        let count = if usable > 0 { count.min(usable) } else { count };
        ranked.into_iter().take(count).map(|(_, _, t)| t.candidate()).collect()
    }

    /// Rates a target by a report that it has just made; a target that is not in the pool gets an
    /// infinite cost.
    pub fn rate(&self, now: Time, pool: &str, id: &str, report: &TargetReport) -> Rating {
        let Some(t) = self.pool(pool).iter().find(|t| &*t.id == id) else {
            return Rating { cost: f64::INFINITY, latency_factor: f64::INFINITY };
        };
        let latency_factor = latency_factor(report, t.warming_up, &self.opts.forecast);
        Rating { cost: self.cost_of(t, now, latency_factor), latency_factor }
    }

    /// Records a target's report.
    pub fn on_report(&mut self, now: Time, id: &str, report: TargetReport) {
        if let Some(t) = self.find_mut(id) {
            t.report = Some((now, report));
        }
    }

    /// Records that a request is sent to a target, so that the last report accounts for it.
    pub fn on_sent(&mut self, id: &str) {
        if let Some(t) = self.find_mut(id)
            && let Some((_, report)) = &mut t.report
        {
            if report.free_slots() > 0 {
                report.running = report.running.saturating_add(1);
            } else {
                report.waiting = report.waiting.saturating_add(1);
            }
        }
    }

    /// Records a successful response of a target.
    pub fn on_success(&mut self, now: Time, id: &str) {
        let faults = self.opts.faults;
        if let Some(t) = self.find_mut(id) {
            t.faults.relieve(now, &faults);
        }
    }

    /// Adds the weight of a fault to a target. Returns whether this fault raised the target's score
    /// to the threshold for ejection.
    pub fn on_fault(&mut self, now: Time, id: &str, weight: f64) -> bool {
        let faults = self.opts.faults;
        let Some(t) = self.find_mut(id) else { return false };
        let was_ejected = t.faults.is_ejected(now, &faults);
        t.faults.add(now, weight, &faults);
        !was_ejected && t.faults.is_ejected(now, &faults)
    }

    /// Records that another target answered at the address of this one, and ejects this one for a
    /// while. Returns whether it was not ejected for that reason yet.
    pub fn on_identity_mismatch(&mut self, now: Time, id: &str) -> bool {
        let until = now + self.opts.identity_mismatch_ejection;
        let Some(t) = self.find_mut(id) else { return false };
        let is_new = t.ejected_until <= now;
        t.ejected_until = until;
        is_new
    }

    fn pool(&self, pool: &str) -> &[Target] {
        let start = self.targets.partition_point(|t| &*t.pool < pool);
        let len = self.targets[start..].partition_point(|t| &*t.pool == pool);
        &self.targets[start..start + len]
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.iter_mut().find(|t| &*t.id == id)
    }

    /// Returns the cost expected of a target from its last report, which loses weight with age.
    fn expected_cost(&self, t: &Target, now: Time) -> f64 {
        let unknown = self.opts.unknown_latency_factor;
        let expected = match &t.report {
            Some((at, report)) => {
                let age = now.since(*at).as_secs_f64() / self.opts.report_decay.as_secs_f64();
                let reported = latency_factor(report, t.warming_up, &self.opts.forecast);
                unknown + (reported - unknown) * (-age).exp()
            }
            None if t.warming_up => unknown * self.opts.forecast.warm_up_slowdown,
            None => unknown,
        };
        self.cost_of(t, now, expected)
    }

    fn cost_of(&self, t: &Target, now: Time, latency_factor: f64) -> f64 {
        let distance = if t.remote { self.opts.remote_factor } else { 1.0 };
        latency_factor * distance * (1.0 + t.faults.at(now, &self.opts.faults))
    }
}

impl Target {
    fn candidate(&self) -> Candidate {
        Candidate { id: self.id.clone(), run: self.run }
    }
}
