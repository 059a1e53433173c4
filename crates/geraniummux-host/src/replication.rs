//! Replicates configuration and registered targets from host to host.
//!
//! A follower replicates from one leader, a host that precedes it in the order of members. It first
//! receives all that it lacks, then each change as it happens, and at regular intervals how current
//! the leader's copy of the store is.

use crate::host::Host;
use crate::peers;
use geraniummux_core::fleet::{Evacuations, Leader, Position, ReaderOptions, leaders};
use geraniummux_core::{Member, MemberState, Membership, Time};
use geraniummux_wire::{Message, PackedConfigChange, ReplicaUpdate, ReplicaVersions};
use slog::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Interval of updates to a follower while nothing changes; they only state how current the copy is.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without any bytes from the leader after which another one is followed: three missed heartbeats.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for a leader to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a follower to receive one message; the largest takes long on a slow link.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before another leader is tried, or before the need for a leader is checked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks whether a leader is needed or a better one is available.
const LEADER_REVIEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age of a leader's copy from which another leader is followed.
const MAX_LEADER_AGE: Duration = Duration::from_millis(1_200);

/// The live members in the order in which they read the store and follow each other.
pub struct ReaderOrder {
    /// Position of this host among all live members.
    pub position: Position,
    all: Vec<SocketAddr>,
    /// Position of this host among the live members of its failure domain.
    domain_position: Position,
    same_domain: Vec<SocketAddr>,
}

impl ReaderOrder {
    /// Returns the order by this host's view of the membership.
    pub fn of(members: &Membership) -> Self {
        let me = members.local_member();
        let mut order: Vec<(u64, &Member)> = std::iter::once(me)
            .chain(members.peers())
            .filter(|m| m.state < MemberState::Suspect)
            .map(|m| (members.order_key("feed", &m.name), m))
            .collect();
        order.sort_unstable_by_key(|(key, m)| (*key, m.name.clone()));
        let position_in = |hosts: &[&Member]| {
            let rank = hosts.iter().position(|m| m.name == me.name).unwrap_or(hosts.len());
            Position { rank, hosts: hosts.len() }
        };
        let all: Vec<&Member> = order.into_iter().map(|(_, m)| m).collect();
        let in_domain = |m: &&&Member| m.failure_domain == me.failure_domain;
        let same_domain: Vec<&Member> = all.iter().filter(in_domain).copied().collect();
        let addrs = |hosts: &[&Member]| hosts.iter().map(|m| m.addr).collect();
        ReaderOrder {
            position: position_in(&all),
            all: addrs(&all),
            domain_position: position_in(&same_domain),
            same_domain: addrs(&same_domain),
        }
    }

    /// Returns the hosts that this host may follow, the preferred one first.
    fn leaders(&self) -> Vec<SocketAddr> {
        leaders(self.position, self.domain_position, &ReaderOptions::default())
            .into_iter()
            .map(|leader| match leader {
                Leader::AnyDomain(rank) => self.all[rank],
                Leader::SameDomain(rank) => self.same_domain[rank],
            })
            .collect()
    }
}

/// Sends updates to a follower until its connection ends. `from` is the follower's name.
pub async fn serve(
    host: &Arc<Host>,
    mut stream: TcpStream,
    from: &str,
    versions: ReplicaVersions,
) -> io::Result<()> {
    let mut changes = host.replica_changes();
    let mut versions = versions;
    // The evacuations that were sent last on this connection.
    let mut evacuations = None;
    let mut byte = [0];
    info!(host.log, "follower_joined"; "follower" => from,
        "config_version" => versions.config.version,
        "targets_revision" => %versions.targets_revision.unwrap_or_default());
    loop {
        changes.borrow_and_update();
        for message in next_messages(host, &mut versions, &mut evacuations)? {
            timeout(SEND_TIMEOUT, peers::write(host, &mut stream, message)).await??;
        }
        tokio::select! {
            changed = changes.changed() => changed.map_err(io::Error::other)?,
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            // A follower sends nothing after its first message, so a peek that returns shows the end of
            // the connection. Readiness alone does not, since it may remain from the first message.
            end = stream.peek(&mut byte) => {
                end?;
                return Ok(());
            }
        }
    }
}

/// Returns the messages with what a follower lacks, and advances its versions and the evacuations that were sent to
/// it by that. The evacuations come before the targets, and the last one is an update.
fn next_messages(
    host: &Host,
    versions: &mut ReplicaVersions,
    evacuations: &mut Option<Evacuations>,
) -> io::Result<Vec<Message>> {
    let now = host.now();
    let (age, expiry_grace, config_revision) = {
        let freshness = host.freshness();
        (
            freshness.age(now),
            freshness.in_expiry_grace(now),
            freshness.config_revision.unwrap_or_default(),
        )
    };
    let mut messages = Vec::with_capacity(3);
    if let Some(change) = host.config_change_since(versions.config) {
        versions.config = change.edition;
        let packed = PackedConfigChange::pack(&change).map_err(io::Error::other)?;
        messages.push(Message::ConfigChange(packed));
    }
    let news = host.evacuations_since(versions.config, evacuations.as_ref());
    if let Some((sent, change)) = news {
        *evacuations = Some(sent);
        let packed = PackedConfigChange::pack(&change).map_err(io::Error::other)?;
        messages.push(Message::ConfigChange(packed));
    }
    let targets = host.fleet().delta_since(versions.targets_revision);
    if let Some(targets) = &targets {
        versions.targets_revision = Some(targets.to);
    }
    messages.push(Message::Update(ReplicaUpdate {
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        expiry_grace,
        config_revision,
        config: None,
        targets,
    }));
    Ok(messages)
}

/// Follows other hosts until the task is dropped.
pub async fn follow(host: Arc<Host>) {
    let mut failures = 0;
    loop {
        let order = ReaderOrder::of(&host.members());
        let leaders = order.leaders();
        // Readers of the store follow others even while they are current. A primary reader whose watch has stopped
        // without an error has not noticed that yet; another host stops reading once its peers are current, which
        // it learns only from their updates.
        if leaders.is_empty() {
            failures = 0;
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let announced = *host.announced_reader.borrow();
        let announced = announced.filter(|_| is_stale(&host));
        let leader = announced.unwrap_or(leaders[failures % leaders.len()]);
        let preferred = announced.is_none() && failures == 0;
        let result = follow_leader(&host, leader, preferred).await;
        if announced.is_some() && !matches!(result, Ok(SwitchReason::NotPreferred)) {
            host.announced_reader.send_if_modified(|a| a.take_if(|a| *a == leader).is_some());
        }
        match result {
            Ok(SwitchReason::NotPreferred) => failures = 0,
            Ok(SwitchReason::LeaderStale) => {
                failures += 1;
                let mut announcements = host.announced_reader.subscribe();
                let _ = timeout(RETRY_DELAY, announcements.changed()).await;
            }
            Err(e) => {
                warn!(host.log, "leader_lost"; "leader" => leader.to_string(),
                    "error" => e.to_string(),
                    "age_ms" => host.freshness().age(host.now()).as_millis() as u64);
                failures += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether the copy is so old that a host is followed which has announced that it reads the
/// store.
fn is_stale(host: &Host) -> bool {
    host.freshness().age(host.now()) >= ReaderOptions::default().stale_after
}

/// Why a leader is no longer followed.
enum SwitchReason {
    /// Its copy of the store is not current.
    LeaderStale,
    /// Another leader has become the preferred one, for example because this host reads the store
    /// again, or the preferred one may be available again.
    NotPreferred,
}

async fn follow_leader(
    host: &Arc<Host>,
    leader: SocketAddr,
    preferred: bool,
) -> io::Result<SwitchReason> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(leader)).await??;
    // A configuration that lacks parts is requested once more, as this leader may have them.
    let config = host.config().filter(|c| c.is_confirmed());
    let versions = ReplicaVersions {
        config: config.map(|c| c.edition()).unwrap_or_default(),
        targets_revision: host.fleet().registry.revision(),
    };
    peers::write(host, &mut stream, Message::Follow(versions)).await?;
    info!(host.log, "leader_followed"; "leader" => leader.to_string(), "preferred" => preferred);
    let mut announcements = host.announced_reader.subscribe();
    let started = host.now();
    let mut reviewed = started;
    loop {
        let mut read = pin!(peers::read_within(host, &mut stream, LEADER_TIMEOUT));
        let envelope = loop {
            tokio::select! {
                biased;
                envelope = &mut read => break envelope?,
                Ok(()) = announcements.changed() => {
                    let is_other = *announcements.borrow_and_update() != Some(leader);
                    if is_other && is_stale(host) {
                        return Ok(SwitchReason::LeaderStale);
                    }
                }
            }
        };
        let update = match envelope.message {
            Message::Update(update) => update,
            Message::ConfigChange(packed) => {
                apply_config_change(host, &packed, &envelope.from)?;
                continue;
            }
            _ => return Err(io::Error::other("the leader sent a message that is not an update")),
        };
        if update.config_revision.era < host.store_revision().era {
            // The leader has not read the store since it came back from a copy.
            return Ok(SwitchReason::LeaderStale);
        }
        let age = Duration::from_millis(u64::from(update.age_ms));
        if !apply_update(host, update, &envelope.from) {
            return Err(io::Error::other("the changes do not continue from this host's revision"));
        }
        let now = host.now();
        if age >= MAX_LEADER_AGE {
            return Ok(SwitchReason::LeaderStale);
        }
        if now.since(reviewed) >= LEADER_REVIEW_INTERVAL {
            reviewed = now;
            if !should_keep_leader(host, leader, preferred, now.since(started)) {
                return Ok(SwitchReason::NotPreferred);
            }
        }
    }
}

/// Returns whether to go on following a leader.
fn should_keep_leader(
    host: &Host,
    leader: SocketAddr,
    preferred: bool,
    followed: Duration,
) -> bool {
    let first = ReaderOrder::of(&host.members()).leaders().first().copied();
    // A leader that is not the preferred one is kept for a while, so that a preferred one that comes
    // and goes is not followed each time.
    first == Some(leader) || (!preferred && followed < 5 * LEADER_REVIEW_INTERVAL)
}

/// Puts the configuration after a change in force, and the evacuations that come with it.
fn apply_config_change(host: &Host, packed: &PackedConfigChange, from: &str) -> io::Result<()> {
    let mut change = packed.unpack().map_err(io::Error::other)?;
    let evacuations = change.extension.as_mut().and_then(|e| e.evacuations.take());
    if let Some(evacuations) = evacuations {
        host.adopt_evacuations(evacuations, from);
    }
    if change.keeps_config() {
        return Ok(());
    }
    let (base, edition) = (change.base, change.edition);
    let revision = host.freshness().config_revision.unwrap_or_default();
    match change.apply(host.config().as_deref()) {
        Some(config) => host.adopt_config(config, revision, from),
        // This host got a newer one meanwhile from elsewhere.
        None if host.config().is_some_and(|c| c.edition() >= edition) => {}
        None => {
            return Err(io::Error::other(format!(
                "a change to {edition:?} is based on {base:?}, which is not in force"
            )));
        }
    }
    Ok(())
}

/// Applies a leader's update. Returns false if its changes of targets do not continue from this host's
/// revision.
fn apply_update(host: &Host, update: ReplicaUpdate, from: &str) -> bool {
    if let Some(config) = update.config {
        host.adopt_config(config, update.config_revision, from);
    }
    if update.expiry_grace {
        host.freshness().extend_expiry_grace(host.now());
    }
    let applied = update.targets.is_none_or(|targets| host.apply_targets(targets, from));
    if applied {
        let now: Time = host.now();
        let mut freshness = host.freshness();
        freshness.on_update(now, now - Duration::from_millis(u64::from(update.age_ms)));
        freshness.config_revision = freshness.config_revision.max(Some(update.config_revision));
    }
    applied
}
