//! Detects pauses of the process and holds work until the state is refreshed.

use crate::time::Time;
use std::time::Duration;

/// The process counts as paused if its periodic timer last fired longer ago than this.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Longest time for which a host that resumes from a pause holds requests while it refreshes its
/// state.
pub const MAX_RESUME_HOLD: Duration = Duration::from_millis(300);
/// Longest time for which a starting host holds requests while it fetches its state. Longer than
/// [`MAX_RESUME_HOLD`], because the host must first find its peers, which may be in another region.
pub const MAX_START_HOLD: Duration = Duration::from_secs(2);

/// A gate that is closed after a start or pause until the state is refreshed or a maximum time has
/// passed.
///
/// [`is_closed`](PauseGate::is_closed) detects a pause even before the first timer after it fires,
/// since it compares `now` with the last timer.
#[derive(Clone, Debug)]
pub struct PauseGate {
    last_timer: Time,
    /// When the process started or the pause was detected; `None` if no refresh is awaited.
    awaiting_since: Option<Time>,
    /// Longest time to wait for the refresh.
    max_hold: Duration,
}

impl PauseGate {
    /// Returns an open gate.
    pub fn new(now: Time) -> Self {
        PauseGate { last_timer: now, awaiting_since: None, max_hold: MAX_RESUME_HOLD }
    }

    /// Returns the gate of a starting process, which is closed for at most [`MAX_START_HOLD`].
    pub fn starting(now: Time) -> Self {
        PauseGate { last_timer: now, awaiting_since: Some(now), max_hold: MAX_START_HOLD }
    }

    /// Records that the periodic timer fired. Returns the time since it last fired if the process
    /// was paused in between.
    pub fn on_timer(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_timer);
        self.last_timer = now;
        if gap <= PAUSE_THRESHOLD {
            return None;
        }
        self.awaiting_since = Some(now);
        self.max_hold = MAX_RESUME_HOLD;
        Some(gap)
    }

    /// Records a refresh that was requested at `requested_at`. A refresh that was requested before
    /// the start or pause doesn't open the gate, since its response may be outdated.
    pub fn on_refreshed(&mut self, requested_at: Time) {
        if self.awaiting_since.is_some_and(|t| requested_at >= t) {
            self.awaiting_since = None;
        }
    }

    /// Returns whether the state may be outdated because of the start or a pause.
    pub fn is_closed(&self, now: Time) -> bool {
        now.since(self.last_timer) > PAUSE_THRESHOLD || self.awaits_refresh(now)
    }

    /// Returns whether a refresh is awaited after the start or after a pause that the timer
    /// detected, and the maximum time has not passed.
    pub fn awaits_refresh(&self, now: Time) -> bool {
        self.awaiting_since.is_some_and(|t| now.since(t) < self.max_hold)
    }
}
