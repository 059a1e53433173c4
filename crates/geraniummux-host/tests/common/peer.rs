//! A peer of a host under test.

// Not every test file uses all of it.
#![allow(dead_code)]

use super::PEER_KEY;
use geraniummux_core::fleet::{SlotDecision, SlotRequest};
use geraniummux_wire::{Codec, Envelope, MAX_DATAGRAM_LEN, Message};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Time after which a host that does not answer is taken not to hear its peers.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Returns a request for a slot that is not hedgeable.
pub fn slot_request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 0,
        service_time: Duration::from_millis(10),
        body_bytes: 0,
        time_left: Duration::from_secs(1),
        latency_target_left: Duration::from_secs(1),
        hedgeable: false,
        avoid: Vec::new(),
    }
}

/// A peer that speaks to a scheduler by itself.
pub struct Peer {
    codec: Codec,
    socket: UdpSocket,
    scheduler: SocketAddr,
}

impl Peer {
    /// Starts a peer at the address of the host.
    pub async fn start(scheduler: SocketAddr) -> Self {
        let socket = UdpSocket::bind(SocketAddr::new(scheduler.ip(), 0)).await.unwrap();
        Peer { codec: Codec::new(PEER_KEY.as_bytes()), socket, scheduler }
    }

    /// Sends a message to the host.
    pub async fn send(&self, message: Message) {
        let envelope = Envelope { from: "stranger".into(), incarnation: 1, generation: 0, message };
        let datagram = self.codec.encode_datagram(&envelope).unwrap();
        self.socket.send_to(&datagram, self.scheduler).await.unwrap();
    }

    /// Requests a slot for a request that may be hedged, and returns the decision.
    pub async fn request(&self, number: u64) -> SlotDecision {
        let pool = "pool".into();
        let request = SlotRequest { hedgeable: true, ..slot_request() };
        self.send(Message::SlotRequest { number, pool, request }).await;
        let mut buf = [0; MAX_DATAGRAM_LEN];
        loop {
            let received = timeout(GIVE_UP_AFTER, self.socket.recv_from(&mut buf)).await;
            let (len, _) = received.expect("the host does not hear its peers").unwrap();
            match self.codec.decode_datagram(&buf[..len]).unwrap().message {
                Message::SlotDecision { number: n, decision } if n == number => return decision,
                _ => {}
            }
        }
    }
}
