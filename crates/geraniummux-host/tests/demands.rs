//! Targets that say with their responses that they are leaving, name a limit, or ask for a pause.

mod common;

use common::targets::{
    Reply, ScriptedTarget, call, complete_response, identity, registered, serve_pool,
    start_host_with,
};
use futures_util::future::join_all;
use geraniummux_core::fleet::{
    LEAVING_RECHECK_INTERVAL, RegisteredTarget, RegistryChange, RegistryDelta, Revision,
};
use geraniummux_host::Host;
use geraniummux_host::proxy;
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// Requests at once that need more than one of the targets, which have four slots each.
const AT_ONCE: usize = 6;

fn with_header(addr: SocketAddr, id: &str, line: &str) -> Reply {
    Reply::Keep(complete_response(addr, id).replacen("\r\n", &format!("\r\n{line}\r\n"), 1))
}

fn plain(_: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    Reply::Keep(complete_response(addr, id))
}

fn refusal_with_pause(addr: SocketAddr, id: &str) -> Reply {
    let id = if id == "none" { String::new() } else { format!("a: {id}\r\n") };
    let target = identity(addr);
    refusal_that_says(&format!("{id}d: {target}\r\n"))
}

/// Refuses with a pause and what `lines` say of the request and the target.
fn refusal_that_says(lines: &str) -> Reply {
    Reply::Keep(format!(
        "HTTP/1.1 503 Service Unavailable\r\n{lines}e: 1\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Sends requests on alternate routes at once, and returns the number of successes.
async fn call_at_once(host: SocketAddr) -> usize {
    let routes = ["safe", "once"];
    let calls = (0..AT_ONCE).map(|i| call(host, routes[i % routes.len()], TIME_LEFT_MS));
    join_all(calls).await.iter().filter(|(status, _)| *status == StatusCode::OK).count()
}

/// Sends requests until the target has got some, and checks that it gets no more, whether the scheduler
/// selects targets or, without one, the host itself; all requests are served.
async fn assert_gets_nothing_after_first_answers(
    host: &Host,
    addr: SocketAddr,
    target: &ScriptedTarget,
) {
    while target.count() == 0 {
        assert_eq!(call_at_once(addr).await, AT_ONCE);
    }
    let before = target.count();
    for round in 0..20 {
        if round == 10 {
            host.members().leave();
        }
        assert_eq!(call_at_once(addr).await, AT_ONCE);
    }
    assert_eq!(target.count(), before);
}

/// Guards against requests to a target that has said in a response that it leaves (DRAIN), on a host that
/// gets no news of it from the store or from peers.
#[tokio::test]
async fn host_target_leaving_by_its_answers_gets_nothing() {
    let leaves = ScriptedTarget::start(|n, addr, id| match n {
        Some(_) => with_header(addr, id, "leaving: 1"),
        None => plain(n, addr, id),
    })
    .await;
    let stays = [ScriptedTarget::start(plain).await, ScriptedTarget::start(plain).await];
    let targets = [leaves.addr, stays[0].addr, stays[1].addr];
    let (_host, addr) = start_host_with(&targets, "127.9.9.40:7009").await;
    let mut served = 0;
    while leaves.count() == 0 {
        served += call_at_once(addr).await;
    }
    let before = leaves.count();
    for _ in 0..10 {
        served += call_at_once(addr).await;
    }
    assert_eq!(leaves.count(), before);
    assert_eq!(served, leaves.count() + stays[0].count() + stays[1].count());
}

/// Guards against a target that gets more than the limit that it names (LIMIT), on every way to select a
/// target: by the scheduler, and without one.
#[tokio::test]
async fn host_target_limit_is_kept() {
    let limited = ScriptedTarget::start(|n, addr, id| match n {
        Some(_) => with_header(addr, id, "limit: 0"),
        None => plain(n, addr, id),
    })
    .await;
    let others = [ScriptedTarget::start(plain).await, ScriptedTarget::start(plain).await];
    let targets = [limited.addr, others[0].addr, others[1].addr];
    let (host, addr) = start_host_with(&targets, "127.9.9.41:7009").await;
    assert_gets_nothing_after_first_answers(&host, addr, &limited).await;
}

/// Guards against requests to a target that has refused one with 503 and asked this host for a pause
/// (BUDGET), on every way to select a target.
#[tokio::test]
async fn host_target_that_asks_for_a_pause_gets_nothing() {
    let busy = ScriptedTarget::start(|n, addr, id| match n {
        Some(0) => refusal_with_pause(addr, id),
        _ => plain(n, addr, id),
    })
    .await;
    let others = [ScriptedTarget::start(plain).await, ScriptedTarget::start(plain).await];
    let targets = [busy.addr, others[0].addr, others[1].addr];
    let (host, addr) = start_host_with(&targets, "127.9.9.42:7009").await;
    assert_gets_nothing_after_first_answers(&host, addr, &busy).await;
}

/// Guards against requests and health checks at a target that has turned away a health check with 503 and
/// asked this host for a pause (BUDGET).
#[tokio::test]
async fn host_target_that_asks_a_probe_for_a_pause_gets_nothing() {
    assert_gets_nothing_after_refused_probe("127.9.9.43:7009", refusal_with_pause).await;
}

/// Guards against the same if the refusals name neither the target nor a request.
#[tokio::test]
async fn host_target_that_asks_for_a_pause_without_its_name_gets_nothing() {
    let refuse = |_, _: &str| refusal_that_says("");
    assert_gets_nothing_after_refused_probe("127.9.9.153:7009", refuse).await;
}

async fn assert_gets_nothing_after_refused_probe<F>(peer: &str, refuse: F)
where
    F: Fn(SocketAddr, &str) -> Reply + Send + Sync + 'static,
{
    let probes = Arc::new(AtomicUsize::new(0));
    let seen = probes.clone();
    let busy = ScriptedTarget::start(move |n, addr, id| match n {
        Some(_) => plain(n, addr, id),
        None => {
            seen.fetch_add(1, Ordering::Relaxed);
            refuse(addr, id)
        }
    })
    .await;
    let others = [ScriptedTarget::start(plain).await, ScriptedTarget::start(plain).await];
    let targets = [busy.addr, others[0].addr, others[1].addr];
    let (host, addr) = start_host_with(&targets, peer).await;
    while probes.load(Ordering::Relaxed) == 0 {
        assert_eq!(call_at_once(addr).await, AT_ONCE);
    }
    // What was sent before the first refusal arrived.
    assert_eq!(call_at_once(addr).await, AT_ONCE);
    let arrived = || busy.count() + probes.load(Ordering::Relaxed);
    let before = arrived();
    for round in 0..20 {
        if round == 10 {
            host.members().leave();
        }
        assert_eq!(call_at_once(addr).await, AT_ONCE);
    }
    let more = arrived() - before;
    assert!(more <= 2, "{more} requests and health checks");
}

/// Requests per second that a target with a limit accepts.
const LIMIT_PER_S: f64 = 4.0;

/// Guards against health checks that are sent before each request to a target with a limit, and double
/// what it gets (LIMIT).
#[tokio::test]
async fn host_probes_and_requests_together_keep_the_limit() {
    let arrived = Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = arrived.clone();
    let limited = ScriptedTarget::start(move |_, addr, id| {
        seen.lock().unwrap().push(Instant::now());
        with_header(addr, id, &format!("limit: {LIMIT_PER_S}"))
    })
    .await;
    let (_host, addr) = start_host_with(&[limited.addr], "127.9.9.44:7009").await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(6) {
        call(addr, "once", TIME_LEFT_MS).await;
    }
    let arrived = arrived.lock().unwrap();
    let from = started + Duration::from_secs(1);
    let counted: Vec<Instant> = arrived.iter().copied().filter(|at| *at >= from).collect();
    let window = Duration::from_secs(4);
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| **at >= *start && **at - *start <= window).count()
    };
    let most = counted.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT_PER_S * window.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} of {allowed}");
}

/// A change of the target's registration after a response of its first run has said that it leaves.
enum Restart {
    /// The first run is at work while its registration ends; the next run has this start.
    AfterRemoval(u64),
    /// The next run, with this start, registers while the first one is at work.
    InPlace(u64),
}

fn registration(addr: SocketAddr, started_unix_ms: u64) -> RegistryChange {
    let (_, change) = registered("pool", addr);
    let RegistryChange::Put(target) = change else { unreachable!() };
    RegistryChange::Put(RegisteredTarget { started_unix_ms, ..target })
}

fn change_targets(host: &Host, revision: u64, change: RegistryChange) {
    let (from, to) = (Revision::new(1, revision - 1), Revision::new(1, revision));
    let delta = RegistryDelta { from: Some(from), to, changes: vec![(to, change)] };
    assert!(host.apply_targets(delta, "store"));
}

/// Guards against a target that is never used again because its former run said that it leaves (Starved):
/// with an answer that arrived after its registration had ended, or after the next run had registered, whose
/// start may be earlier if the clock has stepped back.
#[tokio::test]
async fn host_target_restarted_under_its_name_is_used_again() {
    const STARTED: u64 = 1_000;
    let cases = [
        Restart::AfterRemoval(2_000),
        Restart::AfterRemoval(500),
        Restart::InPlace(2_000),
        Restart::InPlace(500),
    ];
    for (n, case) in cases.into_iter().enumerate() {
        let target = ScriptedTarget::start(|n, addr, id| match n {
            Some(0) => {
                let Reply::Keep(text) = with_header(addr, id, "leaving: 1") else { unreachable!() };
                Reply::Later(Duration::from_millis(400), text)
            }
            _ => plain(n, addr, id),
        })
        .await;
        let peer = format!("127.9.9.{}:7009", 45 + n);
        let host = common::host(peer.parse().unwrap(), "[]").await;
        let first = (Revision::new(1, 1), registration(target.addr, STARTED));
        let addr = serve_pool(&host, vec![first], &peer).await;
        let while_at_work = async {
            while target.count() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            match case {
                Restart::AfterRemoval(_) => {
                    let id = identity(target.addr).into();
                    change_targets(&host, 2, RegistryChange::Removed(id));
                }
                Restart::InPlace(start) => {
                    change_targets(&host, 2, registration(target.addr, start));
                }
            }
        };
        let ((status, _), ()) = tokio::join!(call(addr, "once", TIME_LEFT_MS), while_at_work);
        assert_eq!(status, StatusCode::OK, "case {n}");
        if let Restart::AfterRemoval(start) = case {
            change_targets(&host, 3, registration(target.addr, start));
        }
        for _ in 0..3 {
            let (status, _) = call(addr, "once", TIME_LEFT_MS).await;
            assert_eq!(status, StatusCode::OK, "case {n}: after the restart");
        }
    }
}

/// Guards against a target that is never used again because a run of it said that it leaves, if the next run
/// has the same start and address, as where starts are not registered (Starved).
#[tokio::test]
async fn host_restarted_target_that_looks_the_same_is_used_again() {
    let target = ScriptedTarget::start(|n, addr, id| match n {
        Some(0) => with_header(addr, id, "leaving: 1"),
        _ => plain(n, addr, id),
    })
    .await;
    let (host, addr) = start_host_with(&[target.addr], "127.9.9.49:7009").await;
    assert_eq!(call(addr, "once", TIME_LEFT_MS).await.0, StatusCode::OK);
    let closed = call(addr, "once", TIME_LEFT_MS).await.0;
    assert_eq!(closed, StatusCode::SERVICE_UNAVAILABLE, "before the restart");
    change_targets(&host, 2, RegistryChange::Removed(identity(target.addr).into()));
    change_targets(&host, 3, registration(target.addr, 0));
    tokio::time::sleep(LEAVING_RECHECK_INTERVAL).await;
    // A scheduler that was told by a host holds what it was told a while longer.
    let restarted = Instant::now();
    while call(addr, "once", TIME_LEFT_MS).await.0 != StatusCode::OK {
        assert!(restarted.elapsed() < Duration::from_secs(30), "the target is never used again");
        proxy::recheck_leaving(&host);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
