//! Bytes of messages as hosts send them, recorded from the program at aa87bcd: builds that run side by side must read
//! each other's messages.

use geraniummux_core::MemberState;
use geraniummux_core::fleet::{
    ConfigEdition, RegisteredTarget, RegistryChange, RegistryDelta, RejectReason, ReportedDemand,
    Revision, SlotDecision, SlotRequest, TargetDemand, TargetReport,
};
use geraniummux_core::membership::{Gossip, GossipKind, Member};
use geraniummux_wire::{
    Codec, CrashReport, Envelope, Message, ReplicaUpdate, ReplicaVersions, State, TargetFaults,
    TunnelRefusal,
};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

const KEY: &[u8] = b"key of the recorded messages";

fn member() -> Member {
    Member {
        name: "host-1".into(),
        addr: "127.0.0.1:7004".parse().unwrap(),
        http_addr: "127.0.0.1:7001".parse().unwrap(),
        failure_domain: "zone-a".into(),
        capacity: 160,
        incarnation: 1_796_474_153_710,
        state: MemberState::Suspect,
    }
}

fn registered() -> RegistryDelta {
    let target = RegisteredTarget {
        id: "t-1".into(),
        pool: "ledger".into(),
        addr: "[::1]:8080".parse().unwrap(),
        failure_domain: "zone-a".into(),
        slots: 6,
        leaving: true,
        warm_up: Duration::from_millis(1_500),
        started_unix_ms: 1_796_474_153_710,
    };
    let changes = vec![
        (Revision::new(2, 7), RegistryChange::Put(target)),
        (Revision::new(2, 8), RegistryChange::Unusable("t-2".into())),
        (Revision::new(2, 9), RegistryChange::Removed("t-3".into())),
    ];
    RegistryDelta { from: Some(Revision::new(1, 6)), to: Revision::new(2, 9), changes }
}

/// Returns one message at least of each kind that entry hosts send, with its name.
fn messages() -> Vec<(&'static str, Message)> {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t-1".into());
    let gossip =
        |kind| Message::Gossip(Gossip { kind, config_age_ms: Some(300), deltas: vec![member()] });
    let report = TargetReport { running: 3, waiting: 1, slots: 6, slowdown: 1.25 };
    let request = SlotRequest {
        failure_domain: "zone-a".into(),
        priority: 1,
        service_time: Duration::from_millis(120),
        body_bytes: 900,
        time_left: Duration::from_millis(950),
        latency_target_left: Duration::from_micros(299_500),
        hedgeable: true,
        avoid: vec!["t-2".into()],
    };
    let demand = |limit_per_s, leaving| ReportedDemand {
        target: "t-1".into(),
        demand: TargetDemand { limit_per_s, leaving },
        age: Duration::from_millis(20),
    };
    let decision = |decision| Message::SlotDecision { number: 7, decision };
    let crash_report = CrashReport {
        id: 9,
        fingerprint: 0x0123_4567_89ab_cdef,
        target: "127.0.0.1:8080".parse().unwrap(),
        age_ms: 0,
        retracted: true,
    };
    let update = ReplicaUpdate {
        age_ms: 40,
        expiry_grace: true,
        config_revision: Revision::new(2, 5),
        config: None,
        targets: Some(registered()),
    };
    let versions = ReplicaVersions {
        config: ConfigEdition { era: 2, version: 12 },
        targets_revision: Some(Revision::new(2, 9)),
    };
    let state =
        || State { members: vec![member()], leaving: Vec::new(), quarantine: b"[]".to_vec() };
    vec![
        ("ping", gossip(GossipKind::Ping { seq: 5 })),
        ("ack", gossip(GossipKind::Ack { seq: 5, name: "host-2".into(), incarnation: 3 })),
        ("faults", Message::Faults(vec![TargetFaults { target: target.clone(), weight: 2.5 }])),
        ("crash report", Message::CrashReport(crash_report)),
        ("slot request", Message::SlotRequest { number: 7, pool: pool.clone(), request }),
        ("grant", decision(SlotDecision::Grant { target: target.clone(), latency_factor: 1.7 })),
        ("wait", decision(SlotDecision::Wait)),
        ("hedge", decision(SlotDecision::Hedge { target: target.clone(), latency_factor: 1.0 })),
        (
            "reject",
            decision(SlotDecision::Reject {
                reason: RejectReason::Limited,
                retry_after: Duration::from_millis(310),
            }),
        ),
        (
            "grant ended",
            Message::GrantEnded {
                number: 7,
                pool: pool.clone(),
                report: Some((target.clone(), report)),
            },
        ),
        (
            "grant declined",
            Message::GrantDeclined { number: 7, pool: pool.clone(), target: target.clone() },
        ),
        (
            "probe targets",
            Message::ProbeTargets { pool: pool.clone(), targets: vec![target.clone()] },
        ),
        (
            "target reports",
            Message::TargetReports { pool: pool.clone(), reports: vec![(target.clone(), report)] },
        ),
        ("identity mismatch", Message::IdentityMismatch { target: target.clone() }),
        ("reading store", Message::ReadingStore),
        (
            "demands",
            Message::TargetDemands {
                pool: pool.clone(),
                demands: vec![demand(Some(7.5), false), demand(None, true)],
            },
        ),
        (
            "pause",
            Message::TargetPause { pool: pool.clone(), target: target.clone(), pause_ms: 900 },
        ),
        ("open tunnel", Message::OpenTunnel { pool, target }),
        ("tunnel opened", Message::TunnelOpened),
        ("tunnel refused", Message::TunnelRefused(TunnelRefusal::Unavailable)),
        ("follow", Message::Follow(versions)),
        ("update", Message::Update(update)),
        ("sync state", Message::SyncState(state())),
        ("state", Message::State(state())),
    ]
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: "host-1".into(), incarnation: 1_796_474_153_710, generation: 12, message }
}

/// Guards against a fleet of two builds that splits because one changes a message: the bytes that are sent are those
/// on record, and the record is read as the same messages.
#[test]
fn codec_recorded_messages_are_written_and_read() {
    let codec = Codec::new(KEY);
    let mut written = String::new();
    for (name, message) in messages() {
        let frame = codec.encode_stream(&envelope(message)).unwrap();
        let hex: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(written, "{name}: {hex}").unwrap();
    }
    expect_test::expect_file!["./recorded/aa87bcd.txt"].assert_eq(&written);
    let record = include_str!("recorded/aa87bcd.txt");
    for (line, (name, message)) in record.lines().zip(messages()) {
        let hex = line.strip_prefix(name).and_then(|l| l.strip_prefix(": ")).unwrap();
        let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
        let frame: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        assert_eq!(codec.decode_stream(&frame[4..]).unwrap(), envelope(message), "{name}");
    }
}
