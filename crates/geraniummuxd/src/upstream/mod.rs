//! Connections to targets: HTTP/1.1, one request at a time.

pub mod answer;
pub mod connection;
pub mod pool;

pub use answer::{Answer, Head, SendError, collect, send};
pub use connection::Connection;
pub use pool::Connections;

/// Request header with the identity of the attempt, which a target repeats in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Answers up to this length are held back until they are whole, so that a truncated one can be
/// retried.
pub const MAX_BUFFERED: usize = 64 << 10;
