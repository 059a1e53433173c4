//! Access to the platform's object API: versioned objects, conditional updates, watches and the
//! list of hosts.
//!
//! [`Platform`] is the trait through which all other crates reach the platform, so that a
//! different object API fits without changes elsewhere. [`HttpPlatform`] speaks the HTTP binding
//! (RFC 9110 conditional requests); [`MemoryStore`] keeps objects in memory for tests.

#![forbid(unsafe_code)]

pub mod errors;
pub mod http;
pub mod memory;
pub mod object;
pub mod platform;

pub use errors::{Error, Result};
pub use http::HttpPlatform;
pub use memory::MemoryStore;
pub use object::{HostEntry, HostState, Key, Object, Version};
pub use platform::{Condition, Platform};
