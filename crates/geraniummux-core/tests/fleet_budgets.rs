//! Budgets that all hosts share: second sends and health checks. And who reads the store.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    ExtraAttempt, ExtraAttemptBudget, ExtraAttemptOptions, Leader, PeerFreshness, Position,
    ProbeBudget, ReadSource, ReaderOptions, leaders, read_source,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

/// Guards against hosts that together send more second requests than the fleet may, in any window,
/// while the load shifts between them: a window's first sends count, or those of the one before.
#[test]
fn try_repeat_all_hosts_stay_within_the_fleet_budget() {
    let opts = ExtraAttemptOptions::default();
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = rng.random_range(1..30);
        let mut budgets = vec![ExtraAttemptBudget::default(); hosts];
        let (mut firsts, mut extra_attempts) = (Vec::new(), Vec::new());
        let mut now = START;
        for _ in 0..4_000 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            // Some seconds all load comes to one host.
            let busy = (now.as_micros() / 5_000_000) as usize % hosts;
            let i = if rng.random::<bool>() { busy } else { rng.random_range(0..hosts) };
            budgets[i].on_first_attempt(now, &opts);
            firsts.push(now);
            if budgets[i].try_take(now, ExtraAttempt::Retry, hosts, &opts) {
                extra_attempts.push(now);
            }
        }
        for (i, end) in extra_attempts.iter().enumerate() {
            let since = *end - opts.window;
            let sent = extra_attempts[..=i].iter().filter(|t| **t >= since).count() as f64;
            let asked = |from: Time, to: Time| {
                firsts.iter().filter(|t| **t >= from && **t <= to).count() as f64
            };
            let allowed = opts.ratio * asked(since, *end) + opts.slack;
            assert!(sent <= allowed, "seed {seed}: {sent} of {allowed}");
        }
    }
}

/// Guards against hedges that leave nothing for requests that failed.
#[test]
fn try_repeat_hedges_leave_room_for_failures() {
    let opts = ExtraAttemptOptions::default();
    let mut budget = ExtraAttemptBudget::default();
    for _ in 0..100 {
        budget.on_first_attempt(START, &opts);
    }
    let hedges =
        (0..500).filter(|_| budget.try_take(START, ExtraAttempt::Hedge, 18, &opts)).count();
    assert!(hedges > 0);
    assert!(budget.try_take(START, ExtraAttempt::Retry, 18, &opts));
}

/// Guards against more health checks than the allowed rate over a long time, whatever is wanted.
#[test]
fn take_greedy_host_stays_within_rate() {
    let mut budget = ProbeBudget::default();
    let (rate, seconds) = (50.0, 60);
    let mut taken = 0;
    for ms in 0..seconds * 1_000 {
        taken += budget.take(START + Duration::from_millis(ms), 6, 0, rate);
    }
    assert!((taken as f64) <= rate * (seconds as f64 + 2.0), "{taken}");
}

/// Guards against a request that can't be placed because the budget is used up.
#[test]
fn take_least_is_always_granted() {
    let mut budget = ProbeBudget::default();
    assert!((0..100).all(|_| budget.take(START, 3, 1, 1.0) >= 1));
}

/// Guards against store calls that grow with the fleet.
#[test]
fn source_fresh_news_only_roots_read() {
    let opts = ReaderOptions::default();
    let readers = (0..500)
        .filter(|r| read_source(*r, PeerFreshness::default(), false, &opts) == ReadSource::Store)
        .count();
    assert_eq!(readers, opts.primary_readers);
}

fn readers(age_ms: u64, silence_ms: u64) -> usize {
    let opts = ReaderOptions::default();
    let age = Duration::from_millis(age_ms);
    let heard = PeerFreshness { age, silence: Duration::from_millis(silence_ms) };
    (0..500).filter(|r| read_source(*r, heard, false, &opts) == ReadSource::Store).count()
}

/// Guards against a fleet in which nobody reads because the readers are cut off, and against all of
/// it reading at once.
#[test]
fn source_stale_news_scouts_begin_one_by_one() {
    assert_eq!(readers(650, 0), 2);
    assert_eq!(readers(750, 0), 3);
    assert_eq!(readers(1_400, 0), 6);
}

/// Guards against a fleet that floods a store that is away: hosts that hear from their peers leave it
/// to the scouts, and join them one by one much later.
#[test]
fn source_store_away_only_scouts_try() {
    assert_eq!(readers(5_900, 100), 6);
    assert_eq!(readers(6_900, 100), 13);
}

/// Guards against a host that is cut off from its peers and does not read for itself.
#[test]
fn source_cut_off_from_peers_reads() {
    assert_eq!(readers(4_000, 4_000), 500);
}

/// Guards against a host with more followers than it can serve, and against a host that follows none
/// of those before it in its domain.
#[test]
fn leaders_tree_has_bounded_fanout() {
    let opts = ReaderOptions::default();
    let hosts = 300;
    let mut followers = vec![0; hosts];
    for rank in 1..hosts {
        let place = Position { rank: rank + opts.primary_readers, hosts };
        let Leader::SameDomain(first) = leaders(place, Position { rank, hosts }, &opts)[0] else {
            panic!("rank {rank} does not follow its own domain");
        };
        assert!(first < rank);
        followers[first] += 1;
    }
    assert!(followers.iter().all(|n| *n <= opts.fanout));
}

/// Guards against a domain that hears nothing because its first host follows one of its own.
#[test]
fn leaders_first_of_domain_follows_a_root() {
    let opts = ReaderOptions::default();
    let place = Position { rank: 40, hosts: 50 };
    assert_eq!(leaders(place, Position { rank: 0, hosts: 9 }, &opts)[0], Leader::AnyDomain(0));
}

/// Guards against a root that is refused by the store and follows nobody, or itself.
#[test]
fn leaders_root_follows_the_others() {
    let opts = ReaderOptions::default();
    let place = Position { rank: 0, hosts: 50 };
    let all = leaders(place, Position { rank: 3, hosts: 9 }, &opts);
    assert_eq!(all, (1..opts.readers).map(Leader::AnyDomain).collect::<Vec<_>>());
}

#[test]
fn leaders_alone_has_none() {
    let alone = Position { rank: 0, hosts: 1 };
    assert!(leaders(alone, alone, &ReaderOptions::default()).is_empty());
}
