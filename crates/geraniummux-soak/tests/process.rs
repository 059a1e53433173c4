//! Single faults injected into real entry host processes.

mod common;

use common::{calm, program, send};
use geraniummux_soak::callers::{self, Outcome};
use geraniummux_soak::harness::Harness;
use geraniummux_standin::link::LinkFault;
use geraniummux_standin::registered_target::Demand;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use std::process::Command;
use std::time::Duration;

/// Starts two hosts and two targets, and waits until both hosts serve. `net` gives each test of this file
/// its own loopback network.
async fn start_harness(net: u64) -> Harness {
    let harness = Harness::start(&calm(10_000 + net, "process")).await.unwrap();
    for request_addr in harness.request_addrs() {
        assert!(harness.await_newest_config(*request_addr).await, "{request_addr} does not serve");
    }
    harness
}

async fn get(addr: std::net::SocketAddr, path: &str) -> (StatusCode, String) {
    let mut sender = callers::connect(addr).await.unwrap();
    let rsp = sender.send_request(Request::get(path).body(Full::default()).unwrap()).await.unwrap();
    let (parts, body) = rsp.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    (parts.status, String::from_utf8_lossy(&body).into_owned())
}

/// Requests beyond its limit that a target may get in a few seconds.
const LIMIT_SLACK: u32 = 5;
const SERVED: Outcome = Outcome::Response(StatusCode::OK);

/// Guards against a graceful stop that aborts requests in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_finishes_requests() {
    let harness = std::sync::Arc::new(start_harness(1).await);
    for target in &harness.targets {
        target.set_service_ms(700);
    }
    let requests: Vec<_> = (0..6)
        .map(|n| {
            let harness = harness.clone();
            tokio::spawn(async move { send(&harness, 0, &format!("stop-{n}"), n % 2 == 0).await })
        })
        .collect();
    while (0..6).any(|n| harness.run_counts.runs(&format!("stop-{n}")) == 0) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(harness.signal(0, Signal::SIGTERM));
    for outcome in requests {
        assert_eq!(outcome.await.unwrap(), SERVED);
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against a repeated SIGTERM that aborts requests in flight (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_repeated_finishes_requests() {
    let harness = std::sync::Arc::new(start_harness(13).await);
    for target in &harness.targets {
        target.set_service_ms(700);
    }
    let requests: Vec<_> = (0..6)
        .map(|n| {
            let harness = harness.clone();
            tokio::spawn(async move { send(&harness, 0, &format!("again-{n}"), n % 2 == 0).await })
        })
        .collect();
    while (0..6).any(|n| harness.run_counts.runs(&format!("again-{n}")) == 0) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..4 {
        assert!(harness.signal(0, Signal::SIGTERM));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for outcome in requests {
        assert_eq!(outcome.await.unwrap(), SERVED);
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against a SIGHUP that terminates the process or closes connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_keeps_connections() {
    let harness = start_harness(2).await;
    let request_addr = harness.request_addrs()[0];
    let mut sender = callers::connect(request_addr).await.unwrap();
    for n in 0..5 {
        assert!(harness.signal(0, Signal::SIGHUP));
        let record =
            callers::send(&harness, &mut sender, request_addr, &format!("hup-{n}"), true).await;
        assert_eq!(record.outcome, SERVED);
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against hosts that stop serving while the store is unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_away_requests_are_served() {
    let harness = start_harness(3).await;
    harness.store.set_refusal(Some(503));
    for link in &harness.store_links {
        link.reset();
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for n in 0..4 {
        assert_eq!(send(&harness, n % 2, &format!("away-{n}"), n < 2).await, SERVED);
    }
}

/// Guards against a host that is cut off from the store and doesn't get a configuration that its peers
/// have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_cut_for_one_host_takes_configuration_from_peer() {
    let harness = start_harness(4).await;
    harness.store_links[0].set_fault(LinkFault::HoldAll);
    harness.publish_config();
    assert!(harness.await_newest_config(harness.request_addrs()[0]).await);
}

/// Guards against a host that waits forever on a store connection that stays open but delivers nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_connections_silent_configuration_arrives() {
    let harness = start_harness(5).await;
    for link in &harness.store_links {
        link.set_fault(LinkFault::StallOpen);
    }
    harness.store.compact();
    harness.publish_config();
    for request_addr in harness.request_addrs() {
        assert!(harness.await_newest_config(*request_addr).await);
    }
}

/// Guards against hosts that can't recover after all of them were killed at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_all_serves_again() {
    let harness = start_harness(6).await;
    for i in 0..2 {
        assert!(harness.signal(i, Signal::SIGKILL));
    }
    for i in 0..2 {
        harness.restart(i, Duration::ZERO).await;
    }
    for (i, request_addr) in harness.request_addrs().iter().enumerate() {
        assert!(harness.await_newest_config(*request_addr).await);
        assert_eq!(send(&harness, i, &format!("again-{i}"), false).await, SERVED);
    }
}

/// Guards against requests that fail or run twice because open connections to the targets stall or are
/// reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_connections_disturbed_requests_are_served() {
    let harness = start_harness(7).await;
    for n in 0..8 {
        assert_eq!(send(&harness, n % 2, &format!("before-{n}"), true).await, SERVED);
    }
    for link in &harness.target_links {
        link.set_fault(LinkFault::StallOpen);
    }
    for n in 0..4 {
        let id = format!("silent-{n}");
        assert_eq!(send(&harness, n % 2, &id, false).await, SERVED);
        assert_eq!(harness.run_counts.runs(&id), 1);
    }
    for link in &harness.target_links {
        link.reset();
    }
    for n in 0..4 {
        let id = format!("reset-{n}");
        assert_eq!(send(&harness, n % 2, &id, false).await, SERVED);
        assert_eq!(harness.run_counts.runs(&id), 1);
    }
}

/// Guards against an unusable object of another writer that affects the usable registrations and the
/// configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_unusable_entries_disturb_nothing() {
    let harness = start_harness(8).await;
    harness.store.put("servers", "foreign", serde_json::json!({"service": 7}));
    harness.store.put("servers", "bytes", serde_json::json!("not an entry"));
    harness.store.put("config", "main", serde_json::json!({"version": "zz"}));
    for n in 0..4 {
        assert_eq!(send(&harness, n % 2, &format!("foreign-{n}"), true).await, SERVED);
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against a request for an unknown route, or a malformed request, that is forwarded or gets the
/// wrong status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_are_refused() {
    use std::io::{Read, Write};
    let harness = start_harness(9).await;
    let request_addr = harness.request_addrs()[0];
    let status_line = |request: String| {
        let mut stream = std::net::TcpStream::connect(request_addr).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut buf = [0; 64];
        let n = stream.read(&mut buf).unwrap();
        String::from_utf8_lossy(&buf[..n]).chars().take(12).collect::<String>()
    };
    let head = "Host: soak.example\r\nRequest-Id: bad\r\n";
    let close = "Connection: close\r\n\r\n";
    for (request, expected) in [
        (format!("GET /nowhere HTTP/1.1\r\n{head}{close}"), "HTTP/1.1 404"),
        (format!("GET /read/x HTTP/1.1\r\nHost: soak.example\r\n{close}"), "HTTP/1.1 400"),
        (
            format!("GET /read/x HTTP/1.1\r\n{head}X: {}\r\n{close}", "y".repeat(90_000)),
            "HTTP/1.1 431",
        ),
        (
            format!(
                "POST /write/x HTTP/1.1\r\n{head}Content-Length: 3\r\nContent-Length: 9\r\n\r\nabc"
            ),
            "HTTP/1.1 400",
        ),
        (
            format!("POST /write/x HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            "HTTP/1.1 400",
        ),
        (format!("GET /read/x HTTP/1.1\r\n{head}X: a\r\n b\r\n{close}"), "HTTP/1.1 400"),
        (String::from("not http at all\r\n\r\n"), "HTTP/1.1 400"),
    ] {
        let start: String = request.chars().take(160).collect();
        assert_eq!(status_line(request), expected, "{start}");
    }
    assert_eq!(send(&harness, 0, "after-bad", true).await, SERVED);
    assert_eq!(harness.run_counts.runs("bad"), 0);
}

/// Guards against requests to a path on which targets crash that keep reaching targets, and against other
/// requests that are blocked with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_breaks_targets_is_blocked_on_all_hosts() {
    let harness = start_harness(11).await;
    let mut statuses = Vec::new();
    for n in 0..60 {
        let req = Request::get("/read/poison")
            .header("host", "soak.example")
            .header("request-id", format!("poison-{n}"))
            .header("request-deadline-ms", 900)
            .body(Full::default())
            .unwrap();
        let mut sender = callers::connect(harness.request_addrs()[n % 2]).await.unwrap();
        statuses.push(sender.send_request(req).await.unwrap().status());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let runs: Vec<u32> = (0..60).map(|n| harness.run_counts.runs(&format!("poison-{n}"))).collect();
    assert!(runs[50..].iter().all(|n| *n == 0), "{runs:?} {statuses:?}");
    assert_eq!(send(&harness, 0, "not-poison", true).await, SERVED);
}

/// Guards against a directory that can't be read or lacks a host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn directory_names_both_hosts() {
    let harness = start_harness(10).await;
    for _ in 0..200 {
        let (status, body) = get(harness.directory_addrs[0], "/resolve?name=soak.example").await;
        assert_eq!(status, StatusCode::OK);
        if harness.request_addrs().iter().all(|addr| body.contains(&addr.to_string())) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the directory of the first host does not list both hosts");
}

/// Guards against invalid settings that `--check` accepts and that fail only while serving, and against
/// errors that don't name the field.
#[test]
fn check_absurd_settings_are_refused_with_the_field() {
    let dir = std::env::temp_dir().join(format!("geraniummux-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let good = serde_json::json!({
        "host": "h", "failure_domain": "a", "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2",
        "directory": "127.0.0.1:3", "peer": "127.0.0.1:4", "peer_key": "0123456789abcdef",
        "store": "127.0.0.1:5", "promises": {"grace_s": 6.0}});
    let run_check = |settings: &str| {
        let path = dir.join("settings.json");
        std::fs::write(&path, settings).unwrap();
        let out =
            Command::new(program()).arg("--check").arg("--settings").arg(&path).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    assert_eq!(run_check(&good.to_string()).0, Some(0));
    for (field, value) in [
        ("host", serde_json::json!("no name")),
        ("listen", serde_json::json!("here")),
        ("peer", serde_json::json!("0.0.0.0:4")),
        ("peer_key", serde_json::json!("short")),
        ("cores", serde_json::json!(-1)),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        let (code, error) = run_check(&bad.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(error.contains(field) || error.contains("column"), "{field}: {error}");
    }
    let mut bad = good;
    bad["promises"]["grace_s"] = serde_json::json!(-6);
    let (code, error) = run_check(&bad.to_string());
    assert!(code == Some(2) && error.contains("grace_s"), "{error}");
    assert_eq!(run_check("{").0, Some(2));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against a target that gets more than the limit that it names (LIMIT), from all hosts together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_limit_is_kept_by_all_hosts() {
    let harness = start_harness(12).await;
    let target = &harness.targets[0];
    target.set_demand(Demand::Limit(0.0));
    let mut n = 0;
    let mut request = async || {
        n += 1;
        assert_eq!(send(&harness, n % 2, &format!("limit-{n}"), n % 4 < 2).await, SERVED);
    };
    while target.run_count() == 0 {
        request().await;
    }
    let before = target.run_count();
    for _ in 0..100 {
        request().await;
    }
    let extra = target.run_count() - before;
    assert!(extra <= LIMIT_SLACK, "{extra} requests beyond the limit");
}
