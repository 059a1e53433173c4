//! Test harness: runs daemons as real processes and stand-ins inside the test process, and applies
//! tables through the admin API. Begin with [`Fleet`].

// Each test binary uses only a part of the harness.
#![allow(dead_code)]

pub mod raw;

use bytes::Bytes;
use geraniummux_standin::caller::{self, BufferedResponse};
use geraniummux_standin::platform::{self, Faults};
use geraniummux_standin::target::{self, Behaviour, RunRecord};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Ends a test that hangs. No test result depends on the value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns an unused loopback address. Each test process uses its own IP address, because a port
/// that was free when checked may be taken before it is bound.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid >> 16 & 63) as u8, (pid >> 8) as u8, pid as u8);
    SocketAddr::new(IpAddr::V4(ip), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns a listener on an unused address.
pub async fn free_listener() -> TcpListener {
    loop {
        // Binding can fail, since a process that another test starts at this moment inherits open
        // listeners until it executes its own program.
        if let Ok(listener) = TcpListener::bind(free_addr()).await {
            return listener;
        }
    }
}

/// Calls `check` every 10 ms until it returns a value, and returns the value.
///
/// # Panics
///
/// Panics with a message that contains `what` if that takes longer than [`TEST_TIMEOUT`].
pub async fn eventually<T, C, F>(what: &str, mut check: C) -> T
where
    C: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{what} did not happen within {TEST_TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a signal to a process that the test started.
pub fn signal(pid: u32, signal: libc::c_int) {
    // SAFETY: kill takes no pointers. The process id is that of a child that has not been waited
    // for, so no other process can have it.
    let rc = unsafe { libc::kill(pid as libc::pid_t, signal) };
    assert_eq!(rc, 0, "kill {pid}: {}", std::io::Error::last_os_error());
}

/// Temporary directory. Removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("geraniummuxd-{}-{n}", std::process::id()));
        fs::create_dir_all(&dir).expect("create a directory for settings and logs");
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A directory that remains does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Platform stand-in, run inside the test process.
pub struct Platform {
    /// Address on which it listens.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts a platform that has no objects.
    pub async fn start() -> Self {
        let listener = free_listener().await;
        let addr = listener.local_addr().expect("address of a bound listener");
        Platform { addr, task: tokio::spawn(platform::run(listener)) }
    }

    /// Replaces the faults that the platform simulates.
    pub async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("faults as JSON");
        call(self.addr, Method::POST, "/faults", &[], body).await;
    }

    /// Returns the number of calls that the platform received, by method and kind of object.
    pub async fn stats(&self) -> Value {
        let response = call(self.addr, Method::GET, "/stats", &[], "").await;
        serde_json::from_slice(&response.body).expect("stats as JSON")
    }

    /// Returns all objects of a kind as `(name, value)`.
    pub async fn objects(&self, kind: &str) -> Vec<(String, Value)> {
        let response = call(self.addr, Method::GET, &format!("/v1/objects/{kind}"), &[], "").await;
        let rows: Vec<Value> = serde_json::from_slice(&response.body).expect("list as JSON");
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        rows.iter()
            .map(|r| (text(&r["name"]), serde_json::from_str(&text(&r["value"])).expect("value")))
            .collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Target stand-in, run inside the test process.
pub struct Target {
    /// Name in the pools table.
    pub name: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Target {
    /// Starts a target.
    pub async fn start(name: &str, behaviour: Behaviour) -> Self {
        let listener = free_listener().await;
        let addr = listener.local_addr().expect("address of a bound listener");
        let task = tokio::spawn(target::run(listener, name.to_owned(), behaviour));
        Target { name: name.to_owned(), addr, task }
    }

    /// Replaces the behaviour of the target.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) {
        let body = serde_json::to_vec(behaviour).expect("behaviour as JSON");
        call(self.addr, Method::POST, "/control", &[], body).await;
    }

    /// Returns the target's record of executed requests and probes.
    pub async fn record(&self) -> RunRecord {
        let response = call(self.addr, Method::GET, "/control", &[], "").await;
        serde_json::from_slice(&response.body).expect("record as JSON")
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A `geraniummuxd` process. Killed when dropped.
pub struct Daemon {
    /// Name of the entry host.
    pub name: String,
    /// Address for requests of callers.
    pub listen: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Address for messages of other entry hosts.
    pub peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings file and starts the process.
    pub fn start(dir: &Path, settings: &Value) -> Self {
        let addr = |field: &str| -> SocketAddr {
            settings[field].as_str().and_then(|v| v.parse().ok()).expect("address in settings")
        };
        let name = settings["host"].as_str().expect("host in settings").to_owned();
        let file = dir.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("write the settings file");
        let mut daemon = Daemon {
            listen: addr("listen"),
            admin: addr("admin"),
            peer: addr("peer"),
            log: dir.join(format!("{name}.log")),
            settings: file,
            name,
            child: None,
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process. Used again to restart it after it has ended.
    pub fn spawn(&mut self) {
        assert!(self.child.is_none(), "{} still runs", self.name);
        let log = File::options().create(true).append(true).open(&self.log).expect("open the log");
        let child = Command::new(env!("CARGO_BIN_EXE_geraniummuxd"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start geraniummuxd");
        self.child = Some(child);
    }

    /// Returns the id of the running process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("a running process").id()
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        signal(self.pid(), libc::SIGSTOP);
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self) {
        signal(self.pid(), libc::SIGCONT);
    }

    /// Asks the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        signal(self.pid(), libc::SIGTERM);
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill geraniummuxd");
            child.wait().expect("wait for geraniummuxd");
        }
    }

    /// Waits until the process ends, and returns its exit status.
    pub async fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("a running process");
        eventually("the end of geraniummuxd", || {
            let status = child.try_wait().expect("wait for geraniummuxd");
            async move { status }
        })
        .await
    }

    /// Returns everything that the process logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the status report, or `None` if the admin API doesn't respond.
    pub async fn status(&self) -> Option<Value> {
        let response = caller::send(self.admin, Method::GET, "/v1/status", &[], Bytes::new()).await;
        serde_json::from_slice(&response.ok()?.body).ok()
    }

    /// Waits until the host serves requests. A host that starts first gets the state of its peers.
    pub async fn await_serving(&self) {
        eventually("readiness", || async {
            (self.status().await?["serving"] == "yes").then_some(())
        })
        .await;
    }

    /// Waits until the configuration generation in force is at least `generation`.
    pub async fn await_generation(&self, generation: u64) {
        eventually("adoption of the configuration", || async {
            let status = self.status().await?;
            (status["generation"].as_u64()? >= generation).then_some(())
        })
        .await;
    }

    /// Replaces a table, based on its current revision, and returns the new generation.
    pub async fn apply(&self, kind: &str, rows: &Value) -> u64 {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let current = call(self.admin, Method::GET, &format!("/v1/tables/{kind}"), &[], "").await;
        let current: Value = serde_json::from_slice(&current.body).expect("table as JSON");
        let base = current["revision"].as_u64().expect("revision");
        let path = format!("/v1/tables/{kind}?base={base}&writer=test&write_id=test-{n}");
        let body = json!({ kind: rows }).to_string();
        let response = call(self.admin, Method::POST, &path, &[], body).await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, StatusCode::OK, "apply {kind}: {text}");
        let response: Value = serde_json::from_str(&text).expect("response as JSON");
        response["generation"].as_u64().expect("generation")
    }

    /// Sends a request as a caller. Returns the response or the transfer error.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<BufferedResponse> {
        caller::send(self.listen, method, path, headers, Bytes::from(body.to_owned())).await
    }

    /// Sends a GET request as a caller, without headers.
    pub async fn get(&self, path: &str) -> anyhow::Result<BufferedResponse> {
        self.send(Method::GET, path, &[], "").await
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            eprintln!("log of {}:\n{}", self.name, self.log());
        }
    }
}

/// A platform and entry hosts that are peers of each other. Fields are dropped in this order.
pub struct Fleet {
    /// The entry hosts.
    pub hosts: Vec<Daemon>,
    /// The platform.
    pub platform: Platform,
    /// Directory of the settings files and logs.
    pub dir: TempDir,
}

impl Fleet {
    /// Starts a platform and `n` entry hosts, and waits until each reports its status.
    pub async fn start(n: usize) -> Self {
        Self::with_settings(n, |_, _| {}).await
    }

    /// Like [`Fleet::start`], but calls `edit` to change the settings of each host.
    pub async fn with_settings<E>(n: usize, edit: E) -> Self
    where
        E: Fn(usize, &mut Value),
    {
        let platform = Platform::start().await;
        let dir = TempDir::new();
        let peers: Vec<SocketAddr> = (0..n).map(|_| free_addr()).collect();
        let mut hosts = Vec::new();
        for (i, peer) in peers.iter().enumerate() {
            let mut settings = json!({
                "host": format!("entry-{}", i + 1),
                "failure_domain": (["a", "b", "c"])[i % 3],
                "region": "north",
                "listen": free_addr(),
                "admin": free_addr(),
                "peer": peer,
                "peers": peers,
                "peer_key": "key-of-the-test-fleet",
                "platform": platform.addr,
                "log_level": "debug",
            });
            edit(i, &mut settings);
            hosts.push(Daemon::start(&dir.0, &settings));
        }
        let fleet = Fleet { hosts, platform, dir };
        for host in &fleet.hosts {
            eventually("the first status response", || host.status()).await;
        }
        fleet
    }

    /// Applies both tables through the first host, and waits until every host has them in force and
    /// serves requests.
    pub async fn apply(&self, pools: &Value, routes: &Value) {
        self.hosts[0].apply("pools", pools).await;
        let generation = self.hosts[0].apply("routes", routes).await;
        for host in &self.hosts {
            host.await_generation(generation).await;
            host.await_serving().await;
        }
    }
}

/// Returns the rows of a pools table with one pool, `main`, of these targets.
pub fn pools(targets: &[(&str, SocketAddr)]) -> Value {
    let targets: Vec<Value> = targets
        .iter()
        .map(|(name, addr)| json!({ "name": name, "addr": addr, "failure_domain": "a" }))
        .collect();
    json!([{ "name": "main", "probe_budget_per_s": 0.0, "targets": targets }])
}

/// Returns the rows of a routes table with one route, from `/` of tenant `t` and class `c` to the
/// pool `main`. `extra` adds or replaces fields.
pub fn routes(extra: Value) -> Value {
    let mut route = json!({
        "name": "all", "path": "/", "tenant": "t", "class": "c", "pool": "main",
        "timeout_ms": 10_000,
    });
    if let Value::Object(extra) = extra {
        for (field, value) in extra {
            route[field] = value;
        }
    }
    json!([route])
}

/// Sends a request and returns its response.
///
/// # Panics
///
/// Panics if no complete response arrives. The response may have any status.
pub async fn call<B>(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: B,
) -> BufferedResponse
where
    B: Into<Bytes>,
{
    let response = caller::send(addr, method, path, headers, body.into()).await;
    response.unwrap_or_else(|e| panic!("call {addr}{path}: {e:#}"))
}
