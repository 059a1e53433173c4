//! Distinction between an outage of the platform's store and a host that alone is cut off from it.

use geraniummux_core::Time;
use geraniummux_host::freshness::Freshness;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Guards against treating targets that left as live ones whose registrations expired, on a host that
/// starts to read the store because the other readers were cut off from it.
#[test]
fn on_store_call_first_call_answered_is_no_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(5_000), true);
    assert!(!freshness.in_expiry_grace(at(5_000)));
}

/// Guards against treating targets that left as live ones whose registrations expired, on a host that
/// alone was cut off from the store and received updates from its peers.
#[test]
fn on_store_call_cut_off_with_current_peers_is_no_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_store_call(at(4_000), false);
    freshness.as_of = at(4_900);
    freshness.on_store_call(at(5_000), true);
    assert!(!freshness.in_expiry_grace(at(5_000)));
}

/// Guards against live targets being dropped after an outage of the store.
#[test]
fn on_store_call_answered_after_outage_starts_expiry_grace() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_store_call(at(5_000), true);
    assert!(freshness.in_expiry_grace(at(5_000)));
    assert!(!freshness.in_expiry_grace(at(9_000)));
}

/// Guards against live targets being dropped by hosts that learn of the outage only from a peer.
#[test]
fn extend_expiry_grace_covers_relayed_changes() {
    let mut freshness = Freshness::new(START);
    freshness.extend_expiry_grace(at(100));
    assert!(freshness.in_expiry_grace(at(200)));
    assert!(!freshness.in_expiry_grace(at(1_000)));
}

/// Guards against targets that left being kept in use (DRAIN) by a host that was cut off from the store and
/// from all peers, takes that for an outage of the store, and is first heard by hosts that were cut off, too.
#[test]
fn on_store_call_cut_off_from_all_is_no_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_update(at(3_900), at(1_000));
    freshness.on_store_call(at(4_000), true);
    assert!(!freshness.in_expiry_grace(at(4_000)));
}

/// Guards against live targets being dropped after an outage of the store, on a host that heard all the
/// while from its peers that they had no current data either.
#[test]
fn on_store_call_outage_for_all_starts_expiry_grace() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    for ms in (1_300..5_000).step_by(300) {
        freshness.on_update(at(ms), at(1_000));
    }
    freshness.on_store_call(at(5_000), true);
    assert!(freshness.in_expiry_grace(at(5_000)));
}

/// Guards against targets that left being kept in use (DRAIN) by hosts that had current data all the while,
/// because a host that was cut off takes that for an outage of the store and relays it.
#[test]
fn extend_expiry_grace_current_copy_ignores_it() {
    let mut freshness = Freshness::new(START);
    for ms in (300..10_000).step_by(300) {
        freshness.on_update(at(ms), at(ms));
    }
    freshness.extend_expiry_grace(at(10_000));
    assert!(!freshness.in_expiry_grace(at(10_000)));
}

/// Expiry grace, and the time for which a target that leaves may still get requests.
const LAPSE: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(2);

/// Guards against a target that leaves after an outage of the store and is kept in use for longer than it
/// serves (DRAIN), because its entry might be one that expired.
#[test]
fn grace_of_removed_entry_ends_before_the_target_stops_serving() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_store_call(at(5_000), true);
    for ms in (5_000..9_000).step_by(100) {
        let grace = freshness.grace_of_removed_entry(at(ms), LAPSE, DRAIN);
        assert!(grace <= Duration::from_millis(1_500), "{ms}: {grace:?}");
        // Targets register again within two seconds of the end of an outage, and their entries arrive
        // within one more.
        assert!(at(ms) + grace <= at(8_000).max(at(ms)), "{ms}: {grace:?}");
    }
    assert_eq!(freshness.grace_of_removed_entry(at(5_000), LAPSE, DRAIN).as_millis(), 1_500);
}

/// Guards against the same on a host that knows of the outage by its stale copy and from its leader.
#[test]
fn grace_of_removed_entry_relayed_ends_after_the_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_update(at(1_000), at(1_000));
    for ms in (5_000..9_000).step_by(100) {
        freshness.extend_expiry_grace(at(ms));
        let grace = freshness.grace_of_removed_entry(at(ms), LAPSE, DRAIN);
        assert!(at(ms) + grace <= at(8_000).max(at(ms)), "{ms}: {grace:?}");
        freshness.on_update(at(ms), at(ms));
    }
}

/// Guards against final refusals of keys by a host whose copy of the store is out of date.
#[test]
fn is_config_current_until_a_change_may_be_in_force_elsewhere() {
    let mut freshness = Freshness::new(START);
    freshness.on_update(at(1_000), at(900));
    assert!(freshness.is_config_current(at(3_400)));
    assert!(!freshness.is_config_current(at(3_401)));
    freshness.on_update(at(3_500), at(3_450));
    assert!(freshness.is_config_current(at(3_500)));
}

/// Guards against a host that takes its configuration for the newest one after it got an older one than its peers
/// have.
#[test]
fn on_config_adopted_older_than_that_of_peers_is_not_current() {
    let mut freshness = Freshness::new(START);
    freshness.on_peer_config_version(at(100), 3, 1);
    freshness.on_peer_config_version(at(200), 2, 1);
    assert!(!freshness.is_config_current(at(200)));
    freshness.on_config_adopted(at(300), 2);
    assert_eq!(freshness.config_behind_since, Some(at(300)));
    freshness.on_config_adopted(at(400), 3);
    assert!(freshness.is_config_current(at(400)));
}
