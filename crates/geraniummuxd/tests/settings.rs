//! Startup with invalid settings or arguments: one error line and the documented exit code.

use serde_json::{Value, json};
use std::fs;
use std::path::PathBuf;
use std::process::Command;

/// Temporary directory. Removed when dropped.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        // A directory that remains does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn dir(name: &str) -> TempDir {
    let dir = std::env::temp_dir().join(format!("geraniummuxd-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("directory");
    TempDir(dir)
}

/// Returns valid settings.
fn settings() -> Value {
    json!({
        "host": "entry-1", "failure_domain": "a", "region": "north",
        "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "peer": "127.0.0.1:0",
        "peer_key": "key-of-the-test-fleet", "platform": "127.0.0.1:1",
    })
}

/// Runs the daemon in `dir` and returns its exit code and standard error.
fn run(dir: &TempDir, args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_geraniummuxd"))
        .args(args)
        .current_dir(&dir.0)
        .output()
        .expect("run geraniummuxd");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code().unwrap_or(-1), text)
}

/// Asserts that the daemon exits with `code` and only this message if the settings file has this
/// content.
fn assert_start_fails(dir: &TempDir, content: &str, code: i32, message: &str) {
    fs::write(dir.0.join("host.json"), content).expect("write settings");
    let (exit, text) = run(dir, &["--settings", "host.json"]);
    assert_eq!((exit, &*text), (code, &*format!("geraniummuxd: {message}\n")));
}

/// Guards against settings files that are accepted although they are missing, truncated or invalid.
#[test]
fn settings_unusable() {
    let dir = dir("settings");
    let (exit, text) = run(&dir, &["--settings", "missing.json"]);
    let message = "can't read the settings file missing.json: No such file or directory";
    assert_eq!(exit, 2);
    assert!(text.starts_with(&format!("geraniummuxd: {message}")) && text.lines().count() == 1);
    let valid = settings().to_string();
    assert_start_fails(
        &dir,
        &valid[..40],
        2,
        "settings file host.json: EOF while parsing a value at line 1 column 40",
    );
    let mut invalid = settings();
    invalid["lissen"] = json!("127.0.0.1:0");
    fs::write(dir.0.join("host.json"), invalid.to_string()).expect("write settings");
    let (exit, text) = run(&dir, &["--settings", "host.json"]);
    assert_eq!((exit, text.lines().count()), (2, 1), "{text}");
    assert!(text.contains("unknown field `lissen`"), "{text}");
    let mut invalid = settings();
    invalid["peer_key"] = json!("short");
    let message = "settings file host.json: peer_key: needs at least 16 bytes, has 5";
    assert_start_fails(&dir, &invalid.to_string(), 2, message);
    let mut invalid = settings();
    invalid["entry_ttl_ms"] = json!(1);
    let message = "settings file host.json: entry_ttl_ms: 1 is out of range: 100 to 600000";
    assert_start_fails(&dir, &invalid.to_string(), 2, message);
}

/// Guards against a host that starts without one of its listeners, and against invalid arguments
/// that exit with the code for a failed start.
#[test]
fn start_failures() {
    let dir = dir("start");
    let bound = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = bound.local_addr().expect("address");
    for field in ["listen", "admin", "peer"] {
        let mut invalid = settings();
        invalid[field] = json!(addr);
        let message =
            format!("{field}: can't listen on {addr}: Address already in use (os error 98)");
        assert_start_fails(&dir, &invalid.to_string(), 1, &message);
    }
    let (exit, text) = run(&dir, &["--setings", "host.json"]);
    assert_eq!((exit, text.lines().count()), (2, 1), "{text}");
}
