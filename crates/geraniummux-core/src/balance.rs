//! Choice of a target for one attempt.

use crate::config::Pool;
use crate::load::{AttemptEnd, Estimate, LoadTable, TargetId};
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

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// How targets are chosen.
    pub policy: Policy,
    /// Candidates that are compared by [`Policy::Estimate`].
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
            candidates: 16,
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
    position: usize,
    weight: f32,
    remote: bool,
    leaving: bool,
    ramp_from: Option<Time>,
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
    /// Reused between choices: positions of the eligible members.
    eligible: Vec<u16>,
}

impl Balancer {
    /// Returns a balancer for `pool`, whose targets are in `table`, on a host in failure domain
    /// `domain`.
    pub fn new(pool: &Pool, table: &LoadTable, domain: Arc<str>, options: BalancerOptions) -> Self {
        let mut balancer = Balancer {
            options,
            pool: pool.name.clone(),
            domain,
            members: Vec::new(),
            turn: 0,
            eligible: Vec::new(),
        };
        balancer.set_members(pool, table, None);
        balancer
    }

    /// Adopts a changed pool, after [`LoadTable::update`]. New targets ramp up.
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
                weight: 1.0,
                remote: false,
                leaving: false,
                ramp_from,
                failures: 0,
                ejections: 0,
                ejected_until: None,
            });
            self.members.push(Member {
                position,
                weight: target.weight as f32,
                remote: target.failure_domain != self.domain,
                leaving: target.leaving,
                ..member
            });
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
                self.members[m].failures = 0;
            }
            AttemptEnd::Failed => {
                self.members[m].failures += 1;
                if self.members[m].failures >= self.options.eject_after {
                    self.eject(m, now);
                }
            }
            AttemptEnd::Refused(_) | AttemptEnd::Cancelled => {}
        }
    }

    fn eject(&mut self, m: usize, now: Time) {
        let ejected = self.members.iter().filter(|m| m.ejected_until.is_some()).count();
        let member = &self.members[m];
        if member.ejected_until.is_some() || (ejected + 1) * 3 > self.members.len() {
            return;
        }
        let factor = 1u32 << member.ejections.min(16);
        let time = (self.options.ejection * factor).min(self.options.max_ejection);
        let member = &mut self.members[m];
        member.ejections += 1;
        member.ejected_until = Some(now + time);
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, id: TargetId) -> bool {
        let found = self.members.binary_search_by_key(&id, |m| m.id);
        found.is_ok_and(|m| self.members[m].ejected_until.is_some())
    }

    /// Chooses the target of an attempt, or `None` if no target may receive it.
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
        self.find_eligible(table, exclusion, now, false);
        if self.eligible.is_empty() {
            self.find_eligible(table, exclusion, now, true);
        }
        let m = self.pick(table, now, rng)?;
        let member = &self.members[m];
        Some(Choice { target: member.id, estimate: table.estimate_at(member.position, now) })
    }

    fn find_eligible(
        &mut self,
        table: &LoadTable,
        exclusion: Exclusion<'_>,
        now: Time,
        with_ejected: bool,
    ) {
        self.eligible.clear();
        for (i, m) in self.members.iter_mut().enumerate() {
            if m.leaving || exclusion.draining.binary_search(&m.id).is_ok() {
                m.ramp_from = Some(now);
                continue;
            }
            if table.entry(m.position).paused_until > now {
                m.ramp_from = Some(now);
                continue;
            }
            if m.ejected_until.is_some_and(|t| t <= now) {
                m.ejected_until = None;
                m.failures = 0;
                m.ramp_from = Some(now);
            }
            let ejected = m.ejected_until.is_some() && !with_ejected;
            if !ejected && !exclusion.tried.contains(&m.id) {
                self.eligible.push(i as u16);
            }
        }
    }

    fn pick<R>(&mut self, table: &LoadTable, now: Time, rng: &mut R) -> Option<usize>
    where
        R: Rng + ?Sized,
    {
        if self.eligible.is_empty() {
            return None;
        }
        let n = self.eligible.len();
        match self.options.policy {
            Policy::Random => Some(usize::from(self.eligible[rng.random_range(0..n)])),
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                Some(usize::from(self.eligible[self.turn % n]))
            }
            Policy::TwoChoicesLocal => {
                let (a, b) = self.two(rng);
                let load = |m: usize| table.entry(self.members[m].position).in_flight;
                Some(if load(a) <= load(b) { a } else { b })
            }
            Policy::TwoChoicesReports => {
                let (a, b) = self.two(rng);
                let load = |m: usize| table.estimate_at(self.members[m].position, now).outstanding;
                Some(if load(a) <= load(b) { a } else { b })
            }
            Policy::ProbePool | Policy::SharedBest | Policy::Estimate => {
                let cost = |m: &u16| {
                    let member = &self.members[usize::from(*m)];
                    table.estimate_at(member.position, now).latency_ms / self.share(member, now)
                        + if member.remote { self.options.cross_domain_ms } else { 0.0 }
                };
                let best = self.eligible.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
                best.map(|m| usize::from(*m))
            }
        }
    }

    /// Returns the weight of a member, reduced while it ramps up.
    fn share(&self, member: &Member, now: Time) -> f32 {
        let ramp = member.ramp_from.map_or(1.0, |from| {
            now.since(from).as_secs_f32() / self.options.ramp.as_secs_f32().max(1e-3)
        });
        member.weight * ramp.clamp(0.05, 1.0)
    }

    fn two<R>(&self, rng: &mut R) -> (usize, usize)
    where
        R: Rng + ?Sized,
    {
        let n = self.eligible.len();
        let a = rng.random_range(0..n);
        let b = (a + rng.random_range(1..n.max(2))) % n;
        (usize::from(self.eligible[a]), usize::from(self.eligible[b]))
    }
}
