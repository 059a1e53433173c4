//! Polls the platform's host list. Reports the targets in it that are leaving, and adds the entry
//! hosts in it to the addresses that the membership contacts.

use crate::actions;
use crate::shared::Shared;
use geraniummux_platform::{HostEntry, HostState, Platform};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of hosts that poll, so that the number of calls doesn't grow with the number of
/// hosts.
const MAX_POLLERS: usize = 3;
/// Base and maximum of the delay after failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Polls the host list until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut failures = 0u32;
    loop {
        let should_poll = {
            let state = shared.control.lock();
            let alone = state.members.live_peers().next().is_none();
            alone || state.members.rank("host-list") < MAX_POLLERS
        };
        if should_poll {
            match shared.platform.hosts().await {
                Ok(hosts) => {
                    failures = 0;
                    apply_host_list(&shared, &hosts);
                }
                Err(_) => failures += 1,
            }
        }
        tokio::time::sleep(next_delay(failures)).await;
    }
}

/// Returns the time until the next poll after this number of consecutive failures.
fn next_delay(failures: u32) -> Duration {
    if failures == 0 {
        return POLL_INTERVAL;
    }
    let (base_delay, max_delay) = BACKOFF;
    let max_jitter = base_delay.saturating_mul(1 << failures.min(16)).min(max_delay);
    // Full jitter keeps hosts from calling at the same time after an outage.
    max_jitter.mul_f64(rand::rng().random::<f64>())
}

/// Reports leaving targets and updates the addresses that the membership contacts.
fn apply_host_list(shared: &Arc<Shared>, hosts: &[HostEntry]) {
    let in_force = shared.in_force();
    let is_target = |addr: SocketAddr| {
        in_force.config.tables.pools.iter().flat_map(|p| &p.targets).any(|t| t.addr == addr)
    };
    for host in hosts.iter().filter(|h| h.state == HostState::Leaving && is_target(h.addr)) {
        actions::report_leaving(shared, host.addr);
    }
    let mut seeds = shared.settings.peers.clone();
    seeds.extend(hosts.iter().map(|h| h.addr).filter(|a| !is_target(*a)));
    seeds.sort_unstable();
    seeds.dedup();
    shared.control.lock().members.set_seeds(seeds);
}
