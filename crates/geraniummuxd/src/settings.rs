//! The JSON settings file of an entry host. All of it is validated before the daemon opens a
//! socket.

use anyhow::{Context, bail};
use geraniummux_core::config::{MAX_NAME_LEN, is_valid_name};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Minimum length of `peer_key`, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Admission limits of one tenant on this host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Maximum number of the tenant's requests in flight on this host.
    pub max_in_flight: u32,
    /// Maximum number of the tenant's requests that are queued on this host.
    pub max_queued: u32,
}

/// Minimum level of the log lines that are written. Each level includes those before it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Unexpected events that were handled.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Events of single requests and messages.
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
    /// Address on which requests of callers are accepted.
    pub listen: SocketAddr,
    /// Address of this host in entry responses; the listen address if absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the admin API, which `geraniummuxctl` uses, and of the status page.
    pub admin: SocketAddr,
    /// Address for messages between entry hosts, over UDP and TCP.
    pub peer: SocketAddr,
    /// Peer addresses of other entry hosts to contact at start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Shared key that authenticates messages between entry hosts, at least 16 bytes.
    pub peer_key: String,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Address to which metrics are sent over UDP (StatsD). None are sent if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Minimum level of the log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Admission limits of tenants. A tenant without an entry has the default limits.
    #[serde(default)]
    pub tenants: Vec<TenantLimits>,
    /// How long a caller may use an entry response, in milliseconds.
    #[serde(default = "default_ttl_ms")]
    pub entry_ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    5_000
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the first problem found in it.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("can't read the settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns an error with the invalid field, or with line and column if the text can't be
    /// parsed.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the address of this host in entry responses.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    fn check(&self) -> anyhow::Result<()> {
        check_name("host", &self.host)?;
        check_name("failure_domain", &self.failure_domain)?;
        check_name("region", &self.region)?;
        if self.peer_key.len() < MIN_PEER_KEY_BYTES {
            bail!(
                "peer_key: needs at least {MIN_PEER_KEY_BYTES} bytes, has {}",
                self.peer_key.len()
            );
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
