//! Which team a request belongs to, and which requests are refused for their keys.

use geraniummux_core::fleet::{
    ApiKey, Authentication, FleetConfig, FleetRoute, KeyRefusal, PoolShare, RouteIndex, Team,
    identify_team,
};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const KEY: &[u8] = b"secret-a";

fn route(public: bool) -> FleetRoute {
    FleetRoute {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        shares: vec![PoolShare { pool: "p".into(), weight: 1.0 }],
        idempotent: true,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        priority: 1,
        public,
    }
}

fn team(name: &str, keys: &[&str], priority: Option<u32>) -> Arc<Team> {
    let keys = keys.iter().map(|k| ApiKey::new(k)).collect();
    Arc::new(Team { name: name.into(), keys, priority, allowance: None })
}

fn index(teams: Vec<Arc<Team>>, is_complete: bool) -> RouteIndex {
    index_with(Authentication::Teams(teams), is_complete)
}

fn index_with(authentication: Authentication<Vec<Arc<Team>>>, is_complete: bool) -> RouteIndex {
    let routes = vec![route(false)];
    RouteIndex::new(&FleetConfig { authentication, routes, is_complete, ..FleetConfig::default() })
}

fn two_teams(is_complete: bool) -> RouteIndex {
    let teams = vec![team("b", &["secret-b"], None), team("a", &["secret-c", "secret-a"], None)];
    index(teams, is_complete)
}

/// Returns the name of the team, "" if there is none, or the reason of the refusal.
fn identify(index: &RouteIndex, public: bool, keys: &[&[u8]], is_current: bool) -> String {
    match identify_team(index, &route(public), keys.iter().copied(), is_current) {
        Ok(team) => team.map_or(String::new(), |t| t.name.to_string()),
        Err(refusal) => refusal.as_str().to_owned(),
    }
}

/// Guards against requests that need keys although the operator has no list of teams.
#[test]
fn identify_team_without_list_of_teams_needs_no_key() {
    for authentication in [Authentication::Disabled, Authentication::PresumedDisabled] {
        for is_complete in [true, false] {
            let index = index_with(authentication.clone(), is_complete);
            for keys in [&[][..], &[KEY], &[KEY, KEY]] {
                assert_eq!(identify(&index, false, keys, false), "");
            }
        }
    }
}

/// Guards against an empty list of teams, or teams that have no keys left, for which each request is admitted.
#[test]
fn identify_team_without_any_valid_key_refuses() {
    for teams in [vec![], vec![team("a", &[], None), team("b", &[], None)]] {
        let index = index(teams, true);
        assert_eq!(identify(&index, false, &[], true), "no_key");
        assert_eq!(identify(&index, false, &[KEY, KEY], true), "several_keys");
        for key in [KEY, b""] {
            assert_eq!(identify(&index, false, &[key], true), "unknown_key");
            assert_eq!(identify(&index, false, &[key], false), "key_unconfirmed");
            assert_eq!(identify(&index, true, &[key], true), "");
        }
        assert_eq!(identify(&index, true, &[], true), "");
    }
}

/// Guards against requests that are admitted, or finally refused, while it is unknown whether callers need keys.
#[test]
fn identify_team_unknown_authentication_admits_public_routes_only() {
    for is_complete in [true, false] {
        let index = index_with(Authentication::Unknown, is_complete);
        for keys in [&[][..], &[KEY], &[KEY, KEY]] {
            assert_eq!(identify(&index, false, keys, true), "key_unconfirmed");
            assert_eq!(identify(&index, true, keys, true), "");
        }
    }
}

/// Guards against keys and forged names of teams that reach targets although callers may need keys, and against
/// changed requests of a fleet whose callers need none.
#[test]
fn removes_caller_identity_unless_authentication_is_disabled() {
    let removes = |a: &Authentication<_>, is_complete| {
        index_with(a.clone(), is_complete).removes_caller_identity()
    };
    assert!(!removes(&Authentication::Disabled, true));
    assert!(removes(&Authentication::Disabled, false));
    for a in
        [Authentication::Teams(vec![]), Authentication::PresumedDisabled, Authentication::Unknown]
    {
        assert!(removes(&a, true) && removes(&a, false), "{a:?}");
    }
}

/// Guards against a key that is attributed to another team, or compared by its beginning only.
#[test]
fn identify_team_known_key() {
    let index = two_teams(true);
    for (key, name) in [("secret-a", "a"), ("secret-b", "b"), ("secret-c", "a")] {
        for is_current in [true, false] {
            assert_eq!(identify(&index, false, &[key.as_bytes()], is_current), name);
        }
    }
    for key in ["", "secret", "secret-", "secret-aa", "Secret-a", "secret-a, secret-a", "\u{ff}"] {
        assert_eq!(identify(&index, false, &[key.as_bytes()], true), "unknown_key", "{key:?}");
    }
}

/// Guards against requests without exactly one known key on a route that needs one.
#[test]
fn identify_team_refuses_without_one_known_key() {
    let index = two_teams(true);
    assert_eq!(identify(&index, false, &[], true), "no_key");
    assert_eq!(identify(&index, false, &[KEY, KEY], true), "several_keys");
    assert_eq!(identify(&index, false, &[KEY, b"other"], true), "several_keys");
    assert_eq!(identify(&index, false, &[b"other"], true), "unknown_key");
}

/// Guards against the refusal of a key that may have been added in the meantime, which callers take for final.
#[test]
fn identify_team_out_of_date_leaves_unknown_keys_open() {
    let index = two_teams(true);
    assert_eq!(identify(&index, false, &[b"other"], false), "key_unconfirmed");
    assert_eq!(identify(&index, false, &[], false), "no_key");
    assert_eq!(identify(&index, false, &[KEY, KEY], false), "several_keys");
}

/// Guards against final refusals by a host that got the latest change from a peer whose build knows neither teams nor
/// public routes.
#[test]
fn identify_team_incomplete_leaves_all_refusals_open() {
    let index = two_teams(false);
    for keys in [&[][..], &[&b"other"[..]], &[KEY, KEY]] {
        assert_eq!(identify(&index, false, keys, true), "key_unconfirmed");
    }
    assert_eq!(identify(&index, false, &[KEY], true), "a");
}

/// Guards against public routes that need keys, and against a guess of the team when there is more than one key.
#[test]
fn identify_team_public_route() {
    let index = two_teams(true);
    for is_current in [true, false] {
        assert_eq!(identify(&index, true, &[KEY], is_current), "a");
        for keys in [&[][..], &[&b"other"[..]], &[KEY, KEY]] {
            assert_eq!(identify(&index, true, keys, is_current), "");
        }
    }
}

/// Guards against a team's priority that has no effect where hosts select targets themselves.
#[test]
fn is_urgent_by_the_priority_of_a_team() {
    let teams =
        vec![team("a", &["k1"], Some(0)), team("b", &["k2"], Some(5)), team("c", &["k3"], None)];
    let index = index(teams, true);
    let urgent = [0, 1, 5].map(|priority| index.is_urgent(&route(false), priority));
    assert_eq!(urgent, [true, true, false]);
}

/// Guards against keys in debug output, from where they get into logs.
#[test]
fn debug_output_hides_keys() {
    let index = two_teams(true);
    let authentication = Authentication::Teams(vec![team("a", &["secret-a"], None)]);
    let config = FleetConfig { authentication, ..Default::default() };
    let refusal = KeyRefusal::UnknownKey;
    for text in [format!("{index:?}"), format!("{config:#?}"), format!("{refusal:?}")] {
        assert!(!text.contains("secret"), "{text}");
    }
}

proptest! {
    /// Guards against a team for a request without its key.
    #[test]
    fn identify_team_only_by_an_own_key(
        keys in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..3), 0..3),
        public: bool,
        is_current: bool,
        is_complete: bool,
    ) {
        let index = index(vec![team("t", &["a", "b", "ab"], None)], is_complete);
        let found = identify_team(&index, &route(public), keys.iter().map(|k| &k[..]), is_current);
        let is_known = |k: &Vec<u8>| [&b"a"[..], b"b", b"ab"].contains(&&k[..]);
        prop_assert_eq!(matches!(found, Ok(Some(_))), keys.len() == 1 && is_known(&keys[0]));
        if let Ok(None) = found {
            prop_assert!(public);
        }
    }
}
