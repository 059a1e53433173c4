//! The project's program, started as the deploy file says, with settings from its template.

use crate::record::Record;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of a host; the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub listen: u16,
    pub readiness: u16,
    pub directory: u16,
    pub peer: u16,
}

/// Program and name of its settings variable, from the deploy file.
pub struct Deploy {
    pub root: PathBuf,
    pub program: String,
}

impl Deploy {
    /// Reads what the role `host` runs.
    pub fn read(root: &Path) -> Self {
        let text = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let run = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("what the role runs");
        Deploy { root: root.into(), program: run.trim_matches('"').into() }
    }
}

pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    /// File with the ids of all processes that were started.
    pids: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host {
    /// Prepares host number `n` of a fleet, whose settings name the first three hosts as seeds.
    pub fn new(
        n: u8,
        ports: Ports,
        hosts: u8,
        store: SocketAddr,
        dir: &Path,
        grace_s: u32,
        record: &Record,
    ) -> Self {
        let ip = address(n);
        let name = format!("front-{n}");
        let seeds: Vec<String> =
            (1..=hosts.min(3)).map(|i| format!("\"{}:{}\"", address(i), ports.peer + 1)).collect();
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from((n - 1) % 3)];
        let settings = format!(
            r#"{{
  "host": "{name}", "failure_domain": "{zone}", "cores": 0.17, "memory_mb": 217,
  "listen": "{ip}:{}", "readiness": "{ip}:{}", "directory": "{ip}:{}", "peer": "{ip}:{}",
  "seeds": [{}],
  "peer_key": "geraniummux messages between hosts",
  "store": "{store}",
  "promises": {{
    "repeat_ratio": 0.2, "repeat_slack": 75, "repeat_window_s": 10, "drain_s": 2, "grace_s": {grace_s},
    "max_ttl_s": 5, "probes_per_s": 60, "heartbeat_s": 1.5, "lapse_s": 2.0
  }}
}}
"#,
            ports.listen,
            ports.readiness,
            ports.directory,
            ports.peer,
            seeds.join(", ")
        );
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings file");
        let log = dir.join(format!("{name}.log"));
        let pids = dir.join("pids");
        Host { name, ip, ports, settings: path, log, pids, child: None, record: record.clone() }
    }

    /// Replaces the seeds in the settings by addresses at which there is nobody any more.
    pub fn set_gone_seeds(&self) {
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        let gone: Vec<String> =
            (11..=13).map(|i| format!("\"{}:{}\"", address(i), self.ports.peer + 1)).collect();
        let lines = text.lines().map(|l| match l.contains("\"seeds\"") {
            true => format!("  \"seeds\": [{}],", gone.join(", ")),
            false => l.to_string(),
        });
        let text = lines.collect::<Vec<_>>().join("\n");
        fs::write(&self.settings, text).expect("the settings file");
        self.record.line(&format!("{}: its seeds {} are gone", self.name, gone.join(", ")));
    }

    pub fn start(&mut self, deploy: &Deploy) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log file");
        let err = log.try_clone().expect("the log file");
        let child = Command::new(deploy.root.join(&deploy.program))
            .current_dir(&deploy.root)
            .env("GERANIUMMUX_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn()
            .expect("the program of the deploy file");
        let pids = File::options().create(true).append(true).open(&self.pids);
        let _ = pids.and_then(|mut f| writeln!(f, "{}", child.id()));
        self.record.line(&format!("{}: started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{}: killed", self.name));
        }
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
            self.record.line(&format!("{}: SIGTERM", self.name));
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.listen)
    }

    /// Asks the host which hosts there are. Returns the answer.
    pub fn resolve(&self) -> String {
        let addr = SocketAddr::new(self.ip, self.ports.directory);
        let request =
            b"GET /resolve?name=ledger.example HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        match crate::http::call(addr, request, std::time::Duration::from_secs(1)) {
            crate::http::Ended::Answered(m) => String::from_utf8_lossy(&m.body).into_owned(),
            other => other.describe(),
        }
    }

    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(self.ip, self.ports.readiness);
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        crate::http::call(addr, request, std::time::Duration::from_secs(1)).status() == 200
    }

    /// Returns the lines of the host's log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|l| l.contains(text)).map(String::from).collect()
    }
}

/// Returns the loopback address of host number `n`. Hosts have the same ports, so that each needs an address of its
/// own; runs at the same time use different ones.
fn address(n: u8) -> IpAddr {
    let run = std::process::id();
    IpAddr::from([127, 100 + (run % 100) as u8, 1 + (run / 100 % 250) as u8, n])
}

/// Returns ports that are free on the addresses of `hosts` hosts.
pub fn free_ports(hosts: u8) -> Ports {
    let mut first = 20_000 + (std::process::id() % 20_000) as u16;
    loop {
        let is_free =
            |port: u16| (1..=hosts).all(|n| TcpListener::bind((address(n), port)).is_ok());
        if (first..first + 5).all(is_free) {
            return Ports {
                listen: first,
                readiness: first + 1,
                directory: first + 2,
                peer: first + 3,
            };
        }
        first = if first > 50_000 { 20_000 } else { first + 7 };
    }
}
