//! Tests of the probe budget and of the lease that protects it.
//!
//! The simulation runs several processes, each with its own clock, that share one lease object. The
//! faults are inconsistent membership views, pauses, restarts and failed platform calls. Probes are
//! counted at the target. `BUDGET_SEEDS` sets the number of seeds, by default 1,000.

use geraniummux_core::lease::{LeaseAction, LeaseOptions, LeaseResult, LeaseState, LeaseValue};
use geraniummux_core::load::{LoadOptions, LoadTable, TargetId};
use geraniummux_core::probe_budget::ProbeScheduler;
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const STEP_US: u64 = 50_000;
const RUN_DURATION_US: u64 = 240_000_000;
const WINDOW_US: u64 = 10_000_000;
const TARGETS: usize = 2;
/// Maximum number of probes to a target in a window of 10 s, with the default budget of 1/s.
const MAX_PROBES_PER_WINDOW: usize = 10;

fn seeds() -> u64 {
    std::env::var("BUDGET_SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(1_000)
}

fn pool() -> Pool {
    serde_json::from_value(serde_json::json!({"name": "p", "targets": [
        {"name": "t0", "addr": "10.0.0.1:80", "failure_domain": "d0"},
        {"name": "t1", "addr": "10.0.0.2:80", "failure_domain": "d0"},
    ]}))
    .unwrap()
}

/// Rule by which a process decides whether it may probe.
#[derive(Clone, Copy, PartialEq)]
enum ProbeMode {
    /// The lease and the scheduler under test.
    Lease,
    /// An equal share of the budget for each process in the own membership view.
    EqualShare,
}

#[derive(Clone, Copy)]
struct Faults {
    enabled: bool,
    /// Maximum number of processes that are paused between the check and the send of a probe at the
    /// same time.
    max_paused_before_send: usize,
}

struct Process {
    lease: LeaseState,
    probes: ProbeScheduler,
    /// Rate of the process's clock relative to the simulation's clock.
    rate: f64,
    /// Offset of the process's clock in microseconds.
    offset: u64,
    paused_until: u64,
    /// A started probe that was not yet sent when the process was paused.
    paused_before_send: Option<TargetId>,
    incarnation: u32,
    /// Probes in flight, each with the arrival time of its response.
    pending_responses: Vec<(u64, TargetId)>,
    /// Number of processes in the own membership view.
    view_size: usize,
    /// Time of the next probe with [`ProbeMode::EqualShare`].
    next_equal_share_probe: u64,
}

/// A platform call in flight.
struct Call {
    process: usize,
    incarnation: u32,
    action: LeaseAction,
    applied_at: Option<u64>,
    reply_at: u64,
    result: LeaseResult,
    reply_lost: bool,
}

struct Sim {
    rng: SmallRng,
    mode: ProbeMode,
    faults: Faults,
    now: u64,
    processes: Vec<Process>,
    object: Option<(u64, LeaseValue)>,
    version: u64,
    outage_until: u64,
    calls: Vec<Call>,
    arrivals: [Vec<u64>; TARGETS],
    table: LoadTable,
    ids: [TargetId; TARGETS],
}

impl Sim {
    fn new(seed: u64, mode: ProbeMode, faults: Faults) -> Self {
        let pool = pool();
        let table = LoadTable::new(std::slice::from_ref(&pool), LoadOptions::default());
        let ids = [table.id("p", "t0").unwrap(), table.id("p", "t1").unwrap()];
        let mut sim = Sim {
            rng: SmallRng::seed_from_u64(seed),
            mode,
            faults,
            now: 0,
            processes: Vec::new(),
            object: None,
            version: 0,
            outage_until: 0,
            calls: Vec::new(),
            arrivals: [Vec::new(), Vec::new()],
            table,
            ids,
        };
        for i in 0..5 {
            let p = sim.new_process(i, 0);
            sim.processes.push(p);
        }
        sim
    }

    fn new_process(&mut self, i: usize, incarnation: u32) -> Process {
        let rate = 1.0 + self.rng.random_range(-0.004..0.004);
        let offset = self.rng.random_range(0..1_000_000_000);
        let start = Time::from_micros(offset + (self.now as f64 * rate) as u64);
        let holder = format!("h{i}/{incarnation}").into();
        Process {
            lease: LeaseState::new(holder, LeaseOptions::default(), start),
            probes: ProbeScheduler::new(&pool(), &self.table, start),
            rate,
            offset,
            paused_until: 0,
            paused_before_send: None,
            incarnation,
            pending_responses: Vec::new(),
            view_size: 5,
            next_equal_share_probe: 0,
        }
    }

    fn local_time(&self, i: usize) -> Time {
        let p = &self.processes[i];
        Time::from_micros(p.offset + (self.now as f64 * p.rate) as u64)
    }

    fn run(mut self) -> Self {
        while self.now < RUN_DURATION_US {
            self.now += STEP_US;
            if self.faults.enabled {
                self.inject();
            }
            self.apply_due_calls();
            for i in 0..self.processes.len() {
                if self.processes[i].paused_until <= self.now {
                    self.step(i);
                }
            }
        }
        self
    }

    fn inject(&mut self) {
        // Each fault occurs about every 40 s: an outage, a pause, a restart, new membership views.
        let outage = self.rng.random_range(0..800);
        if outage == 0 {
            self.outage_until = self.now + self.rng.random_range(100_000..40_000_000);
        }
        let i = self.rng.random_range(0..self.processes.len());
        match self.rng.random_range(0..2_400) {
            0..3 => self.pause(i),
            3..6 => {
                let incarnation = self.processes[i].incarnation + 1;
                self.processes[i] = self.new_process(i, incarnation);
            }
            6..9 => {
                for p in &mut self.processes {
                    p.view_size = self.rng.random_range(1..=5);
                }
            }
            // Candidates for the lease change with the membership views.
            9..15 => {
                let wanted = self.rng.random_range(0..3) > 0;
                self.processes[i].lease.set_wanted(wanted);
            }
            _ => {}
        }
    }

    fn pause(&mut self, i: usize) {
        self.processes[i].paused_until = self.now + self.rng.random_range(100_000..60_000_000);
    }

    /// Applies the calls that have reached the platform.
    fn apply_due_calls(&mut self) {
        for c in 0..self.calls.len() {
            if self.calls[c].applied_at.is_none_or(|t| t > self.now) {
                continue;
            }
            self.calls[c].applied_at = None;
            let result = match &self.calls[c].action {
                LeaseAction::Read => {
                    LeaseResult::Read(self.object.clone().map(|(v, value)| (v, Some(value))))
                }
                LeaseAction::Create(value) if self.object.is_none() => {
                    self.version += 1;
                    self.object = Some((self.version, value.clone()));
                    LeaseResult::Written(self.version)
                }
                LeaseAction::Update { version, value }
                    if self.object.as_ref().is_some_and(|o| o.0 == *version) =>
                {
                    self.version += 1;
                    self.object = Some((self.version, value.clone()));
                    LeaseResult::Written(self.version)
                }
                LeaseAction::Create(_) | LeaseAction::Update { .. } => LeaseResult::Conflict,
            };
            if !self.calls[c].reply_lost {
                self.calls[c].result = result;
            }
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.local_time(i);
        if let Some(id) = self.processes[i].paused_before_send.take() {
            self.send(i, id);
        }
        let done = self.now;
        let process = &mut self.processes[i];
        for (_, id) in process.pending_responses.extract_if(.., |a| a.0 <= done) {
            process.probes.on_done(id);
        }
        match self.mode {
            ProbeMode::Lease => {
                self.deliver(i, now);
                if let Some(action) = self.processes[i].lease.poll(now) {
                    self.call(i, action);
                }
                self.probe(i, now);
            }
            ProbeMode::EqualShare => self.probe_equal_share(i),
        }
    }

    fn deliver(&mut self, i: usize, now: Time) {
        let (at, incarnation) = (self.now, self.processes[i].incarnation);
        let due = |c: &mut Call| c.process == i && c.reply_at <= at;
        let replies: Vec<Call> = self.calls.extract_if(.., due).collect();
        for c in replies {
            if c.incarnation == incarnation {
                self.processes[i].lease.on_result(c.result.clone(), now);
            }
            // A write may still reach the platform after its sender timed out.
            if c.applied_at.is_some() {
                self.calls.push(Call { process: usize::MAX, ..c.without_reply() });
            }
        }
    }

    fn call(&mut self, i: usize, action: LeaseAction) {
        let outage = self.now < self.outage_until;
        let read = action == LeaseAction::Read;
        let fault = if self.faults.enabled { self.rng.random_range(0..20) } else { 20 };
        let delay = self.rng.random_range(1_000..100_000);
        let (applied_at, reply_at, result, reply_lost) = match fault {
            _ if outage => (None, self.now + delay, LeaseResult::Unavailable, true),
            // The response is lost, and the write is applied soon or late.
            0 => (Some(self.now + delay), self.now + 1_000_000, LeaseResult::Indeterminate, true),
            1 => {
                let late = self.rng.random_range(0..30_000_000);
                (Some(self.now + late), self.now + 1_000_000, LeaseResult::Indeterminate, true)
            }
            _ => (Some(self.now + delay), self.now + 2 * delay, LeaseResult::Unavailable, false),
        };
        let result = if read && reply_lost { LeaseResult::Unavailable } else { result };
        let incarnation = self.processes[i].incarnation;
        let applied_at = if read && reply_lost { None } else { applied_at };
        let reply_at = reply_at + STEP_US;
        self.calls.push(Call {
            process: i,
            incarnation,
            action,
            applied_at,
            reply_at,
            result,
            reply_lost,
        });
    }

    fn probe(&mut self, i: usize, now: Time) {
        let held_lease = self.processes[i].lease.held(now);
        for id in self.processes[i].probes.due(held_lease, now) {
            let process = &mut self.processes[i];
            let held_lease = process.lease.held(now);
            if !process.probes.try_start(id, held_lease, now) {
                continue;
            }
            let paused_before_send =
                self.processes.iter().filter(|p| p.paused_before_send.is_some()).count();
            let pauses =
                self.faults.enabled && paused_before_send < self.faults.max_paused_before_send;
            if pauses && self.rng.random_range(0..20) == 0 {
                self.processes[i].paused_before_send = Some(id);
                self.pause(i);
                return;
            }
            self.send(i, id);
        }
    }

    fn send(&mut self, i: usize, id: TargetId) {
        let target = usize::from(id == self.ids[1]);
        let delay = self.rng.random_range(100..300_000);
        self.arrivals[target].push(self.now + delay);
        let now = self.local_time(i);
        let response_at = self.now + 2 * delay;
        self.processes[i].probes.on_sent(id, now);
        self.processes[i].pending_responses.push((response_at, id));
    }

    fn probe_equal_share(&mut self, i: usize) {
        let process = &mut self.processes[i];
        if self.now < process.next_equal_share_probe {
            return;
        }
        process.next_equal_share_probe =
            self.now + WINDOW_US * process.view_size as u64 / (MAX_PROBES_PER_WINDOW as u64 - 1);
        for id in self.ids {
            self.send(i, id);
        }
    }

    /// Returns the maximum number of probes that a target received in any window.
    fn max_in_window(&mut self) -> usize {
        let mut most = 0;
        for arrivals in &mut self.arrivals {
            arrivals.sort_unstable();
            for (i, at) in arrivals.iter().enumerate() {
                let end = arrivals.partition_point(|t| *t < at + WINDOW_US);
                most = most.max(end - i);
            }
        }
        most
    }
}

impl Call {
    /// Returns the call with a reply that is never delivered.
    fn without_reply(self) -> Self {
        Call { reply_at: u64::MAX, ..self }
    }
}

/// Returns the number of seeds that exceed the budget, the number of probes to target 0 over all
/// seeds, and the first seed that exceeds the budget.
fn count_violations(mode: ProbeMode, faults: Faults) -> (u64, usize, Option<u64>) {
    let (mut count, mut probes, mut first) = (0, 0, None);
    for seed in 1..=seeds() {
        let mut sim = Sim::new(seed, mode, faults).run();
        probes += sim.arrivals[0].len();
        if sim.max_in_window() > MAX_PROBES_PER_WINDOW {
            count += 1;
            first = first.or(Some(seed));
        }
    }
    (count, probes, first)
}

// Guards against probes beyond the budget when the hosts' membership views differ or processes
// pause, restart or lose platform calls.
#[test]
fn probe_budget_holds_over_faults() {
    let faults = Faults { enabled: true, max_paused_before_send: 1 };
    let (count, probes, first) = count_violations(ProbeMode::Lease, faults);
    println!("lease: {count} of {} seeds violate, {probes} probes to target 0", seeds());
    assert_eq!(count, 0, "the budget was exceeded, first with seed {first:?}");
    // A scheduler that never probes would hold the budget as well.
    assert!(probes as u64 > 20 * seeds(), "only {probes} probes in {} runs", seeds());
}

// Verifies that the simulation detects violations of the rule that the lease replaces.
#[test]
fn probe_budget_share_by_view_fails() {
    let faults = Faults { enabled: true, max_paused_before_send: 0 };
    let (count, _, _) = count_violations(ProbeMode::EqualShare, faults);
    println!("equal share by own view: {count} of {} seeds violate", seeds());
    assert!(count > seeds() / 2, "the check found only {count} violations");
}

// Guards against two processes that are paused between the check and the send of a probe, resume in
// the same window and together exceed the budget.
#[test]
fn probe_budget_two_paused_between_check_and_send() {
    let faults = Faults { enabled: true, max_paused_before_send: 2 };
    let (count, _, first) = count_violations(ProbeMode::Lease, faults);
    println!("two paused before the send: {count} of {} seeds violate, first {first:?}", seeds());
    assert_eq!(count, 0, "first seed {first:?}");
}

// Guards against a scheduler that keeps within the budget by not probing, or that spends the
// reserved probes.
#[test]
fn probe_budget_is_spent_without_faults() {
    let faults = Faults { enabled: false, max_paused_before_send: 0 };
    let mut sim = Sim::new(1, ProbeMode::Lease, faults).run();
    let most = sim.max_in_window();
    let late = sim.arrivals[0].iter().filter(|t| **t > RUN_DURATION_US - 100_000_000).count();
    println!("without faults: {late} probes in the last 100 s, at most {most} in a window");
    assert!(late >= 72, "only {late} of 80 probes were sent");
    assert!(most <= MAX_PROBES_PER_WINDOW - 2, "the reserve was spent: {most} probes in a window");
}

// Guards against a takeover of the lease before the TTL of the former holder has passed.
#[test]
fn poll_waits_for_ttl_of_former_holder() {
    let t = Time::from_millis;
    let mut lease = LeaseState::new("b/1".into(), LeaseOptions::default(), t(0));
    let value = LeaseValue { holder: "a/1".into(), write: 7, released: false };
    assert_eq!(lease.poll(t(0)), Some(LeaseAction::Read));
    lease.on_result(LeaseResult::Read(Some((3, Some(value.clone())))), t(10));
    let mut now = t(10);
    let taken = loop {
        now = now + Duration::from_millis(100);
        match lease.poll(now) {
            Some(LeaseAction::Read) => {
                lease.on_result(LeaseResult::Read(Some((3, Some(value.clone())))), now);
            }
            Some(action) => break action,
            None => {}
        }
        assert!(now < t(20_000), "the lease was never taken over");
    };
    assert!(now >= t(15_010), "taken over after {now:?}");
    assert!(matches!(taken, LeaseAction::Update { version: 3, .. }), "{taken:?}");
    lease.on_result(LeaseResult::Written(4), now + Duration::from_secs(1));
    let held_lease = lease.held(now + Duration::from_secs(1)).unwrap();
    assert_eq!(
        held_lease.expires_at,
        now + Duration::from_secs(15),
        "the TTL counts from before the send"
    );
}

// Guards against a lost response that ends the lease although it was written, and against a lease
// that counts as held before the write is confirmed.
#[test]
fn on_result_lost_answer_is_read_back() {
    let t = Time::from_millis;
    let mut lease = LeaseState::new("a/1".into(), LeaseOptions::default(), t(0));
    lease.poll(t(0));
    lease.on_result(LeaseResult::Read(None), t(1));
    let mut now = t(1);
    let value = loop {
        now = now + Duration::from_secs(1);
        match lease.poll(now) {
            Some(LeaseAction::Read) => lease.on_result(LeaseResult::Read(None), now),
            Some(LeaseAction::Create(value)) => break value,
            action => assert_eq!(action, None),
        }
    };
    lease.on_result(LeaseResult::Indeterminate, now + Duration::from_secs(2));
    assert!(lease.held(now + Duration::from_secs(2)).is_none(), "the write may have failed");
    let back = now + Duration::from_secs(3);
    assert_eq!(lease.poll(back), Some(LeaseAction::Read));
    lease.on_result(LeaseResult::Read(Some((9, Some(value)))), back);
    assert_eq!(lease.held(back).unwrap().expires_at, now + Duration::from_secs(15));
}

// Guards against a lease that still counts as held after its release, and against a new holder that
// waits for the TTL of a released lease.
#[test]
fn set_wanted_false_releases() {
    let t = Time::from_millis;
    let mut lease = LeaseState::new("a/1".into(), LeaseOptions::default(), t(0));
    lease.poll(t(0));
    let old = LeaseValue { holder: "z/1".into(), write: 1, released: true };
    lease.on_result(LeaseResult::Read(Some((1, Some(old)))), t(1));
    assert!(matches!(lease.poll(t(1)), Some(LeaseAction::Update { version: 1, .. })));
    lease.on_result(LeaseResult::Written(2), t(2));
    assert!(lease.held(t(2)).is_some());
    lease.set_wanted(false);
    assert!(lease.held(t(3)).is_none());
    match lease.poll(t(3)) {
        Some(LeaseAction::Update { version: 2, value }) => assert!(value.released),
        action => panic!("{action:?}"),
    }
    lease.on_result(LeaseResult::Written(3), t(4));
    assert_eq!(lease.poll(t(5)), None);
}
