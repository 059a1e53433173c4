//! What targets demand with their answers.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    Demands, RegisteredTarget, ReportedDemand, RequestKey, Scheduler, SchedulerOptions,
    SlotDecision, SlotRequest, TargetDemand,
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
    assert!(d.on_answer(START, &pool, &target, LEAVING, Some(7)));
    assert!(!d.on_answer(START + ms(100), &pool, &target, TargetDemand::default(), Some(7)));
    d.retain(START, |_| Some(7));
    assert!(d.is_closed(START, "t0"));
    d.retain(START, |_| Some(8));
    assert!(!d.is_closed(START, "t0"));
}

/// Guards against requests to a target during the pause that it asked this host for (BUDGET).
#[test]
fn is_closed_paused_target_until_the_longest_pause_ends() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    d.on_pause(START, &pool, &target, ms(2_000));
    d.on_pause(START + ms(100), &pool, &target, ms(500));
    d.retain(START + ms(1_999), |_| Some(7));
    assert!(d.is_closed(START + ms(1_999), "t0"));
    assert_eq!(d.closed(START + ms(1_999), &pool), [target]);
    assert!(!d.is_closed(START + ms(2_000), "t0"));
    assert!(d.reports(START, &pool).is_empty());
}

/// Guards against requests to a target that said that it leaves and whose registration expired and came
/// back since, as after an outage of the store (DRAIN).
#[test]
fn is_closed_leaving_target_after_its_registration_returns() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, &pool, &target, LEAVING, Some(7)));
    d.retain(START + ms(100), |_| Some(7));
    d.retain(START + ms(5_000), |_| None);
    d.retain(START + ms(9_000), |_| Some(7));
    assert!(d.is_closed(START + ms(9_000), "t0"));
    d.retain(START + ms(9_100), |_| None);
    d.retain(START + ms(9_200), |_| Some(8));
    assert!(!d.is_closed(START + ms(9_200), "t0"));
}

/// Guards against a target that gets nothing for good, because it said that it leaves, ended before any
/// other change of the registry, and was started again under its identity.
#[test]
fn is_closed_leaving_target_restarted_at_once_is_usable() {
    let (pool, target): (Arc<str>, Arc<str>) = ("ledger".into(), "t0".into());
    let mut d = Demands::default();
    assert!(d.on_answer(START, &pool, &target, LEAVING, Some(7)));
    d.retain(START + ms(3_000), |_| None);
    assert!(d.is_closed(START + ms(3_000), "t0"));
    d.retain(START + ms(4_000), |_| Some(8));
    assert!(!d.is_closed(START + ms(4_000), "t0"));
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
        assert!(d.on_answer(START, &pool, &target, limit, Some(7)));
        let random = f64::from(host) / 18.0;
        for _ in 0..4 {
            allowed += usize::from(d.try_take_share(START + ms(5_000), "t0", 18, random));
        }
    }
    assert!(allowed <= 2, "{allowed} requests in a second");
}
