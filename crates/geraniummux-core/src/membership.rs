//! SWIM-style gossip membership of the hosts, without consensus.
//!
//! Each host probes one member per probe interval, first directly and then through other members.
//! A member that does not answer becomes suspect, and dead if it does not refute the suspicion
//! within the suspicion timeout. Records are ordered by incarnation, which only the host itself
//! raises, so the records of an earlier process under the same name never override those of the
//! process that replaced it.

use crate::pause::PauseGate;
use crate::time::Time;
use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest accepted name of a host or failure domain, in bytes.
pub const MAX_HOST_NAME_LEN: usize = 64;
/// Most members that a host keeps records of; bounds memory against a flood of host names.
pub const MAX_MEMBERS: usize = 1_024;

/// State of a member. Within one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The member answers probes and serves callers.
    Alive,
    /// The member answers probes but is not listed to callers: it is starting or shutting down.
    Leaving,
    /// The member did not answer a probe; it becomes dead unless it refutes the suspicion in time.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// The membership record of one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The host's name.
    pub name: Arc<str>,
    /// Address for peers, over UDP and TCP.
    pub addr: SocketAddr,
    /// Address for callers.
    pub http_addr: SocketAddr,
    /// Failure domain that the host runs in.
    pub failure_domain: Arc<str>,
    /// CPU capacity, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Raised only by the host itself; the record with the highest incarnation takes precedence.
    pub incarnation: u64,
    /// State of the host.
    pub state: MemberState,
}

impl Member {
    /// Returns an upper bound of the encoded length, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        // Two name lengths, a state, a capacity of up to 5 bytes, an incarnation of up to 10 bytes
        // and two addresses, each a variant byte, 4 or 16 bytes of IP address and up to 3 bytes of
        // port.
        let addr_len = |a: &SocketAddr| if a.is_ipv4() { 8 } else { 20 };
        18 + self.name.len()
            + self.failure_domain.len()
            + addr_len(&self.addr)
            + addr_len(&self.http_addr)
    }

    fn is_valid(&self) -> bool {
        let fits = |s: &str| !s.is_empty() && s.len() <= MAX_HOST_NAME_LEN;
        fits(&self.name) && fits(&self.failure_domain)
    }

    /// Returns whether this record replaces `other`.
    fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// The request or response of a gossip message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipKind {
    /// Asks the receiver for an [`Ack`](GossipKind::Ack).
    Ping {
        /// Sequence number, returned in the ack.
        seq: u64,
    },
    /// Asks the receiver to ping a member on behalf of the sender.
    PingReq {
        /// Sequence number, returned in the ack.
        seq: u64,
        /// Name of the member to ping.
        name: Arc<str>,
        /// Address of the member to ping.
        addr: SocketAddr,
    },
    /// Answers a ping or a ping request.
    Ack {
        /// Sequence number of the ping or ping request.
        seq: u64,
        /// Name of the member that answered the ping.
        name: Arc<str>,
        /// Incarnation of that member.
        incarnation: u64,
    },
    /// Carries records only; neither asks nor answers.
    Deltas,
}

/// A gossip message. Every message carries membership records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The request or response.
    pub kind: GossipKind,
    /// Time since the sender's configuration was last confirmed as the platform's latest, by the
    /// sender or through other hosts, in milliseconds; `None` if it never was.
    pub config_age_ms: Option<u32>,
    /// Membership records, the sender's own first.
    pub deltas: Vec<Member>,
}

/// Intervals and limits of the membership gossip.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Interval between two probes; each probe pings one member.
    pub probe_interval: Duration,
    /// Time without an answer to the direct ping after which indirect probes are sent. It exceeds
    /// the round trip between regions, about 250 ms.
    pub direct_timeout: Duration,
    /// Time without an answer to direct and indirect pings after which the member is suspected.
    pub probe_timeout: Duration,
    /// Members that are asked to ping an unresponsive member.
    pub indirect_probes: usize,
    /// Time after which a suspected member that has not refuted the suspicion is dead.
    pub suspicion_timeout: Duration,
    /// Mean interval between two pings to a random dead member or seed, one ping each time.
    pub reconnect_interval: Duration,
    /// Replaces `reconnect_interval` while this host has no live peer.
    pub join_interval: Duration,
    /// Interval between exchanges of the full state with a random member.
    pub sync_interval: Duration,
    /// Time after which the record of a dead member is removed.
    pub forget_after: Duration,
    /// Largest total length of the records in one message, in bytes.
    pub max_delta_len: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            probe_interval: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(600),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(2),
            reconnect_interval: Duration::from_secs(5),
            join_interval: Duration::from_millis(200),
            sync_interval: Duration::from_secs(30),
            forget_after: Duration::from_secs(24 * 3_600),
            max_delta_len: 900,
        }
    }
}

/// An action that [`Membership`] asks the daemon to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        gossip: Gossip,
    },
    /// Exchange the full state with a peer over TCP and pass its records to
    /// [`Membership::merge`].
    Sync {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// Note that a member is new or that its state or incarnation changed.
    Changed {
        /// The new record.
        member: Member,
        /// State before the change; `None` if the member is new.
        previous: Option<MemberState>,
    },
    /// Note that this host resumed after a pause; see [`PauseGate`].
    Resumed {
        /// Length of the pause.
        pause: Duration,
    },
    /// Exit: while this host was paused, another process took over its name. This host no longer
    /// sends or accepts gossip.
    Replaced {
        /// Address of the process that took over the name.
        by: SocketAddr,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// Time of the last change of its state or incarnation. For a suspected member it restarts when
    /// this host resumes from a pause.
    state_since: Time,
}

/// A ping of this host that waits for an answer.
#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    /// Name of the pinged member; `None` for a seed.
    name: Option<Arc<str>>,
    sent: Time,
    indirect_sent: bool,
}

/// A ping that was sent on behalf of another member and waits for an answer.
#[derive(Clone, Debug)]
struct Relay {
    seq: u64,
    origin_seq: u64,
    origin: SocketAddr,
    sent: Time,
}

/// A member whose changed record is attached to outgoing messages.
#[derive(Clone, Debug)]
struct Broadcast {
    name: Arc<str>,
    transmissions: u32,
}

/// The membership state of one host. [`tick`](Membership::tick) and
/// [`receive`](Membership::receive) drive it.
#[derive(Clone, Debug)]
pub struct Membership {
    opts: MembershipOptions,
    local: Member,
    /// All other members, sorted by name.
    peers: Vec<Peer>,
    seeds: Vec<SocketAddr>,
    /// Addresses of hosts that this host has learned of otherwise, to which it connects like to seeds.
    contacts: Vec<SocketAddr>,
    /// When this host started, and its incarnation then.
    started_at: Time,
    started_incarnation: u64,
    /// Delays until exchanges of the full state that this host still makes soon, as it has joined late; none is made
    /// after the last one.
    early_delays: u32,
    /// Members that remain to be probed in this round, in random order.
    probe_round: Vec<Arc<str>>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    broadcasts: Vec<Broadcast>,
    next_seq: u64,
    next_probe: Time,
    next_reconnect: Time,
    next_sync: Time,
    pause_gate: PauseGate,
    resumed_at: Option<Time>,
    replaced: bool,
    last_contact: Option<Time>,
    config_confirmed_at: Option<Time>,
}

/// Time after a resume within which a record from another process under this host's name makes
/// this host stop. Outside of it, the host refutes such a record.
const SUCCESSOR_WINDOW: Duration = Duration::from_secs(30);

/// Time after its start from which a host joins late if its first peer is no seed. That peer and others may have been alone
/// as well, so that none of them knows the fleet, and gossip takes many seconds to make up for that.
const LATE_JOIN: Duration = Duration::from_millis(500);
/// Exchanges of the full state with random members soon after a late join, beside the one with the first peer. With
/// them, each of 312 hosts knows nine tenths of the others, most of them all.
const EARLY_SYNCS: u32 = 4;
/// Mean delay between them.
const EARLY_SYNC_DELAY: Duration = Duration::from_millis(600);

/// Most addresses of contacts that a host remembers.
const MAX_KNOWN_CONTACTS: usize = 32;

/// Members to which a host sends a change immediately instead of with its next probes.
const EAGER_FANOUT: usize = 3;

impl Membership {
    /// Returns the membership of a starting host.
    ///
    /// `local.incarnation` is the Unix time in milliseconds at the start. `seeds` are addresses of
    /// hosts through which this host joins.
    pub fn new<R>(
        now: Time,
        local: Member,
        seeds: Vec<SocketAddr>,
        opts: MembershipOptions,
        rng: &mut R,
    ) -> Self
    where
        R: Rng + ?Sized,
    {
        // A random start keeps acks for an earlier process at the same address from matching a
        // probe of this one.
        let next_seq = u64::from(rng.random::<u32>());
        let offset = opts.probe_interval.mul_f64(rng.random::<f64>());
        let sync = opts.sync_interval.mul_f64(rng.random::<f64>());
        let started_incarnation = local.incarnation;
        Membership {
            local,
            peers: Vec::new(),
            seeds,
            contacts: Vec::new(),
            started_at: now,
            started_incarnation,
            early_delays: 0,
            probe_round: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            broadcasts: Vec::new(),
            next_seq,
            next_probe: now + offset,
            next_reconnect: now,
            next_sync: now + sync,
            pause_gate: PauseGate::new(now),
            resumed_at: None,
            replaced: false,
            last_contact: None,
            config_confirmed_at: None,
            opts,
        }
    }

    /// Returns this host's own record.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Returns the records of all other hosts, including dead ones, sorted by name.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().map(|p| &p.member)
    }

    /// Returns the records of the other hosts that are not dead.
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers().filter(|m| m.state != MemberState::Dead)
    }

    /// Returns the record of another host.
    pub fn peer(&self, name: &str) -> Option<&Member> {
        self.peer_index(name).ok().map(|i| &self.peers[i].member)
    }

    /// Returns the time at which a peer was declared dead; `None` if it is not dead.
    pub fn dead_since(&self, name: &str) -> Option<Time> {
        let p = &self.peers[self.peer_index(name).ok()?];
        (p.member.state == MemberState::Dead).then_some(p.state_since)
    }

    /// Returns all records, this host's own first, for an exchange of the full state over TCP.
    pub fn snapshot(&self) -> Vec<Member> {
        std::iter::once(&self.local).chain(self.peers()).cloned().collect()
    }

    /// Replaces the seeds, for example after the platform's host list changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Adds addresses of hosts that were alone, oldest first, to which this host connects like to seeds. Returns pings of
    /// those that are new and no live peers.
    pub fn add_contacts<I>(&mut self, now: Time, contacts: I) -> Vec<MembershipAction>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut out = Vec::new();
        if self.replaced {
            return out;
        }
        for addr in contacts {
            if self.contacts.contains(&addr) {
                continue;
            }
            self.contacts.push(addr);
            if addr != self.local.addr && self.live_peers().all(|m| m.addr != addr) {
                self.ping(now, None, addr, &mut out);
            }
        }
        let surplus = self.contacts.len().saturating_sub(MAX_KNOWN_CONTACTS);
        self.contacts.drain(..surplus);
        out
    }

    /// Returns the address of the first contact that is this host or a peer which answers, as long as this host does not
    /// know the others. Hosts that meet through the contacts agree on it.
    pub fn first_contact(&self) -> Option<SocketAddr> {
        if self.knows_others() {
            return None;
        }
        let is_up = |addr: &SocketAddr| {
            let mut up = self.peers().filter(|m| m.state < MemberState::Suspect);
            *addr == self.local.addr || up.any(|m| m.addr == *addr)
        };
        self.contacts.iter().copied().find(is_up)
    }

    /// Returns whether a peer in service started at least `by` before this host, by their clocks.
    pub fn knows_older_peer(&self, by: Duration) -> bool {
        let own = self.started_incarnation;
        let by_ms = by.as_millis() as u64;
        let mut in_service = self.peers().filter(|m| m.state == MemberState::Alive);
        in_service.any(|m| m.incarnation.saturating_add(by_ms) <= own)
    }

    /// Returns whether this host knows no live peer although it has seeds.
    pub fn is_alone(&self) -> bool {
        self.has_seeds() && self.live_peers().next().is_none()
    }

    /// Returns whether this host knows the other hosts, or that there are none: not while it has seeds and knows no peer,
    /// nor until it has exchanged the full state a few times after it met the first one late.
    pub fn knows_others(&self) -> bool {
        let has_peers = !self.peers.is_empty();
        self.early_delays == 0 && (has_peers || !self.has_seeds())
    }

    /// Returns whether any seed other than this host is set.
    pub fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|s| *s != self.local.addr)
    }

    /// Returns the send time of the latest ping that a peer answered. The connection to the peers
    /// is proven up to that time, not up to the arrival of the ack.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// Returns whether this host has a record of a peer or was ever in contact with one.
    pub fn had_peer(&self) -> bool {
        self.last_contact.is_some() || !self.peers.is_empty()
    }

    /// Returns the latest time at which this host's configuration, or that of a peer without a
    /// higher generation, was confirmed as the platform's latest; `None` if it never was.
    pub fn config_confirmed_at(&self) -> Option<Time> {
        self.config_confirmed_at
    }

    /// Records that the platform answered a call for the configuration that was sent at `at`.
    pub fn note_config_confirmed(&mut self, at: Time) {
        self.config_confirmed_at = self.config_confirmed_at.max(Some(at));
    }

    /// Returns whether another process took over this host's name; see
    /// [`MembershipAction::Replaced`].
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns this host's rank for a task: the number of alive peers that precede it in the order
    /// of [`order_key`](Membership::order_key). Hosts with the same membership view compute the
    /// same ranks, so a task is distributed without coordination.
    pub fn rank(&self, task: &str) -> usize {
        let key = |name: &str| self.order_key(task, name);
        let own = (key(&self.local.name), &self.local.name);
        self.peers()
            .filter(|m| m.state == MemberState::Alive && (key(&m.name), &m.name) < own)
            .count()
    }

    /// Returns the hash by which all hosts order the members for a task.
    pub fn order_key(&self, task: &str, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64(format!("{task}/{name}").as_bytes())
    }

    /// Sets this host to [`MemberState::Leaving`] and queues the change for gossip.
    pub fn leave(&mut self) {
        if self.local.state != MemberState::Leaving {
            self.local.state = MemberState::Leaving;
            self.local.incarnation += 1;
            self.queue_broadcast(self.local.name.clone());
        }
    }

    /// Sets this host, which started as [`MemberState::Leaving`], to [`MemberState::Alive`], so
    /// that peers list it to callers, and queues the change for gossip.
    pub fn enter_service(&mut self) {
        if self.local.state == MemberState::Leaving {
            self.local.state = MemberState::Alive;
            self.local.incarnation += 1;
            self.queue_broadcast(self.local.name.clone());
        }
    }

    /// Returns messages that send this host's record to all live peers at once.
    pub fn announce(&mut self, now: Time) -> Vec<MembershipAction> {
        let to: Vec<SocketAddr> = self.live_peers().map(|m| m.addr).collect();
        to.into_iter()
            .map(|to| MembershipAction::Send {
                to,
                gossip: self.gossip(now, GossipKind::Deltas, None),
            })
            .collect()
    }

    /// Advances the timers. The daemon runs it at least every 100 ms; a gap of more than 1 s
    /// between two calls means that this host was paused.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<MembershipAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        if let Some(pause) = self.pause_gate.on_timer(now) {
            self.on_resume(now);
            out.push(MembershipAction::Resumed { pause });
        }
        if self.replaced {
            return out;
        }
        let before = out.len();
        self.expire(now, &mut out);
        self.check_probes(now, rng, &mut out);
        let changed = |a: &MembershipAction| matches!(a, MembershipAction::Changed { .. });
        if out[before..].iter().any(changed) {
            self.send_eagerly(now, rng, &mut out);
        }
        self.probe_next(now, rng, &mut out);
        self.reconnect_next(now, rng, &mut out);
        self.sync_next(now, rng, &mut out);
        out
    }

    /// Handles a message from the host `from`, which runs as `incarnation` and sent it from `addr`.
    pub fn receive<R>(
        &mut self,
        now: Time,
        from: &str,
        incarnation: u64,
        addr: SocketAddr,
        gossip: Gossip,
        rng: &mut R,
    ) -> Vec<MembershipAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        if self.replaced {
            return out;
        }
        let config_age_ms = gossip.config_age_ms;
        let own = self.local.incarnation;
        self.apply(now, Some(from), gossip.deltas, &mut out);
        if self.replaced {
            return out;
        }
        if self.local.incarnation != own {
            // A refutation must arrive before the suspicion times out at the other hosts.
            self.send_eagerly(now, rng, &mut out);
        }
        match gossip.kind {
            GossipKind::Ping { seq } => {
                let kind = GossipKind::Ack {
                    seq,
                    name: self.local.name.clone(),
                    incarnation: self.local.incarnation,
                };
                let gossip = self.gossip(now, kind, Some(from));
                out.push(MembershipAction::Send { to: addr, gossip });
            }
            GossipKind::PingReq { seq, name, addr: member_addr } => {
                self.ping_for(now, seq, addr, &name, member_addr, &mut out);
            }
            GossipKind::Ack { seq, name, incarnation: acked } => {
                // The age describes the sender's configuration, so it counts only in an ack that
                // the probed member sent itself.
                let direct = *name == *from && acked == incarnation;
                self.on_ack(
                    now,
                    seq,
                    &name,
                    acked,
                    direct.then_some(config_age_ms).flatten(),
                    &mut out,
                );
            }
            GossipKind::Deltas => {}
        }
        out
    }

    /// Merges the full state of a peer.
    pub fn merge(&mut self, now: Time, members: Vec<Member>) -> Vec<MembershipAction> {
        let mut out = Vec::new();
        if !self.replaced {
            self.apply(now, None, members, &mut out);
        }
        out
    }

    fn peer_index(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.member.name).cmp(name))
    }

    fn on_resume(&mut self, now: Time) {
        // Acks and refutations that arrived during the pause were not handled, so their absence
        // does not mean that a member failed.
        self.probes.clear();
        self.relays.clear();
        self.resumed_at = Some(now);
        for p in &mut self.peers {
            if p.member.state == MemberState::Suspect {
                p.state_since = now;
            }
        }
    }

    fn apply(
        &mut self,
        now: Time,
        from: Option<&str>,
        deltas: Vec<Member>,
        out: &mut Vec<MembershipAction>,
    ) {
        for m in deltas {
            if !m.is_valid() {
                continue;
            }
            if m.name == self.local.name {
                self.apply_own(now, &m, out);
            } else {
                let direct = from == Some(&*m.name);
                self.apply_peer(now, m, direct, out);
            }
        }
    }

    fn apply_own(&mut self, now: Time, m: &Member, out: &mut Vec<MembershipAction>) {
        let other_addr = m.addr != self.local.addr;
        let recently_resumed = self.resumed_at.is_some_and(|t| now.since(t) < SUCCESSOR_WINDOW);
        if other_addr
            && m.incarnation > self.local.incarnation
            && recently_resumed
            && m.state != MemberState::Dead
        {
            self.replaced = true;
            out.push(MembershipAction::Replaced { by: m.addr });
            return;
        }
        let name_conflict = other_addr && m.incarnation == self.local.incarnation;
        let refutable = m.incarnation == self.local.incarnation && m.state > self.local.state;
        if m.incarnation > self.local.incarnation || name_conflict || refutable {
            self.local.incarnation = m.incarnation.saturating_add(1);
            self.queue_broadcast(self.local.name.clone());
        }
    }

    fn apply_peer(&mut self, now: Time, m: Member, direct: bool, out: &mut Vec<MembershipAction>) {
        let first_peer = self.peers.is_empty();
        let (i, previous) = match self.peer_index(&m.name) {
            Ok(i) => {
                let known = &self.peers[i].member;
                if !m.supersedes(known) {
                    return;
                }
                (i, Some(known.state))
            }
            // A dead host without a record here needs none.
            Err(_) if m.state == MemberState::Dead || self.peers.len() >= MAX_MEMBERS => return,
            Err(i) => {
                self.peers.insert(i, Peer { member: m.clone(), state_since: now });
                let is_late = now.since(self.started_at) >= LATE_JOIN;
                if first_peer && is_late && !self.seeds.contains(&m.addr) {
                    self.early_delays = EARLY_SYNCS + 1;
                    self.next_sync = now + EARLY_SYNC_DELAY;
                }
                (i, None)
            }
        };
        let p = &mut self.peers[i];
        if previous != Some(m.state) || p.member.incarnation != m.incarnation {
            p.state_since = now;
        }
        p.member = m.clone();
        self.queue_broadcast(m.name.clone());
        // A returned member may have records of a whole partition that was cut off, and the first
        // peer of a starting host has records of the fleet, so both warrant a full sync. A return
        // warrants it only if the message came from that member itself and other members are dead
        // here too; otherwise the whole fleet would sync with each host that restarts.
        let others_dead = self.peers().any(|p| p.state == MemberState::Dead && p.name != m.name);
        let returned = direct && previous == Some(MemberState::Dead) && others_dead;
        if (first_peer || returned) && m.state != MemberState::Dead {
            out.push(MembershipAction::Sync { peer: m.addr });
        }
        out.push(MembershipAction::Changed { member: m, previous });
    }

    fn set_state(
        &mut self,
        now: Time,
        i: usize,
        state: MemberState,
        out: &mut Vec<MembershipAction>,
    ) {
        let p = &mut self.peers[i];
        let previous = Some(p.member.state);
        p.member.state = state;
        p.state_since = now;
        let member = p.member.clone();
        self.queue_broadcast(member.name.clone());
        out.push(MembershipAction::Changed { member, previous });
    }

    fn queue_broadcast(&mut self, name: Arc<str>) {
        self.broadcasts.retain(|b| b.name != name);
        self.broadcasts.push(Broadcast { name, transmissions: 0 });
    }

    /// Returns a message with this host's record, the receiver's record if it is suspect or dead
    /// and the receiver should refute it, and the least-transmitted broadcasts that fit.
    fn gossip(&mut self, now: Time, kind: GossipKind, to: Option<&str>) -> Gossip {
        let mut deltas = vec![self.local.clone()];
        let mut len = self.local.max_encoded_len();
        if let Some(m) = to.and_then(|n| self.peer(n))
            && m.state >= MemberState::Suspect
        {
            len += m.max_encoded_len();
            deltas.push(m.clone());
        }
        // The number of transmissions after which a record has reached all members with high
        // probability grows with the logarithm of the number of members.
        let limit = 4 * (self.peers.len() + 2).ilog2();
        let mut broadcasts = std::mem::take(&mut self.broadcasts);
        broadcasts.sort_by_key(|b| b.transmissions);
        for b in &mut broadcasts {
            if b.name == self.local.name {
                b.transmissions += 1;
                continue;
            }
            let Ok(i) = self.peer_index(&b.name) else {
                b.transmissions = limit;
                continue;
            };
            let m = &self.peers[i].member;
            if len + m.max_encoded_len() > self.opts.max_delta_len {
                break;
            }
            b.transmissions += 1;
            if deltas.iter().all(|d| d.name != m.name) {
                len += m.max_encoded_len();
                deltas.push(m.clone());
            }
        }
        broadcasts.retain(|b| b.transmissions < limit);
        self.broadcasts = broadcasts;
        let config_age_ms = self
            .config_confirmed_at
            .map(|t| u32::try_from(now.since(t).as_millis()).unwrap_or(u32::MAX));
        Gossip { kind, config_age_ms, deltas }
    }

    /// Sends the queued broadcasts to a few members immediately instead of with the next probes.
    fn send_eagerly<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        let mut to: Vec<SocketAddr> =
            self.peers().filter(|m| m.state < MemberState::Suspect).map(|m| m.addr).collect();
        to.shuffle(rng);
        for to in to.into_iter().take(EAGER_FANOUT) {
            let gossip = self.gossip(now, GossipKind::Deltas, None);
            out.push(MembershipAction::Send { to, gossip });
        }
    }

    fn alloc_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn ping(
        &mut self,
        now: Time,
        name: Option<Arc<str>>,
        to: SocketAddr,
        out: &mut Vec<MembershipAction>,
    ) {
        let seq = self.alloc_seq();
        let gossip = self.gossip(now, GossipKind::Ping { seq }, name.as_deref());
        out.push(MembershipAction::Send { to, gossip });
        self.probes.push(Probe { seq, name, sent: now, indirect_sent: false });
    }

    fn ping_for(
        &mut self,
        now: Time,
        origin_seq: u64,
        origin: SocketAddr,
        name: &str,
        addr: SocketAddr,
        out: &mut Vec<MembershipAction>,
    ) {
        // The limit bounds memory against a flood of ping requests.
        if self.relays.len() >= MAX_MEMBERS || name == &*self.local.name {
            return;
        }
        let seq = self.alloc_seq();
        let gossip = self.gossip(now, GossipKind::Ping { seq }, Some(name));
        out.push(MembershipAction::Send { to: addr, gossip });
        self.relays.push(Relay { seq, origin_seq, origin, sent: now });
    }

    fn on_ack(
        &mut self,
        now: Time,
        seq: u64,
        name: &Arc<str>,
        incarnation: u64,
        config_age_ms: Option<u32>,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(i) = self.relays.iter().position(|r| r.seq == seq) {
            let r = self.relays.swap_remove(i);
            let kind = GossipKind::Ack { seq: r.origin_seq, name: name.clone(), incarnation };
            let gossip = self.gossip(now, kind, None);
            out.push(MembershipAction::Send { to: r.origin, gossip });
            return;
        }
        let Some(i) = self.probes.iter().position(|p| p.seq == seq) else { return };
        // An ack from an earlier process under the same name proves nothing about the current one.
        let outdated = self.peer(name).is_some_and(|m| incarnation < m.incarnation);
        let wrong_member = self.probes[i].name.as_ref().is_some_and(|n| n != name);
        if outdated || wrong_member || *name == self.local.name {
            return;
        }
        let probe = self.probes.swap_remove(i);
        self.last_contact = self.last_contact.max(Some(probe.sent));
        // A host that was found by its address may be one of a fleet that has formed without this host.
        if probe.name.is_none()
            && let Some(peer) = self.peer(name).map(|m| m.addr)
            && !out.contains(&MembershipAction::Sync { peer })
        {
            out.push(MembershipAction::Sync { peer });
        }
        // A confirmation from before the clock's origin is of no use, and `Time` can't represent it.
        if let Some(age) = config_age_ms.map(|a| Duration::from_millis(u64::from(a)))
            && probe.sent.since(Time::ZERO) > age
        {
            self.config_confirmed_at = self.config_confirmed_at.max(Some(probe.sent - age));
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let suspicion_timeout = self.opts.suspicion_timeout;
        for i in 0..self.peers.len() {
            let p = &self.peers[i];
            if p.member.state == MemberState::Suspect
                && now.since(p.state_since) >= suspicion_timeout
            {
                self.set_state(now, i, MemberState::Dead, out);
            }
        }
        let forget = self.opts.forget_after;
        self.peers
            .retain(|p| p.member.state != MemberState::Dead || now.since(p.state_since) < forget);
        let timeout = self.opts.probe_timeout;
        self.relays.retain(|r| now.since(r.sent) < timeout);
    }

    /// Sends indirect probes for pings without an answer after the direct timeout, and suspects
    /// their members after the probe timeout.
    fn check_probes<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        let mut probes = std::mem::take(&mut self.probes);
        let mut failed = Vec::new();
        probes.retain_mut(|p| {
            let waited = now.since(p.sent);
            if waited >= self.opts.probe_timeout {
                failed.extend(p.name.clone());
                return false;
            }
            if waited >= self.opts.direct_timeout && !p.indirect_sent {
                p.indirect_sent = true;
                self.send_indirect_probes(now, p, rng, out);
            }
            true
        });
        probes.append(&mut self.probes);
        self.probes = probes;
        for name in failed {
            if let Ok(i) = self.peer_index(&name)
                && self.peers[i].member.state < MemberState::Suspect
            {
                self.set_state(now, i, MemberState::Suspect, out);
            }
        }
    }

    fn send_indirect_probes<R>(
        &mut self,
        now: Time,
        p: &Probe,
        rng: &mut R,
        out: &mut Vec<MembershipAction>,
    ) where
        R: Rng + ?Sized,
    {
        let Some(name) = &p.name else { return };
        let Some(m) = self.peer(name).filter(|m| m.state != MemberState::Dead) else { return };
        let addr = m.addr;
        let mut others: Vec<&Member> =
            self.peers().filter(|m| m.state < MemberState::Suspect && m.name != *name).collect();
        others.shuffle(rng);
        // Members in the same failure domain as the unresponsive one reach it soonest if it is in
        // another region. One from another domain is asked too, in case the member's whole domain
        // is unreachable from here.
        let (same_domain, other_domains): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|o| o.failure_domain == m.failure_domain);
        let same_domain_limit = same_domain.len().min(self.opts.indirect_probes.saturating_sub(1));
        let others: Vec<SocketAddr> = same_domain[..same_domain_limit]
            .iter()
            .chain(&other_domains)
            .chain(&same_domain[same_domain_limit..])
            .take(self.opts.indirect_probes)
            .map(|m| m.addr)
            .collect();
        for to in others {
            let kind = GossipKind::PingReq { seq: p.seq, name: name.clone(), addr };
            let gossip = self.gossip(now, kind, None);
            out.push(MembershipAction::Send { to, gossip });
        }
    }

    fn probe_next<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.opts.probe_interval;
        // Probing all members once per round, in random order, bounds the time between two probes
        // of a member. The loop runs twice because the current round may hold no live member.
        for _ in 0..2 {
            while let Some(name) = self.probe_round.pop() {
                if let Some(m) = self.peer(&name).filter(|m| m.state != MemberState::Dead) {
                    let to = m.addr;
                    return self.ping(now, Some(name), to, out);
                }
            }
            self.probe_round = self.live_peers().map(|m| m.name.clone()).collect();
            self.probe_round.shuffle(rng);
        }
    }

    /// Pings a dead member or a seed, so that partitions of the fleet merge again.
    fn reconnect_next<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        if now < self.next_reconnect {
            return;
        }
        let no_live_peer = self.live_peers().next().is_none();
        let interval =
            if no_live_peer { self.opts.join_interval } else { self.opts.reconnect_interval };
        // Jitter keeps hosts that started together from pinging a dead member at the same time.
        self.next_reconnect = now + interval.mul_f64(rng.random_range(0.5..1.5));
        let dead = self.peers().filter(|m| m.state == MemberState::Dead);
        let mut to: Vec<(Option<Arc<str>>, SocketAddr)> =
            dead.map(|m| (Some(m.name.clone()), m.addr)).collect();
        let mut found: Vec<SocketAddr> = self.seeds.iter().chain(&self.contacts).copied().collect();
        found.sort_unstable();
        found.dedup();
        let is_unknown =
            |a: &SocketAddr| *a != self.local.addr && self.peers().all(|m| m.addr != *a);
        to.extend(found.into_iter().filter(is_unknown).map(|addr| (None, addr)));
        if to.is_empty() {
            return;
        }
        let (name, addr) = to.swap_remove(rng.random_range(0..to.len()));
        self.ping(now, name, addr, out);
    }

    fn sync_next<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + self.opts.sync_interval;
        match self.early_delays {
            0 => {}
            1 => {
                self.early_delays = 0;
                return;
            }
            _ => {
                self.early_delays -= 1;
                self.next_sync = now + EARLY_SYNC_DELAY.mul_f64(rng.random_range(0.8..1.2));
            }
        }
        let alive: Vec<SocketAddr> =
            self.peers().filter(|m| m.state == MemberState::Alive).map(|m| m.addr).collect();
        if !alive.is_empty() {
            out.push(MembershipAction::Sync { peer: alive[rng.random_range(0..alive.len())] });
        }
    }
}
