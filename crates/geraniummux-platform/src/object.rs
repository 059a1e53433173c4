//! Objects of the platform.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_LEN: usize = 1 << 20;

/// Identifies an object: its kind and its name within the kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The kind, for example `config`.
    pub kind: String,
    /// The name within the kind, for example `tables`.
    pub name: String,
}

impl Key {
    /// Returns the key of an object.
    pub fn new<K, N>(kind: K, name: N) -> Self
    where
        K: Into<String>,
        N: Into<String>,
    {
        Key { kind: kind.into(), name: name.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// The version of an object. It changes with every write and never repeats for a key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A stored value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The version of this value.
    pub version: Version,
    /// The value, at most [`MAX_VALUE_LEN`] bytes.
    pub value: Bytes,
}

/// Whether a host of the platform's host list is staying.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// One entry of the platform's host list, which lags behind the real state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Whether it is staying.
    pub state: HostState,
}
