//! Handles the messages of peers.

use crate::shared::Shared;
use crate::{actions, peer_net, probes};
use geraniummux_core::config::Config;
use geraniummux_wire::{CrashReport, Envelope, Message, State};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the acknowledgements of a strike.
const CRASH_REPORT_ACK_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause before a strike is sent again to peers that have not acknowledged it.
const CRASH_REPORT_RETRY: Duration = Duration::from_millis(15);
/// Longest exchange of the full state with a peer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a datagram.
pub fn datagram(shared: &Arc<Shared>, addr: SocketAddr, envelope: Envelope) {
    let Envelope { from, incarnation, generation, message } = envelope;
    if from == shared.settings.host && addr == shared.settings.peer {
        return;
    }
    let now = shared.clock.now();
    let control = &shared.control;
    actions::config(shared, |s| s.config.on_announcement(now, addr, generation));
    let mut rng = rand::rng();
    match message {
        Message::Gossip(gossip) => {
            let out =
                control.lock().members.receive(now, &from, incarnation, addr, gossip, &mut rng);
            actions::membership(shared, out);
        }
        Message::Leaving(notice) => {
            let out = {
                let mut guard = control.lock();
                let state = &mut *guard;
                state.drain.receive(now, addr, notice, &state.members, &mut rng)
            };
            actions::drain(shared, out);
        }
        Message::LeavingAck(ack) => control.lock().drain.acknowledged(&from, &ack),
        Message::Usage(report) => control.lock().usage.on_report(now, addr, report),
        Message::UsageCollect { known } => {
            let out = {
                let mut guard = control.lock();
                let state = &mut *guard;
                let own = control.counters();
                state.usage.on_collect(now, addr, known, &own, &state.members)
            };
            actions::usage(shared, out);
        }
        Message::UsageConfirm { seqs } => control.lock().usage.on_confirm(&seqs),
        Message::LoadDigest(bytes) => crate::hooks::digest(shared, &bytes),
        Message::CrashReport(crash_report) => {
            let id = crash_report.id;
            crate::hooks::crash_report(shared, &from, incarnation, &crash_report);
            peer_net::send(shared, addr, Message::CrashReportAck { id });
        }
        Message::CrashReportAck { id } => control.net.crash_report_acknowledged(id, &from),
        Message::ProbeResults(results) => probes::learn(shared, &results),
        Message::FetchConfig { .. }
        | Message::Config { .. }
        | Message::NoNewerConfig
        | Message::NotReady
        | Message::SyncState(_)
        | Message::State(_)
        | Message::Done
        | Message::Follow(_)
        | Message::Update(_)
        | Message::Faults(_)
        | Message::SlotRequest { .. }
        | Message::SlotDecision { .. }
        | Message::GrantDeclined { .. }
        | Message::ProbeTargets { .. }
        | Message::TargetReports { .. }
        | Message::GrantEnded { .. } => control.net.refuse(),
    }
}

/// Handles a message that came over TCP and returns the answer.
pub fn stream(shared: &Arc<Shared>, envelope: Envelope) -> Message {
    let now = shared.clock.now();
    match envelope.message {
        Message::FetchConfig { generation } => {
            let (answers, config) = {
                let state = shared.control.lock();
                (state.config.can_answer_fetch(now), state.config.current().clone())
            };
            if !answers {
                Message::NotReady
            } else if config.generation > generation {
                encode_config(&config)
            } else {
                Message::NoNewerConfig
            }
        }
        Message::Config { json } => {
            match serde_json::from_slice::<Config>(&json) {
                Ok(config) => {
                    actions::config(shared, |s| s.config.on_push(now, Arc::new(config)));
                }
                Err(_) => shared.control.net.refuse(),
            }
            Message::Done
        }
        Message::SyncState(state) => {
            let out = shared.control.lock().members.merge(now, state.members);
            actions::membership(shared, out);
            // What the asker knows does not refresh this host, so no time of asking is given.
            let out = shared.control.lock().drain.merge(now, state.leaving);
            actions::drain(shared, out);
            crate::hooks::merge_quarantine(shared, &state.quarantine);
            Message::State(own_state(shared))
        }
        _ => {
            shared.control.net.refuse();
            Message::Done
        }
    }
}

/// Returns the message with a configuration.
pub fn encode_config(config: &Config) -> Message {
    match serde_json::to_vec(config) {
        Ok(json) => Message::Config { json },
        Err(_) => Message::NotReady,
    }
}

fn own_state(shared: &Shared) -> State {
    let now = shared.clock.now();
    let quarantine = crate::hooks::quarantine(shared);
    let state = shared.control.lock();
    State { members: state.members.snapshot(), leaving: state.drain.notices(now), quarantine }
}

/// Exchanges the full state with a peer; returns whether it answered.
pub async fn exchange_state(shared: &Arc<Shared>, peer: SocketAddr) -> bool {
    let asked = shared.clock.now();
    let message = Message::SyncState(own_state(shared));
    let Ok(envelope) = peer_net::call(shared, peer, message, SYNC_TIMEOUT).await else {
        return false;
    };
    let Message::State(state) = envelope.message else { return false };
    let now = shared.clock.now();
    let out = shared.control.lock().members.merge(now, state.members);
    actions::membership(shared, out);
    let out = shared.control.lock().drain.refreshed(now, asked, state.leaving);
    actions::drain(shared, out);
    crate::hooks::merge_quarantine(shared, &state.quarantine);
    shared.control.set_synced();
    true
}

/// Sends a strike to all live peers and waits for their acknowledgements, at most 50 ms. Returns
/// how many peers did not acknowledge it. The number of the strike is set here.
pub async fn broadcast_crash_report(shared: &Shared, crash_report: CrashReport) -> usize {
    let mut open: BTreeSet<(Arc<str>, SocketAddr)> = {
        let state = shared.control.lock();
        state.members.live_peers().map(|m| (m.name.clone(), m.addr)).collect()
    };
    let (id, mut acks) = shared.control.net.expect_crash_report_acks();
    let crash_report = CrashReport { id, ..crash_report };
    let end = tokio::time::Instant::now() + CRASH_REPORT_ACK_TIMEOUT;
    let mut retry = tokio::time::interval(CRASH_REPORT_RETRY);
    while !open.is_empty() {
        tokio::select! {
            _ = tokio::time::sleep_until(end) => break,
            _ = retry.tick() => {
                for (_, addr) in &open {
                    peer_net::send(shared, *addr, Message::CrashReport(crash_report.clone()));
                }
            }
            Some(name) = acks.recv() => open.retain(|(n, _)| *n != name),
        }
    }
    open.len()
}
