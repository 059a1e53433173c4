//! Invalid input on each listener of the daemon, over real sockets.

mod common;

use common::{Fleet, Target, pools, routes};
use geraniummux_standin::target::Behaviour;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const SEED: u64 = 7;
const ROUNDS: usize = 60;
/// Ends a test that hangs; the daemon responds within milliseconds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns random bytes, usually after a prefix that is valid on one of the listeners.
fn random_input(rng: &mut SmallRng) -> Vec<u8> {
    let prefixes: [&[u8]; 5] = [
        b"",
        b"GET / HTTP/1.1\r\nhost: a\r\n",
        b"POST /v1/tables/routes?base=0&write_id=1 HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"\x00\x00\x00\x40gm\x01",
    ];
    let mut bytes = prefixes[rng.random_range(0..prefixes.len())].to_vec();
    let len = rng.random_range(1..2_000);
    bytes.extend((0..len).map(|_| rng.random::<u8>()));
    bytes
}

/// Sends bytes over a new connection, and reads until the daemon closes it or [`HANG_TIMEOUT`]
/// passes.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("the listener is open");
    // The daemon may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let _ = tokio::time::timeout(HANG_TIMEOUT, stream.read_to_end(&mut response)).await;
    response
}

/// Starts a target and two entry hosts with a small body limit.
async fn fleet() -> (Fleet, Target) {
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::with_settings(2, |_, s| s["entry_ttl_ms"] = json!(300)).await;
    let limits = json!({ "max_body_bytes": 1_000, "timeout_ms": 2_000 });
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(limits)).await;
    (fleet, target)
}

/// Guards against random bytes that stop a listener or change the tables or the membership.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_random_bytes() {
    let (fleet, target) = fleet().await;
    let host = &fleet.hosts[0];
    let before = host.status().await.expect("a status");
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..ROUNDS {
        for addr in [host.listen, host.admin, host.peer] {
            send_raw(addr, &random_input(&mut rng)).await;
        }
        let mut datagram = random_input(&mut rng);
        datagram.truncate(1_400);
        udp.send_to(&datagram, host.peer).await.expect("sent");
    }
    let after = host.status().await.expect("a status after the random input");
    assert_eq!(after["generation"], before["generation"], "seed {SEED}");
    assert_eq!(after["serving"], "yes", "seed {SEED}");
    assert_eq!(after["members"].as_array().map(Vec::len), Some(2), "seed {SEED}");
    assert_eq!(host.get("/").await.expect("a response").status, 200, "seed {SEED}");
    // Random input that happens to be a valid request may have run as well.
    assert!(target.record().await.runs >= 1);
}

/// Guards against accepting a body or head of any size, and against a response that doesn't report
/// that the request did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_oversize() {
    let (fleet, target) = fleet().await;
    let host = &fleet.hosts[0];
    let response = host.send(Method::POST, "/", &[], &"x".repeat(1_001)).await.expect("a response");
    assert_eq!(response.status, 413);
    assert_eq!(response.header("geraniummux-outcome"), "not-run");
    let mut head = b"GET / HTTP/1.1\r\nhost: a\r\nx-long: ".to_vec();
    head.extend(std::iter::repeat_n(b'a', 1 << 20));
    head.extend(b"\r\n\r\n");
    let response = send_raw(host.listen, &head).await;
    assert!(!response.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&response));
    assert_eq!(target.record().await.runs, 0);
}

/// Guards against slow senders that block other requests or the shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_slow_senders() {
    let (mut fleet, _target) = fleet().await;
    let host = &mut fleet.hosts[0];
    let mut slow = Vec::new();
    let mut half_heads = 0;
    for n in 0..100 {
        let addr = [host.listen, host.admin, host.peer][n % 3];
        let mut stream = TcpStream::connect(addr).await.expect("the listener is open");
        half_heads += usize::from(addr == host.listen && n % 4 >= 2);
        let prefix: &[u8] = match n % 4 {
            0 => b"PRI * HT",
            1 => b"PRI * HTTP/2.0\r\n",
            _ => b"POST / HTTP/1.1\r\nhost: a\r\ncontent-",
        };
        stream.write_all(prefix).await.expect("written");
        slow.push(stream);
    }
    for _ in 0..20 {
        let response = tokio::time::timeout(HANG_TIMEOUT, host.get("/")).await;
        assert_eq!(response.expect("in time").expect("a response").status, 200);
    }
    assert!(host.status().await.is_some());
    host.terminate();
    let ended = tokio::time::timeout(HANG_TIMEOUT, host.wait()).await;
    assert!(ended.expect("the shutdown ends").success(), "{}", host.log());
    // A request with a partly received head counts as in flight until the longest route timeout. A
    // connection without a request does not.
    let log = host.log();
    let aborted = log.lines().find(|l| l.contains("event=aborting_requests")).unwrap_or("");
    let left = aborted.split("connections=").nth(1).map_or(0, |n| n.parse().expect("a number"));
    assert!(
        left <= half_heads,
        "{left} connections delayed the shutdown, {half_heads} partial heads"
    );
}
