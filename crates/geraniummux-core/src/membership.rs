//! Which entry hosts are alive: SWIM-style gossip without consensus.
//!
//! Each host probes one member per interval, first directly and then through other members. A
//! member that does not answer is suspected, and is dead when it has not refuted the suspicion in
//! time. Records are ordered by incarnation, which only the host itself raises, so a replaced host
//! under the same name is never taken for its former self.

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
/// Most members that a host keeps records of. It bounds memory against a flood of names.
pub const MAX_MEMBERS: usize = 1_024;

/// State of a member, in the order in which a later state overrides an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It answers but must not be named to callers, because it is starting or shutting down.
    Leaving,
    /// It did not answer; it is dead unless it refutes this in time.
    Suspect,
    /// It is taken for dead.
    Dead,
}

/// What is known about one entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The host's name.
    pub name: Arc<str>,
    /// Where peers reach it over UDP and TCP.
    pub addr: SocketAddr,
    /// Where callers reach it.
    pub http_addr: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Processor time that it has, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Raised by the host itself only; the record with the highest incarnation counts.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// Returns an upper bound of the encoded length, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        // Two lengths, a state, a capacity of up to 5 bytes, an incarnation of up to 10 bytes and
        // two addresses: a variant byte, 4 or 16 bytes of IP address and up to 3 bytes of port each.
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

/// What a gossip message asks or answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipKind {
    /// Asks the receiver to answer.
    Ping {
        /// Repeated in the answer.
        seq: u64,
    },
    /// Asks the receiver to ping a member on behalf of the sender.
    PingReq {
        /// Repeated in the answer.
        seq: u64,
        /// The member's name.
        name: Arc<str>,
        /// The member's address.
        addr: SocketAddr,
    },
    /// Answers a ping or a ping request.
    Ack {
        /// The number from the ping or ping request.
        seq: u64,
        /// The member that answered.
        name: Arc<str>,
        /// That member's incarnation.
        incarnation: u64,
    },
    /// Only carries records.
    Deltas,
}

/// A gossip message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// What it asks or answers.
    pub kind: GossipKind,
    /// How long ago, in milliseconds, the sender's configuration was known to be the platform's
    /// latest, by itself or through other hosts; `None` if never.
    pub config_age_ms: Option<u32>,
    /// Records, the sender's own first.
    pub deltas: Vec<Member>,
}

/// Intervals and limits of the gossip.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// A host probes one member in each interval.
    pub probe_interval: Duration,
    /// After this time without an answer other members are asked to probe. It is above the round
    /// trip between regions of about 250 ms.
    pub direct_timeout: Duration,
    /// After this time without an answer the member is suspected.
    pub probe_timeout: Duration,
    /// Members asked to probe on a host's behalf.
    pub indirect_probes: usize,
    /// A suspicion that is not refuted for this long means that the member is dead.
    pub suspicion_timeout: Duration,
    /// Interval between pings to dead members and seeds.
    pub retry_interval: Duration,
    /// Interval between pings to seeds while no member is known.
    pub join_interval: Duration,
    /// Interval between exchanges of the full state with a random member.
    pub sync_interval: Duration,
    /// A dead member is forgotten after this time.
    pub forget_after: Duration,
    /// Most bytes of records in one message.
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
            retry_interval: Duration::from_secs(5),
            join_interval: Duration::from_millis(200),
            sync_interval: Duration::from_secs(30),
            forget_after: Duration::from_secs(24 * 3_600),
            max_delta_len: 900,
        }
    }
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        gossip: Gossip,
    },
    /// Exchange the full state with a peer over TCP and pass its records to
    /// [`Membership::merge`].
    Sync {
        /// The peer.
        peer: SocketAddr,
    },
    /// A member is new or its state or incarnation changed.
    Changed {
        /// The new record.
        member: Member,
        /// Its former state; `None` if the member is new.
        previous: Option<MemberState>,
    },
    /// This host was paused; see [`PauseGate`].
    Resumed {
        /// How long it was paused.
        pause: Duration,
    },
    /// While this host was paused, another process took over its name. This host takes no further
    /// part and should exit.
    Replaced {
        /// Address of the successor.
        by: SocketAddr,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When its state last changed.
    since: Time,
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    name: Option<Arc<str>>,
    sent: Time,
    asked_others: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    seq: u64,
    asker_seq: u64,
    asker: SocketAddr,
    sent: Time,
}

#[derive(Clone, Debug)]
struct Update {
    name: Arc<str>,
    sent: u32,
}

/// The membership as one host sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    opts: MembershipOptions,
    me: Member,
    /// All other members, sorted by name.
    peers: Vec<Peer>,
    seeds: Vec<SocketAddr>,
    /// Members still to be probed in this round, in random order.
    round: Vec<Arc<str>>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    updates: Vec<Update>,
    next_seq: u64,
    next_probe: Time,
    next_retry: Time,
    next_sync: Time,
    gate: PauseGate,
    resumed: Option<Time>,
    replaced: bool,
    contact: Option<Time>,
    config_confirmed_at: Option<Time>,
}

/// How long after a resume a successor under the host's own name is believed.
const SUCCESSOR_WINDOW: Duration = Duration::from_secs(30);

/// Members that are told of a state change at once by the host that found it.
const EAGER_FANOUT: usize = 3;

impl Membership {
    /// Returns the membership of a starting host.
    ///
    /// `me.incarnation` is the Unix time in milliseconds at the start. `seeds` are addresses of
    /// hosts that may know others.
    pub fn new<R>(
        now: Time,
        me: Member,
        seeds: Vec<SocketAddr>,
        opts: MembershipOptions,
        rng: &mut R,
    ) -> Self
    where
        R: Rng + ?Sized,
    {
        // Random numbers keep answers to a former process under the same address apart.
        let next_seq = u64::from(rng.random::<u32>());
        let offset = opts.probe_interval.mul_f64(rng.random::<f64>());
        let sync = opts.sync_interval.mul_f64(rng.random::<f64>());
        Membership {
            me,
            peers: Vec::new(),
            seeds,
            round: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            updates: Vec::new(),
            next_seq,
            next_probe: now + offset,
            next_retry: now,
            next_sync: now + sync,
            gate: PauseGate::new(now),
            resumed: None,
            replaced: false,
            contact: None,
            config_confirmed_at: None,
            opts,
        }
    }

    /// Returns the host's own record.
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// Returns the records of all other hosts, sorted by name, dead ones included.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().map(|p| &p.member)
    }

    /// Returns the other hosts that are not dead.
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers().filter(|m| m.state != MemberState::Dead)
    }

    /// Returns the record of another host.
    pub fn peer(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|i| &self.peers[i].member)
    }

    /// Returns since when a peer has been dead; `None` if it is not.
    pub fn dead_since(&self, name: &str) -> Option<Time> {
        let p = &self.peers[self.find(name).ok()?];
        (p.member.state == MemberState::Dead).then_some(p.since)
    }

    /// Returns the full state, for an exchange over TCP.
    pub fn snapshot(&self) -> Vec<Member> {
        std::iter::once(&self.me).chain(self.peers()).cloned().collect()
    }

    /// Replaces the seeds, for example after a new host list of the platform.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns whether any seed other than this host is set.
    pub fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|s| *s != self.me.addr)
    }

    /// Returns the time for which the last contact with a peer proves that it was reached: the
    /// moment at which the ping was sent that the peer answered.
    pub fn last_contact(&self) -> Option<Time> {
        self.contact
    }

    /// Returns whether any peer has ever been known.
    pub fn had_peer(&self) -> bool {
        self.contact.is_some() || !self.peers.is_empty()
    }

    /// Returns the latest time at which the own configuration, or the one of a host that announced
    /// no higher generation, is known to have been the platform's latest.
    pub fn config_confirmed_at(&self) -> Option<Time> {
        self.config_confirmed_at
    }

    /// Records that the configuration was read from the platform by a call sent at `at`.
    pub fn note_config_confirmed(&mut self, at: Time) {
        self.config_confirmed_at = self.config_confirmed_at.max(Some(at));
    }

    /// Returns whether another process took over this host's name.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns this host's rank for a task among all hosts that are alive; 0 is the first. Every
    /// host with the same view computes the same ranks.
    pub fn rank(&self, task: &str) -> usize {
        let key = |name: &str| self.order_key(task, name);
        let own = (key(&self.me.name), &self.me.name);
        self.peers()
            .filter(|m| m.state == MemberState::Alive && (key(&m.name), &m.name) < own)
            .count()
    }

    /// Returns the key by which all hosts order the members for a task.
    pub fn order_key(&self, task: &str, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64(format!("{task}/{name}").as_bytes())
    }

    /// Announces that this host is leaving.
    pub fn leave(&mut self) {
        if self.me.state != MemberState::Leaving {
            self.me.state = MemberState::Leaving;
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        }
    }

    /// Announces that this host, which started as [`MemberState::Leaving`], may be named to callers.
    pub fn enter_service(&mut self) {
        if self.me.state == MemberState::Leaving {
            self.me.state = MemberState::Alive;
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        }
    }

    /// Sends the own record to all live peers at once.
    pub fn announce(&mut self, now: Time) -> Vec<MembershipAction> {
        let to: Vec<SocketAddr> = self.live_peers().map(|m| m.addr).collect();
        to.into_iter()
            .map(|to| MembershipAction::Send {
                to,
                gossip: self.gossip(now, GossipKind::Deltas, None),
            })
            .collect()
    }

    /// Advances the timers. To be called at least every 100 ms; a call that is more than 1 s late
    /// means that this host was paused.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<MembershipAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        if let Some(pause) = self.gate.on_timer(now) {
            self.resume(now);
            out.push(MembershipAction::Resumed { pause });
        }
        if self.replaced {
            return out;
        }
        let before = out.len();
        self.expire(now, &mut out);
        self.escalate(now, rng, &mut out);
        let changed = |a: &MembershipAction| matches!(a, MembershipAction::Changed { .. });
        if out[before..].iter().any(changed) {
            self.send_eagerly(now, rng, &mut out);
        }
        self.probe_next(now, rng, &mut out);
        self.retry_next(now, rng, &mut out);
        self.sync_next(now, rng, &mut out);
        out
    }

    /// Handles a message from the host `from`, which has `incarnation` and sent from `addr`.
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
        let age = gossip.config_age_ms;
        let own = self.me.incarnation;
        self.apply(now, Some(from), gossip.deltas, &mut out);
        if self.replaced {
            return out;
        }
        if self.me.incarnation != own {
            // A refutation must overtake the suspicion.
            self.send_eagerly(now, rng, &mut out);
        }
        match gossip.kind {
            GossipKind::Ping { seq } => {
                let kind = GossipKind::Ack {
                    seq,
                    name: self.me.name.clone(),
                    incarnation: self.me.incarnation,
                };
                let gossip = self.gossip(now, kind, Some(from));
                out.push(MembershipAction::Send { to: addr, gossip });
            }
            GossipKind::PingReq { seq, name, addr: target } => {
                self.relay(now, seq, addr, &name, target, &mut out);
            }
            GossipKind::Ack { seq, name, incarnation: subject } => {
                let direct = *name == *from && subject == incarnation;
                self.acked(now, seq, &name, subject, direct.then_some(age).flatten(), &mut out);
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

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.member.name).cmp(name))
    }

    fn resume(&mut self, now: Time) {
        // Answers and refutations that came in during the pause were not handled, so nothing may
        // be concluded from their absence.
        self.probes.clear();
        self.relays.clear();
        self.resumed = Some(now);
        for p in &mut self.peers {
            if p.member.state == MemberState::Suspect {
                p.since = now;
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
            if m.name == self.me.name {
                self.apply_own(now, &m, out);
            } else {
                let direct = from == Some(&*m.name);
                self.apply_peer(now, m, direct, out);
            }
        }
    }

    fn apply_own(&mut self, now: Time, m: &Member, out: &mut Vec<MembershipAction>) {
        let moved = m.addr != self.me.addr;
        let resumed = self.resumed.is_some_and(|t| now.since(t) < SUCCESSOR_WINDOW);
        if moved && m.incarnation > self.me.incarnation && resumed && m.state != MemberState::Dead {
            self.replaced = true;
            out.push(MembershipAction::Replaced { by: m.addr });
            return;
        }
        let foreign = moved && m.incarnation == self.me.incarnation;
        let refutable = m.incarnation == self.me.incarnation && m.state > self.me.state;
        if m.incarnation > self.me.incarnation || foreign || refutable {
            self.me.incarnation = m.incarnation + 1;
            self.spread(self.me.name.clone());
        }
    }

    fn apply_peer(&mut self, now: Time, m: Member, direct: bool, out: &mut Vec<MembershipAction>) {
        let first = self.peers.is_empty();
        let (i, previous) = match self.find(&m.name) {
            Ok(i) => {
                let known = &self.peers[i].member;
                if !m.supersedes(known) {
                    return;
                }
                (i, Some(known.state))
            }
            // A dead host that was never known or is forgotten needs no record.
            Err(_) if m.state == MemberState::Dead || self.peers.len() >= MAX_MEMBERS => return,
            Err(i) => {
                self.peers.insert(i, Peer { member: m.clone(), since: now });
                (i, None)
            }
        };
        let p = &mut self.peers[i];
        if previous != Some(m.state) || p.member.incarnation != m.incarnation {
            p.since = now;
        }
        p.member = m.clone();
        self.spread(m.name.clone());
        // A member that was dead may know a whole part of the fleet that was cut off; the first
        // member that a starting host hears of knows the fleet. Only who hears it from the member
        // itself and misses others too asks, because otherwise the whole fleet would ask each host
        // that restarts.
        let missing = self.peers().any(|p| p.state == MemberState::Dead && p.name != m.name);
        let back = direct && previous == Some(MemberState::Dead) && missing;
        if (first || back) && m.state != MemberState::Dead {
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
        p.since = now;
        let member = p.member.clone();
        self.spread(member.name.clone());
        out.push(MembershipAction::Changed { member, previous });
    }

    fn spread(&mut self, name: Arc<str>) {
        self.updates.retain(|u| u.name != name);
        self.updates.push(Update { name, sent: 0 });
    }

    /// Returns a message with the own record, the receiver's record if the receiver should refute
    /// it, and the least-sent updates that fit.
    fn gossip(&mut self, now: Time, kind: GossipKind, to: Option<&str>) -> Gossip {
        let mut deltas = vec![self.me.clone()];
        let mut len = self.me.max_encoded_len();
        if let Some(m) = to.and_then(|n| self.peer(n))
            && m.state >= MemberState::Suspect
        {
            len += m.max_encoded_len();
            deltas.push(m.clone());
        }
        // The number of sendings after which an update has reached everyone with high probability
        // grows with the logarithm of the number of members.
        let limit = 4 * (self.peers.len() + 2).ilog2();
        let mut updates = std::mem::take(&mut self.updates);
        updates.sort_by_key(|u| u.sent);
        for u in &mut updates {
            if u.name == self.me.name {
                u.sent += 1;
                continue;
            }
            let Ok(i) = self.find(&u.name) else {
                u.sent = limit;
                continue;
            };
            let m = &self.peers[i].member;
            if len + m.max_encoded_len() > self.opts.max_delta_len {
                break;
            }
            u.sent += 1;
            if deltas.iter().all(|d| d.name != m.name) {
                len += m.max_encoded_len();
                deltas.push(m.clone());
            }
        }
        updates.retain(|u| u.sent < limit);
        self.updates = updates;
        let config_age_ms = self
            .config_confirmed_at
            .map(|t| u32::try_from(now.since(t).as_millis()).unwrap_or(u32::MAX));
        Gossip { kind, config_age_ms, deltas }
    }

    /// Sends the latest updates to a few members at once instead of with the next probes.
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

    fn seq(&mut self) -> u64 {
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
        let seq = self.seq();
        let gossip = self.gossip(now, GossipKind::Ping { seq }, name.as_deref());
        out.push(MembershipAction::Send { to, gossip });
        self.probes.push(Probe { seq, name, sent: now, asked_others: false });
    }

    fn relay(
        &mut self,
        now: Time,
        asker_seq: u64,
        asker: SocketAddr,
        name: &str,
        target: SocketAddr,
        out: &mut Vec<MembershipAction>,
    ) {
        // The bound keeps a flood of requests from using memory.
        if self.relays.len() >= MAX_MEMBERS || name == &*self.me.name {
            return;
        }
        let seq = self.seq();
        let gossip = self.gossip(now, GossipKind::Ping { seq }, Some(name));
        out.push(MembershipAction::Send { to: target, gossip });
        self.relays.push(Relay { seq, asker_seq, asker, sent: now });
    }

    fn acked(
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
            let kind = GossipKind::Ack { seq: r.asker_seq, name: name.clone(), incarnation };
            let gossip = self.gossip(now, kind, None);
            out.push(MembershipAction::Send { to: r.asker, gossip });
            return;
        }
        let Some(i) = self.probes.iter().position(|p| p.seq == seq) else { return };
        // An answer of a former process under the same name proves nothing about the present one.
        let former = self.peer(name).is_some_and(|m| incarnation < m.incarnation);
        let other = self.probes[i].name.as_ref().is_some_and(|n| n != name);
        if former || other || *name == self.me.name {
            return;
        }
        let probe = self.probes.swap_remove(i);
        self.contact = self.contact.max(Some(probe.sent));
        // An age from before the clock's origin is of no use, and the clock can't express it.
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
            if p.member.state == MemberState::Suspect && now.since(p.since) >= suspicion_timeout {
                self.set_state(now, i, MemberState::Dead, out);
            }
        }
        let forget = self.opts.forget_after;
        self.peers.retain(|p| p.member.state != MemberState::Dead || now.since(p.since) < forget);
        let timeout = self.opts.probe_timeout;
        self.relays.retain(|r| now.since(r.sent) < timeout);
    }

    /// Asks others about probes without an answer, then suspects the member.
    fn escalate<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
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
            if waited >= self.opts.direct_timeout && !p.asked_others {
                p.asked_others = true;
                self.ask_others(now, p, rng, out);
            }
            true
        });
        probes.append(&mut self.probes);
        self.probes = probes;
        for name in failed {
            if let Ok(i) = self.find(&name)
                && self.peers[i].member.state < MemberState::Suspect
            {
                self.set_state(now, i, MemberState::Suspect, out);
            }
        }
    }

    fn ask_others<R>(&mut self, now: Time, p: &Probe, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        let Some(name) = &p.name else { return };
        let Some(m) = self.peer(name).filter(|m| m.state != MemberState::Dead) else { return };
        let addr = m.addr;
        let mut others: Vec<&Member> =
            self.peers().filter(|m| m.state < MemberState::Suspect && m.name != *name).collect();
        others.shuffle(rng);
        // Members near the one in doubt answer soonest when it is in another region; one from
        // elsewhere is asked too, in case that its whole failure domain is out of reach from here.
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|o| o.failure_domain == m.failure_domain);
        let near_limit = near.len().min(self.opts.indirect_probes.saturating_sub(1));
        let others: Vec<SocketAddr> = near[..near_limit]
            .iter()
            .chain(&far)
            .chain(&near[near_limit..])
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
        // Probing in rounds of random order bounds the time until each member is probed.
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if let Some(m) = self.peer(&name).filter(|m| m.state != MemberState::Dead) {
                    let to = m.addr;
                    return self.ping(now, Some(name), to, out);
                }
            }
            self.round = self.live_peers().map(|m| m.name.clone()).collect();
            self.round.shuffle(rng);
        }
    }

    /// Pings a dead member or a seed, so that separated parts of the fleet meet again.
    fn retry_next<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<MembershipAction>)
    where
        R: Rng + ?Sized,
    {
        if now < self.next_retry {
            return;
        }
        let alone = self.live_peers().next().is_none();
        let interval = if alone { self.opts.join_interval } else { self.opts.retry_interval };
        // Without jitter hosts that started together would all ping a dead member at once.
        self.next_retry = now + interval.mul_f64(rng.random_range(0.5..1.5));
        let dead = self.peers().filter(|m| m.state == MemberState::Dead);
        let mut to: Vec<(Option<Arc<str>>, SocketAddr)> =
            dead.map(|m| (Some(m.name.clone()), m.addr)).collect();
        for &seed in &self.seeds {
            if seed != self.me.addr && self.peers().all(|m| m.addr != seed) {
                to.push((None, seed));
            }
        }
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
        let alive: Vec<SocketAddr> =
            self.peers().filter(|m| m.state == MemberState::Alive).map(|m| m.addr).collect();
        if !alive.is_empty() {
            out.push(MembershipAction::Sync { peer: alive[rng.random_range(0..alive.len())] });
        }
    }
}
