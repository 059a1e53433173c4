//! The order of service while a pool has too little room, on loads in virtual time: what callers get, against an
//! order that knows the future, and who pays for the shortage.

mod fleet_sim;

use fleet_sim::{Kind, Load, Sim, SimResult};
use geraniummux_core::Time;
use geraniummux_core::fleet::{
    RegisteredTarget, RequestKey, Scheduler, SchedulerOptions, SlotDecision, SlotRequest, TeamTerms,
};
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);
const TARGETS: usize = 24;
const SLOTS: u32 = 3;
/// Value of a response in time by the priority of its route; a late one has a tenth of it.
const VALUES: [f64; 3] = [0.0, 2.0, 1.0];
const LATE_SHARE: f64 = 0.1;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn kind(priority: u32, per_s: f64, service_time: u64, aim: u64, deadline: u64) -> Kind {
    let (service_time, latency_target, deadline) = (ms(service_time), ms(aim), ms(deadline));
    Kind { priority, per_s, service_time, latency_target, deadline }
}

/// A load of `x` times what the targets can do: long requests of two priorities, and short urgent ones.
fn mixed_load(x: f64) -> Load {
    let kinds = vec![
        kind(2, 200.0 * x, 140, 400, 1_500),
        kind(1, 63.0 * x, 180, 500, 1_200),
        kind(1, 33.0 * x, 54, 200, 1_000),
    ];
    Load {
        kinds,
        slow_target_share: 0.0,
        slow_factor: 1.0,
        duration: ms(4_000),
        reports_slowdown: true,
    }
}

fn play(load: &Load, opts: SchedulerOptions) -> SimResult {
    Sim::with_options(TARGETS, SLOTS, 3, opts).run(load)
}

/// Returns the value of all responses as a part of what all callers would have.
fn value(load: &Load, result: &SimResult) -> f64 {
    let (mut earned, mut owed) = (0.0, 0.0);
    for (i, k) in load.kinds.iter().enumerate() {
        let (r, worth) = (result.kind(i), VALUES[k.priority as usize]);
        let late = r.served - r.in_time;
        earned += f64::from(r.requests) * worth * (r.in_time + LATE_SHARE * late);
        owed += f64::from(r.requests) * worth;
    }
    earned / owed
}

/// Returns the highest value of any order that knows all requests beforehand: the work with the highest value
/// first, as far as the slots suffice, all of it in time.
fn value_of_perfect_order(load: &Load) -> f64 {
    let mut kinds: Vec<&Kind> = load.kinds.iter().collect();
    let worth = |k: &Kind| VALUES[k.priority as usize];
    let density = |k: &Kind| worth(k) / k.service_time.as_secs_f64();
    kinds.sort_by(|a, b| density(b).total_cmp(&density(a)));
    // An upper bound: targets with all slots in use are slower than assumed here.
    let mut room = TARGETS as f64 * f64::from(SLOTS);
    let (mut earned, mut owed) = (0.0, 0.0);
    for k in kinds {
        let work = k.per_s * k.service_time.as_secs_f64();
        let served = (room / work).clamp(0.0, 1.0);
        room -= work * served;
        earned += k.per_s * worth(k) * served;
        owed += k.per_s * worth(k);
    }
    earned / owed
}

/// Pattern: bursts of 1.5 and 3 times the room. Guards against an order by which nearly all wait a little too long,
/// instead of most being in time and the rest being told at once; compares with one request more than slots at each
/// target, as before.
#[test]
fn load_bursts_value_is_above_that_of_filled_targets() {
    for x in [1.5, 3.0] {
        let load = mixed_load(x);
        let before = SchedulerOptions { overcommit_share: 0.34, ..SchedulerOptions::default() };
        let (old, new) = (play(&load, before), play(&load, SchedulerOptions::default()));
        let (old, new) = (value(&load, &old), value(&load, &new));
        let perfect = value_of_perfect_order(&load);
        println!("{x}: value {new:.3}, before {old:.3}, perfect order {perfect:.3}");
        assert!(new >= old, "{x}: {new:.3} is below {old:.3}");
        assert!(new <= perfect, "{x}: {new:.3} is above that of a perfect order");
    }
}

/// Pattern: short urgent requests beside long work that fills all slots. Guards against a forecast that counts the
/// wait behind long requests as that behind short ones, so that the urgent kind is served worst.
#[test]
fn load_short_beside_long_urgent_is_served_best() {
    let load = mixed_load(1.5);
    let result = play(&load, SchedulerOptions::default());
    let (long, short) = (result.kind(0), result.kind(2));
    println!("in time: short {:.3}, long {:.3}", short.in_time, long.in_time);
    assert!(short.in_time >= 0.9, "only {:.3} of the short urgent requests in time", short.in_time);
    assert!(short.served >= long.served);
}

fn scheduler(targets: usize) -> Scheduler {
    let registered: Vec<RegisteredTarget> = (0..targets)
        .map(|i| RegisteredTarget {
            id: format!("{i:03}").into(),
            pool: "pool".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            failure_domain: "a".into(),
            slots: 2,
            leaving: false,
            warm_up: Duration::ZERO,
            started_unix_ms: 0,
        })
        .collect();
    let mut s = Scheduler::new(SchedulerOptions::default());
    s.update(registered.iter().map(|t| (t, false)));
    s
}

fn request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 1,
        service_time: ms(100),
        body_bytes: 0,
        hedgeable: false,
        time_left: ms(5_000),
        latency_target_left: ms(4_000),
        avoid: Vec::new(),
    }
}

/// Pattern: one team sends many times as much as the others, without an allowance. Guards against others that wait
/// behind all its requests.
#[test]
fn load_hot_team_others_are_served_first() {
    let mut s = scheduler(4);
    let terms = |team: &str| TeamTerms { team: team.into(), needs_token: false, weight: 10.0 };
    let key = |number| RequestKey { host: "host".into(), number };
    // The hot team takes all slots, and 20 more of its requests wait.
    for n in 0..28 {
        s.on_team_request(START, key(n), request(), terms("hot"));
    }
    for n in 0..4 {
        let team = format!("team-{n}");
        s.on_team_request(START + ms(10), key(100 + n), request(), terms(&team));
    }
    let mut granted = Vec::new();
    for n in 0..8 {
        for (key, decision) in s.on_grant_ended(START + ms(50 + 5 * n), &key(n), None) {
            if matches!(decision, SlotDecision::Grant { .. }) {
                granted.push(key.number);
            }
        }
    }
    let first: Vec<bool> = granted.iter().take(4).map(|n| *n >= 100).collect();
    assert_eq!(first, [true; 4], "granted in this order: {granted:?}");
}
