//! A host that reaches no targets, beside one that does.

mod common;

use common::targets::{
    Reply, ScriptedTarget, call, complete_response, identity, registered, serve_pool,
};
use geraniummux_core::MemberState;
use geraniummux_core::fleet::{RegistryChange, Revision};
use geraniummux_host::{Host, peers};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 3_000;
/// Requests that may fail until the host knows that it reaches no targets.
const MAX_UNTIL_KNOWN: usize = 10;
/// Requests that must be served then.
const SERVED: usize = 40;
/// Address without listeners.
const UNREACHABLE: &str = "127.9.9.99:1";

fn plain(_: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    Reply::Keep(complete_response(addr, id))
}

async fn start_targets() -> Vec<ScriptedTarget> {
    let mut out = Vec::new();
    for _ in 0..5 {
        out.push(ScriptedTarget::start(plain).await);
    }
    out
}

/// Starts a host. One that is cut off has addresses for the targets at which nothing listens.
async fn start(
    name: &str,
    peer: &str,
    seed: &str,
    targets: &[ScriptedTarget],
    cut_off: bool,
) -> (Arc<Host>, SocketAddr) {
    let host = common::named_host(name, peer.parse().unwrap(), &format!(r#"["{seed}"]"#)).await;
    let listener = TcpListener::bind(peer).await.unwrap();
    tokio::spawn(peers::serve(host.clone(), listener));
    tokio::spawn(peers::receive(host.clone()));
    tokio::spawn(peers::run(host.clone()));
    let addr = serve_pool(&host, entries(targets, 1, cut_off), peer).await;
    (host, addr)
}

fn entries(
    targets: &[ScriptedTarget],
    number: u64,
    cut_off: bool,
) -> Vec<(Revision, RegistryChange)> {
    let entry = |target: &ScriptedTarget| {
        let (_, change) = registered("pool", target.addr);
        let RegistryChange::Put(mut target) = change else { unreachable!() };
        if cut_off {
            target.addr = UNREACHABLE.parse().unwrap();
        }
        (Revision::new(1, number), RegistryChange::Put(target))
    };
    let mut out: Vec<_> = targets.iter().map(entry).collect();
    out.sort_by_key(|(_, change)| match change {
        RegistryChange::Put(t) => t.id.clone(),
        _ => unreachable!(),
    });
    out
}

async fn until_members_know_each_other(hosts: &[&Arc<Host>]) {
    let all_known = || {
        let knows =
            |h: &Arc<Host>| h.members().peers().filter(|m| m.state == MemberState::Alive).count();
        hosts.iter().all(|h| knows(h) + 1 == hosts.len())
    };
    while !all_known() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends requests on both routes and returns how many were served.
async fn served(addr: SocketAddr, requests: usize) -> usize {
    let mut served = 0;
    for i in 0..requests {
        let (status, _) = call(addr, ["safe", "once"][i % 2], TIME_LEFT_MS).await;
        served += usize::from(status == StatusCode::OK);
    }
    served
}

/// Guards against a host that has lost its links to all targets and refuses its callers, although another
/// host reaches them (RECOVER).
#[tokio::test]
async fn host_without_links_to_targets_serves_through_a_peer() {
    let targets = start_targets().await;
    let (ours, theirs) = ("127.9.9.60:7009", "127.9.9.61:7009");
    let (host, addr) = start("host-1", ours, theirs, &targets, true).await;
    let (peer, _) = start("host-2", theirs, ours, &targets, false).await;
    until_members_know_each_other(&[&host, &peer]).await;
    served(addr, MAX_UNTIL_KNOWN).await;
    assert_eq!(served(addr, SERVED).await, SERVED);
    let ran: usize = targets.iter().map(ScriptedTarget::count).sum();
    assert!(ran >= SERVED, "{ran} requests at {}", identity(targets[0].addr));
}
