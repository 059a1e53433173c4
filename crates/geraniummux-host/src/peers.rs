//! Messages between entry hosts: membership, faults of targets, crash reports and scheduling over UDP;
//! state synchronization and replication over TCP.

use crate::allowances;
use crate::figures;
use crate::host::Host;
use crate::replication;
use crate::scheduling::{self, Requester, Scheduling};
use crate::tasks;
use crate::tunnel;
use anyhow::Context;
use geraniummux_core::membership::{Gossip, MembershipAction};
use geraniummux_core::quarantine;
use geraniummux_core::{Fingerprint, Member, MemberState, Time};
use geraniummux_wire::codec::STREAM_PREFIX_LEN;
use geraniummux_wire::{
    Codec, CrashReport, Envelope, MAX_DATAGRAM_LEN, Message, State, TargetFaults, stream_frame_len,
};
use rand::seq::SliceRandom;
use slog::{error, info, warn};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Interval of the membership timer; the core requires at most 100 ms.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);
/// Peers in the same failure domain to which each fault is sent, besides the schedulers; in a larger
/// domain that many are chosen at random.
const FAULT_FANOUT: usize = 8;
/// Maximum number of faults in one datagram; they fit with room to spare.
const MAX_FAULTS_PER_DATAGRAM: usize = 16;
/// Time limit of one exchange over TCP.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept or receive.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// UDP socket and codec for messages between entry hosts.
pub struct PeerNet {
    codec: Codec,
    socket: UdpSocket,
    next_crash_report: AtomicU64,
}

impl PeerNet {
    /// Opens the socket at `addr`. Messages are authenticated with `key`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn open(addr: SocketAddr, key: &str) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.with_context(|| format!("peer: can't bind {addr}"))?;
        let codec = Codec::new(key.as_bytes());
        Ok(PeerNet { codec, socket, next_crash_report: AtomicU64::new(0) })
    }
}

fn envelope(host: &Host, message: Message) -> Envelope {
    let members = host.members();
    let me = members.local_member();
    Envelope {
        from: me.name.clone(),
        incarnation: me.incarnation,
        generation: host.config_version(),
        message,
    }
}

/// Sends a datagram to some peers. One that can't be sent at once is dropped, as the network may do.
pub fn send(host: &Host, to: &[SocketAddr], message: Message) {
    let datagram = match host.net().codec.encode_datagram(&envelope(host, message)) {
        Ok(datagram) => datagram,
        Err(e) => {
            warn!(host.log, "datagram_not_encoded"; "error" => e.to_string());
            return;
        }
    };
    for to in to {
        let sent = host.net().socket.try_send_to(&datagram, *to).is_ok();
        host.metrics.peer_message(if sent { "sent" } else { "unsent" });
    }
}

/// Receives datagrams until the task is dropped.
pub async fn receive(host: Arc<Host>) {
    let mut buf = [0; MAX_DATAGRAM_LEN];
    loop {
        let (len, addr) = match host.net().socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // The socket also reports unreachable peers; the membership detects these by itself.
                warn!(host.log, "datagram_not_received"; "error" => e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match host.net().codec.decode_datagram(&buf[..len]) {
            Ok(envelope) => {
                host.metrics.peer_message("received");
                // What one message causes must not cost those after it.
                let handled = catch_unwind(AssertUnwindSafe(|| on_datagram(&host, addr, envelope)));
                if let Err(panic) = handled {
                    host.metrics.peer_message("failed");
                    error!(host.log, "datagram_failed"; "from" => addr.to_string(),
                        "cause" => tasks::panic_message(&*panic));
                }
            }
            Err(e) => {
                host.metrics.peer_message("refused");
                warn!(host.log, "datagram_refused"; "from" => addr.to_string(),
                    "error" => e.to_string());
            }
        }
    }
}

fn on_datagram(host: &Arc<Host>, addr: SocketAddr, envelope: Envelope) {
    let Envelope { from, incarnation, generation, message } = envelope;
    host.on_peer_config_version(generation);
    scheduling::on_message(host, addr);
    let (message, is_altered) = figures::plausible(message);
    if is_altered {
        host.on_refused_figure(&from, "a figure in a message is out of range");
    }
    let Some(message) = message else { return };
    match message {
        Message::Gossip(gossip) => on_gossip(host, &from, incarnation, addr, gossip),
        Message::Faults(faults) => {
            for f in faults.iter().take(MAX_FAULTS_PER_DATAGRAM) {
                host.on_peer_fault(&from, &f.target, f64::from(f.weight));
            }
        }
        Message::IdentityMismatch { target } => host.on_peer_identity_mismatch(&from, &target),
        Message::TargetDemands { pool, demands } => {
            scheduling::on_demands(host, &pool, &demands);
        }
        Message::TargetsWarmingUp { pool, targets } => {
            host.on_peer_warm_ups(&from, &pool, &targets)
        }
        Message::TargetPause { pool, target, pause_ms } => {
            let pause = Duration::from_millis(u64::from(pause_ms));
            host.on_relayed_pause(&pool, &target, pause);
        }
        Message::ReadingStore => {
            host.announced_reader.send_replace(Some(addr));
        }
        Message::CrashReport(crash_report) => {
            on_crash_report(host, &format!("{from}/{incarnation}"), &crash_report)
        }
        Message::SlotRequest { number, pool, request } => {
            let from = Requester { host: from, incarnation, addr };
            scheduling::on_slot_request(host, &from, number, &pool, request, None);
        }
        Message::TeamSlotRequest { number, pool, request, team } => {
            let from = Requester { host: from, incarnation, addr };
            scheduling::on_slot_request(host, &from, number, &pool, request, Some(team));
        }
        Message::AllowanceRequest { number, wanted } => {
            let answer = allowances::answer(host, &wanted);
            send(host, &[addr], Message::AllowanceResponse { number, answer });
        }
        Message::AllowanceResponse { number, answer } => {
            allowances::on_answer(host, addr, number, answer.clone());
            scheduling::on_tokens(host, addr, number, &answer);
        }
        Message::AllowanceReturned { unused } => allowances::take_back(host, &unused),
        Message::SlotDecision { number, decision } => {
            scheduling::on_slot_decision(host, addr, number, decision)
        }
        Message::GrantDeclined { number, pool, target } => {
            scheduling::on_grant_declined(host, &from, number, &pool, &target);
        }
        Message::ProbeTargets { pool, targets } => {
            scheduling::on_probe_targets(host, addr, pool, targets)
        }
        Message::TargetReports { pool, reports } => {
            scheduling::on_target_reports(host, &pool, &reports)
        }
        Message::GrantEnded { number, pool, report } => {
            scheduling::on_grant_ended(host, &from, number, &pool, report);
        }
        other => {
            warn!(host.log, "datagram_unexpected"; "from" => &*from,
                "message" => format!("{:?}", std::mem::discriminant(&other)));
        }
    }
}

fn on_gossip(host: &Arc<Host>, from: &str, incarnation: u64, addr: SocketAddr, gossip: Gossip) {
    let now = host.now();
    let actions = host.members().receive(now, from, incarnation, addr, gossip, &mut rand::rng());
    perform_actions(host, actions);
}

/// Carries out what the membership asks for.
pub fn perform_actions(host: &Arc<Host>, actions: Vec<MembershipAction>) {
    for action in actions {
        match action {
            MembershipAction::Send { to, gossip } => send(host, &[to], Message::Gossip(gossip)),
            MembershipAction::Sync { peer } => {
                let host = host.clone();
                tokio::spawn(async move {
                    if let Err(e) = sync(&host, peer).await {
                        warn!(host.log, "sync_failed"; "peer" => peer.to_string(),
                            "error" => e.to_string());
                    }
                });
            }
            MembershipAction::Changed { member, previous } => {
                scheduling::on_incarnation(host, &member.name, member.incarnation);
                info!(host.log, "member_changed"; "member" => &*member.name,
                    "state" => format!("{:?}", member.state), "was" => format!("{previous:?}"),
                    "incarnation" => member.incarnation);
            }
            MembershipAction::Resumed { pause } => {
                warn!(host.log, "resumed"; "paused_ms" => pause.as_millis() as u64);
            }
            MembershipAction::Replaced { by } => {
                warn!(host.log, "replaced"; "by" => by.to_string());
            }
        }
    }
}

/// Drives the membership and sends pending faults to peers, until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut timer = tokio::time::interval(MEMBERSHIP_TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let now = host.now();
        let actions = {
            let mut members = host.members();
            if host.is_ready() {
                members.enter_service();
            }
            members.tick(now, &mut rand::rng())
        };
        perform_actions(&host, actions);
        broadcast_faults(&host);
    }
}

/// Announces to the peers that this host is leaving.
pub fn leave(host: &Arc<Host>) {
    let now = host.now();
    let actions = {
        let mut members = host.members();
        members.leave();
        members.announce(now)
    };
    perform_actions(host, actions);
}

fn live_peers(host: &Host) -> Vec<SocketAddr> {
    host.members().peers().filter(|m| m.state < MemberState::Suspect).map(|m| m.addr).collect()
}

fn same_domain_peers(host: &Host) -> Vec<SocketAddr> {
    let members = host.members();
    let own_domain = &members.local_member().failure_domain;
    let alive = members.peers().filter(|m| m.state < MemberState::Suspect);
    alive.filter(|m| m.failure_domain == *own_domain).map(|m| m.addr).collect()
}

/// Returns the hosts to which faults of targets are sent: some of this host's failure domain, and all
/// schedulers, since they select targets by them.
fn fault_receivers(host: &Host) -> Vec<SocketAddr> {
    let mut to = same_domain_peers(host);
    to.shuffle(&mut rand::rng());
    to.truncate(FAULT_FANOUT);
    let me = host.settings.load().peer;
    to.extend(Scheduling::schedulers(host).into_iter().filter(|a| *a != me));
    to.sort_unstable();
    to.dedup();
    to
}

/// Reports that another target answered at the address of `target`. This is sent at once: until the
/// schedulers know it, they take the target for an idle one.
pub fn send_identity_mismatch(host: &Host, target: &Arc<str>) {
    let message = Message::IdentityMismatch { target: target.clone() };
    send(host, &fault_receivers(host), message);
}

/// Tells all peers that this host reads the store and has current data.
pub fn announce_reading(host: &Host) {
    send(host, &live_peers(host), Message::ReadingStore);
}

fn broadcast_faults(host: &Host) {
    let unsent = std::mem::take(&mut host.fleet().unsent_faults);
    if unsent.is_empty() {
        return;
    }
    let mut sums: Vec<TargetFaults> = Vec::new();
    for (target, weight) in unsent {
        match sums.iter_mut().find(|f| f.target == target) {
            Some(f) => f.weight += weight as f32,
            None => sums.push(TargetFaults { target, weight: weight as f32 }),
        }
    }
    let to = fault_receivers(host);
    for faults in sums.chunks(MAX_FAULTS_PER_DATAGRAM) {
        send(host, &to, Message::Faults(faults.to_vec()));
    }
}

/// Reports to all peers that the connection to a target broke while it ran a request or, if
/// `retracted`, that a target responded to that request.
pub fn send_crash_report(
    host: &Host,
    fingerprint: Fingerprint,
    target: SocketAddr,
    retracted: bool,
) {
    let id = host.net().next_crash_report.fetch_add(1, Ordering::Relaxed) + 1;
    let fingerprint = fingerprint.into();
    let crash_report = CrashReport { id, fingerprint, target, age_ms: 0, retracted };
    let from = {
        let members = host.members();
        format!("{}/{}", members.local_member().name, members.local_member().incarnation)
    };
    on_crash_report(host, &from, &crash_report);
    send(host, &live_peers(host), Message::CrashReport(crash_report));
}

fn on_crash_report(host: &Host, origin: &str, crash_report: &CrashReport) {
    let now = host.now();
    let fingerprint = Fingerprint::from(crash_report.fingerprint);
    let mut fleet = host.fleet();
    if crash_report.retracted {
        fleet.quarantine.record_answer(now, fingerprint);
        return;
    }
    let was_blocked = fleet.quarantine.is_blocked(now, fingerprint);
    let crash_report = quarantine::CrashReport {
        origin: origin.into(),
        seq: crash_report.id,
        fingerprint,
        target: crash_report.target.to_string().into(),
    };
    fleet.quarantine.merge(now, &crash_report);
    if !was_blocked && fleet.quarantine.is_blocked(now, fingerprint) {
        warn!(host.log, "request_blocked"; "fingerprint" => format!("{fingerprint:?}"),
            "target" => &*crash_report.target, "origin" => origin);
    }
}

/// Accepts connections of peers until the task is dropped.
pub async fn serve(host: Arc<Host>, listener: Arc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let host = host.clone();
                tokio::spawn(async move {
                    if let Err(e) = serve_peer(&host, stream).await {
                        info!(host.log, "peer_connection_ended"; "peer" => addr.to_string(),
                            "error" => e.to_string());
                    }
                });
            }
            Err(e) => {
                warn!(host.log, "accept_failed"; "service" => "peers", "error" => e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(host: &Arc<Host>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let envelope = timeout(EXCHANGE_TIMEOUT, read(host, &mut stream)).await??;
    match envelope.message {
        Message::SyncState(state) => {
            merge(host, state);
            write(host, &mut stream, Message::State(state_of(host))).await
        }
        Message::Follow(versions) => {
            replication::serve(host, stream, &envelope.from, versions).await
        }
        Message::OpenTunnel { pool, target } => {
            tunnel::serve(host, stream, &envelope.from, pool, target).await
        }
        _ => Err(io::Error::other("the first message is not one that opens an exchange")),
    }
}

async fn sync(host: &Arc<Host>, peer: SocketAddr) -> io::Result<()> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        write(host, &mut stream, Message::SyncState(state_of(host))).await?;
        read(host, &mut stream).await
    };
    match timeout(EXCHANGE_TIMEOUT, exchange).await??.message {
        Message::State(state) => {
            merge(host, state);
            Ok(())
        }
        _ => Err(io::Error::other("the peer did not respond with its state")),
    }
}

fn state_of(host: &Host) -> State {
    let blocks = host.fleet().quarantine.snapshot(host.now());
    let quarantine = serde_json::to_vec(&blocks).unwrap_or_else(|e| {
        warn!(host.log, "blocks_not_encoded"; "error" => e.to_string());
        Vec::new()
    });
    State { members: host.members().snapshot(), leaving: Vec::new(), quarantine }
}

/// Takes over records of members.
pub fn learn_members(host: &Arc<Host>, members: Vec<Member>) {
    let actions = host.members().merge(host.now(), members);
    perform_actions(host, actions);
}

fn merge(host: &Arc<Host>, state: State) {
    let now: Time = host.now();
    learn_members(host, state.members);
    match serde_json::from_slice::<Vec<quarantine::Block>>(&state.quarantine) {
        Ok(blocks) => host.fleet().quarantine.merge_snapshot(now, &blocks),
        Err(e) => warn!(host.log, "blocks_not_read"; "error" => e.to_string()),
    }
}

/// Reads one message from a stream, however long it is, as long as no pause between its bytes exceeds
/// `max_pause`.
pub async fn read_within(
    host: &Host,
    stream: &mut TcpStream,
    max_pause: Duration,
) -> io::Result<Envelope> {
    let mut prefix = [0; STREAM_PREFIX_LEN];
    timeout(max_pause, stream.read_exact(&mut prefix)).await??;
    let len = stream_frame_len(prefix).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(len);
    let mut rest = stream.take(len as u64);
    while frame.len() < len {
        if timeout(max_pause, rest.read_buf(&mut frame)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    host.net().codec.decode_stream(&frame).map_err(io::Error::other)
}

/// Reads one message from a stream.
pub async fn read(host: &Host, stream: &mut TcpStream) -> io::Result<Envelope> {
    let mut prefix = [0; STREAM_PREFIX_LEN];
    stream.read_exact(&mut prefix).await?;
    let len = stream_frame_len(prefix).map_err(io::Error::other)?;
    let mut frame = vec![0; len];
    stream.read_exact(&mut frame).await?;
    host.net().codec.decode_stream(&frame).map_err(io::Error::other)
}

/// Writes one message to a stream.
pub async fn write(host: &Host, stream: &mut TcpStream, message: Message) -> io::Result<()> {
    let frame = host.net().codec.encode_stream(&envelope(host, message));
    stream.write_all(&frame.map_err(io::Error::other)?).await
}
