//! The target registry and its copies on other hosts.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    Evacuations, RegisteredTarget, RegistryChange, RegistryDelta, Revision, TargetRegistry,
};
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
    delta_in(1, from, to, changes)
}

/// Returns a delta of an era of the store.
fn delta_in(
    era: u64,
    from: Option<u64>,
    to: u64,
    changes: Vec<(u64, RegistryChange)>,
) -> RegistryDelta {
    let at = |number| Revision::new(era, number);
    let changes = changes.into_iter().map(|(number, change)| (at(number), change)).collect();
    RegistryDelta { from: from.map(at), to: at(to), changes }
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

/// Returns a target that was started at a time.
fn started(revision: u64, id: &str, leaving: bool, started_unix_ms: u64) -> (u64, RegistryChange) {
    let target = RegisteredTarget { started_unix_ms, ..target(id, leaving) };
    (revision, RegistryChange::Put(target))
}

/// Guards against a limit or a leave that a target's former run stated, as a host repeats it, being taken for the
/// word of the registered run (Starved).
#[test]
fn may_be_of_registered_run_is_not_what_was_said_before() {
    let later = NOW + Duration::from_secs(9);
    let may_be =
        |registry: &TargetRegistry, said_at| registry.may_be_of_registered_run("t1", said_at);
    let mut registry = listed(vec![started(5, "t1", false, 100)]);
    assert!(may_be(&registry, Time::ZERO), "registered before the first list");
    assert!(registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), Duration::ZERO));
    assert!(!may_be(&registry, NOW), "not registered");
    let next = started(12, "t1", false, 50);
    assert!(registry.apply(later, delta(Some(11), 12, vec![next]), Duration::ZERO));
    assert!(!may_be(&registry, later - Duration::from_millis(1)));
    assert!(may_be(&registry, later));
    let changed = started(13, "t1", true, 50);
    let much_later = later + Duration::from_secs(9);
    assert!(registry.apply(much_later, delta(Some(12), 13, vec![changed]), Duration::ZERO));
    assert!(may_be(&registry, later), "the run has only changed its entry");
}

/// Time after a restore in which the store removes the entries of targets that are gone.
const CONFIRM_AFTER: Duration = Duration::from_secs(6);

/// Guards against a list of a restored store that is refused since its revision is lower, so that changes of
/// the new history are missed (CONFIG).
#[test]
fn apply_list_of_later_era_replaces_higher_revision() {
    let mut registry = listed(vec![put(5, "t1")]);
    assert!(registry.apply(NOW, delta_in(2, None, 7, vec![put(6, "t2")]), Duration::ZERO));
    assert_eq!(ids(&registry, NOW), ["t2"]);
    assert_eq!(registry.revision(), Some(Revision::new(2, 7)));
    assert!(registry.apply(NOW, delta_in(2, Some(7), 8, vec![put(8, "t3")]), Duration::ZERO));
    assert_eq!(ids(&registry, NOW), ["t2", "t3"]);
}

/// Guards against an answer or an update of the lost history that arrives after the new one was read.
#[test]
fn apply_earlier_era_is_refused() {
    let mut registry = listed(vec![put(5, "t1")]);
    registry.apply(NOW, delta_in(2, None, 7, vec![put(5, "t1")]), Duration::ZERO);
    assert!(!registry.apply(NOW, delta(None, 90, vec![put(90, "t2")]), Duration::ZERO));
    assert!(!registry.apply(NOW, delta(Some(7), 90, vec![put(90, "t2")]), Duration::ZERO));
    assert_eq!(ids(&registry, NOW), ["t1"]);
}

/// Guards against requests to a target that has left and that a copy of the store brings back (DRAIN).
#[test]
fn apply_later_era_departed_target_stays_away() {
    let mut registry = listed(vec![started(5, "t1", false, 100), put(6, "t2")]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), Duration::ZERO);
    let list = || delta_in(2, None, 7, vec![started(5, "t1", false, 100), put(6, "t2")]);
    registry.apply(NOW, list(), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW), ["t2"]);
    let later = NOW + Duration::from_secs(2);
    registry.apply(later, list(), EXPIRY_GRACE);
    assert_eq!(ids(&registry, later), ["t2"]);
    registry.apply(later, delta_in(2, Some(7), 8, vec![removed(5, "t1")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW + CONFIRM_AFTER * 2), ["t2"]);
}

/// Guards against a target that is not used again although it lives: its registration had only expired
/// before the store was restored.
#[test]
fn apply_later_era_departed_target_returns_with_its_write_or_after_a_while() {
    let mut registry = listed(vec![started(5, "t1", false, 100), started(6, "t2", false, 100)]);
    let gone = vec![removed(11, "t1"), removed(12, "t2")];
    registry.apply(NOW, delta(Some(10), 12, gone), Duration::ZERO);
    let list = vec![started(5, "t1", false, 100), started(6, "t2", false, 100)];
    registry.apply(NOW, delta_in(2, None, 7, list), EXPIRY_GRACE);
    assert!(ids(&registry, NOW).is_empty());
    let write = vec![started(8, "t1", false, 100)];
    registry.apply(NOW, delta_in(2, Some(7), 8, write), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t1"]);
    assert_eq!(ids(&registry, NOW + CONFIRM_AFTER), ["t1", "t2"]);
}

/// Guards against a target that was started anew under its identity and is taken for the run that has left.
#[test]
fn apply_later_era_later_run_of_departed_target_is_used() {
    let mut registry = listed(vec![started(5, "t1", false, 100)]);
    registry.apply(NOW, delta(Some(10), 11, vec![removed(11, "t1")]), Duration::ZERO);
    let list = vec![started(7, "t1", false, 200)];
    registry.apply(NOW, delta_in(2, None, 7, list), EXPIRY_GRACE);
    assert_eq!(ids(&registry, NOW), ["t1"]);
}

/// Guards against requests to a leaving target that a copy of the store shows as ready (DRAIN).
#[test]
fn apply_later_era_leaving_target_stays_leaving() {
    let mut registry = listed(vec![started(9, "t1", true, 100)]);
    let leaving = |r: &TargetRegistry| r.targets(NOW).map(|(t, _)| t.leaving).collect::<Vec<_>>();
    for era in 2..4 {
        for _ in 0..2 {
            let list = vec![started(5, "t1", false, 100)];
            registry.apply(NOW, delta_in(era, None, 7, list), EXPIRY_GRACE);
            assert_eq!(leaving(&registry), [true], "era {era}");
        }
    }
    let list = vec![started(5, "t1", false, 200)];
    registry.apply(NOW, delta_in(4, None, 7, list), EXPIRY_GRACE);
    assert_eq!(leaving(&registry), [false]);
}

/// Guards against a target that is replaced by an earlier run of it which a copy of the store still lists.
#[test]
fn apply_later_era_earlier_run_does_not_replace_the_present_one() {
    let mut registry = listed(vec![started(9, "t1", false, 200)]);
    let list = || delta_in(2, None, 7, vec![started(5, "t1", false, 100)]);
    registry.apply(NOW, list(), EXPIRY_GRACE);
    registry.apply(NOW, list(), EXPIRY_GRACE);
    assert_eq!(registry.run("t1").map(|run| run.started_unix_ms), Some(200));
    assert_eq!(ids(&registry, NOW), ["t1"]);
    let gone = NOW + EXPIRY_GRACE;
    registry.drop_expired(gone);
    registry.apply(gone, list(), EXPIRY_GRACE);
    assert!(ids(&registry, gone).is_empty());
    let write = vec![started(8, "t1", false, 200)];
    registry.apply(gone, delta_in(2, Some(7), 8, write), Duration::ZERO);
    assert_eq!(ids(&registry, gone), ["t1"]);
}

/// Guards against data of unknown age that is kept although the store was read.
#[test]
fn apply_list_replaces_data_of_unknown_age() {
    let mut registry = TargetRegistry::default();
    registry.apply(NOW, delta_in(0, None, 0, vec![put(0, "t1")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t1"]);
    registry.apply(NOW, delta_in(2, None, 7, vec![put(6, "t2")]), Duration::ZERO);
    assert_eq!(ids(&registry, NOW), ["t2"]);
    assert!(!registry.apply(NOW, delta_in(0, None, 0, vec![put(0, "t1")]), Duration::ZERO));
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

/// Guards against targets of an evacuated domain in the table, the scheduler or the candidates, which all take them
/// from here, and against entries that are lost with them.
#[test]
fn targets_evacuated_domain_are_left_out_until_withdrawn() {
    let mut other = target("t2", false);
    other.failure_domain = "b".into();
    let mut registry = listed(vec![put(1, "t1"), (2, RegistryChange::Put(other))]);
    let at = |number| Revision::new(1, number);
    let evacuated = Evacuations::new(at(5), vec!["a".into()]);
    let difference = registry.set_evacuations(evacuated).unwrap();
    assert_eq!((difference.evacuated, difference.returned), (vec!["a".into()], vec![]));
    assert_eq!(ids(&registry, NOW), ["t2"]);
    assert_eq!(registry.snapshot().unwrap().changes.len(), 2);
    let difference = registry.set_evacuations(Evacuations::new(at(6), Vec::new())).unwrap();
    assert_eq!((difference.evacuated, difference.returned), (vec![], vec!["a".into()]));
    assert_eq!(ids(&registry, NOW), ["t1", "t2"]);
}

/// Guards against an evacuation that a copy of before, for example of a lagging leader, sets or ends.
#[test]
fn set_evacuations_not_newer_is_ignored() {
    let mut registry = listed(vec![put(1, "t1")]);
    let evacuated = |era, number, domains: &[&str]| {
        let domains = domains.iter().map(|d| (*d).into()).collect();
        Evacuations::new(Revision::new(era, number), domains)
    };
    assert!(registry.set_evacuations(evacuated(2, 5, &["a"])).is_some());
    for older in [evacuated(2, 5, &[]), evacuated(2, 4, &[]), evacuated(1, 90, &[])] {
        assert!(registry.set_evacuations(older).is_none());
    }
    assert_eq!(ids(&registry, NOW), Vec::<String>::new());
}
