//! The target registry and its copies on other hosts.

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

/// Guards against a delta that is applied although changes before it are missing.
#[test]
fn apply_later_start_is_refused() {
    let mut registry = listed(vec![put(5, "t1")]);
    assert!(!registry.apply(NOW, delta(Some(11), 12, vec![put(12, "t2")]), Duration::ZERO));
    assert_eq!(ids(&registry, NOW), ["t1"]);
}

/// Guards against an outdated full list, for example from a host that was cut off, that brings
/// removed targets back.
#[test]
fn apply_older_list_is_refused() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 12, vec![removed(11, "t1")]), Duration::ZERO);
    assert!(!registry.apply(NOW, delta(None, 9, vec![put(5, "t1")]), Duration::ZERO));
    assert!(ids(&registry, NOW).is_empty());
}

/// Guards against an older change of an entry that overrides a newer one when deltas overlap.
#[test]
fn apply_overlapping_changes_keep_newest() {
    let mut registry = listed(vec![(9, RegistryChange::Put(target("t1", true)))]);
    registry.apply(NOW, delta(Some(7), 12, vec![put(8, "t1"), put(12, "t2")]), Duration::ZERO);
    let leaving: Vec<bool> = registry.targets(NOW).map(|(t, _)| t.leaving).collect();
    assert_eq!(leaving, [true, false]);
}

/// Guards against a removed target that stays in use although the store was available.
#[test]
fn apply_removed_is_gone_at_once() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

/// Guards against live targets that are dropped because their registrations expired while the
/// platform's store was unavailable.
#[test]
fn apply_removed_after_outage_stays_until_grace_ends() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW + EXPIRY_GRACE / 2), ["t1"]);
    assert!(ids(&registry, NOW + EXPIRY_GRACE).is_empty());
    assert!(registry.drop_expired(NOW + EXPIRY_GRACE));
}

/// Guards against a target that is dropped at the end of the grace although it has registered
/// again.
#[test]
fn apply_expired_entry_that_returns_stays() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), EXPIRY_GRACE);
    registry.apply(NOW, delta(Some(11), 13, vec![put(13, "t1")]), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW + EXPIRY_GRACE * 2), ["t1"]);
}

/// Guards against entries that are kept although a full list no longer contains them.
#[test]
fn apply_list_removes_unlisted() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    registry.apply(NOW, delta(None, 20, vec![put(6, "t2")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

/// Guards against an unreadable entry that yields a target or affects other entries.
#[test]
fn apply_unusable_entry_names_no_target() {
    let mut registry = listed(vec![put(5, "t1"), put(6, "t2")]);
    let change = (11, RegistryChange::Unusable("t1".into()));
    registry.apply(NOW, delta(Some(10), 11, vec![change]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
}

/// Guards against a warm-up that ends too early or never.
#[test]
fn targets_after_start_are_warming_up_for_a_while() {
    let registry = listed(vec![put(5, "t1")]);
    let warming_up = |now| registry.targets(now).all(|(_, warming_up)| warming_up);
    assert!(warming_up(NOW + Duration::from_secs(2)));
    assert!(!warming_up(NOW + Duration::from_secs(3)));
}

proptest! {
    /// Guards against copies that differ from the original after any sequence of full lists and
    /// deltas.
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
