//! Changes of the configuration with and without the extension, between builds.

use geraniummux_core::fleet::{
    Allowance, ApiKey, ConfigChange, ConfigExtension, FleetConfig, FleetPool, FleetRoute,
    PoolShare, Team,
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
        teams: teams.iter().map(team).collect(),
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
        assert_eq!((applied.teams.len(), applied.is_complete), (teams, false));
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
    assert_eq!(Some(extension), change.extension);
}

/// Guards against other bytes from hosts that have an incomplete configuration than from those of the former build.
#[test]
fn pack_without_extension_is_the_former_encoding() {
    let incomplete = FleetConfig { is_complete: false, ..config(2, &["a"]) };
    let change = ConfigChange::whole(&incomplete);
    assert_eq!(PackedConfigChange::pack(&change).unwrap(), packed_by_former_build(&change));
}

/// Guards against a panic on an extension that is cut short, and against its acceptance.
#[test]
fn unpack_cut_extension_is_refused() {
    let change = ConfigChange::whole(&config(2, &["a"]));
    let bytes = unpacked_bytes(&PackedConfigChange::pack(&change).unwrap());
    let fixed = postcard::to_stdvec(&change).unwrap().len();
    for len in fixed + 1..bytes.len() {
        let data = lz4_flex::block::compress(&bytes[..len]);
        let packed = postcard::to_stdvec(&Packed { len: len as u32, data }).unwrap();
        let packed: PackedConfigChange = postcard::from_bytes(&packed).unwrap();
        assert!(packed.unpack().is_err(), "{len}");
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
