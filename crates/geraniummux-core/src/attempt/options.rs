//! Parameters of a request.

use crate::time::Time;
use std::time::Duration;

/// Longest idle time of a connection that a non-idempotent request reuses. A connection can go silent
/// at any moment, and a non-idempotent request can't be moved to another one.
pub const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(50);
/// Time without a response head after which a reused connection counts as stale, while the route's
/// p95 is not known (fewer than 20 responses).
pub const DEFAULT_STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Parameters of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestOptions {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the caller sent an idempotency key. Ignored for idempotent requests.
    pub keyed: bool,
    /// The earlier of the caller's and the route's deadline.
    pub deadline: Time,
    /// Value of the caller's `x-request-depth` header, 0 without one. Each hop adds 1.
    pub depth: u32,
    /// The route's observed p95 latency; `None` before 20 responses were observed. A reused
    /// connection counts as stale after twice this time without a response head.
    pub p95: Option<Duration>,
    /// Time after which an attempt is hedged: the quantile of the route's observed latency above
    /// which lies the share of requests that the hedge budget covers. `None` before 20 responses were
    /// observed.
    pub hedge_after: Option<Duration>,
    /// Largest number of attempts, including retries, hedges and replacements of stale connections.
    pub max_attempts: u8,
    /// Longest time to open a connection. An attempt that has no connection can be retried safely.
    pub connect_timeout: Duration,
}

impl Default for RequestOptions {
    fn default() -> Self {
        RequestOptions {
            idempotent: false,
            keyed: false,
            deadline: Time::ZERO,
            depth: 0,
            p95: None,
            hedge_after: None,
            max_attempts: 4,
            connect_timeout: Duration::from_millis(250),
        }
    }
}
