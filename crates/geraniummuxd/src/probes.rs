//! Sends active probes to targets within the probe budget, and distributes the results.
//!
//! Only the host that holds a pool's lease probes the targets of the pool.

use crate::leases::Lease;
use crate::shared::Shared;
use crate::{actions, data_exchange, peer_net};
use bytes::Bytes;
use geraniummux_core::config::{Config, Pool};
use geraniummux_core::load::{LoadOptions, TargetId};
use geraniummux_core::{LoadTable, ProbeScheduler, is_final_status};
use geraniummux_wire::{Message, ProbeResult, ProbeResults, ProbedState};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use rand::seq::SliceRandom;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Interval at which the schedulers are polled for due probes.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which batches of results are sent to peers. A datagram for each result would take
/// half of a host's byte budget for messages to peers.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers that a batch is sent to. Other hosts get the load through load digests, so that
/// the bytes that a prober sends don't grow with the fleet.
const BATCH_FANOUT: usize = 16;
/// Longest duration of a probe, including the connect.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted body of a health response. A probe should cost at most 512 bytes with its
/// headers, whose size is not checked.
const MAX_BODY_BYTES: usize = 256;

/// The body of a health response.
#[derive(Deserialize)]
struct Health {
    state: HealthState,
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    queued: u32,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HealthState {
    Ready,
    Starting,
    Draining,
}

/// Probes the targets of one pool.
struct Prober {
    pool: Pool,
    lease: Arc<Lease>,
    scheduler: Mutex<ProbeScheduler>,
}

impl Prober {
    fn scheduler(&self) -> MutexGuard<'_, ProbeScheduler> {
        self.scheduler.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Probes the targets of all pools whose lease this host holds, until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut table = LoadTable::new(&[], LoadOptions::default());
    let mut config = Arc::new(Config::default());
    let mut probers: Vec<Arc<Prober>> = Vec::new();
    let mut in_flight_ids: Vec<TargetId> = Vec::new();
    let (results_tx, mut results) = mpsc::unbounded_channel::<(TargetId, Arc<str>, ProbeResult)>();
    let mut batches: Vec<ProbeResults> = Vec::new();
    let mut next_batch = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(SCHEDULE_INTERVAL).await;
        let in_force = shared.in_force().config.clone();
        if in_force.generation != config.generation {
            config = in_force;
            table.update(&config.tables.pools);
            probers = update_probers(&shared, &config, &table, probers);
        }
        for prober in &probers {
            let now = shared.clock.now();
            let due = prober.scheduler().due(prober.lease.held(now), now);
            for id in due {
                let Some(addr) = table.addr(id) else { continue };
                if in_flight_ids.contains(&id) {
                    continue;
                }
                in_flight_ids.push(id);
                let (shared, prober, results_tx) =
                    (shared.clone(), prober.clone(), results_tx.clone());
                tokio::spawn(async move {
                    let result = probe(&shared, &prober, id, addr).await;
                    // The receiver is dropped only when the daemon stops.
                    let _ = results_tx.send((id, prober.pool.name.clone(), result));
                });
            }
        }
        while let Ok((id, pool, result)) = results.try_recv() {
            in_flight_ids.retain(|i| *i != id);
            if result.state == ProbedState::Draining {
                actions::report_leaving(&shared, result.target);
            }
            data_exchange::record_probe(&shared, &pool, &result);
            match batches.iter_mut().find(|b| b.pool == pool) {
                Some(batch) => batch.results.push(result),
                None => batches.push(ProbeResults { pool, results: vec![result] }),
            }
        }
        if tokio::time::Instant::now() >= next_batch && !batches.is_empty() {
            next_batch = tokio::time::Instant::now() + BATCH_INTERVAL;
            send_batches(&shared, std::mem::take(&mut batches));
        }
    }
}

/// Returns the probers of the pools that have a probe budget. The leases and probe counts of pools
/// that remain are kept.
fn update_probers(
    shared: &Arc<Shared>,
    config: &Config,
    table: &LoadTable,
    old: Vec<Arc<Prober>>,
) -> Vec<Arc<Prober>> {
    let now = shared.clock.now();
    let mut probers = Vec::new();
    for pool in &config.tables.pools {
        let kept = old.iter().find(|p| p.pool.name == pool.name);
        let mut scheduler = match kept {
            Some(prober) => prober.scheduler().clone(),
            None => ProbeScheduler::new(pool, table, now),
        };
        scheduler.update(pool, table, now);
        if scheduler.limit() == 0 {
            continue;
        }
        let lease = match kept {
            Some(prober) => prober.lease.clone(),
            None => Lease::start(shared, &format!("probe-{}", pool.name)),
        };
        let scheduler = Mutex::new(scheduler);
        probers.push(Arc::new(Prober { pool: pool.clone(), lease, scheduler }));
    }
    probers
}

/// Probes a target. A connect error, a timeout and an invalid response all give
/// [`ProbedState::Failed`].
async fn probe(shared: &Shared, prober: &Prober, id: TargetId, addr: SocketAddr) -> ProbeResult {
    let start = shared.clock.now();
    let response = tokio::time::timeout(PROBE_TIMEOUT, send_probe(shared, prober, id, addr)).await;
    prober.scheduler().on_done(id);
    let health = response.ok().flatten();
    let took = shared.clock.now().since(start);
    ProbeResult {
        target: addr,
        state: match health.as_ref().map(|h| h.state) {
            Some(HealthState::Ready) => ProbedState::Ready,
            Some(HealthState::Starting) => ProbedState::Starting,
            Some(HealthState::Draining) => ProbedState::Draining,
            None => ProbedState::Failed,
        },
        in_flight: health.as_ref().map_or(0, |h| h.in_flight),
        queued: health.as_ref().map_or(0, |h| h.queued),
        round_trip_us: u32::try_from(took.as_micros()).unwrap_or(u32::MAX),
        age_ms: 0,
    }
}

/// Sends one probe; returns `None` if there was no valid response.
async fn send_probe(
    shared: &Shared,
    prober: &Prober,
    id: TargetId,
    addr: SocketAddr,
) -> Option<Health> {
    let try_start = || {
        let now = shared.clock.now();
        prober.scheduler().try_start(id, prober.lease.held(now), now)
    };
    let Ok(stream) = TcpStream::connect(addr).await else {
        // A failed connect counts like a probe, so that it is not retried at once.
        try_start();
        return None;
    };
    let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let conn = tokio::spawn(conn);
    let req = http::Request::get(&*prober.pool.health_path)
        .header(http::header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    // The lease and the budget are checked directly before the probe is sent.
    if !try_start() {
        conn.abort();
        return None;
    }
    let sending = tx.send_request(req);
    prober.scheduler().on_sent(id, shared.clock.now());
    let rsp = sending.await.ok()?;
    if !is_final_status(rsp.status().as_u16()) {
        conn.abort();
        return None;
    }
    let body = Limited::new(rsp.into_body(), MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
    conn.abort();
    serde_json::from_slice(&body).ok()
}

fn send_batches(shared: &Shared, batches: Vec<ProbeResults>) {
    let mut peers: Vec<SocketAddr> = {
        let state = shared.control.lock();
        state.members.live_peers().map(|m| m.addr).collect()
    };
    peers.shuffle(&mut rand::rng());
    peers.truncate(BATCH_FANOUT);
    for part in batches.into_iter().flat_map(ProbeResults::split) {
        for peer in &peers {
            peer_net::send(shared, *peer, Message::ProbeResults(part.clone()));
        }
    }
}

/// Merges the probe results of a peer. A target that answered `draining` isn't reported as leaving
/// here, since the peer that probed it notifies all hosts itself.
pub fn merge_results(shared: &Shared, results: &ProbeResults) {
    for result in &results.results {
        data_exchange::record_probe(shared, &results.pool, result);
    }
}
