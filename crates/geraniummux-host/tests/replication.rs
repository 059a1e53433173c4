//! Replication of the configuration to a follower.

mod common;

use geraniummux_core::fleet::{
    Authentication, FleetConfig, FleetPool, FleetRoute, PoolShare, RegistryDelta, Revision,
};
use geraniummux_host::{Host, peers, replication};
use geraniummux_wire::{Codec, Envelope, Message, ReplicaVersions};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Number of routes of a large configuration.
const ROUTES: usize = 1_400;
/// Bytes per second on the slowest link of a host, 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1.25e6;
/// Time for a change to reach all hosts: half of the 2.5 s within which it must be in force.
const SPREAD_S: f64 = 1.25;
/// Copies that a host sends to its followers, one after the other on its link.
const FOLLOWERS: f64 = 4.0;
/// Hops from a reader to the last host of a failure domain of 57 hosts.
const HOPS: f64 = 4.0;
/// Changes that arrive before the first has reached all hosts.
const CHANGES_AT_ONCE: f64 = 3.0;

fn route(i: usize, timeout_ms: u64) -> FleetRoute {
    FleetRoute {
        name: format!("route-{i:05}").into(),
        host: "ledger.example".into(),
        // Differs as much between routes as generated names do.
        prefix: format!("/{:08x}/", (i as u32).wrapping_mul(0x9e37_79b9)).into(),
        shares: vec![PoolShare { pool: "ledger".into(), weight: 1.0 }],
        idempotent: i.is_multiple_of(3),
        max_attempts: 3,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(300),
        priority: 1,
        public: false,
    }
}

fn config(version: u64, changed: usize) -> FleetConfig {
    let routes = (0..ROUTES).map(|i| route(i, if i == changed { 900 } else { 1_000 })).collect();
    let pools = vec![FleetPool {
        name: "ledger".into(),
        health_path: "/health".into(),
        max_connections: 100,
        warm_up_per_s: None,
    }];
    FleetConfig {
        version,
        era: 1,
        routes,
        pools,
        authentication: Authentication::Disabled,
        is_complete: true,
        ..FleetConfig::default()
    }
}

/// A follower that only counts what it receives.
struct Follower {
    stream: TcpStream,
    codec: Codec,
}

impl Follower {
    async fn join(host: &Arc<Host>, listener: TcpListener) -> Self {
        let addr = listener.local_addr().unwrap();
        tokio::spawn(peers::serve(host.clone(), Arc::new(listener)));
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let codec = Codec::new(common::PEER_KEY.as_bytes());
        let message = Message::Follow(ReplicaVersions::default());
        let follow = Envelope { from: "follower".into(), incarnation: 1, generation: 0, message };
        stream.write_all(&codec.encode_stream(&follow).unwrap()).await.unwrap();
        Follower { stream, codec }
    }

    /// Returns the number of bytes up to the update that follows the adoption of `version`.
    async fn bytes_until(&mut self, version: u64) -> usize {
        let mut bytes = 0;
        loop {
            let mut prefix = [0; 4];
            self.stream.read_exact(&mut prefix).await.unwrap();
            let mut frame = vec![0; geraniummux_wire::stream_frame_len(prefix).unwrap()];
            self.stream.read_exact(&mut frame).await.unwrap();
            bytes += prefix.len() + frame.len();
            let envelope = self.codec.decode_stream(&frame).unwrap();
            if envelope.generation >= version && matches!(envelope.message, Message::Update(_)) {
                return bytes;
            }
        }
    }
}

/// Guards against hosts that use an old configuration because each change sends all routes over slow
/// links, hop by hop (CONFIG on kukko-gw-grown).
#[tokio::test]
async fn serve_change_of_many_routes_fits_slow_links() {
    let host = common::host("127.9.9.5:7009".parse().unwrap(), "[]").await;
    let listener = TcpListener::bind("127.9.9.5:0").await.unwrap();
    let mut follower = Follower::join(&host, listener).await;
    let wait = Duration::from_secs(20);
    timeout(wait, follower.bytes_until(0)).await.unwrap();
    host.adopt_config(config(1, ROUTES), Revision::new(1, 1), "store");
    let whole = timeout(wait, follower.bytes_until(1)).await.unwrap();
    host.adopt_config(config(2, 7), Revision::new(1, 2), "store");
    let change = timeout(wait, follower.bytes_until(2)).await.unwrap();
    let limit = SPREAD_S * LINK_BYTES_PER_S / (FOLLOWERS * HOPS);
    assert!(whole as f64 <= limit, "all routes: {whole} bytes, limit {limit}");
    let limit = limit / CHANGES_AT_ONCE;
    assert!(change as f64 <= limit, "one route changed: {change} bytes, limit {limit}");
}

/// Starts a host that finds the other one by the seed, and returns it.
async fn start(name: &str, peer: &str, seed: &str) -> Arc<Host> {
    let host = common::named_host(name, peer.parse().unwrap(), &format!(r#"["{seed}"]"#)).await;
    let listener = TcpListener::bind(peer).await.unwrap();
    tokio::spawn(peers::serve(host.clone(), Arc::new(listener)));
    tokio::spawn(peers::receive(host.clone()));
    tokio::spawn(peers::run(host.clone()));
    tokio::spawn(replication::follow(host.clone()));
    host
}

/// Guards against a follower that doesn't put a replicated configuration in force.
#[tokio::test]
async fn follow_changes_of_leader_are_in_force() {
    let leader = start("host-1", "127.9.9.6:7009", "127.9.9.7:7009").await;
    let follower = start("host-2", "127.9.9.7:7009", "127.9.9.6:7009").await;
    for version in 1..4 {
        let revision = Revision::new(1, version);
        leader.adopt_config(config(version, version as usize), revision, "store");
        let adopted = async {
            while follower.config_version() < version {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(20), adopted).await.unwrap();
        let (ours, theirs) = (leader.config().unwrap(), follower.config().unwrap());
        let by_name = |c: &FleetConfig| {
            let mut routes = c.routes.clone();
            routes.sort_by(|a, b| a.name.cmp(&b.name));
            routes
        };
        assert_eq!(by_name(&ours), by_name(&theirs));
    }
}

fn list(to: Revision) -> RegistryDelta {
    RegistryDelta { from: None, to, changes: Vec::new() }
}

/// Lets a host have read a store without targets.
fn read_store(host: &Host, config: FleetConfig, revision: Revision) {
    host.adopt_config(config, revision, "store");
    host.freshness().config_revision = Some(revision);
    assert!(host.apply_targets(list(revision), "store"));
}

/// Guards against a follower that refuses what its leader has read from a restored store, since the revisions
/// are lower, and against one that lets go of what it has when it then meets a leader of the lost history.
#[tokio::test]
async fn follow_leader_of_later_era_is_replicated() {
    let leader = start("host-1", "127.9.9.10:7009", "127.9.9.11:7009").await;
    let follower = start("host-2", "127.9.9.11:7009", "127.9.9.10:7009").await;
    for host in [&leader, &follower] {
        read_store(host, config(3, 1), Revision::new(1, 90));
    }
    // The change of version 3 was lost and made again with other content.
    read_store(&leader, FleetConfig { era: 2, ..config(3, 2) }, Revision::new(2, 40));
    let replicated = async {
        while follower.store_revision() < Revision::new(2, 40)
            || follower.config().unwrap().edition() < leader.config().unwrap().edition()
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(20), replicated).await.unwrap();
    let timeouts = |host: &Host| {
        let config = host.config().unwrap();
        let route = config.routes.iter().find(|r| &*r.name == "route-00002").unwrap();
        route.timeout
    };
    assert_eq!(timeouts(&follower), Duration::from_millis(900));
    follower.apply_targets(list(Revision::new(1, 95)), "host-3");
    assert_eq!(follower.store_revision(), Revision::new(2, 40));
}

/// Guards against a host that counts as current because its leader does, which has not read the store since
/// it came back from a copy.
#[tokio::test]
async fn follow_leader_of_earlier_era_is_not_current() {
    let leader = start("host-1", "127.9.9.12:7009", "127.9.9.13:7009").await;
    let follower = start("host-2", "127.9.9.13:7009", "127.9.9.12:7009").await;
    assert!(leader.apply_targets(list(Revision::new(1, 90)), "store"));
    let now = leader.now();
    leader.freshness().set_watching_targets(now, true);
    leader.freshness().set_watching_config(now, true);
    assert!(follower.apply_targets(list(Revision::new(2, 40)), "store"));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(follower.freshness().peer_freshness(follower.now()).age >= Duration::from_secs(2));
}
