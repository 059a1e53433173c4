//! Whether a host reaches the targets itself, and which peers connect it to them if it does not.
//!
//! A target that accepts no connection is down, or the host has lost its links. If several targets in a row
//! accept none, the host asks a peer to connect it. What the peer reaches and the host does not shows that
//! the links of the host are at fault. Such a host is cut off: it connects through peers until its own
//! connections are accepted again.

use crate::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Parameters of [`TargetReach`] and [`Relays`].
#[derive(Clone, Copy, Debug)]
pub struct ReachOptions {
    /// Targets that accepted no connection in a row, from which a host asks peers.
    pub failed_targets: usize,
    /// Time after which such a failure no longer counts.
    pub failure_window: Duration,
    /// Targets that a peer reached and the host did not, from which the host counts as cut off.
    pub relayed_targets: usize,
    /// Time for which peers are not asked after they could not connect the host either.
    pub relay_backoff: Duration,
    /// Connections of its own that a host that is cut off has to establish in a row to count as connected.
    pub accepted_trials: u32,
    /// Time for which a peer that can't help is not asked.
    pub peer_backoff: Duration,
    /// Peers that are asked for one connection in the host's own failure domain, and as many in others.
    pub peers_per_try: usize,
}

impl Default for ReachOptions {
    fn default() -> Self {
        ReachOptions {
            failed_targets: 2,
            failure_window: Duration::from_secs(3),
            relayed_targets: 2,
            relay_backoff: Duration::from_millis(300),
            accepted_trials: 2,
            peer_backoff: Duration::from_secs(4),
            peers_per_try: 2,
        }
    }
}

/// How a host connects to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPath {
    /// Directly.
    Direct,
    /// Directly and, if the target does not accept that, through a peer.
    DirectThenRelayed,
    /// Through a peer.
    Relayed,
}

/// Whether a host reaches the targets, by the results of its connections.
#[derive(Clone, Debug, Default)]
pub struct TargetReach {
    opts: ReachOptions,
    /// Targets that accepted no connection since one was last accepted, with the time of the last failure.
    failed: Vec<(Arc<str>, Time)>,
    /// Targets among them that a peer reached.
    relayed: Vec<Arc<str>>,
    no_relay_until: Time,
    /// Since when the host is cut off, and the connections of its own that were accepted in a row since.
    cut_off: Option<(Time, u32)>,
}

impl TargetReach {
    /// Returns the state of a host that reaches all targets.
    pub fn new(opts: ReachOptions) -> Self {
        TargetReach { opts, ..TargetReach::default() }
    }

    /// Returns how to connect to a target.
    pub fn path(&self, now: Time) -> TargetPath {
        if self.cut_off.is_some() {
            return TargetPath::Relayed;
        }
        let is_recent = |at: Time| now.since(at) < self.opts.failure_window;
        let failed = self.failed.iter().filter(|(_, at)| is_recent(*at)).count();
        if failed >= self.opts.failed_targets && now >= self.no_relay_until {
            TargetPath::DirectThenRelayed
        } else {
            TargetPath::Direct
        }
    }

    /// Returns whether the host is cut off from the targets.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Records that a target accepted a direct connection. Returns for how long the host was cut off if it is
    /// no longer.
    pub fn on_accepted(&mut self, now: Time) -> Option<Duration> {
        self.failed.clear();
        self.relayed.clear();
        let (since, accepted) = self.cut_off?;
        if accepted + 1 < self.opts.accepted_trials {
            self.cut_off = Some((since, accepted + 1));
            return None;
        }
        self.cut_off = None;
        Some(now.since(since))
    }

    /// Records that a target accepted no direct connection.
    pub fn on_failed(&mut self, now: Time, target: &Arc<str>) {
        let window = self.opts.failure_window;
        self.failed.retain(|(t, at)| t != target && now.since(*at) < window);
        self.failed.push((target.clone(), now));
        if let Some((_, accepted)) = &mut self.cut_off {
            *accepted = 0;
        }
    }

    /// Records that a peer reached a target that had not accepted a direct connection. Returns whether the
    /// host counts as cut off from now on.
    pub fn on_relayed(&mut self, now: Time, target: &Arc<str>) -> bool {
        if self.cut_off.is_some() || !self.failed.iter().any(|(t, _)| t == target) {
            return false;
        }
        if !self.relayed.contains(target) {
            self.relayed.push(target.clone());
        }
        let is_cut_off = self.relayed.len() >= self.opts.relayed_targets;
        if is_cut_off {
            self.cut_off = Some((now, 0));
        }
        is_cut_off
    }

    /// Records that peers did not reach a target either.
    pub fn on_relay_failed(&mut self, now: Time) {
        self.no_relay_until = now + self.opts.relay_backoff;
    }
}

/// A peer that may connect a host to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Address for messages between hosts.
    pub addr: SocketAddr,
    /// Whether it is in the host's failure domain.
    pub same_domain: bool,
}

/// The peers that can't connect this host to targets at present, because they are cut off themselves or do
/// not respond.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    opts: ReachOptions,
    /// Sorted by address.
    avoided: Vec<(SocketAddr, Time)>,
}

impl Relays {
    /// Returns the state of a host that has asked no peer.
    pub fn new(opts: ReachOptions) -> Self {
        Relays { opts, ..Relays::default() }
    }

    /// Records that a peer can't help for a while.
    pub fn avoid(&mut self, now: Time, peer: SocketAddr) {
        self.avoided.retain(|(a, until)| *a != peer && now < *until);
        let i = self.avoided.partition_point(|(a, _)| *a < peer);
        self.avoided.insert(i, (peer, now + self.opts.peer_backoff));
    }

    /// Returns the peers to ask for a connection, one after the other: some in the host's failure domain, as
    /// bytes between domains cost more, then some in others. They are chosen at random, so that all peers
    /// bear about the same load.
    pub fn choose<R>(&self, now: Time, peers: &[RelayPeer], rng: &mut R) -> Vec<RelayPeer>
    where
        R: Rng + ?Sized,
    {
        let is_avoided = |addr: SocketAddr| {
            let i = self.avoided.binary_search_by_key(&addr, |(a, _)| *a);
            i.is_ok_and(|i| now < self.avoided[i].1)
        };
        let mut out = Vec::new();
        for same_domain in [true, false] {
            let usable = |p: &&RelayPeer| p.same_domain == same_domain && !is_avoided(p.addr);
            let mut found: Vec<_> = peers.iter().filter(usable).copied().collect();
            found.shuffle(rng);
            found.truncate(self.opts.peers_per_try);
            out.extend(found);
        }
        out
    }
}
