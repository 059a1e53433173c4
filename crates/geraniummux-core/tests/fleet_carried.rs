//! Requests that a connection has carried.

use geraniummux_core::fleet::CarriedRequests;

#[test]
fn add_repeated_id_is_refused() {
    let mut carried = CarriedRequests::default();
    for id in ["b", "a", "c"] {
        assert!(carried.may_carry(id.as_bytes()));
        assert!(carried.add(id.as_bytes()));
    }
    assert!(!carried.contains(b"d"));
    for id in ["a", "b", "c"] {
        assert!(carried.contains(id.as_bytes()));
        assert!(!carried.may_carry(id.as_bytes()));
        assert!(!carried.add(id.as_bytes()));
    }
    assert!(carried.add(b"d"));
}

/// Guards against memory that grows with the requests of a connection, and against ids that are forgotten instead.
#[test]
fn add_to_full_connection_is_refused() {
    let mut carried = CarriedRequests::default();
    let mut count = 0_u32;
    while !carried.is_full() {
        assert!(carried.add(&count.to_le_bytes()));
        count += 1;
        assert!(count <= 1 << 16, "no bound");
    }
    assert!(!carried.may_carry(b"new"));
    assert!(!carried.add(b"new"));
    assert!((0..count).all(|n| !carried.may_carry(&n.to_le_bytes())));
}
