//! Detection of the process's own pauses, and the hold on resume.

use crate::time::Time;
use std::time::Duration;

/// A timer that is later than this means that the process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Longest time for which a resumed host holds requests while it refreshes its state.
pub const MAX_RESUME_HOLD: Duration = Duration::from_millis(300);
/// Longest time for which a starting host holds requests while it gets its state. It is longer,
/// because the host first has to find its peers, which may be in another region.
pub const MAX_START_HOLD: Duration = Duration::from_secs(2);

/// Holds work after a start or pause until the state has been refreshed or a time has passed.
///
/// The check by [`is_closed`](PauseGate::is_closed) also works before the first timer fires after a pause,
/// since it compares `now` with the last timer itself.
#[derive(Clone, Debug)]
pub struct PauseGate {
    last: Time,
    /// Since when a refresh is awaited.
    resumed: Option<Time>,
    /// Longest wait for it.
    hold: Duration,
}

impl PauseGate {
    /// Returns a gate that is open.
    pub fn new(now: Time) -> Self {
        PauseGate { last: now, resumed: None, hold: MAX_RESUME_HOLD }
    }

    /// Returns the gate of a starting process, which holds for at most [`MAX_START_HOLD`].
    pub fn starting(now: Time) -> Self {
        PauseGate { last: now, resumed: Some(now), hold: MAX_START_HOLD }
    }

    /// Records that the timer fired; returns the length of the pause if it was late.
    pub fn on_timer(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        if gap <= PAUSE_THRESHOLD {
            return None;
        }
        self.resumed = Some(now);
        self.hold = MAX_RESUME_HOLD;
        Some(gap)
    }

    /// Records a refresh that was asked for at `asked`. Answers to questions from before the pause
    /// don't count.
    pub fn on_refreshed(&mut self, asked: Time) {
        if self.resumed.is_some_and(|t| asked >= t) {
            self.resumed = None;
        }
    }

    /// Returns whether the state may be outdated because of a pause.
    pub fn is_closed(&self, now: Time) -> bool {
        now.since(self.last) > PAUSE_THRESHOLD || self.awaits_refresh(now)
    }

    /// Returns whether a refresh is awaited after the start or a pause that the timer has noticed.
    pub fn awaits_refresh(&self, now: Time) -> bool {
        self.resumed.is_some_and(|t| now.since(t) < self.hold)
    }
}
