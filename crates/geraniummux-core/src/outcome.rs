//! The outcome of a request and the reason of a failure, as reported to the caller.

use std::fmt;

/// Whether a request was executed by a target's handler.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A target's handler responded to the request, or to an earlier one with the same idempotency
    /// key. The caller may still not receive the whole response.
    Served,
    /// No target's handler received any attempt of the request, so it can be sent again safely.
    NotRun,
    /// A target's handler may have received the request; whether it ran is not known.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `geraniummux-outcome` response header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason for which a request was not served.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// No route matches the request.
    NoRoute,
    /// The route's pool has no target that may receive requests.
    NoTarget,
    /// The queues of the pool have no room for the request, the deadline would pass while it is
    /// queued, or the target of the last attempt was overloaded and refused it.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The last attempt failed without a usable response, and no further one was allowed.
    TargetFailed,
    /// The request body exceeds the route's limit.
    BodyTooLarge,
    /// The request is malformed.
    BadRequest,
    /// The `x-tenant` header doesn't match the route's tenant.
    WrongTenant,
    /// The state of the idempotency key's claim could not be established.
    ClaimUnavailable,
    /// Another request with the same idempotency key is running, or its outcome is unknown.
    ClaimPending,
    /// The request with this idempotency key was served, but its response was too large to be
    /// stored, or what is stored is no valid response.
    ResponseNotStored,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The request is blocked because it crashed several targets.
    Quarantined,
    /// This host has no configuration yet, or may hold an outdated one.
    NotReady,
    /// This host is shutting down.
    ShuttingDown,
    /// The caller disconnected before the response was complete.
    CallerGone,
}

impl Reason {
    /// Returns the value of the `geraniummux-reason` response header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::NoRoute => "no-route",
            Reason::NoTarget => "no-target",
            Reason::Overloaded => "overloaded",
            Reason::Deadline => "deadline",
            Reason::TargetFailed => "target-failed",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BadRequest => "bad-request",
            Reason::WrongTenant => "wrong-tenant",
            Reason::ClaimUnavailable => "claim-unavailable",
            Reason::ClaimPending => "claim-pending",
            Reason::ResponseNotStored => "answer-not-kept",
            Reason::KeyReused => "key-reused",
            Reason::Quarantined => "quarantined",
            Reason::NotReady => "not-ready",
            Reason::ShuttingDown => "shutting-down",
            Reason::CallerGone => "caller-gone",
        }
    }

    /// Returns the HTTP status of an error response with this reason.
    pub const fn status(self) -> u16 {
        match self {
            Reason::NoRoute => 404,
            Reason::WrongTenant => 403,
            Reason::BadRequest => 400,
            Reason::BodyTooLarge => 413,
            Reason::KeyReused => 422,
            Reason::ClaimPending | Reason::ResponseNotStored => 409,
            Reason::Deadline => 504,
            Reason::TargetFailed => 502,
            Reason::CallerGone => 499,
            Reason::NoTarget
            | Reason::Overloaded
            | Reason::ClaimUnavailable
            | Reason::Quarantined
            | Reason::NotReady
            | Reason::ShuttingDown => 503,
        }
    }
}

/// Returns whether a status is one of a final response, 200 to 599 (RFC 9110, section 15). 101 is none, since no
/// upgrade is ever requested. A response without such a status is broken: it says nothing of its request.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
