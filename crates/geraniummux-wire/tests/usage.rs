//! Tests on a simulated fleet that no served request is counted twice, and that a host that is
//! killed loses at most what it counted in its last second.

mod fleet;

use fleet::{Fleet, WALL_CLOCK_START_MS, ms, secs};
use geraniummux_core::usage::{Month, UsageObject};
use geraniummux_core::{Time, UnixMs};
use rand::RngExt;
use std::collections::BTreeMap;

/// The number of requests that the hosts have counted, and how many of them killed processes may
/// have lost.
#[derive(Default)]
struct ExpectedCounts {
    counted: u64,
    /// Requests that killed processes had counted in their last second, plus 100 ms for the
    /// delivery of a report.
    at_risk: u64,
    /// Times of the requests that each host has counted in the last second.
    recent: BTreeMap<usize, Vec<Time>>,
}

impl ExpectedCounts {
    fn count(&mut self, fleet: &mut Fleet, i: usize) {
        let class = ["lookup", "issue"][fleet.rng.random_range(0..2)];
        fleet.count_request(i, class);
        self.counted += 1;
        let now = fleet.now;
        let recent = self.recent.entry(i).or_default();
        recent.retain(|t| now.since(*t) <= secs(1));
        recent.push(now);
    }

    fn kill(&mut self, fleet: &mut Fleet, i: usize) {
        let recent = self.recent.remove(&i).unwrap_or_default();
        // A report that was sent within a second may still be in transit for up to 100 ms.
        let late = |t: &&Time| fleet.now.since(**t) <= secs(1) + ms(100);
        self.at_risk += recent.iter().filter(late).count() as u64;
        fleet.kill(i);
    }
}

/// Returns the sum of the counts written to the platform, and the number of months that have one.
fn written_totals(fleet: &Fleet) -> (u64, usize) {
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

// Guards against a request that is counted twice, and against a lost one that was counted earlier
// than in the last second of a killed host. Random faults coincide: hosts are killed, restarted and
// paused, datagrams and the platform's responses are lost, writes conflict, the platform is down,
// and two hosts both believe that they are the usage writer. The month ends during the run.
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
        let month_start_ms = 1_796_083_200_000;
        assert_eq!(Month::containing(UnixMs(month_start_ms)), Month(202_612));
        let elapsed =
            (month_start_ms - WALL_CLOCK_START_MS - 30_000) * 1_000 - fleet.now.as_micros();
        fleet.wall_clock_offset_ms = elapsed / 1_000;
        let mut expected = ExpectedCounts::default();
        for step in 0..60 {
            fleet.holders = (0..2).map(|_| fleet.rng.random_range(0..18)).collect();
            fleet.platform.response_loss = if fleet.rng.random_bool(0.3) { 0.4 } else { 0.0 };
            fleet.platform.down = (20..35).contains(&step);
            fleet.platform.read_lag = secs(fleet.rng.random_range(0..3));
            for _ in 0..20 {
                for i in 0..18 {
                    if fleet.is_running(i) && fleet.rng.random_bool(0.5) {
                        expected.count(&mut fleet, i);
                    }
                }
                fleet.run(ms(50));
            }
            let phase = ms(fleet.rng.random_range(0..1_000));
            fleet.run(phase);
            let i = fleet.rng.random_range(0..18);
            match fleet.rng.random_range(0..4) {
                0 if fleet.is_running(i) => expected.kill(&mut fleet, i),
                1 if fleet.is_running(i) => fleet.pause(i, secs(3)),
                _ => {}
            }
            for i in 0..18 {
                if fleet.hosts[i].process.is_none() && fleet.rng.random_bool(0.3) {
                    fleet.start(i);
                }
            }
            assert!(written_totals(&fleet).0 <= expected.counted, "seed {seed}: counted twice");
        }
        fleet.platform.clear_faults();
        fleet.loss = 0.0;
        let i = (0..18).find(|i| fleet.is_running(*i)).unwrap();
        fleet.holders = vec![i];
        fleet.run(secs(45));
        let (sum, n) = written_totals(&fleet);
        assert!(
            sum <= expected.counted,
            "seed {seed}: {sum} written, {} counted",
            expected.counted
        );
        let missing = expected.counted - sum;
        assert!(
            missing <= expected.at_risk,
            "seed {seed}: {missing} lost, at most {} allowed",
            expected.at_risk
        );
        (all, lost, allowed) = (all + expected.counted, lost + missing, allowed + expected.at_risk);
        months += n;
    }
    println!(
        "18 hosts, seeds {seeds:?}: {all} counted, 0 twice, {lost} lost with killed hosts ({allowed} were \
         counted in the last second of a killed host), {months} objects"
    );
    assert_eq!(months, 30, "both months have an object");
}

// Guards against counts that hosts take for written once the usage writer has received them, and
// that are lost if the writer is killed before it has written them.
#[test]
fn counts_writer_killed() {
    for seed in 0..5 {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.holders = vec![2];
        fleet.platform.down = true;
        for i in 0..18 {
            fleet.count_request(i, "lookup");
            fleet.count_request(i, "issue");
        }
        fleet.run(secs(25));
        fleet.kill(2);
        fleet.holders = vec![5];
        fleet.platform.down = false;
        fleet.run(secs(30));
        assert_eq!(written_totals(&fleet).0, 36, "seed {seed}");
    }
}

// Guards against counts that are lost in a shutdown, in which the host writes its own usage.
#[test]
fn counts_shutdown() {
    for seed in 0..5 {
        let mut fleet = Fleet::started(seed, 18, 1);
        for _ in 0..7 {
            fleet.count_request(4, "lookup");
        }
        fleet.write_usage(4);
        fleet.run(secs(1));
        fleet.kill(4);
        assert_eq!(written_totals(&fleet).0, 7, "seed {seed}");
    }
}

// Guards against counts that are lost, or counted twice because both sides hold them, when regions
// are partitioned for more than an hour.
#[test]
fn counts_regions_apart() {
    let mut fleet = Fleet::started(1, 12, 2);
    fleet.holders = vec![0];
    // The usage object contains counts of the processes of both regions before the partition.
    (0..12).for_each(|i| fleet.count_request(i, "lookup"));
    fleet.run(secs(30));
    assert_eq!(written_totals(&fleet).0, 12);
    for h in fleet.hosts.iter_mut().filter(|h| h.region == 1) {
        h.partition = 1;
    }
    fleet.platform.cut_partitions = vec![1];
    let mut counted = 0;
    for _ in 0..130 {
        for i in 0..12 {
            fleet.count_request(i, "lookup");
            counted += 1;
        }
        fleet.run(secs(30));
    }
    assert_eq!(written_totals(&fleet).0, 12 + counted / 2, "the region with the platform");
    fleet.hosts.iter_mut().for_each(|h| h.partition = 0);
    fleet.platform.cut_partitions.clear();
    fleet.run(secs(40));
    assert_eq!(written_totals(&fleet).0, 12 + counted);
}

// Guards against usage reports that use more than 20 KB/s per host with 70 counters on every host,
// as for 35 services with two classes each.
#[test]
fn usage_traffic() {
    for n in [18, 100] {
        let mut fleet = Fleet::started(1, n, 1);
        fleet.loss = 0.01;
        fleet.holders = vec![2];
        for i in 0..n {
            for k in 0..70 {
                fleet.count_request(i, &format!("service-{k:02}"));
            }
        }
        fleet.run(secs(20));
        fleet.hosts.iter_mut().for_each(|h| h.traffic.clear());
        for _ in 0..30 {
            for i in 0..n {
                for k in 0..70 {
                    fleet.count_request(i, &format!("service-{k:02}"));
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
