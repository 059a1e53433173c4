//! Figures of targets and peers that can't be true: what decides by them must not panic, nor treat other targets
//! differently.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    AdmissionInput, AdmissionRules, RegisteredTarget, ReportedDemand, RequestKey, Scheduler,
    SchedulerOptions, SlotDecision, SlotRequest, TableOptions, TargetDemand, TargetReport,
    TargetTable, admit,
};
use geraniummux_core::time::{scaled, seconds};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(id: &str) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        pool: "ledger".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        warm_up: Duration::ZERO,
        started_unix_ms: 0,
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey { host: "h0".into(), number }
}

fn request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 1,
        service_time: ms(100),
        body_bytes: 0,
        time_left: ms(1_000),
        latency_target_left: ms(300),
        hedgeable: true,
        avoid: Vec::new(),
    }
}

fn report(slowdown: f64) -> TargetReport {
    TargetReport { running: 2, waiting: 0, slots: 4, slowdown }
}

/// Guards against a panic in the task that receives peers' messages, after which a host goes on as the only
/// scheduler: a target reports a slowdown beyond any duration while a request runs there that may be hedged
/// (LIMIT).
#[test]
fn on_grant_ended_boundless_slowdown_is_survived() {
    for slowdown in [1e28, f64::MAX, f64::INFINITY] {
        let mut s = Scheduler::new(SchedulerOptions::default());
        let targets = [target("t0"), target("t1")];
        s.update(targets.iter().map(|t| (t, false)));
        let mut ends: Vec<(RequestKey, Arc<str>)> = Vec::new();
        for number in 0..4 {
            for (key, decision) in s.on_request(START, key(number), request()) {
                let SlotDecision::Grant { target, .. } = decision else { continue };
                ends.push((key, target));
            }
        }
        let (first, at) = ends[0].clone();
        assert!(ends[1..].iter().any(|(_, target)| *target == at), "{ends:?}");
        s.on_grant_ended(START + ms(50), &first, Some((at, report(slowdown))));
        let sound = s.on_request(START + ms(60), key(9), request());
        assert!(matches!(&sound[0].1, SlotDecision::Grant { .. }), "{slowdown}: {sound:?}");
    }
}

#[test]
fn seconds_and_scaled_are_bounded() {
    for s in [-1.0, f64::NAN, f64::NEG_INFINITY, -0.0] {
        assert_eq!(seconds(s), Duration::ZERO, "{s}");
    }
    let longest = seconds(f64::INFINITY);
    assert_eq!(scaled(Duration::MAX, 1e300), longest);
    assert_eq!(scaled(ms(100), 2.5), ms(250));
    assert!(START + longest > START && START + Duration::MAX > START + longest);
    assert!(START - Duration::MAX < START);
}

#[test]
fn is_plausible_figures_of_sound_targets() {
    assert!(
        report(1.0).is_plausible() && report(0.05).is_plausible() && report(90.0).is_plausible()
    );
    for slowdown in [0.0, -1.0, 1e28, f64::NAN, f64::INFINITY] {
        assert!(!report(slowdown).is_plausible(), "{slowdown}");
    }
    let limit = |limit_per_s| TargetDemand { limit_per_s, leaving: false };
    assert!(limit(None).is_plausible() && limit(Some(0.0)).is_plausible());
    for per_s in [-1.0, 1e28, f64::NAN, f64::INFINITY] {
        assert!(!limit(Some(per_s)).is_plausible(), "{per_s}");
    }
    assert!(request().is_plausible());
    assert!(!SlotRequest { service_time: Duration::MAX, ..request() }.is_plausible());
}

fn figure() -> impl Strategy<Value = f64> {
    let extremes = [0.0, -0.0, -1.0, 1e-300, 1e28, 1e300, f64::MAX, f64::MIN, f64::INFINITY];
    prop_oneof![any::<f64>(), prop::sample::select(extremes.to_vec()), Just(f64::NAN), 0.1..10.0]
}

fn count() -> impl Strategy<Value = u32> {
    prop_oneof![any::<u32>(), Just(u32::MAX), 0u32..10]
}

fn duration() -> impl Strategy<Value = Duration> {
    let any_time = (any::<u64>(), 0u32..1_000_000_000).prop_map(|(s, n)| Duration::new(s, n));
    prop_oneof![any_time, Just(Duration::MAX), (0u64..2_000).prop_map(ms)]
}

fn any_report() -> impl Strategy<Value = TargetReport> {
    (count(), count(), count(), figure()).prop_map(|(running, waiting, slots, slowdown)| {
        TargetReport { running, waiting, slots, slowdown }
    })
}

fn any_request() -> impl Strategy<Value = SlotRequest> {
    (duration(), duration(), duration(), count(), any::<bool>()).prop_map(
        |(service_time, time_left, latency_target_left, body_bytes, hedgeable)| SlotRequest {
            service_time,
            time_left,
            latency_target_left,
            body_bytes,
            hedgeable,
            ..request()
        },
    )
}

/// A call of a scheduler with figures from outside.
#[derive(Clone, Debug)]
enum Call {
    Request(SlotRequest),
    Ended(u64, TargetReport),
    Report(TargetReport),
    Demand(Option<f64>, Duration),
    Fault(f64),
    Tick,
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        3 => any_request().prop_map(Call::Request),
        2 => (0u64..20, any_report()).prop_map(|(n, r)| Call::Ended(n, r)),
        2 => any_report().prop_map(Call::Report),
        1 => (prop::option::of(figure()), duration()).prop_map(|(l, age)| Call::Demand(l, age)),
        1 => figure().prop_map(Call::Fault),
        1 => Just(Call::Tick),
    ]
}

proptest! {
    /// Guards against a panic in a scheduler by any figure of a target or a peer (LIMIT), and against other
    /// targets that are not used any more because of it.
    #[test]
    fn scheduler_any_figures_are_survived(calls in prop::collection::vec((call(), 0u64..200), 1..60)) {
        let mut s = Scheduler::new(SchedulerOptions::default());
        let targets = [target("t0"), target("t1")];
        s.update(targets.iter().map(|t| (t, false)));
        let mut now = START;
        for (n, (call, later)) in (0..).zip(calls) {
            now = now + ms(later);
            match call {
                Call::Request(request) => drop(s.on_request(now, key(n), request)),
                Call::Ended(n, report) => {
                    s.on_grant_ended(now, &key(n), Some(("t0".into(), report)));
                }
                Call::Report(report) => s.on_report(now, "t0", &report),
                Call::Demand(limit_per_s, age) => {
                    let demand = TargetDemand { limit_per_s, leaving: false };
                    s.on_demand(now, &ReportedDemand { target: "t0".into(), demand, age });
                }
                Call::Fault(weight) => s.on_fault(now, "t0", weight),
                Call::Tick => drop(s.tick(now)),
            }
        }
        // What the calls left in the scheduler ends, and the sound target is used.
        (0..60).for_each(|n| drop(s.on_grant_ended(now, &key(n), None)));
        let decisions = s.on_request(now, key(99), request());
        let is_granted = decisions.iter().any(|(k, d)| {
            *k == key(99) && matches!(d, SlotDecision::Grant { .. })
        });
        prop_assert!(is_granted, "{decisions:?}");
    }

    /// Guards against a panic in a host that selects targets itself.
    #[test]
    fn table_any_figures_are_survived(
        reports in prop::collection::vec((any_report(), figure(), duration()), 1..20),
    ) {
        let mut table = TargetTable::new("a".into(), TableOptions::default());
        let targets = [target("t0"), target("t1")];
        table.update(targets.iter().map(|t| (t, false)));
        for (report, weight, time) in reports {
            table.on_report(START, "t0", report);
            table.on_sent("t0");
            table.on_fault(START, "t0", weight);
            let rating = table.rate(START, "ledger", "t0", &report);
            let found = table.candidates(START, "ledger", &[], 2, &mut rand::rng());
            prop_assert!(found.iter().any(|c| &*c.id == "t1"));
            let input = AdmissionInput {
                urgent: true,
                service_time: time,
                time_left: time,
                latency_target: time,
                elapsed: ms(10),
            };
            admit(&input, &report, rating.latency_factor, 0.5, &AdmissionRules::default());
        }
    }
}
