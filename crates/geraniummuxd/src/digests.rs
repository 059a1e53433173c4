//! Sends load digests to peers.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause while there is no peer or no target.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Shortest pause between two digests, so that few targets don't mean a busy loop.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Sends digests at the pace that the byte budget allows, until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let peers: Vec<SocketAddr> = {
            let state = shared.control.lock();
            state.members.live_peers().map(|m| m.addr).collect()
        };
        if peers.is_empty() {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        let (pause, fanout) = shared.data.balancing.digest_plan(peers.len());
        let digest = shared.data.balancing.digest(shared.clock.now());
        for addr in peers.into_iter().sample(&mut rand::rng(), fanout) {
            peer_net::send(&shared, addr, Message::LoadDigest(digest.clone()));
        }
        tokio::time::sleep(pause.max(MIN_PAUSE)).await;
    }
}
