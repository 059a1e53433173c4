//! Runs requests that crash targets and targets that fail by themselves in virtual time.

use geraniummux_core::Time;
use geraniummux_core::quarantine::{
    Block, CrashReport, Fingerprint, Quarantine, QuarantineOptions,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

const HOSTS: usize = 6;
const TARGETS: usize = 15;
const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// Longest delay of a message between hosts.
const PEER_DELAY: u64 = 3 * MS;
/// Longest time that a strike's acknowledgement is waited for.
const ACK: u64 = 50 * MS;
const POISON: Fingerprint = Fingerprint { tenant: 1, request: 0 };

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Full,
    /// Nothing is ever blocked.
    Off,
    /// Strikes stay on the host that saw them.
    Local,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    mode: Mode,
    /// Probability that a message between hosts is lost; it is sent again every 100 ms.
    loss: f64,
    /// Callers that repeat the crashing request, and their pause.
    poison: (usize, u64),
    /// Targets that die by themselves at 3 s, and over which time.
    rack: (usize, u64),
    /// Other requests a second.
    rate: u64,
}

#[derive(Debug)]
enum Ev {
    Innocent,
    Poison { caller: usize },
    Try { req: usize },
    Finish { req: usize, attempt: u32 },
    CrashReport { host: usize, crash_report: CrashReport },
    Answered { host: usize, fingerprint: Fingerprint },
    Break { target: usize },
    Up { target: usize },
}

struct Req {
    fingerprint: Fingerprint,
    host: usize,
    arrived: u64,
    attempts: u32,
    target: Option<usize>,
    ended: Option<u64>,
}

struct Sim {
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Ev>>,
    hosts: Vec<Quarantine>,
    up: [bool; TARGETS],
    names: Vec<Arc<str>>,
    reqs: Vec<Req>,
    /// Requests on each target.
    running: Vec<Vec<usize>>,
    /// Times at which the crashing request took down a target, with the target.
    kills: Vec<(u64, usize)>,
    /// Strikes of the crashing request, with the time and the time each host merged it.
    crash_reports: Vec<(CrashReport, u64, [u64; HOSTS])>,
    refused: u64,
    total: u64,
}

impl Sim {
    fn new(seed: u64, scenario: Scenario) -> Self {
        let options = QuarantineOptions::default();
        let host = |n| Quarantine::new(format!("host{n}").into(), options);
        let mut sim = Sim {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..HOSTS).map(host).collect(),
            up: [true; TARGETS],
            names: (0..TARGETS).map(|n| format!("t{n}").into()).collect(),
            reqs: Vec::new(),
            running: vec![Vec::new(); TARGETS],
            kills: Vec::new(),
            crash_reports: Vec::new(),
            refused: 0,
            total: 0,
        };
        sim.at(0, Ev::Innocent);
        for caller in 0..scenario.poison.0 {
            let at = SECOND + sim.rng.random_range(0..20 * MS);
            sim.at(at, Ev::Poison { caller });
        }
        for target in 0..scenario.rack.0 {
            let at = 3 * SECOND + sim.rng.random_range(0..scenario.rack.1.max(1));
            sim.at(at, Ev::Break { target });
        }
        sim
    }

    fn at(&mut self, time: u64, event: Ev) {
        self.events.push(Some(event));
        self.queue.push(Reverse((time, self.events.len() - 1)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((time, slot))) = self.queue.pop() {
            self.now = time;
            if time > 10 * SECOND {
                break;
            }
            let event = self.events[slot].take().expect("each event happens once");
            self.happen(event);
        }
        self
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Innocent => {
                // Half of the traffic is on ten fingerprints.
                let hot = self.rng.random_bool(0.5);
                let request = self.rng.random_range(if hot { 1..11 } else { 11..400 });
                self.arrive(Fingerprint { tenant: 1, request });
                self.total += 1;
                let gap = 2 * SECOND / self.scenario.rate;
                let next = self.now + self.rng.random_range(0..gap);
                self.at(next, Ev::Innocent);
            }
            Ev::Poison { caller } => {
                self.arrive(POISON);
                let next = self.now + self.rng.random_range(1..=self.scenario.poison.1);
                self.at(next, Ev::Poison { caller });
            }
            Ev::Try { req } => self.attempt(req),
            Ev::Finish { req, attempt } => self.finish(req, attempt),
            Ev::CrashReport { host, crash_report } => self.merge(host, crash_report),
            Ev::Answered { host, fingerprint } => {
                self.hosts[host].record_answer(Time::from_micros(self.now), fingerprint);
            }
            Ev::Break { target } => self.crash(target),
            Ev::Up { target } => self.up[target] = true,
        }
    }

    fn arrive(&mut self, fingerprint: Fingerprint) {
        let host = self.rng.random_range(0..HOSTS);
        let req = self.reqs.len();
        let arrived = self.now;
        let (target, ended) = (None, None);
        self.reqs.push(Req { fingerprint, host, arrived, attempts: 0, target, ended });
        self.attempt(req);
    }

    fn attempt(&mut self, req: usize) {
        let Req { fingerprint, host, attempts, .. } = self.reqs[req];
        let now = Time::from_micros(self.now);
        let blocked =
            self.scenario.mode != Mode::Off && self.hosts[host].is_blocked(now, fingerprint);
        let up: Vec<usize> = (0..TARGETS).filter(|t| self.up[*t]).collect();
        if blocked || attempts == 4 || up.is_empty() {
            self.refused += u64::from(blocked && fingerprint != POISON);
            self.reqs[req].ended = Some(self.now);
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        self.reqs[req].attempts += 1;
        self.reqs[req].target = Some(target);
        self.running[target].push(req);
        let service = self.rng.random_range(5 * MS..30 * MS);
        let crash = self.rng.random_range(500..5 * MS);
        let after = if fingerprint == POISON { crash } else { service };
        self.at(self.now + after, Ev::Finish { req, attempt: attempts + 1 });
    }

    fn finish(&mut self, req: usize, attempt: u32) {
        let Req { fingerprint, host, attempts, target, .. } = self.reqs[req];
        let Some(target) = target.filter(|_| attempt == attempts) else {
            return;
        };
        if fingerprint == POISON {
            self.kills.push((self.now, target));
            self.crash(target);
            return;
        }
        self.running[target].retain(|r| *r != req);
        self.reqs[req].target = None;
        self.reqs[req].ended = Some(self.now);
        let now = Time::from_micros(self.now);
        if self.hosts[host].record_answer(now, fingerprint) && self.scenario.mode == Mode::Full {
            for peer in (0..HOSTS).filter(|p| *p != host) {
                let delay = self.rng.random_range(MS..PEER_DELAY);
                self.at(self.now + delay, Ev::Answered { host: peer, fingerprint });
            }
        }
    }

    /// Breaks a target with all requests on it; it returns after 2 s.
    fn crash(&mut self, target: usize) {
        self.up[target] = false;
        self.at(self.now + 2 * SECOND, Ev::Up { target });
        for req in std::mem::take(&mut self.running[target]) {
            self.reqs[req].target = None;
            let Req { fingerprint, host, .. } = self.reqs[req];
            let now = Time::from_micros(self.now);
            let name = self.names[target].clone();
            let crash_report = self.hosts[host].record_crash(now, fingerprint, &name);
            if fingerprint == POISON {
                let mut merged = [u64::MAX; HOSTS];
                merged[host] = self.now;
                self.crash_reports.push((crash_report.clone(), self.now, merged));
            }
            let spread = self.spread(host, &crash_report);
            self.at(self.now + spread, Ev::Try { req });
        }
    }

    /// Sends a strike to the peers and returns the time until the last acknowledgement.
    fn spread(&mut self, host: usize, crash_report: &CrashReport) -> u64 {
        if self.scenario.mode != Mode::Full {
            return MS;
        }
        let mut last = 0;
        for peer in (0..HOSTS).filter(|p| *p != host) {
            let mut delay = self.rng.random_range(MS..PEER_DELAY);
            while self.rng.random_bool(self.scenario.loss) {
                delay += 100 * MS;
            }
            self.at(
                self.now + delay,
                Ev::CrashReport { host: peer, crash_report: crash_report.clone() },
            );
            last = last.max(delay * 2);
        }
        last.min(ACK)
    }

    fn merge(&mut self, host: usize, crash_report: CrashReport) {
        self.hosts[host].merge(Time::from_micros(self.now), &crash_report);
        if let Some(entry) = self.crash_reports.iter_mut().find(|(s, ..)| *s == crash_report) {
            entry.2[host] = self.now;
        }
    }

    /// Returns the bound of section 6.8: two targets, one for each copy in flight, and one for
    /// each strike that a peer did not acknowledge in time.
    fn bound(&self) -> usize {
        let Some(second) =
            self.crash_reports.iter().position(|s| s.0.target != self.crash_reports[0].0.target)
        else {
            return 2;
        };
        let at = self.crash_reports[second].1;
        // A copy that arrives while the strike is on its way is in flight as well.
        let open = |r: &&Req| r.arrived <= at + PEER_DELAY && r.ended.is_none_or(|e| e > at);
        let copies = self.reqs.iter().filter(|r| r.fingerprint == POISON).filter(open).count();
        let crash_reports = [&self.crash_reports[0], &self.crash_reports[second]];
        let late =
            |s: &&(CrashReport, u64, [u64; HOSTS])| s.2.iter().filter(|m| **m > s.1 + ACK).count();
        2 + copies + crash_reports.iter().map(late).sum::<usize>()
    }
}

fn poison(mode: Mode, seed: u64, loss: f64) -> Scenario {
    let poison = (1 + seed as usize % 8, [5, 50, 500][seed as usize % 3] * MS);
    Scenario { mode, loss, poison, rack: (0, 0), rate: 400 }
}

/// Returns the seeds whose crashing request exceeds the bound, and prints totals.
fn exceeding<F>(name: &str, seeds: u64, scenario: F) -> Vec<(u64, usize, usize)>
where
    F: Fn(u64) -> Scenario,
{
    let (mut exceeding, mut kills, mut refused, mut total) = (Vec::new(), 0, 0, 0);
    let mut most = 0;
    for seed in 0..seeds {
        let sim = Sim::new(seed, scenario(seed)).run();
        // Each burst of failing targets may hide two strikes of the crashing request.
        let bound = sim.bound() + 2 * usize::from(sim.scenario.rack.0 > 0);
        kills += sim.kills.len();
        most = most.max(sim.kills.len());
        refused += sim.refused;
        total += sim.total;
        if sim.kills.len() > bound {
            exceeding.push((seed, sim.kills.len(), bound));
        }
    }
    println!(
        "{name}: {kills} targets down over {seeds} seeds, at most {most}; {} seeds above the bound; \
         others refused {refused} of {total}",
        exceeding.len()
    );
    let innocent = scenario(0).mode != Mode::Full || refused * 1_000 <= total;
    assert!(innocent, "{name}: {refused} of {total} other requests refused");
    exceeding
}

/// Guards against a crashing request that takes down more targets than the documented bound, and
/// against the blocking of requests that were on the same targets.
#[test]
fn poison_stays_within_bound() {
    let lossless = exceeding("full", 100, |s| poison(Mode::Full, s, 0.0));
    assert_eq!(lossless, []);
    let lossy = exceeding("full, 20% of messages lost", 100, |s| poison(Mode::Full, s, 0.2));
    assert_eq!(lossy, []);
    let rack = (3, 500 * MS);
    let both = exceeding("full, rack dies at once", 100, |s| {
        let at_once = Scenario { rack, ..poison(Mode::Full, s, 0.0) };
        // The crashing request arrives just before or while the rack dies.
        Scenario { poison: (1 + s as usize % 4, 2 * SECOND), ..at_once }
    });
    assert_eq!(both, []);
}

/// Shows that the bench finds the faults of the naive ways.
#[test]
fn poison_naive_ways_are_red() {
    assert!(!exceeding("off", 20, |s| poison(Mode::Off, s, 0.0)).is_empty());
    assert!(!exceeding("per host", 20, |s| poison(Mode::Local, s, 0.0)).is_empty());
}

/// Guards against the blocking of innocent requests when the targets are the cause.
#[test]
fn rack_death_blocks_nothing() {
    for spread in [0, 200 * MS, 3 * SECOND] {
        let name = format!("rack of 5 dies over {} ms", spread / MS);
        exceeding(&name, 60, |_| Scenario {
            mode: Mode::Full,
            loss: 0.05,
            poison: (0, 0),
            rack: (5, spread),
            rate: 1_000,
        });
    }
}

fn seconds(n: u64) -> Time {
    Time::from_millis(n * 1_000)
}

fn quarantine() -> Quarantine {
    Quarantine::new("host".into(), QuarantineOptions::default())
}

/// Guards against blocks that never end, and against a repeated offender that starts afresh.
#[test]
fn block_ends_and_doubles() {
    let mut q = quarantine();
    let names: Vec<Arc<str>> = (0..20).map(|n| format!("t{n}").into()).collect();
    q.record_crash(seconds(0), POISON, &names[0]);
    assert!(!q.is_blocked(seconds(0), POISON) && !q.is_empty());
    q.record_crash(seconds(10), POISON, &names[1]);
    let mut now = seconds(10);
    // The caller repeats for two hours; each block is followed by one strike.
    for (n, length) in [60, 120, 240, 480, 600, 600, 600, 600].into_iter().enumerate() {
        let end = now + Duration::from_secs(length);
        assert!(q.is_blocked(end - Duration::from_millis(1), POISON), "block of {length} s");
        assert!(!q.is_blocked(end, POISON), "block of {length} s");
        now = end;
        q.record_crash(now, POISON, &names[2 + n]);
    }
    // After quiet time the fingerprint is like any other.
    let later = now + Duration::from_secs(600 + 600);
    q.record_crash(later, POISON, &names[0]);
    assert!(!q.is_blocked(later, POISON));
}

#[test]
fn strike_same_target_or_too_late_blocks_nothing() {
    let mut q = quarantine();
    let names: Vec<Arc<str>> = (0..2).map(|n| format!("t{n}").into()).collect();
    for second in 0..5 {
        q.record_crash(seconds(second), POISON, &names[0]);
    }
    assert!(!q.is_blocked(seconds(5), POISON));
    q.record_crash(seconds(70), POISON, &names[1]);
    assert!(!q.is_blocked(seconds(70), POISON));
}

#[test]
fn merge_again_changes_nothing() {
    let (mut a, mut b) = (quarantine(), Quarantine::new("b".into(), QuarantineOptions::default()));
    let first = a.record_crash(seconds(0), POISON, &"t0".into());
    let second = a.record_crash(seconds(5), POISON, &"t1".into());
    for crash_report in [&first, &second, &first, &second, &second] {
        b.merge(seconds(5), crash_report);
    }
    assert_eq!(a.blocked(seconds(6)), b.blocked(seconds(6)));
    assert_eq!(b.blocked(seconds(6)), [(POISON, seconds(65))]);
}

// Guards against a host that starts or resumes and runs a request that its peers have blocked.
#[test]
fn merge_snapshot_blocks_and_ends() {
    let mut a = quarantine();
    a.record_crash(seconds(0), POISON, &"t0".into());
    a.record_crash(seconds(1), POISON, &"t1".into());
    let mut b = Quarantine::new("b".into(), QuarantineOptions::default());
    b.merge_snapshot(seconds(10), &a.snapshot(seconds(10)));
    assert_eq!(a.blocked(seconds(10)), b.blocked(seconds(10)));
    assert!(b.is_blocked(seconds(60), POISON));
    assert!(!b.is_blocked(seconds(61), POISON));
    // A shorter block of a peer does not end the present one.
    b.merge_snapshot(seconds(20), &[]);
    b.merge_snapshot(seconds(20), &[Block { fingerprint: POISON, remaining_ms: 1, level: 0 }]);
    assert!(b.is_blocked(seconds(60), POISON));
    assert!(a.snapshot(seconds(61)).is_empty());
}

#[test]
fn memory_stays_bounded() {
    let options = QuarantineOptions { max_entries: 50, max_recent: 80, ..Default::default() };
    let mut q = Quarantine::new("host".into(), options);
    for n in 0..5_000 {
        let fingerprint = Fingerprint { tenant: 1, request: n };
        let now = seconds(n * 3);
        q.record_crash(now, fingerprint, &"t0".into());
        q.record_crash(now, fingerprint, &"t1".into());
        assert!(q.is_blocked(now, fingerprint));
        assert!(q.len() <= 50, "{} entries", q.len());
    }
    for n in 0..1_000 {
        q.record_crash(seconds(20_000), Fingerprint { tenant: 1, request: n }, &"t0".into());
    }
    assert!(q.crash_reports() <= 80, "{} strikes", q.crash_reports());
}

#[test]
fn fingerprint_tells_parts_apart() {
    let base = Fingerprint::new("t", "POST", "/a", b"body");
    assert_eq!(base, Fingerprint::new("t", "POST", "/a", b"body"));
    let mut long = vec![7; 100_000];
    let cut = Fingerprint::new("t", "POST", "/a", &long[..99_999]);
    let whole = Fingerprint::new("t", "POST", "/a", &long);
    long[99_999] = 8;
    assert_ne!(whole, cut);
    assert_eq!(whole, Fingerprint::new("t", "POST", "/a", &long));
    for other in [
        Fingerprint::new("u", "POST", "/a", b"body"),
        Fingerprint::new("t", "PUT", "/a", b"body"),
        Fingerprint::new("t", "POST", "/a?", b"body"),
        Fingerprint::new("t", "POST/", "a", b"body"),
        Fingerprint::new("t", "POST", "/ab", b"ody"),
    ] {
        assert_ne!(base, other);
    }
}
