//! How current this host's copy of the platform's store is, and whether the store had an outage or this
//! host alone did not reach it.

use geraniummux_core::Time;
use geraniummux_core::fleet::{PeerFreshness, Revision};
use std::time::Duration;

/// How long this host's calls must have failed, without a current update from a peer either, to count
/// as an outage of the store. Registrations expire only in longer outages.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long after an outage removed entries may be registrations that expired during it: two seconds
/// in which their targets register again, and one second for the changes to arrive.
const EXPIRY_GRACE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long the expiry grace lasts on a host after an update that its leader sent within one.
const RELAYED_GRACE_WINDOW: Duration = Duration::from_millis(300);
/// Part of the time for which a leaving target may get requests that a removed entry remains in use. The
/// rest is for the removal to arrive and for requests that were sent before.
const MAX_GRACE_SHARE_OF_DRAIN: f64 = 0.75;
/// Time after the store's acknowledgement within which a configuration takes effect. A copy that is older may lack
/// what is already in force elsewhere.
const CONFIG_LAG: Duration = Duration::from_millis(2_500);

/// How current this host's copy of the store is, from its own calls and from its peers' updates.
#[derive(Clone, Debug)]
pub struct Freshness {
    /// When the copy was last known to be current, while the host does not watch the store itself.
    pub as_of: Time,
    /// When a peer last sent an update, which states how current its copy is.
    pub last_update: Time,
    /// Whether the host's own watch of the targets is established.
    pub watching_targets: bool,
    /// Whether the host's own watch of the configuration is established.
    pub watching_config: bool,
    /// Revision of the store that the configuration was last read or replicated at.
    pub config_revision: Option<Revision>,
    /// Since when a peer is known to have a newer configuration.
    pub config_behind_since: Option<Time>,
    /// The newest version of the configuration that a peer is known to have.
    peer_config_version: u64,
    /// Since when all calls of this host to the store have failed.
    pub store_failing_since: Option<Time>,
    /// Until when removed entries may be registrations that expired during an outage of the store.
    pub expiry_grace_until: Time,
    /// Since when peers have sent updates without a gap; `None` if none has ever sent one.
    heard_since: Option<Time>,
    /// When the copy was last out of date, or the host started.
    stale_until: Time,
}

impl Freshness {
    /// Returns the state of a host that starts.
    pub fn new(now: Time) -> Self {
        Freshness {
            as_of: now,
            last_update: now,
            watching_targets: false,
            watching_config: false,
            config_revision: None,
            config_behind_since: None,
            peer_config_version: 0,
            store_failing_since: None,
            expiry_grace_until: now,
            heard_since: None,
            stale_until: now,
        }
    }

    /// Records the end of a call to the store.
    ///
    /// The store had an outage if this host's calls failed for a while and its peers, which it heard all
    /// the while, had no current data either. A host that was cut off from the store, or from its peers as
    /// well, must not treat entries that were removed meanwhile as expired ones.
    pub fn on_store_call(&mut self, now: Time, responded: bool) {
        if !responded {
            self.store_failing_since.get_or_insert(now);
            return;
        }
        let Some(since) = self.store_failing_since.take() else { return };
        let PeerFreshness { age, silence } = self.peer_freshness(now);
        // A host that has never heard a peer goes by its own calls.
        let heard_peers = self
            .heard_since
            .is_none_or(|t| silence < OUTAGE_THRESHOLD && t <= since + OUTAGE_THRESHOLD);
        if now.since(since) >= OUTAGE_THRESHOLD && age >= OUTAGE_THRESHOLD && heard_peers {
            self.stale_until = now;
            self.expiry_grace_until = now + EXPIRY_GRACE_WINDOW;
        }
    }

    /// Records that a peer relays changes in which removed entries may have expired during an outage. That
    /// can't be if this host's copy was current all the while.
    pub fn extend_expiry_grace(&mut self, now: Time) {
        self.record_staleness(now);
        if now < self.stale_until + EXPIRY_GRACE_WINDOW {
            self.expiry_grace_until = self.expiry_grace_until.max(now + RELAYED_GRACE_WINDOW);
        }
    }

    /// Records that the store came back from a copy. Registrations may expire with the leases of that time.
    pub fn on_store_restored(&mut self, now: Time) {
        self.stale_until = now;
        self.expiry_grace_until = now + EXPIRY_GRACE_WINDOW;
    }

    fn record_staleness(&mut self, now: Time) {
        if self.age(now) >= OUTAGE_THRESHOLD {
            self.stale_until = now;
        }
    }

    /// Returns whether entries removed now may be registrations that expired during an outage.
    pub fn in_expiry_grace(&self, now: Time) -> bool {
        now < self.expiry_grace_until
    }

    /// Returns whether both of the host's own watches are established.
    pub fn is_watching(&self) -> bool {
        self.watching_config && self.watching_targets
    }

    /// Records that an update of a peer was applied whose copy of the store was current at `as_of`.
    pub fn on_update(&mut self, now: Time, as_of: Time) {
        self.record_staleness(now);
        if self.heard_since.is_none() || now.since(self.last_update) >= OUTAGE_THRESHOLD {
            self.heard_since = Some(now);
        }
        self.as_of = self.as_of.max(as_of);
        self.last_update = now;
    }

    /// Returns how long ago the copy was last known to be current.
    pub fn age(&self, now: Time) -> Duration {
        let behind = self.config_behind_since.map_or(Duration::ZERO, |t| now.since(t));
        if self.is_watching() { behind } else { now.since(self.as_of).max(behind) }
    }

    /// Returns whether the configuration is not known to be out of date: no peer has a newer one, and one that is not
    /// in this copy may not have taken effect yet.
    pub fn is_config_current(&self, now: Time) -> bool {
        self.config_behind_since.is_none() && self.age(now) <= CONFIG_LAG
    }

    /// Records that a peer has this version of the configuration in force while this host has `held`.
    pub fn on_peer_config_version(&mut self, now: Time, version: u64, held: u64) {
        self.peer_config_version = self.peer_config_version.max(version);
        if version > held {
            self.config_behind_since.get_or_insert(now);
        }
    }

    /// Records that a version of the configuration is put in force. A peer may have a newer one still.
    pub fn on_config_adopted(&mut self, now: Time, version: u64) {
        self.config_behind_since = (self.peer_config_version > version).then_some(now);
    }

    /// Returns how current the copy is by the peers' updates alone.
    pub fn peer_freshness(&self, now: Time) -> PeerFreshness {
        let behind = self.config_behind_since.map_or(Duration::ZERO, |t| now.since(t));
        PeerFreshness {
            age: now.since(self.as_of).max(behind),
            silence: now.since(self.last_update),
        }
    }

    /// Returns for how long an entry that is removed now remains in use: `lapse` in the expiry grace, but not
    /// beyond its end. The entry may also be that of a target that has left, which gets requests for `drain`
    /// at most.
    pub fn grace_of_removed_entry(&self, now: Time, lapse: Duration, drain: Duration) -> Duration {
        if !self.in_expiry_grace(now) {
            return Duration::ZERO;
        }
        let left = (self.stale_until + EXPIRY_GRACE_WINDOW).since(now);
        lapse.min(drain.mul_f64(MAX_GRACE_SHARE_OF_DRAIN)).min(left)
    }

    /// Records whether the host's own watch of the targets is established.
    pub fn set_watching_targets(&mut self, now: Time, watching: bool) {
        self.record_staleness(now);
        self.record_watch_end(now, !watching);
        self.watching_targets = watching;
    }

    /// Records whether the host's own watch of the configuration is established.
    pub fn set_watching_config(&mut self, now: Time, watching: bool) {
        self.record_staleness(now);
        self.record_watch_end(now, !watching);
        self.watching_config = watching;
    }

    /// Records that the store no longer responds to this host. `last_responsive_at` is when the last call
    /// was sent to which it did.
    pub fn lose_watches(&mut self, last_responsive_at: Time) {
        self.record_watch_end(last_responsive_at, true);
        self.watching_targets = false;
        self.watching_config = false;
    }

    /// Records `now` as the time up to which the copy was current if a watch `ended` while both were
    /// established.
    fn record_watch_end(&mut self, now: Time, ended: bool) {
        if ended && self.is_watching() {
            self.as_of = now;
        }
    }
}
