//! State of the data path, shared by all requests of this host: load estimates, route budgets,
//! connections to targets, concurrency limits and the quarantine.

use crate::balancing::Balancing;
use crate::clock::Clock;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::routes::RouteStates;
use crate::settings::Settings;
use crate::upstream::ConnectionPool;
use geraniummux_core::config::Tables;
use geraniummux_core::quarantine::{Block, CrashReport, QuarantineOptions};
use geraniummux_core::{Fingerprint, Quarantine};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Limits of a tenant without an entry in the settings: requests in flight and queued.
const DEFAULT_TENANT_LIMITS: (u32, usize) = (256, 512);
/// Limit of the requests that a host has in flight to a pool, as a multiple of the pool's slots.
/// Hosts share the slots of targets, and targets shed excess requests themselves, so this only
/// bounds the backlog of one host.
const POOL_LIMIT_FACTOR: u32 = 2;
/// Largest number of requests of one tenant that one host queues for a pool.
const POOL_QUEUE_LEN: usize = 1_024;

type ConcurrencyLimits = Mutex<Vec<(Arc<str>, Arc<ConcurrencyLimit>)>>;

/// State of the data path.
pub struct DataPath {
    /// Load estimates and choice of targets.
    pub balancing: Balancing,
    /// Budgets and observed latency of routes.
    pub routes: RouteStates,
    /// Idle connections to targets.
    pub connections: ConnectionPool,
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Sorted by tenant.
    tenants: ConcurrencyLimits,
    /// Sorted by pool.
    pools: ConcurrencyLimits,
    /// Random part of request ids that identifies this process, not guessable by targets.
    process: u64,
    next_id: AtomicU64,
    in_flight: AtomicUsize,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Arc<DataPath>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl DataPath {
    /// Returns the state of a host that has no configuration yet.
    pub fn new(settings: &Settings, clock: Clock) -> Self {
        let process: u64 = rand::random();
        let name = format!("{}/{process:016x}", settings.host);
        let mut tenants: Vec<(Arc<str>, Arc<ConcurrencyLimit>)> = Vec::new();
        for t in &settings.tenants {
            let limit = ConcurrencyLimit::new(clock, t.max_in_flight, t.max_queued as usize);
            tenants.push((t.name.clone(), Arc::new(limit)));
        }
        tenants.sort_by(|a, b| a.0.cmp(&b.0));
        DataPath {
            balancing: Balancing::new(settings.failure_domain.clone()),
            routes: RouteStates::default(),
            connections: ConnectionPool::new(clock),
            clock,
            quarantine: Mutex::new(Quarantine::new(name.into(), QuarantineOptions::default())),
            tenants: Mutex::new(tenants),
            pools: Mutex::default(),
            process,
            next_id: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Applies changed tables. State of pools and routes that remain is kept.
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
                    let limit = Arc::new(ConcurrencyLimit::new(self.clock, limit, POOL_QUEUE_LEN));
                    pools.insert(i, (pool.name.clone(), limit));
                }
            }
        }
    }

    /// Returns the concurrency limit of a tenant.
    pub fn tenant_limit(&self, tenant: &Arc<str>) -> Arc<ConcurrencyLimit> {
        let (limit, queue) = DEFAULT_TENANT_LIMITS;
        find_or_insert(&self.tenants, tenant, || ConcurrencyLimit::new(self.clock, limit, queue))
    }

    /// Returns the concurrency limit of a pool.
    pub fn pool_limit(&self, pool: &Arc<str>) -> Arc<ConcurrencyLimit> {
        find_or_insert(&self.pools, pool, || ConcurrencyLimit::new(self.clock, 1, POOL_QUEUE_LEN))
    }

    /// Returns a unique id for a request or an attempt.
    pub fn new_id(&self) -> String {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        // The random part prevents a target from guessing the id of a request that it hasn't
        // received.
        format!("{:016x}-{n:x}-{:08x}", self.process, rand::random::<u32>())
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.clone())
    }

    /// Returns the number of requests in flight, including those whose response is not delivered
    /// yet. A request may outlive its connection until its claim is settled.
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

    /// Records that a target's connection was lost during a request with the fingerprint. Targets
    /// are identified by their addresses, as in messages to peers.
    pub fn record_crash(&self, fingerprint: Fingerprint, target: SocketAddr) {
        let target = target.to_string().into();
        self.quarantine().record_crash(self.clock.now(), fingerprint, &target);
    }

    /// Records a crash report from a peer.
    pub fn merge_crash_report(&self, crash_report: &CrashReport) {
        self.quarantine().merge(self.clock.now(), crash_report);
    }

    /// Records that a target responded to a request with the fingerprint. Returns whether that
    /// cleared crash reports or a block, in which case the peers must be notified.
    pub fn record_response(&self, fingerprint: Fingerprint) -> bool {
        let mut quarantine = self.quarantine();
        !quarantine.is_empty() && quarantine.record_answer(self.clock.now(), fingerprint)
    }

    /// Returns the blocks in force, for a peer that starts or resumes after a pause.
    pub fn blocks(&self) -> Vec<Block> {
        self.quarantine().snapshot(self.clock.now())
    }

    /// Merges the blocks in force at a peer.
    pub fn merge_blocks(&self, blocks: &[Block]) {
        self.quarantine().merge_snapshot(self.clock.now(), blocks);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn find_or_insert<N>(limits: &ConcurrencyLimits, name: &Arc<str>, new: N) -> Arc<ConcurrencyLimit>
where
    N: FnOnce() -> ConcurrencyLimit,
{
    let mut limits = lock(limits);
    let i = limits.binary_search_by(|(n, _)| n.cmp(name)).unwrap_or_else(|i| {
        limits.insert(i, (name.clone(), Arc::new(new())));
        i
    });
    limits[i].1.clone()
}
