//! Reading the store while it misbehaves.

mod common;

use geraniummux_core::fleet::Delta;
use geraniummux_host::store::Currency;
use geraniummux_host::{ConfigNews, Store, StoreError, reader};
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A store that answers until it goes silent: watches fail and lists never end.
#[derive(Default)]
struct SilentStore {
    silent: AtomicBool,
}

impl SilentStore {
    async fn list(&self) -> u64 {
        if self.silent.load(Ordering::SeqCst) {
            pending().await
        }
        7
    }

    async fn watch(&self) -> StoreError {
        while !self.silent.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        StoreError::Unreachable(String::from("silent"))
    }
}

impl Store for SilentStore {
    async fn list_targets(&self, _: Currency) -> Result<Delta, StoreError> {
        Ok(Delta { from: None, to: self.list().await, changes: Vec::new() })
    }
    async fn read_config(&self, _: Currency) -> Result<ConfigNews, StoreError> {
        Ok(ConfigNews { revision: self.list().await, config: None, invalid: None })
    }
    async fn watch_targets(&self, _: u64, _: Duration) -> Result<Delta, StoreError> {
        Err(self.watch().await)
    }
    async fn watch_config(&self, _: u64, _: Duration) -> Result<ConfigNews, StoreError> {
        Err(self.watch().await)
    }
}

/// Guards against a reader that counts as in touch with a store that has gone silent: its followers
/// would wait for its news instead of reading for themselves.
#[tokio::test]
async fn reader_store_silent_is_not_current() {
    let host = common::host("127.9.9.1:7009".parse().unwrap(), "[]").await;
    let store = Arc::new(SilentStore::default());
    let task = tokio::spawn(reader::run(host.clone(), store.clone()));
    while !host.knowledge().age(host.now()).is_zero() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    store.silent.store(true, Ordering::SeqCst);
    while host.knowledge().age(host.now()) < Duration::from_millis(300) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    task.abort();
}
