//! Load estimates and target selection, shared by all requests of this host.

use geraniummux_core::config::Pool;
use geraniummux_core::load::{Estimate, LoadDigest, LoadOptions};
use geraniummux_core::{
    AttemptEnd, Balancer, BalancerOptions, Exclusion, LoadReport, LoadTable, TargetId, Time,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// A target that was picked for an attempt.
#[derive(Clone, Debug)]
pub struct PickedTarget {
    /// Identifies the target in the load table.
    pub id: TargetId,
    /// Name of the target in its pool.
    pub name: Arc<str>,
    /// Address on which the target accepts connections.
    pub addr: SocketAddr,
}

struct State {
    load: LoadTable,
    /// Sorted by pool name.
    balancers: Vec<Balancer>,
}

/// The load table and the balancers of all pools.
pub struct Balancing {
    /// Failure domain of this host.
    domain: Arc<str>,
    state: Mutex<State>,
    /// Signalled when the load table has changes for a digest.
    digest_ready: Notify,
}

impl Balancing {
    /// Returns the state of a host in failure domain `domain`, without pools.
    pub fn new(domain: Arc<str>) -> Self {
        let load = LoadTable::new(&[], LoadOptions::default());
        Balancing {
            domain,
            state: Mutex::new(State { load, balancers: Vec::new() }),
            digest_ready: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies a changed pools table.
    pub fn update(&self, pools: &[Pool], now: Time) {
        let mut state = self.lock();
        let State { load, balancers } = &mut *state;
        load.update(pools);
        balancers.retain(|b| pools.iter().any(|p| p.name == *b.pool()));
        for pool in pools {
            match balancers.binary_search_by(|b| b.pool().cmp(&pool.name)) {
                Ok(i) => balancers[i].update(pool, load, now),
                Err(i) => {
                    let options = BalancerOptions::default();
                    let balancer = Balancer::new(pool, load, self.domain.clone(), options);
                    balancers.insert(i, balancer);
                }
            }
        }
    }

    /// Picks a target of `pool`, or returns `None` if there is no eligible one. Targets named in
    /// `avoid` are picked only if there is no other, targets at the addresses in `leaving` never.
    pub fn pick(
        &self,
        pool: &str,
        avoid: &[Arc<str>],
        leaving: &[SocketAddr],
        now: Time,
    ) -> Option<PickedTarget> {
        let mut state = self.lock();
        let State { load, balancers } = &mut *state;
        let i = balancers.binary_search_by(|b| (**b.pool()).cmp(pool)).ok()?;
        let tried: Vec<TargetId> = avoid.iter().filter_map(|name| load.id(pool, name)).collect();
        let mut draining: Vec<TargetId> =
            leaving.iter().flat_map(|addr| load.ids_by_addr(*addr)).collect();
        draining.sort_unstable();
        let rng = &mut rand::rng();
        let exclusion = Exclusion { tried: &tried, draining: &draining };
        let choice = balancers[i].choose(load, exclusion, now, rng).or_else(|| {
            let exclusion = Exclusion { tried: &[], draining: &draining };
            balancers[i].choose(load, exclusion, now, rng)
        })?;
        let id = choice.target;
        Some(PickedTarget { id, name: load.name(id)?.clone(), addr: load.addr(id)? })
    }

    /// Records that an attempt is about to be sent.
    pub fn on_sent(&self, id: TargetId, now: Time) {
        self.lock().load.on_sent(id, now);
    }

    /// Records the end of an attempt that was recorded with [`Balancing::on_sent`] at `sent_at`.
    /// `report` is the load report of the response, if it had one.
    pub fn on_end(
        &self,
        id: TargetId,
        sent_at: Time,
        end: AttemptEnd,
        report: Option<LoadReport>,
        now: Time,
    ) {
        let mut state = self.lock();
        state.load.on_end(id, sent_at, end, report, now);
        state.balancers.iter_mut().for_each(|b| b.on_end(id, end, now));
        if state.load.has_pending_digest() {
            self.digest_ready.notify_one();
        }
    }

    /// Records an attempt whose connection could not be opened. It counts as a failed attempt.
    pub fn on_connect_failed(&self, id: TargetId, now: Time) {
        self.on_sent(id, now);
        self.on_end(id, now, AttemptEnd::Failed, None, now);
    }

    /// Records the result of an active probe; `None` if the target is not ready or did not respond
    /// in time.
    pub fn on_probe(&self, addr: SocketAddr, report: Option<LoadReport>, now: Time) {
        let mut state = self.lock();
        for id in state.load.ids_by_addr(addr) {
            state.load.on_probe(id, report, now);
        }
    }

    /// Waits until a digest may have to be sent.
    pub async fn digest_ready(&self) {
        self.digest_ready.notified().await;
    }

    /// Returns the digest to send now, encoded for [`Balancing::merge_digest`], and the number of
    /// random peers to send it to. Returns `None` if no change is pending or the byte budget is
    /// used up.
    pub fn poll_digest(&self, peers: usize, now: Time) -> Option<(Vec<u8>, usize)> {
        let due = self.lock().load.poll_digest(peers, now)?;
        Some((postcard::to_stdvec(&due.digest).ok()?, due.fanout))
    }

    /// Returns a target's estimated load, this host's requests in flight to it and whether it is
    /// ejected.
    pub fn estimate(&self, pool: &str, target: &str, now: Time) -> Option<(Estimate, u32, bool)> {
        let state = self.lock();
        let id = state.load.id(pool, target)?;
        let ejected = state.balancers.iter().any(|b| b.is_ejected(id, now));
        Some((state.load.estimate(id, now)?, state.load.in_flight(id), ejected))
    }

    /// Merges the load digest of a peer; a digest that can't be decoded is ignored.
    pub fn merge_digest(&self, bytes: &[u8], now: Time) {
        if let Ok(digest) = postcard::from_bytes::<LoadDigest>(bytes) {
            self.lock().load.on_digest(&digest, now);
        }
    }
}
