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
/// Pause between two looks for news. A drop of a target's speed lasts about 30 ms, so later news
/// would be of little use.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Sends digests at the pace that the byte budget allows, until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let count = shared.control.lock().members.live_peers().count();
        if count == 0 {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        if let Some((digest, fanout)) = shared.data.balancing.poll_digest(count, shared.clock.now())
        {
            let peers: Vec<SocketAddr> =
                shared.control.lock().members.live_peers().map(|m| m.addr).collect();
            for addr in peers.into_iter().sample(&mut rand::rng(), fanout) {
                peer_net::send(&shared, addr, Message::LoadDigest(digest.clone()));
            }
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}
