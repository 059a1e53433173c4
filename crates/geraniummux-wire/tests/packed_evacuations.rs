//! Changes of the configuration between builds with and without the extension.

use geraniummux_core::fleet::{ConfigChange, ConfigEdition, Evacuations, FleetConfig, Revision};
use geraniummux_wire::PackedConfigChange;

const EDITION: ConfigEdition = ConfigEdition { version: 7, era: 2 };

fn of_evacuations() -> ConfigChange {
    let evacuations = Evacuations::new(Revision::new(2, 9), vec!["b".into(), "a".into()]);
    ConfigChange::of_evacuations(EDITION, None, evacuations)
}

/// Decodes a change as build 072b7f0 does, which does not read on behind it.
fn decoded_by_old_build(packed: &PackedConfigChange) -> ConfigChange {
    let encoded = postcard::to_stdvec(packed).unwrap();
    let (len, data): (u32, Vec<u8>) = postcard::from_bytes(&encoded).unwrap();
    let encoded = lz4_flex::block::decompress(&data, len as usize).unwrap();
    postcard::from_bytes(&encoded).unwrap()
}

/// Guards against evacuations that get lost on the way to a follower.
#[test]
fn pack_evacuations_are_unpacked() {
    let change = of_evacuations();
    assert_eq!(PackedConfigChange::pack(&change).unwrap().unpack().unwrap(), change);
}

/// Guards against a message with evacuations that build 072b7f0 can't read, or by which it replaces its
/// configuration: it adopts newer editions only.
#[test]
fn pack_evacuations_old_build_finds_no_newer_edition() {
    let packed = PackedConfigChange::pack(&of_evacuations()).unwrap();
    let change = decoded_by_old_build(&packed);
    assert_eq!((change.base, change.edition, change.extension), (Some(EDITION), EDITION, None));
}

/// Guards against bytes of build 072b7f0 that are not readable, or are taken for the end of all evacuations.
#[test]
fn unpack_bytes_of_old_build_has_no_extension() {
    let config = FleetConfig { version: 7, era: 2, ..FleetConfig::default() };
    let change = ConfigChange { extension: None, ..ConfigChange::whole(&config) };
    let unpacked = PackedConfigChange::pack(&change).unwrap().unpack().unwrap();
    assert_eq!(unpacked, change);
}
