//! Tail latency of the selection policies, simulated in virtual time and compared with the bounds
//! of requirement R9.
//!
//! The reference is a chooser with perfect knowledge of the load of all targets. `BENCH_SEEDS` sets
//! the number of seeds, by default 4.

mod sim;

use geraniummux_core::balance::Policy;
use sim::{Chooser, Model, RunStats, Scenario};
use std::sync::OnceLock;

const LOADS: [f64; 2] = [0.6, 0.8];
/// Maximum latency of the estimate policy relative to perfect knowledge.
const MAX_RATIO_TO_PERFECT: f64 = 1.25;
/// Hedge budget and latency quantile after which a hedge is sent.
/// docs/decisions/choosing-a-target.md compares several values.
const HEDGE: (f64, f64) = (0.15, 0.85);

fn seeds() -> u64 {
    std::env::var("BENCH_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(4)
}

/// One row of a result table: a chooser and the model it runs in.
struct Row {
    name: String,
    chooser: Chooser,
    model: Model,
}

impl Row {
    fn new(chooser: Chooser, load: f64, scenario: Scenario) -> Self {
        Row { name: chooser.name(), chooser, model: Model::new(load, scenario, 0) }
    }

    fn hedged(load: f64, hedge: (f64, f64), redraw_service_time: bool) -> Self {
        let mut row = Row::new(Chooser::for_policy(Policy::Estimate), load, Scenario::None);
        row.model.hedge_budget = hedge.0;
        row.model.hedge_quantile = hedge.1;
        row.model.redraw_service_time = redraw_service_time;
        let time = if redraw_service_time { "" } else { ", same time" };
        row.name = format!("hedge {:.0}% p{:.0}{time}", hedge.0 * 100.0, hedge.1 * 100.0);
        row
    }

    /// Runs all seeds and merges their statistics.
    fn run(&self) -> RunStats {
        let runs = (1..=seeds()).map(|seed| {
            let model = Model { seed, ..self.model.clone() };
            sim::run(&model, &self.chooser)
        });
        runs.reduce(RunStats::merge).unwrap_or_default()
    }
}

/// Runs the rows on four threads and prints the results as a table.
fn run_all(title: &str, rows: Vec<Row>) -> Vec<(Row, RunStats)> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let results: Vec<OnceLock<RunStats>> = rows.iter().map(|_| OnceLock::new()).collect();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(row) = rows.get(i) else { return };
                    let _ = results[i].set(row.run());
                }
            });
        }
    });
    let results: Vec<(Row, RunStats)> =
        rows.into_iter().zip(results).map(|(r, f)| (r, f.into_inner().unwrap())).collect();
    let mut text = format!("{title}; seeds 1 to {}, ms\n", seeds());
    text += &format!(
        "{:24} {:>5} {:>7} {:>7} {:>7} {:>9} {:>7}\n",
        "policy", "load", "p50", "p99", "p99.9", "digest/s", "hedged"
    );
    for (row, f) in &results {
        text += &format!(
            "{:24} {:>4.0}% {:7.1} {:7.1} {:7.1} {:8.0}B {:6.1}%\n",
            row.name,
            row.model.load * 100.0,
            f.percentile(50.0),
            f.percentile(99.0),
            f.percentile(99.9),
            f.digest_bytes_per_s,
            100.0 * f.hedges as f64 / f.requests.max(1) as f64,
        );
    }
    println!("{text}");
    results
}

/// Returns the results without a fault scenario. The tests share them, since these runs take most
/// of the time.
fn results_without_faults() -> &'static Vec<(Row, RunStats)> {
    static RESULTS: OnceLock<Vec<(Row, RunStats)>> = OnceLock::new();
    RESULTS.get_or_init(|| {
        let mut rows = Vec::new();
        for load in LOADS {
            for policy in Policy::ALL {
                rows.push(Row::new(Chooser::for_policy(policy), load, Scenario::None));
            }
            rows.push(Row::new(Chooser::PerfectKnowledge, load, Scenario::None));
            for hedge in [(0.05, 0.95), (0.1, 0.95), HEDGE] {
                rows.push(Row::hedged(load, hedge, true));
            }
            rows.push(Row::hedged(load, HEDGE, false));
        }
        run_all("15 targets, 18 hosts, drops to 0.3 of the speed", rows)
    })
}

fn stats_of(name: &str, load: f64) -> &'static RunStats {
    let row = results_without_faults().iter().find(|(r, _)| r.name == name && r.model.load == load);
    &row.unwrap().1
}

fn assert_near_perfect(load: f64) {
    let (ours, perfect) = (stats_of("estimate", load), stats_of("perfect-knowledge", load));
    for p in [99.0, 99.9] {
        let (ours, bound) = (ours.percentile(p), MAX_RATIO_TO_PERFECT * perfect.percentile(p));
        assert!(ours <= bound, "p{p} at load {load}: {ours:.1} ms, bound {bound:.1} ms");
    }
}

// Guards against changes that make the policy much worse than perfect knowledge (R9).
#[test]
fn estimate_near_perfect_knowledge_at_60() {
    assert_near_perfect(0.6);
}

// Guards against herding, which increases with load (R9).
#[test]
fn estimate_near_perfect_knowledge_at_80() {
    assert_near_perfect(0.8);
}

fn assert_hedged_below_perfect(load: f64) {
    let name = format!("hedge {:.0}% p{:.0}", HEDGE.0 * 100.0, HEDGE.1 * 100.0);
    let (ours, perfect) = (stats_of(&name, load), stats_of("perfect-knowledge", load));
    for p in [99.0, 99.9] {
        let (ours, bound) = (ours.percentile(p), perfect.percentile(p));
        assert!(ours < bound, "hedged p{p} at load {load}: {ours:.1} ms, bound {bound:.1} ms");
    }
}

// Guards against hedges whose load costs more latency than they save (R9).
#[test]
fn hedged_below_perfect_knowledge_at_60() {
    assert_hedged_below_perfect(0.6);
}

// Guards against hedges that overload the targets at high load (R9).
#[test]
fn hedged_below_perfect_knowledge_at_80() {
    assert_hedged_below_perfect(0.8);
}

// Guards against a policy that is better than two choices only as long as no target is slow or
// fails (R9).
#[test]
fn estimate_below_two_choices_in_every_scenario() {
    for scenario in Scenario::ALL {
        let mut rows = Vec::new();
        for load in LOADS {
            for policy in [Policy::TwoChoicesLocal, Policy::Estimate] {
                rows.push(Row::new(Chooser::for_policy(policy), load, scenario));
            }
            rows.push(Row::new(Chooser::PerfectKnowledge, load, scenario));
        }
        let results = run_all(&format!("scenario: {scenario:?}"), rows);
        for load in results.chunks(3) {
            let (two_choices, ours) = (&load[0].1, &load[1].1);
            for p in [99.0, 99.9] {
                let (ours, bound) = (ours.percentile(p), two_choices.percentile(p));
                assert!(ours < bound, "{scenario:?}: p{p} {ours:.1} ms, two choices {bound:.1} ms");
            }
        }
    }
}

// Guards against a target that fails fast, reports that it is idle, and therefore attracts the load
// of its pool.
#[test]
fn estimate_fail_fast_attracts_no_load() {
    let row = Row::new(Chooser::for_policy(Policy::Estimate), 0.8, Scenario::FailFast);
    let f = row.run();
    let share = f.target0_attempts as f64 / f.attempts as f64;
    println!("share of the failing target: {:.3}% of attempts", share * 100.0);
    // A tenth of an equal share of 1/15.
    assert!(share < 0.1 / 15.0, "the failing target got {:.2}% of attempts", share * 100.0);
    assert_eq!(f.failed, 0, "requests failed although they could be retried");
}

// Guards against a new target that gets its full share before it has warmed up, or never gets it.
#[test]
fn estimate_ramps_up_new_target() {
    let row = Row::new(Chooser::for_policy(Policy::Estimate), 0.6, Scenario::ColdStart);
    let f = row.run();
    let sum = |r: std::ops::Range<usize>| f.target0_after_join[r].iter().sum::<u32>() as f64;
    let (first, second, full) = (sum(0..5) / 5.0, sum(10..15) / 5.0, sum(40..70) / 30.0);
    println!("sends per 100 ms: {first:.1} in 0-0.5 s, {second:.1} in 1-1.5 s, {full:.1} later");
    assert!(first < 0.4 * full, "{first} sends per 100 ms at once, {full} later");
    assert!(second < 0.9 * full && second > first, "{second} sends per 100 ms after 1 s");
}

// Prints the effect of budgeted probes on the tail latency, for the choice of their budget. Guards
// against probes that make the latency worse.
#[test]
fn probes_tail_latency_by_share() {
    let mut rows = Vec::new();
    for (budget, load) in [(1.0, 0.8), (100.0, 0.8), (1.0, 0.1)] {
        for share in [0.0, 0.25, 0.5, 1.0] {
            let mut row = Row::new(Chooser::for_policy(Policy::Estimate), load, Scenario::None);
            row.model.probes_per_s = budget * share;
            row.name = format!("{budget:.0}/s, share {share}");
            rows.push(row);
        }
    }
    let results = run_all("probes per second and target, and the share spent", rows);
    for group in results.chunks(4) {
        let without = group[0].1.percentile(99.0);
        for (row, f) in &group[1..] {
            let with = f.percentile(99.0);
            // Runs differ by a few percent by chance alone.
            assert!(with < 1.1 * without, "{}: p99 {with:.1} ms, without {without:.1}", row.name);
        }
    }
}
