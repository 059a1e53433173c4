//! Selects a target for a request: by a grant from the pool's scheduler or, if no scheduler responds,
//! by probing some targets for their load.
//!
//! A request is sent on a connection on which the target has just responded or that is new, so that a
//! connection that is closed or no longer works is detected before the request is sent on it. Only an
//! idempotent request may use a connection without a probe after a short idle time.

use super::context::RequestContext;
use crate::allowances::{self, NoToken};
use crate::fleet::{Fleet, Prober};
use crate::host::Host;
use crate::reach::{self, CONNECT_TIMEOUT, ConnectError};
use crate::scheduling::{self, Grant, SlotResult};
use crate::upstream::{self, Connection, ExchangeError};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::Time;
use geraniummux_core::fleet::{
    AdmissionDecision, AdmissionInput, AdmissionRules, Candidate, Fault, FleetPool, RejectReason,
    ResponseLimits, SlotRequest, TargetReport, admit, has_slowed,
};
use geraniummux_core::time::scaled;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use slog::info;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Number of targets that are probed first.
const INITIAL_PROBES: usize = 3;
/// Number of targets that are probed if all of the first are full or don't respond.
const FURTHER_PROBES: usize = 6;
/// Time for which further responses are awaited after the first.
const FURTHER_RESPONSES_WAIT: Duration = Duration::from_millis(4);
/// Time for which a first response is awaited before other targets are probed. It doubles with each round
/// without any response, since this host may be the slow one.
const FIRST_RESPONSE_WAIT: Duration = Duration::from_millis(30);
/// Time limit of a probe on an idle connection, after which a new connection is opened.
const IDLE_PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Limits of the body of a response to a probe; it is not used.
const PROBE_RESPONSE_LIMITS: ResponseLimits =
    ResponseLimits { declared: 16 << 10, undeclared: 16 << 10 };
/// Idle time up to which a connection is used for idempotent requests without a probe.
const MAX_UNPROBED_IDLE: Duration = Duration::from_millis(1_000);
/// Grants whose targets can't be used after which the host selects a target by probing.
const MAX_GRANTS_TRIED: u32 = 3;
/// Rounds of probes without any response after which the request is rejected.
const MAX_EMPTY_ROUNDS: u32 = 4;

/// A target that is selected for a request.
pub struct SelectedTarget {
    /// The target.
    pub candidate: Candidate,
    /// The connection on which to send the request.
    pub conn: Connection,
    /// Expected latency as a multiple of the typical service time.
    pub latency_factor: f64,
    /// The scheduler's grant for the first attempt; `None` for a hedge, which the first attempt's
    /// grant covers, and if the host selected the target by probing.
    pub grant: Option<Grant>,
}

/// Result of the selection of a target.
pub enum Selection {
    /// A target is selected.
    Selected(Box<SelectedTarget>),
    /// The request is rejected.
    Rejected(Rejection),
}

/// The rejection of a request that has not run.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Status of the response.
    pub status: StatusCode,
    /// The reason, for logs.
    pub reason: &'static str,
    /// Time after which the caller may send the request again.
    pub retry_after: Duration,
}

impl Rejection {
    /// Returns the rejection of a request that finds no capacity.
    pub fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Rejection { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
    }

    /// Returns the rejection of a request whose team has used up its allowance until `next`. Callers return at
    /// different times, since the allowance suffices for few of them at once.
    fn over_allowance(ctx: &RequestContext, next: Duration) -> Self {
        let share = AdmissionRules::default().retry_after_share;
        let latest = scaled(ctx.time_left(ctx.host.now()), share).max(next);
        let spread = scaled(latest - next, rand::random());
        Rejection {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: RejectReason::OverAllowance.as_str(),
            retry_after: next + spread,
        }
    }
}

/// A target's response to a probe, with the connection on which it arrived.
struct ProbeResponse {
    candidate: Candidate,
    conn: Connection,
    report: TargetReport,
    healthy: bool,
}

/// Selects a target that is not among `tried`: the one that the pool's scheduler grants or, if no
/// scheduler responds or its grants can't be used, one that this host selects by probing.
pub async fn select(ctx: Arc<RequestContext>, tried: Vec<Arc<str>>) -> Selection {
    let host = &ctx.host;
    let mut avoid = tried.clone();
    avoid.extend(closed_targets(&ctx));
    for tries in 1..=MAX_GRANTS_TRIED {
        let slot_request = |now: Time| SlotRequest {
            failure_domain: host.settings.load().failure_domain.clone(),
            priority: ctx.priority(),
            service_time: ctx.service_time,
            body_bytes: ctx.typical_body_bytes,
            time_left: ctx.time_left(now),
            latency_target_left: ctx.route.latency_target.saturating_sub(ctx.elapsed(now)),
            hedgeable: ctx.route.idempotent && ctx.route.max_attempts > 1,
            avoid: avoid.clone(),
        };
        let latency_target = ctx.route.latency_target;
        let (pool, deadline) = (&ctx.pool.name, ctx.deadline);
        let team = ctx.team_terms();
        let slot =
            scheduling::request_slot(host, pool, latency_target, deadline, team, slot_request);
        match slot.await {
            SlotResult::Granted { mut grant, target, latency_factor } => {
                ctx.set_token();
                // The last grant is used even if the target has become slow.
                let limit = if tries < MAX_GRANTS_TRIED { latency_factor } else { f64::INFINITY };
                match connect(&ctx, &target, limit).await {
                    Connect::Connected(candidate, conn) => {
                        let grant = Some(grant);
                        return Selection::Selected(Box::new(SelectedTarget {
                            candidate,
                            conn,
                            latency_factor,
                            grant,
                        }));
                    }
                    Connect::Slowed(report) => grant.set_report(&target, report),
                    Connect::Unusable => {}
                    Connect::NoPath => {
                        // Another host may serve the request at once.
                        let rejection = Rejection::unavailable("cut_off", Duration::ZERO);
                        return Selection::Rejected(rejection);
                    }
                }
                avoid.push(target);
            }
            SlotResult::Rejected { reason, retry_after } => {
                let rejection = match reason {
                    RejectReason::OverAllowance => Rejection::over_allowance(&ctx, retry_after),
                    _ => Rejection::unavailable(reason.as_str(), retry_after),
                };
                info!(host.log, "admission_refused"; "id" => ctx.id(), "why" => reason.as_str(),
                    "by" => "scheduler", "held_ms" => ctx.elapsed(host.now()).as_millis() as u64,
                    "retry_after_ms" => rejection.retry_after.as_millis() as u64);
                return Selection::Rejected(rejection);
            }
            SlotResult::Unavailable => break,
        }
    }
    select_by_probing(ctx, tried).await
}

/// Maximum number of targets that a slot request avoids because they accept nothing from this host, so
/// that the message fits into a datagram. A grant for any other such target is not used.
const MAX_CLOSED_TARGETS: usize = 16;

/// Returns the targets that accept nothing from this host at present, as far as a slot request names
/// them.
fn closed_targets(ctx: &RequestContext) -> Vec<Arc<str>> {
    let now = ctx.host.now();
    let fleet = ctx.host.fleet();
    let mut closed = fleet.demands.closed(now, &ctx.pool.name, |t| fleet.registry.run(t));
    closed.truncate(MAX_CLOSED_TARGETS);
    closed
}

/// Result of the connection to a target.
pub enum Connect {
    /// A connection to the target on which the request can be sent.
    Connected(Candidate, Connection),
    /// The target has become slow, as its report shows.
    Slowed(TargetReport),
    /// The target can't be used.
    Unusable,
    /// This host is cut off from all targets, and no peer can connect it.
    NoPath,
}

/// Connects to a target. A new connection that the target does not accept is recorded as a fault.
///
/// `granted` is the latency factor with which the target was selected: if a probe shows that it has
/// become much slower since, the request is not sent there.
pub async fn connect(ctx: &RequestContext, target: &Arc<str>, granted: f64) -> Connect {
    let host = &ctx.host;
    // The scheduler may not know yet that the target is leaving, or this host not yet that it exists.
    let Some(candidate) = host.candidate(&ctx.pool.name, target) else {
        return Connect::Unusable;
    };
    let result = connect_candidate(ctx, &candidate, granted).await;
    // The target may have started to leave meanwhile, or have started again.
    if matches!(result, Connect::Connected(..))
        && host.candidate(&ctx.pool.name, target) != Some(candidate)
    {
        return Connect::Unusable;
    }
    result
}

async fn connect_candidate(ctx: &RequestContext, candidate: &Candidate, granted: f64) -> Connect {
    let host = &ctx.host;
    if let Some((conn, idle)) =
        host.upstream.take_idle(host.now(), candidate.run.addr, Some(&ctx.id))
    {
        if ctx.route.idempotent && idle <= MAX_UNPROBED_IDLE {
            return Connect::Connected(candidate.clone(), conn);
        }
        // A probe may count against a target's limit, and a new connection doesn't.
        if !host.fleet().demands.is_limited(host.now(), &candidate.id, candidate.run) {
            let probe = probe_before_send(ctx, candidate, conn, granted);
            if let Ok(Ok(result)) = timeout(IDLE_PROBE_TIMEOUT, probe).await {
                return result;
            }
        }
    }
    match reach::connect(host, &ctx.pool.name, candidate).await {
        Ok(conn) => Connect::Connected(candidate.clone(), conn),
        Err(e) => {
            record_connect_error(host, candidate, e);
            match e {
                ConnectError::NoPath => Connect::NoPath,
                ConnectError::Unreachable | ConnectError::Unusable => Connect::Unusable,
            }
        }
    }
}

/// Records a fault of a target to which there is no connection. It has none if this host is cut off.
fn record_connect_error(host: &Host, candidate: &Candidate, error: ConnectError) {
    if error == ConnectError::Unreachable {
        host.on_fault(&candidate.id, Fault::Unreachable);
    }
}

/// Checks by a probe on the connection whether the target is still as fast as when it was selected.
/// Fails if the connection is unusable.
async fn probe_before_send(
    ctx: &RequestContext,
    candidate: &Candidate,
    conn: Connection,
    granted: f64,
) -> Result<Connect, ()> {
    let host = &ctx.host;
    let Some(response) = send_probe(host, &ctx.pool, candidate, conn).await? else {
        // The target responded, but can't be used.
        return Ok(Connect::Unusable);
    };
    // Only the speed counts: the scheduler knows best how many requests the target has, and may grant
    // one more than it has slots.
    if !has_slowed(granted, response.report.slowdown) {
        return Ok(Connect::Connected(response.candidate, response.conn));
    }
    info!(host.log, "target_slowed"; "id" => ctx.id(), "target" => &*candidate.id,
        "granted" => granted, "slowdown" => response.report.slowdown);
    let now = host.now();
    host.upstream.put_idle(now, response.conn);
    Ok(Connect::Slowed(response.report))
}

/// Probes a target of a pool for its load.
pub async fn probe_load(
    host: &Arc<Host>,
    pool: &Arc<str>,
    target: &Arc<str>,
) -> Option<TargetReport> {
    let pool = host.routes()?.pool(pool)?.clone();
    let candidate = host.candidate(&pool.name, target)?;
    let response = probe_target(host.clone(), pool, candidate, None).await?;
    host.upstream.put_idle(host.now(), response.conn);
    Some(response.report)
}

/// Probes the targets that said some time ago that they are leaving and are still registered. Their next runs
/// may not differ from them in the registry.
pub fn recheck_leaving(host: &Arc<Host>) {
    let due = {
        let Fleet { registry, demands, table, .. } = &mut *host.fleet();
        let due = demands.take_due_rechecks(host.now(), |t| registry.run(t));
        let candidate = |(pool, id): (Arc<str>, Arc<str>)| {
            let candidate = table.candidate(&pool, &id)?;
            Some((candidate, pool))
        };
        due.into_iter().filter_map(candidate).collect::<Vec<_>>()
    };
    for (candidate, pool) in due {
        let pool = host.routes().and_then(|routes| routes.pool(&pool).cloned());
        let Some(pool) = pool else { continue };
        let host = host.clone();
        tokio::spawn(async move {
            if let Some(response) = probe_target(host.clone(), pool, candidate, None).await {
                host.upstream.put_idle(host.now(), response.conn);
            }
        });
    }
}

/// Selects a target that is not among `tried` by probing some for their load.
async fn select_by_probing(ctx: Arc<RequestContext>, tried: Vec<Arc<str>>) -> Selection {
    let host = &ctx.host;
    if let Err(rejection) = obtain_token(&ctx).await {
        return Selection::Rejected(rejection);
    }
    let rules = AdmissionRules::default();
    let mut probes = INITIAL_PROBES;
    let mut empty_rounds = 0;
    let mut min_probes = 1;
    loop {
        let granted = host.take_probes(&ctx.pool.name, probes, min_probes, Prober::Host);
        if granted == 0 {
            // This occurs only while a request is held for a free slot; it is held on, since the
            // budget for probes is exhausted.
            tokio::time::sleep(rules.hold_interval).await;
            let max_hold = scaled(ctx.route.latency_target, rules.max_hold_share);
            min_probes = usize::from(ctx.elapsed(host.now()) >= max_hold);
            continue;
        }
        let candidates = candidates(&ctx, &tried, granted);
        if candidates.is_empty() {
            return rejection("no_target", &ctx);
        }
        // All candidates are cold or none is.
        let were_cold = is_limited_cold(&ctx, &candidates[0].id);
        let wait = FIRST_RESPONSE_WAIT * 2_u32.pow(empty_rounds);
        let mut responses = probe_targets(&ctx, candidates, wait).await;
        let now = host.now();
        let Some((best, latency_factor)) = best_response(&ctx, &responses) else {
            empty_rounds += 1;
            probes = FURTHER_PROBES;
            if empty_rounds >= MAX_EMPTY_ROUNDS || ctx.time_left(now) < ctx.service_time / 2 {
                return rejection("no_answer", &ctx);
            }
            continue;
        };
        let best = responses.swap_remove(best);
        for response in responses {
            host.upstream.put_idle(now, response.conn);
        }
        if best.report.free_slots() == 0 && probes == INITIAL_PROBES {
            host.upstream.put_idle(now, best.conn);
            probes = FURTHER_PROBES;
            continue;
        }
        let demand = AdmissionInput {
            urgent: ctx.urgent,
            service_time: ctx.service_time,
            time_left: ctx.time_left(now),
            latency_target: ctx.route.latency_target,
            elapsed: ctx.elapsed(now),
        };
        match admit(&demand, &best.report, latency_factor, rand::random(), &rules) {
            AdmissionDecision::Send => {
                let ProbeResponse { candidate, conn, .. } = best;
                // The target may have started to leave during the probe, or have started again.
                if host.candidate(&ctx.pool.name, &candidate.id).as_ref() != Some(&candidate) {
                    continue;
                }
                if !were_cold && is_limited_cold(&ctx, &candidate.id) {
                    // The response to the probe said so. The host's share was not asked for this target.
                    host.upstream.put_idle(now, conn);
                    continue;
                }
                host.fleet().table.on_sent(&candidate.id);
                return Selection::Selected(Box::new(SelectedTarget {
                    candidate,
                    conn,
                    latency_factor,
                    grant: None,
                }));
            }
            AdmissionDecision::Hold(pause) => {
                host.upstream.put_idle(now, best.conn);
                min_probes = 0;
                tokio::time::sleep(pause).await;
            }
            AdmissionDecision::Reject { reason, retry_after } => {
                host.upstream.put_idle(now, best.conn);
                info!(host.log, "admission_refused"; "id" => ctx.id(), "why" => reason.as_str(),
                    "target" => &*best.candidate.id, "running" => best.report.running,
                    "waiting" => best.report.waiting, "slots" => best.report.slots,
                    "slowdown" => best.report.slowdown, "stretch" => latency_factor,
                    "held_ms" => demand.elapsed.as_millis() as u64,
                    "time_left_ms" => demand.time_left.as_millis() as u64);
                return Selection::Rejected(Rejection::unavailable(reason.as_str(), retry_after));
            }
        }
    }
}

/// Obtains a token of the team's allowance if the request needs one.
async fn obtain_token(ctx: &RequestContext) -> Result<(), Rejection> {
    let Some(team) = ctx.team.as_ref().filter(|_| ctx.needs_token()) else { return Ok(()) };
    let rejection = match allowances::obtain(&ctx.host, &team.name).await {
        Ok(()) => {
            ctx.set_token();
            return Ok(());
        }
        Err(NoToken::Denied(next)) => Rejection::over_allowance(ctx, next),
        // Another host may reach an allocator.
        Err(NoToken::NoAllocator) => {
            Rejection::unavailable(RejectReason::NoAllocator.as_str(), Duration::ZERO)
        }
    };
    info!(ctx.host.log, "admission_refused"; "id" => ctx.id(), "why" => rejection.reason,
        "by" => "host", "held_ms" => ctx.elapsed(ctx.host.now()).as_millis() as u64,
        "retry_after_ms" => rejection.retry_after.as_millis() as u64);
    Err(rejection)
}

/// Returns up to `count` targets to probe for a request, none of `tried`. Targets with a limit and cold ones are
/// used only if there are no others, and then within this host's share.
fn candidates(ctx: &RequestContext, tried: &[Arc<str>], count: usize) -> Vec<Candidate> {
    let pool = &ctx.pool.name;
    let now = ctx.host.now();
    let hosts = ctx.host.host_count();
    let limits_cold = ctx.host.warm_up_rules(pool).is_some();
    let (found, cold) = {
        let Fleet { registry, demands, table, .. } = &mut *ctx.host.fleet();
        let mut avoid = tried.to_vec();
        avoid.extend(demands.closed(now, pool, |t| registry.run(t)));
        let limited = demands.limited(now, pool, |t| registry.run(t));
        let cold: Vec<Arc<str>> =
            if limits_cold { registry.cold(now, pool).cloned().collect() } else { Vec::new() };
        let reserved = avoid.len();
        avoid.extend(limited.iter().chain(&cold).cloned());
        let found = table.candidates(now, pool, &avoid, count, &mut rand::rng());
        if !found.is_empty() || limited.is_empty() && cold.is_empty() {
            return found;
        }
        avoid.truncate(reserved);
        (table.candidates(now, pool, &avoid, usize::MAX, &mut rand::rng()), cold)
    };
    let is_allowed = |c: &Candidate| {
        let is_cold = cold.contains(&c.id);
        (!is_cold || ctx.host.try_take_warm_up(pool, &c.id))
            && ctx.host.fleet().demands.try_take_share(now, &c.id, c.run, hosts, rand::random())
    };
    let allowed = found.into_iter().find(|c| is_allowed(c));
    allowed.into_iter().collect()
}

/// Returns whether a target is cold and its pool limits what cold targets get.
fn is_limited_cold(ctx: &RequestContext, target: &str) -> bool {
    let host = &ctx.host;
    let is_limited = host.warm_up_rules(&ctx.pool.name).is_some();
    is_limited && host.fleet().registry.cold_until(target) > host.now()
}

fn rejection(reason: &'static str, ctx: &RequestContext) -> Selection {
    let left = ctx.time_left(ctx.host.now());
    let share = AdmissionRules::default().retry_after_share;
    Selection::Rejected(Rejection::unavailable(reason, scaled(left, share)))
}

/// Returns the index of the best target's response, and the expected latency there as a multiple of the
/// typical service time. Targets that report themselves unhealthy count only if there are no others.
fn best_response(ctx: &RequestContext, responses: &[ProbeResponse]) -> Option<(usize, f64)> {
    let now = ctx.host.now();
    let fleet = ctx.host.fleet();
    let rate =
        |r: &ProbeResponse| fleet.table.rate(now, &ctx.pool.name, &r.candidate.id, &r.report);
    let rated = responses.iter().enumerate().map(|(i, r)| (i, r.healthy, rate(r)));
    let best = rated.min_by(|a, b| b.1.cmp(&a.1).then(a.2.cost.total_cmp(&b.2.cost)));
    best.map(|(i, _, rating)| (i, rating.latency_factor))
}

/// Probes targets for their load, on connections that may carry the request. Returns the responses until shortly after
/// the first, for which it waits up to `first_wait`; later ones still update the table of targets and return their
/// connections.
async fn probe_targets(
    ctx: &RequestContext,
    candidates: Vec<Candidate>,
    first_wait: Duration,
) -> Vec<ProbeResponse> {
    let (host, pool) = (&ctx.host, &ctx.pool);
    let probe = |c| probe_target(host.clone(), pool.clone(), c, Some(ctx.id.clone()));
    let mut pending: FuturesUnordered<_> = candidates.into_iter().map(probe).collect();
    let mut responses = Vec::new();
    let mut timer = pin!(tokio::time::sleep(first_wait));
    loop {
        tokio::select! {
            biased;
            result = pending.next() => match result {
                Some(Some(response)) => {
                    if responses.is_empty() {
                        timer.as_mut().reset(tokio::time::Instant::now() + FURTHER_RESPONSES_WAIT);
                    }
                    responses.push(response);
                }
                Some(None) => {}
                None => return responses,
            },
            () = &mut timer => break,
        }
    }
    let host = host.clone();
    tokio::spawn(async move {
        while let Some(late) = pending.next().await {
            if let Some(response) = late {
                host.upstream.put_idle(host.now(), response.conn);
            }
        }
    });
    responses
}

/// Probes one target, on an idle connection or, if that fails, on a new one. If an id is given, the connection may
/// carry the request with that id.
async fn probe_target(
    host: Arc<Host>,
    pool: Arc<FleetPool>,
    candidate: Candidate,
    id: Option<HeaderValue>,
) -> Option<ProbeResponse> {
    let now = host.now();
    if let Some((conn, _)) = host.upstream.take_idle(now, candidate.run.addr, id.as_ref()) {
        let probe = send_probe(&host, &pool, &candidate, conn);
        if let Ok(Ok(response)) = timeout(IDLE_PROBE_TIMEOUT, probe).await {
            return response;
        }
    }
    let started = host.now();
    let probe = match reach::connect(&host, &pool.name, &candidate).await {
        Ok(conn) => {
            let connecting =
                if conn.is_relayed() { Duration::ZERO } else { host.now().since(started) };
            let limit = CONNECT_TIMEOUT.saturating_sub(connecting);
            let probe = send_probe(&host, &pool, &candidate, conn);
            timeout(limit, probe).await.unwrap_or(Err(())).map_err(|()| ConnectError::Unreachable)
        }
        Err(e) => Err(e),
    };
    probe.unwrap_or_else(|e| {
        host.metrics.probe(&pool.name, "failed");
        record_connect_error(&host, &candidate, e);
        None
    })
}

/// Sends one probe. Returns `Err` if the connection is unusable, and `Ok(None)` if the target
/// responded but can't be used.
async fn send_probe(
    host: &Arc<Host>,
    pool: &FleetPool,
    candidate: &Candidate,
    conn: Connection,
) -> Result<Option<ProbeResponse>, ()> {
    let req = Request::get(&*pool.health_path)
        .header(header::HOST, candidate.run.addr.to_string())
        .body(Full::<Bytes>::default());
    let req = req.map_err(|_| ())?;
    let memory = host.bodies.unreserved(&pool.name);
    let relay = conn.relay();
    let sent_at = host.now();
    let names = host.protocol.headers();
    let result = upstream::exchange(conn, req, None, names, PROBE_RESPONSE_LIMITS, memory).await;
    let (response, conn) = result.map_err(|e| match e {
        ExchangeError::OtherRequest => {
            info!(host.log, "probe_answered_for_request"; "target" => &*candidate.id);
        }
        ExchangeError::Unproven(Some(pause)) => {
            host.on_pause(&pool.name, candidate, pause, relay);
        }
        _ => {}
    })?;
    let Some(answering) = response.headers.get(&names.answering_target) else { return Err(()) };
    let now = host.now();
    if answering.as_bytes() != candidate.id.as_bytes() {
        host.metrics.probe(&pool.name, "other_target");
        host.on_identity_mismatch(candidate);
        info!(host.log, "address_reused"; "target" => &*candidate.id,
            "addr" => candidate.run.addr.to_string(), "answering" => format!("{answering:?}"));
        return Ok(None);
    }
    host.metrics.probe(&pool.name, response.status.as_str());
    if let Some(pause) = response.pause() {
        host.on_pause(&pool.name, candidate, pause, relay);
    }
    if let Some(demand) = host.target_demand(&candidate.id, &response.headers) {
        host.on_demand(&pool.name, candidate, sent_at, demand);
    }
    host.on_warm_up_left(&pool.name, candidate, &response.headers);
    let report = host.target_report(&candidate.id, &response.headers);
    if let Some(report) = report {
        host.fleet().table.on_report(now, &candidate.id, report);
    }
    let healthy = response.status == StatusCode::OK;
    // A target that reports no load is assumed to have a free slot.
    let unknown = TargetReport { running: 0, waiting: 0, slots: 1, slowdown: 1.0 };
    let report = report.unwrap_or(unknown);
    let candidate = candidate.clone();
    Ok(conn.map(|conn| ProbeResponse { candidate, conn, report, healthy }))
}
