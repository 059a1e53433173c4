//! Settings of one entry host, as JSON.

use anyhow::{Context, bail};
use geraniummux_core::config::{MAX_NAME_LEN, is_valid_name};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Minimum length of the key that authenticates messages between entry hosts.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Range of `memory_mb`; a host needs about 16 MB beside the bodies.
const MIN_MEMORY_MB: f64 = 32.0;
const MAX_MEMORY_MB: f64 = 1e6;
/// Memory of a host whose settings don't give it, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Share of a host's memory for bodies. Their buffers can take twice as much while they grow, and the
/// rest is for connections and the host's state.
const BODY_MEMORY_SHARE: f64 = 0.25;
const BYTES_PER_MB: f64 = 1e6;

/// Limits that the platform guarantees to its users, as far as a host's decisions depend on them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Promises {
    /// Extra attempts (retries and hedges) allowed per first attempt, over all hosts.
    pub repeat_ratio: f64,
    /// Extra attempts allowed in each window in addition to the ratio, over all hosts.
    pub repeat_slack: f64,
    /// Length of the window for extra attempts, in seconds.
    pub repeat_window_s: f64,
    /// Time for which a target that leaves may still get requests, in seconds.
    pub drain_s: f64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Longest time for which callers use a host list, in seconds.
    pub max_ttl_s: f64,
    /// Probes that one target may receive per second, over all hosts.
    pub probes_per_s: f64,
    /// Expiry grace: time after an outage of the store in which targets may register again whose
    /// registrations expired during the outage, in seconds.
    pub lapse_s: f64,
    /// Interval at which targets write their registrations, in seconds.
    pub heartbeat_s: f64,
    /// Length of the window in which the allowance of a team holds, in seconds.
    pub allowance_window_s: f64,
    /// Part of a team's allowance by which it may be exceeded in a window.
    pub allowance_overage: f64,
    /// Requests by which a team may exceed its allowance in a window besides.
    pub allowance_slack: f64,
    /// Requests that a cold target may get in a second, as a multiple of what it accepts.
    pub warm_up_overage: f64,
    /// Requests that a cold target may get in a second besides.
    pub warm_up_slack: f64,
    /// Time after which an evacuated failure domain gets no more requests, in seconds; absent if failure
    /// domains are never evacuated, so that the store is not watched for that.
    pub evacuate_s: Option<f64>,
}

impl Default for Promises {
    fn default() -> Self {
        Promises {
            repeat_ratio: 0.1,
            repeat_slack: 20.0,
            repeat_window_s: 10.0,
            drain_s: 2.0,
            grace_s: 10.0,
            max_ttl_s: 5.0,
            probes_per_s: 10.0,
            lapse_s: 2.0,
            heartbeat_s: 1.5,
            allowance_window_s: 5.0,
            allowance_overage: 0.0,
            allowance_slack: 0.0,
            warm_up_overage: 1.0,
            warm_up_slack: 0.0,
            evacuate_s: None,
        }
    }
}

/// Settings of one entry host. Unknown fields are ignored, so that an older program accepts a newer
/// template.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of this host, unique among entry hosts.
    pub host: Arc<str>,
    /// Failure domain that this host runs in.
    pub failure_domain: Arc<str>,
    /// Processor time available to this host, in cores.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory available to this host, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Bandwidth of this host's link in megabits per second; absent if it is not known to limit anything.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for requests for the host list.
    pub directory: SocketAddr,
    /// Address for messages between entry hosts, over UDP and TCP. All hosts use the same port.
    pub peer: SocketAddr,
    /// Address on which metrics are served as text; absent if they are not served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Addresses of other entry hosts to contact at start. Only their IP addresses are used, with the
    /// port of `peer`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates messages between entry hosts.
    pub peer_key: Arc<str>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits that the platform guarantees.
    #[serde(default)]
    pub promises: Promises,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid; the error names the file and the first problem.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("can't read the settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; the error names the field, or line and column where the text
    /// is not valid JSON.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the addresses at which the seeds receive peers' messages.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.peer.port();
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect()
    }

    /// Returns how long callers may use a host list.
    pub fn ttl(&self) -> Duration {
        Duration::from_secs_f64(self.promises.max_ttl_s).min(DEFAULT_HOST_LIST_TTL)
    }

    /// Returns the time after which an evacuated failure domain gets no more requests; `None` if failure domains
    /// are never evacuated.
    pub fn evacuation_limit(&self) -> Option<Duration> {
        self.promises.evacuate_s.map(Duration::from_secs_f64)
    }

    /// Returns the bytes that bodies of requests and responses may take.
    pub fn body_memory(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE) as u64
    }

    fn check(&self) -> anyhow::Result<()> {
        for (field, name) in [("host", &self.host), ("failure_domain", &self.failure_domain)] {
            if !is_valid_name(name) {
                bail!(
                    "{field}: {name:?} is not a valid name: needs 1 to {MAX_NAME_LEN} letters, \
                     digits, '-', '_', '.'"
                );
            }
        }
        if self.peer_key.len() < MIN_PEER_KEY_BYTES {
            bail!(
                "peer_key: needs at least {MIN_PEER_KEY_BYTES} bytes, has {}",
                self.peer_key.len()
            );
        }
        if self.peer.ip().is_unspecified() || self.peer.port() == 0 {
            bail!("peer: {} can't be reached by peers: needs an IP address and a port", self.peer);
        }
        if !(0.001..=1_024.0).contains(&self.cores) {
            bail!("cores: {} is out of range: 0.001 to 1024", self.cores);
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&self.memory_mb) {
            bail!(
                "memory_mb: {} is out of range: {MIN_MEMORY_MB} to {MAX_MEMORY_MB}",
                self.memory_mb
            );
        }
        if let Some(mbps) = self.link_mbps.filter(|mbps| !(0.01..=1e6).contains(mbps)) {
            bail!("link_mbps: {mbps} is out of range: 0.01 to 1000000");
        }
        let p = &self.promises;
        let ranges = [
            ("repeat_ratio", p.repeat_ratio, 0.0, 10.0),
            ("repeat_slack", p.repeat_slack, 0.0, 1e6),
            ("repeat_window_s", p.repeat_window_s, 0.1, 3_600.0),
            ("drain_s", p.drain_s, 0.0, 3_600.0),
            ("grace_s", p.grace_s, 0.5, 3_600.0),
            ("max_ttl_s", p.max_ttl_s, 0.1, 3_600.0),
            ("probes_per_s", p.probes_per_s, 0.0, 1e6),
            ("lapse_s", p.lapse_s, 0.0, 60.0),
            ("heartbeat_s", p.heartbeat_s, 0.01, 600.0),
            ("allowance_window_s", p.allowance_window_s, 0.1, 3_600.0),
            ("allowance_overage", p.allowance_overage, 0.0, 10.0),
            ("allowance_slack", p.allowance_slack, 0.0, 1e6),
            ("warm_up_overage", p.warm_up_overage, 1.0, 100.0),
            ("warm_up_slack", p.warm_up_slack, 0.0, 1e6),
            ("evacuate_s", p.evacuate_s.unwrap_or(1.0), 0.1, 3_600.0),
        ];
        for (field, value, low, high) in ranges {
            if !(low..=high).contains(&value) {
                bail!("promises.{field}: {value} is out of range: {low} to {high}");
            }
        }
        Ok(())
    }
}

/// How long callers use a host list, unless the platform allows less. A host that starts receives
/// requests after this time, when callers replace their lists.
const DEFAULT_HOST_LIST_TTL: Duration = Duration::from_millis(2_500);

fn default_cores() -> f64 {
    1.0
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}
