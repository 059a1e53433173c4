//! Measures the cost of choosing a target and of load digests.
//!
//! Run with `cargo run --release -p geraniummux-core --example decision_cost`. The figures depend
//! on the machine, so CI does not run this.

use geraniummux_core::balance::{Balancer, BalancerOptions, Exclusion, Policy};
use geraniummux_core::load::{
    AttemptEnd, DIGEST_ENTRY_LEN, DIGEST_OVERHEAD_LEN, LoadDigest, LoadOptions, LoadReport,
    LoadTable, TargetId,
};
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Number of decisions over which the cost is averaged.
const DECISIONS: u32 = 200_000;
/// Seconds of virtual time over which the cost of digests is measured.
const DIGEST_PERIOD_S: u64 = 10;

fn pools(count: usize, targets: usize) -> Vec<Pool> {
    let pool = |p: usize| {
        let targets: Vec<serde_json::Value> = (0..targets)
            .map(|i| {
                serde_json::json!({"name": format!("t{i:03}"),
                    "failure_domain": format!("d{}", i % 3),
                    "addr": format!("10.{p}.{}.{}:80", i / 250, i % 250)})
            })
            .collect();
        let value = serde_json::json!({"name": format!("p{p:02}"), "targets": targets});
        serde_json::from_value(value).unwrap()
    };
    (0..count).map(pool).collect()
}

fn ids(table: &LoadTable, pools: &[Pool]) -> Vec<TargetId> {
    let ids =
        |p: &Pool| p.targets.iter().filter_map(|t| table.id(&p.name, &t.name)).collect::<Vec<_>>();
    pools.iter().flat_map(ids).collect()
}

fn record_answer(table: &mut LoadTable, id: TargetId, rng: &mut SmallRng, sent: Time, now: Time) {
    let report = LoadReport { in_flight: rng.random_range(0..7), queued: rng.random_range(0..9) };
    table.on_end(id, sent, AttemptEnd::Answered, Some(report), now);
}

/// Returns the time in nanoseconds per choice of a target, and per send and answer recorded.
fn measure_decision(policy: Policy, targets: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let pools = pools(1, targets);
    let mut table = LoadTable::new(&pools, LoadOptions::default());
    let ids = ids(&table, &pools);
    let options = BalancerOptions { policy, ..BalancerOptions::default() };
    let mut balancer = Balancer::new(&pools[0], &table, "d0".into(), options);
    let mut now = Time::from_millis(1_000);
    for id in &ids {
        table.on_sent(*id, now);
        record_answer(&mut table, *id, &mut rng, now, now + Duration::from_millis(9));
    }
    let (mut choose_time, mut record_time) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..DECISIONS / 100 {
        now = now + Duration::from_millis(20);
        let start = Instant::now();
        let mut chosen = [None; 100];
        for c in &mut chosen {
            *c = balancer.choose(black_box(&table), Exclusion::default(), now, &mut rng);
        }
        choose_time += start.elapsed();
        let start = Instant::now();
        for id in chosen.iter().flatten().map(|c| c.target) {
            table.on_sent(id, now);
            record_answer(&mut table, id, &mut rng, now, now + Duration::from_millis(9));
            balancer.on_end(id, AttemptEnd::Answered, now);
        }
        record_time += start.elapsed();
    }
    let per = |d: Duration| d.as_nanos() as f64 / f64::from(DECISIONS);
    (per(choose_time), per(record_time))
}

/// Prints bytes and CPU time of digests per second at one host, which answers `rate` requests per
/// second.
fn measure_digests(hosts: usize, pool_count: usize, rate: u64) {
    let mut rng = SmallRng::seed_from_u64(2);
    let pools = pools(pool_count, 15);
    let mut table = LoadTable::new(&pools, LoadOptions::default());
    let ids = ids(&table, &pools);
    let (mut bytes, mut copies, mut entries) = (0, 0, 0);
    let mut send_time = Duration::ZERO;
    let mut sent: Vec<LoadDigest> = Vec::new();
    for i in 0..rate * DIGEST_PERIOD_S {
        let now = Time::from_micros(1_000_000 + i * 1_000_000 / rate);
        let id = ids[rng.random_range(0..ids.len())];
        table.on_sent(id, now - Duration::from_millis(10));
        record_answer(&mut table, id, &mut rng, now - Duration::from_millis(10), now);
        let start = Instant::now();
        if let Some(due) = table.poll_digest(hosts - 1, now) {
            black_box(postcard::to_allocvec(&due.digest).unwrap());
            bytes +=
                due.fanout * (DIGEST_OVERHEAD_LEN + due.digest.entries.len() * DIGEST_ENTRY_LEN);
            copies += due.fanout;
            entries += due.digest.entries.len();
            sent.push(due.digest);
        }
        send_time += start.elapsed();
    }
    let encoded: Vec<Vec<u8>> = sent.iter().map(|d| postcard::to_allocvec(d).unwrap()).collect();
    let now = Time::from_micros(1_000_000 + DIGEST_PERIOD_S * 1_000_000);
    let start = Instant::now();
    // On average a host receives as many copies as it sends.
    for i in 0..copies {
        let bytes = &encoded[i % encoded.len()];
        table.on_digest(&postcard::from_bytes(bytes).unwrap(), now);
    }
    let receive_time = start.elapsed();
    let cpu = (send_time + receive_time).as_secs_f64() / DIGEST_PERIOD_S as f64 * 100.0;
    println!(
        "{hosts:>5} {:>8} {:>10} {:>10.1} {:>9.1} {:>14.0} {:>12.4}%",
        pool_count * 15,
        rate,
        sent.len() as f64 / DIGEST_PERIOD_S as f64,
        entries as f64 / sent.len().max(1) as f64,
        bytes as f64 / DIGEST_PERIOD_S as f64,
        cpu
    );
}

fn main() {
    println!("ns per choice, and per send and answer recorded, by pool size");
    println!("{:20} {:>8} {:>8} {:>8}", "policy", "targets", "choose", "record");
    for policy in [Policy::TwoChoicesLocal, Policy::Estimate] {
        for targets in [15, 60, 180, 520] {
            let (choose, record) = measure_decision(policy, targets);
            println!("{:20} {targets:>8} {choose:>8.0} {record:>8.0}", policy.as_str());
        }
    }
    println!("\ndigests per host, with random reports: about one in seven answers adds an entry");
    println!(
        "{:>5} {:>8} {:>10} {:>10} {:>9} {:>14} {:>13}",
        "hosts", "targets", "answers/s", "digests/s", "entries", "bytes/s sent", "CPU of a core"
    );
    measure_digests(18, 1, 400);
    measure_digests(50, 17, 1_200);
    measure_digests(100, 35, 1_200);
}
