//! What a host grants and spends that has seeds and does not know any other host.

mod common;

use common::targets::{
    Reply, ScriptedTarget, complete_response, read_head, registered, route, serve_pool,
};
use geraniummux_core::fleet::{
    Allowance, ApiKey, Authentication, ExtraAttempt, FleetConfig, RegistryDelta, Revision, Team,
};
use geraniummux_core::{Member, MemberState};
use geraniummux_host::{Host, peers};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const KEY: &str = "s3cret-red";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of hosts that a host assumes which knows few targets.
const ASSUMED_HOSTS: usize = 16;
const RATE_PER_S: f64 = 160.0;

async fn use_targets(host: &Host, count: u16) {
    let changes = (1..=count).map(|i| registered("pool", ([127, 9, 9, 8], i).into())).collect();
    let list = RegistryDelta { from: None, to: Revision::new(1, 1), changes };
    assert!(host.apply_targets(list, "store"));
}

fn peer(addr: &str) -> Member {
    Member {
        name: "other".into(),
        addr: addr.parse().unwrap(),
        http_addr: addr.parse().unwrap(),
        failure_domain: "a".into(),
        capacity: 1_000,
        incarnation: 1,
        state: MemberState::Alive,
    }
}

/// Guards against hosts that don't know each other and each spend the budget of all (BUDGET, LIMIT).
#[tokio::test]
async fn host_count_alone_is_that_of_targets() {
    let host = common::host("127.9.9.171:7009".parse().unwrap(), r#"["127.9.9.172:1"]"#).await;
    assert_eq!(host.host_count(), ASSUMED_HOSTS);
    use_targets(&host, 40).await;
    assert_eq!((host.host_count(), host.limit_share()), (40, 1.0 / 40.0));
    let allowed = (0..100).filter(|_| host.try_extra_attempt(&"pool".into(), ExtraAttempt::Retry));
    assert_eq!(allowed.count(), 0, "20 extra attempts for 40 hosts leave none for one");
    // The first host that it meets may have been alone as well.
    while host.now().since(host.started) < Duration::from_millis(1_100) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let now = host.now();
    host.members().merge(now, vec![peer("127.9.9.176:7009")]);
    assert_eq!(host.host_count(), 40);
    let task = tokio::spawn(peers::run(host.clone()));
    while !host.members().knows_others() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(host.host_count(), 2);
    task.abort();
}

/// Guards against a host without seeds that takes itself for one of many.
#[tokio::test]
async fn host_count_without_seeds_is_one() {
    let host = common::host("127.9.9.173:7009".parse().unwrap(), "[]").await;
    use_targets(&host, 40).await;
    assert_eq!((host.host_count(), host.limit_share()), (1, 1.0));
}

async fn call(addr: SocketAddr) -> bool {
    let id = rand::random::<u64>();
    let head = format!(
        "GET /{}/x HTTP/1.1\r\nhost: a.example\r\na: r-{id}\r\nb: 4000\r\nkey: {KEY}\r\n\r\n",
        route("safe", "pool").name
    );
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    read_head(&mut stream).await.is_some_and(|head| head.0.starts_with("HTTP/1.1 200"))
}

/// Guards against a host that serves no team with an allowance because it knows no allocator (RECOVER), and against one
/// that serves more than its share (QUOTA).
#[tokio::test]
async fn request_of_team_alone_host_serves_its_share() {
    let target =
        ScriptedTarget::start(|_, addr, id| Reply::Keep(complete_response(addr, id))).await;
    let host = common::host("127.9.9.174:7009".parse().unwrap(), r#"["127.9.9.175:1"]"#).await;
    let changes = vec![registered("pool", target.addr)];
    let addr = serve_pool(&host, changes, "127.9.9.174:7009").await;
    let now = host.now();
    host.freshness().set_watching_targets(now, true);
    host.freshness().set_watching_config(now, true);
    let mut config = FleetConfig::clone(&host.config().unwrap());
    config.version += 1;
    let allowance = Some(Allowance { per_s: RATE_PER_S, burst: 0.0 });
    let keys = vec![ApiKey::new(KEY)];
    let team = Team { name: "red".into(), keys, priority: None, allowance };
    config.authentication = Authentication::Teams(vec![Arc::new(team)]);
    host.adopt_config(config, Revision::new(1, 2), "store");
    while !call(addr).await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let (begun, mut served) = (Instant::now(), 0);
    while served < 20 {
        served += usize::from(call(addr).await);
    }
    let share = RATE_PER_S / ASSUMED_HOSTS as f64;
    let allowed = share * begun.elapsed().as_secs_f64() + 1.0;
    assert!(served as f64 <= allowed, "{served} served, {allowed} allowed");
}
