//! Differences between versions of the configuration.

use geraniummux_core::fleet::{
    ConfigChange, Evacuations, FleetConfig, FleetRoute, PoolShare, Revision,
};
use proptest::prelude::*;
use std::time::Duration;

fn route(name: u8, timeout_ms: u64) -> FleetRoute {
    FleetRoute {
        name: format!("r{name}").into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        shares: vec![PoolShare { pool: "p".into(), weight: 1.0 }],
        idempotent: true,
        max_attempts: 2,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(100),
        priority: 0,
        public: false,
    }
}

fn config(version: u64, routes: &[(u8, u64)]) -> FleetConfig {
    let routes = routes.iter().map(|(name, timeout)| route(*name, *timeout)).collect();
    FleetConfig { version, era: 1, routes, is_complete: true, ..FleetConfig::default() }
}

fn sorted(mut config: FleetConfig) -> FleetConfig {
    config.routes.sort_by(|a, b| (&a.name, a.timeout).cmp(&(&b.name, b.timeout)));
    config
}

proptest! {
    /// Guards against a follower whose configuration differs from its leader's.
    #[test]
    fn apply_change_between_any_versions_is_the_newer_one(
        old in prop::collection::vec((0..12u8, 1..4u64), 0..12),
        new in prop::collection::vec((0..12u8, 1..4u64), 0..12),
    ) {
        let (old, new) = (config(1, &old), config(2, &new));
        let applied = ConfigChange::between(&old, &new).apply(Some(&old));
        prop_assert_eq!(applied.map(sorted), Some(sorted(new)));
    }
}

/// Guards against a change that is applied to another version than the one that it is based on.
#[test]
fn apply_other_base_is_refused() {
    let (v1, v2, v3) = (config(1, &[(1, 1)]), config(2, &[(2, 1)]), config(3, &[(3, 1)]));
    let change = ConfigChange::between(&v1, &v2);
    assert_eq!(change.clone().apply(Some(&v3)), None);
    assert_eq!(change.apply(None), None);
}

/// Guards against a change that only brings evacuations and removes what its extension lacks, such as public routes.
#[test]
fn apply_evacuations_keeps_config() {
    let mut current = config(1, &[(1, 1), (2, 1)]);
    current.routes[0].public = true;
    let evacuations = Evacuations::new(Revision::new(1, 4), vec!["a".into()]);
    let change = ConfigChange::of_evacuations(current.edition(), None, evacuations);
    assert!(change.keeps_config());
    assert_eq!(change.apply(Some(&current)).as_ref(), Some(&current));
    assert!(!ConfigChange::between(&current, &config(2, &[])).keeps_config());
    assert!(!ConfigChange::whole(&current).keeps_config());
}
