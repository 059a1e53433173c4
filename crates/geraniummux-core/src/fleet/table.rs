//! What a host knows of each target's load and faults, and which targets it considers for a
//! request.
//!
//! A host asks a few candidates for their load directly before it sends a request, because reports
//! are outdated within a fraction of a second. The candidates are those that looked best lately,
//! with some chance for all others.

use super::faults::{FaultOptions, FaultScore};
use super::forecast::{ForecastOptions, TargetReport, latency_factor};
use super::registry::RegisteredTarget;
use crate::time::Time;
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Weights of the choice.
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// Forecast of a target's time to answer.
    pub forecast: ForecastOptions,
    /// Score of faults.
    pub faults: FaultOptions,
    /// Time in which the trust in a report falls to a third.
    pub trust: Duration,
    /// Stretch assumed of a target without a recent report.
    pub unknown_latency_factor: f64,
    /// Factor on the stretch of targets in other failure domains.
    pub remote_factor: f64,
    /// Largest random addition to a stretch from memory, as a part of it.
    pub jitter: f64,
    /// Part of a pool's targets from which faults leave none of them out, since then the cause lies
    /// elsewhere or the rest could not carry the load.
    pub max_ejected_share: f64,
    /// How long a target is left out after it turned out to be another one.
    pub identity_mismatch_ejection: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        TableOptions {
            forecast: ForecastOptions::default(),
            faults: FaultOptions::default(),
            trust: Duration::from_millis(200),
            unknown_latency_factor: 1.5,
            remote_factor: 1.1,
            jitter: 0.4,
            max_ejected_share: 0.4,
            identity_mismatch_ejection: Duration::from_secs(2),
        }
    }
}

/// A target to be asked for its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its identity.
    pub id: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
}

/// What to expect of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Orders targets; the smallest is the best. It includes faults and distance.
    pub cost: f64,
    /// Expected time to its answer as a multiple of the usual time.
    pub latency_factor: f64,
}

#[derive(Clone, Debug)]
struct Target {
    pool: Arc<str>,
    id: Arc<str>,
    addr: SocketAddr,
    remote: bool,
    cold: bool,
    /// The last report, with requests that this host has sent since added to it.
    report: Option<(Time, TargetReport)>,
    faults: FaultScore,
    ejected_until: Time,
}

/// The targets of all pools that may be used.
#[derive(Debug)]
pub struct TargetTable {
    opts: TableOptions,
    failure_domain: Arc<str>,
    /// Sorted by pool, then by id.
    targets: Vec<Target>,
}

impl TargetTable {
    /// Returns the table of a host in `failure_domain` that knows no targets.
    pub fn new(failure_domain: Arc<str>, opts: TableOptions) -> Self {
        TargetTable { opts, failure_domain, targets: Vec::new() }
    }

    /// Takes in the registered targets. What is known of those that stay is kept.
    pub fn update<'a, I>(&mut self, registered: I)
    where
        I: Iterator<Item = (&'a RegisteredTarget, bool)>,
    {
        let old = std::mem::take(&mut self.targets);
        for (t, cold) in registered.filter(|(t, _)| !t.leaving) {
            let known = old
                .binary_search_by(|o| (&o.pool, &o.id).cmp(&(&t.pool, &t.id)))
                .ok()
                .map(|i| &old[i])
                .filter(|o| o.addr == t.addr);
            self.targets.push(Target {
                pool: t.pool.clone(),
                id: t.id.clone(),
                addr: t.addr,
                remote: t.failure_domain != self.failure_domain,
                cold,
                report: known.and_then(|k| k.report),
                faults: known.map(|k| k.faults).unwrap_or_default(),
                ejected_until: known.map(|k| k.ejected_until).unwrap_or_default(),
            });
        }
        self.targets.sort_by(|a, b| (&a.pool, &a.id).cmp(&(&b.pool, &b.id)));
    }

    /// Returns the number of targets of a pool.
    pub fn count(&self, pool: &str) -> usize {
        self.pool(pool).len()
    }

    /// Returns whether the target may still be sent requests of the pool.
    pub fn contains(&self, pool: &str, id: &str) -> bool {
        self.candidate(pool, id).is_some()
    }

    /// Returns the target if it may be sent requests of the pool.
    pub fn candidate(&self, pool: &str, id: &str) -> Option<Candidate> {
        self.pool(pool).iter().find(|t| &*t.id == id).map(Target::candidate)
    }

    /// Returns whether an address belongs to any target in the table.
    pub fn contains_addr(&self, addr: SocketAddr) -> bool {
        self.targets.iter().any(|t| t.addr == addr)
    }

    /// Returns up to `count` targets to be asked for their load, those first that looked best
    /// lately. Targets in `avoid` and those that are left out come only if there are no others.
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
        let ejected = all.iter().filter(|t| t.faults.is_ejected(now, &self.opts.faults)).count();
        let ejects = ejected as f64 <= self.opts.max_ejected_share * all.len() as f64;
        let left_out = |t: &Target| {
            now < t.ejected_until || ejects && t.faults.is_ejected(now, &self.opts.faults)
        };
        let mut ranked: Vec<(bool, f64, &Target)> = all
            .iter()
            .filter(|t| !avoid.contains(&t.id))
            .map(|t| {
                let jitter = 1.0 + self.opts.jitter * rng.random::<f64>();
                (left_out(t), self.remembered(t, now) * jitter, t)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let usable = ranked.iter().filter(|r| !r.0).count();
        // A target that is left out is tried only if nothing else is there.
        let count = if usable > 0 { count.min(usable) } else { count };
        ranked.into_iter().take(count).map(|(_, _, t)| t.candidate()).collect()
    }

    /// Rates a target that has just reported.
    pub fn rate(&self, now: Time, pool: &str, id: &str, report: &TargetReport) -> Rating {
        let Some(t) = self.pool(pool).iter().find(|t| &*t.id == id) else {
            return Rating { cost: f64::INFINITY, latency_factor: f64::INFINITY };
        };
        let latency_factor = latency_factor(report, t.cold, &self.opts.forecast);
        Rating { cost: self.weighted(t, now, latency_factor), latency_factor }
    }

    /// Records what a target said of its load.
    pub fn on_report(&mut self, now: Time, id: &str, report: TargetReport) {
        if let Some(t) = self.find(id) {
            t.report = Some((now, report));
        }
    }

    /// Records that a request is on its way to a target.
    pub fn on_sent(&mut self, id: &str) {
        if let Some(t) = self.find(id)
            && let Some((_, report)) = &mut t.report
        {
            if report.free_slots() > 0 {
                report.running += 1;
            } else {
                report.waiting += 1;
            }
        }
    }

    /// Records a good answer of a target.
    pub fn on_success(&mut self, now: Time, id: &str) {
        let faults = self.opts.faults;
        if let Some(t) = self.find(id) {
            t.faults.relieve(now, &faults);
        }
    }

    /// Adds to a target's faults. Returns whether that begins to leave it out.
    pub fn on_fault(&mut self, now: Time, id: &str, weight: f64) -> bool {
        let faults = self.opts.faults;
        let Some(t) = self.find(id) else { return false };
        let was = t.faults.is_ejected(now, &faults);
        t.faults.add(now, weight, &faults);
        !was && t.faults.is_ejected(now, &faults)
    }

    /// Records that another target answers at the address of this one.
    pub fn on_identity_mismatch(&mut self, now: Time, id: &str) {
        let until = now + self.opts.identity_mismatch_ejection;
        if let Some(t) = self.find(id) {
            t.ejected_until = until;
        }
    }

    fn pool(&self, pool: &str) -> &[Target] {
        let start = self.targets.partition_point(|t| &*t.pool < pool);
        let len = self.targets[start..].partition_point(|t| &*t.pool == pool);
        &self.targets[start..start + len]
    }

    fn find(&mut self, id: &str) -> Option<&mut Target> {
        self.targets.iter_mut().find(|t| &*t.id == id)
    }

    /// Returns the stretch that a target is expected to have from what is remembered of it.
    fn remembered(&self, t: &Target, now: Time) -> f64 {
        let unknown = self.opts.unknown_latency_factor;
        let expected = match &t.report {
            Some((at, report)) => {
                let age = now.since(*at).as_secs_f64() / self.opts.trust.as_secs_f64();
                let known = latency_factor(report, t.cold, &self.opts.forecast);
                unknown + (known - unknown) * (-age).exp()
            }
            None if t.cold => unknown * self.opts.forecast.cold_slowdown,
            None => unknown,
        };
        self.weighted(t, now, expected)
    }

    fn weighted(&self, t: &Target, now: Time, latency_factor: f64) -> f64 {
        let distance = if t.remote { self.opts.remote_factor } else { 1.0 };
        latency_factor * distance * (1.0 + t.faults.at(now, &self.opts.faults))
    }
}

impl Target {
    fn candidate(&self) -> Candidate {
        Candidate { id: self.id.clone(), addr: self.addr }
    }
}
