//! State of the control path: membership, configuration, leaving targets, usage and shutdown.
//!
//! One lock guards [`State`], because the state machines of the core use each other. It is held for
//! microseconds and never across an await.

use crate::clock::Clock;
use crate::peer_net::PeerNet;
use crate::settings::Settings;
use crate::shared::{InForce, Shared};
use geraniummux_core::config_sync::{ConfigSyncOptions, NotServingReason, Permit};
use geraniummux_core::drain::TargetPermit;
use geraniummux_core::membership::MembershipOptions;
use geraniummux_core::usage::ProcessId;
use geraniummux_core::{
    ConfigSync, Member, MemberState, Membership, Reason, ShutdownState, TargetDrain, Time,
    UsageCounters, UsageMerge,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which a held request checks whether it may continue.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a stopping host continues to serve after the TTL of entry responses that contain
/// it has passed. Leaves time for its announcement to reach all peers.
const LEAVING_NOTICE_MARGIN: Duration = Duration::from_secs(2);

/// Phase of a host, from serving to the end of its shutdown. A host only enters later phases.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// In service.
    Serving,
    /// In service, but no longer listed in entry responses. HTTP/1.1 responses other than these
    /// carry `connection: close`.
    Leaving,
    /// No connections are accepted; requests in flight are finished.
    Draining,
    /// Requests that are still in flight are aborted.
    Aborting,
    /// The process exits with status 0.
    Exited,
    /// The process exits with a non-zero status.
    Failed,
}

/// State machines of the core that use each other.
pub struct State {
    /// Membership of the entry hosts.
    pub members: Membership,
    /// The configuration and its distribution.
    pub config: ConfigSync,
    /// Leaving targets.
    pub drain: TargetDrain,
    /// Counts of the requests served by this process, and by the processes that reported theirs to
    /// this host.
    pub usage: UsageMerge,
    /// The shutdown of this host.
    pub shutdown: ShutdownState,
}

/// Control path of one host.
pub struct Control {
    state: Mutex<State>,
    /// Counts of requests that this process served. They have their own lock, since every request
    /// takes it.
    counters: Mutex<UsageCounters>,
    /// Sockets and counters for messages between entry hosts.
    pub net: PeerNet,
    phase: watch::Sender<Phase>,
    connections: AtomicUsize,
    /// Whether the full state (members, leaving targets and quarantine) was exchanged with a peer
    /// since the start.
    synced: AtomicBool,
}

impl Control {
    /// Returns the control path of a starting host, which is in [`Phase::Serving`] but marked as
    /// leaving until it is ready to be listed in entry responses.
    pub fn new(settings: &Settings, clock: &Clock) -> Self {
        let (now, wall) = (clock.now(), clock.wall());
        let mut rng = rand::rng();
        let local_member = Member {
            capacity: 0,
            name: settings.host.clone(),
            addr: settings.peer,
            http_addr: settings.advertised(),
            failure_domain: settings.failure_domain.clone(),
            incarnation: wall.0,
            // Entry responses contain this host only once it serves.
            state: MemberState::Leaving,
        };
        let opts = MembershipOptions::default();
        let process = ProcessId::new(settings.host.clone(), wall, &mut rng);
        let notice_period = Duration::from_millis(settings.entry_ttl_ms) + LEAVING_NOTICE_MARGIN;
        Control {
            state: Mutex::new(State {
                members: Membership::new(now, local_member, settings.peers.clone(), opts, &mut rng),
                config: ConfigSync::new(now, ConfigSyncOptions::default()),
                drain: TargetDrain::new(now),
                usage: UsageMerge::new(now, process.clone()),
                shutdown: ShutdownState::new(notice_period),
            }),
            counters: Mutex::new(UsageCounters::new(process)),
            net: PeerNet::new(settings.peer_key.as_bytes(), wall.0),
            phase: watch::channel(Phase::Serving).0,
            connections: AtomicUsize::new(0),
            synced: AtomicBool::new(false),
        }
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the counts of requests that this process served.
    pub fn counters(&self) -> MutexGuard<'_, UsageCounters> {
        self.counters.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a served request in the usage of its tenant and class. To be called once the caller's
    /// TCP has acknowledged the response.
    pub fn count_served(&self, clock: &Clock, tenant: &Arc<str>, class: &Arc<str>) {
        self.counters().count(clock.wall(), tenant, class);
    }

    /// Returns whether a target is known to be leaving.
    pub fn is_target_leaving(&self, target: SocketAddr, now: Time) -> bool {
        self.lock().drain.is_leaving(now, target)
    }

    /// Decides whether a request may be sent to a target now, given the configuration and the
    /// leaving targets. Returns [`TargetPermit::Hold`] also if the configuration lets this host
    /// send no requests at all.
    pub fn permit(&self, target: SocketAddr, now: Time) -> TargetPermit {
        let state = self.lock();
        match state.config.permit(now) {
            Permit::Serve => state.drain.permit(now, target),
            Permit::Hold | Permit::Refuse(_) => TargetPermit::Hold,
        }
    }

    /// Returns a receiver of the current phase and its changes.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a phase. Has no effect if the host is in a later one already.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = (*p).max(phase);
            later
        });
    }

    /// Registers a caller's connection. A shutdown waits until all guards are dropped.
    pub fn register_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Returns the number of registered connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns whether the full state (members, leaving targets and quarantine) was exchanged with
    /// a peer since the start.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }

    /// Records that the full state was exchanged with a peer.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }
}

/// Guard of a caller's connection, which a shutdown waits for.
pub struct ConnectionGuard(Arc<Control>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until this host may send requests, and returns the configuration in force.
///
/// To be awaited before a request is routed, and again directly before each attempt. After a pause
/// of the process it waits until a peer has responded, at most 300 ms; after the start, until a
/// peer has sent its leaving targets, at most 2 s. If the generation differs from the one with
/// which the request was routed, the request must be routed again.
///
/// # Errors
///
/// Returns [`Reason::NotReady`] if this host has no configuration or may have an outdated one. The
/// request was not executed.
pub async fn await_config(shared: &Shared) -> Result<Arc<InForce>, Reason> {
    loop {
        let now = shared.clock.now();
        let (permit, hold) = {
            let state = shared.control.lock();
            // The hold applies to all targets alike, so any address serves.
            let any_target = SocketAddr::from(([0, 0, 0, 0], 0));
            (state.config.permit(now), state.drain.permit(now, any_target) == TargetPermit::Hold)
        };
        match permit {
            Permit::Refuse(
                NotServingReason::Starting | NotServingReason::Isolated | NotServingReason::Behind,
            ) => {
                return Err(Reason::NotReady);
            }
            Permit::Serve if !hold => {
                let in_force = shared.in_force();
                let empty = in_force.config.generation == 0;
                return if empty { Err(Reason::NotReady) } else { Ok(in_force) };
            }
            Permit::Serve | Permit::Hold => tokio::time::sleep(HOLD_POLL_INTERVAL).await,
        }
    }
}
