//! The routes and pools tables: their format, validation, edits and adoption by a host.
//!
//! Both tables are stored in one [`Config`] with a generation, so that a single conditional write
//! orders concurrent edits and every accepted state of both tables is valid as a whole.

use crate::errors::{Error, Result, invalid};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest allowed name of a host, failure domain, route, pool, target, tenant or class, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// Largest accepted encoded configuration, in bytes. The platform stores values up to 1 MiB.
pub const MAX_CONFIG_LEN: usize = 1 << 20;
/// Number of earlier writes whose identities a configuration keeps. An edit with a lost response is
/// decided within seconds, during which the design load of 450 edits a day makes far fewer writes.
pub const MAX_RECENT_WRITES: usize = 32;
/// Longest allowed request timeout, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// One of the two tables of a configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TableKind {
    /// The routes table: matches requests to pools.
    Routes,
    /// The pools table: lists the targets of each pool.
    Pools,
}

impl TableKind {
    /// Returns the table's name in paths, files and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            TableKind::Routes => "routes",
            TableKind::Pools => "pools",
        }
    }

    /// Returns the table with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "routes" => Some(TableKind::Routes),
            "pools" => Some(TableKind::Pools),
            _ => None,
        }
    }
}

/// One row of the routes table: matches requests, and sets their pool and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among the routes.
    pub name: Arc<str>,
    /// Matched `Host` header without its port; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Matched path prefix, which starts with `/`; the longest matching prefix wins.
    pub path: Arc<str>,
    /// Matched methods, in upper case; all methods if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<Arc<str>>,
    /// Tenant for which the requests are counted.
    pub tenant: Arc<str>,
    /// Class of the requests within the tenant.
    pub class: Arc<str>,
    /// Name of the pool that serves the requests.
    pub pool: Arc<str>,
    /// Longest time from the arrival of a request's head until its response is ready to be relayed
    /// to the caller, in milliseconds. A caller may set a shorter one.
    pub timeout_ms: u64,
    /// Whether a request may be executed more than once; by default derived from the method
    /// (RFC 9110).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Retries allowed per first attempt, 0 to 1.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: f64,
    /// Hedges allowed per first attempt, 0 to 1; 0 disables hedging.
    #[serde(default = "default_hedge_budget")]
    pub hedge_budget: f64,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body_bytes: u64,
}

fn default_retry_budget() -> f64 {
    0.1
}

fn default_hedge_budget() -> f64 {
    0.05
}

fn default_max_body() -> u64 {
    1 << 20
}

impl Route {
    /// Returns whether a request with this method may be executed more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent
            .unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"))
    }
}

/// One row of the pools table: the targets of a pool, their capacity and their health probes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, unique among the pools.
    pub name: Arc<str>,
    /// Number of requests that a target runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Largest rate of probes that one target receives from all hosts together, per second.
    #[serde(default = "default_probe_budget")]
    pub probe_budget_per_s: f64,
    /// Fraction of the probe budget that the hosts use, 0 to 1; 0 disables probes.
    #[serde(default = "default_probe_share")]
    pub probe_share: f64,
    /// Path of the targets' health endpoint, which starts with `/`.
    #[serde(default = "default_health_path")]
    pub health_path: Arc<str>,
    /// Targets of the pool, at least one.
    pub targets: Vec<Target>,
}

fn default_slots() -> u32 {
    6
}

fn default_probe_budget() -> f64 {
    1.0
}

fn default_probe_share() -> f64 {
    1.0
}

fn default_health_path() -> Arc<str> {
    Arc::from("/health")
}

/// One target of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique within the pool.
    pub name: Arc<str>,
    /// Address at which the target accepts HTTP/1.1.
    pub addr: SocketAddr,
    /// Failure domain that the target runs in.
    pub failure_domain: Arc<str>,
    /// Capacity relative to other targets, above 0 and at most 100.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Whether the target is being removed and receives no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

fn default_weight() -> f64 {
    1.0
}

/// The routes and pools tables.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tables {
    /// Rows of the routes table.
    pub routes: Vec<Route>,
    /// Rows of the pools table.
    pub pools: Vec<Pool>,
}

impl Tables {
    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| &*p.name == name)
    }

    /// Checks the rows of both tables and the references between them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] for the first invalid row.
    pub fn validate(&self) -> Result<()> {
        check_unique("pools", self.pools.iter().map(|p| &*p.name))?;
        check_unique("routes", self.routes.iter().map(|r| &*r.name))?;
        for pool in &self.pools {
            validate_pool(pool)?;
        }
        check_probed_once(&self.pools)?;
        for route in &self.routes {
            validate_route(route)?;
            if self.pool(&route.pool).is_none() {
                let cause = format!("pool {:?} does not exist in the pools table", &*route.pool);
                return Err(invalid("routes", &route.name, "pool", cause));
            }
        }
        check_unique_matches(&self.routes)
    }
}

/// Returns whether `text` is a valid name of a host, failure domain, route, pool, target, tenant or
/// class: 1 to [`MAX_NAME_LEN`] ASCII letters, digits, `-`, `_` or `.`.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

fn check_name(table: &'static str, row: &str, field: &'static str, name: &str) -> Result<()> {
    if is_valid_name(name) {
        return Ok(());
    }
    let cause =
        format!("{name:?} is not a name: use 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'");
    Err(invalid(table, row, field, cause))
}

fn check_unique<'a, I>(table: &'static str, names: I) -> Result<()>
where
    I: Iterator<Item = &'a str>,
{
    let mut seen: Vec<&str> = names.collect();
    seen.sort_unstable();
    match seen.windows(2).find(|w| w[0] == w[1]) {
        Some(w) => Err(invalid(table, w[0], "name", "another row has the same name")),
        None => Ok(()),
    }
}

fn check_range(
    table: &'static str,
    row: &str,
    field: &'static str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
) -> Result<()> {
    if range.contains(&value) {
        return Ok(());
    }
    let cause = format!("{value} is out of range: {} to {}", range.start(), range.end());
    Err(invalid(table, row, field, cause))
}

fn validate_pool(pool: &Pool) -> Result<()> {
    let row = &*pool.name;
    check_name("pools", row, "name", row)?;
    check_range("pools", row, "slots", f64::from(pool.slots), 1.0..=10_000.0)?;
    check_range("pools", row, "probe_budget_per_s", pool.probe_budget_per_s, 0.0..=100.0)?;
    check_range("pools", row, "probe_share", pool.probe_share, 0.0..=1.0)?;
    if !pool.health_path.starts_with('/') {
        return Err(invalid("pools", row, "health_path", "the path must start with '/'"));
    }
    if pool.targets.is_empty() {
        return Err(invalid("pools", row, "targets", "a pool needs at least one target"));
    }
    check_unique("pools", pool.targets.iter().map(|t| &*t.name))?;
    for target in &pool.targets {
        check_name("pools", row, "targets.name", &target.name)?;
        check_name("pools", row, "targets.failure_domain", &target.failure_domain)?;
        if !(target.weight > 0.0 && target.weight <= 100.0) {
            let cause = format!("{} is out of range: above 0, at most 100", target.weight);
            return Err(invalid("pools", row, "targets.weight", cause));
        }
    }
    Ok(())
}

fn validate_route(route: &Route) -> Result<()> {
    let row = &*route.name;
    check_name("routes", row, "name", row)?;
    check_name("routes", row, "tenant", &route.tenant)?;
    check_name("routes", row, "class", &route.class)?;
    if !route.path.starts_with('/') {
        return Err(invalid("routes", row, "path", "the path must start with '/'"));
    }
    if let Some(method) = route
        .methods
        .iter()
        .find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase() || b == b'-'))
    {
        let cause = format!("{method:?} is not a method in upper case");
        return Err(invalid("routes", row, "methods", cause));
    }
    check_range("routes", row, "timeout_ms", route.timeout_ms as f64, 1.0..=MAX_TIMEOUT_MS as f64)?;
    check_range("routes", row, "retry_budget", route.retry_budget, 0.0..=1.0)?;
    check_range("routes", row, "hedge_budget", route.hedge_budget, 0.0..=1.0)?;
    check_range("routes", row, "max_body_bytes", route.max_body_bytes as f64, 0.0..=67_108_864.0)
}

/// Rejects an address that is probed for two pools, since the pools' probe budgets would add up at
/// that target.
fn check_probed_once(pools: &[Pool]) -> Result<()> {
    let mut probed: Vec<(SocketAddr, &str)> = Vec::new();
    for pool in pools.iter().filter(|p| p.probe_budget_per_s * p.probe_share > 0.0) {
        probed.extend(pool.targets.iter().map(|t| (t.addr, &*pool.name)));
    }
    probed.sort_unstable();
    match probed.windows(2).find(|w| w[0].0 == w[1].0) {
        Some(w) => {
            let cause = format!(
                "{} is also probed by pool {:?}; set probe_share to 0 in one of them",
                w[1].0, w[0].1
            );
            Err(invalid("pools", w[1].1, "targets.addr", cause))
        }
        None => Ok(()),
    }
}

/// Rejects two routes with the same host and path and a common method, since neither takes
/// precedence over the other.
fn check_unique_matches(routes: &[Route]) -> Result<()> {
    for (i, a) in routes.iter().enumerate() {
        let duplicate = routes[..i].iter().find(|b| {
            let methods_overlap = a.methods.is_empty() && b.methods.is_empty()
                || a.methods.iter().any(|m| b.methods.contains(m));
            a.host == b.host && a.path == b.path && methods_overlap
        });
        if let Some(b) = duplicate {
            let cause = format!("matches the same requests as route {:?}", &*b.name);
            return Err(invalid("routes", &a.name, "path", cause));
        }
    }
    Ok(())
}

/// New content for one of the two tables.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TableEdit {
    /// Replaces the routes table.
    Routes(Vec<Route>),
    /// Replaces the pools table.
    Pools(Vec<Pool>),
}

/// The JSON form of one table, as operators write it or as a host returns it. A host adds the
/// table's revision, so that an edit made from it can't overwrite a later one.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TableFile<T> {
    #[serde(alias = "routes", alias = "pools")]
    rows: Vec<T>,
    #[serde(default)]
    revision: Option<u64>,
    #[serde(default, rename = "generation")]
    _generation: Option<u64>,
    #[serde(default, rename = "writer")]
    _writer: Option<String>,
}

impl TableEdit {
    /// Parses the JSON text of one table, `{"routes": [...]}` or `{"pools": [...]}`, and returns it
    /// with the revision in the text, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Parse`] if the text is not valid JSON of this table.
    pub fn parse(kind: TableKind, text: &str) -> Result<(Self, Option<u64>)> {
        let parse_error =
            |e: serde_json::Error| Error::Parse { table: kind.as_str(), cause: e.to_string() };
        match kind {
            TableKind::Routes => serde_json::from_str::<TableFile<Route>>(text)
                .map(|f| (TableEdit::Routes(f.rows), f.revision))
                .map_err(parse_error),
            TableKind::Pools => serde_json::from_str::<TableFile<Pool>>(text)
                .map(|f| (TableEdit::Pools(f.rows), f.revision))
                .map_err(parse_error),
        }
    }

    /// Returns the table that the edit replaces.
    pub const fn kind(&self) -> TableKind {
        match self {
            TableEdit::Routes(_) => TableKind::Routes,
            TableEdit::Pools(_) => TableKind::Pools,
        }
    }
}

/// The revision of one table and its author.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Revision number; rises by one with every accepted edit of the table.
    pub number: u64,
    /// Name of the operator, as given with the edit.
    pub writer: Arc<str>,
}

/// A configuration: both tables, with the generation that orders all accepted states.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Rises by one with every accepted edit of either table; 0 before the first accepted edit.
    pub generation: u64,
    /// Identity of the write that produced this generation. A writer whose response was lost finds
    /// out from it whether its write took effect.
    pub write_id: Arc<str>,
    /// Identities of the preceding writes, latest first, at most [`MAX_RECENT_WRITES`]. They serve
    /// the same purpose after further writes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_writes: Vec<Arc<str>>,
    /// Revision of the routes table.
    pub routes_revision: Revision,
    /// Revision of the pools table.
    pub pools_revision: Revision,
    /// Content of both tables.
    pub tables: Tables,
}

impl Config {
    /// Returns the revision of a table.
    pub fn revision(&self, kind: TableKind) -> &Revision {
        match kind {
            TableKind::Routes => &self.routes_revision,
            TableKind::Pools => &self.pools_revision,
        }
    }

    /// Returns whether the write with this identity produced this configuration or one of its
    /// [`MAX_RECENT_WRITES`] predecessors.
    pub fn includes_write(&self, write_id: &str) -> bool {
        *self.write_id == *write_id || self.recent_writes.iter().any(|w| **w == *write_id)
    }

    /// Returns the next generation of this configuration, with one table replaced.
    ///
    /// `base` is the revision of the table from which the edit was made.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the table's revision is not `base`, and [`Error::Invalid`] if
    /// the resulting tables are invalid.
    pub fn with_edit(
        &self,
        edit: TableEdit,
        base: u64,
        writer: &str,
        write_id: &str,
    ) -> Result<Config> {
        let kind = edit.kind();
        let current = self.revision(kind);
        if current.number != base {
            return Err(Error::Conflict {
                table: kind.as_str(),
                base,
                current: current.number,
                writer: current.writer.to_string(),
            });
        }
        let mut next = self.clone();
        next.generation += 1;
        if self.generation > 0 {
            next.recent_writes.insert(0, self.write_id.clone());
            next.recent_writes.truncate(MAX_RECENT_WRITES);
        }
        next.write_id = Arc::from(write_id);
        let revision = Revision { number: base + 1, writer: Arc::from(writer) };
        match edit {
            TableEdit::Routes(rows) => {
                next.tables.routes = rows;
                next.routes_revision = revision;
            }
            TableEdit::Pools(rows) => {
                next.tables.pools = rows;
                next.pools_revision = revision;
            }
        }
        next.tables.validate()?;
        Ok(next)
    }
}

/// Result of [`ConfigState::adopt_if_newer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// The configuration is newer and is now in force.
    Adopted,
    /// The configuration has the generation in force.
    Unchanged,
    /// The configuration is older than the one in force and was refused.
    Stale,
}

/// The configuration in force on one host.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    current: Arc<Config>,
}

impl ConfigState {
    /// Returns the configuration in force; generation 0 means none.
    pub fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// Puts `config` in force if its generation is higher than the current one.
    pub fn adopt_if_newer(&mut self, config: Arc<Config>) -> Adoption {
        match config.generation.cmp(&self.current.generation) {
            std::cmp::Ordering::Greater => {
                self.current = config;
                Adoption::Adopted
            }
            std::cmp::Ordering::Equal => Adoption::Unchanged,
            std::cmp::Ordering::Less => Adoption::Stale,
        }
    }
}
