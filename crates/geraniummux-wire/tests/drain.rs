//! Leaving targets across the fleet in virtual time.

mod fleet;

use fleet::{Fleet, ms, secs, target};
use geraniummux_core::Time;
use geraniummux_core::config_sync::Permit;
use geraniummux_core::drain::TargetPermit;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Panics if a host would send a request to a target that left more than 3 s ago.
fn check(fleet: &Fleet, leaving: &[(Time, SocketAddr)]) {
    for i in (0..fleet.hosts.len()).filter(|i| fleet.permit(*i) == Some(Permit::Serve)) {
        let now = fleet.hosts[i].local(fleet.now);
        for (at, target) in leaving.iter().filter(|l| fleet.now.since(l.0) > secs(3)) {
            let permit = fleet.hosts[i].process().drain.permit(now, *target);
            let after = fleet.now.since(*at);
            assert!(
                permit != TargetPermit::Send,
                "seed {}: host {i} would send to {target} {after:?} after it left",
                fleet.seed
            );
        }
    }
}

// Guards against requests to a target that left more than 3 s ago on any host, also on hosts that
// were paused or started meanwhile, when the host that heard of it first is killed at once, and
// when one notice in ten is lost. Each target is reported once only.
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
            // Pauses around the 1 s limit of detection, and long ones.
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
                resume_checked(&mut fleet, ms(10), &leaving);
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
    println!("hosts {n:3}, loss {loss:.2}: all hosts that were not paused know within {slowest:?}");
}

/// Runs for `step` and checks, also at the very moment in which a host resumes, before it has
/// handled anything that waits for it.
fn resume_checked(fleet: &mut Fleet, step: Duration, leaving: &[(Time, SocketAddr)]) {
    let end = fleet.now + step;
    for i in 0..fleet.hosts.len() {
        let until = fleet.hosts[i].paused_until;
        if until > fleet.now && until <= end {
            fleet.run((until - Duration::from_micros(1)).since(fleet.now));
            fleet.hosts[i].paused_until = fleet.now;
            check(fleet, leaving);
            fleet.hosts[i].paused_until = until;
        }
    }
    if end > fleet.now {
        fleet.run(end.since(fleet.now));
    }
    check(fleet, leaving);
}

// Guards against notices that use more of the byte budget than they need when a whole pool of 15
// targets is drained at once.
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
