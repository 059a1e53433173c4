//! Route look-up in the platform's configuration, and the split of a route among its pools.

use geraniummux_core::fleet::{
    FleetConfig, FleetPool, FleetRoute, PoolShare, RouteIndex, SplitState,
};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, f64)]) -> FleetRoute {
    FleetRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        shares: shares.iter().map(|(p, w)| PoolShare { pool: (*p).into(), weight: *w }).collect(),
        idempotent: true,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(300),
        priority: 1,
        public: false,
    }
}

fn index() -> RouteIndex {
    RouteIndex::new(&FleetConfig {
        version: 3,
        routes: vec![
            route("short", "a.example", "/x/", &[("p", 1.0)]),
            route("long", "a.example", "/x/y/", &[("p", 1.0)]),
            route("other", "b.example", "/", &[("p", 1.0)]),
        ],
        pools: vec![FleetPool {
            name: "p".into(),
            health_path: "/health".into(),
            max_connections: 9,
            warm_up_per_s: None,
        }],
        ..FleetConfig::default()
    })
}

fn route_for(host: &str, path: &str) -> Option<String> {
    index().find(host, path).map(|r| r.name.to_string())
}

/// Guards against a request that takes the route of a shorter prefix.
#[test]
fn find_longest_prefix_wins() {
    assert_eq!(route_for("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(route_for("a.example", "/x/z").as_deref(), Some("short"));
}

/// Guards against a `Host` that is not matched because of its port or its case.
#[test]
fn find_host_ignores_case_and_port() {
    assert_eq!(route_for("A.Example:8080", "/x/1").as_deref(), Some("short"));
}

/// Guards against a prefix that matches the beginning of a longer path segment.
#[test]
fn find_partial_segment_does_not_match() {
    assert_eq!(route_for("a.example", "/xy"), None);
    assert_eq!(route_for("a.example", "/x"), None);
}

/// Guards against a request that takes the route of another host.
#[test]
fn find_other_host_does_not_match() {
    assert_eq!(route_for("c.example", "/x/"), None);
    assert_eq!(route_for("b.example", "/anything").as_deref(), Some("other"));
}

/// Guards against a split that only holds in the long run: with two pools, 100 requests in a row stay
/// within one request of their shares.
#[test]
fn next_shares_hold_over_short_spans() {
    let route = route("r", "h", "/", &[("big", 90.0), ("small", 10.0)]);
    for start in [0.0, 0.5, 0.95] {
        let mut split = SplitState::default();
        let small = (0..100).filter(|_| &**split.next(&route, start).unwrap() == "small").count();
        assert!((9..=11).contains(&small), "start {start}: {small}");
    }
}

/// Guards against hosts that send a single request each and all choose the same pool.
#[test]
fn next_first_request_follows_the_shares() {
    let route = route("r", "h", "/", &[("big", 90.0), ("small", 10.0)]);
    let first = |random| SplitState::default().next(&route, random).unwrap().to_string();
    assert_eq!(
        (first(0.1), first(0.89), first(0.95)),
        ("big".into(), "big".into(), "small".into())
    );
}

/// Guards against requests to a pool whose share is zero.
#[test]
fn next_zero_weight_gets_nothing() {
    let route = route("r", "h", "/", &[("on", 1.0), ("off", 0.0)]);
    let mut split = SplitState::default();
    assert!((0..50).all(|i| &**split.next(&route, f64::from(i) / 50.0).unwrap() == "on"));
}

/// Guards against a less urgent route that is treated as urgent although another route of the same
/// pool is more urgent.
#[test]
fn is_urgent_compares_routes_of_the_same_pool() {
    let with = |name, prefix, pool: &str, priority| FleetRoute {
        priority,
        ..route(name, "h", prefix, &[(pool, 1.0)])
    };
    let routes = vec![with("a", "/a/", "p", 1), with("b", "/b/", "p", 2), with("c", "/c/", "q", 2)];
    let index = RouteIndex::new(&FleetConfig { routes, ..FleetConfig::default() });
    let urgent: Vec<bool> = ["/a/", "/b/", "/c/"]
        .iter()
        .map(|p| index.find("h", p).unwrap())
        .map(|r| index.is_urgent(r, r.priority))
        .collect();
    assert_eq!(urgent, [true, false, true]);
}

/// Guards against a route with hardly any traffic whose higher priority makes all other routes of its
/// pool count as not urgent.
#[test]
fn is_urgent_ignores_more_urgent_routes() {
    let with =
        |name, prefix, priority| FleetRoute { priority, ..route(name, "h", prefix, &[("p", 1.0)]) };
    let routes = vec![with("idle", "/idle/", 0), with("a", "/a/", 1), with("b", "/b/", 2)];
    let index = RouteIndex::new(&FleetConfig { routes, ..FleetConfig::default() });
    let urgent = |path| {
        let route = index.find("h", path).unwrap();
        index.is_urgent(route, route.priority)
    };
    assert!(urgent("/a/"));
    assert!(!urgent("/b/"));
}
