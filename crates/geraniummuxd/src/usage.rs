//! Merges the counts of served requests into the platform's monthly usage objects, and reads the
//! totals. The holder of the lease `lease/usage` does the periodic merges.

use crate::actions;
use crate::leases::Lease;
use crate::shared::Shared;
use geraniummux_core::usage::{Month, UsageObject, UsageWrite};
use geraniummux_platform::{Condition, Error, Key, Platform};
use serde_json::{Value, json};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts at one merge. Counts that are not written remain in memory and are
/// part of the next merge.
const MAX_WRITE_ATTEMPTS: u32 = 8;
/// Maximum of the random delay between two attempts at a merge.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the usage state machine is told whether this host holds the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn object_key(month: Month) -> Key {
    Key::new("usage", month.to_string())
}

/// Competes for the lease of the usage writer until the task is dropped, and tells the usage state
/// machine whether this host holds it.
pub async fn run(shared: Arc<Shared>) {
    let lease = Lease::start(&shared, "usage");
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = shared.clock.now();
        let holder = lease.held(now).is_some();
        shared.control.lock().usage.set_holder(now, holder);
    }
}

/// Merges this host's counts of a month, its own and those reported by peers, into the month's
/// object. Returns whether the object contains them now.
pub async fn write_month(shared: &Arc<Shared>, month: Month) -> bool {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match try_write(shared, month).await {
            Ok(write) => {
                let actions_due = shared.control.lock().usage.on_written(&write);
                actions::usage(shared, actions_due);
                return true;
            }
            // A second merge is safe whether or not the write took effect.
            Err(WriteError::Platform(Error::Conflict | Error::Indeterminate(_))) => {}
            Err(e) => {
                let error = e.to_string();
                warn!(shared.log, "usage_not_written"; "month" => month.to_string(), "error" => error);
                shared.telemetry.count_event("usage_write_failures");
                return false;
            }
        }
        tokio::time::sleep(MAX_RETRY_DELAY.mul_f64(rand::random::<f64>())).await;
    }
    warn!(shared.log, "usage_not_written"; "month" => month.to_string(),
        "error" => "all attempts ended in a conflict or without a definite result");
    false
}

/// Reason why a merge failed.
enum WriteError {
    Platform(Error),
    Merge(String),
}

impl std::fmt::Display for WriteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WriteError::Platform(e) => e.fmt(f),
            WriteError::Merge(e) => e.fmt(f),
        }
    }
}

async fn try_write(shared: &Shared, month: Month) -> Result<UsageWrite, WriteError> {
    let object = shared.platform.get(&object_key(month)).await.map_err(WriteError::Platform)?;
    let write = {
        let state = shared.control.lock();
        let current = object.as_ref().map(|o| &*o.value);
        state.usage.encode(month, current, shared.clock.wall())
    };
    let mut write = write.map_err(|e| WriteError::Merge(e.to_string()))?;
    if let Some(value) = write.value.take() {
        let condition = object.map_or(Condition::Absent, |o| Condition::Version(o.version));
        shared
            .platform
            .put(&object_key(month), value.into(), condition)
            .await
            .map_err(WriteError::Platform)?;
    }
    Ok(write)
}

/// Reports this host's counts to peers and writes them to the platform at the end of a shutdown.
pub async fn write_at_exit(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let (months, reports) = {
        let mut guard = shared.control.lock();
        let state = &mut *guard;
        let own = shared.control.counters();
        state.usage.merge_own(now, &own);
        // Advancing the timer by one interval reports the last counts to peers, in case the
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

/// Returns the totals of a month (`YYYY-MM`) by tenant and class, read from the platform, as JSON.
/// The list is empty if nothing was written for the month.
///
/// # Errors
///
/// Returns a description of the failure if the object can't be read or decoded.
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
