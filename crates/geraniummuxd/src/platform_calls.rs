//! A platform client that counts the calls of this host, for metrics and the status report.

use bytes::Bytes;
use geraniummux_platform::{
    Condition, HostEntry, HttpPlatform, Key, Object, Platform, Result, Version,
};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// Platform client that counts its calls by operation and kind of object.
pub struct CountingPlatform {
    inner: HttpPlatform,
    calls: Mutex<BTreeMap<String, CallCounts>>,
}

/// Number of calls of one operation on one kind of object since the start of the process.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct CallCounts {
    /// Completed calls, including failed ones.
    pub made: u64,
    /// Failed calls. A write whose condition does not hold is not a failure.
    pub failed: u64,
}

impl CountingPlatform {
    /// Returns a client that counts the calls to `inner`.
    pub fn new(inner: HttpPlatform) -> Self {
        CountingPlatform { inner, calls: Mutex::default() }
    }

    /// Returns the counts by operation and kind of object, for example `put config`.
    pub fn calls(&self) -> BTreeMap<String, CallCounts> {
        self.calls.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn record<T>(&self, operation: &str, kind: &str, result: Result<T>) -> Result<T> {
        let failed = result.as_ref().is_err_and(|e| *e != geraniummux_platform::Error::Conflict);
        let mut calls = self.calls.lock().unwrap_or_else(|e| e.into_inner());
        let entry = calls.entry(format!("{operation} {kind}")).or_default();
        entry.made += 1;
        entry.failed += u64::from(failed);
        result
    }
}

impl Platform for CountingPlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>> {
        let result = self.inner.get(key).await;
        self.record("get", &key.kind, result)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        let result = self.inner.put(key, value, condition).await;
        self.record("put", &key.kind, result)
    }

    async fn delete(&self, key: &Key, version: Version) -> Result<()> {
        let result = self.inner.delete(key, version).await;
        self.record("delete", &key.kind, result)
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<(Key, Object)>> {
        let result = self.inner.list(kind, prefix).await;
        self.record("list", kind, result)
    }

    async fn watch(&self, key: &Key, after: Version, wait: Duration) -> Result<Option<Object>> {
        let result = self.inner.watch(key, after, wait).await;
        self.record("watch", &key.kind, result)
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let result = self.inner.hosts().await;
        self.record("hosts", "hosts", result)
    }
}
