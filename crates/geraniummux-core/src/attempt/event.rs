//! What happens to a request.

use super::{AttemptNo, Refusal};
use crate::outcome::{Outcome, Reason};
use std::sync::Arc;
use std::time::Duration;

/// A timer that the daemon runs for the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Timer {
    /// The request's deadline.
    Deadline,
    /// The attempt took too long to connect.
    Connect(AttemptNo),
    /// The attempt is slow enough for a hedge.
    Hedge(AttemptNo),
    /// The attempt's old connection has been silent for too long.
    StaleConnection(AttemptNo),
}

/// Which connection an attempt uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Connection {
    /// The idle connection that was reported with the pick; a new one if it has gone meanwhile.
    Reuse,
    /// A new connection.
    New,
}

/// What happened to a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The request has a slot. `quarantined` tells whether its fingerprint is blocked.
    Admitted {
        /// Whether the fingerprint is blocked.
        quarantined: bool,
    },
    /// The request was shed.
    AdmissionRefused {
        /// Why.
        reason: Reason,
    },
    /// The claim is held: the request may run.
    ClaimGranted,
    /// Another request with the same key is running and is being waited for.
    ClaimWaiting,
    /// The key's request was answered before and its answer is stored.
    ClaimReplay,
    /// The request may not run, or the claim's state could not be established.
    ClaimRefused {
        /// The outcome that the claim gives.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// The settling of the claim ended, or took too long and goes on in the background.
    ClaimSettled,
    /// A target was picked.
    Picked {
        /// The attempt that asked.
        attempt: AttemptNo,
        /// The target's name.
        target: Arc<str>,
        /// Time since the last answer on the most recently used idle connection to the target.
        idle: Option<Duration>,
    },
    /// No target may receive the request.
    NoTarget {
        /// The attempt that asked.
        attempt: AttemptNo,
    },
    /// The attempt has its connection. The daemon checks the quarantine directly before this.
    Connected {
        /// The attempt.
        attempt: AttemptNo,
        /// Whether the connection carried a request before.
        reused: bool,
        /// Whether the fingerprint is blocked.
        quarantined: bool,
    },
    /// No connection could be opened.
    ConnectFailed {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The send failed, and no byte of the request was handed to the connection.
    NotSent {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The answer's head arrived.
    ResponseHead {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The whole answer is buffered, or it is longer than the buffer and starts to stream.
    ResponseReady {
        /// The attempt.
        attempt: AttemptNo,
        /// The answer's status.
        status: u16,
        /// Whether the whole answer is buffered.
        buffered: bool,
    },
    /// The target declared that its handler was not invoked. On a reused connection this is
    /// reported only if the answer echoes the attempt's id.
    Refused {
        /// The attempt.
        attempt: AttemptNo,
        /// The declared cause.
        refusal: Refusal,
    },
    /// The connection was reset or closed before an answer's head.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The answer is truncated, malformed or belongs to another request.
    InvalidResponse {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The peers acknowledged the strike, or the time for it is over.
    CrashReported {
        /// Whether the fingerprint is blocked now.
        quarantined: bool,
    },
    /// The caller acknowledged the last byte of the relayed or replayed answer.
    Delivered,
    /// The transfer of the answer to the caller broke at either end.
    DeliveryFailed,
    /// A timer fired. A timer that no longer matters is ignored.
    Timer(Timer),
    /// The caller left.
    CallerGone,
}
