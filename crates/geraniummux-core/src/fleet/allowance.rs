//! Allowances of teams, which hold for the requests of all hosts together.
//!
//! A request of a team with an allowance is sent to a target only with a token. Tokens are granted by
//! [`ALLOCATORS`] hosts, each of which has an [`AllowanceAllocator`] with its share of every allowance. A
//! scheduler, or a host that selects targets itself, takes tokens from an [`AllowanceStock`], which asks the
//! allocators for more. A token is used within [`TOKEN_LIFETIME`] or returned.
//!
//! In a window of length w, one allocator grants at most its capacity and its rate x w. One that takes over starts with
//! a part of the slack and nothing of the burst. The capacities add up to
//! the burst and a part of the slack, and a request arrives at its target within half a second of the grant of its
//! token, so that the requests of a window of 5 s need at most 5.5 x rate + burst + slack tokens.

use super::teams::Allowance;
use crate::pause::PAUSE_THRESHOLD;
use crate::time::{Time, UnixMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of hosts that grant tokens. If one fails, the others still grant two thirds of each allowance.
pub const ALLOCATORS: usize = 3;
/// Time from the request of a token after which it is no longer used. A request is sent to its target within
/// 200 ms after that.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Time without a response after which an allocator counts as unresponsive. On a link of 10 Mbit/s, a message may
/// wait behind a body of 64 KB, which takes 52 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an unresponsive allocator is not asked. After a restart of the fleet, allocators come up within a
/// few hundred milliseconds.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(200);
/// Shortest time after which an allocator that had too few tokens for a team is asked for it again.
const MIN_DENIAL: Duration = Duration::from_millis(40);
/// Longest such time, after which a raised allowance is noticed.
const MAX_DENIAL: Duration = Duration::from_secs(1);
/// Time for which tokens are kept in stock, by the rate at which they were used before.
const STOCK_TIME: Duration = Duration::from_millis(150);
/// Time in which the rate of use decays to about a third (1/e).
const RATE_DECAY: Duration = Duration::from_millis(500);
/// Time without use after which the rate of use counts as zero.
const RATE_RETENTION: Duration = Duration::from_secs(10);
/// Part of the slack of an allowance that the allocators use; the rest covers allocators that take over.
const USED_SLACK_SHARE: f64 = 0.5;
/// Part of its reserve that an allocator has when it takes a share over. While hosts stop and start, shares change hands
/// several times in one window.
const START_SHARE: f64 = 1.0 / 3.0;

/// What a scheduler has to know of the team of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamTerms {
    /// Name of the team.
    pub team: Arc<str>,
    /// Whether the request needs a token: its team has an allowance, and no earlier attempt has a token.
    pub needs_token: bool,
    /// Size of the team, as requests per second of its allowance; 0 if it has none.
    pub weight: f32,
}

/// A number of tokens of a team's allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Name of the team.
    pub team: Arc<str>,
    /// Number of tokens.
    pub tokens: u32,
}

/// An allocator's answer for one team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenGrant {
    /// Name of the team.
    pub team: Arc<str>,
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time until the allocator has another token, if it granted fewer than it was asked for.
    pub next_ms: Option<u32>,
}

/// A host's answer to a request for tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AllowanceAnswer {
    /// The host is an allocator.
    Granted(Vec<TokenGrant>),
    /// The host is no allocator; these are, as far as it knows.
    OtherAllocators(Vec<SocketAddr>),
}

/// The tokens of one team that an allocator has.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_s: f64,
    capacity: f64,
    tokens: f64,
    at: Time,
}

impl Bucket {
    fn refill(&mut self, now: Time) {
        self.tokens += now.since(self.at).as_secs_f64() * self.per_s;
        self.tokens = self.tokens.min(self.capacity);
        self.at = now;
    }
}

/// What a host grants of each team's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AllowanceShare {
    /// The host is one of the allocators.
    Allocator {
        /// Part of the allowance.
        part: f64,
        /// Requests by which all hosts together may exceed the allowance.
        slack: f64,
    },
    /// The host does not know the others. There may be many such hosts, so that none has a part of the slack.
    Alone {
        /// Part of the allowance.
        part: f64,
    },
}

impl AllowanceShare {
    fn part(&self) -> f64 {
        match self {
            AllowanceShare::Allocator { part, .. } | AllowanceShare::Alone { part } => *part,
        }
    }

    /// Returns the tokens that a bucket may have beside its part of the burst.
    fn reserve(&self) -> f64 {
        match self {
            AllowanceShare::Allocator { part, slack } => (slack * USED_SLACK_SHARE * part).max(1.0),
            AllowanceShare::Alone { .. } => 0.0,
        }
    }

    /// Returns the tokens of a bucket when the share is taken over, as another host may just have granted the others.
    fn tokens_at_start(&self) -> f64 {
        match self {
            AllowanceShare::Allocator { .. } => (self.reserve() * START_SHARE).max(1.0),
            AllowanceShare::Alone { .. } => 0.0,
        }
    }

    /// Returns whether a host may go on with what it has while its share changes from this one to `other`.
    fn is_continued_by(&self, other: &AllowanceShare) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// A share that a host holds, as of when that was last known.
#[derive(Clone, Copy, Debug)]
struct Holding {
    share: AllowanceShare,
    at: Time,
    wall: UnixMs,
}

impl Holding {
    /// Returns whether no other host can have held the share for long since this was known.
    fn is_continued_by(&self, next: &Holding) -> bool {
        let gap = next.at.since(self.at);
        // The steady clock does not count the time for which a machine is suspended.
        let wall_gap = Duration::from_millis(next.wall.0.abs_diff(self.wall.0));
        gap.max(wall_gap) <= PAUSE_THRESHOLD && self.share.is_continued_by(&next.share)
    }
}

/// Grants tokens of its share of each team's allowance.
///
/// A share belongs to one host at a time, and what its holder has not granted does not pass on to the next: a host that
/// takes a share over starts with a few tokens, also if it held that share before, since another one may have granted
/// the burst meanwhile.
#[derive(Clone, Debug, Default)]
pub struct AllowanceAllocator {
    held: Option<Holding>,
    /// Sorted by team.
    buckets: Vec<(Arc<str>, Bucket)>,
}

impl AllowanceAllocator {
    /// Records the share that this host holds at present, if any. To be called before each grant and a few times a
    /// second, as a gap means that this host may have been replaced meanwhile.
    pub fn hold(&mut self, now: Time, wall: UnixMs, share: Option<AllowanceShare>) {
        let next = share.map(|share| Holding { share, at: now, wall });
        let is_continued =
            self.held.zip(next).is_some_and(|(held, next)| held.is_continued_by(&next));
        if let Some(next) = next.filter(|_| !is_continued) {
            for (_, bucket) in &mut self.buckets {
                bucket.tokens = bucket.tokens.min(next.share.tokens_at_start());
                bucket.at = now;
            }
        }
        self.held = next;
    }

    /// Grants up to `wanted` tokens of a team; `None` if this host holds no share.
    pub fn grant(
        &mut self,
        now: Time,
        team: &Arc<str>,
        allowance: Allowance,
        wanted: u32,
    ) -> Option<TokenGrant> {
        let share = self.held?.share;
        let (reserve, tokens) = (share.reserve(), share.tokens_at_start());
        let per_s = allowance.per_s * share.part();
        let i = self.buckets.binary_search_by(|(t, _)| t.cmp(team)).unwrap_or_else(|i| {
            let bucket = Bucket { per_s, capacity: tokens, tokens, at: now };
            self.buckets.insert(i, (team.clone(), bucket));
            i
        });
        let bucket = &mut self.buckets[i].1;
        bucket.refill(now);
        bucket.per_s = per_s;
        // A smaller bucket would never hold a whole token.
        bucket.capacity = (allowance.burst * share.part() + reserve).max(1.0);
        bucket.tokens = bucket.tokens.min(bucket.capacity);
        let tokens = wanted.min(bucket.tokens.max(0.0) as u32);
        bucket.tokens -= f64::from(tokens);
        let next_ms = (tokens < wanted).then(|| {
            let missing_s = (1.0 - bucket.tokens).max(0.0) / per_s;
            (missing_s * 1_000.0).ceil().min(MAX_DENIAL.as_millis() as f64) as u32
        });
        Some(TokenGrant { team: team.clone(), tokens, next_ms })
    }

    /// Takes back tokens that were granted and not used.
    pub fn take_back(&mut self, now: Time, unused: &TokenRequest) {
        let Ok(i) = self.buckets.binary_search_by(|(t, _)| t.cmp(&unused.team)) else { return };
        let bucket = &mut self.buckets[i].1;
        bucket.refill(now);
        bucket.tokens = (bucket.tokens + f64::from(unused.tokens)).min(bucket.capacity);
    }

    /// Forgets the teams that have no allowance any more.
    pub fn retain<F>(&mut self, has_allowance: F)
    where
        F: Fn(&str) -> bool,
    {
        self.buckets.retain(|(team, _)| has_allowance(team));
    }
}

/// Whether a request of a team may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenState {
    /// There is a token.
    Available,
    /// Tokens have been or will be asked for.
    Pending,
    /// The allowance is used up for this long.
    Denied(Duration),
    /// No allocator answers.
    NoAllocator,
}

/// Tokens that one allocator granted at a time.
#[derive(Clone, Copy, Debug)]
struct Lot {
    expires_at: Time,
    tokens: u32,
    allocator: SocketAddr,
}

#[derive(Clone, Debug)]
struct TeamStock {
    team: Arc<str>,
    /// In the order in which they expire.
    lots: Vec<Lot>,
    /// Tokens used per second, as of `rate_at`.
    rate: f64,
    rate_at: Time,
    /// Requests that wait for a token.
    waiting: u32,
    /// Number of the request for tokens that awaits its response.
    asked: Option<u64>,
    /// Allocators that had too few tokens, until when.
    denied: Vec<(SocketAddr, Time)>,
}

impl TeamStock {
    fn tokens(&self, now: Time) -> u32 {
        self.lots.iter().filter(|l| now < l.expires_at).map(|l| l.tokens).sum()
    }

    fn use_rate(&self, now: Time) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64();
        self.rate * (-age / RATE_DECAY.as_secs_f64()).exp()
    }

    /// Returns how many tokens are missing: for the requests that wait, and to have some in stock.
    fn missing(&self, now: Time) -> u32 {
        let stock = self.use_rate(now) * STOCK_TIME.as_secs_f64();
        let wanted = self.waiting.saturating_add(stock.round() as u32);
        let tokens = self.tokens(now);
        // A stock that is half full is not worth a message.
        if self.waiting <= tokens && tokens >= wanted / 2 { 0 } else { wanted - tokens.min(wanted) }
    }

    /// Returns whether nothing is known of the team that a new entry would not have.
    fn is_idle(&self, now: Time) -> bool {
        self.waiting == 0
            && self.asked.is_none()
            && self.lots.is_empty()
            && self.denied.iter().all(|(_, until)| now >= *until)
            && now.since(self.rate_at) >= RATE_RETENTION
    }

    fn denied_until(&self, allocator: SocketAddr) -> Option<Time> {
        self.denied.iter().find(|(a, _)| *a == allocator).map(|(_, until)| *until)
    }
}

/// A request for tokens that awaits its response.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    allocator: SocketAddr,
    sent_at: Time,
    wanted: Vec<TokenRequest>,
}

/// A message to an allocator.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenMessage {
    /// Address of the allocator.
    pub to: SocketAddr,
    /// Number by which the response refers to it; `None` if the tokens are returned.
    pub number: Option<u64>,
    /// Tokens that are asked for or returned.
    pub teams: Vec<TokenRequest>,
}

/// The tokens of one scheduler, or of one host that selects targets itself.
#[derive(Clone, Debug, Default)]
pub struct AllowanceStock {
    /// Sorted by name.
    teams: Vec<TeamStock>,
    /// Addresses of the allocators, the preferred one first.
    allocators: Vec<SocketAddr>,
    pending: Vec<PendingRequest>,
    /// Allocators that did not respond, until when.
    unresponsive: Vec<(SocketAddr, Time)>,
    next_number: u64,
}

impl AllowanceStock {
    /// Returns an empty stock whose requests are numbered from `first_number` on.
    pub fn new(first_number: u64) -> Self {
        AllowanceStock { next_number: first_number, ..AllowanceStock::default() }
    }

    /// Sets the allocators, the preferred one first.
    pub fn set_allocators(&mut self, allocators: &[SocketAddr]) {
        if self.allocators != allocators {
            self.allocators = allocators.to_vec();
        }
    }

    fn find(&self, team: &str) -> Option<&TeamStock> {
        let i = self.teams.binary_search_by(|t| (*t.team).cmp(team)).ok()?;
        Some(&self.teams[i])
    }

    fn entry(&mut self, now: Time, team: &Arc<str>) -> &mut TeamStock {
        let i = self.teams.binary_search_by(|t| t.team.cmp(team)).unwrap_or_else(|i| {
            let stock = TeamStock {
                team: team.clone(),
                lots: Vec::new(),
                rate: 0.0,
                rate_at: now,
                waiting: 0,
                asked: None,
                denied: Vec::new(),
            };
            self.teams.insert(i, stock);
            i
        });
        &mut self.teams[i]
    }

    fn is_responsive(&self, now: Time, allocator: SocketAddr) -> bool {
        self.unresponsive.iter().all(|(a, until)| *a != allocator || now >= *until)
    }

    /// Returns whether a request of a team may be sent.
    pub fn state(&self, now: Time, team: &str) -> TokenState {
        let stock = self.find(team);
        if stock.is_some_and(|s| s.tokens(now) > 0) {
            return TokenState::Available;
        }
        let mut responsive = self.allocators.iter().filter(|a| self.is_responsive(now, **a));
        let mut soonest = None;
        if responsive.clone().next().is_none() {
            return TokenState::NoAllocator;
        }
        let has_other = responsive.any(|a| {
            let until = stock.and_then(|s| s.denied_until(*a)).filter(|until| now < *until);
            let left = until.map(|until| until.since(now));
            soonest = [soonest, left].into_iter().flatten().min();
            left.is_none()
        });
        match soonest {
            Some(left) if !has_other => TokenState::Denied(left),
            _ => TokenState::Pending,
        }
    }

    /// Takes a token of a team, the one that expires first. Returns whether there was one.
    pub fn take(&mut self, now: Time, team: &Arc<str>) -> bool {
        let stock = self.entry(now, team);
        let Some(lot) = stock.lots.iter_mut().find(|l| now < l.expires_at && l.tokens > 0) else {
            return false;
        };
        lot.tokens -= 1;
        stock.rate = stock.use_rate(now) + 1.0 / RATE_DECAY.as_secs_f64();
        stock.rate_at = now;
        true
    }

    /// Sets the number of requests of each team that wait for a token; no request of any other team waits.
    pub fn set_waiting(&mut self, now: Time, waiting: &[(Arc<str>, u32)]) {
        self.teams.iter_mut().for_each(|t| t.waiting = 0);
        for (team, count) in waiting {
            self.entry(now, team).waiting = *count;
        }
    }

    /// Returns the messages that are due: requests for the tokens that are missing, and unused tokens.
    pub fn messages(&mut self, now: Time, max_teams: usize) -> Vec<TokenMessage> {
        self.expire_requests(now);
        let mut out = self.returns(now, max_teams);
        self.teams.retain(|t| !t.is_idle(now));
        let mut wanted: Vec<(SocketAddr, Vec<TokenRequest>)> = Vec::new();
        for i in 0..self.teams.len() {
            let t = &self.teams[i];
            let missing = t.missing(now);
            if missing == 0 || t.asked.is_some() {
                continue;
            }
            let may_grant = |a: &&SocketAddr| {
                self.is_responsive(now, **a) && t.denied_until(**a).is_none_or(|at| now >= at)
            };
            let Some(to) = self.allocators.iter().find(may_grant).copied() else { continue };
            let request = TokenRequest { team: t.team.clone(), tokens: missing };
            match wanted.iter_mut().find(|(a, r)| *a == to && r.len() < max_teams) {
                Some((_, requests)) => requests.push(request),
                None => wanted.push((to, vec![request])),
            }
        }
        for (to, teams) in wanted {
            let number = self.next_number;
            self.next_number += 1;
            for request in &teams {
                self.entry(now, &request.team).asked = Some(number);
            }
            let wanted = teams.clone();
            let request = PendingRequest { number, allocator: to, sent_at: now, wanted };
            self.pending.push(request);
            out.push(TokenMessage { to, number: Some(number), teams });
        }
        out
    }

    /// Gives up requests that got no response, and does not ask their allocators for a while.
    fn expire_requests(&mut self, now: Time) {
        self.unresponsive.retain(|(_, until)| now < *until);
        let is_expired = |p: &mut PendingRequest| now.since(p.sent_at) >= RESPONSE_TIMEOUT;
        for p in self.pending.extract_if(.., is_expired).collect::<Vec<_>>() {
            self.unresponsive.push((p.allocator, now + UNRESPONSIVE_BACKOFF));
            self.end_request(p.number);
        }
    }

    fn end_request(&mut self, number: u64) {
        let asked = self.teams.iter_mut().filter(|t| t.asked == Some(number));
        asked.for_each(|t| t.asked = None);
    }

    /// Takes unused tokens out of the stock, for their allocators.
    fn returns(&mut self, now: Time, max_teams: usize) -> Vec<TokenMessage> {
        let mut out: Vec<TokenMessage> = Vec::new();
        for t in &mut self.teams {
            for lot in t.lots.extract_if(.., |l| now >= l.expires_at || l.tokens == 0) {
                if lot.tokens == 0 {
                    continue;
                }
                let unused = TokenRequest { team: t.team.clone(), tokens: lot.tokens };
                let fits =
                    |m: &&mut TokenMessage| m.to == lot.allocator && m.teams.len() < max_teams;
                match out.iter_mut().find(fits) {
                    Some(message) => message.teams.push(unused),
                    None => {
                        let to = lot.allocator;
                        out.push(TokenMessage { to, number: None, teams: vec![unused] });
                    }
                }
            }
        }
        out
    }

    /// Returns a token that was taken and not used, with its message to an allocator.
    pub fn give_back(&self, team: &Arc<str>) -> Option<TokenMessage> {
        let to = *self.allocators.first()?;
        let teams = vec![TokenRequest { team: team.clone(), tokens: 1 }];
        Some(TokenMessage { to, number: None, teams })
    }

    /// Records the answer of an allocator. An answer to a request that was given up is ignored: its tokens are
    /// lost, which only costs the team a part of its allowance.
    /// Returns whether it was one to a request of this stock.
    pub fn on_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        number: u64,
        answer: AllowanceAnswer,
    ) -> bool {
        let is_answered = |p: &mut PendingRequest| p.number == number && p.allocator == from;
        let Some(p) = self.pending.extract_if(.., is_answered).next() else { return false };
        self.end_request(number);
        match answer {
            AllowanceAnswer::Granted(grants) => {
                for grant in grants {
                    // No more than was asked for is used, whatever the allocator answers.
                    let asked = p.wanted.iter().find(|w| w.team == grant.team);
                    let tokens = grant.tokens.min(asked.map_or(0, |w| w.tokens));
                    if asked.is_some() {
                        let grant = TokenGrant { tokens, ..grant };
                        self.on_grant(now, from, p.sent_at + TOKEN_LIFETIME, grant);
                    }
                }
            }
            AllowanceAnswer::OtherAllocators(others) => {
                self.unresponsive.push((from, now + UNRESPONSIVE_BACKOFF));
                if !others.is_empty() {
                    self.allocators = others.into_iter().take(ALLOCATORS).collect();
                }
            }
        }
        true
    }

    fn on_grant(&mut self, now: Time, from: SocketAddr, expires_at: Time, grant: TokenGrant) {
        let stock = self.entry(now, &grant.team);
        stock.denied.retain(|(a, until)| *a != from && now < *until);
        if let Some(next_ms) = grant.next_ms {
            let next = Duration::from_millis(u64::from(next_ms)).clamp(MIN_DENIAL, MAX_DENIAL);
            stock.denied.push((from, now + next));
        }
        if grant.tokens > 0 {
            let lot = Lot { expires_at, tokens: grant.tokens, allocator: from };
            let i = stock.lots.partition_point(|l| l.expires_at <= expires_at);
            stock.lots.insert(i, lot);
        }
    }
}
