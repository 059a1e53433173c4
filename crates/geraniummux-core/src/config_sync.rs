//! Distribution of the configuration from the platform and between the hosts.
//!
//! [`ConfigSync`] decides when to watch or read the platform, when to fetch from a peer, which
//! configuration to adopt, and whether the host may serve. A host adopts only higher generations,
//! so a delayed message or a stale read never replaces a configuration by an older one.

use crate::config::{Adoption, Config, ConfigState};
use crate::membership::{MemberState, Membership};
use crate::pause::PauseGate;
use crate::time::Time;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Intervals and limits of the configuration's distribution.
#[derive(Clone, Debug)]
pub struct ConfigSyncOptions {
    /// Number of hosts that watch the platform while at least one of them reaches it.
    pub watchers: usize,
    /// Longest duration of one watch. A watch that ends without a change is followed by a read,
    /// because a watch may miss a change of the object.
    pub watch_wait: Duration,
    /// Timeout of a read or write of the platform, and of a watch beyond its longest duration.
    pub call_timeout: Duration,
    /// Timeout of a fetch from a peer.
    pub fetch_timeout: Duration,
    /// Time since the configuration was last confirmed on the platform, as far as this host knows,
    /// after which the number of watching hosts doubles.
    pub extra_watchers_after: Duration,
    /// Interval at which the number of watching hosts doubles again after `extra_watchers_after`,
    /// until the configuration is confirmed.
    pub extra_watchers_step: Duration,
    /// Time without contact to the platform or any peer, or behind an announced generation, after
    /// which a host refuses requests.
    pub isolation_timeout: Duration,
    /// Time that a starting host waits for a peer before it relies on the platform alone, because
    /// reads of the platform may be stale.
    pub startup_peer_wait: Duration,
    /// Time for which reads must show a lower generation on the platform before it is overwritten;
    /// until then the reads may be stale.
    pub write_back_after: Duration,
    /// Time after its latest announcement in which a higher generation that can't be fetched marks
    /// this host as behind. Without this limit, a host would refuse requests for ever if the only
    /// host with that generation died.
    pub announcement_ttl: Duration,
    /// Peers that receive the whole configuration after an edit; the others learn its generation
    /// through gossip and fetch it.
    pub push_fanout: usize,
    /// Initial and maximum backoff after a failed platform call.
    pub backoff: (Duration, Duration),
}

impl Default for ConfigSyncOptions {
    fn default() -> Self {
        ConfigSyncOptions {
            watchers: 3,
            watch_wait: Duration::from_secs(2),
            call_timeout: Duration::from_secs(1),
            fetch_timeout: Duration::from_secs(1),
            extra_watchers_after: Duration::from_secs(4),
            extra_watchers_step: Duration::from_secs(1),
            isolation_timeout: Duration::from_secs(8),
            startup_peer_wait: Duration::from_secs(2),
            write_back_after: Duration::from_secs(6),
            announcement_ttl: Duration::from_secs(4),
            push_fanout: 20,
            backoff: (Duration::from_millis(100), Duration::from_secs(10)),
        }
    }
}

/// An action that [`ConfigSync`] asks the daemon to perform. Each `id` is returned with the result.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Request a peer's configuration if it is newer; pass the result to
    /// [`ConfigSync::on_fetch_result`].
    Fetch {
        /// Identifies the fetch.
        id: u64,
        /// Address of the peer.
        peer: SocketAddr,
        /// Generation in force on this host.
        generation: u64,
    },
    /// Send the configuration to a peer, without a reply.
    Push {
        /// Address of the peer.
        to: SocketAddr,
        /// The configuration.
        config: Arc<Config>,
    },
    /// Read the configuration object from the platform; pass the result to
    /// [`ConfigSync::on_platform_result`].
    Read {
        /// Identifies the call.
        id: u64,
    },
    /// Wait for a newer version of the configuration object on the platform; pass the result to
    /// [`ConfigSync::on_platform_result`].
    Watch {
        /// Identifies the call.
        id: u64,
        /// Last version of the object seen by this host.
        after: u64,
        /// Longest duration of the watch.
        wait: Duration,
    },
    /// Overwrite the configuration object by the configuration in force, on the condition that the
    /// object has this version (`None`: that it does not exist); pass the result to
    /// [`ConfigSync::on_platform_result`].
    WriteBack {
        /// Identifies the call.
        id: u64,
        /// The configuration in force.
        config: Arc<Config>,
        /// Version that the object must have.
        version: Option<u64>,
    },
    /// Apply this configuration, which is now in force on this host.
    InForce(Arc<Config>),
}

/// The result of a fetch from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum FetchResult {
    /// The peer sent a newer configuration.
    Config(Arc<Config>),
    /// The peer is ready and has no newer configuration.
    NoNewer,
    /// The peer is not serving itself, so its answer doesn't confirm this host's configuration.
    NotReady,
    /// The peer did not answer.
    Failed,
}

/// The result of a platform call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformResult {
    /// The configuration object, from a read or watch.
    Object {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        config: Arc<Config>,
    },
    /// The object does not exist.
    Absent,
    /// The watch ended without a change.
    Unchanged,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: u64,
    },
    /// The write's condition did not hold; nothing was written.
    Conflict,
    /// The call failed or its response was lost; a write may have taken effect.
    Failed,
}

/// Whether the state of its configuration allows a host to send requests to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Send requests.
    Serve,
    /// Hold the request and check again: the host resumed from a pause and has not yet refreshed
    /// its configuration.
    Hold,
    /// Refuse the request with outcome `not-run`.
    Refuse(NotServingReason),
}

/// Why a host does not serve requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotServingReason {
    /// Neither a peer nor the platform has answered since the start.
    Starting,
    /// Neither a peer nor the platform was reached within the isolation timeout.
    Isolated,
    /// A peer announced a higher generation that could not be fetched within the isolation timeout.
    Behind,
}

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    id: u64,
    peer: SocketAddr,
    sent: Time,
}

/// A platform call in progress.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    sent: Time,
    deadline: Time,
}

/// A peer's announcement of a higher generation than the one in force.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    peer: SocketAddr,
    generation: u64,
    /// Time of the latest message with this generation.
    received: Time,
    /// Time of the last failed fetch from this peer.
    fetch_failed: Option<Time>,
}

/// A lower generation on the platform than the one in force.
#[derive(Clone, Copy, Debug)]
struct LowerGeneration {
    /// Version of the object; `None` if it does not exist.
    version: Option<u64>,
    first_seen: Time,
    /// Send time of the latest call that returned it.
    last_read: Time,
}

/// The configuration state of one host.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    opts: ConfigSyncOptions,
    state: ConfigState,
    started_at: Time,
    /// Whether the start is complete: a peer, or the platform alone, confirmed the configuration.
    ready: bool,
    platform_answered: bool,
    pause_gate: PauseGate,
    announcements: Vec<Announcement>,
    /// Time since which peers have announced higher generations without interruption.
    behind_since: Option<Time>,
    fetches: Vec<Fetch>,
    next_peer_poll: Time,
    call: Option<Call>,
    next_call: Time,
    call_failures: u32,
    /// Last version seen on the platform, for the next watch; `None` makes the next call a read.
    seen_version: Option<u64>,
    lower_on_platform: Option<LowerGeneration>,
    platform_contact: Option<Time>,
    peer_contact: Option<Time>,
    had_peer: bool,
    next_id: u64,
}

impl ConfigSync {
    /// Returns the state of a starting host.
    pub fn new(now: Time, opts: ConfigSyncOptions) -> Self {
        ConfigSync {
            opts,
            state: ConfigState::default(),
            started_at: now,
            ready: false,
            platform_answered: false,
            pause_gate: PauseGate::new(now),
            announcements: Vec::new(),
            behind_since: None,
            fetches: Vec::new(),
            next_peer_poll: now,
            call: None,
            next_call: now,
            call_failures: 0,
            seen_version: None,
            lower_on_platform: None,
            platform_contact: None,
            peer_contact: None,
            had_peer: false,
            next_id: 0,
        }
    }

    /// Returns the configuration in force; generation 0 means none.
    pub fn current(&self) -> &Arc<Config> {
        self.state.current()
    }

    /// Returns the highest generation that is in force here or that peers announced within the
    /// announcement TTL.
    pub fn highest_generation(&self) -> u64 {
        let announced = self.announcements.iter().map(|a| a.generation).max().unwrap_or(0);
        announced.max(self.current().generation)
    }

    /// Returns whether this host may answer a peer's fetch with its configuration. If not, it
    /// answers that it is not ready.
    pub fn can_answer_fetch(&self, now: Time) -> bool {
        self.permit(now) == Permit::Serve
    }

    /// Returns the send time of the latest call that the platform answered. Contact is proven up to
    /// that time, not up to the arrival of the response.
    pub fn platform_contact(&self) -> Option<Time> {
        self.platform_contact
    }

    /// Returns whether a request may be sent to a target now.
    pub fn permit(&self, now: Time) -> Permit {
        let overdue =
            |t: Option<Time>| t.is_some_and(|t| now.since(t) > self.opts.isolation_timeout);
        if !self.ready {
            return Permit::Refuse(NotServingReason::Starting);
        }
        if self.pause_gate.is_closed(now) {
            return Permit::Hold;
        }
        let contact = self.platform_contact.max(self.peer_contact);
        if self.had_peer && overdue(contact.or(Some(self.started_at))) {
            return Permit::Refuse(NotServingReason::Isolated);
        }
        if overdue(self.behind_since) {
            return Permit::Refuse(NotServingReason::Behind);
        }
        Permit::Serve
    }

    /// Advances the timers. The daemon runs it at least every 100 ms, after [`Membership::tick`].
    pub fn tick<R>(&mut self, now: Time, members: &mut Membership, rng: &mut R) -> Vec<ConfigAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        self.had_peer |= members.had_peer();
        self.peer_contact = members.last_contact();
        if let Some(at) = self.platform_contact {
            members.note_config_confirmed(at);
        }
        if self.pause_gate.on_timer(now).is_some() {
            // Calls from before the pause are abandoned. A late response may still bring a newer
            // configuration, but does not end the hold.
            self.fetches.clear();
            self.call = None;
            self.next_call = now;
            self.next_peer_poll = now;
            self.call_failures = 0;
        }
        self.expire(now, rng);
        self.poll_peers(now, members, rng, &mut out);
        self.fetch_announced(now, &mut out);
        self.call_platform(now, members, &mut out);
        self.finish_start(now, members);
        out
    }

    /// Handles the generation in the header of a message from a peer.
    pub fn on_announcement(
        &mut self,
        now: Time,
        peer: SocketAddr,
        generation: u64,
    ) -> Vec<ConfigAction> {
        let mut out = Vec::new();
        self.announcements.retain(|a| a.peer != peer || a.generation == generation);
        if generation <= self.current().generation {
            self.update_behind(now);
            return out;
        }
        match self.announcements.iter().position(|a| a.peer == peer) {
            Some(i) => self.announcements[i].received = now,
            None if self.announcements.len() < crate::membership::MAX_MEMBERS => {
                self.announcements.push(Announcement {
                    peer,
                    generation,
                    received: now,
                    fetch_failed: None,
                });
            }
            None => {}
        }
        self.update_behind(now);
        self.fetch_announced(now, &mut out);
        out
    }

    /// Handles the result of a fetch from a peer.
    pub fn on_fetch_result(
        &mut self,
        now: Time,
        id: u64,
        result: FetchResult,
    ) -> Vec<ConfigAction> {
        let mut out = Vec::new();
        let fetch = self.fetches.iter().position(|f| f.id == id).map(|i| self.fetches.remove(i));
        match result {
            FetchResult::Config(config) => {
                self.adopt(now, config, &mut out);
                self.note_peer_contact(fetch);
            }
            FetchResult::NoNewer => self.note_peer_contact(fetch),
            FetchResult::NotReady | FetchResult::Failed => {
                let peer = fetch.map(|f| f.peer);
                for a in self.announcements.iter_mut().filter(|a| Some(a.peer) == peer) {
                    a.fetch_failed = Some(now);
                }
            }
        }
        self.fetch_announced(now, &mut out);
        out
    }

    /// Handles a configuration that a peer pushed.
    pub fn on_push(&mut self, now: Time, config: Arc<Config>) -> Vec<ConfigAction> {
        let mut out = Vec::new();
        self.adopt(now, config, &mut out);
        out
    }

    /// Puts the result of an accepted edit in force and pushes it to peers.
    pub fn on_edit<R>(
        &mut self,
        now: Time,
        config: Arc<Config>,
        members: &Membership,
        rng: &mut R,
    ) -> Vec<ConfigAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        self.adopt(now, config.clone(), &mut out);
        // The edit's result may arrive after a newer configuration, which stays in force and makes
        // the push pointless.
        if self.current().generation == config.generation {
            let mut to: Vec<SocketAddr> = members.live_peers().map(|m| m.addr).collect();
            to.shuffle(rng);
            to.truncate(self.opts.push_fanout);
            out.extend(to.into_iter().map(|to| ConfigAction::Push { to, config: config.clone() }));
        }
        out
    }

    /// Handles the result of a platform call.
    pub fn on_platform_result<R>(
        &mut self,
        now: Time,
        id: u64,
        result: PlatformResult,
        rng: &mut R,
    ) -> Vec<ConfigAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        let Some(call) = self.call.take_if(|c| c.id == id) else {
            // The call was abandoned, but a newer configuration in its response is still used.
            if let PlatformResult::Object { config, .. } = result {
                self.adopt(now, config, &mut out);
            }
            return out;
        };
        if result == PlatformResult::Failed {
            self.on_call_failure(now, rng);
            return out;
        }
        self.call_failures = 0;
        self.next_call = now;
        match result {
            PlatformResult::Object { version, config } => {
                self.note_platform_contact(call);
                self.seen_version = Some(version);
                self.check_lower_generation(now, Some(version), config.generation, call);
                self.adopt(now, config, &mut out);
            }
            PlatformResult::Absent => {
                self.note_platform_contact(call);
                self.seen_version = None;
                // A missing object can't be watched, so it is read again after a delay.
                self.next_call = now + Duration::from_secs(1);
                self.check_lower_generation(now, None, 0, call);
            }
            // A watch may miss a change, so its end without one does not count as contact.
            PlatformResult::Unchanged => self.seen_version = None,
            PlatformResult::Written { version } => {
                self.note_platform_contact(call);
                self.seen_version = Some(version);
                self.lower_on_platform = None;
            }
            PlatformResult::Conflict => {
                self.seen_version = None;
                self.lower_on_platform = None;
            }
            PlatformResult::Failed => {}
        }
        out
    }

    fn alloc_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn adopt(&mut self, now: Time, config: Arc<Config>, out: &mut Vec<ConfigAction>) {
        // The writer validated the tables, but perhaps with another version of the program. A host
        // must not apply tables that its own version rejects.
        if config.generation > self.current().generation && config.tables.validate().is_err() {
            return;
        }
        if self.state.adopt_if_newer(config.clone()) == Adoption::Adopted {
            self.lower_on_platform = None;
            out.push(ConfigAction::InForce(config));
            self.update_behind(now);
        }
    }

    fn note_peer_contact(&mut self, fetch: Option<Fetch>) {
        if let Some(f) = fetch {
            self.ready = true;
            self.pause_gate.on_refreshed(f.sent);
            self.peer_contact = self.peer_contact.max(Some(f.sent));
        }
    }

    fn note_platform_contact(&mut self, call: Call) {
        self.platform_answered = true;
        self.pause_gate.on_refreshed(call.sent);
        self.platform_contact = self.platform_contact.max(Some(call.sent));
    }

    /// Makes the host ready on the platform's response alone: at once if it has neither live peers
    /// nor seeds, and otherwise after the startup wait.
    fn finish_start(&mut self, now: Time, members: &Membership) {
        let alone = members.live_peers().next().is_none();
        let waited = now.since(self.started_at) >= self.opts.startup_peer_wait;
        let waits_for_seeds = alone && !waited && members.has_seeds();
        if self.platform_answered && (waited || alone && !waits_for_seeds) {
            self.ready = true;
        }
    }

    /// Tracks whether the platform holds a lower generation than the one in force, which a restored
    /// backup or a stale read explains.
    fn check_lower_generation(
        &mut self,
        now: Time,
        version: Option<u64>,
        generation: u64,
        call: Call,
    ) {
        if generation >= self.current().generation {
            self.lower_on_platform = None;
            return;
        }
        match &mut self.lower_on_platform {
            Some(l) if l.version == version => l.last_read = call.sent,
            // Another version with a lower generation confirms that an old state was restored, so
            // the wait before the write-back goes on and does not start again.
            Some(l) => (l.version, l.last_read) = (version, call.sent),
            None => {
                self.lower_on_platform =
                    Some(LowerGeneration { version, first_seen: now, last_read: call.sent })
            }
        }
    }

    fn update_behind(&mut self, now: Time) {
        let current = self.current().generation;
        self.announcements.retain(|a| a.generation > current);
        if self.announcements.is_empty() {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }

    fn expire<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        let ttl = self.opts.announcement_ttl;
        self.announcements.retain(|a| now.since(a.received) < ttl);
        self.update_behind(now);
        let timeout = self.opts.fetch_timeout;
        for f in self.fetches.iter().filter(|f| now.since(f.sent) >= timeout) {
            for a in self.announcements.iter_mut().filter(|a| a.peer == f.peer) {
                a.fetch_failed = Some(now);
            }
        }
        self.fetches.retain(|f| now.since(f.sent) < timeout);
        if self.call.take_if(|c| now >= c.deadline).is_some() {
            self.on_call_failure(now, rng);
        }
    }

    fn on_call_failure<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        let (first, longest) = self.opts.backoff;
        let limit = first.saturating_mul(1 << self.call_failures.min(16)).min(longest);
        self.call_failures += 1;
        // Full jitter keeps the hosts from calling the platform at the same time after an outage.
        self.next_call = now + limit.mul_f64(rng.random::<f64>());
        self.seen_version = None;
    }

    /// Fetches from several peers at once while the host starts or resumes from a pause.
    fn poll_peers<R>(
        &mut self,
        now: Time,
        members: &Membership,
        rng: &mut R,
        out: &mut Vec<ConfigAction>,
    ) where
        R: Rng + ?Sized,
    {
        if self.ready && !self.pause_gate.awaits_refresh(now) || now < self.next_peer_poll {
            return;
        }
        self.next_peer_poll = now + Duration::from_millis(250);
        let mut peers: Vec<SocketAddr> = members
            .live_peers()
            .filter(|m| m.state != MemberState::Suspect || !self.ready)
            .map(|m| m.addr)
            .collect();
        peers.shuffle(rng);
        for peer in peers.into_iter().take(3) {
            self.fetch(now, peer, out);
        }
    }

    fn fetch(&mut self, now: Time, peer: SocketAddr, out: &mut Vec<ConfigAction>) {
        let id = self.alloc_id();
        self.fetches.push(Fetch { id, peer, sent: now });
        out.push(ConfigAction::Fetch { id, peer, generation: self.current().generation });
    }

    /// Fetches the highest announced generation, from one peer at a time. Peers whose last fetch
    /// failed come last, in the order of their failures.
    fn fetch_announced(&mut self, now: Time, out: &mut Vec<ConfigAction>) {
        if !self.fetches.is_empty() {
            return;
        }
        let pause = Duration::from_millis(200);
        let best = self
            .announcements
            .iter()
            .filter(|a| a.fetch_failed.is_none_or(|t| now.since(t) >= pause))
            .min_by_key(|a| (a.fetch_failed, std::cmp::Reverse(a.generation)));
        if let Some(peer) = best.map(|a| a.peer) {
            self.fetch(now, peer, out);
        }
    }

    /// Returns whether this host watches the platform in normal operation, after start or resume.
    fn is_watcher(&self, now: Time, members: &Membership) -> bool {
        if members.live_peers().next().is_none() {
            return true;
        }
        // Without a confirmation for a while, the usual watchers may be unable to reach the
        // platform, so more hosts watch it.
        let confirmed_at =
            members.config_confirmed_at().unwrap_or(self.started_at).max(self.started_at);
        let mut limit = self.opts.watchers;
        let mut age = now.since(confirmed_at);
        while age >= self.opts.extra_watchers_after && limit < crate::membership::MAX_MEMBERS {
            limit *= 2;
            age = age.saturating_sub(self.opts.extra_watchers_step);
        }
        members.rank("config-watch") < limit
    }

    fn call_platform(&mut self, now: Time, members: &Membership, out: &mut Vec<ConfigAction>) {
        if self.call.is_some() || now < self.next_call {
            return;
        }
        let urgent = !self.ready && !self.platform_answered || self.pause_gate.awaits_refresh(now);
        if !urgent && !self.is_watcher(now, members) {
            return;
        }
        let id = self.alloc_id();
        let due = self
            .lower_on_platform
            .filter(|l| l.last_read.since(l.first_seen) >= self.opts.write_back_after);
        let deadline = if let Some(l) = due {
            let config = self.current().clone();
            out.push(ConfigAction::WriteBack { id, config, version: l.version });
            now + self.opts.call_timeout
        } else if let Some(after) = self.seen_version.filter(|_| !urgent) {
            let wait = self.opts.watch_wait;
            out.push(ConfigAction::Watch { id, after, wait });
            now + wait + self.opts.call_timeout
        } else {
            out.push(ConfigAction::Read { id });
            now + self.opts.call_timeout
        };
        self.call = Some(Call { id, sent: now, deadline });
    }
}
