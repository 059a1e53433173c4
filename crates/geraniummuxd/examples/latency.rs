//! Measures the latency that the daemon adds to requests, and its CPU time per request.
//!
//! Requests are sent at a steady rate, alternately directly to the targets and through the daemon,
//! so that both are measured under the same conditions. Build the daemon with the same profile
//! first:
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

const TARGET_COUNT: usize = 4;
/// Clock ticks per second in /proc/<pid>/stat, a constant of the Linux interface.
const TICKS_PER_S: f64 = 100.0;

/// Compare the latency through the daemon with the latency of direct requests to the targets.
#[derive(FromArgs)]
struct Args {
    /// requests per second, both directly and through the daemon (default 500)
    #[argh(option, default = "500")]
    rate: u32,
    /// duration of the measurement in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// service time of a target, in milliseconds (default 2)
    #[argh(option, default = "2")]
    service_ms: u64,
}

/// Client that sends requests to its addresses in turn and records their latencies.
struct BenchClient {
    addrs: Vec<SocketAddr>,
    idle: Mutex<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>,
    /// Latencies in microseconds.
    latency: Mutex<Histogram<u64>>,
    next: AtomicU64,
    failed: AtomicU64,
}

impl BenchClient {
    fn new(addrs: Vec<SocketAddr>) -> anyhow::Result<Arc<Self>> {
        Ok(Arc::new(BenchClient {
            addrs,
            idle: Mutex::default(),
            latency: Mutex::new(Histogram::new_with_max(60_000_000, 3)?),
            next: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }))
    }

    /// Sends one request and records its latency since `start`, or its failure.
    async fn request(&self, start: Instant) {
        match self.exchange().await {
            Ok(()) => {
                let micros = start.elapsed().as_micros() as u64;
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
        let idle_tx = {
            let mut idle = lock(&self.idle);
            let i = idle.iter().rposition(|(a, tx)| *a == addr && tx.is_ready());
            i.map(|i| idle.swap_remove(i).1)
        };
        let mut tx = match idle_tx {
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

/// Process of the daemon. Killed when dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Daemon {
    /// Returns the CPU time that the process has used, in seconds.
    fn cpu(&self) -> anyhow::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        // Fields 14 and 15. They are counted from the end of the command name, which may contain
        // spaces.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|v| v.parse::<f64>().ok());
        let (user, system) = ticks(11).zip(ticks(12)).context("unreadable /proc stat")?;
        Ok((user + system) / TICKS_PER_S)
    }
}

async fn bind_listener() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

async fn free_addr() -> anyhow::Result<SocketAddr> {
    Ok(bind_listener().await?.1)
}

async fn call(addr: SocketAddr, method: Method, path: &str, body: String) -> anyhow::Result<Value> {
    let response = caller::send(addr, method, path, &[], body.into()).await?;
    ensure!(response.status.is_success(), "{path}: status {}", response.status);
    Ok(serde_json::from_slice(&response.body)?)
}

async fn start_daemon(targets: &[SocketAddr]) -> anyhow::Result<(Daemon, SocketAddr)> {
    let (platform, platform_addr) = bind_listener().await?;
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
            bail!("geraniummuxd did not respond on {admin} within 10 s");
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
    // The share of a new host and of new targets rises over some seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok((daemon, listen))
}

/// Sends requests at a steady rate, alternating between the two clients.
async fn load(clients: &[Arc<BenchClient>; 2], rate: u32, time: Duration) {
    let interval = Duration::from_secs(1) / rate / 2;
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0.. {
        let due = start + interval * n;
        if due.duration_since(start) > time {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        let client = clients[n as usize % 2].clone();
        // Timers have a resolution of 1 ms, and a late start must not count as latency.
        let sent = Instant::now();
        tasks.spawn(async move { client.request(sent).await });
    }
    tasks.join_all().await;
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let mut targets = Vec::new();
    for i in 0..TARGET_COUNT {
        let (listener, addr) = bind_listener().await?;
        let service_ms = args.service_ms;
        let behaviour = target::Behaviour { service_ms, ..target::Behaviour::default() };
        tokio::spawn(target::run(listener, format!("t-{i}"), behaviour));
        targets.push(addr);
    }
    let (daemon, listen) = start_daemon(&targets).await?;
    let warm_up_clients = [BenchClient::new(targets.clone())?, BenchClient::new(vec![listen])?];
    load(&warm_up_clients, args.rate, Duration::from_secs(2)).await;
    let clients = [BenchClient::new(targets)?, BenchClient::new(vec![listen])?];
    let before = daemon.cpu()?;
    load(&clients, args.rate, Duration::from_secs(args.seconds.into())).await;
    let cpu = daemon.cpu()? - before;
    for (name, client) in ["direct", "daemon"].iter().zip(&clients) {
        // `len` and `quantile` lock the same mutex, so each is called on its own.
        let requests = client.len();
        println!(
            "{name:>9}: {requests} requests, {} failed, p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
            client.failed.load(Ordering::Relaxed),
            client.quantile(0.5),
            client.quantile(0.99),
            client.quantile(0.999)
        );
    }
    let added = |q| clients[1].quantile(q) - clients[0].quantile(q);
    println!("    added: p50 {:.3} ms, p99 {:.3} ms (target 1.1 ms)", added(0.5), added(0.99));
    let per_request = cpu / clients[1].len() as f64;
    println!(
        "      cpu: {:.0} us per request, {:.0} requests/s per core",
        per_request * 1e6,
        1.0 / per_request
    );
    Ok(())
}
