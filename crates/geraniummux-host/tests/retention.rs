//! What a host keeps by the names of routes and pools, while versions of the configuration change them.

mod common;

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    Authentication, ExtraAttempt, ExtraAttemptOptions, FleetConfig, FleetPool, FleetRoute,
    PoolShare, Revision,
};
use geraniummux_host::Host;
use geraniummux_host::retention::Retention;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Service time of requests on a route of which nothing is known, in seconds.
const UNKNOWN_SERVICE_TIME_S: f64 = 0.4;
const OBSERVED_SERVICE_TIME_S: f64 = 7.0;

/// Puts a version in force whose only route and pool are named after it.
fn adopt(host: &Host, version: u64) -> (Arc<str>, Arc<str>) {
    let (name, pool): (Arc<str>, Arc<str>) =
        (format!("route-{version}").into(), format!("pool-{version}").into());
    let route = FleetRoute {
        name: name.clone(),
        host: "h".into(),
        prefix: "/".into(),
        shares: vec![PoolShare { pool: pool.clone(), weight: 1.0 }],
        idempotent: true,
        max_attempts: 2,
        timeout: SECOND,
        latency_target: SECOND,
        priority: 1,
        public: false,
    };
    let pools = vec![FleetPool {
        name: pool.clone(),
        health_path: "/health".into(),
        max_connections: 9,
        warm_up_per_s: None,
    }];
    let config = FleetConfig {
        version,
        era: 1,
        routes: vec![route],
        pools,
        authentication: Authentication::Disabled,
        is_complete: true,
        ..FleetConfig::default()
    };
    host.adopt_config(config, Revision::new(1, version), "store");
    (name, pool)
}

fn service_time_s(host: &Host, route: &Arc<str>) -> f64 {
    host.fleet().typical_request(route, SECOND).service_time_s
}

/// Takes the only extra attempt that these options allow in a window.
fn try_take(host: &Host, now: Time, pool: &Arc<str>) -> bool {
    let opts =
        ExtraAttemptOptions { ratio: 0.0, slack: 1.0, used_share: 1.0, ..Default::default() };
    host.fleet().extra_attempts(pool).try_take(now, ExtraAttempt::Retry, 1, &opts)
}

/// Guards against hosts whose memory grows with each version that changes the names of routes, and against what is known of
/// a route that counts for another one which gets its name later.
#[tokio::test]
async fn tick_routes_that_are_gone_are_forgotten() {
    let host = common::host("127.9.9.171:7009".parse().unwrap(), "[]").await;
    let mut retention = Retention::default();
    let (former, _) = adopt(&host, 1);
    for version in 1..4 {
        let (route, _) = adopt(&host, version);
        host.fleet().typical_request(&route, SECOND).service_time_s = OBSERVED_SERVICE_TIME_S;
        retention.tick(&host, host.now());
        assert_eq!(service_time_s(&host, &route), OBSERVED_SERVICE_TIME_S);
    }
    assert_eq!(service_time_s(&host, &former), UNKNOWN_SERVICE_TIME_S);
}

/// Guards against a budget that is forgotten while it counts: a pool that a version removes and the next one brings back
/// would get twice the retries (BUDGET).
#[tokio::test]
async fn tick_budget_of_a_pool_that_is_gone_counts_for_its_window() {
    let host = common::host("127.9.9.172:7009".parse().unwrap(), "[]").await;
    let mut retention = Retention::default();
    let (_, pool) = adopt(&host, 1);
    let start = host.now();
    assert!(try_take(&host, start, &pool));
    adopt(&host, 2);
    let window = host.extra_attempt_options().window;
    for after in [Duration::ZERO, SECOND, window] {
        retention.tick(&host, start + after);
        assert!(!try_take(&host, start + after, &pool), "{after:?}");
    }
    // Once nothing counts, the name is forgotten, also without a further version.
    let later = start + window + SECOND;
    retention.tick(&host, later);
    assert!(try_take(&host, start, &pool), "what the former budget had counted is still known");
}
