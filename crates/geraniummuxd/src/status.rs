//! The status report of this host, as JSON and as a text page.

use crate::control::{self, State};
use crate::shared::Shared;
use geraniummux_core::config_sync::{NotServingReason, Permit};
use geraniummux_core::usage::UsageRow;
use geraniummux_core::{Member, MemberState, Time};
use serde_json::{Value, json};
use std::fmt::Write as _;

/// Maximum age of the last read of the platform, in milliseconds, with which the configuration is
/// reported as confirmed. A read by this host or by a peer that reported it counts.
const MAX_CONFIRMATION_AGE_MS: u64 = 8_000;

/// Returns the status report of this host as JSON.
pub fn report(shared: &Shared) -> Value {
    let now = shared.clock.now();
    let in_force = shared.in_force();
    let config = &in_force.config;
    let phase = *shared.control.phase().borrow();
    let mut report = {
        let state = shared.control.lock();
        let age = state.members.config_confirmed_at().map(|t| now.since(t).as_millis() as u64);
        json!({
            "serving": serving_state(&state, now, config.generation),
            "config_age_ms": age,
            "config_confirmed": age.is_some_and(|a| a <= MAX_CONFIRMATION_AGE_MS),
            "highest_generation_heard": state.config.highest_generation(),
            "platform_contact_ms":
                state.config.platform_contact().map(|t| now.since(t).as_millis() as u64),
            "peer_contact_ms": state.members.last_contact().map(|t| now.since(t).as_millis() as u64),
            "members": members(&state),
            "leaving_targets": state.drain.notices(now),
        })
    };
    report["host"] = json!(shared.settings.host);
    report["failure_domain"] = json!(shared.settings.failure_domain);
    report["region"] = json!(shared.settings.region);
    report["generation"] = json!(config.generation);
    report["routes_revision"] = json!(config.routes_revision.number);
    report["pools_revision"] = json!(config.pools_revision.number);
    report["phase"] = json!(format!("{phase:?}").to_lowercase());
    report["connections"] = json!(shared.control.connections());
    report["targets"] = targets(shared, now);
    report["classes"] = json!(shared.telemetry.report());
    report["counted"] = served_counts(shared);
    report["peer_traffic"] = json!(shared.control.net.traffic());
    report["platform_calls"] = json!(shared.platform.calls());
    report
}

fn served_counts(shared: &Shared) -> Value {
    let counters = shared.control.counters();
    let row = |r: &UsageRow| {
        json!({
            "month": r.key.month.to_string(), "tenant": r.key.tenant, "class": r.key.class,
            "served": r.served,
        })
    };
    counters.rows().iter().map(row).collect()
}

/// Returns `yes` if this host serves requests, or the reason why it doesn't. `generation` is that
/// of the configuration in force.
pub fn serving_state(state: &State, now: Time, generation: u64) -> &'static str {
    match state.config.permit(now) {
        Permit::Serve if generation == 0 => "no-configuration",
        Permit::Serve => "yes",
        Permit::Hold => "held-after-pause",
        Permit::Refuse(NotServingReason::Starting) => "starting",
        Permit::Refuse(NotServingReason::Isolated) => "isolated",
        Permit::Refuse(NotServingReason::Behind) => "behind",
    }
}

fn members(state: &State) -> Vec<Value> {
    let row = |m: &Member| {
        json!({
            "name": m.name, "addr": m.http_addr, "peer": m.addr,
            "failure_domain": m.failure_domain, "incarnation": m.incarnation,
            "state": match m.state {
                MemberState::Alive => "alive",
                MemberState::Leaving => "leaving",
                MemberState::Suspect => "suspect",
                MemberState::Dead => "dead",
            },
        })
    };
    std::iter::once(state.members.local_member()).chain(state.members.peers()).map(row).collect()
}

fn targets(shared: &Shared, now: Time) -> Value {
    let in_force = shared.in_force();
    let mut rows = Vec::new();
    for pool in &in_force.config.tables.pools {
        for target in &pool.targets {
            let leaving = target.leaving || shared.control.is_target_leaving(target.addr, now);
            let mut row = json!({
                "pool": pool.name, "target": target.name, "addr": target.addr,
                "state": if leaving { "leaving" } else { "in-service" },
            });
            if let Some(load) =
                crate::data_exchange::target_load(shared, &pool.name, &target.name, now)
            {
                row["load"] = load;
            }
            rows.push(row);
        }
    }
    Value::Array(rows)
}

/// Returns the status report of this host as text.
pub fn page(shared: &Shared) -> String {
    let report = report(shared);
    let mut page = String::new();
    // Writing to a String can't fail.
    for name in [
        "host",
        "failure_domain",
        "region",
        "phase",
        "serving",
        "generation",
        "routes_revision",
        "pools_revision",
        "config_age_ms",
        "config_confirmed",
        "connections",
    ] {
        let _ = writeln!(page, "{name:<20} {}", cell_text(&report[name]));
    }
    for name in ["members", "targets", "classes", "leaving_targets", "counted"] {
        let _ = writeln!(page, "\n{name}");
        for row in report[name].as_array().into_iter().flatten() {
            let cells: Vec<String> = row
                .as_object()
                .into_iter()
                .flatten()
                .map(|(key, value)| format!("{key}={}", cell_text(value)))
                .collect();
            let _ = writeln!(page, "  {}", cells.join(" "));
        }
    }
    for name in ["peer_traffic", "platform_calls"] {
        let _ = writeln!(page, "\n{name}");
        for (key, value) in report[name].as_object().into_iter().flatten() {
            let _ = writeln!(page, "  {key:<20} {}", cell_text(value));
        }
    }
    page
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

/// Returns whether this host serves requests, for health checks. Waits while requests are held
/// after a pause.
pub async fn is_ready(shared: &Shared) -> bool {
    control::await_config(shared).await.is_ok()
}
