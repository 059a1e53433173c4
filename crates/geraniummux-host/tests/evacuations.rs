//! Evacuation of failure domains: reading it from the store, and passing it on to followers.

mod common;

use common::targets::{identity, registered, route};
use geraniummux_core::fleet::{
    Allowance, ApiKey, Authentication, ConfigEdition, Evacuations, FleetConfig, FleetPool,
    FleetRoute, RegistryChange, RegistryDelta, Revision, Team,
};
use geraniummux_host::store::Consistency;
use geraniummux_host::{
    ConfigUpdate, EvacuationsUpdate, Host, Settings, Store, StoreCheck, StoreError, peers, reader,
    replication,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Time within which an evacuation has to have effect.
const EVACUATE_S: f64 = 5.0;
/// Time after which a change counts as missed.
const MISSED_AFTER: Duration = Duration::from_secs(5);
const POOL: &str = "pool";

/// How a store treats watches of the evacuations.
#[derive(Clone, Copy, PartialEq)]
enum Watches {
    /// They end with the changes.
    Sound,
    /// They end without changes, as the store has lost track of them.
    Lost,
    /// They fail, as the history is gone.
    HistoryGone,
}

/// A store with evacuations, two targets, and no configuration.
struct EvacuatingStore {
    state: Mutex<State>,
    watches: Watches,
}

struct State {
    revision: Revision,
    /// The domains with the revisions of their last changes, and whether they are evacuated.
    domains: Vec<(&'static str, u64, bool)>,
    is_down: bool,
    /// Delay of the response to a list of the evacuations.
    list_delay: Duration,
    /// Calls for evacuations.
    calls: usize,
}

impl EvacuatingStore {
    fn new(watches: Watches) -> Arc<Self> {
        let state = State {
            revision: Revision::new(1, 7),
            domains: Vec::new(),
            is_down: false,
            list_delay: Duration::ZERO,
            calls: 0,
        };
        Arc::new(EvacuatingStore { state: Mutex::new(state), watches })
    }

    fn set(&self, domain: &'static str, is_evacuated: bool) {
        let mut state = self.state.lock().unwrap();
        state.revision.number += 1;
        let number = state.revision.number;
        state.domains.retain(|(d, ..)| *d != domain);
        state.domains.push((domain, number, is_evacuated));
    }

    /// Restores the store from a copy with these evacuations.
    fn restore(&self, domains: &[&'static str]) {
        let mut state = self.state.lock().unwrap();
        state.revision = Revision::new(state.revision.era + 1, 3);
        state.domains = domains.iter().map(|d| (*d, 3, true)).collect();
    }

    fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    fn revision(&self) -> Result<Revision, StoreError> {
        let state = self.state.lock().unwrap();
        let down = || StoreError::Unreachable(String::from("down"));
        if state.is_down { Err(down()) } else { Ok(state.revision) }
    }
}

impl Store for EvacuatingStore {
    async fn check(&self) -> Result<StoreCheck, StoreError> {
        let era = self.revision()?.era;
        Ok(StoreCheck { era, ..StoreCheck::default() })
    }
    async fn list_targets(&self, _: Consistency) -> Result<RegistryDelta, StoreError> {
        Ok(targets_list(self.revision()?))
    }
    async fn read_config(&self, _: Consistency) -> Result<ConfigUpdate, StoreError> {
        Ok(ConfigUpdate::unchanged(self.revision()?))
    }
    async fn list_evacuations(&self, _: Consistency) -> Result<Evacuations, StoreError> {
        let delay = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.list_delay
        };
        tokio::time::sleep(delay).await;
        let revision = self.revision()?;
        let state = self.state.lock().unwrap();
        let evacuated = state.domains.iter().filter(|(.., is_evacuated)| *is_evacuated);
        Ok(Evacuations::new(revision, evacuated.map(|(d, ..)| (*d).into()).collect()))
    }
    async fn watch_targets(&self, _: Revision, _: Duration) -> Result<RegistryDelta, StoreError> {
        std::future::pending().await
    }
    async fn watch_config(&self, _: Revision, _: Duration) -> Result<ConfigUpdate, StoreError> {
        std::future::pending().await
    }
    async fn watch_evacuations(
        &self,
        from: Revision,
        wait: Duration,
    ) -> Result<EvacuationsUpdate, StoreError> {
        self.state.lock().unwrap().calls += 1;
        let changes = async {
            loop {
                tokio::time::sleep(Duration::from_millis(5)).await;
                let state = self.state.lock().unwrap();
                let is_new = |number: u64| number > from.number && state.revision.era == from.era;
                let changes: Vec<_> = state
                    .domains
                    .iter()
                    .filter(|(_, number, _)| is_new(*number))
                    .map(|(d, _, is_evacuated)| (Arc::from(*d), *is_evacuated))
                    .collect();
                if !changes.is_empty() && self.watches != Watches::Lost {
                    return EvacuationsUpdate { revision: state.revision, changes };
                }
            }
        };
        let unchanged = EvacuationsUpdate { revision: from, changes: Vec::new() };
        let update = timeout(wait, changes).await.unwrap_or(unchanged);
        match self.watches {
            Watches::HistoryGone if !update.changes.is_empty() => Err(StoreError::HistoryGone),
            _ => Ok(update),
        }
    }
}

fn addr_in(domain: &str) -> SocketAddr {
    SocketAddr::from(([127, 9, 9, 60], if domain == "a" { 1 } else { 2 }))
}

/// Returns a list of two targets, in the failure domains "a" and "b".
fn targets_list(to: Revision) -> RegistryDelta {
    let changes = ["a", "b"].map(|domain| {
        let (_, mut change) = registered(POOL, addr_in(domain));
        if let RegistryChange::Put(target) = &mut change {
            target.failure_domain = domain.into();
        }
        (to, change)
    });
    RegistryDelta { from: None, to, changes: changes.to_vec() }
}

fn is_used(host: &Host, domain: &str) -> bool {
    host.candidate(POOL, &identity(addr_in(domain))).is_some()
}

fn set_evacuate_s(host: &Host, evacuate_s: Option<f64>) {
    let mut settings = Settings::clone(&host.settings.load());
    settings.promises.evacuate_s = evacuate_s;
    host.settings.store(Arc::new(settings));
}

async fn host(name: &str, peer: &str, seeds: &str) -> Arc<Host> {
    let host = common::named_host(name, peer.parse().unwrap(), seeds).await;
    set_evacuate_s(&host, Some(EVACUATE_S));
    host
}

async fn until<F>(what: &str, met: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(MISSED_AFTER, wait).await.is_ok(), "{what}");
}

/// Starts a reader of a store, and returns it once it uses the targets of both domains.
async fn start_reader(peer: &str, store: &Arc<EvacuatingStore>) -> Arc<Host> {
    let host = host("h", peer, "[]").await;
    tokio::spawn(reader::run(host.clone(), store.clone()));
    until("the targets are read", || is_used(&host, "a") && is_used(&host, "b")).await;
    until("the evacuations are read", || host.evacuations().is_some()).await;
    host
}

async fn assert_evacuated_and_returned(peer: &str, store: Arc<EvacuatingStore>) {
    let host = start_reader(peer, &store).await;
    store.set("a", true);
    until("the domain is evacuated", || !is_used(&host, "a")).await;
    assert!(is_used(&host, "b"));
    store.set("a", false);
    until("the domain is back", || is_used(&host, "a")).await;
}

/// Guards against requests to the targets of an evacuated domain, and against a domain whose targets get none
/// after the evacuation was withdrawn.
#[tokio::test]
async fn reader_evacuation_is_in_force_until_withdrawn() {
    assert_evacuated_and_returned("127.9.9.61:7009", EvacuatingStore::new(Watches::Sound)).await;
}

/// Guards against an evacuation that goes unnoticed because the store has lost track of the watch without an
/// error.
#[tokio::test]
async fn reader_evacuation_with_lost_watch_is_in_force_in_time() {
    assert_evacuated_and_returned("127.9.9.62:7009", EvacuatingStore::new(Watches::Lost)).await;
}

/// Guards against an evacuation that is missed because the store lacks the history since the last response.
#[tokio::test]
async fn reader_evacuation_with_history_gone_is_in_force() {
    let store = EvacuatingStore::new(Watches::HistoryGone);
    assert_evacuated_and_returned("127.9.9.63:7009", store).await;
}

/// Guards against evacuations of the lost history that stay in force, and against those of the new history that
/// are ignored because their revisions are lower.
#[tokio::test]
async fn reader_evacuation_store_restored_is_that_of_the_new_history() {
    let store = EvacuatingStore::new(Watches::Sound);
    let host = start_reader("127.9.9.64:7009", &store).await;
    store.set("a", true);
    until("the domain is evacuated", || !is_used(&host, "a")).await;
    store.restore(&["b"]);
    until("the copied state is in force", || is_used(&host, "a") && !is_used(&host, "b")).await;
    store.set("a", true);
    until("a change of the new history is in force", || !is_used(&host, "a")).await;
}

/// Guards against an evacuation that ends because the store does not respond any more.
#[tokio::test]
async fn reader_evacuation_store_down_stays_in_force() {
    let store = EvacuatingStore::new(Watches::Sound);
    let host = start_reader("127.9.9.65:7009", &store).await;
    store.set("a", true);
    until("the domain is evacuated", || !is_used(&host, "a")).await;
    store.set_down(true);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(!is_used(&host, "a") && is_used(&host, "b"));
    store.set_down(false);
    store.set("a", false);
    until("the domain is back", || is_used(&host, "a")).await;
}

/// Guards against calls for evacuations in deployments that have none.
#[tokio::test]
async fn reader_without_evacuations_makes_no_call_for_them() {
    let store = EvacuatingStore::new(Watches::Sound);
    let host = common::host("127.9.9.66:7009".parse().unwrap(), "[]").await;
    reader::read_once(host.clone(), store.clone()).await;
    tokio::spawn(reader::run(host.clone(), store.clone()));
    let is_current = || host.freshness().age(host.now()).is_zero();
    until("the store is watched", || host.freshness().is_watching() && is_current()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.state.lock().unwrap().calls, 0);
}

/// Guards against settings that are read again and change nothing: an evacuation is then not noticed before the
/// next start, or never ends.
#[tokio::test]
async fn reader_evacuations_turned_on_and_off_follows_the_settings() {
    let store = EvacuatingStore::new(Watches::Sound);
    store.set("a", true);
    let host = common::host("127.9.9.67:7009".parse().unwrap(), "[]").await;
    tokio::spawn(reader::run(host.clone(), store.clone()));
    until("the targets are read", || is_used(&host, "a")).await;
    set_evacuate_s(&host, Some(EVACUATE_S));
    until("the domain is evacuated", || !is_used(&host, "a")).await;
    set_evacuate_s(&host, None);
    host.tick(host.now());
    assert!(is_used(&host, "a"));
}

/// Guards against a host that starts and sends requests to an evacuated domain until it has read the evacuations
/// as well.
#[tokio::test]
async fn read_once_slow_list_of_evacuations_has_no_targets_before() {
    let store = EvacuatingStore::new(Watches::Sound);
    store.set("a", true);
    store.state.lock().unwrap().list_delay = Duration::from_millis(300);
    let host = host("h", "127.9.9.68:7009", "[]").await;
    let read = tokio::spawn(reader::read_once(host.clone(), store));
    while !read.is_finished() {
        assert!(!is_used(&host, "a"));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!is_used(&host, "a") && is_used(&host, "b"));
}

/// Guards against callers being sent to a host that does not know the evacuations yet, and against a host that
/// never gets ready because nobody tells it.
#[tokio::test]
async fn is_ready_evacuations_unknown_waits_for_them_for_a_while() {
    let host = host("h", "127.9.9.69:7009", "[]").await;
    host.adopt_config(config(), Revision::new(1, 1), "store");
    host.apply_targets(targets_list(Revision::new(1, 1)), "store");
    assert!(!host.is_ready());
    set_evacuate_s(&host, Some(0.2));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(host.is_ready());
    set_evacuate_s(&host, Some(600.0));
    assert!(!host.is_ready());
    host.adopt_evacuations(Evacuations::default(), "store");
    assert!(host.is_ready());
}

/// Returns a configuration with all that a change without an extension could remove.
fn config() -> FleetConfig {
    let public = FleetRoute { public: true, ..route("safe", POOL) };
    let pool = FleetPool {
        name: POOL.into(),
        health_path: "/health".into(),
        max_connections: 100,
        warm_up_per_s: Some(7.0),
    };
    let team = Team {
        name: "team".into(),
        keys: vec![ApiKey::new("key")],
        priority: Some(1),
        allowance: Some(Allowance { per_s: 5.0, burst: 2.0 }),
    };
    FleetConfig {
        version: 3,
        era: 1,
        routes: vec![public],
        pools: vec![pool],
        authentication: Authentication::Teams(vec![Arc::new(team)]),
        is_complete: true,
        ..FleetConfig::default()
    }
}

async fn start(name: &str, peer: &str, seed: &str) -> Arc<Host> {
    let host = host(name, peer, &format!(r#"["{seed}"]"#)).await;
    let listener = TcpListener::bind(peer).await.unwrap();
    tokio::spawn(peers::serve(host.clone(), Arc::new(listener)));
    tokio::spawn(peers::receive(host.clone()));
    tokio::spawn(peers::run(host.clone()));
    tokio::spawn(replication::follow(host.clone()));
    host
}

/// Guards against a follower that gets the evacuations late, only when they change, or not at all, and against one
/// whose configuration is changed by the message with them.
#[tokio::test]
async fn follow_evacuations_at_the_start_and_on_each_change_are_in_force() {
    let leader = start("host-1", "127.9.9.70:7009", "127.9.9.71:7009").await;
    leader.adopt_config(config(), Revision::new(1, 1), "store");
    leader.apply_targets(targets_list(Revision::new(1, 1)), "store");
    leader.adopt_evacuations(Evacuations::new(Revision::new(1, 2), vec!["a".into()]), "store");
    let follower = start("host-2", "127.9.9.71:7009", "127.9.9.70:7009").await;
    let wait = Duration::from_secs(20);
    let known = async {
        while follower.evacuations() != leader.evacuations() {
            assert!(!is_used(&follower, "a"), "used before the evacuations are known");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(wait, known).await.expect("evacuations at the start of the connection");
    until("the targets are replicated", || is_used(&follower, "b")).await;
    assert!(!is_used(&follower, "a"));
    let changed = Evacuations::new(Revision::new(1, 9), vec!["b".into()]);
    leader.adopt_evacuations(changed.clone(), "store");
    until("the change", || is_used(&follower, "a") && !is_used(&follower, "b")).await;
    leader.adopt_evacuations(Evacuations::new(Revision::new(2, 1), Vec::new()), "store");
    until("the restored store", || is_used(&follower, "a") && is_used(&follower, "b")).await;
    assert_eq!(follower.config(), leader.config());
    // A leader that lags behind.
    follower.adopt_evacuations(changed, "host-3");
    assert!(is_used(&follower, "b"));
}

/// Guards against the first message to a follower without a configuration, which can't apply it and ends the
/// connection.
#[tokio::test]
async fn evacuations_since_follower_without_configuration_is_none() {
    let host = host("h", "127.9.9.72:7009", "[]").await;
    host.adopt_evacuations(Evacuations::new(Revision::new(1, 2), vec!["a".into()]), "store");
    assert!(host.evacuations_since(ConfigEdition::default(), None).is_none());
    let edition = config().edition();
    let (sent, change) = host.evacuations_since(edition, None).unwrap();
    assert!(change.keeps_config());
    assert!(host.evacuations_since(edition, Some(&sent)).is_none());
}
