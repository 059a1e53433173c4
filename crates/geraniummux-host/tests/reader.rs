//! Reading the store while it does not respond.

mod common;

use geraniummux_core::fleet::RegistryDelta;
use geraniummux_host::store::Consistency;
use geraniummux_host::{ConfigUpdate, Host, Store, StoreError, reader};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A store that responds until it is silent: then lists and checks never end, and watches fail or
/// never end.
#[derive(Default)]
struct SilentStore {
    silent: AtomicBool,
    /// Whether watches never end instead of failing.
    ignores_watches: bool,
}

impl SilentStore {
    async fn list(&self) -> u64 {
        while self.silent.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        7
    }

    async fn watch(&self) -> StoreError {
        while self.ignores_watches || !self.silent.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        StoreError::Unreachable(String::from("silent"))
    }
}

impl Store for SilentStore {
    async fn check(&self) -> Result<(), StoreError> {
        self.list().await;
        Ok(())
    }
    async fn list_targets(&self, _: Consistency) -> Result<RegistryDelta, StoreError> {
        Ok(RegistryDelta { from: None, to: self.list().await, changes: Vec::new() })
    }
    async fn read_config(&self, _: Consistency) -> Result<ConfigUpdate, StoreError> {
        Ok(ConfigUpdate::unchanged(self.list().await))
    }
    async fn watch_targets(&self, _: u64, _: Duration) -> Result<RegistryDelta, StoreError> {
        Err(self.watch().await)
    }
    async fn watch_config(&self, _: u64, _: Duration) -> Result<ConfigUpdate, StoreError> {
        Err(self.watch().await)
    }
}

async fn until_current(host: &Host) {
    while !host.freshness().age(host.now()).is_zero() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn until_stale(host: &Host) {
    while host.freshness().age(host.now()) < Duration::from_millis(300) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a reader that counts as current although the store has stopped responding: its
/// followers would wait for its updates instead of reading the store themselves.
#[tokio::test]
async fn reader_store_silent_is_not_current() {
    let host = common::host("127.9.9.1:7009".parse().unwrap(), "[]").await;
    let store = Arc::new(SilentStore::default());
    let task = tokio::spawn(reader::run(host.clone(), store.clone()));
    until_current(&host).await;
    store.silent.store(true, Ordering::SeqCst);
    until_stale(&host).await;
    task.abort();
}

/// Guards against a reader that relies on a watch which the store ignores without an error: leaving
/// targets received requests for longer than allowed. Also guards against a reader that remains stale
/// after the store responds again.
#[tokio::test]
async fn reader_store_ignores_host_is_not_current_until_it_answers() {
    let host = common::host("127.9.9.5:7009".parse().unwrap(), "[]").await;
    let store = Arc::new(SilentStore { ignores_watches: true, ..SilentStore::default() });
    let task = tokio::spawn(reader::run(host.clone(), store.clone()));
    until_current(&host).await;
    store.silent.store(true, Ordering::SeqCst);
    until_stale(&host).await;
    store.silent.store(false, Ordering::SeqCst);
    until_current(&host).await;
    task.abort();
}
