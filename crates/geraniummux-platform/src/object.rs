//! Types of the platform's object API: keys, versions, objects and entries of the host list.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Key of an object: its kind and its name within the kind. Displayed as `kind/name`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Kind of the object, for example `config`.
    pub kind: String,
    /// Name within the kind, for example `tables`.
    pub name: String,
}

impl Key {
    /// Returns the key of the object `name` of this kind.
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

/// Version of an object. It changes with every write and is never used twice for a key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A stored value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version of this value.
    pub version: Version,
    /// Value, at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Bytes,
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// Entry of the platform's host list. The list contains entry hosts and targets, and lags behind
/// their real state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address of the host: the peer address of an entry host, or the address of a target.
    pub addr: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the host is in service or about to be removed.
    pub state: HostState,
}
