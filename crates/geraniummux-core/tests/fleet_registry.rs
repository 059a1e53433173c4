//! The registry of targets and its copies on other hosts.

use geraniummux_core::Time;
use geraniummux_core::fleet::{RegisteredTarget, RegistryChange, RegistryDelta, TargetRegistry};
use proptest::prelude::*;
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000_000);
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

fn target(id: &str, leaving: bool) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        pool: "ledger".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 6,
        leaving,
        warm_up: Duration::from_secs(3),
        started_unix_ms: 0,
    }
}

fn put(revision: u64, id: &str) -> (u64, RegistryChange) {
    (revision, RegistryChange::Put(target(id, false)))
}

fn removed(revision: u64, id: &str) -> (u64, RegistryChange) {
    (revision, RegistryChange::Removed(id.into()))
}

fn delta(from: Option<u64>, to: u64, changes: Vec<(u64, RegistryChange)>) -> RegistryDelta {
    RegistryDelta { from, to, changes }
}

fn ids(registry: &TargetRegistry, now: Time) -> Vec<String> {
    registry.targets(now).map(|(t, _)| t.id.to_string()).collect()
}

fn listed(changes: Vec<(u64, RegistryChange)>) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    assert!(registry.apply(NOW, delta(None, 10, changes), Duration::ZERO));
    registry
}

/// Guards against a gap in the changes going unnoticed.
#[test]
fn apply_later_start_is_refused() {
    let mut registry = listed(vec![put(5, "t1")]);
    assert!(!registry.apply(NOW, delta(Some(11), 12, vec![put(12, "t2")]), Duration::ZERO));
    assert_eq!(ids(&registry, NOW), ["t1"]);
}

/// Guards against an outdated list, as a host that was cut off may send, that brings targets back.
#[test]
fn apply_older_list_is_refused() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 12, vec![removed(11, "t1")]), Duration::ZERO);
    assert!(!registry.apply(NOW, delta(None, 9, vec![put(5, "t1")]), Duration::ZERO));
    assert!(ids(&registry, NOW).is_empty());
}

/// Guards against an older change of an entry overriding a newer one when changes overlap.
#[test]
fn apply_overlapping_changes_keep_newest() {
    let mut registry = listed(vec![(9, RegistryChange::Put(target("t1", true)))]);
    registry.apply(NOW, delta(Some(7), 12, vec![put(8, "t1"), put(12, "t2")]), Duration::ZERO);
    let leaving: Vec<bool> = registry.targets(NOW).map(|(t, _)| t.leaving).collect();
    assert_eq!(leaving, [true, false]);
}

#[test]
fn apply_removed_is_gone_at_once() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

/// Guards against living targets being dropped because their entries lapsed while the platform was
/// away.
#[test]
fn apply_removed_after_outage_counts_on_until_lapse() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW + EXPIRY_GRACE / 2), ["t1"]);
    assert!(ids(&registry, NOW + EXPIRY_GRACE).is_empty());
    assert!(registry.drop_expired(NOW + EXPIRY_GRACE));
}

#[test]
fn apply_lapsed_entry_that_returns_stays() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), EXPIRY_GRACE);
    registry.apply(NOW, delta(Some(11), 13, vec![put(13, "t1")]), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW + EXPIRY_GRACE * 2), ["t1"]);
}

/// Guards against entries of a list that no longer has them being kept for good.
#[test]
fn apply_list_removes_unlisted() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    registry.apply(NOW, delta(None, 20, vec![put(6, "t2")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

/// Guards against an entry that can't be read naming a target, or disturbing the others.
#[test]
fn apply_unusable_entry_names_no_target() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    let change = (11, RegistryChange::Unusable("t1".into()));
    registry.apply(NOW, delta(Some(10), 11, vec![change]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

#[test]
fn targets_after_start_are_slow_for_a_while() {
    let registry = listed(vec![put(5, "t1")]);
    let slow = |now| registry.targets(now).all(|(_, slow)| slow);
    assert!(slow(NOW + Duration::from_secs(2)));
    assert!(!slow(NOW + Duration::from_secs(3)));
}

proptest! {
    /// Guards against copies that differ from the original after any mix of lists and changes.
    #[test]
    fn snapshot_applied_elsewhere_is_the_same(
        steps in proptest::collection::vec((0u8..6, any::<bool>()), 1..40),
        copied in 0usize..40,
    ) {
        let mut original = listed(Vec::new());
        let mut copy = TargetRegistry::default();
        let mut revision = 10;
        for (i, (id, keep)) in steps.into_iter().enumerate() {
            revision += 1;
            let id = format!("t{id}");
            let change = if keep { put(revision, &id) } else { removed(revision, &id) };
            let step = delta(Some(revision - 1), revision, vec![change]);
            prop_assert!(original.apply(NOW, step.clone(), Duration::ZERO));
            if !copy.apply(NOW, step, Duration::ZERO) && i >= copied {
                prop_assert!(copy.apply(NOW, original.snapshot().unwrap(), Duration::ZERO));
            }
        }
        copy.apply(NOW, original.snapshot().unwrap(), Duration::ZERO);
        prop_assert_eq!(ids(&original, NOW), ids(&copy, NOW));
        prop_assert_eq!(original.revision(), copy.revision());
    }
}
