//! Monotonic and wall-clock instants. The core reads no clock: callers pass the time in.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A monotonic instant in microseconds since an arbitrary origin of the process.
///
/// Values of different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The process's origin of time.
    pub const ZERO: Time = Time(0);

    /// Returns the instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Returns the instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(whole_micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(whole_micros(rhs)))
    }
}

fn whole_micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Longest duration that [`seconds`] and [`scaled`] return. Sums of a few such durations don't overflow.
const LONGEST: Duration = Duration::from_secs(u32::MAX as u64);

/// Returns a duration of `s` seconds: zero if that is negative or no number, and at most about 136 years.
pub fn seconds(s: f64) -> Duration {
    // `max` returns the other operand if one is no number.
    Duration::from_secs_f64(s.max(0.0).min(LONGEST.as_secs_f64()))
}

/// Returns a multiple of a duration, within the bounds of [`seconds`].
pub fn scaled(d: Duration, factor: f64) -> Duration {
    seconds(d.as_secs_f64() * factor)
}

/// A wall-clock instant in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl Add<Duration> for UnixMs {
    type Output = UnixMs;

    fn add(self, rhs: Duration) -> UnixMs {
        UnixMs(self.0.saturating_add(rhs.as_millis() as u64))
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
