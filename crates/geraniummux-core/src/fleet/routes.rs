//! Which requests go to which pools, as the platform's operator writes it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// One pool of a route with its part of the route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: Arc<str>,
    /// Its part, relative to the other shares of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetRoute {
    /// Unique name.
    pub name: Arc<str>,
    /// `Host` that the route matches, without port and in lower case.
    pub host: Arc<str>,
    /// Path prefix that the route matches; the longest prefix wins.
    pub prefix: Arc<str>,
    /// Pools that serve the route; at least one.
    pub shares: Vec<PoolShare>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time from request to answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_target: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u32,
}

/// One pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetPool {
    /// Unique name.
    pub name: Arc<str>,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that one target accepts from all hosts together.
    pub max_connections: u32,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which a request head arrives.
    pub header_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The usual defaults of HTTP servers, for a configuration that sets none.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Orders the versions; a larger one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<FleetRoute>,
    /// Pools.
    pub pools: Vec<FleetPool>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A configuration arranged for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The version of the configuration.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<FleetRoute>>,
    /// Sorted by name.
    pools: Vec<Arc<FleetPool>>,
    /// The most and the least urgent priority of the routes to each pool, sorted by pool.
    priorities: Vec<(Arc<str>, (u32, u32))>,
}

impl RouteIndex {
    /// Builds the index of a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut routes: Vec<_> = config.routes.iter().cloned().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut pools: Vec<_> = config.pools.iter().cloned().map(Arc::new).collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        let priorities = priorities(&routes);
        RouteIndex { version: config.version, limits: config.limits, routes, pools, priorities }
    }

    /// Returns the route of a request: the one of this host with the longest matching prefix.
    ///
    /// `host` may have a port, `path` is without query.
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

    /// Returns whether this route goes before others to the same pools: one of them is less urgent,
    /// or all are equal. Routes that are more urgent don't matter, since they may be hardly used.
    pub fn is_urgent(&self, route: &FleetRoute) -> bool {
        route.shares.iter().all(|s| {
            let i = self.priorities.binary_search_by(|(pool, _)| pool.cmp(&s.pool));
            i.is_ok_and(|i| {
                let (most, least) = self.priorities[i].1;
                route.priority < least || most == least
            })
        })
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Arc<FleetRoute>] {
        &self.routes
    }
}

fn priorities(routes: &[Arc<FleetRoute>]) -> Vec<(Arc<str>, (u32, u32))> {
    let mut all: Vec<(Arc<str>, (u32, u32))> = routes
        .iter()
        .flat_map(|r| r.shares.iter().map(|s| (s.pool.clone(), (r.priority, r.priority))))
        .collect();
    all.sort_unstable();
    // The smallest number of each pool comes first, the largest last.
    all.dedup_by(|later, first| {
        let same = later.0 == first.0;
        if same {
            first.1.1 = later.1.1;
        }
        same
    });
    all
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
