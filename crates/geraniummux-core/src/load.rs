//! Load and latency estimates of targets.
//!
//! Start with [`LoadTable`], which covers the targets of all pools of a host. It combines passive
//! observations, which need no requests of their own, with the results of the few budgeted probes:
//! the load report of each response, this host's requests in flight, latencies, failures, refusals
//! and the load digests of peers.
//!
//! Two values describe a target. The number of outstanding requests follows the last report, which
//! fades into the pool mean as it ages. The slowness is the target's service time as a multiple of
//! the pool mean and returns to 1 when it is not observed again.

use crate::config::{Pool, Target};
pub use crate::digest::{
    DIGEST_ENTRY_LEN, DIGEST_MAX_ENTRIES, DIGEST_OVERHEAD_LEN, DigestEntry, DueDigest, LoadDigest,
};
pub use crate::refusal::Refusal;
use crate::time::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a target of a pool for the lifetime of a [`LoadTable`]. Ids are never reused, so that
/// a late response isn't attributed to another target after a change of the pools.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub u32);

/// Load that a target reports about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that the target is executing.
    pub in_flight: u32,
    /// Requests that wait at the target for a slot.
    pub queued: u32,
}

impl LoadReport {
    /// Parses the value of an `endpoint-load-metrics` header in the ORCA text format.
    ///
    /// Returns `None` if the value has no valid `named_metrics.in_flight`. Other metrics are
    /// ignored. A missing or malformed report is not an error.
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

    /// Returns the number of requests at the target, executing and queued.
    pub const fn outstanding(self) -> u32 {
        self.in_flight.saturating_add(self.queued)
    }
}

/// End of an attempt, as far as it is relevant to load estimates and ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The target's handler responded, with a status that is not a failure of the target.
    Answered,
    /// The target failed: the connection broke, the attempt timed out, or the status was 5xx
    /// without the refusal signal.
    Failed,
    /// The target refused the request.
    Refused(Refusal),
    /// The host cancelled the attempt. Its duration is only a lower bound of the latency.
    Cancelled,
}

/// Selects which reports of peers a [`LoadTable`] accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerReports {
    /// Reports of high load, and any report of a target for which this host has no recent report.
    /// If all hosts accepted the report that a target is idle, all of them would choose it
    /// (herding).
    HighLoad,
    /// Every report that is newer than the last one. A baseline for comparison.
    All,
}

/// Settings of a [`LoadTable`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Age at which a report counts with a weight of 0.4; the pool mean counts with the rest.
    pub report_age: Duration,
    /// Latency that is added to the estimate of a target whose report has aged out, in mean service
    /// times. A report that has partly aged adds its part.
    pub stale_cost: f32,
    /// Estimated increase of the requests at a target for each request that this host sent there
    /// after the report. It is above 1, since other hosts tend to choose the same target.
    pub sent_weight: f32,
    /// Age at which an observed slowness or failure counts with a weight of 0.4.
    pub slowness_age: Duration,
    /// Slowness up to which a target's estimate has no penalty, since the service times of single
    /// requests differ.
    pub tolerated_slowness: f32,
    /// Slowness that a failed attempt counts as.
    pub failure_slowness: f32,
    /// Time for which a target is not chosen after it refused a request because it is starting.
    pub starting_pause: Duration,
    /// Which reports of peers are accepted.
    pub peer_reports: PeerReports,
    /// Byte budget of the digests that a host sends to all peers together, in bytes a second,
    /// including frame headers. On average a host receives as much.
    pub digest_bytes_per_s: f64,
    /// Maximum number of peers to which one digest is sent.
    pub digest_fanout: usize,
    /// Minimum excess of the reported requests over the estimate for which a digest is sent.
    /// `digest_excess` must be reached as well.
    pub digest_rise: f32,
    /// Minimum excess of the reported requests over the pool mean for which a digest is sent.
    pub digest_excess: f32,
}

impl Default for LoadOptions {
    fn default() -> Self {
        // The figures behind these values are in docs/decisions/choosing-a-target.md.
        LoadOptions {
            report_age: Duration::from_millis(20),
            stale_cost: 0.2,
            sent_weight: 1.8,
            slowness_age: Duration::from_secs(2),
            tolerated_slowness: 1.5,
            failure_slowness: 10.0,
            starting_pause: Duration::from_millis(200),
            peer_reports: PeerReports::HighLoad,
            digest_bytes_per_s: 8_000.0,
            digest_fanout: 32,
            digest_rise: 3.0,
            digest_excess: 4.0,
        }
    }
}

/// Weight of one response in the moving average of the slowness. The service times of single
/// requests differ by more than a factor of two, so it takes about 20 responses to detect a slow
/// target.
const RESPONSE_WEIGHT: f32 = 0.05;
/// Weight of one failure in the moving average of the slowness.
const FAILURE_WEIGHT: f32 = 0.5;
/// Maximum slowness that a single response counts as, so that one stuck request doesn't dominate
/// the average.
const MAX_RESPONSE_SLOWNESS: f32 = 4.0;
/// Number of cancelled attempts without a response between them after which a target counts as
/// slow.
const SLOW_AFTER_CANCELLED: u8 = 5;
/// Maximum age of a recent report.
const RECENT_REPORT_AGE: Duration = Duration::from_millis(250);
/// Minimum interval between two digests that report the same target as slow.
const SLOWNESS_DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum slowness that is reported to peers and accepted from them.
const SLOWNESS_DIGEST_THRESHOLD: f32 = 2.5;
/// Mean service time that is assumed for a pool before its first response. With zero, all targets
/// would have the same estimate, including failing ones.
const ASSUMED_SERVICE_MS: f32 = 10.0;
/// Digest units for a slowness of 1: the slowness is encoded in units of 1/8.
const SLOWNESS_SCALE: f32 = 8.0;

/// Estimate of a target's load and latency at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected number of requests at the target, executing and queued.
    pub outstanding: f32,
    /// Expected latency of a request that is sent now, in ms. Before the first response of the pool
    /// it is based on an assumed service time.
    pub latency_ms: f32,
}

/// The newest report of a target, from a response, a probe or a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    pub(crate) outstanding: f32,
    pub(crate) at: Time,
}

/// Observations of one target.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: TargetId,
    pool: u16,
    /// Index of the target in digests.
    index: u16,
    name: Arc<str>,
    addr: SocketAddr,
    /// Capacity relative to the pool mean.
    weight: f32,
    /// Send times of this host's requests in flight, oldest first.
    sent: Vec<Time>,
    pub(crate) last_report: Option<LastReport>,
    /// Service time relative to the pool mean at `slowness_at`: the latency with the effect of the
    /// requests at the target removed.
    slowness: f32,
    slowness_at: Time,
    /// When the target was last queued for a digest because it is slow.
    slowness_queued_at: Option<Time>,
    /// Moving average of the latency.
    pub(crate) latency_ms: f32,
    /// The target is not eligible before this time, since it refused a request as starting.
    pub(crate) paused_until: Time,
    /// Number of late attempts that the host cancelled since the last response.
    cancelled_in_a_row: u8,
    /// Whether the target is in `LoadTable::pending`.
    digest_queued: bool,
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
            last_report: None,
            slowness: 1.0,
            slowness_at: Time::ZERO,
            slowness_queued_at: None,
            latency_ms: 0.0,
            paused_until: Time::ZERO,
            cancelled_in_a_row: 0,
            digest_queued: false,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Returns the number of requests in flight that were sent after `at`.
    fn sent_after(&self, at: Time) -> usize {
        self.sent.iter().rev().take_while(|t| **t > at).count()
    }

    /// Returns the slowness at `now`. It approaches 1 as the last observation ages.
    fn slowness(&self, now: Time, age: Duration) -> f32 {
        1.0 + (self.slowness - 1.0) * discount(now.since(self.slowness_at), age)
    }
}

/// Moving averages over the targets of a pool.
#[derive(Clone, Debug)]
struct PoolStats {
    name: Arc<str>,
    /// Slots of a target with a weight of 1.
    slots: f32,
    /// Requests at a target with a weight of 1.
    outstanding: f32,
    /// Latency as a multiple of the service time.
    latency_factor: f32,
    latency_ms: f32,
    service_ms: f32,
    /// Number of responses so far.
    responses: u32,
}

impl PoolStats {
    fn new(pool: &Pool) -> Self {
        PoolStats {
            name: pool.name.clone(),
            slots: pool.slots as f32,
            outstanding: 0.0,
            latency_factor: 1.0,
            latency_ms: 0.0,
            service_ms: ASSUMED_SERVICE_MS,
            responses: 0,
        }
    }

    /// Returns the expected latency of a request as a multiple of the service time, at a target
    /// with `outstanding` other requests.
    ///
    /// A request waits only when all slots are in use. The step between the two cases is smoothed,
    /// since `outstanding` is an estimate: a target with more free slots is less likely to have
    /// none when the request arrives.
    fn latency_factor(&self, outstanding: f32, weight: f32) -> f32 {
        let slots = self.slots * weight;
        let excess = outstanding + 1.0 - slots;
        1.0 + 0.5 * (excess + (excess * excess + 4.0).sqrt()) / slots
    }
}

/// Load estimates of the targets of all pools of a host.
///
/// The daemon reports each attempt with [`on_sent`](LoadTable::on_sent) and
/// [`on_end`](LoadTable::on_end), sends the digests that [`poll_digest`](LoadTable::poll_digest)
/// returns, and passes the digests of peers to [`on_digest`](LoadTable::on_digest).
#[derive(Clone, Debug)]
pub struct LoadTable {
    options: LoadOptions,
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Positions in `entries` in the order of pool name, target name and address. The index of a
    /// target in digests is its position in this list.
    by_name: Vec<u16>,
    pools: Vec<PoolStats>,
    next_id: u32,
    /// Hash of the names and addresses in the order of `by_name`. Digest indexes are comparable
    /// only between hosts with the same hash.
    targets_hash: u32,
    /// Positions of the entries that the next digest reports.
    pending: Vec<u16>,
    /// Token bucket of the digest byte budget: the number of bytes that may be sent at
    /// `byte_budget_at`.
    byte_budget: f64,
    byte_budget_at: Time,
}

impl LoadTable {
    /// Returns a table for the targets of `pools` without observations.
    pub fn new(pools: &[Pool], options: LoadOptions) -> Self {
        let mut table = LoadTable {
            options,
            entries: Vec::new(),
            by_name: Vec::new(),
            pools: Vec::new(),
            next_id: 0,
            targets_hash: 0,
            pending: Vec::new(),
            byte_budget: 0.0,
            byte_budget_at: Time::ZERO,
        };
        table.update(pools);
        table
    }

    /// Applies changed pools. Targets that keep their pool, name and address keep their ids and
    /// observations.
    pub fn update(&mut self, pools: &[Pool]) {
        let old_pools = std::mem::take(&mut self.pools);
        let mut old = std::mem::take(&mut self.entries);
        self.pending.clear();
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
                entry.digest_queued = false;
                self.entries.push(entry);
            }
        }
        self.entries.sort_unstable_by_key(|e| e.id);
        self.index_names();
    }

    /// Rebuilds the digest indexes and their hash.
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

    /// Returns the id of a target by its pool's and its own name.
    pub fn id(&self, pool: &str, target: &str) -> Option<TargetId> {
        self.entries
            .iter()
            .find(|e| &*e.name == target && &*self.pools[usize::from(e.pool)].name == pool)
            .map(|e| e.id)
    }

    /// Returns the ids of all targets with this address. Several pools may contain the same target.
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

    /// Returns the number of this host's requests in flight at a target.
    pub fn in_flight(&self, id: TargetId) -> u32 {
        self.position(id).map_or(0, |p| self.entries[p].in_flight() as u32)
    }

    /// Returns the position of a target in the table, which is valid until the next update.
    pub(crate) fn position(&self, id: TargetId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }

    pub(crate) fn entry(&self, position: usize) -> &Entry {
        &self.entries[position]
    }

    /// Records that an attempt is about to be sent to a target.
    pub fn on_sent(&mut self, id: TargetId, now: Time) {
        if let Some(p) = self.position(id) {
            self.entries[p].sent.push(now);
        }
    }

    /// Records the end of an attempt that was recorded with [`LoadTable::on_sent`] at `sent_at`.
    ///
    /// `report` is the load report of the response, if it has one.
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
            AttemptEnd::Answered => self.on_response(p, latency_ms, report, now),
            // The report of a failing target is ignored, since a target that fails fast looks idle.
            AttemptEnd::Failed => {
                self.update_slowness(p, self.options.failure_slowness, FAILURE_WEIGHT, now);
            }
            // A target that sheds load counts as having at least twice as many requests as slots.
            AttemptEnd::Refused(Refusal::Shed) => {
                let stats = &self.pools[usize::from(self.entries[p].pool)];
                let full = stats.slots * self.entries[p].weight * 2.0;
                let reported = report.map_or(0.0, |r| r.outstanding() as f32);
                self.update_report(p, reported.max(full), now);
            }
            AttemptEnd::Refused(Refusal::Starting) => {
                self.entries[p].paused_until = now + self.options.starting_pause;
            }
            AttemptEnd::Refused(Refusal::Draining | Refusal::Deadline) => {}
            // A single late attempt that was cancelled is mostly due to a short slowdown of the
            // target. Only several of them without a response indicate a target that doesn't
            // respond.
            AttemptEnd::Cancelled => {
                let mean_latency_ms = self.pools[usize::from(self.entries[p].pool)].latency_ms;
                let e = &mut self.entries[p];
                if latency_ms > 2.0 * mean_latency_ms {
                    e.cancelled_in_a_row = e.cancelled_in_a_row.saturating_add(1);
                    if e.cancelled_in_a_row >= SLOW_AFTER_CANCELLED {
                        self.update_slowness(p, MAX_RESPONSE_SLOWNESS, FAILURE_WEIGHT, now);
                    }
                }
            }
        }
    }

    /// Records a response that is not a failure.
    fn on_response(&mut self, p: usize, latency_ms: f32, report: Option<LoadReport>, now: Time) {
        let outstanding = report.map(|r| r.outstanding() as f32);
        let e = &self.entries[p];
        let stats = &mut self.pools[usize::from(e.pool)];
        let latency_factor =
            stats.latency_factor(outstanding.unwrap_or(stats.outstanding * e.weight), e.weight);
        let service_ms = latency_ms / latency_factor;
        stats.responses = stats.responses.saturating_add(1);
        let gain = (1.0 / stats.responses as f32).max(0.01);
        stats.latency_ms += gain * (latency_ms - stats.latency_ms);
        stats.service_ms += gain * (service_ms - stats.service_ms);
        let ratio = (service_ms / stats.service_ms.max(1e-3)).min(MAX_RESPONSE_SLOWNESS);
        let mean_latency = &mut self.entries[p].latency_ms;
        *mean_latency =
            if *mean_latency > 0.0 { 0.7 * *mean_latency + 0.3 * latency_ms } else { latency_ms };
        self.entries[p].cancelled_in_a_row = 0;
        self.update_slowness(p, ratio, RESPONSE_WEIGHT, now);
        if let Some(outstanding) = outstanding {
            let estimate = self.estimate_at(p, now).outstanding;
            let mean = self.pools[usize::from(self.entries[p].pool)].outstanding;
            if outstanding >= estimate + self.options.digest_rise
                && outstanding >= mean + self.options.digest_excess
            {
                self.queue_for_digest(p);
            }
            self.update_report(p, outstanding, now);
        }
    }

    /// Records the result of a budgeted probe; `None` if the target did not respond in time.
    ///
    /// Called by the probing host and by the peers that receive its results. Since several hosts
    /// get the same result, it is treated like the report of a peer (see [`PeerReports`]).
    pub fn on_probe(&mut self, id: TargetId, report: Option<LoadReport>, now: Time) {
        let Some(p) = self.position(id) else { return };
        match report {
            Some(report) => self.update_from_peers(p, report.outstanding() as f32, now, now),
            None => self.update_slowness(p, self.options.failure_slowness, FAILURE_WEIGHT, now),
        }
    }

    /// Stores a report unless a newer one is stored, and updates the pool means.
    fn update_report(&mut self, p: usize, outstanding: f32, at: Time) {
        let e = &mut self.entries[p];
        if e.last_report.is_some_and(|r| r.at > at) {
            return;
        }
        e.last_report = Some(LastReport { outstanding, at });
        let weight = e.weight;
        let stats = &mut self.pools[usize::from(e.pool)];
        let latency_factor = stats.latency_factor(outstanding, weight);
        stats.outstanding += 0.02 * (outstanding / weight - stats.outstanding);
        stats.latency_factor += 0.02 * (latency_factor - stats.latency_factor);
    }

    /// Adds an observation to the slowness of a target, and queues the target for a digest if it is
    /// slow.
    fn update_slowness(&mut self, p: usize, ratio: f32, gain: f32, now: Time) {
        let e = &mut self.entries[p];
        let old = e.slowness(now, self.options.slowness_age);
        e.slowness = old + gain * (ratio - old);
        e.slowness_at = now;
        let recent = e.slowness_queued_at.is_some_and(|t| now.since(t) < SLOWNESS_DIGEST_INTERVAL);
        if e.slowness >= SLOWNESS_DIGEST_THRESHOLD && !recent {
            e.slowness_queued_at = Some(now);
            self.queue_for_digest(p);
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
        let mut latency_factor = stats.latency_factor;
        if let Some(last_report) = e.last_report {
            let weight = discount(now.since(last_report.at), self.options.report_age);
            let sent = e.sent_after(last_report.at) as f32;
            let sent = sent * self.options.sent_weight;
            let at_target = last_report.outstanding + sent;
            outstanding += weight * (at_target - outstanding);
            latency_factor = weight * stats.latency_factor(at_target, e.weight)
                + (1.0 - weight)
                    * (stats.latency_factor
                        + sent / (stats.slots * e.weight)
                        + self.options.stale_cost);
        }
        let outstanding = outstanding.max(e.in_flight() as f32);
        let mut slowness = self.slowness_factor(e, now);
        // An overdue request indicates a slow target before its response arrives.
        if let Some(oldest) = e.sent.first() {
            let age = now.since(*oldest).as_secs_f32() * 1e3;
            let overdue = age / (2.0 * stats.latency_ms.max(1e-3));
            if stats.latency_ms > 0.0 && overdue > 1.0 {
                slowness = slowness.max(0.5 + 0.5 * overdue);
            }
        }
        Estimate { outstanding, latency_ms: stats.service_ms * latency_factor * slowness }
    }

    /// Returns the load that the baseline policies compare: the reported requests, discounted by
    /// age, plus the requests that this host has sent since.
    pub(crate) fn reported_at(&self, p: usize, now: Time) -> f32 {
        let e = &self.entries[p];
        let mean = self.pools[usize::from(e.pool)].outstanding * e.weight;
        let Some(last_report) = e.last_report else { return mean };
        let sent = e.sent_after(last_report.at) as f32;
        mean + discount(now.since(last_report.at), self.options.report_age)
            * (last_report.outstanding - mean)
            + sent
    }

    /// Returns the factor by which its slowness raises the estimated latency of a target. It is 1
    /// up to the tolerated slowness.
    fn slowness_factor(&self, e: &Entry, now: Time) -> f32 {
        let slowness = e.slowness(now, self.options.slowness_age);
        1.0 + (slowness - self.options.tolerated_slowness).max(0.0)
    }

    /// Adds a target to the next digest.
    fn queue_for_digest(&mut self, p: usize) {
        if !self.entries[p].digest_queued {
            self.entries[p].digest_queued = true;
            self.pending.push(p as u16);
        }
    }

    /// Returns whether there are reports that are due to be sent to peers in a digest.
    pub fn has_pending_digest(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the digest to send now, if reports are pending and the byte budget allows it.
    ///
    /// Should be called after each [`LoadTable::on_end`] or every few milliseconds, so that the
    /// peers receive early reports of a queue that builds up. Reports that exceed the budget stay
    /// pending.
    pub fn poll_digest(&mut self, peers: usize, now: Time) -> Option<DueDigest> {
        if self.pending.is_empty() || peers == 0 {
            return None;
        }
        let fanout = peers.min(self.options.digest_fanout);
        let rate = self.options.digest_bytes_per_s;
        // A digest that costs more than half a second of the budget would be delayed too long.
        let room = rate / 2.0 / fanout as f64 - DIGEST_OVERHEAD_LEN as f64;
        let room = (room.max(0.0) as usize / DIGEST_ENTRY_LEN).clamp(1, DIGEST_MAX_ENTRIES);
        let count = self.pending.len().min(room);
        let cost = (fanout * (DIGEST_OVERHEAD_LEN + count * DIGEST_ENTRY_LEN)) as f64;
        let earned = now.since(self.byte_budget_at).as_secs_f64() * rate;
        // The bucket holds one second of the budget, but at least the cost of the due digest.
        self.byte_budget = (self.byte_budget + earned).min(rate.max(cost));
        self.byte_budget_at = now;
        if self.byte_budget < cost {
            return None;
        }
        self.byte_budget -= cost;
        let pending: Vec<u16> = self.pending.drain(..count).collect();
        let entries = pending.iter().map(|p| self.digest_entry(usize::from(*p), now)).collect();
        for p in pending {
            self.entries[usize::from(p)].digest_queued = false;
        }
        Some(DueDigest { digest: LoadDigest { targets_hash: self.targets_hash, entries }, fanout })
    }

    /// Returns a digest of the reports of the last 250 ms, with at most [`DIGEST_MAX_ENTRIES`]
    /// entries. It doesn't count towards the byte budget.
    ///
    /// It initialises a new peer, and is the periodic digest of [`Policy::SharedBest`].
    ///
    /// [`Policy::SharedBest`]: crate::balance::Policy::SharedBest
    pub fn full_digest(&self, now: Time) -> LoadDigest {
        let recent = |e: &Entry| e.last_report.is_some_and(|r| now.since(r.at) < RECENT_REPORT_AGE);
        let entries = (0..self.entries.len())
            .filter(|p| recent(&self.entries[*p]))
            .take(DIGEST_MAX_ENTRIES)
            .map(|p| self.digest_entry(p, now))
            .collect();
        LoadDigest { targets_hash: self.targets_hash, entries }
    }

    fn digest_entry(&self, p: usize, now: Time) -> DigestEntry {
        let e = &self.entries[p];
        let age = e.last_report.map_or(255, |r| now.since(r.at).as_millis().min(255));
        let slowness = e.slowness(now, self.options.slowness_age) * SLOWNESS_SCALE;
        DigestEntry {
            index: e.index,
            outstanding: e.last_report.map_or(0.0, |r| r.outstanding).min(255.0) as u8,
            age_ms: age as u8,
            slowness: slowness.min(255.0) as u8,
        }
    }

    /// Merges the digest of a peer. A digest for another set of targets is ignored, since its
    /// indexes refer to other targets.
    pub fn on_digest(&mut self, digest: &LoadDigest, now: Time) {
        if digest.targets_hash != self.targets_hash {
            return;
        }
        for entry in &digest.entries {
            let Some(p) = self.by_name.get(usize::from(entry.index)) else { continue };
            let p = usize::from(*p);
            self.on_peer_report(p, entry, now);
            let slowness = f32::from(entry.slowness) / SLOWNESS_SCALE;
            let e = &mut self.entries[p];
            let own = e.slowness(now, self.options.slowness_age);
            // A peer may be wrong, for example because of its own network path, so its observation
            // counts only in part.
            if slowness >= SLOWNESS_DIGEST_THRESHOLD && slowness > own {
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
        self.update_from_peers(p, f32::from(entry.outstanding), at, now);
    }

    /// Stores a report that other hosts receive as well, unless it would make all of them choose
    /// the same target.
    fn update_from_peers(&mut self, p: usize, outstanding: f32, at: Time, now: Time) {
        let no_recent_report =
            self.entries[p].last_report.is_none_or(|r| now.since(r.at) >= RECENT_REPORT_AGE);
        let accept = match self.options.peer_reports {
            PeerReports::All => true,
            PeerReports::HighLoad => {
                let mean = self.pools[usize::from(self.entries[p].pool)].outstanding;
                no_recent_report || outstanding >= mean + self.options.digest_excess
            }
        };
        if accept {
            self.update_report(p, outstanding, at);
        }
    }
}

/// Returns the weight of an observation of this age: 1 / (1 + x + x^2 / 2) for x = age / scale.
///
/// This is larger than exp(-x). It fits the measured correlation of a report with the current load
/// better than an exponential, and is cheaper to compute.
fn discount(age: Duration, scale: Duration) -> f32 {
    let x = age.as_micros() as f32 / scale.as_micros().max(1) as f32;
    1.0 / (1.0 + x + 0.5 * x * x)
}
