//! Messages between hosts, and their encoding in frames. Begin with [`Message`] and [`Codec`].
//!
//! A frame is a fixed header (magic, version), a postcard-encoded [`Envelope`] and a truncated
//! HMAC-SHA256 tag. Frames with an unknown version, a wrong tag or a length above the limit are
//! refused before their content is decoded.

#![forbid(unsafe_code)]

pub mod codec;
pub mod errors;
pub mod message;
pub mod packed;

pub use codec::{Codec, MAX_DATAGRAM_LEN, MAX_STREAM_FRAME_LEN, stream_frame_len};
pub use errors::{Error, Result};
pub use message::{
    CrashReport, Envelope, MAX_PROBED_TARGETS, MAX_TOKEN_REQUESTS, Message, ProbeResult,
    ProbeResults, ProbedState, ReplicaUpdate, ReplicaVersions, State, TargetFaults, TunnelRefusal,
};
pub use packed::PackedConfigChange;
