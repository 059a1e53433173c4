//! Selection of a target of a pool for each attempt.
//!
//! Start with [`Balancer::choose`]. A choice first determines the eligible targets: those that are
//! available and not in the [`Exclusion`], without ejected targets as long as another one is left,
//! and with a gradually growing share for targets that ramp up. The [`Policy`] then picks one of
//! them. At most a third of a pool is ejected at a time.

use crate::config::Pool;
use crate::load::{AttemptEnd, Entry, Estimate, LoadTable, TargetId};
use crate::time::Time;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;

/// Selection policy. All but [`Policy::Estimate`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Policy {
    /// A random target.
    Random,
    /// Targets in round-robin order.
    RoundRobin,
    /// The one of two random targets with fewer requests in flight from this host.
    TwoChoicesLocal,
    /// The one of two random targets with the lower reported load, where a report counts less as it
    /// ages.
    TwoChoicesReports,
    /// The best of a few random targets: the lowest latency among those with few reported requests,
    /// or the fewest requests if all have many.
    ProbePool,
    /// The candidate with the lowest load by reports and digests. Ties are broken at random.
    SharedBest,
    /// The candidate with the shortest estimated latency.
    Estimate,
}

impl Policy {
    /// All policies, in the order of the benchmark tables.
    pub const ALL: [Policy; 7] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoicesLocal,
        Policy::TwoChoicesReports,
        Policy::ProbePool,
        Policy::SharedBest,
        Policy::Estimate,
    ];

    /// Returns the policy's name in the benchmark tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::TwoChoicesLocal => "two-choices-local",
            Policy::TwoChoicesReports => "two-choices-reports",
            Policy::ProbePool => "probe-pool",
            Policy::SharedBest => "shared-best",
            Policy::Estimate => "estimate",
        }
    }
}

/// Number of targets that [`Policy::ProbePool`] compares for one choice.
const PROBE_POOL_SIZE: usize = 5;

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Selection policy.
    pub policy: Policy,
    /// Maximum number of candidates that are compared for one choice. If more targets are eligible,
    /// the candidates are a random contiguous range of them.
    pub max_candidates: usize,
    /// Number of consecutive failures after which a target is ejected. A target that has not
    /// answered after its ramp-up since the last ejection is ejected again at its first failure.
    pub eject_after_failures: u32,
    /// Duration of a target's first ejection. It doubles with each further ejection, up to
    /// `max_ejection_time`, and is reset once the target answers after its ramp-up.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Time over which the share of a new or returning target grows to its full value.
    pub ramp_up: Duration,
    /// Network round trip to another failure domain in ms. It is added to the estimated latency of
    /// targets there.
    pub cross_domain_ms: f32,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        BalancerOptions {
            policy: Policy::Estimate,
            max_candidates: 32,
            eject_after_failures: 3,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(30),
            ramp_up: Duration::from_secs(2),
            cross_domain_ms: 1.0,
        }
    }
}

/// Targets that must not be chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion<'a> {
    /// Targets to which the request was already sent.
    pub tried: &'a [TargetId],
    /// Targets that are leaving, sorted by id.
    pub leaving: &'a [TargetId],
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// The estimate of its load and latency.
    pub estimate: Estimate,
}

/// Selection state of one target.
#[derive(Clone, Debug)]
struct TargetState {
    id: TargetId,
    /// Position in the load table.
    position: usize,
    /// Whether the target is in another failure domain than this host.
    remote: bool,
    /// Whether the configuration marks the target as leaving.
    leaving: bool,
    /// When the target was last unavailable, or when it was added. `None` for the targets that the
    /// pool had at first.
    ramp_start: Option<Time>,
    /// Number of consecutive failures.
    failures: u32,
    /// Number of ejections since the target last answered after its ramp-up.
    ejections: u32,
    ejected_until: Option<Time>,
}

/// Chooses the targets of one pool.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    pool: Arc<str>,
    domain: Arc<str>,
    /// Sorted by id.
    targets: Vec<TargetState>,
    /// Counter of [`Policy::RoundRobin`].
    round_robin_next: usize,
    /// Indexes into `targets` from which a choice is made. Kept between choices to reuse the
    /// allocation.
    eligible: Vec<u16>,
    /// Reported requests of the eligible targets, for [`Policy::ProbePool`]. Kept like `eligible`.
    reports: Vec<f32>,
}

impl Balancer {
    /// Returns a balancer for `pool` on a host in failure domain `domain`. `table` must contain the
    /// targets of the pool. The initial targets don't ramp up, since there may be no other targets
    /// to carry the load meanwhile.
    pub fn new(pool: &Pool, table: &LoadTable, domain: Arc<str>, options: BalancerOptions) -> Self {
        let mut balancer = Balancer {
            options,
            pool: pool.name.clone(),
            domain,
            targets: Vec::new(),
            round_robin_next: 0,
            eligible: Vec::new(),
            reports: Vec::new(),
        };
        balancer.set_targets(pool, table, None);
        balancer
    }

    /// Applies a changed pool. New targets ramp up; the state of the other targets is kept.
    ///
    /// Must be called for the balancers of all pools after each [`LoadTable::update`], since that
    /// changes the positions of targets in the table.
    pub fn update(&mut self, pool: &Pool, table: &LoadTable, now: Time) {
        self.set_targets(pool, table, Some(now));
    }

    fn set_targets(&mut self, pool: &Pool, table: &LoadTable, ramp_start: Option<Time>) {
        let old = std::mem::take(&mut self.targets);
        for target in &pool.targets {
            let Some(id) = table.id(&pool.name, &target.name) else { continue };
            let Some(position) = table.position(id) else { continue };
            let kept = old.binary_search_by_key(&id, |t| t.id).ok().map(|i| old[i].clone());
            let state = kept.unwrap_or(TargetState {
                id,
                position,
                remote: false,
                leaving: false,
                ramp_start,
                failures: 0,
                ejections: 0,
                ejected_until: None,
            });
            let remote = target.failure_domain != self.domain;
            self.targets.push(TargetState { position, remote, leaving: target.leaving, ..state });
        }
        self.targets.sort_unstable_by_key(|t| t.id);
    }

    /// Returns the pool's name.
    pub fn pool(&self) -> &Arc<str> {
        &self.pool
    }

    /// Records the end of an attempt at a target. Called in addition to [`LoadTable::on_end`].
    pub fn on_end(&mut self, id: TargetId, end: AttemptEnd, now: Time) {
        let Ok(i) = self.targets.binary_search_by_key(&id, |t| t.id) else { return };
        match end {
            AttemptEnd::Answered => {
                let ramped = self.ramp_share(i, now) >= 1.0;
                let target = &mut self.targets[i];
                target.failures = 0;
                if ramped {
                    target.ejections = 0;
                }
            }
            AttemptEnd::Failed => {
                self.targets[i].failures += 1;
                // A target that has not recovered since its last ejection is ejected again at its
                // first failure.
                let after = if self.targets[i].ejections > 0 {
                    1
                } else {
                    self.options.eject_after_failures
                };
                if self.targets[i].failures >= after {
                    self.eject(i, now);
                }
            }
            AttemptEnd::Refused(_) | AttemptEnd::Cancelled => {}
        }
    }

    /// Ejects a target unless more than a third of the pool would then be ejected.
    fn eject(&mut self, i: usize, now: Time) {
        let ejected = self.targets.iter().filter(|t| t.ejected_until.is_some()).count();
        let target = &mut self.targets[i];
        if target.ejected_until.is_some() || (ejected + 1) * 3 > self.targets.len() {
            return;
        }
        let target = &mut self.targets[i];
        let factor = 1u32 << target.ejections.min(16);
        let time = (self.options.base_ejection_time * factor).min(self.options.max_ejection_time);
        target.ejections += 1;
        target.ejected_until = Some(now + time);
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, id: TargetId, now: Time) -> bool {
        let found = self.targets.binary_search_by_key(&id, |t| t.id);
        found.is_ok_and(|i| self.targets[i].ejected_until.is_some_and(|t| now < t))
    }

    /// Chooses the target of an attempt. Returns `None` if no target is eligible.
    ///
    /// An ejected target is chosen only if all targets that could be chosen are ejected.
    pub fn choose<R>(
        &mut self,
        table: &LoadTable,
        exclusion: Exclusion<'_>,
        now: Time,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng + ?Sized,
    {
        self.collect_eligible(table, exclusion, now);
        self.exclude_ejected(now);
        self.exclude_ramping(now, rng);
        self.limit_candidates(rng);
        let i = self.pick(table, now, rng)?;
        let target = &self.targets[i];
        Some(Choice { target: target.id, estimate: table.estimate_at(target.position, now) })
    }

    /// Collects the targets that are neither leaving, starting nor tried, and ends the ejections
    /// whose time is over.
    fn collect_eligible(&mut self, table: &LoadTable, exclusion: Exclusion<'_>, now: Time) {
        self.eligible.clear();
        for (i, target) in self.targets.iter_mut().enumerate() {
            let leaving = target.leaving
                || !exclusion.leaving.is_empty()
                    && exclusion.leaving.binary_search(&target.id).is_ok();
            // A target that becomes available again ramps up from the last time at which it was
            // unavailable.
            if leaving || table.entry(target.position).paused_until > now {
                target.ramp_start = Some(now);
                continue;
            }
            if target.ejected_until.is_some_and(|t| t <= now) {
                target.ejected_until = None;
                target.failures = 0;
                target.ramp_start = Some(now);
            }
            if !exclusion.tried.contains(&target.id) {
                self.eligible.push(i as u16);
            }
        }
    }

    /// Excludes ejected targets if others are eligible.
    fn exclude_ejected(&mut self, now: Time) {
        let targets = &self.targets;
        let ejected = |i: &u16| targets[usize::from(*i)].ejected_until.is_some_and(|t| now < t);
        if !self.eligible.iter().all(ejected) {
            self.eligible.retain(|i| !ejected(i));
        }
    }

    /// Excludes each target that ramps up with a probability of one minus its current share, if a
    /// target with its full share is eligible.
    fn exclude_ramping<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        let ramping = |i: &u16| self.ramp_share(usize::from(*i), now) < 1.0;
        if !self.eligible.iter().any(ramping) {
            return;
        }
        let mut eligible = std::mem::take(&mut self.eligible);
        if eligible.iter().any(|i| self.ramp_share(usize::from(*i), now) >= 1.0) {
            eligible.retain(|i| {
                let ramp = self.ramp_share(usize::from(*i), now);
                ramp >= 1.0 || rng.random::<f32>() < ramp
            });
        }
        self.eligible = eligible;
    }

    /// Returns the share of a target relative to its full share. It is 1 or more after the ramp-up.
    fn ramp_share(&self, i: usize, now: Time) -> f32 {
        let Some(from) = self.targets[i].ramp_start else { return 1.0 };
        now.since(from).as_secs_f32() / self.options.ramp_up.as_secs_f32().max(1e-3)
    }

    /// Reduces the eligible targets to a random contiguous range, which bounds the cost of a
    /// choice.
    fn limit_candidates<R>(&mut self, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        if self.eligible.is_empty() {
            return;
        }
        // The random rotation also breaks ties between equal costs.
        let start = rng.random_range(0..self.eligible.len());
        let kept = self.eligible.len().min(self.options.max_candidates.max(1));
        self.eligible.rotate_left(start);
        self.eligible.truncate(kept);
    }

    fn pick<R>(&mut self, table: &LoadTable, now: Time, rng: &mut R) -> Option<usize>
    where
        R: Rng + ?Sized,
    {
        let first = usize::from(*self.eligible.first()?);
        match self.options.policy {
            Policy::Random => Some(first),
            Policy::RoundRobin => {
                self.eligible.sort_unstable();
                self.round_robin_next = self.round_robin_next.wrapping_add(1);
                Some(usize::from(self.eligible[self.round_robin_next % self.eligible.len()]))
            }
            Policy::TwoChoicesLocal => {
                let in_flight = |i: usize| self.entry(table, i).in_flight();
                let second = self.random_other(rng);
                Some(if in_flight(second) < in_flight(first) { second } else { first })
            }
            Policy::TwoChoicesReports => {
                let load = |i| table.reported_at(self.position(i), now);
                let second = self.random_other(rng);
                Some(if load(second) < load(first) { second } else { first })
            }
            Policy::ProbePool => self.pick_hot_cold(table, now),
            Policy::SharedBest => self.min_by_cost(|i| table.reported_at(self.position(i), now)),
            Policy::Estimate => self.min_by_cost(|i| {
                let remote = self.targets[i].remote;
                let network = if remote { self.options.cross_domain_ms } else { 0.0 };
                table.estimate_at(self.position(i), now).latency_ms + network
            }),
        }
    }

    /// Picks the target with the lowest recent latency among those whose reported requests are
    /// below the upper quartile (cold), or the one with the fewest requests if none is cold.
    fn pick_hot_cold(&mut self, table: &LoadTable, now: Time) -> Option<usize> {
        // `limit_candidates` has rotated the targets at random, so this is a random subset.
        self.eligible.truncate(PROBE_POOL_SIZE);
        let mut reports = std::mem::take(&mut self.reports);
        reports.clear();
        let load = |i: usize| table.reported_at(self.position(i), now);
        reports.extend(self.eligible.iter().map(|i| load(usize::from(*i))));
        reports.sort_unstable_by(f32::total_cmp);
        let hot = reports[(reports.len() * 3 / 4).min(reports.len() - 1)];
        let picked = self.min_by_cost(|i| {
            let load = load(i);
            // Latencies are below 1e6 ms, so every hot target costs more than any cold one.
            if load < hot { self.entry(table, i).latency_ms } else { 1e6 + load }
        });
        self.reports = reports;
        picked
    }

    /// Returns the first eligible target with the lowest cost.
    fn min_by_cost<F>(&self, cost: F) -> Option<usize>
    where
        F: Fn(usize) -> f32,
    {
        let mut best = None;
        let mut least = f32::INFINITY;
        for i in &self.eligible {
            let i = usize::from(*i);
            let c = cost(i);
            if c < least {
                least = c;
                best = Some(i);
            }
        }
        best
    }

    /// Returns a random eligible target other than the first, or the first if it is the only one.
    fn random_other<R>(&self, rng: &mut R) -> usize
    where
        R: Rng + ?Sized,
    {
        let n = self.eligible.len();
        usize::from(self.eligible[if n > 1 { rng.random_range(1..n) } else { 0 }])
    }

    fn position(&self, i: usize) -> usize {
        self.targets[i].position
    }

    fn entry<'a>(&self, table: &'a LoadTable, i: usize) -> &'a Entry {
        table.entry(self.position(i))
    }
}
