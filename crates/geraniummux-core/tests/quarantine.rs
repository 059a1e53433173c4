//! Tests of the quarantine, and a simulation of a fleet in virtual time.
//!
//! In the simulation, a request that crashes targets and targets that fail by themselves occur
//! among other requests. All times are in microseconds.

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
/// Maximum delay of a message between hosts.
const MAX_PEER_DELAY: u64 = 3 * MS;
/// Maximum time for which a host waits for the acknowledgements of a crash report.
const ACK_TIMEOUT: u64 = 50 * MS;
/// The request that crashes every target.
const POISON: Fingerprint = Fingerprint { tenant: 1, request: 0 };

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Full,
    /// Nothing is ever blocked.
    Off,
    /// Crash reports are not sent to peers.
    Local,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    mode: Mode,
    /// Probability that a message between hosts is lost; it is sent again every 100 ms.
    loss: f64,
    /// Number of callers that repeat the crashing request, and the maximum pause between two of
    /// their requests.
    poison: (usize, u64),
    /// Number of targets that fail by themselves from 3 s on, and the time span over which they do.
    rack: (usize, u64),
    /// Rate of the other requests per second.
    rate: u64,
}

#[derive(Debug)]
enum Ev {
    Harmless,
    Poison { caller: usize },
    Attempt { req: usize },
    Finish { req: usize, attempt: u32 },
    CrashReport { host: usize, report: CrashReport },
    Answered { host: usize, fingerprint: Fingerprint },
    TargetFailure { target: usize },
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
    target_names: Vec<Arc<str>>,
    reqs: Vec<Req>,
    /// Requests that run on each target.
    running: Vec<Vec<usize>>,
    /// Crashes of targets by the crashing request, each with its time.
    crashes: Vec<(u64, usize)>,
    /// Crash reports of the crashing request, each with its time and the times at which the hosts
    /// merged it.
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
            target_names: (0..TARGETS).map(|n| format!("t{n}").into()).collect(),
            reqs: Vec::new(),
            running: vec![Vec::new(); TARGETS],
            crashes: Vec::new(),
            crash_reports: Vec::new(),
            refused: 0,
            total: 0,
        };
        sim.at(0, Ev::Harmless);
        for caller in 0..scenario.poison.0 {
            let at = SECOND + sim.rng.random_range(0..20 * MS);
            sim.at(at, Ev::Poison { caller });
        }
        for target in 0..scenario.rack.0 {
            let at = 3 * SECOND + sim.rng.random_range(0..scenario.rack.1.max(1));
            sim.at(at, Ev::TargetFailure { target });
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
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Ev) {
        match event {
            Ev::Harmless => {
                // Half of the traffic has one of ten fingerprints.
                let hot = self.rng.random_bool(0.5);
                let request = self.rng.random_range(if hot { 1..11 } else { 11..400 });
                self.arrive(Fingerprint { tenant: 1, request });
                self.total += 1;
                let gap = 2 * SECOND / self.scenario.rate;
                let next = self.now + self.rng.random_range(0..gap);
                self.at(next, Ev::Harmless);
            }
            Ev::Poison { caller } => {
                self.arrive(POISON);
                let next = self.now + self.rng.random_range(1..=self.scenario.poison.1);
                self.at(next, Ev::Poison { caller });
            }
            Ev::Attempt { req } => self.attempt(req),
            Ev::Finish { req, attempt } => self.finish(req, attempt),
            Ev::CrashReport { host, report } => self.merge(host, report),
            Ev::Answered { host, fingerprint } => {
                self.hosts[host].record_answer(Time::from_micros(self.now), fingerprint);
            }
            Ev::TargetFailure { target } => self.crash(target),
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
            self.crashes.push((self.now, target));
            self.crash(target);
            return;
        }
        self.running[target].retain(|r| *r != req);
        self.reqs[req].target = None;
        self.reqs[req].ended = Some(self.now);
        let now = Time::from_micros(self.now);
        if self.hosts[host].record_answer(now, fingerprint) && self.scenario.mode == Mode::Full {
            for peer in (0..HOSTS).filter(|p| *p != host) {
                let delay = self.rng.random_range(MS..MAX_PEER_DELAY);
                self.at(self.now + delay, Ev::Answered { host: peer, fingerprint });
            }
        }
    }

    /// Fails a target with all requests on it. The target is available again after 2 s.
    fn crash(&mut self, target: usize) {
        self.up[target] = false;
        self.at(self.now + 2 * SECOND, Ev::Up { target });
        for req in std::mem::take(&mut self.running[target]) {
            self.reqs[req].target = None;
            let Req { fingerprint, host, .. } = self.reqs[req];
            let now = Time::from_micros(self.now);
            let name = self.target_names[target].clone();
            let report = self.hosts[host].record_crash(now, fingerprint, &name);
            if fingerprint == POISON {
                let mut merged = [u64::MAX; HOSTS];
                merged[host] = self.now;
                self.crash_reports.push((report.clone(), self.now, merged));
            }
            let acknowledged_after = self.broadcast(host, &report);
            self.at(self.now + acknowledged_after, Ev::Attempt { req });
        }
    }

    /// Sends a crash report to the peers and returns the time until the last acknowledgement, at
    /// most `ACK_TIMEOUT`.
    fn broadcast(&mut self, host: usize, report: &CrashReport) -> u64 {
        if self.scenario.mode != Mode::Full {
            return MS;
        }
        let mut last = 0;
        for peer in (0..HOSTS).filter(|p| *p != host) {
            let mut delay = self.rng.random_range(MS..MAX_PEER_DELAY);
            while self.rng.random_bool(self.scenario.loss) {
                delay += 100 * MS;
            }
            self.at(self.now + delay, Ev::CrashReport { host: peer, report: report.clone() });
            last = last.max(delay * 2);
        }
        last.min(ACK_TIMEOUT)
    }

    fn merge(&mut self, host: usize, report: CrashReport) {
        self.hosts[host].merge(Time::from_micros(self.now), &report);
        if let Some(entry) = self.crash_reports.iter_mut().find(|(s, ..)| *s == report) {
            entry.2[host] = self.now;
        }
    }

    /// Returns the maximum number of crashed targets according to section 6.8: two targets, one for
    /// each copy of the request in flight, and one for each crash report that a peer did not
    /// acknowledge in time.
    fn bound(&self) -> usize {
        let Some(second) =
            self.crash_reports.iter().position(|s| s.0.target != self.crash_reports[0].0.target)
        else {
            return 2;
        };
        let at = self.crash_reports[second].1;
        // A copy that arrives before the peers have received the report counts as in flight.
        let in_flight =
            |r: &&Req| r.arrived <= at + MAX_PEER_DELAY && r.ended.is_none_or(|e| e > at);
        let copies = self.reqs.iter().filter(|r| r.fingerprint == POISON).filter(in_flight).count();
        let crash_reports = [&self.crash_reports[0], &self.crash_reports[second]];
        let unacknowledged = |s: &&(CrashReport, u64, [u64; HOSTS])| {
            s.2.iter().filter(|m| **m > s.1 + ACK_TIMEOUT).count()
        };
        2 + copies + crash_reports.iter().map(unacknowledged).sum::<usize>()
    }
}

/// Returns a scenario without failing racks, in which the callers of the crashing request depend on
/// the seed.
fn poison(mode: Mode, seed: u64, loss: f64) -> Scenario {
    let poison = (1 + seed as usize % 8, [5, 50, 500][seed as usize % 3] * MS);
    Scenario { mode, loss, poison, rack: (0, 0), rate: 400 }
}

/// Returns the seeds at which the crashing request exceeds the bound, each with its crashes and the
/// bound. Prints totals, and asserts that at most 0.1% of the other requests are refused.
fn above_bound<F>(name: &str, seeds: u64, scenario: F) -> Vec<(u64, usize, usize)>
where
    F: Fn(u64) -> Scenario,
{
    let (mut above_bound, mut crashes, mut refused, mut total) = (Vec::new(), 0, 0, 0);
    let mut most = 0;
    for seed in 0..seeds {
        let sim = Sim::new(seed, scenario(seed)).run();
        // A burst of failing targets may lead to the dismissal of two reports of the crashing
        // request.
        let bound = sim.bound() + 2 * usize::from(sim.scenario.rack.0 > 0);
        crashes += sim.crashes.len();
        most = most.max(sim.crashes.len());
        refused += sim.refused;
        total += sim.total;
        if sim.crashes.len() > bound {
            above_bound.push((seed, sim.crashes.len(), bound));
        }
    }
    println!(
        "{name}: {crashes} targets down over {seeds} seeds, at most {most}; {} seeds above the \
         bound; others refused {refused} of {total}",
        above_bound.len()
    );
    let within_limit = scenario(0).mode != Mode::Full || refused * 1_000 <= total;
    assert!(within_limit, "{name}: {refused} of {total} other requests refused");
    above_bound
}

/// Guards against a request that crashes more targets than the documented bound, and against blocks
/// of other requests that were on the same targets.
#[test]
fn poison_stays_within_bound() {
    let lossless = above_bound("full", 100, |s| poison(Mode::Full, s, 0.0));
    assert_eq!(lossless, []);
    let lossy = above_bound("full, 20% of messages lost", 100, |s| poison(Mode::Full, s, 0.2));
    assert_eq!(lossy, []);
    let rack = (3, 500 * MS);
    let both = above_bound("full, rack fails at once", 100, |s| {
        let at_once = Scenario { rack, ..poison(Mode::Full, s, 0.0) };
        // The crashing request arrives shortly before or while the rack fails.
        Scenario { poison: (1 + s as usize % 4, 2 * SECOND), ..at_once }
    });
    assert_eq!(both, []);
}

/// Verifies that the simulation detects a missing quarantine, and one that doesn't share crash
/// reports between hosts.
#[test]
fn poison_naive_modes_exceed_bound() {
    assert!(!above_bound("off", 20, |s| poison(Mode::Off, s, 0.0)).is_empty());
    assert!(!above_bound("per host", 20, |s| poison(Mode::Local, s, 0.0)).is_empty());
}

/// Guards against blocks of requests that were on targets that fail by themselves.
#[test]
fn rack_failure_blocks_nothing() {
    for span in [0, 200 * MS, 3 * SECOND] {
        let name = format!("rack of 5 fails over {} ms", span / MS);
        above_bound(&name, 60, |_| Scenario {
            mode: Mode::Full,
            loss: 0.05,
            poison: (0, 0),
            rack: (5, span),
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

/// Guards against blocks that never end, and against a request that crashes targets again after a
/// block and is only blocked for the initial time.
#[test]
fn block_ends_and_doubles() {
    let mut q = quarantine();
    let target_names: Vec<Arc<str>> = (0..20).map(|n| format!("t{n}").into()).collect();
    q.record_crash(seconds(0), POISON, &target_names[0]);
    assert!(!q.is_blocked(seconds(0), POISON) && !q.is_empty());
    q.record_crash(seconds(10), POISON, &target_names[1]);
    let mut now = seconds(10);
    // The caller repeats the request for two hours; one crash report follows each block.
    for (n, length) in [60, 120, 240, 480, 600, 600, 600, 600].into_iter().enumerate() {
        let end = now + Duration::from_secs(length);
        assert!(q.is_blocked(end - Duration::from_millis(1), POISON), "block of {length} s");
        assert!(!q.is_blocked(end, POISON), "block of {length} s");
        now = end;
        q.record_crash(now, POISON, &target_names[2 + n]);
    }
    // After the retention time, the fingerprint is treated like a new one.
    let later = now + Duration::from_secs(600 + 600);
    q.record_crash(later, POISON, &target_names[0]);
    assert!(!q.is_blocked(later, POISON));
}

/// Guards against blocks that are caused by a single target, or by crash reports outside the
/// window.
#[test]
fn record_crash_same_target_or_too_late_blocks_nothing() {
    let mut q = quarantine();
    let target_names: Vec<Arc<str>> = (0..2).map(|n| format!("t{n}").into()).collect();
    for second in 0..5 {
        q.record_crash(seconds(second), POISON, &target_names[0]);
    }
    assert!(!q.is_blocked(seconds(5), POISON));
    q.record_crash(seconds(70), POISON, &target_names[1]);
    assert!(!q.is_blocked(seconds(70), POISON));
}

/// Guards against a retransmitted report that counts twice and lengthens the block.
#[test]
fn merge_again_changes_nothing() {
    let (mut a, mut b) = (quarantine(), Quarantine::new("b".into(), QuarantineOptions::default()));
    let first = a.record_crash(seconds(0), POISON, &"t0".into());
    let second = a.record_crash(seconds(5), POISON, &"t1".into());
    for report in [&first, &second, &first, &second, &second] {
        b.merge(seconds(5), report);
    }
    assert_eq!(a.blocked(seconds(6)), b.blocked(seconds(6)));
    assert_eq!(b.blocked(seconds(6)), [(POISON, seconds(65))]);
}

/// Guards against a host that runs a blocked request after a start or a pause, since it has missed
/// the crash reports.
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
    // A missing or shorter block of a peer doesn't end the existing one.
    b.merge_snapshot(seconds(20), &[]);
    b.merge_snapshot(seconds(20), &[Block { fingerprint: POISON, remaining_ms: 1, level: 0 }]);
    assert!(b.is_blocked(seconds(60), POISON));
    assert!(a.snapshot(seconds(61)).is_empty());
}

/// Guards against unbounded memory when many fingerprints crash targets.
#[test]
fn memory_stays_bounded() {
    let options = QuarantineOptions { max_entries: 50, max_reports: 80, ..Default::default() };
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
    assert!(q.crash_reports() <= 80, "{} crash reports", q.crash_reports());
}

/// Guards against equal fingerprints of requests that differ in tenant, method, path or body.
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
