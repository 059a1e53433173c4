//! Asks the scheduler of a pool where to send requests, and is one for some pools.

use crate::fleet::Prober;
use crate::host::Host;
use crate::peers;
use crate::proxy::place;
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::fleet::{
    RegisteredTarget, RequestKey, Scheduler, SchedulerOptions, SlotDecision, SlotRequest,
    StaleTarget, TargetReport,
};
use geraniummux_core::{MemberState, Time};
use geraniummux_wire::{MAX_PROBED_TARGETS, Message};
use slog::{info, warn};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time for a first decision. It covers the way to the scheduler and back and a few turns of other
/// processes on a small part of a core.
const FIRST_DECISION: Duration = Duration::from_millis(15);
/// Time after which a request that waits is asked about again, in case that a message was lost.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// How long a scheduler that did not answer is not asked.
const DISTRUST: Duration = Duration::from_millis(700);
/// A pool without requests for this long is not measured.
const ACTIVE: Duration = Duration::from_secs(2);
/// Age of a target's last report from which the scheduler asks it for its load.
const REPORT_AGE: Duration = Duration::from_millis(60);
/// Age of a target's last report from which its scheduler doesn't rely on a helper.
const UNHELPED: Duration = Duration::from_millis(250);
/// Time that a helper waits for reports: a few turns of a small part of a core.
const HELPER_TIME: Duration = Duration::from_millis(15);
/// Health checks that a request earns the scheduler that is asked about it. While hosts start and
/// don't know each other, each of them schedules for itself and must not measure for the fleet.
const PROBES_PER_ASK: f64 = 5.0;
/// Most health checks that are earned ahead.
const MAX_EARNED: f64 = 500.0;
/// Time after its start in which a host doesn't rely on the members that it knows: news of all members
/// reach a host within about half a second after a start of the whole fleet.
const SETTLING: Duration = Duration::from_secs(1);
/// Interval of the timer of a scheduler.
const TICK: Duration = Duration::from_millis(30);
/// Interval of the timer of a host that schedules no pool.
const IDLE_TICK: Duration = Duration::from_millis(250);

struct Duty {
    pool: Arc<str>,
    scheduler: Scheduler,
    asked: Time,
    /// Health checks that the requests asked about since have earned.
    probes: f64,
}

/// Requests of this host that wait for decisions, and the pools that this host schedules.
#[derive(Default)]
pub struct Scheduling {
    /// Sorted by pool.
    duties: Mutex<Vec<Duty>>,
    /// Sorted by number.
    pending: Mutex<Vec<(u64, mpsc::UnboundedSender<SlotDecision>)>>,
    next: AtomicU64,
    /// Where hosts that ask get their decisions, sorted by host. A host that has just started is not
    /// yet among the members that this one knows.
    askers: Mutex<Vec<(Arc<str>, SocketAddr)>>,
    /// Schedulers that did not answer, with the end of the time in which they are not asked.
    distrusted: Mutex<Vec<(SocketAddr, Time)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Scheduling {
    fn duty<R, F>(&self, host: &Host, pool: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut Scheduler) -> R,
    {
        let now = host.now();
        // The order of these locks is the same everywhere.
        let fleet = host.fleet();
        let mut duties = lock(&self.duties);
        let i = duties.binary_search_by(|d| d.pool.cmp(pool)).unwrap_or_else(|i| {
            info!(host.log, "scheduling_pool"; "pool" => &**pool);
            let mut scheduler = Scheduler::new(SchedulerOptions::default());
            scheduler.update(targets_of(fleet.registry.targets(now), pool));
            duties.insert(i, Duty { pool: pool.clone(), scheduler, asked: now, probes: 0.0 });
            i
        });
        drop(fleet);
        duties[i].asked = now;
        f(&mut duties[i].scheduler)
    }

    fn note_asker(&self, host: &Arc<str>, addr: SocketAddr) {
        let mut askers = lock(&self.askers);
        match askers.binary_search_by(|(h, _)| h.cmp(host)) {
            Ok(i) => askers[i].1 = addr,
            Err(i) => askers.insert(i, (host.clone(), addr)),
        }
    }

    fn asker(&self, host: &Arc<str>) -> Option<SocketAddr> {
        let askers = lock(&self.askers);
        let i = askers.binary_search_by(|(h, _)| h.cmp(host)).ok()?;
        Some(askers[i].1)
    }

    fn earn_probes(&self, pool: &Arc<str>) {
        let mut duties = lock(&self.duties);
        if let Ok(i) = duties.binary_search_by(|d| d.pool.cmp(pool)) {
            duties[i].probes = (duties[i].probes + PROBES_PER_ASK).min(MAX_EARNED);
        }
    }

    /// Takes in changed targets.
    pub fn update<'a, I>(&self, targets: I)
    where
        I: Iterator<Item = (&'a RegisteredTarget, bool)> + Clone,
    {
        for duty in lock(&self.duties).iter_mut() {
            duty.scheduler.update(targets_of(targets.clone(), &duty.pool));
        }
    }

    /// Records faults of a target.
    pub fn on_fault(&self, now: Time, target: &str, weight: f64) {
        for duty in lock(&self.duties).iter_mut() {
            duty.scheduler.on_fault(now, target, weight);
        }
    }
}

fn targets_of<'a, I>(targets: I, pool: &str) -> impl Iterator<Item = (&'a RegisteredTarget, bool)>
where
    I: Iterator<Item = (&'a RegisteredTarget, bool)>,
{
    targets.filter(move |(t, _)| *t.pool == *pool)
}

/// A place at a target. The scheduler is told that the request has ended when it is dropped.
pub struct Grant {
    host: Arc<Host>,
    pool: Arc<str>,
    number: u64,
    scheduler: SocketAddr,
    report: Option<(Arc<str>, TargetReport)>,
    decisions: mpsc::UnboundedReceiver<SlotDecision>,
}

impl Grant {
    /// Polls for a second place: the target and the expected stretch there.
    pub fn poll_hedge(&mut self, cx: &mut Context<'_>) -> Poll<(Arc<str>, f64)> {
        while let Poll::Ready(Some(decision)) = self.decisions.poll_recv(cx) {
            if let SlotDecision::Hedge { target, latency_factor } = decision {
                return Poll::Ready((target, latency_factor));
            }
        }
        Poll::Pending
    }

    /// Gives back a second place.
    pub fn decline(&self, target: &Arc<str>) {
        let (host, number) = (&self.host, self.number);
        if self.scheduler == host.settings.load().peer {
            let me = host.settings.load().host.clone();
            on_declined(host, &me, number, &self.pool, target);
        } else {
            let (pool, target) = (self.pool.clone(), target.clone());
            peers::send(host, &[self.scheduler], Message::GrantDeclined { number, pool, target });
        }
    }

    /// Notes what a target said of its load when the request ended.
    pub fn set_report(&mut self, target: &Arc<str>, report: TargetReport) {
        self.report = Some((target.clone(), report));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let host = &self.host;
        lock(&host.scheduling.pending).retain(|(n, _)| *n != self.number);
        let report = self.report.take();
        if self.scheduler == host.settings.load().peer {
            let me = host.settings.load().host.clone();
            on_ended(host, &me, self.number, &self.pool, report);
        } else {
            let message =
                Message::GrantEnded { number: self.number, pool: self.pool.clone(), report };
            peers::send(host, &[self.scheduler], message);
        }
    }
}

/// What came of asking a scheduler.
pub enum Answer {
    /// The request is to be sent to a target.
    Granted {
        /// The place.
        grant: Grant,
        /// The target.
        target: Arc<str>,
        /// Expected time to the answer as a multiple of the usual time.
        latency_factor: f64,
    },
    /// The request is refused.
    Refused {
        /// Why, for logs.
        why: &'static str,
        /// When the caller may return.
        retry_after: Duration,
    },
    /// No scheduler answers.
    Unavailable,
}

/// Returns the host that schedules a pool: among the hosts in service with the most capacity the
/// first in an order that differs between pools. There is none for a host that has just started and
/// doesn't know the others: if it scheduled by itself, as they do, they would fill the same targets.
fn scheduler_of(host: &Host, pool: &str) -> Option<SocketAddr> {
    let is_settling = host.now().since(host.started) < SETTLING;
    let members = host.members();
    if is_settling && members.has_seeds() {
        return None;
    }
    std::iter::once(members.local_member())
        .chain(members.peers())
        .filter(|m| m.state == MemberState::Alive)
        .min_by_key(|m| (Reverse(m.capacity), members.order_key(pool, &m.name), m.name.clone()))
        .map(|m| m.addr)
}

/// Asks where to send a request. `request` is called for the request as it is at that time.
pub async fn place<F>(host: &Arc<Host>, pool: &Arc<str>, deadline: Time, request: F) -> Answer
where
    F: Fn(Time) -> SlotRequest,
{
    let Some(scheduler) = scheduler_of(host, pool) else { return Answer::Unavailable };
    let now = host.now();
    if lock(&host.scheduling.distrusted).iter().any(|(a, until)| *a == scheduler && now < *until) {
        return Answer::Unavailable;
    }
    let number = host.scheduling.next.fetch_add(1, Ordering::Relaxed);
    let (tx, decisions) = mpsc::unbounded_channel();
    lock(&host.scheduling.pending).push((number, tx));
    // From here on the scheduler is told if the request ends without having been sent.
    let mut grant = Grant {
        host: host.clone(),
        pool: pool.clone(),
        number,
        scheduler,
        report: None,
        decisions,
    };
    let mut patience = FIRST_DECISION;
    loop {
        let now = host.now();
        if now >= deadline {
            return Answer::Unavailable;
        }
        send_ask(host, scheduler, number, pool, request(now));
        loop {
            match timeout(patience, grant.decisions.recv()).await {
                // A second place can't come before the first.
                Ok(Some(SlotDecision::Wait | SlotDecision::Hedge { .. })) => patience = ASK_AGAIN,
                Ok(Some(SlotDecision::Grant { target, latency_factor })) => {
                    return Answer::Granted { grant, target, latency_factor };
                }
                Ok(Some(SlotDecision::Reject { reason, retry_after })) => {
                    return Answer::Refused { why: reason.as_str(), retry_after };
                }
                Ok(None) => return Answer::Unavailable,
                Err(_) if patience == FIRST_DECISION => {
                    distrust(host, scheduler);
                    return Answer::Unavailable;
                }
                Err(_) => break,
            }
        }
        patience = FIRST_DECISION;
    }
}

fn distrust(host: &Host, scheduler: SocketAddr) {
    let now = host.now();
    info!(host.log, "scheduler_silent"; "scheduler" => scheduler.to_string());
    let mut distrusted = lock(&host.scheduling.distrusted);
    distrusted.retain(|(_, until)| now < *until);
    distrusted.push((scheduler, now + DISTRUST));
}

fn send_ask(
    host: &Arc<Host>,
    scheduler: SocketAddr,
    number: u64,
    pool: &Arc<str>,
    request: SlotRequest,
) {
    if scheduler == host.settings.load().peer {
        let me = host.settings.load().host.clone();
        on_ask(host, &me, scheduler, number, pool, request);
    } else {
        peers::send(
            host,
            &[scheduler],
            Message::SlotRequest { number, pool: pool.clone(), request },
        );
    }
}

/// Takes a question of the host `from`, which gets its answers at `addr`.
pub fn on_ask(
    host: &Arc<Host>,
    from: &Arc<str>,
    addr: SocketAddr,
    number: u64,
    pool: &Arc<str>,
    request: SlotRequest,
) {
    let now = host.now();
    host.scheduling.note_asker(from, addr);
    let ticket = RequestKey { host: from.clone(), number };
    let decisions = host.scheduling.duty(host, pool, |s| s.on_request(now, ticket, request));
    host.scheduling.earn_probes(pool);
    tell(host, decisions);
}

/// Takes the news that a request has ended.
pub fn on_ended(
    host: &Arc<Host>,
    from: &Arc<str>,
    number: u64,
    pool: &Arc<str>,
    report: Option<(Arc<str>, TargetReport)>,
) {
    let now = host.now();
    let ticket = RequestKey { host: from.clone(), number };
    let decisions = host.scheduling.duty(host, pool, |s| s.on_grant_ended(now, &ticket, report));
    tell(host, decisions);
}

/// Takes the news that a second place is not used.
pub fn on_declined(
    host: &Arc<Host>,
    from: &Arc<str>,
    number: u64,
    pool: &Arc<str>,
    target: &Arc<str>,
) {
    let now = host.now();
    let ticket = RequestKey { host: from.clone(), number };
    let decisions = host.scheduling.duty(host, pool, |s| s.on_grant_declined(now, &ticket, target));
    tell(host, decisions);
}

/// Takes a decision of a scheduler.
pub fn on_decided(host: &Host, number: u64, decision: SlotDecision) {
    let pending = lock(&host.scheduling.pending);
    if let Ok(i) = pending.binary_search_by_key(&number, |(n, _)| *n) {
        // A request that has ended meanwhile needs no decision; its end was told.
        let _ = pending[i].1.send(decision);
    }
}

fn tell(host: &Arc<Host>, decisions: Vec<(RequestKey, SlotDecision)>) {
    for (ticket, decision) in decisions {
        if ticket.host == host.settings.load().host {
            on_decided(host, ticket.number, decision);
            continue;
        }
        let Some(addr) = host.scheduling.asker(&ticket.host) else {
            warn!(host.log, "decision_undeliverable"; "to" => &*ticket.host);
            continue;
        };
        peers::send(host, &[addr], Message::SlotDecision { number: ticket.number, decision });
    }
}

/// Drives the schedulers of this host until the task is dropped.
pub async fn run(host: Arc<Host>) {
    loop {
        let idle = lock(&host.scheduling.duties).is_empty();
        tokio::time::sleep(if idle { IDLE_TICK } else { TICK }).await;
        tick(&host);
    }
}

/// Advances the time for all pools that this host schedules, and asks targets that have not reported
/// lately for their load.
fn tick(host: &Arc<Host>) {
    let now = host.now();
    let mut decisions = Vec::new();
    let mut stale_targets = Vec::new();
    {
        let mut duties = lock(&host.scheduling.duties);
        duties.retain(|d| now.since(d.asked) < ACTIVE);
        if duties.is_empty() {
            lock(&host.scheduling.askers).clear();
        }
        for duty in duties.iter_mut() {
            decisions.extend(duty.scheduler.tick(now));
            let mut targets = duty.scheduler.stale_targets(now, REPORT_AGE);
            targets.truncate(duty.probes as usize);
            duty.probes -= targets.len() as f64;
            stale_targets.push((duty.pool.clone(), targets));
        }
    }
    tell(host, decisions);
    for (pool, mut targets) in stale_targets {
        let granted = host.take_probes(&pool, targets.len(), 0, Prober::Scheduler);
        targets.truncate(granted);
        measure(host, &pool, targets);
    }
}

/// Measures targets: near ones, and those that helpers don't reach, from here, others through a host in
/// their failure domain, since a batch of reports is much smaller than the health checks.
fn measure(host: &Arc<Host>, pool: &Arc<str>, mut targets: Vec<StaleTarget>) {
    let own = host.settings.load().failure_domain.clone();
    targets.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    for near in targets.chunk_by(|a, b| a.failure_domain == b.failure_domain) {
        let domain = &near[0].failure_domain;
        let helper = if *domain == own { None } else { helper_in(host, domain) };
        let Some(helper) = helper else {
            near.iter().for_each(|u| measure_here(host, pool, &u.target));
            continue;
        };
        let (by_helper, here): (Vec<&StaleTarget>, Vec<&StaleTarget>) =
            near.iter().partition(|u| u.age.is_some_and(|age| age < UNHELPED));
        here.iter().for_each(|u| measure_here(host, pool, &u.target));
        for part in by_helper.chunks(MAX_PROBED_TARGETS) {
            let targets = part.iter().map(|u| u.target.clone()).collect();
            peers::send(host, &[helper], Message::ProbeTargets { pool: pool.clone(), targets });
        }
    }
}

/// Returns the most capable host of a failure domain.
fn helper_in(host: &Host, domain: &str) -> Option<SocketAddr> {
    let members = host.members();
    members
        .peers()
        .filter(|m| m.state == MemberState::Alive && *m.failure_domain == *domain)
        .min_by_key(|m| (Reverse(m.capacity), members.order_key("measure", &m.name)))
        .map(|m| m.addr)
}

fn measure_here(host: &Arc<Host>, pool: &Arc<str>, target: &Arc<str>) {
    let (host, pool, target) = (host.clone(), pool.clone(), target.clone());
    tokio::spawn(async move {
        if let Some(report) = place::measure(&host, &pool, &target).await {
            on_measured(&host, &pool, &[(target, report)]);
        }
    });
}

/// Measures targets for the scheduler of their pool.
pub fn on_measure(host: &Arc<Host>, scheduler: SocketAddr, pool: Arc<str>, targets: Vec<Arc<str>>) {
    let host = host.clone();
    tokio::spawn(async move {
        let mut asked: FuturesUnordered<_> = targets
            .into_iter()
            .take(MAX_PROBED_TARGETS)
            .map(|target| {
                let (host, pool) = (&host, &pool);
                async move { Some((target.clone(), place::measure(host, pool, &target).await?)) }
            })
            .collect();
        let mut reports = Vec::new();
        let collect = async {
            while let Some(report) = asked.next().await {
                reports.extend(report);
            }
        };
        // Late reports are left out; their targets are asked again.
        let _ = timeout(HELPER_TIME, collect).await;
        drop(asked);
        if !reports.is_empty() {
            peers::send(&host, &[scheduler], Message::TargetReports { pool, reports });
        }
    });
}

/// Takes in what targets of a pool said of their load.
pub fn on_measured(host: &Arc<Host>, pool: &Arc<str>, reports: &[(Arc<str>, TargetReport)]) {
    let now = host.now();
    let mut decisions = Vec::new();
    for (target, report) in reports {
        decisions.extend(host.scheduling.duty_report(now, pool, target, report));
    }
    tell(host, decisions);
}

impl Scheduling {
    fn duty_report(
        &self,
        now: Time,
        pool: &Arc<str>,
        target: &str,
        report: &TargetReport,
    ) -> Vec<(RequestKey, SlotDecision)> {
        let mut duties = lock(&self.duties);
        let Ok(i) = duties.binary_search_by(|d| d.pool.cmp(pool)) else { return Vec::new() };
        duties[i].scheduler.on_report(now, target, report);
        duties[i].scheduler.tick(now)
    }

    /// Returns the addresses of the hosts that schedule the pools of a configuration.
    pub fn schedulers(host: &Host) -> Vec<SocketAddr> {
        let Some(config) = host.config() else { return Vec::new() };
        let mut out: Vec<SocketAddr> =
            config.pools.iter().filter_map(|p| scheduler_of(host, &p.name)).collect();
        out.sort_unstable();
        out.dedup();
        out
    }
}
