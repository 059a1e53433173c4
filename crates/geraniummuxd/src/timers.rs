//! The timer that drives the decisions of the control path.

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

/// Interval of the timer. The decisions of the core ask for at most 100 ms.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which the metrics of the control path are sent.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

/// Drives the control path until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut serving = "starting";
    loop {
        interval.tick().await;
        tick(&shared);
        note_serving(&shared, &mut serving);
    }
}

/// Logs that this host began or ceased to serve.
fn note_serving(shared: &Shared, last: &mut &'static str) {
    let now = shared.clock.now();
    let generation = shared.in_force().config.generation;
    let present = status::serving(&shared.control.lock(), now, generation);
    if present == *last {
        return;
    }
    if present == "yes" {
        info!(shared.log, "serving_changed"; "serving" => present, "was" => *last);
    } else {
        warn!(shared.log, "serving_changed"; "serving" => present, "was" => *last);
    }
    shared.telemetry.count_event("serving_changes");
    *last = present;
}

/// Sends the control path's metrics until the task is dropped.
pub async fn report_metrics(shared: Arc<Shared>) {
    let mut last = metrics(&shared);
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let present = metrics(&shared);
        for ((name, now), (_, before)) in present.iter().zip(last) {
            shared.telemetry.add_to_counter(name, now.saturating_sub(before) as i64);
        }
        last = present;
    }
}

fn metrics(shared: &Shared) -> [(&'static str, u64); 7] {
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
    let longest = longest_timeout(shared);
    let busy = shared.control.connections() + shared.data.in_flight();
    let mut rng = rand::rng();
    // All pause gates see the same time, so that one can't open before another has noticed a
    // pause.
    let (members, config, drain, usage, shutdown) = {
        let mut guard = shared.control.lock();
        let state = &mut *guard;
        let mut members = state.members.tick(now, &mut rng);
        let config = state.config.tick(now, &mut state.members, &mut rng);
        let drain = state.drain.tick(now, &state.members, &mut rng);
        let own = shared.control.counters();
        let usage = state.usage.tick(now, &own, &state.members);
        let shutdown = state.shutdown.tick(now, busy, longest);
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

/// Lets peers name this host to callers once it serves. A host that starts is known to its peers
/// before it has learned the configuration, and would refuse the requests.
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

/// Begins the shutdown of this host.
pub fn begin_shutdown(shared: &Arc<Shared>) {
    let action: Option<ShutdownAction> = shared.control.lock().shutdown.begin(shared.clock.now());
    if let Some(action) = action {
        actions::shutdown(shared, action);
    }
}

fn longest_timeout(shared: &Shared) -> Duration {
    let in_force = shared.in_force();
    let longest = in_force.config.tables.routes.iter().map(|r| r.timeout_ms).max();
    Duration::from_millis(longest.unwrap_or(0))
}
