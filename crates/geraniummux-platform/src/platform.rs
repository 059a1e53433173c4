//! The trait at the edge to the platform.

use crate::errors::Result;
use crate::object::{HostEntry, Key, Object, Version};
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// Calls to the platform's object API. Every call has a bounded duration.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// An error for which [`Error::may_have_written`](crate::Error::may_have_written) holds leaves
    /// open whether the write took effect; the writer settles that by reading the object back.
    fn put(
        &self,
        key: &Key,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object if it has this version. Deleting a missing object succeeds.
    fn delete(&self, key: &Key, version: Version) -> impl Future<Output = Result<()>> + Send;

    /// Lists the objects of a kind whose names start with `prefix`, in order of their names.
    fn list(
        &self,
        kind: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(Key, Object)>>> + Send;

    /// Waits up to `wait` for a version of the object above `after`; `None` if none appeared.
    fn watch(
        &self,
        key: &Key,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Reads the list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>>> + Send;
}
