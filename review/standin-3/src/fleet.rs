//! Starts the hosts of a small deployment as processes on loopback addresses.

use crate::record::Record;
use crate::target::{Reply, Runs, Target, unix_ms};
use crate::http1::Message;
use geraniummux_standin::object_store::ObjectStore;
use serde_json::{Value, json};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::Semaphore;

/// One host and its process.
pub struct Host {
    pub name: String,
    pub listen: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
    pub child: Child,
}

impl Host {
    pub fn pid(&self) -> Option<nix::unistd::Pid> {
        self.child.id().map(|id| nix::unistd::Pid::from_raw(id as i32))
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        if let Some(pid) = self.pid() {
            let _ = nix::sys::signal::kill(pid, signal);
        }
    }

    /// Returns the resident memory in kB.
    pub fn resident_kb(&self, field: &str) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with(field)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

/// The processes and stand-ins of a case.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<ObjectStore>,
    pub store_addr: SocketAddr,
    pub runs: Arc<Runs>,
    pub targets: Vec<Arc<Target>>,
    pub hosts: Vec<Host>,
    pub dir: PathBuf,
    ports: [u16; 5],
    net: u8,
    pub memory_mb: f64,
    pub extra: Value,
}

/// Returns a port that is free on all loopback addresses.
pub fn free_port() -> std::io::Result<u16> {
    Ok(std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?.local_addr()?.port())
}

pub const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];

impl Fleet {
    /// Starts the store.
    pub async fn new(record: Arc<Record>) -> anyhow::Result<Self> {
        let store = Arc::new(ObjectStore::default());
        let net = rand::random_range(10..250);
        let listener = TcpListener::bind((Ipv4Addr::new(127, net, 200, 1), 0)).await?;
        let store_addr = listener.local_addr()?;
        tokio::spawn(store.clone().serve(listener));
        let dir = std::env::temp_dir().join(format!("review-3-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let ports = [free_port()?, free_port()?, free_port()?, free_port()?, free_port()?];
        Ok(Fleet {
            record,
            store,
            store_addr,
            runs: Arc::default(),
            targets: Vec::new(),
            hosts: Vec::new(),
            dir,
            ports,
            net,
            memory_mb: 217.0,
            extra: json!({}),
        })
    }

    /// Starts a target and registers it.
    pub async fn add_target<F, A>(&mut self, service: &str, work_ms: u64, handler: F) -> anyhow::Result<Arc<Target>>
    where
        F: Fn(Arc<Target>, Message, SocketAddr) -> A + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        let i = self.targets.len();
        let ip = Ipv4Addr::new(127, self.net, 100, 1 + i as u8);
        let listener = TcpListener::bind((ip, 0)).await?;
        let target = Arc::new(Target {
            id: format!("i-{:08x}", rand::random::<u32>()),
            addr: listener.local_addr()?,
            zone: ZONES[i % 3].into(),
            service: service.into(),
            slots: 6,
            born: AtomicU64::new(unix_ms()),
            runs: self.runs.clone(),
            record: self.record.clone(),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            work_ms: AtomicU64::new(work_ms),
            leaving: AtomicBool::new(false),
            room: Semaphore::new(6),
            handler: Box::new(move |t, req, peer| Box::pin(handler(t, req, peer))),
            store: self.store.clone(),
            crashes: tokio::sync::watch::channel(0).0,
            down_for: Duration::from_secs(3),
        });
        tokio::spawn(target.clone().serve(listener));
        self.register(&target);
        self.record.line(format!("target {} at {} serves {service}", target.id, target.addr));
        self.targets.push(target.clone());
        Ok(target)
    }

    /// Writes a target's registration.
    pub fn register(&self, target: &Target) {
        self.store.put("servers", &target.id, target.registration());
    }

    /// Writes a configuration without tenants.
    pub fn configure(&self, version: u64, routes: Value, services: &[&str]) {
        self.configure_with(version, routes, services, None);
    }

    /// Writes the configuration.
    pub fn configure_with(&self, version: u64, routes: Value, services: &[&str], tenants: Option<Value>) {
        let services: Vec<Value> = services
            .iter()
            .map(|s| json!({"name": s, "health-path": "/health", "max-conns": 283, "protocol": "h1", "tls": false}))
            .collect();
        let mut spec = json!({"version": format!("{version:08x}"), "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67_108_864, "header-timeout-s": 3,
                "idle-timeout-s": 15}});
        if let (Some(tenants), Some(spec)) = (tenants, spec.as_object_mut()) {
            spec.insert("tenants".into(), tenants);
        }
        self.store.put("config", "main", spec);
        self.record.line(format!("operator writes config {version:08x}"));
    }

    fn ip(&self, i: usize) -> IpAddr {
        Ipv4Addr::new(127, self.net, 1 + (i % 3) as u8, 1 + (i / 3) as u8).into()
    }

    /// Writes the settings of a host as the template of the deploy file does.
    fn write_settings(&self, i: usize, name: &str, store: SocketAddr) -> anyhow::Result<PathBuf> {
        let ip = self.ip(i);
        let [front, ready, directory, peer, metrics] = self.ports;
        let seeds: Vec<String> = (0..3).map(|s| format!("{}:8146", self.ip(s))).collect();
        let mut settings = json!({
            "host": name, "failure_domain": ZONES[i % 3], "cores": 0.17, "memory_mb": self.memory_mb,
            "link_mbps": 830.0, "listen": format!("{ip}:{front}"), "readiness": format!("{ip}:{ready}"),
            "directory": format!("{ip}:{directory}"), "peer": format!("{ip}:{peer}"), "metrics": format!("{ip}:{metrics}"), "seeds": seeds,
            "peer_key": "geraniummux messages between hosts", "store": store.to_string(),
            "promises": {"repeat_ratio": 0.2, "repeat_slack": 75, "repeat_window_s": 10, "drain_s": 2,
                "grace_s": 6, "max_ttl_s": 5, "probes_per_s": 60, "heartbeat_s": 1.5, "lapse_s": 2.0}});
        if let (Some(settings), Some(extra)) = (settings.as_object_mut(), self.extra.as_object()) {
            settings.extend(extra.clone());
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Starts a host with the command of the deploy file. `store` is the address at which it reaches the store.
    pub fn start_host(&mut self, store: SocketAddr) -> anyhow::Result<usize> {
        let i = self.hosts.len();
        let name = format!("front-{}-{}", ZONES[i % 3], 1 + i / 3);
        let settings = self.write_settings(i, &name, store)?;
        let child = self.spawn(&name, &settings)?;
        let ip = self.ip(i);
        let [front, ready, directory, _, metrics] = self.ports;
        self.hosts.push(Host {
            name,
            listen: SocketAddr::new(ip, front),
            readiness: SocketAddr::new(ip, ready),
            directory: SocketAddr::new(ip, directory),
            metrics: SocketAddr::new(ip, metrics),
            settings,
            child,
        });
        Ok(i)
    }

    fn spawn(&self, name: &str, settings: &Path) -> anyhow::Result<Child> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/geraniummux-host");
        command.env_clear().env("GERANIUMMUX_CONFIG", settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        let child = command.spawn()?;
        self.record.line(format!("host {name} starts as process {}", child.id().unwrap_or(0)));
        Ok(child)
    }

    /// Starts a host again, as the platform does after its process has ended.
    pub async fn restart_host(&mut self, i: usize) -> anyhow::Result<()> {
        let _ = self.hosts[i].child.wait().await;
        let child = self.spawn(&self.hosts[i].name, &self.hosts[i].settings)?;
        self.hosts[i].child = child;
        Ok(())
    }

    /// Waits until all hosts say that they are ready.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        let end = tokio::time::Instant::now() + Duration::from_secs(20);
        for host in &self.hosts {
            loop {
                let req = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                let rsp = crate::caller::send(host.readiness, req, Duration::from_secs(1)).await;
                if rsp.is_ok_and(|r| r.is_some_and(|r| r.status == 200)) {
                    break;
                }
                anyhow::ensure!(tokio::time::Instant::now() < end, "{} is not ready", host.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.record.line("all hosts are ready");
        Ok(())
    }

    /// Ends all processes and removes the temporary folder, unless KEEP is set.
    pub async fn stop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.child.kill().await;
        }
        if std::env::var_os("KEEP").is_some() {
            println!("logs in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
