//! Series of versions of the configuration that change who may send requests, while hosts are killed, or how routes are
//! split among pools.

mod common;

use common::{calm, with_programs_of_env};
use geraniummux_soak::callers;
use geraniummux_soak::harness::{Harness, ZONES};
use geraniummux_soak::{Options, RouteTimes};
use geraniummux_standin::link::LinkFault;
use geraniummux_standin::registered_target::Run;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const TARGETS: usize = POOLS.len() + 1;
/// Version of the first configuration of a series; those before it are of the harness.
const FIRST_VERSION: u64 = 3;
/// Time after which a version that is not in force on a host counts as lost.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Long, so that load on the machine does not end requests.
const ROUTE_TIMES: RouteTimes = RouteTimes::LONG;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pools of split routes, each with one target. The last target serves the other routes.
const POOLS: [&str; 4] = ["pool-a", "pool-b", "pool-c", "pool-d"];
const SPLIT_ROUTES: usize = 4;
/// Requests to each host and route between two versions. Not a multiple of the length of a sequence, so that credits are
/// left over.
const REQUESTS: usize = 23;
/// Keys that callers send; only the first two may belong to teams.
const KEYS: [Option<&str>; 4] = [Some("key-ash"), Some("key-birch"), Some("key-unknown"), None];

/// Starts hosts whose stores hold two versions of the harness. `net` gives each test of this file its own loopback
/// network.
async fn start(net: u64) -> Harness {
    let opts = Options { hosts: HOSTS as u8, targets: TARGETS, ..calm(12_000 + net, "versions") };
    let harness = Harness::start(&with_programs_of_env(opts)).await.unwrap();
    for request_addr in harness.request_addrs() {
        assert!(harness.await_newest_config(*request_addr).await, "{request_addr} does not serve");
    }
    harness
}

/// Returns whether the fleet is one of two builds.
fn is_mixed() -> bool {
    std::env::var_os("GERANIUMMUX_OTHER_PROGRAM").is_some()
}

/// Returns the hosts to check: all, or those of the first build in a fleet of two.
fn checked_hosts(harness: &Harness) -> Vec<(usize, SocketAddr)> {
    let is_mixed = is_mixed();
    let all = harness.request_addrs().iter().copied().enumerate();
    all.filter(|(i, _)| !is_mixed || i % 2 == 0).collect()
}

fn route(name: &str, prefix: &str, public: bool) -> Value {
    let times = ROUTE_TIMES;
    json!({"name": name, "host": "soak.example", "path-prefix": prefix, "route-type": "safe",
        "timeout-s": times.timeout.as_secs_f64(), "priority": 1, "service": "pool",
        "target-latency-s": times.latency_target.as_secs_f64(), "max-attempts": 2,
        "public": public})
}

/// Writes a version with a route that only it has, by which callers recognise it, and with further fields.
fn publish(harness: &Harness, version: u64, mut routes: Vec<Value>, fields: &Value) {
    routes.push(route("added", &format!("/v{version}/"), true));
    let pool = |name| json!({"name": name, "health-path": "/health", "max-conns": 200});
    let pools: Vec<Value> = ["pool"].into_iter().chain(POOLS).map(pool).collect();
    let mut spec =
        json!({"version": format!("{version:08x}"), "routes": routes, "services": pools});
    spec.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
    harness.store.put("config", "main", spec);
}

/// Sends a request with a key, and with the name of a team that the caller made up. Returns its id and the status of the
/// response.
async fn get(addr: SocketAddr, path: &str, key: Option<&str>) -> Option<(String, StatusCode)> {
    let id = format!("versions-{:x}", rand::random::<u64>());
    let mut req = Request::get(path)
        .header(header::HOST, "soak.example")
        .header("request-id", &id)
        .header("request-deadline-ms", ROUTE_TIMES.timeout.as_millis() as u64)
        .header("tenant-id", "forged");
    if let Some(key) = key {
        req = req.header("key", key);
    }
    let mut sender = callers::connect(addr).await.ok()?;
    let rsp = sender.send_request(req.body(Full::default()).unwrap()).await.ok()?;
    let status = rsp.status();
    rsp.into_body().collect().await.ok()?;
    Some((id, status))
}

async fn await_version(addr: SocketAddr, version: u64) {
    let end = Instant::now() + GIVE_UP_AFTER;
    let path = format!("/v{version}/x");
    loop {
        let rsp = get(addr, &path, None).await;
        if rsp.is_some_and(|(_, status)| status == StatusCode::OK) {
            return;
        }
        assert!(Instant::now() < end, "version {version} is not in force at {addr}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request until its answer is not "come back later".
async fn settle(addr: SocketAddr, path: &str, key: Option<&str>) -> (String, StatusCode) {
    let end = Instant::now() + GIVE_UP_AFTER;
    loop {
        match get(addr, path, key).await {
            Some((id, status)) if status != StatusCode::SERVICE_UNAVAILABLE => return (id, status),
            rsp => assert!(Instant::now() < end, "{path} at {addr}: {rsp:?}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn runs_of(harness: &Harness, id: &str) -> Vec<Run> {
    harness.targets.iter().flat_map(|t| t.runs()).filter(|r| r.id == id).collect()
}

fn key_count(harness: &Harness) -> u32 {
    harness.targets.iter().map(|t| t.key_count()).sum()
}

/// Returns the field of a version, and the teams with their keys; `None` if callers need none.
fn tenants(lists: Option<&[(&'static str, &'static [&'static str])]>) -> Value {
    let list = |list: &[(&str, &[&str])]| {
        let team = |(name, keys): &(&str, &[&str])| json!({"name": name, "api-keys": keys});
        json!({"tenants": list.iter().map(team).collect::<Vec<_>>()})
    };
    lists.map_or(json!({}), list)
}

/// Guards against hosts that let all requests run, with their callers' keys and the names of teams that callers made
/// up, once a version has an empty list of teams (ROUTE, UNASKED, CONFIG): such a list is not the absence of a list, also
/// not for a host that is killed and starts again, that is cut off from the store, or both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn series_of_teams_admits_known_keys_only() {
    const ASH: (&str, &[&str]) = ("ash", &["key-ash"]);
    const BIRCH: (&str, &[&str]) = ("birch", &["key-birch"]);
    const NO_KEYS: (&str, &[&str]) = ("elm", &[]);
    let harness = start(1).await;
    let mut rng = StdRng::seed_from_u64(57);
    let mut lists: Vec<Option<&[_]>> = vec![
        None,
        Some(&[]),
        Some(&[ASH]),
        Some(&[]),
        Some(&[NO_KEYS]),
        Some(&[ASH, BIRCH]),
        Some(&[]),
        None,
    ];
    lists.shuffle(&mut rng);
    // The order of the review: the only team is removed.
    let lists = [Some(&[ASH][..]), Some(&[])].into_iter().chain(lists);
    for (version, list) in (FIRST_VERSION..).zip(lists) {
        // Peers of another build may not know whether callers need keys; the store does.
        let cut = (!is_mixed() && rng.random_bool(0.5)).then(|| rng.random_range(0..HOSTS));
        let cut = cut.map(|i| &harness.store_links[i]);
        cut.inspect(|link| link.set_fault(LinkFault::HoldAll));
        let routes = vec![route("read", "/read/", false), route("open", "/open/", true)];
        publish(&harness, version, routes, &tenants(list));
        let killed = rng.random_bool(0.5).then(|| rng.random_range(0..HOSTS));
        if let Some(i) = killed {
            assert!(harness.signal(i, Signal::SIGKILL));
            harness.restart(i, Duration::ZERO).await;
        }
        for (i, addr) in checked_hosts(&harness) {
            await_version(addr, version).await;
            let keys_before = key_count(&harness);
            for key in KEYS {
                let team = list.and_then(|teams| {
                    teams.iter().find(|(_, keys)| keys.iter().any(|k| Some(*k) == key))
                });
                let case = format!("version {version} {list:?}, host {i}, {key:?}");
                let (id, status) = settle(addr, "/read/x", key).await;
                let (open_id, open_status) = settle(addr, "/open/x", key).await;
                assert_eq!(open_status, StatusCode::OK, "{case}");
                if list.is_none() {
                    assert_eq!(status, StatusCode::OK, "{case}");
                    continue;
                }
                let expected =
                    if team.is_some() { StatusCode::OK } else { StatusCode::UNAUTHORIZED };
                assert_eq!(status, expected, "{case}");
                assert_eq!(harness.run_counts.runs(&id) > 0, team.is_some(), "{case}");
                let told: Vec<&str> = team.iter().map(|(name, _)| *name).collect();
                for id in [id, open_id] {
                    let runs = runs_of(&harness, &id);
                    assert!(runs.iter().all(|r| r.teams == told), "{case}: {runs:?}");
                }
            }
            if list.is_some() {
                assert_eq!(key_count(&harness), keys_before, "version {version}, host {i}");
            }
        }
        cut.inspect(|link| link.set_fault(LinkFault::None));
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

fn split_route(i: usize, weights: &[(usize, f64)]) -> Value {
    let share = |(pool, weight): &(usize, f64)| json!({"service": POOLS[*pool], "weight": weight});
    let mut route = route(&format!("split-{i}"), &format!("/split-{i}/"), true);
    route["max-attempts"] = 1.into();
    route["traffic-split"] = weights.iter().map(share).collect();
    route.as_object_mut().unwrap().remove("service");
    route
}

/// Returns the index of the pool that ran a request.
fn pool_of(harness: &Harness, id: &str) -> usize {
    let ran = harness.run_counts.targets(id);
    let is_target = |t: &String| !ran.is_empty() && ran.iter().all(|r| r == t);
    harness.targets.iter().position(|t| is_target(&t.id())).expect("runs at one target")
}

/// Guards against requests that run at a pool whose weight has become 0 (CONFIG), and against hosts that are off the shares of
/// a version because of what they sent under the one before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn series_of_splits_keeps_the_shares_of_each() {
    let harness = start(2).await;
    harness.set_service_ms(1);
    for (i, target) in harness.targets.iter().take(POOLS.len()).enumerate() {
        let addr = harness.target_links[i].addr.to_string();
        let zone = ZONES[i % ZONES.len()];
        harness.store.put("servers", &target.id(), target.registration(POOLS[i], &addr, zone));
    }
    let splits: [&[(usize, f64)]; 9] = [
        &[(0, 20.0), (1, 40.0), (2, 40.0)],
        &[(0, 100.0), (1, 0.0), (2, 0.0)],
        &[(0, 20.0), (1, 40.0), (2, 40.0)],
        &[(2, 30.0), (0, 70.0), (1, 0.0)],
        &[(2, 0.0), (0, 50.0), (3, 50.0)],
        &[(0, 50.0), (3, 50.0)],
        &[(3, 1e308), (1, 1e308), (2, 0.0)],
        &[(0, 1.0), (1, 1.0), (2, 1.0), (3, 1.0)],
        &[(3, 0.0), (1, 9.0), (0, 0.0), (2, 1.0)],
    ];
    for (version, weights) in (FIRST_VERSION..).zip(splits) {
        let routes = (0..SPLIT_ROUTES).map(|i| split_route(i, weights)).collect();
        publish(&harness, version, routes, &json!({}));
        for (i, addr) in checked_hosts(&harness) {
            await_version(addr, version).await;
            for route in 0..SPLIT_ROUTES {
                let mut counts = [0.0; POOLS.len()];
                for _ in 0..REQUESTS {
                    let (id, status) = settle(addr, &format!("/split-{route}/x"), None).await;
                    assert_eq!(status, StatusCode::OK);
                    counts[pool_of(&harness, &id)] += 1.0;
                }
                let largest = weights.iter().map(|(_, w)| *w).fold(0.0, f64::max);
                let total: f64 = weights.iter().map(|(_, w)| w / largest).sum();
                for (pool, count) in counts.iter().enumerate() {
                    let weight = weights.iter().find(|(p, _)| *p == pool).map_or(0.0, |(_, w)| *w);
                    let share = weight / largest / total * REQUESTS as f64;
                    let case = format!("{weights:?}, host {i}, route {route}: {counts:?}");
                    assert!(weight > 0.0 || *count == 0.0, "{case}");
                    assert!((count - share).abs() < 2.0, "{case}");
                }
            }
        }
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}
