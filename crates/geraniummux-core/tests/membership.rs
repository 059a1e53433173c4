//! Order of records, and what answers prove.

use geraniummux_core::membership::{Gossip, GossipKind, MembershipAction, MembershipOptions};
use geraniummux_core::{Member, MemberState, Membership, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

fn member(name: &str, port: u16, incarnation: u64) -> Member {
    Member {
        capacity: 0,
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        http_addr: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        failure_domain: "a".into(),
        incarnation,
        state: MemberState::Alive,
    }
}

fn started(rng: &mut StdRng) -> Membership {
    Membership::new(Time::ZERO, member("me", 1, 100), Vec::new(), MembershipOptions::default(), rng)
}

/// Runs until a ping is sent and returns its number.
fn next_ping(m: &mut Membership, now: &mut Time, rng: &mut StdRng) -> u64 {
    loop {
        *now = *now + std::time::Duration::from_millis(50);
        for a in m.tick(*now, rng) {
            if let MembershipAction::Send { gossip, .. } = a
                && let GossipKind::Ping { seq } = gossip.kind
            {
                return seq;
            }
        }
    }
}

// Guards against a delayed record of a former process that replaces the present one's.
#[test]
fn merge_former_record() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut m = started(&mut rng);
    m.merge(Time::ZERO, vec![member("x", 9, 20)]);
    let mut former = member("x", 5, 10);
    for state in [MemberState::Alive, MemberState::Leaving, MemberState::Dead] {
        former.state = state;
        m.merge(Time::ZERO, vec![former.clone()]);
        assert_eq!(m.peer("x"), Some(&member("x", 9, 20)));
    }
}

// Guards against an answer of a former process that keeps its dead successor alive and counts as
// contact.
#[test]
fn receive_ack_of_former_process() {
    for (incarnation, alive) in [(10, false), (20, true)] {
        let mut rng = StdRng::seed_from_u64(1);
        let (mut m, mut now) = (started(&mut rng), Time::ZERO);
        m.merge(now, vec![member("x", 9, 20)]);
        let seq = next_ping(&mut m, &mut now, &mut rng);
        let kind = GossipKind::Ack { seq, name: "x".into(), incarnation };
        let gossip = Gossip { kind, config_age_ms: None, deltas: Vec::new() };
        m.receive(now, "x", incarnation, member("x", 5, 10).addr, gossip, &mut rng);
        assert_eq!(m.last_contact().is_some(), alive);
    }
}

// Guards against a message with many records that exceeds a datagram, and against a table that
// grows without bound.
#[test]
fn gossip_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut m, mut now) = (started(&mut rng), Time::ZERO);
    let name = |i: usize| format!("{i:064}");
    let many = (0..2_000).map(|i| member(&name(i), 9, 20)).collect();
    m.merge(now, many);
    assert_eq!(m.peers().count(), geraniummux_core::membership::MAX_MEMBERS);
    for _ in 0..50 {
        now = now + std::time::Duration::from_millis(50);
        for a in m.tick(now, &mut rng) {
            if let MembershipAction::Send { gossip, .. } = a {
                let len: usize = gossip.deltas.iter().map(Member::max_encoded_len).sum();
                assert!(len <= MembershipOptions::default().max_delta_len, "{len} bytes");
            }
        }
    }
}
