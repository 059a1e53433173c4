//! Requests relayed to a target and back, over real daemon processes.

mod common;

use common::{Fleet, Target, pools, routes};
use geraniummux_standin::target::Behaviour;
use http::StatusCode;
use serde_json::json;

/// Guards against a response that isn't relayed completely or isn't marked as served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_served() {
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    for host in &fleet.hosts {
        let response = host.get("/x?y=1").await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.header("geraniummux-outcome"), "served");
        assert_eq!(response.body, "GET /x?y=1 by t-1 (0 bytes)\n");
    }
    assert_eq!(target.record().await.runs, 2);
}
