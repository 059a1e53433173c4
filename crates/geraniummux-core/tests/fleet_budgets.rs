//! Budgets that all hosts share, for extra attempts and health checks, and the choice of the hosts
//! that read the store.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    ExtraAttempt, ExtraAttemptBudget, ExtraAttemptOptions, Leader, PeerFreshness, Position,
    ProbeBudget, ReadSource, ReaderOptions, StoreChecks, leaders, read_source,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

/// Guards against hosts that together make more extra attempts in a window than the fleet may, while
/// the load shifts between them. The bound counts the first attempts of the same window.
#[test]
fn try_take_all_hosts_stay_within_the_fleet_budget() {
    let opts = ExtraAttemptOptions::default();
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = rng.random_range(1..30);
        let mut budgets = vec![ExtraAttemptBudget::default(); hosts];
        let (mut first_attempts, mut extra_attempts) = (Vec::new(), Vec::new());
        let mut now = START;
        for _ in 0..4_000 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            // At least half of the load comes to one host, another one every five seconds.
            let busy = (now.as_micros() / 5_000_000) as usize % hosts;
            let i = if rng.random::<bool>() { busy } else { rng.random_range(0..hosts) };
            budgets[i].on_first_attempt(now, &opts);
            first_attempts.push(now);
            if budgets[i].try_take(now, ExtraAttempt::Retry, hosts, &opts) {
                extra_attempts.push(now);
            }
        }
        for (i, end) in extra_attempts.iter().enumerate() {
            let since = *end - opts.window;
            let sent = extra_attempts[..=i].iter().filter(|t| **t >= since).count() as f64;
            let first_attempts_in = |from: Time, to: Time| {
                first_attempts.iter().filter(|t| **t >= from && **t <= to).count() as f64
            };
            let allowed = opts.ratio * first_attempts_in(since, *end) + opts.slack;
            assert!(sent <= allowed, "seed {seed}: {sent} of {allowed}");
        }
    }
}

/// Guards against hedges that use up the budget for retries.
#[test]
fn try_take_hedges_leave_room_for_retries() {
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

/// Guards against a host that exceeds the allowed rate of health checks over a long time when it
/// always wants more.
#[test]
fn take_greedy_host_stays_within_rate() {
    let mut budget = ProbeBudget::default();
    let (rate, seconds) = (50.0, 60);
    let mut granted = 0;
    for ms in 0..seconds * 1_000 {
        granted += budget.take(START + Duration::from_millis(ms), 6, 0, rate);
    }
    assert!((granted as f64) <= rate * (seconds as f64 + 2.0), "{granted}");
}

/// Guards against a request that can't be sent because the budget for health checks is used up.
#[test]
fn take_least_is_always_granted() {
    let mut budget = ProbeBudget::default();
    assert!((0..100).all(|_| budget.take(START, 3, 1, 1.0) >= 1));
}

/// Guards against a number of store calls that grows with the fleet.
#[test]
fn read_source_fresh_data_only_primary_readers_read() {
    let opts = ReaderOptions::default();
    let readers = (0..500)
        .filter(|r| read_source(*r, PeerFreshness::default(), false, &opts) == ReadSource::Store)
        .count();
    assert_eq!(readers, opts.primary_readers);
}

/// Returns how many hosts of 500 read the store, given how current the data of their peers is.
fn reader_count(age_ms: u64, silence_ms: u64) -> usize {
    let opts = ReaderOptions::default();
    let age = Duration::from_millis(age_ms);
    let freshness = PeerFreshness { age, silence: Duration::from_millis(silence_ms) };
    (0..500).filter(|r| read_source(*r, freshness, false, &opts) == ReadSource::Store).count()
}

/// Guards against a fleet in which no host reads the store because the primary readers are cut off,
/// and against all hosts reading at once.
#[test]
fn read_source_stale_data_standby_readers_start_one_by_one() {
    assert_eq!(reader_count(650, 0), 2);
    assert_eq!(reader_count(750, 0), 3);
    assert_eq!(reader_count(1_400, 0), 6);
}

/// Guards against a fleet that floods an unavailable store: hosts that get updates from their peers
/// leave the calls to the primary and standby readers, and start reading one by one much later.
#[test]
fn read_source_store_away_only_standby_readers_try() {
    assert_eq!(reader_count(5_900, 100), 6);
    assert_eq!(reader_count(6_900, 100), 13);
}

/// Returns whether a host to which the store responds reads it, given the age of the replicated data, in a
/// fleet of hosts that get updates from one another.
fn reads_served(rank: usize, age_ms: u64) -> bool {
    let opts = ReaderOptions::default();
    let source = |age_ms| {
        let age = Duration::from_millis(age_ms);
        read_source(rank, PeerFreshness { age, ..Default::default() }, false, &opts)
    };
    match source(age_ms) {
        ReadSource::Store => true,
        ReadSource::StoreIfResponsive => {
            let checked_ms = (0..age_ms).find(|ms| source(*ms) == ReadSource::StoreIfResponsive);
            let mut checks = StoreChecks::new(opts);
            checks.record(Time::from_millis(checked_ms.unwrap_or(age_ms)), true, 1.0);
            checks.reads(Time::from_millis(age_ms), rank)
        }
        ReadSource::Peers => false,
    }
}

/// Returns the age of the replicated data at which the store is first read by one of `served`, the ranks
/// of the hosts to which it responds.
fn first_read_ms(served: &[usize]) -> u64 {
    (0..20_000).step_by(10).find(|ms| served.iter().any(|rank| reads_served(*rank, *ms))).unwrap()
}

/// Guards against all hosts reading at once when a store comes back that was away for all of them: the
/// data of the first ones reaches the others meanwhile.
#[test]
fn read_source_store_back_few_read_at_once() {
    let readers = |age_ms| (0..300).filter(|rank| reads_served(*rank, age_ms)).count();
    assert_eq!(readers(1_200), 6);
    assert!(readers(1_350) <= 10, "{}", readers(1_350));
    assert!(readers(1_600) <= 36, "{}", readers(1_600));
}

/// Guards against most of a large fleet that reads the store when it is back after an outage for all: each
/// host's check succeeds at some time, long after the data became stale.
#[test]
fn reads_after_outage_are_left_to_the_readers() {
    let opts = ReaderOptions::default();
    for outage_ms in [1_500, 2_000, 5_000] {
        // The readers retry within 1.5 s, and what they read arrives half a second later.
        let fresh_at = Time::from_millis(outage_ms + 2_000);
        let mut rng = StdRng::seed_from_u64(outage_ms);
        let mut checks = vec![StoreChecks::new(opts); 300];
        let mut reads = vec![false; 300];
        for ms in (0..outage_ms + 2_000).step_by(10) {
            let now = Time::from_millis(ms);
            let age = now.since(Time::default());
            let freshness = PeerFreshness { age, ..Default::default() };
            for rank in opts.readers..300 {
                if read_source(rank, freshness, false, &opts) != ReadSource::StoreIfResponsive {
                    continue;
                }
                let c = &mut checks[rank];
                if c.is_due(now) {
                    c.record(now, ms >= outage_ms, rng.random_range(0.75..1.25));
                }
                reads[rank] |= now < fresh_at && c.reads(now, rank);
            }
        }
        let count = reads.iter().filter(|r| **r).count();
        assert!(count <= 10, "{count} hosts after {outage_ms} ms");
    }
}

/// Guards against hosts that keep an old configuration for seconds because the store refuses all primary
/// and standby readers (CONFIG on kukko-gw-grown): some host that it serves has to ask it in time for a
/// configuration to be in force within two seconds.
#[test]
fn read_source_readers_refused_others_ask_in_time() {
    assert!(first_read_ms(&[17]) <= 1_500, "{}", first_read_ms(&[17]));
    let some: Vec<usize> = (0..500).filter(|rank| rank % 7 == 6).collect();
    assert!(first_read_ms(&some) <= 1_300, "{}", first_read_ms(&some));
    assert!(first_read_ms(&[499]) <= 2_000, "{}", first_read_ms(&[499]));
}

/// Guards against hosts that are cut off from their peers and don't read the store.
#[test]
fn read_source_cut_off_from_peers_reads() {
    assert_eq!(reader_count(4_000, 4_000), 500);
}

/// Guards against a host with more followers than it can serve, and against a host that does not
/// follow a preceding host of its failure domain.
#[test]
fn leaders_tree_has_bounded_fanout() {
    let opts = ReaderOptions::default();
    let hosts = 300;
    let mut followers = vec![0; hosts];
    for rank in 1..hosts {
        let in_fleet = Position { rank: rank + opts.primary_readers, hosts };
        let Leader::SameDomain(leader) = leaders(in_fleet, Position { rank, hosts }, &opts)[0]
        else {
            panic!("rank {rank} does not follow its own domain");
        };
        assert!(leader < rank);
        followers[leader] += 1;
    }
    assert!(followers.iter().all(|n| *n <= opts.fanout));
}

/// Guards against a failure domain without updates because its first host follows another one of the
/// same domain.
#[test]
fn leaders_first_of_domain_follows_a_primary_reader() {
    let opts = ReaderOptions::default();
    let in_fleet = Position { rank: 40, hosts: 50 };
    assert_eq!(leaders(in_fleet, Position { rank: 0, hosts: 9 }, &opts)[0], Leader::AnyDomain(0));
}

/// Guards against a primary reader that is refused by the store and follows no host, or itself.
#[test]
fn leaders_primary_reader_follows_the_others() {
    let opts = ReaderOptions::default();
    let in_fleet = Position { rank: 0, hosts: 50 };
    let all = leaders(in_fleet, Position { rank: 3, hosts: 9 }, &opts);
    assert_eq!(all, (1..opts.readers).map(Leader::AnyDomain).collect::<Vec<_>>());
}

/// Guards against a host that follows itself when it is the only one.
#[test]
fn leaders_alone_has_none() {
    let alone = Position { rank: 0, hosts: 1 };
    assert!(leaders(alone, alone, &ReaderOptions::default()).is_empty());
}
