//! State of the data path, shared by all requests of this host.

use crate::balancing::Balancing;
use crate::clock::Clock;
use crate::concurrency_limit::Gate;
use crate::routes::RouteStates;
use crate::settings::Settings;
use crate::upstream::Connections;
use geraniummux_core::config::Tables;
use geraniummux_core::quarantine::{Block, CrashReport, QuarantineOptions};
use geraniummux_core::{Fingerprint, Quarantine};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Limits of a tenant without an entry in the settings: requests under way and waiting.
const DEFAULT_TENANT_LIMITS: (u32, usize) = (256, 512);
/// Requests that a host has under way at a pool, as a multiple of the pool's slots. Targets share
/// their slots between hosts and shed by themselves, so this only bounds what one host piles up.
const POOL_LIMIT_FACTOR: u32 = 2;
/// Requests that wait for a pool on one host.
const POOL_QUEUE_LEN: usize = 1_024;

type Gates = Mutex<Vec<(Arc<str>, Arc<Gate>)>>;

/// State of the data path.
pub struct DataPath {
    /// Load estimates and choice of targets.
    pub balancing: Balancing,
    /// Budgets and latency of routes.
    pub routes: RouteStates,
    /// Idle connections to targets.
    pub connections: Connections,
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Sorted by tenant.
    tenants: Gates,
    /// Sorted by pool.
    pools: Gates,
    /// Identity of this process in request identities, not guessable by targets.
    process: u64,
    next_id: AtomicU64,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight(Arc<DataPath>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl DataPath {
    /// Returns the state of a host without configuration.
    pub fn new(settings: &Settings, clock: Clock) -> Self {
        let process: u64 = rand::random();
        let name = format!("{}/{process:016x}", settings.host);
        let mut tenants: Vec<(Arc<str>, Arc<Gate>)> = Vec::new();
        for t in &settings.tenants {
            let gate = Gate::new(clock, t.max_in_flight, t.max_queued as usize);
            tenants.push((t.name.clone(), Arc::new(gate)));
        }
        tenants.sort_by(|a, b| a.0.cmp(&b.0));
        DataPath {
            balancing: Balancing::new(settings.failure_domain.clone()),
            routes: RouteStates::default(),
            connections: Connections::new(clock),
            clock,
            quarantine: Mutex::new(Quarantine::new(name.into(), QuarantineOptions::default())),
            tenants: Mutex::new(tenants),
            pools: Mutex::default(),
            process,
            next_id: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Adopts changed tables.
    pub fn update(&self, tables: &Tables) {
        let now = self.clock.now();
        self.balancing.update(&tables.pools, now);
        self.routes.update(&tables.routes, now);
        let mut pools = lock(&self.pools);
        pools.retain(|(name, _)| tables.pools.iter().any(|p| p.name == *name));
        for pool in &tables.pools {
            let targets = pool.targets.len() as u32;
            let limit = pool.slots.saturating_mul(targets).saturating_mul(POOL_LIMIT_FACTOR);
            match pools.binary_search_by(|(name, _)| name.cmp(&pool.name)) {
                Ok(i) => pools[i].1.set_limit(limit),
                Err(i) => {
                    let gate = Arc::new(Gate::new(self.clock, limit, POOL_QUEUE_LEN));
                    pools.insert(i, (pool.name.clone(), gate));
                }
            }
        }
    }

    /// Returns the gate of a tenant.
    pub fn tenant_gate(&self, tenant: &Arc<str>) -> Arc<Gate> {
        let (limit, queue) = DEFAULT_TENANT_LIMITS;
        find_gate(&self.tenants, tenant, || Gate::new(self.clock, limit, queue))
    }

    /// Returns the gate of a pool.
    pub fn pool_gate(&self, pool: &Arc<str>) -> Arc<Gate> {
        find_gate(&self.pools, pool, || Gate::new(self.clock, 1, POOL_QUEUE_LEN))
    }

    /// Returns an identity that no other request or attempt has.
    pub fn new_id(&self) -> String {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        // The random part keeps a target from answering a request that it hasn't received.
        format!("{:016x}-{n:x}-{:08x}", self.process, rand::random::<u32>())
    }

    /// Counts a request as in flight.
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.clone())
    }

    /// Returns how many requests are in flight, undelivered responses included. A request outlives
    /// its connection while its claim is settled.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Returns whether requests with the fingerprint are blocked.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine().is_blocked(self.clock.now(), fingerprint)
    }

    /// Records a strike seen here. Targets are told apart by their addresses, as in messages.
    pub fn record_crash(&self, fingerprint: Fingerprint, target: SocketAddr) {
        let target = target.to_string().into();
        self.quarantine().record_crash(self.clock.now(), fingerprint, &target);
    }

    /// Records a strike of a peer.
    pub fn merge_crash_report(&self, crash_report: &CrashReport) {
        self.quarantine().merge(self.clock.now(), crash_report);
    }

    /// Records that a target answered a request with the fingerprint. Returns whether that cleared
    /// strikes or a block, so that the peers are to be told.
    pub fn answered(&self, fingerprint: Fingerprint) -> bool {
        let mut quarantine = self.quarantine();
        !quarantine.is_empty() && quarantine.record_answer(self.clock.now(), fingerprint)
    }

    /// Returns the blocks in force for a peer that starts or resumes.
    pub fn blocks(&self) -> Vec<Block> {
        self.quarantine().snapshot(self.clock.now())
    }

    /// Takes in the blocks in force at a peer.
    pub fn merge_blocks(&self, blocks: &[Block]) {
        self.quarantine().merge_snapshot(self.clock.now(), blocks);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn find_gate<N>(gates: &Gates, name: &Arc<str>, new: N) -> Arc<Gate>
where
    N: FnOnce() -> Gate,
{
    let mut gates = lock(gates);
    let i = gates.binary_search_by(|(n, _)| n.cmp(name)).unwrap_or_else(|i| {
        gates.insert(i, (name.clone(), Arc::new(new())));
        i
    });
    gates[i].1.clone()
}
