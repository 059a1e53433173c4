//! How current a host's knowledge of the platform's store is.

use geraniummux_core::Time;
use geraniummux_core::fleet::Heard;
use std::time::Duration;

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
    /// Until when removed entries may be ones that lapsed while the store was away.
    pub lapses_until: Time,
}

impl Knowledge {
    /// Returns how long ago the knowledge was known to be current.
    pub fn age(&self, now: Time) -> Duration {
        let behind = self.behind_since.map_or(Duration::ZERO, |t| now.since(t));
        if self.watches_config && self.watches_targets {
            behind
        } else {
            now.since(self.as_of).max(behind)
        }
    }

    /// Returns what was heard from peers.
    pub fn from_peers(&self, now: Time) -> Heard {
        let behind = self.behind_since.map_or(Duration::ZERO, |t| now.since(t));
        Heard { age: now.since(self.as_of).max(behind), silence: now.since(self.heard) }
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

    /// Notes until when the knowledge was current if a watch that was in place has ended.
    fn leave_store(&mut self, now: Time, ended: bool) {
        if ended && self.watches_config && self.watches_targets {
            self.as_of = now;
        }
    }
}
