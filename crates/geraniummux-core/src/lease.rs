//! Leases on platform objects that stay exclusive across pauses, lost responses and restarts.
//!
//! A lease is a platform object that names its holder. [`LeaseState`] decides which platform call
//! comes next and consumes its result; at most one call is outstanding. The holder counts the lease
//! duration from before it sent the write. Another host takes the lease over only after it has read
//! the same version for a full lease duration plus a margin for clock drift. Neither rule needs
//! synchronised clocks.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The value of a lease object, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseValue {
    /// Name and incarnation of the holder. A restarted process is a different holder.
    pub holder: Arc<str>,
    /// Sequence number of the holder's write. Together with `holder` it identifies a write whose
    /// response was lost.
    pub write: u64,
    /// Whether the holder released the lease, so that it may be taken over at once.
    #[serde(default)]
    pub released: bool,
}

/// Settings of a [`LeaseState`].
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// How long the lease is held after a write, counted from when the write was sent.
    pub duration: Duration,
    /// Interval at which the holder renews the lease.
    pub renew_interval: Duration,
    /// Longest interval between two reads by a host that does not hold the lease.
    pub read_interval: Duration,
    /// Largest relative difference in rate that is assumed between the clocks of two hosts.
    pub max_clock_drift: f64,
    /// Delay after the first failed call; doubles with each further failure up to `max_backoff`.
    pub backoff: Duration,
    /// Longest delay after failed calls.
    pub max_backoff: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            duration: Duration::from_secs(15),
            renew_interval: Duration::from_secs(5),
            read_interval: Duration::from_secs(5),
            max_clock_drift: 0.01,
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// A platform call to make on the lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Reads the object.
    Read,
    /// Creates the object if it does not exist.
    Create(LeaseValue),
    /// Replaces the value if the object has this version.
    Update {
        /// The version that the object must have.
        version: u64,
        /// The new value.
        value: LeaseValue,
    },
}

/// The result of a [`LeaseAction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// A read returned the object's version and value, or `None` if there is no object. The value
    /// is `None` if it can't be parsed.
    Read(Option<(u64, Option<LeaseValue>)>),
    /// A write took effect; the object has this version.
    Written(u64),
    /// The condition of a write did not hold; nothing was written.
    Conflict,
    /// The call failed and nothing was written.
    Unavailable,
    /// The response was lost; the write may or may not have taken effect.
    Indeterminate,
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Time since which no other host can have held the lease.
    pub exclusive_since: Time,
    /// End of the lease. No work may be started under it from then on.
    pub expires_at: Time,
}

impl HeldLease {
    /// Returns whether the lease has not expired.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write { number: u64, released: bool, sent_at: Time },
}

/// The version of the object that was last read or written, and since when it has been observed.
#[derive(Clone, Debug)]
struct Observed {
    version: Option<u64>,
    value: Option<LeaseValue>,
    since: Time,
}

/// The state of one lease at one host.
#[derive(Clone, Debug)]
pub struct LeaseState {
    options: LeaseOptions,
    holder: Arc<str>,
    observed: Option<Observed>,
    held: Option<HeldLease>,
    /// Time since which no other host can have held the lease; `None` after a read found no lease of
    /// this process.
    exclusive_since: Option<Time>,
    /// Number and send time of a write that may or may not have taken effect.
    indeterminate_write: Option<(u64, Time)>,
    call: Option<Call>,
    writes: u64,
    failures: u32,
    next_at: Time,
    wanted: bool,
}

impl LeaseState {
    /// Returns the state of a host that doesn't hold the lease.
    ///
    /// `holder` must be unique to this process, for example `host/incarnation`.
    pub fn new(holder: Arc<str>, options: LeaseOptions, now: Time) -> Self {
        LeaseState {
            options,
            holder,
            observed: None,
            held: None,
            exclusive_since: None,
            indeterminate_write: None,
            call: None,
            writes: 0,
            failures: 0,
            next_at: now,
            wanted: true,
        }
    }

    /// Sets whether the host should hold the lease.
    ///
    /// A holder that no longer wants the lease stops holding it at once, and [`LeaseState::poll`]
    /// then returns a write that lets another host take over without waiting for the expiry.
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

    /// Returns the lease if this host holds it and it has not expired.
    ///
    /// Call this directly before each piece of work under the lease, since the process may have
    /// been paused since the last call.
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        self.held.filter(|lease| lease.is_valid(now))
    }

    /// Returns when [`LeaseState::poll`] is due; `None` while a call is outstanding or the lease is
    /// neither wanted nor to be released.
    pub fn next_at(&self) -> Option<Time> {
        (self.call.is_none() && (self.wanted || self.must_release())).then_some(self.next_at)
    }

    /// Returns the call to make now, if one is due. Its result must be passed to
    /// [`LeaseState::on_result`].
    pub fn poll(&mut self, now: Time) -> Option<LeaseAction> {
        if self.call.is_some() || now < self.next_at {
            return None;
        }
        if !self.wanted {
            return self.must_release().then(|| self.write(true, now));
        }
        let ours = self.observed.as_ref().is_some_and(|o| self.is_own(o));
        let free = self.observed.as_ref().is_some_and(|o| now >= o.since + self.takeover_wait(o));
        if self.indeterminate_write.is_some() || !(ours || free) {
            self.call = Some(Call::Read);
            return Some(LeaseAction::Read);
        }
        Some(self.write(false, now))
    }

    /// Returns whether this process no longer wants the lease, but the object still names it as the
    /// holder.
    fn must_release(&self) -> bool {
        let released = |o: &Observed| o.value.as_ref().is_some_and(|v| v.released);
        !self.wanted && self.observed.as_ref().is_some_and(|o| self.is_own(o) && !released(o))
    }

    fn write(&mut self, released: bool, now: Time) -> LeaseAction {
        self.writes += 1;
        self.call = Some(Call::Write { number: self.writes, released, sent_at: now });
        let value = LeaseValue { holder: self.holder.clone(), write: self.writes, released };
        match self.observed.as_ref().and_then(|o| o.version) {
            Some(version) => LeaseAction::Update { version, value },
            None => LeaseAction::Create(value),
        }
    }

    fn is_own(&self, observed: &Observed) -> bool {
        observed.value.as_ref().is_some_and(|v| v.holder == self.holder)
    }

    /// Returns how long a version must have been observed before the lease may be taken over.
    fn takeover_wait(&self, observed: &Observed) -> Duration {
        match &observed.value {
            Some(v) if v.released => Duration::ZERO,
            // An absent object may have been deleted, or lost by the restore of a backup, while its
            // holder still holds the lease.
            _ => self.options.duration.mul_f64(1.0 + self.options.max_clock_drift),
        }
    }

    /// Handles the result of the outstanding call.
    pub fn on_result(&mut self, result: LeaseResult, now: Time) {
        let Some(call) = self.call.take() else { return };
        match (call, result) {
            (Call::Read, LeaseResult::Read(object)) => self.on_read(object, now),
            // A failed release is not retried: the lease expires by itself.
            (Call::Write { released: true, .. }, _) => self.observed = None,
            (Call::Write { number, sent_at, .. }, LeaseResult::Written(version)) => {
                self.on_written(version, number, sent_at, now);
            }
            (Call::Write { .. }, LeaseResult::Conflict) => {
                self.failures = 0;
                self.observed = None;
                self.next_at = now;
            }
            (Call::Write { number, sent_at, .. }, LeaseResult::Indeterminate) => {
                self.indeterminate_write = Some((number, sent_at));
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
            (self.indeterminate_write.take(), version, own)
            && write == number
        {
            self.on_written(version, number, sent_at, now);
            return;
        }
        if own.is_none() {
            self.exclusive_since = None;
        }
        if self.observed.as_ref().is_none_or(|o| o.version != version) {
            self.observed = Some(Observed { version, value, since: now });
        }
        let other = self.observed.as_ref().filter(|o| !self.is_own(o));
        self.next_at = match other {
            Some(o) => {
                let free_at = o.since + self.takeover_wait(o);
                if free_at <= now { now } else { free_at.min(now + self.options.read_interval) }
            }
            None => now,
        };
    }

    fn on_written(&mut self, version: u64, number: u64, sent_at: Time, now: Time) {
        self.failures = 0;
        self.indeterminate_write = None;
        if self.wanted {
            let exclusive_since = *self.exclusive_since.get_or_insert(sent_at);
            self.held =
                Some(HeldLease { exclusive_since, expires_at: sent_at + self.options.duration });
        }
        let value = LeaseValue { holder: self.holder.clone(), write: number, released: false };
        self.observed = Some(Observed { version: Some(version), value: Some(value), since: now });
        self.next_at = if self.wanted { sent_at + self.options.renew_interval } else { now };
    }

    fn back_off(&mut self, now: Time) {
        let factor = 1u32 << self.failures.min(16);
        self.failures += 1;
        self.next_at = now + (self.options.backoff * factor).min(self.options.max_backoff);
    }
}
