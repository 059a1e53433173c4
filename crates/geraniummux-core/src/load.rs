//! Estimates of each target's load from information that costs targets nothing.
//!
//! A [`LoadTable`] covers the targets of all pools of a host. It learns from the load report on
//! each response, from the host's own requests in flight, from latency, failures and refusals, from
//! the digests of peers and from the results of paid probes.

use crate::config::{Pool, Target};
use crate::time::Time;
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
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

/// Why a target declared that it did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has too much work.
    Shed,
    /// It is leaving.
    Draining,
    /// It is not ready yet.
    Starting,
    /// The request's deadline had passed.
    Deadline,
}

impl Refusal {
    /// Parses the value of an `x-request-refused` header.
    pub fn parse(value: &str) -> Option<Self> {
        match value.trim() {
            "shed" => Some(Refusal::Shed),
            "draining" => Some(Refusal::Draining),
            "starting" => Some(Refusal::Starting),
            "deadline" => Some(Refusal::Deadline),
            _ => None,
        }
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

/// Settings of a [`LoadTable`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Time after which a report counts for 1/e of its difference from the pool mean.
    pub report_age: Duration,
    /// Time after which an observed latency or failure counts for 1/e.
    pub observation_age: Duration,
    /// Latency that a failed attempt counts as, in multiples of the pool's mean latency.
    pub failure_latency_factor: f32,
    /// How long a target that refused as starting is left alone.
    pub starting_pause: Duration,
    /// Bytes a second that a host may send in digests to all peers together, frames included.
    pub digest_bytes_per_s: f64,
    /// Largest number of entries in one digest, so that its frame stays below 1,200 bytes.
    pub digest_entries: usize,
}

impl Default for LoadOptions {
    fn default() -> Self {
        LoadOptions {
            report_age: Duration::from_millis(30),
            observation_age: Duration::from_millis(500),
            failure_latency_factor: 10.0,
            starting_pause: Duration::from_millis(200),
            digest_bytes_per_s: 8_000.0,
            digest_entries: 200,
        }
    }
}

/// Bytes of a digest's frame besides its entries: IP and UDP headers (28) and the message header
/// with its authentication tag, for a sender's name of up to 24 bytes.
pub const DIGEST_FRAME_LEN: usize = 28 + 80;
/// Largest number of bytes of one encoded [`DigestEntry`].
pub const DIGEST_ENTRY_LEN: usize = 6;

/// One target's report in a [`LoadDigest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestEntry {
    /// Position of the target in the order of pool names and target names.
    pub index: u16,
    /// Requests at the target, running and waiting, at most 255.
    pub outstanding: u8,
    /// Age of the report when the digest was made, in units of 0.5 ms, at most 255.
    pub age: u8,
    /// Mean latency that the sender observed, in ms; 0 if it observed none lately.
    pub latency_ms: u8,
}

impl Serialize for DigestEntry {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&self.outstanding)?;
        tuple.serialize_element(&self.age)?;
        tuple.serialize_element(&self.latency_ms)?;
        tuple.end()
    }
}

struct DigestEntryVisitor;

impl<'de> Visitor<'de> for DigestEntryVisitor {
    type Value = DigestEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a tuple of index, outstanding, age and latency")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<DigestEntry, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let index = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
        let outstanding = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
        let age = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(2, &self))?;
        let latency_ms = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(3, &self))?;
        Ok(DigestEntry { index, outstanding, age, latency_ms })
    }
}

impl<'de> Deserialize<'de> for DigestEntry {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(4, DigestEntryVisitor)
    }
}

/// The freshest reports that a host knows, sent to peers over UDP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadDigest {
    /// Fingerprint of the names of all targets. A digest made from other tables is ignored, since
    /// its indexes mean other targets.
    pub tables: u32,
    /// The reports.
    pub entries: Vec<DigestEntry>,
}

/// The estimate of one target's load at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected requests at the target, running and waiting.
    pub outstanding: f32,
    /// Expected time from sending a request now to its answer, in ms.
    pub latency_ms: f32,
}

const SEND_RING: usize = 8;

/// What is known about one target.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: TargetId,
    pool: u16,
    name: Arc<str>,
    addr: SocketAddr,
    pub(crate) in_flight: u32,
    /// Last known report and when the target made it.
    pub(crate) reported: f32,
    pub(crate) reported_at: Option<Time>,
    /// When the host's own last report came in; `reported_at` may come from a digest.
    sent_digest_at: Option<Time>,
    /// Times of the host's last sends, as a ring.
    sends: [Time; SEND_RING],
    next_send: u8,
    pub(crate) latency_ms: f32,
    latency_at: Option<Time>,
    pub(crate) paused_until: Time,
    pub(crate) used: bool,
}

impl Entry {
    fn new(id: TargetId, pool: u16, target: &Target) -> Self {
        Entry {
            id,
            pool,
            name: target.name.clone(),
            addr: target.addr,
            in_flight: 0,
            reported: 0.0,
            reported_at: None,
            sent_digest_at: None,
            sends: [Time::ZERO; SEND_RING],
            next_send: 0,
            latency_ms: 0.0,
            latency_at: None,
            paused_until: Time::ZERO,
            used: false,
        }
    }

    /// Returns how many of the last sends are later than `at`.
    fn sent_after(&self, at: Time) -> u32 {
        let count = self.sends.iter().filter(|s| **s > at).count() as u32;
        count.min(self.in_flight)
    }
}

/// Running means over the targets of a pool.
#[derive(Clone, Debug)]
struct PoolStats {
    name: Arc<str>,
    slots: f32,
    outstanding: f32,
    latency_ms: f32,
    samples: u32,
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
    tables: u32,
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
            tables: 0,
        };
        table.update(pools);
        table
    }

    /// Adopts changed pools. What is known of targets that keep pool, name and address stays, with
    /// their ids.
    pub fn update(&mut self, pools: &[Pool]) {
        let old_pools = std::mem::take(&mut self.pools);
        let mut old = std::mem::take(&mut self.entries);
        for (i, pool) in pools.iter().enumerate() {
            let old_pool = old_pools.iter().position(|p| p.name == pool.name);
            self.pools.push(match old_pool {
                Some(p) => PoolStats { slots: pool.slots as f32, ..old_pools[p].clone() },
                None => PoolStats {
                    name: pool.name.clone(),
                    slots: pool.slots as f32,
                    outstanding: 0.0,
                    latency_ms: 0.0,
                    samples: 0,
                },
            });
            for target in &pool.targets {
                let kept = old.iter().position(|e| {
                    Some(usize::from(e.pool)) == old_pool
                        && e.name == target.name
                        && e.addr == target.addr
                });
                let entry = match kept {
                    Some(k) => Entry { pool: i as u16, ..old.swap_remove(k) },
                    None => {
                        self.next_id += 1;
                        Entry::new(TargetId(self.next_id), i as u16, target)
                    }
                };
                self.entries.push(entry);
            }
        }
        self.entries.sort_unstable_by_key(|e| e.id);
        self.index_names();
    }

    /// Rebuilds the order and the fingerprint that digests refer to.
    fn index_names(&mut self) {
        let mut order: Vec<u16> = (0..self.entries.len() as u16).collect();
        let key = |i: &u16| {
            let e = &self.entries[usize::from(*i)];
            (self.pools[usize::from(e.pool)].name.clone(), e.name.clone(), e.addr)
        };
        order.sort_by_cached_key(key);
        let mut hash = Xxh3::new();
        for i in &order {
            let e = &self.entries[usize::from(*i)];
            hash.update(self.pools[usize::from(e.pool)].name.as_bytes());
            hash.update(&[0]);
            hash.update(e.name.as_bytes());
            hash.update(&[0]);
            hash.update(e.addr.to_string().as_bytes());
            hash.update(&[0]);
        }
        self.tables = hash.digest() as u32;
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
        self.position(id).map_or(0, |p| self.entries[p].in_flight)
    }

    pub(crate) fn position(&self, id: TargetId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }

    pub(crate) fn entry(&self, position: usize) -> &Entry {
        &self.entries[position]
    }

    /// Notes that an attempt is about to be sent to a target.
    pub fn on_sent(&mut self, id: TargetId, now: Time) {
        let Some(p) = self.position(id) else { return };
        let e = &mut self.entries[p];
        e.in_flight += 1;
        e.sends[usize::from(e.next_send) % SEND_RING] = now;
        e.next_send = (e.next_send + 1) % SEND_RING as u8;
    }

    /// Notes the end of an attempt that was announced with [`LoadTable::on_sent`].
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
        let pool = usize::from(self.entries[p].pool);
        self.entries[p].in_flight = self.entries[p].in_flight.saturating_sub(1);
        let latency = now.since(sent_at).as_secs_f32() * 1e3;
        match end {
            AttemptEnd::Answered => {
                self.learn_latency(p, latency, now);
                let stats = &mut self.pools[pool];
                stats.samples = stats.samples.saturating_add(1);
                let gain = (1.0 / stats.samples as f32).max(0.01);
                stats.latency_ms += gain * (latency - stats.latency_ms);
                if let Some(report) = report {
                    self.learn_report(p, report.outstanding() as f32, now);
                }
            }
            // The report of a failing target is not used: a target that fails fast looks idle.
            AttemptEnd::Failed => {
                let slow = self.options.failure_latency_factor * self.pools[pool].latency_ms;
                self.learn_latency(p, latency.max(slow), now);
            }
            AttemptEnd::Refused(Refusal::Shed) => {
                let full = self.pools[pool].slots * 2.0;
                let reported = report.map_or(0.0, |r| r.outstanding() as f32);
                self.learn_report(p, reported.max(full), now);
            }
            AttemptEnd::Refused(Refusal::Starting) => {
                self.entries[p].paused_until = now + self.options.starting_pause;
            }
            AttemptEnd::Refused(Refusal::Draining | Refusal::Deadline) => {}
            AttemptEnd::Cancelled => {
                if latency > self.entries[p].latency_ms {
                    self.learn_latency(p, latency, now);
                }
            }
        }
        self.entries[p].used = true;
    }

    /// Notes the result of a paid probe; `None` if the target did not answer in time.
    pub fn on_probe(&mut self, id: TargetId, report: Option<LoadReport>, now: Time) {
        let Some(p) = self.position(id) else { return };
        match report {
            Some(report) => self.learn_report(p, report.outstanding() as f32, now),
            None => {
                let pool = usize::from(self.entries[p].pool);
                let slow = self.options.failure_latency_factor * self.pools[pool].latency_ms;
                self.learn_latency(p, slow, now);
            }
        }
    }

    fn learn_report(&mut self, p: usize, outstanding: f32, at: Time) {
        let e = &mut self.entries[p];
        if e.reported_at.is_some_and(|t| t > at) {
            return;
        }
        e.reported = outstanding;
        e.reported_at = Some(at);
        let stats = &mut self.pools[usize::from(e.pool)];
        stats.outstanding += 0.05 * (outstanding - stats.outstanding);
    }

    fn learn_latency(&mut self, p: usize, latency_ms: f32, now: Time) {
        let age = self.options.observation_age.as_secs_f32();
        let e = &mut self.entries[p];
        let old = e.latency_at.map_or(0.0, |t| (-now.since(t).as_secs_f32() / age).exp());
        let keep = 0.8 * old;
        e.latency_ms = keep * e.latency_ms + (1.0 - keep) * latency_ms;
        e.latency_at = Some(now);
    }

    /// Returns the estimate of a target's load, or `None` if the target is not in the table.
    pub fn estimate(&self, id: TargetId, now: Time) -> Option<Estimate> {
        self.position(id).map(|p| self.estimate_at(p, now))
    }

    pub(crate) fn estimate_at(&self, p: usize, now: Time) -> Estimate {
        let e = &self.entries[p];
        let stats = &self.pools[usize::from(e.pool)];
        let mut outstanding = stats.outstanding;
        if let Some(at) = e.reported_at {
            let weight = discount(now.since(at), self.options.report_age);
            outstanding += weight * (e.reported - stats.outstanding);
            outstanding += e.sent_after(at) as f32;
        }
        let outstanding = outstanding.max(e.in_flight as f32);
        let weight =
            e.latency_at.map_or(0.0, |t| discount(now.since(t), self.options.observation_age));
        let latency = stats.latency_ms + weight * (e.latency_ms - stats.latency_ms);
        let rounds = ((outstanding + 1.0) / stats.slots).max(1.0);
        let mean_rounds = ((stats.outstanding + 1.0) / stats.slots).max(1.0);
        Estimate { outstanding, latency_ms: latency * rounds / mean_rounds }
    }

    /// Returns the time between two digests so that all copies sent to `peers` stay within
    /// [`LoadOptions::digest_bytes_per_s`].
    ///
    /// Each digest goes to the number of peers that [`LoadTable::digest_fanout`] returns.
    pub fn digest_interval(&self, peers: usize) -> Duration {
        let copies = self.digest_fanout(peers).max(1) as f64;
        let entries = self.entries.len().min(self.options.digest_entries);
        let len = DIGEST_FRAME_LEN + 8 + entries * DIGEST_ENTRY_LEN;
        Duration::from_secs_f64(copies * len as f64 / self.options.digest_bytes_per_s)
    }

    /// Returns the number of random peers that each digest goes to.
    pub fn digest_fanout(&self, peers: usize) -> usize {
        peers.min(4)
    }

    /// Returns the digest to send now, with the freshest reports first chosen.
    pub fn digest(&mut self, now: Time) -> LoadDigest {
        let mut fresh: Vec<(Duration, u16)> = Vec::with_capacity(self.by_name.len());
        for (index, p) in self.by_name.iter().enumerate() {
            if let Some(at) = self.entries[usize::from(*p)].reported_at {
                fresh.push((now.since(at), index as u16));
            }
        }
        fresh.retain(|f| f.0 < Duration::from_millis(127));
        fresh.sort_unstable();
        fresh.truncate(self.options.digest_entries);
        let entries = fresh.iter().map(|(age, index)| {
            let e = &mut self.entries[usize::from(self.by_name[usize::from(*index)])];
            e.sent_digest_at = Some(now);
            DigestEntry {
                index: *index,
                outstanding: e.reported.min(255.0) as u8,
                age: (age.as_micros() / 500).min(255) as u8,
                latency_ms: e.latency_ms.min(255.0) as u8,
            }
        });
        LoadDigest { tables: self.tables, entries: entries.collect() }
    }

    /// Takes in the digest of a peer. A digest made from other tables is ignored.
    pub fn on_digest(&mut self, digest: &LoadDigest, now: Time) {
        if digest.tables != self.tables {
            return;
        }
        for entry in &digest.entries {
            let Some(p) = self.by_name.get(usize::from(entry.index)) else { continue };
            let age = Duration::from_micros(u64::from(entry.age) * 500 + 500);
            self.learn_report(usize::from(*p), f32::from(entry.outstanding), now - age);
        }
    }
}

/// Returns the weight of an observation of this age: an approximation of `exp(-age / scale)`.
fn discount(age: Duration, scale: Duration) -> f32 {
    let x = age.as_micros() as f32 / scale.as_micros().max(1) as f32;
    // Two terms of the series of exp(x) in the denominator: within 0.06 of exp(-x), and cheaper.
    1.0 / (1.0 + x + 0.5 * x * x)
}
