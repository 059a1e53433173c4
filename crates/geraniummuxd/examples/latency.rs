//! Measures what the daemon adds to the latency of requests, and its CPU time per request.
//!
//! Requests arrive at a steady rate, in turn straight at the targets and through the daemon, so
//! that both see the same machine. Build the daemon with the same profile before:
//!
//! ```text
//! cargo build --release -p geraniummuxd
//! cargo run --release -p geraniummuxd --example latency -- --rate 1000 --seconds 10
//! ```

use anyhow::{Context, bail, ensure};
use argh::FromArgs;
use bytes::Bytes;
use geraniummux_standin::{caller, platform, target};
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

const TARGETS: usize = 4;
/// Clock ticks a second in /proc/<pid>/stat, a constant of the Linux interface.
const TICKS_PER_S: f64 = 100.0;

/// Compare latency through the daemon with latency straight to the targets.
#[derive(FromArgs)]
struct Args {
    /// requests a second on each way (default 500)
    #[argh(option, default = "500")]
    rate: u32,
    /// length of the measurement in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// time that a target takes for a request, in milliseconds (default 2)
    #[argh(option, default = "2")]
    service_ms: u64,
}

/// Latencies of one way to the targets, in microseconds.
struct Way {
    addrs: Vec<SocketAddr>,
    idle: Mutex<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>,
    latency: Mutex<Histogram<u64>>,
    next: AtomicU64,
    failed: AtomicU64,
}

impl Way {
    fn new(addrs: Vec<SocketAddr>) -> anyhow::Result<Arc<Self>> {
        Ok(Arc::new(Way {
            addrs,
            idle: Mutex::default(),
            latency: Mutex::new(Histogram::new_with_max(60_000_000, 3)?),
            next: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }))
    }

    /// Sends one request that was due at `due`.
    async fn request(&self, due: Instant) {
        match self.exchange().await {
            Ok(()) => {
                let micros = due.elapsed().as_micros() as u64;
                lock(&self.latency).saturating_record(micros);
            }
            Err(_) => {
                self.failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    async fn exchange(&self) -> anyhow::Result<()> {
        let n = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        let addr = self.addrs[n % self.addrs.len()];
        let found = {
            let mut idle = lock(&self.idle);
            let i = idle.iter().rposition(|(a, tx)| *a == addr && tx.is_ready());
            i.map(|i| idle.swap_remove(i).1)
        };
        let mut tx = match found {
            Some(tx) => tx,
            None => {
                let stream = TcpStream::connect(addr).await?;
                stream.set_nodelay(true)?;
                let (tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
                tokio::spawn(conn);
                tx
            }
        };
        let req = Request::builder().uri(format!("/bench/{n}")).header("host", "bench");
        let rsp = tx.send_request(req.body(Full::default())?).await?;
        let status = rsp.status();
        rsp.into_body().collect().await?;
        tx.ready().await?;
        lock(&self.idle).push((addr, tx));
        ensure!(status.is_success(), "status {status}");
        Ok(())
    }

    fn len(&self) -> u64 {
        lock(&self.latency).len()
    }

    fn quantile(&self, q: f64) -> f64 {
        lock(&self.latency).value_at_quantile(q) as f64 / 1e3
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The daemon's process; killed when it is dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Daemon {
    /// Returns the CPU time used so far, in seconds.
    fn cpu(&self) -> anyhow::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        // Fields 14 and 15, counted after the command, which may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|v| v.parse::<f64>().ok());
        let (user, system) = ticks(11).zip(ticks(12)).context("unreadable /proc stat")?;
        Ok((user + system) / TICKS_PER_S)
    }
}

async fn listener() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

async fn free_addr() -> anyhow::Result<SocketAddr> {
    Ok(listener().await?.1)
}

async fn call(addr: SocketAddr, method: Method, path: &str, body: String) -> anyhow::Result<Value> {
    let answer = caller::send(addr, method, path, &[], body.into()).await?;
    ensure!(answer.status.is_success(), "{path}: status {}", answer.status);
    Ok(serde_json::from_slice(&answer.body)?)
}

async fn start_daemon(targets: &[SocketAddr]) -> anyhow::Result<(Daemon, SocketAddr)> {
    let (platform, platform_addr) = listener().await?;
    tokio::spawn(platform::run(platform));
    let (listen, admin, peer) = (free_addr().await?, free_addr().await?, free_addr().await?);
    let settings = json!({
        "host": "bench", "failure_domain": "a", "region": "bench",
        "listen": listen, "admin": admin, "peer": peer, "peers": [],
        "peer_key": "key-of-the-measurement", "platform": platform_addr,
    });
    let file = std::env::temp_dir().join(format!("geraniummux-bench-{}.json", std::process::id()));
    fs::write(&file, settings.to_string())?;
    let exe = std::env::current_exe()?;
    let dir = exe.parent().and_then(|p| p.parent()).context("no directory of the example")?;
    let child = Command::new(dir.join("geraniummuxd"))
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .context("start geraniummuxd; build it with the same profile first")?;
    let daemon = Daemon(child);
    let end = Instant::now() + Duration::from_secs(10);
    while call(admin, Method::GET, "/v1/status", String::new()).await.is_err() {
        if Instant::now() > end {
            bail!("geraniummuxd doesn't answer");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fs::remove_file(&file)?;
    let target = |(i, addr): (usize, &SocketAddr)| json!({ "name": format!("t-{i}"), "addr": addr, "failure_domain": "a" });
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    let pools = json!({ "pools": [
        { "name": "main", "probe_budget_per_s": 0.0, "targets": targets }] });
    let routes = json!({ "routes": [{ "name": "all", "path": "/", "tenant": "bench",
        "class": "bench", "pool": "main", "timeout_ms": 5_000 }] });
    for (table, rows) in [("pools", pools), ("routes", routes)] {
        let path = format!("/v1/tables/{table}?base=0&writer=bench&write_id=bench-{table}");
        call(admin, Method::POST, &path, rows.to_string()).await?;
    }
    // A new host and new targets ramp up.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok((daemon, listen))
}

/// Sends requests at a steady rate on both ways in turn.
async fn load(ways: &[Arc<Way>; 2], rate: u32, time: Duration) {
    let gap = Duration::from_secs(1) / rate / 2;
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0.. {
        let due = start + gap * n;
        if due.duration_since(start) > time {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        let way = ways[n as usize % 2].clone();
        // Timers have a resolution of 1 ms; a late start is not the way's latency.
        let sent = Instant::now();
        tasks.spawn(async move { way.request(sent).await });
    }
    tasks.join_all().await;
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let mut targets = Vec::new();
    for i in 0..TARGETS {
        let (listener, addr) = listener().await?;
        let service_ms = args.service_ms;
        let behaviour = target::Behaviour { service_ms, ..target::Behaviour::default() };
        tokio::spawn(target::run(listener, format!("t-{i}"), behaviour));
        targets.push(addr);
    }
    let (daemon, listen) = start_daemon(&targets).await?;
    let warm = [Way::new(targets.clone())?, Way::new(vec![listen])?];
    load(&warm, args.rate, Duration::from_secs(2)).await;
    let ways = [Way::new(targets)?, Way::new(vec![listen])?];
    let before = daemon.cpu()?;
    load(&ways, args.rate, Duration::from_secs(args.seconds.into())).await;
    let cpu = daemon.cpu()? - before;
    for (name, way) in ["straight", "daemon"].iter().zip(&ways) {
        // The lock is not held while the quantiles take it.
        let requests = way.len();
        println!(
            "{name:>9}: {requests} requests, {} failed, p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
            way.failed.load(Ordering::Relaxed),
            way.quantile(0.5),
            way.quantile(0.99),
            way.quantile(0.999)
        );
    }
    let added = |q| ways[1].quantile(q) - ways[0].quantile(q);
    println!("    added: p50 {:.3} ms, p99 {:.3} ms (target 1.1 ms)", added(0.5), added(0.99));
    let per_request = cpu / ways[1].len() as f64;
    println!(
        "      cpu: {:.0} us per request, {:.0} requests/s per core",
        per_request * 1e6,
        1.0 / per_request
    );
    Ok(())
}
