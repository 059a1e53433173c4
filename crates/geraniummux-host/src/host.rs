//! State of an entry host, shared by its tasks.

use crate::allowances::Allowances;
use crate::bodies::Bodies;
use crate::clock::Clock;
use crate::figures::RefusedFigures;
use crate::fleet::{Fleet, Prober};
use crate::freshness::Freshness;
use crate::metrics::Metrics;
use crate::peers::{self, PeerNet};
use crate::protocol::{InvalidHeader, Protocol, header_value};
use crate::reach::Reach;
use crate::scheduling::{self, Scheduling};
use crate::settings::Settings;
use crate::tunnel::MAX_TUNNELS;
use crate::upstream::IdleConnections;
use arc_swap::{ArcSwap, ArcSwapOption};
use geraniummux_core::fleet::{
    Candidate, ConfigChange, ConfigEdition, EvacuationDifference, Evacuations, ExtraAttempt,
    ExtraAttemptOptions, Fault, FleetConfig, RegistryChange, RegistryDelta, ReportedDemand,
    Revision, RouteIndex, TargetDemand, TargetRegistry, TargetReport, WarmUpRules,
};
use geraniummux_core::membership::MembershipOptions;
use geraniummux_core::{Member, MemberState, Membership, Time};
use geraniummux_wire::Message;
use http::HeaderMap;
use slog::{Logger, info, warn};
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};

/// Share of the probes allowed at a target that is reserved for the scheduler of its pool.
const SCHEDULER_PROBE_SHARE: f64 = 0.6;
/// Smallest part of the targets' limits that a scheduler grants. Limits may be exceeded by half, and most
/// hosts that are out of sight are down.
const MIN_LIMIT_SHARE: f64 = 0.7;
/// Smallest number of hosts that a host assumes which does not know the others.
const MIN_ASSUMED_HOSTS: usize = 16;
/// Number of former configurations that are retained. A follower that is further behind receives the
/// whole configuration.
const MAX_FORMER_CONFIGS: usize = 6;

/// Longest pause that is accepted of a target.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time after which hosts usually know of a change of the registered targets.
const MAX_REGISTRY_LAG: Duration = Duration::from_secs(2);
/// Heartbeats of a target after which its entry in a restored store shows that it is alive: the store removes
/// entries after three without a write.
const CONFIRMING_HEARTBEATS: u32 = 4;

/// Heartbeats of the targets of a failure domain after the end of its evacuation in which they are taken to be cold. By
/// then, their registrations or health responses say whether they are.
const RETURN_HEARTBEATS: u32 = 2;

/// Stages of a host from start to stop; a host never returns to an earlier one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// In service.
    Serving,
    /// In service, but no longer in the host list; responses ask callers to close their connections.
    Leaving,
    /// No new connections are accepted, idle ones are closed, and requests in flight finish.
    Draining,
    /// Requests that are still in flight are answered at once, and the process exits.
    Exiting,
}

/// State of an entry host.
pub struct Host {
    /// The settings in force.
    pub settings: ArcSwap<Settings>,
    /// Monotonic and wall-clock time.
    pub clock: Clock,
    /// When the process started.
    pub started: Time,
    /// The root logger.
    pub log: Logger,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Platform-specific formats of the traffic with callers and targets.
    pub protocol: Arc<dyn Protocol>,
    /// Idle connections to targets.
    pub upstream: IdleConnections,
    /// Memory for bodies of requests and responses.
    pub bodies: Bodies,
    net: PeerNet,
    /// Grants that this host requests, and the pools that it schedules.
    pub scheduling: Scheduling,
    /// Tokens of teams' allowances.
    pub allowances: Allowances,
    routes: ArcSwapOption<RouteIndex>,
    config: Mutex<Option<Arc<FleetConfig>>>,
    /// The configurations that were in force before, oldest first, as bases of changes for followers.
    former_configs: Mutex<VecDeque<Arc<FleetConfig>>>,
    fleet: Mutex<Fleet>,
    members: Mutex<Membership>,
    freshness: Mutex<Freshness>,
    reach: Mutex<Reach>,
    refused_figures: Mutex<RefusedFigures>,
    /// One permit for each tunnel that this host may serve for its peers.
    pub tunnel_permits: Semaphore,
    phase: watch::Sender<Phase>,
    /// By when the requests in flight must have ended, once the host is stopping.
    finish_by: OnceLock<Time>,
    /// The host that announced last that it reads the store.
    pub announced_reader: watch::Sender<Option<SocketAddr>>,
    /// Incremented with each change that has to be sent to followers.
    replica_changes: watch::Sender<u64>,
    callers: AtomicUsize,
    /// Number of long-lived tasks that have ended and not been started again.
    tasks_down: AtomicUsize,
}

/// Counts a task as down until dropped.
pub struct TaskDownGuard(Arc<Host>);

impl Drop for TaskDownGuard {
    fn drop(&mut self) {
        self.0.tasks_down.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a caller's connection until dropped.
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
        let local_member = Member {
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
        let mut fleet = Fleet::new(domain, process);
        let heartbeat = Duration::from_secs_f64(settings.promises.heartbeat_s);
        fleet.registry.set_confirm_after(CONFIRMING_HEARTBEATS * heartbeat);
        Host {
            clock,
            started: now,
            log,
            metrics,
            protocol,
            net,
            upstream: IdleConnections::default(),
            bodies: Bodies::new(settings.body_memory()),
            scheduling: Scheduling::default(),
            allowances: Allowances::default(),
            routes: ArcSwapOption::empty(),
            config: Mutex::default(),
            former_configs: Mutex::default(),
            fleet: Mutex::new(fleet),
            members: Mutex::new(Membership::new(now, local_member, seeds, opts, &mut rand::rng())),
            freshness: Mutex::new(Freshness::new(now)),
            reach: Mutex::default(),
            refused_figures: Mutex::default(),
            tunnel_permits: Semaphore::new(MAX_TUNNELS),
            phase: watch::channel(Phase::Serving).0,
            finish_by: OnceLock::new(),
            announced_reader: watch::channel(None).0,
            replica_changes: watch::channel(0).0,
            callers: AtomicUsize::new(0),
            tasks_down: AtomicUsize::new(0),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the state of targets and budgets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Membership> {
        lock(&self.members)
    }

    /// Locks the state of how current this host's copy of the store is.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }

    /// Locks the state of whether this host reaches the targets.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        lock(&self.reach)
    }

    /// Returns the socket and codec for messages between hosts.
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

    /// Returns whether the host can serve requests: it is not stopping, all its tasks run, and it has a
    /// configuration and a list of targets.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.tasks_down.load(Ordering::Relaxed) == 0
            && self.routes.load().is_some()
            && self.fleet().registry.revision().is_some()
            && self.may_know_evacuations()
    }

    /// Returns whether this host knows the evacuated failure domains, as far as it can. A host that starts waits
    /// for them, but not for longer than an evacuation may take to have effect: its peers may be of a build that
    /// does not pass them on while the store is unavailable.
    fn may_know_evacuations(&self) -> bool {
        let Some(limit) = self.settings.load().evacuation_limit() else { return true };
        self.now().since(self.started) >= limit || self.fleet().registry.evacuations().is_some()
    }

    /// Returns the evacuations in force; `None` if they are not known or failure domains are never evacuated.
    pub fn evacuations(&self) -> Option<Evacuations> {
        self.settings.load().evacuation_limit()?;
        self.fleet().registry.evacuations().cloned()
    }

    /// Puts evacuations in force if they are newer than those that are, and failure domains may be evacuated at
    /// all. `from` names the peer that sent them, or is "store".
    pub fn adopt_evacuations(&self, evacuations: Evacuations, from: &str) {
        if self.settings.load().evacuation_limit().is_none() {
            return;
        }
        let now = self.now();
        let mut fleet = self.fleet();
        let (revision, count) = (evacuations.revision, evacuations.domains().len());
        let held = fleet.registry.evacuations();
        let is_news = held.is_none_or(|held| !held.has_same_state(&evacuations));
        let Some(difference) = fleet.registry.set_evacuations(evacuations) else { return };
        if difference != EvacuationDifference::default() {
            let heartbeat = Duration::from_secs_f64(self.settings.load().promises.heartbeat_s);
            for domain in &difference.returned {
                fleet.registry.assume_cold(now, domain, RETURN_HEARTBEATS * heartbeat);
            }
            fleet.update_table(now);
            self.update_schedulers(now, &fleet.registry);
        }
        drop(fleet);
        for domain in &difference.evacuated {
            warn!(self.log, "domain_evacuated"; "domain" => &**domain, "revision" => %revision,
                "from" => from);
        }
        for domain in &difference.returned {
            info!(self.log, "domain_returned"; "domain" => &**domain, "revision" => %revision,
                "from" => from);
        }
        self.metrics.set_state("evacuated_domains", count as i64);
        if is_news {
            self.notify_followers();
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a channel with the current phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a later phase; does nothing if the host is already in that phase or beyond it.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = (*p).max(phase);
            later
        });
    }

    /// Sets by when the requests in flight must have ended. The first call counts.
    pub fn set_finish_by(&self, at: Time) {
        self.finish_by.get_or_init(|| at);
    }

    /// Returns by when the requests in flight must have ended; `None` if the host is not stopping.
    pub fn finish_by(&self) -> Option<Time> {
        self.finish_by.get().copied()
    }

    /// Returns a channel that changes with each change that has to be sent to followers.
    pub fn replica_changes(&self) -> watch::Receiver<u64> {
        self.replica_changes.subscribe()
    }

    /// Counts a task as down until the guard is dropped.
    pub fn mark_task_down(self: &Arc<Self>) -> TaskDownGuard {
        self.tasks_down.fetch_add(1, Ordering::Relaxed);
        TaskDownGuard(self.clone())
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn register_caller(self: &Arc<Self>) -> CallerGuard {
        self.callers.fetch_add(1, Ordering::Relaxed);
        CallerGuard(self.clone())
    }

    /// Returns the number of open connections from callers.
    pub fn caller_count(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Puts a configuration in force if its edition is newer than the current one's. `from` names the
    /// peer that sent it, or is "store".
    pub fn adopt_config(&self, config: FleetConfig, revision: Revision, from: &str) {
        let mut current = lock(&self.config);
        let was = current.as_ref().map(|c| c.edition()).unwrap_or_default();
        if !config.supersedes(current.as_deref()) {
            return;
        }
        info!(self.log, "config_adopted"; "version" => config.version, "was" => was.version,
            "revision" => %revision, "from" => from, "routes" => config.routes.len(),
            "pools" => config.pools.len(), "teams" => config.teams().len(),
            "authentication" => config.authentication.as_str(), "complete" => config.is_complete);
        let version = config.version;
        self.routes.store(Some(Arc::new(RouteIndex::new(&config))));
        let former = current.replace(Arc::new(config));
        drop(current);
        let mut formers = lock(&self.former_configs);
        formers.extend(former);
        while formers.len() > MAX_FORMER_CONFIGS {
            formers.pop_front();
        }
        drop(formers);
        self.freshness().on_config_adopted(self.now(), version);
        self.notify_followers();
    }

    /// Returns the change that leads a follower from its configuration to the one in force: from the
    /// `edition` that it has or, if that is not retained, the whole configuration; `None` if it lacks
    /// nothing.
    pub fn config_change_since(&self, edition: ConfigEdition) -> Option<ConfigChange> {
        let config = self.config().filter(|c| c.edition() > edition)?;
        let formers = lock(&self.former_configs);
        let base = formers.iter().find(|c| c.edition() == edition);
        Some(match base {
            Some(base) => ConfigChange::between(base, &config),
            None => ConfigChange::whole(&config),
        })
    }

    /// Returns the evacuations with the change by which a follower with the configuration `edition` gets them;
    /// `None` if they are not known here or don't differ from those that were sent before. A follower without a
    /// configuration could not apply the change.
    pub fn evacuations_since(
        &self,
        edition: ConfigEdition,
        sent: Option<&Evacuations>,
    ) -> Option<(Evacuations, ConfigChange)> {
        let is_sent = |e: &Evacuations| sent.is_some_and(|sent| sent.has_same_state(e));
        let evacuations = self.evacuations().filter(|e| !is_sent(e))?;
        if edition == ConfigEdition::default() {
            return None;
        }
        let config = self.config();
        let change = ConfigChange::of_evacuations(edition, config.as_deref(), evacuations.clone());
        Some((evacuations, change))
    }

    /// Records the configuration version that a peer has in force. If it is newer than this host's and
    /// does not arrive, what this host reads or follows is not current.
    pub fn on_peer_config_version(&self, version: u64) {
        if version <= self.config_version() {
            return;
        }
        let now = self.now();
        let mut freshness = self.freshness();
        // Read again under the lock: a configuration is put in force before the lock is taken to record that.
        freshness.on_peer_config_version(now, version, self.config_version());
    }

    /// Returns the position in the store's history up to which this host has read or replicated anything.
    pub fn store_revision(&self) -> Revision {
        let config = self.freshness().config_revision.unwrap_or_default();
        self.fleet().registry.revision().unwrap_or_default().max(config)
    }

    /// Returns how long entries that changes up to `to` remove remain in use.
    ///
    /// An entry that is missing from a copy of the store is no sign that its target has left: the target may
    /// have registered after the copy was made, and registers again.
    fn expiry_grace(&self, now: Time, to: Revision) -> Duration {
        let promises = &self.settings.load().promises;
        let lapse = Duration::from_secs_f64(promises.lapse_s);
        let drain = Duration::from_secs_f64(promises.drain_s);
        let held = self.fleet().registry.revision().unwrap_or_default();
        let mut freshness = self.freshness();
        if held.era > 0 && to.era > held.era {
            warn!(self.log, "store_restored"; "revision" => %to, "held" => %held);
            freshness.on_store_restored(now);
            return lapse;
        }
        freshness.grace_of_removed_entry(now, lapse, drain)
    }

    /// Applies changes to the registry of targets. `from` names the peer that sent them, or is "store".
    /// Returns false if they are older than this host's revision or start after it.
    pub fn apply_targets(&self, mut delta: RegistryDelta, from: &str) -> bool {
        let now = self.now();
        self.exclude_unsendable(&mut delta, from);
        let expiry_grace = self.expiry_grace(now, delta.to);
        let mut fleet = self.fleet();
        if fleet.registry.revision().is_some_and(|r| r >= delta.to) && delta.changes.is_empty() {
            return true;
        }
        let (changes, to) = (delta.changes.len(), delta.to);
        let held = fleet.registry.revision();
        if !fleet.registry.apply(now, delta.clone(), expiry_grace) {
            warn!(self.log, "targets_refused"; "revision" => %to,
                "held" => %held.unwrap_or_default(), "changes" => changes, "from" => from, "is_list" => delta.from.is_none());
            return false;
        }
        fleet.retain_delta(delta);
        fleet.update_table(now);
        self.update_schedulers(now, &fleet.registry);
        if changes > 0 {
            info!(self.log, "targets_changed"; "revision" => %to, "changes" => changes,
                "from" => from, "lapsed" => fleet.registry.expired_count(),
                "lapse_ms" => expiry_grace.as_millis() as u64);
        }
        drop(fleet);
        self.notify_followers();
        true
    }

    /// Makes targets unusable whose ids can't be sent in a header: a request could reach another target that has got the
    /// address.
    fn exclude_unsendable(&self, delta: &mut RegistryDelta, from: &str) {
        for (_, change) in &mut delta.changes {
            if let RegistryChange::Put(target) = change
                && header_value(&target.id).is_none()
            {
                warn!(self.log, "target_id_unsendable"; "target" => &*target.id, "from" => from);
                *change = RegistryChange::Unusable(target.id.clone());
            }
        }
    }

    /// Uses the targets of a list that could not be read to its end, unless this host knows others. They count as
    /// older than any other list.
    pub fn apply_incomplete_list(&self, changes: Vec<(Revision, RegistryChange)>, from: &str) {
        let to = Revision::default();
        if self.fleet().registry.revision().is_none_or(|held| held <= to) {
            self.apply_targets(RegistryDelta { from: None, to, changes }, from);
        }
    }

    /// Passes the registered targets and what cold ones accept to the pools that this host schedules.
    fn update_schedulers(&self, now: Time, registry: &TargetRegistry) {
        self.scheduling.update(now, registry, |pool| self.warm_up_rules(pool));
    }

    /// Returns what cold targets of a pool may get; `None` if that is not limited.
    pub fn warm_up_rules(&self, pool: &str) -> Option<WarmUpRules> {
        let per_s = self.routes.load().as_ref()?.pool(pool)?.warm_up_per_s?;
        let promises = &self.settings.load().promises;
        let (overage, slack) = (promises.warm_up_overage, promises.warm_up_slack);
        Some(WarmUpRules { per_s, overage, slack })
    }

    /// Records for how long a target says in a health response that it stays cold, if cold targets of its pool
    /// are limited, and tells the scheduler of the pool what is new.
    pub fn on_warm_up_left(
        self: &Arc<Self>,
        pool: &Arc<str>,
        candidate: &Candidate,
        headers: &HeaderMap,
    ) {
        if self.warm_up_rules(pool).is_none() {
            return;
        }
        let Candidate { id: target, run } = candidate;
        let left = self.valid(target, self.protocol.warm_up_left(headers)).flatten();
        let Some(left) = left else { return };
        let is_registered = self.fleet().registry.run(target) == Some(*run);
        if is_registered && self.set_warm_up_left(target, left, "target") {
            scheduling::report_warm_ups(self, pool, std::slice::from_ref(target));
        }
    }

    /// Records for how long targets stay cold that told a peer so.
    pub fn on_peer_warm_ups(&self, from: &str, pool: &str, targets: &[(Arc<str>, u32)]) {
        if self.warm_up_rules(pool).is_none() {
            return;
        }
        for (target, left_ms) in targets {
            let is_of_pool = self.fleet().registry.pool(target).is_some_and(|p| **p == *pool);
            if is_of_pool {
                self.set_warm_up_left(target, Duration::from_millis(u64::from(*left_ms)), from);
            }
        }
    }

    /// Returns whether the target is taken to be cold for longer than before.
    fn set_warm_up_left(&self, target: &str, left: Duration, from: &str) -> bool {
        let now = self.now();
        let mut fleet = self.fleet();
        if !fleet.registry.on_warm_up_left(now, target, left) {
            return false;
        }
        fleet.update_table(now);
        self.update_schedulers(now, &fleet.registry);
        drop(fleet);
        info!(self.log, "target_cold"; "target" => target, "from" => from,
            "left_ms" => left.as_millis() as u64);
        true
    }

    /// Takes a request to a cold target out of this host's share, and returns whether it is allowed. The host
    /// selects targets itself; for each target, the lot falls on one of the hosts in service.
    pub fn try_take_warm_up(&self, pool: &str, target: &Arc<str>) -> bool {
        let Some(rules) = self.warm_up_rules(pool) else { return true };
        if !scheduling::knows_members(self) || !self.has_lot(target) {
            return false;
        }
        let now = self.now();
        self.fleet().warm_up_shares.try_take(now, target, &rules)
    }

    fn has_lot(&self, target: &str) -> bool {
        let members = self.members();
        let me = members.local_member();
        let in_service = std::iter::once(me).chain(members.peers());
        let first = in_service
            .filter(|m| m.state == MemberState::Alive)
            .min_by_key(|m| (members.order_key(target, &m.name), m.name.clone()));
        first.is_some_and(|m| m.name == me.name)
    }

    /// Returns the load that a target reports in a response's headers, if it does and that can be true.
    pub fn target_report(&self, target: &Arc<str>, headers: &HeaderMap) -> Option<TargetReport> {
        self.valid(target, self.protocol.target_report(headers)).flatten()
    }

    /// Returns what a target demands in a response's headers, unless that can't be true.
    pub fn target_demand(&self, target: &Arc<str>, headers: &HeaderMap) -> Option<TargetDemand> {
        self.valid(target, self.protocol.target_demand(headers))
    }

    fn valid<T>(&self, target: &Arc<str>, header: Result<T, InvalidHeader>) -> Option<T> {
        match header {
            Ok(value) => Some(value),
            Err(e) => {
                self.on_refused_figure(target, e);
                None
            }
        }
    }

    /// Records that a target or a peer stated a figure that can't be true.
    pub fn on_refused_figure<E>(&self, source: &Arc<str>, error: E)
    where
        E: Display,
    {
        self.metrics.refused_figure();
        lock(&self.refused_figures).record(self.now(), &self.log, source, error);
    }

    /// Records what a target demands with a response to a request or a probe that was sent to `candidate` at
    /// `sent_at`, and reports changes to the scheduler of the pool.
    pub fn on_demand(
        self: &Arc<Self>,
        pool: &Arc<str>,
        candidate: &Candidate,
        sent_at: Time,
        demand: TargetDemand,
    ) {
        if demand == TargetDemand::default() && self.fleet().demands.is_empty() {
            return;
        }
        let now = self.now();
        let Candidate { id: target, run } = candidate;
        let (is_due, is_registered) = {
            let Fleet { registry, demands, .. } = &mut *self.fleet();
            let is_due = demands.on_answer(now, sent_at, pool, target, *run, demand);
            (is_due, registry.run(target) == Some(*run))
        };
        if !is_due {
            return;
        }
        info!(self.log, "target_demand"; "target" => &**target, "pool" => &**pool,
            "limit_per_s" => demand.limit_per_s.unwrap_or(f64::INFINITY),
            "leaving" => demand.leaving, "started" => run.started_unix_ms,
            "registered" => is_registered);
        if !is_registered {
            return;
        }
        let report = ReportedDemand { target: target.clone(), demand, age: Duration::ZERO };
        scheduling::report_demands(self, pool, vec![report]);
    }

    /// Records that a target accepts nothing from this host for some time. If `relay` names a peer, the target
    /// asked that peer, which relayed the request, and the peer is told.
    pub fn on_pause(
        &self,
        pool: &Arc<str>,
        candidate: &Candidate,
        pause: Duration,
        relay: Option<SocketAddr>,
    ) {
        let Candidate { id: target, run } = candidate;
        let pause = pause.min(MAX_PAUSE);
        if let Some(peer) = relay {
            let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
            let (pool, target) = (pool.clone(), target.clone());
            peers::send(self, &[peer], Message::TargetPause { pool, target, pause_ms });
        }
        info!(self.log, "target_pause"; "target" => &**target, "pool" => &**pool,
            "pause_ms" => pause.as_millis() as u64);
        self.fleet().demands.on_pause(self.now(), pool, target, *run, pause);
    }

    /// Records that a target asked this host for a pause, in a response that a peer got through this host.
    pub fn on_relayed_pause(&self, pool: &Arc<str>, target: &Arc<str>, pause: Duration) {
        // A target that is not registered gets no requests.
        let Some(run) = self.fleet().registry.run(target) else { return };
        self.on_pause(pool, &Candidate { id: target.clone(), run }, pause, None);
    }

    /// Returns a target as a candidate if it may be sent requests of the pool at present.
    pub fn candidate(&self, pool: &str, target: &str) -> Option<Candidate> {
        let now = self.now();
        let fleet = self.fleet();
        let candidate = fleet.table.candidate(pool, target)?;
        (!fleet.demands.is_closed(now, target, candidate.run)).then_some(candidate)
    }

    /// Returns the number of hosts that share limits and budgets, this one among them. A host that does not know the
    /// others assumes as many hosts as there are targets.
    pub fn host_count(&self) -> usize {
        let (known, knows_all) = {
            let members = self.members();
            (members.peers().count() + 1, members.knows_others())
        };
        if knows_all { known } else { known.max(self.assumed_host_count()) }
    }

    /// Returns the number of hosts that are not known to be gone, like [`host_count`](Host::host_count).
    fn live_host_count(&self) -> usize {
        if !self.members().knows_others() {
            return self.host_count();
        }
        self.members().live_peers().count() + 1
    }

    fn assumed_host_count(&self) -> usize {
        self.fleet().registry.targets(self.now()).count().max(MIN_ASSUMED_HOSTS)
    }

    /// Returns the part of the targets' limits that a scheduler on this host may grant. Hosts that are out
    /// of sight may have a scheduler of their own, as long as they are not known to be gone.
    pub fn limit_share(&self) -> f64 {
        if !self.members().knows_others() {
            return 1.0 / self.host_count() as f64;
        }
        self.part_in_sight().max(MIN_LIMIT_SHARE)
    }

    /// Returns the part of the known hosts that are not known to be gone, this one among them.
    pub fn part_in_sight(&self) -> f64 {
        let members = self.members();
        let (all, live) = (members.peers().count() + 1, members.live_peers().count() + 1);
        live as f64 / all as f64
    }

    /// Records a fault of a target that this host observed.
    pub fn on_fault(&self, id: &Arc<str>, fault: Fault) {
        let now = self.now();
        self.scheduling.on_fault(now, id, fault.weight());
        let mut fleet = self.fleet();
        fleet.unsent_faults.push((id.clone(), fault.weight()));
        if fleet.table.on_fault(now, id, fault.weight()) {
            warn!(self.log, "target_left_out"; "target" => &**id, "fault" => fault.as_str());
        }
    }

    /// Records one or more faults of a target that a peer observed, whose weights add up to `weight`.
    pub fn on_peer_fault(&self, from: &str, id: &str, weight: f64) {
        let now = self.now();
        self.scheduling.on_fault(now, id, weight);
        if self.fleet().table.on_fault(now, id, weight) {
            warn!(self.log, "target_left_out"; "target" => id, "peer" => from, "weight" => weight);
        }
    }

    /// Records that another target answered at the address of a run of a target, and reports it to peers unless it
    /// is known. It says nothing of another run.
    pub fn on_identity_mismatch(&self, candidate: &Candidate) {
        let Candidate { id, run } = candidate;
        let now = self.now();
        if self.fleet().registry.run(id) != Some(*run) {
            return;
        }
        self.scheduling.on_identity_mismatch(now, id);
        if self.fleet().table.on_identity_mismatch(now, id) {
            warn!(self.log, "target_replaced"; "target" => &**id);
            peers::send_identity_mismatch(self, id);
        }
    }

    /// Records that another target answered a peer at the address of `id`, unless that may be about a former run: the
    /// message does not name the run, and the peer may know of the present one later than this host.
    pub fn on_peer_identity_mismatch(&self, from: &str, id: &str) {
        let now = self.now();
        let known_to_peers_since = now - MAX_REGISTRY_LAG;
        if !self.fleet().registry.may_be_of_registered_run(id, known_to_peers_since) {
            return;
        }
        self.scheduling.on_identity_mismatch(now, id);
        if self.fleet().table.on_identity_mismatch(now, id) {
            warn!(self.log, "target_replaced"; "target" => id, "peer" => from);
        }
    }

    /// Takes one extra attempt (a retry or hedge) from a pool's budget, which all hosts share. Returns
    /// whether it is allowed.
    pub fn try_extra_attempt(&self, pool: &Arc<str>, kind: ExtraAttempt) -> bool {
        let hosts = self.host_count();
        let opts = self.extra_attempt_options();
        let now = self.now();
        self.fleet().extra_attempts(pool).try_take(now, kind, hosts, &opts)
    }

    /// Takes up to `wanted` probes from a pool's budget and returns how many are allowed, at
    /// least `minimum`. The scheduler of the pool has most of the budget; all hosts share the rest.
    pub fn take_probes(&self, pool: &Arc<str>, wanted: usize, minimum: usize, by: Prober) -> usize {
        let hosts = self.live_host_count();
        let share = match by {
            Prober::Scheduler => SCHEDULER_PROBE_SHARE,
            Prober::Host => (1.0 - SCHEDULER_PROBE_SHARE) / hosts as f64,
        };
        let per_target = self.settings.load().promises.probes_per_s;
        let now = self.now();
        let mut fleet = self.fleet();
        let rate = per_target * fleet.table.count(pool) as f64 * share;
        fleet.probe_budget(pool, by).take(now, wanted, minimum, rate)
    }

    /// Returns the limits of extra attempts.
    pub fn extra_attempt_options(&self) -> ExtraAttemptOptions {
        let settings = self.settings.load();
        ExtraAttemptOptions {
            ratio: settings.promises.repeat_ratio,
            slack: settings.promises.repeat_slack,
            window: Duration::from_secs_f64(settings.promises.repeat_window_s),
            ..ExtraAttemptOptions::default()
        }
    }

    /// Returns how many idle connections this host may keep per target: its share of half of the
    /// connections that a target accepts, so that the other half is available for new ones.
    pub fn idle_connection_limit(&self) -> usize {
        let hosts = self.live_host_count();
        let config = self.config();
        let max_connections = config.iter().flat_map(|c| &c.pools).map(|p| p.max_connections).min();
        (max_connections.unwrap_or(u32::MAX) as usize / (2 * hosts)).max(1)
    }

    /// Removes targets whose expiry grace has ended. To be called a few times a second.
    pub fn tick(&self, now: Time) {
        let may_evacuate = self.settings.load().evacuation_limit().is_some();
        let mut fleet = self.fleet();
        if !may_evacuate && fleet.registry.evacuations().is_some() {
            fleet.registry.clear_evacuations();
            self.metrics.set_state("evacuated_domains", 0);
        }
        fleet.registry.drop_expired(now);
        fleet.update_table(now);
        self.update_schedulers(now, &fleet.registry);
    }

    /// Causes an update to be sent to followers, with what has changed and how current it is.
    pub fn notify_followers(&self) {
        self.replica_changes.send_modify(|n| *n += 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns gossip intervals for hosts that have only a small share of a core.
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
