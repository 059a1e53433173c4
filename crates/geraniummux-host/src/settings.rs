//! Settings of one entry host, as JSON.

use anyhow::{Context, bail};
use geraniummux_core::config::{MAX_NAME_LEN, is_name};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Shortest accepted key for the messages between entry hosts, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// What the platform promises its users, as far as a host's decisions depend on it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Promises {
    /// Second sends allowed for each request, over all hosts.
    pub repeat_ratio: f64,
    /// Second sends allowed besides in each window, over all hosts.
    pub repeat_slack: f64,
    /// The window, in seconds.
    pub repeat_window_s: f64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Longest time for which callers use an answer that names hosts, in seconds.
    pub max_ttl_s: f64,
    /// Health checks that one target may get each second, over all hosts.
    pub probes_per_s: f64,
    /// Time after the platform's store is back in which entries that lapsed may return, in seconds.
    pub lapse_s: f64,
}

impl Default for Promises {
    fn default() -> Self {
        Promises {
            repeat_ratio: 0.1,
            repeat_slack: 20.0,
            repeat_window_s: 10.0,
            grace_s: 10.0,
            max_ttl_s: 5.0,
            probes_per_s: 10.0,
            lapse_s: 2.0,
        }
    }
}

/// Settings of one entry host. Unknown fields are ignored, so that a newer template can be used with
/// an older program.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of this host, unique among entry hosts.
    pub host: Arc<str>,
    /// Failure domain that this host runs in.
    pub failure_domain: Arc<str>,
    /// Processor time that this host has, in cores.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Address on which callers' requests are accepted.
    pub listen: SocketAddr,
    /// Address on which readiness is asked.
    pub readiness: SocketAddr,
    /// Address on which callers ask for hosts.
    pub directory: SocketAddr,
    /// Address for messages between entry hosts, over UDP and TCP. All hosts use the same port.
    pub peer: SocketAddr,
    /// Address on which metrics are served as text; none if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Addresses on other entry hosts to contact at start. Only their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates messages between entry hosts.
    pub peer_key: Arc<str>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Promises of the platform.
    #[serde(default)]
    pub promises: Promises,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and the first thing that is wrong with it.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("can't read the settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Names the field that is wrong, with line and column where the text is not valid JSON.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the addresses on which the seeds get messages of peers.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.peer.port();
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect()
    }

    /// Returns how long callers may use an answer that names hosts.
    pub fn ttl(&self) -> Duration {
        Duration::from_secs_f64(self.promises.max_ttl_s).min(DEFAULT_HOST_LIST_TTL)
    }

    fn check(&self) -> anyhow::Result<()> {
        for (field, name) in [("host", &self.host), ("failure_domain", &self.failure_domain)] {
            if !is_name(name) {
                bail!(
                    "{field}: {name:?} is not a name: 1 to {MAX_NAME_LEN} letters, digits, '-', \
                     '_', '.'"
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
            bail!("peer: {} is not an address that peers can reach", self.peer);
        }
        if !(0.001..=1_024.0).contains(&self.cores) {
            bail!("cores: {} is out of range: 0.001 to 1024", self.cores);
        }
        let p = &self.promises;
        let ranges = [
            ("repeat_ratio", p.repeat_ratio, 0.0, 10.0),
            ("repeat_slack", p.repeat_slack, 0.0, 1e6),
            ("repeat_window_s", p.repeat_window_s, 0.1, 3_600.0),
            ("grace_s", p.grace_s, 0.5, 3_600.0),
            ("max_ttl_s", p.max_ttl_s, 0.1, 3_600.0),
            ("probes_per_s", p.probes_per_s, 0.0, 1e6),
            ("lapse_s", p.lapse_s, 0.0, 60.0),
        ];
        for (field, value, low, high) in ranges {
            if !(low..=high).contains(&value) {
                bail!("promises.{field}: {value} is out of range: {low} to {high}");
            }
        }
        Ok(())
    }
}

/// How long callers use an answer that names hosts, unless the platform allows less. A host that
/// starts gets callers after this time.
const DEFAULT_HOST_LIST_TTL: Duration = Duration::from_millis(2_500);

fn default_cores() -> f64 {
    1.0
}
