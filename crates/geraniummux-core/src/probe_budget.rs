//! Paid probes under the per-target budget.
//!
//! The budget holds in any sliding window of [`WINDOW`], counted at the target over all entry
//! hosts. Only the holder of the pool's lease probes, so the bound doesn't depend on which peers a
//! host believes to be alive.

use crate::config::Pool;
use crate::lease::HeldLease;
use crate::load::{LoadTable, TargetId};
use crate::time::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the sliding window over which the budget is counted.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Added to [`WINDOW`] when the own probes are counted, for the difference between a probe's time
/// at the sender and at the target and for clocks that drift by up to 1%.
pub const WINDOW_MARGIN: Duration = Duration::from_millis(600);

#[derive(Clone, Debug)]
struct Probed {
    id: TargetId,
    addr: SocketAddr,
    /// Times of the probes of the last window, oldest first.
    sent: VecDeque<Time>,
    outstanding: bool,
    next_at: Time,
}

/// Schedules the probes of one pool's targets.
#[derive(Clone, Debug)]
pub struct ProbeScheduler {
    limit: usize,
    /// Sorted by id.
    targets: Vec<Probed>,
    /// Former targets of the pool that were probed lately. A target that is removed and added
    /// again within the window doesn't get a fresh budget.
    removed: Vec<Probed>,
}

impl ProbeScheduler {
    /// Returns a scheduler for the targets of `pool`, which are in `table`.
    pub fn new(pool: &Pool, table: &LoadTable, now: Time) -> Self {
        let mut scheduler = ProbeScheduler { limit: 0, targets: Vec::new(), removed: Vec::new() };
        scheduler.update(pool, table, now);
        scheduler
    }

    /// Adopts a changed pool, after [`LoadTable::update`].
    pub fn update(&mut self, pool: &Pool, table: &LoadTable, now: Time) {
        self.limit = probe_limit(pool.probe_budget_per_s, pool.probe_share);
        let mut old = std::mem::take(&mut self.targets);
        old.append(&mut self.removed);
        for target in &pool.targets {
            let Some(id) = table.id(&pool.name, &target.name) else { continue };
            let kept = old.iter().position(|p| p.addr == target.addr);
            let probed = match kept {
                Some(i) => Probed { id, ..old.swap_remove(i) },
                None => Probed {
                    id,
                    addr: target.addr,
                    sent: VecDeque::new(),
                    outstanding: false,
                    next_at: now,
                },
            };
            self.targets.push(probed);
        }
        self.targets.sort_unstable_by_key(|p| p.id);
        old.retain(|p| p.sent.back().is_some_and(|t| now.since(*t) <= WINDOW + WINDOW_MARGIN));
        self.removed = old;
    }

    /// Returns the largest number of probes that a target gets in a window.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the targets to probe now.
    ///
    /// Each is to be confirmed with [`ProbeScheduler::try_start`] directly before it is sent.
    pub fn due(&self, lease: Option<HeldLease>, now: Time) -> Vec<TargetId> {
        if !self.may_probe(lease, now) {
            return Vec::new();
        }
        self.targets.iter().filter(|p| self.is_due(p, now)).map(|p| p.id).collect()
    }

    /// Returns when the next probe is due, if the lease is held until then.
    pub fn next_at(&self) -> Option<Time> {
        if self.limit == 0 {
            return None;
        }
        self.targets.iter().filter(|p| !p.outstanding).map(|p| p.next_at).min()
    }

    /// Returns whether a probe may be sent now, and counts it.
    ///
    /// The caller sends the probe at once and calls [`ProbeScheduler::on_sent`] after that.
    pub fn try_start(&mut self, id: TargetId, lease: Option<HeldLease>, now: Time) -> bool {
        if !self.may_probe(lease, now) {
            return false;
        }
        let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id) else { return false };
        if !self.is_due(&self.targets[i], now) {
            return false;
        }
        let interval = (WINDOW + WINDOW_MARGIN).div_f64(self.limit as f64);
        let target = &mut self.targets[i];
        while target.sent.front().is_some_and(|t| now.since(*t) > WINDOW + WINDOW_MARGIN) {
            target.sent.pop_front();
        }
        target.sent.push_back(now);
        target.outstanding = true;
        target.next_at = now + interval;
        true
    }

    /// Notes that a confirmed probe left at `now`, which is later than its confirmation if the
    /// process was paused in between.
    pub fn on_sent(&mut self, id: TargetId, now: Time) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id)
            && let Some(last) = self.targets[i].sent.back_mut()
        {
            *last = now;
        }
    }

    /// Notes that a confirmed probe ended: with an answer, an error, a timeout, or unsent.
    pub fn on_done(&mut self, id: TargetId) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |p| p.id) {
            self.targets[i].outstanding = false;
        }
    }

    /// Returns whether the lease is valid and probes of a former holder lie outside the window.
    fn may_probe(&self, lease: Option<HeldLease>, now: Time) -> bool {
        lease.is_some_and(|l| l.is_valid(now) && now >= l.exclusive_since + WINDOW + WINDOW_MARGIN)
    }

    fn is_due(&self, target: &Probed, now: Time) -> bool {
        let recent = target.sent.iter().filter(|t| now.since(**t) <= WINDOW + WINDOW_MARGIN);
        !target.outstanding && now >= target.next_at && recent.count() < self.limit
    }
}

/// Probes of a target's budget that stay unspent in each window: the reserve for probes of two
/// other processes that were paused between check and send and resume in the same window. A
/// reserve of one let 2 of 1,000 seeds with two such pauses exceed the budget.
const RESERVE: usize = 2;

/// Returns how many probes of the budget the lease holder sends to a target in a window.
fn probe_limit(budget_per_s: f64, share: f64) -> usize {
    let window = WINDOW.as_secs_f64();
    let budget = (window * budget_per_s).floor() as usize;
    let spend = (window * budget_per_s * share).floor() as usize;
    spend.min(budget.saturating_sub(RESERVE))
}
