//! The operator's configuration: which requests are routed to which pools.

use super::teams::{Authentication, Team, TeamIndex};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// One pool of a route with its share of the route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: Arc<str>,
    /// Weight of the pool, relative to the other shares of the route.
    pub weight: f64,
}

/// One route, selected by the `Host` header and the path of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetRoute {
    /// Unique name of the route.
    pub name: Arc<str>,
    /// Value of the `Host` header that the route matches, without port and in lower case.
    pub host: Arc<str>,
    /// Path prefix that the route matches: the whole path, or a part of it that ends with `/`. The
    /// longest match wins.
    pub prefix: Arc<str>,
    /// Pools that serve the route; at least one.
    pub shares: Vec<PoolShare>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum number of attempts of one request, each at another target. Attempts that are known
    /// not to have been executed don't count.
    pub max_attempts: u32,
    /// Maximum time from the arrival of a request to its response.
    pub timeout: Duration,
    /// Latency target: a response has its full value if it comes within this time after the arrival
    /// of the request.
    pub latency_target: Duration,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key although there are teams. Part of the
    /// [`ConfigExtension`](super::ConfigExtension).
    #[serde(skip)]
    pub public: bool,
}

/// One pool of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetPool {
    /// Unique name of the pool.
    pub name: Arc<str>,
    /// Path of the targets' health endpoint, to which probes are sent.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one target accepts from all hosts together.
    pub max_connections: u32,
    /// Requests per second that a cold target accepts from all hosts together; `None` if it has no such limit.
    /// Part of the [`ConfigExtension`](super::ConfigExtension).
    #[serde(skip)]
    pub warm_up_per_s: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive completely.
    pub header_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns limits in the range of the defaults of common HTTP servers, for a configuration that
    /// sets none.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Identifies the content of a configuration.
///
/// The operator gives each change a higher version. A change that the store lost before it was acknowledged
/// may be made again with the same version and other content, which then has a later era.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigEdition {
    /// Version number; a larger one is newer.
    pub version: u64,
    /// Era of the store in which the configuration was read; see [`Revision`](super::Revision).
    pub era: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version number; a larger one is newer.
    pub version: u64,
    /// Era of the store in which the configuration was read.
    pub era: u64,
    /// All routes.
    pub routes: Vec<FleetRoute>,
    /// All pools.
    pub pools: Vec<FleetPool>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Whether callers need keys, and the teams, sorted by name. Part of the
    /// [`ConfigExtension`](super::ConfigExtension).
    #[serde(skip)]
    pub authentication: Authentication<Vec<Arc<Team>>>,
    /// Whether it holds all that the operator has configured, and not only what a peer knows whose build has no
    /// [`ConfigExtension`](super::ConfigExtension).
    #[serde(skip)]
    pub is_complete: bool,
}

impl FleetConfig {
    /// Returns what identifies the content.
    pub fn edition(&self) -> ConfigEdition {
        ConfigEdition { version: self.version, era: self.era }
    }

    /// Returns the teams of callers; empty if there is no list of teams.
    pub fn teams(&self) -> &[Arc<Team>] {
        self.authentication.teams().map_or(&[], Vec::as_slice)
    }

    /// Returns whether no part is missing or presumed.
    pub fn is_confirmed(&self) -> bool {
        self.is_complete && self.authentication.is_stated()
    }

    /// Returns whether this configuration takes the place of `current`: it is newer, or holds the parts that
    /// `current` lacks.
    pub fn supersedes(&self, current: Option<&FleetConfig>) -> bool {
        let Some(current) = current else { return true };
        let known = |c: &FleetConfig| (c.is_complete, c.authentication.is_stated());
        (self.edition(), known(self)) > (current.edition(), known(current))
    }
}

/// Index of a [`FleetConfig`] for routing requests and finding pools.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Version of the indexed configuration.
    pub version: u64,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Whether callers need keys, and the teams.
    pub authentication: Authentication<TeamIndex>,
    /// Whether the indexed configuration is complete; see [`FleetConfig::is_complete`].
    pub is_complete: bool,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<FleetRoute>>,
    /// Sorted by name.
    pools: Vec<Arc<FleetPool>>,
    /// Most and least urgent priority of the routes to each pool and of the teams, sorted by pool.
    priorities: Vec<(Arc<str>, (u32, u32))>,
}

impl RouteIndex {
    /// Builds the index of a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut routes: Vec<_> = config.routes.iter().cloned().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut pools: Vec<_> = config.pools.iter().cloned().map(Arc::new).collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        let priorities = priorities(&routes, config.teams());
        RouteIndex {
            version: config.version,
            limits: config.limits,
            authentication: config.authentication.map(|teams| TeamIndex::new(teams)),
            is_complete: config.is_complete,
            routes,
            pools,
            priorities,
        }
    }

    /// Returns the route of a request: the one with this host and the longest matching path prefix.
    ///
    /// `host` may include a port; `path` excludes the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<FleetRoute>> {
        let host = without_port(host).to_ascii_lowercase();
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(i, _)| i + 1);
        for end in std::iter::once(path.len()).chain(ends) {
            let key = (host.as_str(), &path[..end]);
            if let Ok(i) = self.routes.binary_search_by(|r| (&*r.host, &*r.prefix).cmp(&key)) {
                return Some(&self.routes[i]);
            }
        }
        None
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Arc<FleetPool>> {
        let i = self.pools.binary_search_by(|p| (*p.name).cmp(name)).ok()?;
        Some(&self.pools[i])
    }

    /// Returns whether requests of this route with a priority, that of the route or of a team, are urgent at all its
    /// pools: at each one, either some route or team is less urgent or all have the same priority.
    ///
    /// More urgent routes and teams are ignored, since they may have hardly any traffic.
    pub fn is_urgent(&self, route: &FleetRoute, priority: u32) -> bool {
        route.shares.iter().all(|s| {
            let i = self.priorities.binary_search_by(|(pool, _)| pool.cmp(&s.pool));
            i.is_ok_and(|i| {
                let (most, least) = self.priorities[i].1;
                priority < least || most == least
            })
        })
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.authentication.teams()?.team(name)
    }

    /// Returns whether the team with this name has an allowance.
    pub fn has_allowance(&self, team: &str) -> bool {
        self.team(team).is_some_and(|t| t.allowance.is_some())
    }

    /// Returns whether requests belong to teams, so that allowances and the shares of teams apply.
    pub fn has_teams(&self) -> bool {
        self.authentication.teams().is_some()
    }

    /// Returns whether keys and names of teams that callers send are kept from targets. They are ordinary headers of
    /// a fleet in which callers need no keys.
    pub fn removes_caller_identity(&self) -> bool {
        !self.is_complete || !matches!(self.authentication, Authentication::Disabled)
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<FleetRoute>] {
        &self.routes
    }
}

fn priorities(routes: &[Arc<FleetRoute>], teams: &[Arc<Team>]) -> Vec<(Arc<str>, (u32, u32))> {
    let mut all: Vec<(Arc<str>, (u32, u32))> = routes
        .iter()
        .flat_map(|r| r.shares.iter().map(|s| (s.pool.clone(), (r.priority, r.priority))))
        .collect();
    all.sort_unstable();
    // Sorted by priority within a pool, so the first entry is the most urgent and the last the least.
    all.dedup_by(|later, first| {
        let same = later.0 == first.0;
        if same {
            first.1.1 = later.1.1;
        }
        same
    });
    // Each team may send requests to each pool.
    let of_teams = teams.iter().filter_map(|t| t.priority);
    if let (Some(most), Some(least)) = (of_teams.clone().min(), of_teams.max()) {
        for (_, range) in &mut all {
            *range = (range.0.min(most), range.1.max(least));
        }
    }
    all
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
