//! Which targets the pools have, as the platform's registry says, and how copies of the registry
//! on different hosts are brought up to date.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One target as it is registered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RegisteredTarget {
    /// Identity of this run of the target.
    pub id: Arc<str>,
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// Where it accepts requests.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// How much longer it was slow when it registered.
    pub warm_up: Duration,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
}

/// A change of one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RegistryChange {
    /// The entry is new or has changed.
    Put(RegisteredTarget),
    /// The entry names no target that can be used, for example because it can't be read.
    Unusable(Arc<str>),
    /// The entry was removed.
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
    /// The revision that the changes start from; `None` for a full list.
    pub from: Option<u64>,
    /// The revision that they lead to.
    pub to: u64,
    /// The changes, each with the revision of its entry, oldest first.
    pub changes: Vec<(u64, RegistryChange)>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: Arc<str>,
    revision: u64,
    /// `None` for an entry that names no usable target.
    target: Option<RegisteredTarget>,
    /// When the target is slow no more.
    warm_at: Time,
    /// When an entry that lapsed while the platform was away is taken for gone.
    drop_at: Option<Time>,
}

impl Entry {
    fn started(&self) -> Option<u64> {
        self.target.as_ref().map(|t| t.started_unix_ms)
    }
}

/// The registry as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    revision: Option<u64>,
    /// Sorted by id.
    entries: Vec<Entry>,
}

impl TargetRegistry {
    /// Returns the revision up to which the registry is known; `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies changes. Returns whether they were applied; they are not if they are older than what
    /// is known, or start from a later revision.
    ///
    /// `expiry_grace` is how long a removed entry counts on: zero, unless the platform was away and the
    /// entry may come back.
    pub fn apply(&mut self, now: Time, delta: RegistryDelta, expiry_grace: Duration) -> bool {
        let known = self.revision;
        if known.is_some_and(|r| delta.to < r) {
            return false;
        }
        match delta.from {
            Some(from) if known.is_none_or(|r| from > r) => return false,
            Some(_) => {}
            None => self.remove_unlisted(now, &delta, expiry_grace),
        }
        for (revision, change) in delta.changes {
            self.change(now, revision, change, expiry_grace);
        }
        self.revision = Some(delta.to);
        true
    }

    /// Returns a full list for another host.
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

    /// Returns all targets that may still be used, with whether each is still slow from its start.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = (&RegisteredTarget, bool)> + Clone {
        self.entries
            .iter()
            .filter(move |e| e.drop_at.is_none_or(|at| now < at))
            .filter_map(move |e| Some((e.target.as_ref()?, now < e.warm_at)))
    }

    /// Forgets lapsed entries whose time is over. Returns whether there were any.
    pub fn drop_expired(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        self.entries.retain(|e| e.drop_at.is_none_or(|at| now < at));
        self.entries.len() != before
    }

    /// Returns how many entries have lapsed and may come back.
    pub fn expired_count(&self) -> usize {
        self.entries.iter().filter(|e| e.drop_at.is_some()).count()
    }

    fn remove_unlisted(&mut self, now: Time, list: &RegistryDelta, expiry_grace: Duration) {
        let mut listed: Vec<&Arc<str>> = list.changes.iter().map(|(_, c)| c.id()).collect();
        listed.sort_unstable();
        for e in &mut self.entries {
            if listed.binary_search(&&e.id).is_err() && e.drop_at.is_none() {
                e.drop_at = Some(now + expiry_grace);
            }
        }
        self.drop_expired(now);
    }

    fn change(&mut self, now: Time, revision: u64, change: RegistryChange, expiry_grace: Duration) {
        let id = change.id().clone();
        let found = self.entries.binary_search_by(|e| e.id.cmp(&id));
        if found.is_ok_and(|i| self.entries[i].revision > revision) {
            return;
        }
        let target = match change {
            RegistryChange::Removed(_) => {
                if let Ok(i) = found {
                    self.remove(now, i, expiry_grace);
                }
                return;
            }
            RegistryChange::Put(target) => Some(target),
            RegistryChange::Unusable(_) => None,
        };
        let warm_at = now + target.as_ref().map_or(Duration::ZERO, |t| t.warm_up);
        let entry = Entry { id, revision, target, warm_at, drop_at: None };
        match found {
            Ok(i) => {
                // A target that restarted under its id is slow again; a mere change of state is
                // not news about its speed.
                let restarted = self.entries[i].started() != entry.started();
                let warm_at = if restarted { entry.warm_at } else { self.entries[i].warm_at };
                self.entries[i] = Entry { warm_at, ..entry };
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    fn remove(&mut self, now: Time, i: usize, expiry_grace: Duration) {
        if expiry_grace.is_zero() {
            self.entries.remove(i);
        } else if self.entries[i].drop_at.is_none() {
            self.entries[i].drop_at = Some(now + expiry_grace);
        }
    }
}
