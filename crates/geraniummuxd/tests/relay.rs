//! The whole path over real processes: a request through the daemon to a target and back.

mod common;

use common::{Fleet, Target, pools, routes};
use geraniummux_standin::target::Behaviour;
use http::StatusCode;
use serde_json::json;

/// Guards against a daemon that doesn't relay a response whole and marked as served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_served() {
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    for host in &fleet.hosts {
        let answer = host.get("/x?y=1").await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.header("geraniummux-outcome"), "served");
        assert_eq!(answer.body, "GET /x?y=1 by t-1 (0 bytes)\n");
    }
    assert_eq!(target.record().await.runs, 2);
}
