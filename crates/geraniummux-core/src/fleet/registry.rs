//! The targets of the pools: a copy of the platform's registry, and the deltas that keep the copies
//! of all hosts up to date.
//!
//! A removed entry is normally dropped at once. Registrations of live targets may have expired while
//! the platform's store was unavailable; their entries are kept for an expiry grace, so that the
//! targets can register again.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A target's registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RegisteredTarget {
    /// Identity of this run of the target.
    pub id: Arc<str>,
    /// Pool that the target serves.
    pub pool: Arc<str>,
    /// Address at which the target accepts requests.
    pub addr: SocketAddr,
    /// Failure domain in which the target runs.
    pub failure_domain: Arc<str>,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target is leaving and gets no new requests.
    pub leaving: bool,
    /// Remaining warm-up time at registration, during which the target is slow.
    pub warm_up: Duration,
    /// Start time of the target in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
}

/// A change of one entry of the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RegistryChange {
    /// The entry is new or has changed.
    Put(RegisteredTarget),
    /// The entry with this id names no usable target, for example because it can't be parsed.
    Unusable(Arc<str>),
    /// The entry with this id was removed.
    Removed(Arc<str>),
}

impl RegistryChange {
    fn id(&self) -> &Arc<str> {
        match self {
            RegistryChange::Put(t) => &t.id,
            RegistryChange::Unusable(id) | RegistryChange::Removed(id) => id,
        }
    }
}

/// Changes that lead from one revision of the registry to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RegistryDelta {
    /// Revision to which the changes apply; `None` for a full list.
    pub from: Option<u64>,
    /// Revision after the changes.
    pub to: u64,
    /// The changes, each with the revision of its entry, oldest first.
    pub changes: Vec<(u64, RegistryChange)>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: Arc<str>,
    revision: u64,
    /// `None` if the entry names no usable target.
    target: Option<RegisteredTarget>,
    /// End of the target's warm-up.
    warm_up_ends: Time,
    /// End of the expiry grace of a removed entry.
    drop_at: Option<Time>,
}

impl Entry {
    fn started_unix_ms(&self) -> Option<u64> {
        self.target.as_ref().map(|t| t.started_unix_ms)
    }
}

/// One host's copy of the registry.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    revision: Option<u64>,
    /// Sorted by id.
    entries: Vec<Entry>,
}

impl TargetRegistry {
    /// Returns the revision of this copy; `None` before the first full list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies a delta and returns whether it was applied. A delta is refused if it ends before the
    /// revision of this copy or starts after it.
    ///
    /// `expiry_grace` is how long removed entries remain usable. It is zero unless the platform's
    /// store was unavailable, in which case the entries may have expired and may come back.
    pub fn apply(&mut self, now: Time, delta: RegistryDelta, expiry_grace: Duration) -> bool {
        let current = self.revision;
        if current.is_some_and(|r| delta.to < r) {
            return false;
        }
        match delta.from {
            Some(from) if current.is_none_or(|r| from > r) => return false,
            Some(_) => {}
            None => self.expire_unlisted(now, &delta, expiry_grace),
        }
        for (revision, change) in delta.changes {
            self.apply_change(now, revision, change, expiry_grace);
        }
        self.revision = Some(delta.to);
        true
    }

    /// Returns a full list for another host, without entries in their expiry grace; `None` before
    /// the first full list.
    pub fn snapshot(&self) -> Option<RegistryDelta> {
        let changes = self
            .entries
            .iter()
            .filter(|e| e.drop_at.is_none())
            .map(|e| {
                let change = match &e.target {
                    Some(target) => RegistryChange::Put(target.clone()),
                    None => RegistryChange::Unusable(e.id.clone()),
                };
                (e.revision, change)
            })
            .collect();
        Some(RegistryDelta { from: None, to: self.revision?, changes })
    }

    /// Returns all usable targets, each with whether it is still warming up.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = (&RegisteredTarget, bool)> + Clone {
        self.entries
            .iter()
            .filter(move |e| e.drop_at.is_none_or(|at| now < at))
            .filter_map(move |e| Some((e.target.as_ref()?, now < e.warm_up_ends)))
    }

    /// Returns when a registered target was started, in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self, target: &str) -> Option<u64> {
        let i = self.entries.binary_search_by(|e| (*e.id).cmp(target)).ok()?;
        self.entries[i].started_unix_ms()
    }

    /// Drops entries whose expiry grace is over. Returns whether there were any.
    pub fn drop_expired(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        self.entries.retain(|e| e.drop_at.is_none_or(|at| now < at));
        self.entries.len() != before
    }

    /// Returns the number of expired entries that may come back.
    pub fn expired_count(&self) -> usize {
        self.entries.iter().filter(|e| e.drop_at.is_some()).count()
    }

    /// Marks entries that are missing from a full list as removed.
    fn expire_unlisted(&mut self, now: Time, list: &RegistryDelta, expiry_grace: Duration) {
        let mut listed: Vec<&Arc<str>> = list.changes.iter().map(|(_, c)| c.id()).collect();
        listed.sort_unstable();
        for e in &mut self.entries {
            if listed.binary_search(&&e.id).is_err() && e.drop_at.is_none() {
                e.drop_at = Some(now + expiry_grace);
            }
        }
        self.drop_expired(now);
    }

    fn apply_change(
        &mut self,
        now: Time,
        revision: u64,
        change: RegistryChange,
        expiry_grace: Duration,
    ) {
        let id = change.id().clone();
        let found = self.entries.binary_search_by(|e| e.id.cmp(&id));
        if found.is_ok_and(|i| self.entries[i].revision > revision) {
            return;
        }
        let target = match change {
            RegistryChange::Removed(_) => {
                if let Ok(i) = found {
                    self.expire(now, i, expiry_grace);
                }
                return;
            }
            RegistryChange::Put(target) => Some(target),
            RegistryChange::Unusable(_) => None,
        };
        let warm_up_ends = now + target.as_ref().map_or(Duration::ZERO, |t| t.warm_up);
        let entry = Entry { id, revision, target, warm_up_ends, drop_at: None };
        match found {
            Ok(i) => {
                // A target that restarted under the same id warms up again; other changes of the
                // entry don't affect the warm-up.
                let restarted = self.entries[i].started_unix_ms() != entry.started_unix_ms();
                let warm_up_ends =
                    if restarted { entry.warm_up_ends } else { self.entries[i].warm_up_ends };
                self.entries[i] = Entry { warm_up_ends, ..entry };
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    fn expire(&mut self, now: Time, i: usize, expiry_grace: Duration) {
        if expiry_grace.is_zero() {
            self.entries.remove(i);
        } else if self.entries[i].drop_at.is_none() {
            self.entries[i].drop_at = Some(now + expiry_grace);
        }
    }
}
