//! Events that drive the state machine of a request.

use super::{AttemptNo, Refusal};
use crate::outcome::{Outcome, Reason};
use std::sync::Arc;
use std::time::Duration;

/// A timer that the daemon runs for the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Timer {
    /// The request's deadline.
    Deadline,
    /// The time to open the attempt's connection is over.
    Connect(AttemptNo),
    /// The attempt has taken long enough for a hedge to be started.
    Hedge(AttemptNo),
    /// No response head has arrived on the attempt's reused connection for so long that the connection
    /// may be dead.
    StaleConnection(AttemptNo),
}

/// The kind of connection that an attempt uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Connection {
    /// The idle connection that was reported with the pick, or a new one if that has been closed in
    /// the meantime.
    Reuse,
    /// A new connection.
    New,
}

/// An event of a request, reported by the daemon.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The request has a slot.
    Admitted {
        /// Whether the request's fingerprint is quarantined.
        quarantined: bool,
    },
    /// The admission control refused the request a slot.
    AdmissionRefused {
        /// The reason to report to the caller.
        reason: Reason,
    },
    /// The claim is held: the request may run.
    ClaimGranted,
    /// Another request with the same key is running; the claim waits for it.
    ClaimWaiting,
    /// A request with the same key was served before, and its stored response is available.
    ClaimReplay,
    /// The request must not run, or the state of the claim could not be established.
    ClaimRefused {
        /// The outcome to report to the caller.
        outcome: Outcome,
        /// The reason to report to the caller.
        reason: Reason,
    },
    /// The claim is settled, or its settlement takes too long and continues in the background.
    ClaimSettled,
    /// A target was picked.
    Picked {
        /// The attempt.
        attempt: AttemptNo,
        /// The target's name.
        target: Arc<str>,
        /// Time since the last response on the most recently used idle connection to the target;
        /// `None` if there is no idle connection.
        idle: Option<Duration>,
    },
    /// The pool has no target that may receive the request.
    NoTarget {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The attempt has its connection. The daemon checks the quarantine directly before it reports
    /// this.
    Connected {
        /// The attempt.
        attempt: AttemptNo,
        /// Whether the connection carried a request before.
        reused: bool,
        /// Whether the request's fingerprint is quarantined.
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
    /// The head of the response arrived.
    ResponseHead {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The response is complete in the buffer, or it is longer than the buffer and can be streamed.
    ResponseReady {
        /// The attempt.
        attempt: AttemptNo,
        /// The response's HTTP status.
        status: u16,
        /// Whether the complete response is buffered.
        buffered: bool,
    },
    /// The target declared that its handler was not invoked. On a reused connection this is
    /// reported only if the response echoes the attempt's id.
    Refused {
        /// The attempt.
        attempt: AttemptNo,
        /// The declared cause.
        refusal: Refusal,
    },
    /// The connection was reset or closed before the head of a response arrived.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The response is truncated or malformed, or belongs to another request.
    InvalidResponse {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The peers have acknowledged the crash report, or the time for their acknowledgements is over.
    CrashReported {
        /// Whether the request's fingerprint is quarantined now.
        quarantined: bool,
    },
    /// The caller acknowledged the last byte of the relayed or replayed response.
    Delivered,
    /// The transfer of the response to the caller failed, at the target or at the caller.
    DeliveryFailed,
    /// A timer fired. A timer that no longer applies is ignored.
    Timer(Timer),
    /// The caller disconnected.
    CallerGone,
}
