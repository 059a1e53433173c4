//! Leaving targets and stopping entry hosts, with real processes.

mod common;

use bytes::Bytes;
use common::{Daemon, Fleet, Target, call, eventually, pools, routes};
use geraniummux_standin::caller;
use geraniummux_standin::target::{Behaviour, State};
use http::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;

/// Requirement R5: no new request reaches a leaving target later than this after the first report.
const MAX_LEAVING_DELAY_MS: u64 = 3_000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Starts tasks that send requests to each address until the returned flag is set. Each request has
/// a timeout of 5 s.
fn start_load(addrs: &[SocketAddr]) -> (Arc<AtomicBool>, Vec<JoinHandle<()>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = addrs.iter().flat_map(|a| [*a; 2]).map(|addr| {
        let stop = stop.clone();
        tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let request = caller::send(addr, Method::GET, "/", &[], Bytes::new());
                // Requests to a paused host remain queued in its socket and are handled when it
                // resumes.
                let _ = tokio::time::timeout(Duration::from_secs(5), request).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    });
    let tasks = tasks.collect();
    (stop, tasks)
}

/// Returns when a host first logged that a target is leaving, in Unix milliseconds.
fn first_report(hosts: &[Daemon]) -> Option<u64> {
    let time =
        |line: &str| -> Option<u64> { line.strip_prefix("time=")?.split(' ').next()?.parse().ok() };
    let reports = hosts.iter().flat_map(|h| {
        let log = h.log();
        log.lines()
            .filter(|l| l.contains("event=target_leaving"))
            .filter_map(time)
            .collect::<Vec<_>>()
    });
    reports.min()
}

/// Replaces the platform's host list by one in which the target is leaving.
async fn mark_leaving_in_host_list(fleet: &Fleet, target: &Target) {
    let hosts = json!([{
        "name": target.name, "addr": target.addr, "failure_domain": "a", "state": "leaving",
    }]);
    call(fleet.platform.addr, Method::PUT, "/hosts", &[], hosts.to_string()).await;
}

/// Guards against requests to a leaving target, also from a host that was paused while its peers
/// were notified.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_target() {
    let a = Target::start("t-1", Behaviour::default()).await;
    let b = Target::start("t-2", Behaviour::default()).await;
    // Only three hosts poll the host list; the others depend on notices from them.
    let fleet = Fleet::start(6).await;
    fleet.apply(&pools(&[("t-1", a.addr), ("t-2", b.addr)]), &routes(json!({}))).await;
    let addrs: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.listen).collect();
    let (stop, tasks) = start_load(&addrs);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = a.record().await.runs;
    assert!(before > 50, "only {before} requests before the target leaves");
    let paused = &fleet.hosts[5];
    paused.pause();
    mark_leaving_in_host_list(&fleet, &a).await;
    let reported =
        eventually("the first report", || async { first_report(&fleet.hosts[..5]) }).await;
    // The host resumes after the time from which no request may reach the target.
    while unix_ms() < reported + MAX_LEAVING_DELAY_MS + 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // These requests are queued in the socket when the process resumes.
    let queued = (0..60).map(|_| caller::send(paused.listen, Method::GET, "/", &[], Bytes::new()));
    let queued = futures_util::future::join_all(queued);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        paused.resume();
    };
    tokio::join!(queued, resume);
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    futures_util::future::join_all(tasks).await;
    let record = a.record().await;
    let last_run_delay_ms = record.last_run_ms.saturating_sub(reported);
    assert!(
        last_run_delay_ms < MAX_LEAVING_DELAY_MS,
        "a request reached the target {last_run_delay_ms} ms after the first report"
    );
    let served = b.record().await.runs;
    println!(
        "last request {last_run_delay_ms} ms after the first report; {served} requests at the other target"
    );
}

/// Guards against a leaving target that is not detected although only probes can detect it, and
/// against probes above the budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_probed() {
    let target = Target::start("t-1", Behaviour { state: State::Draining, ..Behaviour::default() });
    let target = target.await;
    let fleet = Fleet::start(3).await;
    let mut rows = pools(&[("t-1", target.addr)]);
    rows[0]["probe_budget_per_s"] = json!(2.0);
    fleet.apply(&rows, &routes(json!({}))).await;
    let mut probes: Vec<(u64, u64)> = Vec::new();
    // A new holder of the lease waits for one TTL and one budget window before it probes.
    eventually("probes over a window", || async {
        Some(()).filter(|()| first_report(&fleet.hosts).is_some())
    })
    .await;
    for _ in 0..110 {
        probes.push((unix_ms(), target.record().await.probes));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for (i, (start, before)) in probes.iter().enumerate() {
        let window = probes[i..].iter().take_while(|(t, _)| t - start <= 10_000);
        let max_probes = window.map(|(_, n)| n - before).max().unwrap_or(0);
        assert!(max_probes <= 20, "{max_probes} probes within 10 s");
    }
    for host in &fleet.hosts {
        let status = host.status().await.expect("status");
        assert_eq!(status["targets"][0]["state"], "leaving", "{}", host.name);
    }
    println!("{} probes in 11 s", probes[probes.len() - 1].1 - probes[0].1);
}

/// Runs a caller that keeps one connection open, as browsers and services do, and requests the
/// entry hosts again after the TTL.
async fn send_on_one_connection(
    seeds: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    path: &str,
    sent: &AtomicUsize,
) {
    'refresh: while !stop.load(Ordering::Relaxed) {
        let Ok(entry) = caller::entry_hosts(&seeds, "b").await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let expires_at = tokio::time::Instant::now() + Duration::from_millis(entry.ttl_ms);
        for host in &entry.hosts {
            let stream = tokio::net::TcpStream::connect(host.addr).await;
            let stream = stream.unwrap_or_else(|e| panic!("connect to a named host: {e}"));
            let io = hyper_util::rt::TokioIo::new(stream);
            let (mut tx, conn) =
                hyper::client::conn::http1::handshake(io).await.expect("handshake");
            tokio::spawn(conn);
            while tx.ready().await.is_ok() {
                if tokio::time::Instant::now() >= expires_at || stop.load(Ordering::Relaxed) {
                    continue 'refresh;
                }
                let req = http::Request::get(path)
                    .header("host", "test")
                    .body(http_body_util::Empty::<Bytes>::new())
                    .expect("request");
                let rsp = tx.send_request(req).await;
                let rsp = rsp.unwrap_or_else(|e| panic!("request cut off: {e}"));
                let closing = rsp.headers().contains_key("connection");
                assert_eq!(rsp.headers()["geraniummux-outcome"], "served");
                let body = http_body_util::BodyExt::collect(rsp.into_body()).await;
                body.unwrap_or_else(|e| panic!("response cut off: {e}"));
                sent.fetch_add(1, Ordering::Relaxed);
                if closing {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        }
    }
}

/// Runs a caller that opens a connection for each request and uses an entry response for its whole
/// TTL.
async fn send_on_new_connections(
    seeds: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    path: &str,
    sent: &AtomicUsize,
) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(entry) = caller::entry_hosts(&seeds, "b").await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let expires_at = tokio::time::Instant::now() + Duration::from_millis(entry.ttl_ms);
        for host in entry.hosts.iter().cycle() {
            if tokio::time::Instant::now() >= expires_at || stop.load(Ordering::Relaxed) {
                break;
            }
            let response = caller::send(host.addr, Method::GET, path, &[], Bytes::new()).await;
            let response = response.unwrap_or_else(|e| panic!("request cut off: {e:#}"));
            assert_eq!(response.header("geraniummux-outcome"), "served");
            sent.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
    }
}

/// Guards against a graceful stop that interrupts or refuses a request. The environment variable
/// `GRACEFUL_STOPS` sets the number of stops, each of which takes about 4 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn graceful_stops() {
    let fast = Target::start("fast", Behaviour::default()).await;
    let slow = Target::start("slow", Behaviour { service_ms: 700, ..Behaviour::default() }).await;
    let short_ttl = |_: usize, s: &mut Value| s["entry_ttl_ms"] = json!(300);
    let mut fleet = Fleet::with_settings(3, short_ttl).await;
    let mut rows = pools(&[("fast", fast.addr)]);
    let mut slow_pool = pools(&[("slow", slow.addr)])[0].clone();
    slow_pool["name"] = json!("slow");
    rows.as_array_mut().expect("rows").push(slow_pool);
    let mut table = routes(json!({}));
    let mut slow_route = routes(json!({ "name": "slow", "path": "/slow", "pool": "slow" }));
    table.as_array_mut().expect("rows").push(slow_route[0].take());
    fleet.apply(&rows, &table).await;
    let seeds: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.listen).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let callers: Vec<JoinHandle<()>> = (0..12)
        .map(|i| {
            let (seeds, stop, sent) = (seeds.clone(), stop.clone(), sent.clone());
            let path = if i % 3 == 0 { "/slow" } else { "/" };
            tokio::spawn(async move {
                match i % 2 {
                    0 => send_on_one_connection(seeds, stop, path, &sent).await,
                    _ => send_on_new_connections(seeds, stop, path, &sent).await,
                }
            })
        })
        .collect();
    let stops = std::env::var("GRACEFUL_STOPS").map_or(8, |n| n.parse().expect("a number"));
    for i in 0..stops {
        let host = &mut fleet.hosts[i % 3];
        host.terminate();
        assert!(host.wait().await.success(), "{}", host.log());
        assert!(host.log().contains("event=stopped"), "{}", host.log());
        host.spawn();
        host.await_serving().await;
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no request cut off");
    }
    println!("{} requests over {stops} stops", sent.load(Ordering::Relaxed));
}

/// Guards against a host that a second SIGTERM doesn't stop immediately, and against exit status 0
/// after such a stop, which may have interrupted requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_sigterm() {
    let mut fleet = Fleet::start(1).await;
    let host = &mut fleet.hosts[0];
    host.terminate();
    eventually("the announcement", || async { host.log().contains("event=leaving").then_some(()) })
        .await;
    host.terminate();
    let status = host.wait().await;
    assert_eq!(status.code(), Some(1));
    assert!(host.log().contains("event=stopped_at_once"), "{}", host.log());
}
