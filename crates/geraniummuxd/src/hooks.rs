//! What the data path does with messages of peers.

use crate::shared::Shared;
use geraniummux_core::quarantine::Strike as CoreStrike;
use geraniummux_core::{Fingerprint, LoadReport, Time};
use geraniummux_wire::{ProbeResult, ProbedState, Strike};
use serde_json::json;
use std::sync::Arc;

/// Takes in the load digest of a peer.
pub fn digest(shared: &Shared, bytes: &[u8]) {
    shared.data.balancing.merge_digest(bytes, shared.clock.now());
}

/// Returns a fingerprint as messages carry it.
pub fn wire_fingerprint(fingerprint: Fingerprint) -> u128 {
    u128::from(fingerprint.tenant) << 64 | u128::from(fingerprint.request)
}

/// Takes in a strike of a peer, before it is acknowledged.
pub fn strike(shared: &Shared, from: &Arc<str>, strike: &Strike) {
    let fingerprint = Fingerprint {
        tenant: (strike.fingerprint >> 64) as u64,
        request: strike.fingerprint as u64,
    };
    shared.data.merge_strike(&CoreStrike {
        origin: from.clone(),
        seq: strike.id,
        fingerprint,
        target: strike.target.to_string().into(),
    });
}

/// Returns the quarantined requests for a peer that starts or resumes.
pub fn quarantine(_shared: &Shared) -> Vec<u8> {
    Vec::new()
}

/// Takes in the quarantined requests of a peer.
pub fn merge_quarantine(_shared: &Shared, _bytes: &[u8]) {}

/// Takes in the result of a paid probe, of this host or of a peer.
pub fn probe(shared: &Shared, _pool: &str, result: &ProbeResult) {
    let report = (result.state == ProbedState::Ready)
        .then_some(LoadReport { in_flight: result.in_flight, queued: result.queued });
    shared.data.balancing.on_probe(result.target, report, shared.clock.now());
}

/// Returns the load of a target as this host estimates it.
pub fn load(shared: &Shared, pool: &str, target: &str, now: Time) -> Option<serde_json::Value> {
    let (estimate, in_flight, ejected) = shared.data.balancing.estimate(pool, target, now)?;
    Some(json!({
        "outstanding": estimate.outstanding,
        "latency_ms": estimate.latency_ms,
        "in_flight": in_flight,
        "ejected": ejected,
    }))
}
