//! Polls the platform's host list for leaving targets and for entry hosts to contact.

use crate::actions;
use crate::shared::Shared;
use geraniummux_platform::{HostEntry, HostState, Platform};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the poll.
const INTERVAL: Duration = Duration::from_secs(2);
/// Hosts that poll, so that the number of calls does not grow with the fleet.
const POLLERS: usize = 3;
/// First and longest pause after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Polls until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut failures = 0u32;
    loop {
        let polls = {
            let state = shared.control.lock();
            let alone = state.members.live_peers().next().is_none();
            alone || state.members.rank("host-list") < POLLERS
        };
        if polls {
            match shared.platform.hosts().await {
                Ok(hosts) => {
                    failures = 0;
                    learn(&shared, &hosts);
                }
                Err(_) => failures += 1,
            }
        }
        tokio::time::sleep(pause(failures)).await;
    }
}

fn pause(failures: u32) -> Duration {
    if failures == 0 {
        return INTERVAL;
    }
    let (first, longest) = BACKOFF;
    let limit = first.saturating_mul(1 << failures.min(16)).min(longest);
    // Full jitter keeps hosts from calling in step after an outage.
    limit.mul_f64(rand::rng().random::<f64>())
}

fn learn(shared: &Arc<Shared>, hosts: &[HostEntry]) {
    let in_force = shared.in_force();
    let is_target = |addr: SocketAddr| {
        in_force.config.tables.pools.iter().flat_map(|p| &p.targets).any(|t| t.addr == addr)
    };
    for host in hosts.iter().filter(|h| h.state == HostState::Leaving && is_target(h.addr)) {
        actions::report_draining(shared, host.addr);
    }
    let mut seeds = shared.settings.peers.clone();
    seeds.extend(hosts.iter().map(|h| h.addr).filter(|a| !is_target(*a)));
    seeds.sort_unstable();
    seeds.dedup();
    shared.control.lock().members.set_seeds(seeds);
}
