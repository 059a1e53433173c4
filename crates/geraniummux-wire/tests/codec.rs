//! Frames: round trips, refusal of foreign and altered bytes, and size limits.

use geraniummux_core::drain::{LeavingAck, LeavingNotice};
use geraniummux_core::fleet::{
    ConfigChange, ConfigEdition, FleetConfig, RejectReason, SlotDecision, SlotRequest, TargetReport,
};
use geraniummux_core::membership::{Gossip, GossipKind, MembershipAction, MembershipOptions};
use geraniummux_core::usage::{
    MAX_CONFIRMED_REPORTS, Month, ProcessId, ReportRow, UsageAction, UsageCounters, UsageKey,
    UsageMerge, UsageReport,
};
use geraniummux_core::{Member, MemberState, Membership, Time, UnixMs};
use geraniummux_wire::{
    Codec, CrashReport, Envelope, Error, MAX_DATAGRAM_LEN, MAX_PROBED_TARGETS,
    MAX_STREAM_FRAME_LEN, Message, PackedConfigChange, ProbeResult, ProbeResults, ProbedState,
    State, TargetFaults, TunnelRefusal, stream_frame_len,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9.-]{1,64}".prop_map(Arc::from)
}

fn addr() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::new(ip, port))
}

fn member() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Leaving),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
    ];
    (name(), addr(), addr(), name(), any::<u64>(), state).prop_map(
        |(name, addr, http_addr, failure_domain, incarnation, state)| Member {
            capacity: 0,
            name,
            addr,
            http_addr,
            failure_domain,
            incarnation,
            state,
        },
    )
}

fn gossip() -> impl Strategy<Value = Gossip> {
    let kind =
        prop_oneof![
            any::<u64>().prop_map(|seq| GossipKind::Ping { seq }),
            (any::<u64>(), name(), addr()).prop_map(|(seq, name, addr)| GossipKind::PingReq {
                seq,
                name,
                addr
            }),
            (any::<u64>(), name(), any::<u64>())
                .prop_map(|(seq, name, incarnation)| GossipKind::Ack { seq, name, incarnation }),
            Just(GossipKind::Deltas),
        ];
    (kind, any::<Option<u32>>(), prop::collection::vec(member(), 0..4))
        .prop_map(|(kind, config_age_ms, deltas)| Gossip { kind, config_age_ms, deltas })
}

fn notice() -> impl Strategy<Value = LeavingNotice> {
    (addr(), any::<u32>()).prop_map(|(target, age_ms)| LeavingNotice { target, age_ms })
}

fn report() -> impl Strategy<Value = UsageReport> {
    let key = (any::<u32>(), name(), name()).prop_map(|(month, tenant, class)| UsageKey {
        month: Month(month),
        tenant,
        class,
    });
    let row = (any::<u32>(), prop::option::of(key), any::<u64>())
        .prop_map(|(index, key, served)| ReportRow { index, key, served });
    (any::<u64>(), name(), any::<u64>(), prop::collection::vec(row, 0..4)).prop_map(
        |(seq, host, run, rows)| UsageReport { seq, process: ProcessId { host, run }, rows },
    )
}

fn result() -> impl Strategy<Value = ProbeResult> {
    let state = prop_oneof![
        Just(ProbedState::Ready),
        Just(ProbedState::Starting),
        Just(ProbedState::Draining),
        Just(ProbedState::Failed),
    ];
    (addr(), state, any::<[u32; 4]>()).prop_map(|(target, state, n)| ProbeResult {
        target,
        state,
        in_flight: n[0],
        queued: n[1],
        round_trip_us: n[2],
        age_ms: n[3],
    })
}

fn message() -> impl Strategy<Value = Message> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..300);
    let state = || {
        (prop::collection::vec(member(), 0..4), prop::collection::vec(notice(), 0..4), bytes())
            .prop_map(|(members, leaving, quarantine)| State { members, leaving, quarantine })
    };
    prop_oneof![
        any::<u64>().prop_map(|generation| Message::FetchConfig { generation }),
        bytes().prop_map(|json| Message::Config { json }),
        Just(Message::NoNewerConfig),
        Just(Message::NotReady),
        gossip().prop_map(Message::Gossip),
        bytes().prop_map(Message::LoadDigest),
        notice().prop_map(Message::Leaving),
        notice()
            .prop_map(|n| Message::LeavingAck(LeavingAck { target: n.target, age_ms: n.age_ms })),
        (any::<u64>(), any::<u128>(), addr(), any::<u32>(), any::<bool>()).prop_map(
            |(id, fingerprint, target, age_ms, retracted)| Message::CrashReport(CrashReport {
                id,
                fingerprint,
                target,
                age_ms,
                retracted,
            })
        ),
        any::<u64>().prop_map(|id| Message::CrashReportAck { id }),
        report().prop_map(Message::Usage),
        any::<u32>().prop_map(|known_rows| Message::UsageCollect { known_rows }),
        prop::collection::vec(any::<u64>(), 0..20).prop_map(|seqs| Message::UsageConfirm { seqs }),
        (name(), prop::collection::vec(result(), 0..10))
            .prop_map(|(pool, results)| Message::ProbeResults(ProbeResults { pool, results })),
        state().prop_map(Message::SyncState),
        state().prop_map(Message::State),
        Just(Message::Done),
        fleet_message(),
    ]
}

fn target_report() -> impl Strategy<Value = TargetReport> {
    (any::<u32>(), any::<u32>(), any::<u32>(), 0.0..1e6).prop_map(
        |(running, waiting, slots, slowdown)| TargetReport { running, waiting, slots, slowdown },
    )
}

fn slot_request() -> impl Strategy<Value = SlotRequest> {
    let times = any::<[u32; 3]>().prop_map(|ms| ms.map(|t| Duration::from_millis(t.into())));
    (name(), any::<u32>(), times, any::<u32>(), any::<bool>(), prop::collection::vec(name(), 0..4))
        .prop_map(|(failure_domain, priority, times, body_bytes, hedgeable, avoid)| SlotRequest {
            failure_domain,
            priority,
            service_time: times[0],
            body_bytes,
            time_left: times[1],
            latency_target_left: times[2],
            hedgeable,
            avoid,
        })
}

fn slot_decision() -> impl Strategy<Value = SlotDecision> {
    let retry_after = any::<u32>().prop_map(|ms| Duration::from_millis(ms.into()));
    prop_oneof![
        (name(), 0.0..1e6)
            .prop_map(|(target, latency_factor)| SlotDecision::Grant { target, latency_factor }),
        Just(SlotDecision::Wait),
        (name(), 0.0..1e6)
            .prop_map(|(target, latency_factor)| SlotDecision::Hedge { target, latency_factor }),
        retry_after.prop_map(|retry_after| SlotDecision::Reject {
            reason: RejectReason::TooLate,
            retry_after,
        }),
    ]
}

/// Messages of hosts that serve a fleet of registered targets.
fn fleet_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        prop::collection::vec((name(), 0.0f32..1e6), 0..16).prop_map(|faults| {
            let faults = faults.into_iter();
            Message::Faults(
                faults.map(|(target, weight)| TargetFaults { target, weight }).collect(),
            )
        }),
        (any::<u64>(), name(), slot_request())
            .prop_map(|(number, pool, request)| Message::SlotRequest { number, pool, request }),
        (any::<u64>(), slot_decision())
            .prop_map(|(number, decision)| Message::SlotDecision { number, decision }),
        (any::<u64>(), name(), name()).prop_map(|(number, pool, target)| Message::GrantDeclined {
            number,
            pool,
            target
        }),
        (name(), prop::collection::vec(name(), 0..MAX_PROBED_TARGETS))
            .prop_map(|(pool, targets)| Message::ProbeTargets { pool, targets }),
        (name(), prop::collection::vec((name(), target_report()), 0..MAX_PROBED_TARGETS))
            .prop_map(|(pool, reports)| Message::TargetReports { pool, reports }),
        (any::<u64>(), name(), prop::option::of((name(), target_report())))
            .prop_map(|(number, pool, report)| Message::GrantEnded { number, pool, report }),
        name().prop_map(|target| Message::IdentityMismatch { target }),
        (any::<u64>(), prop::collection::vec(name(), 0..40)).prop_map(|(version, removed)| {
            let config = FleetConfig { version, ..FleetConfig::default() };
            let change = ConfigChange {
                base: Some(ConfigEdition { version: 1, era: 2 }),
                removed,
                ..ConfigChange::whole(&config)
            };
            Message::ConfigChange(PackedConfigChange::pack(&change).unwrap())
        }),
        Just(Message::ReadingStore),
        (name(), name()).prop_map(|(pool, target)| Message::OpenTunnel { pool, target }),
        Just(Message::TunnelOpened),
        (name(), name(), any::<u32>()).prop_map(|(pool, target, pause_ms)| Message::TargetPause {
            pool,
            target,
            pause_ms
        }),
        prop_oneof![
            Just(TunnelRefusal::TargetUnreachable),
            Just(TunnelRefusal::TargetUnusable),
            Just(TunnelRefusal::Unavailable),
        ]
        .prop_map(Message::TunnelRefused),
    ]
}

fn envelope() -> impl Strategy<Value = Envelope> {
    (name(), any::<u64>(), any::<u64>(), message()).prop_map(
        |(from, incarnation, generation, message)| Envelope {
            from,
            incarnation,
            generation,
            message,
        },
    )
}

fn codec() -> Codec {
    Codec::new(b"key")
}

proptest! {
    // A failure prints its minimal input, so failing seeds are not stored in a file.
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a message that is not decoded as it was encoded.
    #[test]
    fn decode_round_trip(e in envelope()) {
        let bytes = codec().encode_stream(&e).unwrap();
        let (prefix, frame) = bytes.split_first_chunk().unwrap();
        prop_assert_eq!(stream_frame_len(*prefix), Ok(frame.len()));
        prop_assert_eq!(codec().decode_stream(frame), Ok(e));
    }

    // Guards against a decoder that panics on foreign bytes or accepts them.
    #[test]
    fn decode_random_bytes(mut bytes in prop::collection::vec(any::<u8>(), 0..1_300), own in any::<bool>()) {
        if own && bytes.len() > 3 {
            bytes[..3].copy_from_slice(b"gm\x01");
        }
        prop_assert!(codec().decode_datagram(&bytes).is_err());
    }

    // Guards against a decoder that panics on authenticated content that is not a message, as another
    // version of the program or a host with a memory fault may send.
    #[test]
    fn decode_authenticated_garbage(content in prop::collection::vec(any::<u8>(), 0..400)) {
        use hmac::{Hmac, KeyInit, Mac};
        let mut frame = b"gm\x01".to_vec();
        frame.extend_from_slice(&content);
        let mut mac = Hmac::<sha2::Sha256>::new_from_slice(b"key").unwrap();
        mac.update(&frame);
        frame.extend_from_slice(&mac.finalize().into_bytes()[..16]);
        if let Ok(e) = codec().decode_datagram(&frame) {
            // The size of an accepted message must be bounded by its frame.
            prop_assert!(codec().encode(&e, MAX_STREAM_FRAME_LEN).is_ok());
        }
    }

    // Guards against a decoder that accepts a truncated, extended or altered frame.
    #[test]
    fn decode_altered(e in envelope(), cut in any::<prop::sample::Index>(), bit in 0u8..8) {
        let frame = codec().encode_stream(&e).unwrap()[4..].to_vec();
        let at = cut.index(frame.len());
        prop_assert!(codec().decode_stream(&frame[..at]).is_err());
        let mut altered = frame.clone();
        altered[at] ^= 1 << bit;
        prop_assert!(codec().decode_stream(&altered).is_err());
        let mut longer = frame;
        longer.push(bit);
        prop_assert!(codec().decode_stream(&longer).is_err());
    }
}

fn sample() -> Envelope {
    Envelope { from: "entry-1".into(), incarnation: 1, generation: 2, message: Message::Done }
}

// Guards against a frame of another protocol version that is decoded as one of this version, and
// against errors that don't give the cause of the refusal.
#[test]
fn decode_refusals() {
    let frame = codec().encode_datagram(&sample()).unwrap();
    let mut other = frame.clone();
    other[2] = 1;
    assert_eq!(codec().decode_datagram(&other), Err(Error::UnsupportedVersion(1)));
    assert_eq!(Codec::new(b"other").decode_datagram(&frame), Err(Error::TagMismatch));
    assert_eq!(codec().decode_datagram(b"GET / HTTP/1.1\r\n\r\n"), Err(Error::NotAFrame));
    let limit = MAX_DATAGRAM_LEN;
    let len = limit + 1;
    assert_eq!(codec().decode_datagram(&vec![0; len]), Err(Error::TooLong { len, limit }));
    let too_long = Err(Error::TooLong { len: 3 << 20, limit: MAX_STREAM_FRAME_LEN });
    assert_eq!(stream_frame_len((3u32 << 20).to_be_bytes()), too_long);
    for from in [String::new(), "x".repeat(65)] {
        let e = Envelope { from: from.into(), ..sample() };
        let frame = codec().encode_datagram(&e).unwrap();
        assert!(matches!(codec().decode_datagram(&frame), Err(Error::Codec(_))));
    }
}

// Guards against a datagram above 1,200 bytes in the worst case: the longest names, the largest
// numbers, IPv6 addresses, and the maximum number of members, rows or results.
#[test]
fn encode_largest_datagrams() {
    let long = |c: &str| -> Arc<str> { c.repeat(64).into() };
    let v6 = |port| SocketAddr::from(([0xffff; 8], port));
    let envelope = |message| Envelope {
        from: long("a"),
        incarnation: u64::MAX,
        generation: u64::MAX,
        message,
    };
    let mut largest = Vec::new();
    let mut check = |kind: &'static str, message: Message| {
        let len = codec().encode_datagram(&envelope(message)).map(|f| f.len());
        largest.push((kind, len.unwrap_or_else(|e| panic!("{kind}: {e}"))));
    };

    let mut rng = StdRng::seed_from_u64(1);
    let member = |i: u16| Member {
        capacity: 0,
        name: format!("{i:0>64}").into(),
        addr: v6(65_535 - i),
        http_addr: v6(60_000 - i),
        failure_domain: long("d"),
        incarnation: u64::MAX - 1,
        state: MemberState::Suspect,
    };
    let opts = MembershipOptions::default();
    let mut m = Membership::new(Time::ZERO, member(0), Vec::new(), opts, &mut rng);
    m.merge(Time::ZERO, (1..200).map(member).collect());
    m.note_config_confirmed(Time::ZERO);
    for ms in (50..4_000).step_by(50) {
        for a in m.tick(Time::from_millis(ms), &mut rng) {
            if let MembershipAction::Send { mut gossip, .. } = a {
                gossip.kind = GossipKind::PingReq { seq: u64::MAX, name: long("n"), addr: v6(1) };
                gossip.config_age_ms = Some(u32::MAX);
                check("gossip", Message::Gossip(gossip));
            }
        }
    }

    let id = ProcessId { host: long("h"), run: u64::MAX };
    let mut counters = UsageCounters::new(id.clone());
    let mut usage = UsageMerge::new(Time::ZERO, id);
    for i in 0..300 {
        let tenant: Arc<str> = format!("{i:0>64}").into();
        counters.count(UnixMs(1_796_083_200_000), &tenant, &long("c"));
    }
    for a in usage.on_collect(Time::ZERO, v6(1), 0, &counters, &m) {
        if let UsageAction::Report { mut report, .. } = a {
            report.seq = u64::MAX;
            report.rows.iter_mut().for_each(|r| (r.index, r.served) = (u32::MAX, u64::MAX));
            check("usage, named", Message::Usage(report));
        }
    }
    for a in usage.on_collect(Time::ZERO, v6(1), 300, &counters, &m) {
        if let UsageAction::Report { mut report, .. } = a {
            report.seq = u64::MAX;
            report.rows.iter_mut().for_each(|r| (r.index, r.served) = (u32::MAX, u64::MAX));
            check("usage, unnamed", Message::Usage(report));
        }
    }

    let result = ProbeResult {
        target: v6(65_535),
        state: ProbedState::Failed,
        in_flight: u32::MAX,
        queued: u32::MAX,
        round_trip_us: u32::MAX,
        age_ms: u32::MAX,
    };
    let results = ProbeResults { pool: long("p"), results: vec![result; 520] };
    let mut parts = 0;
    for part in results.split() {
        parts += part.results.len();
        check("probe results", Message::ProbeResults(part));
    }
    assert_eq!(parts, 520);
    let crash_report = CrashReport {
        id: u64::MAX,
        fingerprint: u128::MAX,
        target: v6(65_535),
        age_ms: u32::MAX,
        retracted: true,
    };
    check("crash report", Message::CrashReport(crash_report));
    check(
        "usage confirmation",
        Message::UsageConfirm { seqs: vec![u64::MAX; MAX_CONFIRMED_REPORTS] },
    );
    largest.sort_by_key(|l| (l.0, std::cmp::Reverse(l.1)));
    largest.dedup_by_key(|l| l.0);
    println!("largest frame of each kind: {largest:?}");
}

// Guards against a full state or configuration that exceeds a frame on a stream.
#[test]
fn encode_largest_stream_frames() {
    let config = Message::Config { json: vec![b' '; 1 << 20] };
    assert!(codec().encode_stream(&Envelope { message: config, ..sample() }).is_ok());
    let member = Member {
        capacity: 0,
        name: "n".repeat(64).into(),
        addr: SocketAddr::from(([0xffff; 8], 65_535)),
        http_addr: SocketAddr::from(([0xffff; 8], 65_535)),
        failure_domain: "d".repeat(64).into(),
        incarnation: u64::MAX,
        state: MemberState::Dead,
    };
    let notice = LeavingNotice { target: member.addr, age_ms: u32::MAX };
    let state = State {
        members: vec![member; geraniummux_core::membership::MAX_MEMBERS + 1],
        leaving: vec![notice; geraniummux_core::drain::MAX_LEAVING],
        quarantine: vec![0; 1 << 20],
    };
    let bytes = codec().encode_stream(&Envelope { message: Message::State(state), ..sample() });
    let len = bytes.unwrap().len();
    println!("largest full state with 1 MiB of quarantine: {len} bytes");
}
