//! Monotonic and wall-clock time of the process. All other code receives the time as an argument.

use geraniummux_core::{Time, UnixMs};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the clock. Monotonic time begins at one hour, so that subtracting a duration from an
    /// early instant does not saturate at zero.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        const OFFSET_MICROS: u64 = 3_600_000_000;
        Time::from_micros(OFFSET_MICROS + self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> UnixMs {
        UnixMs(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64))
    }
}
