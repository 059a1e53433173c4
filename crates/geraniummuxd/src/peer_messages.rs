//! Handles messages from peers, exchanges the full state with them and broadcasts crash reports.

use crate::shared::Shared;
use crate::{actions, peer_net, probes};
use geraniummux_core::config::Config;
use geraniummux_wire::{CrashReport, Envelope, Message, State};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait for the acknowledgements of a crash report.
const CRASH_REPORT_ACK_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which a crash report is sent again to peers that have not acknowledged it.
const CRASH_REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Timeout of an exchange of the full state with a peer.
const STATE_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a datagram from a peer. Datagrams that this host sent to itself are ignored.
pub fn handle_datagram(shared: &Arc<Shared>, addr: SocketAddr, envelope: Envelope) {
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
            let actions_due =
                control.lock().members.receive(now, &from, incarnation, addr, gossip, &mut rng);
            actions::membership(shared, actions_due);
        }
        Message::Leaving(notice) => {
            let actions_due = {
                let mut guard = control.lock();
                let state = &mut *guard;
                state.drain.receive(now, addr, notice, &state.members, &mut rng)
            };
            actions::drain(shared, actions_due);
        }
        Message::LeavingAck(ack) => control.lock().drain.acknowledged(&from, &ack),
        Message::Usage(report) => control.lock().usage.on_report(now, addr, report),
        Message::UsageCollect { known_rows } => {
            let actions_due = {
                let mut guard = control.lock();
                let state = &mut *guard;
                let own = control.counters();
                state.usage.on_collect(now, addr, known_rows, &own, &state.members)
            };
            actions::usage(shared, actions_due);
        }
        Message::UsageConfirm { seqs } => control.lock().usage.on_confirm(&seqs),
        Message::LoadDigest(bytes) => crate::data_exchange::merge_load_digest(shared, &bytes),
        Message::CrashReport(crash_report) => {
            let id = crash_report.id;
            crate::data_exchange::merge_crash_report(shared, &from, incarnation, &crash_report);
            peer_net::send(shared, addr, Message::CrashReportAck { id });
        }
        Message::CrashReportAck { id } => control.net.on_crash_report_ack(id, &from),
        Message::ProbeResults(results) => probes::merge_results(shared, &results),
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
        | Message::IdentityMismatch { .. }
        | Message::ConfigChange(_)
        | Message::ReadingStore
        | Message::TargetDemands { .. }
        | Message::OpenTunnel { .. }
        | Message::TunnelOpened
        | Message::TunnelRefused(_)
        | Message::TargetPause { .. }
        | Message::TeamSlotRequest { .. }
        | Message::AllowanceRequest { .. }
        | Message::AllowanceResponse { .. }
        | Message::AllowanceReturned { .. }
        | Message::TargetsWarmingUp { .. }
        | Message::ProbeTargets { .. }
        | Message::TargetReports { .. }
        | Message::GrantEnded { .. } => control.net.count_refused(),
    }
}

/// Handles a request that a peer sent over TCP, and returns the response.
pub fn handle_request(shared: &Arc<Shared>, envelope: Envelope) -> Message {
    let now = shared.clock.now();
    match envelope.message {
        Message::FetchConfig { generation } => {
            let (can_answer, config) = {
                let state = shared.control.lock();
                (state.config.can_answer_fetch(now), state.config.current().clone())
            };
            if !can_answer {
                Message::NotReady
            } else if config.generation > generation {
                config_message(&config)
            } else {
                Message::NoNewerConfig
            }
        }
        Message::Config { json } => {
            match serde_json::from_slice::<Config>(&json) {
                Ok(config) => {
                    actions::config(shared, |s| s.config.on_push(now, Arc::new(config)));
                }
                Err(_) => shared.control.net.count_refused(),
            }
            Message::Done
        }
        Message::SyncState(state) => {
            let actions_due = shared.control.lock().members.merge(now, state.members);
            actions::membership(shared, actions_due);
            // This host did not request these notices, so they don't count as a refresh.
            let actions_due = shared.control.lock().drain.merge(now, state.leaving);
            actions::drain(shared, actions_due);
            crate::data_exchange::merge_quarantine_snapshot(shared, &state.quarantine);
            Message::State(own_state(shared))
        }
        _ => {
            shared.control.net.count_refused();
            Message::Done
        }
    }
}

/// Returns a message with the configuration as JSON.
pub fn config_message(config: &Config) -> Message {
    match serde_json::to_vec(config) {
        Ok(json) => Message::Config { json },
        Err(_) => Message::NotReady,
    }
}

fn own_state(shared: &Shared) -> State {
    let now = shared.clock.now();
    let quarantine = crate::data_exchange::quarantine_snapshot(shared);
    let state = shared.control.lock();
    State { members: state.members.snapshot(), leaving: state.drain.notices(now), quarantine }
}

/// Exchanges the full state (members, leaving targets and quarantine) with a peer. Returns whether
/// the peer responded.
pub async fn exchange_state(shared: &Arc<Shared>, peer: SocketAddr) -> bool {
    let requested_at = shared.clock.now();
    let message = Message::SyncState(own_state(shared));
    let Ok(envelope) = peer_net::call(shared, peer, message, STATE_EXCHANGE_TIMEOUT).await else {
        return false;
    };
    let Message::State(state) = envelope.message else { return false };
    let now = shared.clock.now();
    let actions_due = shared.control.lock().members.merge(now, state.members);
    actions::membership(shared, actions_due);
    let actions_due = shared.control.lock().drain.refreshed(now, requested_at, state.leaving);
    actions::drain(shared, actions_due);
    crate::data_exchange::merge_quarantine_snapshot(shared, &state.quarantine);
    shared.control.set_synced();
    true
}

/// Sends a crash report to all live peers and waits at most 50 ms for their acknowledgements.
/// Returns the number of peers that did not acknowledge it. The id of the report is assigned here.
pub async fn broadcast_crash_report(shared: &Shared, crash_report: CrashReport) -> usize {
    let mut unacknowledged: BTreeSet<(Arc<str>, SocketAddr)> = {
        let state = shared.control.lock();
        state.members.live_peers().map(|m| (m.name.clone(), m.addr)).collect()
    };
    let (id, mut acks) = shared.control.net.expect_crash_report_acks();
    let crash_report = CrashReport { id, ..crash_report };
    let deadline = tokio::time::Instant::now() + CRASH_REPORT_ACK_TIMEOUT;
    let mut retry = tokio::time::interval(CRASH_REPORT_RETRY_INTERVAL);
    while !unacknowledged.is_empty() {
        tokio::select! {
            _ = tokio::time::sleep_until(deadline) => break,
            _ = retry.tick() => {
                for (_, addr) in &unacknowledged {
                    peer_net::send(shared, *addr, Message::CrashReport(crash_report.clone()));
                }
            }
            Some(name) = acks.recv() => unacknowledged.retain(|(n, _)| *n != name),
        }
    }
    unacknowledged.len()
}
