//! How current a host's knowledge of the platform's store is.

use geraniummux_core::Time;
use geraniummux_core::fleet::PeerFreshness;
use std::time::Duration;

/// How long calls must have failed, and no news arrived, for the platform's store to count as away. Entries
/// lapse only in longer outages.
const AWAY_AFTER: Duration = Duration::from_millis(1_000);
/// How long after the store is back lapsed entries may return: two seconds, and one for the news to
/// arrive.
const AWAY_ECHO: Duration = Duration::from_millis(3_000);
/// How long changes that a peer passed on from such a time are passed on in the same way.
const RELAY_ECHO: Duration = Duration::from_millis(300);

/// What the host knows of the platform's store, and how current that is.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// When the knowledge was last known to be current, unless the host is in touch with the store.
    pub as_of: Time,
    /// When a peer last told how current its knowledge is.
    pub heard: Time,
    /// Whether the host's own watch of the targets is in place.
    pub watches_targets: bool,
    /// Whether the host's own watch of the configuration is in place.
    pub watches_config: bool,
    /// Revision of the store up to which the configuration is known.
    pub config_revision: Option<u64>,
    /// Since when a peer has been known to have a newer configuration.
    pub behind_since: Option<Time>,
    /// Since when all calls of this host to the store have failed.
    pub failing_since: Option<Time>,
    /// Until when removed entries may be ones that lapsed while the store was away.
    pub expiry_grace_until: Time,
}

impl Knowledge {
    /// Returns the knowledge of a host that starts.
    pub fn new(now: Time) -> Self {
        Knowledge {
            as_of: now,
            heard: now,
            watches_targets: false,
            watches_config: false,
            config_revision: None,
            behind_since: None,
            failing_since: None,
            expiry_grace_until: now,
        }
    }

    /// Records the end of a call to the store.
    ///
    /// The store was away if the calls failed for a while and the peers had no fresh news either. A host
    /// that alone was cut off must not take entries that were removed meanwhile for lapsed ones.
    pub fn on_store_call(&mut self, now: Time, answered: bool) {
        if !answered {
            self.failing_since.get_or_insert(now);
            return;
        }
        let failed = self.failing_since.take().is_some_and(|t| now.since(t) >= AWAY_AFTER);
        if failed && self.from_peers(now).age >= AWAY_AFTER {
            self.expiry_grace_until = now + AWAY_ECHO;
        }
    }

    /// Records that a peer passes on changes from a time in which removed entries may have lapsed.
    pub fn extend_expiry_grace(&mut self, now: Time) {
        self.expiry_grace_until = self.expiry_grace_until.max(now + RELAY_ECHO);
    }

    /// Returns whether entries that are removed now may be ones that lapsed while the store was away.
    pub fn needs_expiry_grace(&self, now: Time) -> bool {
        now < self.expiry_grace_until
    }

    /// Returns whether the host's own watches are in place.
    pub fn watches(&self) -> bool {
        self.watches_config && self.watches_targets
    }

    /// Returns how long ago the knowledge was known to be current.
    pub fn age(&self, now: Time) -> Duration {
        let behind = self.behind_since.map_or(Duration::ZERO, |t| now.since(t));
        if self.watches() { behind } else { now.since(self.as_of).max(behind) }
    }

    /// Returns what was heard from peers.
    pub fn from_peers(&self, now: Time) -> PeerFreshness {
        let behind = self.behind_since.map_or(Duration::ZERO, |t| now.since(t));
        PeerFreshness { age: now.since(self.as_of).max(behind), silence: now.since(self.heard) }
    }

    /// Records whether the host's own watch of the targets is in place.
    pub fn set_watches_targets(&mut self, now: Time, watches: bool) {
        self.leave_store(now, !watches);
        self.watches_targets = watches;
    }

    /// Records whether the host's own watch of the configuration is in place.
    pub fn set_watches_config(&mut self, now: Time, watches: bool) {
        self.leave_store(now, !watches);
        self.watches_config = watches;
    }

    /// Records that the store no longer answers this host and last did so at `proven`.
    pub fn lose_watches(&mut self, proven: Time) {
        self.leave_store(proven, true);
        self.watches_targets = false;
        self.watches_config = false;
    }

    /// Notes until when the knowledge was current if a watch that was in place has ended.
    fn leave_store(&mut self, now: Time, ended: bool) {
        if ended && self.watches() {
            self.as_of = now;
        }
    }
}
