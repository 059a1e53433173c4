//! Changes of the configuration with and without the extension, between builds.

use geraniummux_core::fleet::{
    Allowance, ApiKey, Authentication, ConfigChange, ConfigExtension, FleetConfig, FleetPool,
    FleetRoute, PoolShare, Team,
};
use geraniummux_wire::PackedConfigChange;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

const KEY: &str = "secret-of-team-a";

/// The encoding of a [`PackedConfigChange`], as both builds have it.
#[derive(Deserialize, Serialize)]
struct Packed {
    len: u32,
    data: Vec<u8>,
}

fn config(version: u64, teams: &[&str]) -> FleetConfig {
    let route = FleetRoute {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        shares: vec![PoolShare { pool: "p".into(), weight: 1.0 }],
        idempotent: true,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        priority: 0,
        public: true,
    };
    let pool = FleetPool {
        name: "p".into(),
        health_path: "/health".into(),
        max_connections: 10,
        warm_up_per_s: Some(7.1),
    };
    let team = |name: &&str| {
        Arc::new(Team {
            name: (*name).into(),
            keys: vec![ApiKey::new(&format!("secret-of-team-{name}"))],
            priority: Some(2),
            allowance: Some(Allowance { per_s: 10.0, burst: 5.0 }),
        })
    };
    FleetConfig {
        version,
        era: 1,
        routes: vec![route],
        pools: vec![pool],
        authentication: Authentication::Teams(teams.iter().map(team).collect()),
        is_complete: true,
        ..FleetConfig::default()
    }
}

fn unpacked_bytes(packed: &PackedConfigChange) -> Vec<u8> {
    let packed = postcard::to_stdvec(packed).unwrap();
    let Packed { len, data } = postcard::from_bytes(&packed).unwrap();
    lz4_flex::block::decompress(&data, len as usize).unwrap()
}

fn packed_by_former_build(change: &ConfigChange) -> PackedConfigChange {
    let encoded = postcard::to_stdvec(change).unwrap();
    let packed = Packed { len: encoded.len() as u32, data: lz4_flex::block::compress(&encoded) };
    postcard::from_bytes(&postcard::to_stdvec(&packed).unwrap()).unwrap()
}

/// Guards against teams, public routes and limits of cold targets that followers don't get.
#[test]
fn pack_with_extension_round_trip() {
    let (old, new) = (config(1, &["a", "b"]), config(2, &["b", "c"]));
    let whole = ConfigChange::whole(&new);
    let between = ConfigChange::between(&old, &new);
    assert!(whole.extension.is_some() && between.extension.is_some());
    for (change, base) in [(whole, None), (between, Some(&old))] {
        let unpacked = PackedConfigChange::pack(&change).unwrap().unpack().unwrap();
        assert_eq!(unpacked.extension, change.extension);
        assert_eq!(unpacked.apply(base).as_ref(), Some(&new));
    }
}

/// Guards against changes of a host of the former build that can't be read, or that end the teams.
#[test]
fn unpack_of_former_build_keeps_teams_and_is_incomplete() {
    let (old, new) = (config(1, &["a"]), config(2, &["a"]));
    for (change, teams) in [(ConfigChange::whole(&new), 0), (ConfigChange::between(&old, &new), 1)]
    {
        let unpacked = packed_by_former_build(&change).unpack().unwrap();
        assert_eq!(unpacked.extension, None);
        let applied = unpacked.apply(Some(&old)).unwrap();
        assert_eq!((applied.teams().len(), applied.is_complete), (teams, false));
        assert!(new.supersedes(Some(&applied)));
    }
}

/// Guards against changes that hosts of the former build can't read: they decode the change alone, and ignore what
/// follows.
#[test]
fn pack_with_extension_begins_with_the_change() {
    let change = ConfigChange::whole(&config(2, &["a"]));
    let bytes = unpacked_bytes(&PackedConfigChange::pack(&change).unwrap());
    let read: ConfigChange = postcard::from_bytes(&bytes).unwrap();
    let fixed = postcard::to_stdvec(&change).unwrap();
    assert_eq!(read.extension, None);
    assert_eq!(postcard::to_stdvec(&read).unwrap(), fixed);
    assert!(bytes.starts_with(&fixed));
    let (_, rest) = postcard::take_from_bytes::<ConfigChange>(&bytes).unwrap();
    let extension: ConfigExtension = postcard::from_bytes(rest).unwrap();
    assert_eq!(extension.authentication, Authentication::Unknown);
    let authentication = Authentication::Teams(());
    assert_eq!(Some(ConfigExtension { authentication, ..extension }), change.extension);
}

/// Guards against other bytes from hosts that have an incomplete configuration than from those of the former build.
#[test]
fn pack_without_extension_is_the_former_encoding() {
    let incomplete = FleetConfig { is_complete: false, ..config(2, &["a"]) };
    let change = ConfigChange::whole(&incomplete);
    assert_eq!(PackedConfigChange::pack(&change).unwrap(), packed_by_former_build(&change));
}

fn packed(bytes: &[u8]) -> PackedConfigChange {
    let packed = Packed { len: bytes.len() as u32, data: lz4_flex::block::compress(bytes) };
    postcard::from_bytes(&postcard::to_stdvec(&packed).unwrap()).unwrap()
}

/// Returns the bytes of a build that has the extension and does not state whether callers need keys.
fn bytes_without_statement(change: &ConfigChange) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(change).unwrap();
    bytes.extend(postcard::to_stdvec(change.extension.as_ref().unwrap()).unwrap());
    bytes
}

/// Guards against a panic on an extension that is cut short, and against its acceptance. What ends with the extension
/// is whole: some builds send no more.
#[test]
fn unpack_cut_extension_is_refused() {
    let change = ConfigChange::whole(&config(2, &["a"]));
    let bytes = unpacked_bytes(&PackedConfigChange::pack(&change).unwrap());
    let fixed = postcard::to_stdvec(&change).unwrap().len();
    let whole = bytes_without_statement(&change).len();
    assert_eq!(bytes.len(), whole + 1);
    for len in fixed + 1..whole {
        assert!(packed(&bytes[..len]).unpack().is_err(), "{len}");
    }
    let applied = packed(&bytes[..whole]).unpack().unwrap().apply(None);
    assert_eq!(applied, Some(config(2, &["a"])));
}

/// Guards against followers for which an empty list of teams and no list are the same.
#[test]
fn pack_states_whether_callers_need_keys() {
    let former = config(1, &["a"]);
    for authentication in [Authentication::Teams(vec![]), Authentication::Disabled] {
        let config = FleetConfig { authentication, ..config(2, &[]) };
        for change in [ConfigChange::whole(&config), ConfigChange::between(&former, &config)] {
            let unpacked = PackedConfigChange::pack(&change).unwrap().unpack().unwrap();
            let applied = unpacked.apply(Some(&former)).unwrap();
            assert_eq!(applied, config);
            assert!(applied.is_confirmed());
        }
    }
}

/// Guards against a statement that can't be told from that of another build: it is neither ignored nor taken for
/// "no keys".
#[test]
fn unpack_invalid_statement_is_refused() {
    let change = ConfigChange::whole(&config(2, &[]));
    let mut bytes = unpacked_bytes(&PackedConfigChange::pack(&change).unwrap());
    *bytes.last_mut().unwrap() = 0x7f;
    assert!(packed(&bytes).unpack().is_err());
}

/// Guards against a host that admits all callers because the last team was removed, as it heard from a build that does
/// not state whether callers need keys. That build reads the same bytes from this one, and ignores the statement.
#[test]
fn unpack_without_statement_is_unknown_unless_callers_needed_no_keys() {
    let (teams, empty) = (config(1, &["a"]), config(1, &[]));
    let disabled = FleetConfig { authentication: Authentication::Disabled, ..config(1, &[]) };
    let next = config(2, &[]);
    for (former, expected) in [
        (&teams, Authentication::Unknown),
        (&empty, Authentication::Unknown),
        (&disabled, Authentication::PresumedDisabled),
    ] {
        for change in [ConfigChange::whole(&next), ConfigChange::between(former, &next)] {
            let bytes = bytes_without_statement(&change);
            assert!(
                unpacked_bytes(&PackedConfigChange::pack(&change).unwrap()).starts_with(&bytes)
            );
            let applied = packed(&bytes).unpack().unwrap().apply(Some(former)).unwrap();
            assert_eq!(applied.authentication, expected);
            assert!(next.supersedes(Some(&applied)) && !applied.supersedes(Some(&next)));
        }
    }
}

/// Guards against keys in the debug output of messages.
#[test]
fn debug_output_hides_keys() {
    let change = ConfigChange::whole(&config(2, &["a"]));
    let packed = PackedConfigChange::pack(&change).unwrap();
    let bytes = format!("{:?}", KEY.as_bytes());
    for text in [format!("{change:?}"), format!("{packed:?}")] {
        assert!(!text.contains(KEY) && !text.contains(bytes.trim_matches(['[', ']'])), "{text}");
    }
}
