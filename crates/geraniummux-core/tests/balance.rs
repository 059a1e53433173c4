//! Tests of the balancer: eligibility, ejection, ramp-up, and preference of the own failure domain.

use geraniummux_core::balance::{Balancer, BalancerOptions, Exclusion, Policy};
use geraniummux_core::load::{AttemptEnd, LoadOptions, LoadReport, LoadTable, Refusal, TargetId};
use geraniummux_core::{Pool, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

fn pool(targets: usize) -> Pool {
    let targets: Vec<serde_json::Value> = (0..targets)
        .map(|i| {
            serde_json::json!({"name": format!("t{i:03}"),
                "failure_domain": format!("d{}", i % 3),
                "addr": format!("10.0.{}.{}:80", i / 250, i % 250)})
        })
        .collect();
    serde_json::from_value(serde_json::json!({"name": "p", "targets": targets})).unwrap()
}

struct Setup {
    pool: Pool,
    table: LoadTable,
    balancer: Balancer,
    ids: Vec<TargetId>,
    rng: SmallRng,
}

impl Setup {
    fn new(targets: usize, policy: Policy) -> Self {
        let pool = pool(targets);
        let table = LoadTable::new(std::slice::from_ref(&pool), LoadOptions::default());
        let options = BalancerOptions { policy, ..BalancerOptions::default() };
        let balancer = Balancer::new(&pool, &table, "d0".into(), options);
        let ids = pool.targets.iter().map(|t| table.id("p", &t.name).unwrap()).collect();
        Setup { pool, table, balancer, ids, rng: SmallRng::seed_from_u64(1) }
    }

    fn choose(&mut self, exclusion: Exclusion<'_>, now: Time) -> Option<TargetId> {
        self.balancer.choose(&self.table, exclusion, now, &mut self.rng).map(|c| c.target)
    }

    fn end(&mut self, id: TargetId, end: AttemptEnd, now: Time) {
        let sent = now - Duration::from_millis(10);
        self.table.on_sent(id, sent);
        let report = LoadReport { in_flight: 3, queued: 0 };
        self.table.on_end(id, sent, end, Some(report), now);
        self.balancer.on_end(id, end, now);
    }

    /// Returns how often each target is chosen. Each choice is followed by a response.
    fn counts(&mut self, exclusion: Exclusion<'_>, choices: usize, now: Time) -> Vec<usize> {
        let mut counts = vec![0; self.ids.len()];
        for _ in 0..choices {
            let id = self.choose(exclusion, now).unwrap();
            self.end(id, AttemptEnd::Answered, now);
            counts[self.ids.iter().position(|i| *i == id).unwrap()] += 1;
        }
        counts
    }

    fn ejected(&self, now: Time) -> usize {
        self.ids.iter().filter(|id| self.balancer.is_ejected(**id, now)).count()
    }
}

// Guards against a pool without service because too many of its failing targets are ejected, and
// against the choice of a target that is leaving, was tried, or is ejected while others are
// eligible.
#[test]
fn choose_invariants_over_seeds() {
    for seed in 0..500 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let n = rng.random_range(1..20);
        let policy = Policy::ALL[seed as usize % Policy::ALL.len()];
        let mut s = Setup::new(n, policy);
        let mut now = Time::from_millis(100);
        for step in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..200));
            let id = s.ids[rng.random_range(0..n)];
            let end = match rng.random_range(0..10) {
                0..6 => AttemptEnd::Failed,
                6 => AttemptEnd::Cancelled,
                7 => AttemptEnd::Refused(Refusal::Shed),
                _ => AttemptEnd::Answered,
            };
            s.end(id, end, now);
            let mut leaving: Vec<TargetId> =
                s.ids.iter().copied().filter(|_| rng.random_range(0..4) == 0).collect();
            leaving.sort_unstable();
            let tried: Vec<TargetId> =
                s.ids.iter().copied().filter(|_| rng.random_range(0..6) == 0).collect();
            let exclusion = Exclusion { tried: &tried, leaving: &leaving };
            let chosen = s.choose(exclusion, now);
            let excluded = |id: &TargetId| leaving.contains(id) || tried.contains(id);
            let context = format!("seed {seed}, step {step}, {n} targets, {policy:?}");
            assert!(s.ejected(now) * 3 <= n, "{context}: {} are ejected", s.ejected(now));
            match chosen {
                Some(id) => {
                    assert!(!excluded(&id), "{context}: chose an excluded target");
                    let selectable =
                        s.ids.iter().any(|i| !excluded(i) && !s.balancer.is_ejected(*i, now));
                    let ejected = s.balancer.is_ejected(id, now);
                    assert!(!(ejected && selectable), "{context}: chose an ejected target");
                }
                None => assert!(s.ids.iter().all(excluded), "{context}: nothing was chosen"),
            }
        }
    }
}

// Guards against a failed choice when all targets that are not ejected are leaving or starting.
#[test]
fn choose_ejected_as_last_resort() {
    let mut s = Setup::new(3, Policy::Estimate);
    let now = Time::from_millis(100);
    for _ in 0..3 {
        s.end(s.ids[0], AttemptEnd::Failed, now);
    }
    assert!(s.balancer.is_ejected(s.ids[0], now));
    s.end(s.ids[1], AttemptEnd::Refused(Refusal::Starting), now);
    let leaving = [s.ids[2]];
    let exclusion = Exclusion { tried: &[], leaving: &leaving };
    assert_eq!(s.choose(exclusion, now), Some(s.ids[0]));
}

// Guards against an ejected target that is never chosen again, and against one that gets its full
// share immediately after its ejection.
#[test]
fn choose_ejected_target_ramps_up() {
    let mut s = Setup::new(6, Policy::Random);
    let now = Time::from_millis(100);
    for _ in 0..3 {
        s.end(s.ids[0], AttemptEnd::Failed, now);
    }
    assert_eq!(s.counts(Exclusion::default(), 600, now)[0], 0);
    let back = now + Duration::from_millis(1_100);
    let mut shares = Vec::new();
    for ms in [0, 500, 1_000, 2_500] {
        let at = back + Duration::from_millis(ms);
        shares.push(s.counts(Exclusion::default(), 1_200, at)[0]);
    }
    println!("chosen of 200 at full share after 0, 0.5, 1 and 2.5 s: {shares:?}");
    assert!(shares[0] < 20 && shares[1] > shares[0] && shares[2] > shares[1], "{shares:?}");
    assert!(shares[2] < 150 && shares[3] > 150, "{shares:?}");
}

// Guards against a target that gets its full share immediately after it was leaving, while its
// cache is cold.
#[test]
fn choose_drained_target_ramps_up() {
    let mut s = Setup::new(6, Policy::Random);
    let now = Time::from_millis(100);
    let leaving = [s.ids[2]];
    let exclusion = Exclusion { tried: &[], leaving: &leaving };
    assert_eq!(s.counts(exclusion, 600, now)[2], 0);
    let after = s.counts(Exclusion::default(), 1_200, now + Duration::from_millis(200))[2];
    assert!(after > 0 && after < 60, "{after} of 200");
}

// Guards against a failing target that keeps its load because it can't be ejected: in a pool of two
// targets, one is more than a third.
#[test]
fn choose_failing_target_without_ejection() {
    let mut s = Setup::new(2, Policy::Estimate);
    let mut failed = 0;
    for ms in 0..2_000 {
        let now = Time::from_millis(100 + ms);
        let id = s.choose(Exclusion::default(), now).unwrap();
        let failing = id == s.ids[0];
        failed += usize::from(failing);
        s.end(id, if failing { AttemptEnd::Failed } else { AttemptEnd::Answered }, now);
    }
    assert!(failed < 100, "{failed} of 2000 requests went to the failing target");
}

// Guards against requests to another failure domain without a gain in latency, and against a
// preference for the own domain when the targets there have long queues.
#[test]
fn choose_prefers_own_domain_when_near() {
    let mut s = Setup::new(6, Policy::Estimate);
    let start = Time::from_millis(100);
    for round in 0..100 {
        for i in 0..6 {
            s.end(s.ids[i], AttemptEnd::Answered, start + Duration::from_millis(round));
        }
    }
    let now = start + Duration::from_millis(100);
    let own = [s.ids[0], s.ids[3]];
    for _ in 0..20 {
        assert!(own.contains(&s.choose(Exclusion::default(), now).unwrap()));
    }
    for id in own {
        s.table.on_probe(id, Some(LoadReport { in_flight: 6, queued: 6 }), now);
    }
    for _ in 0..20 {
        assert!(!own.contains(&s.choose(Exclusion::default(), now).unwrap()));
    }
}

// Guards against the choice of a target that an edit has removed or marked as leaving.
#[test]
fn update_leaves_out_removed_targets() {
    let mut s = Setup::new(4, Policy::Estimate);
    s.pool.targets.remove(0);
    s.pool.targets[0].leaving = true;
    let now = Time::from_millis(100);
    s.table.update(std::slice::from_ref(&s.pool));
    s.balancer.update(&s.pool, &s.table, now);
    for _ in 0..50 {
        let id = s.choose(Exclusion::default(), now).unwrap();
        assert!(s.ids[2..].contains(&id), "{id:?} was chosen");
    }
}
