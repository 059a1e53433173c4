//! Counting across the fleet in virtual time.

mod fleet;

use fleet::{Fleet, WALL_START, ms, secs};
use geraniummux_core::usage::{Month, UsageObject};
use geraniummux_core::{Time, UnixMs};
use rand::RngExt;
use std::collections::BTreeMap;

/// Requests counted by each host's process, and by how much a kill may reduce them.
#[derive(Default)]
struct Truth {
    counted: u64,
    /// What killed processes had counted in the second before their end.
    at_risk: u64,
    recent: BTreeMap<usize, Vec<Time>>,
}

impl Truth {
    fn count(&mut self, fleet: &mut Fleet, i: usize) {
        let class = ["lookup", "issue"][fleet.rng.random_range(0..2)];
        fleet.count(i, class);
        self.counted += 1;
        let now = fleet.now;
        let recent = self.recent.entry(i).or_default();
        recent.retain(|t| now.since(*t) <= secs(1));
        recent.push(now);
    }

    fn kill(&mut self, fleet: &mut Fleet, i: usize) {
        let recent = self.recent.remove(&i).unwrap_or_default();
        // A report that was sent in time needs a network delay to arrive.
        let late = |t: &&Time| fleet.now.since(**t) <= secs(1) + ms(100);
        self.at_risk += recent.iter().filter(late).count() as u64;
        fleet.kill(i);
    }
}

fn written(fleet: &Fleet) -> (u64, usize) {
    let mut sum = (0, 0);
    for month in [202_611, 202_612, 202_701] {
        if let Some(value) = fleet.platform.value(&format!("usage/{}", Month(month))) {
            let totals = UsageObject::decode(&value).unwrap().totals();
            sum.0 += totals.iter().map(|t| t.2).sum::<u64>();
            sum.1 += usize::from(!totals.is_empty());
        }
    }
    sum
}

// Guards against a request that is counted twice or lost beyond the stated bound: kills, restarts,
// pauses, lost datagrams, lost answers and conflicts of the platform, an outage, two hosts that
// both believe that they are the writer, and the month's end in between.
#[test]
fn counts_random_faults() {
    random_faults(0..15);
}

// See counts_random_faults.
#[test]
fn counts_random_faults_more_seeds() {
    random_faults(15..30);
}

fn random_faults(seeds: std::ops::Range<u64>) {
    let (mut all, mut lost, mut allowed, mut months) = (0, 0, 0, 0);
    for seed in seeds.clone() {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.05;
        // The month ends 30 s after the start.
        let next = 1_796_083_200_000;
        assert_eq!(Month::containing(UnixMs(next)), Month(202_612));
        let elapsed = (next - WALL_START - 30_000) * 1_000 - fleet.now.as_micros();
        fleet.wall_offset_ms = elapsed / 1_000;
        let mut truth = Truth::default();
        for step in 0..60 {
            fleet.holders = (0..2).map(|_| fleet.rng.random_range(0..18)).collect();
            fleet.platform.lost_answers = if fleet.rng.random_bool(0.3) { 0.4 } else { 0.0 };
            fleet.platform.down = (20..35).contains(&step);
            fleet.platform.lag = secs(fleet.rng.random_range(0..3));
            for _ in 0..20 {
                for i in 0..18 {
                    if fleet.is_running(i) && fleet.rng.random_bool(0.5) {
                        truth.count(&mut fleet, i);
                    }
                }
                fleet.run(ms(50));
            }
            let phase = ms(fleet.rng.random_range(0..1_000));
            fleet.run(phase);
            let i = fleet.rng.random_range(0..18);
            match fleet.rng.random_range(0..4) {
                0 if fleet.is_running(i) => truth.kill(&mut fleet, i),
                1 if fleet.is_running(i) => fleet.pause(i, secs(3)),
                _ => {}
            }
            for i in 0..18 {
                if fleet.hosts[i].process.is_none() && fleet.rng.random_bool(0.3) {
                    fleet.start(i);
                }
            }
            assert!(written(&fleet).0 <= truth.counted, "seed {seed}: counted twice");
        }
        fleet.platform.repair();
        fleet.loss = 0.0;
        let i = (0..18).find(|i| fleet.is_running(*i)).unwrap();
        fleet.holders = vec![i];
        fleet.run(secs(45));
        let (sum, n) = written(&fleet);
        assert!(sum <= truth.counted, "seed {seed}: {sum} written, {} counted", truth.counted);
        let missing = truth.counted - sum;
        assert!(missing <= truth.at_risk, "seed {seed}: {missing} lost, {} may", truth.at_risk);
        (all, lost, allowed) = (all + truth.counted, lost + missing, allowed + truth.at_risk);
        months += n;
    }
    println!(
        "18 hosts, seeds {seeds:?}: {all} counted, 0 twice, {lost} lost with kills ({allowed} were \
         counted in the last second of a killed host), {months} objects"
    );
    assert_eq!(months, 30, "both months have an object");
}

// Guards against counts that are taken for written when the writer has them but dies before its
// write.
#[test]
fn counts_writer_killed() {
    for seed in 0..5 {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.holders = vec![2];
        fleet.platform.down = true;
        for i in 0..18 {
            fleet.count(i, "lookup");
            fleet.count(i, "issue");
        }
        fleet.run(secs(25));
        fleet.kill(2);
        fleet.holders = vec![5];
        fleet.platform.down = false;
        fleet.run(secs(30));
        assert_eq!(written(&fleet).0, 36, "seed {seed}");
    }
}

// Guards against a loss in a shutdown, where the host writes its usage itself.
#[test]
fn counts_shutdown() {
    for seed in 0..5 {
        let mut fleet = Fleet::started(seed, 18, 1);
        for _ in 0..7 {
            fleet.count(4, "lookup");
        }
        fleet.write_usage(4);
        fleet.run(secs(1));
        fleet.kill(4);
        assert_eq!(written(&fleet).0, 7, "seed {seed}");
    }
}

// Guards against regions apart for more than an hour that lose what they counted, and against more than one
// counting of what both sides hold.
#[test]
fn counts_regions_apart() {
    let mut fleet = Fleet::started(1, 12, 2);
    fleet.holders = vec![0];
    // The platform's object knows the processes of both regions.
    (0..12).for_each(|i| fleet.count(i, "lookup"));
    fleet.run(secs(30));
    assert_eq!(written(&fleet).0, 12);
    for h in fleet.hosts.iter_mut().filter(|h| h.region == 1) {
        h.part = 1;
    }
    fleet.platform.cut = vec![1];
    let mut counted = 0;
    for _ in 0..130 {
        for i in 0..12 {
            fleet.count(i, "lookup");
            counted += 1;
        }
        fleet.run(secs(30));
    }
    assert_eq!(written(&fleet).0, 12 + counted / 2, "the region with the platform");
    fleet.hosts.iter_mut().for_each(|h| h.part = 0);
    fleet.platform.cut.clear();
    fleet.run(secs(40));
    assert_eq!(written(&fleet).0, 12 + counted);
}

// Guards against reports that use more of the byte budget than they need: 35 services with two
// classes each on every host.
#[test]
fn usage_traffic() {
    for n in [18, 100] {
        let mut fleet = Fleet::started(1, n, 1);
        fleet.loss = 0.01;
        fleet.holders = vec![2];
        for i in 0..n {
            for k in 0..70 {
                fleet.count(i, &format!("service-{k:02}"));
            }
        }
        fleet.run(secs(20));
        fleet.hosts.iter_mut().for_each(|h| h.traffic.clear());
        for _ in 0..30 {
            for i in 0..n {
                for k in 0..70 {
                    fleet.count(i, &format!("service-{k:02}"));
                }
            }
            fleet.run(secs(1));
        }
        let rates: Vec<u64> =
            fleet.hosts.iter().map(|h| h.traffic.get("usage").copied().unwrap_or(0) / 30).collect();
        let mean = rates.iter().sum::<u64>() / n as u64;
        let max = rates.iter().max().unwrap();
        println!("hosts {n:3}: usage of 70 counters each, mean {mean} max {max} B/s per host");
        assert!(*max <= 20_000);
    }
}
