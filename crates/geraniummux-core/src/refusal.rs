//! The signal by which a target declares that it did not run a request.

use crate::outcome::Reason;

/// Why a target refused a request without invoking its handler (`x-request-refused`).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The target is overloaded.
    Shed,
    /// The target is leaving.
    Draining,
    /// The target is not ready yet.
    Starting,
    /// The deadline had passed at the target.
    Deadline,
}

impl Refusal {
    /// Parses the value of the `x-request-refused` header. An unknown value proves nothing.
    pub fn parse(value: &str) -> Option<Self> {
        match value.trim() {
            "shed" => Some(Refusal::Shed),
            "draining" => Some(Refusal::Draining),
            "starting" => Some(Refusal::Starting),
            "deadline" => Some(Refusal::Deadline),
            _ => None,
        }
    }

    /// Returns the reason that a caller is told if no other target takes the request.
    pub const fn reason(self) -> Reason {
        match self {
            Refusal::Shed => Reason::Overloaded,
            Refusal::Draining | Refusal::Starting => Reason::NoTarget,
            Refusal::Deadline => Reason::Deadline,
        }
    }
}
