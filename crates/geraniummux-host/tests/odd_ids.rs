//! Targets whose ids no header can hold.

mod common;

use common::targets::{Reply, ScriptedTarget, call, complete_response, registered, serve_pool};
use geraniummux_core::fleet::RegistryChange;
use http::StatusCode;

const TIME_LEFT_MS: u64 = 1_000;

/// Guards against requests that don't say which target they are meant for, so that any target which has got the address
/// runs them (ROUTE). The store or a peer may name such targets.
#[tokio::test]
async fn host_target_with_unsendable_id_gets_no_request() {
    let mut reached = Vec::new();
    for (n, id) in ["", " ", "a ", "\ta", "a\nb", "\u{1}", "\u{7f}"].into_iter().enumerate() {
        // Its responses to probes do not name it.
        let reply =
            |_, addr, id: &str| Reply::Keep(complete_response(addr, id).replace("d: ", "x: "));
        let target = ScriptedTarget::start(reply).await;
        let peer = format!("127.9.9.{}:7009", 170 + n);
        let host = common::host(peer.parse().unwrap(), "[]").await;
        let (revision, change) = registered("pool", target.addr);
        let RegistryChange::Put(mut odd) = change else { panic!("{change:?}") };
        odd.id = id.into();
        let addr = serve_pool(&host, vec![(revision, RegistryChange::Put(odd))], &peer).await;
        let (status, _) = call(addr, "once", TIME_LEFT_MS).await;
        if status == StatusCode::OK || target.count() > 0 {
            reached.push((id, status));
        }
    }
    assert!(reached.is_empty(), "{reached:?}");
}
