//! Places the requests of one pool for all hosts.
//!
//! For each pool one host, the scheduler, knows what the whole fleet has out at each target. The
//! others ask it where to send a request and tell it when the request has ended. It never has more
//! out at a target than the target can run, but for one place that covers the way of the messages;
//! what finds no slot waits here, in one order for the whole fleet, rather than in the targets'
//! queues:
//!
//! * first requests that can still be answered within their latency target, by the priority of
//!   their routes, then those that will be late; the one whose target ends first comes first;
//! * a request that would be late at the targets that are free, because these are slow at present,
//!   waits for a better one as long as that can help;
//! * one that will not be answered before its deadline is refused at once; while many wait, so is one
//!   that is late already and has little time left, because it would take the place of another;
//! * a request that runs at a target that has become slow meanwhile is given a place at a second one
//!   if it may run twice, would be late otherwise, and there is room to spare.
//!
//! The scheduler keeps nothing: another host can take over at any time and learns from the targets'
//! reports what is out there.

use super::faults::{FaultOptions, FaultScore};
use super::forecast::{ForecastOptions, TargetReport, latency_factor};
use super::registry::RegisteredTarget;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Identifies a request of one host.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// Number of the request at its host; it stands first because it differs more often.
    pub number: u64,
    /// The host that asks.
    pub host: Arc<str>,
}

/// A request that wants a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Failure domain of the host that asks.
    pub failure_domain: Arc<str>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u32,
    /// Usual time to run the request.
    pub service_time: Duration,
    /// Usual size of its bodies, in bytes.
    pub body_bytes: u32,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time until its latency target; zero once that is over.
    pub latency_target_left: Duration,
    /// Whether it may run at a second target while the first has not answered.
    pub hedgeable: bool,
    /// Targets that it must not be sent to.
    pub avoid: Vec<Arc<str>>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RejectReason {
    /// It would not be answered before its deadline.
    TooLate,
    /// The pool has no target that it may be sent to.
    NoTarget,
}

impl RejectReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::TooLate => "too_late",
            RejectReason::NoTarget => "no_target",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SlotDecision {
    /// It is to be sent to a target.
    Grant {
        /// The target.
        target: Arc<str>,
        /// Expected time to the answer as a multiple of the usual time.
        latency_factor: f64,
    },
    /// It waits; another decision follows.
    Wait,
    /// It was granted a target that has become slow; a place at another one is held for it.
    Hedge {
        /// The other target.
        target: Arc<str>,
        /// Expected time to the answer as a multiple of the usual time.
        latency_factor: f64,
    },
    /// It is refused.
    Reject {
        /// Why.
        reason: RejectReason,
        /// When the caller may return.
        retry_after: Duration,
    },
}

/// A target that has not reported lately.
#[derive(Clone, Debug, PartialEq)]
pub struct StaleTarget {
    /// Its identity.
    pub target: Arc<str>,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Time since its last report; `None` if there was none.
    pub age: Option<Duration>,
}

/// Weights and limits of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// Forecast of a target's time to answer.
    pub forecast: ForecastOptions,
    /// Score of faults.
    pub faults: FaultOptions,
    /// Addition to the factor on the expected time at targets in other failure domains than the
    /// host that asks, for any request.
    pub remote: f64,
    /// The same for each kilobyte of a request's bodies, as transfers between domains are paid for.
    pub remote_per_kb: f64,
    /// Largest addition to that factor.
    pub max_remote: f64,
    /// Time by which a request from the domain of a free place is preferred, as a multiple of the
    /// usual time and that addition.
    pub remote_wait: f64,
    /// Factor on the expected time that leaves room for slower requests, when it is decided whether
    /// a request will be in time.
    pub time_margin: f64,
    /// Requests that wait, as a part of the pool's slots, above which the pool is crowded.
    pub crowd: f64,
    /// Factor on the time that a request must have left once it will be late, while the pool is
    /// crowded: places are left to requests that can still be in time.
    pub late_margin: f64,
    /// Requests that a target may have beyond its slots while others wait.
    pub overcommit: u32,
    /// Time in which the trust in a reported slowdown falls to a third.
    pub trust: Duration,
    /// Slowdown assumed of a target without a recent report.
    pub unknown_slowdown: f64,
    /// Time in which requests of others that a report shows are forgotten to a third.
    pub foreign_trust: Duration,
    /// Part of a pool's targets from which faults leave none of them out, since then the cause lies
    /// elsewhere or the rest could not carry the load.
    pub max_ejected_share: f64,
    /// Rise of a target's slowdown from which requests that run there are looked at.
    pub slowed: f64,
    /// Part of the pool's slots that has to be free for second places.
    pub spare: f64,
    /// Requests that may wait; more are refused.
    pub max_waiting: usize,
    /// Part of the time left after which a refused caller may return.
    pub retry_after_share: f64,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            forecast: ForecastOptions::default(),
            faults: FaultOptions::default(),
            remote: 0.1,
            remote_per_kb: 0.25,
            max_remote: 1.5,
            remote_wait: 0.5,
            time_margin: 1.2,
            crowd: 0.05,
            late_margin: 3.0,
            overcommit: 1,
            trust: Duration::from_millis(250),
            unknown_slowdown: 1.5,
            foreign_trust: Duration::from_millis(400),
            max_ejected_share: 0.4,
            slowed: 1.5,
            spare: 0.25,
            max_waiting: 4_096,
            retry_after_share: 0.33,
        }
    }
}

/// What is expected of a target for one more request.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    has_room: bool,
    ejected: bool,
    /// Expected time to the answer as a multiple of the usual time.
    latency_factor: f64,
    /// Factor on that time for the target's faults.
    faults: f64,
}

/// What the decisions of one pass over the waiting requests have in common. It is worked out once, as
/// many requests may wait.
#[derive(Debug)]
struct Pass {
    now: Time,
    /// In the order of the targets.
    outlooks: Vec<Outlook>,
    /// Indices of the targets that have room.
    open: Vec<usize>,
    /// Requests that a target may have beyond its slots.
    overcommit: u32,
    /// Whether faults leave targets out.
    ejects: bool,
    /// Factor on the time that a request must have left to be placed, or to wait on, once it can't be
    /// answered within its latency target.
    late_margin: f64,
}

#[derive(Clone, Debug)]
struct Out {
    key: RequestKey,
    /// When it has ended at the latest, should its host not tell.
    until: Time,
    ask: SlotRequest,
    granted: Time,
    /// End of its latency target.
    due: Time,
    /// Slowdown of the target when it was granted.
    slowdown: f64,
    /// Whether it has, or is, a second place.
    hedged: bool,
}

impl Out {
    fn new(now: Time, w: &Waiting, slowdown: f64, hedged: bool) -> Self {
        Out {
            key: w.key.clone(),
            until: w.deadline(),
            ask: w.ask.clone(),
            granted: now,
            due: w.since + w.ask.latency_target_left,
            slowdown,
            hedged,
        }
    }

    /// Returns whether the request may run twice and will be late at its target, which now works
    /// `slowdown` times as long as usual.
    fn is_late(&self, now: Time, slowdown: f64) -> bool {
        let service_time = self.ask.service_time.as_secs_f64();
        let worked = now.since(self.granted).as_secs_f64() / self.slowdown.max(1.0);
        let left = (service_time - worked).max(service_time * MIN_WORK_LEFT) * slowdown;
        let may = self.ask.hedgeable && !self.hedged && now < self.due;
        may && now + Duration::from_secs_f64(left) > self.due
    }
}

#[derive(Clone, Debug)]
struct Target {
    id: Arc<str>,
    failure_domain: Arc<str>,
    slots: u32,
    cold: bool,
    /// Requests that were granted and have not ended.
    out: Vec<Out>,
    slowdown: f64,
    /// When it last reported.
    reported: Option<Time>,
    /// Requests of others that the last report showed.
    foreign: f64,
    faults: FaultScore,
}

/// Least part of its usual time that a request is assumed to need yet, since some take longer than
/// usual.
const MIN_WORK_LEFT: f64 = 0.2;

#[derive(Clone, Debug)]
struct Waiting {
    key: RequestKey,
    ask: SlotRequest,
    since: Time,
}

impl Waiting {
    fn deadline(&self) -> Time {
        self.since + self.ask.time_left
    }

    /// Returns whether it can still be answered within its latency target, at a target that is as
    /// fast as usual.
    fn can_be_in_time(&self, now: Time) -> bool {
        now + self.ask.service_time <= self.since + self.ask.latency_target_left
    }
}

/// The scheduler of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler {
    opts: SchedulerOptions,
    /// Sorted by id.
    targets: Vec<Target>,
    /// In the order of arrival.
    waiting: Vec<Waiting>,
    /// Targets whose slowdown has risen since they were last looked at.
    slowed: Vec<Arc<str>>,
}

impl Scheduler {
    /// Returns a scheduler that knows no targets.
    pub fn new(opts: SchedulerOptions) -> Self {
        Scheduler { opts, targets: Vec::new(), waiting: Vec::new(), slowed: Vec::new() }
    }

    /// Takes in the targets of the pool, with whether each is slow from its start.
    pub fn update<'a, I>(&mut self, registered: I)
    where
        I: Iterator<Item = (&'a RegisteredTarget, bool)>,
    {
        let old = std::mem::take(&mut self.targets);
        for (t, cold) in registered.filter(|(t, _)| !t.leaving) {
            let known = old.binary_search_by(|o| o.id.cmp(&t.id)).ok().map(|i| &old[i]);
            self.targets.push(Target {
                id: t.id.clone(),
                failure_domain: t.failure_domain.clone(),
                slots: t.slots.max(1),
                cold,
                out: known.map(|k| k.out.clone()).unwrap_or_default(),
                slowdown: known.map_or(self.opts.unknown_slowdown, |k| k.slowdown),
                reported: known.and_then(|k| k.reported),
                foreign: known.map_or(0.0, |k| k.foreign),
                faults: known.map(|k| k.faults).unwrap_or_default(),
            });
        }
        self.targets.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Returns the targets that have not reported for `max_age`, the longest first.
    pub fn stale_targets(&self, now: Time, max_age: Duration) -> Vec<StaleTarget> {
        let mut stale_targets: Vec<StaleTarget> = self
            .targets
            .iter()
            .map(|t| StaleTarget {
                age: t.reported.map(|at| now.since(at)),
                target: t.id.clone(),
                failure_domain: t.failure_domain.clone(),
            })
            .filter(|u| u.age.is_none_or(|age| age >= max_age))
            .collect();
        stale_targets.sort_by_key(|u| (u.age.is_some(), std::cmp::Reverse(u.age)));
        stale_targets
    }

    /// Decides on a request. Decisions on others that wait may come with it.
    pub fn on_request(
        &mut self,
        now: Time,
        key: RequestKey,
        ask: SlotRequest,
    ) -> Vec<(RequestKey, SlotDecision)> {
        // A message that arrives twice must not take two places.
        self.forget(&key);
        let waiting = Waiting { key: key.clone(), ask, since: now };
        if self.waiting.len() >= self.opts.max_waiting {
            return vec![(key, self.refuse(now, &waiting, RejectReason::TooLate))];
        }
        self.waiting.push(waiting);
        let mut out = self.advance(now);
        if !out.iter().any(|(t, _)| *t == key) {
            out.push((key, SlotDecision::Wait));
        }
        out
    }

    /// Records that a request has ended, with what the target said of its load at that time.
    pub fn on_grant_ended(
        &mut self,
        now: Time,
        key: &RequestKey,
        report: Option<(Arc<str>, TargetReport)>,
    ) -> Vec<(RequestKey, SlotDecision)> {
        self.forget(key);
        if let Some((target, report)) = report {
            self.on_report(now, &target, &report);
        }
        self.advance(now)
    }

    /// Records what a target said of its load.
    pub fn on_report(&mut self, now: Time, target: &str, report: &TargetReport) {
        let Some(t) = self.targets.iter_mut().find(|t| &*t.id == target) else { return };
        if report.slowdown >= t.slowdown * self.opts.slowed && !t.out.is_empty() {
            self.slowed.push(t.id.clone());
        }
        t.slowdown = report.slowdown;
        t.slots = report.slots.max(1);
        t.reported = Some(now);
        let at_target = report.running + report.waiting;
        t.foreign = f64::from(at_target.saturating_sub(t.out.len() as u32));
    }

    /// Adds to a target's faults.
    pub fn on_fault(&mut self, now: Time, target: &str, weight: f64) {
        let faults = self.opts.faults;
        if let Some(t) = self.targets.iter_mut().find(|t| &*t.id == target) {
            t.faults.add(now, weight, &faults);
        }
    }

    /// Advances the time: requests that wait may now be refused or granted.
    pub fn tick(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        for t in &mut self.targets {
            t.out.retain(|o| now < o.until);
        }
        self.advance(now)
    }

    /// Gives back a second place that a host does not use.
    pub fn on_grant_declined(
        &mut self,
        now: Time,
        key: &RequestKey,
        target: &str,
    ) -> Vec<(RequestKey, SlotDecision)> {
        if let Some(t) = self.targets.iter_mut().find(|t| &*t.id == target) {
            t.out.retain(|o| o.key != *key);
        }
        self.advance(now)
    }

    fn forget(&mut self, key: &RequestKey) {
        for t in &mut self.targets {
            t.out.retain(|o| o.key != *key);
        }
        self.waiting.retain(|w| w.key != *key);
    }

    /// Grants what can be granted and refuses what can't be answered any more.
    fn advance(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        let mut out = Vec::new();
        if !self.waiting.is_empty() {
            let mut pass = self.pass(now);
            for i in self.order(&pass) {
                let Some(decision) = self.decide(&pass, &self.waiting[i]) else { continue };
                let waiting = &self.waiting[i];
                if let SlotDecision::Grant { target, .. } = &decision
                    && let Ok(t) = self.targets.binary_search_by(|t| t.id.cmp(target))
                {
                    let granted = Out::new(now, waiting, self.targets[t].slowdown, false);
                    self.targets[t].out.push(granted);
                    self.look_again(&mut pass, t);
                }
                out.push((self.waiting[i].key.clone(), decision));
            }
            self.waiting.retain(|w| !out.iter().any(|(t, _)| *t == w.key));
        }
        out.extend(self.hedge(now));
        out
    }

    /// Returns what the decisions of this time have in common.
    fn pass(&self, now: Time) -> Pass {
        let faults = &self.opts.faults;
        let ejected = self.targets.iter().filter(|t| t.faults.is_ejected(now, faults)).count();
        let slots: u32 = self.targets.iter().map(|t| t.slots).sum();
        let crowd = (self.opts.crowd * f64::from(slots)).max(1.0);
        let is_crowded = self.waiting.len() as f64 > crowd;
        let mut pass = Pass {
            now,
            outlooks: Vec::with_capacity(self.targets.len()),
            open: Vec::new(),
            overcommit: if self.waiting.len() > 1 { self.opts.overcommit } else { 0 },
            ejects: ejected as f64 <= self.opts.max_ejected_share * self.targets.len() as f64,
            late_margin: if is_crowded { self.opts.late_margin } else { 1.0 },
        };
        for (i, t) in self.targets.iter().enumerate() {
            let outlook = self.outlook(&pass, t);
            pass.outlooks.push(outlook);
            if outlook.has_room {
                pass.open.push(i);
            }
        }
        pass
    }

    fn outlook(&self, pass: &Pass, t: &Target) -> Outlook {
        let report = self.expected_report(pass.now, t);
        let faults = &self.opts.faults;
        Outlook {
            has_room: report.running + report.waiting < report.slots + pass.overcommit,
            ejected: pass.ejects && t.faults.is_ejected(pass.now, faults),
            latency_factor: latency_factor(&report, t.cold, &self.opts.forecast),
            faults: 1.0 + t.faults.at(pass.now, faults),
        }
    }

    /// Takes in that the target with index `i` has got a request.
    fn look_again(&self, pass: &mut Pass, i: usize) {
        pass.outlooks[i] = self.outlook(pass, &self.targets[i]);
        if !pass.outlooks[i].has_room {
            pass.open.retain(|o| *o != i);
        }
    }

    /// Gives second places to requests that run at targets that have become slow.
    fn hedge(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        let mut out = Vec::new();
        for id in std::mem::take(&mut self.slowed) {
            let Ok(i) = self.targets.binary_search_by(|t| t.id.cmp(&id)) else { continue };
            let slow = &self.targets[i];
            let late: Vec<Out> =
                slow.out.iter().filter(|o| o.is_late(now, slow.slowdown)).cloned().collect();
            for o in late {
                let mut avoid = o.ask.avoid.clone();
                avoid.push(id.clone());
                let ask = SlotRequest {
                    avoid,
                    time_left: o.until.since(now),
                    latency_target_left: o.due.since(now),
                    ..o.ask.clone()
                };
                let w = Waiting { key: o.key.clone(), ask, since: now };
                let Some((target, latency_factor)) = self.spare_place(now, &w) else { continue };
                if let Some(first) = self.targets[i].out.iter_mut().find(|f| f.key == o.key) {
                    first.hedged = true;
                }
                if let Some(t) = self.targets.iter_mut().find(|t| t.id == target) {
                    let second = Out::new(now, &w, t.slowdown, true);
                    t.out.push(second);
                }
                out.push((o.key, SlotDecision::Hedge { target, latency_factor }));
            }
        }
        out
    }

    /// Returns a target at which a request is in time, if there is room to spare in the pool.
    fn spare_place(&self, now: Time, w: &Waiting) -> Option<(Arc<str>, f64)> {
        let (out, slots) = self.targets.iter().fold((0.0, 0.0), |(out, slots), t| {
            (out + t.out.len() as f64 + t.foreign, slots + f64::from(t.slots))
        });
        if !self.waiting.is_empty() || out > (1.0 - self.opts.spare) * slots {
            return None;
        }
        let (best, latency_factor) = self.best(&self.pass(now), w)?;
        let in_time = w.ask.service_time.mul_f64(latency_factor) <= w.ask.latency_target_left;
        in_time.then(|| (best.id.clone(), latency_factor))
    }

    /// Returns the indices of the requests that wait, the one to be served first in front.
    fn order(&self, pass: &Pass) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        if pass.open.is_empty() {
            // Nothing is placed, so that the order doesn't matter.
            return order;
        }
        let mut with_room: Vec<&str> =
            pass.open.iter().map(|i| &*self.targets[*i].failure_domain).collect();
        with_room.sort_unstable();
        with_room.dedup();
        order.sort_by_cached_key(|i| {
            let w = &self.waiting[*i];
            let near = with_room.binary_search(&&*w.ask.failure_domain).is_ok();
            // A free place goes to a request from its own domain, unless one from elsewhere has
            // waited for longer by what the distance is worth.
            let remote = if near { 0.0 } else { self.remote(&w.ask) * self.opts.remote_wait };
            let turn = w.since + w.ask.latency_target_left + w.ask.service_time.mul_f64(remote);
            (!w.can_be_in_time(pass.now), w.ask.priority, turn)
        });
        order
    }

    /// Decides on a request that is first in order; `None` lets it wait on.
    fn decide(&self, pass: &Pass, w: &Waiting) -> Option<SlotDecision> {
        let now = pass.now;
        let left = w.deadline().since(now);
        if left < w.ask.service_time {
            return Some(self.refuse(now, w, RejectReason::TooLate));
        }
        if self.targets.iter().all(|t| w.ask.avoid.contains(&t.id)) {
            return Some(self.refuse(now, w, RejectReason::NoTarget));
        }
        let is_late = !w.can_be_in_time(now);
        if let Some((best, latency_factor)) = self.best(pass, w) {
            let expected = w.ask.service_time.mul_f64(latency_factor);
            // A free target that is too slow at present is passed over while another may still do.
            let in_time = now + expected <= w.since + w.ask.latency_target_left;
            if in_time || is_late && expected.mul_f64(pass.late_margin) <= left {
                return Some(SlotDecision::Grant { target: best.id.clone(), latency_factor });
            }
        }
        let is_hopeless = is_late && left < w.ask.service_time.mul_f64(pass.late_margin);
        is_hopeless.then(|| self.refuse(now, w, RejectReason::TooLate))
    }

    /// Returns the best target with room for a request and the stretch to expect there. A target that
    /// faults leave out counts only if there are no others.
    fn best(&self, pass: &Pass, w: &Waiting) -> Option<(&Target, f64)> {
        let ask = &w.ask;
        let latency_target_left = (w.since + ask.latency_target_left).since(pass.now);
        let is_usable = |i: usize| !ask.avoid.contains(&self.targets[i].id);
        let is_sound = |i: usize| !pass.outlooks[i].ejected;
        let any_sound = (0..self.targets.len()).any(|i| is_sound(i) && is_usable(i));
        let open = pass.open.iter().copied();
        let rated = open.filter(|i| is_usable(*i) && (is_sound(*i) || !any_sound)).map(|i| {
            let (t, outlook) = (&self.targets[i], &pass.outlooks[i]);
            let near = t.failure_domain == ask.failure_domain;
            let remote = if near { 0.0 } else { self.remote(ask) };
            let time = ask.service_time.mul_f64(outlook.latency_factor * self.opts.time_margin);
            let order = outlook.latency_factor * (1.0 + remote) * outlook.faults;
            (time > latency_target_left, order, t, outlook.latency_factor)
        });
        let best = rated.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, t, latency_factor)| (t, latency_factor))
    }

    /// Returns the addition to the factor on the expected time at remote targets.
    fn remote(&self, ask: &SlotRequest) -> f64 {
        let per_size = self.opts.remote_per_kb * f64::from(ask.body_bytes) / 1_024.0;
        (self.opts.remote + per_size).min(self.opts.max_remote)
    }

    /// Returns what a target would say of its load now.
    fn expected_report(&self, now: Time, t: &Target) -> TargetReport {
        let age = t.reported.map_or(f64::INFINITY, |at| now.since(at).as_secs_f64());
        let unknown = self.opts.unknown_slowdown;
        let trust = (-age / self.opts.trust.as_secs_f64()).exp();
        let foreign = t.foreign * (-age / self.opts.foreign_trust.as_secs_f64()).exp();
        let load = t.out.len() as u32 + foreign.round() as u32;
        TargetReport {
            running: load.min(t.slots),
            waiting: load.saturating_sub(t.slots),
            slots: t.slots,
            slowdown: unknown + (t.slowdown - unknown) * trust,
        }
    }

    fn refuse(&self, now: Time, w: &Waiting, reason: RejectReason) -> SlotDecision {
        let left = w.deadline().since(now);
        SlotDecision::Reject { reason, retry_after: left.mul_f64(self.opts.retry_after_share) }
    }
}
