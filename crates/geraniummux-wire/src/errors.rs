//! Errors of encoding and decoding frames.

use thiserror::Error;

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a frame could not be encoded or was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The frame is longer than its transport allows.
    #[error("frame too long: {len} bytes, limit is {limit}")]
    TooLong {
        /// Length of the frame in bytes.
        len: usize,
        /// Limit of the transport in bytes.
        limit: usize,
    },
    /// The frame is shorter than header and tag, or does not start with the magic number.
    #[error("not a geraniummux frame: too short or wrong magic number")]
    NotAFrame,
    /// The sender uses another version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
    /// The tag does not match: the sender uses another key or the frame was altered.
    #[error("authentication tag mismatch: the sender uses another key or the frame was altered")]
    TagMismatch,
    /// The content could not be encoded or decoded.
    #[error("encoding or decoding failed: {0}")]
    Codec(String),
}
