//! Sends load digests to peers chosen at random.

use crate::peer_net;
use crate::shared::Shared;
use geraniummux_wire::Message;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum interval between two checks for a due digest. A digest that the byte budget did not
/// allow is tried again after this interval.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two checks. A slowdown of a target lasts about 30 ms, so a much longer
/// interval would make the digest useless, and a check after each response would cost more.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends digests when the load of targets has changed and the byte budget allows it, until the task
/// is dropped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        // The digest is polled after the timeout as well.
        let _ = tokio::time::timeout(MAX_POLL_INTERVAL, shared.data.balancing.digest_ready()).await;
        let peers = shared.control.lock().members.live_peers().count();
        let due = shared.data.balancing.poll_digest(peers, shared.clock.now());
        if let Some((digest, fanout)) = due {
            send(&shared, digest, fanout);
        }
        tokio::time::sleep(MIN_POLL_INTERVAL).await;
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
