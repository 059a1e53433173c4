//! What the daemon does for a request.

use super::{AttemptNo, Connection, Timer};
use crate::outcome::{Outcome, Reason};
use crate::time::Time;
use std::sync::Arc;

/// What the daemon does for a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Asks the admission for a slot; answered by `Admitted` or `AdmissionRefused`.
    Admit,
    /// Gives the slot back, or leaves the queue.
    ReleaseSlot,
    /// Starts to acquire the key's claim.
    AcquireClaim,
    /// Picks a target; answered by `Picked` or `NoTarget`.
    Pick {
        /// The new attempt.
        attempt: AttemptNo,
        /// Targets to pick only if there is no other.
        avoid: Vec<Arc<str>>,
    },
    /// Gets a connection; answered by `Connected` or `ConnectFailed`.
    Open {
        /// The attempt.
        attempt: AttemptNo,
        /// The picked target.
        target: Arc<str>,
        /// Which connection.
        connection: Connection,
    },
    /// Sends the request. From here on a target's handler may have seen it, unless `NotSent` or
    /// `Refused` arrives for the attempt.
    Send {
        /// The attempt.
        attempt: AttemptNo,
        /// The daemon checks the clock directly before the first byte and reports `NotSent` after
        /// this time.
        not_after: Time,
        /// Value of `x-request-depth`.
        depth: u32,
    },
    /// Ends the attempt by closing its connection, and drops its buffered answer.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Records a strike of the target and sends it to the peers; answered by `CrashReported`.
    ReportCrash {
        /// The attempt that broke.
        attempt: AttemptNo,
        /// The target that broke.
        target: Arc<str>,
    },
    /// Starts a timer.
    StartTimer {
        /// Which timer.
        timer: Timer,
        /// When it fires.
        at: Time,
    },
    /// Passes the outcome to the claim; answered by `ClaimSettled`.
    SettleClaim {
        /// Whether the request ran.
        outcome: Outcome,
        /// The attempt whose whole answer is stored with the claim.
        response: Option<AttemptNo>,
    },
    /// Marks the claim's stored answer undelivered.
    MarkUndelivered,
    /// Answers with an error made here.
    Respond {
        /// The outcome.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// Sends the answer of the attempt to the caller; answered by `Delivered` or `DeliveryFailed`.
    Relay {
        /// The attempt.
        attempt: AttemptNo,
        /// The outcome.
        outcome: Outcome,
    },
    /// Sends the stored answer to the caller; answered by `Delivered` or `DeliveryFailed`.
    Replay,
    /// Ends the request without a response, since its caller left.
    Abandon {
        /// What became of the request.
        outcome: Outcome,
    },
}
