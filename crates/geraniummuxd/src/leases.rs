//! Acquires and renews leases on the platform: the I/O for [`LeaseState`] of the core.

use crate::control::Phase;
use crate::shared::Shared;
use geraniummux_core::lease::{HeldLease, LeaseValue};
use geraniummux_core::{LeaseAction, LeaseOptions, LeaseResult, LeaseState, MemberState, Time};
use geraniummux_platform::{Condition, Error, Key, Platform, Version};
use rand::RngExt;
use slog::info;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Maximum number of hosts that compete for a lease, so that the number of reads doesn't grow with
/// the number of hosts.
const MAX_CANDIDATES: usize = 2;
/// Maximum interval at which the lease state is polled for calls that are due.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A lease that this host competes for.
pub struct Lease {
    key: Key,
    state: Mutex<LeaseState>,
}

impl Lease {
    /// Starts a task that competes for the lease `lease/<name>` and renews it. The task ends when
    /// all references to the returned lease are dropped.
    pub fn start(shared: &Arc<Shared>, name: &str) -> Arc<Lease> {
        let process = shared.control.counters().process().clone();
        let holder = format!("{}/{}", process.host, process.run);
        let options = LeaseOptions::default();
        let now = shared.clock.now();
        let lease = Arc::new(Lease {
            key: Key::new("lease", name),
            state: Mutex::new(LeaseState::new(Arc::from(holder), options, now)),
        });
        tokio::spawn(maintain(shared.clone(), lease.clone()));
        lease
    }

    /// Returns the lease if this host holds it and it has not expired. To be called directly before
    /// each piece of work under the lease.
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        self.lock().held(now)
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

async fn maintain(shared: Arc<Shared>, lease: Arc<Lease>) {
    let mut was_held = false;
    // The task holds one reference itself, so one is left when the lease is no longer needed.
    while Arc::strong_count(&lease) > 1 {
        let serving = *shared.control.phase().borrow() == Phase::Serving;
        let lease_name = lease.key.to_string();
        let candidate = {
            let state = shared.control.lock();
            // A host that starts doesn't know the other members yet and would rank itself first.
            let in_service = state.members.local_member().state == MemberState::Alive;
            in_service && state.members.rank(&lease_name) < MAX_CANDIDATES
        };
        let now = shared.clock.now();
        let action = {
            let mut state = lease.lock();
            state.set_wanted(serving && candidate);
            state.poll(now)
        };
        if let Some(action) = action {
            let result = perform(&shared, &lease.key, action).await;
            lease.lock().on_result(result, shared.clock.now());
        }
        let is_held = lease.held(shared.clock.now()).is_some();
        if is_held != was_held {
            was_held = is_held;
            info!(shared.log, "lease_changed"; "lease" => lease_name, "held" => was_held);
        }
        // A random interval keeps hosts from calling at the same time after an outage.
        let interval = MAX_POLL_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(interval).await;
    }
}

async fn perform(shared: &Shared, key: &Key, action: LeaseAction) -> LeaseResult {
    let (value, condition) = match action {
        LeaseAction::Read => {
            return match shared.platform.get(key).await {
                Ok(object) => LeaseResult::Read(
                    object.map(|o| (o.version.0, serde_json::from_slice(&o.value).ok())),
                ),
                Err(_) => LeaseResult::Unavailable,
            };
        }
        LeaseAction::Create(value) => (value, Condition::Absent),
        LeaseAction::Update { version, value } => (value, Condition::Version(Version(version))),
    };
    match put(shared, key, &value, condition).await {
        Ok(version) => LeaseResult::Written(version.0),
        Err(Error::Conflict) => LeaseResult::Conflict,
        Err(e) if e.may_have_written() => LeaseResult::Indeterminate,
        Err(_) => LeaseResult::Unavailable,
    }
}

async fn put(
    shared: &Shared,
    key: &Key,
    value: &LeaseValue,
    condition: Condition,
) -> Result<Version, Error> {
    let json = serde_json::to_vec(value).map_err(|e| Error::Protocol(e.to_string()))?;
    shared.platform.put(key, json.into(), condition).await
}
