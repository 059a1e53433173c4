//! Tests on a simulated fleet that all hosts stop sending to leaving targets in time.

mod fleet;

use fleet::{Fleet, ms, secs, target};
use geraniummux_core::Time;
use geraniummux_core::config_sync::Permit;
use geraniummux_core::drain::TargetPermit;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Panics if a host would send a request to a target that was reported to be leaving more than 3 s
/// ago.
fn assert_no_sends_to_leaving_targets(fleet: &Fleet, leaving: &[(Time, SocketAddr)]) {
    for i in (0..fleet.hosts.len()).filter(|i| fleet.permit(*i) == Some(Permit::Serve)) {
        let now = fleet.hosts[i].local(fleet.now);
        for (at, target) in leaving.iter().filter(|l| fleet.now.since(l.0) > secs(3)) {
            let permit = fleet.hosts[i].process().drain.permit(now, *target);
            let after = fleet.now.since(*at);
            assert!(
                permit != TargetPermit::Send,
                "seed {}: host {i} would send to {target} {after:?} after the report that it is leaving",
                fleet.seed
            );
        }
    }
}

// Guards against requests to a target that was reported to be leaving more than 3 s ago, on any
// host. Hosts are paused and started meanwhile, up to one notice in ten is lost, and the host that
// received the report is killed 10 ms later for every second target. Each target is reported only
// once.
#[test]
fn leaving_reaches_all() {
    reaches_all(18, 0.02, 30);
}

// See leaving_reaches_all.
#[test]
fn leaving_reaches_all_high_loss() {
    reaches_all(18, 0.10, 30);
}

// See leaving_reaches_all.
#[test]
fn leaving_reaches_all_100_hosts() {
    reaches_all(100, 0.02, 2);
}

fn reaches_all(n: usize, loss: f64, seeds: u64) {
    let mut slowest = ms(10);
    for seed in 0..seeds {
        let mut fleet = Fleet::started(seed, n, 1);
        fleet.loss = loss;
        let mut leaving = Vec::new();
        for k in 0..4 {
            // Pauses just below and above 1 s, from which a host detects a pause, and longer ones.
            for length in [ms(900), ms(1_100), ms(2_800), secs(5), secs(20)] {
                let i = fleet.rng.random_range(0..n);
                if fleet.is_running(i) {
                    fleet.pause(i, length);
                }
            }
            let reporter = (0..n).find(|i| fleet.is_running(*i)).unwrap();
            leaving.push((fleet.now, target(k)));
            fleet.report_leaving(reporter, target(k));
            if k % 2 == 1 {
                fleet.run(ms(10));
                fleet.kill(reporter);
            }
            for step in 0..600 {
                run_checked(&mut fleet, ms(10), &leaving);
                if step == 300 && fleet.hosts[reporter].process.is_none() {
                    fleet.start(reporter);
                }
                let all = (0..n).all(|i| {
                    let h = &fleet.hosts[i];
                    !fleet.is_running(i)
                        || h.paused_until > leaving[usize::from(k)].0
                        || h.process().drain.is_leaving(h.local(fleet.now), target(k))
                });
                if !all && step < 300 {
                    slowest = slowest.max(fleet.now.since(leaving[usize::from(k)].0) + ms(10));
                }
            }
        }
    }
    println!(
        "hosts {n:3}, loss {loss:.2}: all hosts that were not paused received the \
         report within {slowest:?}"
    );
}

/// Runs for `step` and checks at its end, and also at the instant at which a host resumes, before
/// it has handled any pending event.
fn run_checked(fleet: &mut Fleet, step: Duration, leaving: &[(Time, SocketAddr)]) {
    let end = fleet.now + step;
    for i in 0..fleet.hosts.len() {
        let until = fleet.hosts[i].paused_until;
        if until > fleet.now && until <= end {
            fleet.run((until - Duration::from_micros(1)).since(fleet.now));
            fleet.hosts[i].paused_until = fleet.now;
            assert_no_sends_to_leaving_targets(fleet, leaving);
            fleet.hosts[i].paused_until = until;
        }
    }
    if end > fleet.now {
        fleet.run(end.since(fleet.now));
    }
    assert_no_sends_to_leaving_targets(fleet, leaving);
}

// Guards against leaving notices that use more than 14 KB/s per host when a whole pool of
// 15 targets is drained at once.
#[test]
fn leaving_traffic() {
    for n in [18, 100] {
        let mut fleet = Fleet::started(1, n, 1);
        fleet.loss = 0.01;
        fleet.hosts.iter_mut().for_each(|h| h.traffic.clear());
        for k in 0..15 {
            fleet.report_leaving(usize::from(k) % n, target(k));
        }
        fleet.run(secs(10));
        let rates: Vec<u64> = fleet
            .hosts
            .iter()
            .map(|h| h.traffic.get("leaving").copied().unwrap_or(0) / 10)
            .collect();
        let max = rates.iter().max().unwrap();
        println!(
            "hosts {n:3}: 15 targets drained at once use at most {max} B/s over 10 s per host"
        );
        assert!(*max <= 14_000);
    }
}
