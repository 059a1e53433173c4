//! The JSON settings file of an entry host, checked as a whole before anything starts.

use anyhow::{Context, bail};
use geraniummux_core::config::{MAX_NAME_LEN, is_valid_name};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Shortest accepted key for the messages between entry hosts, in bytes.
const MIN_KEY_LEN: usize = 16;

/// Limits of one tenant on this host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// The tenant.
    pub name: Arc<str>,
    /// Requests of the tenant that this host runs at once.
    pub max_in_flight: u32,
    /// Requests of the tenant that may wait on this host.
    pub max_queued: u32,
}

/// The level from which log lines are written.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that need an operator.
    Error,
    /// Also unexpected events that were handled.
    Warning,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each request.
    Debug,
}

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique among entry hosts.
    pub host: Arc<str>,
    /// Failure domain that this host runs in.
    pub failure_domain: Arc<str>,
    /// Region that this host runs in.
    pub region: Arc<str>,
    /// Address on which callers are accepted.
    pub listen: SocketAddr,
    /// Address given to callers; the listen address if absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the admin listener, used by `geraniummuxctl` and for the status page.
    pub admin: SocketAddr,
    /// Address for messages between entry hosts, over UDP and TCP.
    pub peer: SocketAddr,
    /// Peer addresses of other entry hosts to contact at start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Key that authenticates messages between entry hosts.
    pub peer_key: String,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Where metrics are sent over UDP (StatsD); nowhere if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Level from which log lines are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits of tenants; a tenant without an entry has the default limits.
    #[serde(default)]
    pub tenants: Vec<TenantLimits>,
    /// How long a caller may use the answer that names entry hosts, in milliseconds.
    #[serde(default = "default_ttl_ms")]
    pub entry_ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    5_000
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

    /// Returns the address that callers are given.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check(&self) -> anyhow::Result<()> {
        check_name("host", &self.host)?;
        check_name("failure_domain", &self.failure_domain)?;
        check_name("region", &self.region)?;
        if self.peer_key.len() < MIN_KEY_LEN {
            bail!("peer_key: needs at least {MIN_KEY_LEN} bytes, has {}", self.peer_key.len());
        }
        if !(100..=600_000).contains(&self.entry_ttl_ms) {
            bail!("entry_ttl_ms: {} is out of range: 100 to 600000", self.entry_ttl_ms);
        }
        let mut names: Vec<&str> = self.tenants.iter().map(|t| &*t.name).collect();
        names.sort_unstable();
        if let Some(w) = names.windows(2).find(|w| w[0] == w[1]) {
            bail!("tenants: {:?} is listed twice", w[0]);
        }
        for tenant in &self.tenants {
            check_name("tenants.name", &tenant.name)?;
            if tenant.max_in_flight == 0 {
                bail!("tenants: {:?}: max_in_flight must be at least 1", &*tenant.name);
            }
        }
        Ok(())
    }
}

fn check_name(field: &str, name: &str) -> anyhow::Result<()> {
    if !is_valid_name(name) {
        bail!(
            "{field}: {name:?} is not a name: 1 to {MAX_NAME_LEN} letters, digits, '-', '_', '.'"
        );
    }
    Ok(())
}
