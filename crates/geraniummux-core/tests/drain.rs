//! Leaving targets on one host, and the shutdown of an entry host.

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
    let opts = MembershipOptions::default();
    let mut m = Membership::new(Time::ZERO, host(0), Vec::new(), opts, &mut rng);
    m.merge(Time::ZERO, vec![host(1), host(2)]);
    let mut d = TargetDrain::new(Time::ZERO);
    d.refreshed(Time::ZERO, Time::ZERO, Vec::new());
    (m, d, rng, SocketAddr::from(([127, 0, 0, 1], 9_000)))
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

/// Ticks every 100 ms up to `end` and returns all actions.
fn ticks(
    d: &mut TargetDrain,
    m: &Membership,
    now: &mut Time,
    end: Duration,
    rng: &mut StdRng,
) -> Vec<DrainAction> {
    let mut out = Vec::new();
    while now.since(Time::ZERO) < end {
        *now = *now + Duration::from_millis(100);
        out.extend(d.tick(*now, m, rng));
    }
    out
}

// Guards against a lost notice that is not sent again, and one that is sent again although it was
// acknowledged.
#[test]
fn report_retry_until_acknowledged() {
    let (m, mut d, mut rng, target) = setup();
    let first = d.report(Time::ZERO, target, &m, &mut rng);
    assert_eq!(notified(&first), [host(1).addr, host(2).addr]);
    d.acknowledged("entry-1", &LeavingAck { target, age_ms: 0 });
    let mut now = Time::ZERO;
    let again = notified(&ticks(&mut d, &m, &mut now, Duration::from_secs(3), &mut rng));
    assert!(again.len() >= 3 && again.iter().all(|a| *a == host(2).addr), "{again:?}");
    d.acknowledged("entry-2", &LeavingAck { target, age_ms: 0 });
    let rest = ticks(&mut d, &m, &mut now, Duration::from_secs(9), &mut rng);
    assert!(notified(&rest).is_empty());
}

// Guards against notices for each of thousands of responses, and against a target that expires
// while it still reports that it is leaving.
#[test]
fn report_repeated() {
    let (m, mut d, mut rng, target) = setup();
    let mut now = Time::ZERO;
    let mut sent = 0;
    while now < Time::from_millis(120_000) {
        now = now + Duration::from_millis(10);
        sent += notified(&d.report(now, target, &m, &mut rng)).len();
        for peer in ["entry-1", "entry-2"] {
            d.acknowledged(peer, &LeavingAck { target, age_ms: 0 });
        }
        let actions = d.tick(now, &m, &mut rng);
        assert!(!actions.contains(&DrainAction::Expired(target)));
        assert_eq!(d.permit(now, target), TargetPermit::Leaving);
    }
    assert!(sent <= 2 * 13, "{sent} notices in 120 s");
    let rest = ticks(&mut d, &m, &mut now, Duration::from_millis(181_000), &mut rng);
    assert!(rest.contains(&DrainAction::Expired(target)));
    assert_eq!(d.permit(now, target), TargetPermit::Send);
}

// Guards against a notice that lives on for ever because hosts pass it on to each other.
#[test]
fn receive_old_notice() {
    let (m, mut d, mut rng, target) = setup();
    let age = |d: Duration| d.as_millis() as u32;
    let notice = LeavingNotice { target, age_ms: age(LEAVING_TTL) };
    d.receive(Time::ZERO, host(1).addr, notice, &m, &mut rng);
    assert!(!d.is_leaving(Time::ZERO, target));
    let notice = LeavingNotice { target, age_ms: age(LEAVING_TTL) - 1_000 };
    d.receive(Time::ZERO, host(1).addr, notice, &m, &mut rng);
    assert!(d.is_leaving(Time::ZERO, target));
    assert!(!d.is_leaving(Time::from_millis(1_000), target));
}

// Guards against a request that is sent after a pause, before the first timer.
#[test]
fn permit_after_pause() {
    let (m, mut d, mut rng, target) = setup();
    d.tick(Time::from_millis(100), &m, &mut rng);
    let resumed = Time::from_millis(5_000);
    assert_eq!(d.permit(resumed, target), TargetPermit::Hold);
    let asked = d.tick(resumed, &m, &mut rng);
    assert!(matches!(&asked[..], [DrainAction::Refresh { peers }] if peers.len() == 2));
    // An answer to a question from before the pause proves nothing.
    d.refreshed(resumed, Time::from_millis(100), Vec::new());
    assert_eq!(d.permit(resumed, target), TargetPermit::Hold);
    let notice = LeavingNotice { target, age_ms: 10 };
    d.refreshed(resumed, resumed, vec![notice]);
    assert_eq!(d.permit(resumed, target), TargetPermit::Leaving);
    assert_eq!(d.permit(resumed, host(1).addr), TargetPermit::Send);
}

// Guards against a shutdown that stops accepting while callers still hold answers that name this
// host, cuts off requests in flight, or hangs.
#[test]
fn shutdown_phases() {
    let timeout = Duration::from_secs(30);
    for (in_flight_ms, usage_answers) in [(0, true), (9_000, true), (500_000, true), (0, false)] {
        let mut s = ShutdownState::default();
        let mut seen = Vec::new();
        assert_eq!(s.tick(Time::ZERO, 1, timeout), None);
        seen.extend(s.begin(Time::ZERO).map(|a| (0, a)));
        assert_eq!(s.begin(Time::ZERO), None);
        let mut aborted = false;
        for ms in (0..100_000).step_by(100) {
            let in_flight = usize::from(ms < in_flight_ms && !aborted);
            let action = s.tick(Time::from_millis(ms), in_flight, timeout);
            assert_eq!(s.accepts(), ms < 7_000);
            aborted |= action == Some(ShutdownAction::AbortRequests);
            seen.extend(action.map(|a| (ms, a)));
            if action == Some(ShutdownAction::WriteUsage) && usage_answers {
                seen.extend(s.usage_written().map(|a| (ms, a)));
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

// Guards against a stop that never ends because a request ignores that it was aborted.
#[test]
fn shutdown_request_that_never_ends() {
    let mut s = ShutdownState::default();
    s.begin(Time::ZERO);
    let mut seen = Vec::new();
    for ms in (0..200_000).step_by(100) {
        let action = s.tick(Time::from_millis(ms), 1, Duration::from_secs(30));
        seen.extend(action.map(|a| (ms, a)));
    }
    use ShutdownAction::{AbortRequests, Exit, StopAccepting, WriteUsage};
    let expected =
        [(7_000, StopAccepting), (37_000, AbortRequests), (38_000, WriteUsage), (43_000, Exit)];
    assert_eq!(seen, expected);
}
