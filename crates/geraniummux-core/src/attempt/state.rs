//! The state machine of a request; see [`RequestState`].

use super::{
    Action, AttemptNo, Connection, DEFAULT_STALE_CONNECTION_TIMEOUT, Event,
    MAX_NON_IDEMPOTENT_IDLE, RequestOptions, Timer,
};
use crate::budget::RouteBudgets;
use crate::outcome::{Outcome, Reason};
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    /// The target is being picked.
    Picking,
    /// The connection is being opened.
    Opening,
    /// The request was handed to the connection.
    Sent,
    /// The head of the response arrived.
    Receiving,
    /// A server error is buffered, and is relayed if no other attempt gives a better response.
    Buffered,
    Ended,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    target: Option<Arc<str>>,
    stage: Stage,
    /// Whether a target's handler may have received this attempt.
    may_have_run: bool,
    /// Whether the attempt must not reuse an idle connection.
    needs_new_connection: bool,
    /// Status of the buffered response.
    status: u16,
}

impl Attempt {
    fn is_live(&self) -> bool {
        matches!(self.stage, Stage::Picking | Stage::Opening | Stage::Sent | Stage::Receiving)
    }
}

/// How a request ends: with the response of an attempt, or with an error of this host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Conclusion {
    Relay { attempt: AttemptNo, buffered: bool },
    Respond(Reason),
}

/// Phase of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    /// Waiting for a slot.
    Queued,
    /// Waiting for the claim of the idempotency key.
    Claiming,
    /// Making attempts.
    Running,
    /// Waiting for the peers to acknowledge crash reports before the request concludes.
    ReportingCrashes(Conclusion),
    /// Waiting for the claim to be settled before the request concludes with this outcome.
    Settling(Conclusion, Outcome),
    /// Relaying the response of an attempt to the caller.
    Relaying {
        attempt: AttemptNo,
        buffered: bool,
    },
    /// Sending the stored response of an earlier request with the same key to the caller.
    Replaying,
    Done,
}

/// The state of one request, from its admission to the end of its response.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestState {
    options: RequestOptions,
    phase: Phase,
    attempts: Vec<Attempt>,
    has_slot: bool,
    holds_claim: bool,
    hedged: bool,
    caller_gone: bool,
    /// Whether the request's fingerprint was found to be quarantined. No further attempt is made.
    quarantined: bool,
    /// Number of crash reports that the peers have not acknowledged yet.
    crash_reports_pending: u8,
    /// Whether a pick found no target. No further pick is made, since it would find none either.
    no_more_targets: bool,
    /// The reason for which the last attempt failed.
    last_failure: Reason,
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
            no_more_targets: false,
            last_failure: Reason::TargetFailed,
            outcome: None,
        }
    }

    /// Starts the request; returns the first actions.
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

    /// Handles an event and returns the resulting actions, to be performed in order.
    ///
    /// An event that doesn't fit the state, such as a late event of a cancelled attempt, is ignored.
    pub fn on_event(&mut self, now: Time, event: Event, budgets: &mut RouteBudgets) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = &mut actions;
        match (self.phase, event) {
            (Phase::New | Phase::Done, _) => {}
            (Phase::Queued, event) => self.on_queued(now, event, budgets, out),
            (Phase::Claiming, event) => self.on_claiming(now, event, budgets, out),
            (Phase::Running, event) => self.on_running(now, event, budgets, out),
            (Phase::ReportingCrashes(conclusion), Event::CrashReported { .. }) => {
                self.crash_reports_pending -= 1;
                self.conclude(conclusion, out);
            }
            (Phase::Settling(conclusion, outcome), Event::ClaimSettled) => {
                self.finish(conclusion, outcome, out);
            }
            (Phase::ReportingCrashes(_) | Phase::Settling(..), Event::CallerGone) => {
                self.caller_gone = true;
            }
            (Phase::Relaying { attempt, buffered }, event) => {
                self.on_relaying(attempt, buffered, event, out);
            }
            (Phase::Replaying, Event::Delivered | Event::DeliveryFailed | Event::CallerGone) => {
                self.phase = Phase::Done
            }
            (Phase::ReportingCrashes(_) | Phase::Settling(..) | Phase::Replaying, _) => {}
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
            Event::Admitted { .. } => self.start_attempts(now, budgets, out),
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
                    self.start_attempts(now, budgets, out);
                } else {
                    self.admit(out);
                }
            }
            // A request that waits for another request's claim must not occupy a slot.
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
            // The claim may be created at this moment, and is released. The outcome is unknown,
            // since another request with the same key may have run.
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

    fn start_attempts(&mut self, now: Time, budgets: &mut RouteBudgets, out: &mut Vec<Action>) {
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
                self.no_more_targets = true;
                self.fail_attempt(now, attempt, Reason::NoTarget, budgets, out);
            }
            Event::Connected { attempt, reused, quarantined }
                if self.stage(attempt) == Some(Stage::Opening) =>
            {
                self.on_connected(now, attempt, reused, quarantined, budgets, out);
            }
            Event::ConnectFailed { attempt } if self.stage(attempt) == Some(Stage::Opening) => {
                self.fail_attempt(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::NotSent { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.attempts[usize::from(attempt)].may_have_run = false;
                self.fail_attempt(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::ResponseHead { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.attempts[usize::from(attempt)].stage = Stage::Receiving;
            }
            Event::ResponseReady { attempt, status, buffered } if self.is_sent(attempt) => {
                self.on_response_ready(now, attempt, status, buffered, budgets, out);
            }
            Event::Refused { attempt, refusal } if self.is_sent(attempt) => {
                self.attempts[usize::from(attempt)].may_have_run = false;
                self.fail_attempt(now, attempt, refusal.reason(), budgets, out);
            }
            Event::ConnectionLost { attempt } if self.stage(attempt) == Some(Stage::Sent) => {
                self.crash_reports_pending += 1;
                let target = self.target(attempt).cloned().unwrap_or_else(|| Arc::from(""));
                out.push(Action::ReportCrash { attempt, target });
                self.fail_attempt(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::ConnectionLost { attempt } | Event::InvalidResponse { attempt }
                if self.is_sent(attempt) =>
            {
                self.fail_attempt(now, attempt, Reason::TargetFailed, budgets, out);
            }
            Event::CrashReported { quarantined } if self.crash_reports_pending > 0 => {
                self.crash_reports_pending -= 1;
                self.quarantined |= quarantined;
                self.retry_or_conclude(now, budgets, out);
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
        let connection =
            if reusable && !a.needs_new_connection { Connection::Reuse } else { Connection::New };
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
        // The process may have been paused since the last check, and a crash report may have
        // arrived in the meantime.
        if self.quarantined || self.crash_reports_pending > 0 || now >= self.options.deadline {
            out.push(Action::Cancel { attempt });
            let past_deadline = now >= self.options.deadline;
            let reason = if past_deadline { Reason::Deadline } else { Reason::TargetFailed };
            self.fail_attempt(now, attempt, reason, budgets, out);
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
        if let Some(delay) = self.options.hedge_after.filter(|_| !self.hedged) {
            out.push(Action::StartTimer { timer: Timer::Hedge(attempt), at: now + delay });
        }
        if reused {
            self.start_stale_timer(now, attempt, out);
        }
    }

    fn start_stale_timer(&self, now: Time, attempt: AttemptNo, out: &mut Vec<Action>) {
        let timeout = self.options.p95.map_or(DEFAULT_STALE_CONNECTION_TIMEOUT, |p95| p95 * 2);
        if now + timeout < self.options.deadline {
            out.push(Action::StartTimer {
                timer: Timer::StaleConnection(attempt),
                at: now + timeout,
            });
        }
    }

    fn on_response_ready(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        status: u16,
        buffered: bool,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        // A server error is buffered while another attempt may still succeed. Otherwise a target
        // that fails fast would fail requests that a healthy target can serve.
        if status >= 500 && buffered && self.options.idempotent {
            let a = &mut self.attempts[usize::from(attempt)];
            a.stage = Stage::Buffered;
            a.status = status;
            self.retry_or_conclude(now, budgets, out);
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
                self.fail_attempt(now, n, Reason::TargetFailed, budgets, out);
            }
            Timer::Hedge(n)
                if self.stage(n) == Some(Stage::Sent)
                    && !self.hedged
                    && self.live_attempts() == 1
                    && self.may_add_attempt(now) =>
            {
                self.hedged = budgets.hedge.try_spend(now, self.options.depth);
                if self.hedged {
                    self.pick(true, out);
                }
            }
            Timer::StaleConnection(n) if self.stage(n) == Some(Stage::Sent) => {
                let replace = self.live_attempts() == 1
                    && self.may_add_attempt(now)
                    && budgets.hedge.try_spend(now, self.options.depth);
                if replace {
                    self.attempts[usize::from(n)].stage = Stage::Ended;
                    out.push(Action::Cancel { attempt: n });
                    self.pick(true, out);
                } else {
                    self.start_stale_timer(now, n, out);
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
        // The response of a keyed request that was sent is still awaited and stored, so that it
        // can be replayed when the caller sends the request again.
        let sent = self.attempts.iter().any(|a| matches!(a.stage, Stage::Sent | Stage::Receiving));
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
        matches!(self.stage(attempt), Some(Stage::Sent | Stage::Receiving))
    }

    fn live_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_live()).count()
    }

    fn uses_claim(&self) -> bool {
        self.options.keyed && !self.options.idempotent
    }

    /// Returns whether another attempt is allowed, budgets aside.
    fn may_add_attempt(&self, now: Time) -> bool {
        self.attempts.len() < usize::from(self.options.max_attempts)
            && now < self.options.deadline
            && !self.caller_gone
            && !self.quarantined
            && self.crash_reports_pending == 0
            && !self.no_more_targets
            && (self.options.idempotent || !self.may_have_run())
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }

    fn pick(&mut self, needs_new_connection: bool, out: &mut Vec<Action>) {
        let avoid = self.attempts.iter().filter_map(|a| a.target.clone()).collect();
        let attempt = self.attempts.len() as AttemptNo;
        self.attempts.push(Attempt {
            target: None,
            stage: Stage::Picking,
            may_have_run: false,
            needs_new_connection,
            status: 0,
        });
        out.push(Action::Pick { attempt, avoid });
    }

    fn fail_attempt(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        reason: Reason,
        budgets: &mut RouteBudgets,
        out: &mut Vec<Action>,
    ) {
        self.attempts[usize::from(attempt)].stage = Stage::Ended;
        self.last_failure = reason;
        self.retry_or_conclude(now, budgets, out);
    }

    /// Starts a retry or concludes the request, after an attempt ended without a usable response or a
    /// crash report was acknowledged.
    fn retry_or_conclude(&mut self, now: Time, budgets: &mut RouteBudgets, out: &mut Vec<Action>) {
        if self.live_attempts() > 0 || self.crash_reports_pending > 0 {
            return;
        }
        if self.may_add_attempt(now) && budgets.retry.try_spend(now, self.options.depth) {
            self.pick(false, out);
            return;
        }
        let reason = if self.quarantined { Reason::Quarantined } else { self.last_failure };
        let conclusion = self.failure_conclusion(reason);
        self.conclude(conclusion, out);
    }

    /// Returns the conclusion of a request without a successful response: a buffered server error if
    /// there is one, else an error of this host.
    fn failure_conclusion(&mut self, reason: Reason) -> Conclusion {
        match self.attempts.iter().position(|a| a.stage == Stage::Buffered) {
            Some(n) if reason != Reason::Quarantined => {
                self.outcome = Some(status_outcome(self.attempts[n].status));
                Conclusion::Relay { attempt: n as AttemptNo, buffered: true }
            }
            _ => Conclusion::Respond(reason),
        }
    }

    /// Ends all attempts but the relayed one, waits for crash reports and the claim, and finishes the
    /// request.
    fn conclude(&mut self, conclusion: Conclusion, out: &mut Vec<Action>) {
        let relayed = match conclusion {
            Conclusion::Relay { attempt, .. } => Some(usize::from(attempt)),
            Conclusion::Respond(_) => None,
        };
        for (n, a) in self.attempts.iter_mut().enumerate() {
            if Some(n) != relayed && a.stage != Stage::Ended {
                a.stage = Stage::Ended;
                out.push(Action::Cancel { attempt: n as AttemptNo });
            }
        }
        // No target is busy with the request any more, unless a long response is still being
        // transferred.
        if !matches!(conclusion, Conclusion::Relay { buffered: false, .. }) {
            self.release_slot(out);
        }
        if self.crash_reports_pending > 0 {
            self.phase = Phase::ReportingCrashes(conclusion);
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
        // A request that doesn't hold its claim has sent no attempt.
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

/// Returns the outcome of a request whose response has this status: `Unknown` for the gateway
/// errors 502 to 504, which don't show whether the request was executed, and `Served` for all
/// others.
pub const fn status_outcome(status: u16) -> Outcome {
    match status {
        502..=504 => Outcome::Unknown,
        _ => Outcome::Served,
    }
}
