//! What the data path does with messages of peers.

use crate::shared::Shared;
use geraniummux_core::quarantine::{Block, CrashReport as CoreCrashReport};
use geraniummux_core::{Fingerprint, LoadReport, Time};
use geraniummux_wire::{CrashReport, ProbeResult, ProbedState};
use serde_json::json;
use std::sync::Arc;

/// Takes in the load digest of a peer.
pub fn merge_load_digest(shared: &Shared, bytes: &[u8]) {
    shared.data.balancing.merge_digest(bytes, shared.clock.now());
}

/// Takes in a strike of a peer, or its retraction, before it is acknowledged. A restarted peer
/// numbers its strikes anew, so its incarnation is part of the origin.
pub fn merge_crash_report(
    shared: &Shared,
    from: &Arc<str>,
    incarnation: u64,
    crash_report: &CrashReport,
) {
    let fingerprint = Fingerprint::from(crash_report.fingerprint);
    if crash_report.retracted {
        shared.data.answered(fingerprint);
        return;
    }
    shared.data.merge_crash_report(&CoreCrashReport {
        origin: format!("{from}/{incarnation}").into(),
        seq: crash_report.id,
        fingerprint,
        target: crash_report.target.to_string().into(),
    });
}

/// Returns the quarantined requests for a peer that starts or resumes.
pub fn quarantine_snapshot(shared: &Shared) -> Vec<u8> {
    // Blocks have only numbers, which always encode.
    postcard::to_stdvec(&shared.data.blocks()).unwrap_or_default()
}

/// Takes in the quarantined requests of a peer; what can't be decoded is ignored.
pub fn merge_quarantine_snapshot(shared: &Shared, bytes: &[u8]) {
    if let Ok(blocks) = postcard::from_bytes::<Vec<Block>>(bytes) {
        shared.data.merge_blocks(&blocks);
    }
}

/// Takes in the result of a paid probe, of this host or of a peer.
pub fn record_probe(shared: &Shared, _pool: &str, result: &ProbeResult) {
    let report = match result.state {
        ProbedState::Ready => {
            Some(LoadReport { in_flight: result.in_flight, queued: result.queued })
        }
        _ => None,
    };
    shared.data.balancing.on_probe(result.target, report, shared.clock.now());
}

/// Returns the load of a target as this host estimates it.
pub fn target_load(
    shared: &Shared,
    pool: &str,
    target: &str,
    now: Time,
) -> Option<serde_json::Value> {
    let (estimate, in_flight, ejected) = shared.data.balancing.estimate(pool, target, now)?;
    Some(json!({
        "outstanding": estimate.outstanding,
        "latency_ms": estimate.latency_ms,
        "in_flight_here": in_flight,
        "ejected": ejected,
    }))
}
