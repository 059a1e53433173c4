//! Holds platform leases: I/O around the core's lease state.

use crate::control::Phase;
use crate::shared::Shared;
use geraniummux_core::lease::{HeldLease, LeaseValue};
use geraniummux_core::{LeaseAction, LeaseOptions, LeaseResult, LeaseState, MemberState, Time};
use geraniummux_platform::{Condition, Error, Key, Platform, Version};
use rand::RngExt;
use slog::info;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Hosts that compete for a lease, so that the number of reads does not grow with the fleet.
const CANDIDATES: usize = 2;
/// Longest pause between two looks at a lease.
const POLL: Duration = Duration::from_millis(500);

/// One lease that this host may hold.
pub struct Lease {
    key: Key,
    state: Mutex<LeaseState>,
}

impl Lease {
    /// Starts to compete for `lease/<name>`. The task ends when the last other reference to the
    /// lease is dropped.
    pub fn start(shared: &Arc<Shared>, name: &str) -> Arc<Lease> {
        let process = shared.control.counters().process().clone();
        let holder = format!("{}/{}", process.host, process.run);
        let options = LeaseOptions::default();
        let now = shared.clock.now();
        let lease = Arc::new(Lease {
            key: Key::new("lease", name),
            state: Mutex::new(LeaseState::new(Arc::from(holder), options, now)),
        });
        tokio::spawn(follow(shared.clone(), lease.clone()));
        lease
    }

    /// Returns the lease if it is held and its term has not ended.
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        self.lock().held(now)
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

async fn follow(shared: Arc<Shared>, lease: Arc<Lease>) {
    let mut held = false;
    // The task's own reference is the last one when nobody needs the lease any more.
    while Arc::strong_count(&lease) > 1 {
        let serving = *shared.control.phase().borrow() == Phase::Serving;
        let task = lease.key.to_string();
        let candidate = {
            let state = shared.control.lock();
            // A host that starts does not know the others and would rank itself first.
            let in_service = state.members.local_member().state == MemberState::Alive;
            in_service && state.members.rank(&task) < CANDIDATES
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
        let holds = lease.held(shared.clock.now()).is_some();
        if holds != held {
            held = holds;
            info!(shared.log, "lease_changed"; "lease" => task, "held" => held);
        }
        // A random pause keeps hosts from calling in step after an outage.
        let pause = POLL.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
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
