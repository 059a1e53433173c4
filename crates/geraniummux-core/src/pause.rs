//! Detection of the process's own pauses, and the hold on resume.

use crate::time::Time;
use std::time::Duration;

/// A timer that is later than this means that the process was paused.
pub const PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which a resumed host holds requests while it refreshes its state.
pub const RESUME_HOLD: Duration = Duration::from_millis(300);

/// Holds work after a pause until the state has been refreshed or [`RESUME_HOLD`] has passed.
///
/// The check by [`holds`](PauseGate::holds) also works before the first timer fires after a pause,
/// since it compares `now` with the last timer itself.
#[derive(Clone, Debug)]
pub struct PauseGate {
    last: Time,
    resumed: Option<Time>,
}

impl PauseGate {
    /// Returns a gate of a process that is not paused.
    pub fn new(now: Time) -> Self {
        PauseGate { last: now, resumed: None }
    }

    /// Records that the timer fired; returns the length of the pause if it was late.
    pub fn beat(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        if gap <= PAUSE {
            return None;
        }
        self.resumed = Some(now);
        Some(gap)
    }

    /// Records a refresh that was asked for at `asked`. Answers to questions from before the pause
    /// don't count.
    pub fn refreshed(&mut self, asked: Time) {
        if self.resumed.is_some_and(|t| asked >= t) {
            self.resumed = None;
        }
    }

    /// Returns whether the state may be outdated because of a pause.
    pub fn holds(&self, now: Time) -> bool {
        now.since(self.last) > PAUSE || self.waits(now)
    }

    /// Returns whether a refresh is awaited after a pause that the timer has noticed.
    pub fn waits(&self, now: Time) -> bool {
        self.resumed.is_some_and(|t| now.since(t) < RESUME_HOLD)
    }
}
