//! The probe budget under split views, pauses, restarts and platform faults.
//!
//! Several processes with clocks of their own share one lease object. Probes are counted at the
//! target. `BUDGET_SEEDS` sets the number of seeds, by default 1,000.

use geraniummux_core::lease::{LeaseAction, LeaseOptions, LeaseResult, LeaseState, LeaseValue};
use geraniummux_core::load::{LoadOptions, LoadTable, TargetId};
use geraniummux_core::probe_budget::ProbeScheduler;
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const STEP_US: u64 = 50_000;
const RUN_US: u64 = 240_000_000;
const WINDOW_US: u64 = 10_000_000;
const TARGETS: usize = 2;
/// Probes that a target may get in 10 s with the budget of 1/s.
const BUDGET: usize = 10;

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

/// How a process decides that it may probe.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// With the lease and the scheduler under test.
    Lease,
    /// With an equal share of the budget among the hosts that it believes to be alive.
    ShareByView,
}

#[derive(Clone, Copy)]
struct Faults {
    on: bool,
    /// Processes that may be paused between permission and send at the same time.
    gap_pauses: usize,
}

struct Process {
    lease: LeaseState,
    probes: ProbeScheduler,
    /// Clock: real time times rate plus offset.
    rate: f64,
    offset: u64,
    paused_until: u64,
    /// A confirmed probe that was not sent yet when the process was paused.
    in_gap: Option<TargetId>,
    incarnation: u32,
    /// Probes that wait for their answer, and when it comes.
    answers: Vec<(u64, TargetId)>,
    /// Size of the process's own membership view, and its next naive probe.
    view: usize,
    next_naive: u64,
}

struct Call {
    process: usize,
    incarnation: u32,
    action: LeaseAction,
    effect_at: Option<u64>,
    reply_at: u64,
    result: LeaseResult,
    lost: bool,
}

struct World {
    rng: SmallRng,
    way: Way,
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

impl World {
    fn new(seed: u64, way: Way, faults: Faults) -> Self {
        let pool = pool();
        let table = LoadTable::new(std::slice::from_ref(&pool), LoadOptions::default());
        let ids = [table.id("p", "t0").unwrap(), table.id("p", "t1").unwrap()];
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            way,
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
            let p = world.new_process(i, 0);
            world.processes.push(p);
        }
        world
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
            in_gap: None,
            incarnation,
            answers: Vec::new(),
            view: 5,
            next_naive: 0,
        }
    }

    fn local(&self, i: usize) -> Time {
        let p = &self.processes[i];
        Time::from_micros(p.offset + (self.now as f64 * p.rate) as u64)
    }

    fn run(mut self) -> Self {
        while self.now < RUN_US {
            self.now += STEP_US;
            if self.faults.on {
                self.inject();
            }
            self.effects();
            for i in 0..self.processes.len() {
                if self.processes[i].paused_until <= self.now {
                    self.step(i);
                }
            }
        }
        self
    }

    fn inject(&mut self) {
        // About every 40 s each: an outage, a pause, a restart and new membership views.
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
                    p.view = self.rng.random_range(1..=5);
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

    /// Lets the platform perform the calls that have reached it.
    fn effects(&mut self) {
        for c in 0..self.calls.len() {
            if self.calls[c].effect_at.is_none_or(|t| t > self.now) {
                continue;
            }
            self.calls[c].effect_at = None;
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
            if !self.calls[c].lost {
                self.calls[c].result = result;
            }
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.local(i);
        if let Some(id) = self.processes[i].in_gap.take() {
            self.send(i, id);
        }
        let done = self.now;
        let process = &mut self.processes[i];
        for (_, id) in process.answers.extract_if(.., |a| a.0 <= done) {
            process.probes.on_done(id);
        }
        match self.way {
            Way::Lease => {
                self.deliver(i, now);
                if let Some(action) = self.processes[i].lease.poll(now) {
                    self.call(i, action);
                }
                self.probe(i, now);
            }
            Way::ShareByView => self.probe_by_view(i),
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
            // A write may still reach the platform after its sender gave up.
            if c.effect_at.is_some() {
                self.calls.push(Call { process: usize::MAX, ..c.orphan() });
            }
        }
    }

    fn call(&mut self, i: usize, action: LeaseAction) {
        let out = self.now < self.outage_until;
        let read = action == LeaseAction::Read;
        let fault = if self.faults.on { self.rng.random_range(0..20) } else { 20 };
        let delay = self.rng.random_range(1_000..100_000);
        let (effect_at, reply_at, result, lost) = match fault {
            _ if out => (None, self.now + delay, LeaseResult::Unavailable, true),
            // The answer is lost, and the write takes effect at once or late.
            0 => (Some(self.now + delay), self.now + 1_000_000, LeaseResult::Indeterminate, true),
            1 => {
                let late = self.rng.random_range(0..30_000_000);
                (Some(self.now + late), self.now + 1_000_000, LeaseResult::Indeterminate, true)
            }
            _ => (Some(self.now + delay), self.now + 2 * delay, LeaseResult::Unavailable, false),
        };
        let result = if read && lost { LeaseResult::Unavailable } else { result };
        let incarnation = self.processes[i].incarnation;
        let effect_at = if read && lost { None } else { effect_at };
        let reply_at = reply_at + STEP_US;
        self.calls.push(Call {
            process: i,
            incarnation,
            action,
            effect_at,
            reply_at,
            result,
            lost,
        });
    }

    fn probe(&mut self, i: usize, now: Time) {
        let grant = self.processes[i].lease.held(now);
        for id in self.processes[i].probes.due(grant, now) {
            let process = &mut self.processes[i];
            let grant = process.lease.held(now);
            if !process.probes.try_start(id, grant, now) {
                continue;
            }
            let in_gap = self.processes.iter().filter(|p| p.in_gap.is_some()).count();
            let pauses = self.faults.on && in_gap < self.faults.gap_pauses;
            if pauses && self.rng.random_range(0..20) == 0 {
                self.processes[i].in_gap = Some(id);
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
        let now = self.local(i);
        let answer_at = self.now + 2 * delay;
        self.processes[i].probes.on_sent(id, now);
        self.processes[i].answers.push((answer_at, id));
    }

    fn probe_by_view(&mut self, i: usize) {
        let process = &mut self.processes[i];
        if self.now < process.next_naive {
            return;
        }
        process.next_naive = self.now + WINDOW_US * process.view as u64 / (BUDGET as u64 - 1);
        for id in self.ids {
            self.send(i, id);
        }
    }

    /// Returns the largest number of probes that a target got in any window.
    fn most_in_window(&mut self) -> usize {
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
    fn orphan(self) -> Self {
        Call { reply_at: u64::MAX, ..self }
    }
}

fn violations(way: Way, faults: Faults) -> (u64, usize, Option<u64>) {
    let (mut count, mut probes, mut first) = (0, 0, None);
    for seed in 1..=seeds() {
        let mut world = World::new(seed, way, faults).run();
        probes += world.arrivals[0].len();
        if world.most_in_window() > BUDGET {
            count += 1;
            first = first.or(Some(seed));
        }
    }
    (count, probes, first)
}

// Guards against more probes than the budget, whatever the hosts believe about each other.
#[test]
fn probe_budget_holds_over_faults() {
    let faults = Faults { on: true, gap_pauses: 1 };
    let (count, probes, first) = violations(Way::Lease, faults);
    println!("lease: {count} of {} seeds violate, {probes} probes to target 0", seeds());
    assert_eq!(count, 0, "the budget was exceeded, first with seed {first:?}");
    // A scheduler that never probes would hold the budget as well.
    assert!(probes as u64 > 20 * seeds(), "only {probes} probes in {} runs", seeds());
}

// Shows that the check finds the violations of the way that the lease replaces.
#[test]
fn probe_budget_share_by_view_fails() {
    let faults = Faults { on: true, gap_pauses: 0 };
    let (count, _, _) = violations(Way::ShareByView, faults);
    println!("share by own view: {count} of {} seeds violate", seeds());
    assert!(count > seeds() / 2, "the check found only {count} violations");
}

// Guards against two processes that are paused between permission and send, resume in the same
// window, and exceed the budget together.
#[test]
fn probe_budget_two_paused_between_check_and_send() {
    let faults = Faults { on: true, gap_pauses: 2 };
    let (count, _, first) = violations(Way::Lease, faults);
    println!("two paused in the gap: {count} of {} seeds violate, first {first:?}", seeds());
    assert_eq!(count, 0, "first seed {first:?}");
}

// Guards against a budget that is held by not probing.
#[test]
fn probe_budget_is_spent_without_faults() {
    let faults = Faults { on: false, gap_pauses: 0 };
    let mut world = World::new(1, Way::Lease, faults).run();
    let most = world.most_in_window();
    let late = world.arrivals[0].iter().filter(|t| **t > RUN_US - 100_000_000).count();
    println!("without faults: {late} probes in the last 100 s, at most {most} in a window");
    assert!(late >= 72, "only {late} of 80 probes were sent");
    assert!(most <= BUDGET - 2, "the reserve was spent: {most} probes in a window");
}

// Guards against a takeover that doesn't wait for the former holder's term.
#[test]
fn poll_waits_for_term_of_former_holder() {
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
    let grant = lease.held(now + Duration::from_secs(1)).unwrap();
    assert_eq!(
        grant.expires_at,
        now + Duration::from_secs(15),
        "the term counts from before the send"
    );
}

// Guards against a lost answer that costs the lease, or keeps a lease that was not written.
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

// Guards against a released lease that still counts as held, and against a slow handover.
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
