//! HTTP/1.1 client for targets: connections that carry one request at a time, the pool of idle
//! connections, and the validation of responses.
//!
//! Begin with [`send`] and [`collect`].

pub mod connection;
pub mod pool;
pub mod response;

pub use connection::Connection;
pub use pool::ConnectionPool;
pub use response::{ResponseHead, SendError, UpstreamResponse, collect, send};

/// Request header with the id of the attempt, which targets echo in their responses.
pub const REQUEST_ID: &str = "x-request-id";
/// Largest response body that is buffered completely before it is relayed, so that the request can
/// be retried if the response is truncated. Longer bodies are streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
