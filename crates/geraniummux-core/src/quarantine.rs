//! Requests that crash the targets that run them.
//!
//! A strike is a connection that broke before an answer. Two strikes from different targets block
//! a request's fingerprint for a while. When several targets break at the same time and no request
//! explains it, the targets are the cause and the strikes of that time are retracted.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The part of a body that enters the fingerprint, in bytes.
pub const FINGERPRINT_BODY: usize = 64 << 10;

/// Identifies equal requests of a tenant.
///
/// The tenant's hash is kept apart: a tenant that constructs hash collisions can only hit itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of method, path with query, and body.
    pub request: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a request with its whole body.
    pub fn new(tenant: &str, method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        // Lengths keep the parts apart.
        for part in [method.as_bytes(), path_and_query.as_bytes()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&(body.len() as u64).to_le_bytes());
        hash.update(&body[..body.len().min(FINGERPRINT_BODY)]);
        Fingerprint { tenant: xxh3_64(tenant.as_bytes()), request: hash.digest() }
    }
}

impl From<Fingerprint> for u128 {
    fn from(fingerprint: Fingerprint) -> u128 {
        u128::from(fingerprint.tenant) << 64 | u128::from(fingerprint.request)
    }
}

impl From<u128> for Fingerprint {
    fn from(bits: u128) -> Self {
        Fingerprint { tenant: (bits >> 64) as u64, request: bits as u64 }
    }
}

/// One broken connection, as sent to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Strike {
    /// The host that saw it; with `seq` it identifies the strike.
    pub origin: Arc<str>,
    /// Number of the strike at its origin.
    pub seq: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that broke.
    pub target: Arc<str>,
}

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// Strikes within this time add up.
    pub window: Duration,
    /// Breaks of targets within this time are judged together.
    pub burst: Duration,
    /// Length of the first block; doubles with each further strike.
    pub block: Duration,
    /// Longest block.
    pub max_block: Duration,
    /// How long a fingerprint is remembered after its block ended.
    pub memory: Duration,
    /// Most fingerprints that are remembered.
    pub max_entries: usize,
    /// Most recent strikes that are judged together.
    pub max_recent: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        QuarantineOptions {
            window: Duration::from_secs(60),
            burst: Duration::from_secs(1),
            block: Duration::from_secs(60),
            max_block: Duration::from_secs(600),
            memory: Duration::from_secs(600),
            max_entries: 4_096,
            max_recent: 1_024,
        }
    }
}

/// Most targets that are remembered per fingerprint; two are enough for a block.
const MAX_TARGETS: usize = 4;

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// Targets that broke within the window, each with its last strike.
    strikes: Vec<(Arc<str>, Time)>,
    /// End of the present or last block.
    blocked_until: Option<Time>,
    /// Strikes since the first block, which give the length of the next one.
    level: u32,
    touched: Time,
}

#[derive(Clone, Debug)]
struct Recent {
    at: Time,
    origin: Arc<str>,
    seq: u64,
    fingerprint: Fingerprint,
    target: Arc<str>,
}

/// Knows which fingerprints are blocked. Its memory is bounded by its options.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    /// Name of this host.
    name: Arc<str>,
    seq: u64,
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// Strikes of the last `burst`, oldest first.
    recent: VecDeque<Recent>,
}

impl Quarantine {
    /// Returns an empty quarantine. `name` identifies this process, restarts included.
    pub fn new(name: Arc<str>, options: QuarantineOptions) -> Self {
        Quarantine { options, name, seq: 0, entries: Vec::new(), recent: VecDeque::new() }
    }

    /// Returns whether requests with the fingerprint are blocked.
    pub fn is_blocked(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.entry(fingerprint).is_some_and(|e| e.blocked_until.is_some_and(|until| now < until))
    }

    /// Records a strike seen here and returns it for the peers.
    pub fn strike(&mut self, now: Time, fingerprint: Fingerprint, target: &Arc<str>) -> Strike {
        self.seq += 1;
        let strike = Strike {
            origin: self.name.clone(),
            seq: self.seq,
            fingerprint,
            target: target.clone(),
        };
        self.merge(now, &strike);
        strike
    }

    /// Records a strike, of this host or of a peer. Merging a strike again changes nothing.
    pub fn merge(&mut self, now: Time, strike: &Strike) {
        while self.recent.front().is_some_and(|r| now.since(r.at) > self.options.burst) {
            self.recent.pop_front();
        }
        if self.recent.iter().any(|r| r.seq == strike.seq && r.origin == strike.origin) {
            return;
        }
        if self.recent.len() >= self.options.max_recent {
            self.recent.pop_front();
        }
        self.recent.push_back(Recent {
            at: now,
            origin: strike.origin.clone(),
            seq: strike.seq,
            fingerprint: strike.fingerprint,
            target: strike.target.clone(),
        });
        self.add(now, strike.fingerprint, &strike.target);
        self.judge(now);
    }

    /// Records that a target answered a request with the fingerprint, which clears its strikes:
    /// the request does not crash each target that runs it. A block stays.
    pub fn answered(&mut self, now: Time, fingerprint: Fingerprint) {
        if let Ok(i) = self.find(fingerprint) {
            let entry = &mut self.entries[i];
            if entry.blocked_until.is_none_or(|until| until <= now) {
                self.entries.remove(i);
            }
        }
    }

    /// Returns the number of remembered fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the fingerprints that are blocked, with the end of their blocks.
    pub fn blocked(&self, now: Time) -> Vec<(Fingerprint, Time)> {
        let blocked = |e: &Entry| e.blocked_until.filter(|u| now < *u).map(|u| (e.fingerprint, u));
        self.entries.iter().filter_map(blocked).collect()
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |e| e.fingerprint)
    }

    fn entry(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.find(fingerprint).ok().map(|i| &self.entries[i])
    }

    fn add(&mut self, now: Time, fingerprint: Fingerprint, target: &Arc<str>) {
        let options = self.options;
        let i = match self.find(fingerprint) {
            Ok(i) => i,
            Err(_) => {
                self.make_room(now);
                let i = self.find(fingerprint).unwrap_or_else(|i| i);
                let entry = Entry {
                    fingerprint,
                    strikes: Vec::new(),
                    blocked_until: None,
                    level: 0,
                    touched: now,
                };
                self.entries.insert(i, entry);
                i
            }
        };
        let entry = &mut self.entries[i];
        entry.touched = now;
        entry.strikes.retain(|(_, at)| now.since(*at) <= options.window);
        entry.strikes.retain(|(t, _)| t != target);
        if entry.strikes.len() == MAX_TARGETS {
            entry.strikes.remove(0);
        }
        entry.strikes.push((target.clone(), now));
        // After a block, one strike is enough for the next.
        if entry.strikes.len() >= 2 || entry.blocked_until.is_some() {
            let length = options.block * 2u32.saturating_pow(entry.level.min(16));
            let until = now + length.min(options.max_block);
            entry.blocked_until = Some(entry.blocked_until.map_or(until, |old| old.max(until)));
            entry.level += 1;
        }
    }

    /// Retracts the recent strikes that the targets themselves explain better.
    fn judge(&mut self, _now: Time) {
        let mut broken: Vec<Arc<str>> = self.recent.iter().map(|r| r.target.clone()).collect();
        broken.sort_unstable();
        broken.dedup();
        if broken.len() < 2 {
            return;
        }
        let suspects = self.suspects(broken.len());
        let cleared: Vec<Fingerprint> =
            self.recent.iter().map(|r| r.fingerprint).filter(|f| !suspects.contains(f)).collect();
        for fingerprint in cleared {
            self.retract(fingerprint);
        }
    }

    /// Returns the fingerprints that explain all breaks of the recent time: each broke at least
    /// two targets, and at most half as many fingerprints as targets are needed. Empty if there
    /// are none.
    fn suspects(&self, broken: usize) -> Vec<Fingerprint> {
        let mut by_fingerprint: Vec<(Fingerprint, Arc<str>)> =
            self.recent.iter().map(|r| (r.fingerprint, r.target.clone())).collect();
        by_fingerprint.sort_unstable();
        by_fingerprint.dedup();
        let mut groups: Vec<&[(Fingerprint, Arc<str>)]> =
            by_fingerprint.chunk_by(|a, b| a.0 == b.0).filter(|g| g.len() >= 2).collect();
        groups.sort_by_key(|g| std::cmp::Reverse(g.len()));
        let mut covered: Vec<&Arc<str>> = Vec::new();
        let mut used = 0;
        for group in &groups {
            let before = covered.len();
            covered.extend(group.iter().map(|(_, t)| t));
            covered.sort_unstable();
            covered.dedup();
            used += usize::from(covered.len() > before);
        }
        if covered.len() == broken && used * 2 <= broken {
            groups.iter().map(|g| g[0].0).collect()
        } else {
            Vec::new()
        }
    }

    fn retract(&mut self, fingerprint: Fingerprint) {
        let recent: Vec<&Arc<str>> = self
            .recent
            .iter()
            .filter(|r| r.fingerprint == fingerprint)
            .map(|r| &r.target)
            .collect();
        if let Ok(i) = self.entries.binary_search_by_key(&fingerprint, |e| e.fingerprint) {
            let entry = &mut self.entries[i];
            entry.strikes.retain(|(t, _)| !recent.contains(&t));
            if entry.strikes.is_empty() {
                self.entries.remove(i);
            }
        }
    }

    /// Makes room for one entry.
    fn make_room(&mut self, now: Time) {
        if self.entries.len() < self.options.max_entries {
            return;
        }
        let options = self.options;
        self.entries.retain(|e| match e.blocked_until {
            Some(until) => now < until + options.memory,
            None => now.since(e.touched) <= options.window,
        });
        // Entries that never led to a block go first, the oldest of them before the others.
        if self.entries.len() >= options.max_entries {
            let oldest = (0..self.entries.len())
                .min_by_key(|i| (self.entries[*i].blocked_until, self.entries[*i].touched));
            if let Some(i) = oldest {
                self.entries.remove(i);
            }
        }
    }
}
