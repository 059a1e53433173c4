//! Errors of the commands and their exit codes.

use thiserror::Error;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed. Nothing was changed, except perhaps after [`Error::Undecided`].
#[derive(Debug, Error)]
pub enum Error {
    /// The arguments are invalid or a file can't be read.
    #[error("{0}")]
    Usage(String),
    /// A table is invalid or was rejected by the host.
    #[error("{0}")]
    Invalid(String),
    /// The table in force has another revision than the edit is based on.
    #[error("{0}")]
    Conflict(String),
    /// No host could be reached, or no host could reach the platform.
    #[error("{0}")]
    Unreachable(String),
    /// The response to the edit was lost, so it may or may not have taken effect.
    #[error("{0}")]
    Undecided(String),
}

impl Error {
    /// Returns the exit code of the process.
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
