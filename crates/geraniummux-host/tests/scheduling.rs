//! Slot requests between hosts that do not know each other yet.

mod common;

use common::peer::{Peer, slot_request};
use common::targets::registered;
use geraniummux_core::fleet::{
    RegistryDelta, RejectReason, ReportedDemand, Revision, SlotDecision, SlotRequest, TargetDemand,
    TargetReport,
};
use geraniummux_host::peers;
use geraniummux_host::scheduling::{self, SlotResult};
use geraniummux_wire::{Codec, Envelope, MAX_DATAGRAM_LEN, Message, TargetFaults};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Guards against hosts that don't know each other yet and each schedule the whole pool, when all hosts
/// start at once under load: targets then receive several times as many requests as they can run.
#[tokio::test]
async fn request_slot_just_started_host_does_not_schedule() {
    let host = common::host("127.9.9.3:7009".parse().unwrap(), r#"["127.9.9.4:1"]"#).await;
    host.members().enter_service();
    let request_slot = async || {
        let deadline = host.now() + Duration::from_secs(1);
        let target = Duration::from_millis(300);
        scheduling::request_slot(&host, &"ledger".into(), target, deadline, None, |_| {
            slot_request()
        })
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

/// Guards against a host that no longer hears its peers after one of them has passed on what a faulty target
/// stated, and goes on as the only scheduler of its pools (LIMIT).
#[tokio::test]
async fn receive_figures_out_of_range_are_refused() {
    let scheduler: SocketAddr = "127.9.9.5:7009".parse().unwrap();
    let host = common::host(scheduler, "[]").await;
    let targets: Vec<SocketAddr> =
        vec!["127.9.9.5:1".parse().unwrap(), "127.9.9.5:2".parse().unwrap()];
    let changes = targets.iter().map(|addr| registered("pool", *addr)).collect();
    let list = RegistryDelta { from: None, to: Revision::new(1, 1), changes };
    assert!(host.apply_targets(list, "store"));
    let task = tokio::spawn(peers::receive(host));
    let peer = Peer::start(scheduler).await;
    let pool: Arc<str> = "pool".into();
    let mut at = Vec::new();
    for number in 0..4 {
        let SlotDecision::Grant { target, .. } = peer.request(number).await else { panic!() };
        at.push(target);
    }
    // Two requests at least run at one of the targets.
    let first = at.iter().position(|t| at.iter().filter(|other| *other == t).count() > 1).unwrap();
    let target = at[first].clone();
    let figures = |slowdown| TargetReport { running: 1, waiting: u32::MAX, slots: 4, slowdown };
    let demand = TargetDemand { limit_per_s: Some(f64::NAN), leaving: false };
    let demands = vec![ReportedDemand { target: target.clone(), demand, age: Duration::MAX }];
    let spoilt = SlotRequest { service_time: Duration::MAX, ..slot_request() };
    let boundless = Some((target.clone(), TargetReport { waiting: 0, ..figures(1e28) }));
    let number = first as u64;
    for message in [
        Message::GrantEnded { number, pool: pool.clone(), report: boundless },
        Message::TargetReports {
            pool: pool.clone(),
            reports: vec![(target.clone(), figures(f64::NAN))],
        },
        Message::TargetDemands { pool: pool.clone(), demands },
        Message::Faults(vec![TargetFaults { target: target.clone(), weight: f32::NAN }]),
        Message::SlotRequest { number: 90, pool: pool.clone(), request: spoilt },
        Message::SlotDecision {
            number: 91,
            decision: SlotDecision::Grant { target: target.clone(), latency_factor: f64::INFINITY },
        },
    ] {
        peer.send(message).await;
    }
    let decision = peer.request(92).await;
    assert!(matches!(decision, SlotDecision::Grant { .. }), "{decision:?}");
    assert!(!task.is_finished());
    task.abort();
}

/// Guards against a scheduler that grants hedges and slots for requests of a killed process, whose host may have given
/// their numbers to other requests (TWICE): an older build does so after each restart.
#[tokio::test]
async fn on_slot_request_of_a_former_process_is_ignored() {
    let scheduler: SocketAddr = "127.9.9.6:7009".parse().unwrap();
    let host = common::host(scheduler, "[]").await;
    let targets: [SocketAddr; 2] = ["127.9.9.6:1".parse().unwrap(), "127.9.9.6:2".parse().unwrap()];
    let changes = targets.iter().map(|addr| registered("pool", *addr)).collect();
    let list = RegistryDelta { from: None, to: Revision::new(1, 1), changes };
    assert!(host.apply_targets(list, "store"));
    let task = tokio::spawn(peers::receive(host.clone()));
    let peer = Peer::start(scheduler).await;
    let pool: Arc<str> = "pool".into();
    let request = |hedgeable| SlotRequest {
        hedgeable,
        service_time: Duration::from_millis(500),
        ..slot_request()
    };
    let ask = async |incarnation, number, hedgeable| {
        let message =
            Message::SlotRequest { number, pool: pool.clone(), request: request(hedgeable) };
        peer.send_as(incarnation, message).await;
    };
    ask(1, 1, true).await;
    let SlotDecision::Grant { target, .. } = peer.next_decision(1).await else { panic!() };
    // The host learns of the next process from another one, then a message of the former one arrives late.
    peer.become_member(&host, 2);
    ask(1, 2, true).await;
    let reports = |slowdown| Message::TargetReports {
        pool: pool.clone(),
        reports: vec![(
            target.clone(),
            TargetReport { running: 1, waiting: 0, slots: 4, slowdown },
        )],
    };
    for slowdown in [1.0, 4.0] {
        peer.send(reports(slowdown)).await;
    }
    ask(2, 3, false).await;
    let mut decisions = Vec::new();
    while decisions.last().is_none_or(|(number, _)| *number != 3) {
        decisions.push(peer.any_decision().await);
    }
    assert!(matches!(decisions[..], [(3, SlotDecision::Grant { .. })]), "{decisions:?}");
    task.abort();
}
