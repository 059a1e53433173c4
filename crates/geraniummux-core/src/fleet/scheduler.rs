//! Grants the slots of one pool's targets to the requests of all hosts.
//!
//! For each pool, one host runs the scheduler, which tracks the requests that the whole fleet has in
//! flight at each target. The other hosts ask it for a slot and report when the request has ended.
//! It never grants a target more requests than the target has slots, except a few more at one with many slots
//! while other requests wait, which covers the latency of the messages. A request without a slot waits in the
//! scheduler, in one order for the whole fleet, rather than in the queues of the targets:
//!
//! * Requests that can still be answered within their latency target come first, by the priority of
//!   their routes, and then those that will be late. Within these groups, the request whose latency
//!   target ends first comes first.
//! * A request that would be late at all targets with a free slot, because these are slow at present,
//!   waits for a better one as long as that can help.
//! * A request that can't be answered before its deadline is rejected at once. While many requests
//!   wait, so is one that is late already and has little time left, because it would take the slot of
//!   another.
//! * A request of a team with an allowance is granted a slot only with a token, and rejected at once while the
//!   allowance is used up. While many requests wait, teams that had more than their share go after the others.
//! * A target that limits its request rate is granted to no more requests than that, over all hosts. If
//!   some targets have limits, a request is rejected at once if its turn would come too late.
//! * A cold target is granted to no more requests than it accepts while it is cold.
//! * A request whose target becomes slow while it runs is granted a slot at a second target for a
//!   hedge, if it may be hedged, would be late otherwise, and the pool has capacity to spare.
//!
//! The scheduler stores no state: another host can take over at any time, since the targets' reports
//! show what is in flight there.

use super::allowance::{AllowanceAnswer, AllowanceStock, TeamTerms, TokenMessage, TokenState};
use super::demands::ReportedDemand;
use super::faults::{FaultOptions, FaultScore};
use super::forecast::{ForecastOptions, LatencyForecast, TargetReport, forecast};
use super::limits::{LimitOutlook, MAX_LIMIT_AGE, RateBucket};
use super::registry::{RegisteredTarget, TargetRun};
use super::team_shares::TeamShares;
use super::warm::WarmConnections;
use crate::time::{Time, scaled, seconds};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a request of one host.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// Number of the request at its host. It is compared first because it differs more often.
    pub number: u64,
    /// The host that sends the request.
    pub host: Arc<str>,
}

/// A host's request for a slot at one of the pool's targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Failure domain of the requesting host.
    pub failure_domain: Arc<str>,
    /// Priority of the request's route; 0 is the most urgent.
    pub priority: u32,
    /// Typical service time of the requests of its route.
    pub service_time: Duration,
    /// Typical size of the request's and the response's bodies together, in bytes.
    pub body_bytes: u32,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Time left until the latency target of the request; zero once that has passed.
    pub latency_target_left: Duration,
    /// Whether the request may run at a second target while the first has not answered.
    pub hedgeable: bool,
    /// Targets to which the request must not be sent.
    pub avoid: Vec<Arc<str>>,
}

/// Why a request for a slot is rejected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RejectReason {
    /// The request is not expected to be answered before its deadline, or too many others wait.
    TooLate,
    /// The pool has no target to which the request may be sent.
    NoTarget,
    /// The targets limit their request rates, and others come first.
    Limited,
    /// The allowance of the request's team is used up.
    OverAllowance,
    /// No host grants tokens of the team's allowance at present.
    NoAllocator,
}

impl RejectReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::TooLate => "too_late",
            RejectReason::NoTarget => "no_target",
            RejectReason::Limited => "limited",
            RejectReason::OverAllowance => "over_allowance",
            RejectReason::NoAllocator => "no_allocator",
        }
    }
}

/// The scheduler's decision on a request for a slot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SlotDecision {
    /// The request is granted a slot at a target.
    Grant {
        /// The target.
        target: Arc<str>,
        /// Expected latency as a multiple of the typical service time.
        latency_factor: f64,
    },
    /// The request waits for a slot; another decision follows.
    Wait,
    /// The target of an earlier grant has become slow; a slot at another target is reserved for a
    /// hedge.
    Hedge {
        /// The other target.
        target: Arc<str>,
        /// Expected latency of the hedge as a multiple of the typical service time.
        latency_factor: f64,
    },
    /// The request is rejected.
    Reject {
        /// Why it is rejected.
        reason: RejectReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl SlotDecision {
    /// Returns the name of the decision in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            SlotDecision::Grant { .. } => "grant",
            SlotDecision::Wait => "wait",
            SlotDecision::Hedge { .. } => "hedge",
            SlotDecision::Reject { .. } => "reject",
        }
    }
}

/// A target without a recent load report.
#[derive(Clone, Debug, PartialEq)]
pub struct StaleTarget {
    /// Identity of the target.
    pub target: Arc<str>,
    /// Failure domain in which the target runs.
    pub failure_domain: Arc<str>,
    /// Time since the target's last report; `None` if there was none.
    pub age: Option<Duration>,
}

/// Parameters of a [`Scheduler`].
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// Forecast of a target's latency.
    pub forecast: ForecastOptions,
    /// Score of a target's faults.
    pub faults: FaultOptions,
    /// Penalty on targets outside the failure domain of the requesting host, for any request: the
    /// latency factor is multiplied by 1 + penalty when targets are compared.
    pub remote_penalty: f64,
    /// Additional penalty for each kilobyte of the request's bodies, since transfers between domains
    /// are paid for.
    pub remote_penalty_per_kb: f64,
    /// Maximum of the whole penalty.
    pub max_remote_penalty: f64,
    /// How much higher the cost of a target may be to which the requesting host holds an idle
    /// connection, as a fraction of the lowest cost.
    pub warm_preference: f64,
    /// Time for which a host is taken to hold an idle connection.
    pub max_idle: Duration,
    /// How long a request from the failure domain of a free slot is preferred to one from another
    /// domain, as a multiple of the latter's typical service time x penalty.
    pub local_preference: f64,
    /// Factor on the expected latency when targets are checked for whether a request will be in time
    /// there; it leaves room for requests that take longer than is typical.
    pub latency_margin: f64,
    /// Number of waiting requests above which the pool is crowded, as a fraction of its slots.
    pub crowded_share: f64,
    /// Factor on the time that a late request must have left before its deadline while the pool is
    /// crowded, so that slots are left to requests that can still be in time.
    pub late_deadline_margin: f64,
    /// Number of requests that a target may have beyond its slots while other requests wait, as a fraction of its
    /// slots and rounded down. At a target with few slots, one request more would wait for long.
    pub overcommit_share: f64,
    /// Time in which the weight of a reported slowdown decays to about a third (1/e).
    pub report_decay: Duration,
    /// Slowdown assumed for a target without a recent report.
    pub unknown_slowdown: f64,
    /// Time in which the number of untracked requests that a report shows decays to about a third
    /// (1/e).
    pub untracked_decay: Duration,
    /// Fraction of the pool's targets above which no target is ejected for faults, since the cause
    /// then lies elsewhere or the remaining targets could not carry the load.
    pub max_ejected_share: f64,
    /// Time for which a target gets no requests after another one has answered at its address.
    pub identity_mismatch_ejection: Duration,
    /// Rise of a target's slowdown, as a ratio of two successive reports, from which the requests in
    /// flight there are considered for hedges.
    pub hedge_slowdown_rise: f64,
    /// Fraction of the pool's slots that must be free for hedges.
    pub hedge_spare_share: f64,
    /// Maximum number of waiting requests; further ones are rejected.
    pub max_waiting: usize,
    /// Time after which a rejected caller may retry, as a fraction of the time left until the
    /// deadline.
    pub retry_after_share: f64,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            forecast: ForecastOptions::default(),
            faults: FaultOptions::default(),
            remote_penalty: 0.1,
            remote_penalty_per_kb: 0.25,
            max_remote_penalty: 1.5,
            warm_preference: 0.1,
            max_idle: Duration::from_secs(7),
            local_preference: 0.5,
            latency_margin: 1.2,
            crowded_share: 0.05,
            late_deadline_margin: 3.0,
            overcommit_share: 0.2,
            report_decay: Duration::from_millis(250),
            unknown_slowdown: 1.5,
            untracked_decay: Duration::from_millis(400),
            max_ejected_share: 0.4,
            identity_mismatch_ejection: Duration::from_secs(2),
            hedge_slowdown_rise: 1.5,
            hedge_spare_share: 0.25,
            max_waiting: 4_096,
            retry_after_share: 0.33,
        }
    }
}

/// What to expect of a target for one more request.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    has_room: bool,
    ejected: bool,
    latency: LatencyForecast,
    /// Factor on the latency factor for the target's faults, at least 1.
    fault_factor: f64,
}

/// State shared by the decisions of one pass over the waiting requests. It is computed once per pass,
/// since many requests may wait.
#[derive(Debug)]
struct Pass {
    now: Time,
    /// Forecasts in the order of the targets.
    forecasts: Vec<Forecast>,
    /// Indices of the targets with room for a request.
    available: Vec<usize>,
    /// Whether targets may have requests beyond their slots.
    may_overcommit: bool,
    /// Whether targets are ejected for faults.
    may_eject: bool,
    /// What the targets accept while some of them have limits, if requests are to be rejected whose turn
    /// would come too late.
    limits: Option<LimitOutlook>,
    /// Number of requests that were decided on in this pass and wait on.
    waiting_on: usize,
    /// Factor on the time that a late request must have left before its deadline to be granted a slot
    /// or to wait on.
    late_deadline_margin: f64,
    /// Teams that have had more than their share of the pool, sorted by name; none while few requests wait.
    in_excess: Vec<Arc<str>>,
}

impl Pass {
    fn is_in_excess(&self, w: &Waiting) -> bool {
        let team = w.team.as_ref().map(|t| &t.team);
        team.is_some_and(|team| self.in_excess.binary_search(team).is_ok())
    }
}

/// A request that was granted a slot and has not ended.
#[derive(Clone, Debug)]
struct InFlight {
    key: RequestKey,
    /// Deadline of the request, at which the slot is free even if its host does not report the end.
    expires_at: Time,
    request: SlotRequest,
    granted_at: Time,
    /// End of the request's latency target.
    latency_deadline: Time,
    /// Slowdown of the target at the time of the grant.
    slowdown: f64,
    /// Whether the request has a hedge, or this is the hedge.
    is_hedged: bool,
}

impl InFlight {
    fn new(now: Time, w: &Waiting, slowdown: f64, is_hedged: bool) -> Self {
        InFlight {
            key: w.key.clone(),
            expires_at: w.deadline(),
            request: w.request.clone(),
            granted_at: now,
            latency_deadline: w.since + w.request.latency_target_left,
            slowdown,
            is_hedged,
        }
    }

    /// Returns whether the request may be hedged and will be late at its target, which now has the
    /// given slowdown.
    fn needs_hedge(&self, now: Time, slowdown: f64) -> bool {
        let service_time = self.request.service_time.as_secs_f64();
        let worked = now.since(self.granted_at).as_secs_f64() / self.slowdown.max(1.0);
        let remaining = (service_time - worked).max(service_time * MIN_REMAINING_WORK) * slowdown;
        let may_hedge = self.request.hedgeable && !self.is_hedged && now < self.latency_deadline;
        may_hedge && now + seconds(remaining) > self.latency_deadline
    }
}

#[derive(Clone, Debug)]
struct Target {
    id: Arc<str>,
    /// Index of the failure domain in the scheduler's list.
    domain: usize,
    slots: u32,
    warming_up: bool,
    /// Requests that the target accepts while it is cold, and until when.
    warm_up: Option<(RateBucket, Time)>,
    /// Requests of this fleet that are in flight at the target.
    in_flight: Vec<InFlight>,
    slowdown: f64,
    /// Time of the last report.
    reported_at: Option<Time>,
    /// Number of requests in the last report that this scheduler has not granted.
    untracked: f64,
    faults: FaultScore,
    /// End of the time without requests after another target has answered at this one's address.
    mismatched_until: Time,
    run: TargetRun,
    /// Until when the target is taken to be leaving, unless a host says so again.
    leaving_until: Time,
    /// Requests that the target accepts at present, if it limits their rate.
    limit: Option<RateBucket>,
    /// When the target's last answer was given that says whether it is leaving or has a limit.
    demand_at: Time,
    outlook: Outlook,
}

/// What decays with the age of a target's last report and faults, as of a recent time.
#[derive(Clone, Copy, Debug, Default)]
struct Outlook {
    /// When it was computed; `None` if the target has reported or failed since.
    at: Option<Time>,
    slowdown: f64,
    /// Number of requests that this scheduler has not granted.
    untracked: u32,
    fault_score: f64,
}

impl Target {
    /// Returns whether the target accepts no requests, whatever its load.
    fn is_closed(&self, now: Time) -> bool {
        now < self.leaving_until || now < self.mismatched_until
    }

    /// Returns how many requests a second the target accepts; `None` if it has no limit, or has answered
    /// long after it last named one.
    fn limit_per_s(&self) -> Option<f64> {
        let has_ended = self.reported_at.is_some_and(|at| at >= self.demand_at + MAX_LIMIT_AGE);
        self.limit.filter(|_| !has_ended).map(|l| l.per_s())
    }

    /// Returns whether the target's limit and, if it is cold, its warm-up allow one more request.
    fn is_within_limit(&self, now: Time) -> bool {
        let is_warm = self.warm_up.is_none_or(|(w, until)| now >= until || w.has_token(now));
        is_warm && (self.limit_per_s().is_none() || self.limit.is_none_or(|l| l.has_token(now)))
    }

    /// Returns the rate that the target accepts if it is limited or cold, and the time until it accepts a
    /// request.
    fn accepted(&self, now: Time) -> Option<(f64, Duration)> {
        let limit = self.limit_per_s().and(self.limit);
        let warm_up = self.warm_up.filter(|(_, until)| now < *until).map(|(w, _)| w);
        let of = |b: RateBucket| (b.per_s(), b.next_token(now));
        match (limit.map(of), warm_up.map(of)) {
            (Some((a, next_a)), Some((b, next_b))) => Some((a.min(b), next_a.max(next_b))),
            (one, other) => one.or(other),
        }
    }

    /// Returns how many slots requests can use. A limited target's rate says how many, rather than its
    /// slots; those in use are the best estimate.
    fn usable_slots(&self) -> u32 {
        match (self.limit_per_s(), self.warm_up) {
            (None, None) => self.slots,
            _ => self.slots.min(self.in_flight.len() as u32),
        }
    }

    /// Takes a request out of the target's limit, unless that is forgotten, and out of its warm-up.
    fn take_token(&mut self, now: Time) {
        if let Some((warm_up, _)) = self.warm_up.as_mut().filter(|(_, until)| now < *until) {
            warm_up.take(now);
        }
        let is_limited = self.limit_per_s().is_some();
        if let Some(limit) = self.limit.as_mut().filter(|_| is_limited) {
            limit.take(now);
        }
    }

    /// Returns whether the target may be probed: if it has a limit, only so often that probes add a
    /// fraction to the requests that it accepts.
    fn may_probe(&self, now: Time) -> bool {
        let (Some(per_s), Some(at)) = (self.limit_per_s(), self.reported_at) else {
            return true;
        };
        now.since(at).as_secs_f64() * per_s * LIMITED_PROBE_SHARE >= 1.0
    }

    /// Records the load that the target reported.
    fn set_report(&mut self, now: Time, report: &TargetReport) {
        self.slowdown = report.slowdown;
        self.slots = report.slots.max(1);
        self.reported_at = Some(now);
        let at_target = report.running.saturating_add(report.waiting);
        self.untracked = f64::from(at_target.saturating_sub(self.in_flight.len() as u32));
        self.outlook.at = None;
    }

    /// Computes the outlook anew unless it is recent.
    fn refresh_outlook(&mut self, now: Time, opts: &SchedulerOptions) {
        if self.outlook.at.is_some_and(|at| now.since(at) < MAX_OUTLOOK_AGE) {
            return;
        }
        let age = self.reported_at.map_or(f64::INFINITY, |at| now.since(at).as_secs_f64());
        let unknown = opts.unknown_slowdown;
        let report_weight = (-age / opts.report_decay.as_secs_f64()).exp();
        let untracked = self.untracked * (-age / opts.untracked_decay.as_secs_f64()).exp();
        self.outlook = Outlook {
            at: Some(now),
            slowdown: unknown + (self.slowdown - unknown) * report_weight,
            untracked: untracked.round() as u32,
            fault_score: self.faults.at(now, &opts.faults),
        };
    }

    /// Returns the report that the target is expected to make now.
    fn expected_report(&self) -> TargetReport {
        let load = self.outlook.untracked.saturating_add(self.in_flight.len() as u32);
        TargetReport {
            running: load.min(self.slots),
            waiting: load.saturating_sub(self.slots),
            slots: self.slots,
            slowdown: self.outlook.slowdown,
        }
    }
}

/// Age up to which an outlook is used; the loads change more quickly than the decay over this time.
const MAX_OUTLOOK_AGE: Duration = Duration::from_millis(5);
/// Probes of a target with a limit, as a fraction of the requests that it accepts.
const LIMITED_PROBE_SHARE: f64 = 0.25;
/// Interval at which requests are rejected whose turn would come too late, since finding them costs a
/// pass over all waiting requests.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a target is no longer taken to be leaving because a host said so. Hosts that know a target to
/// be leaving repeat it each second while they send requests to its pool.
const LEAVING_RETENTION: Duration = Duration::from_secs(5);
/// Interval at which slots are freed whose requests have passed their deadlines.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of waiting requests from which decisions are put off. A pass over so many costs more than what the
/// message that causes it would change.
const MANY_WAITING: usize = 32;
/// Shortest time between two passes over many waiting requests. A slot that becomes free waits for this time at
/// most.
pub const PASS_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which a request waits for an allocator to come up.
pub const MAX_ALLOCATOR_WAIT: Duration = Duration::from_millis(250);
/// Weight of a new request in the mean service time of a pool.
const MEAN_SERVICE_TIME_WEIGHT: f64 = 0.02;
/// Maximum number of targets at which a request is in flight: the first, and that of its hedge.
const MAX_TARGETS_OF_REQUEST: usize = 2;

/// Targets at which a request is in flight.
#[derive(Clone, Debug)]
struct Placement {
    key: RequestKey,
    /// Indices of the targets.
    targets: [Option<u32>; MAX_TARGETS_OF_REQUEST],
}

/// Fraction of its typical service time that a request in flight is assumed to need at least, since
/// some requests take longer than is typical.
const MIN_REMAINING_WORK: f64 = 0.2;

#[derive(Clone, Debug)]
struct Waiting {
    key: RequestKey,
    request: SlotRequest,
    /// The team of the request, if there are teams.
    team: Option<TeamTerms>,
    since: Time,
    /// When the request was received first; `since` is when it was received last.
    arrived_at: Time,
}

impl Waiting {
    fn deadline(&self) -> Time {
        self.since + self.request.time_left
    }

    /// Returns when the latency target ends.
    fn latency_deadline(&self) -> Time {
        self.since + self.request.latency_target_left
    }

    /// Returns whether the request can still be answered within its latency target by a target that
    /// takes `slowdown` times the typical service time.
    fn can_be_in_time(&self, now: Time, slowdown: f64) -> bool {
        now + scaled(self.request.service_time, slowdown) <= self.latency_deadline()
    }
}

/// The scheduler of one pool: grants slots at the pool's targets to the requests of all hosts.
#[derive(Clone, Debug)]
pub struct Scheduler {
    opts: SchedulerOptions,
    /// Sorted by id.
    targets: Vec<Target>,
    /// Failure domains of targets in the order in which they were seen first.
    domains: Vec<Arc<str>>,
    /// Requests without a slot, in the order of arrival.
    waiting: Vec<Waiting>,
    /// Targets whose slowdown has risen since the last check for hedges.
    slowed_targets: Vec<Arc<str>>,
    /// Requests in flight, sorted by key.
    placements: Vec<Placement>,
    /// When expired requests were looked for last.
    expired_at: Time,
    /// Idle connections of the hosts.
    warm: WarmConnections,
    /// When expired idle connections were forgotten last.
    warm_expired_at: Time,
    /// Part of the targets' limits that this scheduler grants.
    limit_share: f64,
    /// When requests were last rejected whose turn would come too late.
    turns_checked_at: Time,
    /// Tokens of the teams' allowances.
    stock: AllowanceStock,
    /// Work that the pool has done for each team.
    shares: TeamShares,
    /// When the waiting requests were last decided on.
    passed_at: Time,
    /// Whether they have to be decided on once more.
    is_pass_due: bool,
    /// Moving average of the typical service times of the requests that were granted slots, in seconds.
    mean_service_time_s: Option<f64>,
}

impl Scheduler {
    /// Returns a scheduler without targets.
    pub fn new(opts: SchedulerOptions) -> Self {
        Scheduler {
            opts,
            targets: Vec::new(),
            domains: Vec::new(),
            waiting: Vec::new(),
            slowed_targets: Vec::new(),
            placements: Vec::new(),
            expired_at: Time::default(),
            warm: WarmConnections::default(),
            warm_expired_at: Time::default(),
            limit_share: 1.0,
            turns_checked_at: Time::default(),
            stock: AllowanceStock::default(),
            shares: TeamShares::default(),
            passed_at: Time::default(),
            is_pass_due: false,
            mean_service_time_s: None,
        }
    }

    /// Replaces the targets by the registered ones that are not leaving; the flag of each one is
    /// whether it is warming up. Targets that stay keep their load, faults and requests in flight.
    pub fn update<'a, I>(&mut self, registered: I)
    where
        I: Iterator<Item = (&'a RegisteredTarget, bool)>,
    {
        let mut old = std::mem::take(&mut self.targets);
        for (t, warming_up) in registered.filter(|(t, _)| !t.leaving) {
            let domain = self.domain(&t.failure_domain).unwrap_or_else(|| {
                self.domains.push(t.failure_domain.clone());
                self.domains.len() - 1
            });
            let previous = old.binary_search_by(|o| o.id.cmp(&t.id)).ok().map(|i| &mut old[i]);
            self.targets.push(match previous {
                Some(p) if p.run == t.run() => Target {
                    id: p.id.clone(),
                    domain,
                    in_flight: std::mem::take(&mut p.in_flight),
                    slots: t.slots.max(1),
                    warming_up,
                    ..*p
                },
                _ => Target {
                    id: t.id.clone(),
                    domain,
                    slots: t.slots.max(1),
                    warming_up,
                    warm_up: None,
                    in_flight: Vec::new(),
                    slowdown: self.opts.unknown_slowdown,
                    reported_at: None,
                    untracked: 0.0,
                    faults: FaultScore::default(),
                    mismatched_until: Time::default(),
                    run: t.run(),
                    leaving_until: Time::default(),
                    limit: None,
                    demand_at: Time::default(),
                    outlook: Outlook::default(),
                },
            });
        }
        self.targets.sort_by(|a, b| a.id.cmp(&b.id));
        self.rebuild_placements();
    }

    /// Sets how many requests a second cold targets are granted; `None` if that is not limited. `cold_until` returns
    /// until when a target is cold. To be called after each [`Scheduler::update`].
    pub fn set_warm_ups<F>(&mut self, now: Time, per_s: Option<f64>, cold_until: F)
    where
        F: Fn(&str) -> Time,
    {
        for t in &mut self.targets {
            let cold = per_s.map(|per_s| (per_s, cold_until(&t.id)));
            let Some((per_s, until)) = cold.filter(|(_, until)| now < *until) else {
                t.warm_up = None;
                continue;
            };
            let (bucket, ends) = t.warm_up.get_or_insert_with(|| {
                (RateBucket::with_capacity(now, per_s, RateBucket::WHOLE), until)
            });
            bucket.set_per_s(now, per_s);
            *ends = until;
        }
    }

    /// Rebuilds the index of the requests in flight from the targets.
    fn rebuild_placements(&mut self) {
        self.placements.clear();
        let mut all: Vec<(RequestKey, u32)> = Vec::new();
        for (i, t) in (0..).zip(&self.targets) {
            all.extend(t.in_flight.iter().map(|r| (r.key.clone(), i)));
        }
        all.sort_unstable();
        for (key, i) in all {
            match self.placements.last_mut().filter(|p| p.key == key) {
                Some(last) => last.targets[1] = Some(i),
                None => self.placements.push(Placement { key, targets: [Some(i), None] }),
            }
        }
    }

    fn domain(&self, name: &str) -> Option<usize> {
        self.domains.iter().position(|d| **d == *name)
    }

    fn find(&self, target: &str) -> Option<usize> {
        self.targets.binary_search_by(|t| (*t.id).cmp(target)).ok()
    }

    /// Adds a request to those in flight at the target with index `i`.
    fn place(&mut self, i: usize, r: InFlight) {
        let service_time = r.request.service_time.as_secs_f64();
        let mean = self.mean_service_time_s.get_or_insert(service_time);
        *mean += (service_time - *mean) * MEAN_SERVICE_TIME_WEIGHT;
        let at = Some(i as u32);
        match self.placements.binary_search_by(|p| p.key.cmp(&r.key)) {
            Ok(p) => self.placements[p].targets[1] = at,
            Err(p) => {
                let placement = Placement { key: r.key.clone(), targets: [at, None] };
                self.placements.insert(p, placement);
            }
        }
        self.targets[i].in_flight.push(r);
    }

    /// Returns the targets whose last report is at least `max_age` old: first those that never
    /// reported, then the others by age, the oldest first. Targets at whose address another one has
    /// answered are left out, and so are those that are leaving. Targets with a limit are probed less
    /// often than it allows.
    pub fn stale_targets(&self, now: Time, max_age: Duration) -> Vec<StaleTarget> {
        let mut stale_targets: Vec<StaleTarget> = self
            .targets
            .iter()
            .filter(|t| !t.is_closed(now) && t.may_probe(now))
            .map(|t| StaleTarget {
                age: t.reported_at.map(|at| now.since(at)),
                target: t.id.clone(),
                failure_domain: self.domains[t.domain].clone(),
            })
            .filter(|u| u.age.is_none_or(|age| age >= max_age))
            .collect();
        stale_targets.sort_by_key(|u| (u.age.is_some(), std::cmp::Reverse(u.age)));
        stale_targets
    }

    /// Decides on a request for a slot. Returns this decision and any on other waiting requests.
    pub fn on_request(
        &mut self,
        now: Time,
        key: RequestKey,
        request: SlotRequest,
    ) -> Vec<(RequestKey, SlotDecision)> {
        self.enqueue(now, key, request, None)
    }

    /// Decides on a request of a team's caller for a slot, like [`Scheduler::on_request`].
    pub fn on_team_request(
        &mut self,
        now: Time,
        key: RequestKey,
        request: SlotRequest,
        team: TeamTerms,
    ) -> Vec<(RequestKey, SlotDecision)> {
        self.shares.on_arrival(now, &team);
        self.enqueue(now, key, request, Some(team))
    }

    fn enqueue(
        &mut self,
        now: Time,
        key: RequestKey,
        request: SlotRequest,
        team: Option<TeamTerms>,
    ) -> Vec<(RequestKey, SlotDecision)> {
        // A duplicate message must not take two slots.
        let before = self.waiting.iter().find(|w| w.key == key).map(|w| w.arrived_at);
        self.remove_request(&key);
        let arrived_at = before.unwrap_or(now);
        let waiting = Waiting { key: key.clone(), request, team, since: now, arrived_at };
        if self.waiting.len() >= self.opts.max_waiting {
            return vec![(key, self.reject(now, &waiting, RejectReason::TooLate))];
        }
        self.waiting.push(waiting);
        let mut out = self.schedule(now);
        if !out.iter().any(|(k, _)| *k == key) {
            out.push((key, SlotDecision::Wait));
        }
        out
    }

    /// Records that a request has ended, with the report of its target at that time. Returns the
    /// decisions that follow.
    pub fn on_grant_ended(
        &mut self,
        now: Time,
        key: &RequestKey,
        report: Option<(Arc<str>, TargetReport)>,
    ) -> Vec<(RequestKey, SlotDecision)> {
        self.remove_request(key);
        if let Some((target, report)) = report {
            self.warm.put(now, &key.host, &target);
            self.on_report(now, &target, &report);
        }
        self.schedule(now)
    }

    /// Records that a host runs in another incarnation. Its process may have been killed, and may give the numbers
    /// of requests in flight to others: these get no hedges any more. Those that wait are forgotten; a host
    /// sends the requests that are still of interest again.
    pub fn on_new_incarnation(&mut self, host: &str) {
        self.waiting.retain(|w| *w.key.host != *host);
        let in_flight = self.targets.iter_mut().flat_map(|t| &mut t.in_flight);
        for r in in_flight.filter(|r| *r.key.host == *host) {
            r.request.hedgeable = false;
        }
    }

    /// Records a target's report.
    pub fn on_report(&mut self, now: Time, target: &str, report: &TargetReport) {
        let Some(i) = self.find(target) else { return };
        let t = &mut self.targets[i];
        if report.slowdown >= t.slowdown * self.opts.hedge_slowdown_rise && !t.in_flight.is_empty()
        {
            self.slowed_targets.push(t.id.clone());
        }
        t.set_report(now, report);
    }

    /// Records what a target demanded with an answer to some host.
    pub fn on_demand(&mut self, now: Time, report: &ReportedDemand) {
        let Some(i) = self.find(&report.target) else { return };
        let (t, said_at) = (&mut self.targets[i], now - report.age);
        if report.demand.leaving {
            t.leaving_until = t.leaving_until.max(now + LEAVING_RETENTION);
        }
        // Reports of several hosts arrive in any order.
        if said_at <= t.demand_at {
            return;
        }
        t.demand_at = said_at;
        let per_s = report.demand.limit_per_s.map(|l| l * self.limit_share);
        match (&mut t.limit, per_s) {
            (Some(limit), Some(per_s)) => limit.set_per_s(now, per_s),
            (limit, per_s) => *limit = per_s.map(|per_s| RateBucket::new(now, per_s)),
        }
    }

    /// Sets the part of the targets' limits that this scheduler grants, 0 to 1: less than all if hosts
    /// are out of sight, which may have a scheduler of their own.
    pub fn set_limit_share(&mut self, share: f64) {
        self.limit_share = share;
    }

    /// Replaces the tokens of the teams' allowances by an empty stock, whose requests are numbered from
    /// `first_number` on.
    pub fn start_stock(&mut self, first_number: u64) {
        self.stock = AllowanceStock::new(first_number);
    }

    /// Returns the messages to the `allocators`, the preferred one first: for the tokens that waiting requests
    /// need, at most `max_teams` teams in each.
    pub fn token_messages(
        &mut self,
        now: Time,
        allocators: &[SocketAddr],
        max_teams: usize,
    ) -> Vec<TokenMessage> {
        let mut waiting: Vec<(Arc<str>, u32)> = Vec::new();
        let needing = self.waiting.iter().filter_map(|w| w.team.as_ref()).filter(|t| t.needs_token);
        for terms in needing {
            match waiting.binary_search_by(|(team, _)| team.cmp(&terms.team)) {
                Ok(i) => waiting[i].1 += 1,
                Err(i) => waiting.insert(i, (terms.team.clone(), 1)),
            }
        }
        self.stock.set_allocators(allocators);
        self.stock.set_waiting(now, &waiting);
        self.stock.messages(now, max_teams)
    }

    /// Records an answer of an allocator, which may be to another stock. Returns the decisions that follow.
    pub fn on_tokens(
        &mut self,
        now: Time,
        from: SocketAddr,
        number: u64,
        answer: AllowanceAnswer,
    ) -> Vec<(RequestKey, SlotDecision)> {
        if !self.stock.on_answer(now, from, number, answer) {
            return Vec::new();
        }
        self.schedule(now)
    }

    /// Adds the weight of a fault to a target.
    pub fn on_fault(&mut self, now: Time, target: &str, weight: f64) {
        if let Some(i) = self.find(target) {
            self.targets[i].faults.add(now, weight, &self.opts.faults);
            self.targets[i].outlook.at = None;
        }
    }

    /// Records that another target answered at the address of this one. Unlike an ejection for faults,
    /// this holds however many targets are affected, since such a target can't execute anything.
    pub fn on_identity_mismatch(&mut self, now: Time, target: &str) {
        if let Some(i) = self.find(target) {
            self.targets[i].mismatched_until = now + self.opts.identity_mismatch_ejection;
        }
    }

    /// Advances the time. Returns the decisions on requests that can now be granted or rejected.
    pub fn tick(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.remove_expired(now);
        }
        // Expired connections are not used before they are forgotten.
        if now.since(self.warm_expired_at) >= self.opts.max_idle {
            self.warm_expired_at = now;
            self.warm.expire(now, self.opts.max_idle);
        }
        self.schedule(now)
    }

    /// Frees the slots of requests that have passed their deadlines.
    fn remove_expired(&mut self, now: Time) {
        let is_expired = |r: &InFlight| r.expires_at <= now;
        let expired = self.targets.iter().flat_map(|t| &t.in_flight).filter(|r| is_expired(r));
        let keys: Vec<RequestKey> = expired.map(|r| r.key.clone()).collect();
        keys.iter().for_each(|key| self.remove_in_flight(key));
    }

    /// Releases the slot of a hedge that the request's host does not make. Returns the decisions that
    /// follow.
    pub fn on_grant_declined(
        &mut self,
        now: Time,
        key: &RequestKey,
        target: &str,
    ) -> Vec<(RequestKey, SlotDecision)> {
        let found = self.placements.binary_search_by(|p| p.key.cmp(key));
        if let (Some(i), Ok(p)) = (self.find(target), found) {
            self.targets[i].in_flight.retain(|r| r.key != *key);
            let rest = self.placements[p].targets.into_iter().flatten().find(|t| *t != i as u32);
            match rest {
                Some(rest) => self.placements[p].targets = [Some(rest), None],
                None => drop(self.placements.remove(p)),
            }
        }
        self.schedule(now)
    }

    fn remove_request(&mut self, key: &RequestKey) {
        self.remove_in_flight(key);
        self.waiting.retain(|w| w.key != *key);
    }

    fn remove_in_flight(&mut self, key: &RequestKey) {
        let Ok(p) = self.placements.binary_search_by(|p| p.key.cmp(key)) else { return };
        for i in self.placements.remove(p).targets.into_iter().flatten() {
            self.targets[i as usize].in_flight.retain(|r| r.key != *key);
        }
    }

    /// Returns whether decisions were put off, so that [`Scheduler::tick`] is due within [`PASS_INTERVAL`].
    pub fn is_pass_due(&self) -> bool {
        self.is_pass_due
    }

    /// Grants and rejects waiting requests where possible, and grants slots for hedges. While many requests wait,
    /// their decisions are put off if there have been some just before.
    fn schedule(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        let mut out = Vec::new();
        let is_recent = now.since(self.passed_at) < PASS_INTERVAL;
        self.is_pass_due = self.waiting.len() >= MANY_WAITING && is_recent;
        if !self.waiting.is_empty() && !self.is_pass_due {
            self.passed_at = now;
            let mut pass = self.pass(now);
            if now.since(self.turns_checked_at) >= TURN_CHECK_INTERVAL {
                self.turns_checked_at = now;
                pass.limits = self.limits(now);
            }
            for i in self.queue_order(&pass) {
                let Some(decision) = self.decide(&pass, &self.waiting[i]) else {
                    pass.waiting_on += 1;
                    continue;
                };
                let waiting = &self.waiting[i];
                if let SlotDecision::Grant { target, .. } = &decision
                    && let Ok(t) = self.targets.binary_search_by(|t| t.id.cmp(target))
                {
                    let granted = InFlight::new(now, waiting, self.targets[t].slowdown, false);
                    if let Some(terms) = &waiting.team {
                        self.shares.on_grant(now, &terms.team, waiting.request.service_time);
                        if terms.needs_token {
                            self.stock.take(now, &terms.team);
                        }
                    }
                    self.warm.take(&waiting.key.host, target);
                    self.targets[t].take_token(now);
                    self.place(t, granted);
                    self.update_forecast(&mut pass, t);
                }
                out.push((self.waiting[i].key.clone(), decision));
            }
            self.waiting.retain(|w| !out.iter().any(|(k, _)| *k == w.key));
        }
        out.extend(self.hedge(now));
        out
    }

    /// Returns the state shared by the decisions of one pass.
    fn pass(&mut self, now: Time) -> Pass {
        for t in &mut self.targets {
            t.refresh_outlook(now, &self.opts);
        }
        let eject_at = self.opts.faults.eject_at;
        let ejected_count =
            self.targets.iter().filter(|t| t.outlook.fault_score >= eject_at).count();
        let slots: f64 = self.targets.iter().map(|t| f64::from(t.usable_slots())).sum();
        let crowded_above = (self.opts.crowded_share * slots).max(1.0);
        let is_crowded = self.waiting.len() as f64 > crowded_above;
        let mut pass = Pass {
            now,
            forecasts: Vec::with_capacity(self.targets.len()),
            available: Vec::new(),
            may_overcommit: self.waiting.len() > 1,
            may_eject: ejected_count as f64
                <= self.opts.max_ejected_share * self.targets.len() as f64,
            limits: None,
            waiting_on: 0,
            late_deadline_margin: if is_crowded { self.opts.late_deadline_margin } else { 1.0 },
            in_excess: if is_crowded { self.shares.in_excess(now) } else { Vec::new() },
        };
        for (i, t) in self.targets.iter().enumerate() {
            let forecast = self.forecast(&pass, t);
            pass.forecasts.push(forecast);
            if forecast.has_room {
                pass.available.push(i);
            }
        }
        pass
    }

    fn forecast(&self, pass: &Pass, t: &Target) -> Forecast {
        let report = t.expected_report();
        let fault_score = t.outlook.fault_score;
        let overcommit = match pass.may_overcommit {
            true => (f64::from(report.slots) * self.opts.overcommit_share) as u32,
            false => 0,
        };
        Forecast {
            has_room: report.running.saturating_add(report.waiting)
                < report.slots.saturating_add(overcommit)
                && !t.is_closed(pass.now)
                && t.is_within_limit(pass.now),
            ejected: pass.may_eject && fault_score >= self.opts.faults.eject_at,
            latency: forecast(&report, t.warming_up, &self.opts.forecast),
            fault_factor: 1.0 + fault_score,
        }
    }

    /// Updates the forecast of the target with index `i` after a grant there.
    fn update_forecast(&self, pass: &mut Pass, i: usize) {
        pass.forecasts[i] = self.forecast(pass, &self.targets[i]);
        if !pass.forecasts[i].has_room {
            pass.available.retain(|a| *a != i);
        }
    }

    /// Grants slots for hedges of requests in flight at targets that have become slow.
    fn hedge(&mut self, now: Time) -> Vec<(RequestKey, SlotDecision)> {
        let mut out = Vec::new();
        for id in std::mem::take(&mut self.slowed_targets) {
            let Ok(i) = self.targets.binary_search_by(|t| t.id.cmp(&id)) else { continue };
            let slow = &self.targets[i];
            let late: Vec<InFlight> = slow
                .in_flight
                .iter()
                .filter(|r| r.needs_hedge(now, slow.slowdown))
                .cloned()
                .collect();
            for r in late {
                let mut avoid = r.request.avoid.clone();
                avoid.push(id.clone());
                let request = SlotRequest {
                    avoid,
                    time_left: r.expires_at.since(now),
                    latency_target_left: r.latency_deadline.since(now),
                    ..r.request.clone()
                };
                let (key, team) = (r.key.clone(), None);
                let w = Waiting { key, request, team, since: now, arrived_at: now };
                let Some((target, latency_factor)) = self.hedge_target(now, &w) else { continue };
                if let Some(first) = self.targets[i].in_flight.iter_mut().find(|f| f.key == r.key) {
                    first.is_hedged = true;
                }
                if let Some(t) = self.find(&target) {
                    self.targets[t].take_token(now);
                    let second = InFlight::new(now, &w, self.targets[t].slowdown, true);
                    self.place(t, second);
                }
                out.push((r.key, SlotDecision::Hedge { target, latency_factor }));
            }
        }
        out
    }

    /// Returns a target for a hedge that is expected to be in time, and the latency factor there, if
    /// the pool has capacity to spare.
    fn hedge_target(&mut self, now: Time, w: &Waiting) -> Option<(Arc<str>, f64)> {
        let (load, slots) = self.targets.iter().fold((0.0, 0.0), |(load, slots), t| {
            (load + t.in_flight.len() as f64 + t.untracked, slots + f64::from(t.usable_slots()))
        });
        if !self.waiting.is_empty() || load > (1.0 - self.opts.hedge_spare_share) * slots {
            return None;
        }
        let pass = self.pass(now);
        let (best, latency_factor) = self.best_target(&pass, w)?;
        let in_time =
            scaled(w.request.service_time, latency_factor) <= w.request.latency_target_left;
        in_time.then(|| (self.targets[best].id.clone(), latency_factor))
    }

    /// Returns the indices of the waiting requests in the order in which they are served.
    fn queue_order(&self, pass: &Pass) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        if pass.available.is_empty() && pass.limits.is_none() {
            // The order doesn't matter, since nothing is granted, nor rejected for its turn.
            return order;
        }
        let mut has_available = vec![false; self.domains.len()];
        for i in &pass.available {
            has_available[self.targets[*i].domain] = true;
        }
        order.sort_by_cached_key(|i| {
            let w = &self.waiting[*i];
            let domain = self.domain(&w.request.failure_domain);
            let same_domain = domain.is_some_and(|d| has_available[d]);
            // A free slot goes to a request from its own domain, unless the latency target of one
            // from another domain ends earlier by more than the preference.
            let preference = if same_domain {
                0.0
            } else {
                self.remote_penalty(&w.request) * self.opts.local_preference
            };
            let rank = w.latency_deadline() + scaled(w.request.service_time, preference);
            let is_late = !w.can_be_in_time(pass.now, 1.0);
            (is_late, pass.is_in_excess(w), w.request.priority, rank)
        });
        order
    }

    /// Decides on the request that is next in order; `None` lets it wait on.
    fn decide(&self, pass: &Pass, w: &Waiting) -> Option<SlotDecision> {
        let now = pass.now;
        let left = w.deadline().since(now);
        if left < w.request.service_time {
            return Some(self.reject(now, w, RejectReason::TooLate));
        }
        let is_excluded = |t: &Target| t.is_closed(now) || w.request.avoid.contains(&t.id);
        if self.targets.iter().all(is_excluded) {
            return Some(self.reject(now, w, RejectReason::NoTarget));
        }
        if let Some(terms) = w.team.as_ref().filter(|t| t.needs_token) {
            match self.stock.state(now, &terms.team) {
                TokenState::Available => {}
                TokenState::Denied(next) => {
                    let reason = RejectReason::OverAllowance;
                    return Some(SlotDecision::Reject { reason, retry_after: next });
                }
                TokenState::Pending | TokenState::NoAllocator => {
                    let has_waited = now.since(w.arrived_at) >= MAX_ALLOCATOR_WAIT;
                    return has_waited.then(|| self.reject(now, w, RejectReason::NoAllocator));
                }
            }
        }
        let is_late = !w.can_be_in_time(now, 1.0);
        if let Some((i, latency_factor)) = self.best_target(pass, w) {
            let expected = scaled(w.request.service_time, latency_factor);
            // A target with a free slot that is too slow at present is skipped while another target
            // may still answer in time.
            let in_time = w.can_be_in_time(now, latency_factor);
            if in_time || is_late && scaled(expected, pass.late_deadline_margin) <= left {
                // While others wait, each slot goes to the request that it suits best.
                let (i, latency_factor) = if self.waiting.len() == 1 {
                    self.prefer_open_connection(pass, w, i)
                } else {
                    (i, latency_factor)
                };
                let target = self.targets[i].id.clone();
                return Some(SlotDecision::Grant { target, latency_factor });
            }
        }
        if let Some(limits) = pass.limits
            && limits.turn(pass.waiting_on) > left - w.request.service_time
        {
            return Some(self.reject(now, w, RejectReason::Limited));
        }
        let is_hopeless =
            is_late && left < scaled(w.request.service_time, pass.late_deadline_margin);
        is_hopeless.then(|| self.reject(now, w, RejectReason::TooLate))
    }

    /// Returns what all targets together accept if some of them have limits. Targets without one accept
    /// as many requests as their slots can serve.
    fn limits(&self, now: Time) -> Option<LimitOutlook> {
        let open = || self.targets.iter().filter(|t| !t.is_closed(now));
        if open().all(|t| t.accepted(now).is_none()) {
            return None;
        }
        let service_times = self.waiting.iter().map(|w| w.request.service_time.as_secs_f64());
        let service_time = service_times.sum::<f64>() / self.waiting.len() as f64;
        Some(open().fold(LimitOutlook::NONE, |sum, t| match t.accepted(now) {
            Some((per_s, next)) => sum.add(per_s, next),
            None => {
                let per_s = f64::from(t.slots) / (service_time * t.slowdown);
                let next = Duration::try_from_secs_f64(1.0 / per_s);
                sum.add(per_s, next.unwrap_or(Duration::MAX))
            }
        }))
    }

    /// Returns the index of the best target with room for a request, and the latency factor there.
    /// Ejected targets are considered only if the request may be sent to no others.
    fn best_target(&self, pass: &Pass, w: &Waiting) -> Option<(usize, f64)> {
        let request = &w.request;
        let is_usable = |i: usize| !request.avoid.contains(&self.targets[i].id);
        let is_not_ejected = |i: usize| !pass.forecasts[i].ejected;
        let any_not_ejected = (0..self.targets.len()).any(|i| is_not_ejected(i) && is_usable(i));
        // In seconds, as there are many targets.
        let left = w.latency_deadline().since(pass.now).as_secs_f64();
        let service_time = request.service_time.as_secs_f64();
        let margin = self.opts.latency_margin;
        let cost = self.cost(pass, request);
        let others = self.mean_service_ratio(request);
        let latency_factor = |i: usize| pass.forecasts[i].latency.latency_factor(others);
        let rate = |i: usize| {
            let is_late = service_time * latency_factor(i) * margin > left;
            (is_late, cost(i))
        };
        let is_allowed = |i: usize| is_usable(i) && (is_not_ejected(i) || !any_not_ejected);
        let better =
            |a: (bool, f64), b: (bool, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).is_lt();
        let mut best: Option<((bool, f64), usize)> = None;
        for &i in &pass.available {
            let rating = rate(i);
            if best.is_none_or(|(lowest, _)| better(rating, lowest)) && is_allowed(i) {
                best = Some((rating, i));
            }
        }
        best.map(|(_, i)| (i, latency_factor(i)))
    }

    /// Returns a target to which the requesting host holds an idle connection and whose cost is not much
    /// higher than that of the target with index `best`, and its latency factor; otherwise `best`. An
    /// open connection saves the target the work for a new one, and the request its time.
    fn prefer_open_connection(&self, pass: &Pass, w: &Waiting, best: usize) -> (usize, f64) {
        let request = &w.request;
        let cost = self.cost(pass, request);
        let limit = cost(best) * (1.0 + self.opts.warm_preference);
        let is_suitable = |i: &usize| {
            let forecast = &pass.forecasts[*i];
            forecast.has_room
                && (!forecast.ejected || pass.forecasts[best].ejected)
                && !request.avoid.contains(&self.targets[*i].id)
                && cost(*i) <= limit
        };
        let warm = self.warm.targets_of(pass.now, &w.key.host, self.opts.max_idle);
        let chosen = warm.filter_map(|id| self.find(id)).find(is_suitable).unwrap_or(best);
        (chosen, pass.forecasts[chosen].latency.latency_factor(self.mean_service_ratio(request)))
    }

    /// Returns the function by which targets are compared for a request: the expected latency factor of
    /// the target with an index, with the penalties for its distance and its faults.
    fn cost(&self, pass: &Pass, request: &SlotRequest) -> impl Fn(usize) -> f64 {
        let domain = self.domain(&request.failure_domain);
        let remote_factor = 1.0 + self.remote_penalty(request);
        let others = self.mean_service_ratio(request);
        move |i| {
            let forecast = &pass.forecasts[i];
            let is_local = Some(self.targets[i].domain) == domain;
            let distance = if is_local { 1.0 } else { remote_factor };
            forecast.latency.latency_factor(others) * distance * forecast.fault_factor
        }
    }

    /// Returns how long the requests at the pool's targets take on average, as a multiple of the service time of
    /// a request.
    fn mean_service_ratio(&self, request: &SlotRequest) -> f64 {
        let service_time = request.service_time.as_secs_f64();
        match self.mean_service_time_s {
            Some(mean) if service_time > 0.0 => mean / service_time,
            _ => 1.0,
        }
    }

    /// Returns the penalty on targets in other failure domains.
    fn remote_penalty(&self, request: &SlotRequest) -> f64 {
        let per_size = self.opts.remote_penalty_per_kb * f64::from(request.body_bytes) / 1_024.0;
        (self.opts.remote_penalty + per_size).min(self.opts.max_remote_penalty)
    }

    fn reject(&self, now: Time, w: &Waiting, reason: RejectReason) -> SlotDecision {
        let left = w.deadline().since(now);
        SlotDecision::Reject { reason, retry_after: scaled(left, self.opts.retry_after_share) }
    }
}
