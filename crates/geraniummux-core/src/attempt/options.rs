//! Inputs of a request.

use crate::time::Time;
use std::time::Duration;

/// A non-idempotent request reuses only connections that answered within this time. A connection
/// can go silent at any moment, and such a request can't be moved to another one.
pub const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(50);
/// Silence bound of an old connection before the route's p95 is known (fewer than 20 answers).
pub const DEFAULT_STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Inputs of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestOptions {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller gave an idempotency key. Ignored for idempotent requests.
    pub keyed: bool,
    /// The smaller of the caller's and the route's deadline.
    pub deadline: Time,
    /// Depth of the caller's request, 0 if it has none.
    pub depth: u32,
    /// The route's observed p95; `None` before 20 answers were observed.
    pub p95: Option<Duration>,
    /// Time after which an attempt is hedged: the quantile of the route's observed latency that
    /// leaves the share of the hedge budget above it. `None` before 20 answers were observed.
    pub hedge_after: Option<Duration>,
    /// Largest number of attempts, hedges and moves included.
    pub max_attempts: u8,
    /// Longest time to open a connection. An attempt without a connection is safe to repeat.
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
