//! Sends load digests to random peers.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause while there is no peer.
const IDLE: Duration = Duration::from_millis(200);

/// Sends digests until the task is dropped. The interval keeps all copies within the byte budget.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let mut peers: Vec<SocketAddr> = {
            let state = shared.control.lock();
            state.members.live_peers().map(|m| m.addr).collect()
        };
        if peers.is_empty() || shared.in_force().config.generation == 0 {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        let (interval, fanout) = shared.data.balancing.digest_plan(peers.len());
        tokio::time::sleep(interval).await;
        peers.shuffle(&mut rand::rng());
        peers.truncate(fanout);
        if let Some(bytes) = shared.data.balancing.digest(shared.clock.now()) {
            for peer in peers {
                peer_net::send(&shared, peer, Message::LoadDigest(bytes.clone()));
            }
        }
    }
}
