//! Requests that crash the targets that run them.
//!
//! A strike is a connection that broke before an answer. Two strikes from different targets block
//! a request's fingerprint for a while. When several targets break at the same time and no request
//! explains it, the targets are the cause and the strikes of that time are retracted. An answer
//! clears the strikes of its fingerprint, so that frequent requests aren't blocked because they
//! were on several targets that broke.

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
pub struct CrashReport {
    /// The host that saw it; with `seq` it identifies the strike.
    pub origin: Arc<str>,
    /// Number of the strike at its origin.
    pub seq: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that broke.
    pub target: Arc<str>,
}

/// A block in force, as sent to a peer that starts or resumes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time until the block ends, in milliseconds.
    pub remaining_ms: u32,
    /// Strikes since the first block, which give the length of the next one.
    pub level: u32,
}

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// Strikes within this time add up.
    pub window: Duration,
    /// Breaks of targets within this time are judged together.
    pub burst: Duration,
    /// How long strikes must stay excused before the block that they led to is lifted. Covers
    /// strikes that are sent again: with 50 ms and a fifth of the messages lost, 2 of 100 seeds
    /// exceeded the bound on targets.
    pub settle: Duration,
    /// Length of the first block; doubles with each further strike.
    pub block: Duration,
    /// Longest block.
    pub max_block: Duration,
    /// How long a fingerprint is remembered after its block ended.
    pub memory: Duration,
    /// Most blocked fingerprints that are remembered.
    pub max_entries: usize,
    /// Most strikes that are remembered.
    pub max_recent: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        QuarantineOptions {
            window: Duration::from_secs(60),
            burst: Duration::from_secs(1),
            settle: Duration::from_millis(300),
            block: Duration::from_secs(60),
            max_block: Duration::from_secs(600),
            memory: Duration::from_secs(600),
            max_entries: 4_096,
            max_recent: 1_024,
        }
    }
}

/// A fingerprint that was blocked.
#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// Start of the first block.
    first_block: Time,
    /// End of the present or last block.
    blocked_until: Time,
    /// Strikes since the first block, which give the length of the next one.
    level: u32,
    /// Since when the strikes that led to the block are excused.
    excused_since: Option<Time>,
}

impl Entry {
    /// Strikes of one break arrive in any order, and a request that broke several targets looks
    /// innocent while its strike for the last of them is on its way.
    fn is_lifted(&self, now: Time, settle: Duration) -> bool {
        self.excused_since.is_some_and(|since| now >= since + settle)
    }
}

#[derive(Clone, Debug)]
struct Recent {
    at: Time,
    crash_report: CrashReport,
    /// Whether the targets or another request explain the break. Judged anew with each strike of
    /// the same burst, since strikes arrive in any order.
    excused: bool,
    /// Whether a target answered the same request later.
    cleared: bool,
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
    /// Strikes of the last `window`, oldest first.
    recent: VecDeque<Recent>,
}

impl Quarantine {
    /// Returns an empty quarantine. `name` identifies this process, restarts included.
    pub fn new(name: Arc<str>, options: QuarantineOptions) -> Self {
        Quarantine { options, name, seq: 0, entries: Vec::new(), recent: VecDeque::new() }
    }

    /// Returns whether requests with the fingerprint are blocked.
    pub fn is_blocked(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|i| self.blocks(now, &self.entries[i]))
    }

    /// Records a strike seen here and returns it for the peers.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: &Arc<str>,
    ) -> CrashReport {
        self.seq += 1;
        let crash_report = CrashReport {
            origin: self.name.clone(),
            seq: self.seq,
            fingerprint,
            target: target.clone(),
        };
        self.merge(now, &crash_report);
        crash_report
    }

    /// Records a strike, of this host or of a peer. Merging a strike again changes nothing.
    pub fn merge(&mut self, now: Time, crash_report: &CrashReport) {
        self.expire(now);
        let known = |r: &Recent| {
            r.crash_report.seq == crash_report.seq && r.crash_report.origin == crash_report.origin
        };
        if self.recent.iter().any(known) {
            return;
        }
        if self.recent.len() >= self.options.max_recent {
            self.recent.pop_front();
        }
        let crash_report = crash_report.clone();
        let fingerprint = crash_report.fingerprint;
        self.recent.push_back(Recent { at: now, crash_report, excused: false, cleared: false });
        self.judge(now, fingerprint);
        self.update(now, fingerprint, true);
    }

    /// Records that a target's handler answered a request with the fingerprint (outcome `Served`,
    /// not a refusal). This clears its strikes and its block, since the request does not crash
    /// each target that runs it.
    ///
    /// Returns whether there was anything to clear. The peers are then told, and call this as well.
    pub fn record_answer(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.expire(now);
        let mut cleared = false;
        for recent in &mut self.recent {
            if recent.crash_report.fingerprint == fingerprint && !recent.cleared {
                recent.cleared = true;
                cleared = true;
            }
        }
        if let Ok(i) = self.find(fingerprint) {
            self.entries.remove(i);
            cleared = true;
        }
        cleared
    }

    /// Returns the blocks in force for a peer that starts or resumes.
    pub fn snapshot(&self, now: Time) -> Vec<Block> {
        let blocked = self.entries.iter().filter(|e| self.blocks(now, e));
        blocked
            .map(|e| Block {
                fingerprint: e.fingerprint,
                remaining_ms: e.blocked_until.since(now).as_millis() as u32,
                level: e.level,
            })
            .collect()
    }

    /// Takes in the blocks in force at a peer. A block known here is only extended.
    pub fn merge_snapshot(&mut self, now: Time, blocks: &[Block]) {
        for block in blocks.iter().take(self.options.max_entries) {
            let remaining = Duration::from_millis(u64::from(block.remaining_ms));
            let until = now + remaining.min(self.options.max_block);
            let i = match self.find(block.fingerprint) {
                Ok(i) => i,
                Err(_) => self.insert(now, block.fingerprint, until),
            };
            let entry = &mut self.entries[i];
            entry.blocked_until = entry.blocked_until.max(until);
            entry.level = entry.level.max(block.level);
        }
    }

    /// Returns the number of fingerprints that are or were blocked and are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of remembered strikes.
    pub fn crash_reports(&self) -> usize {
        self.recent.len()
    }

    /// Returns whether no fingerprint and no strike is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.recent.is_empty()
    }

    /// Returns the fingerprints that are blocked, with the end of their blocks.
    pub fn blocked(&self, now: Time) -> Vec<(Fingerprint, Time)> {
        let blocked = self.entries.iter().filter(|e| self.blocks(now, e));
        blocked.map(|e| (e.fingerprint, e.blocked_until)).collect()
    }

    fn expire(&mut self, now: Time) {
        while self.recent.front().is_some_and(|r| now.since(r.at) > self.options.window) {
            self.recent.pop_front();
        }
    }

    fn blocks(&self, now: Time, entry: &Entry) -> bool {
        now < entry.blocked_until && !entry.is_lifted(now, self.options.settle)
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |e| e.fingerprint)
    }

    /// Decides which strikes of the last `burst` the targets or another request explain better, and
    /// updates the blocks of the fingerprints among them but `latest`.
    fn judge(&mut self, now: Time, latest: Fingerprint) {
        let burst = self.options.burst;
        let start = self.recent.partition_point(|r| now.since(r.at) > burst);
        let mut breaks: Vec<(Fingerprint, Arc<str>)> = self
            .recent
            .range(start..)
            .map(|r| (r.crash_report.fingerprint, r.crash_report.target.clone()))
            .collect();
        breaks.sort_unstable();
        breaks.dedup();
        if distinct_targets(&breaks) < 2 {
            return;
        }
        let suspects = self.suspects(now, &breaks);
        for recent in self.recent.range_mut(start..) {
            recent.excused = !suspects.contains(&recent.crash_report.fingerprint);
        }
        for group in breaks.chunk_by(|a, b| a.0 == b.0).filter(|g| g[0].0 != latest) {
            self.update(now, group[0].0, false);
        }
    }

    /// Blocks or unblocks a fingerprint by its strikes.
    fn update(&mut self, now: Time, fingerprint: Fingerprint, new_strike: bool) {
        let options = self.options;
        let counts =
            |r: &&Recent| r.crash_report.fingerprint == fingerprint && !r.excused && !r.cleared;
        let mut targets: Vec<&str> =
            self.recent.iter().filter(counts).map(|r| &*r.crash_report.target).collect();
        targets.sort_unstable();
        targets.dedup();
        let guilty = targets.len() >= 2;
        if let Ok(i) = self.find(fingerprint)
            && (now >= self.entries[i].blocked_until + options.memory
                || self.entries[i].is_lifted(now, options.settle))
        {
            self.entries.remove(i);
        }
        match self.find(fingerprint) {
            Ok(i) if !guilty && !self.is_known(now, fingerprint) => {
                self.entries[i].excused_since.get_or_insert(now);
            }
            // After the first block, one strike is enough for the next.
            Ok(i) if new_strike => {
                let entry = &mut self.entries[i];
                entry.excused_since = None;
                entry.level += 1;
                let length = options.block * 2u32.saturating_pow(entry.level.min(16));
                let until = now + length.min(options.max_block);
                entry.blocked_until = entry.blocked_until.max(until);
            }
            Ok(i) => self.entries[i].excused_since = None,
            Err(_) if guilty => {
                self.insert(now, fingerprint, now + options.block);
            }
            _ => {}
        }
    }

    /// Returns the fingerprints that explain the breaks of a burst, or none if the targets are the
    /// cause.
    ///
    /// A request that crashes targets also breaks the other requests on them, so different
    /// fingerprints alone prove nothing. Requests explain the breaks if few of them (at most one
    /// for two targets) were on at least three quarters of the broken targets.
    fn suspects(&self, now: Time, breaks: &[(Fingerprint, Arc<str>)]) -> Vec<Fingerprint> {
        let mut groups: Vec<&[(Fingerprint, Arc<str>)]> = breaks
            .chunk_by(|a, b| a.0 == b.0)
            .filter(|g| g.len() >= 2 || self.is_known(now, g[0].0))
            .collect();
        groups.sort_by_key(|g| std::cmp::Reverse(g.len()));
        let mut suspects = Vec::new();
        let mut covered: Vec<&Arc<str>> = Vec::new();
        let mut needed = 0;
        for group in &groups {
            let before = covered.len();
            covered.extend(group.iter().map(|(_, target)| target));
            covered.sort_unstable();
            covered.dedup();
            let adds = covered.len() > before;
            let known = self.is_known(now, group[0].0);
            needed += usize::from(adds && !known);
            // Requests that were on the same targets can't be told apart.
            if adds || known || group.len() == groups[0].len() {
                suspects.push(group[0].0);
            }
        }
        let unexplained = distinct_targets(breaks) - covered.len();
        let explains = covered.len() >= 3 * unexplained;
        if needed * 2 <= covered.len() && explains {
            suspects
        } else {
            suspects.into_iter().filter(|f| self.is_known(now, *f)).collect()
        }
    }

    /// Returns whether the fingerprint was blocked before the present burst.
    fn is_known(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|i| {
            let entry = &self.entries[i];
            entry.excused_since.is_none() && now.since(entry.first_block) > self.options.burst
        })
    }

    /// Inserts an entry for an unknown fingerprint and returns its position.
    fn insert(&mut self, now: Time, fingerprint: Fingerprint, blocked_until: Time) -> usize {
        self.make_room(now);
        let i = self.find(fingerprint).unwrap_or_else(|i| i);
        let entry =
            Entry { fingerprint, first_block: now, blocked_until, level: 0, excused_since: None };
        self.entries.insert(i, entry);
        i
    }

    /// Makes room for one entry: forgets old blocks, or else the one that ends first.
    fn make_room(&mut self, now: Time) {
        let options = self.options;
        if self.entries.len() < options.max_entries {
            return;
        }
        self.entries.retain(|e| now < e.blocked_until + options.memory);
        if self.entries.len() >= options.max_entries
            && let Some(first) =
                (0..self.entries.len()).min_by_key(|i| self.entries[*i].blocked_until)
        {
            self.entries.remove(first);
        }
    }
}

fn distinct_targets(breaks: &[(Fingerprint, Arc<str>)]) -> usize {
    let mut targets: Vec<&Arc<str>> = breaks.iter().map(|(_, target)| target).collect();
    targets.sort_unstable();
    targets.dedup();
    targets.len()
}
