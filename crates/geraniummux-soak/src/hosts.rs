//! Entry host processes: their settings, start, signals and exit.

use crate::teams;
use anyhow::{Context, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of each host, which are the same on all hosts; each host has its own loopback address.
const REQUEST_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const DIRECTORY_PORT: u16 = 7_003;
const PEER_PORT: u16 = 7_004;
/// Most hosts that the settings of all hosts name as seeds, the first ones.
pub const SEEDS: u8 = 3;
/// Grace period between SIGTERM and SIGKILL in the settings of the hosts, in seconds.
pub const GRACE_S: u64 = 6;

/// An entry host process.
#[derive(Debug)]
pub struct HostProcess {
    /// Loopback address of the host.
    pub ip: IpAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of processes started so far.
    starts: u32,
    /// Whether the soak test sent a signal that ends the process.
    exit_expected: bool,
}

impl HostProcess {
    /// Writes the settings of host number `i` of `hosts`. The bytes in `net` are the middle two of its loopback address,
    /// so that concurrent runs with different seeds use different addresses. With `teams`, the settings have the limits of allowances
    /// and evacuations.
    ///
    /// # Errors
    ///
    /// Fails if the settings file can't be written.
    pub fn new(
        dir: &Path,
        program: &Path,
        net: (u8, u8),
        (i, hosts): (u8, u8),
        store: SocketAddr,
        teams: bool,
    ) -> anyhow::Result<Self> {
        let ip = |i: u8| IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, i + 1));
        let at = |port: u16| SocketAddr::new(ip(i), port).to_string();
        let seeds: Vec<String> =
            (0..SEEDS.min(hosts)).map(|i| SocketAddr::new(ip(i), PEER_PORT).to_string()).collect();
        let zone = ["zone-a", "zone-b"][usize::from(i % 2)];
        let mut settings = json!({
            "host": format!("host-{i}"), "failure_domain": zone, "listen": at(REQUEST_PORT),
            "readiness": at(READINESS_PORT), "directory": at(DIRECTORY_PORT), "peer": at(PEER_PORT),
            "seeds": seeds, "peer_key": "soak of the real processes", "store": store.to_string(),
            "promises": {"grace_s": GRACE_S, "repeat_ratio": 0.2, "repeat_slack": 75.0,
                "probes_per_s": 60.0}});
        if teams {
            let promises = &mut settings["promises"];
            promises["allowance_window_s"] = teams::WINDOW.as_secs_f64().into();
            promises["allowance_overage"] = teams::OVERAGE.into();
            promises["allowance_slack"] = teams::SLACK.into();
            promises["evacuate_s"] = teams::EVACUATION_LIMIT.as_secs_f64().into();
        }
        let path = dir.join(format!("host-{i}.json"));
        fs::write(&path, settings.to_string()).context("writing the settings file of a host")?;
        Ok(HostProcess {
            ip: ip(i),
            program: program.to_owned(),
            settings: path,
            log: dir.join(format!("host-{i}.log")),
            child: None,
            starts: 0,
            exit_expected: false,
        })
    }

    /// Returns the address on which the host accepts requests.
    pub fn request_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, REQUEST_PORT)
    }

    /// Returns the address on which the host serves the directory of entry hosts.
    pub fn directory_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Starts the process; its output is appended to the host's log file.
    ///
    /// # Errors
    ///
    /// Fails if the log file can't be opened or the program can't be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()
            .with_context(|| format!("starting {}; is it built?", self.program.display()))?;
        self.child = Some(child);
        self.starts += 1;
        self.exit_expected = false;
        Ok(())
    }

    /// Returns the number of processes started so far.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Sends a signal to the process. After SIGTERM or SIGKILL its exit is expected.
    ///
    /// # Errors
    ///
    /// Fails if the process is not running.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        let Some(child) = &self.child else { bail!("host process is not running") };
        self.exit_expected |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Returns whether the process is running, and a description of its exit if that was unexpected.
    pub fn poll(&mut self) -> (bool, Option<String>) {
        let Some(child) = &mut self.child else { return (false, None) };
        match child.try_wait() {
            Ok(None) => (true, None),
            Ok(Some(status)) => {
                self.child = None;
                let unexpected = !self.exit_expected;
                (
                    false,
                    unexpected.then(|| format!("host {} exited unexpectedly: {status}", self.ip)),
                )
            }
            Err(e) => (false, Some(format!("can't get the exit status of host {}: {e}", self.ip))),
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already; `wait` reaps it in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
