//! The load estimates and the choice of targets, shared by all requests.

use geraniummux_core::config::Pool;
use geraniummux_core::load::{Estimate, LoadDigest, LoadOptions};
use geraniummux_core::{
    AttemptEnd, Balancer, BalancerOptions, Exclusion, LoadReport, LoadTable, TargetId, Time,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Picked {
    /// Identifies the target in the load table.
    pub id: TargetId,
    /// Its name in the pool.
    pub name: Arc<str>,
    /// Where it accepts connections.
    pub addr: SocketAddr,
}

struct State {
    load: LoadTable,
    /// Sorted by pool name.
    balancers: Vec<Balancer>,
}

/// Load estimates and balancers of all pools.
pub struct Balancing {
    domain: Arc<str>,
    state: Mutex<State>,
    news: Notify,
}

impl Balancing {
    /// Returns the state of a host in failure domain `domain` that has no pools yet.
    pub fn new(domain: Arc<str>) -> Self {
        let load = LoadTable::new(&[], LoadOptions::default());
        Balancing {
            domain,
            state: Mutex::new(State { load, balancers: Vec::new() }),
            news: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adopts changed pools.
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

    /// Chooses a target of `pool`. Targets named in `avoid` are chosen only if there is no other,
    /// targets at the addresses in `leaving` never.
    pub fn pick(
        &self,
        pool: &str,
        avoid: &[Arc<str>],
        leaving: &[SocketAddr],
        now: Time,
    ) -> Option<Picked> {
        let mut state = self.lock();
        let State { load, balancers } = &mut *state;
        let i = balancers.binary_search_by(|b| (**b.pool()).cmp(pool)).ok()?;
        let tried: Vec<TargetId> = avoid.iter().filter_map(|name| load.id(pool, name)).collect();
        let mut leaving_ids: Vec<TargetId> =
            leaving.iter().flat_map(|addr| load.ids_by_addr(*addr)).collect();
        leaving_ids.sort_unstable();
        let rng = &mut rand::rng();
        let exclusion = Exclusion { tried: &tried, leaving: &leaving_ids };
        let choice = balancers[i].choose(load, exclusion, now, rng).or_else(|| {
            let exclusion = Exclusion { tried: &[], leaving: &leaving_ids };
            balancers[i].choose(load, exclusion, now, rng)
        })?;
        let id = choice.target;
        Some(Picked { id, name: load.name(id)?.clone(), addr: load.addr(id)? })
    }

    /// Notes that an attempt is about to be sent.
    pub fn on_sent(&self, id: TargetId, now: Time) {
        self.lock().load.on_sent(id, now);
    }

    /// Notes the end of an attempt that was announced with [`Balancing::on_sent`].
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
            self.news.notify_one();
        }
    }

    /// Notes the end of an attempt that could not even connect.
    pub fn on_connect_failed(&self, id: TargetId, now: Time) {
        self.on_sent(id, now);
        self.on_end(id, now, AttemptEnd::Failed, None, now);
    }

    /// Notes the result of a paid probe; `None` if the target did not answer in time.
    pub fn on_probe(&self, addr: SocketAddr, report: Option<LoadReport>, now: Time) {
        let mut state = self.lock();
        for id in state.load.ids_by_addr(addr) {
            state.load.on_probe(id, report, now);
        }
    }

    /// Waits until there may be news for a digest.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Returns the digest to send now, encoded for [`Balancing::merge_digest`], and the number of
    /// random peers that it goes to; `None` if there is nothing to tell or no byte budget left.
    pub fn poll_digest(&self, peers: usize, now: Time) -> Option<(Vec<u8>, usize)> {
        let due = self.lock().load.poll_digest(peers, now)?;
        Some((postcard::to_stdvec(&due.digest).ok()?, due.fanout))
    }

    /// Returns a target's estimated load, the own requests in flight and whether it is ejected.
    pub fn estimate(&self, pool: &str, target: &str, now: Time) -> Option<(Estimate, u32, bool)> {
        let state = self.lock();
        let id = state.load.id(pool, target)?;
        let ejected = state.balancers.iter().any(|b| b.is_ejected(id, now));
        Some((state.load.estimate(id, now)?, state.load.in_flight(id), ejected))
    }

    /// Takes in the digest of a peer; one that can't be decoded is ignored.
    pub fn merge_digest(&self, bytes: &[u8], now: Time) {
        if let Ok(digest) = postcard::from_bytes::<LoadDigest>(bytes) {
            self.lock().load.on_digest(&digest, now);
        }
    }
}
