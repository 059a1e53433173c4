//! Leaving targets, and the shutdown of an entry host.

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

/// A target counts as leaving for this long after the last report.
pub const LEAVING_TTL: Duration = Duration::from_secs(60);
/// Reports of a target that is known to leave are passed on only at this interval.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// First pause before a notice is sent again to a peer that has not acknowledged it; doubles up to
/// 2 s.
pub const NOTICE_RETRY: Duration = Duration::from_millis(200);
/// Peers that a host passes a notice on to when it first hears of it, in case that the first
/// reporter dies before it has told everyone.
pub const RELAY_FANOUT: usize = 6;
/// Pause before other peers are asked for their notices after a start or pause.
pub const REFRESH_RETRY: Duration = Duration::from_millis(150);
/// Most leaving targets that a host keeps. It bounds memory.
pub const MAX_LEAVING: usize = 4_096;

/// Tells peers that a target is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Address of the target.
    pub target: SocketAddr,
    /// How long ago the target was last reported to be leaving, in milliseconds. Ages instead of
    /// instants need no synchronised clocks, and a notice that is passed on does not live longer.
    pub age_ms: u32,
}

/// Acknowledges a [`LeavingNotice`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingAck {
    /// Address of the target.
    pub target: SocketAddr,
    /// The age from the notice.
    pub age_ms: u32,
}

/// What the daemon has to do.
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
    /// A target began to leave: the balancer stops choosing it.
    Leaving(SocketAddr),
    /// No report came for [`LEAVING_TTL`]: the target may be chosen again.
    Expired(SocketAddr),
    /// This host starts or was paused. Ask these peers for their notices at once (see
    /// [`TargetDrain::notices`]) and pass the answers to [`TargetDrain::refreshed`].
    Refresh {
        /// The peers; one answer is enough.
        peers: Vec<SocketAddr>,
    },
}

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPermit {
    /// It may.
    Send,
    /// The target is leaving.
    Leaving,
    /// The host starts or was paused and may not know about leaving targets: ask again.
    Hold,
}

#[derive(Clone, Debug)]
struct Notice {
    to: Arc<str>,
    next: Time,
    pause: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    target: SocketAddr,
    /// When it expires, on this host's clock. An instant of the last report could lie before the
    /// clock's origin.
    expires: Time,
    /// The report that was last passed on.
    passed_on: Time,
    /// Peers that have not acknowledged it.
    open: Vec<Notice>,
}

/// The leaving targets as one host knows them.
#[derive(Clone, Debug)]
pub struct TargetDrain {
    /// Sorted by address.
    entries: Vec<Entry>,
    gate: PauseGate,
    next_refresh: Time,
}

impl TargetDrain {
    /// Returns the state of a starting host. It holds requests until a peer has told it of leaving
    /// targets, or for [`MAX_START_HOLD`](crate::pause::START_HOLD) if no peer does.
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

    /// Returns all known notices, for a peer that starts or resumes.
    pub fn notices(&self, now: Time) -> Vec<LeavingNotice> {
        self.entries.iter().map(|e| notice(now, e)).collect()
    }

    /// Returns the addresses of the targets that are leaving.
    pub fn leaving(&self, now: Time) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.target).filter(|t| self.is_leaving(now, *t)).collect()
    }

    /// Handles a sign that a target is leaving: a response header, a refusal, a probe, the host
    /// list or a table. May be called for every such sign.
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
        let mut out = Vec::new();
        let Some((i, new)) = self.record(now, target, now + LEAVING_TTL, &mut out) else {
            return out;
        };
        if new || now.since(self.entries[i].passed_on) >= REFRESH_INTERVAL {
            self.pass_on(now, i, usize::MAX, members, rng, &mut out);
        }
        out
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
        let mut out = vec![DrainAction::Acknowledge { to: from, ack }];
        if let Some(expires) = expires_at(now, &notice)
            && let Some((i, new)) = self.record(now, notice.target, expires, &mut out)
        {
            if new {
                self.pass_on(now, i, RELAY_FANOUT, members, rng, &mut out);
            }
            let e = &mut self.entries[i];
            // The sender knows, and while it passes fresh reports on this host need not.
            e.open.retain(|n| members.peer(&n.to).is_none_or(|m| m.addr != from));
            e.passed_on = now;
        }
        out
    }

    /// Handles an acknowledgement from the peer `name`.
    pub fn acknowledged(&mut self, name: &str, ack: &LeavingAck) {
        if let Ok(i) = self.find(ack.target) {
            self.entries[i].open.retain(|n| *n.to != *name);
        }
    }

    /// Merges a peer's notices from an exchange of the full state.
    pub fn merge(&mut self, now: Time, notices: Vec<LeavingNotice>) -> Vec<DrainAction> {
        let mut out = Vec::new();
        for n in notices {
            if let Some(expires) = expires_at(now, &n) {
                self.record(now, n.target, expires, &mut out);
            }
        }
        out
    }

    /// Handles a peer's notices, asked for at `asked` by [`DrainAction::Refresh`].
    pub fn refreshed(
        &mut self,
        now: Time,
        asked: Time,
        notices: Vec<LeavingNotice>,
    ) -> Vec<DrainAction> {
        let out = self.merge(now, notices);
        self.gate.on_refreshed(asked);
        out
    }

    /// Advances the timers. To be called at least every 100 ms.
    pub fn tick<R>(&mut self, now: Time, members: &Membership, rng: &mut R) -> Vec<DrainAction>
    where
        R: Rng + ?Sized,
    {
        let mut out = Vec::new();
        if self.gate.on_timer(now).is_some() {
            self.next_refresh = now;
        }
        if self.gate.awaits_refresh(now) && now >= self.next_refresh {
            let mut peers: Vec<SocketAddr> = members.live_peers().map(|m| m.addr).collect();
            if peers.is_empty() && !members.has_seeds() {
                // Nobody can be asked, and nobody else can have heard of a leaving target.
                self.gate.on_refreshed(now);
            } else if !peers.is_empty() {
                peers.shuffle(rng);
                peers.truncate(3);
                self.next_refresh = now + REFRESH_RETRY;
                out.push(DrainAction::Refresh { peers });
            }
        }
        self.entries.retain(|e| {
            let keep = now < e.expires;
            if !keep {
                out.push(DrainAction::Expired(e.target));
            }
            keep
        });
        for e in &mut self.entries {
            retry(now, e, members, &mut out);
        }
        out
    }

    fn find(&self, target: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.target.cmp(&target))
    }

    /// Records a report; returns the entry's index and whether it is new.
    fn record(
        &mut self,
        now: Time,
        target: SocketAddr,
        expires: Time,
        out: &mut Vec<DrainAction>,
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
                let e = Entry { target, expires, passed_on: now, open: Vec::new() };
                self.entries.insert(i, e);
                out.push(DrainAction::Leaving(target));
                Some((i, true))
            }
        }
    }

    fn pass_on<R>(
        &mut self,
        now: Time,
        i: usize,
        limit: usize,
        members: &Membership,
        rng: &mut R,
        out: &mut Vec<DrainAction>,
    ) where
        R: Rng + ?Sized,
    {
        let e = &mut self.entries[i];
        e.passed_on = now;
        // Suspect peers may only be paused, and then need the notice when they resume.
        let mut to: Vec<Arc<str>> = members.live_peers().map(|m| m.name.clone()).collect();
        to.shuffle(rng);
        to.truncate(limit);
        e.open = to.into_iter().map(|to| Notice { to, next: now, pause: NOTICE_RETRY }).collect();
        retry(now, e, members, out);
    }
}

/// Sends the notices of an entry that are due. Peers that died are dropped.
fn retry(now: Time, e: &mut Entry, members: &Membership, out: &mut Vec<DrainAction>) {
    let message = notice(now, e);
    e.open.retain_mut(|n| {
        let Some(m) = members.peer(&n.to).filter(|m| m.state != MemberState::Dead) else {
            return false;
        };
        if now >= n.next {
            out.push(DrainAction::Notify { to: m.addr, notice: message.clone() });
            n.next = now + n.pause;
            n.pause = (n.pause * 2).min(Duration::from_secs(2));
        }
        true
    });
}

fn notice(now: Time, e: &Entry) -> LeavingNotice {
    let age = LEAVING_TTL.saturating_sub(e.expires.since(now));
    // The age is rounded up, so that passing a notice on never lengthens its life.
    LeavingNotice { target: e.target, age_ms: age.as_micros().div_ceil(1_000) as u32 }
}

/// Returns when a notice expires, or `None` if it already has.
fn expires_at(now: Time, notice: &LeavingNotice) -> Option<Time> {
    let left = LEAVING_TTL.checked_sub(Duration::from_millis(u64::from(notice.age_ms)))?;
    (!left.is_zero()).then(|| now + left)
}

/// Time after the announcement for which a leaving host still accepts requests: the ttl of answers
/// that name it, and 2 s for the announcement to reach all peers.
pub const SHUTDOWN_NOTICE: Duration = Duration::from_millis(ENTRY_TTL_MS + 2_000);
/// Longest time for writing the usage at the end.
pub const USAGE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for aborted requests to end. Without this bound one request that ignored the abort
/// would keep the process from ending.
pub const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the daemon has to do during a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownAction {
    /// Announce that this host is leaving ([`Membership::leave`] and [`Membership::announce`]).
    Announce,
    /// Accept no more connections and requests; finish those in flight.
    StopAccepting,
    /// The longest route timeout has passed: abort the requests that are left.
    AbortRequests,
    /// Write the usage, then call [`ShutdownState::usage_written`].
    WriteUsage,
    /// Log and exit with status 0.
    Exit,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    Announced { until: Time },
    Draining { until: Time },
    Aborting { until: Time },
    WritingUsage { until: Time },
    Done,
}

/// The shutdown of an entry host.
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
    /// Returns the state of a host that serves on for `notice` after it announced that it leaves.
    pub fn new(notice: Duration) -> Self {
        ShutdownState { phase: Phase::Serving, notice }
    }

    /// Begins the shutdown; a second call changes nothing.
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

    /// Ends the shutdown after the usage was written.
    pub fn usage_written(&mut self) -> Option<ShutdownAction> {
        if !matches!(self.phase, Phase::WritingUsage { .. }) {
            return None;
        }
        self.phase = Phase::Done;
        Some(ShutdownAction::Exit)
    }
}
