//! Requests grants from the schedulers of pools, and schedules the pools that fall to this host.
//!
//! All hosts derive the scheduler of a pool from the membership. A grant gives a request the right to
//! be sent to a target; it is held until the request has ended.

use crate::allowances;
use crate::fleet::Prober;
use crate::host::Host;
use crate::peers;
use crate::pending::{Delivery, PendingSlots};
use crate::proxy::selection;
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::fleet::{
    AllowanceAnswer, PASS_INTERVAL, RegisteredTarget, RejectReason, ReportedDemand, RequestKey,
    Scheduler, SchedulerOptions, SlotDecision, SlotRequest, StaleTarget, TargetRegistry,
    TargetReport, TeamTerms, WarmUpRules,
};
use geraniummux_core::time::{scaled, seconds};
use geraniummux_core::{MemberState, Time};
use geraniummux_wire::{MAX_PROBED_TARGETS, MAX_TOKEN_REQUESTS, Message};
use slog::{info, warn};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Shortest time limit of the first decision after a slot request is sent. It covers the round trip to
/// the scheduler and a few time slices of other processes, for hosts with a small share of a core.
const MIN_DECISION_TIMEOUT: Duration = Duration::from_millis(15);
/// Time limit of the first decision as a share of the request's latency target. A scheduler that is
/// briefly out of processor time costs a request less than the choice of a target without it.
const DECISION_SHARE_OF_TARGET: f64 = 0.05;
/// Size of a body behind which a message may wait on a host's link, in bytes.
const BODY_ON_LINK_BYTES: f64 = 64.0 * 1_024.0;
/// Time after which the slot request of a waiting request is sent again, in case a message was lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which no slot requests are sent to a scheduler that did not respond.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(700);
/// Time without slot requests after which a pool is no longer scheduled here, nor its targets probed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Age of a target's last report from which the scheduler probes it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(60);
/// Age of a target's last report from which the scheduler probes it without a delegate.
const DIRECT_PROBE_AGE: Duration = Duration::from_millis(250);
/// Time for which a delegate waits for reports. It covers a few time slices of other processes, for
/// hosts with a small share of a core.
const DELEGATED_PROBE_TIMEOUT: Duration = Duration::from_millis(15);
/// Probes that each slot request adds to the credit of its pool at the scheduler. While hosts start and
/// don't know each other, each of them schedules for itself and must not probe for the whole fleet.
const PROBES_PER_REQUEST: f64 = 5.0;
/// Maximum credit of a pool, in probes.
const MAX_PROBE_CREDIT: f64 = 500.0;
/// Time after its start in which a host does not rely on its view of the membership. After a start of
/// the whole fleet, a host discovers all members within about half a second.
pub const STARTUP_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a host reports the demands of targets to their scheduler once more.
const DEMAND_REFRESH: Duration = Duration::from_secs(1);
/// Interval of the timer of a host that schedules pools.
const SCHEDULER_TICK: Duration = Duration::from_millis(30);
/// Interval of the timer of a host that schedules no pool.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// A pool that this host schedules.
struct ScheduledPool {
    pool: Arc<str>,
    scheduler: Scheduler,
    last_request: Time,
    /// Probes that slot requests have allowed and that have not been sent yet.
    probe_credit: f64,
}

/// A host that requests slots.
#[derive(Clone, Debug)]
pub struct Requester {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Address to which the decisions are sent.
    pub addr: SocketAddr,
}

/// Slot requests of this host that await decisions, and the pools that this host schedules.
#[derive(Default)]
pub struct Scheduling {
    /// Sorted by pool.
    pools: Mutex<Vec<ScheduledPool>>,
    pending: PendingSlots,
    /// Hosts that have requested slots, sorted by name. The membership does not suffice, as this host may not
    /// know a member yet that has just started.
    requesters: Mutex<Vec<Requester>>,
    /// Notified when a scheduler has put off decisions.
    pass_due: Notify,
    /// When the demands of targets were last reported to a scheduler, sorted by pool.
    demands_reported: Mutex<Vec<(Arc<str>, SocketAddr, Time)>>,
    /// Schedulers that did not respond, with the time until which no slot requests are sent to them.
    unresponsive: Mutex<Vec<(SocketAddr, Time)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Scheduling {
    fn with_scheduler<R, F>(&self, host: &Host, pool: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut Scheduler) -> R,
    {
        let now = host.now();
        // Locks are taken in the same order everywhere: the fleet before the pools.
        let fleet = host.fleet();
        let mut pools = lock(&self.pools);
        let i = pools.binary_search_by(|p| p.pool.cmp(pool)).unwrap_or_else(|i| {
            info!(host.log, "scheduling_pool"; "pool" => &**pool);
            let mut scheduler = Scheduler::new(SchedulerOptions::default());
            scheduler.start_stock(allowances::first_number());
            let rules = host.warm_up_rules(pool);
            update_scheduler(&mut scheduler, now, &fleet.registry, pool, rules);
            for demand in fleet.demand_reports(now, pool) {
                scheduler.on_demand(now, &demand);
            }
            pools.insert(
                i,
                ScheduledPool {
                    pool: pool.clone(),
                    scheduler,
                    last_request: now,
                    probe_credit: 0.0,
                },
            );
            i
        });
        drop(fleet);
        pools[i].last_request = now;
        let out = f(&mut pools[i].scheduler);
        if pools[i].scheduler.is_pass_due() {
            self.pass_due.notify_one();
        }
        out
    }

    /// Records a host that requests slots. Returns whether an earlier incarnation of it has requested some.
    fn set_requester(&self, from: &Requester) -> bool {
        let mut requesters = lock(&self.requesters);
        match requesters.binary_search_by(|r| r.host.cmp(&from.host)) {
            Ok(i) => {
                let before = std::mem::replace(&mut requesters[i], from.clone());
                before.incarnation < from.incarnation
            }
            Err(i) => {
                requesters.insert(i, from.clone());
                false
            }
        }
    }

    /// Returns the latest incarnation of a host that has requested slots.
    fn requester_incarnation(&self, host: &str) -> Option<u64> {
        let requesters = lock(&self.requesters);
        let i = requesters.binary_search_by(|r| (*r.host).cmp(host)).ok()?;
        Some(requesters[i].incarnation)
    }

    fn reply_addr(&self, host: &Arc<str>) -> Option<SocketAddr> {
        let requesters = lock(&self.requesters);
        let i = requesters.binary_search_by(|r| r.host.cmp(host)).ok()?;
        Some(requesters[i].addr)
    }

    /// Ends what earlier incarnations of a host have requested, in all pools.
    fn end_former_requests(&self, host: &str) {
        for scheduled in lock(&self.pools).iter_mut() {
            scheduled.scheduler.on_new_incarnation(host);
        }
    }

    fn add_probe_credit(&self, pool: &Arc<str>) {
        let mut pools = lock(&self.pools);
        if let Ok(i) = pools.binary_search_by(|p| p.pool.cmp(pool)) {
            pools[i].probe_credit =
                (pools[i].probe_credit + PROBES_PER_REQUEST).min(MAX_PROBE_CREDIT);
        }
    }

    /// Replaces the targets of all pools that this host schedules by the registered ones. `rules_of` returns what
    /// the cold ones of a pool may get.
    pub fn update<F>(&self, now: Time, registry: &TargetRegistry, rules_of: F)
    where
        F: Fn(&str) -> Option<WarmUpRules>,
    {
        for scheduled in lock(&self.pools).iter_mut() {
            let ScheduledPool { pool, scheduler, .. } = scheduled;
            update_scheduler(scheduler, now, registry, pool, rules_of(pool));
        }
    }

    /// Records one or more faults of a target, whose weights add up to `weight`.
    pub fn on_fault(&self, now: Time, target: &str, weight: f64) {
        for scheduled in lock(&self.pools).iter_mut() {
            scheduled.scheduler.on_fault(now, target, weight);
        }
    }

    /// Records that another target answered at the address of this one.
    pub fn on_identity_mismatch(&self, now: Time, target: &str) {
        for scheduled in lock(&self.pools).iter_mut() {
            scheduled.scheduler.on_identity_mismatch(now, target);
        }
    }
}

fn update_scheduler(
    scheduler: &mut Scheduler,
    now: Time,
    registry: &TargetRegistry,
    pool: &str,
    rules: Option<WarmUpRules>,
) {
    scheduler.update(targets_of(registry.targets(now), pool));
    let per_s = rules.map(|rules| rules.scheduler_per_s());
    scheduler.set_warm_ups(now, per_s, |target| registry.cold_until(target));
}

fn targets_of<'a, I>(targets: I, pool: &str) -> impl Iterator<Item = (&'a RegisteredTarget, bool)>
where
    I: Iterator<Item = (&'a RegisteredTarget, bool)>,
{
    targets.filter(move |(t, _)| *t.pool == *pool)
}

/// The right to send a request to a target. Dropping it notifies the scheduler that the request has
/// ended.
pub struct Grant {
    host: Arc<Host>,
    pool: Arc<str>,
    number: u64,
    scheduler: SocketAddr,
    report: Option<(Arc<str>, TargetReport)>,
    decisions: mpsc::UnboundedReceiver<SlotDecision>,
}

/// A slot for a hedge that a scheduler has granted.
#[derive(Clone, Debug)]
pub struct HedgeGrant {
    /// Number of the slot request whose grant is hedged.
    pub number: u64,
    /// Identity of the target.
    pub target: Arc<str>,
    /// Expected latency there as a multiple of the typical service time.
    pub latency_factor: f64,
}

impl Grant {
    /// Polls for a hedge that the scheduler grants while the first attempt is running.
    pub fn poll_hedge(&mut self, cx: &mut Context<'_>) -> Poll<HedgeGrant> {
        while let Poll::Ready(Some(decision)) = self.decisions.poll_recv(cx) {
            if let SlotDecision::Hedge { target, latency_factor } = decision {
                return Poll::Ready(HedgeGrant { number: self.number, target, latency_factor });
            }
        }
        Poll::Pending
    }

    /// Notifies the scheduler that the hedge at `target` is not used, which frees its slot.
    pub fn decline_hedge(&self, target: &Arc<str>) {
        let (host, number) = (&self.host, self.number);
        if self.scheduler == host.settings.load().peer {
            let me = host.settings.load().host.clone();
            on_grant_declined(host, &me, number, &self.pool, target);
        } else {
            let (pool, target) = (self.pool.clone(), target.clone());
            peers::send(host, &[self.scheduler], Message::GrantDeclined { number, pool, target });
        }
    }

    /// Sets the load that a target reported with its response, for the message that ends the grant.
    pub fn set_report(&mut self, target: &Arc<str>, report: TargetReport) {
        self.report = Some((target.clone(), report));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let host = &self.host;
        host.scheduling.pending.close(self.number);
        end_grant(host, self.scheduler, self.number, &self.pool, self.report.take());
    }
}

/// Notifies a scheduler that a request has ended, with the load that its target reported last.
fn end_grant(
    host: &Arc<Host>,
    scheduler: SocketAddr,
    number: u64,
    pool: &Arc<str>,
    report: Option<(Arc<str>, TargetReport)>,
) {
    if scheduler == host.settings.load().peer {
        let me = host.settings.load().host.clone();
        on_grant_ended(host, &me, number, pool, report);
    } else {
        let message = Message::GrantEnded { number, pool: pool.clone(), report };
        peers::send(host, &[scheduler], message);
    }
}

/// Result of a slot request.
pub enum SlotResult {
    /// The request may be sent to a target.
    Granted {
        /// The grant, to be held until the request has ended.
        grant: Grant,
        /// Identity of the target.
        target: Arc<str>,
        /// Expected latency as a multiple of the typical service time.
        latency_factor: f64,
    },
    /// The scheduler rejects the request.
    Rejected {
        /// The reason.
        reason: RejectReason,
        /// Time after which the caller may send the request again.
        retry_after: Duration,
    },
    /// No decision was obtained: no scheduler is known, it does not respond, or the deadline passed.
    Unavailable,
}

/// Returns whether this host has had the time to discover the other members.
pub fn knows_members(host: &Host) -> bool {
    host.now().since(host.started) >= STARTUP_SETTLE_TIME || !host.members().has_seeds()
}

/// Returns the address of the host that schedules a pool: among the hosts in service with the highest
/// capacity the first in an order that differs between pools. Returns `None` on a host that has just
/// started and does not know the others: if each of them scheduled by itself, together they would
/// overload the same targets.
fn scheduler_of(host: &Host, pool: &str) -> Option<SocketAddr> {
    if !knows_members(host) {
        return None;
    }
    let members = host.members();
    std::iter::once(members.local_member())
        .chain(members.peers())
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| (Reverse(m.capacity), members.order_key(pool, &m.name), m.name.clone()))
        .map(|m| m.addr)
}

/// How long a request waits for the first decision of the scheduler.
#[derive(Clone, Copy, Debug)]
struct DecisionTimeout {
    /// Time after which the slot request is sent again or the scheduler is taken for unresponsive.
    limit: Duration,
    /// Number of times that the slot request is sent.
    sends: u32,
}

impl DecisionTimeout {
    fn new(latency_target: Duration, link_mbps: Option<f64>) -> Self {
        let on_link = link_mbps.map_or(0.0, |mbps| BODY_ON_LINK_BYTES * 8.0 / (mbps * 1e6));
        let whole = scaled(latency_target, DECISION_SHARE_OF_TARGET).max(MIN_DECISION_TIMEOUT);
        let whole = whole + seconds(on_link);
        // A second message covers the loss of the first one, if there is time for it.
        let sends = if whole >= 2 * MIN_DECISION_TIMEOUT { 2 } else { 1 };
        DecisionTimeout { limit: whole / sends, sends }
    }
}

/// Requests a slot from the scheduler of a pool, and waits for its decision until `deadline`. `describe`
/// returns the slot request as of the given time; it is sent again while the request waits. How long
/// the first decision may take depends on the latency target.
pub async fn request_slot<F>(
    host: &Arc<Host>,
    pool: &Arc<str>,
    latency_target: Duration,
    deadline: Time,
    team: Option<TeamTerms>,
    describe: F,
) -> SlotResult
where
    F: Fn(Time) -> SlotRequest,
{
    let Some(scheduler) = scheduler_of(host, pool) else { return SlotResult::Unavailable };
    let now = host.now();
    if lock(&host.scheduling.unresponsive).iter().any(|(a, until)| *a == scheduler && now < *until)
    {
        return SlotResult::Unavailable;
    }
    refresh_demands(host, scheduler, pool);
    let (number, decisions) = host.scheduling.pending.open(scheduler);
    // From here on, dropping the grant notifies the scheduler if the request ends without being sent.
    let mut grant = Grant {
        host: host.clone(),
        pool: pool.clone(),
        number,
        scheduler,
        report: None,
        decisions,
    };
    let first = DecisionTimeout::new(latency_target, host.settings.load().link_mbps);
    let mut unanswered = 0;
    loop {
        let now = host.now();
        if now >= deadline {
            return SlotResult::Unavailable;
        }
        send_slot_request(host, scheduler, number, pool, describe(now), team.clone());
        unanswered += 1;
        let mut limit = first.limit;
        loop {
            match timeout(limit, grant.decisions.recv()).await {
                // A hedge is never granted before the first attempt.
                Ok(Some(SlotDecision::Wait | SlotDecision::Hedge { .. })) => {
                    unanswered = 0;
                    limit = RESEND_INTERVAL;
                }
                Ok(Some(SlotDecision::Grant { target, latency_factor })) => {
                    return SlotResult::Granted { grant, target, latency_factor };
                }
                Ok(Some(SlotDecision::Reject { reason, retry_after })) => {
                    return SlotResult::Rejected { reason, retry_after };
                }
                Ok(None) => return SlotResult::Unavailable,
                Err(_) if unanswered >= first.sends => {
                    mark_unresponsive(host, scheduler);
                    return SlotResult::Unavailable;
                }
                Err(_) => break,
            }
        }
    }
}

/// Reports what the targets of a pool demand to its scheduler, unless it was told recently: messages may
/// be lost, and another host may have become the scheduler.
fn refresh_demands(host: &Arc<Host>, scheduler: SocketAddr, pool: &Arc<str>) {
    let now = host.now();
    let demands = host.fleet().demand_reports(now, pool);
    if demands.is_empty() {
        return;
    }
    {
        let mut reported = lock(&host.scheduling.demands_reported);
        match reported.binary_search_by(|(p, ..)| p.cmp(pool)) {
            Ok(i) if reported[i].1 == scheduler && now.since(reported[i].2) < DEMAND_REFRESH => {
                return;
            }
            Ok(i) => reported[i] = (pool.clone(), scheduler, now),
            Err(i) => reported.insert(i, (pool.clone(), scheduler, now)),
        }
    }
    send_demands(host, scheduler, pool, demands);
}

/// Reports changed demands of targets to the scheduler of their pool.
pub fn report_demands(host: &Arc<Host>, pool: &Arc<str>, demands: Vec<ReportedDemand>) {
    if let Some(scheduler) = scheduler_of(host, pool) {
        send_demands(host, scheduler, pool, demands);
    }
}

fn send_demands(
    host: &Arc<Host>,
    scheduler: SocketAddr,
    pool: &Arc<str>,
    demands: Vec<ReportedDemand>,
) {
    if scheduler == host.settings.load().peer {
        on_demands(host, pool, &demands);
        return;
    }
    for demands in demands.chunks(MAX_PROBED_TARGETS) {
        let message = Message::TargetDemands { pool: pool.clone(), demands: demands.to_vec() };
        peers::send(host, &[scheduler], message);
    }
}

/// Records what targets demanded, if this host schedules their pool. A report may be about a run of the target
/// before the registered one, as it names only the target.
pub fn on_demands(host: &Arc<Host>, pool: &Arc<str>, demands: &[ReportedDemand]) {
    let now = host.now();
    let may_hold = {
        let fleet = host.fleet();
        let may_hold =
            |d: &&ReportedDemand| fleet.registry.may_be_of_registered_run(&d.target, now - d.age);
        demands.iter().filter(may_hold).cloned().collect::<Vec<_>>()
    };
    host.scheduling
        .with_scheduler(host, pool, |s| may_hold.iter().for_each(|d| s.on_demand(now, d)));
}

/// Tells the scheduler of a pool which of these targets are cold, and for how long.
pub fn report_warm_ups(host: &Host, pool: &Arc<str>, targets: &[Arc<str>]) {
    let own = host.settings.load().peer;
    if let Some(scheduler) = scheduler_of(host, pool).filter(|s| *s != own) {
        send_warm_ups(host, scheduler, pool, targets);
    }
}

fn send_warm_ups(host: &Host, scheduler: SocketAddr, pool: &Arc<str>, targets: &[Arc<str>]) {
    if host.warm_up_rules(pool).is_none() {
        return;
    }
    let now = host.now();
    let cold: Vec<(Arc<str>, u32)> = {
        let fleet = host.fleet();
        let left = |t: &Arc<str>| fleet.registry.cold_until(t).since(now).as_millis();
        let left = |t: &Arc<str>| u32::try_from(left(t)).unwrap_or(u32::MAX);
        targets.iter().map(|t| (t.clone(), left(t))).filter(|(_, ms)| *ms > 0).collect()
    };
    for targets in cold.chunks(MAX_PROBED_TARGETS) {
        let message = Message::TargetsWarmingUp { pool: pool.clone(), targets: targets.to_vec() };
        peers::send(host, &[scheduler], message);
    }
}

fn mark_unresponsive(host: &Host, scheduler: SocketAddr) {
    let now = host.now();
    info!(host.log, "scheduler_silent"; "scheduler" => scheduler.to_string());
    let mut unresponsive = lock(&host.scheduling.unresponsive);
    unresponsive.retain(|(_, until)| now < *until);
    unresponsive.push((scheduler, now + UNRESPONSIVE_BACKOFF));
}

/// Handles a message from the host at an address, which shows that it responds.
pub fn on_message(host: &Host, from: SocketAddr) {
    let mut unresponsive = lock(&host.scheduling.unresponsive);
    unresponsive.retain(|(addr, _)| *addr != from);
}

fn send_slot_request(
    host: &Arc<Host>,
    scheduler: SocketAddr,
    number: u64,
    pool: &Arc<str>,
    request: SlotRequest,
    team: Option<TeamTerms>,
) {
    if scheduler == host.settings.load().peer {
        let me = {
            let members = host.members();
            let local = members.local_member();
            Requester { host: local.name.clone(), incarnation: local.incarnation, addr: scheduler }
        };
        on_slot_request(host, &me, number, pool, request, team);
        return;
    }
    let pool = pool.clone();
    let message = match team {
        Some(team) => Message::TeamSlotRequest { number, pool, request, team },
        None => Message::SlotRequest { number, pool, request },
    };
    peers::send(host, &[scheduler], message);
}

/// Handles a slot request. One that an earlier incarnation of the host has sent is ignored: its process may have been
/// killed, and the present one may give the number to another request.
pub fn on_slot_request(
    host: &Arc<Host>,
    from: &Requester,
    number: u64,
    pool: &Arc<str>,
    request: SlotRequest,
    team: Option<TeamTerms>,
) {
    let member = host.members().peer(&from.host).map(|m| m.incarnation);
    let latest = member.max(host.scheduling.requester_incarnation(&from.host));
    if latest.is_some_and(|latest| from.incarnation < latest) {
        info!(host.log, "slot_request_outdated"; "from" => &*from.host, "number" => number,
            "incarnation" => from.incarnation, "latest" => latest);
        return;
    }
    let now = host.now();
    if host.scheduling.set_requester(from) {
        host.scheduling.end_former_requests(&from.host);
    }
    let key = RequestKey { host: from.host.clone(), number };
    let has_team = team.is_some();
    let decisions = host.scheduling.with_scheduler(host, pool, |s| match team {
        Some(team) => s.on_team_request(now, key, request, team),
        None => s.on_request(now, key, request),
    });
    host.scheduling.add_probe_credit(pool);
    send_decisions(host, decisions);
    if has_team {
        exchange_tokens(host, pool);
    }
}

/// Obtains the tokens that the requests which wait in a pool need. Tokens that this host grants itself are used at
/// once.
fn exchange_tokens(host: &Arc<Host>, pool: &Arc<str>) {
    let own = host.settings.load().peer;
    let allocators = allowances::allocators(host);
    for _ in 0..=allocators.len() {
        let now = host.now();
        let messages = {
            let mut pools = lock(&host.scheduling.pools);
            let Ok(i) = pools.binary_search_by(|p| p.pool.cmp(pool)) else { return };
            pools[i].scheduler.token_messages(now, &allocators, MAX_TOKEN_REQUESTS)
        };
        let answers = allowances::exchange(host, messages);
        if answers.is_empty() {
            return;
        }
        for (number, answer) in answers {
            on_tokens(host, own, number, &answer);
        }
    }
}

/// Passes an allocator's answer to the schedulers of this host.
pub fn on_tokens(host: &Arc<Host>, from: SocketAddr, number: u64, answer: &AllowanceAnswer) {
    let now = host.now();
    let mut decisions = Vec::new();
    for scheduled in lock(&host.scheduling.pools).iter_mut() {
        decisions.extend(scheduled.scheduler.on_tokens(now, from, number, answer.clone()));
    }
    send_decisions(host, decisions);
}

/// Handles the news that a host runs in an incarnation.
pub fn on_incarnation(host: &Host, name: &str, incarnation: u64) {
    let requested = host.scheduling.requester_incarnation(name);
    if requested.is_some_and(|requested| requested < incarnation) {
        host.scheduling.end_former_requests(name);
    }
}

/// Handles the end of a request of the host `from`, with the load that its target reported last.
pub fn on_grant_ended(
    host: &Arc<Host>,
    from: &Arc<str>,
    number: u64,
    pool: &Arc<str>,
    report: Option<(Arc<str>, TargetReport)>,
) {
    let now = host.now();
    let key = RequestKey { host: from.clone(), number };
    let decisions =
        host.scheduling.with_scheduler(host, pool, |s| s.on_grant_ended(now, &key, report));
    send_decisions(host, decisions);
}

/// Handles the return of a hedge at `target` that the host `from` does not use.
pub fn on_grant_declined(
    host: &Arc<Host>,
    from: &Arc<str>,
    number: u64,
    pool: &Arc<str>,
    target: &Arc<str>,
) {
    let now = host.now();
    let key = RequestKey { host: from.clone(), number };
    let decisions =
        host.scheduling.with_scheduler(host, pool, |s| s.on_grant_declined(now, &key, target));
    send_decisions(host, decisions);
}

/// Passes a decision of the scheduler at `from` to the request of this host that awaits it. If there is none, a
/// slot that it grants is returned: the request has ended, or its process was killed.
pub fn on_slot_decision(host: &Arc<Host>, from: SocketAddr, number: u64, decision: SlotDecision) {
    let kind = decision.as_str();
    let granted = match &decision {
        SlotDecision::Grant { target, .. } | SlotDecision::Hedge { target, .. } => {
            Some(target.clone())
        }
        SlotDecision::Wait | SlotDecision::Reject { .. } => None,
    };
    let delivery = host.scheduling.pending.deliver(from, number, decision);
    host.metrics.slot_decision(delivery.as_str());
    if delivery == Delivery::Delivered {
        return;
    }
    info!(host.log, "decision_unmatched"; "reason" => delivery.as_str(),
        "from" => from.to_string(), "number" => number, "decision" => kind);
    let pool = granted.and_then(|target| host.fleet().registry.pool(&target).cloned());
    if let Some(pool) = pool {
        end_grant(host, from, number, &pool, None);
    }
}

fn send_decisions(host: &Arc<Host>, decisions: Vec<(RequestKey, SlotDecision)>) {
    for (key, decision) in decisions {
        if let SlotDecision::Hedge { target, .. } = &decision {
            info!(host.log, "hedge_granted"; "to" => &*key.host, "number" => key.number,
                "target" => &**target);
        }
        let settings = host.settings.load();
        if key.host == settings.host {
            on_slot_decision(host, settings.peer, key.number, decision);
            continue;
        }
        let Some(addr) = host.scheduling.reply_addr(&key.host) else {
            warn!(host.log, "decision_undeliverable"; "to" => &*key.host);
            continue;
        };
        peers::send(host, &[addr], Message::SlotDecision { number: key.number, decision });
    }
}

/// Drives the scheduling of pools by this host until the task is dropped.
pub async fn run(host: Arc<Host>) {
    loop {
        let idle = lock(&host.scheduling.pools).is_empty();
        tokio::time::sleep(if idle { IDLE_TICK } else { SCHEDULER_TICK }).await;
        tick(&host);
    }
}

/// Makes the decisions that schedulers of this host put off, until the task is dropped.
pub async fn run_passes(host: Arc<Host>) {
    loop {
        host.scheduling.pass_due.notified().await;
        tokio::time::sleep(PASS_INTERVAL).await;
        let now = host.now();
        let mut decisions = Vec::new();
        for scheduled in lock(&host.scheduling.pools).iter_mut() {
            if scheduled.scheduler.is_pass_due() {
                decisions.extend(scheduled.scheduler.tick(now));
            }
        }
        send_decisions(&host, decisions);
    }
}

/// Advances the time for all pools that this host schedules, and probes targets without a recent
/// report.
fn tick(host: &Arc<Host>) {
    let now = host.now();
    let mut decisions = Vec::new();
    let mut stale_targets = Vec::new();
    let limit_share = host.limit_share();
    {
        let mut pools = lock(&host.scheduling.pools);
        pools.retain(|d| now.since(d.last_request) < POOL_IDLE_TIMEOUT);
        if pools.is_empty() {
            lock(&host.scheduling.requesters).clear();
        }
        for scheduled in pools.iter_mut() {
            scheduled.scheduler.set_limit_share(limit_share);
            decisions.extend(scheduled.scheduler.tick(now));
            let mut targets = scheduled.scheduler.stale_targets(now, MAX_REPORT_AGE);
            targets.truncate(scheduled.probe_credit as usize);
            scheduled.probe_credit -= targets.len() as f64;
            stale_targets.push((scheduled.pool.clone(), targets));
        }
    }
    send_decisions(host, decisions);
    if host.routes().is_some_and(|r| r.has_teams()) {
        stale_targets.iter().for_each(|(pool, _)| exchange_tokens(host, pool));
    }
    for (pool, mut targets) in stale_targets {
        let granted = host.take_probes(&pool, targets.len(), 0, Prober::Scheduler);
        targets.truncate(granted);
        probe_targets(host, &pool, targets);
    }
}

/// Probes targets. Targets in this host's failure domain, and those whose reports don't arrive through
/// a delegate, are probed directly; others through a delegate host in their failure domain, since a
/// batch of reports is much smaller than the probes and their responses.
fn probe_targets(host: &Arc<Host>, pool: &Arc<str>, mut targets: Vec<StaleTarget>) {
    let own = host.settings.load().failure_domain.clone();
    targets.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    for same_domain in targets.chunk_by(|a, b| a.failure_domain == b.failure_domain) {
        let domain = &same_domain[0].failure_domain;
        let delegate = if *domain == own { None } else { probe_delegate(host, domain) };
        let Some(delegate) = delegate else {
            same_domain.iter().for_each(|u| probe_directly(host, pool, &u.target));
            continue;
        };
        let (delegated, direct): (Vec<&StaleTarget>, Vec<&StaleTarget>) =
            same_domain.iter().partition(|u| u.age.is_some_and(|age| age < DIRECT_PROBE_AGE));
        direct.iter().for_each(|u| probe_directly(host, pool, &u.target));
        for batch in delegated.chunks(MAX_PROBED_TARGETS) {
            let targets = batch.iter().map(|u| u.target.clone()).collect();
            peers::send(host, &[delegate], Message::ProbeTargets { pool: pool.clone(), targets });
        }
    }
}

/// Returns the address of the host with the highest capacity in a failure domain.
fn probe_delegate(host: &Host, domain: &str) -> Option<SocketAddr> {
    let members = host.members();
    members
        .peers()
        .filter(|m| m.state == MemberState::Alive && *m.failure_domain == *domain)
        .min_by_key(|m| (Reverse(m.capacity), members.order_key("measure", &m.name)))
        .map(|m| m.addr)
}

fn probe_directly(host: &Arc<Host>, pool: &Arc<str>, target: &Arc<str>) {
    let (host, pool, target) = (host.clone(), pool.clone(), target.clone());
    tokio::spawn(async move {
        if let Some(report) = selection::probe_load(&host, &pool, &target).await {
            on_target_reports(&host, &pool, &[(target, report)]);
        }
    });
}

/// Probes targets for the scheduler of their pool, and sends their reports to it.
pub fn on_probe_targets(
    host: &Arc<Host>,
    scheduler: SocketAddr,
    pool: Arc<str>,
    targets: Vec<Arc<str>>,
) {
    let host = host.clone();
    tokio::spawn(async move {
        let mut pending: FuturesUnordered<_> =
            targets
                .into_iter()
                .take(MAX_PROBED_TARGETS)
                .map(|target| {
                    let (host, pool) = (&host, &pool);
                    async move {
                        Some((target.clone(), selection::probe_load(host, pool, &target).await?))
                    }
                })
                .collect();
        let mut reports = Vec::new();
        let collect = async {
            while let Some(report) = pending.next().await {
                reports.extend(report);
            }
        };
        // Late reports are dropped; the scheduler requests them again.
        let _ = timeout(DELEGATED_PROBE_TIMEOUT, collect).await;
        drop(pending);
        if !reports.is_empty() {
            // The scheduler may be another one than when the targets became cold.
            let probed: Vec<Arc<str>> = reports.iter().map(|(t, _)| t.clone()).collect();
            send_warm_ups(&host, scheduler, &pool, &probed);
            peers::send(&host, &[scheduler], Message::TargetReports { pool, reports });
        }
    });
}

/// Passes load reports of targets to the scheduler of their pool, if this host still schedules it.
pub fn on_target_reports(host: &Arc<Host>, pool: &Arc<str>, reports: &[(Arc<str>, TargetReport)]) {
    let decisions = host.scheduling.on_load_reports(host.now(), pool, reports);
    send_decisions(host, decisions);
}

impl Scheduling {
    fn on_load_reports(
        &self,
        now: Time,
        pool: &Arc<str>,
        reports: &[(Arc<str>, TargetReport)],
    ) -> Vec<(RequestKey, SlotDecision)> {
        let mut pools = lock(&self.pools);
        let Ok(i) = pools.binary_search_by(|p| p.pool.cmp(pool)) else { return Vec::new() };
        let scheduler = &mut pools[i].scheduler;
        for (target, report) in reports {
            scheduler.on_report(now, target, report);
        }
        scheduler.tick(now)
    }

    /// Returns the addresses of the hosts that schedule the pools of the configuration in force.
    pub fn schedulers(host: &Host) -> Vec<SocketAddr> {
        let Some(config) = host.config() else { return Vec::new() };
        let mut out: Vec<SocketAddr> =
            config.pools.iter().filter_map(|p| scheduler_of(host, &p.name)).collect();
        out.sort_unstable();
        out.dedup();
        out
    }
}
