//! Sets up and drives one run: host processes, the stand-ins of their platform, faults and callers.

use crate::callers::{self, RequestRecord};
use crate::faults;
use crate::hosts::HostProcess;
use crate::report::{Report, TargetCounts};
use crate::teams::{self, TeamChecks, Teams};
use anyhow::Context;
use geraniummux_standin::link::Link;
use geraniummux_standin::object_store::ObjectStore;
use geraniummux_standin::registered_target::{LateRun, RegisteredTarget, RunCounts};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
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

/// Failure domains of the hosts and targets, which are assigned in turn.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Service time of a target without a fault, in milliseconds.
pub const SERVICE_TIME_MS: u64 = 30;
/// Time after which a target gets no more requests once the store shows it as leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Time without a disruption that hosts need before guarantees with a time limit apply to them.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time without requests after which the targets count as done.
const IDLE_TIME: Duration = Duration::from_secs(1);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Polls for the newest configuration before its absence on a host counts as a violation.
const CONFIG_POLLS: u32 = 300;
/// Pause between polls for the newest configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limits of the routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Time after which a request has failed.
    pub timeout: Duration,
    /// Time in which a request should be answered.
    pub latency_target: Duration,
}

impl RouteTimes {
    /// Time limits of routes whose requests are short.
    pub const SHORT: RouteTimes =
        RouteTimes { timeout: Duration::from_secs(1), latency_target: Duration::from_millis(300) };
    /// Time limits of routes whose requests outlast the restart of a host.
    pub const LONG: RouteTimes =
        RouteTimes { timeout: Duration::from_secs(8), latency_target: Duration::from_secs(4) };
}

/// Deadline of such a poll, as a share of the timeout of its route.
const POLL_DEADLINE_SHARE: f64 = 0.8;
/// Time after its deadline for which the response to a poll is awaited.
const POLL_MARGIN: Duration = Duration::from_millis(200);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed from which faults and requests are drawn.
    pub seed: u64,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Number of entry hosts.
    pub hosts: u8,
    /// Number of targets.
    pub targets: usize,
    /// Number of callers.
    pub callers: u64,
    /// Whether to check guarantees that set a time limit; they need a machine that is not overloaded.
    pub timed: bool,
    /// Whether targets make demands in their responses: limits, pauses, that they leave.
    pub demands: bool,
    /// Whether targets refuse requests, copy refusals late and start again under other ids.
    pub refusals: bool,
    /// Whether the store is restored from copies.
    pub restores: bool,
    /// Whether one host is restarted in series while another one is frozen.
    pub restarts: bool,
    /// Whether all hosts are killed, again and again, and those that the settings name as seeds return later than the
    /// others.
    pub seed_losses: bool,
    /// What is checked of teams, evacuations, cold targets and pipelining; `None` for a run without them. A store
    /// that comes back from a copy loses evacuations, so that there are none beside `restores`.
    pub teams: Option<TeamChecks>,
    /// Time limits of all routes.
    pub route_times: RouteTimes,
    /// Entry host program to test.
    pub program: PathBuf,
    /// Program of every second host, for a fleet of two builds; `program` if absent.
    pub other_program: Option<PathBuf>,
    /// Directory for the settings and logs of the hosts.
    pub dir: PathBuf,
}

/// The host processes, stand-ins and recorded results of a run.
pub struct Harness {
    /// Stand-in of the platform's object store.
    pub store: Arc<ObjectStore>,
    /// Links from the hosts to the store, by host.
    pub store_links: Vec<Arc<Link>>,
    /// Stand-ins of the targets.
    pub targets: Vec<Arc<RegisteredTarget>>,
    /// Links from the hosts to the targets, by target.
    pub target_links: Vec<Arc<Link>>,
    /// Number of runs of each request on all targets.
    pub run_counts: Arc<RunCounts>,
    /// Addresses on which the hosts serve the directory of entry hosts.
    pub directory_addrs: Vec<SocketAddr>,
    /// Teams of the callers, if there are any.
    pub teams: Option<Teams>,
    request_addrs: Vec<SocketAddr>,
    hosts: Vec<Mutex<HostProcess>>,
    /// Requests that the callers have finished.
    finished: Mutex<Vec<RequestRecord>>,
    /// Unexpected exits and failed starts.
    process_failures: Mutex<Vec<String>>,
    active_disruptions: AtomicUsize,
    /// Start and end of each disruption; no end while it lasts.
    disruption_spans: Mutex<Vec<(Instant, Option<Instant>)>>,
    /// Whether each host is being stopped gracefully.
    stopping: Vec<AtomicBool>,
    /// Version of the configuration that was published last.
    version: AtomicU64,
    /// Whether callers are to stop.
    over: AtomicBool,
    timed: bool,
    route_times: RouteTimes,
    started: Instant,
}

/// Marks a disruption as active until it is dropped.
pub struct Disruption<'a> {
    harness: &'a Harness,
    index: usize,
}

impl Drop for Disruption<'_> {
    fn drop(&mut self) {
        self.harness.active_disruptions.fetch_sub(1, Ordering::SeqCst);
        lock(&self.harness.disruption_spans)[self.index].1 = Some(Instant::now());
    }
}

/// Marks a host as being stopped gracefully until it is dropped.
pub struct GracefulStop<'a>(&'a AtomicBool);

impl Drop for GracefulStop<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Harness {
    /// Starts all stand-ins, publishes a configuration, registers all targets and starts the hosts.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be created, an address is in use or the program can't be started.
    pub async fn start(opts: &Options) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&opts.dir)
            .context("creating the directory for settings and logs")?;
        let harness = Harness::build(opts).await?;
        harness.publish_config();
        harness.publish_config();
        for i in 0..harness.targets.len() {
            harness.register(i);
        }
        for host in &harness.hosts {
            lock(host).start()?;
        }
        Ok(harness)
    }

    /// Returns the addresses on which the hosts accept requests.
    pub fn request_addrs(&self) -> &[SocketAddr] {
        &self.request_addrs
    }

    async fn build(opts: &Options) -> anyhow::Result<Self> {
        let store = Arc::new(ObjectStore::default());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_addr = listener.local_addr()?;
        tokio::spawn(store.clone().serve(listener));
        let run_counts = Arc::new(RunCounts::default());
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        for i in 0..opts.targets {
            let target =
                RegisteredTarget::new(&format!("t-{i}"), SERVICE_TIME_MS, run_counts.clone());
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            target_links.push(Link::open("127.0.0.1:0".parse()?, listener.local_addr()?).await?);
            tokio::spawn(target.clone().serve(listener));
            targets.push(target);
        }
        let (mut hosts, mut store_links) = (Vec::new(), Vec::new());
        // Each seed has its own loopback network, so that concurrent runs use different addresses.
        let net = (64 + (opts.seed % 128) as u8, (opts.seed / 128 % 250) as u8);
        for i in 0..opts.hosts {
            let link = Link::open("127.0.0.1:0".parse()?, store_addr).await?;
            let other = opts.other_program.as_ref().filter(|_| i % 2 == 1);
            let program = other.unwrap_or(&opts.program);
            hosts.push(HostProcess::new(
                &opts.dir,
                program,
                net,
                (i, opts.hosts),
                link.addr,
                opts.teams.is_some(),
            )?);
            store_links.push(link);
        }
        Ok(Harness {
            store,
            store_links,
            targets,
            target_links,
            run_counts,
            teams: opts.teams.map(|checks| {
                let evacuations = checks.evacuations && !opts.restores;
                Teams::new(TeamChecks { evacuations, ..checks })
            }),
            directory_addrs: hosts.iter().map(HostProcess::directory_addr).collect(),
            request_addrs: hosts.iter().map(HostProcess::request_addr).collect(),
            stopping: hosts.iter().map(|_| AtomicBool::new(false)).collect(),
            hosts: hosts.into_iter().map(Mutex::new).collect(),
            finished: Mutex::default(),
            process_failures: Mutex::default(),
            active_disruptions: AtomicUsize::new(0),
            disruption_spans: Mutex::default(),
            version: AtomicU64::new(0),
            over: AtomicBool::new(false),
            timed: opts.timed,
            route_times: opts.route_times,
            started: Instant::now(),
        })
    }

    /// Returns whether the run is over and callers are to stop.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Begins a disruption that lasts until the guard is dropped. Disruptions are the faults that suspend
    /// the guarantees about leaving targets and graceful stops.
    pub fn begin_disruption(&self) -> Disruption<'_> {
        self.active_disruptions.fetch_add(1, Ordering::SeqCst);
        let mut spans = lock(&self.disruption_spans);
        spans.push((Instant::now(), None));
        Disruption { harness: self, index: spans.len() - 1 }
    }

    /// Returns whether a late run violates the guarantee that leaving targets get no more requests. The
    /// guarantee doesn't hold if a disruption was active at any time from `RECOVERY_TIME` before the
    /// target began to leave until the run: a host that is paused, cut off or restarted, or whose store is
    /// unavailable, may apply the change too late. Always false in a run without [`Options::timed`].
    pub fn is_violation(&self, late: &LateRun) -> bool {
        self.timed && self.is_undisturbed(late.since, late.run_start)
    }

    /// Returns whether no disruption was active at any time from `RECOVERY_TIME` before `from` until `to`.
    pub fn is_undisturbed(&self, from: Instant, to: Instant) -> bool {
        let spans = lock(&self.disruption_spans);
        !spans
            .iter()
            .any(|(start, end)| *start <= to && end.is_none_or(|end| end + RECOVERY_TIME >= from))
    }

    /// Returns whether guarantees that set a time limit are checked.
    pub fn is_timed(&self) -> bool {
        self.timed
    }

    /// Marks a host as being stopped gracefully until the guard is dropped.
    pub fn begin_graceful_stop(&self, i: usize) -> GracefulStop<'_> {
        self.stopping[i].store(true, Ordering::SeqCst);
        GracefulStop(&self.stopping[i])
    }

    /// Returns whether the host is being stopped gracefully and no disruption is active.
    pub fn only_graceful_stop(&self, request_addr: SocketAddr) -> bool {
        let index = self.request_addrs.iter().position(|addr| *addr == request_addr);
        let stopping = index.is_some_and(|i| self.stopping[i].load(Ordering::SeqCst));
        stopping && self.active_disruptions.load(Ordering::SeqCst) == 0
    }

    /// Records a finished request.
    pub fn record_request(&self, request: RequestRecord) {
        lock(&self.finished).push(request);
    }

    /// Removes and returns all recorded requests.
    pub fn take_requests(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut *lock(&self.finished))
    }

    /// Returns the time limits of all routes.
    pub fn route_times(&self) -> RouteTimes {
        self.route_times
    }

    /// Sets the service time of all targets, in milliseconds.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.targets.iter().for_each(|t| t.set_service_ms(service_ms));
    }

    /// Returns the host that began to schedule the pool last, as far as the logs tell.
    pub fn last_scheduler(&self) -> Option<usize> {
        let began_at = |i: &usize| {
            let log = self.log_of(*i);
            let line = log.lines().rfind(|l| l.contains("event=scheduling_pool"))?;
            line.split_whitespace().next().map(str::to_owned)
        };
        (0..self.hosts.len()).filter(|i| began_at(i).is_some()).max_by_key(began_at)
    }

    /// Returns what a host has logged, over all its processes; empty if it can't be read.
    pub fn log_of(&self, i: usize) -> String {
        std::fs::read_to_string(lock(&self.hosts[i]).log_path()).unwrap_or_default()
    }

    /// Sends a signal to a host process. Returns whether it was running.
    pub fn signal(&self, i: usize, signal: Signal) -> bool {
        lock(&self.hosts[i]).signal(signal).is_ok()
    }

    /// Waits for a host process to exit, and starts it again after a pause.
    pub async fn restart(&self, i: usize, pause: Duration) {
        let starts = lock(&self.hosts[i]).starts();
        let is_same_process = || {
            let mut host = lock(&self.hosts[i]);
            host.starts() == starts && self.is_running(&mut host)
        };
        while is_same_process() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(pause).await;
        let mut host = lock(&self.hosts[i]);
        // Another fault may have restarted the host in the meantime.
        if !self.is_running(&mut host)
            && let Err(e) = host.start()
        {
            self.record_failure(format!("{e:#}"));
        }
    }

    /// Writes the registration of a target into the store.
    pub fn register(&self, i: usize) {
        let target = &self.targets[i];
        let zone = ZONES[i % ZONES.len()];
        let registration =
            target.registration("pool", &self.target_links[i].addr.to_string(), zone);
        self.store.put("servers", &target.id(), registration);
    }

    /// Removes the registration of a target from the store.
    pub fn unregister(&self, id: &str) {
        self.store.delete("servers", id);
    }

    /// Makes a target one that has started again at its address under another id: its connections are reset, and the
    /// entry of the former one stays. Returns the former id.
    pub fn start_again_as(&self, i: usize, id: &str) -> String {
        let former = self.targets[i].id();
        self.targets[i].start_again_as(id);
        self.target_links[i].reset();
        former
    }

    /// Starts a target again at its address under another id, and registers it after `delay`. The entry of the former one
    /// is removed then, unless `keeps_former` is set.
    pub async fn replace(&self, i: usize, id: &str, delay: Duration, keeps_former: bool) {
        let former = self.start_again_as(i, id);
        tokio::time::sleep(delay).await;
        self.register(i);
        if !keeps_former {
            self.unregister(&former);
        }
    }

    /// Registers a target as leaving, and as ready again after `span`.
    pub async fn leave_and_return(&self, i: usize, span: Duration) {
        self.targets[i].set_leaving(true, LEAVING_LIMIT);
        self.register(i);
        tokio::time::sleep(span).await;
        self.targets[i].set_leaving(false, Duration::ZERO);
        self.register(i);
    }

    /// Requests the evacuation of a failure domain in the store, or withdraws it.
    pub fn set_evacuated(&self, zone: usize, evacuated: bool) {
        if evacuated {
            self.store.put("evacuations", ZONES[zone], json!({}));
        }
        for target in self.targets.iter().skip(zone).step_by(ZONES.len()) {
            target.set_evacuated(evacuated, teams::EVACUATION_LIMIT);
        }
        if !evacuated {
            self.store.delete("evacuations", ZONES[zone]);
        }
    }

    /// Publishes the next version of the configuration, with a route that only this version has.
    pub fn publish_config(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
        self.republish_config();
    }

    /// Writes the newest version of the configuration into the store, which may have lost it.
    pub fn republish_config(&self) {
        let version = self.version.load(Ordering::SeqCst);
        let times = self.route_times;
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({"name": name, "host": "soak.example", "path-prefix": prefix, "route-type": kind,
                "timeout-s": times.timeout.as_secs_f64(), "priority": 1, "service": "pool",
                "target-latency-s": times.latency_target.as_secs_f64(), "max-attempts": 2})
        };
        let added = format!("/v{version}/");
        let mut spec = json!({"version": format!("{version:08x}"),
            "routes": [route("read", "/read/", "safe"), route("write", "/write/", "unsafe"),
                route("added", &added, "safe")],
            "services": [{"name": "pool", "health-path": "/health", "max-conns": 200}],
            "limits": {"idle-timeout-s": 15}});
        if let Some(teams) = &self.teams {
            let mut open = route("open", "/open/", "safe");
            open["public"] = true.into();
            spec["routes"].as_array_mut().expect("a list").push(open);
            spec["tenants"] = teams.tenants();
            spec["services"][0]["warmup-per-s"] = teams::WARM_UP_PER_S.into();
        }
        self.store.put("config", "main", spec);
    }

    /// Records hosts that have exited unexpectedly.
    pub fn check_hosts(&self) {
        for host in &self.hosts {
            self.is_running(&mut lock(host));
        }
    }

    /// Returns whether a host process is running, and records its exit if that was unexpected.
    fn is_running(&self, host: &mut HostProcess) -> bool {
        let (is_running, failure) = host.poll();
        failure.into_iter().for_each(|f| self.record_failure(f));
        is_running
    }

    /// Records an unexpected exit or a failed start, and prints it at once, as the run goes on without the host.
    fn record_failure(&self, failure: String) {
        eprintln!("at {:.3} s: {failure}", self.started.elapsed().as_secs_f64());
        lock(&self.process_failures).push(failure);
    }

    /// Returns a description of each unexpected exit and failed start so far.
    pub fn process_failures(&self) -> Vec<String> {
        self.check_hosts();
        lock(&self.process_failures).clone()
    }

    /// Waits until no target has had a request for `IDLE_TIME`, so that none runs later. Returns whether that was
    /// so before the deadlines of all requests.
    pub async fn await_idle_targets(&self) -> bool {
        let end = Instant::now() + self.route_times.timeout + IDLE_TIME.mul_f64(2.0);
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < IDLE_TIME {
            if self.targets.iter().any(|t| !t.is_idle()) {
                idle_since = Instant::now();
            }
            if Instant::now() > end {
                return false;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        true
    }

    /// Adds what the targets observed and what the hosts logged to a report.
    pub fn count(&self, report: &mut Report) {
        let sum = |count: fn(&RegisteredTarget) -> u32| -> usize {
            self.targets.iter().map(|t| count(t) as usize).sum()
        };
        report.targets = TargetCounts {
            refusals: sum(RegisteredTarget::refused_count),
            copies: sum(RegisteredTarget::copy_count),
            same_connection: sum(RegisteredTarget::same_connection_count),
            connections: sum(RegisteredTarget::accepted_count),
        };
        for i in 0..self.hosts.len() {
            report.logs.add(&self.log_of(i));
        }
    }

    /// Waits until a host names all hosts in its directory. Returns whether it did so within `CONFIG_POLLS` polls.
    pub async fn await_whole_directory(&self, directory_addr: SocketAddr) -> bool {
        self.await_directory(directory_addr, &self.request_addrs).await
    }

    /// Waits until a host names these hosts in its directory. Returns whether it did so within `CONFIG_POLLS` polls.
    pub async fn await_directory(&self, directory_addr: SocketAddr, named: &[SocketAddr]) -> bool {
        for _ in 0..CONFIG_POLLS {
            let hosts = get_directory(directory_addr).await.unwrap_or_default();
            if named.iter().all(|addr| hosts.contains(&format!("\"{addr}\""))) {
                return true;
            }
            tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
        }
        false
    }

    /// Waits until a host serves the newest configuration and no longer the one before it. Returns whether
    /// it did so within `CONFIG_POLLS` polls.
    pub async fn await_newest_config(&self, request_addr: SocketAddr) -> bool {
        let version = self.version.load(Ordering::SeqCst);
        let key = self.teams.as_ref().map(|_| teams::STABLE_KEY);
        for _ in 0..CONFIG_POLLS {
            let time_left = self.route_times.timeout.mul_f64(POLL_DEADLINE_SHARE);
            let new = get_status(request_addr, &format!("/v{version}/x"), key, time_left).await;
            let old = format!("/v{}/x", version - 1);
            let old = get_status(request_addr, &old, key, time_left).await;
            if new == Some(StatusCode::OK) && old == Some(StatusCode::NOT_FOUND) {
                return true;
            }
            tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
        }
        false
    }
}

/// Returns the body of the response to a GET request for the directory, if there is one within 1 s.
async fn get_directory(directory_addr: SocketAddr) -> Option<String> {
    let req = Request::get("/resolve?name=soak.example").body(Full::default()).ok()?;
    let mut sender = callers::connect(directory_addr).await.ok()?;
    let response = async {
        let rsp = sender.send_request(req).await.ok()?;
        rsp.into_body().collect().await.ok()
    };
    let body = tokio::time::timeout(Duration::from_secs(1), response).await.ok()??.to_bytes();
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the status of the response to a GET request with the given deadline, if there is one shortly after it.
async fn get_status(
    request_addr: SocketAddr,
    path: &str,
    key: Option<&str>,
    time_left: Duration,
) -> Option<StatusCode> {
    let mut req = Request::get(path)
        .header(header::HOST, "soak.example")
        .header("request-id", format!("look-{:x}", rand::random::<u64>()))
        .header("request-deadline-ms", time_left.as_millis() as u64);
    if let Some(key) = key {
        req = req.header("key", key);
    }
    let req = req.body(Full::default()).ok()?;
    let mut sender = callers::connect(request_addr).await.ok()?;
    let rsp = tokio::time::timeout(time_left + POLL_MARGIN, sender.send_request(req)).await;
    Some(rsp.ok()?.ok()?.status())
}

/// Runs the soak test once: starts everything, injects faults while callers send requests, then waits
/// for the last configuration on all hosts and checks the guarantees.
///
/// # Errors
///
/// Fails if the run can't be set up or one of its tasks panics.
pub async fn run(opts: Options) -> anyhow::Result<Report> {
    let harness = Arc::new(Harness::start(&opts).await?);
    let mut report = Report { seed: opts.seed, ..Report::default() };
    await_config_on_all_hosts(&harness, &mut report).await;
    let callers: Vec<_> = (0..opts.callers)
        .map(|n| tokio::spawn(callers::run(harness.clone(), n, opts.seed)))
        .collect();
    let pipelining = opts.teams.is_some_and(|t| t.pipelining);
    let pipelining =
        pipelining.then(|| tokio::spawn(callers::run_pipelined(harness.clone(), opts.seed)));
    let demands =
        opts.demands.then(|| tokio::spawn(faults::make_demands(harness.clone(), opts.seed)));
    let refusals =
        opts.refusals.then(|| tokio::spawn(faults::refuse_requests(harness.clone(), opts.seed)));
    let restores =
        opts.restores.then(|| tokio::spawn(faults::restore_store(harness.clone(), opts.seed)));
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let mut injected = Vec::new();
    let calm_start = harness.teams.as_ref().map_or(Duration::ZERO, Teams::calm_start);
    let end = tokio::time::Instant::now() + calm_start + opts.fault_duration;
    let team_changes = opts.teams.map(|_| {
        let (harness, seed) = (harness.clone(), opts.seed);
        tokio::spawn(async move {
            let teams = harness.teams.as_ref()?;
            Some(teams::change(&harness, teams, seed, end.into_std()).await)
        })
    });
    if !calm_start.is_zero() {
        tokio::time::sleep(calm_start).await;
    }
    if opts.restarts {
        let restarts = faults::restart_beside_frozen(harness.clone(), opts.seed, end);
        injected.push(tokio::spawn(restarts));
    }
    if opts.seed_losses {
        let losses = faults::lose_seeds(harness.clone(), opts.seed, end);
        injected.push(tokio::spawn(losses));
    }
    while tokio::time::Instant::now() < end {
        let fault = faults::draw(&mut rng, usize::from(opts.hosts), opts.targets);
        report.faults.push(format!("{fault:?}"));
        injected.push(tokio::spawn(faults::inject(harness.clone(), fault)));
        let pause = rng.random_range(50..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        harness.check_hosts();
    }
    for fault in injected {
        fault.await?;
    }
    if let Some(changes) = team_changes {
        report.faults.extend(changes.await?.into_iter().flatten());
    }
    harness.publish_config();
    await_config_on_all_hosts(&harness, &mut report).await;
    await_whole_directories(&harness, &mut report).await;
    harness.over.store(true, Ordering::SeqCst);
    for task in callers.into_iter().chain(pipelining).chain(demands).chain(restores) {
        task.await?;
    }
    if let Some(refusals) = refusals {
        report.faults.append(&mut refusals.await?);
    }
    harness.check_hosts();
    report.checks += 1;
    if !harness.await_idle_targets().await {
        report.violations.push("targets are still at work after the deadlines".to_owned());
    }
    harness.count(&mut report);
    callers::check(&harness, &mut report);
    report.checks += 1;
    report.violations.append(&mut lock(&harness.process_failures));
    Ok(report)
}

/// Checks that each host comes to name all hosts in its directory, so that they all know each other.
async fn await_whole_directories(harness: &Harness, report: &mut Report) {
    for directory_addr in &harness.directory_addrs {
        report.checks += 1;
        if !harness.await_whole_directory(*directory_addr).await {
            report.violations.push(format!("{directory_addr} does not name all hosts"));
        }
    }
}

/// Checks that all hosts come to serve the newest configuration.
async fn await_config_on_all_hosts(harness: &Harness, report: &mut Report) {
    for request_addr in &harness.request_addrs {
        report.checks += 1;
        if !harness.await_newest_config(*request_addr).await {
            report
                .violations
                .push(format!("{request_addr} does not serve the newest configuration"));
        }
    }
}
