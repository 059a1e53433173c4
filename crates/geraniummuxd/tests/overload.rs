//! Limits of tenants and pools under overload.

mod common;

use common::raw::{RawTarget, ResponseStep};
use common::{Fleet, eventually, pools, routes};
use http::Method;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Guards against a tenant that exceeds its limit of requests under way, waits without bound, or is
/// told anything but that the shed requests didn't run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_tenant_limit() {
    const LIMIT: usize = 4;
    const QUEUE: usize = 3;
    const CALLS: usize = 20;
    let target = RawTarget::start(|req| {
        vec![
            ResponseStep::Pause(Duration::from_millis(300)),
            ResponseStep::Write(req.ok_response("ok")),
        ]
    })
    .await;
    let tenants = json!([{ "name": "t", "max_in_flight": LIMIT, "max_queued": QUEUE }]);
    let fleet = Fleet::with_settings(1, |_, s| s["tenants"] = tenants.clone()).await;
    let rows = routes(json!({ "timeout_ms": 60_000 }));
    fleet.apply(&pools(&[("t-1", target.addr)]), &rows).await;
    let fleet = Arc::new(fleet);
    let call = |n: usize| {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            let path = format!("/{n}");
            fleet.hosts[0].send(Method::POST, &path, &[], "x").await.expect("an answer")
        })
    };
    // The limit is full before the others arrive.
    let mut calls: Vec<_> = (0..LIMIT).map(call).collect();
    eventually("the first requests", || async { (target.stats.requests() == LIMIT).then_some(()) })
        .await;
    calls.extend((LIMIT..CALLS).map(call));
    let (mut served, mut shed) = (0, 0);
    for call in calls {
        let answer = call.await.expect("an answer");
        match answer.header("geraniummux-outcome") {
            "served" => served += 1,
            outcome => {
                assert_eq!((outcome, answer.status.as_u16()), ("not-run", 503));
                assert_eq!(answer.header("geraniummux-reason"), "overloaded");
                shed += 1;
            }
        }
    }
    assert!(served <= LIMIT + QUEUE, "{served} served");
    assert!(served > 0 && served + shed == CALLS);
    assert_eq!(target.stats.requests(), served, "a shed request ran");
}
