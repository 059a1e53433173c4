//! Hedges that a scheduler grants while a request runs at its first target.

mod common;

use bytes::Bytes;
use common::peer::Peer;
use common::targets::{Reply, ScriptedTarget, call, complete_response, identity, start_host_with};
use geraniummux_core::fleet::{FleetConfig, RejectReason, Revision, SlotDecision};
use geraniummux_host::{Host, peers};
use geraniummux_wire::Message;
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time for which a target works on a request, in which messages arrive several times over.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 4_000;
/// Time after which a request that does not reach its target is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn slow(number: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    match number {
        Some(_) => Reply::Later(SERVICE_TIME, complete_response(addr, id)),
        None => Reply::Keep(complete_response(addr, id)),
    }
}

/// Starts a host with two slow targets, and a peer that schedules its pools.
async fn start(peer: &str) -> (Arc<Host>, SocketAddr, Peer, [ScriptedTarget; 2]) {
    let targets = [ScriptedTarget::start(slow).await, ScriptedTarget::start(slow).await];
    let (host, addr) = start_host_with(&[targets[0].addr, targets[1].addr], peer).await;
    tokio::spawn(peers::receive(host.clone()));
    let scheduler = Peer::start(peer.parse().unwrap()).await;
    scheduler.become_scheduler(&host);
    (host, addr, scheduler, targets)
}

fn grant(target: &ScriptedTarget) -> SlotDecision {
    SlotDecision::Grant { target: identity(target.addr).into(), latency_factor: 1.0 }
}

fn hedge(target: &ScriptedTarget) -> SlotDecision {
    SlotDecision::Hedge { target: identity(target.addr).into(), latency_factor: 1.0 }
}

async fn until_count(target: &ScriptedTarget, count: usize) {
    let reached = async {
        while target.count() < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(GIVE_UP_AFTER, reached).await.expect("the target gets too few requests");
}

/// Sends a request on a route and grants it the first target. Returns it with the number of its slot request once it
/// runs there.
async fn run_at_first(
    addr: SocketAddr,
    route: &'static str,
    scheduler: &Peer,
    targets: &[ScriptedTarget; 2],
) -> (JoinHandle<(StatusCode, Bytes)>, u64) {
    let request = tokio::spawn(call(addr, route, TIME_LEFT_MS));
    let number = scheduler.next_slot_request().await;
    scheduler.decide(number, grant(&targets[0])).await;
    until_count(&targets[0], 1).await;
    (request, number)
}

/// Guards against a hedge that a scheduler grants for a request which must run once (TWICE).
#[tokio::test]
async fn hedge_of_a_request_that_runs_once_is_declined() {
    let (_host, addr, scheduler, targets) = start("127.9.9.100:7009").await;
    let (request, number) = run_at_first(addr, "once", &scheduler, &targets).await;
    scheduler.decide(number, hedge(&targets[1])).await;
    assert_eq!(request.await.unwrap().0, StatusCode::OK);
    assert_eq!(targets.each_ref().map(ScriptedTarget::count), [1, 0]);
    let declined = scheduler.receive(|message| match message {
        Message::GrantDeclined { number, target, .. } => Some((number, target)),
        _ => None,
    });
    assert_eq!(declined.await, (number, identity(targets[1].addr).into()));
}

/// Guards against a new configuration that changes what a request in flight may do: the route that it arrived on
/// allowed one run (TWICE).
#[tokio::test]
async fn hedge_of_a_request_whose_route_becomes_idempotent_is_declined() {
    let (host, addr, scheduler, targets) = start("127.9.9.104:7009").await;
    let (request, number) = run_at_first(addr, "once", &scheduler, &targets).await;
    let mut config = FleetConfig::clone(&host.config().unwrap());
    config.version += 1;
    config.routes.iter_mut().for_each(|r| r.idempotent = true);
    host.adopt_config(config, Revision::new(1, 2), "store");
    scheduler.decide(number, hedge(&targets[1])).await;
    assert_eq!(request.await.unwrap().0, StatusCode::OK);
    assert_eq!(targets.each_ref().map(ScriptedTarget::count), [1, 0]);
}

/// Guards against a host that makes no hedges at all.
#[tokio::test]
async fn hedge_of_an_idempotent_request_is_made() {
    let (_host, addr, scheduler, targets) = start("127.9.9.101:7009").await;
    let (request, number) = run_at_first(addr, "safe", &scheduler, &targets).await;
    scheduler.decide(number, hedge(&targets[1])).await;
    assert_eq!(request.await.unwrap().0, StatusCode::OK);
    assert_eq!(targets.each_ref().map(ScriptedTarget::count), [1, 1]);
}

/// Guards against decisions of a host that the request's slot was not requested from: it may decide on a
/// request of a former process of this host that had the same number.
#[tokio::test]
async fn hedge_of_another_scheduler_is_ignored() {
    let peer = "127.9.9.102:7009";
    let (_host, addr, scheduler, targets) = start(peer).await;
    let other = Peer::start(peer.parse().unwrap()).await;
    let request = tokio::spawn(call(addr, "safe", TIME_LEFT_MS));
    let number = scheduler.next_slot_request().await;
    let reject =
        SlotDecision::Reject { reason: RejectReason::NoTarget, retry_after: Duration::ZERO };
    other.decide(number, reject).await;
    scheduler.decide(number, grant(&targets[0])).await;
    until_count(&targets[0], 1).await;
    other.decide(number, hedge(&targets[1])).await;
    assert_eq!(request.await.unwrap().0, StatusCode::OK);
    assert_eq!(targets.each_ref().map(ScriptedTarget::count), [1, 0]);
}

/// Guards against slots that a scheduler keeps for requests which its host does not know (any more), such as
/// those of a killed process: their targets would count as busy until the deadlines.
#[tokio::test]
async fn grant_of_an_unknown_request_is_returned() {
    let (_host, _, scheduler, targets) = start("127.9.9.103:7009").await;
    for (number, decision) in [(7, grant(&targets[0])), (8, hedge(&targets[1]))] {
        scheduler.decide(number, decision).await;
        let ended = scheduler.receive(|message| match message {
            Message::GrantEnded { number, pool, .. } => Some((number, pool)),
            _ => None,
        });
        assert_eq!(ended.await, (number, "pool".into()));
    }
}
