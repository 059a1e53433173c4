//! Processes of the project's program, started with the command of the deploy file and settings like those that its
//! template yields for a small deployment.

use serde_json::json;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Host {
    pub ip: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The ports of each host, the same on all of them.
#[derive(Clone, Copy, Debug)]
pub struct Ports(pub u16);

impl Host {
    /// Writes the settings of host `i` of the hosts at `ips`.
    pub fn new(
        dir: &Path,
        ips: &[String],
        i: usize,
        zone: &str,
        ports: Ports,
        store: SocketAddr,
        more: &[(&str, f64)],
    ) -> io::Result<Self> {
        let ip = &ips[i];
        let at = |n: u16| format!("{ip}:{}", ports.0 + n);
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("{ip}:{}", ports.0 + 3)).collect();
        let mut settings = json!({
            "host": format!("front-{zone}-{i}"), "failure_domain": zone,
            "cores": 0.17, "memory_mb": 217, "link_mbps": 830.0,
            "listen": at(0), "readiness": at(1), "directory": at(2), "peer": at(3), "metrics": at(4),
            "seeds": seeds, "peer_key": "geraniummux messages between hosts", "store": store.to_string(),
            "promises": {
                "repeat_ratio": 0.2, "repeat_slack": 75, "repeat_window_s": 10, "drain_s": 2, "grace_s": 6,
                "max_ttl_s": 5, "probes_per_s": 60, "heartbeat_s": 1.5, "lapse_s": 2.0
            }
        });
        for (name, value) in more {
            settings["promises"][*name] = json!(value);
        }
        let path = dir.join(format!("host-{i}.json"));
        fs::write(&path, settings.to_string())?;
        let log = dir.join(format!("host-{i}.log"));
        Ok(Host { ip: ip.clone(), ports, settings: path, log, child: None })
    }

    pub fn front(&self) -> SocketAddr {
        self.at(0)
    }

    fn at(&self, n: u16) -> SocketAddr {
        SocketAddr::new(self.ip.parse().unwrap(), self.ports.0 + n)
    }

    /// Starts the process, in the repository's root.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/geraniummux-host")
            .env_clear()
            .env("GERANIUMMUX_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the list of servers that the process uses is the one that it read from the store itself.
    pub fn read_own_links(&self) -> bool {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().rfind(|l| l.contains("targets_changed")).is_some_and(|l| l.contains("from=store"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: kill has no preconditions; the child has not been waited for, so that its id is its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            self.child = None;
        }
        !ended
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process says that it is ready.
    pub async fn is_ready(&self) -> bool {
        Host::is_ready_at(self.ready_addr()).await
    }

    /// Where the process says whether it is ready.
    pub fn ready_addr(&self) -> SocketAddr {
        self.at(1)
    }

    /// Whether the process with this address says that it is ready.
    pub async fn is_ready_at(addr: SocketAddr) -> bool {
        let answer = crate::client::get(addr, "/ready", Duration::from_secs(1)).await;
        answer.is_ok_and(|m| m.status() == 200)
    }

    /// Waits until the process is ready; false after `limit`.
    pub async fn until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready().await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
