//! Refuses figures of targets and peers that can't be true, and says so in the log, at most once a minute for each
//! source.

use geraniummux_core::Time;
use geraniummux_core::fleet::{MAX_WARM_UP, TargetReport, is_plausible_fault_weight};
use geraniummux_wire::{MAX_PROBED_TARGETS, Message};
use slog::{Logger, warn};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a source is named in the log again.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of sources that are remembered; further ones are not logged until others are forgotten.
const MAX_SOURCES: usize = 1_024;

/// The sources whose figures were refused recently.
#[derive(Clone, Debug, Default)]
pub struct RefusedFigures {
    /// Targets and peers with the time of their entry in the log, sorted by name.
    logged: Vec<(Arc<str>, Time)>,
}

impl RefusedFigures {
    /// Records that a figure of `source` was refused, and logs it unless that was done recently.
    pub fn record<E>(&mut self, now: Time, log: &Logger, source: &Arc<str>, error: E)
    where
        E: Display,
    {
        self.logged.retain(|(_, at)| now.since(*at) < LOG_INTERVAL);
        if self.logged.len() >= MAX_SOURCES {
            return;
        }
        if let Err(i) = self.logged.binary_search_by(|(s, _)| s.cmp(source)) {
            self.logged.insert(i, (source.clone(), now));
            let error: String = error.to_string().chars().take(200).collect();
            warn!(log, "figure_refused"; "from" => &**source, "error" => error);
        }
    }
}

/// Removes from a peer's message what can't be true. Returns the rest and whether anything was removed; the rest
/// is `None` if the whole message is of no use.
///
/// An older build passes on what targets state without checking it.
pub fn plausible(message: Message) -> (Option<Message>, bool) {
    match message {
        Message::SlotRequest { ref request, .. } if !request.is_plausible() => (None, true),
        Message::TeamSlotRequest { ref request, ref team, .. }
            if !request.is_plausible() || !team.is_plausible() =>
        {
            (None, true)
        }
        Message::SlotDecision { ref decision, .. } if !decision.is_plausible() => (None, true),
        Message::Faults(mut faults) => {
            let before = faults.len();
            faults.retain(|f| is_plausible_fault_weight(f64::from(f.weight)));
            let removed = faults.len() < before;
            (Some(Message::Faults(faults)), removed)
        }
        Message::TargetDemands { pool, mut demands } => {
            let before = demands.len();
            demands.retain(|d| d.demand.is_plausible());
            let removed = demands.len() < before;
            (Some(Message::TargetDemands { pool, demands }), removed)
        }
        Message::TargetReports { pool, mut reports } => {
            let before = reports.len();
            reports.retain(|(_, r)| r.is_plausible());
            let removed = reports.len() < before;
            (Some(Message::TargetReports { pool, reports }), removed)
        }
        Message::TargetsWarmingUp { pool, mut targets } => {
            let before = targets.len();
            targets.retain(|(_, ms)| Duration::from_millis(u64::from(*ms)) <= MAX_WARM_UP);
            targets.truncate(MAX_PROBED_TARGETS);
            let removed = targets.len() < before;
            (Some(Message::TargetsWarmingUp { pool, targets }), removed)
        }
        Message::GrantEnded { number, pool, report } => {
            let is_plausible = |r: &(Arc<str>, TargetReport)| r.1.is_plausible();
            let removed = report.as_ref().is_some_and(|r| !is_plausible(r));
            let report = report.filter(is_plausible);
            (Some(Message::GrantEnded { number, pool, report }), removed)
        }
        other => (Some(other), false),
    }
}
