//! Runs one case of the review: `review-standin-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment, the case runs without its disruption.

mod client;
mod host;
mod http;
mod link;
mod quota;
mod reason;
mod seeds;
mod server;
mod store;
mod stray;
mod unframed;

use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;
use tokio::signal::unix::{SignalKind, signal};

/// What a case found.
pub enum Outcome {
    Broken,
    Held,
}

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// The record of a run.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Free loopback addresses of hosts and servers, and ports that are free at all of the hosts.
pub struct Net {
    prefix: String,
}

impl Net {
    pub fn new() -> Self {
        let pid = std::process::id();
        Net { prefix: format!("127.{}.{}", 100 + pid / 250 % 100, 1 + pid % 250) }
    }

    pub fn ip(&self, n: usize) -> String {
        format!("{}.{n}", self.prefix)
    }

    pub fn ports(&self, ips: &[String]) -> Result<host::Ports> {
        let free = |ip: &String, port: u16| {
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && std::net::UdpSocket::bind((ip.as_str(), port)).is_ok()
        };
        (0..50)
            .map(|n| 21_000 + n * 100)
            .find(|first| ips.iter().all(|ip| (0..5).all(|n| free(ip, first + n))))
            .map(host::Ports)
            .ok_or_else(|| "no free ports".into())
    }
}

/// The operator's configuration: one service and a route of each kind.
pub fn config() -> Value {
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "desk.example", "path-prefix": format!("/{name}/"), "route-type": kind,
            "timeout-s": 1.2, "target-latency-s": 0.4, "priority": 1, "service": "ledger", "max-attempts": 2})
    };
    json!({"version": "00000007", "routes": [route("issue", "unsafe"), route("lookup", "safe")],
        "services": [{"name": "ledger", "health-path": "/health", "max-conns": 283, "protocol": "h1", "tls": false}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15}})
}

/// A server's registration.
pub fn registration(addr: SocketAddr, zone: &str, state: &str) -> Value {
    json!({"service": "ledger", "address": addr.to_string(), "zone": zone, "version": "v1", "slots": 6,
        "state": state, "warmup-left-s": 0, "sequence": 4, "born": 1_765_000_000_000_u64})
}

/// Appends what the hosts logged to the record.
pub fn keep_logs(record: &Record, folder: &Path, words: &[&str]) {
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|e| e == "log") {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let chosen: Vec<&str> =
                text.lines().filter(|l| words.iter().any(|w| l.contains(w))).collect();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            record.line(format!("log of {name}: {} such lines; the first of them:", chosen.len()));
            chosen.iter().take(12).for_each(|l| record.line(format!("  {l}")));
        }
    }
}

async fn play(case: &str, record: &Record) -> Result<Outcome> {
    match case {
        "unframed" => unframed::run(record).await,
        "stray" => stray::run(record).await,
        "reason" => reason::run(record).await,
        "seeds" => seeds::run(record).await,
        "quota" => quota::run(record).await,
        _ => Err("unknown case".into()),
    }
}

async fn stopped() {
    let listen = |kind| signal(kind).ok();
    let (Some(mut end), Some(mut interrupt)) =
        (listen(SignalKind::terminate()), listen(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = end.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let file = match File::create(path) {
        Ok(file) => Mutex::new(file),
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    let record = Record { file, begun: Instant::now() };
    // Dropping a case ends the processes that it has started.
    let outcome = tokio::select! {
        outcome = play(case, &record) => outcome,
        () = stopped() => Err("it was stopped".into()),
    };
    match outcome {
        Ok(Outcome::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Outcome::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            record.say(format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
