//! The trait through which all other code calls the platform.

use crate::errors::Result;
use crate::object::{HostEntry, Key, Object, Version};
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
}

/// The calls of the platform's object API. Every call returns within a bounded time.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object. Returns `None` if it does not exist.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// After an error for which [`Error::may_have_written`](crate::Error::may_have_written) is
    /// true, the write may or may not have taken effect; the writer finds out by reading the
    /// object.
    fn put(
        &self,
        key: &Key,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object if it has this version. Deleting a missing object succeeds.
    fn delete(&self, key: &Key, version: Version) -> impl Future<Output = Result<()>> + Send;

    /// Lists the objects of a kind whose names start with `prefix`, sorted by name.
    fn list(
        &self,
        kind: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(Key, Object)>>> + Send;

    /// Waits up to `wait` for a version of the object above `after`. Returns `None` if there is
    /// none by then.
    fn watch(
        &self,
        key: &Key,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Reads the list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>>> + Send;
}
