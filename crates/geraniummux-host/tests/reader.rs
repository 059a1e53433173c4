//! Reading the store while it does not respond.

mod common;

use geraniummux_core::fleet::{Authentication, Evacuations, FleetConfig, RegistryDelta, Revision};
use geraniummux_host::store::Consistency;
use geraniummux_host::{
    ConfigUpdate, EvacuationsUpdate, Host, Store, StoreCheck, StoreError, reader,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// A store that responds until it is silent: then lists and checks never end, and watches fail or
/// never end.
#[derive(Default)]
struct SilentStore {
    silent: AtomicBool,
    /// Whether watches never end instead of failing.
    ignores_watches: bool,
    config: Option<FleetConfig>,
}

impl SilentStore {
    async fn list(&self) -> Revision {
        while self.silent.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Revision::new(1, 7)
    }

    async fn watch(&self) -> StoreError {
        while self.ignores_watches || !self.silent.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        StoreError::Unreachable(String::from("silent"))
    }
}

impl Store for SilentStore {
    async fn check(&self) -> Result<StoreCheck, StoreError> {
        let era = self.list().await.era;
        Ok(StoreCheck { era, ..StoreCheck::default() })
    }
    async fn list_targets(&self, _: Consistency) -> Result<RegistryDelta, StoreError> {
        Ok(RegistryDelta { from: None, to: self.list().await, changes: Vec::new() })
    }
    async fn read_config(&self, _: Consistency) -> Result<ConfigUpdate, StoreError> {
        let update = ConfigUpdate::unchanged(self.list().await);
        Ok(ConfigUpdate { config: self.config.clone(), ..update })
    }
    async fn watch_targets(&self, _: Revision, _: Duration) -> Result<RegistryDelta, StoreError> {
        Err(self.watch().await)
    }
    async fn list_evacuations(&self, _: Consistency) -> Result<Evacuations, StoreError> {
        Err(StoreError::Refused(404))
    }
    async fn watch_evacuations(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<EvacuationsUpdate, StoreError> {
        Err(StoreError::Refused(404))
    }
    async fn watch_config(&self, _: Revision, _: Duration) -> Result<ConfigUpdate, StoreError> {
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

/// Guards against a host that refuses all requests, or serves without keys, for as long as it hears the configuration
/// only from a build that does not state whether callers need keys: it asks the store, also if that does not respond at
/// first.
#[tokio::test]
async fn confirm_config_heard_without_statement_reads_the_store() {
    let host = common::host("127.9.9.8:7009".parse().unwrap(), "[]").await;
    let stated = |version, authentication| FleetConfig {
        version,
        era: 1,
        authentication,
        is_complete: true,
        ..FleetConfig::default()
    };
    let stored = stated(4, Authentication::Teams(vec![]));
    let config = Some(stored.clone());
    let store = Arc::new(SilentStore { config, ..SilentStore::default() });
    store.silent.store(true, Ordering::SeqCst);
    let task = tokio::spawn(reader::confirm_config(host.clone(), store.clone()));
    let heard = |authentication| {
        host.adopt_config(stated(4, authentication), Revision::new(1, 4), "host-2");
    };
    heard(Authentication::PresumedDisabled);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!host.config().unwrap().is_confirmed());
    store.silent.store(false, Ordering::SeqCst);
    let confirmed = async {
        while !host.config().unwrap().is_confirmed() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(20), confirmed).await.expect("the configuration is not confirmed");
    assert_eq!(*host.config().unwrap(), stored);
    heard(Authentication::Unknown);
    assert_eq!(*host.config().unwrap(), stored);
    task.abort();
}

/// A store that is restored from a copy while a host's watches wait. It ends no watch, and has overtaken the
/// lost history when it responds again.
#[derive(Default)]
struct RestoredStore {
    is_restored: AtomicBool,
    /// Revisions from which the targets were watched.
    watched: Mutex<Vec<Revision>>,
}

impl RestoredStore {
    fn revision(&self) -> Revision {
        match self.is_restored.load(Ordering::SeqCst) {
            false => Revision::new(1, 7),
            true => Revision::new(2, 9),
        }
    }
}

impl Store for RestoredStore {
    async fn check(&self) -> Result<StoreCheck, StoreError> {
        let era = self.revision().era;
        Ok(StoreCheck { era, ..StoreCheck::default() })
    }
    async fn list_targets(&self, _: Consistency) -> Result<RegistryDelta, StoreError> {
        Ok(RegistryDelta { from: None, to: self.revision(), changes: Vec::new() })
    }
    async fn read_config(&self, _: Consistency) -> Result<ConfigUpdate, StoreError> {
        Ok(ConfigUpdate::unchanged(self.revision()))
    }
    async fn watch_targets(
        &self,
        from: Revision,
        _: Duration,
    ) -> Result<RegistryDelta, StoreError> {
        self.watched.lock().unwrap().push(from);
        std::future::pending().await
    }
    async fn list_evacuations(&self, _: Consistency) -> Result<Evacuations, StoreError> {
        Err(StoreError::Refused(404))
    }
    async fn watch_evacuations(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<EvacuationsUpdate, StoreError> {
        Err(StoreError::Refused(404))
    }
    async fn watch_config(&self, _: Revision, _: Duration) -> Result<ConfigUpdate, StoreError> {
        std::future::pending().await
    }
}

/// Starts a host that reads such a store, and returns both once its data is current.
async fn start_reader(peer: &str) -> (Arc<Host>, Arc<RestoredStore>) {
    let host = common::host(peer.parse().unwrap(), "[]").await;
    let store = Arc::new(RestoredStore::default());
    tokio::spawn(reader::run(host.clone(), store.clone()));
    until_current(&host).await;
    (host, store)
}

async fn assert_watched_again(store: &RestoredStore) {
    let watched = async {
        while store.watched.lock().unwrap().len() < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(20), watched).await.expect("a second watch of the targets");
    assert_eq!(*store.watched.lock().unwrap(), [Revision::new(1, 7), Revision::new(2, 9)]);
}

/// Guards against a watch that outlives the store's return from a copy and waits for changes after a revision
/// of the lost history (CONFIG).
#[tokio::test]
async fn reader_store_restored_behind_a_waiting_watch_reads_again() {
    let (host, store) = start_reader("127.9.9.9:7009").await;
    store.is_restored.store(true, Ordering::SeqCst);
    while host.store_revision().era < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    until_current(&host).await;
    assert_watched_again(&store).await;
}

/// Guards against a watch that is left waiting in the lost history because another part of the host's data is of
/// the new one already, as a peer has sent it.
#[tokio::test]
async fn reader_store_restored_and_partly_replicated_reads_again() {
    let (host, store) = start_reader("127.9.9.14:7009").await;
    host.freshness().config_revision = Some(Revision::new(2, 9));
    store.is_restored.store(true, Ordering::SeqCst);
    assert_watched_again(&store).await;
}
