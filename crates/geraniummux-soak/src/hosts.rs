//! The processes under test.

use anyhow::{Context, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of each host; the hosts differ by their loopback addresses.
const LISTEN: u16 = 7_001;
const READINESS: u16 = 7_002;
const DIRECTORY: u16 = 7_003;
const PEER: u16 = 7_004;
/// Time from SIGTERM to SIGKILL that the hosts are told, in seconds.
pub const GRACE_S: u64 = 6;

/// One entry host.
#[derive(Debug)]
pub struct HostProcess {
    /// Its loopback address.
    pub ip: IpAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether its end was caused by the soak.
    expected_end: bool,
}

impl HostProcess {
    /// Prepares the host with number `i` of the run in `net`, which tells runs apart.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be written.
    pub fn new(
        dir: &Path,
        program: &Path,
        net: (u8, u8),
        i: u8,
        store: SocketAddr,
    ) -> anyhow::Result<Self> {
        let ip = |i: u8| IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, i + 1));
        let at = |port: u16| SocketAddr::new(ip(i), port).to_string();
        let seeds: Vec<String> = (0..3).map(|i| SocketAddr::new(ip(i), PEER).to_string()).collect();
        let zone = ["zone-a", "zone-b"][usize::from(i % 2)];
        let settings = json!({
            "host": format!("host-{i}"), "failure_domain": zone, "listen": at(LISTEN),
            "readiness": at(READINESS), "directory": at(DIRECTORY), "peer": at(PEER),
            "seeds": seeds, "peer_key": "soak of the real processes", "store": store.to_string(),
            "promises": {"grace_s": GRACE_S, "repeat_ratio": 0.2, "repeat_slack": 75.0,
                "probes_per_s": 60.0}});
        let path = dir.join(format!("host-{i}.json"));
        fs::write(&path, settings.to_string()).context("writing settings")?;
        Ok(HostProcess {
            ip: ip(i),
            program: program.to_owned(),
            settings: path,
            log: dir.join(format!("host-{i}.log")),
            child: None,
            expected_end: false,
        })
    }

    /// Returns the address for requests.
    pub fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.ip, LISTEN)
    }

    /// Returns the address of the directory.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
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
        self.expected_end = false;
        Ok(())
    }

    /// Sends a signal. One that ends the process makes its end expected.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        let Some(child) = &self.child else { bail!("not running") };
        self.expected_end |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Returns whether the process runs, and how it ended if it did so by itself.
    pub fn poll(&mut self) -> (bool, Option<String>) {
        let Some(child) = &mut self.child else { return (false, None) };
        match child.try_wait() {
            Ok(None) => (true, None),
            Ok(Some(status)) => {
                self.child = None;
                let unexpected = !self.expected_end;
                (false, unexpected.then(|| format!("{} ended by itself: {status}", self.ip)))
            }
            Err(e) => (false, Some(format!("{}: {e}", self.ip))),
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended meanwhile; waiting reaps it in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
