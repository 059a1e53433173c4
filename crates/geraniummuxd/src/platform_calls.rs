//! Counts the calls that this host makes to the platform.

use bytes::Bytes;
use geraniummux_platform::{
    Condition, HostEntry, HttpPlatform, Key, Object, Platform, Result, Version,
};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// A platform client that counts its calls by operation and kind of object.
pub struct CountedPlatform {
    inner: HttpPlatform,
    calls: Mutex<BTreeMap<String, Calls>>,
}

/// Calls of one operation on one kind of object.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Calls {
    /// Calls that were made.
    pub made: u64,
    /// Calls that failed; a condition that does not hold is not a failure.
    pub failed: u64,
}

impl CountedPlatform {
    /// Counts the calls to `inner`.
    pub fn new(inner: HttpPlatform) -> Self {
        CountedPlatform { inner, calls: Mutex::default() }
    }

    /// Returns the calls since the start, by operation and kind of object.
    pub fn calls(&self) -> BTreeMap<String, Calls> {
        self.calls.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn note<T>(&self, operation: &str, kind: &str, result: Result<T>) -> Result<T> {
        let failed = result.as_ref().is_err_and(|e| *e != geraniummux_platform::Error::Conflict);
        let mut calls = self.calls.lock().unwrap_or_else(|e| e.into_inner());
        let entry = calls.entry(format!("{operation} {kind}")).or_default();
        entry.made += 1;
        entry.failed += u64::from(failed);
        result
    }
}

impl Platform for CountedPlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>> {
        let result = self.inner.get(key).await;
        self.note("get", &key.kind, result)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        let result = self.inner.put(key, value, condition).await;
        self.note("put", &key.kind, result)
    }

    async fn delete(&self, key: &Key, version: Version) -> Result<()> {
        let result = self.inner.delete(key, version).await;
        self.note("delete", &key.kind, result)
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<(Key, Object)>> {
        let result = self.inner.list(kind, prefix).await;
        self.note("list", kind, result)
    }

    async fn watch(&self, key: &Key, after: Version, wait: Duration) -> Result<Option<Object>> {
        let result = self.inner.watch(key, after, wait).await;
        self.note("watch", &key.kind, result)
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let result = self.inner.hosts().await;
        self.note("hosts", "hosts", result)
    }
}
