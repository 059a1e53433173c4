//! Allowances of teams: what all hosts together send in a window while allocators fail, and what it costs a team
//! that stays below its allowance.

use geraniummux_core::fleet::{
    ALLOCATORS, Allowance, AllowanceAllocator, AllowanceAnswer, AllowanceShare, AllowanceStock,
    TokenGrant, TokenState,
};
use geraniummux_core::{Time, UnixMs};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Number of hosts; the first three that run are the allocators.
const HOSTS: usize = 6;
/// Largest number of teams in a message.
const MAX_TEAMS: usize = 24;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::new("127.0.0.1".parse().unwrap(), 1_000 + i as u16)
}

/// The share of each of three allocators.
const SHARE: AllowanceShare =
    AllowanceShare::Allocator { part: 1.0 / ALLOCATORS as f64, slack: SLACK };

/// Returns the time of day, which runs like the steady clock.
fn wall(now: Time) -> UnixMs {
    UnixMs(1_700_000_000_000 + now.as_micros() / 1_000)
}

/// A host that may be an allocator, and answers unless it is down.
struct Allocator {
    allocator: AllowanceAllocator,
    is_up: bool,
}

/// Allocators, and the stocks of schedulers and hosts, with messages that take a millisecond each way.
struct Fleet {
    allowance: Allowance,
    allocators: Vec<Allocator>,
    /// The hosts that are allocators.
    holders: Vec<usize>,
    stocks: Vec<AllowanceStock>,
    team: Arc<str>,
    /// Whether the team sends requests.
    sends: bool,
    /// When requests were sent.
    sent: Vec<Time>,
    denied: usize,
    messages: usize,
}

impl Fleet {
    fn new(allowance: Allowance, stocks: usize) -> Self {
        let allocator = || Allocator { allocator: AllowanceAllocator::default(), is_up: true };
        Fleet {
            allowance,
            allocators: (0..HOSTS).map(|_| allocator()).collect(),
            holders: (0..ALLOCATORS).collect(),
            stocks: (0..stocks).map(|i| AllowanceStock::new((i as u64) << 32)).collect(),
            team: "team".into(),
            sends: true,
            sent: Vec::new(),
            denied: 0,
            messages: 0,
        }
    }

    /// Restarts an allocator, which knows nothing of what it granted.
    fn restart(&mut self, i: usize) {
        self.allocators[i] = Allocator { allocator: AllowanceAllocator::default(), is_up: true };
    }

    /// Restarts all hosts.
    fn restart_all(&mut self) {
        (0..self.allocators.len()).for_each(|i| self.restart(i));
        let numbers = self.stocks.len() as u64;
        self.stocks = (0..numbers).map(|i| AllowanceStock::new((100 + i) << 32)).collect();
    }

    /// Sends a request with a token of a stock if it gets one within 50 ms.
    fn request(&mut self, now: Time, s: usize) {
        let addrs: Vec<SocketAddr> = self.holders.iter().copied().map(addr).collect();
        for step in (0..50).step_by(2) {
            let now = now + ms(step);
            self.stocks[s].set_allocators(&addrs);
            if self.stocks[s].take(now, &self.team) {
                self.sent.push(now);
                return;
            }
            match self.stocks[s].state(now, &self.team) {
                TokenState::Denied(_) | TokenState::NoAllocator => {
                    self.denied += 1;
                    return;
                }
                TokenState::Available | TokenState::Pending => {}
            }
            self.stocks[s].set_waiting(now, &[(self.team.clone(), 1)]);
            self.exchange(now, s);
        }
    }

    /// Tells each host that runs whether it is an allocator.
    fn hold(&mut self, now: Time) {
        for (i, a) in self.allocators.iter_mut().enumerate().filter(|(_, a)| a.is_up) {
            let share = self.holders.contains(&i).then_some(SHARE);
            a.allocator.hold(now, wall(now), share);
        }
    }

    fn exchange(&mut self, now: Time, s: usize) {
        for message in self.stocks[s].messages(now, MAX_TEAMS) {
            self.messages += 1;
            let i = usize::from(message.to.port()) - 1_000;
            let a = &mut self.allocators[i];
            if !a.is_up {
                continue;
            }
            let Some(number) = message.number else {
                message.teams.iter().for_each(|t| a.allocator.take_back(now, t));
                continue;
            };
            let share = self.holders.contains(&i).then_some(SHARE);
            a.allocator.hold(now, wall(now), share);
            let grant = |t: &geraniummux_core::fleet::TokenRequest| {
                a.allocator.grant(now, &t.team, self.allowance, t.tokens)
            };
            let grants = message.teams.iter().filter_map(grant).collect();
            let answer = AllowanceAnswer::Granted(grants);
            self.stocks[s].on_answer(now + ms(2), message.to, number, answer);
        }
    }

    /// Returns the largest number of requests in a window.
    fn most_in_window(&self) -> usize {
        let mut sent = self.sent.clone();
        sent.sort_unstable();
        let in_window = |i: usize| sent[i..].iter().take_while(|t| **t < sent[i] + WINDOW).count();
        (0..sent.len()).map(in_window).max().unwrap_or(0)
    }

    fn bound(&self) -> f64 {
        let allowed = self.allowance.per_s * WINDOW.as_secs_f64() + self.allowance.burst;
        allowed * (1.0 + OVERAGE) + SLACK
    }
}

/// Sends `per_s` requests a second through random stocks for a time, with `at` called before each millisecond.
fn play<F>(fleet: &mut Fleet, per_s: f64, seconds: u64, mut at: F)
where
    F: FnMut(&mut Fleet, u64),
{
    let mut rng = StdRng::seed_from_u64(7);
    for step in 0..seconds * 1_000 {
        at(fleet, step);
        let now = START + ms(step);
        let mut expected = per_s / 1_000.0;
        while fleet.sends && rng.random::<f64>() < expected {
            expected -= 1.0;
            let stock = rng.random_range(0..fleet.stocks.len());
            fleet.request(now, stock);
        }
        if step % 30 == 0 {
            fleet.hold(now);
            for s in 0..fleet.stocks.len() {
                fleet.stocks[s].set_waiting(now, &[]);
                fleet.exchange(now, s);
            }
        }
    }
}

fn large_team() -> Allowance {
    Allowance { per_s: 290.0, burst: 290.0 }
}

fn small_team() -> Allowance {
    Allowance { per_s: 1.8, burst: 1.8 }
}

/// Guards against a team that sends six times its usual load through two schedulers and many hosts.
#[test]
fn stock_hot_team_stays_within_allowance() {
    for allowance in [large_team(), small_team()] {
        for stocks in [2, 184] {
            let mut fleet = Fleet::new(allowance, stocks);
            play(&mut fleet, allowance.per_s * 4.0, 12, |_, _| {});
            let most = fleet.most_in_window() as f64;
            assert!(most <= fleet.bound(), "{stocks} stocks: {most} above {}", fleet.bound());
            let used = fleet.sent.len() as f64 / (allowance.per_s * 12.0);
            assert!(used > 0.85, "{stocks} stocks: only {used} of the allowance was used");
        }
    }
}

/// Guards against rejections of a team below its allowance, and against a message for each of its requests.
#[test]
fn stock_usual_load_is_not_denied() {
    let mut fleet = Fleet::new(large_team(), 2);
    play(&mut fleet, 0.6 * large_team().per_s, 10, |_, _| {});
    let requests = fleet.sent.len() + fleet.denied;
    assert!(fleet.denied * 100 <= requests, "{} of {requests} denied", fleet.denied);
    assert!(fleet.messages * 5 < requests, "{} messages for {requests}", fleet.messages);
}

/// Guards against allocators that start with full buckets: all hosts restart during a team's burst.
#[test]
fn stock_all_hosts_restart_stays_within_allowance() {
    for allowance in [large_team(), small_team()] {
        let mut fleet = Fleet::new(allowance, 40);
        play(&mut fleet, allowance.per_s * 5.0, 10, |fleet, step| {
            if step == 4_000 {
                fleet.restart_all();
            }
        });
        let most = fleet.most_in_window() as f64;
        assert!(most <= fleet.bound(), "{most} above {}", fleet.bound());
    }
}

/// Guards against an outage of a team while one of the allocators is down, and against a successor that grants what
/// the one before has granted.
#[test]
fn stock_one_allocator_down_serves_usual_load() {
    let mut fleet = Fleet::new(large_team(), 2);
    play(&mut fleet, 0.6 * large_team().per_s, 10, |fleet, step| match step {
        3_000 => fleet.allocators[0].is_up = false,
        5_000 => fleet.restart(0),
        _ => {}
    });
    let requests = fleet.sent.len() + fleet.denied;
    assert!(fleet.denied * 20 <= requests, "{} of {requests} denied", fleet.denied);
    assert!(fleet.most_in_window() as f64 <= fleet.bound());
}

/// Guards against an allowance that is exceeded by the tokens of a stock which froze and resumes.
#[test]
fn take_after_freeze_old_tokens_are_not_used() {
    let mut fleet = Fleet::new(large_team(), 1);
    play(&mut fleet, 200.0, 2, |_, _| {});
    let now = START + ms(2_000) + ms(900);
    assert!(!fleet.stocks[0].take(now, &fleet.team.clone()));
}

/// Guards against requests that wait for allocators none of which answers.
#[test]
fn state_no_allocator_answers_is_known() {
    let mut fleet = Fleet::new(large_team(), 1);
    fleet.allocators.iter_mut().for_each(|a| a.is_up = false);
    for step in 0..=6 {
        let now = START + ms(30 * step);
        let team = fleet.team.clone();
        fleet.stocks[0].set_allocators(&[addr(0), addr(1), addr(2)]);
        fleet.stocks[0].set_waiting(now, &[(team, 1)]);
        fleet.exchange(now, 0);
    }
    let state = fleet.stocks[0].state(START + ms(185), &fleet.team);
    assert_eq!(state, TokenState::NoAllocator);
}

/// Guards against an answer with more tokens than were asked for, or with those of another team.
#[test]
fn on_answer_more_than_asked_is_not_used() {
    let mut stock = AllowanceStock::new(7);
    let (team, other): (Arc<str>, Arc<str>) = ("team".into(), "other".into());
    stock.set_allocators(&[addr(0)]);
    stock.set_waiting(START, &[(team.clone(), 2)]);
    let sent = stock.messages(START, MAX_TEAMS);
    let grant =
        |team: &Arc<str>| TokenGrant { team: team.clone(), tokens: u32::MAX, next_ms: None };
    let answer = AllowanceAnswer::Granted(vec![grant(&team), grant(&other)]);
    assert!(stock.on_answer(START, addr(0), sent[0].number.unwrap(), answer));
    let taken = (0..5).filter(|_| stock.take(START, &team)).count();
    assert_eq!((taken, stock.take(START, &other)), (2, false));
}

/// Guards against a rate that was lowered and keeps the tokens of the higher one.
#[test]
fn grant_lowered_allowance_caps_tokens() {
    let mut allocator = AllowanceAllocator::default();
    let team: Arc<str> = "team".into();
    let share = Some(AllowanceShare::Allocator { part: 1.0, slack: 0.0 });
    let high = Allowance { per_s: 100.0, burst: 100.0 };
    for step in 0..20 {
        let now = START + ms(step * 500);
        allocator.hold(now, wall(now), share);
        allocator.grant(now, &team, high, 1);
    }
    let now = START + ms(10_000);
    allocator.hold(now, wall(now), share);
    let low = Allowance { per_s: 2.0, burst: 2.0 };
    let granted = allocator.grant(now, &team, low, 500).unwrap().tokens;
    assert!(granted <= 3, "{granted} tokens granted");
}

/// Guards against hosts that don't know each other and together grant more than the allowance.
#[test]
fn grant_hosts_alone_stay_within_allowance() {
    const MANY: usize = 184;
    for allowance in [large_team(), small_team()] {
        let team: Arc<str> = "team".into();
        let mut allocators = vec![AllowanceAllocator::default(); MANY];
        let share = AllowanceShare::Alone { part: 1.0 / MANY as f64 };
        let mut granted = 0;
        for step in 0..200 {
            let now = START + ms(step * 25);
            for a in &mut allocators {
                a.hold(now, wall(now), Some(share));
                granted += a.grant(now, &team, allowance, 9).unwrap().tokens;
            }
        }
        let allowed = allowance.per_s * 5.0 + allowance.burst;
        assert!(f64::from(granted) <= allowed, "{granted} tokens, {allowed} allowed");
        // A host that has less than a token of a small team grants none.
        let usual = if allowance == large_team() { allowance.per_s * 4.0 } else { 0.0 };
        assert!(f64::from(granted) >= usual, "only {granted} tokens");
    }
}

/// Grants all tokens that an allocator has.
fn grant_all(allocator: &mut AllowanceAllocator, now: Time) -> u32 {
    allocator.grant(now, &"team".into(), large_team(), u32::MAX).unwrap().tokens
}

/// Lets an allocator hold its share for some time, so that it has its part of the burst, which it has not granted.
fn hold_until_full(allocator: &mut AllowanceAllocator, now: Time) -> Time {
    for step in 0..20 {
        allocator.hold(now + ms(500 * step), wall(now + ms(500 * step)), Some(SHARE));
        allocator.grant(now + ms(500 * step), &"team".into(), large_team(), 1);
    }
    now + ms(500 * 20)
}

/// Guards against an allocator that grants a burst which another one has granted while it held the share (QUOTA): it
/// was none for some time, was paused or suspended, or was alone.
#[test]
fn grant_share_held_again_has_no_burst() {
    type Interruption = fn(&mut AllowanceAllocator, Time) -> (Time, UnixMs);
    let lost: Interruption = |allocator, now| {
        allocator.hold(now, wall(now), None);
        (now + ms(100), wall(now + ms(100)))
    };
    let paused: Interruption = |_, now| (now + ms(3_000), wall(now + ms(3_000)));
    let suspended: Interruption = |_, now| (now + ms(100), wall(now + ms(3_000)));
    let alone: Interruption = |allocator, now| {
        allocator.hold(now, wall(now), Some(AllowanceShare::Alone { part: 0.1 }));
        (now + ms(100), wall(now + ms(100)))
    };
    for (name, interrupt) in
        [("lost", lost), ("paused", paused), ("suspended", suspended), ("alone", alone)]
    {
        let mut allocator = AllowanceAllocator::default();
        let now = hold_until_full(&mut allocator, START);
        let (now, wall_now) = interrupt(&mut allocator, now);
        allocator.hold(now, wall_now, Some(SHARE));
        let granted = grant_all(&mut allocator, now);
        assert!(granted <= 3, "{name}: {granted} tokens granted");
    }
    let mut allocator = AllowanceAllocator::default();
    let now = hold_until_full(&mut allocator, START);
    allocator.hold(now, wall(now), Some(SHARE));
    let granted = grant_all(&mut allocator, now);
    assert!(granted > 90, "only {granted} tokens of a share that was held all the time");
    allocator.hold(now, wall(now), None);
    assert_eq!(allocator.grant(now, &"team".into(), large_team(), 1), None);
}

/// Stops the hosts in turn, one each second, from `from` on, and starts each again after `down`. The allocators are the
/// first in `order` that run.
fn stop_in_turn(fleet: &mut Fleet, step: u64, from: u64, down: u64, order: &[usize]) {
    for i in 0..HOSTS {
        let at = from + 1_000 * i as u64;
        if step == at {
            fleet.allocators[i].is_up = false;
        } else if step == at + down {
            fleet.restart(i);
        }
    }
    let running = order.iter().copied().filter(|i| fleet.allocators[*i].is_up);
    fleet.holders = running.take(ALLOCATORS).collect();
}

/// Guards against allocators that take each other's place in a rolling restart and grant a burst more than once
/// (QUOTA). The team is calm for some time before the second round, and then sends above its allowance.
#[test]
fn stock_hosts_stop_in_turn_twice_stays_within_allowance() {
    let long_burst = Allowance { per_s: 100.0, burst: 900.0 };
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..HOSTS).collect();
        order.shuffle(&mut rng);
        let down = rng.random_range(300..4_000);
        for allowance in [long_burst, small_team()] {
            let mut fleet = Fleet::new(allowance, 2);
            play(&mut fleet, allowance.per_s * 4.5, 30, |fleet, step| {
                let from = if step < 18_000 { 2_000 } else { 22_000 };
                stop_in_turn(fleet, step, from, down, &order);
                fleet.sends = !(9_000..19_600).contains(&step);
            });
            let most = fleet.most_in_window() as f64;
            assert!(most <= fleet.bound(), "seed {seed}: {most} above {}", fleet.bound());
        }
    }
}

/// Guards against hosts that each have a part of the slack again and again while all of them restart (QUOTA): a small
/// team sends far above its allowance.
#[test]
fn stock_all_hosts_restart_in_series_stays_within_allowance() {
    let mut fleet = Fleet::new(small_team(), 4);
    play(&mut fleet, small_team().per_s * 40.0, 12, |fleet, step| {
        if (4_000..8_000).contains(&step) && step % 1_000 == 0 {
            fleet.restart_all();
        }
    });
    let most = fleet.most_in_window() as f64;
    assert!(most <= fleet.bound(), "{most} above {}", fleet.bound());
}

/// Guards against memory that grows with the names of teams that ever sent requests.
#[test]
fn messages_idle_teams_are_forgotten() {
    let mut stock = AllowanceStock::new(7);
    stock.set_allocators(&[addr(0)]);
    for i in 0..50 {
        let now = START + ms(i * 400);
        let team: Arc<str> = format!("zebra-{i}").into();
        stock.set_waiting(now, &[(team.clone(), 1)]);
        let number = stock.messages(now, 9).iter().find_map(|m| m.number).unwrap();
        let grant = TokenGrant { team: team.clone(), tokens: 1, next_ms: None };
        assert!(stock.on_answer(now, addr(0), number, AllowanceAnswer::Granted(vec![grant])));
        assert!(stock.take(now, &team));
        stock.set_waiting(now, &[]);
    }
    stock.messages(START + ms(60_000), 9);
    assert!(!format!("{stock:?}").contains("zebra"), "{stock:?}");
}
