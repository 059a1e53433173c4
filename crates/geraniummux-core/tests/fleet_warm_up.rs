//! Cold targets: how long they are taken to be cold, and what a fleet sends them in virtual time.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    RegisteredTarget, RegistryChange, RegistryDelta, ReportedDemand, RequestKey, Revision,
    Scheduler, SchedulerOptions, SlotDecision, SlotRequest, TargetDemand, TargetRegistry,
    TargetReport, WarmUpRules, WarmUpShares,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);
const RULES: WarmUpRules = WarmUpRules { per_s: 7.1, overage: 1.5, slack: 8.0 };
/// Window in which the requests of a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest time from a decision to the arrival at the target.
const MAX_DELAY_MS: u64 = 250;
const COLD_FOR: Duration = Duration::from_secs(60);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn target(id: &str, warm_up: Duration) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        pool: "ledger".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 6,
        leaving: false,
        warm_up,
        started_unix_ms: 1,
    }
}

fn apply(registry: &mut TargetRegistry, at: Time, to: Revision, entry: Revision, warm_up: u64) {
    let change = RegistryChange::Put(target("t", s(warm_up)));
    let list = RegistryDelta { from: None, to, changes: vec![(entry, change)] };
    assert!(registry.apply(at, list, Duration::ZERO));
}

fn rev(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

/// Returns a registry with a target that was cold when it registered and is warm at `START`.
fn warm() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, START - s(60), rev(1, 5), rev(1, 5), 3);
    assert!(registry.cold_until("t") < START);
    registry
}

/// Guards against a target that becomes cold without a restart and goes on to get as much as a warm one.
#[test]
fn apply_same_run_cold_again_is_cold() {
    let mut registry = warm();
    apply(&mut registry, START, rev(1, 9), rev(1, 9), 4);
    assert_eq!(registry.cold_until("t"), START + s(4));
    assert_eq!(registry.cold(START, "ledger").count(), 1);
    assert_eq!(registry.cold(START, "other").count(), 0);
}

/// Guards against a target that is cold forever, because each list of its unchanged entry extends its warm-up.
#[test]
fn apply_listed_again_does_not_extend_warm_up() {
    let mut registry = warm();
    apply(&mut registry, START, rev(1, 20), rev(1, 5), 3);
    assert!(registry.cold_until("t") < START);
}

/// Guards against a fleet whose targets all count as cold after the store came back from a copy, which has its
/// entries in another era.
#[test]
fn apply_unchanged_entry_of_later_era_does_not_extend_warm_up() {
    let mut registry = warm();
    apply(&mut registry, START, rev(2, 4), rev(2, 4), 3);
    assert!(registry.cold_until("t") < START);
    apply(&mut registry, START, rev(2, 5), rev(2, 5), 6);
    assert_eq!(registry.cold_until("t"), START + s(6));
}

/// Guards against a target that is taken to be cold after it has written that it is warm.
#[test]
fn apply_written_without_warm_up_is_warm() {
    let mut registry = warm();
    apply(&mut registry, START, rev(1, 9), rev(1, 9), 30);
    apply(&mut registry, START + s(2), rev(1, 10), rev(1, 10), 0);
    assert!(registry.cold_until("t") <= START + s(2));
}

/// Guards against health responses that are ignored, cause a message each, or shorten a warm-up as they arrive
/// late.
#[test]
fn on_warm_up_left_is_news_only_if_longer() {
    let mut registry = warm();
    assert!(registry.on_warm_up_left(START, "t", s(5)));
    assert_eq!(registry.cold_until("t"), START + s(5));
    assert!(!registry.on_warm_up_left(START + ms(100), "t", s(5)));
    assert!(!registry.on_warm_up_left(START + ms(100), "t", Duration::ZERO));
    assert_eq!(registry.cold_until("t"), START + ms(5_100));
    assert!(registry.on_warm_up_left(START + s(2), "t", s(9)));
    assert!(!registry.on_warm_up_left(START, "unknown", s(9)));
}

/// Guards against a flood of requests to targets that are cold after an evacuation, before they have said so.
#[test]
fn assume_cold_other_domains_stay_warm() {
    let mut registry = warm();
    registry.assume_cold(START, "b", s(3));
    assert!(registry.cold_until("t") < START);
    registry.assume_cold(START, "a", s(3));
    assert_eq!(registry.cold_until("t"), START + s(3));
}

fn scheduler(targets: usize, cold: usize, rules: &WarmUpRules) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    let targets: Vec<RegisteredTarget> =
        (0..targets).map(|i| target(&format!("t{i}"), Duration::ZERO)).collect();
    scheduler.update(targets.iter().map(|t| (t, false)));
    scheduler.set_warm_ups(START, Some(rules.scheduler_per_s()), |id| {
        let i: usize = id[1..].parse().unwrap();
        if i < cold { START + COLD_FOR } else { START }
    });
    scheduler
}

fn request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 1,
        service_time: ms(10),
        body_bytes: 0,
        time_left: s(1),
        latency_target_left: ms(400),
        hedgeable: true,
        avoid: Vec::new(),
    }
}

fn key(host: usize, number: u64) -> RequestKey {
    RequestKey { host: format!("h{host}").into(), number }
}

/// Returns when a scheduler grants its only target to a flood of requests, each of which ends at once.
fn grants_of_flood(mut scheduler: Scheduler, duration: Duration) -> Vec<Time> {
    let mut grants = Vec::new();
    for step in 0..duration.as_millis() as u64 {
        let now = START + ms(step);
        let mut decisions = scheduler.on_request(now, key(0, step), request());
        decisions.extend(scheduler.tick(now));
        while let Some((key, decision)) = decisions.pop() {
            if matches!(decision, SlotDecision::Grant { .. } | SlotDecision::Hedge { .. }) {
                grants.push(now);
                decisions.extend(scheduler.on_grant_ended(now, &key, None));
            }
        }
    }
    grants
}

/// Returns the largest number of times within a window.
fn most_in_window(times: &[Time]) -> usize {
    let in_window = |i: usize| times[i..].iter().take_while(|t| t.since(times[i]) < WINDOW).count();
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

/// Guards against a scheduler that grants a cold target more than it accepts, or hardly anything.
#[test]
fn scheduler_flood_on_cold_target_is_granted_what_it_accepts() {
    let rate = RULES.scheduler_per_s();
    let grants = grants_of_flood(scheduler(1, 1, &RULES), s(20));
    assert!(most_in_window(&grants) as f64 <= rate + 1.0, "{}", most_in_window(&grants));
    assert!(grants.len() as f64 >= 0.9 * 20.0 * rate, "{} grants", grants.len());
}

/// Guards against a cold target that names a lower limit itself and gets what cold targets accept.
#[test]
fn scheduler_cold_target_with_lower_limit_keeps_that() {
    let mut scheduler = scheduler(1, 1, &RULES);
    let demand = TargetDemand { limit_per_s: Some(2.0), leaving: false };
    scheduler
        .on_demand(START, &ReportedDemand { target: "t0".into(), demand, age: Duration::ZERO });
    let grants = grants_of_flood(scheduler, s(9));
    assert!(grants.len() <= 2 * 9 + 2, "{} grants", grants.len());
}

/// Guards against a target that is limited after its warm-up.
#[test]
fn scheduler_after_warm_up_is_not_limited() {
    let mut scheduler = scheduler(1, 1, &RULES);
    let warm_at = START + s(1);
    scheduler.set_warm_ups(START, Some(RULES.scheduler_per_s()), |_| warm_at);
    let grants = grants_of_flood(scheduler, s(2));
    let late = grants.iter().filter(|t| **t >= warm_at).count();
    assert!(late > 500, "{late} grants");
}

/// Returns the number of hedges at once for four requests whose target becomes slow, while the only other target is
/// cold or not.
fn hedges(cold: usize) -> usize {
    let rules = WarmUpRules { per_s: 1.0, overage: 1.5, slack: 8.0 };
    let mut scheduler = scheduler(2, cold, &rules);
    // By now, a cold target accepts one request.
    let now = START + s(3);
    let report = |slowdown| TargetReport { running: 0, waiting: 0, slots: 6, slowdown };
    scheduler.on_report(now, "t0", &report(9.0));
    scheduler.on_report(now, "t1", &report(1.0));
    for number in 0..4 {
        let request = SlotRequest { service_time: ms(100), ..request() };
        let decisions = scheduler.on_request(now, key(0, number), request);
        let is_at =
            |d: &SlotDecision| matches!(d, SlotDecision::Grant { target, .. } if &**target == "t1");
        assert!(is_at(&decisions[0].1), "{decisions:?}");
    }
    let now = now + ms(6);
    scheduler.on_report(now, "t0", &report(1.0));
    scheduler.on_report(now, "t1", &report(8.0));
    let decisions = scheduler.tick(now);
    decisions.iter().filter(|(_, d)| matches!(d, SlotDecision::Hedge { .. })).count()
}

/// Guards against a hedge that does not count as a request to a cold target.
#[test]
fn scheduler_hedge_at_cold_target_takes_from_its_rate() {
    assert!(hedges(0) > 1, "{} hedges at a warm target", hedges(0));
    assert_eq!(hedges(1), 1);
}

proptest! {
    /// Guards against rates at which two schedulers and two hosts that select targets themselves exceed what a cold
    /// target may get, if their requests are delayed differently.
    #[test]
    fn scheduler_per_s_any_rules_bound_holds(
        per_s in 0.2..500.0, overage in 1.0..3.0, slack in 6.0..20.0,
    ) {
        let rules = WarmUpRules { per_s, overage, slack };
        let allowed = overage * per_s + slack;
        let window = (WINDOW + ms(MAX_DELAY_MS)).as_secs_f64();
        let scheduler = 1.0 + rules.scheduler_per_s().max(0.2) * window;
        let host = 1.0 + (rules.host_per_s().max(0.2) * window - 1.0).max(0.0);
        prop_assert!(2.0 * scheduler + 2.0 * host <= allowed + 1e-9);
        prop_assert!(rules.scheduler_per_s() <= per_s);
    }
}

/// What a simulated fleet does.
struct Fleet {
    rng: StdRng,
    schedulers: Vec<Scheduler>,
    shares: Vec<WarmUpShares>,
    targets: Vec<Arc<str>>,
    /// When requests arrive at each target.
    arrivals: Vec<Vec<Time>>,
    running: Vec<(Time, usize, RequestKey)>,
}

impl Fleet {
    fn arrive(&mut self, now: Time, target: &str) {
        let at = now + ms(self.rng.random_range(0..MAX_DELAY_MS));
        let i: usize = target[1..].parse().unwrap();
        self.arrivals[i].push(at);
    }

    fn on_decisions(&mut self, now: Time, s: usize, decisions: Vec<(RequestKey, SlotDecision)>) {
        for (key, decision) in decisions {
            match decision {
                SlotDecision::Grant { target, .. } | SlotDecision::Hedge { target, .. } => {
                    self.arrive(now, &target);
                    let ends = now + ms(self.rng.random_range(20..300));
                    self.running.push((ends, s, key));
                }
                SlotDecision::Wait | SlotDecision::Reject { .. } => {}
            }
        }
    }
}

/// Simulates a herd: requests come much faster than the cold targets accept, two schedulers serve a part of the hosts
/// each and know nothing of each other, and every third host selects targets itself. Returns the largest number of
/// requests that a target got in a window, and the requests per second and target.
fn herd(hosts: usize, targets: usize, rules: WarmUpRules, seed: u64) -> (usize, f64) {
    let mut fleet = Fleet {
        rng: StdRng::seed_from_u64(seed),
        schedulers: vec![scheduler(targets, targets, &rules); 2],
        shares: vec![WarmUpShares::default(); hosts],
        targets: (0..targets).map(|i| format!("t{i}").into()).collect(),
        arrivals: vec![Vec::new(); targets],
        running: Vec::new(),
    };
    // Two hosts take the lot for the same target for their own, as their views of the members differ.
    let has_lot = |host: usize, target: usize| {
        host % targets.min(hosts / 2) == target % targets.min(hosts / 2)
            && host < 2 * targets.min(hosts / 2)
    };
    let duration = s(12);
    for step in 0..duration.as_millis() as u64 {
        let now = START + ms(step);
        if step % 30 == 0 {
            for s in 0..2 {
                let decisions = fleet.schedulers[s].tick(now);
                fleet.on_decisions(now, s, decisions);
            }
        }
        let ended: Vec<_> = fleet.running.extract_if(.., |(ends, ..)| *ends <= now).collect();
        for (_, s, key) in ended {
            let decisions = fleet.schedulers[s].on_grant_ended(now, &key, None);
            fleet.on_decisions(now, s, decisions);
        }
        for number in 0..2 {
            let host = fleet.rng.random_range(0..hosts);
            let s = host % 3;
            if s < 2 {
                let request = key(host, step * 2 + number);
                let slot_request = SlotRequest { time_left: ms(1_200), ..self::request() };
                let decisions = fleet.schedulers[s].on_request(now, request, slot_request);
                fleet.on_decisions(now, s, decisions);
            }
        }
        // Hosts that select targets themselves try all targets again and again.
        let host = fleet.rng.random_range(0..hosts);
        for target in (0..targets).filter(|t| has_lot(host, *t)) {
            let name = fleet.targets[target].clone();
            if fleet.shares[host].try_take(now, &name, &rules) {
                fleet.arrive(now, &name);
            }
        }
    }
    fleet.arrivals.iter_mut().for_each(|times| times.sort_unstable());
    let most = fleet.arrivals.iter().map(|times| most_in_window(times)).max().unwrap();
    let all: usize = fleet.arrivals.iter().map(Vec::len).sum();
    (most, all as f64 / targets as f64 / duration.as_secs_f64())
}

/// Guards against a herd of hosts that together send a cold target more than it may get, while two schedulers grant at
/// the same time and other hosts select targets themselves.
#[test]
fn cold_herd_with_two_schedulers_is_within_the_bound() {
    for hosts in [39, 184] {
        for targets in [1, 5, 16] {
            for rules in [RULES, WarmUpRules { per_s: 1.0, ..RULES }] {
                let allowed = rules.overage * rules.per_s + rules.slack;
                for seed in 1..=2 {
                    let (most, per_s) = herd(hosts, targets, rules, seed);
                    let case = format!("{hosts} hosts, {targets} targets, seed {seed}");
                    assert!(most as f64 <= allowed, "{case}: {most} of {allowed}");
                    // Otherwise the load of the herd would not show anything.
                    assert!(per_s >= rules.per_s, "{case}: {per_s} per second and target");
                }
            }
        }
    }
}
