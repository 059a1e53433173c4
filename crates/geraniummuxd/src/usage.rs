//! Writes the counts of served requests into the platform's monthly objects.

use crate::actions;
use crate::leases::Lease;
use crate::shared::Shared;
use geraniummux_core::usage::{Month, UsageObject, UsageWrite};
use geraniummux_platform::{Condition, Error, Key, Platform};
use serde_json::{Value, json};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Tries of one merge. What is not written stays known and goes into the next merge.
const MAX_TRIES: u32 = 8;
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the holder of the lease is told to the merge.
const LEASE_CHECK: Duration = Duration::from_millis(100);

fn key(month: Month) -> Key {
    Key::new("usage", month.to_string())
}

/// Follows the lease of the usage writer until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let lease = Lease::start(&shared, "usage");
    loop {
        tokio::time::sleep(LEASE_CHECK).await;
        let now = shared.clock.now();
        let holder = lease.held(now).is_some();
        shared.control.lock().usage.set_holder(now, holder);
    }
}

/// Merges all known counts of a month into its object; returns whether it contains them now.
pub async fn write_month(shared: &Arc<Shared>, month: Month) -> bool {
    for _ in 0..MAX_TRIES {
        match try_write(shared, month).await {
            Ok(write) => {
                let out = shared.control.lock().usage.on_written(&write);
                actions::usage(shared, out);
                return true;
            }
            // Merging again is safe whether or not the write took effect.
            Err(Failure::Platform(Error::Conflict | Error::Indeterminate(_))) => {}
            Err(e) => {
                let error = e.to_string();
                warn!(shared.log, "usage_not_written"; "month" => month.to_string(), "error" => error);
                shared.telemetry.count_event("usage_write_failures");
                return false;
            }
        }
        tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random::<f64>())).await;
    }
    warn!(shared.log, "usage_not_written"; "month" => month.to_string(), "error" => "gave up");
    false
}

enum Failure {
    Platform(Error),
    Merge(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Platform(e) => e.fmt(f),
            Failure::Merge(e) => e.fmt(f),
        }
    }
}

async fn try_write(shared: &Shared, month: Month) -> Result<UsageWrite, Failure> {
    let object = shared.platform.get(&key(month)).await.map_err(Failure::Platform)?;
    let write = {
        let state = shared.control.lock();
        let present = object.as_ref().map(|o| &*o.value);
        state.usage.encode(month, present, shared.clock.wall())
    };
    let mut write = write.map_err(|e| Failure::Merge(e.to_string()))?;
    if let Some(value) = write.value.take() {
        let condition = object.map_or(Condition::Absent, |o| Condition::Version(o.version));
        shared
            .platform
            .put(&key(month), value.into(), condition)
            .await
            .map_err(Failure::Platform)?;
    }
    Ok(write)
}

/// Hands the counts of this host on at the end of a shutdown: to peers, and to the platform.
pub async fn write_at_exit(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let (months, reports) = {
        let mut guard = shared.control.lock();
        let state = &mut *guard;
        let own = shared.control.counters();
        state.usage.merge_own(now, &own);
        // A tick one interval later reports the last counts to peers, for the case that the
        // platform is down.
        let later = now + geraniummux_core::usage::REPORT_INTERVAL;
        let reports = state.usage.tick(later, &own, &state.members);
        (state.usage.unwritten_months(), reports)
    };
    actions::usage(shared, reports);
    for month in months {
        let written = write_month(shared, month).await;
        info!(shared.log, "usage_handed_over"; "month" => month.to_string(), "written" => written);
    }
}

/// Reads the totals of a month from the platform.
///
/// # Errors
///
/// Describes why the object could not be read.
pub async fn totals(shared: &Shared, month: &str) -> Result<Value, String> {
    let object = shared.platform.get(&Key::new("usage", month)).await.map_err(|e| e.to_string())?;
    let totals = match object {
        Some(o) => UsageObject::decode(&o.value).map_err(|e| e.to_string())?.totals(),
        None => Vec::new(),
    };
    let mut rows: Vec<Value> = totals
        .into_iter()
        .map(
            |(tenant, class, served)| json!({ "tenant": tenant, "class": class, "served": served }),
        )
        .collect();
    rows.sort_by_key(|r| (r["tenant"].to_string(), r["class"].to_string()));
    Ok(json!({ "month": month, "totals": rows }))
}
