//! Applies messages of peers to the state of the data path, and returns parts of that state for
//! peers and the status page.

use crate::shared::Shared;
use geraniummux_core::quarantine::{Block, CrashReport as CoreCrashReport};
use geraniummux_core::{Fingerprint, LoadReport, Time};
use geraniummux_wire::{CrashReport, ProbeResult, ProbedState};
use serde_json::json;
use std::sync::Arc;

/// Merges the load digest of a peer.
pub fn merge_load_digest(shared: &Shared, bytes: &[u8]) {
    shared.data.balancing.merge_digest(bytes, shared.clock.now());
}

/// Merges a crash report of a peer, or its retraction, before it is acknowledged. A restarted peer
/// numbers its reports from the start, so its incarnation is part of the origin.
pub fn merge_crash_report(
    shared: &Shared,
    from: &Arc<str>,
    incarnation: u64,
    crash_report: &CrashReport,
) {
    let fingerprint = Fingerprint::from(crash_report.fingerprint);
    if crash_report.retracted {
        shared.data.record_response(fingerprint);
        return;
    }
    shared.data.merge_crash_report(&CoreCrashReport {
        origin: format!("{from}/{incarnation}").into(),
        seq: crash_report.id,
        fingerprint,
        target: crash_report.target.to_string().into(),
    });
}

/// Returns the encoded blocks of quarantined requests, for a peer that starts or resumes after a
/// pause.
pub fn quarantine_snapshot(shared: &Shared) -> Vec<u8> {
    // Blocks consist of numbers, which always encode.
    postcard::to_stdvec(&shared.data.blocks()).unwrap_or_default()
}

/// Merges the blocks of quarantined requests of a peer; a snapshot that can't be decoded is
/// ignored.
pub fn merge_quarantine_snapshot(shared: &Shared, bytes: &[u8]) {
    if let Ok(blocks) = postcard::from_bytes::<Vec<Block>>(bytes) {
        shared.data.merge_blocks(&blocks);
    }
}

/// Records the result of an active probe that this host or a peer made.
pub fn record_probe(shared: &Shared, _pool: &str, result: &ProbeResult) {
    let report = match result.state {
        ProbedState::Ready => {
            Some(LoadReport { in_flight: result.in_flight, queued: result.queued })
        }
        _ => None,
    };
    shared.data.balancing.on_probe(result.target, report, shared.clock.now());
}

/// Returns this host's estimate of a target's load for the status page, or `None` for an unknown
/// target.
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
