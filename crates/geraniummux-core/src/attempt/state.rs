//! The state machine of a request.

use super::{
    Action, AttemptNo, Connection, DEFAULT_STALE_CONNECTION_TIMEOUT, Event,
    MAX_NON_IDEMPOTENT_IDLE, RequestOptions, Timer,
};
use crate::budget::RouteBudgets;
use crate::outcome::{Outcome, Reason};
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Picking,
    Opening,
    Sent,
    /// The head arrived.
    Answering,
    /// The whole answer is buffered but not chosen yet.
    Held,
    Ended,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    target: Option<Arc<str>>,
    stage: Stage,
    /// Whether a target's handler may have seen this attempt.
    may_have_run: bool,
    /// Whether the attempt needs a new connection.
    needs_new: bool,
    /// Status of the held answer.
    status: u16,
}

impl Attempt {
    fn is_live(&self) -> bool {
        matches!(self.stage, Stage::Picking | Stage::Opening | Stage::Sent | Stage::Answering)
    }
}

/// How the request ends.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Conclusion {
    Relay { attempt: AttemptNo, buffered: bool },
    Respond(Reason),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    Queued,
    Claiming,
    Running,
    /// Strikes are being spread before the request concludes.
    Spreading(Conclusion),
    /// The claim is being settled before the request concludes with this outcome.
    Settling(Conclusion, Outcome),
    Relaying {
        attempt: AttemptNo,
        buffered: bool,
    },
    Replaying,
    Done,
}

/// The state of one request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestState {
    options: RequestOptions,
    phase: Phase,
    attempts: Vec<Attempt>,
    has_slot: bool,
    holds_claim: bool,
    hedged: bool,
    caller_gone: bool,
    quarantined: bool,
    crash_reports_pending: u8,
    /// Whether a pick found no target; another pick would not find one either.
    exhausted: bool,
    /// Why the last attempt failed.
    failure: Reason,
    outcome: Option<Outcome>,
}

impl RequestState {
    /// Returns a request that has not started.
    pub fn new(options: RequestOptions) -> Self {
        RequestState {
            options,
            phase: Phase::New,
            attempts: Vec::new(),
            has_slot: false,
            holds_claim: false,
            hedged: false,
            caller_gone: false,
            quarantined: false,
            crash_reports_pending: 0,
            exhausted: false,
            failure: Reason::TargetFailed,
            outcome: None,
        }
    }

    /// Starts the request.
    pub fn start(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase != Phase::New {
            return actions;
        }
        if now >= self.options.deadline {
            self.conclude(Conclusion::Respond(Reason::Deadline), &mut actions);
            return actions;
        }
        actions.push(Action::StartTimer { timer: Timer::Deadline, at: self.options.deadline });
        self.admit(&mut actions);
        actions
    }

    /// Returns whether nothing is left to do for the request.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Returns the outcome once it is decided.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns the target of an attempt once it is picked.
    pub fn target(&self, attempt: AttemptNo) -> Option<&Arc<str>> {
        self.attempts.get(usize::from(attempt)).and_then(|a| a.target.as_ref())
    }

    /// Takes an event and returns the actions that follow from it, to be performed in order.
    ///
    /// An event that doesn't fit the state, such as one of a cancelled attempt, is ignored.
    pub fn on(&mut self, now: Time, event: Event, budgets: &mut RouteBudgets) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = &mut actions;
        match (self.phase, event) {
            (Phase::New | Phase::Done, _) => {}
            (Phase::Queued, event) => self.on_queued(now, event, budgets, out),
            (Phase::Claiming, event) => self.on_claiming(now, event, budgets, out),
            (Phase::Running, event) => self.on_running(now, event, budgets, out),
            (Phase::Spreading(conclusion), Event::CrashReported { .. }) => {
                self.crash_reports_pending -= 1;
                self.conclude(conclusion, out);
            }
            (Phase::Settling(conclusion, outcome), Event::ClaimSettled) => {
                self.finish(conclusion, outcome, out);
            }
            (Phase::Spreading(_) | Phase::Settling(..), Event::CallerGone) => {
                self.caller_gone = true;
            }
            (Phase::Relaying { attempt, buffered }, event) => {
                self.on_relaying(attempt, buffered, event, out);
            }
            (Phase::Replaying, Event::Delivered | Event::DeliveryFailed | Event::CallerGone) => {
                self.phase = Phase::Done
            }
            (Phase::Spreading(_) | Phase::Settling(..) | Phase::Replaying, _) => {}
        }
        actions
    }

    fn admit(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Queued;
        self.has_slot = true;
        out.push(Action::Admit);
    }

    fn on_queued(
        &mut self,
        now: Time,
        event: Event,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::Admitted { quarantined: true } => {
                self.quarantined = true;
                self.conclude(Conclusion::Respond(Reason::Quarantined), out);
            }
            Event::Admitted { .. } if self.uses_claim() && !self.holds_claim => {
                self.phase = Phase::Claiming;
                out.push(Action::AcquireClaim);
            }
            Event::Admitted { .. } => self.run(now, budgets, out),
            Event::AdmissionRefused { reason } => {
                self.has_slot = false;
                self.conclude(Conclusion::Respond(reason), out);
            }
            Event::Timer(Timer::Deadline) => {
                self.conclude(Conclusion::Respond(Reason::Deadline), out);
            }
            Event::CallerGone => {
                self.caller_gone = true;
                self.conclude(Conclusion::Respond(Reason::CallerGone), out);
            }
            _ => {}
        }
    }

    fn on_claiming(
        &mut self,
        now: Time,
        event: Event,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::ClaimGranted => {
                self.holds_claim = true;
                if self.has_slot {
                    self.run(now, budgets, out);
                } else {
                    self.admit(out);
                }
            }
            // A request that waits for another one runs nothing and must not occupy a slot.
            Event::ClaimWaiting => self.release_slot(out),
            Event::ClaimReplay => {
                self.release_slot(out);
                self.outcome = Some(Outcome::Served);
                self.phase = Phase::Replaying;
                out.push(Action::Replay);
            }
            Event::ClaimRefused { outcome, reason } => {
                self.release_slot(out);
                self.respond(outcome, reason, out);
            }
            // The claim may be in the making. It is released, but what the key's other requests
            // did stays open.
            Event::Timer(Timer::Deadline) => {
                self.settle(Conclusion::Respond(Reason::ClaimPending), Outcome::Unknown, out);
            }
            Event::CallerGone => {
                self.caller_gone = true;
                self.settle(Conclusion::Respond(Reason::CallerGone), Outcome::NotRun, out);
            }
            _ => {}
        }
    }

    fn run(&mut self, now: Time, budgets: &mut RouteBudgets, out: &mut Vec<Action>) {
        self.phase = Phase::Running;
        budgets.deposit(now, self.options.depth);
        self.pick(false, out);
    }

    fn on_running(
        &mut self,
        now: Time,
        event: Event,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::Picked { attempt, target, idle } => {
                self.on_picked(now, attempt, target, idle, out)
            }
            Event::NoTarget { attempt } if self.stage(attempt) == Some(Stage::Picking) => {
                self.exhausted = true;
                self.fail(now, attempt, Reason::NoTarget, budgets, out);
            }
            Event::Connected { attempt, reused, quarantined }
                if self.stage(attempt) == Some(Stage::Opening) =>
            {
                self.on_connected(now, attempt, reused, quarantined, budgets, out);
            }
            Event::ConnectFailed { attempt } if self.stage(attempt) == Some(Stage::Opening) => {
                self.fail(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::NotSent { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.attempts[usize::from(attempt)].may_have_run = false;
                self.fail(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::ResponseHead { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.attempts[usize::from(attempt)].stage = Stage::Answering;
            }
            Event::ResponseReady { attempt, status, buffered } if self.is_sent(attempt) => {
                self.on_answered(now, attempt, status, buffered, budgets, out);
            }
            Event::Refused { attempt, refusal } if self.is_sent(attempt) => {
                self.attempts[usize::from(attempt)].may_have_run = false;
                self.fail(now, attempt, refusal.reason(), budgets, out);
            }
            Event::ConnectionLost { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.crash_reports_pending += 1;
                let target = self.target(attempt).cloned().unwrap_or_else(|| Arc::from(""));
                out.push(Action::ReportCrash { attempt, target });
                self.fail(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::ConnectionLost { attempt } | Event::InvalidResponse { attempt }
                if self.is_sent(attempt) =>
            {
                self.fail(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::CrashReported { quarantined } if self.crash_reports_pending > 0 => {
                self.crash_reports_pending -= 1;
                self.quarantined |= quarantined;
                self.proceed(now, budgets, out);
            }
            Event::Timer(timer) => self.on_timer(now, timer, budgets, out),
            Event::CallerGone => self.on_caller_gone(out),
            _ => {}
        }
    }

    fn on_picked(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        target: Arc<str>,
        idle: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        if self.stage(attempt) != Some(Stage::Picking) {
            return;
        }
        let idempotent = self.options.idempotent;
        let connect_timeout = self.options.connect_timeout;
        let a = &mut self.attempts[usize::from(attempt)];
        a.stage = Stage::Opening;
        a.target = Some(target.clone());
        let reusable = idle.is_some_and(|idle| idempotent || idle <= MAX_NON_IDEMPOTENT_IDLE);
        let connection = if reusable && !a.needs_new { Connection::Reuse } else { Connection::New };
        out.push(Action::Open { attempt, target, connection });
        out.push(Action::StartTimer { timer: Timer::Connect(attempt), at: now + connect_timeout });
    }

    fn on_connected(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reused: bool,
        quarantined: bool,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        self.quarantined |= quarantined;
        // The process may have been paused since the last check, and a strike may have arrived.
        if self.quarantined || self.crash_reports_pending > 0 || now >= self.options.deadline {
            out.push(Action::Cancel { attempt });
            let late = now >= self.options.deadline;
            let reason = if late { Reason::Deadline } else { Reason::TargetFailed };
            self.fail(now, attempt, reason, budgets, out);
            return;
        }
        let a = &mut self.attempts[usize::from(attempt)];
        a.stage = Stage::Sent;
        a.may_have_run = true;
        out.push(Action::Send {
            attempt,
            not_after: self.options.deadline,
            depth: self.options.depth.saturating_add(1),
        });
        if !self.options.idempotent {
            return;
        }
        if let Some(after) = self.options.hedge_after.filter(|_| !self.hedged) {
            out.push(Action::StartTimer { timer: Timer::Hedge(attempt), at: now + after });
        }
        if reused {
            self.start_silence(now, attempt, out);
        }
    }

    fn start_silence(&self, now: Time, attempt: AttemptNo, out: &mut Vec<Action>) {
        let silence = self.options.p95.map_or(DEFAULT_STALE_CONNECTION_TIMEOUT, |p95| p95 * 2);
        if now + silence < self.options.deadline {
            out.push(Action::StartTimer {
                timer: Timer::StaleConnection(attempt),
                at: now + silence,
            });
        }
    }

    fn on_answered(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        buffered: bool,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        // A server error is kept while another attempt may still do better: a target that fails
        // fast must not decide requests that a healthy one would answer.
        if status >= 500 && buffered && self.options.idempotent {
            let held = &mut self.attempts[usize::from(attempt)];
            held.stage = Stage::Held;
            held.status = status;
            self.proceed(now, budgets, out);
            return;
        }
        self.outcome = Some(status_outcome(status));
        self.conclude(Conclusion::Relay { attempt, buffered }, out);
    }

    fn on_timer(
        &mut self,
        now: Time,
        timer: Timer,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        match timer {
            Timer::Deadline => {
                let conclusion = self.failure_conclusion(Reason::Deadline);
                self.conclude(conclusion, out);
            }
            Timer::Connect(n) if self.stage(n) == Some(Stage::Opening) => {
                out.push(Action::Cancel { attempt: n });
                self.fail(now, n, Reason::TargetFailed, budgets, out);
            }
            Timer::Hedge(n)
                if self.stage(n) == Some(Stage::Sent)
                    && !self.hedged
                    && self.live() == 1
                    && self.may_add(now) =>
            {
                self.hedged = budgets.hedge.try_spend(now, self.options.depth);
                if self.hedged {
                    self.pick(true, out);
                }
            }
            Timer::StaleConnection(n) if self.stage(n) == Some(Stage::Sent) => {
                let moves = self.live() == 1
                    && self.may_add(now)
                    && budgets.hedge.try_spend(now, self.options.depth);
                if moves {
                    self.attempts[usize::from(n)].stage = Stage::Ended;
                    out.push(Action::Cancel { attempt: n });
                    self.pick(true, out);
                } else {
                    self.start_silence(now, n, out);
                }
            }
            _ => {}
        }
    }

    fn on_caller_gone(&mut self, out: &mut Vec<Action>) {
        if self.caller_gone {
            return;
        }
        self.caller_gone = true;
        // The answer of a keyed request that is under way is stored for the caller's repeat.
        let sent = self.attempts.iter().any(|a| matches!(a.stage, Stage::Sent | Stage::Answering));
        if !(self.holds_claim && sent) {
            self.conclude(Conclusion::Respond(Reason::CallerGone), out);
        }
    }

    fn on_relaying(
        &mut self,
        attempt: AttemptNo,
        buffered: bool,
        event: Event,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::Delivered => {}
            Event::DeliveryFailed | Event::CallerGone => {
                if !buffered {
                    out.push(Action::Cancel { attempt });
                } else if self.holds_claim && self.outcome == Some(Outcome::Served) {
                    out.push(Action::MarkUndelivered);
                }
            }
            _ => return,
        }
        self.release_slot(out);
        self.phase = Phase::Done;
    }

    fn stage(&self, attempt: AttemptNo) -> Option<Stage> {
        self.attempts.get(usize::from(attempt)).map(|a| a.stage)
    }

    fn is_sent(&self, attempt: AttemptNo) -> bool {
        matches!(self.stage(attempt), Some(Stage::Sent | Stage::Answering))
    }

    fn live(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_live()).count()
    }

    fn uses_claim(&self) -> bool {
        self.options.keyed && !self.options.idempotent
    }

    /// Returns whether another attempt is possible at all, apart from the budgets.
    fn may_add(&self, now: Time) -> bool {
        self.attempts.len() < usize::from(self.options.max_attempts)
            && now < self.options.deadline
            && !self.caller_gone
            && !self.quarantined
            && self.crash_reports_pending == 0
            && !self.exhausted
            && (self.options.idempotent || !self.may_have_run())
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }

    fn pick(&mut self, needs_new: bool, out: &mut Vec<Action>) {
        let avoid = self.attempts.iter().filter_map(|a| a.target.clone()).collect();
        let attempt = self.attempts.len() as AttemptNo;
        self.attempts.push(Attempt {
            target: None,
            stage: Stage::Picking,
            may_have_run: false,
            needs_new,
            status: 0,
        });
        out.push(Action::Pick { attempt, avoid });
    }

    fn fail(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reason: Reason,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        self.attempts[usize::from(attempt)].stage = Stage::Ended;
        self.failure = reason;
        self.proceed(now, budgets, out);
    }

    /// Decides what follows when an attempt ended without a usable answer.
    fn proceed(&mut self, now: Time, budgets: &mut RouteBudgets, out: &mut Vec<Action>) {
        if self.live() > 0 || self.crash_reports_pending > 0 {
            return;
        }
        if self.may_add(now) && budgets.retry.try_spend(now, self.options.depth) {
            self.pick(false, out);
            return;
        }
        let reason = if self.quarantined { Reason::Quarantined } else { self.failure };
        let conclusion = self.failure_conclusion(reason);
        self.conclude(conclusion, out);
    }

    /// Returns the conclusion of a request without a good answer: a kept failure answer of a
    /// target if there is one, else an error.
    fn failure_conclusion(&mut self, reason: Reason) -> Conclusion {
        match self.attempts.iter().position(|a| a.stage == Stage::Held) {
            Some(n) if reason != Reason::Quarantined => {
                self.outcome = Some(status_outcome(self.attempts[n].status));
                Conclusion::Relay { attempt: n as AttemptNo, buffered: true }
            }
            _ => Conclusion::Respond(reason),
        }
    }

    /// Ends all attempts but the relayed one, then spreads strikes, settles the claim and finishes.
    fn conclude(&mut self, conclusion: Conclusion, out: &mut Vec<Action>) {
        let kept = match conclusion {
            Conclusion::Relay { attempt, .. } => Some(usize::from(attempt)),
            Conclusion::Respond(_) => None,
        };
        for (n, a) in self.attempts.iter_mut().enumerate() {
            if Some(n) != kept && a.stage != Stage::Ended {
                a.stage = Stage::Ended;
                out.push(Action::Cancel { attempt: n as AttemptNo });
            }
        }
        // The targets are done with the request, unless a long answer is still being transferred.
        if !matches!(conclusion, Conclusion::Relay { buffered: false, .. }) {
            self.release_slot(out);
        }
        if self.crash_reports_pending > 0 {
            self.phase = Phase::Spreading(conclusion);
            return;
        }
        let outcome = match conclusion {
            Conclusion::Relay { .. } => self.outcome.unwrap_or(Outcome::Unknown),
            Conclusion::Respond(_) if self.may_have_run() => Outcome::Unknown,
            Conclusion::Respond(_) => Outcome::NotRun,
        };
        if self.holds_claim {
            self.settle(conclusion, outcome, out);
        } else {
            self.finish(conclusion, outcome, out);
        }
    }

    fn settle(&mut self, conclusion: Conclusion, outcome: Outcome, out: &mut Vec<Action>) {
        let response = match conclusion {
            Conclusion::Relay { attempt, buffered: true } => Some(attempt),
            _ => None,
        };
        // A request that holds no claim yet has sent nothing.
        let claim_outcome = if self.holds_claim { outcome } else { Outcome::NotRun };
        self.phase = Phase::Settling(conclusion, outcome);
        out.push(Action::SettleClaim { outcome: claim_outcome, response });
    }

    fn finish(&mut self, conclusion: Conclusion, outcome: Outcome, out: &mut Vec<Action>) {
        self.outcome = Some(outcome);
        match conclusion {
            Conclusion::Relay { attempt, buffered } if self.caller_gone => {
                if !buffered {
                    out.push(Action::Cancel { attempt });
                } else if self.holds_claim && outcome == Outcome::Served {
                    out.push(Action::MarkUndelivered);
                }
                self.respond(outcome, Reason::CallerGone, out);
            }
            Conclusion::Relay { attempt, buffered } => {
                self.phase = Phase::Relaying { attempt, buffered };
                out.push(Action::Relay { attempt, outcome });
            }
            Conclusion::Respond(reason) => self.respond(outcome, reason, out),
        }
    }

    fn respond(&mut self, outcome: Outcome, reason: Reason, out: &mut Vec<Action>) {
        self.release_slot(out);
        self.outcome = Some(outcome);
        self.phase = Phase::Done;
        out.push(if self.caller_gone {
            Action::Abandon { outcome }
        } else {
            Action::Respond { outcome, reason }
        });
    }

    fn release_slot(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.has_slot) {
            out.push(Action::ReleaseSlot);
        }
    }
}

/// Returns the outcome of an answer of a target's handler.
pub const fn status_outcome(status: u16) -> Outcome {
    match status {
        502..=504 => Outcome::Unknown,
        _ => Outcome::Served,
    }
}
