//! Hosts that restart while the scheduler of the pool is frozen, beside objects of a foreign writer, or without their
//! seeds.

mod common;

use common::{calm, send, with_programs_of_env};
use geraniummux_soak::callers::Outcome;
use geraniummux_soak::harness::Harness;
use geraniummux_soak::teams::TeamChecks;
use geraniummux_soak::{Options, RouteTimes};
use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Requests that the killed host has sent slot requests for, and as many that must run once.
const REQUESTS: usize = 6;
/// Time after its start in which a host learns of the others and begins to ask schedulers.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time without requests after which no host schedules the pool.
const POOL_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Time from the requests to the kill, in which the host still waits for the scheduler.
const KILL_DELAY: Duration = Duration::from_millis(20);
/// Time after the restart in which the other hosts find the scheduler dead.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// Time in which the scheduler reads what has arrived while it was frozen.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);
/// Slowdown that half of the targets report then.
const SLOW_PERCENT: u32 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SERVED: Outcome = Outcome::Response(StatusCode::OK);

/// Starts three hosts and four targets. For a fleet of two builds, the environment names the program of all
/// hosts and that of the second one. `net` gives each test of this file its own loopback network.
async fn start_harness(net: u64, route_times: RouteTimes) -> Arc<Harness> {
    let opts = Options { hosts: 3, targets: 4, route_times, ..calm(11_000 + net, "restart") };
    let harness = Harness::start(&with_programs_of_env(opts)).await.unwrap();
    for request_addr in harness.request_addrs() {
        assert!(harness.await_newest_config(*request_addr).await, "{request_addr} does not serve");
    }
    for directory_addr in &harness.directory_addrs {
        assert!(harness.await_whole_directory(*directory_addr).await);
    }
    Arc::new(harness)
}

/// Returns the host that schedules the pool.
async fn find_scheduler(harness: &Harness) -> usize {
    let schedulings = |i| harness.log_of(i).matches("event=scheduling_pool").count();
    tokio::time::sleep(POOL_IDLE_TIME).await;
    let before: Vec<usize> = (0..3).map(schedulings).collect();
    assert_eq!(send(harness, 0, "find", true).await, SERVED);
    loop {
        if let Some(i) = (0..3).find(|i| schedulings(*i) > before[*i]) {
            return i;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests to a host at once, and returns the tasks that wait for their outcomes.
fn send_all(
    harness: &Arc<Harness>,
    host: usize,
    name: &'static str,
    idempotent: bool,
) -> Vec<tokio::task::JoinHandle<Outcome>> {
    let send_one = |n| {
        let harness = harness.clone();
        tokio::spawn(async move { send(&harness, host, &format!("{name}-{n}"), idempotent).await })
    };
    (0..REQUESTS).map(send_one).collect()
}

async fn restart(harness: &Harness, host: usize) {
    assert!(harness.signal(host, Signal::SIGKILL));
    harness.restart(host, Duration::ZERO).await;
    assert!(harness.await_whole_directory(harness.directory_addrs[host]).await);
    tokio::time::sleep(SETTLE_TIME).await;
}

/// Plays the sequence with targets that work `service_ms` on each request, and checks that requests which
/// are not idempotent run once.
async fn run_requests_after_restart(net: u64, route_times: RouteTimes, service_ms: u64) {
    let harness = start_harness(net, route_times).await;
    let scheduler = find_scheduler(&harness).await;
    // The last one, as the second host may run another program.
    let young = (0..3).rfind(|i| *i != scheduler).unwrap();
    // The numbers that it gives to its requests begin again.
    restart(&harness, young).await;
    assert!(harness.signal(scheduler, Signal::SIGSTOP));
    let unanswered = send_all(&harness, young, "before", true);
    tokio::time::sleep(KILL_DELAY).await;
    assert!(harness.signal(young, Signal::SIGKILL));
    harness.restart(young, Duration::ZERO).await;
    tokio::time::sleep(TAKEOVER_TIME).await;
    for target in &harness.targets {
        target.set_service_ms(service_ms);
    }
    let requests = send_all(&harness, young, "once", false);
    while (0..REQUESTS).any(|n| harness.run_counts.runs(&format!("once-{n}")) == 0) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(harness.signal(scheduler, Signal::SIGCONT));
    tokio::time::sleep(CATCH_UP_TIME).await;
    for target in &harness.targets[..2] {
        target.set_slowdown_percent(SLOW_PERCENT);
    }
    for request in requests {
        assert_eq!(request.await.unwrap(), SERVED);
    }
    let runs: Vec<u32> =
        (0..REQUESTS).map(|n| harness.run_counts.runs(&format!("once-{n}"))).collect();
    assert_eq!(runs, [1; REQUESTS], "young {young}, scheduler {scheduler}");
    for request in unanswered {
        request.await.unwrap();
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against requests that run twice (TWICE) because a scheduler that was frozen decides on requests of
/// a killed process, and its host, started again, takes that for decisions on others with the same numbers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_beside_frozen_scheduler_runs_long_requests_once() {
    run_requests_after_restart(1, RouteTimes::LONG, 1_500).await;
}

/// Guards against the same with requests whose deadlines are close.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_beside_frozen_scheduler_runs_short_requests_once() {
    let route_times =
        RouteTimes { timeout: Duration::from_secs(2), latency_target: Duration::from_millis(800) };
    run_requests_after_restart(2, route_times, 500).await;
}

/// Names of objects that a foreign writer leaves in the store.
const ODD_NAMES: [&str; 9] =
    ["", "a & b", "copy of t-0", "t-0#1", "t-1+2", "t-2&after=t-0", "t-3%41", "t-ü", "~\n"];

async fn assert_all_serve(harness: &Harness, when: &str) {
    for (host, request_addr) in harness.request_addrs().iter().enumerate() {
        assert!(harness.await_newest_config(*request_addr).await, "{when}: host {host}");
        let id = format!("{when}-{host}");
        assert_eq!(send(harness, host, &id, false).await, SERVED, "{id}");
    }
}

/// Guards against hosts that can't read the store while it holds objects with odd names, so that after a restart none
/// of them serves (RECOVER). One object on each page makes each name the position of a page.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_of_all_hosts_beside_odd_names_serves() {
    let harness = start_harness(3, RouteTimes::LONG).await;
    harness.store.set_page_objects(1);
    for name in ODD_NAMES {
        for kind in ["servers", "config"] {
            harness.store.put(kind, name, json!({"copied-from": "t-0"}));
        }
    }
    for host in 0..3 {
        assert!(harness.signal(host, Signal::SIGKILL));
    }
    for host in 0..3 {
        harness.restart(host, Duration::ZERO).await;
    }
    assert_all_serve(&harness, "beside").await;
    for name in ODD_NAMES {
        for kind in ["servers", "config"] {
            harness.store.delete(kind, name);
        }
    }
    assert_all_serve(&harness, "after").await;
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against hosts that never find each other when they start while their seeds are gone, so that none of them
/// grants tokens of allowances and teams get no response but 503 (RECOVER).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_while_seeds_are_gone_serves_teams() {
    let teams = Some(TeamChecks { allowances: true, ..TeamChecks::default() });
    let opts = Options { hosts: 6, teams, ..calm(11_004, "restart") };
    let harness = Harness::start(&with_programs_of_env(opts)).await.unwrap();
    for directory_addr in &harness.directory_addrs {
        assert!(harness.await_whole_directory(*directory_addr).await);
    }
    // The first three hosts are the seeds in the settings of all.
    for host in 0..6 {
        assert!(harness.signal(host, Signal::SIGKILL));
    }
    for host in 3..6 {
        harness.restart(host, Duration::ZERO).await;
    }
    let left = &harness.request_addrs()[3..];
    for (request_addr, directory_addr) in left.iter().zip(&harness.directory_addrs[3..]) {
        assert!(harness.await_newest_config(*request_addr).await, "{request_addr} does not serve");
        assert!(harness.await_directory(*directory_addr, left).await, "{request_addr} is alone");
    }
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}
