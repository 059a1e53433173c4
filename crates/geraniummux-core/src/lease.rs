//! Holding a platform lease safely over pauses, lost answers and restarts.
//!
//! A lease is a platform object that names its holder. [`LeaseState`] decides which platform call
//! comes next and consumes its result; at most one call is outstanding. The holder counts its term
//! from before it sent the write, and another host takes the lease over only after it has seen the
//! same version for a full term. Neither needs synchronised clocks.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The value of a lease object, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseValue {
    /// Name and incarnation of the holder. A restarted process is another holder.
    pub holder: Arc<str>,
    /// Counts the holder's writes. With `holder` it identifies a write whose answer was lost.
    pub write: u64,
    /// Whether the holder gave the lease up, so that no term needs to be waited for.
    #[serde(default)]
    pub released: bool,
}

/// Settings of a [`LeaseState`].
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// How long a write keeps the lease.
    pub term: Duration,
    /// Time between two writes of the holder.
    pub renew_every: Duration,
    /// Time between two reads of a host that does not hold the lease.
    pub read_every: Duration,
    /// Assumed largest difference in the rate of two clocks.
    pub drift: f64,
    /// First pause after a failed call; it doubles up to `max_backoff`.
    pub backoff: Duration,
    /// Longest pause after failed calls.
    pub max_backoff: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            term: Duration::from_secs(15),
            renew_every: Duration::from_secs(5),
            read_every: Duration::from_secs(5),
            drift: 0.01,
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// A platform call to perform on the lease's object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Reads the object.
    Read,
    /// Creates the object if it does not exist.
    Create(LeaseValue),
    /// Replaces the value if the object has this version.
    Update {
        /// The expected version.
        version: u64,
        /// The new value.
        value: LeaseValue,
    },
}

/// The result of a [`LeaseAction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// A read returned the object, or found none. A value that can't be parsed is `None` with its
    /// version.
    Read(Option<(u64, Option<LeaseValue>)>),
    /// A write took effect with this version.
    Written(u64),
    /// The condition of a write does not hold.
    Conflict,
    /// The call failed and nothing was written.
    Unavailable,
    /// The write may have taken effect.
    Indeterminate,
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// When the term of any former holder had certainly ended.
    pub exclusive_since: Time,
    /// End of the term. Nothing may be done under the lease from then on.
    pub expires_at: Time,
}

impl HeldLease {
    /// Returns whether the term has not ended.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write { number: u64, released: bool, sent_at: Time },
}

/// The version seen last, and since when.
#[derive(Clone, Debug)]
struct Seen {
    version: Option<u64>,
    value: Option<LeaseValue>,
    since: Time,
}

/// The state of one lease at one host.
#[derive(Clone, Debug)]
pub struct LeaseState {
    options: LeaseOptions,
    holder: Arc<str>,
    seen: Option<Seen>,
    held: Option<HeldLease>,
    /// Since when no other host can have held the lease, as far as this process has seen.
    exclusive_since: Option<Time>,
    /// The write whose effect is not known, and when it was sent.
    open: Option<(u64, Time)>,
    call: Option<Call>,
    writes: u64,
    failures: u32,
    next_at: Time,
    wanted: bool,
}

impl LeaseState {
    /// Returns the state of a host that doesn't hold the lease. `holder` must be unique to this
    /// process, for example `host/incarnation`.
    pub fn new(holder: Arc<str>, options: LeaseOptions, now: Time) -> Self {
        LeaseState {
            options,
            holder,
            seen: None,
            held: None,
            exclusive_since: None,
            open: None,
            call: None,
            writes: 0,
            failures: 0,
            next_at: now,
            wanted: true,
        }
    }

    /// Sets whether the host should hold the lease.
    ///
    /// A holder that no longer wants the lease gives it up at once, and [`LeaseState::poll`] then
    /// returns a write that lets the next holder take over without waiting for the term.
    pub fn set_wanted(&mut self, wanted: bool) {
        if wanted == self.wanted {
            return;
        }
        self.wanted = wanted;
        if !wanted {
            self.held = None;
            self.exclusive_since = None;
        }
        // The change takes effect with the next poll.
        self.next_at = Time::ZERO;
    }

    /// Returns the lease if it is held and its term has not ended.
    ///
    /// Work under the lease must be preceded by this check each time, since the process may have
    /// been paused since the last one.
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        self.held.filter(|g| g.is_valid(now))
    }

    /// Returns when [`LeaseState::poll`] has something to do next, unless a call is outstanding.
    pub fn next_at(&self) -> Option<Time> {
        (self.call.is_none() && (self.wanted || self.must_release())).then_some(self.next_at)
    }

    /// Returns the call to perform now. Its result must be given to [`LeaseState::on_result`].
    pub fn poll(&mut self, now: Time) -> Option<LeaseAction> {
        if self.call.is_some() || now < self.next_at {
            return None;
        }
        if !self.wanted {
            return self.must_release().then(|| self.write(true, now));
        }
        let ours = self.seen.as_ref().is_some_and(|s| self.is_own(s));
        let free = self.seen.as_ref().is_some_and(|s| now >= s.since + self.takeover_wait(s));
        if self.open.is_some() || !(ours || free) {
            self.call = Some(Call::Read);
            return Some(LeaseAction::Read);
        }
        Some(self.write(false, now))
    }

    /// Returns whether the object still names this process as the holder, who gave the lease up.
    fn must_release(&self) -> bool {
        let released = |s: &Seen| s.value.as_ref().is_some_and(|v| v.released);
        !self.wanted && self.seen.as_ref().is_some_and(|s| self.is_own(s) && !released(s))
    }

    fn write(&mut self, released: bool, now: Time) -> LeaseAction {
        self.writes += 1;
        self.call = Some(Call::Write { number: self.writes, released, sent_at: now });
        let value = LeaseValue { holder: self.holder.clone(), write: self.writes, released };
        match self.seen.as_ref().and_then(|s| s.version) {
            Some(version) => LeaseAction::Update { version, value },
            None => LeaseAction::Create(value),
        }
    }

    fn is_own(&self, seen: &Seen) -> bool {
        seen.value.as_ref().is_some_and(|v| v.holder == self.holder)
    }

    /// Returns how long a version must have been seen before the lease may be taken over.
    fn takeover_wait(&self, seen: &Seen) -> Duration {
        match &seen.value {
            Some(v) if v.released => Duration::ZERO,
            // An absent object may have been deleted, or lost with a restored backup, while its
            // holder's term goes on.
            _ => self.options.term.mul_f64(1.0 + self.options.drift),
        }
    }

    /// Takes in the result of the outstanding call.
    pub fn on_result(&mut self, result: LeaseResult, now: Time) {
        let Some(call) = self.call.take() else { return };
        match (call, result) {
            (Call::Read, LeaseResult::Read(object)) => self.on_read(object, now),
            // A release is not repeated: if it failed, the term runs out.
            (Call::Write { released: true, .. }, _) => self.seen = None,
            (Call::Write { number, sent_at, .. }, LeaseResult::Written(version)) => {
                self.on_written(version, number, sent_at, now);
            }
            (Call::Write { .. }, LeaseResult::Conflict) => {
                self.failures = 0;
                self.seen = None;
                self.next_at = now;
            }
            (Call::Write { number, sent_at, .. }, LeaseResult::Indeterminate) => {
                self.open = Some((number, sent_at));
                self.back_off(now);
            }
            _ => self.back_off(now),
        }
    }

    fn on_read(&mut self, object: Option<(u64, Option<LeaseValue>)>, now: Time) {
        self.failures = 0;
        let (version, value) = match object {
            Some((version, value)) => (Some(version), value),
            None => (None, None),
        };
        let own =
            value.as_ref().filter(|v| v.holder == self.holder && !v.released).map(|v| v.write);
        if let (Some((number, sent_at)), Some(version), Some(write)) =
            (self.open.take(), version, own)
            && write == number
        {
            self.on_written(version, number, sent_at, now);
            return;
        }
        if own.is_none() {
            self.exclusive_since = None;
        }
        if self.seen.as_ref().is_none_or(|s| s.version != version) {
            self.seen = Some(Seen { version, value, since: now });
        }
        let other = self.seen.as_ref().filter(|s| !self.is_own(s));
        self.next_at = match other {
            Some(s) => {
                let free_at = s.since + self.takeover_wait(s);
                if free_at <= now { now } else { free_at.min(now + self.options.read_every) }
            }
            None => now,
        };
    }

    fn on_written(&mut self, version: u64, number: u64, sent_at: Time, now: Time) {
        self.failures = 0;
        self.open = None;
        if self.wanted {
            let exclusive_since = *self.exclusive_since.get_or_insert(sent_at);
            self.held =
                Some(HeldLease { exclusive_since, expires_at: sent_at + self.options.term });
        }
        let value = LeaseValue { holder: self.holder.clone(), write: number, released: false };
        self.seen = Some(Seen { version: Some(version), value: Some(value), since: now });
        self.next_at = if self.wanted { sent_at + self.options.renew_every } else { now };
    }

    fn back_off(&mut self, now: Time) {
        let factor = 1u32 << self.failures.min(16);
        self.failures += 1;
        self.next_at = now + (self.options.backoff * factor).min(self.options.max_backoff);
    }
}
