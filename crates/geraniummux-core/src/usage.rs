//! Usage accounting: counts of served requests per tenant, class and month.
//!
//! Each process of a host keeps cumulative counters and reports them to a few peers, so that
//! a killed process loses little. One host, the usage writer, collects the counters of all hosts and
//! merges them into one platform object per month. Counters are merged by maximum, so a report or
//! write may be repeated, reordered or lost without counting a request twice.

use crate::membership::{MAX_HOST_NAME_LEN, Member, MemberState, Membership};
use crate::time::{Time, UnixMs};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest encoded usage object, in bytes. The platform stores values up to 1 MiB; the difference
/// leaves room for one merge.
pub const MAX_USAGE_OBJECT_LEN: usize = 900 << 10;
/// Time without a new count or keepalive in a usage object after which a process is folded: its
/// counts are added to the settled totals, and later reports of it are ignored. It exceeds the
/// longest expected partition between regions, because requests that a folded process still counts
/// are lost.
pub const FOLD_AGE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Lower limit of [`FOLD_AGE`], which is halved for a merge as often as the object exceeds
/// [`MAX_USAGE_OBJECT_LEN`].
pub const MIN_FOLD_AGE: Duration = Duration::from_secs(3_600);
/// Interval of the keepalives of an idle process: updates of its time in the object.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Interval of the reports to peers; bounds the counts that are lost when a process is killed.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the merges into the platform objects.
pub const MERGE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of peers to which each host reports.
pub const REPORT_PEERS: usize = 3;
/// Largest length of the rows in one report, in bytes, so that it fits into a datagram.
pub const MAX_REPORT_LEN: usize = 900;
/// Most reports that one message confirms; each takes up to 10 bytes.
pub const MAX_CONFIRMED_REPORTS: usize = 100;
/// Number of reports that include a key after it appeared or the report peers changed.
pub const NEW_KEY_REPORTS: u32 = 3;
/// Interval, in reports, at which each key is included after its first [`NEW_KEY_REPORTS`].
pub const KEY_REFRESH_REPORTS: u32 = 16;
/// Most processes whose counters a host keeps; bounds memory.
pub const MAX_PROCESSES: usize = 4_096;
/// Most rows that a host keeps of one process; bounds memory.
pub const MAX_ROWS_PER_PROCESS: usize = 4_096;

/// A calendar month in UTC, as `year * 100 + month`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Month(pub u32);

impl Month {
    /// Returns the month that contains an instant.
    pub const fn containing(now: UnixMs) -> Self {
        // Converts days to a date of the proleptic Gregorian calendar, with years that begin in
        // March so that the leap day is the last day of a year.
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

/// Formats the month as in the name of its platform object, for example `2026-12`.
impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.0 / 100, self.0 % 100)
    }
}

/// Identity of one process of a host. It stays the same while the process runs, unlike the
/// membership incarnation, which rises whenever the host refutes a suspicion.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessId {
    /// Name of the host.
    pub host: Arc<str>,
    /// Number that distinguishes the processes of a host, derived from the start time.
    pub run: u64,
}

impl ProcessId {
    /// Returns the identity of a process that starts at `started`.
    pub fn new<R>(host: Arc<str>, started: UnixMs, rng: &mut R) -> Self
    where
        R: Rng + ?Sized,
    {
        // The random bits distinguish processes of the same name that start in the same
        // millisecond. The number stays below 2^53, which JSON readers represent exactly.
        ProcessId { host, run: (started.0 << 10 | rng.random_range(0..1 << 10)) & ((1 << 53) - 1) }
    }
}

/// The key of a counter.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageKey {
    /// Month in which the requests were served.
    pub month: Month,
    /// Tenant whose requests are counted.
    pub tenant: Arc<str>,
    /// Class of the requests within the tenant.
    pub class: Arc<str>,
}

/// One counter of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// Key of the counter.
    pub key: UsageKey,
    /// Requests served since the start of the process.
    pub served: u64,
}

/// One counter in a report. The keys of 70 rows take about 1.5 KB, so a key is omitted once the
/// receiver has probably received it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportRow {
    /// Position of the row among the process's counters, which never changes.
    pub index: u32,
    /// Key of the counter; `None` if an earlier report included it.
    pub key: Option<UsageKey>,
    /// Requests served since the start of the process.
    pub served: u64,
}

/// Counters of one process, sent to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Number of the report among those of its sender; 0 if it needs no confirmation.
    pub seq: u64,
    /// Process that counted.
    pub process: ProcessId,
    /// Some or all counters of the process.
    pub rows: Vec<ReportRow>,
}

/// The counters of this process.
#[derive(Clone, Debug)]
pub struct UsageCounters {
    process: ProcessId,
    /// In the order in which the keys first appeared, so that positions never change.
    rows: Vec<UsageRow>,
    /// Positions in `rows`, sorted by key.
    sorted: Vec<u32>,
}

impl UsageCounters {
    /// Returns the counters of a starting process.
    pub fn new(process: ProcessId) -> Self {
        UsageCounters { process, rows: Vec::new(), sorted: Vec::new() }
    }

    /// Counts one request. A request counts as served when the caller's TCP acknowledges its
    /// response, at `now`.
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

    /// Returns the identity of the process that counts.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Returns the counters in the order in which their keys first appeared.
    pub fn rows(&self) -> &[UsageRow] {
        &self.rows
    }
}

/// An action that [`UsageMerge`] asks the daemon to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageAction {
    /// Send counters to a peer.
    Report {
        /// Address of the peer.
        to: SocketAddr,
        /// The counters.
        report: UsageReport,
    },
    /// As the usage writer, request all unconfirmed counters of a peer.
    Collect {
        /// Address of the peer.
        to: SocketAddr,
        /// Number of rows of the peer's process, from the first on, whose keys the writer knows.
        known_rows: u32,
    },
    /// As the usage writer, confirm to a peer that its reports are in the platform objects.
    Confirm {
        /// Address of the peer.
        to: SocketAddr,
        /// Numbers of the reports.
        seqs: Vec<u64>,
    },
    /// Read the object `usage/<month>`, pass it to [`UsageMerge::encode`], write the result
    /// conditionally, and call [`UsageMerge::on_written`]. After a conflict or a lost response,
    /// repeat this from the read on; the merge is idempotent.
    Write {
        /// Month of the object.
        month: Month,
    },
}

/// A counter, and how much of it is in the platform object.
#[derive(Clone, Debug)]
struct Tracked {
    index: u32,
    row: UsageRow,
    /// Count that is known to be in the platform object.
    written: u64,
    /// Number of reports to the current report peers that included the key, up to
    /// [`NEW_KEY_REPORTS`]; for this host's own process only.
    key_reports: u32,
}

/// The counters of one process.
#[derive(Clone, Debug)]
struct Process {
    id: ProcessId,
    /// Sorted by index.
    rows: Vec<Tracked>,
    /// Time of the latest report with counters of this process.
    last_report: Time,
}

/// A report to the usage writer that has not been confirmed.
#[derive(Clone, Debug)]
struct Outstanding {
    seq: u64,
    process: ProcessId,
    /// Index and count of each reported row.
    rows: Vec<(u32, u64)>,
}

/// A report from a peer that the usage writer confirms once it is in the objects of `months`.
#[derive(Clone, Debug)]
struct Pending {
    from: SocketAddr,
    seq: u64,
    months: Vec<Month>,
}

/// A new value of a month's object, with the counters and reports that it contains, for
/// [`UsageMerge::on_written`].
#[derive(Clone, Debug)]
pub struct UsageWrite {
    /// Month of the object.
    pub month: Month,
    /// New value; `None` if the object already contains all counts.
    pub value: Option<Vec<u8>>,
    rows: Vec<(ProcessId, u32, u64)>,
    reports: Vec<(SocketAddr, u64)>,
}

/// The counters of all processes that one host has received, and the state of their reports and
/// writes to the platform.
#[derive(Clone, Debug)]
pub struct UsageMerge {
    local: ProcessId,
    /// Sorted by identity; includes the local process.
    processes: Vec<Process>,
    outstanding: Vec<Outstanding>,
    pending: Vec<Pending>,
    next_seq: u64,
    next_report: Time,
    reports_sent: u32,
    report_peers: Vec<SocketAddr>,
    next_collect: Time,
    write_at: Option<Time>,
    holder: bool,
}

impl UsageMerge {
    /// Returns the state of a starting host, whose process is `local`.
    pub fn new(now: Time, local: ProcessId) -> Self {
        UsageMerge {
            processes: vec![Process { id: local.clone(), rows: Vec::new(), last_report: now }],
            local,
            outstanding: Vec::new(),
            pending: Vec::new(),
            next_seq: 0,
            next_report: now + REPORT_INTERVAL,
            reports_sent: 0,
            report_peers: Vec::new(),
            next_collect: now,
            write_at: None,
            holder: false,
        }
    }

    /// Sets whether this host is the usage writer, that is, holds the writer's lease.
    pub fn set_holder(&mut self, now: Time, holder: bool) {
        if holder && !self.holder {
            self.next_collect = now;
        }
        self.holder = holder;
    }

    /// Returns the months with counts that are not known to be in their platform objects. A host
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

    /// Advances the timers. The daemon runs it at least every 100 ms, with the counters of its
    /// process.
    pub fn tick(
        &mut self,
        now: Time,
        counters: &UsageCounters,
        members: &Membership,
    ) -> Vec<UsageAction> {
        let mut out = Vec::new();
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.merge_own(now, counters);
            self.report_own(members, &mut out);
            self.drop_silent(now);
        }
        if self.holder && now >= self.next_collect {
            self.next_collect = now + MERGE_INTERVAL;
            // Peers send unconfirmed counts again under new numbers, so the old ones are obsolete.
            self.pending.clear();
            // The wait covers a round trip between regions. Reports that arrive later are merged
            // next time.
            self.write_at = Some(now + Duration::from_secs(1));
            let to = members.live_peers();
            out.extend(to.map(|m| UsageAction::Collect {
                to: m.addr,
                known_rows: self.known_rows(&m.name),
            }));
        }
        if self.write_at.is_some_and(|t| now >= t) {
            self.write_at = None;
            self.merge_own(now, counters);
            out.extend(
                self.unwritten_months().into_iter().map(|month| UsageAction::Write { month }),
            );
        }
        out
    }

    /// Merges the current counters of the local process. [`tick`](UsageMerge::tick) does this every
    /// second; a host that shuts down calls it before its last writes.
    pub fn merge_own(&mut self, now: Time, counters: &UsageCounters) {
        let rows = counters.rows().iter().enumerate().map(|(i, r)| ReportRow {
            index: i as u32,
            key: Some(r.key.clone()),
            served: r.served,
        });
        self.merge(now, counters.process(), rows);
    }

    /// Handles a report from a peer.
    pub fn on_report(&mut self, now: Time, from: SocketAddr, report: UsageReport) {
        let fits = |s: &str| s.len() <= MAX_HOST_NAME_LEN;
        let valid = fits(&report.process.host)
            && report.rows.iter().flat_map(|r| &r.key).all(|k| fits(&k.tenant) && fits(&k.class));
        // The local process's own counters are always at least as recent as a peer's copy.
        if !valid || report.process == self.local {
            return;
        }
        let indexes: Vec<u32> = report.rows.iter().map(|r| r.index).collect();
        // A report of which a row was dropped stays unconfirmed, so that the peer sends it again,
        // with the key.
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

    /// Handles the usage writer's request for counters. The reports go to the writer at `to`, which
    /// knows the keys of the first `known_rows` rows of the local process.
    pub fn on_collect(
        &mut self,
        now: Time,
        to: SocketAddr,
        known_rows: u32,
        counters: &UsageCounters,
        members: &Membership,
    ) -> Vec<UsageAction> {
        self.merge_own(now, counters);
        // The new reports replace those that were never confirmed.
        self.outstanding.clear();
        let mut out = Vec::new();
        for i in 0..self.processes.len() {
            let p = &self.processes[i];
            let is_local = p.id == self.local;
            let reports_itself = !is_local
                && now.since(p.last_report) < Duration::from_secs(5)
                && members.peer(&p.id.host).is_some_and(|m| m.state == MemberState::Alive);
            if reports_itself {
                continue;
            }
            let id = p.id.clone();
            let with_key = |t: &Tracked| !is_local || t.index >= known_rows;
            let mut rows = unwritten_rows(p, with_key);
            if is_local && rows.is_empty() {
                // An idle process reports a row as a keepalive, so that it is not folded.
                rows.extend(p.rows.last().map(|t| report_row(t, with_key(t))));
            }
            for rows in split_into_reports(rows) {
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

    /// Handles the usage writer's confirmation of reports.
    pub fn on_confirm(&mut self, seqs: &[u64]) {
        let (done, open) =
            std::mem::take(&mut self.outstanding).into_iter().partition(|o| seqs.contains(&o.seq));
        self.outstanding = open;
        let done: Vec<Outstanding> = done;
        for o in done {
            self.mark_written(&o.process, &o.rows);
        }
    }

    /// Merges the counters of a month into the month's object, whose current value is `present`,
    /// and returns the new value.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::Parse`] if `present` can't be parsed, and [`UsageError::TooLarge`] if
    /// the new value would exceed [`MAX_USAGE_OBJECT_LEN`].
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
            let month_rows: Vec<&Tracked> =
                p.rows.iter().filter(|t| t.row.key.month == month).collect();
            if !month_rows.is_empty() {
                changed |= object.merge(&p.id, month_rows.iter().map(|t| &t.row), wall);
                rows.extend(month_rows.iter().map(|t| (p.id.clone(), t.index, t.row.served)));
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

    /// Records that a value from [`encode`](UsageMerge::encode) is in the platform object, and
    /// returns the confirmations to send.
    pub fn on_written(&mut self, write: &UsageWrite) -> Vec<UsageAction> {
        for (id, index, served) in &write.rows {
            self.mark_written(id, &[(*index, *served)]);
        }
        // A report is confirmed once the objects of all its months are written.
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

    /// Returns the number of rows of a host's latest process, from the first on, whose keys are
    /// known.
    fn known_rows(&self, host: &str) -> u32 {
        let latest = self.processes.iter().rfind(|p| *p.id.host == *host);
        let rows = latest.map_or(&[][..], |p| &p.rows);
        rows.iter().enumerate().take_while(|(i, t)| t.index == *i as u32).count() as u32
    }

    /// Merges counts by maximum; returns whether all rows were kept.
    fn merge<I>(&mut self, now: Time, id: &ProcessId, rows: I) -> bool
    where
        I: Iterator<Item = ReportRow>,
    {
        let i = match self.processes.binary_search_by(|p| p.id.cmp(id)) {
            Ok(i) => i,
            Err(_) if self.processes.len() >= MAX_PROCESSES => return false,
            Err(i) => {
                self.processes
                    .insert(i, Process { id: id.clone(), rows: Vec::new(), last_report: now });
                i
            }
        };
        let p = &mut self.processes[i];
        p.last_report = now;
        let mut complete = true;
        for r in rows {
            match (p.find(r.index), r.key) {
                (Ok(k), key) => {
                    let row = &mut p.rows[k].row;
                    if key.is_none_or(|key| key == row.key) {
                        row.served = row.served.max(r.served);
                    }
                }
                (Err(k), Some(key)) if p.rows.len() < MAX_ROWS_PER_PROCESS => {
                    let row = UsageRow { key, served: r.served };
                    p.rows.insert(k, Tracked { index: r.index, row, written: 0, key_reports: 0 });
                }
                _ => complete = false,
            }
        }
        complete
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
        let Ok(i) = self.processes.binary_search_by(|p| p.id.cmp(&self.local)) else { return };
        let rows = &mut self.processes[i].rows;
        let peers = choose_report_peers(members);
        if peers != self.report_peers {
            self.report_peers = peers;
            rows.iter_mut().for_each(|t| t.key_reports = 0);
        }
        // A key that is new to the peers is included in a few reports, and afterwards in turn with
        // the others, so that a peer that lost those reports receives it too.
        self.reports_sent = self.reports_sent.wrapping_add(1);
        let turn = self.reports_sent % KEY_REFRESH_REPORTS;
        let with_key =
            |t: &Tracked| t.key_reports < NEW_KEY_REPORTS || t.index % KEY_REFRESH_REPORTS == turn;
        let report = unwritten_rows(&self.processes[i], with_key);
        for t in &mut self.processes[i].rows {
            t.key_reports += u32::from(t.row.served > t.written && t.key_reports < NEW_KEY_REPORTS);
        }
        for to in &self.report_peers {
            for rows in split_into_reports(report.clone()) {
                let report = UsageReport { seq: 0, process: self.local.clone(), rows };
                out.push(UsageAction::Report { to: *to, report });
            }
        }
    }

    /// Removes processes of other hosts that stopped reporting and whose counts are all written.
    fn drop_silent(&mut self, now: Time) {
        let local = &self.local;
        self.processes.retain(|p| {
            p.id == *local
                || now.since(p.last_report) < Duration::from_secs(60)
                || p.rows.iter().any(|t| t.row.served > t.written)
        });
    }
}

impl Process {
    fn find(&self, index: u32) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&index, |t| t.index)
    }
}

/// Returns the rows with counts that are not known to be in the platform object. `with_key` selects
/// the rows that include their key.
fn unwritten_rows<F>(p: &Process, with_key: F) -> Vec<ReportRow>
where
    F: Fn(&Tracked) -> bool,
{
    let pending = p.rows.iter().filter(|t| t.row.served > t.written);
    pending.map(|t| report_row(t, with_key(t))).collect()
}

fn report_row(t: &Tracked, with_key: bool) -> ReportRow {
    let key = with_key.then(|| t.row.key.clone());
    ReportRow { index: t.index, key, served: t.row.served }
}

/// Splits rows into reports that fit into a datagram.
fn split_into_reports(rows: Vec<ReportRow>) -> Vec<Vec<ReportRow>> {
    let mut out: Vec<Vec<ReportRow>> = Vec::new();
    let mut len = MAX_REPORT_LEN;
    for r in rows {
        // A row has an index, a presence flag and a count, of up to 16 bytes together; a key has a
        // month, two lengths and two names.
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

/// Returns the peers to which this host reports. A hash order spreads the reports of all hosts over
/// the peers, and different failure domains are preferred, so that the loss of one domain does not
/// lose all copies.
fn choose_report_peers(members: &Membership) -> Vec<SocketAddr> {
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

/// Reasons for which a usage object could not be parsed or written.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UsageError {
    /// The value is not a usage object.
    #[error("the usage object can't be parsed: {0}")]
    Parse(String),
    /// The new value, of this many bytes, exceeds [`MAX_USAGE_OBJECT_LEN`].
    #[error("the usage object would have {0} bytes, the limit is {MAX_USAGE_OBJECT_LEN}")]
    TooLarge(usize),
}

/// The platform object of one month, stored as JSON.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageObject {
    /// Tenant and class of each key; the other fields refer to keys by position.
    keys: Vec<(Arc<str>, Arc<str>)>,
    /// Total of the folded processes for each key.
    settled: Vec<u64>,
    /// Processes whose counts may still rise.
    processes: Vec<StoredProcess>,
    /// `run` numbers of the folded processes, by host.
    folded: Vec<(Arc<str>, Vec<u64>)>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredProcess {
    host: Arc<str>,
    run: u64,
    /// Time of the last change of a count or keepalive.
    seen: UnixMs,
    /// Position of the key, and count. Sorted by position.
    counts: Vec<(u32, u64)>,
}

impl UsageObject {
    /// Parses the value of an object.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::Parse`] if the value is not a usage object.
    pub fn decode(bytes: &[u8]) -> Result<Self, UsageError> {
        let object: UsageObject =
            serde_json::from_slice(bytes).map_err(|e| UsageError::Parse(e.to_string()))?;
        let keys = object.keys.len();
        let keys_exist =
            object.processes.iter().all(|p| p.counts.iter().all(|c| (c.0 as usize) < keys));
        if object.settled.len() != keys || !keys_exist {
            return Err(UsageError::Parse(String::from("a count refers to a missing key")));
        }
        Ok(object)
    }

    /// Returns the total of the month for each tenant and class.
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

    /// Merges counters of a process by maximum; returns whether the object changed.
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
            let key = self.key_index(&r.key);
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
        // The time of a process whose counts don't change is updated by keepalives.
        let idle = wall.0.saturating_sub(self.processes[i].seen.0);
        if changed || idle >= KEEPALIVE_INTERVAL.as_millis() as u64 {
            self.processes[i].seen = wall;
            changed = true;
        }
        changed
    }

    fn key_index(&mut self, key: &UsageKey) -> u32 {
        let found = self.keys.iter().position(|(t, c)| *t == key.tenant && *c == key.class);
        let i = found.unwrap_or_else(|| {
            self.keys.push((key.tenant.clone(), key.class.clone()));
            self.settled.push(0);
            self.keys.len() - 1
        });
        i as u32
    }

    /// Folds processes without a change of a count or keepalive for `age`.
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
