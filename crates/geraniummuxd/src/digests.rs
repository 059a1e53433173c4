//! Sends load digests to random peers within their byte budget.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause while there is no peer.
const IDLE: Duration = Duration::from_millis(200);

/// Sends digests until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let mut peers: Vec<SocketAddr> = {
            let state = shared.control.lock();
            state.members.live_peers().map(|m| m.addr).collect()
        };
        let (interval, fanout) = shared.data.balancing.digest_plan(peers.len());
        if peers.is_empty() {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        tokio::time::sleep(interval).await;
        let digest = shared.data.balancing.digest(shared.clock.now());
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(fanout) {
            peer_net::send(&shared, peer, Message::LoadDigest(digest.clone()));
        }
    }
}
