//! Leaving targets and leaving entry hosts over real processes.

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

/// R5: no new request reaches a leaving target later than this after the first report.
const LEFT_MS: u64 = 3_000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Sends requests to each address until the returned flag is set; each is given 5 s to be answered.
fn load(addrs: &[SocketAddr]) -> (Arc<AtomicBool>, Vec<JoinHandle<()>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = addrs.iter().flat_map(|a| [*a; 2]).map(|addr| {
        let stop = stop.clone();
        tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let request = caller::send(addr, Method::GET, "/", &[], Bytes::new());
                // Requests to a paused host stay in its socket, so that they run when it resumes.
                let _ = tokio::time::timeout(Duration::from_secs(5), request).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    });
    let tasks = tasks.collect();
    (stop, tasks)
}

/// Returns when the first host heard that a target leaves, in Unix milliseconds.
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

/// Declares targets to be leaving in the host list of the platform.
async fn list_leaving(fleet: &Fleet, target: &Target) {
    let hosts = json!([{
        "name": target.name, "addr": target.addr, "failure_domain": "a", "state": "leaving",
    }]);
    call(fleet.platform.addr, Method::PUT, "/hosts", &[], hosts.to_string()).await;
}

/// Guards against requests to a leaving target, also by a host that was paused when the others
/// heard of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_target() {
    let a = Target::start("t-1", Behaviour::default()).await;
    let b = Target::start("t-2", Behaviour::default()).await;
    // Three hosts poll the host list; the others must hear of it from them.
    let fleet = Fleet::start(6).await;
    fleet.apply(&pools(&[("t-1", a.addr), ("t-2", b.addr)]), &routes(json!({}))).await;
    let addrs: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.listen).collect();
    let (stop, tasks) = load(&addrs);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = a.record().await.runs;
    assert!(before > 50, "only {before} requests before the target leaves");
    let paused = &fleet.hosts[5];
    paused.pause();
    list_leaving(&fleet, &a).await;
    let reported =
        eventually("the first report", || async { first_report(&fleet.hosts[..5]) }).await;
    // The host resumes when no request may reach the target any more.
    while unix_ms() < reported + LEFT_MS + 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // These requests wait in the socket when the process resumes.
    let waiting = (0..60).map(|_| caller::send(paused.listen, Method::GET, "/", &[], Bytes::new()));
    let waiting = futures_util::future::join_all(waiting);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        paused.resume();
    };
    tokio::join!(waiting, resume);
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    futures_util::future::join_all(tasks).await;
    let record = a.record().await;
    let late = record.last_run_ms.saturating_sub(reported);
    assert!(late < LEFT_MS, "a request reached the target {late} ms after the first report");
    let served = b.record().await.runs;
    println!(
        "last request {late} ms after the first report; {served} requests at the other target"
    );
}

/// Guards against a leaving target that only probes can tell of, and against probes above the
/// budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_probed() {
    let target = Target::start("t-1", Behaviour { state: State::Draining, ..Behaviour::default() });
    let target = target.await;
    let fleet = Fleet::start(3).await;
    let mut rows = pools(&[("t-1", target.addr)]);
    rows[0]["probe_budget_per_s"] = json!(2.0);
    fleet.apply(&rows, &routes(json!({}))).await;
    let mut probes: Vec<(u64, u64)> = Vec::new();
    // A new holder waits for a term and a window before it probes.
    eventually("probes over a window", || async {
        Some(()).filter(|()| first_report(&fleet.hosts).is_some())
    })
    .await;
    for _ in 0..110 {
        probes.push((unix_ms(), target.record().await.probes));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for (i, (start, before)) in probes.iter().enumerate() {
        let within = probes[i..].iter().take_while(|(t, _)| t - start <= 10_000);
        let most = within.map(|(_, n)| n - before).max().unwrap_or(0);
        assert!(most <= 20, "{most} probes within 10 s");
    }
    for host in &fleet.hosts {
        let status = host.status().await.expect("status");
        assert_eq!(status["targets"][0]["state"], "leaving", "{}", host.name);
    }
    println!("{} probes in 11 s", probes[probes.len() - 1].1 - probes[0].1);
}

/// A caller that keeps one connection, as browsers and services do, and asks for entry hosts anew
/// after the ttl.
async fn keep_sending(
    seeds: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    path: &str,
    sent: &AtomicUsize,
) {
    'answers: while !stop.load(Ordering::Relaxed) {
        let Ok(entry) = caller::entry_hosts(&seeds, "b").await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let until = tokio::time::Instant::now() + Duration::from_millis(entry.ttl_ms);
        for host in &entry.hosts {
            let stream = tokio::net::TcpStream::connect(host.addr).await;
            let stream = stream.unwrap_or_else(|e| panic!("connect to a named host: {e}"));
            let io = hyper_util::rt::TokioIo::new(stream);
            let (mut tx, conn) =
                hyper::client::conn::http1::handshake(io).await.expect("handshake");
            tokio::spawn(conn);
            while tx.ready().await.is_ok() {
                if tokio::time::Instant::now() >= until || stop.load(Ordering::Relaxed) {
                    continue 'answers;
                }
                let req = http::Request::get(path)
                    .header("host", "test")
                    .body(http_body_util::Empty::<Bytes>::new())
                    .expect("request");
                let rsp = tx.send_request(req).await;
                let rsp = rsp.unwrap_or_else(|e| panic!("request cut off: {e}"));
                let closes = rsp.headers().contains_key("connection");
                assert_eq!(rsp.headers()["geraniummux-outcome"], "served");
                let body = http_body_util::BodyExt::collect(rsp.into_body()).await;
                body.unwrap_or_else(|e| panic!("response cut off: {e}"));
                sent.fetch_add(1, Ordering::Relaxed);
                if closes {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        }
    }
}

/// A caller that opens a connection for each request and uses an answer for the whole ttl.
async fn connect_anew(
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
        let until = tokio::time::Instant::now() + Duration::from_millis(entry.ttl_ms);
        for host in entry.hosts.iter().cycle() {
            if tokio::time::Instant::now() >= until || stop.load(Ordering::Relaxed) {
                break;
            }
            let answer = caller::send(host.addr, Method::GET, path, &[], Bytes::new()).await;
            let answer = answer.unwrap_or_else(|e| panic!("request cut off: {e:#}"));
            assert_eq!(answer.header("geraniummux-outcome"), "served");
            sent.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
    }
}

/// Guards against a graceful stop that cuts off or refuses a request. `GRACEFUL_STOPS` sets the
/// number of stops, each of which takes about 4 s.
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
                    0 => keep_sending(seeds, stop, path, &sent).await,
                    _ => connect_anew(seeds, stop, path, &sent).await,
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

/// Guards against a host that can't be ended while requests hang, and against one that hides that
/// it cut them off.
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
