//! The limits of a tenant under overload.

mod common;

use common::raw::{RawTarget, ResponseStep};
use common::{Fleet, eventually, pools, routes};
use http::Method;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Guards against a tenant that exceeds its limits of requests in flight or queued, and against
/// shed requests that are not reported as `not-run`.
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
    let route_table = routes(json!({ "timeout_ms": 60_000 }));
    fleet.apply(&pools(&[("t-1", target.addr)]), &route_table).await;
    let fleet = Arc::new(fleet);
    let start_call = |n: usize| {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            let path = format!("/{n}");
            fleet.hosts[0].send(Method::POST, &path, &[], "x").await.expect("a response")
        })
    };
    // The limit is reached before the other requests arrive.
    let mut calls: Vec<_> = (0..LIMIT).map(start_call).collect();
    eventually("the first requests", || async { (target.stats.requests() == LIMIT).then_some(()) })
        .await;
    calls.extend((LIMIT..CALLS).map(start_call));
    let (mut served, mut shed) = (0, 0);
    for call in calls {
        let response = call.await.expect("a response");
        match response.header("geraniummux-outcome") {
            "served" => served += 1,
            outcome => {
                assert_eq!((outcome, response.status.as_u16()), ("not-run", 503));
                assert_eq!(response.header("geraniummux-reason"), "overloaded");
                shed += 1;
            }
        }
    }
    assert!(served <= LIMIT + QUEUE, "{served} served");
    assert!(served > 0 && served + shed == CALLS);
    assert_eq!(target.stats.requests(), served, "a shed request ran");
}
