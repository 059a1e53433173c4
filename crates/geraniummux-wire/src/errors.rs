//! Errors of encoding and decoding frames.

use thiserror::Error;

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a frame was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The frame is longer than its transport allows.
    #[error("the frame has {len} bytes, the limit is {limit}")]
    TooLong {
        /// Length of the frame in bytes.
        len: usize,
        /// The transport's limit in bytes.
        limit: usize,
    },
    /// The frame is shorter than header and tag, or does not start with the magic number.
    #[error("not a geraniummux frame")]
    NotAFrame,
    /// The sender speaks another version of the protocol.
    #[error("protocol version {0} is not supported")]
    Version(u8),
    /// The tag does not match: the sender uses another key or the frame was altered.
    #[error("the authentication tag does not match")]
    Tag,
    /// The content could not be encoded or decoded.
    #[error("codec: {0}")]
    Codec(String),
}
