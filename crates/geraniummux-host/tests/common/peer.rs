//! A peer of a host under test.

// Not every test file uses all of it.
#![allow(dead_code)]

use super::PEER_KEY;
use geraniummux_core::fleet::{SlotDecision, SlotRequest};
use geraniummux_core::{Member, MemberState};
use geraniummux_host::{Host, peers};
use geraniummux_wire::{Codec, Envelope, MAX_DATAGRAM_LEN, Message};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Time after which a host that does not answer is taken not to hear its peers.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Name of the peer.
const NAME: &str = "stranger";

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

/// Capacity of a peer that is the scheduler of all pools.
const SCHEDULER_CAPACITY: u32 = u32::MAX;

/// A peer that exchanges messages with a host by itself.
pub struct Peer {
    codec: Codec,
    socket: UdpSocket,
    host: SocketAddr,
}

impl Peer {
    /// Starts a peer at the address of the host.
    pub async fn start(host: SocketAddr) -> Self {
        let socket = UdpSocket::bind(SocketAddr::new(host.ip(), 0)).await.unwrap();
        Peer { codec: Codec::new(PEER_KEY.as_bytes()), socket, host }
    }

    /// Makes this peer the scheduler of all pools of the host.
    pub fn become_scheduler(&self, host: &Arc<Host>) {
        self.become_member(host, 1);
    }

    /// Lets the host know this peer in an incarnation, as one that schedules all pools.
    pub fn become_member(&self, host: &Arc<Host>, incarnation: u64) {
        let addr = self.socket.local_addr().unwrap();
        let member = Member {
            name: NAME.into(),
            addr,
            http_addr: addr,
            failure_domain: "a".into(),
            capacity: SCHEDULER_CAPACITY,
            incarnation,
            state: MemberState::Alive,
        };
        peers::learn_members(host, vec![member]);
    }

    /// Sends a message to the host.
    pub async fn send(&self, message: Message) {
        self.send_as(1, message).await;
    }

    /// Sends a message to the host in an incarnation of this peer.
    pub async fn send_as(&self, incarnation: u64, message: Message) {
        let envelope = Envelope { from: NAME.into(), incarnation, generation: 0, message };
        let datagram = self.codec.encode_datagram(&envelope).unwrap();
        self.socket.send_to(&datagram, self.host).await.unwrap();
    }

    /// Sends a decision on a slot request of the host.
    pub async fn decide(&self, number: u64, decision: SlotDecision) {
        self.send(Message::SlotDecision { number, decision }).await;
    }

    /// Waits for a message of the host for which `pick` returns a value.
    pub async fn receive<T, F>(&self, pick: F) -> T
    where
        F: Fn(Message) -> Option<T>,
    {
        let mut buf = [0; MAX_DATAGRAM_LEN];
        loop {
            let received = timeout(GIVE_UP_AFTER, self.socket.recv_from(&mut buf)).await;
            let (len, _) = received.expect("the host does not send the message").unwrap();
            if let Some(picked) = pick(self.codec.decode_datagram(&buf[..len]).unwrap().message) {
                return picked;
            }
        }
    }

    /// Waits for the next slot request of the host, and returns its number.
    pub async fn next_slot_request(&self) -> u64 {
        self.receive(|message| match message {
            Message::SlotRequest { number, .. } => Some(number),
            _ => None,
        })
        .await
    }

    /// Requests a slot for a request that may be hedged, and returns the decision.
    pub async fn request(&self, number: u64) -> SlotDecision {
        let pool = "pool".into();
        let request = SlotRequest { hedgeable: true, ..slot_request() };
        self.send(Message::SlotRequest { number, pool, request }).await;
        self.next_decision(number).await
    }

    /// Waits for the decision of the host on a request.
    pub async fn next_decision(&self, number: u64) -> SlotDecision {
        loop {
            let (n, decision) = self.any_decision().await;
            if n == number {
                return decision;
            }
        }
    }

    /// Waits for any decision of the host, and returns it with the number of the request.
    pub async fn any_decision(&self) -> (u64, SlotDecision) {
        self.receive(|message| match message {
            Message::SlotDecision { number, decision } => Some((number, decision)),
            _ => None,
        })
        .await
    }
}
