//! Differences between versions of the configuration.

use geraniummux_core::fleet::{
    ApiKey, Authentication, ConfigChange, Evacuations, FleetConfig, FleetRoute, PoolShare,
    Revision, Team,
};
use proptest::prelude::*;
use std::sync::Arc;
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
    let authentication = Authentication::Disabled;
    let is_complete = true;
    FleetConfig { version, era: 1, routes, authentication, is_complete, ..FleetConfig::default() }
}

/// What an operator may state about the teams, with at most two of them, each with at most one key.
fn authentication() -> impl Strategy<Value = Authentication<Vec<Arc<Team>>>> {
    let team = |name: &str, keys: Option<u8>| {
        let keys = keys.iter().map(|k| ApiKey::new(&format!("{name}-{k}"))).collect();
        Arc::new(Team { name: name.into(), keys, priority: None, allowance: None })
    };
    let keys = || prop::option::of(prop::option::of(0..2u8));
    prop_oneof![
        Just(Authentication::Disabled),
        (keys(), keys()).prop_map(move |(a, b)| {
            let a = a.map(|keys| team("a", keys));
            Authentication::Teams(a.into_iter().chain(b.map(|keys| team("b", keys))).collect())
        }),
    ]
}

/// Returns the change as a host whose build does not state whether callers need keys sends it.
fn without_statement(mut change: ConfigChange) -> ConfigChange {
    if let Some(extension) = &mut change.extension {
        extension.authentication = Authentication::Unknown;
    }
    change
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

proptest! {
    /// Guards against an empty list of teams that is taken for no list, or the reverse, after any series of versions:
    /// by followers of each change, by new ones, and by those that hear some changes from a build that can't tell.
    #[test]
    fn apply_series_of_teams_is_never_less_strict(
        versions in prop::collection::vec((authentication(), any::<bool>()), 1..8),
    ) {
        let mut leader: Option<FleetConfig> = None;
        let mut mixed: Option<FleetConfig> = None;
        for (version, (authentication, is_stated)) in (1..).zip(versions) {
            let next = FleetConfig { authentication, ..config(version, &[(1, version)]) };
            let changes = match &leader {
                Some(base) => vec![ConfigChange::between(base, &next), ConfigChange::whole(&next)],
                None => vec![ConfigChange::whole(&next)],
            };
            for change in changes {
                let followed = change.clone().apply(leader.as_ref());
                prop_assert_eq!(followed.as_ref(), Some(&next));
                prop_assert!(next.is_confirmed());
                let former = mixed.as_ref().map(|c| c.authentication.clone());
                let change = if is_stated { change } else { without_statement(change) };
                let heard = change.apply(mixed.as_ref()).unwrap();
                match (&heard.authentication, &next.authentication) {
                    (Authentication::PresumedDisabled, _) => prop_assert!(matches!(
                        former,
                        Some(Authentication::Disabled | Authentication::PresumedDisabled)
                    )),
                    (Authentication::Unknown, _) => prop_assert!(!is_stated),
                    (heard, sent) => prop_assert_eq!(heard, sent),
                }
                prop_assert_eq!(next.supersedes(Some(&heard)), !heard.is_confirmed());
                if next.version > mixed.as_ref().map_or(0, |c| c.version) {
                    mixed = Some(heard);
                }
            }
            leader = Some(next);
        }
    }
}

/// Guards against a host that admits all callers after a build that can't tell has removed the last team, and against
/// one that refuses all in a fleet without teams during an upgrade.
#[test]
fn apply_without_statement_keeps_what_was_in_force() {
    let disabled = config(1, &[]);
    let teams = |version, teams| FleetConfig {
        authentication: Authentication::Teams(teams),
        ..config(version, &[])
    };
    let team = Team { name: "a".into(), keys: vec![], priority: None, allowance: None };
    let (one, empty) = (teams(1, vec![Arc::new(team)]), teams(1, vec![]));
    let next = config(2, &[]);
    for (current, expected) in [
        (None, Authentication::Unknown),
        (Some(&disabled), Authentication::PresumedDisabled),
        (Some(&one), Authentication::Unknown),
        (Some(&empty), Authentication::Unknown),
    ] {
        let base = current.cloned().unwrap_or_default();
        for change in [ConfigChange::whole(&next), ConfigChange::between(&base, &next)] {
            if change.base.is_none() || current.is_some() {
                let heard = without_statement(change).apply(current).unwrap();
                assert_eq!(heard.authentication, expected);
                assert!(!heard.is_confirmed() && next.supersedes(Some(&heard)));
            }
        }
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
