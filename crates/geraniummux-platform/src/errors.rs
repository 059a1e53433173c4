//! Errors of platform calls. They distinguish writes that may have taken effect from those that
//! have not.

use thiserror::Error;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a platform call failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The condition of a write does not hold; nothing was written.
    #[error("the object's version does not satisfy the write's condition")]
    Conflict,
    /// The value exceeds the platform's limit; nothing was written.
    #[error("the value exceeds the platform's limit of 1 MiB")]
    TooLarge,
    /// The platform refused the call (status 429 or 503) or the connection could not be
    /// established; nothing was written.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// No complete response arrived; a write may or may not have taken effect.
    #[error("the platform's response was lost, a write may have taken effect: {0}")]
    Indeterminate(String),
    /// The response does not follow the protocol; a write may or may not have taken effect.
    #[error("unexpected response from the platform: {0}")]
    Protocol(String),
}

impl Error {
    /// Returns whether a failed write may still have taken effect.
    pub const fn may_have_written(&self) -> bool {
        matches!(self, Error::Indeterminate(_) | Error::Protocol(_))
    }
}
