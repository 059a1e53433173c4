//! Sends load digests to random peers.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two looks for news. News that exceeds the byte budget waits for one.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two looks. A drop of a target's speed lasts about 30 ms, so later news
/// would be of little use, and looking after each response would cost more.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Sends digests as there is news and the byte budget allows, until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        // The timeout only bounds the wait.
        let _ = tokio::time::timeout(POLL_INTERVAL, shared.data.balancing.digest_ready()).await;
        let peers = shared.control.lock().members.live_peers().count();
        let due = shared.data.balancing.poll_digest(peers, shared.clock.now());
        if let Some((digest, fanout)) = due {
            send(&shared, digest, fanout);
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

fn send(shared: &Arc<Shared>, digest: Vec<u8>, fanout: usize) {
    let peers: Vec<SocketAddr> = {
        let state = shared.control.lock();
        state.members.live_peers().map(|m| m.addr).collect()
    };
    for addr in peers.into_iter().sample(&mut rand::rng(), fanout) {
        peer_net::send(shared, addr, Message::LoadDigest(digest.clone()));
    }
}
