//! Explores every order of events of one request and checks each action against an oracle that
//! records which handlers could have seen the request.

use geraniummux_core::attempt::{
    Action, AttemptNo, Connection, Event, MAX_NON_IDEMPOTENT_IDLE, Refusal, RequestOptions,
    RequestState, Timer,
};
use geraniummux_core::budget::RouteBudgets;
use geraniummux_core::{Outcome, Reason, Time};
use std::collections::{BTreeSet, HashSet, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};
use std::time::Duration;

const NOW: Time = Time::from_millis(10);
const DEADLINE: Time = Time::from_millis(1_000);

/// What the daemon still owes for an attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Picking,
    Opening,
    Sent,
    Head,
    /// Ended by an event.
    Ended,
    /// Ended by `Cancel`; one late event may still arrive.
    Cancelled,
    Stale,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    stage: Stage,
    /// The oracle's record: whether a handler could have seen this attempt.
    seen: bool,
    idle: Option<Duration>,
    connection: Option<Connection>,
    response: Option<(u16, bool)>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
enum Claim {
    #[default]
    None,
    Asked,
    Waiting,
    Held,
    Settling(Outcome),
    Settled(Outcome),
    /// The claim itself concluded the request.
    Closed,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Slot {
    None,
    Asked,
    Held,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    idempotent: bool,
    request: RequestState,
    now: Time,
    attempts: Vec<Attempt>,
    timers: BTreeSet<u16>,
    slot: Slot,
    claim: Claim,
    crash_reports: u8,
    conclusion: Option<Action>,
    delivering: bool,
    caller_gone: bool,
    quarantined: bool,
    stale_left: u8,
}

fn timer_code(timer: Timer) -> u16 {
    match timer {
        Timer::Deadline => 0,
        Timer::Connect(n) => 0x100 + u16::from(n),
        Timer::Hedge(n) => 0x200 + u16::from(n),
        Timer::StaleConnection(n) => 0x300 + u16::from(n),
    }
}

fn timer_of(code: u16) -> Timer {
    let n = (code & 0xff) as AttemptNo;
    match code >> 8 {
        0 => Timer::Deadline,
        1 => Timer::Connect(n),
        2 => Timer::Hedge(n),
        _ => Timer::StaleConnection(n),
    }
}

impl World {
    fn new(options: RequestOptions) -> Self {
        let mut world = World {
            idempotent: options.idempotent,
            request: RequestState::new(options.clone()),
            now: NOW,
            attempts: Vec::new(),
            timers: BTreeSet::new(),
            slot: Slot::None,
            claim: Claim::None,
            crash_reports: 0,
            conclusion: None,
            delivering: false,
            caller_gone: false,
            quarantined: false,
            stale_left: 1,
        };
        let actions = world.request.start(NOW);
        world.perform(&options, actions);
        world
    }

    fn seen(&self) -> bool {
        self.attempts.iter().any(|a| a.seen)
    }

    /// Returns all events that can happen next.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.slot == Slot::Asked {
            events.extend([false, true].map(|quarantined| Event::Admitted { quarantined }));
            events.push(Event::AdmissionRefused { reason: Reason::Overloaded });
        }
        if matches!(self.claim, Claim::Asked | Claim::Waiting) {
            events.extend([Event::ClaimGranted, Event::ClaimReplay]);
            let refusals =
                [(Outcome::Unknown, Reason::ClaimPending), (Outcome::NotRun, Reason::KeyReused)];
            events
                .extend(refusals.map(|(outcome, reason)| Event::ClaimRefused { outcome, reason }));
        }
        if self.claim == Claim::Asked {
            events.push(Event::ClaimWaiting);
        }
        if matches!(self.claim, Claim::Settling(_)) {
            events.push(Event::ClaimSettled);
        }
        if self.crash_reports > 0 {
            events.extend([false, true].map(|quarantined| Event::CrashReported { quarantined }));
        }
        if self.delivering {
            events.extend([Event::Delivered, Event::DeliveryFailed]);
        }
        if !self.caller_gone {
            events.push(Event::CallerGone);
        }
        for (n, a) in self.attempts.iter().enumerate() {
            self.attempt_events(n as AttemptNo, a, &mut events);
        }
        events.extend(self.timers.iter().map(|c| Event::Timer(timer_of(*c))));
        events
    }

    fn attempt_events(&self, attempt: AttemptNo, a: &Attempt, events: &mut Vec<Event>) {
        let picked = |idle: Option<u64>| Event::Picked {
            attempt,
            target: format!("t{attempt}").into(),
            idle: idle.map(Duration::from_millis),
        };
        let late = a.stage == Stage::Cancelled && self.stale_left > 0;
        if a.stage == Stage::Picking || late {
            // Only non-idempotent requests tell connections by their age.
            let idles: &[Option<u64>] =
                if self.idempotent { &[None, Some(80)] } else { &[None, Some(3), Some(80)] };
            events.extend(idles.iter().map(|idle| picked(*idle)));
            events.push(Event::NoTarget { attempt });
        }
        if a.stage == Stage::Opening || late {
            for quarantined in [false, true] {
                events.push(Event::Connected { attempt, reused: false, quarantined });
                if a.connection == Some(Connection::Reuse) {
                    events.push(Event::Connected { attempt, reused: true, quarantined });
                }
            }
            events.push(Event::ConnectFailed { attempt });
        }
        if a.stage == Stage::Sent || late {
            events.extend([
                Event::NotSent { attempt },
                Event::ConnectionLost { attempt },
                Event::ResponseHead { attempt },
            ]);
        }
        if matches!(a.stage, Stage::Sent | Stage::Head) || late {
            for (status, buffered) in
                [(200, true), (200, false), (500, true), (503, true), (503, false)]
            {
                events.push(Event::ResponseReady { attempt, status, buffered });
            }
            events.push(Event::Refused { attempt, refusal: Refusal::Shed });
            events.push(Event::InvalidResponse { attempt });
        }
        if late {
            let timers =
                [Timer::Connect(attempt), Timer::Hedge(attempt), Timer::StaleConnection(attempt)];
            events.extend(timers.map(Event::Timer));
        }
    }

    /// Records the event with the oracle.
    fn happen(&mut self, event: &Event) {
        match event {
            Event::Admitted { quarantined } => {
                self.slot = Slot::Held;
                self.quarantined |= quarantined;
            }
            Event::AdmissionRefused { .. } => self.slot = Slot::None,
            Event::ClaimGranted => self.claim = Claim::Held,
            Event::ClaimWaiting => self.claim = Claim::Waiting,
            Event::ClaimReplay | Event::ClaimRefused { .. } => self.claim = Claim::Closed,
            Event::ClaimSettled => {
                if let Claim::Settling(outcome) = self.claim {
                    self.claim = Claim::Settled(outcome);
                }
            }
            Event::CrashReported { quarantined } => {
                self.crash_reports -= 1;
                self.quarantined |= quarantined;
            }
            Event::Delivered | Event::DeliveryFailed => self.delivering = false,
            Event::CallerGone => {
                self.caller_gone = true;
                self.delivering = false;
            }
            Event::Timer(timer) => {
                if !self.timers.remove(&timer_code(*timer)) {
                    self.stale_left = 0;
                }
                if *timer == Timer::Deadline {
                    self.now = DEADLINE;
                }
            }
            Event::Picked { attempt, .. }
            | Event::NoTarget { attempt }
            | Event::Connected { attempt, .. }
            | Event::ConnectFailed { attempt }
            | Event::NotSent { attempt }
            | Event::ResponseHead { attempt }
            | Event::ResponseReady { attempt, .. }
            | Event::Refused { attempt, .. }
            | Event::ConnectionLost { attempt }
            | Event::InvalidResponse { attempt } => self.happen_to(*attempt, event),
        }
    }

    fn happen_to(&mut self, attempt: AttemptNo, event: &Event) {
        let a = &mut self.attempts[usize::from(attempt)];
        // A late event of a cancelled attempt proves nothing to anyone.
        if a.stage == Stage::Cancelled {
            a.stage = Stage::Stale;
            self.stale_left = 0;
            return;
        }
        match event {
            Event::Picked { idle, .. } => a.idle = *idle,
            Event::Connected { quarantined, .. } => self.quarantined |= quarantined,
            Event::ResponseHead { .. } => a.stage = Stage::Head,
            Event::ResponseReady { status, buffered, .. } => {
                a.response = Some((*status, *buffered));
                a.stage = Stage::Ended;
            }
            Event::NotSent { .. } | Event::Refused { .. } => {
                a.seen = false;
                a.stage = Stage::Ended;
            }
            _ => a.stage = Stage::Ended,
        }
        self.drop_timers();
    }

    /// Drops the timers of attempts that ended. Late ones come with the late events.
    fn drop_timers(&mut self) {
        let attempts = &self.attempts;
        self.timers.retain(|code| {
            let opening = |n: u16| attempts[usize::from(n)].stage == Stage::Opening;
            let sent = |n: u16| attempts[usize::from(n)].stage == Stage::Sent;
            match code >> 8 {
                0 => true,
                1 => opening(code & 0xff),
                _ => sent(code & 0xff),
            }
        });
    }

    /// Performs the actions and checks each.
    fn perform(&mut self, options: &RequestOptions, actions: Vec<Action>) {
        for action in actions {
            self.perform_one(options, action);
        }
        let waits_with_slot = self.claim == Claim::Waiting && self.slot != Slot::None;
        assert!(!waits_with_slot, "a request that waits for another one holds a slot");
        if self.request.is_done() {
            assert!(self.conclusion.is_some(), "done without a conclusion");
            assert_eq!(self.slot, Slot::None, "slot not given back");
            let open = matches!(self.claim, Claim::Asked | Claim::Waiting | Claim::Held);
            assert!(!open, "claim left in state {:?}", self.claim);
            assert_eq!(self.crash_reports, 0, "strike not spread before the end");
        }
    }

    fn perform_one(&mut self, options: &RequestOptions, action: Action) {
        let uses_claim = options.keyed && !options.idempotent;
        match action {
            Action::Admit => {
                assert_eq!(self.slot, Slot::None, "asked for a second slot");
                self.slot = Slot::Asked;
            }
            Action::ReleaseSlot => {
                let busy =
                    self.attempts.iter().any(|a| matches!(a.stage, Stage::Sent | Stage::Head));
                assert!(!busy, "gave the slot back while a target is busy");
                assert_ne!(self.slot, Slot::None, "gave back no slot");
                self.slot = Slot::None;
            }
            Action::AcquireClaim => {
                assert!(uses_claim && self.claim == Claim::None);
                self.claim = Claim::Asked;
            }
            Action::Pick { attempt, ref avoid } => {
                assert_eq!(usize::from(attempt), self.attempts.len());
                assert!(attempt < options.max_attempts, "too many attempts");
                assert_eq!(self.crash_reports, 0, "new attempt before the strike was spread");
                assert!(!self.caller_gone, "new attempt without a caller");
                assert!(avoid.len() <= self.attempts.len());
                self.attempts.push(Attempt {
                    stage: Stage::Picking,
                    seen: false,
                    idle: None,
                    connection: None,
                    response: None,
                });
            }
            Action::Open { attempt, connection, .. } => {
                let a = &mut self.attempts[usize::from(attempt)];
                assert_eq!(a.stage, Stage::Picking);
                let fresh =
                    a.idle.is_some_and(|i| options.idempotent || i <= MAX_NON_IDEMPOTENT_IDLE);
                assert!(connection == Connection::New || fresh, "reused an old connection");
                a.stage = Stage::Opening;
                a.connection = Some(connection);
            }
            Action::Send { attempt, not_after, depth } => {
                assert_eq!((not_after, depth), (DEADLINE, options.depth + 1));
                assert!(self.now < DEADLINE, "sent after the deadline");
                assert!(!self.quarantined, "sent a quarantined request");
                assert_eq!(self.crash_reports, 0, "sent before the strike was spread");
                assert_eq!(self.slot, Slot::Held, "sent without a slot");
                assert!(!uses_claim || self.claim == Claim::Held, "sent without the claim");
                assert!(options.idempotent || !self.seen(), "non-idempotent request sent again");
                let a = &mut self.attempts[usize::from(attempt)];
                assert_eq!(a.stage, Stage::Opening);
                a.stage = Stage::Sent;
                a.seen = true;
            }
            Action::Cancel { attempt } => {
                let a = &mut self.attempts[usize::from(attempt)];
                assert!(!matches!(a.stage, Stage::Cancelled | Stage::Stale), "cancelled twice");
                a.stage = Stage::Cancelled;
                a.response = None;
                self.drop_timers();
            }
            Action::ReportCrash { attempt, ref target } => {
                assert_eq!(**target, format!("t{attempt}"));
                self.crash_reports += 1;
            }
            Action::StartTimer { timer, .. } => {
                self.timers.insert(timer_code(timer));
            }
            Action::SettleClaim { outcome, response } => {
                self.check_outcome(outcome);
                assert!(matches!(self.claim, Claim::Asked | Claim::Waiting | Claim::Held));
                let buffered = response.map(|n| self.attempts[usize::from(n)].response);
                assert!(
                    matches!(buffered, None | Some(Some((_, true)))),
                    "stored a partial answer"
                );
                self.claim = Claim::Settling(outcome);
            }
            Action::MarkUndelivered => {
                assert_eq!(self.claim, Claim::Settled(Outcome::Served));
            }
            Action::Respond { outcome, .. } | Action::Abandon { outcome } => {
                self.check_outcome(outcome);
                let unknown_claim = matches!(self.claim, Claim::Closed | Claim::Settled(_));
                let precise = outcome != Outcome::Unknown || self.seen() || unknown_claim;
                assert!(precise, "unknown, although no handler could have seen the request");
                let gone = matches!(action, Action::Abandon { .. });
                assert_eq!(gone, self.caller_gone);
                self.end(action);
            }
            Action::Relay { attempt, outcome } => {
                let (status, buffered) =
                    self.attempts[usize::from(attempt)].response.expect("relayed no answer");
                let failed = (502..=504).contains(&status);
                assert_eq!(outcome == Outcome::Unknown, failed);
                assert_ne!(outcome, Outcome::NotRun);
                let stored = matches!(self.claim, Claim::Settled(o) if o == outcome);
                assert!(!uses_claim || stored, "relayed before the answer was stored");
                assert!(!self.caller_gone, "relayed without a caller");
                assert_eq!(self.slot == Slot::None, buffered, "slot of a relayed answer");
                self.delivering = true;
                self.end(action);
            }
            Action::Replay => {
                assert_eq!(self.claim, Claim::Closed);
                assert!(!self.caller_gone && self.attempts.is_empty());
                self.delivering = true;
                self.end(action);
            }
        }
    }

    fn check_outcome(&self, outcome: Outcome) {
        assert!(
            outcome != Outcome::NotRun || !self.seen(),
            "not-run, although a handler could have seen the request"
        );
    }

    fn end(&mut self, action: Action) {
        assert_eq!(self.conclusion, None, "second response");
        assert_eq!(self.crash_reports, 0, "response before the strike was spread");
        for (n, a) in self.attempts.iter().enumerate() {
            let kept = matches!(action, Action::Relay { attempt, .. } if usize::from(attempt) == n);
            let over = matches!(a.stage, Stage::Ended | Stage::Cancelled | Stage::Stale);
            // The buffered answer of an attempt that is not relayed must be dropped as well.
            let stored = self.caller_gone;
            assert!(kept || over, "attempt {n} neither relayed nor cancelled");
            assert!(kept || a.response.is_none() || stored, "answer {n} not dropped");
        }
        self.conclusion = Some(action);
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Lets the deadline pass and gives the daemon's outstanding answers; the request must end.
    fn assert_ends(mut self, options: &RequestOptions, budgets: &RouteBudgets) {
        for _ in 0..12 {
            if self.request.is_done() {
                return;
            }
            let event = if self.timers.contains(&0) {
                Event::Timer(Timer::Deadline)
            } else if self.crash_reports > 0 {
                Event::CrashReported { quarantined: false }
            } else if matches!(self.claim, Claim::Settling(_)) {
                Event::ClaimSettled
            } else if self.delivering {
                Event::DeliveryFailed
            } else {
                break;
            };
            self.step(options, event, budgets);
        }
        assert!(self.request.is_done(), "the request does not end: {self:?}");
    }

    fn step(&mut self, options: &RequestOptions, event: Event, budgets: &RouteBudgets) {
        self.happen(&event);
        let actions = self.request.on(self.now, event, &mut budgets.clone());
        self.perform(options, actions);
    }
}

/// Explores all states to `depth` events and returns how many there are and whether none was left.
fn explore(options: &RequestOptions, depth: usize) -> (usize, bool) {
    let budgets = [RouteBudgets::new(0.1, 0.05, NOW), RouteBudgets::new(0.0, 0.0, NOW)];
    let mut visited = HashSet::new();
    let mut frontier = vec![World::new(options.clone())];
    let mut rest = true;
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in &frontier {
            for event in world.events() {
                for budget in &budgets {
                    let mut successor = world.clone();
                    successor.step(options, event.clone(), budget);
                    if !successor.request.is_done() && visited.insert(successor.key()) {
                        successor.clone().assert_ends(options, budget);
                        next.push(successor);
                    }
                }
            }
            // A paused process: the deadline passes, and other events come before its timer.
            let mut paused = world.clone();
            paused.now = DEADLINE;
            if visited.insert(paused.key()) {
                next.push(paused);
            }
        }
        frontier = next;
        rest = !frontier.is_empty();
        if !rest {
            break;
        }
    }
    (visited.len(), !rest)
}

fn options(idempotent: bool, keyed: bool) -> RequestOptions {
    RequestOptions {
        idempotent,
        keyed,
        deadline: DEADLINE,
        p95: Some(Duration::from_millis(40)),
        hedge_after: Some(Duration::from_millis(30)),
        max_attempts: 3,
        ..RequestOptions::default()
    }
}

#[test]
fn request_non_idempotent_all_interleavings() {
    let (states, complete) = explore(&options(false, false), 40);
    println!("non-idempotent: {states} states, complete {complete}");
    assert!(complete && states > 100);
}

#[test]
fn request_keyed_all_interleavings() {
    let (states, complete) = explore(&options(false, true), 40);
    println!("keyed: {states} states, complete {complete}");
    assert!(complete && states > 100);
}

#[test]
fn request_idempotent_all_interleavings() {
    let (states, complete) = explore(&options(true, false), 40);
    println!("idempotent: {states} states, complete {complete}");
    assert!(complete && states > 1_000);
}

/// Feeds events and returns the actions of the last one.
fn actions_after(options: RequestOptions, events: Vec<Event>) -> Vec<Action> {
    let mut request = RequestState::new(options);
    let mut actions = request.start(NOW);
    for event in events {
        actions = request.on(NOW, event, &mut RouteBudgets::new(0.1, 0.05, NOW));
    }
    actions
}

fn sent(idle: Option<Duration>) -> Vec<Event> {
    vec![
        Event::Admitted { quarantined: false },
        Event::Picked { attempt: 0, target: "t0".into(), idle },
        Event::Connected { attempt: 0, reused: idle.is_some(), quarantined: false },
    ]
}

/// Guards against a state machine that is safe because it never tries again.
#[test]
fn request_tries_again_where_it_may() {
    let again = |avoid: &str| Action::Pick { attempt: 1, avoid: vec![avoid.into()] };
    let after = |idempotent: bool, idle: Option<u64>, last: Vec<Event>| {
        let mut events = sent(idle.map(Duration::from_millis));
        events.extend(last);
        actions_after(options(idempotent, false), events)
    };
    let refused = Event::Refused { attempt: 0, refusal: Refusal::Draining };
    assert_eq!(after(false, None, vec![refused]), [again("t0")]);
    assert_eq!(after(false, None, vec![Event::NotSent { attempt: 0 }]), [again("t0")]);
    let failed = Event::ResponseReady { attempt: 0, status: 503, buffered: true };
    assert_eq!(after(true, None, vec![failed]), [again("t0")]);
    let error = Event::ResponseReady { attempt: 0, status: 500, buffered: true };
    assert_eq!(after(true, None, vec![error.clone()]), [again("t0")]);
    let relayed = Action::Relay { attempt: 0, outcome: Outcome::Served };
    assert_eq!(after(false, None, vec![error]), [Action::ReleaseSlot, relayed]);
    assert_eq!(after(true, None, vec![Event::InvalidResponse { attempt: 0 }]), [again("t0")]);
    let broken =
        vec![Event::ConnectionLost { attempt: 0 }, Event::CrashReported { quarantined: false }];
    assert_eq!(after(true, None, broken), [again("t0")]);
    assert_eq!(after(true, None, vec![Event::Timer(Timer::Hedge(0))]), [again("t0")]);
    let moved = after(true, Some(80), vec![Event::Timer(Timer::StaleConnection(0))]);
    assert_eq!(moved, [Action::Cancel { attempt: 0 }, again("t0")]);
    let closed =
        vec![Event::ConnectionLost { attempt: 0 }, Event::CrashReported { quarantined: true }];
    let quarantined = Action::Respond { outcome: Outcome::Unknown, reason: Reason::Quarantined };
    assert_eq!(after(true, None, closed), [Action::ReleaseSlot, quarantined]);
}

/// Guards against timers that are not those of the page.
#[test]
fn request_timers_follow_latency() {
    let timers = |options: RequestOptions| -> Vec<(Timer, u64)> {
        let actions = actions_after(options, sent(Some(Duration::from_millis(80))));
        let timer = |a| match a {
            Action::StartTimer { timer, at } => Some((timer, at.since(NOW).as_millis() as u64)),
            _ => None,
        };
        actions.into_iter().filter_map(timer).collect()
    };
    assert_eq!(
        timers(options(true, false)),
        [(Timer::Hedge(0), 30), (Timer::StaleConnection(0), 80)]
    );
    let unknown = RequestOptions { p95: None, hedge_after: None, ..options(true, false) };
    assert_eq!(timers(unknown), [(Timer::StaleConnection(0), 100)]);
    assert_eq!(timers(options(false, false)), []);
}
