//! Route look-up in the platform's configuration, and the split of a route among its pools.

use geraniummux_core::fleet::{
    FleetConfig, FleetPool, FleetRoute, PoolShare, RouteIndex, SplitState,
};
use proptest::prelude::*;
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

/// Guards against a request to a pool that a version has taken out of use (CONFIG): it still had a credit from the weights
/// before.
#[test]
fn next_weight_that_becomes_zero_gets_nothing() {
    let before = route("r", "h", "/", &[("a", 20.0), ("b", 40.0), ("c", 40.0)]);
    let after = route("r", "h", "/", &[("a", 100.0), ("b", 0.0), ("c", 0.0)]);
    for start in 0..100 {
        for requests in 0..20 {
            let mut split = SplitState::default();
            for _ in 0..requests {
                split.next(&before, f64::from(start) / 100.0);
            }
            for _ in 0..6 {
                let pool = split.next(&after, 0.5).unwrap();
                assert_eq!(&**pool, "a", "start {start}, {requests} requests before");
            }
        }
    }
}

/// Guards against a split that can't be kept and reaches some pool all the same, and against weights whose sum is not
/// finite: the last pool got all requests, also with weight 0.
#[test]
fn next_odd_weights() {
    let shares_of = |shares: &[(&str, f64)]| {
        let route = route("r", "h", "/", shares);
        let mut split = SplitState::default();
        let mut counts = vec![0; shares.len()];
        for _ in 0..400 {
            if let Some(pool) = split.next(&route, 0.3) {
                counts[shares.iter().position(|(p, _)| **p == **pool).unwrap()] += 1;
            }
        }
        counts
    };
    assert_eq!(shares_of(&[]), [0; 0]);
    assert_eq!(shares_of(&[("a", 0.0)]), [0]);
    assert_eq!(shares_of(&[("a", 0.0), ("b", 0.0), ("c", 0.0)]), [0, 0, 0]);
    assert_eq!(shares_of(&[("a", f64::NAN), ("b", -1.0), ("c", 1.0)]), [0, 0, 400]);
    assert_eq!(shares_of(&[("a", f64::MAX), ("b", f64::MAX), ("c", 0.0)]), [200, 200, 0]);
    assert_eq!(shares_of(&[("a", 1e300), ("b", 1e-300), ("c", 0.0)]), [400, 0, 0]);
    assert_eq!(shares_of(&[("a", 3e-310), ("b", 1e-310), ("c", 0.0)]), [300, 100, 0]);
}

/// Guards against a split that begins anew with each version although its shares are the same, only in another order, on
/// another scale or with a pool that gets nothing: no series of such versions moves it from its sequence.
#[test]
fn next_same_shares_goes_on() {
    for [a, b, c] in [[20.0, 50.0, 30.0], [0.1, 0.2, 0.7], [33.3, 33.3, 33.4]] {
        let versions = [
            route("r", "h", "/", &[("a", a), ("b", b), ("c", c)]),
            route("r", "h", "/", &[("c", c), ("a", a), ("b", b)]),
            route("r", "h", "/", &[("b", b), ("d", 0.0), ("c", c), ("a", a)]),
            route("r", "h", "/", &[("c", 3.0 * c), ("b", 3.0 * b), ("a", 3.0 * a)]),
        ];
        let (mut split, mut expected) = (SplitState::default(), SplitState::default());
        for i in 0..200 {
            let random = (i * 37 % 100) as f64 / 100.0;
            let pool = split.next(&versions[i % versions.len()], random).cloned();
            let expected = expected.next(&versions[0], 0.0).cloned();
            assert_eq!(pool, expected, "weights {a} {b} {c}, request {i}");
        }
    }
}

/// Guards against hosts that send a few requests each and together are off the shares, from the start and after a change on
/// all of them at once.
#[test]
fn next_few_requests_of_many_hosts_follow_the_shares() {
    const HOSTS: usize = 1_000;
    let before = [("a", 20.0), ("b", 40.0), ("c", 40.0)];
    for after in [
        &[("a", 60.0), ("b", 40.0)][..],
        &[("c", 5.0), ("b", 5.0), ("a", 90.0)],
        &[("a", 25.0), ("b", 25.0), ("c", 25.0), ("d", 25.0)],
        &[("e", 70.0), ("a", 30.0), ("b", 0.0)],
    ] {
        let (former, route) = (route("r", "h", "/", &before), route("r", "h", "/", after));
        let mut splits = vec![SplitState::default(); HOSTS];
        let point =
            |i: usize, salt: usize| (((i * 619 + salt) % HOSTS) as f64 + 0.5) / HOSTS as f64;
        for (i, split) in splits.iter_mut().enumerate() {
            for _ in 0..i % 7 {
                split.next(&former, point(i, 0));
            }
        }
        for turn in 0..5 {
            let pools = splits.iter_mut().enumerate();
            let pools: Vec<_> =
                pools.map(|(i, s)| s.next(&route, point(i, 311)).unwrap().clone()).collect();
            for (pool, weight) in after {
                let count = pools.iter().filter(|p| ***p == **pool).count() as f64;
                let share = weight / 100.0 * HOSTS as f64;
                assert!(
                    (count - share).abs() <= 0.02 * HOSTS as f64,
                    "{after:?}, {turn}: {pool} {count}"
                );
            }
        }
    }
}

fn weights() -> impl Strategy<Value = Vec<(usize, f64)>> {
    let weight = prop_oneof![Just(0.0), (1..100u32).prop_map(f64::from), 0.001..1e6];
    prop::collection::vec(weight, 1..5).prop_flat_map(|weights| {
        let pools: Vec<usize> = (0..5).collect();
        Just(pools)
            .prop_shuffle()
            .prop_map(move |pools| pools.into_iter().zip(weights.iter().copied()).collect())
    })
}

proptest! {
    /// Guards against shares that don't hold after a series of versions with other weights, orders, pools and numbers of
    /// them: credits that were earned under one version counted under the next.
    #[test]
    fn next_after_any_series_of_versions_keeps_the_shares(
        versions in prop::collection::vec((weights(), 0..80usize), 1..6),
        random in 0.0..1.0,
    ) {
        let names = ["a", "b", "c", "d", "e"];
        let mut split = SplitState::default();
        for (weights, requests) in versions {
            let shares: Vec<_> = weights.iter().map(|(i, w)| (names[*i], *w)).collect();
            let total: f64 = weights.iter().map(|(_, w)| w).sum();
            let route = route("r", "h", "/", &shares);
            let mut counts = [0.0; 5];
            for n in 1..=requests {
                let Some(pool) = split.next(&route, random) else {
                    prop_assert_eq!(total, 0.0);
                    break;
                };
                counts[names.iter().position(|name| *name == &**pool).unwrap()] += 1.0;
                for (i, weight) in &weights {
                    let expected = weight / total * n as f64;
                    prop_assert!(*weight > 0.0 || counts[*i] == 0.0);
                    let off = (counts[*i] - expected).abs();
                    prop_assert!(off < 2.0, "{shares:?}, request {n}: {} off by {off}", names[*i]);
                }
            }
        }
    }
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
