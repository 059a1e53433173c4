//! How current a host's knowledge of the platform's store is.

use geraniummux_core::Time;
use geraniummux_core::fleet::Heard;
use std::time::Duration;

/// How long calls must have failed, and no news arrived, for the platform's store to count as away. Entries
/// lapse only in longer outages.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long after the store is back lapsed entries may return: two seconds, and one for the news to
/// arrive.
const EXPIRY_GRACE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long changes that a peer passed on from such a time are passed on in the same way.
const RELAYED_GRACE_WINDOW: Duration = Duration::from_millis(300);

/// What the host knows of the platform's store, and how current that is.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// When the knowledge was last known to be current, unless the host is in touch with the store.
    pub as_of: Time,
    /// When a peer last told how current its knowledge is.
    pub last_update: Time,
    /// Whether the host's own watch of the targets is in place.
    pub watching_targets: bool,
    /// Whether the host's own watch of the configuration is in place.
    pub watching_config: bool,
    /// Revision of the store up to which the configuration is known.
    pub config_revision: Option<u64>,
    /// Since when a peer has been known to have a newer configuration.
    pub config_behind_since: Option<Time>,
    /// Since when all calls of this host to the store have failed.
    pub store_failing_since: Option<Time>,
    /// Until when removed entries may be ones that lapsed while the store was away.
    pub expiry_grace_until: Time,
}

impl Freshness {
    /// Returns the knowledge of a host that starts.
    pub fn new(now: Time) -> Self {
        Freshness {
            as_of: now,
            last_update: now,
            watching_targets: false,
            watching_config: false,
            config_revision: None,
            config_behind_since: None,
            store_failing_since: None,
            expiry_grace_until: now,
        }
    }

    /// Records the end of a call to the store.
    ///
    /// The store was away if the calls failed for a while and the peers had no fresh news either. A host
    /// that alone was cut off must not take entries that were removed meanwhile for lapsed ones.
    pub fn on_store_call(&mut self, now: Time, answered: bool) {
        if !answered {
            self.store_failing_since.get_or_insert(now);
            return;
        }
        let failed =
            self.store_failing_since.take().is_some_and(|t| now.since(t) >= OUTAGE_THRESHOLD);
        if failed && self.peer_freshness(now).age >= OUTAGE_THRESHOLD {
            self.expiry_grace_until = now + EXPIRY_GRACE_WINDOW;
        }
    }

    /// Records that a peer passes on changes from a time in which removed entries may have lapsed.
    pub fn on_relayed_expiry_grace(&mut self, now: Time) {
        self.expiry_grace_until = self.expiry_grace_until.max(now + RELAYED_GRACE_WINDOW);
    }

    /// Returns whether entries that are removed now may be ones that lapsed while the store was away.
    pub fn in_expiry_grace(&self, now: Time) -> bool {
        now < self.expiry_grace_until
    }

    /// Returns whether the host's own watches are in place.
    pub fn is_watching(&self) -> bool {
        self.watching_config && self.watching_targets
    }

    /// Returns how long ago the knowledge was known to be current.
    pub fn age(&self, now: Time) -> Duration {
        let behind = self.config_behind_since.map_or(Duration::ZERO, |t| now.since(t));
        if self.is_watching() { behind } else { now.since(self.as_of).max(behind) }
    }

    /// Returns what was heard from peers.
    pub fn peer_freshness(&self, now: Time) -> Heard {
        let behind = self.config_behind_since.map_or(Duration::ZERO, |t| now.since(t));
        Heard { age: now.since(self.as_of).max(behind), silence: now.since(self.last_update) }
    }

    /// Records whether the host's own watch of the targets is in place.
    pub fn set_watching_targets(&mut self, now: Time, watching: bool) {
        self.record_watch_end(now, !watching);
        self.watching_targets = watching;
    }

    /// Records whether the host's own watch of the configuration is in place.
    pub fn set_watching_config(&mut self, now: Time, watching: bool) {
        self.record_watch_end(now, !watching);
        self.watching_config = watching;
    }

    /// Records that the store no longer answers this host and last did so at `last_answered`.
    pub fn lose_watches(&mut self, last_answered: Time) {
        self.record_watch_end(last_answered, true);
        self.watching_targets = false;
        self.watching_config = false;
    }

    /// Notes until when the knowledge was current if a watch that was in place has ended.
    fn record_watch_end(&mut self, now: Time, ended: bool) {
        if ended && self.is_watching() {
            self.as_of = now;
        }
    }
}
