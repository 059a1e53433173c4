//! What the data path does with messages of peers.

use crate::shared::Shared;
use geraniummux_core::quarantine::Strike as CoreStrike;
use geraniummux_core::{Fingerprint, LoadReport, Time};
use geraniummux_wire::{ProbeResult, ProbedState, Strike};
use serde_json::Value;
use std::sync::Arc;

/// Takes in the load digest of a peer.
pub fn digest(shared: &Shared, bytes: &[u8]) {
    shared.data.balancing.merge_digest(bytes, shared.clock.now());
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

/// Returns the message with a strike, or `None` if its target is not an address.
pub fn strike_message(strike: &CoreStrike) -> Option<Strike> {
    let Fingerprint { tenant, request } = strike.fingerprint;
    Some(Strike {
        id: strike.seq,
        fingerprint: u128::from(tenant) << 64 | u128::from(request),
        target: strike.target.parse().ok()?,
        age_ms: 0,
        retracted: false,
    })
}

/// Returns the quarantined requests for a peer that starts or resumes.
pub fn quarantine(_shared: &Shared) -> Vec<u8> {
    Vec::new()
}

/// Takes in the quarantined requests of a peer.
pub fn merge_quarantine(_shared: &Shared, _bytes: &[u8]) {}

/// Takes in the result of a paid probe, of this host or of a peer.
pub fn probe(shared: &Shared, result: &ProbeResult) {
    let report = match result.state {
        ProbedState::Ready | ProbedState::Draining => {
            Some(LoadReport { in_flight: result.in_flight, queued: result.queued })
        }
        // A target that starts refuses requests, which the data path hears from it.
        ProbedState::Starting => return,
        ProbedState::Failed => None,
    };
    let age = std::time::Duration::from_millis(u64::from(result.age_ms));
    shared.data.balancing.on_probe(result.target, report, shared.clock.now() - age);
}

/// Returns the load of a target as this host estimates it.
pub fn load(shared: &Shared, pool: &str, target: &str, now: Time) -> Option<Value> {
    shared.data.balancing.report(pool, target, now)
}
