//! Finds a target for a request: asks some for their load and decides with their answers.
//!
//! The request is sent on the connection on which the chosen target has just answered, so that a
//! connection that went silent or was closed is found out before anything is sent on it.

use super::job::Job;
use crate::fleet::Prober;
use crate::host::Host;
use crate::scheduling::{self, Answer, Grant};
use crate::upstream::{self, Connection, ExchangeError};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::Time;
use geraniummux_core::fleet::{
    AdmissionDecision, AdmissionInput, AdmissionRules, Candidate, Fault, FleetPool, SlotRequest,
    TargetReport, admit,
};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use slog::info;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Targets that are asked first.
const FIRST_ASKED: usize = 3;
/// Targets that are asked if all of the first are full or don't answer.
const MORE_ASKED: usize = 6;
/// How long further answers are awaited after the first.
const FURTHER_ANSWERS: Duration = Duration::from_millis(4);
/// How long a first answer is awaited before other targets are asked.
const FIRST_ANSWER: Duration = Duration::from_millis(30);
/// How long an answer on an idle connection is awaited before a new one is opened.
const IDLE_ANSWER: Duration = Duration::from_millis(60);
/// How long a target may take to open a connection and answer before that counts as a fault.
const UNREACHABLE: Duration = Duration::from_millis(250);
/// Idle time up to which a connection is used for idempotent requests without a health check.
const TRUSTED_IDLE: Duration = Duration::from_millis(1_000);
/// Grants that may turn out to be of no use before the host chooses by itself.
const MAX_GRANTS: u32 = 3;
/// Rounds of asking without any answer after which the request is refused.
const MAX_EMPTY_ROUNDS: u32 = 4;

/// A target that a request is to be sent to.
pub struct Placed {
    /// Identity of the target.
    pub target: Arc<str>,
    /// The connection on which it has just answered.
    pub conn: Connection,
    /// Expected time to its answer, as a multiple of the usual time.
    pub latency_factor: f64,
    /// The place that the scheduler gave, unless the host chose by itself.
    pub grant: Option<Grant>,
}

/// What came of looking for a target.
pub enum Placement {
    /// The request is to be sent.
    Placed(Placed),
    /// It is not sent.
    Refused {
        /// Why, for logs.
        reason: &'static str,
        /// When the caller may return.
        retry_after: Duration,
    },
}

struct Offer {
    candidate: Candidate,
    conn: Connection,
    report: TargetReport,
    healthy: bool,
}

/// Finds a target that is not among `tried`: the one that the pool's scheduler names or, if no
/// scheduler answers, one that this host chooses by itself.
pub async fn find(job: Arc<Job>, tried: Vec<Arc<str>>) -> Placement {
    let host = &job.host;
    let mut avoid = tried.clone();
    for _ in 0..MAX_GRANTS {
        let ask = |now: Time| SlotRequest {
            failure_domain: host.settings.load().failure_domain.clone(),
            priority: job.route.priority,
            service_time: job.service_time,
            body_bytes: job.typical_body_bytes,
            time_left: job.time_left(now),
            latency_target_left: job.route.latency_target.saturating_sub(job.held_for(now)),
            hedgeable: job.route.idempotent && job.route.max_attempts > 1,
            avoid: avoid.clone(),
        };
        match scheduling::place(host, &job.pool.name, job.limit, ask).await {
            Answer::Granted { grant, target, latency_factor } => {
                if let Some(conn) = connect(&job, &target).await {
                    let grant = Some(grant);
                    return Placement::Placed(Placed { target, conn, latency_factor, grant });
                }
                avoid.push(target);
            }
            Answer::Refused { why, retry_after } => {
                info!(host.log, "admission_refused"; "id" => job.id(), "why" => why,
                    "by" => "scheduler", "held_ms" => job.held_for(host.now()).as_millis() as u64,
                    "retry_after_ms" => retry_after.as_millis() as u64);
                return Placement::Refused { reason: why, retry_after };
            }
            Answer::Unavailable => break,
        }
    }
    search(job, tried).await
}

/// Gets a connection to a target on which a request can be sent.
pub async fn connect(job: &Job, target: &Arc<str>) -> Option<Connection> {
    let host = &job.host;
    // The scheduler may not know yet that the target leaves, or this host not yet that it came.
    let candidate = host.fleet().table.candidate(&job.pool.name, target)?;
    let now = host.now();
    if let Some((conn, idle)) = host.upstream.take(now, candidate.addr) {
        if job.route.idempotent && idle <= TRUSTED_IDLE {
            return Some(conn);
        }
        let probe = health_check(host, &job.pool, &candidate, conn);
        match timeout(IDLE_ANSWER, probe).await {
            Ok(Ok(Some(offer))) => return Some(offer.conn),
            // It answered, but can't be used.
            Ok(Ok(None)) => return None,
            Ok(Err(())) | Err(_) => {}
        }
    }
    host.metrics.connection("target");
    match timeout(UNREACHABLE, Connection::open(candidate.addr)).await {
        Ok(Ok(conn)) => Some(conn),
        _ => {
            host.on_fault(target, Fault::Unreachable);
            None
        }
    }
}

/// Asks a target for its load.
pub async fn measure(host: &Arc<Host>, pool: &Arc<str>, target: &Arc<str>) -> Option<TargetReport> {
    let pool = host.routes()?.pool(pool)?.clone();
    let candidate = host.fleet().table.candidate(&pool.name, target)?;
    let offer = ask_one(host.clone(), pool, candidate).await?;
    host.upstream.keep(host.now(), offer.conn);
    Some(offer.report)
}

/// Finds a target that is not among `tried` by asking some for their load.
async fn search(job: Arc<Job>, tried: Vec<Arc<str>>) -> Placement {
    let host = &job.host;
    let rules = AdmissionRules::default();
    let mut asked = FIRST_ASKED;
    let mut empty_rounds = 0;
    let mut least = 1;
    loop {
        let granted = host.take_probes(&job.pool.name, asked, least, Prober::Host);
        if granted == 0 {
            // Only a request that waits for a free slot comes here; it goes on waiting, since the
            // budget for health checks is used up.
            tokio::time::sleep(rules.hold_interval).await;
            let hold = job.route.latency_target.mul_f64(rules.max_hold_share);
            least = usize::from(job.held_for(host.now()) >= hold);
            continue;
        }
        let now = host.now();
        let candidates = {
            let fleet = host.fleet();
            fleet.table.candidates(now, &job.pool.name, &tried, granted, &mut rand::rng())
        };
        if candidates.is_empty() {
            return refused("no_target", &job);
        }
        let mut offers = ask(host, &job.pool, candidates).await;
        let now = host.now();
        let Some((best, latency_factor)) = best_offer(&job, &offers) else {
            empty_rounds += 1;
            asked = MORE_ASKED;
            if empty_rounds >= MAX_EMPTY_ROUNDS || job.time_left(now) < job.service_time / 2 {
                return refused("no_answer", &job);
            }
            continue;
        };
        let best = offers.swap_remove(best);
        for offer in offers {
            host.upstream.keep(now, offer.conn);
        }
        if best.report.free_slots() == 0 && asked == FIRST_ASKED {
            host.upstream.keep(now, best.conn);
            asked = MORE_ASKED;
            continue;
        }
        let demand = AdmissionInput {
            urgent: job.urgent,
            service_time: job.service_time,
            time_left: job.time_left(now),
            latency_target: job.route.latency_target,
            held: job.held_for(now),
        };
        match admit(&demand, &best.report, latency_factor, rand::random(), &rules) {
            AdmissionDecision::Send => {
                let id = best.candidate.id;
                let mut fleet = host.fleet();
                // It may have begun to leave while it was asked.
                if !fleet.table.contains(&job.pool.name, &id) {
                    continue;
                }
                fleet.table.on_sent(&id);
                let conn = best.conn;
                return Placement::Placed(Placed { target: id, conn, latency_factor, grant: None });
            }
            AdmissionDecision::Hold(pause) => {
                host.upstream.keep(now, best.conn);
                least = 0;
                tokio::time::sleep(pause).await;
            }
            AdmissionDecision::Reject { reason, retry_after } => {
                host.upstream.keep(now, best.conn);
                info!(host.log, "admission_refused"; "id" => job.id(), "why" => reason.as_str(),
                    "target" => &*best.candidate.id, "running" => best.report.running,
                    "waiting" => best.report.waiting, "slots" => best.report.slots,
                    "slowdown" => best.report.slowdown, "stretch" => latency_factor,
                    "held_ms" => demand.held.as_millis() as u64,
                    "time_left_ms" => demand.time_left.as_millis() as u64);
                return Placement::Refused { reason: reason.as_str(), retry_after };
            }
        }
    }
}

fn refused(reason: &'static str, job: &Job) -> Placement {
    let left = job.time_left(job.host.now());
    let part = AdmissionRules::default().retry_after_share;
    Placement::Refused { reason, retry_after: left.mul_f64(part) }
}

/// Returns the offer of the best target, and the expected time to its answer as a multiple of the
/// usual time. Targets that call themselves unhealthy count only if there are no others.
fn best_offer(job: &Job, offers: &[Offer]) -> Option<(usize, f64)> {
    let now = job.host.now();
    let fleet = job.host.fleet();
    let rate = |o: &Offer| fleet.table.rate(now, &job.pool.name, &o.candidate.id, &o.report);
    let rated = offers.iter().enumerate().map(|(i, o)| (i, o.healthy, rate(o)));
    let best = rated.min_by(|a, b| b.1.cmp(&a.1).then(a.2.cost.total_cmp(&b.2.cost)));
    best.map(|(i, _, rating)| (i, rating.latency_factor))
}

/// Asks targets for their load. Returns those that answered shortly after the first; the answers of
/// the others are still taken in later.
async fn ask(host: &Arc<Host>, pool: &Arc<FleetPool>, candidates: Vec<Candidate>) -> Vec<Offer> {
    let mut asked: FuturesUnordered<_> =
        candidates.into_iter().map(|c| ask_one(host.clone(), pool.clone(), c)).collect();
    let mut offers = Vec::new();
    let mut timer = pin!(tokio::time::sleep(FIRST_ANSWER));
    loop {
        tokio::select! {
            biased;
            answer = asked.next() => match answer {
                Some(Some(offer)) => {
                    if offers.is_empty() {
                        timer.as_mut().reset(tokio::time::Instant::now() + FURTHER_ANSWERS);
                    }
                    offers.push(offer);
                }
                Some(None) => {}
                None => return offers,
            },
            () = &mut timer => break,
        }
    }
    let host = host.clone();
    tokio::spawn(async move {
        while let Some(late) = asked.next().await {
            if let Some(offer) = late {
                host.upstream.keep(host.now(), offer.conn);
            }
        }
    });
    offers
}

/// Asks one target, on an idle connection or, if that fails, on a new one.
async fn ask_one(host: Arc<Host>, pool: Arc<FleetPool>, candidate: Candidate) -> Option<Offer> {
    let now = host.now();
    if let Some((conn, _)) = host.upstream.take(now, candidate.addr) {
        let probe = health_check(&host, &pool, &candidate, conn);
        if let Ok(Ok(offer)) = timeout(IDLE_ANSWER, probe).await {
            return offer;
        }
    }
    let fresh = async {
        host.metrics.connection("target");
        let conn = Connection::open(candidate.addr).await.map_err(|_| ())?;
        health_check(&host, &pool, &candidate, conn).await
    };
    match timeout(UNREACHABLE, fresh).await {
        Ok(Ok(offer)) => offer,
        _ => {
            host.metrics.probe(&pool.name, "failed");
            host.on_fault(&candidate.id, Fault::Unreachable);
            None
        }
    }
}

/// Makes one health check. `Err` means that the connection is of no use; `Ok(None)` that the target
/// answered but can't be used.
async fn health_check(
    host: &Host,
    pool: &FleetPool,
    candidate: &Candidate,
    conn: Connection,
) -> Result<Option<Offer>, ()> {
    let req = Request::get(&*pool.health_path)
        .header(header::HOST, candidate.addr.to_string())
        .body(Full::<Bytes>::default());
    let req = req.map_err(|_| ())?;
    let (answer, conn) = upstream::exchange(conn, req).await.map_err(|_: ExchangeError| ())?;
    let names = host.protocol.headers();
    // An answer to an earlier request that arrives late carries that request's id.
    let Some(answering) = answer.headers.get(&names.answering_target) else { return Err(()) };
    let now = host.now();
    if answering.as_bytes() != candidate.id.as_bytes() {
        host.metrics.probe(&pool.name, "other_target");
        host.fleet().table.on_identity_mismatch(now, &candidate.id);
        info!(host.log, "address_reused"; "target" => &*candidate.id,
            "addr" => candidate.addr.to_string(), "answering" => format!("{answering:?}"));
        return Ok(None);
    }
    host.metrics.probe(&pool.name, answer.status.as_str());
    let report = host.protocol.target_report(&answer.headers);
    if let Some(report) = report {
        host.fleet().table.on_report(now, &candidate.id, report);
    }
    let healthy = answer.status == StatusCode::OK;
    // A target that tells no load is taken for one with room.
    let unknown = TargetReport { running: 0, waiting: 0, slots: 1, slowdown: 1.0 };
    let report = report.unwrap_or(unknown);
    let candidate = candidate.clone();
    Ok(conn.map(|conn| Offer { candidate, conn, report, healthy }))
}
