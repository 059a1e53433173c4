//! Runs the commands against one entry host in this process and checks their output and exit codes,
//! and that a failed command changes nothing.

use expect_test::{Expect, expect};
use geraniummux_standin::platform;
use geraniummuxd::settings::{LogLevel, Settings};
use geraniummuxd::shared::Shared;
use geraniummuxd::telemetry::Telemetry;
use geraniummuxd::{admin, logging, timers};
use serde_json::{Value, json};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;

/// One entry host that receives no caller requests, and a directory for table files.
struct Fixture {
    admin: SocketAddr,
    dir: PathBuf,
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("address");
    (listener, addr)
}

impl Fixture {
    async fn start() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("geraniummuxctl-{}-{n}", std::process::id()));
        fs::create_dir_all(&dir).expect("directory");
        let (platform_listener, platform_addr) = listener().await;
        tokio::spawn(platform::run(platform_listener));
        let (admin_listener, admin) = listener().await;
        let settings = json!({
            "host": "entry-1", "failure_domain": "a", "region": "north",
            "listen": "127.0.0.1:0", "admin": admin, "peer": "127.0.0.1:1",
            "peer_key": "key-of-the-test-fleet", "platform": platform_addr,
        });
        let settings = Settings::parse(&settings.to_string()).expect("settings");
        let (log, _guard) = logging::start(LogLevel::Error, "entry-1");
        let telemetry = Telemetry::start(None).expect("telemetry");
        let shared = Arc::new(Shared::new(settings, log, telemetry));
        tokio::spawn(timers::run(shared.clone()));
        tokio::spawn(admin::serve(admin_listener, shared));
        Fixture { admin, dir }
    }

    fn write(&self, name: &str, content: &str) {
        fs::write(self.dir.join(name), content).expect("write a file");
    }

    /// Runs the tool and returns its standard output, standard error and exit code as one text.
    async fn run(&self, args: &[&str]) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_geraniummuxctl"));
        command.current_dir(&self.dir).env("USER", "anna");
        command.arg("--admin").arg(self.admin.to_string()).args(args);
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.expect("join").expect("run geraniummuxctl");
        let text = format!(
            "{}{}exit {}\n",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
            output.status.code().unwrap_or(-1)
        );
        text.replace(&self.admin.to_string(), "ADMIN")
    }

    async fn check(&self, args: &[&str], expected: Expect) {
        expected.assert_eq(&self.run(args).await);
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // The name is unique to the process, so a directory that is not removed affects no other
        // run.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

const POOLS: &str = r#"{"pools": [{"name": "ledger", "targets": [
    {"name": "t-1", "addr": "127.0.0.1:9", "failure_domain": "a"}]}]}"#;
const ROUTES: &str = r#"{"routes": [{"name": "all", "path": "/", "tenant": "parish",
    "class": "lookup", "pool": "ledger", "timeout_ms": 1000}]}"#;

async fn with_tables() -> Fixture {
    let f = Fixture::start().await;
    f.write("pools.json", POOLS);
    f.write("routes.json", ROUTES);
    f.check(
        &["apply", "pools", "pools.json"],
        expect![[r#"
            pools table at revision 1, generation 1
            exit 0
        "#]],
    )
    .await;
    f.check(
        &["apply", "routes", "routes.json"],
        expect![[r#"
            routes table at revision 1, generation 2
            exit 0
        "#]],
    )
    .await;
    f
}

/// Guards against output of `get` that can't be edited and passed to `diff`, `check` and `apply`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tables_round_trip() {
    let f = with_tables().await;
    f.check(
        &["get", "routes"],
        expect![[r#"
            NAME  HOST  PATH  METHODS  TENANT  CLASS   POOL    TIMEOUT_MS
            all   -     /     -        parish  lookup  ledger  1000
            routes table, revision 1 by anna
            exit 0
        "#]],
    )
    .await;
    let got = f.run(&["--json", "get", "routes"]).await;
    let mut table: Value =
        serde_json::from_str(got.trim_end_matches("exit 0\n")).expect("a table as JSON");
    table["routes"][0]["timeout_ms"] = json!(77);
    f.write("edited.json", &table.to_string());
    f.check(
        &["diff", "routes", "edited.json"],
        expect![[r#"
            ~ all timeout_ms: 1000 -> 77
            exit 1
        "#]],
    )
    .await;
    f.check(
        &["apply", "routes", "edited.json"],
        expect![[r#"
            routes table at revision 2, generation 3
            exit 0
        "#]],
    )
    .await;
    f.check(
        &["diff", "routes", "edited.json"],
        expect![[r#"
            exit 0
        "#]],
    )
    .await;
    f.check(
        &["check", "--pools", "pools.json", "--routes", "routes.json"],
        expect![[r#"
            valid: 1 routes, 1 pools, 1 targets
            exit 0
        "#]],
    )
    .await;
    f.check(
        &["usage", "--month", "2026-01"],
        expect![[r#"
            TENANT  CLASS  SERVED
            month 2026-01
            exit 0
        "#]],
    )
    .await;
    assert!(f.run(&["status"]).await.contains("entry-1"));
}

/// Guards against a conflict with another operator's edit that doesn't name the winning revision
/// and its writer, or changes the operator's file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_conflict() {
    let f = with_tables().await;
    let stale_edit = r#"{"revision": 1, "routes": []}"#;
    f.write("mine.json", stale_edit);
    f.write("theirs.json", &ROUTES.replace("1000", "2000"));
    f.run(&["apply", "routes", "theirs.json", "--base", "1", "--writer", "bertil"]).await;
    f.check(
        &["apply", "routes", "mine.json"],
        expect![[r#"
            geraniummuxctl: conflict: the routes table is at revision 2 (written by bertil), the edit is based on revision 1
            from the file to the winning table:
            + all class=lookup hedge_budget=0.05 max_body_bytes=1048576 path=/ pool=ledger retry_budget=0.1 tenant=parish timeout_ms=2000
            mine.json is unchanged
            exit 4
        "#]],
    )
    .await;
    assert_eq!(fs::read_to_string(f.dir.join("mine.json")).expect("file"), stale_edit);
}

/// Guards against an invalid table that is accepted, reported without the faulty row and field, or
/// reported with another exit code than 3.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_bad_input() {
    let f = with_tables().await;
    let before = f.run(&["--json", "get", "routes"]).await;
    let route = |from: &str, to: &str| ROUTES.replace(from, to);
    let duplicate_name = ROUTES.replace("]}", ", {\"name\": \"all\", \"path\": \"/b\", \"tenant\": \"p\", \"class\": \"c\", \"pool\": \"ledger\", \"timeout_ms\": 1}]}");
    let cases = [
        (
            route("\"class\"", "\"clazz\""),
            expect![[r#"
                geraniummuxctl: bad.json: routes table: unknown field `clazz`, expected one of `name`, `host`, `path`, `methods`, `tenant`, `class`, `pool`, `timeout_ms`, `idempotent`, `retry_budget`, `hedge_budget`, `max_body_bytes` at line 2 column 11
                exit 3
            "#]],
        ),
        (
            duplicate_name,
            expect![[r#"
                geraniummuxctl: routes table, row "all", field "name": another row has the same name
                exit 3
            "#]],
        ),
        (
            route("\"ledger\"", "\"nowhere\""),
            expect![[r#"
                geraniummuxctl: routes table, row "all", field "pool": pool "nowhere" does not exist in the pools table
                exit 3
            "#]],
        ),
        (
            route("1000", "0"),
            expect![[r#"
                geraniummuxctl: routes table, row "all", field "timeout_ms": 0 is out of range: 1 to 600000
                exit 3
            "#]],
        ),
        (
            format!("{ROUTES}{}", " ".repeat(1 << 20)),
            expect![[r#"
                geraniummuxctl: bad.json has 1048699 bytes, both tables together may have 1048576
                exit 3
            "#]],
        ),
        (
            ROUTES[..60].to_owned(),
            expect![[r#"
                geraniummuxctl: bad.json: routes table: EOF while parsing a value at line 1 column 60
                exit 3
            "#]],
        ),
    ];
    for (content, expected) in cases {
        f.write("bad.json", &content);
        f.check(&["apply", "routes", "bad.json", "--base", "1"], expected).await;
    }
    assert_eq!(f.run(&["--json", "get", "routes"]).await, before);
}

/// Guards against exit code 1, which means that the tables differ, when nothing was compared
/// because the arguments were invalid or no host was reachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unusable_arguments() {
    let f = Fixture::start().await;
    f.check(
        &["diff", "routes", "missing.json"],
        expect![[r#"
            geraniummuxctl: can't read missing.json: No such file or directory (os error 2)
            exit 2
        "#]],
    )
    .await;
    f.check(
        &["get", "tables"],
        expect![[r#"
            geraniummuxctl: there is no table "tables": use routes or pools
            exit 2
        "#]],
    )
    .await;
    f.check(
        &["got"],
        expect![[r#"
            geraniummuxctl: Unrecognized argument: got
            exit 2
        "#]],
    )
    .await;
    f.check(
        &["usage", "--month", "may"],
        expect![[r#"
            geraniummuxctl: "may" is not a month: use YYYY-MM
            exit 2
        "#]],
    )
    .await;
    let unreachable_host =
        Fixture { admin: SocketAddr::from(([127, 0, 0, 1], 1)), dir: f.dir.clone() };
    unreachable_host
        .check(
            &["get", "routes"],
            expect![[r#"
                geraniummuxctl: no entry host answered: ADMIN: connect: Connection refused (os error 111)
                exit 5
            "#]],
        )
        .await;
}
