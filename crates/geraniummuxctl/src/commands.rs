//! The commands.

use crate::args::{Apply, Args, Check, Command, Diff, Usage};
use crate::client::{self, Answer};
use crate::errors::{Error, Result};
use crate::table::render;
use bytes::Bytes;
use geraniummux_core::config::{Pool, Route};
use geraniummux_core::{TableEdit, TableKind, Tables};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::{env, fs};

/// Columns of the routes table.
const ROUTE_COLUMNS: [&str; 8] =
    ["name", "host", "path", "methods", "tenant", "class", "pool", "timeout_ms"];
/// Columns of the pools table, one line for each target.
const POOL_COLUMNS: [&str; 6] = ["pool", "target", "addr", "failure_domain", "weight", "leaving"];
/// Columns of the per-class part of a host's state.
const CLASS_COLUMNS: [&str; 8] =
    ["tenant", "class", "served", "not_run", "unknown", "p50_us", "p99_us", "p999_us"];
/// Columns of the monthly totals.
const USAGE_COLUMNS: [&str; 3] = ["tenant", "class", "served"];

/// What a command printed and whether it found a difference.
#[derive(Debug)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Whether the compared tables differ.
    pub differs: bool,
}

impl Output {
    fn text<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        Output { text: text.into(), differs: false }
    }

    fn json(value: &Value) -> Self {
        Output::text(format!("{value:#}\n"))
    }
}

/// Carries out a command.
///
/// # Errors
///
/// See [`Error`]; each variant has its exit code.
pub async fn run(args: &Args) -> Result<Output> {
    match &args.command {
        Command::Get(c) => get(args, table_kind(&c.table)?).await,
        Command::Diff(c) => diff(args, c).await,
        Command::Check(c) => check(args, c).await,
        Command::Apply(c) => apply(args, c).await,
        Command::Status(_) => status(args).await,
        Command::Usage(c) => usage(args, c).await,
    }
}

fn table_kind(name: &str) -> Result<TableKind> {
    TableKind::from_name(name)
        .ok_or_else(|| Error::Usage(format!("there is no table {name:?}: use routes or pools")))
}

fn admins(args: &Args) -> Result<&[SocketAddr]> {
    if args.admin.is_empty() {
        return Err(Error::Usage("name an entry host with --admin".to_owned()));
    }
    Ok(&args.admin)
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path)
        .map_err(|e| Error::Usage(format!("can't read {}: {e}", path.display())))
}

fn parse_file(kind: TableKind, path: &Path) -> Result<(TableEdit, Option<u64>)> {
    TableEdit::parse(kind, &read_file(path)?)
        .map_err(|e| Error::Invalid(format!("{}: {e}", path.display())))
}

async fn fetch(args: &Args, kind: TableKind) -> Result<Value> {
    client::get(admins(args)?, &format!("/v1/tables/{}", kind.as_str())).await
}

fn rows_of(kind: TableKind, table: &Value) -> Vec<Value> {
    table[kind.as_str()].as_array().cloned().unwrap_or_default()
}

async fn get(args: &Args, kind: TableKind) -> Result<Output> {
    let table = fetch(args, kind).await?;
    if args.json {
        return Ok(Output::json(&table));
    }
    let rows = rows_of(kind, &table);
    let mut text = match kind {
        TableKind::Routes => render(&ROUTE_COLUMNS, &rows),
        TableKind::Pools => render(&POOL_COLUMNS, &target_rows(&rows)),
    };
    text.push_str(&format!("revision {} by {}\n", table["revision"], table["writer"]));
    Ok(Output::text(text))
}

fn target_rows(pools: &[Value]) -> Vec<Value> {
    pools
        .iter()
        .flat_map(|pool| {
            let targets = pool["targets"].as_array().cloned().unwrap_or_default();
            targets.into_iter().map(|t| {
                json!({
                    "pool": pool["name"], "target": t["name"], "addr": t["addr"],
                    "failure_domain": t["failure_domain"], "weight": t["weight"],
                    "leaving": t["leaving"],
                })
            })
        })
        .collect()
}

fn edit_rows(edit: &TableEdit) -> Vec<Value> {
    match edit {
        TableEdit::Routes(rows) => rows.iter().map(|r| json!(r)).collect(),
        TableEdit::Pools(rows) => rows.iter().map(|p| json!(p)).collect(),
    }
}

/// Describes the differences between two tables, one line for each row that differs.
fn differences(old: &[Value], new: &[Value]) -> String {
    let find = |rows: &[Value], name: &Value| rows.iter().find(|r| r["name"] == *name).cloned();
    let mut out = String::new();
    for row in old {
        match find(new, &row["name"]) {
            None => out.push_str(&format!("- {row}\n")),
            Some(other) if other != *row => out.push_str(&format!("- {row}\n+ {other}\n")),
            Some(_) => {}
        }
    }
    for row in new.iter().filter(|row| find(old, &row["name"]).is_none()) {
        out.push_str(&format!("+ {row}\n"));
    }
    out
}

async fn diff(args: &Args, cmd: &Diff) -> Result<Output> {
    let kind = table_kind(&cmd.table)?;
    let (edit, _) = parse_file(kind, &cmd.file)?;
    let table = fetch(args, kind).await?;
    let text = differences(&rows_of(kind, &table), &edit_rows(&edit));
    Ok(Output { differs: !text.is_empty(), text })
}

async fn check(args: &Args, cmd: &Check) -> Result<Output> {
    if cmd.routes.is_none() && cmd.pools.is_none() {
        return Err(Error::Usage("name a file with --routes or --pools".to_owned()));
    }
    let routes = match &cmd.routes {
        Some(path) => parse_file(TableKind::Routes, path)?.0,
        None => TableEdit::Routes(in_force::<Route>(args, TableKind::Routes).await?),
    };
    let pools = match &cmd.pools {
        Some(path) => parse_file(TableKind::Pools, path)?.0,
        None => TableEdit::Pools(in_force::<Pool>(args, TableKind::Pools).await?),
    };
    let mut tables = Tables::default();
    for edit in [routes, pools] {
        match edit {
            TableEdit::Routes(rows) => tables.routes = rows,
            TableEdit::Pools(rows) => tables.pools = rows,
        }
    }
    tables.validate().map_err(|e| Error::Invalid(e.to_string()))?;
    Ok(Output::text("valid\n"))
}

/// Returns the rows of a table in force, or none if no host is named.
async fn in_force<T>(args: &Args, kind: TableKind) -> Result<Vec<T>>
where
    T: serde::de::DeserializeOwned,
{
    if args.admin.is_empty() {
        return Ok(Vec::new());
    }
    let mut table = fetch(args, kind).await?;
    serde_json::from_value(table[kind.as_str()].take())
        .map_err(|e| Error::Unreachable(format!("unreadable answer: {e}")))
}

async fn apply(args: &Args, cmd: &Apply) -> Result<Output> {
    let kind = table_kind(&cmd.table)?;
    let text = read_file(&cmd.file)?;
    let (edit, revision) = TableEdit::parse(kind, &text)
        .map_err(|e| Error::Invalid(format!("{}: {e}", cmd.file.display())))?;
    let base = cmd.base.or(revision).unwrap_or(0);
    let writer = cmd.writer.clone().or_else(|| env::var("USER").ok());
    let writer = url_safe(&writer.unwrap_or_else(|| "unknown".to_owned()));
    // One identity for all tries, so that a repeated edit takes effect once.
    let write_id = format!("{:032x}", rand::random::<u128>());
    let path =
        format!("/v1/tables/{}?base={base}&writer={writer}&write_id={write_id}", kind.as_str());
    let answer = post_edit(admins(args)?, &path, Bytes::from(text)).await?;
    match answer.status {
        StatusCode::OK if args.json => Ok(Output::json(&answer.body)),
        StatusCode::OK => Ok(Output::text(format!(
            "{} table at revision {}, generation {}\n",
            kind.as_str(),
            answer.body["revision"],
            answer.body["generation"]
        ))),
        StatusCode::CONFLICT => Err(conflict(args, kind, &edit, &cmd.file, &answer).await),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unreachable(answer.message())),
        _ => Err(Error::Invalid(answer.message())),
    }
}

/// Sends an edit to the hosts in turn until one decides it.
async fn post_edit(admins: &[SocketAddr], path: &str, body: Bytes) -> Result<Answer> {
    let mut undecided = None;
    let mut last = None;
    for addr in admins {
        match client::call(*addr, Method::POST, path, body.clone()).await {
            Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => return Ok(answer),
            Ok(answer) => {
                if answer.body["error"] == "undecided" {
                    undecided = Some(format!("{addr}: {}", answer.message()));
                }
                last = Some(format!("{addr}: {}", answer.message()));
            }
            Err(e) if e.starts_with("connect") => last = Some(format!("{addr}: {e}")),
            Err(e) => undecided = Some(format!("{addr}: {e}")),
        }
    }
    match (undecided, last) {
        (Some(e), _) => Err(Error::Undecided(format!(
            "the edit may have taken effect ({e}); run get to see, repeating apply is safe"
        ))),
        (None, last) => Err(Error::Unreachable(last.unwrap_or_default())),
    }
}

/// Tells which revision won and how it differs from the file.
async fn conflict(
    args: &Args,
    kind: TableKind,
    edit: &TableEdit,
    file: &Path,
    answer: &Answer,
) -> Error {
    let mut message = answer.message();
    if let Ok(table) = fetch(args, kind).await {
        message.push_str("\nthe winning table differs from the file as follows:\n");
        message.push_str(&differences(&rows_of(kind, &table), &edit_rows(edit)));
    }
    message.push_str(&format!("{} is unchanged", file.display()));
    Error::Conflict(message)
}

fn url_safe(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') { c } else { '_' })
        .collect()
}

async fn status(args: &Args) -> Result<Output> {
    let mut reports = Vec::new();
    let mut reached = false;
    for addr in admins(args)? {
        let report = match client::get(&[*addr], "/v1/status").await {
            Ok(report) => {
                reached = true;
                report
            }
            Err(e) => json!({ "admin": addr, "error": e.to_string() }),
        };
        reports.push(report);
    }
    if !reached {
        return Err(Error::Unreachable("no entry host answered".to_owned()));
    }
    if args.json {
        return Ok(Output::json(&json!(reports)));
    }
    Ok(Output::text(reports.iter().map(status_text).collect::<String>()))
}

fn status_text(report: &Value) -> String {
    if let Some(e) = report["error"].as_str() {
        return format!("{}: {e}\n", report["admin"]);
    }
    let mut text = format!(
        "host {} domain {} generation {} routes {} pools {}\n",
        report["host"],
        report["failure_domain"],
        report["generation"],
        report["routes_revision"],
        report["pools_revision"],
    );
    if let Some(classes) = report["classes"].as_array().filter(|c| !c.is_empty()) {
        text.push_str(&render(&CLASS_COLUMNS, classes));
    }
    text
}

async fn usage(args: &Args, cmd: &Usage) -> Result<Output> {
    let path = match &cmd.month {
        Some(month) => format!("/v1/usage?month={}", url_safe(month)),
        None => "/v1/usage".to_owned(),
    };
    let answer = client::get(admins(args)?, &path).await?;
    if args.json {
        return Ok(Output::json(&answer));
    }
    let rows = answer["totals"].as_array().cloned().unwrap_or_default();
    Ok(Output::text(format!("month {}\n{}", answer["month"], render(&USAGE_COLUMNS, &rows))))
}
