//! Sends load digests to peers.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two looks for news, which the byte budget may have held back.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Sends news of the targets' load at the pace that the byte budget allows, until the task is
/// dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        // Without news the pause ends by itself.
        let _ = tokio::time::timeout(MAX_PAUSE, shared.data.balancing.news()).await;
        let peers: Vec<SocketAddr> = {
            let state = shared.control.lock();
            state.members.live_peers().map(|m| m.addr).collect()
        };
        let due = shared.data.balancing.digest(peers.len(), shared.clock.now());
        let Some((digest, fanout)) = due else { continue };
        for addr in peers.into_iter().sample(&mut rand::rng(), fanout) {
            peer_net::send(&shared, addr, Message::LoadDigest(digest.clone()));
        }
    }
}
