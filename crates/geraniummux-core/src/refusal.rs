//! The response header by which a target declares that it did not run a request.

use crate::outcome::Reason;

/// The reason for which a target refused a request without invoking its handler, as sent in the
/// `x-request-refused` header.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The target is overloaded and shed the request.
    Shed,
    /// The target is draining and accepts no new requests.
    Draining,
    /// The target is not ready yet.
    Starting,
    /// The request's deadline had passed when it reached the target.
    Deadline,
}

impl Refusal {
    /// Parses the value of the `x-request-refused` header.
    ///
    /// Returns `None` for an unknown value, which does not prove that the handler was not invoked.
    pub fn parse(value: &str) -> Option<Self> {
        match value.trim() {
            "shed" => Some(Refusal::Shed),
            "draining" => Some(Refusal::Draining),
            "starting" => Some(Refusal::Starting),
            "deadline" => Some(Refusal::Deadline),
            _ => None,
        }
    }

    /// Returns the reason that the caller receives if no other target serves the request.
    pub const fn reason(self) -> Reason {
        match self {
            Refusal::Shed => Reason::Overloaded,
            Refusal::Draining | Refusal::Starting => Reason::NoTarget,
            Refusal::Deadline => Reason::Deadline,
        }
    }
}
