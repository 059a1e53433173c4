//! Estimates of each target's load from information that costs targets nothing.
//!
//! A [`LoadTable`] covers the targets of all pools of a host. It learns from the load report on
//! each response, from the host's own requests in flight, from latency, failures and refusals, from
//! the digests of peers and from the results of paid probes.

use crate::config::{Pool, Target};
pub use crate::digest::{
    DIGEST_ENTRY_LEN, DIGEST_FRAME_LEN, DIGEST_MAX_ENTRIES, DigestEntry, DueDigest, LoadDigest,
};
pub use crate::refusal::Refusal;
use crate::time::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a target of a pool for the lifetime of a [`LoadTable`]. Ids are never reused, so a
/// late answer can't be counted for another target after the pools table changed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub u32);

/// What a target reports about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it is running.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

impl LoadReport {
    /// Parses the value of an `endpoint-load-metrics` header in the ORCA text form.
    ///
    /// Returns `None` if the value has no `named_metrics.in_flight`, which is not an error: the
    /// report may be absent or wrong.
    pub fn parse(value: &str) -> Option<Self> {
        let text = value.trim().strip_prefix("TEXT")?;
        let mut in_flight = None;
        let mut queued = 0;
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let number = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
            match (name.trim(), number) {
                ("named_metrics.in_flight", Some(v)) => in_flight = Some(v as u32),
                ("named_metrics.queued", Some(v)) => queued = v as u32,
                _ => {}
            }
        }
        in_flight.map(|in_flight| LoadReport { in_flight, queued })
    }

    /// Returns all requests at the target, running and waiting.
    pub const fn outstanding(self) -> u32 {
        self.in_flight.saturating_add(self.queued)
    }
}

/// How an attempt at a target ended, as far as load is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The handler answered with a status that is not a failure of the target.
    Answered,
    /// The target failed: the connection broke, the attempt timed out, or the status was 5xx
    /// without the refusal signal.
    Failed,
    /// The target refused the request.
    Refused(Refusal),
    /// The host cancelled the attempt, so its duration says only that no answer came earlier.
    Cancelled,
}

/// Which reports of peers a [`LoadTable`] takes over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerReports {
    /// Reports of much load, and any report of a target of which the host itself knows nothing
    /// recent. If all hosts took over that a target is idle, all would choose it.
    HighLoad,
    /// Every report that is newer than the known one. A baseline for comparison.
    All,
}

/// Settings of a [`LoadTable`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Age at which 0.4 of a report's difference from the pool mean still counts.
    pub report_age: Duration,
    /// Cost of knowing nothing recent about a target, in mean service times.
    pub stale_cost: f32,
    /// Requests at the target for each own request sent after the report. It is above 1, since
    /// other hosts tend to choose the same target.
    pub sent_weight: f32,
    /// Time over which an observed slowness or failure is forgotten.
    pub slowness_age: Duration,
    /// Slowness up to which a target counts as usual, since the times of single requests differ.
    pub usual_slowness: f32,
    /// Slowness that a failed attempt counts as.
    pub failure_slowness: f32,
    /// How long a target that refused as starting is left alone.
    pub starting_pause: Duration,
    /// Which reports of peers are taken over.
    pub peer_reports: PeerReports,
    /// Bytes a second that a host sends in digests to all peers together, frames included. On
    /// average a host receives as much.
    pub digest_bytes_per_s: f64,
    /// Largest number of peers that one digest goes to.
    pub digest_fanout: usize,
    /// Rise of the reported requests over the estimate that is worth a digest.
    pub news_rise: f32,
    /// Excess of the reported requests over the pool mean that is worth a digest.
    pub news_excess: f32,
}

impl Default for LoadOptions {
    fn default() -> Self {
        // The figures behind these values are in docs/decisions/choosing-a-target.md.
        LoadOptions {
            report_age: Duration::from_millis(20),
            stale_cost: 0.2,
            sent_weight: 1.8,
            slowness_age: Duration::from_secs(2),
            usual_slowness: 1.5,
            failure_slowness: 10.0,
            starting_pause: Duration::from_millis(200),
            peer_reports: PeerReports::HighLoad,
            digest_bytes_per_s: 8_000.0,
            digest_fanout: 32,
            news_rise: 3.0,
            news_excess: 4.0,
        }
    }
}

/// Weight of one answer in the slowness. The times of single requests differ by more than a factor
/// of two, so it takes about 20 answers to tell a straggler.
const ANSWER_GAIN: f32 = 0.05;
/// Weight of one failure in the slowness.
const FAILURE_GAIN: f32 = 0.5;
/// Largest ratio that one answer counts as, so that one stuck request does not decide.
const MAX_ANSWER_RATIO: f32 = 4.0;
/// Cancelled attempts in a row that count as a slow target.
const SILENT_AFTER: u8 = 5;
/// Age from which a report no longer counts as recent knowledge about a target.
const QUIET_AGE: Duration = Duration::from_millis(250);
/// Shortest time between two digests in which a host calls the same target slow.
const SLOW_NEWS_EVERY: Duration = Duration::from_millis(500);
/// Slowness from which a target is worth a digest.
const SLOW_NEWS: f32 = 2.5;
/// Service time of a pool before its first answer. Without one, all targets would cost the same,
/// failing ones included.
const ASSUMED_SERVICE_MS: f32 = 10.0;
/// Slowness is sent in units of 1/8.
const SLOWNESS_UNITS: f32 = 8.0;

/// The estimate of one target's load at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected requests at the target, running and waiting.
    pub outstanding: f32,
    /// Expected time from sending a request now to its answer, in ms. Before the first answer of the
    /// pool it rests on an assumed service time.
    pub latency_ms: f32,
}

/// The last known report of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownReport {
    pub(crate) outstanding: f32,
    pub(crate) at: Time,
}

/// What is known about one target.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: TargetId,
    pool: u16,
    /// Position in the order that digests refer to.
    index: u16,
    name: Arc<str>,
    addr: SocketAddr,
    /// Capacity relative to the mean of the pool.
    weight: f32,
    /// When the host's requests in flight were sent, oldest first.
    sent: Vec<Time>,
    pub(crate) known: Option<KnownReport>,
    /// Latency relative to the pool, for the same number of requests at the target.
    slowness: f32,
    slowness_at: Time,
    slow_news_at: Option<Time>,
    /// Mean latency of the last answers.
    pub(crate) latency_ms: f32,
    pub(crate) paused_until: Time,
    /// Attempts since the last answer that the host cancelled.
    unanswered: u8,
    has_pending_digest: bool,
}

impl Entry {
    fn new(id: TargetId, pool: u16, target: &Target) -> Self {
        Entry {
            id,
            pool,
            index: 0,
            name: target.name.clone(),
            addr: target.addr,
            weight: 1.0,
            sent: Vec::new(),
            known: None,
            slowness: 1.0,
            slowness_at: Time::ZERO,
            slow_news_at: None,
            latency_ms: 0.0,
            paused_until: Time::ZERO,
            unanswered: 0,
            has_pending_digest: false,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Returns how many requests in flight were sent after `at`.
    fn sent_after(&self, at: Time) -> usize {
        self.sent.iter().rev().take_while(|t| **t > at).count()
    }

    /// Returns the slowness at `now`; it returns to 1 with the age of the observations.
    fn slowness(&self, now: Time, age: Duration) -> f32 {
        1.0 + (self.slowness - 1.0) * discount(now.since(self.slowness_at), age)
    }
}

/// Running means over the targets of a pool.
#[derive(Clone, Debug)]
struct PoolStats {
    name: Arc<str>,
    slots: f32,
    outstanding: f32,
    /// Mean number of service times that a request takes, waiting included.
    rounds: f32,
    latency_ms: f32,
    service_ms: f32,
    answers: u32,
}

impl PoolStats {
    fn new(pool: &Pool) -> Self {
        PoolStats {
            name: pool.name.clone(),
            slots: pool.slots as f32,
            outstanding: 0.0,
            rounds: 1.0,
            latency_ms: 0.0,
            service_ms: ASSUMED_SERVICE_MS,
            answers: 0,
        }
    }

    /// Returns how many service times a request takes at a target with `outstanding` others.
    ///
    /// A request waits only when all slots are taken. The corner is rounded, since the number is
    /// uncertain and a target with more free slots is less likely to have none.
    fn rounds(&self, outstanding: f32, weight: f32) -> f32 {
        let slots = self.slots * weight;
        let excess = outstanding + 1.0 - slots;
        1.0 + 0.5 * (excess + (excess * excess + 4.0).sqrt()) / slots
    }
}

/// The estimates of the load of all targets.
#[derive(Clone, Debug)]
pub struct LoadTable {
    options: LoadOptions,
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Positions in `entries` in the order of pool and target names: the indexes of digests.
    by_name: Vec<u16>,
    pools: Vec<PoolStats>,
    next_id: u32,
    /// Fingerprint of the names.
    targets_hash: u32,
    /// Positions of entries that are worth a digest.
    news: Vec<u16>,
    /// Bytes that may be sent in digests now.
    allowance: f64,
    allowance_at: Time,
}

impl LoadTable {
    /// Returns a table for the targets of `pools`, about which nothing is known yet.
    pub fn new(pools: &[Pool], options: LoadOptions) -> Self {
        let mut table = LoadTable {
            options,
            entries: Vec::new(),
            by_name: Vec::new(),
            pools: Vec::new(),
            next_id: 0,
            targets_hash: 0,
            news: Vec::new(),
            allowance: 0.0,
            allowance_at: Time::ZERO,
        };
        table.update(pools);
        table
    }

    /// Adopts changed pools. What is known of targets that keep pool, name and address stays, with
    /// their ids.
    pub fn update(&mut self, pools: &[Pool]) {
        let old_pools = std::mem::take(&mut self.pools);
        let mut old = std::mem::take(&mut self.entries);
        self.news.clear();
        for (i, pool) in pools.iter().enumerate() {
            let old_pool = old_pools.iter().position(|p| p.name == pool.name);
            let stats = match old_pool {
                Some(p) => PoolStats { slots: pool.slots as f32, ..old_pools[p].clone() },
                None => PoolStats::new(pool),
            };
            self.pools.push(stats);
            let mean = pool.targets.iter().map(|t| t.weight).sum::<f64>()
                / pool.targets.len().max(1) as f64;
            for target in &pool.targets {
                let kept = old.iter().position(|e| {
                    Some(usize::from(e.pool)) == old_pool
                        && e.name == target.name
                        && e.addr == target.addr
                });
                let mut entry = match kept {
                    Some(k) => old.swap_remove(k),
                    None => {
                        self.next_id += 1;
                        Entry::new(TargetId(self.next_id), 0, target)
                    }
                };
                entry.pool = i as u16;
                entry.weight = (target.weight / mean) as f32;
                entry.has_pending_digest = false;
                self.entries.push(entry);
            }
        }
        self.entries.sort_unstable_by_key(|e| e.id);
        self.index_names();
    }

    /// Rebuilds the order and the fingerprint that digests refer to.
    fn index_names(&mut self) {
        let mut order: Vec<u16> = (0..self.entries.len() as u16).collect();
        order.sort_by_cached_key(|i| {
            let e = &self.entries[usize::from(*i)];
            (self.pools[usize::from(e.pool)].name.clone(), e.name.clone(), e.addr)
        });
        let mut hash = Xxh3::new();
        for (index, i) in order.iter().enumerate() {
            let e = &mut self.entries[usize::from(*i)];
            e.index = index as u16;
            hash.update(self.pools[usize::from(e.pool)].name.as_bytes());
            hash.update(&[0]);
            hash.update(e.name.as_bytes());
            hash.update(&[0]);
            hash.update(e.addr.to_string().as_bytes());
            hash.update(&[0]);
        }
        self.targets_hash = hash.digest() as u32;
        self.by_name = order;
    }

    /// Returns the id of a target by the names of its pool and its own.
    pub fn id(&self, pool: &str, target: &str) -> Option<TargetId> {
        self.entries
            .iter()
            .find(|e| &*e.name == target && &*self.pools[usize::from(e.pool)].name == pool)
            .map(|e| e.id)
    }

    /// Returns the ids of all targets with this address; several pools may name the same target.
    pub fn ids_by_addr(&self, addr: SocketAddr) -> Vec<TargetId> {
        self.entries.iter().filter(|e| e.addr == addr).map(|e| e.id).collect()
    }

    /// Returns the address of a target.
    pub fn addr(&self, id: TargetId) -> Option<SocketAddr> {
        self.position(id).map(|p| self.entries[p].addr)
    }

    /// Returns the name of a target.
    pub fn name(&self, id: TargetId) -> Option<&Arc<str>> {
        self.position(id).map(|p| &self.entries[p].name)
    }

    /// Returns the host's own requests in flight at a target.
    pub fn in_flight(&self, id: TargetId) -> u32 {
        self.position(id).map_or(0, |p| self.entries[p].in_flight() as u32)
    }

    pub(crate) fn position(&self, id: TargetId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }

    pub(crate) fn entry(&self, position: usize) -> &Entry {
        &self.entries[position]
    }

    /// Notes that an attempt is about to be sent to a target.
    pub fn on_sent(&mut self, id: TargetId, now: Time) {
        if let Some(p) = self.position(id) {
            self.entries[p].sent.push(now);
        }
    }

    /// Notes the end of an attempt that was announced with [`LoadTable::on_sent`] at `sent_at`.
    ///
    /// `report` is the load report of the response, if it had one.
    pub fn on_end(
        &mut self,
        id: TargetId,
        sent_at: Time,
        end: AttemptEnd,
        report: Option<LoadReport>,
        now: Time,
    ) {
        let Some(p) = self.position(id) else { return };
        let e = &mut self.entries[p];
        if let Some(i) = e.sent.iter().position(|t| *t == sent_at) {
            e.sent.remove(i);
        }
        let latency_ms = now.since(sent_at).as_secs_f32() * 1e3;
        match end {
            AttemptEnd::Answered => self.on_answer(p, latency_ms, report, now),
            // The report of a failing target is not used: a target that fails fast looks idle.
            AttemptEnd::Failed => {
                self.learn_slowness(p, self.options.failure_slowness, FAILURE_GAIN, now);
            }
            AttemptEnd::Refused(Refusal::Shed) => {
                let stats = &self.pools[usize::from(self.entries[p].pool)];
                let full = stats.slots * self.entries[p].weight * 2.0;
                let reported = report.map_or(0.0, |r| r.outstanding() as f32);
                self.learn_report(p, reported.max(full), now);
            }
            AttemptEnd::Refused(Refusal::Starting) => {
                self.entries[p].paused_until = now + self.options.starting_pause;
            }
            AttemptEnd::Refused(Refusal::Draining | Refusal::Deadline) => {}
            // A single attempt that was given up late mostly met a short drop of the target's speed.
            // Only a row of them without any answer shows a target that is silent.
            AttemptEnd::Cancelled => {
                let usual = self.pools[usize::from(self.entries[p].pool)].latency_ms;
                let e = &mut self.entries[p];
                if latency_ms > 2.0 * usual {
                    e.unanswered = e.unanswered.saturating_add(1);
                    if e.unanswered >= SILENT_AFTER {
                        self.learn_slowness(p, MAX_ANSWER_RATIO, FAILURE_GAIN, now);
                    }
                }
            }
        }
    }

    fn on_answer(&mut self, p: usize, latency_ms: f32, report: Option<LoadReport>, now: Time) {
        let outstanding = report.map(|r| r.outstanding() as f32);
        let e = &self.entries[p];
        let stats = &mut self.pools[usize::from(e.pool)];
        let rounds = stats.rounds(outstanding.unwrap_or(stats.outstanding * e.weight), e.weight);
        let service_ms = latency_ms / rounds;
        stats.answers = stats.answers.saturating_add(1);
        let gain = (1.0 / stats.answers as f32).max(0.01);
        stats.latency_ms += gain * (latency_ms - stats.latency_ms);
        stats.service_ms += gain * (service_ms - stats.service_ms);
        let ratio = (service_ms / stats.service_ms.max(1e-3)).min(MAX_ANSWER_RATIO);
        let last = &mut self.entries[p].latency_ms;
        *last = if *last > 0.0 { 0.7 * *last + 0.3 * latency_ms } else { latency_ms };
        self.entries[p].unanswered = 0;
        self.learn_slowness(p, ratio, ANSWER_GAIN, now);
        if let Some(outstanding) = outstanding {
            let estimate = self.estimate_at(p, now).outstanding;
            let mean = self.pools[usize::from(self.entries[p].pool)].outstanding;
            if outstanding >= estimate + self.options.news_rise
                && outstanding >= mean + self.options.news_excess
            {
                self.add_news(p);
            }
            self.learn_report(p, outstanding, now);
        }
    }

    /// Notes the result of a paid probe, or `None` if the target did not answer in time.
    ///
    /// The prober and the peers that it sends its results to call this alike. Since all hosts learn
    /// the same result, it counts like the report of a peer.
    pub fn on_probe(&mut self, id: TargetId, report: Option<LoadReport>, now: Time) {
        let Some(p) = self.position(id) else { return };
        match report {
            Some(report) => self.learn_shared(p, report.outstanding() as f32, now, now),
            None => self.learn_slowness(p, self.options.failure_slowness, FAILURE_GAIN, now),
        }
    }

    fn learn_report(&mut self, p: usize, outstanding: f32, at: Time) {
        let e = &mut self.entries[p];
        if e.known.is_some_and(|k| k.at > at) {
            return;
        }
        e.known = Some(KnownReport { outstanding, at });
        let weight = e.weight;
        let stats = &mut self.pools[usize::from(e.pool)];
        let rounds = stats.rounds(outstanding, weight);
        stats.outstanding += 0.02 * (outstanding / weight - stats.outstanding);
        stats.rounds += 0.02 * (rounds - stats.rounds);
    }

    fn learn_slowness(&mut self, p: usize, ratio: f32, gain: f32, now: Time) {
        let e = &mut self.entries[p];
        let old = e.slowness(now, self.options.slowness_age);
        e.slowness = old + gain * (ratio - old);
        e.slowness_at = now;
        let recent = e.slow_news_at.is_some_and(|t| now.since(t) < SLOW_NEWS_EVERY);
        if e.slowness >= SLOW_NEWS && !recent {
            e.slow_news_at = Some(now);
            self.add_news(p);
        }
    }

    /// Returns the estimate of a target's load, or `None` if the target is not in the table.
    pub fn estimate(&self, id: TargetId, now: Time) -> Option<Estimate> {
        self.position(id).map(|p| self.estimate_at(p, now))
    }

    pub(crate) fn estimate_at(&self, p: usize, now: Time) -> Estimate {
        let e = &self.entries[p];
        let stats = &self.pools[usize::from(e.pool)];
        let mut outstanding = stats.outstanding * e.weight;
        let mut rounds = stats.rounds;
        if let Some(known) = e.known {
            let weight = discount(now.since(known.at), self.options.report_age);
            let sent = e.sent_after(known.at) as f32;
            let sent = sent * self.options.sent_weight;
            let there = known.outstanding + sent;
            outstanding += weight * (there - outstanding);
            rounds = weight * stats.rounds(there, e.weight)
                + (1.0 - weight)
                    * (stats.rounds + sent / (stats.slots * e.weight) + self.options.stale_cost);
        }
        let outstanding = outstanding.max(e.in_flight() as f32);
        let mut slowness = self.slowness_cost(e, now);
        // A request that is overdue shows a slow target before any answer does.
        if let Some(oldest) = e.sent.first() {
            let age = now.since(*oldest).as_secs_f32() * 1e3;
            let overdue = age / (2.0 * stats.latency_ms.max(1e-3));
            if stats.latency_ms > 0.0 && overdue > 1.0 {
                slowness = slowness.max(0.5 + 0.5 * overdue);
            }
        }
        Estimate { outstanding, latency_ms: stats.service_ms * rounds * slowness }
    }

    /// Returns the reported requests with age discount, plus the own ones sent since: the load of
    /// the baselines.
    pub(crate) fn reported_at(&self, p: usize, now: Time) -> f32 {
        let e = &self.entries[p];
        let mean = self.pools[usize::from(e.pool)].outstanding * e.weight;
        let Some(known) = e.known else { return mean };
        let sent = e.sent_after(known.at) as f32;
        mean + discount(now.since(known.at), self.options.report_age) * (known.outstanding - mean)
            + sent
    }

    /// Returns the factor on the cost of a target for its slowness: 1 up to the usual one.
    fn slowness_cost(&self, e: &Entry, now: Time) -> f32 {
        let slowness = e.slowness(now, self.options.slowness_age);
        1.0 + (slowness - self.options.usual_slowness).max(0.0)
    }

    fn add_news(&mut self, p: usize) {
        if !self.entries[p].has_pending_digest {
            self.entries[p].has_pending_digest = true;
            self.news.push(p as u16);
        }
    }

    /// Returns whether there is news for peers that no digest has told yet.
    pub fn has_pending_digest(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the digest to send now, if there is news and the byte budget allows it.
    ///
    /// Called after each [`LoadTable::on_end`], or every few milliseconds: the sooner peers hear of
    /// a queue that builds up, the better. What the budget doesn't allow
    /// stays for the next call.
    pub fn poll_digest(&mut self, peers: usize, now: Time) -> Option<DueDigest> {
        if self.news.is_empty() || peers == 0 {
            return None;
        }
        let fanout = peers.min(self.options.digest_fanout);
        let rate = self.options.digest_bytes_per_s;
        // A digest that costs more than half a second's worth would have to wait too long.
        let room = rate / 2.0 / fanout as f64 - DIGEST_FRAME_LEN as f64;
        let room = (room.max(0.0) as usize / DIGEST_ENTRY_LEN).clamp(1, DIGEST_MAX_ENTRIES);
        let count = self.news.len().min(room);
        let cost = (fanout * (DIGEST_FRAME_LEN + count * DIGEST_ENTRY_LEN)) as f64;
        let earned = now.since(self.allowance_at).as_secs_f64() * rate;
        // The allowance holds one second's worth, but at least the digest that is due.
        self.allowance = (self.allowance + earned).min(rate.max(cost));
        self.allowance_at = now;
        if self.allowance < cost {
            return None;
        }
        self.allowance -= cost;
        let news: Vec<u16> = self.news.drain(..count).collect();
        let entries = news.iter().map(|p| self.digest_entry(usize::from(*p), now)).collect();
        for p in news {
            self.entries[usize::from(p)].has_pending_digest = false;
        }
        Some(DueDigest { digest: LoadDigest { targets_hash: self.targets_hash, entries }, fanout })
    }

    /// Returns a digest of all reports of the last 250 ms, at most [`DIGEST_MAX_ENTRIES`].
    ///
    /// It brings a new peer up to date, and is the periodic digest of [`Policy::SharedBest`].
    ///
    /// [`Policy::SharedBest`]: crate::balance::Policy::SharedBest
    pub fn full_digest(&self, now: Time) -> LoadDigest {
        let recent = |e: &Entry| e.known.is_some_and(|k| now.since(k.at) < QUIET_AGE);
        let entries = (0..self.entries.len())
            .filter(|p| recent(&self.entries[*p]))
            .take(DIGEST_MAX_ENTRIES)
            .map(|p| self.digest_entry(p, now))
            .collect();
        LoadDigest { targets_hash: self.targets_hash, entries }
    }

    fn digest_entry(&self, p: usize, now: Time) -> DigestEntry {
        let e = &self.entries[p];
        let age = e.known.map_or(255, |k| now.since(k.at).as_millis().min(255));
        let slowness = e.slowness(now, self.options.slowness_age) * SLOWNESS_UNITS;
        DigestEntry {
            index: e.index,
            outstanding: e.known.map_or(0.0, |k| k.outstanding).min(255.0) as u8,
            age_ms: age as u8,
            slowness: slowness.min(255.0) as u8,
        }
    }

    /// Takes in the digest of a peer. A digest made from other tables is ignored.
    pub fn on_digest(&mut self, digest: &LoadDigest, now: Time) {
        if digest.targets_hash != self.targets_hash {
            return;
        }
        for entry in &digest.entries {
            let Some(p) = self.by_name.get(usize::from(entry.index)) else { continue };
            let p = usize::from(*p);
            self.on_peer_report(p, entry, now);
            let slowness = f32::from(entry.slowness) / SLOWNESS_UNITS;
            let e = &mut self.entries[p];
            let own = e.slowness(now, self.options.slowness_age);
            // A peer may be wrong, for example if its own connection is bad, so its word counts
            // for a part.
            if slowness >= SLOW_NEWS && slowness > own {
                e.slowness = own + 0.3 * (slowness - own);
                e.slowness_at = now;
            }
        }
    }

    fn on_peer_report(&mut self, p: usize, entry: &DigestEntry, now: Time) {
        if entry.age_ms == u8::MAX {
            return;
        }
        let at = now - Duration::from_millis(u64::from(entry.age_ms));
        self.learn_shared(p, f32::from(entry.outstanding), at, now);
    }

    /// Takes over a report that other hosts learn as well, unless that would make all of them
    /// choose the same target.
    fn learn_shared(&mut self, p: usize, outstanding: f32, at: Time, now: Time) {
        let quiet = self.entries[p].known.is_none_or(|k| now.since(k.at) >= QUIET_AGE);
        let takes = match self.options.peer_reports {
            PeerReports::All => true,
            PeerReports::HighLoad => {
                let mean = self.pools[usize::from(self.entries[p].pool)].outstanding;
                quiet || outstanding >= mean + self.options.news_excess
            }
        };
        if takes {
            self.learn_report(p, outstanding, at);
        }
    }
}

/// Returns the weight of an observation of this age: 1 / (1 + x + x^2 / 2) for x = age / scale.
///
/// It stays above exp(-x), which fits the measured correlation of a report with the present load
/// better than an exponential, and it costs less.
fn discount(age: Duration, scale: Duration) -> f32 {
    let x = age.as_micros() as f32 / scale.as_micros().max(1) as f32;
    1.0 / (1.0 + x + 0.5 * x * x)
}
