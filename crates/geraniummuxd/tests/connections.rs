//! Stale connections to targets, cancelled hedges, and requests that crash targets.

mod common;

use common::raw::{RawRequest, RawTarget, ResponseStep};
use common::{Fleet, Target, pools, routes};
use geraniummux_standin::target::Behaviour;
use http::{Method, StatusCode};
use serde_json::json;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Guards against idempotent requests that wait until their deadline on stale connections, over
/// which no data arrives any more, although new connections work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_idempotent() {
    const CONNECTIONS: usize = 4;
    let silent = Arc::new(AtomicBool::new(false));
    let drop_requests = silent.clone();
    let target = RawTarget::start(move |req| {
        // Connections opened before the fault get no more responses.
        if drop_requests.load(Ordering::SeqCst) && req.index > 0 {
            return vec![ResponseStep::Hang];
        }
        // The pause is long enough that concurrent requests need several connections.
        vec![
            ResponseStep::Pause(Duration::from_millis(5)),
            ResponseStep::Write(req.ok_response("ok")),
        ]
    })
    .await;
    let fleet = Arc::new(Fleet::start(1).await);
    let rows = routes(json!({ "timeout_ms": 60_000, "hedge_budget": 1.0 }));
    fleet.apply(&pools(&[("t-1", target.addr)]), &rows).await;
    for (n, fault) in [(60, false), (CONNECTIONS, true)] {
        silent.store(fault, Ordering::SeqCst);
        let mut calls = Vec::new();
        for _ in 0..CONNECTIONS {
            let fleet = fleet.clone();
            calls.push(tokio::spawn(async move {
                for _ in 0..n / CONNECTIONS {
                    let response = fleet.hosts[0].get("/").await.expect("a response");
                    assert_eq!(response.header("geraniummux-outcome"), "served");
                }
            }));
        }
        for call in calls {
            call.await.expect("served requests");
        }
    }
    assert!(target.stats.cancelled() > 0, "no request was sent on a stale connection");
}

/// Guards against a non-idempotent request on an idle connection, which may be stale. Such a
/// request can't be retried on another connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_non_idempotent() {
    let target = RawTarget::start(|req| match req.index {
        0 => vec![ResponseStep::Write(req.ok_response("ok"))],
        _ => vec![ResponseStep::Hang],
    })
    .await;
    let fleet = Fleet::start(1).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    for _ in 0..5 {
        let response = fleet.hosts[0].send(Method::POST, "/", &[], "x").await.expect("a response");
        assert_eq!(response.header("geraniummux-outcome"), "served");
        // Longer than an idle connection is used for non-idempotent requests.
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
}

/// Guards against hedged requests whose slower attempt is not cancelled and keeps its target busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hedge_cancels_loser() {
    const HEDGED: usize = 20;
    // The first attempt of each hedged request hangs, whichever target gets it.
    let hung_paths = Arc::new(Mutex::new(HashSet::new()));
    let script = |hung_paths: Arc<Mutex<HashSet<String>>>| {
        move |req: &RawRequest| {
            let path = req.path().to_owned();
            let hangs =
                path.starts_with("/hang") && hung_paths.lock().expect("a lock").insert(path);
            if hangs {
                vec![ResponseStep::Hang]
            } else {
                vec![ResponseStep::Write(req.ok_response("ok"))]
            }
        }
    };
    let a = RawTarget::start(script(hung_paths.clone())).await;
    let b = RawTarget::start(script(hung_paths.clone())).await;
    let fleet = Fleet::start(1).await;
    let rows = routes(json!({ "hedge_budget": 1.0, "timeout_ms": 60_000 }));
    fleet.apply(&pools(&[("a", a.addr), ("b", b.addr)]), &rows).await;
    // Hedges need an estimate of the route's p95 latency.
    for n in 0..40 {
        fleet.hosts[0].get(&format!("/warm/{n}")).await.expect("a response");
    }
    for n in 0..HEDGED {
        let response = fleet.hosts[0].get(&format!("/hang/{n}")).await.expect("a response");
        assert_eq!(response.header("geraniummux-outcome"), "served");
    }
    common::eventually("cancellation of the losers", || async {
        (a.stats.cancelled() + b.stats.cancelled() == HEDGED).then_some(())
    })
    .await;
}

/// Guards against a request that crashes one target after the other, because it is retried and its
/// caller sends it again through every entry host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn poison_bounded() {
    const TARGETS: usize = 8;
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(
            RawTarget::start(|req| match req.path() {
                "/poison" => vec![ResponseStep::Crash],
                _ => vec![ResponseStep::Write(req.ok_response("ok"))],
            })
            .await,
        );
    }
    let names: Vec<String> = (1..=TARGETS).map(|n| format!("t-{n}")).collect();
    let rows: Vec<(&str, _)> = names.iter().zip(&targets).map(|(n, t)| (&**n, t.addr)).collect();
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&rows), &routes(json!({ "retry_budget": 1.0 }))).await;
    // Crash reports are sent to the live peers, so all hosts must be members first.
    for host in &fleet.hosts {
        common::eventually("the full membership", || async {
            let status = host.status().await?;
            let members = status["members"].as_array()?;
            let alive = members.iter().filter(|m| m["state"] == "alive").count();
            (alive == fleet.hosts.len()).then_some(())
        })
        .await;
    }
    for n in 0..21 {
        // The caller sends its request through another entry host each time.
        let host = &fleet.hosts[n % fleet.hosts.len()];
        let response = host.get("/poison").await.expect("a response");
        assert_ne!(response.header("geraniummux-outcome"), "served");
        if n > 1 {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(response.header("geraniummux-reason"), "quarantined");
            assert_eq!(response.header("geraniummux-outcome"), "not-run");
        }
        let response = host.get(&format!("/good/{n}")).await.expect("a response");
        assert_eq!(response.header("geraniummux-outcome"), "served");
    }
    let ran: usize = targets.iter().map(|t| t.stats.requests.load(Ordering::SeqCst).min(1)).sum();
    assert!(ran > 0);
    let mut down = 0;
    for target in &targets {
        down += usize::from(tokio::net::TcpStream::connect(target.addr).await.is_err());
    }
    assert!(down <= 2, "{down} targets are down");
}

/// Guards against the outcome `not-run` for a request that a target executed, and against requests
/// that fail after a refusal although another target is free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_not_run() {
    let shed = Target::start("shed", Behaviour { shed: true, ..Behaviour::default() }).await;
    let open = Target::start("open", Behaviour::default()).await;
    let fleet = Fleet::start(1).await;
    let rows = routes(json!({ "retry_budget": 1.0 }));
    fleet.apply(&pools(&[("shed", shed.addr), ("open", open.addr)]), &rows).await;
    let host = &fleet.hosts[0];
    for _ in 0..20 {
        let response = host.send(Method::POST, "/", &[], "x").await.expect("a response");
        assert_eq!(response.header("geraniummux-outcome"), "served");
    }
    assert_eq!(open.record().await.runs, 20);
    open.set_behaviour(&Behaviour { shed: true, ..Behaviour::default() }).await;
    for _ in 0..5 {
        let response = host.send(Method::POST, "/", &[], "x").await.expect("a response");
        assert_eq!(response.header("geraniummux-outcome"), "not-run");
        assert_eq!(response.header("geraniummux-reason"), "overloaded");
    }
    assert_eq!(open.record().await.runs + shed.record().await.runs, 20);
}
