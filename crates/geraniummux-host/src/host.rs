//! State of one entry host, shared by its tasks.

use crate::clock::Clock;
use crate::fleet::{Fleet, Prober};
use crate::knowledge::Knowledge;
use crate::metrics::Metrics;
use crate::peers::PeerNet;
use crate::protocol::Protocol;
use crate::scheduling::Scheduling;
use crate::settings::Settings;
use crate::upstream::Upstream;
use arc_swap::{ArcSwap, ArcSwapOption};
use geraniummux_core::fleet::{
    ExtraAttempt, ExtraAttemptOptions, Fault, FleetConfig, RegistryDelta, RouteIndex,
};
use geraniummux_core::membership::MembershipOptions;
use geraniummux_core::{Member, MemberState, Membership, Time};
use slog::{Logger, info, warn};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Part of the health checks allowed at a target that the scheduler of its pool makes.
const SCHEDULER_PROBES: f64 = 0.6;

/// How far the host is between start and stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// In service.
    Serving,
    /// In service, but not named to callers; answers ask callers to close their connections.
    Leaving,
    /// Idle connections are closed.
    Draining,
}

/// State of one entry host.
pub struct Host {
    /// Settings.
    pub settings: ArcSwap<Settings>,
    /// The clocks.
    pub clock: Clock,
    /// When the process started.
    pub started: Time,
    /// The root logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// What is spoken to callers and targets.
    pub protocol: Arc<dyn Protocol>,
    /// Connections to targets.
    pub upstream: Upstream,
    net: PeerNet,
    /// Decisions where to send requests.
    pub scheduling: Scheduling,
    routes: ArcSwapOption<RouteIndex>,
    config: Mutex<Option<Arc<FleetConfig>>>,
    fleet: Mutex<Fleet>,
    members: Mutex<Membership>,
    knowledge: Mutex<Knowledge>,
    phase: watch::Sender<Phase>,
    /// Rises with each change that followers have to hear of.
    news: watch::Sender<u64>,
    callers: AtomicUsize,
}

/// Counts a caller's connection until it is dropped.
pub struct CallerGuard(Arc<Host>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Host {
    /// Returns the state of a starting host.
    pub fn new(
        settings: Settings,
        log: Logger,
        metrics: Metrics,
        protocol: Arc<dyn Protocol>,
        net: PeerNet,
    ) -> Self {
        let clock = Clock::start();
        let (now, wall) = (clock.now(), clock.wall());
        let me = Member {
            name: settings.host.clone(),
            addr: settings.peer,
            http_addr: settings.listen,
            failure_domain: settings.failure_domain.clone(),
            capacity: (settings.cores * 1_000.0) as u32,
            incarnation: wall.0,
            state: MemberState::Leaving,
        };
        let seeds = settings.seed_peers();
        let opts = membership_options();
        let process = format!("{}/{}", settings.host, wall.0).into();
        let domain = settings.failure_domain.clone();
        Host {
            clock,
            started: now,
            log,
            metrics,
            protocol,
            net,
            upstream: Upstream::default(),
            scheduling: Scheduling::default(),
            routes: ArcSwapOption::empty(),
            config: Mutex::default(),
            fleet: Mutex::new(Fleet::new(domain, process)),
            members: Mutex::new(Membership::new(now, me, seeds, opts, &mut rand::rng())),
            knowledge: Mutex::new(Knowledge::new(now)),
            phase: watch::channel(Phase::Serving).0,
            news: watch::channel(0).0,
            callers: AtomicUsize::new(0),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the decisions about targets and requests.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Membership> {
        lock(&self.members)
    }

    /// Locks what is known of the store.
    pub fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }

    /// Returns the sockets for messages between hosts.
    pub fn net(&self) -> &PeerNet {
        &self.net
    }

    /// Returns the routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.routes.load_full()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        lock(&self.config).clone()
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |r| r.version)
    }

    /// Returns whether the host can serve requests.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.routes.load().is_some()
            && self.fleet().registry.revision().is_some()
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the phase as a channel.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = (*p).max(phase);
            later
        });
    }

    /// Returns a channel that changes with each change that followers have to hear of.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Registers a caller's connection until the guard is dropped.
    pub fn caller(self: &Arc<Self>) -> CallerGuard {
        self.callers.fetch_add(1, Ordering::Relaxed);
        CallerGuard(self.clone())
    }

    /// Returns the number of callers' connections.
    pub fn callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Puts a configuration in force if it is newer than the present one. `from` tells where it came
    /// from.
    pub fn adopt(&self, config: FleetConfig, revision: u64, from: &str) {
        let mut current = lock(&self.config);
        let version = current.as_ref().map_or(0, |c| c.version);
        if config.version <= version {
            return;
        }
        info!(self.log, "config_adopted"; "version" => config.version, "was" => version,
            "revision" => revision, "from" => from, "routes" => config.routes.len(),
            "pools" => config.pools.len());
        self.routes.store(Some(Arc::new(RouteIndex::new(&config))));
        *current = Some(Arc::new(config));
        drop(current);
        self.knowledge().behind_since = None;
        self.note_news();
    }

    /// Records the version that a peer has in force. A newer one that doesn't arrive here shows that
    /// what this host follows is not current.
    pub fn note_peer_version(&self, version: u64) {
        if version > self.config_version() {
            let now = self.now();
            self.knowledge().behind_since.get_or_insert(now);
        }
    }

    /// Takes in changes of the registry of targets.
    pub fn apply(&self, delta: RegistryDelta, from: &str) -> bool {
        let now = self.now();
        let expiry_grace = if self.knowledge().needs_expiry_grace(now) {
            Duration::from_secs_f64(self.settings.load().promises.lapse_s)
        } else {
            Duration::ZERO
        };
        let mut fleet = self.fleet();
        if fleet.registry.revision().is_some_and(|r| r >= delta.to) && delta.changes.is_empty() {
            return true;
        }
        let (changes, to) = (delta.changes.len(), delta.to);
        if !fleet.registry.apply(now, delta.clone(), expiry_grace) {
            return false;
        }
        fleet.keep(delta);
        fleet.refresh(now);
        self.scheduling.update(fleet.registry.targets(now));
        if changes > 0 {
            info!(self.log, "targets_changed"; "revision" => to, "changes" => changes,
                "from" => from, "lapsed" => fleet.registry.expired_count(),
                "lapse_ms" => expiry_grace.as_millis() as u64);
        }
        drop(fleet);
        self.note_news();
        true
    }

    /// Records a fault of a target that this host saw.
    pub fn on_fault(&self, id: &Arc<str>, fault: Fault) {
        let now = self.now();
        self.scheduling.on_fault(now, id, fault.weight());
        let mut fleet = self.fleet();
        fleet.untold_faults.push((id.clone(), fault.weight()));
        if fleet.table.on_fault(now, id, fault.weight()) {
            warn!(self.log, "target_left_out"; "target" => &**id, "fault" => fault.as_str());
        }
    }

    /// Records faults of a target that a peer saw.
    pub fn on_peer_fault(&self, from: &str, id: &str, weight: f64) {
        let now = self.now();
        self.scheduling.on_fault(now, id, weight);
        if self.fleet().table.on_fault(now, id, weight) {
            warn!(self.log, "target_left_out"; "target" => id, "peer" => from, "weight" => weight);
        }
    }

    /// Takes one second send to a pool from the shared budget.
    pub fn try_extra_attempt(&self, pool: &Arc<str>, why: ExtraAttempt) -> bool {
        let hosts = self.members().peers().count() + 1;
        let opts = self.extra_attempt_options();
        let now = self.now();
        self.fleet().extra_attempts(pool).try_take(now, why, hosts, &opts)
    }

    /// Returns how many of `wanted` targets of a pool this host may ask for their load, `least` at
    /// any rate. The scheduler of the pool has most of the budget, the other hosts share the rest.
    pub fn take_probes(&self, pool: &Arc<str>, wanted: usize, least: usize, by: Prober) -> usize {
        let hosts = self.members().live_peers().count() + 1;
        let part = match by {
            Prober::Scheduler => SCHEDULER_PROBES,
            Prober::Host => (1.0 - SCHEDULER_PROBES) / hosts as f64,
        };
        let per_target = self.settings.load().promises.probes_per_s;
        let now = self.now();
        let mut fleet = self.fleet();
        let rate = per_target * fleet.table.count(pool) as f64 * part;
        fleet.probes(pool, by).take(now, wanted, least, rate)
    }

    /// Returns the limits of second sends.
    pub fn extra_attempt_options(&self) -> ExtraAttemptOptions {
        let settings = self.settings.load();
        ExtraAttemptOptions {
            ratio: settings.promises.repeat_ratio,
            slack: settings.promises.repeat_slack,
            window: Duration::from_secs_f64(settings.promises.repeat_window_s),
            ..ExtraAttemptOptions::default()
        }
    }

    /// Returns how many idle connections this host may keep to one target: half of what the target
    /// accepts from all hosts, so that the other half is there for new ones.
    pub fn idle_limit(&self) -> usize {
        let hosts = self.members().live_peers().count() + 1;
        let config = self.config();
        let most = config.iter().flat_map(|c| &c.pools).map(|p| p.max_connections).min();
        (most.unwrap_or(u32::MAX) as usize / (2 * hosts)).max(1)
    }

    /// Forgets lapsed targets. To be called a few times a second.
    pub fn tick(&self, now: Time) {
        let mut fleet = self.fleet();
        fleet.registry.drop_expired(now);
        fleet.refresh(now);
        self.scheduling.update(fleet.registry.targets(now));
    }

    /// Tells followers what has changed, or how current it is.
    pub fn note_news(&self) {
        self.news.send_modify(|n| *n += 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns intervals of the gossip for hosts with a small part of a core.
fn membership_options() -> MembershipOptions {
    MembershipOptions {
        probe_interval: Duration::from_millis(400),
        direct_timeout: Duration::from_millis(200),
        probe_timeout: Duration::from_millis(500),
        suspicion_timeout: Duration::from_millis(1_500),
        reconnect_interval: Duration::from_secs(2),
        sync_interval: Duration::from_secs(15),
        forget_after: Duration::from_secs(60),
        ..MembershipOptions::default()
    }
}
