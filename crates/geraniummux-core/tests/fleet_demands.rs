//! What targets demand with their answers.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    Demands, LEAVING_RECHECK_INTERVAL, RegisteredTarget, ReportedDemand, RequestKey, Scheduler,
    SchedulerOptions, SlotDecision, SlotRequest, TargetDemand, TargetRun,
};
use std::sync::Arc;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);
const LEAVING: TargetDemand = TargetDemand { limit_per_s: None, leaving: true };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(id: &str) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        pool: "ledger".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 6,
        leaving: false,
        warm_up: Duration::ZERO,
        started_unix_ms: 0,
    }
}

fn run(started_unix_ms: u64) -> TargetRun {
    TargetRun { started_unix_ms, addr: "127.0.0.1:1".parse().unwrap() }
}

fn request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 1,
        service_time: ms(100),
        body_bytes: 0,
        time_left: ms(1_000),
        latency_target_left: ms(300),
        hedgeable: false,
        avoid: Vec::new(),
    }
}

/// Guards against grants at a target that has said that it is leaving (DRAIN), and against reports that
/// arrive late and undo newer ones.
#[test]
fn on_demand_leaving_target_gets_nothing() {
    let mut s = Scheduler::new(SchedulerOptions::default());
    let targets = [target("t0"), target("t1")];
    s.update(targets.iter().map(|t| (t, false)));
    let report = |demand, age| ReportedDemand { target: "t0".into(), demand, age };
    s.on_demand(START, &report(LEAVING, Duration::ZERO));
    s.on_demand(START + ms(10), &report(TargetDemand::default(), ms(200)));
    for number in 0..6 {
        let key = RequestKey { host: "h0".into(), number };
        for (_, d) in s.on_request(START + ms(20), key, request()) {
            assert!(matches!(&d, SlotDecision::Grant { target, .. } if **target == *"t1"), "{d:?}");
        }
    }
}

/// Guards against a host that goes on sending to a target that leaves (DRAIN); a target that was started
/// again under its identity is usable.
#[test]
fn is_closed_leaving_target_until_it_restarts() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, START, &pool, &target, run(7), LEAVING));
    assert!(!d.on_answer(START + ms(100), START, &pool, &target, run(7), TargetDemand::default()));
    d.retain(START, |_| Some(run(7)));
    assert!(d.is_closed(START, "t0", run(7)));
    d.retain(START, |_| Some(run(8)));
    assert!(!d.is_closed(START, "t0", run(8)));
}

/// Guards against requests to a target during the pause that it asked this host for (BUDGET).
#[test]
fn is_closed_paused_target_until_the_longest_pause_ends() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    d.on_pause(START, &pool, &target, run(7), ms(2_000));
    d.on_pause(START + ms(100), &pool, &target, run(7), ms(500));
    d.retain(START + ms(1_999), |_| Some(run(7)));
    assert!(d.is_closed(START + ms(1_999), "t0", run(7)));
    assert_eq!(d.closed(START + ms(1_999), &pool, |_| Some(run(7))), [target]);
    assert!(!d.is_closed(START + ms(2_000), "t0", run(7)));
    assert!(d.reports(START, &pool, |_| Some(run(7))).is_empty());
}

/// Guards against requests to a target that said that it leaves and whose registration expired and came
/// back since, as after an outage of the store (DRAIN).
#[test]
fn is_closed_leaving_target_after_its_registration_returns() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, START, &pool, &target, run(7), LEAVING));
    d.retain(START + ms(100), |_| Some(run(7)));
    d.retain(START + ms(5_000), |_| None);
    d.retain(START + ms(9_000), |_| Some(run(7)));
    assert!(d.is_closed(START + ms(9_000), "t0", run(7)));
    d.retain(START + ms(9_100), |_| None);
    d.retain(START + ms(9_200), |_| Some(run(8)));
    assert!(!d.is_closed(START + ms(9_200), "t0", run(8)));
}

/// Guards against a target that gets nothing for good, because it said that it leaves, ended before any
/// other change of the registry, and was started again under its identity.
#[test]
fn is_closed_leaving_target_restarted_at_once_is_usable() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, START, &pool, &target, run(7), LEAVING));
    d.retain(START + ms(3_000), |_| None);
    assert!(d.is_closed(START + ms(3_000), "t0", run(7)));
    d.retain(START + ms(4_000), |_| Some(run(8)));
    assert!(!d.is_closed(START + ms(4_000), "t0", run(8)));
}

/// Guards against a target that gets nothing for good, because its former run said that it leaves in an answer
/// that arrived after its registration had ended, or after the next run had registered; that run may have an
/// earlier start, or only another address (Starved).
#[test]
fn on_answer_of_former_run_does_not_bind_the_next() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let elsewhere = TargetRun { addr: "127.0.0.1:2".parse().unwrap(), ..run(0) };
    for (former, next) in [(run(7), run(8)), (run(7), run(6)), (run(0), elsewhere)] {
        let mut d = Demands::default();
        d.retain(START, |_| None);
        assert!(d.on_answer(START, START, &pool, &target, former, LEAVING));
        let limit = TargetDemand { limit_per_s: Some(1.0), leaving: true };
        assert!(d.on_answer(START, START, &pool, &target, former, limit));
        d.on_pause(START, &pool, &target, former, ms(5_000));
        d.retain(START + ms(10), |_| Some(next));
        assert!(!d.is_closed(START + ms(10), "t0", next), "{next:?}");
        assert!(!d.is_limited(START + ms(10), "t0", next), "{next:?}");
        assert!(d.try_take_share(START + ms(10), "t0", next, 100, 0.0), "{next:?}");
        assert!(d.closed(START + ms(10), &pool, |_| Some(next)).is_empty(), "{next:?}");
        assert!(d.limited(START + ms(10), &pool, |_| Some(next)).is_empty(), "{next:?}");
        assert!(d.reports(START + ms(10), &pool, |_| Some(next)).is_empty(), "{next:?}");
    }
}

/// Guards against requests to a run that leaves after the registration of the next run, as when the store comes
/// back from a copy in which the former is registered (DRAIN).
#[test]
fn is_closed_leaving_run_that_is_registered_again() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, START, &pool, &target, run(7), LEAVING));
    d.retain(START + ms(1_000), |_| Some(run(8)));
    let later = START + ms(2_000);
    d.retain(later, |_| Some(run(7)));
    assert!(d.is_closed(later, "t0", run(7)));
    assert_eq!(d.closed(later, &pool, |_| Some(run(7))), [target]);
    assert_eq!(d.reports(later, &pool, |_| Some(run(7))).len(), 1);
}

/// Guards against a target that gets nothing for good if its runs look the same (Starved), and against requests
/// to a leaving one because an earlier request was answered late (DRAIN).
#[test]
fn on_answer_without_leaving_counts_if_it_was_asked_again() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let registered = |_: &str| Some(run(0));
    let mut d = Demands::default();
    assert!(d.on_answer(START, START, &pool, &target, run(0), LEAVING));
    let asked = START + LEAVING_RECHECK_INTERVAL;
    assert!(d.take_due_rechecks(asked - ms(1), registered).is_empty());
    assert!(d.take_due_rechecks(asked, |_| None).is_empty());
    assert_eq!(d.take_due_rechecks(asked, registered), [(pool.clone(), target.clone())]);
    assert!(d.take_due_rechecks(asked + ms(500), registered).is_empty());
    let answered = asked + ms(10);
    let sent_before = START - ms(1);
    let none = TargetDemand::default();
    assert!(!d.on_answer(answered, sent_before, &pool, &target, run(0), none));
    assert!(d.is_closed(answered, "t0", run(0)));
    assert!(!d.on_answer(answered, asked + ms(1), &pool, &target, run(0), LEAVING));
    assert!(d.is_closed(answered, "t0", run(0)));
    let again = answered + LEAVING_RECHECK_INTERVAL;
    assert_eq!(d.take_due_rechecks(again, registered).len(), 1);
    assert!(d.on_answer(again + ms(10), again + ms(1), &pool, &target, run(0), none));
    assert!(!d.is_closed(again + ms(10), "t0", run(0)));
}

/// Guards against a target that a scheduler closes to the whole fleet for good by the word of a host that is gone
/// or has learned better since (Starved).
#[test]
fn on_demand_leaving_ends_unless_it_is_repeated() {
    let mut s = Scheduler::new(SchedulerOptions::default());
    let targets = [target("t0")];
    s.update(targets.iter().map(|t| (t, false)));
    let report = |age| ReportedDemand { target: "t0".into(), demand: LEAVING, age };
    let mut number = 0;
    let mut is_granted = |s: &mut Scheduler, now: Time| {
        number += 1;
        let key = RequestKey { host: "h0".into(), number };
        let decisions = s.on_request(now, key.clone(), request());
        s.on_grant_ended(now, &key, None);
        decisions.iter().any(|(_, d)| matches!(d, SlotDecision::Grant { .. }))
    };
    for seconds in 0..20 {
        let now = START + ms(seconds * 1_000);
        s.on_demand(now, &report(ms(seconds * 1_000)));
        assert!(!is_granted(&mut s, now + ms(999)), "after {seconds} s");
    }
    assert!(is_granted(&mut s, START + ms(30_000)));
}

/// Guards against hosts that each take a large share of a limit because they heard of it before they knew
/// the other hosts, as after a start of the whole fleet (LIMIT).
#[test]
fn try_take_share_fleet_known_later_is_counted() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let limit = TargetDemand { limit_per_s: Some(2.0), leaving: false };
    let mut allowed = 0;
    for host in 0..18 {
        let mut d = Demands::default();
        assert!(d.on_answer(START, START, &pool, &target, run(7), limit));
        let random = f64::from(host) / 18.0;
        for _ in 0..4 {
            allowed += usize::from(d.try_take_share(START + ms(5_000), "t0", run(7), 18, random));
        }
    }
    assert!(allowed <= 2, "{allowed} requests in a second");
}
