//! Counting of served requests.
//!
//! Counters are cumulative for each process, month, tenant and class, and are merged by maximum.
//! Reports and platform writes may therefore be repeated, reordered or lost without a request being
//! counted twice.

use crate::membership::{MAX_HOST_NAME_LEN, Member, MemberState, Membership};
use crate::time::{Time, UnixMs};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest encoded usage object. The platform holds values up to 1 MiB; the rest is room for one
/// merge.
pub const MAX_USAGE_OBJECT_LEN: usize = 900 << 10;
/// A process that has not been heard of for this long is folded into the settled totals, after
/// which its late reports change nothing. Longer than any expected separation of regions, because
/// folding a process that still counts would lose what it counts later.
pub const FOLD_AGE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// If the object would grow above [`MAX_USAGE_OBJECT_LEN`], processes are folded from this age on.
pub const MIN_FOLD_AGE: Duration = Duration::from_secs(3_600);
/// An idle process is marked as alive in the object when its mark is older than this.
const SEEN_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Interval of the reports to peers; bounds what a kill can lose.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the merges into the platform object.
pub const MERGE_INTERVAL: Duration = Duration::from_secs(10);
/// Peers that each host reports to every second.
pub const REPORT_PEERS: usize = 3;
/// Most bytes of rows in one report, so that it fits into a datagram.
pub const MAX_REPORT_LEN: usize = 900;
/// Most reports that one message confirms, with up to 10 bytes each.
pub const MAX_CONFIRMED_REPORTS: usize = 100;
/// Reports in which a key is named after it appeared or the peers changed.
pub const NEW_KEY_REPORTS: u32 = 3;
/// After that each key is named once in this many reports.
pub const KEY_REFRESH_REPORTS: u32 = 16;
/// Most processes of other hosts that a host holds unwritten counters of.
pub const MAX_PROCESSES: usize = 4_096;
/// Most rows held for one process; bounds memory.
pub const MAX_ROWS_PER_PROCESS: usize = 4_096;

/// A calendar month in UTC, as `year * 100 + month`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Month(pub u32);

impl Month {
    /// Returns the month of an instant.
    pub const fn containing(now: UnixMs) -> Self {
        // Days to civil date in the proleptic Gregorian calendar, with years that begin in March.
        let days = now.0 / 86_400_000 + 719_468;
        let era = days / 146_097;
        let day = days % 146_097;
        let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
        let day_of_year = day - (365 * year + year / 4 - year / 100);
        let shifted = (5 * day_of_year + 2) / 153;
        let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
        let year = era * 400 + year + if month <= 2 { 1 } else { 0 };
        Month((year * 100 + month) as u32)
    }
}

/// The name of the month's platform object, for example `2026-12`.
impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.0 / 100, self.0 % 100)
    }
}

/// Identifies one process of an entry host. It stays the same while the process runs, unlike the
/// incarnation of the membership, which rises whenever a suspicion is refuted.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessId {
    /// The host's name.
    pub host: Arc<str>,
    /// Distinguishes the processes of a host.
    pub run: u64,
}

impl ProcessId {
    /// Returns the identity of a process that starts at `started`.
    pub fn new<R>(host: Arc<str>, started: UnixMs, rng: &mut R) -> Self
    where
        R: Rng + ?Sized,
    {
        // The random part separates processes of the same name that start in the same millisecond.
        // Together they stay below 2^53, which JSON readers keep exactly.
        ProcessId { host, run: (started.0 << 10 | rng.random_range(0..1 << 10)) & ((1 << 53) - 1) }
    }
}

/// What a count is for.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageKey {
    /// The month in which the requests were served.
    pub month: Month,
    /// The tenant.
    pub tenant: Arc<str>,
    /// The class of request.
    pub class: Arc<str>,
}

/// A cumulative count of served requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// What is counted.
    pub key: UsageKey,
    /// Requests served since the start of the process.
    pub served: u64,
}

/// A row of a report. The names of 70 rows take about 1.5 KB, so they are left out once the
/// receiver is likely to know them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportRow {
    /// Position of the row in the process's counters, which never changes.
    pub index: u32,
    /// What is counted; `None` if the receiver should know it from an earlier report.
    pub key: Option<UsageKey>,
    /// Requests served since the start of the process.
    pub served: u64,
}

/// Counts of one process, sent to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Identifies the report among those of its sender; 0 if no confirmation is wanted.
    pub seq: u64,
    /// The process that counted.
    pub process: ProcessId,
    /// Some or all of its counts.
    pub rows: Vec<ReportRow>,
}

/// The counters of this process.
#[derive(Clone, Debug)]
pub struct UsageCounters {
    process: ProcessId,
    /// In the order in which the keys first appeared.
    rows: Vec<UsageRow>,
    /// Positions in `rows`, sorted by key.
    sorted: Vec<u32>,
}

impl UsageCounters {
    /// Returns counters at zero.
    pub fn new(process: ProcessId) -> Self {
        UsageCounters { process, rows: Vec::new(), sorted: Vec::new() }
    }

    /// Counts one request whose response was acknowledged by the caller's TCP at `now`.
    pub fn count(&mut self, now: UnixMs, tenant: &Arc<str>, class: &Arc<str>) {
        let month = Month::containing(now);
        let wanted = (month, &**tenant, &**class);
        let found = self.sorted.binary_search_by(|i| {
            let key = &self.rows[*i as usize].key;
            (key.month, &*key.tenant, &*key.class).cmp(&wanted)
        });
        match found {
            Ok(k) => self.rows[self.sorted[k] as usize].served += 1,
            Err(k) => {
                let key = UsageKey { month, tenant: tenant.clone(), class: class.clone() };
                self.sorted.insert(k, self.rows.len() as u32);
                self.rows.push(UsageRow { key, served: 1 });
            }
        }
    }

    /// Returns the process that counts.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Returns the counts in the order in which their keys first appeared.
    pub fn rows(&self) -> &[UsageRow] {
        &self.rows
    }
}

/// What the daemon has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageAction {
    /// Send counts to a peer.
    Report {
        /// The peer.
        to: SocketAddr,
        /// The counts.
        report: UsageReport,
    },
    /// As the writer, ask a peer for all counts that are not confirmed.
    Collect {
        /// The peer.
        to: SocketAddr,
        /// Number of the first rows of the peer's process whose keys are known here.
        known_rows: u32,
    },
    /// As the writer, confirm that reports of a peer are in the platform object.
    Confirm {
        /// The peer.
        to: SocketAddr,
        /// The numbers of the reports.
        seqs: Vec<u64>,
    },
    /// Read the object `usage/<month>`, pass it to [`UsageMerge::encode`], write the result
    /// conditionally, and call [`UsageMerge::on_written`]. After a conflict or a lost response, start
    /// again with the read; repeating changes nothing.
    Write {
        /// The month.
        month: Month,
    },
}

/// A row with the count that is known to be in the platform object.
#[derive(Clone, Debug)]
struct Tracked {
    index: u32,
    row: UsageRow,
    written: u64,
    /// How often the key was reported to the present peers; used for the own process only.
    named: u32,
}

#[derive(Clone, Debug)]
struct Process {
    id: ProcessId,
    /// Sorted by index.
    rows: Vec<Tracked>,
    /// When the process itself last reported.
    heard: Time,
}

#[derive(Clone, Debug)]
struct Outstanding {
    seq: u64,
    process: ProcessId,
    /// Index and count.
    rows: Vec<(u32, u64)>,
}

/// A peer's report that waits for being written.
#[derive(Clone, Debug)]
struct Pending {
    from: SocketAddr,
    seq: u64,
    months: Vec<Month>,
}

/// An encoded object together with what it contains, for [`UsageMerge::on_written`].
#[derive(Clone, Debug)]
pub struct UsageWrite {
    /// The month.
    pub month: Month,
    /// The new value; `None` if the object already contains everything.
    pub value: Option<Vec<u8>>,
    rows: Vec<(ProcessId, u32, u64)>,
    reports: Vec<(SocketAddr, u64)>,
}

/// Counts of all processes as one host knows them, and their way into the platform objects.
#[derive(Clone, Debug)]
pub struct UsageMerge {
    me: ProcessId,
    /// Sorted by identity; contains the own process.
    processes: Vec<Process>,
    outstanding: Vec<Outstanding>,
    pending: Vec<Pending>,
    next_seq: u64,
    next_report: Time,
    reports: u32,
    peers: Vec<SocketAddr>,
    next_collect: Time,
    write_at: Option<Time>,
    holder: bool,
}

impl UsageMerge {
    /// Returns the state of a starting host.
    pub fn new(now: Time, me: ProcessId) -> Self {
        UsageMerge {
            processes: vec![Process { id: me.clone(), rows: Vec::new(), heard: now }],
            me,
            outstanding: Vec::new(),
            pending: Vec::new(),
            next_seq: 0,
            next_report: now + REPORT_INTERVAL,
            reports: 0,
            peers: Vec::new(),
            next_collect: now,
            write_at: None,
            holder: false,
        }
    }

    /// Sets whether this host holds the lease of the usage writer.
    pub fn set_holder(&mut self, now: Time, holder: bool) {
        if holder && !self.holder {
            self.next_collect = now;
        }
        self.holder = holder;
    }

    /// Returns the months with counts that are not known to be in their platform object. A host
    /// that shuts down writes these itself.
    pub fn unwritten_months(&self) -> Vec<Month> {
        let mut months: Vec<Month> = self
            .processes
            .iter()
            .flat_map(|p| p.rows.iter().filter(|t| t.row.served > t.written))
            .map(|t| t.row.key.month)
            .collect();
        months.sort_unstable();
        months.dedup();
        months
    }

    /// Advances the timers. To be called at least every 100 ms with the process's own counters.
    pub fn tick(
        &mut self,
        now: Time,
        own: &UsageCounters,
        members: &Membership,
    ) -> Vec<UsageAction> {
        let mut out = Vec::new();
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.merge_own(now, own);
            self.report_own(members, &mut out);
            self.forget(now);
        }
        if self.holder && now >= self.next_collect {
            self.next_collect = now + MERGE_INTERVAL;
            // Peers answer with new numbers, so unconfirmed ones are of no use any more.
            self.pending.clear();
            // The answers take a round trip between regions; what comes later goes into the next
            // merge.
            self.write_at = Some(now + Duration::from_secs(1));
            let to = members.live_peers();
            out.extend(to.map(|m| UsageAction::Collect {
                to: m.addr,
                known_rows: self.known_rows(&m.name),
            }));
        }
        if self.write_at.is_some_and(|t| now >= t) {
            self.write_at = None;
            self.merge_own(now, own);
            out.extend(
                self.unwritten_months().into_iter().map(|month| UsageAction::Write { month }),
            );
        }
        out
    }

    /// Takes over the present own counts. [`tick`](UsageMerge::tick) does this every second; a host
    /// that shuts down calls it before its last writes.
    pub fn merge_own(&mut self, now: Time, own: &UsageCounters) {
        let rows = own.rows().iter().enumerate().map(|(i, r)| ReportRow {
            index: i as u32,
            key: Some(r.key.clone()),
            served: r.served,
        });
        self.merge(now, own.process(), rows);
    }

    /// Handles a report of a peer.
    pub fn on_report(&mut self, now: Time, from: SocketAddr, report: UsageReport) {
        let fits = |s: &str| s.len() <= MAX_HOST_NAME_LEN;
        let valid = fits(&report.process.host)
            && report.rows.iter().flat_map(|r| &r.key).all(|k| fits(&k.tenant) && fits(&k.class));
        // Nobody else knows this process's counts better.
        if !valid || report.process == self.me {
            return;
        }
        let indexes: Vec<u32> = report.rows.iter().map(|r| r.index).collect();
        // A report with a row that could not be kept must be sent again, with its key.
        if !self.merge(now, &report.process, report.rows.into_iter()) {
            return;
        }
        if report.seq > 0 && self.holder {
            let Some(p) = self.process(&report.process) else { return };
            let mut months: Vec<Month> = indexes
                .iter()
                .filter_map(|i| Some(p.rows[p.find(*i).ok()?].row.key.month))
                .collect();
            months.sort_unstable();
            months.dedup();
            self.pending.push(Pending { from, seq: report.seq, months });
        }
    }

    /// Handles the writer's request for counts. The answer is reported to `to`, which knows the keys
    /// of this process's first `known_rows` rows.
    pub fn on_collect(
        &mut self,
        now: Time,
        to: SocketAddr,
        known_rows: u32,
        own: &UsageCounters,
        members: &Membership,
    ) -> Vec<UsageAction> {
        self.merge_own(now, own);
        // Reports that were never confirmed are replaced by the new ones.
        self.outstanding.clear();
        let mut out = Vec::new();
        for i in 0..self.processes.len() {
            let p = &self.processes[i];
            let own = p.id == self.me;
            let reports_itself = !own
                && now.since(p.heard) < Duration::from_secs(5)
                && members.peer(&p.id.host).is_some_and(|m| m.state == MemberState::Alive);
            if reports_itself {
                continue;
            }
            let id = p.id.clone();
            let named = |t: &Tracked| !own || t.index >= known_rows;
            let mut rows = unwritten(p, named);
            if own && rows.is_empty() {
                // An idle process shows that it lives, since it must not be folded.
                rows.extend(p.rows.last().map(|t| report_row(t, named(t))));
            }
            for rows in split(rows) {
                self.next_seq += 1;
                let seq = self.next_seq;
                let sent = rows.iter().map(|r| (r.index, r.served)).collect();
                self.outstanding.push(Outstanding { seq, process: id.clone(), rows: sent });
                let report = UsageReport { seq, process: id.clone(), rows };
                out.push(UsageAction::Report { to, report });
            }
        }
        out
    }

    /// Handles the writer's confirmation.
    pub fn on_confirm(&mut self, seqs: &[u64]) {
        let (done, open) =
            std::mem::take(&mut self.outstanding).into_iter().partition(|o| seqs.contains(&o.seq));
        self.outstanding = open;
        let done: Vec<Outstanding> = done;
        for o in done {
            self.mark_written(&o.process, &o.rows);
        }
    }

    /// Merges all known counts of a month into the month's object and returns its new value.
    ///
    /// # Errors
    ///
    /// Fails if the present value can't be parsed, or if the result would exceed
    /// [`MAX_USAGE_OBJECT_LEN`].
    pub fn encode(
        &self,
        month: Month,
        present: Option<&[u8]>,
        wall: UnixMs,
    ) -> Result<UsageWrite, UsageError> {
        let mut object = match present {
            Some(bytes) => UsageObject::decode(bytes)?,
            None => UsageObject::default(),
        };
        let mut rows = Vec::new();
        let mut changed = false;
        for p in &self.processes {
            let of_month: Vec<&Tracked> =
                p.rows.iter().filter(|t| t.row.key.month == month).collect();
            if !of_month.is_empty() {
                changed |= object.merge(&p.id, of_month.iter().map(|t| &t.row), wall);
                rows.extend(of_month.iter().map(|t| (p.id.clone(), t.index, t.row.served)));
            }
        }
        let reports = self
            .pending
            .iter()
            .filter(|p| p.months.contains(&month))
            .map(|p| (p.from, p.seq))
            .collect();
        let value = if changed { Some(object.encode(wall)?) } else { None };
        Ok(UsageWrite { month, value, rows, reports })
    }

    /// Records that a value of [`encode`](UsageMerge::encode) is in the platform object.
    pub fn on_written(&mut self, write: &UsageWrite) -> Vec<UsageAction> {
        for (id, index, served) in &write.rows {
            self.mark_written(id, &[(*index, *served)]);
        }
        // A report is confirmed when the objects of all its months are written.
        let mut confirm: Vec<(SocketAddr, Vec<u64>)> = Vec::new();
        self.pending.retain_mut(|p| {
            if write.reports.contains(&(p.from, p.seq)) {
                p.months.retain(|m| *m != write.month);
            }
            if p.months.is_empty() {
                match confirm.iter_mut().find(|(to, _)| *to == p.from) {
                    Some((_, seqs)) => seqs.push(p.seq),
                    None => confirm.push((p.from, vec![p.seq])),
                }
            }
            !p.months.is_empty()
        });
        let parts = |(to, seqs): (SocketAddr, Vec<u64>)| {
            let parts: Vec<Vec<u64>> =
                seqs.chunks(MAX_CONFIRMED_REPORTS).map(<[_]>::to_vec).collect();
            parts.into_iter().map(move |seqs| UsageAction::Confirm { to, seqs })
        };
        confirm.into_iter().flat_map(parts).collect()
    }

    fn process(&self, id: &ProcessId) -> Option<&Process> {
        let i = self.processes.binary_search_by(|p| p.id.cmp(id)).ok()?;
        Some(&self.processes[i])
    }

    /// Returns how many of the first rows of a host's latest process are known.
    fn known_rows(&self, host: &str) -> u32 {
        let latest = self.processes.iter().rfind(|p| *p.id.host == *host);
        let rows = latest.map_or(&[][..], |p| &p.rows);
        rows.iter().enumerate().take_while(|(i, t)| t.index == *i as u32).count() as u32
    }

    /// Merges counts by maximum; returns whether all of them are kept.
    fn merge<I>(&mut self, now: Time, id: &ProcessId, rows: I) -> bool
    where
        I: Iterator<Item = ReportRow>,
    {
        let i = match self.processes.binary_search_by(|p| p.id.cmp(id)) {
            Ok(i) => i,
            Err(_) if self.processes.len() >= MAX_PROCESSES => return false,
            Err(i) => {
                self.processes.insert(i, Process { id: id.clone(), rows: Vec::new(), heard: now });
                i
            }
        };
        let p = &mut self.processes[i];
        p.heard = now;
        let mut all = true;
        for r in rows {
            match (p.find(r.index), r.key) {
                (Ok(k), key) => {
                    let known = &mut p.rows[k].row;
                    if key.is_none_or(|key| key == known.key) {
                        known.served = known.served.max(r.served);
                    }
                }
                (Err(k), Some(key)) if p.rows.len() < MAX_ROWS_PER_PROCESS => {
                    let row = UsageRow { key, served: r.served };
                    p.rows.insert(k, Tracked { index: r.index, row, written: 0, named: 0 });
                }
                _ => all = false,
            }
        }
        all
    }

    fn mark_written(&mut self, id: &ProcessId, rows: &[(u32, u64)]) {
        let Ok(i) = self.processes.binary_search_by(|p| p.id.cmp(id)) else { return };
        let p = &mut self.processes[i];
        for (index, served) in rows {
            if let Ok(k) = p.find(*index) {
                p.rows[k].written = p.rows[k].written.max(*served);
            }
        }
    }

    fn report_own(&mut self, members: &Membership, out: &mut Vec<UsageAction>) {
        let Ok(i) = self.processes.binary_search_by(|p| p.id.cmp(&self.me)) else { return };
        let rows = &mut self.processes[i].rows;
        let peers = report_peers(members);
        if peers != self.peers {
            self.peers = peers;
            rows.iter_mut().for_each(|t| t.named = 0);
        }
        // Keys are named a few times when they are new to the peers, and then in turn, so that a
        // peer that missed them learns them.
        self.reports = self.reports.wrapping_add(1);
        let turn = self.reports % KEY_REFRESH_REPORTS;
        let named =
            |t: &Tracked| t.named < NEW_KEY_REPORTS || t.index % KEY_REFRESH_REPORTS == turn;
        let report = unwritten(&self.processes[i], named);
        for t in &mut self.processes[i].rows {
            t.named += u32::from(t.row.served > t.written && t.named < NEW_KEY_REPORTS);
        }
        for to in &self.peers {
            for rows in split(report.clone()) {
                let report = UsageReport { seq: 0, process: self.me.clone(), rows };
                out.push(UsageAction::Report { to: *to, report });
            }
        }
    }

    /// Drops processes of others whose counts are all written and that are silent.
    fn forget(&mut self, now: Time) {
        let me = &self.me;
        self.processes.retain(|p| {
            p.id == *me
                || now.since(p.heard) < Duration::from_secs(60)
                || p.rows.iter().any(|t| t.row.served > t.written)
        });
    }
}

impl Process {
    fn find(&self, index: u32) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&index, |t| t.index)
    }
}

/// Returns the rows that are not known to be written, with the keys that `named` selects.
fn unwritten<F>(p: &Process, named: F) -> Vec<ReportRow>
where
    F: Fn(&Tracked) -> bool,
{
    let open = p.rows.iter().filter(|t| t.row.served > t.written);
    open.map(|t| report_row(t, named(t))).collect()
}

fn report_row(t: &Tracked, named: bool) -> ReportRow {
    let key = named.then(|| t.row.key.clone());
    ReportRow { index: t.index, key, served: t.row.served }
}

/// Splits rows into reports that fit into a datagram.
fn split(rows: Vec<ReportRow>) -> Vec<Vec<ReportRow>> {
    let mut out: Vec<Vec<ReportRow>> = Vec::new();
    let mut len = MAX_REPORT_LEN;
    for r in rows {
        // Index, presence of the key, and count; month, two lengths and the names of the key.
        let key_len = r.key.as_ref().map_or(0, |k| 9 + k.tenant.len() + k.class.len());
        let row_len = 16 + key_len;
        if len + row_len > MAX_REPORT_LEN {
            out.push(Vec::new());
            len = 0;
        }
        len += row_len;
        if let Some(last) = out.last_mut() {
            last.push(r);
        }
    }
    out
}

/// Returns the peers that hold this host's counts: in an order that differs from host to host, and
/// in different failure domains if possible, so that no domain takes all copies with it.
fn report_peers(members: &Membership) -> Vec<SocketAddr> {
    let me = &members.local_member().name;
    let mut peers: Vec<(u64, &Member)> = members
        .peers()
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| (xxhash_rust::xxh3::xxh3_64(format!("{me}/{}", m.name).as_bytes()), m))
        .collect();
    peers.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.name.cmp(&b.1.name)));
    let mut chosen: Vec<&Member> = Vec::new();
    for distinct in [true, false] {
        for (_, m) in &peers {
            let domain_taken = chosen.iter().any(|c| c.failure_domain == m.failure_domain);
            let taken = chosen.iter().any(|c| c.name == m.name);
            if chosen.len() < REPORT_PEERS && !taken && !(distinct && domain_taken) {
                chosen.push(m);
            }
        }
    }
    chosen.into_iter().map(|m| m.addr).collect()
}

/// Why a usage object could not be merged.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UsageError {
    /// The present value is not a usage object.
    #[error("the usage object can't be parsed: {0}")]
    Parse(String),
    /// The result is too large for the platform.
    #[error("the usage object would have {0} bytes, the limit is {MAX_USAGE_OBJECT_LEN}")]
    TooLarge(usize),
}

/// The platform object of one month.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageObject {
    /// Tenant and class of each count, referred to by position.
    keys: Vec<(Arc<str>, Arc<str>)>,
    /// Settled total for each key.
    settled: Vec<u64>,
    /// Processes whose counts may still rise.
    processes: Vec<StoredProcess>,
    /// Processes that are part of the settled totals, by host.
    folded: Vec<(Arc<str>, Vec<u64>)>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredProcess {
    host: Arc<str>,
    run: u64,
    /// When it was last merged with a change, or known to live.
    seen: UnixMs,
    /// Position of the key, and count.
    counts: Vec<(u32, u64)>,
}

impl UsageObject {
    /// Parses an object.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a usage object.
    pub fn decode(bytes: &[u8]) -> Result<Self, UsageError> {
        let object: UsageObject =
            serde_json::from_slice(bytes).map_err(|e| UsageError::Parse(e.to_string()))?;
        let keys = object.keys.len();
        let known = object.processes.iter().all(|p| p.counts.iter().all(|c| (c.0 as usize) < keys));
        if object.settled.len() != keys || !known {
            return Err(UsageError::Parse(String::from("a count refers to a missing key")));
        }
        Ok(object)
    }

    /// Returns the month's total for each tenant and class.
    pub fn totals(&self) -> Vec<(Arc<str>, Arc<str>, u64)> {
        let mut totals = self.settled.clone();
        for (key, n) in self.processes.iter().flat_map(|p| &p.counts) {
            totals[*key as usize] += n;
        }
        self.keys.iter().zip(totals).map(|((t, c), n)| (t.clone(), c.clone(), n)).collect()
    }

    fn is_folded(&self, id: &ProcessId) -> bool {
        self.folded.iter().any(|(host, runs)| *host == id.host && runs.contains(&id.run))
    }

    /// Merges counts of a process by maximum; returns whether anything changed.
    fn merge<'a, I>(&mut self, id: &ProcessId, rows: I, wall: UnixMs) -> bool
    where
        I: Iterator<Item = &'a UsageRow>,
    {
        if self.is_folded(id) {
            return false;
        }
        let found = self.processes.iter().position(|p| p.host == id.host && p.run == id.run);
        let i = found.unwrap_or_else(|| {
            self.processes.push(StoredProcess {
                host: id.host.clone(),
                run: id.run,
                seen: wall,
                counts: Vec::new(),
            });
            self.processes.len() - 1
        });
        let mut changed = found.is_none();
        for r in rows {
            let key = self.key(&r.key);
            let counts = &mut self.processes[i].counts;
            match counts.binary_search_by_key(&key, |c| c.0) {
                Ok(k) => {
                    changed |= counts[k].1 < r.served;
                    counts[k].1 = counts[k].1.max(r.served);
                }
                Err(k) => {
                    changed = true;
                    counts.insert(k, (key, r.served));
                }
            }
        }
        // A process whose counts stand still is marked as alive now and then.
        let idle = wall.0.saturating_sub(self.processes[i].seen.0);
        if changed || idle >= SEEN_INTERVAL.as_millis() as u64 {
            self.processes[i].seen = wall;
            changed = true;
        }
        changed
    }

    fn key(&mut self, key: &UsageKey) -> u32 {
        let found = self.keys.iter().position(|(t, c)| *t == key.tenant && *c == key.class);
        let i = found.unwrap_or_else(|| {
            self.keys.push((key.tenant.clone(), key.class.clone()));
            self.settled.push(0);
            self.keys.len() - 1
        });
        i as u32
    }

    /// Folds processes that were not seen for `age`.
    fn fold(&mut self, wall: UnixMs, age: Duration) {
        let (keep, old): (Vec<_>, Vec<_>) = std::mem::take(&mut self.processes)
            .into_iter()
            .partition(|p| wall.0.saturating_sub(p.seen.0) < age.as_millis() as u64);
        self.processes = keep;
        for p in old {
            for (key, n) in p.counts {
                self.settled[key as usize] += n;
            }
            match self.folded.iter_mut().find(|(host, _)| *host == p.host) {
                Some((_, runs)) => runs.push(p.run),
                None => self.folded.push((p.host, vec![p.run])),
            }
        }
    }

    fn encode(&mut self, wall: UnixMs) -> Result<Vec<u8>, UsageError> {
        let mut age = FOLD_AGE;
        loop {
            self.fold(wall, age);
            let bytes = serde_json::to_vec(self).map_err(|e| UsageError::Parse(e.to_string()))?;
            if bytes.len() <= MAX_USAGE_OBJECT_LEN {
                return Ok(bytes);
            }
            if age <= MIN_FOLD_AGE {
                return Err(UsageError::TooLarge(bytes.len()));
            }
            age = (age / 2).max(MIN_FOLD_AGE);
        }
    }
}
