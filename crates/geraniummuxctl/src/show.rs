//! The commands `status` and `usage`, which print the state of the hosts and the monthly totals.

use crate::args::{Args, Usage};
use crate::client;
use crate::commands::{Output, admin_addrs, url_safe};
use crate::errors::{Error, Result};
use crate::table::{cell, render};
use serde_json::{Value, json};

const HOST_COLUMNS: [&str; 11] = [
    "host",
    "domain",
    "phase",
    "serving",
    "generation",
    "routes",
    "pools",
    "confirmed",
    "peers",
    "connections",
    "sent_bytes",
];
const MEMBER_COLUMNS: [&str; 5] = ["name", "failure_domain", "addr", "state", "incarnation"];
const TARGET_COLUMNS: [&str; 5] = ["pool", "target", "addr", "state", "load"];
const CLASS_COLUMNS: [&str; 9] =
    ["host", "tenant", "class", "served", "not_run", "unknown", "p50_us", "p99_us", "p999_us"];
const CALL_COLUMNS: [&str; 4] = ["host", "call", "made", "failed"];
const USAGE_COLUMNS: [&str; 3] = ["tenant", "class", "served"];

/// Returns the state of each host that `--admin` names.
///
/// # Errors
///
/// [`Error::Unreachable`] if no host responds. If only some hosts fail, the output lists their
/// errors.
pub async fn status(args: &Args) -> Result<Output> {
    let mut reports = Vec::new();
    let mut failures = Vec::new();
    for addr in admin_addrs(args)? {
        match client::get(&[*addr], "/v1/status").await {
            Ok(report) => reports.push(report),
            Err(e) => failures.push(json!({ "admin": addr, "error": e.to_string() })),
        }
    }
    if reports.is_empty() {
        let causes: Vec<String> = failures.iter().map(|f| cell(&f["error"])).collect();
        return Err(Error::Unreachable(causes.join("; ")));
    }
    if args.json {
        let all: Vec<Value> = reports.into_iter().chain(failures).collect();
        return Ok(Output::json(&json!(all)));
    }
    Ok(Output::text(status_text(&reports, &failures)))
}

fn status_text(reports: &[Value], failures: &[Value]) -> String {
    let hosts: Vec<Value> = reports.iter().map(host_row).collect();
    let mut text = render(&HOST_COLUMNS, &hosts);
    for failure in failures {
        text.push_str(&format!("{}: {}\n", cell(&failure["admin"]), cell(&failure["error"])));
    }
    // Members and targets as seen by the first host; `--json` prints the view of every host.
    let first = &reports[0];
    let section = |title: &str, columns: &[&str], rows: &[Value]| match rows {
        [] => String::new(),
        rows => format!("\n{title}\n{}", render(columns, rows)),
    };
    let view = format!("as {} sees them", cell(&first["host"]));
    let rows = |name: &str| first[name].as_array().cloned().unwrap_or_default();
    text.push_str(&section(&format!("entry hosts {view}"), &MEMBER_COLUMNS, &rows("members")));
    let targets: Vec<Value> = rows("targets").into_iter().map(target_row).collect();
    text.push_str(&section(&format!("targets {view}"), &TARGET_COLUMNS, &targets));
    text.push_str(&section(
        "requests since start",
        &CLASS_COLUMNS,
        &rows_of_all_hosts(reports, "classes"),
    ));
    text.push_str(&section(
        "platform calls since start",
        &CALL_COLUMNS,
        &platform_call_rows(reports),
    ));
    text
}

fn host_row(report: &Value) -> Value {
    let members = report["members"].as_array().map_or(&[][..], Vec::as_slice);
    let alive = members.iter().filter(|m| m["state"] == "alive").count();
    json!({
        "host": report["host"], "domain": report["failure_domain"], "phase": report["phase"],
        "serving": report["serving"], "generation": report["generation"],
        "routes": report["routes_revision"], "pools": report["pools_revision"],
        "confirmed": match report["config_age_ms"].as_u64() {
            Some(ms) => format!("{:.1} s ago", ms as f64 / 1_000.0),
            None => "never".to_owned(),
        },
        "peers": format!("{alive}/{}", members.len()),
        "connections": report["connections"],
        "sent_bytes": report["peer_traffic"]["udp_sent"]["bytes"].as_u64().unwrap_or(0)
            + report["peer_traffic"]["tcp_sent"]["bytes"].as_u64().unwrap_or(0),
    })
}

fn target_row(mut row: Value) -> Value {
    if let Some(load) = row["load"].as_object() {
        let number = |v: &Value| match v.as_f64() {
            Some(n) => format!("{n:.1}"),
            None => cell(v),
        };
        let cells: Vec<String> = load.iter().map(|(k, v)| format!("{k}={}", number(v))).collect();
        row["load"] = json!(cells.join(" "));
    }
    row
}

/// Returns the rows of the list `name` in the reports of all hosts, with the host's name added to
/// each row.
fn rows_of_all_hosts(reports: &[Value], name: &str) -> Vec<Value> {
    let mut rows = Vec::new();
    for report in reports {
        for row in report[name].as_array().into_iter().flatten() {
            let mut row = row.clone();
            row["host"] = report["host"].clone();
            rows.push(row);
        }
    }
    rows
}

fn platform_call_rows(reports: &[Value]) -> Vec<Value> {
    let mut rows = Vec::new();
    for report in reports {
        for (call, counts) in report["platform_calls"].as_object().into_iter().flatten() {
            rows.push(json!({
                "host": report["host"], "call": call, "made": counts["made"],
                "failed": counts["failed"],
            }));
        }
    }
    rows
}

/// Returns the number of requests served in a month, by tenant and class.
///
/// # Errors
///
/// [`Error::Usage`] if the month is not written as YYYY-MM, and [`Error::Unreachable`] if no host
/// can read the totals.
pub async fn usage(args: &Args, cmd: &Usage) -> Result<Output> {
    let path = match &cmd.month {
        Some(month) => {
            let parts = month.split_once('-').map(|(y, m)| (y.len(), m.len()));
            if parts != Some((4, 2)) || *month != url_safe(month) {
                return Err(Error::Usage(format!("{month:?} is not a month: use YYYY-MM")));
            }
            format!("/v1/usage?month={month}")
        }
        None => "/v1/usage".to_owned(),
    };
    let response = client::get(admin_addrs(args)?, &path).await?;
    if args.json {
        return Ok(Output::json(&response));
    }
    let rows = response["totals"].as_array().cloned().unwrap_or_default();
    Ok(Output::text(format!(
        "{}month {}\n",
        render(&USAGE_COLUMNS, &rows),
        cell(&response["month"])
    )))
}
