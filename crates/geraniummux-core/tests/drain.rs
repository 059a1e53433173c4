//! Tests of the leaving targets on one host and of the shutdown of an entry host.

use geraniummux_core::drain::{
    DrainAction, LEAVING_TTL, LeavingAck, LeavingNotice, ShutdownAction, TargetPermit,
};
use geraniummux_core::membership::MembershipOptions;
use geraniummux_core::{Member, MemberState, Membership, ShutdownState, TargetDrain, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;

fn host(i: u16) -> Member {
    Member {
        capacity: 0,
        name: format!("entry-{i}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], i + 1)),
        http_addr: SocketAddr::from(([127, 0, 0, 1], i + 1_001)),
        failure_domain: "a".into(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn setup() -> (Membership, TargetDrain, StdRng, SocketAddr) {
    let mut rng = StdRng::seed_from_u64(1);
    let options = MembershipOptions::default();
    let mut members = Membership::new(Time::ZERO, host(0), Vec::new(), options, &mut rng);
    members.merge(Time::ZERO, vec![host(1), host(2)]);
    let mut drain = TargetDrain::new(Time::ZERO);
    drain.refreshed(Time::ZERO, Time::ZERO, Vec::new());
    (members, drain, rng, SocketAddr::from(([127, 0, 0, 1], 9_000)))
}

fn notified(actions: &[DrainAction]) -> Vec<SocketAddr> {
    let mut to: Vec<SocketAddr> = actions
        .iter()
        .filter_map(|a| match a {
            DrainAction::Notify { to, .. } => Some(*to),
            _ => None,
        })
        .collect();
    to.sort_unstable();
    to
}

/// Advances `now` to `end` with a tick every 100 ms and returns all actions.
fn ticks(
    drain: &mut TargetDrain,
    members: &Membership,
    now: &mut Time,
    end: Duration,
    rng: &mut StdRng,
) -> Vec<DrainAction> {
    let mut out = Vec::new();
    while now.since(Time::ZERO) < end {
        *now = *now + Duration::from_millis(100);
        out.extend(drain.tick(*now, members, rng));
    }
    out
}

// Guards against a lost notice that is not sent again, and against one that is sent again after its
// acknowledgement.
#[test]
fn report_retry_until_acknowledged() {
    let (members, mut drain, mut rng, target) = setup();
    let first = drain.report(Time::ZERO, target, &members, &mut rng);
    assert_eq!(notified(&first), [host(1).addr, host(2).addr]);
    drain.acknowledged("entry-1", &LeavingAck { target, age_ms: 0 });
    let mut now = Time::ZERO;
    let retried =
        notified(&ticks(&mut drain, &members, &mut now, Duration::from_secs(3), &mut rng));
    assert!(retried.len() >= 3 && retried.iter().all(|a| *a == host(2).addr), "{retried:?}");
    drain.acknowledged("entry-2", &LeavingAck { target, age_ms: 0 });
    let rest = ticks(&mut drain, &members, &mut now, Duration::from_secs(9), &mut rng);
    assert!(notified(&rest).is_empty());
}

// Guards against a notice for each of thousands of responses that report a leaving target, and
// against the expiry of a target that is still reported.
#[test]
fn report_repeated() {
    let (members, mut drain, mut rng, target) = setup();
    let mut now = Time::ZERO;
    let mut sent = 0;
    while now < Time::from_millis(120_000) {
        now = now + Duration::from_millis(10);
        sent += notified(&drain.report(now, target, &members, &mut rng)).len();
        for peer in ["entry-1", "entry-2"] {
            drain.acknowledged(peer, &LeavingAck { target, age_ms: 0 });
        }
        let actions = drain.tick(now, &members, &mut rng);
        assert!(!actions.contains(&DrainAction::Expired(target)));
        assert_eq!(drain.permit(now, target), TargetPermit::Leaving);
    }
    assert!(sent <= 2 * 13, "{sent} notices in 120 s");
    let rest = ticks(&mut drain, &members, &mut now, Duration::from_millis(181_000), &mut rng);
    assert!(rest.contains(&DrainAction::Expired(target)));
    assert_eq!(drain.permit(now, target), TargetPermit::Send);
}

// Guards against a notice that never expires because hosts forward it to each other.
#[test]
fn receive_old_notice() {
    let (members, mut drain, mut rng, target) = setup();
    let age = |d: Duration| d.as_millis() as u32;
    let notice = LeavingNotice { target, age_ms: age(LEAVING_TTL) };
    drain.receive(Time::ZERO, host(1).addr, notice, &members, &mut rng);
    assert!(!drain.is_leaving(Time::ZERO, target));
    let notice = LeavingNotice { target, age_ms: age(LEAVING_TTL) - 1_000 };
    drain.receive(Time::ZERO, host(1).addr, notice, &members, &mut rng);
    assert!(drain.is_leaving(Time::ZERO, target));
    assert!(!drain.is_leaving(Time::from_millis(1_000), target));
}

// Guards against a request that is sent to a leaving target after a pause of the host, before its
// first timer or before a peer has sent its notices.
#[test]
fn permit_after_pause() {
    let (members, mut drain, mut rng, target) = setup();
    drain.tick(Time::from_millis(100), &members, &mut rng);
    let resumed = Time::from_millis(5_000);
    assert_eq!(drain.permit(resumed, target), TargetPermit::Hold);
    let asked = drain.tick(resumed, &members, &mut rng);
    assert!(matches!(&asked[..], [DrainAction::Refresh { peers }] if peers.len() == 2));
    // A response to a request from before the pause may be outdated.
    drain.refreshed(resumed, Time::from_millis(100), Vec::new());
    assert_eq!(drain.permit(resumed, target), TargetPermit::Hold);
    let notice = LeavingNotice { target, age_ms: 10 };
    drain.refreshed(resumed, resumed, vec![notice]);
    assert_eq!(drain.permit(resumed, target), TargetPermit::Leaving);
    assert_eq!(drain.permit(resumed, host(1).addr), TargetPermit::Send);
}

// Guards against a shutdown that refuses requests while callers still use entry responses that
// contain this host, aborts requests in flight too early, or hangs.
#[test]
fn shutdown_phases() {
    let timeout = Duration::from_secs(30);
    for (in_flight_ms, usage_answers) in [(0, true), (9_000, true), (500_000, true), (0, false)] {
        let mut shutdown = ShutdownState::default();
        let mut seen = Vec::new();
        assert_eq!(shutdown.tick(Time::ZERO, 1, timeout), None);
        seen.extend(shutdown.begin(Time::ZERO).map(|a| (0, a)));
        assert_eq!(shutdown.begin(Time::ZERO), None);
        let mut aborted = false;
        for ms in (0..100_000).step_by(100) {
            let in_flight = usize::from(ms < in_flight_ms && !aborted);
            let action = shutdown.tick(Time::from_millis(ms), in_flight, timeout);
            assert_eq!(shutdown.accepts(), ms < 7_000);
            aborted |= action == Some(ShutdownAction::AbortRequests);
            seen.extend(action.map(|a| (ms, a)));
            if action == Some(ShutdownAction::WriteUsage) && usage_answers {
                seen.extend(shutdown.usage_written().map(|a| (ms, a)));
            }
        }
        use ShutdownAction::{AbortRequests, Announce, Exit, StopAccepting, WriteUsage};
        let expected = match (in_flight_ms, usage_answers) {
            (0, true) => {
                vec![(0, Announce), (7_000, StopAccepting), (7_100, WriteUsage), (7_100, Exit)]
            }
            (9_000, _) => {
                vec![(0, Announce), (7_000, StopAccepting), (9_000, WriteUsage), (9_000, Exit)]
            }
            (500_000, _) => vec![
                (0, Announce),
                (7_000, StopAccepting),
                (37_000, AbortRequests),
                (37_100, WriteUsage),
                (37_100, Exit),
            ],
            _ => vec![(0, Announce), (7_000, StopAccepting), (7_100, WriteUsage), (12_100, Exit)],
        };
        assert_eq!(seen, expected);
    }
}

// Guards against a shutdown that never ends because a request ignores its abort.
#[test]
fn shutdown_request_that_never_ends() {
    let mut shutdown = ShutdownState::default();
    shutdown.begin(Time::ZERO);
    let mut seen = Vec::new();
    for ms in (0..200_000).step_by(100) {
        let action = shutdown.tick(Time::from_millis(ms), 1, Duration::from_secs(30));
        seen.extend(action.map(|a| (ms, a)));
    }
    use ShutdownAction::{AbortRequests, Exit, StopAccepting, WriteUsage};
    let expected =
        [(7_000, StopAccepting), (37_000, AbortRequests), (38_000, WriteUsage), (43_000, Exit)];
    assert_eq!(seen, expected);
}
