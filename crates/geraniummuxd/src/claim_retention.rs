//! Deletes claims whose retention period is over. Only the host that holds `lease/claims` does so.

use crate::leases::Lease;
use crate::shared::Shared;
use geraniummux_core::claim::{CLAIM_KIND, Claim};
use geraniummux_platform::Platform;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Number of parts in which claims are listed, by the first three hexadecimal digits of their
/// names, so that one call doesn't return the claims of a whole day.
///
/// At 70 claims/s there are 6 million claims after a day, 1,500 in each part.
const PARTS: u32 = 4_096;
/// Interval between two parts. One pass over all parts takes 5.7 hours, against a retention of 24
/// hours.
const PART_INTERVAL: Duration = Duration::from_secs(5);

/// Deletes expired claims until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let lease = Lease::start(&shared, "claims");
    let mut part = rand::random::<u32>() % PARTS;
    loop {
        tokio::time::sleep(PART_INTERVAL).await;
        if lease.held(shared.clock.now()).is_none() {
            continue;
        }
        match delete_expired(&shared, &format!("{part:03x}")).await {
            Ok(0) => {}
            Ok(deleted) => info!(shared.log, "claims_deleted"; "count" => deleted),
            Err(e) => {
                warn!(shared.log, "claims_not_deleted"; "error" => e.to_string());
                continue;
            }
        }
        part = (part + 1) % PARTS;
    }
}

/// Deletes the expired claims whose names start with `prefix` and returns their number.
///
/// # Errors
///
/// Fails if the claims can't be listed. A claim that can't be deleted is retried in the next pass.
async fn delete_expired(shared: &Shared, prefix: &str) -> geraniummux_platform::Result<usize> {
    let mut deleted = 0;
    for (key, object) in shared.platform.list(CLAIM_KIND, prefix).await? {
        let expired = Claim::decode(&object.value)
            .is_some_and(|claim| claim.is_retention_over(shared.clock.wall()));
        // The version prevents the deletion of a claim that was created again in the meantime.
        if expired && shared.platform.delete(&key, object.version).await.is_ok() {
            deleted += 1;
        }
    }
    Ok(deleted)
}
