//! Tokens of teams' allowances: grants them if this host is an allocator, and obtains them for requests whose
//! targets this host selects itself. Schedulers obtain theirs by [`exchange`].
//!
//! The allocators are the first hosts in an order that all hosts derive from the membership. A host that has just
//! started does not know the members yet and asks its seeds instead, which grant a share of their own meanwhile. Hosts
//! that have met without seeds ask the first contact until they know the members. A host that still knows no other
//! then grants a small share to itself.

use crate::host::Host;
use crate::peers;
use crate::scheduling;
use geraniummux_core::fleet::{
    ALLOCATORS, AllowanceAllocator, AllowanceAnswer, AllowanceShare, AllowanceStock,
    MAX_ALLOCATOR_WAIT, TokenMessage, TokenRequest, TokenState,
};
use geraniummux_core::{MemberState, Time};
use geraniummux_wire::{MAX_TOKEN_REQUESTS, Message};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time for which the allocators are not derived from the membership again.
const ALLOCATORS_MAX_AGE: Duration = Duration::from_millis(100);
/// Time after its start in which a host that is alone grants nothing, as it may meet others that do.
const MEETING_TIME: Duration = Duration::from_millis(2_500);
/// Time since the start of a peer from which the fleet counts as one that runs. Hosts of a fleet that starts do so within
/// a second or so.
const RUNNING_FOR: Duration = Duration::from_secs(3);
/// Interval at which a waiting request checks whether another allocator has to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State of the allowances on one host.
pub struct Allowances {
    allocator: Mutex<AllowanceAllocator>,
    stock: Mutex<AllowanceStock>,
    /// Requests of this host that wait for a token, by team.
    waiting: Mutex<Vec<(Arc<str>, u32)>>,
    /// Notified when tokens arrive.
    arrived: Notify,
    /// The allocators, as of a time.
    allocators: Mutex<Option<(Time, Vec<SocketAddr>)>>,
}

impl Default for Allowances {
    fn default() -> Self {
        Allowances {
            allocator: Mutex::default(),
            stock: Mutex::new(AllowanceStock::new(first_number())),
            waiting: Mutex::default(),
            arrived: Notify::new(),
            allocators: Mutex::default(),
        }
    }
}

/// Returns a random number from which to count requests for tokens, so that those of different stocks, and of an
/// earlier process of this host, are told apart.
pub fn first_number() -> u64 {
    u64::from(rand::random::<u32>()) << 32
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns the allocators that this host asks, itself first if it is one of them.
pub fn allocators(host: &Host) -> Vec<SocketAddr> {
    let now = host.now();
    let mut cached = lock(&host.allowances.allocators);
    if let Some((at, allocators)) = &*cached
        && now.since(*at) < ALLOCATORS_MAX_AGE
    {
        return allocators.clone();
    }
    let allocators = if is_settling(host) {
        seeds(host)
    } else {
        let first_contact = host.members().first_contact();
        // The first contact may know the others already, and no longer grant.
        let members = first_members(host);
        let others = members.into_iter().filter(|addr| Some(*addr) != first_contact);
        first_contact.into_iter().chain(others).collect()
    };
    *cached = Some((now, allocators.clone()));
    allocators
}

/// Returns whether this host has just started with others, so that the seeds grant. A fleet that runs has allocators.
fn is_settling(host: &Host) -> bool {
    let is_starting = host.now().since(host.started) < scheduling::STARTUP_SETTLE_TIME;
    let members = host.members();
    is_starting && members.has_seeds() && !members.knows_older_peer(RUNNING_FOR)
}

/// Returns the addresses of the seeds, a random one first, so that new hosts use all of them.
fn seeds(host: &Host) -> Vec<SocketAddr> {
    let mut seeds = host.settings.load().seed_peers();
    if !seeds.is_empty() {
        let first = rand::random_range(0..seeds.len());
        seeds.rotate_left(first);
    }
    seeds
}

fn first_members(host: &Host) -> Vec<SocketAddr> {
    let members = host.members();
    let own = members.local_member().addr;
    let mut order: Vec<_> = std::iter::once(members.local_member())
        .chain(members.peers())
        .filter(|m| m.state == MemberState::Alive)
        .map(|m| (Reverse(m.capacity), members.order_key("allowances", &m.name), m.addr))
        .collect();
    order.sort_unstable();
    let mut allocators: Vec<_> =
        order.into_iter().take(ALLOCATORS).map(|(_, _, addr)| addr).collect();
    // A host that is an allocator itself needs no messages for its own share.
    allocators.sort_by_key(|addr| *addr != own);
    allocators
}

/// Returns what this host grants of each allowance; `None` if it is no allocator.
///
/// Hosts out of sight may have allocators of their own, whose parts must fit beside this one. Of hosts that have met through
/// the contacts and don't know the fleet yet, the first contact grants to all. A host that is alone can't tell how many
/// others there are, and grants the part of one of [`Host::host_count`].
fn share(host: &Host) -> Option<AllowanceShare> {
    let settings = host.settings.load();
    let (own, slack) = (settings.peer, settings.promises.allowance_slack);
    if is_settling(host) {
        let seeds = settings.seed_peers();
        let part = 1.0 / seeds.len() as f64;
        return seeds.contains(&own).then_some(AllowanceShare::Allocator { part, slack });
    }
    let (knows_others, has_peers, first_contact) = {
        let members = host.members();
        (members.knows_others(), members.peers().next().is_some(), members.first_contact())
    };
    if !knows_others && has_peers {
        let share = AllowanceShare::Allocator { part: 1.0, slack };
        return (first_contact == Some(own)).then_some(share);
    }
    if !knows_others {
        let may_meet_others = host.now().since(host.started) < MEETING_TIME;
        let share = || AllowanceShare::Alone { part: 1.0 / host.host_count() as f64 };
        return (!may_meet_others).then(share);
    }
    let allocators = allocators(host);
    if !allocators.contains(&own) {
        return None;
    }
    let part = host.part_in_sight() / allocators.len() as f64;
    Some(AllowanceShare::Allocator { part, slack })
}

/// Records what this host grants at present. Returns whether it grants anything.
fn hold_share(host: &Host, now: Time) -> bool {
    let share = share(host);
    lock(&host.allowances.allocator).hold(now, host.clock.wall(), share);
    share.is_some()
}

/// Answers a request for tokens.
pub fn answer(host: &Host, wanted: &[TokenRequest]) -> AllowanceAnswer {
    let now = host.now();
    if !hold_share(host, now) {
        let known = if is_settling(host) { Vec::new() } else { allocators(host) };
        return AllowanceAnswer::OtherAllocators(known);
    }
    let Some(routes) = host.routes() else {
        return AllowanceAnswer::OtherAllocators(Vec::new());
    };
    let mut allocator = lock(&host.allowances.allocator);
    let grants = wanted.iter().take(MAX_TOKEN_REQUESTS).filter_map(|request| {
        let allowance = routes.team(&request.team)?.allowance?;
        let grant = allocator.grant(now, &request.team, allowance, request.tokens)?;
        host.metrics.tokens("granted", grant.tokens);
        host.metrics.tokens("denied", request.tokens - grant.tokens);
        Some(grant)
    });
    AllowanceAnswer::Granted(grants.collect())
}

/// Takes back tokens that were not used.
pub fn take_back(host: &Host, unused: &[TokenRequest]) {
    let now = host.now();
    let mut allocator = lock(&host.allowances.allocator);
    for tokens in unused.iter().take(MAX_TOKEN_REQUESTS) {
        host.metrics.tokens("returned", tokens.tokens);
        allocator.take_back(now, tokens);
    }
}

/// Records an answer to a request for tokens of this host itself.
pub fn on_answer(host: &Host, from: SocketAddr, number: u64, answer: AllowanceAnswer) {
    lock(&host.allowances.stock).on_answer(host.now(), from, number, answer);
    host.allowances.arrived.notify_waiters();
}

/// Sends messages to allocators. Returns the answers of this host itself, with the numbers of the requests.
pub fn exchange(host: &Host, messages: Vec<TokenMessage>) -> Vec<(u64, AllowanceAnswer)> {
    let own = host.settings.load().peer;
    let mut answers = Vec::new();
    for TokenMessage { to, number, teams } in messages {
        match number {
            Some(number) if to == own => answers.push((number, answer(host, &teams))),
            None if to == own => take_back(host, &teams),
            Some(number) => {
                peers::send(host, &[to], Message::AllowanceRequest { number, wanted: teams });
            }
            None => peers::send(host, &[to], Message::AllowanceReturned { unused: teams }),
        }
    }
    answers
}

/// Why a request got no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoToken {
    /// The allowance is used up for this long.
    Denied(Duration),
    /// No allocator answers.
    NoAllocator,
}

/// Counts a request as waiting for a token of its team until dropped.
struct WaitingGuard<'a> {
    host: &'a Host,
    team: &'a Arc<str>,
}

impl<'a> WaitingGuard<'a> {
    fn new(host: &'a Host, team: &'a Arc<str>) -> Self {
        let mut waiting = lock(&host.allowances.waiting);
        match waiting.binary_search_by(|(t, _)| t.cmp(team)) {
            Ok(i) => waiting[i].1 += 1,
            Err(i) => waiting.insert(i, (team.clone(), 1)),
        }
        WaitingGuard { host, team }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = lock(&self.host.allowances.waiting);
        if let Ok(i) = waiting.binary_search_by(|(t, _)| t.cmp(self.team)) {
            waiting[i].1 -= 1;
            if waiting[i].1 == 0 {
                waiting.remove(i);
            }
        }
    }
}

/// Obtains a token for a request whose target this host selects itself.
///
/// # Errors
///
/// Fails if the allowance is used up or no allocator answers.
pub async fn obtain(host: &Arc<Host>, team: &Arc<str>) -> Result<(), NoToken> {
    let _waiting = WaitingGuard::new(host, team);
    let give_up_at = host.now() + MAX_ALLOCATOR_WAIT;
    loop {
        let arrived = host.allowances.arrived.notified();
        let now = host.now();
        let allocators = allocators(host);
        let messages = {
            let mut stock = lock(&host.allowances.stock);
            stock.set_allocators(&allocators);
            if stock.take(now, team) {
                return Ok(());
            }
            match stock.state(now, team) {
                TokenState::Denied(next) => return Err(NoToken::Denied(next)),
                _ if now >= give_up_at => return Err(NoToken::NoAllocator),
                TokenState::NoAllocator | TokenState::Available | TokenState::Pending => {}
            }
            stock.set_waiting(now, &lock(&host.allowances.waiting));
            stock.messages(now, MAX_TOKEN_REQUESTS)
        };
        let answers = exchange(host, messages);
        if !answers.is_empty() {
            let own = host.settings.load().peer;
            answers.into_iter().for_each(|(number, a)| on_answer(host, own, number, a));
            continue;
        }
        let _ = timeout(CHECK_INTERVAL, arrived).await;
    }
}

/// Returns a token that a request took and did not use, as it has not run.
pub fn give_back(host: &Host, team: &Arc<str>) {
    let allocators = allocators(host);
    let message = {
        let mut stock = lock(&host.allowances.stock);
        stock.set_allocators(&allocators);
        stock.give_back(team)
    };
    let own_answers = exchange(host, message.into_iter().collect());
    debug_assert!(own_answers.is_empty(), "a return has no answer");
}

/// Returns unused tokens, and forgets teams without an allowance. To be called a few times a second.
pub fn tick(host: &Host) {
    let Some(routes) = host.routes() else { return };
    lock(&host.allowances.allocator).retain(|team| routes.has_allowance(team));
    if !routes.has_teams() {
        return;
    }
    let now = host.now();
    hold_share(host, now);
    let messages = {
        let mut stock = lock(&host.allowances.stock);
        stock.set_allocators(&allocators(host));
        stock.set_waiting(now, &lock(&host.allowances.waiting));
        stock.messages(now, MAX_TOKEN_REQUESTS)
    };
    let own = host.settings.load().peer;
    for (number, a) in exchange(host, messages) {
        on_answer(host, own, number, a);
    }
}
