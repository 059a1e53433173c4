//! Quarantine of requests that crash the targets that run them.
//!
//! Start with [`Quarantine`]. A crash report says that the connection to a target broke before the
//! target answered a request. The following rules decide which requests are blocked:
//!
//! - Crash reports of two different targets block a request's [`Fingerprint`] for a limited time.
//! - When several targets crash at about the same time, their crash reports are evaluated together.
//!   If no small set of requests was on most of these targets, the targets themselves are the cause
//!   and the reports are dismissed.
//! - A response to a request voids its crash reports, so that a frequent request isn't blocked only
//!   because it was on several targets that crashed.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Maximum length of the prefix of a body that is hashed into the fingerprint, in bytes.
pub const FINGERPRINT_BODY_LEN: usize = 64 << 10;

/// Identifies equal requests of a tenant.
///
/// The tenant's hash is separate, so that a tenant that constructs hash collisions can only affect
/// its own requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of method, path with query, and body.
    pub request: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a request. `body` is the whole body, whose length is hashed as
    /// well.
    pub fn new(tenant: &str, method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        // Each part is preceded by its length, so that the concatenation is unambiguous.
        for part in [method.as_bytes(), path_and_query.as_bytes()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&(body.len() as u64).to_le_bytes());
        hash.update(&body[..body.len().min(FINGERPRINT_BODY_LEN)]);
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

/// Report that a target's connection broke while the target ran a request. Sent to the peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The process that observed the crash. Identifies the report together with `seq`.
    pub origin: Arc<str>,
    /// Sequence number of the report at its origin.
    pub seq: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that crashed.
    pub target: Arc<str>,
}

/// An active block of a request, as sent to a peer that starts or resumes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time until the block ends, in milliseconds.
    pub remaining_ms: u32,
    /// Number of crash reports since the first block, which determines the length of the next one.
    pub level: u32,
}

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// Time for which a crash report counts.
    pub report_window: Duration,
    /// Crashes of targets within this time are evaluated together.
    pub burst_window: Duration,
    /// Time for which crash reports must stay dismissed before the block that they caused is
    /// lifted. It must cover the retransmission of lost reports: with 50 ms and 20% message loss,
    /// 2 of 100 seeds exceeded the bound on crashed targets.
    pub lift_delay: Duration,
    /// Duration of the first block. It doubles with each further crash report.
    pub block_time: Duration,
    /// Maximum duration of a block.
    pub max_block_time: Duration,
    /// Time for which a fingerprint is kept after its block ended. A crash report within this time
    /// blocks it again for longer.
    pub retention: Duration,
    /// Maximum number of fingerprints that are or were blocked.
    pub max_entries: usize,
    /// Maximum number of stored crash reports.
    pub max_reports: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        QuarantineOptions {
            report_window: Duration::from_secs(60),
            burst_window: Duration::from_secs(1),
            lift_delay: Duration::from_millis(300),
            block_time: Duration::from_secs(60),
            max_block_time: Duration::from_secs(600),
            retention: Duration::from_secs(600),
            max_entries: 4_096,
            max_reports: 1_024,
        }
    }
}

/// A fingerprint that is or was blocked.
#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// Start of the first block.
    first_block: Time,
    /// End of the current or last block.
    blocked_until: Time,
    /// Number of crash reports since the first block, which determines the length of the next one.
    level: u32,
    /// Since when the crash reports that caused the block are dismissed.
    dismissed_since: Option<Time>,
}

impl Entry {
    /// Returns whether the block is lifted before its end.
    ///
    /// This requires that the crash reports were dismissed for `lift_delay`. The reports of one
    /// crash arrive in any order, and a request that crashed several targets can't be distinguished
    /// from the others until its report for the last of them has arrived.
    fn is_lifted(&self, now: Time, lift_delay: Duration) -> bool {
        self.dismissed_since.is_some_and(|since| now >= since + lift_delay)
    }
}

/// A crash report of this host or a peer.
#[derive(Clone, Debug)]
struct StoredReport {
    /// When the report was recorded on this host.
    at: Time,
    report: CrashReport,
    /// Whether the crash is attributed to the target or to another request. Decided again with each
    /// report of the same burst, since reports arrive in any order.
    dismissed: bool,
    /// Whether a target answered the same request later.
    answered: bool,
}

/// The blocked fingerprints and the crash reports that lead to blocks. Its size is bounded by
/// [`QuarantineOptions`].
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    /// Name of this process, used as the origin of its crash reports.
    name: Arc<str>,
    /// Sequence number of the last crash report of this process.
    seq: u64,
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// Crash reports of the last `report_window`, oldest first.
    reports: VecDeque<StoredReport>,
}

impl Quarantine {
    /// Returns an empty quarantine. `name` identifies this process and must change with each
    /// restart, since the sequence numbers start again.
    pub fn new(name: Arc<str>, options: QuarantineOptions) -> Self {
        Quarantine { options, name, seq: 0, entries: Vec::new(), reports: VecDeque::new() }
    }

    /// Returns whether requests with the fingerprint are blocked.
    pub fn is_blocked(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|i| self.blocks(now, &self.entries[i]))
    }

    /// Records a crash that this host observed and returns the report for the peers.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: &Arc<str>,
    ) -> CrashReport {
        self.seq += 1;
        let report = CrashReport {
            origin: self.name.clone(),
            seq: self.seq,
            fingerprint,
            target: target.clone(),
        };
        self.merge(now, &report);
        report
    }

    /// Records a crash report of this host or a peer. A report that was merged before is ignored.
    pub fn merge(&mut self, now: Time, report: &CrashReport) {
        self.expire(now);
        let is_duplicate =
            |r: &StoredReport| r.report.seq == report.seq && r.report.origin == report.origin;
        if self.reports.iter().any(is_duplicate) {
            return;
        }
        if self.reports.len() >= self.options.max_reports {
            self.reports.pop_front();
        }
        let report = report.clone();
        let fingerprint = report.fingerprint;
        self.reports.push_back(StoredReport { at: now, report, dismissed: false, answered: false });
        self.attribute_crashes(now, fingerprint);
        self.update_block(now, fingerprint, true);
    }

    /// Records that a target's handler answered a request with the fingerprint (outcome `Served`,
    /// not a refusal). This voids its crash reports and lifts its block, since the request doesn't
    /// crash every target that runs it.
    ///
    /// Returns whether there was a report or a block. If so, the daemon notifies the peers, which
    /// then call this method as well.
    pub fn record_answer(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.expire(now);
        let mut changed = false;
        for stored in &mut self.reports {
            if stored.report.fingerprint == fingerprint && !stored.answered {
                stored.answered = true;
                changed = true;
            }
        }
        if let Ok(i) = self.find(fingerprint) {
            self.entries.remove(i);
            changed = true;
        }
        changed
    }

    /// Returns the active blocks, for a peer that starts or resumes.
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

    /// Merges the active blocks of a peer. An existing block may be extended but not shortened.
    pub fn merge_snapshot(&mut self, now: Time, blocks: &[Block]) {
        for block in blocks.iter().take(self.options.max_entries) {
            let remaining = Duration::from_millis(u64::from(block.remaining_ms));
            let until = now + remaining.min(self.options.max_block_time);
            let i = match self.find(block.fingerprint) {
                Ok(i) => i,
                Err(_) => self.insert(now, block.fingerprint, until),
            };
            let entry = &mut self.entries[i];
            entry.blocked_until = entry.blocked_until.max(until);
            entry.level = entry.level.max(block.level);
        }
    }

    /// Returns the number of stored fingerprints, which are or were blocked.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of stored crash reports.
    pub fn crash_reports(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether neither fingerprints nor crash reports are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.reports.is_empty()
    }

    /// Returns the blocked fingerprints, each with the end of its block.
    pub fn blocked(&self, now: Time) -> Vec<(Fingerprint, Time)> {
        let blocked = self.entries.iter().filter(|e| self.blocks(now, e));
        blocked.map(|e| (e.fingerprint, e.blocked_until)).collect()
    }

    /// Removes the crash reports that are older than the window.
    fn expire(&mut self, now: Time) {
        while self.reports.front().is_some_and(|r| now.since(r.at) > self.options.report_window) {
            self.reports.pop_front();
        }
    }

    /// Returns whether an entry is an active block.
    fn blocks(&self, now: Time, entry: &Entry) -> bool {
        now < entry.blocked_until && !entry.is_lifted(now, self.options.lift_delay)
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |e| e.fingerprint)
    }

    /// Decides which crash reports of the last `burst_window` are dismissed, since the targets or
    /// other requests are the likely cause. Updates the blocks of the fingerprints of the burst
    /// except `latest`, which the caller updates.
    fn attribute_crashes(&mut self, now: Time, latest: Fingerprint) {
        let burst_window = self.options.burst_window;
        let start = self.reports.partition_point(|r| now.since(r.at) > burst_window);
        let mut crashes: Vec<(Fingerprint, Arc<str>)> = self
            .reports
            .range(start..)
            .map(|r| (r.report.fingerprint, r.report.target.clone()))
            .collect();
        crashes.sort_unstable();
        crashes.dedup();
        if distinct_targets(&crashes) < 2 {
            return;
        }
        let likely_causes = self.likely_causes(now, &crashes);
        for stored in self.reports.range_mut(start..) {
            stored.dismissed = !likely_causes.contains(&stored.report.fingerprint);
        }
        for group in crashes.chunk_by(|a, b| a.0 == b.0).filter(|g| g[0].0 != latest) {
            self.update_block(now, group[0].0, false);
        }
    }

    /// Starts, extends or begins to lift the block of a fingerprint, depending on its crash
    /// reports.
    fn update_block(&mut self, now: Time, fingerprint: Fingerprint, new_report: bool) {
        let options = self.options;
        let counts =
            |r: &&StoredReport| r.report.fingerprint == fingerprint && !r.dismissed && !r.answered;
        let mut targets: Vec<&str> =
            self.reports.iter().filter(counts).map(|r| &*r.report.target).collect();
        targets.sort_unstable();
        targets.dedup();
        let reported_by_two_targets = targets.len() >= 2;
        if let Ok(i) = self.find(fingerprint)
            && (now >= self.entries[i].blocked_until + options.retention
                || self.entries[i].is_lifted(now, options.lift_delay))
        {
            self.entries.remove(i);
        }
        match self.find(fingerprint) {
            Ok(i) if !reported_by_two_targets && !self.was_blocked(now, fingerprint) => {
                self.entries[i].dismissed_since.get_or_insert(now);
            }
            // After the first block, one crash report is enough for the next.
            Ok(i) if new_report => {
                let entry = &mut self.entries[i];
                entry.dismissed_since = None;
                entry.level += 1;
                let length = options.block_time * 2u32.saturating_pow(entry.level.min(16));
                let until = now + length.min(options.max_block_time);
                entry.blocked_until = entry.blocked_until.max(until);
            }
            Ok(i) => self.entries[i].dismissed_since = None,
            Err(_) if reported_by_two_targets => {
                self.insert(now, fingerprint, now + options.block_time);
            }
            _ => {}
        }
    }

    /// Returns the fingerprints that are the likely cause of the crashes of a burst. If the targets
    /// are the likely cause, these are only the fingerprints that were blocked before.
    ///
    /// A request that crashes a target also breaks the connections of the other requests there, so
    /// reports of several fingerprints alone prove nothing. Requests are the likely cause if few of
    /// them (at most one for two targets) were on at least three quarters of the crashed targets.
    ///
    /// `crashes` is sorted and has no duplicates.
    fn likely_causes(&self, now: Time, crashes: &[(Fingerprint, Arc<str>)]) -> Vec<Fingerprint> {
        let mut groups: Vec<&[(Fingerprint, Arc<str>)]> = crashes
            .chunk_by(|a, b| a.0 == b.0)
            .filter(|g| g.len() >= 2 || self.was_blocked(now, g[0].0))
            .collect();
        groups.sort_by_key(|g| std::cmp::Reverse(g.len()));
        let mut likely_causes = Vec::new();
        let mut covered: Vec<&Arc<str>> = Vec::new();
        let mut new_causes = 0;
        for group in &groups {
            let before = covered.len();
            covered.extend(group.iter().map(|(_, target)| target));
            covered.sort_unstable();
            covered.dedup();
            let adds = covered.len() > before;
            let blocked_before = self.was_blocked(now, group[0].0);
            new_causes += usize::from(adds && !blocked_before);
            // Requests that were on the same targets can't be distinguished.
            if adds || blocked_before || group.len() == groups[0].len() {
                likely_causes.push(group[0].0);
            }
        }
        let unexplained = distinct_targets(crashes) - covered.len();
        let explains = covered.len() >= 3 * unexplained;
        if new_causes * 2 <= covered.len() && explains {
            likely_causes
        } else {
            likely_causes.into_iter().filter(|f| self.was_blocked(now, *f)).collect()
        }
    }

    /// Returns whether the fingerprint was blocked before the current burst.
    fn was_blocked(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|i| {
            let entry = &self.entries[i];
            entry.dismissed_since.is_none()
                && now.since(entry.first_block) > self.options.burst_window
        })
    }

    /// Inserts an entry for a fingerprint that has none and returns its index.
    fn insert(&mut self, now: Time, fingerprint: Fingerprint, blocked_until: Time) -> usize {
        self.evict_if_full(now);
        let i = self.find(fingerprint).unwrap_or_else(|i| i);
        let entry =
            Entry { fingerprint, first_block: now, blocked_until, level: 0, dismissed_since: None };
        self.entries.insert(i, entry);
        i
    }

    /// Evicts entries if the maximum is reached: those whose retention is over or, if there are
    /// none, the one whose block ends first.
    fn evict_if_full(&mut self, now: Time) {
        let options = self.options;
        if self.entries.len() < options.max_entries {
            return;
        }
        self.entries.retain(|e| now < e.blocked_until + options.retention);
        if self.entries.len() >= options.max_entries
            && let Some(first) =
                (0..self.entries.len()).min_by_key(|i| self.entries[*i].blocked_until)
        {
            self.entries.remove(first);
        }
    }
}

/// Returns the number of different targets in `crashes`.
fn distinct_targets(crashes: &[(Fingerprint, Arc<str>)]) -> usize {
    let mut targets: Vec<&Arc<str>> = crashes.iter().map(|(_, target)| target).collect();
    targets.sort_unstable();
    targets.dedup();
    targets.len()
}
