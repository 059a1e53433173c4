//! Performs the actions that the state machines of the core return.

use crate::control::{Phase, State};
use crate::shared::Shared;
use crate::{config_sync, peer_messages, peer_net, usage};
use geraniummux_core::config_sync::ConfigAction;
use geraniummux_core::drain::{DrainAction, ShutdownAction};
use geraniummux_core::membership::MembershipAction;
use geraniummux_core::usage::UsageAction;
use geraniummux_wire::Message;
use slog::{error, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;

/// Performs the actions of the membership state machine. Messages to peers carry this host's
/// current incarnation from then on.
pub fn membership(shared: &Arc<Shared>, actions: Vec<MembershipAction>) {
    if actions.is_empty() {
        return;
    }
    let incarnation = shared.control.lock().members.local_member().incarnation;
    shared.control.net.set_incarnation(incarnation);
    for action in actions {
        match action {
            MembershipAction::Send { to, gossip } => {
                peer_net::send(shared, to, Message::Gossip(gossip));
            }
            MembershipAction::Sync { peer } => {
                let shared = shared.clone();
                tokio::spawn(async move { peer_messages::exchange_state(&shared, peer).await });
            }
            MembershipAction::Changed { member, previous } => {
                info!(shared.log, "member_changed"; "member" => &*member.name,
                    "state" => format!("{:?}", member.state).to_lowercase(),
                    "was" => previous.map_or("unknown".to_owned(), |w| format!("{w:?}").to_lowercase()),
                    "incarnation" => member.incarnation);
                shared.telemetry.count_event("member_changes");
            }
            MembershipAction::Resumed { pause } => {
                warn!(shared.log, "resumed"; "paused_ms" => pause.as_millis() as u64);
                shared.telemetry.count_event("pauses");
            }
            MembershipAction::Replaced { by } => {
                error!(shared.log, "replaced"; "by" => by.to_string());
                shared.control.enter_phase(Phase::Failed);
            }
        }
    }
}

/// Runs `change` on the locked state and performs the returned configuration actions.
///
/// A new configuration is put in force before the lock is released. Otherwise a result from a peer
/// or the platform could permit a request that is still sent under the previous configuration.
pub fn config<F>(shared: &Arc<Shared>, change: F)
where
    F: FnOnce(&mut State) -> Vec<ConfigAction>,
{
    let actions = {
        let mut state = shared.control.lock();
        let actions = change(&mut state);
        for action in &actions {
            if let ConfigAction::InForce(config) = action {
                shared.adopt_if_newer(config.clone());
            }
        }
        actions
    };
    for action in actions {
        config_sync::perform(shared, action);
    }
}

/// Performs the actions of the state machine that tracks leaving targets.
pub fn drain(shared: &Arc<Shared>, actions: Vec<DrainAction>) {
    for action in actions {
        match action {
            DrainAction::Refresh { peers } => {
                for peer in peers {
                    let shared = shared.clone();
                    tokio::spawn(async move { peer_messages::exchange_state(&shared, peer).await });
                }
            }
            action => perform_drain_action(shared, action),
        }
    }
}

fn perform_drain_action(shared: &Shared, action: DrainAction) {
    match action {
        DrainAction::Notify { to, notice } => {
            peer_net::send(shared, to, Message::Leaving(notice));
        }
        DrainAction::Acknowledge { to, ack } => {
            peer_net::send(shared, to, Message::LeavingAck(ack));
        }
        DrainAction::Leaving(target) => {
            info!(shared.log, "target_leaving"; "target" => target.to_string());
            shared.telemetry.count_event("targets_leaving");
        }
        DrainAction::Expired(target) => {
            info!(shared.log, "target_back"; "target" => target.to_string());
        }
        // Returned only by the timer, after a start or a pause; the timer calls `drain`, which
        // handles it.
        DrainAction::Refresh { .. } => {}
    }
}

/// Records that a target is leaving, and notifies all peers.
pub fn report_leaving(shared: &Shared, target: SocketAddr) {
    let now = shared.clock.now();
    let actions = {
        let mut guard = shared.control.lock();
        let state = &mut *guard;
        state.drain.report(now, target, &state.members, &mut rand::rng())
    };
    actions.into_iter().for_each(|action| perform_drain_action(shared, action));
}

/// Performs the actions of the state machine that merges usage counts.
pub fn usage(shared: &Arc<Shared>, actions: Vec<UsageAction>) {
    for action in actions {
        match action {
            UsageAction::Report { to, report } => {
                peer_net::send(shared, to, Message::Usage(report));
            }
            UsageAction::Collect { to, known_rows } => {
                peer_net::send(shared, to, Message::UsageCollect { known_rows });
            }
            UsageAction::Confirm { to, seqs } => {
                peer_net::send(shared, to, Message::UsageConfirm { seqs });
            }
            UsageAction::Write { month } => {
                let shared = shared.clone();
                tokio::spawn(async move { usage::write_month(&shared, month).await });
            }
        }
    }
}

/// Performs one action of the shutdown sequence.
pub fn shutdown(shared: &Arc<Shared>, action: ShutdownAction) {
    let connections = shared.control.connections();
    let in_flight = shared.data.in_flight();
    match action {
        ShutdownAction::Announce => {
            let now = shared.clock.now();
            let actions = {
                let mut state = shared.control.lock();
                state.members.leave();
                state.members.announce(now)
            };
            membership(shared, actions);
            info!(shared.log, "leaving"; "connections" => connections,
                "in_flight" => in_flight);
            shared.control.enter_phase(Phase::Leaving);
        }
        ShutdownAction::StopAccepting => {
            info!(shared.log, "draining"; "connections" => connections,
                "in_flight" => in_flight);
            shared.control.enter_phase(Phase::Draining);
        }
        ShutdownAction::AbortRequests => {
            warn!(shared.log, "aborting_requests"; "connections" => connections,
                "in_flight" => in_flight);
            shared.control.enter_phase(Phase::Aborting);
        }
        ShutdownAction::WriteUsage => {
            let shared = shared.clone();
            tokio::spawn(async move {
                usage::write_at_exit(&shared).await;
                let next = shared.control.lock().shutdown.usage_written();
                if let Some(action) = next {
                    self::shutdown(&shared, action);
                }
            });
        }
        ShutdownAction::Exit => {
            let unwritten = shared.control.lock().usage.unwritten_months().len();
            info!(shared.log, "stopped"; "unwritten_months" => unwritten);
            shared.control.enter_phase(Phase::Exited);
        }
    }
}
