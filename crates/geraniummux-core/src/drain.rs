//! Draining: targets that leave, and the shutdown of a host.
//!
//! [`TargetDrain`] holds the leaving targets that are known to this host. A report that a
//! target is leaving is sent to all peers as a [`LeavingNotice`] until each of them acknowledges
//! it, and expires after [`LEAVING_TTL`] unless it is renewed. After a start or a pause, requests
//! are held until a peer has sent its notices.
//!
//! [`ShutdownState`] is the state machine of this host's own shutdown.

use crate::entry::ENTRY_TTL_MS;
use crate::membership::{MemberState, Membership};
use crate::pause::PauseGate;
use crate::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a target counts as leaving after it was last reported to be leaving.
pub const LEAVING_TTL: Duration = Duration::from_secs(60);
/// Minimum interval between the notices that renew a report at the peers.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before a notice is first sent again to a peer that has not acknowledged it. It doubles
/// with each retry, up to 2 s.
pub const NOTICE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of peers to which a host forwards a notice that is new to it, in case the host that
/// first reported the target fails before it has notified all peers.
pub const RELAY_FANOUT: usize = 6;
/// Delay after which other peers are asked for their notices after a start or a pause, if no peer
/// has responded.
pub const REFRESH_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of leaving targets that a host stores, which bounds its memory.
pub const MAX_LEAVING: usize = 4_096;

/// Notifies a peer that a target is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Address of the target.
    pub target: SocketAddr,
    /// Time since the target was last reported to be leaving, in milliseconds. An age needs no
    /// synchronised clocks, and a forwarded notice doesn't expire later than the original.
    pub age_ms: u32,
}

/// Acknowledges a [`LeavingNotice`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingAck {
    /// Address of the target.
    pub target: SocketAddr,
    /// The age in the acknowledged notice.
    pub age_ms: u32,
}

/// An action that [`TargetDrain`] asks the daemon to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Send a notice to a peer.
    Notify {
        /// The peer.
        to: SocketAddr,
        /// The notice.
        notice: LeavingNotice,
    },
    /// Acknowledge a notice.
    Acknowledge {
        /// The peer that sent it.
        to: SocketAddr,
        /// The acknowledgement.
        ack: LeavingAck,
    },
    /// Stop choosing a target, since it is leaving.
    Leaving(SocketAddr),
    /// Allow a target to be chosen again, since it was not reported for [`LEAVING_TTL`].
    Expired(SocketAddr),
    /// Ask these peers for their notices (see [`TargetDrain::notices`]) and pass the responses to
    /// [`TargetDrain::refreshed`]. This host has started or was paused.
    Refresh {
        /// The peers. One response is enough.
        peers: Vec<SocketAddr>,
    },
}

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPermit {
    /// It may be sent.
    Send,
    /// It must not be sent, since the target is leaving.
    Leaving,
    /// Unknown, since the host has started or was paused and has not received the notices of a peer
    /// yet. The daemon holds the request and asks again later.
    Hold,
}

/// A notice that a peer has not acknowledged.
#[derive(Clone, Debug)]
struct UnackedNotice {
    /// Name of the peer.
    to: Arc<str>,
    next_send: Time,
    retry_delay: Duration,
}

/// A leaving target.
#[derive(Clone, Debug)]
struct Entry {
    target: SocketAddr,
    /// When the last report expires, on this host's clock. The time of the report itself could lie
    /// before the clock's origin.
    expires: Time,
    /// When a report was last forwarded by this host, or received from a peer.
    forwarded_at: Time,
    unacked: Vec<UnackedNotice>,
}

/// The leaving targets that one host knows.
///
/// The daemon performs the actions that the methods return and calls [`tick`](TargetDrain::tick)
/// at least every 100 ms.
#[derive(Clone, Debug)]
pub struct TargetDrain {
    /// Sorted by address.
    entries: Vec<Entry>,
    gate: PauseGate,
    next_refresh: Time,
}

impl TargetDrain {
    /// Returns the state of a host that starts. It holds requests until a peer has sent its
    /// notices, or for [`MAX_START_HOLD`](crate::pause::MAX_START_HOLD) if no peer does.
    pub fn new(now: Time) -> Self {
        TargetDrain { entries: Vec::new(), gate: PauseGate::starting(now), next_refresh: now }
    }

    /// Decides whether a request may be sent to a target now.
    pub fn permit(&self, now: Time, target: SocketAddr) -> TargetPermit {
        if self.is_leaving(now, target) {
            TargetPermit::Leaving
        } else if self.gate.is_closed(now) {
            TargetPermit::Hold
        } else {
            TargetPermit::Send
        }
    }

    /// Returns whether a target is known to be leaving.
    pub fn is_leaving(&self, now: Time, target: SocketAddr) -> bool {
        self.find(target).is_ok_and(|i| now < self.entries[i].expires)
    }

    /// Returns the notices of all leaving targets, for a peer that starts or resumes.
    pub fn notices(&self, now: Time) -> Vec<LeavingNotice> {
        self.entries.iter().map(|e| notice(now, e)).collect()
    }

    /// Returns the addresses of the targets that are leaving.
    pub fn leaving(&self, now: Time) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.target).filter(|t| self.is_leaving(now, *t)).collect()
    }

    /// Handles a report that a target is leaving, from a response header, a refusal, a probe, the
    /// host list or the configuration. May be called for every such report, since peers are
    /// notified only when the target is new or [`RENEWAL_INTERVAL`] has passed.
    pub fn report<R>(
        &mut self,
        now: Time,
        target: SocketAddr,
        members: &Membership,
        rng: &mut R,
    ) -> Vec<DrainAction>
    where
        R: Rng + ?Sized,
    {
        let mut actions = Vec::new();
        let Some((i, new)) = self.record(now, target, now + LEAVING_TTL, &mut actions) else {
            return actions;
        };
        if new || now.since(self.entries[i].forwarded_at) >= RENEWAL_INTERVAL {
            self.forward(now, i, usize::MAX, members, rng, &mut actions);
        }
        actions
    }

    /// Handles a notice from a peer.
    pub fn receive<R>(
        &mut self,
        now: Time,
        from: SocketAddr,
        notice: LeavingNotice,
        members: &Membership,
        rng: &mut R,
    ) -> Vec<DrainAction>
    where
        R: Rng + ?Sized,
    {
        let ack = LeavingAck { target: notice.target, age_ms: notice.age_ms };
        let mut actions = vec![DrainAction::Acknowledge { to: from, ack }];
        if let Some(expires) = expires_at(now, &notice)
            && let Some((i, new)) = self.record(now, notice.target, expires, &mut actions)
        {
            if new {
                self.forward(now, i, RELAY_FANOUT, members, rng, &mut actions);
            }
            let e = &mut self.entries[i];
            // The sender has the report, and this host need not forward reports of its own while
            // it receives recent ones from peers.
            e.unacked.retain(|n| members.peer(&n.to).is_none_or(|m| m.addr != from));
            e.forwarded_at = now;
        }
        actions
    }

    /// Handles an acknowledgement from the peer `name`.
    pub fn acknowledged(&mut self, name: &str, ack: &LeavingAck) {
        if let Ok(i) = self.find(ack.target) {
            self.entries[i].unacked.retain(|n| *n.to != *name);
        }
    }

    /// Merges a peer's notices from an exchange of the full state.
    pub fn merge(&mut self, now: Time, notices: Vec<LeavingNotice>) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        for n in notices {
            if let Some(expires) = expires_at(now, &n) {
                self.record(now, n.target, expires, &mut actions);
            }
        }
        actions
    }

    /// Handles the notices of a peer that were requested at `asked` by [`DrainAction::Refresh`].
    pub fn refreshed(
        &mut self,
        now: Time,
        asked: Time,
        notices: Vec<LeavingNotice>,
    ) -> Vec<DrainAction> {
        let actions = self.merge(now, notices);
        self.gate.on_refreshed(asked);
        actions
    }

    /// Advances the timers. Must be called at least every 100 ms.
    pub fn tick<R>(&mut self, now: Time, members: &Membership, rng: &mut R) -> Vec<DrainAction>
    where
        R: Rng + ?Sized,
    {
        let mut actions = Vec::new();
        if self.gate.on_timer(now).is_some() {
            self.next_refresh = now;
        }
        if self.gate.awaits_refresh(now) && now >= self.next_refresh {
            let mut peers: Vec<SocketAddr> = members.live_peers().map(|m| m.addr).collect();
            if peers.is_empty() && !members.has_seeds() {
                // There is no other host that could know of a leaving target.
                self.gate.on_refreshed(now);
            } else if !peers.is_empty() {
                peers.shuffle(rng);
                peers.truncate(3);
                self.next_refresh = now + REFRESH_RETRY_DELAY;
                actions.push(DrainAction::Refresh { peers });
            }
        }
        self.entries.retain(|e| {
            let keep = now < e.expires;
            if !keep {
                actions.push(DrainAction::Expired(e.target));
            }
            keep
        });
        for e in &mut self.entries {
            send_due_notices(now, e, members, &mut actions);
        }
        actions
    }

    fn find(&self, target: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.target.cmp(&target))
    }

    /// Records a report; returns the index of the target's entry and whether it is new. Returns
    /// `None` if the maximum number of leaving targets is reached.
    fn record(
        &mut self,
        now: Time,
        target: SocketAddr,
        expires: Time,
        actions: &mut Vec<DrainAction>,
    ) -> Option<(usize, bool)> {
        match self.find(target) {
            Ok(i) => {
                let e = &mut self.entries[i];
                // An entry that expired since the last tick is new again.
                let expired = now >= e.expires;
                e.expires = e.expires.max(expires);
                Some((i, expired))
            }
            Err(_) if self.entries.len() >= MAX_LEAVING => None,
            Err(i) => {
                let e = Entry { target, expires, forwarded_at: now, unacked: Vec::new() };
                self.entries.insert(i, e);
                actions.push(DrainAction::Leaving(target));
                Some((i, true))
            }
        }
    }

    /// Sends a notice of the entry `i` to at most `limit` live peers chosen at random.
    fn forward<R>(
        &mut self,
        now: Time,
        i: usize,
        limit: usize,
        members: &Membership,
        rng: &mut R,
        actions: &mut Vec<DrainAction>,
    ) where
        R: Rng + ?Sized,
    {
        let e = &mut self.entries[i];
        e.forwarded_at = now;
        // This includes suspect peers: one that is only paused needs the notice when it resumes.
        let mut to: Vec<Arc<str>> = members.live_peers().map(|m| m.name.clone()).collect();
        to.shuffle(rng);
        to.truncate(limit);
        e.unacked = to
            .into_iter()
            .map(|to| UnackedNotice { to, next_send: now, retry_delay: NOTICE_RETRY_DELAY })
            .collect();
        send_due_notices(now, e, members, actions);
    }
}

/// Sends the due notices of an entry. Drops the notices to peers that are dead.
fn send_due_notices(
    now: Time,
    e: &mut Entry,
    members: &Membership,
    actions: &mut Vec<DrainAction>,
) {
    let message = notice(now, e);
    e.unacked.retain_mut(|n| {
        let Some(m) = members.peer(&n.to).filter(|m| m.state != MemberState::Dead) else {
            return false;
        };
        if now >= n.next_send {
            actions.push(DrainAction::Notify { to: m.addr, notice: message.clone() });
            n.next_send = now + n.retry_delay;
            n.retry_delay = (n.retry_delay * 2).min(Duration::from_secs(2));
        }
        true
    });
}

fn notice(now: Time, e: &Entry) -> LeavingNotice {
    let age = LEAVING_TTL.saturating_sub(e.expires.since(now));
    // The age is rounded up, so that a forwarded notice never expires later than the original.
    LeavingNotice { target: e.target, age_ms: age.as_micros().div_ceil(1_000) as u32 }
}

/// Returns when a notice expires, or `None` if it has already expired.
fn expires_at(now: Time, notice: &LeavingNotice) -> Option<Time> {
    let left = LEAVING_TTL.checked_sub(Duration::from_millis(u64::from(notice.age_ms)))?;
    (!left.is_zero()).then(|| now + left)
}

/// Time for which a leaving host still accepts requests after its announcement: [`ENTRY_TTL_MS`],
/// for which callers may use a list of hosts that contains it, and 2 s for the announcement to
/// reach all peers.
pub const SHUTDOWN_NOTICE: Duration = Duration::from_millis(ENTRY_TTL_MS + 2_000);
/// Maximum time for writing the usage counters to the platform at the end of the shutdown.
pub const USAGE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for aborted requests to end. Without this bound, one request that ignores the abort
/// would keep the process running.
pub const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// An action that [`ShutdownState`] asks the daemon to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownAction {
    /// Announce that this host is leaving ([`Membership::leave`] and [`Membership::announce`]).
    Announce,
    /// Stop accepting connections and requests; finish those in flight.
    StopAccepting,
    /// Abort the remaining requests, since the longest route timeout has passed.
    AbortRequests,
    /// Write the usage counters to the platform, then call [`ShutdownState::usage_written`].
    WriteUsage,
    /// Log and exit with status 0.
    Exit,
}

/// Phase of a shutdown; `until` is the time of the next phase at the latest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    Announced { until: Time },
    Draining { until: Time },
    Aborting { until: Time },
    WritingUsage { until: Time },
    Done,
}

/// State machine of the shutdown of a host: announce, accept requests for the notice
/// period, finish the requests in flight, abort the rest, write the usage, exit.
#[derive(Clone, Debug)]
pub struct ShutdownState {
    phase: Phase,
    notice: Duration,
}

impl Default for ShutdownState {
    fn default() -> Self {
        ShutdownState::new(SHUTDOWN_NOTICE)
    }
}

impl ShutdownState {
    /// Returns the state of a serving host. It will still accept requests for `notice` after it has
    /// announced that it is leaving.
    pub fn new(notice: Duration) -> Self {
        ShutdownState { phase: Phase::Serving, notice }
    }

    /// Begins the shutdown. A second call has no effect and returns `None`.
    pub fn begin(&mut self, now: Time) -> Option<ShutdownAction> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Announced { until: now + self.notice };
        Some(ShutdownAction::Announce)
    }

    /// Returns whether new requests are accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Announced { .. })
    }

    /// Returns whether the shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Advances the shutdown. `in_flight` is the number of requests being served and
    /// `longest_timeout` the longest timeout of all routes.
    pub fn tick(
        &mut self,
        now: Time,
        in_flight: usize,
        longest_timeout: Duration,
    ) -> Option<ShutdownAction> {
        match self.phase {
            Phase::Announced { until } if now >= until => {
                self.phase = Phase::Draining { until: now + longest_timeout };
                Some(ShutdownAction::StopAccepting)
            }
            Phase::Draining { .. } | Phase::Aborting { .. } if in_flight == 0 => {
                Some(self.write_usage(now))
            }
            Phase::Draining { until } if now >= until => {
                self.phase = Phase::Aborting { until: now + ABORT_TIMEOUT };
                Some(ShutdownAction::AbortRequests)
            }
            Phase::Aborting { until } if now >= until => Some(self.write_usage(now)),
            Phase::WritingUsage { until } if now >= until => self.usage_written(),
            _ => None,
        }
    }

    fn write_usage(&mut self, now: Time) -> ShutdownAction {
        self.phase = Phase::WritingUsage { until: now + USAGE_WRITE_TIMEOUT };
        ShutdownAction::WriteUsage
    }

    /// Records that the usage was written, which ends the shutdown. Has no effect in other phases.
    pub fn usage_written(&mut self) -> Option<ShutdownAction> {
        if !matches!(self.phase, Phase::WritingUsage { .. }) {
            return None;
        }
        self.phase = Phase::Done;
        Some(ShutdownAction::Exit)
    }
}
