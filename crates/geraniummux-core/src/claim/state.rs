//! The state machine that acquires, settles and releases one request's claim.

use super::{CLAIM_RETENTION, CLAIM_TTL_MARGIN, Claim, Delivery, Progress, StoredResponse};
use crate::outcome::{Outcome, Reason, is_final_status};
use crate::quarantine::Fingerprint;
use crate::time::{Time, UnixMs};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Parameters of a claim.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// Name of the claim object, from [`claim_name`](super::claim_name).
    pub name: String,
    /// Identity of this request as the claim's holder, unique across all hosts and restarts.
    pub holder: Arc<str>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The request's deadline.
    pub deadline: Time,
    /// The route's timeout. With [`CLAIM_TTL_MARGIN`] it gives the claim's TTL.
    pub route_timeout: Duration,
    /// Longest time for which the request waits for an unreachable platform.
    pub platform_timeout: Duration,
    /// Delay before the first retry of a read or write; doubles with each further retry.
    pub min_backoff: Duration,
    /// Longest delay between two calls while the request is waiting for the claim.
    pub max_poll_interval: Duration,
    /// Longest delay between two calls in the background, when the request no longer waits.
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
            platform_timeout: Duration::from_millis(500),
            min_backoff: Duration::from_millis(20),
            max_poll_interval: Duration::from_secs(1),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// An action that the daemon performs for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Creates the claim object on the condition that it doesn't exist.
    Create {
        /// The encoded claim.
        value: Vec<u8>,
    },
    /// Reads the claim object.
    Read,
    /// Replaces the claim object on the condition that it has this version.
    Update {
        /// The encoded claim.
        value: Vec<u8>,
        /// The required version.
        version: u64,
    },
    /// Deletes the claim object on the condition that it has this version.
    Delete {
        /// The required version.
        version: u64,
    },
    /// Starts a timer that calls [`ClaimState::on_timer`]. A later `StartTimer` replaces an earlier
    /// one.
    StartTimer {
        /// When the timer fires.
        at: Time,
    },
    /// The claim is held; the request may run.
    Granted,
    /// Another request with the same key is running. The state polls its claim until the deadline.
    Waiting,
    /// The request was served before, and its stored response is to be replayed.
    Replay {
        /// The stored response.
        response: StoredResponse,
    },
    /// The request must not run.
    Refused {
        /// The outcome to report to the caller.
        outcome: Outcome,
        /// The reason to report to the caller.
        reason: Reason,
    },
    /// The response may be sent to the caller. Outstanding writes continue in the background.
    Settled {
        /// Whether the platform is known to hold the outcome, or to have released the claim.
        stored: bool,
    },
    /// It is decided whether a delivered replay counts as a served request in the usage. The host
    /// that ran the request may also get this, after it failed to deliver the response itself.
    UsageDecided {
        /// Whether this host counts the replay.
        counts: bool,
    },
    /// Nothing is left to do. The state can be dropped once it is known whether a stored response
    /// was delivered.
    Done,
}

/// The result of a platform call on the claim object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A read found the object.
    Found {
        /// The object's version.
        version: u64,
        /// The object's value.
        value: Vec<u8>,
    },
    /// A read found no object.
    Absent,
    /// A write took effect.
    Written {
        /// The object's new version; ignored for a delete.
        version: u64,
    },
    /// The condition of a write did not hold; nothing was written.
    Conflict,
    /// The platform is unavailable; nothing was written.
    Unavailable,
    /// The response was lost; a write may or may not have taken effect.
    Indeterminate,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Create,
    Read,
    Update,
    Delete,
}

/// The goal towards which the state makes its next call.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Goal {
    /// Create the claim, or find out who holds it.
    Acquire,
    /// Hold the claim while the request runs; nothing to write.
    Hold,
    /// Write this progress to the claim.
    Store(Progress),
    /// Delete the claim, or make sure that it was not created.
    Release,
    /// Replay the stored response that was found; nothing to write.
    Replay,
    /// Record in the claim that a replay was delivered, which decides which host counts it in the
    /// usage.
    CountReplay,
    /// Finished; nothing left to do.
    End,
}

/// The claim of one request, from its creation to its release or settlement.
#[derive(Clone, Debug)]
pub struct ClaimState {
    options: ClaimOptions,
    goal: Goal,
    outstanding: Option<Call>,
    /// Version and value of the claim object as last read or written; `None` if not known.
    object: Option<(u64, Claim)>,
    /// Whether the response of a create was lost, so that the create may take effect at any later
    /// time.
    create_indeterminate: bool,
    /// Whether the release has started its last read, which must follow the expiry of the claim.
    read_after_expiry: bool,
    /// Whether the request is waiting for another request with the same key.
    waiting_for_other: bool,
    /// Whether the result of the current goal was reported to the request.
    reported: bool,
    /// Until when the request waits for the platform to respond.
    platform_deadline: Time,
    /// When the state stops retrying calls in the background.
    abandon_at: UnixMs,
    backoff: Duration,
    expires_at: UnixMs,
    writes: u32,
    backoffs: u32,
}

impl ClaimState {
    /// Returns a state that has not started.
    pub fn new(options: ClaimOptions) -> Self {
        let backoff = options.min_backoff;
        ClaimState {
            options,
            goal: Goal::Acquire,
            outstanding: None,
            object: None,
            create_indeterminate: false,
            read_after_expiry: false,
            waiting_for_other: false,
            reported: false,
            platform_deadline: Time::ZERO,
            abandon_at: UnixMs::default(),
            backoff,
            expires_at: UnixMs::default(),
            writes: 0,
            backoffs: 0,
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
        self.abandon_at = self.expires_at + CLAIM_RETENTION;
        self.platform_deadline = (now + self.options.platform_timeout).min(self.options.deadline);
        let mut out = Vec::new();
        self.advance(&mut out);
        out
    }

    /// Handles the result of the outstanding platform call.
    pub fn on_result(&mut self, now: Time, wall: UnixMs, result: CallResult) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        let Some(call) = self.outstanding.take() else {
            return out;
        };
        match (call, result) {
            (Call::Create, CallResult::Written { version }) => {
                let claim = self.new_claim(Progress::Running);
                self.object = Some((version, claim));
                self.on_claim(now, wall, &mut out);
            }
            (Call::Update, CallResult::Written { version }) => {
                if let Some(progress) = self.intended_progress() {
                    let claim = self.with_progress(progress);
                    self.object = Some((version, claim));
                }
                self.on_claim(now, wall, &mut out);
            }
            (Call::Delete, CallResult::Written { .. }) => self.on_released(now, wall, &mut out),
            (Call::Read, CallResult::Found { version, value }) => match Claim::decode(&value) {
                Some(claim) => {
                    self.object = Some((version, claim));
                    self.on_claim(now, wall, &mut out);
                }
                None => self.on_unreadable(&mut out),
            },
            (Call::Read, CallResult::Absent) => self.on_absent(now, wall, &mut out),
            (Call::Create, CallResult::Unavailable)
                if self.goal == Goal::Release && !self.create_indeterminate =>
            {
                self.end(true, &mut out);
            }
            // The object is read back to find out whether the write took effect.
            (Call::Create | Call::Update | Call::Delete, CallResult::Indeterminate) => {
                self.create_indeterminate |= call == Call::Create;
                self.object = None;
                self.retry(now, wall, &mut out);
            }
            (Call::Create | Call::Update | Call::Delete, CallResult::Conflict) => {
                self.object = None;
                self.call(Call::Read, &mut out);
            }
            // The platform is unavailable, or its result doesn't fit the call: retry later.
            _ => self.retry(now, wall, &mut out),
        }
        out
    }

    /// Continues after the timer of a [`ClaimAction::StartTimer`] fired.
    pub fn on_timer(&mut self, now: Time, wall: UnixMs) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        if self.outstanding.is_some() {
            if now >= self.platform_deadline {
                self.stop_waiting(&mut out);
            }
            return out;
        }
        if self.goal == Goal::Acquire && now >= self.options.deadline {
            let pending = Reason::ClaimPending;
            let reason = if self.waiting_for_other { pending } else { Reason::ClaimUnavailable };
            self.refuse(Outcome::Unknown, reason, &mut out);
        } else if wall > self.abandon_at {
            self.end(false, &mut out);
        } else {
            if self.waiting_for_other {
                self.platform_deadline =
                    (now + self.options.platform_timeout).min(self.options.deadline);
            }
            self.advance(&mut out);
        }
        out
    }

    /// Settles the claim with the outcome of the request; [`ClaimAction::Settled`] follows.
    ///
    /// `NotRun` releases the claim, `Unknown` and `Served` are stored in it. `NotRun` may be passed
    /// before the claim is granted as well, by a request that stops waiting for it.
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
        self.reported = false;
        self.backoff = self.options.min_backoff;
        self.platform_deadline = now + self.options.platform_timeout;
        self.goal = match outcome {
            Outcome::NotRun => Goal::Release,
            Outcome::Unknown => Goal::Store(Progress::Unknown),
            Outcome::Served => Goal::Store(Progress::Done {
                response: response.filter(StoredResponse::is_storable),
                delivery: Delivery::Runner,
            }),
        };
        if !acquired {
            // The request didn't run, so its caller need not wait for the release.
            self.reported = true;
            out.push(ClaimAction::Settled { stored: false });
            let no_create_outstanding = self.waiting_for_other || self.outstanding.is_none();
            if no_create_outstanding && !self.create_indeterminate {
                self.end(false, &mut out);
                return out;
            }
        }
        if self.outstanding.is_none() {
            self.advance(&mut out);
        }
        out
    }

    /// Marks the stored response undelivered after the host that ran the request failed to deliver
    /// it.
    pub fn on_delivery_failed(&mut self, now: Time) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        let stored = match (&self.goal, &self.object) {
            (Goal::Store(progress), _) => Some(progress.clone()),
            (Goal::End, Some((_, claim))) if self.is_own(claim) => Some(claim.progress.clone()),
            _ => None,
        };
        let undecided = |d| matches!(d, Delivery::Runner | Delivery::Shown);
        if let Some(Progress::Done { response: response @ Some(_), delivery }) = stored
            && undecided(delivery)
        {
            let delivery = Delivery::Undelivered;
            self.goal = Goal::Store(Progress::Done { response, delivery });
            self.reported = true;
            self.backoff = self.options.min_backoff;
            self.platform_deadline = now;
            match (self.outstanding, &self.object) {
                (Some(_), _) => {}
                (None, Some(_)) => self.on_claim(now, self.expires_at, &mut out),
                (None, None) => self.advance(&mut out),
            }
        }
        out
    }

    /// Records that the replayed response was delivered; [`ClaimAction::UsageDecided`] follows.
    pub fn on_replay_delivered(&mut self, now: Time) -> Vec<ClaimAction> {
        let mut out = Vec::new();
        if self.goal != Goal::Replay {
            return out;
        }
        self.goal = Goal::CountReplay;
        self.reported = false;
        self.backoff = self.options.min_backoff;
        self.platform_deadline = now;
        match self.object.clone() {
            Some((_, claim)) => self.count_replay(&claim, &mut out),
            None => self.advance(&mut out),
        }
        out
    }

    fn is_own(&self, claim: &Claim) -> bool {
        claim.holder == self.options.holder
    }

    /// Returns a new claim of this request.
    fn new_claim(&self, progress: Progress) -> Claim {
        Claim {
            holder: self.options.holder.clone(),
            fingerprint: self.options.fingerprint,
            expires_at: self.expires_at,
            write_id: self.write_id(),
            progress,
        }
    }

    /// Returns the last known claim with new progress, or a new claim if none is known.
    fn with_progress(&self, progress: Progress) -> Claim {
        match &self.object {
            Some((_, claim)) => Claim { write_id: self.write_id(), progress, ..claim.clone() },
            None => self.new_claim(progress),
        }
    }

    fn write_id(&self) -> Arc<str> {
        format!("{}/{}", self.options.holder, self.writes).into()
    }

    /// Returns the progress that the current goal writes, if any.
    fn intended_progress(&self) -> Option<Progress> {
        match (&self.goal, &self.object) {
            (Goal::Store(progress), _) => Some(progress.clone()),
            (
                Goal::CountReplay,
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
        // Only the holder may change or delete a claim. The one exception is the record of a
        // delivered replay.
        let writable = |claim: &Claim| self.goal == Goal::CountReplay || self.is_own(claim);
        let version =
            self.object.as_ref().filter(|(_, c)| writable(c)).map(|(version, _)| *version);
        let action = match (call, version, self.intended_progress()) {
            (Call::Create, ..) => {
                ClaimAction::Create { value: self.new_claim(Progress::Running).encode() }
            }
            (Call::Update, Some(version), Some(progress)) => {
                self.writes += 1;
                ClaimAction::Update { value: self.with_progress(progress).encode(), version }
            }
            (Call::Delete, Some(version), _) => ClaimAction::Delete { version },
            _ => ClaimAction::Read,
        };
        self.outstanding = Some(match action {
            ClaimAction::Read => Call::Read,
            _ => call,
        });
        out.push(action);
        // The timer lets the request go on if the call takes longer than the request may wait.
        if !self.reported && matches!(self.goal, Goal::Acquire | Goal::Store(_) | Goal::Release) {
            out.push(ClaimAction::StartTimer { at: self.platform_deadline });
        }
    }

    /// Makes the next call towards the goal, if it needs one.
    fn advance(&mut self, out: &mut Vec<ClaimAction>) {
        match self.goal {
            Goal::Acquire if self.create_indeterminate || self.waiting_for_other => {
                self.call(Call::Read, out)
            }
            Goal::Acquire => self.call(Call::Create, out),
            Goal::Store(_) | Goal::CountReplay => self.call(Call::Update, out),
            Goal::Release => self.call(Call::Delete, out),
            Goal::Hold | Goal::Replay | Goal::End => {}
        }
    }

    /// Retries the call after a backoff, unless the state gives up. Lets the request go on without
    /// the platform if that was unreachable for too long.
    fn retry(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        if now >= self.platform_deadline {
            if self.goal == Goal::Acquire {
                self.refuse(Outcome::Unknown, Reason::ClaimUnavailable, out);
                return;
            }
            self.stop_waiting(out);
        }
        if wall > self.abandon_at {
            self.end(false, out);
            return;
        }
        let limit =
            if self.reported { self.options.max_backoff } else { self.options.max_poll_interval };
        self.start_backoff(now, limit, out);
    }

    /// Lets the request go on although the platform has not responded.
    fn stop_waiting(&mut self, out: &mut Vec<ClaimAction>) {
        if self.reported {
            return;
        }
        match self.goal {
            // The result of the outstanding call shows whether there is a claim to release.
            Goal::Acquire => {
                let (outcome, reason) = (Outcome::Unknown, Reason::ClaimUnavailable);
                out.push(ClaimAction::Refused { outcome, reason });
                self.goal = Goal::Release;
            }
            Goal::Store(_) | Goal::Release => out.push(ClaimAction::Settled { stored: false }),
            _ => return,
        }
        self.reported = true;
    }

    fn start_backoff(&mut self, now: Time, limit: Duration, out: &mut Vec<ClaimAction>) {
        // Jitter keeps hosts that met the same outage from retrying at the same time.
        self.backoffs += 1;
        let hash = xxh3_64_with_seed(self.options.holder.as_bytes(), u64::from(self.backoffs));
        let jitter = (hash >> 11) as f64 / (1u64 << 53) as f64;
        let mut at = now + self.backoff.mul_f64(0.5 + 0.5 * jitter);
        if self.goal == Goal::Acquire {
            at = at.min(self.options.deadline.max(now));
        }
        self.backoff = (self.backoff * 2).min(limit);
        out.push(ClaimAction::StartTimer { at });
    }

    /// Handles a claim object that was read, created or updated.
    fn on_claim(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        let Some((_, claim)) = self.object.clone() else {
            return;
        };
        let own = self.is_own(&claim);
        match &self.goal {
            Goal::Acquire if own => self.on_acquired(now, out),
            Goal::Acquire => self.on_other(now, wall, &claim, out),
            Goal::Release if own => self.call(Call::Delete, out),
            Goal::Store(progress) if own => match store_status(progress, &claim.progress) {
                StoreStatus::Pending => self.call(Call::Update, out),
                StoreStatus::Stored => self.end(true, out),
                StoreStatus::ReplayDelivered => {
                    if let Some((_, Claim { progress: Progress::Done { delivery, .. }, .. })) =
                        &mut self.object
                    {
                        *delivery = Delivery::Replayed;
                    }
                    out.push(ClaimAction::UsageDecided { counts: true });
                    self.end(true, out);
                }
            },
            // The claim is gone, and another request has claimed the key.
            Goal::Store(_) => self.end(false, out),
            Goal::Release => self.on_released(now, wall, out),
            Goal::CountReplay => self.count_replay(&claim, out),
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
        self.reported = true;
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
                if !self.waiting_for_other {
                    self.waiting_for_other = true;
                    self.backoff = self.options.min_backoff;
                    out.push(ClaimAction::Waiting);
                }
                self.start_backoff(now, self.options.max_poll_interval, out);
            }
            Progress::Running | Progress::Unknown => {
                self.refuse(Outcome::Unknown, Reason::ClaimPending, out);
            }
            // Builds up to 072b7f0 also stored responses whose status is not a final one.
            Progress::Done { response: Some(response), .. } if is_final_status(response.status) => {
                self.goal = Goal::Replay;
                out.push(ClaimAction::Replay { response: response.clone() });
            }
            Progress::Done { .. } => {
                self.refuse(Outcome::Unknown, Reason::ResponseNotStored, out);
            }
        }
    }

    /// Records a delivered replay in the claim, or decides from the recorded delivery who counts it.
    fn count_replay(&mut self, claim: &Claim, out: &mut Vec<ClaimAction>) {
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
        self.object = None;
        match self.goal {
            // A claim created after the deadline could not be used.
            Goal::Acquire if now >= self.options.deadline => {
                self.refuse(Outcome::NotRun, Reason::Deadline, out);
            }
            // The other request released its claim, or this request's indeterminate create has not
            // taken effect. If it takes effect later, its holder shows that it is this request's.
            Goal::Acquire => {
                self.waiting_for_other = false;
                self.call(Call::Create, out);
            }
            Goal::Release => self.on_released(now, wall, out),
            Goal::CountReplay => {
                out.push(ClaimAction::UsageDecided { counts: false });
                self.end(false, out);
            }
            _ => self.end(false, out),
        }
    }

    /// Handles a release after which the claim is absent or belongs to another request.
    ///
    /// A create whose response was lost may still take effect, which would leave the key claimed.
    /// The object is therefore read again until the claim has expired.
    fn on_released(&mut self, now: Time, wall: UnixMs, out: &mut Vec<ClaimAction>) {
        self.object = None;
        if !self.create_indeterminate || self.read_after_expiry {
            self.end(true, out);
            return;
        }
        if !self.reported {
            self.reported = true;
            out.push(ClaimAction::Settled { stored: true });
        }
        // The result may date from before a pause of the process, so one more read is needed after
        // the expiry.
        self.read_after_expiry = wall > self.expires_at;
        if self.read_after_expiry {
            self.call(Call::Read, out);
        } else {
            self.start_backoff(now, self.options.max_backoff, out);
        }
    }

    /// Handles a value that can't be decoded, for example one written by another version.
    fn on_unreadable(&mut self, out: &mut Vec<ClaimAction>) {
        match self.goal {
            Goal::Acquire => self.refuse(Outcome::Unknown, Reason::ClaimUnavailable, out),
            Goal::CountReplay => {
                out.push(ClaimAction::UsageDecided { counts: false });
                self.end(false, out);
            }
            _ => self.end(false, out),
        }
    }

    /// Refuses the request finally. A claim that may have been created is released.
    fn refuse(&mut self, outcome: Outcome, reason: Reason, out: &mut Vec<ClaimAction>) {
        out.push(ClaimAction::Refused { outcome, reason });
        self.reported = true;
        if self.create_indeterminate {
            self.goal = Goal::Release;
            self.call(Call::Read, out);
        } else {
            self.end(false, out);
        }
    }

    fn end(&mut self, stored: bool, out: &mut Vec<ClaimAction>) {
        if matches!(self.goal, Goal::Store(_) | Goal::Release) && !self.reported {
            self.reported = true;
            out.push(ClaimAction::Settled { stored });
        }
        self.goal = Goal::End;
        out.push(ClaimAction::Done);
    }
}

/// State of the progress that a holder is storing, judged by the claim that was read back.
enum StoreStatus {
    /// The write has not taken effect.
    Pending,
    /// The progress is stored, or a replay was already counted.
    Stored,
    /// The holder failed to deliver the response, but a replay was delivered that is not counted
    /// yet. The holder counts it.
    ReplayDelivered,
}

fn store_status(intended: &Progress, found: &Progress) -> StoreStatus {
    let Progress::Done { delivery: found, .. } = found else {
        return if intended == found { StoreStatus::Stored } else { StoreStatus::Pending };
    };
    // A replay may have changed the delivery in the meantime, which must not be overwritten.
    match (intended, found) {
        (Progress::Done { delivery: Delivery::Undelivered, .. }, Delivery::Runner) => {
            StoreStatus::Pending
        }
        (Progress::Done { delivery: Delivery::Undelivered, .. }, Delivery::Shown) => {
            StoreStatus::ReplayDelivered
        }
        _ => StoreStatus::Stored,
    }
}
