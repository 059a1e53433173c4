//! The targets of the pools: a copy of the platform's registry, and the deltas that keep the copies
//! of all hosts up to date.
//!
//! A removed entry is normally dropped at once. Registrations of live targets may have expired while
//! the platform's store was unavailable; their entries are kept for an expiry grace, so that the
//! targets can register again.
//!
//! When the store comes back from a copy, a full list of the new era replaces what was read before, but for
//! what the copy can't know: targets that have left or are leaving remain so, although the copy lists them
//! as ready, and targets that the copy lacks are kept for an expiry grace.

use super::bounds::MAX_WARM_UP;
use super::evacuations::Evacuations;
use super::revision::Revision;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Default of [`TargetRegistry::set_confirm_after`].
const DEFAULT_CONFIRM_AFTER: Duration = Duration::from_secs(6);
/// Difference from which on the end of a warm-up that a target states is another one than the known one.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);
/// Time for which a target that has left is remembered; longer than the age of a copy from which the store
/// comes back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(600);

/// Identity of one run of a target, which may start again under its name. The start alone does not suffice: it
/// may be unknown, and clocks may step back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetRun {
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
    /// Address at which the run accepts requests.
    pub addr: SocketAddr,
}

/// A target's registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RegisteredTarget {
    /// Name of the target, which it keeps when it starts again.
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

impl RegisteredTarget {
    /// Returns the identity of the run that is registered.
    pub fn run(&self) -> TargetRun {
        TargetRun { started_unix_ms: self.started_unix_ms, addr: self.addr }
    }
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
    pub from: Option<Revision>,
    /// Revision after the changes.
    pub to: Revision,
    /// The changes, each with the revision of its entry, oldest first.
    pub changes: Vec<(Revision, RegistryChange)>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: Arc<str>,
    revision: Revision,
    /// `None` if the entry names no usable target.
    target: Option<RegisteredTarget>,
    /// End of the target's warm-up by its registration.
    warm_up_ends: Time,
    /// End of the warm-up by what the target said in health responses.
    said_warm_up_ends: Time,
    /// When this copy first had the run; `None` if that was with the first full list.
    run_since: Option<Time>,
    /// End of the expiry grace of a removed entry.
    drop_at: Option<Time>,
    /// For an entry of a target that had left: until when it is unknown whether the entry is only a remnant
    /// in the copy from which the store came back.
    unconfirmed_until: Option<Time>,
}

impl Entry {
    fn started_unix_ms(&self) -> Option<u64> {
        self.target.as_ref().map(|t| t.started_unix_ms)
    }

    fn run(&self) -> Option<TargetRun> {
        self.target.as_ref().map(RegisteredTarget::run)
    }

    /// Returns when the target is no longer cold. A target that is taken to be cold for too long only gets fewer
    /// requests.
    fn cold_until(&self) -> Time {
        self.warm_up_ends.max(self.said_warm_up_ends)
    }

    /// Returns whether the target wrote this entry after `old`. In another era, an entry with the same content may
    /// be the one of before.
    fn is_rewritten(&self, old: &Entry) -> bool {
        self.revision > old.revision
            && (self.revision.era == old.revision.era || self.target != old.target)
    }

    fn is_usable(&self, now: Time) -> bool {
        self.drop_at.is_none_or(|at| now < at) && self.unconfirmed_until.is_none_or(|at| now >= at)
    }
}

/// A target whose entry was removed.
#[derive(Clone, Debug)]
struct Departed {
    id: Arc<str>,
    /// Start of the run that has ended.
    started_unix_ms: u64,
    /// Era of the store in which the entry was removed.
    era: u64,
    at: Time,
}

/// How newer evacuations differ from those before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationDifference {
    /// Domains that are evacuated now and were not before.
    pub evacuated: Vec<Arc<str>>,
    /// Domains that were evacuated before and are no longer.
    pub returned: Vec<Arc<str>>,
}

/// One host's copy of the registry.
#[derive(Clone, Debug)]
pub struct TargetRegistry {
    revision: Option<Revision>,
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Sorted by id.
    departed: Vec<Departed>,
    confirm_after: Duration,
    /// The failure domains whose targets are left out; `None` if that is not known.
    evacuations: Option<Evacuations>,
}

impl Default for TargetRegistry {
    fn default() -> Self {
        TargetRegistry {
            revision: None,
            entries: Vec::new(),
            departed: Vec::new(),
            confirm_after: DEFAULT_CONFIRM_AFTER,
            evacuations: None,
        }
    }
}

impl TargetRegistry {
    /// Sets how long the entry of a target that had left must remain registered, after the store came back
    /// from a copy, until the target is used again, unless it writes the entry. It has to be longer than the
    /// time in which the store removes the entries of targets that are gone.
    pub fn set_confirm_after(&mut self, confirm_after: Duration) {
        self.confirm_after = confirm_after;
    }

    /// Returns the revision of this copy; `None` before the first full list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Applies a delta and returns whether it was applied. A delta is refused if it ends before the
    /// revision of this copy or starts after it.
    ///
    /// `expiry_grace` is how long removed entries remain usable. It is zero unless the platform's store was
    /// unavailable or came back from a copy, in which case the entries may come back.
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
        self.departed.retain(|d| now.since(d.at) < DEPARTED_RETENTION);
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

    /// Takes over evacuations if they are newer than those in force. Returns the sorted names of the domains
    /// that are evacuated anew and of those that are no longer; `None` if they are not newer.
    pub fn set_evacuations(&mut self, evacuations: Evacuations) -> Option<EvacuationDifference> {
        let held = self.evacuations.as_ref();
        if held.is_some_and(|h| h.revision >= evacuations.revision) {
            return None;
        }
        let former = held.map_or(&[][..], Evacuations::domains);
        let without = |all: &[Arc<str>], other: &[Arc<str>]| {
            let is_only_here = |d: &&Arc<str>| other.binary_search(d).is_err();
            all.iter().filter(is_only_here).cloned().collect::<Vec<_>>()
        };
        let difference = EvacuationDifference {
            evacuated: without(evacuations.domains(), former),
            returned: without(former, evacuations.domains()),
        };
        self.evacuations = Some(evacuations);
        Some(difference)
    }

    /// Returns the evacuations in force; `None` if they are not known.
    pub fn evacuations(&self) -> Option<&Evacuations> {
        self.evacuations.as_ref()
    }

    /// Forgets the evacuations. To be called if failure domains are never evacuated any more.
    pub fn clear_evacuations(&mut self) {
        self.evacuations = None;
    }

    /// Returns all usable targets outside the evacuated failure domains, each with whether it is still warming
    /// up.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = (&RegisteredTarget, bool)> + Clone {
        let evacuations = self.evacuations.as_ref().filter(|e| !e.domains().is_empty());
        let is_evacuated =
            move |t: &RegisteredTarget| evacuations.is_some_and(|e| e.contains(&t.failure_domain));
        self.entries
            .iter()
            .filter(move |e| e.is_usable(now))
            .filter_map(move |e| Some((e.target.as_ref()?, now < e.cold_until())))
            .filter(move |(t, _)| !is_evacuated(t))
    }

    /// Returns until when a target is cold; the default if it is not registered.
    pub fn cold_until(&self, target: &str) -> Time {
        self.find(target).map_or(Time::default(), Entry::cold_until)
    }

    /// Returns the cold targets of a pool.
    pub fn cold<'a>(&'a self, now: Time, pool: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        let of_pool = self.targets(now).filter(move |(t, is_cold)| *is_cold && *t.pool == *pool);
        of_pool.map(|(t, _)| &t.id)
    }

    /// Records that a target said that it stays cold for `left`, to this host or to a peer. Returns whether it is
    /// taken to be cold for longer than before, by more than responses differ in their delay.
    pub fn on_warm_up_left(&mut self, now: Time, target: &str, left: Duration) -> bool {
        let Ok(i) = self.entries.binary_search_by(|e| (*e.id).cmp(target)) else { return false };
        let e = &mut self.entries[i];
        let (known, ends) = (e.cold_until(), now + left.min(MAX_WARM_UP));
        e.said_warm_up_ends = e.said_warm_up_ends.max(ends);
        !left.is_zero() && ends > known + WARM_UP_TOLERANCE
    }

    /// Takes the targets of a failure domain to be cold for a while.
    pub fn assume_cold(&mut self, now: Time, domain: &str, for_: Duration) {
        let in_domain =
            |e: &&mut Entry| e.target.as_ref().is_some_and(|t| *t.failure_domain == *domain);
        for e in self.entries.iter_mut().filter(in_domain) {
            e.said_warm_up_ends = e.said_warm_up_ends.max(now + for_);
        }
    }

    /// Returns the registered run of a target.
    pub fn run(&self, target: &str) -> Option<TargetRun> {
        self.find(target)?.run()
    }

    /// Returns the pool of a registered target.
    pub fn pool(&self, target: &str) -> Option<&Arc<str>> {
        self.find(target)?.target.as_ref().map(|t| &t.pool)
    }

    /// Returns whether what a target said at `said_at` may be the word of its registered run: this copy had
    /// that run then, or it is not known since when the run is registered.
    pub fn may_be_of_registered_run(&self, target: &str, said_at: Time) -> bool {
        self.find(target).is_some_and(|e| e.run_since.is_none_or(|since| since <= said_at))
    }

    fn find(&self, target: &str) -> Option<&Entry> {
        let i = self.entries.binary_search_by(|e| (*e.id).cmp(target)).ok()?;
        Some(&self.entries[i])
    }

    /// Drops entries whose expiry grace is over. Returns whether there were any.
    pub fn drop_expired(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        let mut expired = Vec::new();
        self.entries.retain(|e| {
            let keep = e.drop_at.is_none_or(|at| now < at);
            if !keep {
                expired.push(e.clone());
            }
            keep
        });
        for e in expired {
            self.record_departed(now, &e);
        }
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
                e.revision = e.revision.max(Revision::new(list.to.era, 0));
            }
        }
        self.drop_expired(now);
    }

    fn apply_change(
        &mut self,
        now: Time,
        revision: Revision,
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
                    self.entries[i].revision = revision;
                    self.expire(now, i, expiry_grace);
                }
                return;
            }
            RegistryChange::Put(target) => Some(target),
            RegistryChange::Unusable(_) => None,
        };
        let mut entry = Entry {
            warm_up_ends: now + target.as_ref().map_or(Duration::ZERO, |t| t.warm_up),
            said_warm_up_ends: Time::default(),
            run_since: self.revision.map(|_| now),
            id,
            revision,
            target,
            drop_at: None,
            unconfirmed_until: None,
        };
        entry.unconfirmed_until = match found {
            Ok(i) => self.still_unconfirmed_until(now, &self.entries[i], &entry),
            Err(_) => self.remnant_until(now, &entry),
        };
        match found {
            Ok(i) if is_of_earlier_run(&self.entries[i], &entry) => {
                // The copy lacks the present run of the target, which may register again.
                self.expire(now, i, expiry_grace);
            }
            Ok(i) => {
                keep_leaving(&self.entries[i], &mut entry);
                let old = &self.entries[i];
                if old.run() == entry.run() {
                    entry.run_since = old.run_since;
                    entry.said_warm_up_ends = old.said_warm_up_ends;
                    // A target may become cold again while it runs, and says so when it writes its entry. The
                    // same entry in another list says nothing new.
                    if !entry.is_rewritten(old) {
                        entry.warm_up_ends = old.warm_up_ends;
                    }
                }
                self.entries[i] = entry;
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    /// Returns until when a new entry may be a remnant of a target that has left: it is listed in an era after
    /// the one in which the target's entry was removed.
    fn remnant_until(&self, now: Time, entry: &Entry) -> Option<Time> {
        let i = self.departed.binary_search_by(|d| d.id.cmp(&entry.id)).ok()?;
        let d = &self.departed[i];
        let is_remnant =
            d.era < entry.revision.era && entry.started_unix_ms()? <= d.started_unix_ms;
        is_remnant.then(|| now + self.confirm_after)
    }

    /// Returns until when an entry may still be a remnant, given its former state: until the target writes
    /// it, or for a while in each era.
    fn still_unconfirmed_until(&self, now: Time, old: &Entry, new: &Entry) -> Option<Time> {
        let until = old.unconfirmed_until.filter(|at| now < *at)?;
        if old.started_unix_ms() != new.started_unix_ms() {
            return None;
        }
        if new.revision.era > old.revision.era {
            return Some(now + self.confirm_after);
        }
        (new.revision == old.revision).then_some(until)
    }

    fn record_departed(&mut self, now: Time, e: &Entry) {
        let Some(started_unix_ms) = e.started_unix_ms() else { return };
        let d = Departed { id: e.id.clone(), started_unix_ms, era: e.revision.era, at: now };
        match self.departed.binary_search_by(|d| d.id.cmp(&e.id)) {
            Ok(i) => self.departed[i] = d,
            Err(i) => self.departed.insert(i, d),
        }
    }

    fn expire(&mut self, now: Time, i: usize, expiry_grace: Duration) {
        if expiry_grace.is_zero() {
            let removed = self.entries.remove(i);
            self.record_departed(now, &removed);
        } else if self.entries[i].drop_at.is_none() {
            self.entries[i].drop_at = Some(now + expiry_grace);
        }
    }
}

/// Returns whether the new state of an entry, read from a copy, is that of a run before the present one.
fn is_of_earlier_run(old: &Entry, new: &Entry) -> bool {
    match (old.started_unix_ms(), new.started_unix_ms()) {
        (Some(present), Some(listed)) => {
            new.revision.era > old.revision.era && listed > 0 && listed < present
        }
        _ => false,
    }
}

/// Keeps a target leaving that a copy shows as ready. A target that writes its entry in the new era decides
/// for itself.
fn keep_leaving(old: &Entry, new: &mut Entry) {
    let is_written = new.revision.era == old.revision.era && new.revision != old.revision;
    if let (Some(old), Some(new)) = (&old.target, &mut new.target)
        && !is_written
        && old.started_unix_ms == new.started_unix_ms
    {
        new.leaving |= old.leaving;
    }
}
