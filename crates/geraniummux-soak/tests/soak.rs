//! Short runs of the soak test with fixed seeds and with the regression seeds.

mod common;

use common::program;
use geraniummux_soak::{Options, RouteTimes, TeamChecks, run};
use std::time::Duration;

/// Seeds that have failed before, one per line, each with the cause of the failure.
const REGRESSION_SEEDS: &str = include_str!("../seeds.txt");

/// Faults that are injected beside those of the seed.
#[derive(Clone, Copy, PartialEq)]
enum Beside {
    Nothing,
    Demands,
    Refusals,
    Restores,
    Restarts,
    SeedLosses,
    Pipelining,
}

async fn run_seed(seed: u64, beside: Beside) {
    let teams = match beside {
        Beside::Pipelining => Some(TeamChecks { pipelining: true, ..TeamChecks::default() }),
        Beside::SeedLosses => Some(TeamChecks { allowances: true, ..TeamChecks::default() }),
        _ => None,
    };
    let opts = Options {
        seed,
        fault_duration: Duration::from_secs(6),
        hosts: if beside == Beside::SeedLosses { 6 } else { 4 },
        // With two, more of the requests that were refused come back to the same address.
        targets: if beside == Beside::Refusals { 2 } else { 4 },
        callers: 12,
        // Time limits can't be kept on a machine that runs a build at the same time.
        timed: false,
        demands: beside == Beside::Demands,
        refusals: beside == Beside::Refusals,
        restores: beside == Beside::Restores,
        restarts: beside == Beside::Restarts,
        seed_losses: beside == Beside::SeedLosses,
        teams,
        route_times: if beside == Beside::Restarts { RouteTimes::LONG } else { RouteTimes::SHORT },
        program: program(),
        other_program: None,
        dir: std::env::temp_dir()
            .join(format!("geraniummux-soak-test-{}-{seed}", std::process::id())),
    };
    let dir = opts.dir.clone();
    let report = run(opts).await.unwrap();
    assert!(report.violations.is_empty(), "{report}logs in {}", dir.display());
    assert!(report.served > 0, "{report}");
    std::fs::remove_dir_all(dir).unwrap();
}

/// Guards against violated guarantees under the faults of the fixed seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_short_keeps_all_promises() {
    for seed in [1, 2] {
        run_seed(seed, Beside::Nothing).await;
    }
}

/// Guards against violated guarantees while targets make demands in their responses, beside the other
/// faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_demands_of_targets_keeps_all_promises() {
    run_seed(3, Beside::Demands).await;
}

/// Guards against requests that run although they were refused (REFUSED), or twice, because of copies of refusals:
/// targets refuse requests, copy refusals late and start again under other ids, beside the other faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_copies_of_refusals_keeps_all_promises() {
    run_seed(61, Beside::Refusals).await;
}

/// Guards against violated guarantees while the store comes back from copies again and again, beside the other
/// faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_restores_of_the_store_keeps_all_promises() {
    run_seed(4, Beside::Restores).await;
}

/// Guards against requests that run twice (TWICE) because a host restarts again and again while the scheduler is frozen,
/// beside the other faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_restarts_beside_frozen_hosts_keeps_all_promises() {
    run_seed(5, Beside::Restarts).await;
}

/// Guards against hosts that serve no team, exceed an allowance or stay apart while their seeds are gone, beside the other
/// faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_losses_of_the_seeds_keeps_all_promises() {
    run_seed(7, Beside::SeedLosses).await;
}

/// Guards against responses to pipelined requests that are lost, mixed up or out of order, beside the other faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_with_pipelined_requests_keeps_all_promises() {
    run_seed(6, Beside::Pipelining).await;
}

/// Guards against the return of the failures that are listed in `seeds.txt`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_failed_seeds_keep_all_promises() {
    for line in REGRESSION_SEEDS.lines().filter(|l| !l.starts_with('#') && !l.is_empty()) {
        run_seed(line.split_whitespace().next().unwrap().parse().unwrap(), Beside::Nothing).await;
    }
}
