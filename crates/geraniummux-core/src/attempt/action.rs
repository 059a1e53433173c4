//! Actions that the state machine of a request asks the daemon to perform.

use super::{AttemptNo, Connection, Timer};
use crate::outcome::{Outcome, Reason};
use crate::time::Time;
use std::sync::Arc;

/// An action that the daemon performs for a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Requests a slot from the admission control; `Event::Admitted` or `Event::AdmissionRefused`
    /// follows.
    Admit,
    /// Releases the slot, or leaves the admission queue.
    ReleaseSlot,
    /// Starts to acquire the claim of the request's idempotency key.
    AcquireClaim,
    /// Picks a target; `Event::Picked` or `Event::NoTarget` follows.
    Pick {
        /// The new attempt.
        attempt: AttemptNo,
        /// Targets of earlier attempts, to be picked only if there is no other.
        avoid: Vec<Arc<str>>,
    },
    /// Gets a connection; `Event::Connected` or `Event::ConnectFailed` follows.
    Open {
        /// The attempt.
        attempt: AttemptNo,
        /// The picked target.
        target: Arc<str>,
        /// Whether to reuse an idle connection.
        connection: Connection,
    },
    /// Sends the request. From here on a target's handler may have received it, unless
    /// `Event::NotSent` or `Event::Refused` follows for the attempt.
    Send {
        /// The attempt.
        attempt: AttemptNo,
        /// Latest time to send the first byte. The daemon checks the clock directly before that and
        /// reports `Event::NotSent` if it is later.
        not_after: Time,
        /// Value of `x-request-depth`.
        depth: u32,
    },
    /// Ends the attempt by closing its connection, and drops its buffered response.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Records a crash report for the request and its target and sends it to the peers;
    /// `Event::CrashReported` follows.
    ReportCrash {
        /// The attempt whose connection was lost.
        attempt: AttemptNo,
        /// The target of the attempt.
        target: Arc<str>,
    },
    /// Starts a timer.
    StartTimer {
        /// Which timer.
        timer: Timer,
        /// When it fires.
        at: Time,
    },
    /// Settles the claim with the request's outcome; `Event::ClaimSettled` follows.
    SettleClaim {
        /// Whether the request was executed.
        outcome: Outcome,
        /// The attempt whose buffered response is stored with the claim.
        response: Option<AttemptNo>,
    },
    /// Marks the response that is stored with the claim as undelivered.
    MarkUndelivered,
    /// Sends the caller an error response of this host.
    Respond {
        /// The outcome.
        outcome: Outcome,
        /// The reason of the error.
        reason: Reason,
    },
    /// Relays the response of the attempt to the caller; `Event::Delivered` or
    /// `Event::DeliveryFailed` follows.
    Relay {
        /// The attempt.
        attempt: AttemptNo,
        /// The outcome.
        outcome: Outcome,
    },
    /// Sends the response that is stored with the claim to the caller; `Event::Delivered` or
    /// `Event::DeliveryFailed` follows.
    Replay,
    /// Ends the request without a response, since its caller has disconnected.
    Abandon {
        /// The outcome, for logs and metrics.
        outcome: Outcome,
    },
}
