//! Client of the platform's object API: versioned objects, conditional writes, watches and the list
//! of hosts.
//!
//! Begin with [`Platform`], the trait through which all other crates use the platform, so that a
//! different object API can be used without changes elsewhere. [`HttpPlatform`] implements it over
//! HTTP with conditional requests (RFC 9110); [`MemoryStore`] stores objects in memory for tests.

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
