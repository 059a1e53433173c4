//! State of the control path: membership, configuration, leaving targets, usage and shutdown.
//!
//! All of it stands behind one lock, because the decisions of the core refer to each other. The
//! lock is held for microseconds and never over an await.

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

/// Pause between two looks at a gate that holds requests.
const HOLD_POLL: Duration = Duration::from_millis(10);
/// Time for which a stopping host goes on serving beyond the ttl of answers that name it.
const NOTICE_MARGIN: Duration = Duration::from_secs(2);

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// In service.
    Serving,
    /// In service, but not named to callers; responses ask callers to close their connections.
    Leaving,
    /// No connection is accepted; requests in flight are finished.
    Draining,
    /// Requests that are still in flight are aborted.
    Aborting,
    /// The process exits with status 0.
    Exited,
    /// The process exits with a non-zero status.
    Failed,
}

/// Decisions that refer to each other.
pub struct State {
    /// Which entry hosts are alive.
    pub members: Membership,
    /// The configuration and its distribution.
    pub config: ConfigSync,
    /// Leaving targets.
    pub drain: TargetDrain,
    /// Served counts of all processes.
    pub usage: UsageMerge,
    /// The shutdown of this host.
    pub shutdown: ShutdownState,
}

/// The control path of one host.
pub struct Control {
    state: Mutex<State>,
    /// Served requests of this process. Separate from the other state, since every request uses it.
    counters: Mutex<UsageCounters>,
    /// Messages to and from peers.
    pub net: PeerNet,
    phase: watch::Sender<Phase>,
    connections: AtomicUsize,
    /// Whether a full state was exchanged with a peer since the start.
    synced: AtomicBool,
}

impl Control {
    /// Returns the state of a starting host.
    pub fn new(settings: &Settings, clock: &Clock) -> Self {
        let (now, wall) = (clock.now(), clock.wall());
        let mut rng = rand::rng();
        let me = Member {
            capacity: 0,
            name: settings.host.clone(),
            addr: settings.peer,
            http_addr: settings.advertised(),
            failure_domain: settings.failure_domain.clone(),
            incarnation: wall.0,
            // Callers are told of this host when it serves.
            state: MemberState::Leaving,
        };
        let opts = MembershipOptions::default();
        let process = ProcessId::new(settings.host.clone(), wall, &mut rng);
        let notice = Duration::from_millis(settings.entry_ttl_ms) + NOTICE_MARGIN;
        Control {
            state: Mutex::new(State {
                members: Membership::new(now, me, settings.peers.clone(), opts, &mut rng),
                config: ConfigSync::new(now, ConfigSyncOptions::default()),
                drain: TargetDrain::new(now),
                usage: UsageMerge::new(now, process.clone()),
                shutdown: ShutdownState::new(notice),
            }),
            counters: Mutex::new(UsageCounters::new(process)),
            net: PeerNet::new(settings.peer_key.as_bytes(), wall.0),
            phase: watch::channel(Phase::Serving).0,
            connections: AtomicUsize::new(0),
            synced: AtomicBool::new(false),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the counters of this process.
    pub fn counters(&self) -> MutexGuard<'_, UsageCounters> {
        self.counters.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts one request whose response was acknowledged by the caller's TCP.
    pub fn count_served(&self, clock: &Clock, tenant: &Arc<str>, class: &Arc<str>) {
        self.counters().count(clock.wall(), tenant, class);
    }

    /// Returns whether a target is known to be leaving.
    pub fn is_target_leaving(&self, target: SocketAddr, now: Time) -> bool {
        self.lock().drain.is_leaving(now, target)
    }

    /// Decides whether a request may be sent to a target now.
    pub fn permit(&self, target: SocketAddr, now: Time) -> TargetPermit {
        let state = self.lock();
        match state.config.permit(now) {
            Permit::Serve => state.drain.permit(now, target),
            Permit::Hold | Permit::Refuse(_) => TargetPermit::Hold,
        }
    }

    /// Returns the phase of the shutdown as a channel.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on to a later phase.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = (*p).max(phase);
            later
        });
    }

    /// Registers a caller's connection. A shutdown waits until the guards of all are dropped.
    pub fn register_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Returns the number of callers' connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns whether a full state was exchanged with a peer since the start.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }

    /// Records that a full state was exchanged with a peer.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }
}

/// Keeps a shutdown waiting while it exists.
pub struct ConnectionGuard(Arc<Control>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the configuration in force once this host may send requests under it.
///
/// To be awaited before a request is routed and again directly before each sending. After a pause
/// of the process it waits until a peer has answered, at most 300 ms. If the generation differs
/// from the one that the request was routed with, the request is to be routed again.
///
/// # Errors
///
/// [`Reason::NotReady`] if this host may hold an outdated configuration. The request did not run.
pub async fn await_config(shared: &Shared) -> Result<Arc<InForce>, Reason> {
    loop {
        let now = shared.clock.now();
        let (permit, hold) = {
            let state = shared.control.lock();
            // Which target is asked for does not matter for the hold.
            let probe = SocketAddr::from(([0, 0, 0, 0], 0));
            (state.config.permit(now), state.drain.permit(now, probe) == TargetPermit::Hold)
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
            Permit::Serve | Permit::Hold => tokio::time::sleep(HOLD_POLL).await,
        }
    }
}
