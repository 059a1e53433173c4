//! The state machine of one request's claim.

use super::{CLAIM_RETENTION, CLAIM_TTL_MARGIN, Claim, Delivery, Progress, StoredResponse};
use crate::outcome::{Outcome, Reason};
use crate::quarantine::Fingerprint;
use crate::time::{Time, UnixMs};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Inputs of a claim.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// Name of the claim object, from [`claim_name`].
    pub name: String,
    /// Identity of this request, unique over all hosts and restarts.
    pub holder: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The request's deadline.
    pub deadline: Time,
    /// The route's timeout.
    pub route_timeout: Duration,
    /// How long an unreachable platform is waited for before the request is answered.
    pub patience: Duration,
    /// First pause before a read or write is repeated; doubles up to `max_backoff`.
    pub backoff: Duration,
    /// Longest pause while a running claim is waited for.
    pub max_poll: Duration,
    /// Longest pause between repeated writes in the background.
    pub max_backoff: Duration,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            name: String::new(),
            holder: Arc::from(""),
            fingerprint: Fingerprint::default(),
            deadline: Time::ZERO,
            route_timeout: Duration::ZERO,
            patience: Duration::from_millis(500),
            backoff: Duration::from_millis(20),
            max_poll: Duration::from_secs(1),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// What the daemon does for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Creates the claim object, on condition that it doesn't exist.
    Create {
        /// The encoded claim.
        value: Vec<u8>,
    },
    /// Reads the claim object.
    Read,
    /// Replaces the claim object, on condition that it has this version.
    Update {
        /// The encoded claim.
        value: Vec<u8>,
        /// The required version.
        version: u64,
    },
    /// Deletes the claim object, on condition that it has this version.
    Delete {
        /// The required version.
        version: u64,
    },
    /// Calls [`ClaimState::on_timer`] at this time. A later `StartTimer` replaces an earlier one.
    StartTimer {
        /// When.
        at: Time,
    },
    /// The claim is held; the request may run.
    Granted,
    /// Another request with the key is running; the state keeps asking until the deadline.
    Waiting,
    /// The request was answered before.
    Replay {
        /// The stored answer.
        response: StoredResponse,
    },
    /// The request doesn't run.
    Refused {
        /// The outcome to tell.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// The response may go out. Writes that are still due go on in the background.
    Settled {
        /// Whether the outcome is stored.
        stored: bool,
    },
    /// A delivered replay is decided: it counts as served, or it doesn't. The host that ran the
    /// request may get this as well, after it failed to deliver the answer itself.
    UsageDecided {
        /// Whether the replay counts.
        counts: bool,
    },
    /// Nothing is left to do. The state can be dropped once the delivery of a stored answer is
    /// known.
    Done,
}

/// The result of a platform call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A read found the object.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: Vec<u8>,
    },
    /// A read found no object.
    Absent,
    /// A write took effect. `version` is the new one, and is ignored for a delete.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// The condition of a write does not hold; nothing was written.
    Conflict,
    /// The platform is unavailable; nothing was written.
    Unavailable,
    /// The answer was lost; a write may or may not have taken effect.
    Indeterminate,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Create,
    Read,
    Update,
    Delete,
}

/// What the state works towards.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Goal {
    /// Creating the claim, or finding out who holds it.
    Acquire,
    /// The request runs; nothing to write.
    Hold,
    /// Writing this progress.
    Store(Progress),
    /// Deleting the claim, or making sure that it was never created.
    Release,
    /// An answer was found; nothing to write.
    Replay,
    /// Taking the right to count a delivered replay.
    Count,
    /// Finished.
    End,
}

/// The state of one request's claim.
#[derive(Clone, Debug)]
pub struct ClaimState {
    options: ClaimOptions,
    goal: Goal,
    outstanding: Option<Call>,
    /// The last known version and value of the object.
    known: Option<(u64, Claim)>,
    /// Whether the answer of a create was lost, so that it may take effect at any later time.
    maybe_created: bool,
    /// Whether the object was looked for after the end of the term.
    last_look: bool,
    waiting: bool,
    /// Whether the request was told the result of the present goal.
    told: bool,
    /// Until when the request waits for the platform.
    patient_until: Time,
    /// When the state stops writing in the background.
    give_up: UnixMs,
    pause: Duration,
    expires_at: UnixMs,
    writes: u32,
    sleeps: u32,
}

impl ClaimState {
    /// Returns a state that has not started.
    pub fn new(options: ClaimOptions) -> Self {
        let pause = options.backoff;
        ClaimState {
            options,
            goal: Goal::Acquire,
            outstanding: None,
            known: None,
            maybe_created: false,
            last_look: false,
            waiting: false,
            told: false,
            patient_until: Time::ZERO,
            give_up: UnixMs::default(),
            pause,
            expires_at: UnixMs::default(),
            writes: 0,
            sleeps: 0,
        }
    }

    /// Returns the name of the claim object.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Returns whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.goal == Goal::End && self.outstanding.is_none()
    }

    /// Starts to acquire the claim.
    pub fn start(&mut self, now: Time, wall: UnixMs) -> Vec<ClaimAction> {
        self.expires_at = wall + self.options.route_timeout + CLAIM_TTL_MARGIN;
        self.give_up = self.expires_at + CLAIM_RETENTION;
        self.patient_until = (now + self.options.patience).min(self.options.deadline);
        let mut out = Vec::new();
        self.step(&mut out);
        out
    }

    /// Takes the result of the outstanding platform call.
    pub fn on_result(&mut self, now: Time, wall: UnixMs, result: CallResult) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        let Some(call) = self.outstanding.take() else {
            return out;
        };
        match (call, result) {
            (Call::Create, CallResult::Written { version }) => {
                let claim = self.record(Progress::Running);
                self.known = Some((version, claim));
                self.on_known(now, wall, &mut out);
            }
            (Call::Update, CallResult::Written { version }) => {
                if let Some(progress) = self.intended() {
                    let claim = self.updated(progress);
                    self.known = Some((version, claim));
                }
                self.on_known(now, wall, &mut out);
            }
            (Call::Delete, CallResult::Written { .. }) => self.on_released(now, wall, &mut out),
            (Call::Read, CallResult::Found { version, value }) => match Claim::decode(&value) {
                Some(claim) => {
                    self.known = Some((version, claim));
                    self.on_known(now, wall, &mut out);
                }
                None => self.on_unreadable(&mut out),
            },
            (Call::Read, CallResult::Absent) => self.on_absent(now, wall, &mut out),
            (Call::Create, CallResult::Unavailable)
                if self.goal == Goal::Release && !self.maybe_created =>
            {
                self.end(true, &mut out);
            }
            // A lost answer of a write is settled by reading the object back.
            (Call::Create | Call::Update | Call::Delete, CallResult::Indeterminate) => {
                self.maybe_created |= call == Call::Create;
                self.known = None;
                self.retry(now, wall, &mut out);
            }
            (Call::Create | Call::Update | Call::Delete, CallResult::Conflict) => {
                self.known = None;
                self.call(Call::Read, &mut out);
            }
            // A platform that is down or answers nonsense is asked again later.
            _ => self.retry(now, wall, &mut out),
        }
        out
    }

    /// Continues after a `StartTimer`.
    pub fn on_timer(&mut self, now: Time, wall: UnixMs) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        if self.outstanding.is_some() {
            if now >= self.patient_until {
                self.stop_waiting(&mut out);
            }
            return out;
        }
        if self.goal == Goal::Acquire && now >= self.options.deadline {
            let pending = Reason::ClaimPending;
            let reason = if self.waiting { pending } else { Reason::ClaimUnavailable };
            self.refuse(Outcome::Unknown, reason, &mut out);
        } else if wall > self.give_up {
            self.end(false, &mut out);
        } else {
            if self.waiting {
                self.patient_until = (now + self.options.patience).min(self.options.deadline);
            }
            self.step(&mut out);
        }
        out
    }

    /// Takes the outcome of the request, which decides what becomes of the claim.
    ///
    /// Answered by `Settled`. `NotRun` releases the claim and is valid in any state before it: a
    /// request that stops waiting for its claim uses it as well.
    pub fn settle(
        &mut self,
        now: Time,
        outcome: Outcome,
        response: Option<StoredResponse>,
    ) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        match self.goal {
            Goal::Acquire | Goal::Hold => {}
            _ => {
                out.push(ClaimAction::Settled { stored: false });
                return out;
            }
        }
        let acquired = self.goal == Goal::Hold;
        self.told = false;
        self.pause = self.options.backoff;
        self.patient_until = now + self.options.patience;
        self.goal = match outcome {
            Outcome::NotRun => Goal::Release,
            Outcome::Unknown => Goal::Store(Progress::Unknown),
            Outcome::Served => Goal::Store(Progress::Done {
                response: response.filter(StoredResponse::fits),
                delivery: Delivery::Runner,
            }),
        };
        if !acquired {
            // Nothing ran, and the caller need not wait for the clearing up.
            self.told = true;
            out.push(ClaimAction::Settled { stored: false });
            let idle = self.waiting || self.outstanding.is_none();
            if idle && !self.maybe_created {
                self.end(false, &mut out);
                return out;
            }
        }
        if self.outstanding.is_none() {
            self.step(&mut out);
        }
        out
    }

    /// Marks the stored answer undelivered: the host that ran the request did not deliver it.
    pub fn on_delivery_failed(&mut self, now: Time) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        let stored = match (&self.goal, &self.known) {
            (Goal::Store(progress), _) => Some(progress.clone()),
            (Goal::End, Some((_, claim))) if self.is_mine(claim) => Some(claim.progress.clone()),
            _ => None,
        };
        let open = |d| matches!(d, Delivery::Runner | Delivery::Shown);
        if let Some(Progress::Done { response: response @ Some(_), delivery }) = stored
            && open(delivery)
        {
            let delivery = Delivery::Undelivered;
            self.goal = Goal::Store(Progress::Done { response, delivery });
            self.told = true;
            self.pause = self.options.backoff;
            self.patient_until = now;
            match (self.outstanding, &self.known) {
                (Some(_), _) => {}
                (None, Some(_)) => self.on_known(now, self.expires_at, &mut out),
                (None, None) => self.step(&mut out),
            }
        }
        out
    }

    /// Takes the delivery of a replayed answer. Answered by `UsageDecided`.
    pub fn on_replay_delivered(&mut self, now: Time) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        if self.goal != Goal::Replay {
            return out;
        }
        self.goal = Goal::Count;
        self.told = false;
        self.pause = self.options.backoff;
        self.patient_until = now;
        match self.known.clone() {
            Some((_, claim)) => self.on_counting(&claim, &mut out),
            None => self.step(&mut out),
        }
        out
    }

    fn is_mine(&self, claim: &Claim) -> bool {
        claim.holder == self.options.holder
    }

    /// Returns a new claim of this request.
    fn record(&self, progress: Progress) -> Claim {
        Claim {
            holder: self.options.holder.clone(),
            fingerprint: self.options.fingerprint,
            expires_at: self.expires_at,
            write_id: self.write_id(),
            progress,
        }
    }

    /// Returns the known claim with other progress, or a claim of this request.
    fn updated(&self, progress: Progress) -> Claim {
        match &self.known {
            Some((_, claim)) => Claim { write_id: self.write_id(), progress, ..claim.clone() },
            None => self.record(progress),
        }
    }

    fn write_id(&self) -> Arc<str> {
        format!("{}/{}", self.options.holder, self.writes).into()
    }

    /// Returns the progress that the present goal writes.
    fn intended(&self) -> Option<Progress> {
        match (&self.goal, &self.known) {
            (Goal::Store(progress), _) => Some(progress.clone()),
            (
                Goal::Count,
                Some((_, Claim { progress: Progress::Done { response, delivery }, .. })),
            ) => {
                let delivery = match delivery {
                    Delivery::Runner | Delivery::Shown => Delivery::Shown,
                    Delivery::Undelivered | Delivery::Replayed => Delivery::Replayed,
                };
                Some(Progress::Done { response: response.clone(), delivery })
            }
            _ => None,
        }
    }

    fn call(&mut self, call: Call, out: &mut Vec<ClaimAction>) {
        // Only its holder changes or deletes a claim, except for the counting of a replay.
        let writable = |claim: &Claim| self.goal == Goal::Count || self.is_mine(claim);
        let version = self.known.as_ref().filter(|(_, c)| writable(c)).map(|(version, _)| *version);
        let action = match (call, version, self.intended()) {
            (Call::Create, ..) => {
                ClaimAction::Create { value: self.record(Progress::Running).encode() }
            }
            (Call::Update, Some(version), Some(progress)) => {
                self.writes += 1;
                ClaimAction::Update { value: self.updated(progress).encode(), version }
            }
            (Call::Delete, Some(version), _) => ClaimAction::Delete { version },
            _ => ClaimAction::Read,
        };
        self.outstanding = Some(match action {
            ClaimAction::Read => Call::Read,
            _ => call,
        });
        out.push(action);
        // A call may take longer than the request waits for it.
        if !self.told && matches!(self.goal, Goal::Acquire | Goal::Store(_) | Goal::Release) {
            out.push(ClaimAction::StartTimer { at: self.patient_until });
        }
    }

    /// Makes the next call towards the goal.
    fn step(&mut self, out: &mut Vec<ClaimAction>) {
        match self.goal {
            Goal::Acquire if self.maybe_created || self.waiting => self.call(Call::Read, out),
            Goal::Acquire => self.call(Call::Create, out),
            Goal::Store(_) | Goal::Count => self.call(Call::Update, out),
            Goal::Release => self.call(Call::Delete, out),
            Goal::Hold | Goal::Replay | Goal::End => {}
        }
    }

    /// Repeats the call after a pause, and stops the request's waiting if the platform has been
    /// unreachable for too long.
    fn retry(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        if now >= self.patient_until {
            if self.goal == Goal::Acquire {
                self.refuse(Outcome::Unknown, Reason::ClaimUnavailable, out);
                return;
            }
            self.stop_waiting(out);
        }
        if wall > self.give_up {
            self.end(false, out);
            return;
        }
        let limit = if self.told { self.options.max_backoff } else { self.options.max_poll };
        self.sleep(now, limit, out);
    }

    /// Lets the request go on although the platform has not answered.
    fn stop_waiting(&mut self, out: &mut Vec<ClaimAction>) {
        if self.told {
            return;
        }
        match self.goal {
            // The result of the call under way decides whether there is a claim to release.
            Goal::Acquire => {
                let (outcome, reason) = (Outcome::Unknown, Reason::ClaimUnavailable);
                out.push(ClaimAction::Refused { outcome, reason });
                self.goal = Goal::Release;
            }
            Goal::Store(_) | Goal::Release => out.push(ClaimAction::Settled { stored: false }),
            _ => return,
        }
        self.told = true;
    }

    fn sleep(&mut self, now: Time, limit: Duration, out: &mut Vec<ClaimAction>) {
        // Jitter keeps hosts apart that met the same outage.
        self.sleeps += 1;
        let hash = xxh3_64_with_seed(self.options.holder.as_bytes(), u64::from(self.sleeps));
        let jitter = (hash >> 11) as f64 / (1u64 << 53) as f64;
        let mut at = now + self.pause.mul_f64(0.5 + 0.5 * jitter);
        if self.goal == Goal::Acquire {
            at = at.min(self.options.deadline.max(now));
        }
        self.pause = (self.pause * 2).min(limit);
        out.push(ClaimAction::StartTimer { at });
    }

    /// Handles a claim that was read, created or updated.
    fn on_known(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        let Some((_, claim)) = self.known.clone() else {
            return;
        };
        let mine = self.is_mine(&claim);
        match &self.goal {
            Goal::Acquire if mine => self.on_acquired(now, out),
            Goal::Acquire => self.on_other(now, wall, &claim, out),
            Goal::Release if mine => self.call(Call::Delete, out),
            Goal::Store(progress) if mine => match stored(progress, &claim.progress) {
                Stored::No => self.call(Call::Update, out),
                Stored::Yes => self.end(true, out),
                Stored::CountsReplay => {
                    if let Some((_, Claim { progress: Progress::Done { delivery, .. }, .. })) =
                        &mut self.known
                    {
                        *delivery = Delivery::Replayed;
                    }
                    out.push(ClaimAction::UsageDecided { counts: true });
                    self.end(true, out);
                }
            },
            // The claim is gone and its key belongs to another request.
            Goal::Store(_) => self.end(false, out),
            Goal::Release => self.on_released(now, wall, out),
            Goal::Count => self.on_counting(&claim, out),
            Goal::Hold | Goal::Replay | Goal::End => {}
        }
    }

    fn on_acquired(&mut self, now: Time, out: &mut Vec<ClaimAction>) {
        if now < self.options.deadline {
            self.goal = Goal::Hold;
            out.push(ClaimAction::Granted);
            return;
        }
        self.goal = Goal::Release;
        self.told = true;
        out.push(ClaimAction::Refused { outcome: Outcome::NotRun, reason: Reason::Deadline });
        self.call(Call::Delete, out);
    }

    /// Handles a claim of another request with the same key.
    fn on_other(&mut self, now: Time, wall: UnixMs, claim: &Claim, out: &mut Vec<ClaimAction>) {
        if claim.fingerprint != self.options.fingerprint {
            self.refuse(Outcome::NotRun, Reason::KeyReused, out);
            return;
        }
        match &claim.progress {
            Progress::Running if wall <= claim.expires_at && now < self.options.deadline => {
                if !self.waiting {
                    self.waiting = true;
                    self.pause = self.options.backoff;
                    out.push(ClaimAction::Waiting);
                }
                self.sleep(now, self.options.max_poll, out);
            }
            Progress::Running | Progress::Unknown => {
                self.refuse(Outcome::Unknown, Reason::ClaimPending, out);
            }
            Progress::Done { response: None, .. } => {
                self.refuse(Outcome::Unknown, Reason::ResponseNotStored, out);
            }
            Progress::Done { response: Some(response), .. } => {
                self.goal = Goal::Replay;
                out.push(ClaimAction::Replay { response: response.clone() });
            }
        }
    }

    fn on_counting(&mut self, claim: &Claim, out: &mut Vec<ClaimAction>) {
        let counts = match claim.progress {
            Progress::Done { delivery: Delivery::Undelivered | Delivery::Runner, .. } => {
                self.call(Call::Update, out);
                return;
            }
            Progress::Done { delivery: Delivery::Replayed, .. } => {
                // Any of this request's writes may be the one that took effect.
                claim.write_id.rsplit_once('/').is_some_and(|(id, _)| *id == *self.options.holder)
            }
            _ => false,
        };
        out.push(ClaimAction::UsageDecided { counts });
        self.end(counts, out);
    }

    fn on_absent(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        self.known = None;
        match self.goal {
            // A claim made now could not be used.
            Goal::Acquire if now >= self.options.deadline => {
                self.refuse(Outcome::NotRun, Reason::Deadline, out);
            }
            // The claim was released, or the lost create has not taken effect. A late create of
            // this request is recognized by its holder.
            Goal::Acquire => {
                self.waiting = false;
                self.call(Call::Create, out);
            }
            Goal::Release => self.on_released(now, wall, out),
            Goal::Count => {
                out.push(ClaimAction::UsageDecided { counts: false });
                self.end(false, out);
            }
            _ => self.end(false, out),
        }
    }

    /// Handles a claim that is gone. A create whose answer was lost may still take effect, which
    /// would leave the key claimed; it is looked for until the end of the term.
    fn on_released(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        self.known = None;
        if !self.maybe_created || self.last_look {
            self.end(true, out);
            return;
        }
        if !self.told {
            self.told = true;
            out.push(ClaimAction::Settled { stored: true });
        }
        // The result may have been waiting in a paused process, so one more look is needed.
        self.last_look = wall > self.expires_at;
        if self.last_look {
            self.call(Call::Read, out);
        } else {
            self.sleep(now, self.options.max_backoff, out);
        }
    }

    /// Handles a value that is not a claim, which this version can't judge.
    fn on_unreadable(&mut self, out: &mut Vec<ClaimAction>) {
        match self.goal {
            Goal::Acquire => self.refuse(Outcome::Unknown, Reason::ClaimUnavailable, out),
            Goal::Count => {
                out.push(ClaimAction::UsageDecided { counts: false });
                self.end(false, out);
            }
            _ => self.end(false, out),
        }
    }

    /// Refuses the request for good; a claim that may have been created is released.
    fn refuse(&mut self, outcome: Outcome, reason: Reason, out: &mut Vec<ClaimAction>) {
        out.push(ClaimAction::Refused { outcome, reason });
        self.told = true;
        if self.maybe_created {
            self.goal = Goal::Release;
            self.call(Call::Read, out);
        } else {
            self.end(false, out);
        }
    }

    fn end(&mut self, stored: bool, out: &mut Vec<ClaimAction>) {
        if matches!(self.goal, Goal::Store(_) | Goal::Release) && !self.told {
            self.told = true;
            out.push(ClaimAction::Settled { stored });
        }
        self.goal = Goal::End;
        out.push(ClaimAction::Done);
    }
}

/// What a claim that was read back means for the progress that its holder is storing.
enum Stored {
    No,
    Yes,
    /// The answer is undelivered, but a replay that nobody counted was delivered.
    CountsReplay,
}

fn stored(intended: &Progress, found: &Progress) -> Stored {
    let Progress::Done { delivery: found, .. } = found else {
        return if intended == found { Stored::Yes } else { Stored::No };
    };
    // A replay may have changed the delivery meanwhile, which must not be undone.
    match (intended, found) {
        (Progress::Done { delivery: Delivery::Undelivered, .. }, Delivery::Runner) => Stored::No,
        (Progress::Done { delivery: Delivery::Undelivered, .. }, Delivery::Shown) => {
            Stored::CountsReplay
        }
        _ => Stored::Yes,
    }
}
