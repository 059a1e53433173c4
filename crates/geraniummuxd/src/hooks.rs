//! What the data path does with messages of peers.

use crate::shared::Shared;
use geraniummux_wire::{ProbeResult, Strike};
use std::sync::Arc;

/// Takes in the load digest of a peer.
pub fn digest(_shared: &Shared, _bytes: &[u8]) {}

/// Takes in a strike of a peer, before it is acknowledged.
pub fn strike(_shared: &Shared, _from: &Arc<str>, _strike: &Strike) {}

/// Returns the quarantined requests for a peer that starts or resumes.
pub fn quarantine(_shared: &Shared) -> Vec<u8> {
    Vec::new()
}

/// Takes in the quarantined requests of a peer.
pub fn merge_quarantine(_shared: &Shared, _bytes: &[u8]) {}

/// Takes in the result of a paid probe, of this host or of a peer.
pub fn probe(_shared: &Shared, _pool: &str, _result: &ProbeResult) {}

/// Returns the load of a target as this host estimates it.
pub fn load(
    _shared: &Shared,
    _pool: &str,
    _target: &str,
    _now: geraniummux_core::Time,
) -> Option<serde_json::Value> {
    None
}
