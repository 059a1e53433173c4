//! Periodic tasks of the control path: the timer that advances the state machines of the core, and
//! the sending of metrics.

use crate::control::State;
use crate::shared::Shared;
use crate::{actions, status};
use geraniummux_core::config_sync::Permit;
use geraniummux_core::drain::ShutdownAction;
use geraniummux_core::membership::MembershipAction;
use geraniummux_core::{MemberState, Time};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Interval of the timer. The state machines of the core need at most 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the counters of the control path are sent as metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

/// Advances the state machines of the control path until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut serving_state = "starting";
    loop {
        interval.tick().await;
        tick(&shared);
        log_serving_change(&shared, &mut serving_state);
    }
}

/// Logs a change of whether this host serves requests, and why not.
fn log_serving_change(shared: &Shared, previous: &mut &'static str) {
    let now = shared.clock.now();
    let generation = shared.in_force().config.generation;
    let current = status::serving_state(&shared.control.lock(), now, generation);
    if current == *previous {
        return;
    }
    if current == "yes" {
        info!(shared.log, "serving_changed"; "serving" => current, "was" => *previous);
    } else {
        warn!(shared.log, "serving_changed"; "serving" => current, "was" => *previous);
    }
    shared.telemetry.count_event("serving_changes");
    *previous = current;
}

/// Sends the increments of the control path's counters as metrics until the task is dropped.
pub async fn report_metrics(shared: Arc<Shared>) {
    let mut previous = read_counters(&shared);
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let current = read_counters(&shared);
        for ((name, now), (_, before)) in current.iter().zip(previous) {
            shared.telemetry.add_to_counter(name, now.saturating_sub(before) as i64);
        }
        previous = current;
    }
}

fn read_counters(shared: &Shared) -> [(&'static str, u64); 7] {
    let traffic = shared.control.net.traffic();
    let calls = shared.platform.calls();
    [
        ("peer_bytes_sent", traffic.udp_sent.bytes + traffic.tcp_sent.bytes),
        ("peer_bytes_received", traffic.udp_received.bytes + traffic.tcp_received.bytes),
        ("peer_messages_sent", traffic.udp_sent.messages + traffic.tcp_sent.messages),
        ("peer_frames_refused", traffic.refused),
        ("peer_datagrams_unsent", traffic.unsent),
        ("platform_calls", calls.values().map(|c| c.made).sum()),
        ("platform_call_failures", calls.values().map(|c| c.failed).sum()),
    ]
}

fn tick(shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let longest_timeout = longest_route_timeout(shared);
    let in_flight = shared.control.connections() + shared.data.in_flight();
    let mut rng = rand::rng();
    // All pause gates are given the same time, so that none opens before another has detected the
    // pause.
    let (members, config, drain, usage, shutdown) = {
        let mut guard = shared.control.lock();
        let state = &mut *guard;
        let mut members = state.members.tick(now, &mut rng);
        let config = state.config.tick(now, &mut state.members, &mut rng);
        let drain = state.drain.tick(now, &state.members, &mut rng);
        let own = shared.control.counters();
        let usage = state.usage.tick(now, &own, &state.members);
        let shutdown = state.shutdown.tick(now, in_flight, longest_timeout);
        members.extend(enter_service(state, now));
        (members, config, drain, usage, shutdown)
    };
    actions::membership(shared, members);
    actions::config(shared, |_| config);
    actions::drain(shared, drain);
    actions::usage(shared, usage);
    if let Some(action) = shutdown {
        actions::shutdown(shared, action);
    }
}

/// Announces this host as in service once it serves, so that entry responses of its peers contain
/// it. Before that, a host that starts is a member already but has no current configuration and
/// would refuse the callers' requests.
fn enter_service(state: &mut State, now: Time) -> Vec<MembershipAction> {
    let starting =
        state.members.local_member().state == MemberState::Leaving && !state.shutdown.is_leaving();
    let serves = state.config.permit(now) == Permit::Serve && state.config.current().generation > 0;
    if !starting || !serves {
        return Vec::new();
    }
    state.members.enter_service();
    state.members.announce(now)
}

/// Begins the shutdown of this host. Has no effect if it has already begun.
pub fn begin_shutdown(shared: &Arc<Shared>) {
    let action: Option<ShutdownAction> = shared.control.lock().shutdown.begin(shared.clock.now());
    if let Some(action) = action {
        actions::shutdown(shared, action);
    }
}

fn longest_route_timeout(shared: &Shared) -> Duration {
    let in_force = shared.in_force();
    let max_timeout_ms = in_force.config.tables.routes.iter().map(|r| r.timeout_ms).max();
    Duration::from_millis(max_timeout_ms.unwrap_or(0))
}
