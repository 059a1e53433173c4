//! Targets that say in health responses that they are cold.

mod common;

use common::peer::Peer;
use common::targets::{
    Reply, ScriptedTarget, call, complete_response, identity, registered, serve_pool,
};
use futures_util::future::join_all;
use geraniummux_core::fleet::{Evacuations, FleetConfig, RegistryDelta, Revision};
use geraniummux_host::{Host, Settings, peers};
use geraniummux_wire::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 1_500;
/// Requests from which a host learns the service time of a route.
const LEARNING_REQUESTS: usize = 60;
/// Requests per second that a cold target accepts, and what it may get in a second.
const WARM_UP_PER_S: f64 = 3.0;
const ALLOWED: f64 = WARM_UP_PER_S * 1.5 + 8.0;
/// Time for which the cold targets say that they stay cold.
const COLD_MS: u32 = 30_000;

fn plain(_: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    Reply::Keep(complete_response(addr, id))
}

/// Replies like a sound target that is cold, which it says in health responses only.
fn cold(number: Option<usize>, addr: SocketAddr, id: &str) -> Reply {
    let response = complete_response(addr, id);
    match number {
        Some(_) => Reply::Keep(response),
        None => {
            let line = format!("\r\ncold-ms: {COLD_MS}\r\n");
            Reply::Keep(response.replacen("\r\n", &line, 1))
        }
    }
}

/// Limits what cold targets of the pool get.
fn limit_cold(host: &Host, per_s: f64) {
    let mut settings = Settings::clone(&host.settings.load());
    settings.promises.warm_up_overage = 1.5;
    settings.promises.warm_up_slack = 8.0;
    settings.promises.evacuate_s = Some(5.0);
    host.settings.store(Arc::new(settings));
    let mut config = FleetConfig::clone(&host.config().unwrap());
    config.version += 1;
    config.pools[0].warm_up_per_s = Some(per_s);
    host.adopt_config(config, Revision::new(1, 2), "store");
    host.tick(host.now());
}

async fn start(targets: &[SocketAddr], peer: &str) -> (Arc<Host>, SocketAddr) {
    let host = common::host(peer.parse().unwrap(), "[]").await;
    let changes = targets.iter().map(|addr| registered("pool", *addr)).collect();
    let addr = serve_pool(&host, changes, peer).await;
    // The host learns how long requests take, which it first assumes to be a large part of their time.
    for _ in 0..LEARNING_REQUESTS {
        call(addr, "safe", TIME_LEFT_MS).await;
    }
    limit_cold(&host, WARM_UP_PER_S);
    host.adopt_evacuations(Evacuations::default(), "store");
    tokio::spawn(peers::receive(host.clone()));
    (host, addr)
}

fn is_cold(host: &Host, target: SocketAddr) -> bool {
    host.fleet().registry.cold_until(&identity(target)) > host.now()
}

/// Sends requests at once, again and again for some time.
async fn flood(addr: SocketAddr, duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        join_all((0..8).map(|_| call(addr, "safe", TIME_LEFT_MS))).await;
    }
}

/// Guards against a target that says in health responses that it is cold and gets as much as a warm one from the
/// scheduler.
#[tokio::test]
async fn host_cold_target_gets_what_it_accepts_from_the_scheduler() {
    let target = ScriptedTarget::start(cold).await;
    let (host, addr) = start(&[target.addr], "127.9.9.80:7009").await;
    while !is_cold(&host, target.addr) {
        call(addr, "safe", TIME_LEFT_MS).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let before = target.count();
    flood(addr, Duration::from_secs(3)).await;
    let count = target.count() - before;
    // The last requests may take their time left.
    let seconds = 3.0 + TIME_LEFT_MS as f64 / 1_000.0;
    assert!(count as f64 <= WARM_UP_PER_S * seconds + 1.0, "{count} requests");
    assert!(count >= 4, "{count} requests");
}

/// Guards against a host that selects targets itself and floods a cold one.
#[tokio::test]
async fn host_cold_target_without_scheduler_gets_its_share() {
    let target = ScriptedTarget::start(cold).await;
    let (host, addr) = start(&[target.addr], "127.9.9.81:7009").await;
    // No host in service is a scheduler, and none has the lot.
    host.members().leave();
    call(addr, "safe", TIME_LEFT_MS).await;
    assert!(is_cold(&host, target.addr));
    let before = target.count();
    for _ in 0..20 {
        call(addr, "safe", TIME_LEFT_MS).await;
    }
    assert!(target.count() - before <= 1, "{} requests", target.count() - before);
}

/// Guards against a cold target that is used by a host which selects targets itself, although there is a warm one.
#[tokio::test]
async fn host_cold_target_without_scheduler_is_spared_beside_a_warm_one() {
    let (target, warm) = (ScriptedTarget::start(cold).await, ScriptedTarget::start(plain).await);
    let (host, addr) = start(&[target.addr, warm.addr], "127.9.9.82:7009").await;
    host.members().leave();
    // The first probe shows that the target is cold.
    call(addr, "safe", TIME_LEFT_MS).await;
    assert!(is_cold(&host, target.addr));
    let before = (target.count(), warm.count());
    for _ in 0..30 {
        call(addr, "safe", TIME_LEFT_MS).await;
    }
    assert_eq!((target.count(), warm.count()), (before.0, before.1 + 30));
}

/// Guards against a scheduler that does not know what a target has told another host.
#[tokio::test]
async fn host_cold_target_is_reported_to_the_scheduler() {
    let target = ScriptedTarget::start(cold).await;
    let (host, addr) = start(&[target.addr], "127.9.9.83:7009").await;
    let peer = Peer::start("127.9.9.83:7009".parse().unwrap()).await;
    peer.become_scheduler(&host);
    // The scheduler does not respond, so that the host probes targets itself.
    tokio::spawn(call(addr, "safe", TIME_LEFT_MS));
    let targets = peer
        .receive(|message| match message {
            Message::TargetsWarmingUp { pool, targets } if &*pool == "pool" => Some(targets),
            _ => None,
        })
        .await;
    assert_eq!(targets.len(), 1);
    assert_eq!(*targets[0].0, *identity(target.addr));
    assert!((COLD_MS - 2_000..=COLD_MS).contains(&targets[0].1), "{targets:?}");
}

/// Guards against a scheduler that ignores what targets told other hosts, and against figures that can't be true.
#[tokio::test]
async fn receive_targets_warming_up_are_cold() {
    let targets = [ScriptedTarget::start(plain).await, ScriptedTarget::start(plain).await];
    let (host, _) = start(&targets.each_ref().map(|t| t.addr), "127.9.9.84:7009").await;
    let peer = Peer::start("127.9.9.84:7009".parse().unwrap()).await;
    let left = [(targets[0].addr, COLD_MS), (targets[1].addr, u32::MAX)];
    let targets = left.map(|(addr, ms)| (Arc::from(identity(addr)), ms)).to_vec();
    peer.send(Message::TargetsWarmingUp { pool: "pool".into(), targets }).await;
    while !is_cold(&host, left[0].0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!is_cold(&host, left[1].0));
}

/// Guards against messages and limits for pools whose cold targets have no limit.
#[tokio::test]
async fn host_cold_target_of_pool_without_limit_is_as_before() {
    let target = ScriptedTarget::start(cold).await;
    let host = common::host("127.9.9.85:7009".parse().unwrap(), "[]").await;
    let changes = vec![registered("pool", target.addr)];
    let addr = serve_pool(&host, changes, "127.9.9.85:7009").await;
    for _ in 0..30 {
        call(addr, "safe", TIME_LEFT_MS).await;
    }
    assert_eq!(target.count(), 30);
    assert!(!is_cold(&host, target.addr));
}

/// Guards against a flood of requests to the targets of a domain that comes back from an evacuation, before they have
/// said that they are cold.
#[tokio::test]
async fn host_domain_returned_targets_are_taken_to_be_cold() {
    let target = ScriptedTarget::start(plain).await;
    let (host, addr) = start(&[target.addr], "127.9.9.86:7009").await;
    let list = RegistryDelta {
        from: None,
        to: Revision::new(1, 2),
        changes: vec![registered("pool", target.addr)],
    };
    assert!(host.apply_targets(list, "store"));
    host.adopt_evacuations(Evacuations::new(Revision::new(1, 3), vec!["a".into()]), "store");
    let before = target.count();
    call(addr, "safe", TIME_LEFT_MS).await;
    assert_eq!(target.count(), before);
    host.adopt_evacuations(Evacuations::new(Revision::new(1, 4), Vec::new()), "store");
    flood(addr, Duration::from_secs(1)).await;
    let count = target.count() - before;
    assert!((1..=ALLOWED as usize).contains(&count), "{count} requests");
}
