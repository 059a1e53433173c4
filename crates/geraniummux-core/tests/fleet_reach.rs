//! Whether a host reaches the targets, and the peers that connect it to them.

use geraniummux_core::Time;
use geraniummux_core::fleet::{ReachOptions, RelayPeer, Relays, TargetPath, TargetReach};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(i: usize) -> Arc<str> {
    format!("t-{i}").into()
}

fn reach() -> TargetReach {
    TargetReach::new(ReachOptions::default())
}

/// Returns the state of a host whose links to all targets fail while a peer has its own.
fn cut_off() -> TargetReach {
    let mut reach = reach();
    for i in 0..4 {
        reach.on_failed(NOW, &name(i));
        if reach.path(NOW) == TargetPath::DirectThenRelayed {
            reach.on_relayed(NOW, &name(i));
        }
    }
    reach
}

/// Guards against requests that fail on a host without links although peers have theirs (RECOVER).
#[test]
fn path_all_targets_fail_and_a_peer_reaches_them_is_relayed() {
    let reach = cut_off();
    assert!(reach.is_cut_off());
    assert_eq!(reach.path(NOW + Duration::from_secs(60)), TargetPath::Relayed);
}

/// Guards against a host that burdens peers because single targets are down.
#[test]
fn path_one_target_fails_again_and_again_is_direct() {
    let mut reach = reach();
    for i in 0..20 {
        reach.on_failed(NOW + ms(i * 100), &name(0));
    }
    assert_eq!(reach.path(NOW + ms(2_000)), TargetPath::Direct);
}

/// Guards against a host that counts as cut off while it reaches some targets.
#[test]
fn path_some_targets_accept_is_direct() {
    let mut reach = reach();
    for i in 0..20 {
        reach.on_failed(NOW, &name(i));
        reach.on_relayed(NOW, &name(i));
        reach.on_accepted(NOW);
    }
    assert_eq!(reach.path(NOW), TargetPath::Direct);
    assert!(!reach.is_cut_off());
}

/// Guards against a host that takes targets which are down for a cut of its own.
#[test]
fn path_targets_down_for_all_is_never_relayed_only() {
    let mut reach = reach();
    for i in 0..20 {
        let now = NOW + ms(i * 50);
        reach.on_failed(now, &name(i as usize));
        if reach.path(now) == TargetPath::DirectThenRelayed {
            reach.on_relay_failed(now);
            assert_eq!(reach.path(now), TargetPath::Direct);
        }
    }
    assert!(!reach.is_cut_off());
}

/// Guards against failures long ago that make a host ask peers for each connection.
#[test]
fn path_failures_long_ago_is_direct() {
    let mut reach = reach();
    reach.on_failed(NOW, &name(0));
    reach.on_failed(NOW, &name(1));
    assert_eq!(reach.path(NOW), TargetPath::DirectThenRelayed);
    assert_eq!(reach.path(NOW + Duration::from_secs(3)), TargetPath::Direct);
}

/// Guards against a host that goes on through peers when its links are back, and against one that flaps
/// between both because single connections are accepted.
#[test]
fn on_accepted_links_return_after_connections_in_a_row() {
    let mut reach = cut_off();
    assert_eq!(reach.on_accepted(NOW + ms(500)), None);
    reach.on_failed(NOW + ms(800), &name(7));
    assert_eq!(reach.on_accepted(NOW + ms(1_000)), None);
    assert_eq!(reach.path(NOW + ms(1_000)), TargetPath::Relayed);
    assert_eq!(reach.on_accepted(NOW + ms(1_300)), Some(ms(1_300)));
    assert_eq!(reach.path(NOW + ms(1_300)), TargetPath::Direct);
}

fn peers(count: u8, same_domain: bool) -> Vec<RelayPeer> {
    let net = if same_domain { 1 } else { 2 };
    let addr = |i| SocketAddr::from(([127, 0, net, i], 7));
    (0..count).map(|i| RelayPeer { addr: addr(i), same_domain }).collect()
}

/// Guards against bytes between failure domains while peers of the host's own domain can connect it.
#[test]
fn choose_own_domain_first() {
    let all: Vec<_> = peers(6, false).into_iter().chain(peers(6, true)).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = Relays::new(ReachOptions::default()).choose(NOW, &all, &mut rng);
    let is_own: Vec<bool> = chosen.iter().map(|p| p.same_domain).collect();
    assert_eq!(is_own, [true, true, false, false]);
}

/// Guards against a host that asks only peers which are cut off with it: a whole domain may be.
#[test]
fn choose_own_domain_cut_off_asks_others_at_once() {
    let all: Vec<_> = peers(57, true).into_iter().chain(peers(57, false)).collect();
    let mut relays = Relays::new(ReachOptions::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asked_in_vain = 0;
    for _ in 0..60 {
        let chosen = relays.choose(NOW, &all, &mut rng);
        let other = chosen.iter().position(|p| !p.same_domain);
        let other = other.expect("a peer of another domain");
        asked_in_vain += other;
        chosen[..other].iter().for_each(|p| relays.avoid(NOW, p.addr));
    }
    assert_eq!(asked_in_vain, 57);
}

/// Guards against a peer that is never asked again after it could not help once.
#[test]
fn choose_avoided_peer_is_asked_later() {
    let all = peers(1, true);
    let mut relays = Relays::new(ReachOptions::default());
    let mut rng = SmallRng::seed_from_u64(1);
    relays.avoid(NOW, all[0].addr);
    assert!(relays.choose(NOW, &all, &mut rng).is_empty());
    assert_eq!(relays.choose(NOW + Duration::from_secs(4), &all, &mut rng), all);
}

/// Guards against one peer that bears the requests of all hosts that are cut off.
#[test]
fn choose_spreads_over_peers() {
    let all = peers(10, true);
    let relays = Relays::new(ReachOptions::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first: Vec<_> = (0..200).map(|_| relays.choose(NOW, &all, &mut rng)[0].addr).collect();
    first.sort();
    first.dedup();
    assert_eq!(first.len(), all.len());
}
