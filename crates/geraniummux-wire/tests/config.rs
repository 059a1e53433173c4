//! Distribution and edits of the configuration in virtual time.

mod fleet;

use fleet::{CONFIG, Fleet, ms, over_seeds, pools_edit, routes_edit, secs};
use geraniummux_core::config_edit::EditError;
use geraniummux_core::config_sync::{NotServingReason, Permit};
use geraniummux_core::{Error, Time};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runs for `length`; in every 20 ms, also directly after a resume, each host that would serve must
/// have every generation in force that was accepted more than `limit` ago.
fn run_checked(fleet: &mut Fleet, length: Duration, limit: Duration) {
    let end = fleet.now + length;
    while fleet.now < end {
        fleet.run(ms(20));
        check(fleet, limit);
    }
}

/// The time since the acceptance of a generation does not run while the platform is down and no
/// running host has it: then nothing and nobody could tell the others.
fn check(fleet: &mut Fleet, limit: Duration) {
    let step = fleet.now.since(fleet.checked);
    fleet.checked = fleet.now;
    let mut exposed = std::mem::take(&mut fleet.exposed);
    let running: Vec<usize> = (0..fleet.hosts.len()).filter(|i| fleet.is_running(*i)).collect();
    for (generation, time) in &mut exposed {
        let known = running.iter().any(|i| fleet.generation(*i) >= *generation);
        if known || !fleet.platform.down {
            *time += step;
        }
    }
    for (at, generation) in &fleet.platform.accepted[exposed.len()..] {
        exposed.push((*generation, fleet.now.since(*at)));
    }
    let wanted = exposed.iter().filter(|e| e.1 > limit).map(|e| e.0).max().unwrap_or(0);
    fleet.exposed = exposed;
    for i in running {
        if fleet.permit(i) == Some(Permit::Serve) && fleet.generation(i) < wanted {
            panic!(
                "seed {}: host {i} serves with generation {} at {:?}, {wanted} was accepted before",
                fleet.seed,
                fleet.generation(i),
                fleet.now
            );
        }
    }
}

fn edit(fleet: &mut Fleet, host: usize) -> usize {
    let base = fleet.hosts[host].process().sync.current().pools_revision.number;
    let slots = fleet.rng.random_range(1..1_000);
    fleet.edit(host, pools_edit(slots), base, "op")
}

/// Returns the longest time from an acceptance to being in force on a host that was up all along.
fn slowest(fleet: &Fleet) -> Duration {
    let mut worst = Duration::ZERO;
    for (at, generation) in &fleet.platform.accepted {
        for h in fleet.hosts.iter().filter(|h| h.process.is_some()) {
            let got = h.process().in_force.iter().find(|g| g.1 >= *generation);
            worst = worst.max(got.map_or(secs(999), |g| g.0.since(*at)));
        }
    }
    worst
}

// Guards against an edit that takes longer than 2 s to be in force everywhere on ordinary days.
#[test]
fn distribution_ordinary() {
    for (n, regions, loss) in [(18, 1, 0.0), (18, 1, 0.02), (100, 2, 0.01)] {
        let mut worst = Duration::ZERO;
        for seed in 0..if n == 18 { 10 } else { 2 } {
            let mut fleet = Fleet::started(seed, n, regions);
            fleet.loss = loss;
            for k in 0..5 {
                let number = edit(&mut fleet, (k * 7) % n);
                run_checked(&mut fleet, secs(4), secs(2));
                assert!(fleet.edits[&number].result.is_ok(), "seed {seed}");
            }
            worst = worst.max(slowest(&fleet));
        }
        println!(
            "hosts {n:3}, {regions} regions, loss {loss:.2}: in force everywhere within {worst:?}"
        );
        assert!(worst <= secs(2), "{worst:?}");
    }
}

// Guards against the watch or the push being the only way: the host that took the edit is killed
// directly after the platform accepted it, and the platform's watch is silent and its reads lag.
#[test]
fn distribution_silent_watch_lagging_reads() {
    let mut worst = Duration::ZERO;
    for seed in 0..20 {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.02;
        fleet.platform.silent_watch = true;
        fleet.platform.lag = secs(4);
        for k in 0..3 {
            let host = 3 + k;
            let before = fleet.platform.accepted.len();
            edit(&mut fleet, host);
            while fleet.platform.accepted.len() == before {
                fleet.run(ms(1));
            }
            fleet.kill(host);
            run_checked(&mut fleet, secs(13), secs(12));
            worst = worst.max(slowest(&fleet));
        }
    }
    println!("silent watch, reads up to 4 s old, editing host killed: in force within {worst:?}");
    assert!(worst <= secs(12));
}

// Guards against hosts that depend on the usual watchers: these have lost the platform, and the
// host that took the edit is killed.
#[test]
fn distribution_watchers_cut_off() {
    let mut worst = Duration::ZERO;
    for seed in 0..10 {
        let mut fleet = Fleet::started(seed, 18, 1);
        let watchers: Vec<usize> = (0..18)
            .filter(|i| fleet.hosts[*i].process().members.rank("config-watch") < 3)
            .collect();
        fleet.unreachable_from = watchers.clone();
        fleet.run(ms(seed * 400));
        let host = (0..18).find(|i| !watchers.contains(i)).unwrap();
        let before = fleet.platform.accepted.len();
        edit(&mut fleet, host);
        while fleet.platform.accepted.len() == before {
            fleet.run(ms(1));
        }
        fleet.kill(host);
        run_checked(&mut fleet, secs(14), secs(12));
        worst = worst.max(slowest(&fleet));
    }
    println!("watchers cut off from the platform, editing host killed: in force within {worst:?}");
    assert!(worst <= secs(12));
}

// Guards against hosts that go back to an older configuration or serve with one for longer than
// 12 s, under random faults, two at a time: platform down right after acceptance, silent watch,
// lagging reads, lost answers, a host killed, restarted, or paused for a minute.
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
        let (mut down, mut accepted) = (Time::ZERO, 0);
        for step in 0..60 {
            let host = fleet.rng.random_range(0..18);
            fleet.platform.silent_watch = fleet.rng.random_bool(0.3);
            fleet.platform.lag = secs(fleet.rng.random_range(0..4));
            fleet.platform.lost_answers = if fleet.rng.random_bool(0.3) { 0.3 } else { 0.0 };
            match fleet.rng.random_range(0..6) {
                0 | 1 if fleet.is_running(host) => {
                    edit(&mut fleet, host);
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
                check(&mut fleet, secs(12));
                if fleet.platform.accepted.len() > accepted && step % 3 == 0 {
                    // Right after an acceptance, before its answer has arrived.
                    down = fleet.now + secs(20);
                }
                accepted = fleet.platform.accepted.len();
                fleet.platform.down = fleet.now < down;
            }
        }
        fleet.platform.repair();
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

/// Every edit that reported success must be part of the history, and every one that reported
/// failure must not.
fn check_edits(fleet: &Fleet, counts: &mut BTreeMap<&'static str, u32>) {
    let history = fleet.platform.history();
    for (number, e) in &fleet.edits {
        let id = format!("write-{number}");
        let written = history.iter().any(|c| *c.write_id == *id);
        let result = match &e.result {
            Ok(_) => "accepted",
            Err(EditError::Unsettled { .. }) => "unsettled",
            Err(EditError::Rejected(_)) => "conflict",
            Err(_) => "unavailable",
        };
        *counts.entry(result).or_default() += 1;
        let expected = match result {
            "accepted" => true,
            "unsettled" => continue,
            _ => false,
        };
        assert_eq!(written, expected, "seed {}: edit {number} is {result}", fleet.seed);
    }
    // Each generation has one content, and each revision of a table one writer.
    let mut seen = BTreeMap::new();
    for c in &history {
        let id = seen.entry(c.generation).or_insert_with(|| c.write_id.clone());
        assert_eq!(*id, c.write_id, "seed {}: generation {}", fleet.seed, c.generation);
    }
}

// Guards against two operators of whom one silently overwrites the other, against a lost answer
// that makes an edit count twice or fail although it was accepted, and against a conflict between
// edits of different tables.
#[test]
fn edit_race() {
    let mut kinds = BTreeMap::new();
    for seed in 0..60 {
        let mut fleet = Fleet::started(seed, 6, 1);
        fleet.platform.lost_answers = 0.3;
        fleet.platform.lag = secs(seed % 3);
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
                Err(EditError::Unsettled { .. }) => {}
                r => panic!("seed {seed}: {r:?}"),
            }
            let kind = if r.is_ok() { "accepted" } else { "conflict or unsettled" };
            *kinds.entry(kind).or_insert(0) += 1;
        }
        let last = fleet.platform.config().unwrap();
        assert_eq!((last.generation, last.routes_revision.number), (3, 1), "seed {seed}");
    }
    println!("two operators and a third on the other table, lost answers 30%: {kinds:?}");
}

// Guards against a host that serves without a configuration that a peer or the platform confirmed,
// and against one that can't start while the platform is down although peers could answer.
#[test]
fn start_platform_down() {
    over_seeds(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        edit(&mut fleet, 3);
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
        assert_eq!(fleet.permit(9), Some(Permit::Serve), "seed {seed}: with peers");
        assert_eq!(fleet.generation(9), 2);
        // Without peers and platform it must not serve.
        fleet.kill(10);
        fleet.hosts[10].part = 1;
        fleet.platform.cut = vec![1];
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

// Guards against starting hosts that confirm each other although none has a configuration.
#[test]
fn start_all_platform_down() {
    over_seeds(0..5, |seed| {
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

// Guards against a starting host that takes a lagging read of the platform although peers have
// more, and serves with it.
#[test]
fn start_lagging_read() {
    over_seeds(0..20, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        edit(&mut fleet, 3);
        fleet.run(secs(13));
        fleet.loss = 0.3;
        fleet.platform.lag = secs(3_600);
        fleet.kill(9);
        fleet.start(9);
        let start = fleet.now;
        while fleet.permit(9) != Some(Permit::Serve) {
            fleet.run(ms(1));
            check(&mut fleet, secs(12));
            assert!(fleet.now.since(start) < secs(4), "seed {seed}: not ready");
        }
    });
}

// Guards against a host without contact that serves on while the others have a newer
// configuration, and against regions that stop serving when they lose each other.
#[test]
fn isolation_one_host() {
    over_seeds(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.hosts[7].part = 1;
        fleet.platform.cut = vec![1];
        let start = fleet.now;
        edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(20), secs(12));
        assert_eq!(
            fleet.permit(7),
            Some(Permit::Refuse(NotServingReason::Isolated)),
            "seed {seed}"
        );
        fleet.hosts[7].part = 0;
        run_checked(&mut fleet, secs(6), secs(12));
        assert_eq!(
            fleet.permit(7),
            Some(Permit::Serve),
            "seed {seed}: {:?}",
            fleet.now.since(start)
        );
        // A region apart serves on with its last configuration.
        for i in 0..9 {
            fleet.hosts[i].part = 1;
        }
        for _ in 0..300 {
            fleet.run(ms(100));
            let serves = (0..18).all(|i| fleet.permit(i) == Some(Permit::Serve));
            assert!(serves, "seed {seed}: a region stopped");
        }
    });
}

// Guards against a host that serves with an old configuration although it hears of a newer one that
// it can't fetch, and against one that refuses for ever after the last host that has it died.
#[test]
fn behind_no_tcp() {
    over_seeds(0..5, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.no_tcp = vec![7];
        fleet.unreachable_from = vec![7];
        edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(20), secs(12));
        assert_eq!(fleet.permit(7), Some(Permit::Refuse(NotServingReason::Behind)), "seed {seed}");
        for i in (0..18).filter(|i| *i != 7) {
            fleet.kill(i);
        }
        fleet.run(secs(5));
        assert_ne!(fleet.permit(7), Some(Permit::Refuse(NotServingReason::Behind)), "seed {seed}");
    });
}

// Guards against a paused host that serves with an old configuration after it resumed, also before
// its first timer.
#[test]
fn pause_one_minute() {
    over_seeds(0..20, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        fleet.loss = 0.02;
        fleet.pause(7, secs(60));
        edit(&mut fleet, 3);
        run_checked(&mut fleet, secs(59), secs(12));
        // A request thread may run before anything that waits in the sockets is read.
        fleet.hosts[7].paused_until = fleet.now;
        check(&mut fleet, secs(12));
        let mut served = None;
        let start = fleet.now;
        while served.is_none() {
            fleet.run(ms(1));
            check(&mut fleet, secs(12));
            served = (fleet.permit(7) == Some(Permit::Serve)).then_some(fleet.now);
            assert!(fleet.now.since(start) < secs(4), "seed {seed}: does not serve again");
        }
    });
}

// Guards against hosts that follow a restored backup back to an older configuration, against a
// platform that keeps the older one, and against an edit that is based on it.
#[test]
fn restored_backup_written_back() {
    over_seeds(0..10, |seed| {
        let mut fleet = Fleet::started(seed, 18, 1);
        let backup = fleet.platform.value(CONFIG);
        edit(&mut fleet, 3);
        fleet.run(secs(3));
        edit(&mut fleet, 4);
        fleet.run(secs(3));
        let in_force = fleet.platform.config().unwrap();
        let now = fleet.now;
        let restored = if seed % 2 == 0 { backup } else { None };
        fleet.platform.restore(now, CONFIG, restored);
        if seed % 3 == 0 {
            // An edit right after the restore must go on from what is in force.
            let number = edit(&mut fleet, 5);
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

// Guards against calls to the platform that grow with the fleet, and against a stampede after an
// outage.
#[test]
fn platform_calls() {
    let mut rates = Vec::new();
    for n in [18, 100] {
        let mut fleet = Fleet::started(1, n, 1);
        let before = fleet.platform.calls;
        fleet.run(secs(60));
        rates.push((fleet.platform.calls - before) as f64 / 60.0);
        fleet.platform.down = true;
        let before = fleet.platform.calls;
        fleet.run(secs(60));
        let during = (fleet.platform.calls - before) as f64 / 60.0;
        fleet.platform.down = false;
        let mut peak = 0;
        for _ in 0..30 {
            let before = fleet.platform.calls;
            fleet.run(secs(1));
            peak = peak.max(fleet.platform.calls - before);
        }
        println!(
            "hosts {n:3}: {:.1} configuration calls/s, {during:.1} while the platform is down, at \
             most {peak} in a second after it",
            rates.last().unwrap()
        );
        // The platform serves 2,000 reads/s.
        assert!(peak <= 100 && during <= 50.0, "{peak} {during}");
    }
    assert!(rates[1] <= 1.5 * rates[0], "{rates:?}");
}
