//! Opens connections to targets: directly, or through a peer while this host has lost its links to them.

use crate::host::Host;
use crate::tunnel::{self, TunnelError};
use crate::upstream::{Connection, OnEndlessSurplus};
use geraniummux_core::MemberState;
use geraniummux_core::fleet::{Candidate, Fault, RelayPeer, Relays, TargetPath, TargetReach};
use rand::seq::IteratorRandom;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time for a target to accept a connection and respond to a probe; taking longer is a fault.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The same while the host has reason to ask a peer instead. A target that is up accepts within a few
/// milliseconds.
const SUSPICIOUS_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Interval at which a host that is cut off tries to connect directly.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks whether the host is cut off.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this host reaches the targets, and the peers that connect it to them.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Results of this host's connections to targets.
    pub targets: TargetReach,
    /// Peers that can't help at present.
    pub relays: Relays,
}

/// Why there is no connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectError {
    /// The target accepts no connection of this host, nor of a peer that was asked.
    Unreachable,
    /// The target must get no requests.
    Unusable,
    /// This host is cut off from the targets, and no peer can connect it at present.
    NoPath,
}

/// Opens a connection to a target of a pool.
///
/// # Errors
///
/// Fails if neither this host nor, where it has reason to ask, a peer can connect to the target.
pub async fn connect(
    host: &Arc<Host>,
    pool: &Arc<str>,
    target: &Candidate,
) -> Result<Connection, ConnectError> {
    let limit = match host.reach().targets.path(host.now()) {
        TargetPath::Direct => Some(CONNECT_TIMEOUT),
        TargetPath::DirectThenRelayed => Some(SUSPICIOUS_CONNECT_TIMEOUT),
        TargetPath::Relayed => None,
    };
    if let Some(limit) = limit {
        if let Some(conn) = connect_directly(host, target, limit).await {
            return Ok(conn);
        }
        // This failure may be the one that gives reason to ask a peer.
        if host.reach().targets.path(host.now()) == TargetPath::Direct {
            return Err(ConnectError::Unreachable);
        }
    }
    let result = connect_through_peer(host, pool, target).await;
    let now = host.now();
    match &result {
        Ok(_) => {
            if host.reach().targets.on_relayed(now, &target.id) {
                warn!(host.log, "targets_out_of_reach"; "target" => &*target.id);
                // Connections from before no longer work or will be lost soon.
                host.upstream.retain(Connection::is_relayed);
            }
        }
        Err(ConnectError::Unreachable | ConnectError::NoPath) => {
            host.reach().targets.on_relay_failed(now);
        }
        Err(ConnectError::Unusable) => {}
    }
    result
}

async fn connect_directly(
    host: &Arc<Host>,
    target: &Candidate,
    limit: Duration,
) -> Option<Connection> {
    host.metrics.connection("target");
    let result = timeout(limit, Connection::open(target.run.addr, on_surplus(host, target))).await;
    let now = host.now();
    match result {
        Ok(Ok(conn)) => {
            if let Some(cut_off) = host.reach().targets.on_accepted(now) {
                info!(host.log, "targets_in_reach"; "after_ms" => cut_off.as_millis() as u64);
                host.upstream.retain(|conn| !conn.is_relayed());
            }
            Some(conn)
        }
        failed => {
            info!(host.log, "target_unreachable"; "target" => &*target.id,
                "addr" => target.run.addr.to_string(), "refused" => failed.is_ok());
            host.reach().targets.on_failed(now, &target.id);
            None
        }
    }
}

/// Returns what records that a target goes on sending after a complete response.
pub fn on_surplus(host: &Arc<Host>, target: &Candidate) -> OnEndlessSurplus {
    let (host, id) = (Arc::downgrade(host), target.id.clone());
    Box::new(move || {
        if let Some(host) = host.upgrade() {
            host.on_fault(&id, Fault::Endless);
        }
    })
}

async fn connect_through_peer(
    host: &Arc<Host>,
    pool: &Arc<str>,
    target: &Candidate,
) -> Result<Connection, ConnectError> {
    let peers = relay_peers(host);
    let chosen = host.reach().relays.choose(host.now(), &peers, &mut rand::rng());
    let mut is_unreached = false;
    for peer in chosen {
        host.metrics.connection("tunnel");
        match tunnel::open(host, peer.addr, pool, target).await {
            Ok(conn) => return Ok(conn),
            Err(e) => {
                info!(host.log, "tunnel_failed"; "peer" => peer.addr.to_string(),
                    "target" => &*target.id, "error" => e.to_string());
                match e {
                    TunnelError::TargetUnusable => return Err(ConnectError::Unusable),
                    // A peer of the own domain may be cut off with this host and not know it yet.
                    TunnelError::TargetUnreachable if peer.same_domain => is_unreached = true,
                    TunnelError::TargetUnreachable => return Err(ConnectError::Unreachable),
                    TunnelError::Unavailable | TunnelError::Broken(_) => {
                        host.reach().relays.avoid(host.now(), peer.addr);
                    }
                }
            }
        }
    }
    let is_cut_off = host.reach().targets.is_cut_off();
    Err(if is_cut_off && !is_unreached { ConnectError::NoPath } else { ConnectError::Unreachable })
}

fn relay_peers(host: &Host) -> Vec<RelayPeer> {
    let members = host.members();
    let own_domain = &members.local_member().failure_domain;
    members
        .peers()
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| RelayPeer { addr: m.addr, same_domain: m.failure_domain == *own_domain })
        .collect()
}

/// While this host is cut off, tries to connect to targets directly, until the task is dropped. Requests use
/// peers meanwhile, so that they would not show that the links are back.
pub async fn run(host: Arc<Host>) {
    loop {
        if !host.reach().targets.is_cut_off() {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        tokio::time::sleep(TRIAL_INTERVAL).await;
        if let Some(target) = any_target(&host) {
            let conn = connect_directly(&host, &target, SUSPICIOUS_CONNECT_TIMEOUT).await;
            if let Some(conn) = conn {
                host.upstream.put_idle(host.now(), conn);
            }
        }
    }
}

fn any_target(host: &Host) -> Option<Candidate> {
    let config = host.config()?;
    let now = host.now();
    let fleet = host.fleet();
    let mut rng = rand::rng();
    let of_pools = config.pools.iter().filter_map(|p| {
        fleet.table.candidates(now, &p.name, &[], 1, &mut rand::rng()).into_iter().next()
    });
    of_pools.choose(&mut rng)
}
