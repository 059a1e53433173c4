//! Reading the store while it misbehaves.

use bytes::Bytes;
use geraniummux_core::fleet::{Delta, TargetReport};
use geraniummux_host::metrics::Metrics;
use geraniummux_host::peers::PeerNet;
use geraniummux_host::store::Currency;
use geraniummux_host::{
    CallerPlace, ConfigNews, HeaderNames, Host, Protocol, Settings, Store, StoreError, reader,
};
use http::{HeaderMap, HeaderName, Uri};
use slog::{Discard, Logger, o};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

struct NoProtocol(HeaderNames);

impl Protocol for NoProtocol {
    fn headers(&self) -> &HeaderNames {
        &self.0
    }
    fn target_report(&self, _: &HeaderMap) -> Option<TargetReport> {
        None
    }
    fn asks_readiness(&self, _: &Uri) -> bool {
        true
    }
    fn asks_hosts(&self, _: &Uri) -> Option<CallerPlace> {
        None
    }
    fn hosts_answer(&self, _: &[SocketAddr], _: Duration) -> (&'static str, Bytes) {
        ("text/plain", Bytes::new())
    }
}

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

async fn host() -> Arc<Host> {
    let settings = Settings::parse(
        r#"{"host": "h", "failure_domain": "a", "listen": "127.9.9.1:1", "readiness": "127.9.9.1:2",
            "directory": "127.9.9.1:3", "peer": "127.9.9.1:7009", "peer_key": "0123456789abcdef",
            "store": "127.9.9.1:5"}"#,
    )
    .unwrap();
    let name = HeaderName::from_static;
    let names = HeaderNames {
        request_id: name("a"),
        time_left_ms: name("b"),
        expected_target: name("c"),
        answering_target: name("d"),
        not_executed: name("e"),
        digest: name("f"),
    };
    let net = PeerNet::open("127.9.9.1:7009".parse().unwrap(), &settings.peer_key).await.unwrap();
    let log = Logger::root(Discard, o!());
    Arc::new(Host::new(settings, log, Metrics::new().unwrap(), Arc::new(NoProtocol(names)), net))
}

/// Guards against a reader that counts as in touch with a store that has gone silent: its followers
/// would wait for its news instead of reading for themselves.
#[tokio::test]
async fn reader_store_silent_is_not_current() {
    let host = host().await;
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
