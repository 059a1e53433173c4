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
