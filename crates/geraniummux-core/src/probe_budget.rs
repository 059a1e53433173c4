//! Scheduling of active probes under a budget for each target.
//!
//! Start with [`ProbeScheduler`]. The budget holds in any sliding window of [`BUDGET_WINDOW`],
//! counted at the target over the probes of all hosts. Only the holder of the pool's lease
//! probes, so the bound doesn't depend on which peers a host believes to be alive. A new holder
//! waits for the length of a window before its first probe, so that the probes of the former holder
//! don't add to its own.

use crate::config::Pool;
use crate::lease::HeldLease;
use crate::load::{LoadTable, TargetId};
use crate::time::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the sliding window over which the probes of a target are counted against its budget.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Added to [`BUDGET_WINDOW`] when the sender counts its probes. Covers the difference between the
/// send time and the arrival at the target, and clocks that drift by up to 1%.
pub const BUDGET_WINDOW_MARGIN: Duration = Duration::from_millis(600);

/// Probes of one target.
#[derive(Clone, Debug)]
struct TargetProbes {
    id: TargetId,
    addr: SocketAddr,
    /// Send times of the probes of the last window, oldest first.
    sent: VecDeque<Time>,
    /// Whether a probe has been started and has not ended.
    outstanding: bool,
    /// Earliest time of the next probe.
    next_at: Time,
}

/// Schedules the probes of the targets of one pool.
///
/// For each target that [`due`](ProbeScheduler::due) returns, the daemon calls
/// [`try_start`](ProbeScheduler::try_start), sends the probe, and then reports it with
/// [`on_sent`](ProbeScheduler::on_sent) and [`on_done`](ProbeScheduler::on_done).
#[derive(Clone, Debug)]
pub struct ProbeScheduler {
    /// Maximum number of probes to a target in a window.
    limit: usize,
    /// Sorted by id.
    targets: Vec<TargetProbes>,
    /// Former targets of the pool that were probed within the last window. A target that is removed
    /// and added again within the window keeps its spent budget.
    removed: Vec<TargetProbes>,
}

impl ProbeScheduler {
    /// Returns a scheduler for the targets of `pool`. `table` must contain them.
    pub fn new(pool: &Pool, table: &LoadTable, now: Time) -> Self {
        let mut scheduler = ProbeScheduler { limit: 0, targets: Vec::new(), removed: Vec::new() };
        scheduler.update(pool, table, now);
        scheduler
    }

    /// Applies a changed pool. Called after [`LoadTable::update`].
    pub fn update(&mut self, pool: &Pool, table: &LoadTable, now: Time) {
        self.limit = probe_limit(pool.probe_budget_per_s, pool.probe_share);
        let mut old = std::mem::take(&mut self.targets);
        old.append(&mut self.removed);
        for target in &pool.targets {
            let Some(id) = table.id(&pool.name, &target.name) else { continue };
            let kept = old.iter().position(|p| p.addr == target.addr);
            let target_probes = match kept {
                Some(i) => TargetProbes { id, ..old.swap_remove(i) },
                None => TargetProbes {
                    id,
                    addr: target.addr,
                    sent: VecDeque::new(),
                    outstanding: false,
                    next_at: now,
                },
            };
            self.targets.push(target_probes);
        }
        self.targets.sort_unstable_by_key(|p| p.id);
        old.retain(|p| {
            p.sent.back().is_some_and(|t| now.since(*t) <= BUDGET_WINDOW + BUDGET_WINDOW_MARGIN)
        });
        self.removed = old;
    }

    /// Returns the maximum number of probes that are sent to a target in a window.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the targets to probe now.
    ///
    /// [`ProbeScheduler::try_start`] must be called for each directly before its probe is sent.
    pub fn due(&self, lease: Option<HeldLease>, now: Time) -> Vec<TargetId> {
        if !self.lease_allows_probe(lease, now) {
            return Vec::new();
        }
        self.targets.iter().filter(|p| self.is_due(p, now)).map(|p| p.id).collect()
    }

    /// Returns when the next probe is due, provided that the lease is held then.
    pub fn next_at(&self) -> Option<Time> {
        if self.limit == 0 {
            return None;
        }
        self.targets.iter().filter(|p| !p.outstanding).map(|p| p.next_at).min()
    }

    /// Checks whether a probe may be sent now, and if so counts it against the budget.
    ///
    /// If it returns true, the daemon sends the probe immediately and then calls
    /// [`ProbeScheduler::on_sent`].
    pub fn try_start(&mut self, id: TargetId, lease: Option<HeldLease>, now: Time) -> bool {
        if !self.lease_allows_probe(lease, now) {
            return false;
        }
        let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id) else { return false };
        if !self.is_due(&self.targets[i], now) {
            return false;
        }
        let interval = (BUDGET_WINDOW + BUDGET_WINDOW_MARGIN).div_f64(self.limit as f64);
        let target = &mut self.targets[i];
        while target
            .sent
            .front()
            .is_some_and(|t| now.since(*t) > BUDGET_WINDOW + BUDGET_WINDOW_MARGIN)
        {
            target.sent.pop_front();
        }
        target.sent.push_back(now);
        target.outstanding = true;
        target.next_at = now + interval;
        true
    }

    /// Records that a started probe was sent at `now`. This is later than its start if the process
    /// was paused in between.
    pub fn on_sent(&mut self, id: TargetId, now: Time) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id)
            && let Some(last) = self.targets[i].sent.back_mut()
        {
            *last = now;
        }
    }

    /// Records that a started probe has ended: with a response, an error or a timeout, or without
    /// being sent.
    pub fn on_done(&mut self, id: TargetId) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id) {
            self.targets[i].outstanding = false;
        }
    }

    /// Returns whether the lease is valid and has been held for so long that no probe of a former
    /// holder is within the window.
    fn lease_allows_probe(&self, lease: Option<HeldLease>, now: Time) -> bool {
        lease.is_some_and(|l| {
            l.is_valid(now) && now >= l.exclusive_since + BUDGET_WINDOW + BUDGET_WINDOW_MARGIN
        })
    }

    fn is_due(&self, target: &TargetProbes, now: Time) -> bool {
        let recent =
            target.sent.iter().filter(|t| now.since(**t) <= BUDGET_WINDOW + BUDGET_WINDOW_MARGIN);
        !target.outstanding && now >= target.next_at && recent.count() < self.limit
    }
}

/// Probes of a target's budget that the lease holder leaves unspent in each window. They cover the
/// probes of two other processes that were paused between check and send and resume in the same
/// window. With a reserve of one, 2 of 1,000 seeds with two such pauses exceeded the budget.
const RESERVED_PROBES: usize = 2;

/// Returns the number of probes that the lease holder may send to a target in a window.
fn probe_limit(budget_per_s: f64, share: f64) -> usize {
    let window = BUDGET_WINDOW.as_secs_f64();
    let budget = (window * budget_per_s).floor() as usize;
    let spend = (window * budget_per_s * share).floor() as usize;
    spend.min(budget.saturating_sub(RESERVED_PROBES))
}
