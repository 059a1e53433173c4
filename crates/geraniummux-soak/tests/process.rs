//! Single faults against real processes.

use geraniummux_soak::Options;
use geraniummux_soak::callers::{self, End};
use geraniummux_soak::world::World;
use geraniummux_standin::link::Disturbance;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let path = exe.parent().and_then(|p| p.parent()).unwrap().join("geraniummux-host");
    assert!(path.exists(), "{} is missing: cargo build -p geraniummux-adapter", path.display());
    path
}

/// Starts two hosts and two targets. `net` keeps the tests of this file apart.
async fn world(net: u64) -> World {
    let opts = Options {
        seed: 10_000 + net,
        span: Duration::ZERO,
        hosts: 2,
        targets: 2,
        callers: 0,
        timed: false,
        program: program(),
        dir: std::env::temp_dir().join(format!("geraniummux-process-{}-{net}", std::process::id())),
    };
    let world = World::start(&opts).await.unwrap();
    for listen in world.listens() {
        assert!(world.has_newest(*listen).await, "{listen} does not serve");
    }
    world
}

async fn ask(world: &World, host: usize, id: &str, idempotent: bool) -> End {
    let listen = world.listens()[host];
    let Ok(mut sender) = callers::connect(listen).await else { return End::Nothing };
    let asked = callers::ask(world, &mut sender, listen, id, idempotent).await;
    assert_eq!(asked.wrong, None);
    asked.end
}

async fn get(addr: std::net::SocketAddr, path: &str) -> (StatusCode, String) {
    let mut sender = callers::connect(addr).await.unwrap();
    let rsp = sender.send_request(Request::get(path).body(Full::default()).unwrap()).await.unwrap();
    let (parts, body) = rsp.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    (parts.status, String::from_utf8_lossy(&body).into_owned())
}

const SERVED: End = End::Answered(StatusCode::OK);

/// Guards against a graceful stop that cuts off requests in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_finishes_requests() {
    let world = std::sync::Arc::new(world(1).await);
    for target in &world.targets {
        target.set_work(700);
    }
    let asked: Vec<_> = (0..6)
        .map(|n| {
            let world = world.clone();
            tokio::spawn(async move { ask(&world, 0, &format!("stop-{n}"), n % 2 == 0).await })
        })
        .collect();
    while (0..6).any(|n| world.ledger.runs(&format!("stop-{n}")) == 0) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(world.signal(0, Signal::SIGTERM));
    for end in asked {
        assert_eq!(end.await.unwrap(), SERVED);
    }
    assert_eq!(world.unexpected_ends(), Vec::<String>::new());
}

/// Guards against SIGHUP that ends the process or closes connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_keeps_connections() {
    let world = world(2).await;
    let listen = world.listens()[0];
    let mut sender = callers::connect(listen).await.unwrap();
    for n in 0..5 {
        assert!(world.signal(0, Signal::SIGHUP));
        let asked = callers::ask(&world, &mut sender, listen, &format!("hup-{n}"), true).await;
        assert_eq!(asked.end, SERVED);
    }
    assert_eq!(world.unexpected_ends(), Vec::<String>::new());
}

/// Guards against hosts that stop serving while the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_away_requests_are_served() {
    let world = world(3).await;
    world.store.refuse(Some(503));
    for link in &world.store_links {
        link.reset();
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for n in 0..4 {
        assert_eq!(ask(&world, n % 2, &format!("away-{n}"), n < 2).await, SERVED);
    }
}

/// Guards against a host that is cut off from the store missing a configuration that its peers have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_cut_for_one_host_takes_configuration_from_peer() {
    let world = world(4).await;
    world.store_links[0].disturb(Disturbance::Cut);
    world.configure();
    assert!(world.has_newest(world.listens()[0]).await);
}

/// Guards against a store connection that goes silent for good going unnoticed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_connections_silent_configuration_arrives() {
    let world = world(5).await;
    for link in &world.store_links {
        link.disturb(Disturbance::SilenceOpen);
    }
    world.store.compact();
    world.configure();
    for listen in world.listens() {
        assert!(world.has_newest(*listen).await);
    }
}

/// Guards against a fleet that does not come back after all its processes were killed at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_all_serves_again() {
    let world = world(6).await;
    for i in 0..2 {
        assert!(world.signal(i, Signal::SIGKILL));
    }
    for i in 0..2 {
        world.restart(i, Duration::ZERO).await;
    }
    for (i, listen) in world.listens().iter().enumerate() {
        assert!(world.has_newest(*listen).await);
        assert_eq!(ask(&world, i, &format!("again-{i}"), false).await, SERVED);
    }
}

/// Guards against connections to targets that went silent or were reset making requests fail or run
/// twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_connections_disturbed_requests_are_served() {
    let world = world(7).await;
    for n in 0..8 {
        assert_eq!(ask(&world, n % 2, &format!("before-{n}"), true).await, SERVED);
    }
    for link in &world.target_links {
        link.disturb(Disturbance::SilenceOpen);
    }
    for n in 0..4 {
        let id = format!("silent-{n}");
        assert_eq!(ask(&world, n % 2, &id, false).await, SERVED);
        assert_eq!(world.ledger.runs(&id), 1);
    }
    for link in &world.target_links {
        link.reset();
    }
    for n in 0..4 {
        let id = format!("reset-{n}");
        assert_eq!(ask(&world, n % 2, &id, false).await, SERVED);
        assert_eq!(world.ledger.runs(&id), 1);
    }
}

/// Guards against an entry of another writer disturbing the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_unusable_entries_disturb_nothing() {
    let world = world(8).await;
    world.store.put("servers", "foreign", serde_json::json!({"service": 7}));
    world.store.put("servers", "bytes", serde_json::json!("not an entry"));
    world.store.put("config", "main", serde_json::json!({"version": "zz"}));
    for n in 0..4 {
        assert_eq!(ask(&world, n % 2, &format!("foreign-{n}"), true).await, SERVED);
    }
    assert_eq!(world.unexpected_ends(), Vec::<String>::new());
}

/// Guards against a route that is not there, or a malformed request, being taken for something else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_are_refused() {
    use std::io::{Read, Write};
    let world = world(9).await;
    let listen = world.listens()[0];
    let answer = |request: String| {
        let mut stream = std::net::TcpStream::connect(listen).unwrap();
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
        assert_eq!(answer(request), expected, "{start}");
    }
    assert_eq!(ask(&world, 0, "after-bad", true).await, SERVED);
    assert_eq!(world.ledger.runs("bad"), 0);
}

/// Guards against a request that breaks each target that runs it reaching targets again and again, and
/// against other requests being blocked with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_breaks_targets_is_blocked_on_all_hosts() {
    let world = world(11).await;
    let mut statuses = Vec::new();
    for n in 0..60 {
        let req = Request::get("/read/poison")
            .header("host", "soak.example")
            .header("request-id", format!("poison-{n}"))
            .header("request-deadline-ms", 900)
            .body(Full::default())
            .unwrap();
        let mut sender = callers::connect(world.listens()[n % 2]).await.unwrap();
        statuses.push(sender.send_request(req).await.unwrap().status());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let reached: Vec<u32> = (0..60).map(|n| world.ledger.runs(&format!("poison-{n}"))).collect();
    assert!(reached[50..].iter().all(|runs| *runs == 0), "{reached:?} {statuses:?}");
    assert_eq!(ask(&world, 0, "not-poison", true).await, SERVED);
}

/// Guards against metrics or the directory that can't be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn directory_names_both_hosts() {
    let world = world(10).await;
    for _ in 0..200 {
        let (status, body) = get(world.directories[0], "/resolve?name=soak.example").await;
        assert_eq!(status, StatusCode::OK);
        if world.listens().iter().all(|l| body.contains(&l.to_string())) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the directory does not name both hosts");
}

/// Guards against absurd settings that are only found out while serving.
#[test]
fn check_absurd_settings_are_refused_with_the_field() {
    let dir = std::env::temp_dir().join(format!("geraniummux-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let good = serde_json::json!({
        "host": "h", "failure_domain": "a", "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2",
        "directory": "127.0.0.1:3", "peer": "127.0.0.1:4", "peer_key": "0123456789abcdef",
        "store": "127.0.0.1:5", "promises": {"grace_s": 6.0}});
    let check = |settings: &str| {
        let path = dir.join("settings.json");
        std::fs::write(&path, settings).unwrap();
        let out =
            Command::new(program()).arg("--check").arg("--settings").arg(&path).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    assert_eq!(check(&good.to_string()).0, Some(0));
    for (field, value) in [
        ("host", serde_json::json!("no name")),
        ("listen", serde_json::json!("here")),
        ("peer", serde_json::json!("0.0.0.0:4")),
        ("peer_key", serde_json::json!("short")),
        ("cores", serde_json::json!(-1)),
    ] {
        let mut bad = good.clone();
        bad[field] = value;
        let (code, error) = check(&bad.to_string());
        assert_eq!(code, Some(2), "{field}");
        assert!(error.contains(field) || error.contains("column"), "{field}: {error}");
    }
    let mut bad = good;
    bad["promises"]["grace_s"] = serde_json::json!(-6);
    let (code, error) = check(&bad.to_string());
    assert!(code == Some(2) && error.contains("grace_s"), "{error}");
    assert_eq!(check("{").0, Some(2));
    std::fs::remove_dir_all(dir).unwrap();
}
