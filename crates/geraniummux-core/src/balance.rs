//! Choice of a target for one attempt.

use crate::config::Pool;
use crate::load::{AttemptEnd, Entry, Estimate, LoadTable, TargetId};
use crate::time::Time;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;

/// How a target is chosen. All but [`Policy::Estimate`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Policy {
    /// A random target.
    Random,
    /// Targets in turn.
    RoundRobin,
    /// The one of two random targets with fewer own requests in flight.
    TwoChoicesLocal,
    /// The one of two random targets with the lower reported load, discounted by age.
    TwoChoicesReports,
    /// The best of a pool of recent reports: the fewest requests among cold targets, the lowest
    /// latency if all are hot.
    ProbePool,
    /// The lowest load of all targets by reports and digests, without randomness.
    SharedBest,
    /// The shortest estimated time to an answer among several candidates.
    Estimate,
}

impl Policy {
    /// All policies, in the order in which they are printed.
    pub const ALL: [Policy; 7] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoicesLocal,
        Policy::TwoChoicesReports,
        Policy::ProbePool,
        Policy::SharedBest,
        Policy::Estimate,
    ];

    /// Returns the policy's name.
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

/// Number of targets that [`Policy::ProbePool`] compares.
const PROBE_POOL: usize = 5;

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// How targets are chosen.
    pub policy: Policy,
    /// Largest number of candidates that are compared for one choice. In a larger pool they are a
    /// random part of it.
    pub candidates: usize,
    /// Failures in a row that eject a target.
    pub eject_after: u32,
    /// First ejection time of a target; it doubles up to `max_ejection`.
    pub ejection: Duration,
    /// Longest ejection time.
    pub max_ejection: Duration,
    /// Time over which a new or returning target ramps up to its full share.
    pub ramp: Duration,
    /// Added to the estimate of a target in another failure domain, in ms: the latency there and
    /// back.
    pub cross_domain_ms: f32,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        BalancerOptions {
            policy: Policy::Estimate,
            candidates: 32,
            eject_after: 3,
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            ramp: Duration::from_secs(2),
            cross_domain_ms: 1.0,
        }
    }
}

/// Targets that a choice must leave out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion<'a> {
    /// Targets that the request was already sent to.
    pub tried: &'a [TargetId],
    /// Targets that are leaving. Sorted.
    pub draining: &'a [TargetId],
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its estimated load.
    pub estimate: Estimate,
}

#[derive(Clone, Debug)]
struct Member {
    id: TargetId,
    /// Position in the load table.
    position: usize,
    /// Whether it is in another failure domain than the host.
    remote: bool,
    leaving: bool,
    /// When it was last unavailable, or when it was added.
    ramp_from: Option<Time>,
    /// Failures in a row.
    failures: u32,
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
    members: Vec<Member>,
    turn: usize,
    /// Positions of the members that a choice is made from; kept to reuse the memory.
    eligible: Vec<u16>,
    /// Reported requests of the eligible members, for [`Policy::ProbePool`].
    reports: Vec<f32>,
}

impl Balancer {
    /// Returns a balancer for `pool`, whose targets are in `table`, on a host in failure domain
    /// `domain`. Its first targets don't ramp up, since there may be no others.
    pub fn new(pool: &Pool, table: &LoadTable, domain: Arc<str>, options: BalancerOptions) -> Self {
        let mut balancer = Balancer {
            options,
            pool: pool.name.clone(),
            domain,
            members: Vec::new(),
            turn: 0,
            eligible: Vec::new(),
            reports: Vec::new(),
        };
        balancer.set_members(pool, table, None);
        balancer
    }

    /// Adopts a changed pool. Called for the balancers of all pools after each
    /// [`LoadTable::update`]. New targets ramp up.
    pub fn update(&mut self, pool: &Pool, table: &LoadTable, now: Time) {
        self.set_members(pool, table, Some(now));
    }

    fn set_members(&mut self, pool: &Pool, table: &LoadTable, ramp_from: Option<Time>) {
        let old = std::mem::take(&mut self.members);
        for target in &pool.targets {
            let Some(id) = table.id(&pool.name, &target.name) else { continue };
            let Some(position) = table.position(id) else { continue };
            let kept = old.binary_search_by_key(&id, |m| m.id).ok().map(|m| old[m].clone());
            let member = kept.unwrap_or(Member {
                id,
                position,
                remote: false,
                leaving: false,
                ramp_from,
                failures: 0,
                ejections: 0,
                ejected_until: None,
            });
            let remote = target.failure_domain != self.domain;
            self.members.push(Member { position, remote, leaving: target.leaving, ..member });
        }
        self.members.sort_unstable_by_key(|m| m.id);
    }

    /// Returns the pool's name.
    pub fn pool(&self) -> &Arc<str> {
        &self.pool
    }

    /// Notes how an attempt at a target ended. Called beside [`LoadTable::on_end`].
    pub fn on_end(&mut self, id: TargetId, end: AttemptEnd, now: Time) {
        let Ok(m) = self.members.binary_search_by_key(&id, |m| m.id) else { return };
        match end {
            AttemptEnd::Answered => {
                let ramped = self.ramp(m, now) >= 1.0;
                let member = &mut self.members[m];
                member.failures = 0;
                if ramped {
                    member.ejections = 0;
                }
            }
            AttemptEnd::Failed => {
                self.members[m].failures += 1;
                // A target that is still ramping up after an ejection gets no further tries.
                let after =
                    if self.members[m].ejections > 0 { 1 } else { self.options.eject_after };
                if self.members[m].failures >= after {
                    self.eject(m, now);
                }
            }
            AttemptEnd::Refused(_) | AttemptEnd::Cancelled => {}
        }
    }

    /// Ejects a member unless a third of the pool is ejected already.
    fn eject(&mut self, m: usize, now: Time) {
        let ejected = self.members.iter().filter(|m| m.ejected_until.is_some()).count();
        let member = &mut self.members[m];
        if member.ejected_until.is_some() || (ejected + 1) * 3 > self.members.len() {
            return;
        }
        let member = &mut self.members[m];
        let factor = 1u32 << member.ejections.min(16);
        let time = (self.options.ejection * factor).min(self.options.max_ejection);
        member.ejections += 1;
        member.ejected_until = Some(now + time);
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, id: TargetId, now: Time) -> bool {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        found.is_ok_and(|m| self.members[m].ejected_until.is_some_and(|t| now < t))
    }

    /// Chooses the target of an attempt, or `None` if no target may receive it.
    ///
    /// An ejected target is chosen only if no other one is left.
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
        self.find_available(table, exclusion, now);
        self.leave_out_ejected(now);
        self.leave_out_ramping(now, rng);
        self.limit_candidates(rng);
        let m = self.pick(table, now, rng)?;
        let member = &self.members[m];
        Some(Choice { target: member.id, estimate: table.estimate_at(member.position, now) })
    }

    /// Collects the members that are neither leaving, starting nor tried.
    fn find_available(&mut self, table: &LoadTable, exclusion: Exclusion<'_>, now: Time) {
        self.eligible.clear();
        for (i, m) in self.members.iter_mut().enumerate() {
            let draining = m.leaving
                || !exclusion.draining.is_empty()
                    && exclusion.draining.binary_search(&m.id).is_ok();
            // A target that becomes available again ramps up from its last unavailable moment.
            if draining || table.entry(m.position).paused_until > now {
                m.ramp_from = Some(now);
                continue;
            }
            if m.ejected_until.is_some_and(|t| t <= now) {
                m.ejected_until = None;
                m.failures = 0;
                m.ramp_from = Some(now);
            }
            if !exclusion.tried.contains(&m.id) {
                self.eligible.push(i as u16);
            }
        }
    }

    fn leave_out_ejected(&mut self, now: Time) {
        let members = &self.members;
        let ejected = |m: &u16| members[usize::from(*m)].ejected_until.is_some_and(|t| now < t);
        if !self.eligible.iter().all(ejected) {
            self.eligible.retain(|m| !ejected(m));
        }
    }

    /// Leaves out each ramping member with the probability of what its share still lacks.
    fn leave_out_ramping<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        let ramping = |m: &u16| self.ramp(usize::from(*m), now) < 1.0;
        if !self.eligible.iter().any(ramping) {
            return;
        }
        let mut eligible = std::mem::take(&mut self.eligible);
        if eligible.iter().any(|m| self.ramp(usize::from(*m), now) >= 1.0) {
            eligible.retain(|m| {
                let ramp = self.ramp(usize::from(*m), now);
                ramp >= 1.0 || rng.random::<f32>() < ramp
            });
        }
        self.eligible = eligible;
    }

    /// Returns the part of its full share that a member may have.
    fn ramp(&self, m: usize, now: Time) -> f32 {
        let Some(from) = self.members[m].ramp_from else { return 1.0 };
        now.since(from).as_secs_f32() / self.options.ramp.as_secs_f32().max(1e-3)
    }

    /// Keeps a random stretch of the eligible members, so that the cost of a choice is bounded.
    fn limit_candidates<R>(&mut self, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        if self.eligible.is_empty() {
            return;
        }
        // The rotation also decides between equal estimates.
        let start = rng.random_range(0..self.eligible.len());
        let kept = self.eligible.len().min(self.options.candidates.max(1));
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
                self.turn = self.turn.wrapping_add(1);
                Some(usize::from(self.eligible[self.turn % self.eligible.len()]))
            }
            Policy::TwoChoicesLocal => {
                let in_flight = |m: usize| self.entry(table, m).in_flight();
                let second = self.second(rng);
                Some(if in_flight(second) < in_flight(first) { second } else { first })
            }
            Policy::TwoChoicesReports => {
                let load = |m| table.reported_at(self.position(m), now);
                let second = self.second(rng);
                Some(if load(second) < load(first) { second } else { first })
            }
            Policy::ProbePool => self.pick_hot_cold(table, now),
            Policy::SharedBest => self.least(|m| table.reported_at(self.position(m), now)),
            Policy::Estimate => self.least(|m| {
                let remote = self.members[m].remote;
                let network = if remote { self.options.cross_domain_ms } else { 0.0 };
                table.estimate_at(self.position(m), now).latency_ms + network
            }),
        }
    }

    /// Among targets with few reported requests, picks the one with the lowest last latency; if all
    /// have many, the one with the fewest requests.
    fn pick_hot_cold(&mut self, table: &LoadTable, now: Time) -> Option<usize> {
        // The probe pool of a choice is a random part of the targets.
        self.eligible.truncate(PROBE_POOL);
        let mut reports = std::mem::take(&mut self.reports);
        reports.clear();
        let load = |m: usize| table.reported_at(self.position(m), now);
        reports.extend(self.eligible.iter().map(|m| load(usize::from(*m))));
        reports.sort_unstable_by(f32::total_cmp);
        let hot = reports[(reports.len() * 3 / 4).min(reports.len() - 1)];
        let picked = self.least(|m| {
            let load = load(m);
            // Any hot target costs more than any cold one.
            if load < hot { self.entry(table, m).latency_ms } else { 1e6 + load }
        });
        self.reports = reports;
        picked
    }

    fn least<F>(&self, cost: F) -> Option<usize>
    where
        F: Fn(usize) -> f32,
    {
        let mut best = None;
        let mut least = f32::INFINITY;
        for m in &self.eligible {
            let m = usize::from(*m);
            let c = cost(m);
            if c < least {
                least = c;
                best = Some(m);
            }
        }
        best
    }

    /// Returns another random eligible member than the first, if there is one.
    fn second<R>(&self, rng: &mut R) -> usize
    where
        R: Rng + ?Sized,
    {
        let n = self.eligible.len();
        usize::from(self.eligible[if n > 1 { rng.random_range(1..n) } else { 0 }])
    }

    fn position(&self, m: usize) -> usize {
        self.members[m].position
    }

    fn entry<'a>(&self, table: &'a LoadTable, m: usize) -> &'a Entry {
        table.entry(self.position(m))
    }
}
