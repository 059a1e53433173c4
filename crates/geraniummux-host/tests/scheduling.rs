//! Slot requests between hosts that do not know each other yet.

mod common;

use geraniummux_core::fleet::{RejectReason, SlotDecision, SlotRequest};
use geraniummux_host::peers;
use geraniummux_host::scheduling::{self, SlotResult};
use geraniummux_wire::{Codec, Envelope, MAX_DATAGRAM_LEN, Message};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

fn slot_request() -> SlotRequest {
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

/// Guards against hosts that don't know each other yet and each schedule the whole pool, when all hosts
/// start at once under load: targets then receive several times as many requests as they can run.
#[tokio::test]
async fn request_slot_just_started_host_does_not_schedule() {
    let host = common::host("127.9.9.3:7009".parse().unwrap(), r#"["127.9.9.4:1"]"#).await;
    host.members().enter_service();
    let request_slot = async || {
        let deadline = host.now() + Duration::from_secs(1);
        let target = Duration::from_millis(300);
        scheduling::request_slot(&host, &"ledger".into(), target, deadline, |_| slot_request())
            .await
    };
    assert!(matches!(request_slot().await, SlotResult::Unavailable));
    // Later it relies on its view: it is the only member, and the pool has no targets.
    while matches!(request_slot().await, SlotResult::Unavailable) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(matches!(request_slot().await, SlotResult::Rejected { .. }));
}

/// Guards against decisions being dropped because the requesting host is not yet a known member: after
/// a start of the whole fleet, hosts would wait for schedulers that never respond.
#[tokio::test]
async fn on_slot_request_from_unknown_host_is_answered() {
    let scheduler: SocketAddr = "127.9.9.2:7009".parse().unwrap();
    let host = common::host(scheduler, "[]").await;
    let task = tokio::spawn(peers::receive(host));
    let socket = UdpSocket::bind("127.9.9.2:7010").await.unwrap();
    let codec = Codec::new(common::PEER_KEY.as_bytes());
    let message =
        Message::SlotRequest { number: 7, pool: "ledger".into(), request: slot_request() };
    let envelope = Envelope { from: "stranger".into(), incarnation: 1, generation: 0, message };
    let datagram = codec.encode_datagram(&envelope).unwrap();
    socket.send_to(&datagram, scheduler).await.unwrap();
    let mut buf = [0; MAX_DATAGRAM_LEN];
    let (len, _) = socket.recv_from(&mut buf).await.unwrap();
    let reply = codec.decode_datagram(&buf[..len]).unwrap().message;
    let Message::SlotDecision { number: 7, decision: SlotDecision::Reject { reason, .. } } = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!(reason, RejectReason::NoTarget);
    task.abort();
}
