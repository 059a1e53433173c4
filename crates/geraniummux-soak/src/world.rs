//! The processes, the stand-ins around them, and the course of one run.

use crate::callers::{self, Asked};
use crate::faults;
use crate::hosts::HostProcess;
use crate::report::Report;
use anyhow::Context;
use geraniummux_standin::link::Link;
use geraniummux_standin::object_store::ObjectStore;
use geraniummux_standin::registered_target::{LateRun, Ledger, RegisteredTarget};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time that a target works on a request, in milliseconds.
pub const WORK_MS: u64 = 30;
/// Time after a change at the store after which a leaving target gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time without harm before a moment at which promises with a time bind the hosts.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Looks for the last configuration on all hosts before that counts as broken.
const SETTLE_LOOKS: u32 = 300;
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// Sizes of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides all faults.
    pub seed: u64,
    /// How long faults are injected.
    pub span: Duration,
    /// Entry hosts.
    pub hosts: u8,
    /// Targets.
    pub targets: usize,
    /// Callers.
    pub callers: u64,
    /// Whether promises with a time are checked; they need a machine that is not overloaded.
    pub timed: bool,
    /// The program under test.
    pub program: PathBuf,
    /// Where settings and logs are kept.
    pub dir: PathBuf,
}

/// All that takes part in a run.
pub struct World {
    /// The store.
    pub store: Arc<ObjectStore>,
    /// Ways from the hosts to the store.
    pub store_links: Vec<Arc<Link>>,
    /// Targets.
    pub targets: Vec<Arc<RegisteredTarget>>,
    /// Ways to the targets.
    pub target_links: Vec<Arc<Link>>,
    /// What the targets ran.
    pub ledger: Arc<Ledger>,
    /// Addresses at which hosts are asked for.
    pub directories: Vec<SocketAddr>,
    listens: Vec<SocketAddr>,
    hosts: Vec<Mutex<HostProcess>>,
    asked: Mutex<Vec<Asked>>,
    ended: Mutex<Vec<String>>,
    harms: AtomicUsize,
    /// Start and end of each fault that excuses late news.
    harm_spans: Mutex<Vec<(Instant, Option<Instant>)>>,
    stopping: Vec<AtomicBool>,
    version: AtomicU64,
    over: AtomicBool,
    timed: bool,
}

/// Counts a fault until it is dropped.
pub struct Harm<'a> {
    world: &'a World,
    number: usize,
}

impl Drop for Harm<'_> {
    fn drop(&mut self) {
        self.world.harms.fetch_sub(1, Ordering::SeqCst);
        lock(&self.world.harm_spans)[self.number].1 = Some(Instant::now());
    }
}

/// Marks a host as being stopped until it is dropped.
pub struct Stopping<'a>(&'a AtomicBool);

impl Drop for Stopping<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    /// Starts all processes and stand-ins, with a configuration and all targets registered.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the program can't be started.
    pub async fn start(opts: &Options) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&opts.dir).context("creating the folder for logs")?;
        let world = World::build(opts).await?;
        world.configure();
        world.configure();
        for i in 0..world.targets.len() {
            world.register(i);
        }
        for host in &world.hosts {
            lock(host).start()?;
        }
        Ok(world)
    }

    /// Returns the addresses for requests.
    pub fn listens(&self) -> &[SocketAddr] {
        &self.listens
    }

    async fn build(opts: &Options) -> anyhow::Result<Self> {
        let store = Arc::new(ObjectStore::default());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_addr = listener.local_addr()?;
        tokio::spawn(store.clone().serve(listener));
        let ledger = Arc::new(Ledger::default());
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        for i in 0..opts.targets {
            let target = RegisteredTarget::new(&format!("t-{i}"), WORK_MS, ledger.clone());
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            target_links.push(Link::open("127.0.0.1:0".parse()?, listener.local_addr()?).await?);
            tokio::spawn(target.clone().serve(listener));
            targets.push(target);
        }
        let (mut hosts, mut store_links) = (Vec::new(), Vec::new());
        // Loopback networks keep runs of several seeds apart.
        let net = (64 + (opts.seed % 128) as u8, (opts.seed / 128 % 250) as u8);
        for i in 0..opts.hosts {
            let link = Link::open("127.0.0.1:0".parse()?, store_addr).await?;
            hosts.push(HostProcess::new(&opts.dir, &opts.program, net, i, link.addr)?);
            store_links.push(link);
        }
        Ok(World {
            store,
            store_links,
            targets,
            target_links,
            ledger,
            directories: hosts.iter().map(HostProcess::directory).collect(),
            listens: hosts.iter().map(HostProcess::listen).collect(),
            stopping: hosts.iter().map(|_| AtomicBool::new(false)).collect(),
            hosts: hosts.into_iter().map(Mutex::new).collect(),
            asked: Mutex::default(),
            ended: Mutex::default(),
            harms: AtomicUsize::new(0),
            harm_spans: Mutex::default(),
            version: AtomicU64::new(0),
            over: AtomicBool::new(false),
            timed: opts.timed,
        })
    }

    /// Returns whether the run is over.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Counts a fault that excuses late news until the guard is dropped.
    pub fn harm(&self) -> Harm<'_> {
        self.harms.fetch_add(1, Ordering::SeqCst);
        let mut spans = lock(&self.harm_spans);
        spans.push((Instant::now(), None));
        Harm { world: self, number: spans.len() - 1 }
    }

    /// Returns whether a late run breaks the promise about leaving targets: hosts that were paused, cut off
    /// or killed, or whose store was away, from shortly before the target left, are excepted.
    pub fn is_broken(&self, late: &LateRun) -> bool {
        let spans = lock(&self.harm_spans);
        let harmed = spans.iter().any(|(start, end)| {
            *start <= late.ran && end.is_none_or(|end| end + IN_TOUCH >= late.left)
        });
        self.timed && !harmed
    }

    /// Marks a host as being stopped until the guard is dropped.
    pub fn stopping(&self, i: usize) -> Stopping<'_> {
        self.stopping[i].store(true, Ordering::SeqCst);
        Stopping(&self.stopping[i])
    }

    /// Returns whether the host is being stopped and nothing else is wrong.
    pub fn only_stopping(&self, listen: SocketAddr) -> bool {
        let i = self.listens.iter().position(|l| *l == listen);
        let stopping = i.is_some_and(|i| self.stopping[i].load(Ordering::SeqCst));
        stopping && self.harms.load(Ordering::SeqCst) == 0
    }

    /// Records a request that has ended.
    pub fn note(&self, asked: Asked) {
        lock(&self.asked).push(asked);
    }

    /// Returns all requests that have ended.
    pub fn take_asked(&self) -> Vec<Asked> {
        std::mem::take(&mut *lock(&self.asked))
    }

    /// Sends a signal to a host. Returns whether it was running.
    pub fn signal(&self, i: usize, signal: Signal) -> bool {
        lock(&self.hosts[i]).signal(signal).is_ok()
    }

    /// Waits for the end of a host and starts it again.
    pub async fn restart(&self, i: usize, pause: Duration) {
        while lock(&self.hosts[i]).poll().0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(pause).await;
        let mut host = lock(&self.hosts[i]);
        // Another fault may have restarted it meanwhile.
        if !host.poll().0
            && let Err(e) = host.start()
        {
            lock(&self.ended).push(format!("{e:#}"));
        }
    }

    /// Writes the entry of a target into the store.
    pub fn register(&self, i: usize) {
        let target = &self.targets[i];
        let zone = ["zone-a", "zone-b"][i % 2];
        let entry = target.entry("pool", &self.target_links[i].addr.to_string(), zone);
        self.store.put("servers", &target.id, entry);
    }

    /// Lets a target leave and come back.
    pub async fn leave(&self, i: usize, span: Duration) {
        self.targets[i].set_leaving(true, DRAIN);
        self.register(i);
        tokio::time::sleep(span).await;
        self.targets[i].set_leaving(false, Duration::ZERO);
        self.register(i);
    }

    /// Writes the next version of the configuration, which has a route of its own.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({"name": name, "host": "soak.example", "path-prefix": prefix, "route-type": kind,
                "timeout-s": 1.0, "target-latency-s": 0.3, "priority": 1, "service": "pool",
                "max-attempts": 2})
        };
        let added = format!("/v{version}/");
        let spec = json!({"version": format!("{version:08x}"),
            "routes": [route("read", "/read/", "safe"), route("write", "/write/", "unsafe"),
                route("added", &added, "safe")],
            "services": [{"name": "pool", "health-path": "/health", "max-conns": 200}],
            "limits": {"idle-timeout-s": 15}});
        self.store.put("config", "main", spec);
    }

    /// Notes hosts that have ended by themselves.
    pub fn poll_hosts(&self) {
        for host in &self.hosts {
            if let (_, Some(why)) = lock(host).poll() {
                lock(&self.ended).push(why);
            }
        }
    }

    /// Returns what went wrong with processes so far.
    pub fn unexpected_ends(&self) -> Vec<String> {
        self.poll_hosts();
        lock(&self.ended).clone()
    }

    /// Waits until a host has the newest configuration and not the one before.
    pub async fn has_newest(&self, listen: SocketAddr) -> bool {
        let version = self.version.load(Ordering::SeqCst);
        for _ in 0..SETTLE_LOOKS {
            let new = status(listen, &format!("/v{version}/x")).await;
            let old = status(listen, &format!("/v{}/x", version - 1)).await;
            if new == Some(StatusCode::OK) && old == Some(StatusCode::NOT_FOUND) {
                return true;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        false
    }
}

async fn status(listen: SocketAddr, path: &str) -> Option<StatusCode> {
    let req = Request::get(path)
        .header(header::HOST, "soak.example")
        .header("request-id", format!("look-{:x}", rand::random::<u64>()))
        .header("request-deadline-ms", 800)
        .body(Full::default())
        .ok()?;
    let mut sender = callers::connect(listen).await.ok()?;
    let rsp = tokio::time::timeout(Duration::from_secs(1), sender.send_request(req)).await;
    Some(rsp.ok()?.ok()?.status())
}

/// Plays one run.
///
/// # Errors
///
/// Fails if the run can't be set up.
pub async fn run(opts: Options) -> anyhow::Result<Report> {
    let world = Arc::new(World::start(&opts).await?);
    let mut report = Report { seed: opts.seed, ..Report::default() };
    settle(&world, &mut report).await;
    let callers: Vec<_> = (0..opts.callers)
        .map(|n| tokio::spawn(callers::run(world.clone(), n, opts.seed)))
        .collect();
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let mut injected = Vec::new();
    let end = tokio::time::Instant::now() + opts.span;
    while tokio::time::Instant::now() < end {
        let fault = faults::draw(&mut rng, usize::from(opts.hosts), opts.targets);
        report.faults.push(format!("{fault:?}"));
        injected.push(tokio::spawn(faults::inject(world.clone(), fault)));
        let pause = rng.random_range(50..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        world.poll_hosts();
    }
    for fault in injected {
        fault.await?;
    }
    world.configure();
    settle(&world, &mut report).await;
    world.over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await?;
    }
    world.poll_hosts();
    callers::check(&world, &mut report);
    report.checks += 1;
    report.broken.append(&mut lock(&world.ended));
    Ok(report)
}

/// Waits until all hosts have the newest configuration.
async fn settle(world: &World, report: &mut Report) {
    for listen in &world.listens {
        report.checks += 1;
        if !world.has_newest(*listen).await {
            report.broken.push(format!("{listen} did not take the newest configuration"));
        }
    }
}
