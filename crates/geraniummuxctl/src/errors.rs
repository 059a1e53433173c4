//! Errors with their exit codes.

use thiserror::Error;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The arguments or a file can't be used.
    #[error("{0}")]
    Usage(String),
    /// A table is invalid; nothing was changed.
    #[error("{0}")]
    Invalid(String),
    /// The table was changed by somebody else; nothing was changed.
    #[error("{0}")]
    Conflict(String),
    /// No host or platform could be reached; nothing was changed.
    #[error("{0}")]
    Unreachable(String),
    /// The edit may or may not have taken effect.
    #[error("{0}")]
    Undecided(String),
}

impl Error {
    /// Returns the exit code that goes with the error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) => 2,
            Error::Invalid(_) => 3,
            Error::Conflict(_) => 4,
            Error::Unreachable(_) => 5,
            Error::Undecided(_) => 6,
        }
    }
}
