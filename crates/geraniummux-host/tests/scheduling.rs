//! Decisions of a scheduler for other hosts.

mod common;

use geraniummux_core::fleet::{RejectReason, SlotDecision, SlotRequest};
use geraniummux_host::peers;
use geraniummux_host::scheduling::{self, Answer};
use geraniummux_wire::{Codec, Envelope, MAX_DATAGRAM_LEN, Message};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

fn request() -> SlotRequest {
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

/// Pattern: all hosts start at once while callers press. Guards against hosts that don't know each other
/// yet and each schedule the whole pool, so that targets get several times what they can run.
#[tokio::test]
async fn place_just_started_host_does_not_schedule() {
    let host = common::host("127.9.9.3:7009".parse().unwrap(), r#"["127.9.9.4:1"]"#).await;
    host.members().enter_service();
    let place = async || {
        let deadline = host.now() + Duration::from_secs(1);
        scheduling::place(&host, &"ledger".into(), deadline, |_| request()).await
    };
    assert!(matches!(place().await, Answer::Unavailable));
    // Later it relies on what it knows: that it is alone, and that the pool has no targets.
    while matches!(place().await, Answer::Unavailable) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(matches!(place().await, Answer::Refused { .. }));
}

/// Guards against decisions that are thrown away because the host that asked is not yet among the
/// members: after a start of the whole fleet hosts would wait for schedulers that never answer.
#[tokio::test]
async fn on_ask_from_unknown_host_is_answered() {
    let scheduler: SocketAddr = "127.9.9.2:7009".parse().unwrap();
    let host = common::host(scheduler, "[]").await;
    let task = tokio::spawn(peers::receive(host));
    let socket = UdpSocket::bind("127.9.9.2:7010").await.unwrap();
    let codec = Codec::new(common::PEER_KEY.as_bytes());
    let message = Message::SlotRequest { number: 7, pool: "ledger".into(), request: request() };
    let envelope = Envelope { from: "stranger".into(), incarnation: 1, generation: 0, message };
    let datagram = codec.encode_datagram(&envelope).unwrap();
    socket.send_to(&datagram, scheduler).await.unwrap();
    let mut buf = [0; MAX_DATAGRAM_LEN];
    let (len, _) = socket.recv_from(&mut buf).await.unwrap();
    let answer = codec.decode_datagram(&buf[..len]).unwrap().message;
    let Message::SlotDecision { number: 7, decision: SlotDecision::Reject { reason, .. } } = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(reason, RejectReason::NoTarget);
    task.abort();
}
