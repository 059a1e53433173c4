//! Tests the distribution and the editing of the configuration on a simulated fleet.

mod fleet;

use fleet::{CONFIG, Fleet, for_each_seed, ms, pools_edit, routes_edit, secs};
use geraniummux_core::config_edit::EditError;
use geraniummux_core::config_sync::{NotServingReason, Permit};
use geraniummux_core::{Error, Time};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runs for `length` and calls [`check_served_generations`] every 20 ms, so also soon after a host
/// resumes.
fn run_checked(fleet: &mut Fleet, length: Duration, limit: Duration) {
    let end = fleet.now + length;
    while fleet.now < end {
        fleet.run(ms(20));
        check_served_generations(fleet, limit);
    }
}

/// Panics if a host would serve requests with a lower generation than one that was accepted more
/// than `limit` ago.
///
/// The time since the acceptance doesn't advance while the platform is down and no running host has
/// the generation or a later one, because the other hosts can't receive it then.
fn check_served_generations(fleet: &mut Fleet, limit: Duration) {
    let step = fleet.now.since(fleet.last_check);
    fleet.last_check = fleet.now;
    let mut exposure = std::mem::take(&mut fleet.exposure);
    let running: Vec<usize> = (0..fleet.hosts.len()).filter(|i| fleet.is_running(*i)).collect();
    for (generation, time) in &mut exposure {
        let available = running.iter().any(|i| fleet.generation(*i) >= *generation);
        if available || !fleet.platform.down {
            *time += step;
        }
    }
    for (at, generation) in &fleet.platform.accepted[exposure.len()..] {
        exposure.push((*generation, fleet.now.since(*at)));
    }
    let required = exposure.iter().filter(|e| e.1 > limit).map(|e| e.0).max().unwrap_or(0);
    fleet.exposure = exposure;
    for i in running {
        if fleet.permit(i) == Some(Permit::Serve) && fleet.generation(i) < required {
            panic!(
                "seed {}: host {i} serves with generation {} at {:?}, {required} was accepted before",
                fleet.seed,
                fleet.generation(i),
                fleet.now
            );
        }
    }
}

/// Starts an edit of the pools table on a host, based on the revision in force there.
fn start_edit(fleet: &mut Fleet, host: usize) -> usize {
    let base = fleet.hosts[host].process().sync.current().pools_revision.number;
    let slots = fleet.rng.random_range(1..1_000);
    fleet.edit(host, pools_edit(slots), base, "op")
}

/// Returns the longest time from the acceptance of a generation to its adoption by a host, among
/// the hosts that have a process now. A generation that such a host lacks counts as 999 s.
fn max_distribution_time(fleet: &Fleet) -> Duration {
    let mut worst = Duration::ZERO;
    for (at, generation) in &fleet.platform.accepted {
        for h in fleet.hosts.iter().filter(|h| h.process.is_some()) {
            let got = h.process().adoptions.iter().find(|g| g.1 >= *generation);
            worst = worst.max(got.map_or(secs(999), |g| g.0.since(*at)));
        }
    }
    worst
}

// Guards against an edit that takes longer than 2 s to be in force on all hosts when neither a host
// nor the platform fails. Packet loss of up to 2% is part of normal operation.
#[test]
fn distribution_ordinary() {
    for (n, regions, loss) in [(18, 1, 0.0), (18, 1, 0.02), (100, 2, 0.01)] {
        let mut worst = Duration::ZERO;
        for seed in 0..if n == 18 { 10 } else { 2 } {
            let mut fleet = Fleet::started(seed, n, regions);
            fleet.loss = loss;
            for k in 0..5 {
                let number = start_edit(&mut fleet, (k * 7) % n);
                run_checked(&mut fleet, secs(4), secs(2));
                assert!(fleet.edits[&number].result.is_ok(), "seed {seed}");
            }
            worst = worst.max(max_distribution_time(&fleet));
        }
        println!(
            "hosts {n:3}, {regions} regions, loss {loss:.2}: in force everywhere within {worst:?}"
        );
        assert!(worst <= secs(2), "{worst:?}");
    }
}

// Guards against a configuration that is distributed only by the watch or by the push after an
// edit. The host that made the edit is killed directly after the platform accepted it, the
// platform's watch reports no changes, and its reads are stale.
#[test]
fn distribution_silent_watch_lagging_reads() {
    let mut worst = Duration::ZERO;
    for seed in 0..20 {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.02;
        fleet.platform.silent_watch = true;
        fleet.platform.read_lag = secs(4);
        for k in 0..3 {
            let host = 3 + k;
            let before = fleet.platform.accepted.len();
            start_edit(&mut fleet, host);
            while fleet.platform.accepted.len() == before {
                fleet.run(ms(1));
            }
            fleet.kill(host);
            run_checked(&mut fleet, secs(13), secs(12));
            worst = worst.max(max_distribution_time(&fleet));
        }
    }
    println!(
        "silent watch, reads up to 4 s old, editing host killed: in force everywhere within {worst:?}"
    );
    assert!(worst <= secs(12));
}

// Guards against hosts that receive a new configuration only from the three hosts that normally
// watch the platform. These can't reach the platform, and the host that made the edit is killed.
#[test]
fn distribution_watchers_cut_off() {
    let mut worst = Duration::ZERO;
    for seed in 0..10 {
        let mut fleet = Fleet::started(seed, 18, 1);
        let watchers: Vec<usize> = (0..18)
            .filter(|i| fleet.hosts[*i].process().members.rank("config-watch") < 3)
            .collect();
        fleet.no_platform = watchers.clone();
        fleet.run(ms(seed * 400));
        let host = (0..18).find(|i| !watchers.contains(i)).unwrap();
        let before = fleet.platform.accepted.len();
        start_edit(&mut fleet, host);
        while fleet.platform.accepted.len() == before {
            fleet.run(ms(1));
        }
        fleet.kill(host);
        run_checked(&mut fleet, secs(14), secs(12));
        worst = worst.max(max_distribution_time(&fleet));
    }
    println!(
        "watchers cut off from the platform, editing host killed: in force everywhere within {worst:?}"
    );
    assert!(worst <= secs(12));
}

// Guards against hosts that revert to an older configuration, or serve with one for longer than
// 12 s after a newer one was accepted. Random faults coincide: the platform is down right after it
// accepted an edit, its watch reports no changes, its reads are stale, its responses are lost, and
// hosts are killed, restarted, or paused for up to a minute.
#[test]
fn distribution_random_faults() {
    random_faults(0..20);
}

// See distribution_random_faults.
#[test]
fn distribution_random_faults_more_seeds() {
    random_faults(20..40);
}

fn random_faults(seeds: std::ops::Range<u64>) {
    let mut edits = BTreeMap::new();
    for seed in seeds.clone() {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.02;
        let (mut down_until, mut accepted) = (Time::ZERO, 0);
        for step in 0..60 {
            let host = fleet.rng.random_range(0..18);
            fleet.platform.silent_watch = fleet.rng.random_bool(0.3);
            fleet.platform.read_lag = secs(fleet.rng.random_range(0..4));
            fleet.platform.response_loss = if fleet.rng.random_bool(0.3) { 0.3 } else { 0.0 };
            match fleet.rng.random_range(0..6) {
                0 | 1 if fleet.is_running(host) => {
                    start_edit(&mut fleet, host);
                }
                2 => {
                    let length = [ms(1_500), secs(5), secs(60)][fleet.rng.random_range(0..3)];
                    if fleet.is_running(host) {
                        fleet.pause(host, length);
                    }
                }
                3 => {
                    fleet.kill(host);
                }
                _ => {}
            }
            for i in 0..18 {
                if fleet.hosts[i].process.is_none() && fleet.rng.random_bool(0.2) {
                    fleet.start(i);
                }
            }
            let end = fleet.now + secs(1);
            while fleet.now < end {
                fleet.run(ms(20));
                check_served_generations(&mut fleet, secs(12));
                if fleet.platform.accepted.len() > accepted && step % 3 == 0 {
                    // Directly after the platform accepted a write, before the host has the
                    // response.
                    down_until = fleet.now + secs(20);
                }
                accepted = fleet.platform.accepted.len();
                fleet.platform.down = fleet.now < down_until;
            }
        }
        fleet.platform.clear_faults();
        for i in 0..18 {
            if fleet.hosts[i].process.is_none() {
                fleet.start(i);
            }
        }
        run_checked(&mut fleet, secs(75), secs(12));
        let last = fleet.platform.config().unwrap();
        for i in 0..18 {
            assert_eq!(fleet.generation(i), last.generation, "seed {seed}: host {i} at the end");
            assert_eq!(fleet.permit(i), Some(Permit::Serve), "seed {seed}: host {i} at the end");
        }
        check_edits(&fleet, &mut edits);
    }
    println!("18 hosts, random faults, seeds {seeds:?}: edits {edits:?}");
}

/// Panics if an edit that reported success was not written, if one that reported failure was
/// written, or if two edits were written with the same generation.
fn check_edits(fleet: &Fleet, counts: &mut BTreeMap<&'static str, u32>) {
    let history = fleet.platform.history();
    for (number, e) in &fleet.edits {
        let id = format!("write-{number}");
        let written = history.iter().any(|c| *c.write_id == *id);
        let result = match &e.result {
            Ok(_) => "accepted",
            Err(EditError::Undecided { .. }) => "undecided",
            Err(EditError::Rejected(_)) => "conflict",
            Err(_) => "unavailable",
        };
        *counts.entry(result).or_default() += 1;
        let expected = match result {
            "accepted" => true,
            "undecided" => continue,
            _ => false,
        };
        assert_eq!(written, expected, "seed {}: edit {number} is {result}", fleet.seed);
    }
    // Each generation results from one edit.
    let mut seen = BTreeMap::new();
    for c in &history {
        let id = seen.entry(c.generation).or_insert_with(|| c.write_id.clone());
        assert_eq!(*id, c.write_id, "seed {}: generation {}", fleet.seed, c.generation);
    }
}

// Guards against concurrent edits of a table of which one silently overwrites the other, against an
// edit that is applied twice or reported as failed because the response to its write was lost, and
// against a conflict between edits of different tables.
#[test]
fn edit_race() {
    let mut result_counts = BTreeMap::new();
    for seed in 0..60 {
        let mut fleet = Fleet::started(seed, 6, 1);
        fleet.platform.response_loss = 0.3;
        fleet.platform.read_lag = secs(seed % 3);
        let a = fleet.edit(0, pools_edit(10), 1, "ana");
        let b = fleet.edit(1, pools_edit(20), 1, "ben");
        let c = fleet.edit(2, routes_edit(30), 0, "cid");
        fleet.run(secs(13));
        let results: Vec<_> = [a, b, c].iter().map(|n| &fleet.edits[n].result).collect();
        let history = fleet.platform.history();
        let wins =
            |n: usize| history.iter().filter(|h| *h.write_id == *format!("write-{n}")).count();
        assert_eq!(wins(a) + wins(b), 1, "seed {seed}: one edit of the pools table wins");
        assert_eq!(wins(c), 1, "seed {seed}: the edit of the routes table is merged once");
        for (n, r) in [a, b, c].iter().zip(&results) {
            match r {
                Ok(_) => assert_eq!(wins(*n), 1, "seed {seed}"),
                Err(EditError::Rejected(Error::Conflict {
                    current: 2, base: 1, writer, ..
                })) => {
                    let winner = if wins(a) == 1 { "ana" } else { "ben" };
                    assert_eq!((wins(*n), &**writer), (0, winner), "seed {seed}");
                }
                Err(EditError::Undecided { .. }) => {}
                r => panic!("seed {seed}: {r:?}"),
            }
            let kind = if r.is_ok() { "accepted" } else { "conflict or undecided" };
            *result_counts.entry(kind).or_insert(0) += 1;
        }
        let last = fleet.platform.config().unwrap();
        assert_eq!((last.generation, last.routes_revision.number), (3, 1), "seed {seed}");
    }
    println!(
        "two edits of one table and one of the other, 30% of responses lost: {result_counts:?}"
    );
}

// Guards against a starting host that serves without a configuration from a peer or the platform,
// and against one that can't start while the platform is down although its peers have a
// configuration.
#[test]
fn start_platform_down() {
    for_each_seed(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        start_edit(&mut fleet, 3);
        fleet.run(secs(3));
        fleet.platform.down = true;
        fleet.kill(9);
        fleet.run(secs(5));
        fleet.start(9);
        assert_eq!(
            fleet.permit(9),
            Some(Permit::Refuse(NotServingReason::Starting)),
            "seed {seed}"
        );
        run_checked(&mut fleet, secs(3), secs(3));
        assert_eq!(
            fleet.permit(9),
            Some(Permit::Serve),
            "seed {seed}: does not serve with peers only"
        );
        assert_eq!(fleet.generation(9), 2);
        // A host that reaches neither peers nor the platform must not serve.
        fleet.kill(10);
        fleet.hosts[10].partition = 1;
        fleet.platform.cut_partitions = vec![1];
        fleet.start(10);
        for _ in 0..100 {
            fleet.run(ms(200));
            assert_eq!(
                fleet.permit(10),
                Some(Permit::Refuse(NotServingReason::Starting)),
                "seed {seed}"
            );
        }
    });
}

// Guards against hosts that start at the same time while the platform is down and take each other's
// empty configuration for the current one.
#[test]
fn start_all_platform_down() {
    for_each_seed(0..5, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.platform.down = true;
        for i in 0..18 {
            fleet.kill(i);
            fleet.start(i);
        }
        for _ in 0..100 {
            fleet.run(ms(200));
            assert!((0..18).all(|i| fleet.permit(i) != Some(Permit::Serve)), "seed {seed}");
        }
        fleet.platform.down = false;
        fleet.run(secs(15));
        assert!((0..18).all(|i| fleet.permit(i) == Some(Permit::Serve)), "seed {seed}");
    });
}

// Guards against a starting host that serves with a configuration from a stale read of the platform
// although its peers have a newer one.
#[test]
fn start_lagging_read() {
    for_each_seed(0..20, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        start_edit(&mut fleet, 3);
        fleet.run(secs(13));
        fleet.loss = 0.3;
        fleet.platform.read_lag = secs(3_600);
        fleet.kill(9);
        fleet.start(9);
        let start = fleet.now;
        while fleet.permit(9) != Some(Permit::Serve) {
            fleet.run(ms(1));
            check_served_generations(&mut fleet, secs(12));
            assert!(
                fleet.now.since(start) < secs(4),
                "seed {seed}: does not serve 4 s after the start"
            );
        }
    });
}

// Guards against a host that is isolated from its peers and the platform and keeps serving while
// the others have a newer configuration, and against regions that stop serving when they are
// partitioned from each other.
#[test]
fn isolation_one_host() {
    for_each_seed(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.hosts[7].partition = 1;
        fleet.platform.cut_partitions = vec![1];
        let start = fleet.now;
        start_edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(20), secs(12));
        assert_eq!(
            fleet.permit(7),
            Some(Permit::Refuse(NotServingReason::Isolated)),
            "seed {seed}"
        );
        fleet.hosts[7].partition = 0;
        run_checked(&mut fleet, secs(6), secs(12));
        assert_eq!(
            fleet.permit(7),
            Some(Permit::Serve),
            "seed {seed}: {:?}",
            fleet.now.since(start)
        );
        // Two halves that are partitioned from each other keep serving with their last
        // configuration, including the half that can't reach the platform.
        for i in 0..9 {
            fleet.hosts[i].partition = 1;
        }
        for _ in 0..300 {
            fleet.run(ms(100));
            let serves = (0..18).all(|i| fleet.permit(i) == Some(Permit::Serve));
            assert!(serves, "seed {seed}: half of the hosts stopped serving");
        }
    });
}

// Guards against a host that serves with an old configuration although a newer one is announced
// that it can't fetch, and against one that refuses requests forever after the last host with the
// newer configuration has died.
#[test]
fn behind_no_tcp() {
    for_each_seed(0..5, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.no_tcp = vec![7];
        fleet.no_platform = vec![7];
        start_edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(20), secs(12));
        assert_eq!(fleet.permit(7), Some(Permit::Refuse(NotServingReason::Behind)), "seed {seed}");
        for i in (0..18).filter(|i| *i != 7) {
            fleet.kill(i);
        }
        fleet.run(secs(5));
        assert_ne!(fleet.permit(7), Some(Permit::Refuse(NotServingReason::Behind)), "seed {seed}");
    });
}

// Guards against a host that serves with an old configuration after a pause of a minute, also
// before its first timer has run.
#[test]
fn pause_one_minute() {
    for_each_seed(0..20, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.02;
        fleet.pause(7, secs(60));
        start_edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(59), secs(12));
        // A thread that handles requests may run before anything is read from the sockets.
        fleet.hosts[7].paused_until = fleet.now;
        check_served_generations(&mut fleet, secs(12));
        let mut served = None;
        let start = fleet.now;
        while served.is_none() {
            fleet.run(ms(1));
            check_served_generations(&mut fleet, secs(12));
            served = (fleet.permit(7) == Some(Permit::Serve)).then_some(fleet.now);
            assert!(
                fleet.now.since(start) < secs(4),
                "seed {seed}: does not serve 4 s after the pause"
            );
        }
    });
}

// Guards against hosts that revert to an older configuration when a backup is restored on the
// platform, against an older configuration that is not overwritten there, and against an edit that
// is based on it.
#[test]
fn restored_backup_written_back() {
    for_each_seed(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        let backup = fleet.platform.value(CONFIG);
        start_edit(&mut fleet, 3);
        fleet.run(secs(3));
        start_edit(&mut fleet, 4);
        fleet.run(secs(3));
        let in_force = fleet.platform.config().unwrap();
        let now = fleet.now;
        let restored = if seed % 2 == 0 { backup } else { None };
        fleet.platform.put(now, CONFIG, restored);
        if seed % 3 == 0 {
            // An edit directly after the restore must be based on the configuration in force.
            let number = start_edit(&mut fleet, 5);
            fleet.run(secs(5));
            let config = fleet.edits[&number].result.clone().unwrap();
            assert_eq!(config.generation, in_force.generation + 1, "seed {seed}");
        } else {
            fleet.run(secs(20));
            assert_eq!(fleet.platform.config().as_ref(), Some(&in_force), "seed {seed}");
        }
        for i in 0..18 {
            assert!(fleet.generation(i) >= in_force.generation, "seed {seed}: host {i}");
        }
    });
}

// Guards against a rate of platform calls that grows with the number of hosts, and against a surge
// of calls after an outage of the platform.
#[test]
fn platform_calls() {
    let mut rates = Vec::new();
    for n in [18, 100] {
        let mut fleet = Fleet::started(1, n, 1);
        let before = fleet.platform.call_count;
        fleet.run(secs(60));
        rates.push((fleet.platform.call_count - before) as f64 / 60.0);
        fleet.platform.down = true;
        let before = fleet.platform.call_count;
        fleet.run(secs(60));
        let during = (fleet.platform.call_count - before) as f64 / 60.0;
        fleet.platform.down = false;
        let mut peak = 0;
        for _ in 0..30 {
            let before = fleet.platform.call_count;
            fleet.run(secs(1));
            peak = peak.max(fleet.platform.call_count - before);
        }
        println!(
            "hosts {n:3}: {:.1} configuration calls/s, {during:.1} while the platform is down, at \
             most {peak} per second after the outage",
            rates.last().unwrap()
        );
        // The platform serves 2,000 reads/s.
        assert!(peak <= 100 && during <= 50.0, "{peak} {during}");
    }
    assert!(rates[1] <= 1.5 * rates[0], "{rates:?}");
}
