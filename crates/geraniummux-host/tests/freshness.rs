//! Whether the platform's store was away, or only this host cut off from it.

use geraniummux_core::Time;
use geraniummux_host::freshness::Freshness;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Guards against a host that begins to read because the readers were cut off, and takes targets that left
/// meanwhile for living ones whose entries lapsed.
#[test]
fn on_store_call_first_call_answered_is_no_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(5_000), true);
    assert!(!freshness.in_expiry_grace(at(5_000)));
}

/// Guards against the same on a host that alone was cut off from the store and heard from its peers.
#[test]
fn on_store_call_cut_off_with_fresh_news_is_no_outage() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_store_call(at(4_000), false);
    freshness.as_of = at(4_900);
    freshness.on_store_call(at(5_000), true);
    assert!(!freshness.in_expiry_grace(at(5_000)));
}

/// Guards against living targets being dropped after an outage of the store.
#[test]
fn on_store_call_answered_after_outage_lets_entries_lapse() {
    let mut freshness = Freshness::new(START);
    freshness.on_store_call(at(1_000), false);
    freshness.on_store_call(at(5_000), true);
    assert!(freshness.in_expiry_grace(at(5_000)));
    assert!(!freshness.in_expiry_grace(at(9_000)));
}

/// Guards against hosts that hear of the outage from a peer only.
#[test]
fn on_lapsing_news_lets_entries_lapse_for_the_relay() {
    let mut freshness = Freshness::new(START);
    freshness.on_relayed_expiry_grace(at(100));
    assert!(freshness.in_expiry_grace(at(200)));
    assert!(!freshness.in_expiry_grace(at(1_000)));
}
