//! The commands that read, compare, check and edit tables. Begin with [`run`].

use crate::args::{Apply, Args, Check, Command, Diff};
use crate::client::{self, Response};
use crate::errors::{Error, Result};
use crate::table::{cell, render};
use crate::{difference, show};
use bytes::Bytes;
use geraniummux_core::config::{MAX_CONFIG_LEN, Pool, Route};
use geraniummux_core::{TableEdit, TableKind, Tables};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::{env, fs};

/// Columns that `get routes` prints.
const ROUTE_COLUMNS: [&str; 8] =
    ["name", "host", "path", "methods", "tenant", "class", "pool", "timeout_ms"];
/// Columns that `get pools` prints, one line for each target.
const POOL_COLUMNS: [&str; 6] = ["pool", "target", "addr", "failure_domain", "weight", "leaving"];

/// The result of a successful command.
#[derive(Debug)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Whether `diff` found a difference, which sets the exit code.
    pub differs: bool,
}

impl Output {
    /// Returns an output that prints `text`.
    pub fn text<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        Output { text: text.into(), differs: false }
    }

    /// Returns an output that prints `value` as indented JSON.
    pub fn json(value: &Value) -> Self {
        Output::text(format!("{value:#}\n"))
    }
}

/// Runs the command that `args` select.
///
/// # Errors
///
/// See [`Error`]; each variant corresponds to an exit code.
pub async fn run(args: &Args) -> Result<Output> {
    match &args.command {
        Command::Get(c) => get(args, table_kind(&c.table)?).await,
        Command::Diff(c) => diff(args, c).await,
        Command::Check(c) => check(args, c).await,
        Command::Apply(c) => apply(args, c).await,
        Command::Status(_) => show::status(args).await,
        Command::Usage(c) => show::usage(args, c).await,
    }
}

fn table_kind(name: &str) -> Result<TableKind> {
    TableKind::from_name(name)
        .ok_or_else(|| Error::Usage(format!("there is no table {name:?}: use routes or pools")))
}

/// Returns the admin addresses of the hosts to send requests to, in the order of preference.
///
/// # Errors
///
/// [`Error::Usage`] if the arguments contain no `--admin`.
pub fn admin_addrs(args: &Args) -> Result<&[SocketAddr]> {
    if args.admin.is_empty() {
        return Err(Error::Usage("name an entry host with --admin".to_owned()));
    }
    Ok(&args.admin)
}

fn read_file(path: &Path) -> Result<String> {
    let text = fs::read_to_string(path)
        .map_err(|e| Error::Usage(format!("can't read {}: {e}", path.display())))?;
    if text.len() > MAX_CONFIG_LEN {
        return Err(Error::Invalid(format!(
            "{} has {} bytes, both tables together may have {MAX_CONFIG_LEN}",
            path.display(),
            text.len()
        )));
    }
    Ok(text)
}

fn parse_file(kind: TableKind, path: &Path) -> Result<(TableEdit, Option<u64>)> {
    TableEdit::parse(kind, &read_file(path)?)
        .map_err(|e| Error::Invalid(format!("{}: {e}", path.display())))
}

async fn fetch(args: &Args, kind: TableKind) -> Result<Value> {
    client::get(admin_addrs(args)?, &format!("/v1/tables/{}", kind.as_str())).await
}

fn table_rows(kind: TableKind, table: &Value) -> Vec<Value> {
    table[kind.as_str()].as_array().cloned().unwrap_or_default()
}

async fn get(args: &Args, kind: TableKind) -> Result<Output> {
    let table = fetch(args, kind).await?;
    if args.json {
        return Ok(Output::json(&table));
    }
    let rows = table_rows(kind, &table);
    let mut text = match kind {
        TableKind::Routes => render(&ROUTE_COLUMNS, &rows),
        TableKind::Pools => render(&POOL_COLUMNS, &target_rows(&rows)),
    };
    text.push_str(&format!(
        "{} table, revision {} by {}\n",
        kind.as_str(),
        cell(&table["revision"]),
        cell(&table["writer"])
    ));
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

async fn diff(args: &Args, cmd: &Diff) -> Result<Output> {
    let kind = table_kind(&cmd.table)?;
    let (edit, _) = parse_file(kind, &cmd.file)?;
    let table = fetch(args, kind).await?;
    let (old, new) = (table_rows(kind, &table), edit_rows(&edit));
    let text = difference::lines(&old, &new);
    let differs = !text.is_empty();
    Ok(match args.json {
        true => Output { differs, ..Output::json(&difference::json(&old, &new)) },
        false => Output { differs, text },
    })
}

async fn check(args: &Args, cmd: &Check) -> Result<Output> {
    if cmd.routes.is_none() && cmd.pools.is_none() {
        return Err(Error::Usage("name a file with --routes or --pools".to_owned()));
    }
    let routes = match &cmd.routes {
        Some(path) => parse_file(TableKind::Routes, path)?.0,
        None => TableEdit::Routes(fetch_rows::<Route>(args, TableKind::Routes).await?),
    };
    let pools = match &cmd.pools {
        Some(path) => parse_file(TableKind::Pools, path)?.0,
        None => TableEdit::Pools(fetch_rows::<Pool>(args, TableKind::Pools).await?),
    };
    let mut tables = Tables::default();
    for edit in [routes, pools] {
        match edit {
            TableEdit::Routes(rows) => tables.routes = rows,
            TableEdit::Pools(rows) => tables.pools = rows,
        }
    }
    tables.validate().map_err(|e| Error::Invalid(e.to_string()))?;
    let targets: usize = tables.pools.iter().map(|p| p.targets.len()).sum();
    Ok(Output::text(format!(
        "valid: {} routes, {} pools, {targets} targets\n",
        tables.routes.len(),
        tables.pools.len()
    )))
}

/// Fetches the rows of the table in force. Without `--admin`, the table is empty, so that files can
/// be checked offline.
async fn fetch_rows<T>(args: &Args, kind: TableKind) -> Result<Vec<T>>
where
    T: serde::de::DeserializeOwned,
{
    if args.admin.is_empty() {
        return Ok(Vec::new());
    }
    let mut table = fetch(args, kind).await?;
    serde_json::from_value(table[kind.as_str()].take())
        .map_err(|e| Error::Unreachable(format!("can't decode the table in the response: {e}")))
}

async fn apply(args: &Args, cmd: &Apply) -> Result<Output> {
    let kind = table_kind(&cmd.table)?;
    let text = read_file(&cmd.file)?;
    let (edit, revision) = TableEdit::parse(kind, &text)
        .map_err(|e| Error::Invalid(format!("{}: {e}", cmd.file.display())))?;
    let base = cmd.base.or(revision).unwrap_or(0);
    let writer = cmd.writer.clone().or_else(|| env::var("USER").ok());
    let writer = url_safe(&writer.unwrap_or_else(|| "unknown".to_owned()));
    // All hosts receive the same write id, so that an edit that is sent to several hosts takes
    // effect only once.
    let write_id = match &cmd.write_id {
        Some(id) => url_safe(id),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let path =
        format!("/v1/tables/{}?base={base}&writer={writer}&write_id={write_id}", kind.as_str());
    let response =
        post_edit(admin_addrs(args)?, &path, Bytes::from(text)).await.map_err(|e| match e {
            Error::Undecided(cause) => Error::Undecided(format!(
                "the edit may have taken effect: {cause}; \
             to settle it, repeat the command with --write-id {write_id}"
            )),
            e => e,
        })?;
    match response.status {
        StatusCode::OK if args.json => Ok(Output::json(&response.body)),
        StatusCode::OK => Ok(Output::text(format!(
            "{} table at revision {}, generation {}\n",
            kind.as_str(),
            response.body["revision"],
            response.body["generation"]
        ))),
        StatusCode::CONFLICT => Err(conflict(args, kind, &edit, &cmd.file, &response).await),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unreachable(response.message())),
        _ => Err(Error::Invalid(response.message())),
    }
}

/// Sends an edit to the hosts in turn until one of them accepts or rejects it.
///
/// A failure to connect and a 503 response other than `undecided` mean that this host has not made
/// the edit. After any other failure to get a response, the edit may have taken effect.
async fn post_edit(admin_addrs: &[SocketAddr], path: &str, body: Bytes) -> Result<Response> {
    let mut undecided_failure = None;
    let mut last_failure = None;
    for addr in admin_addrs {
        match client::call(*addr, Method::POST, path, body.clone()).await {
            Ok(response) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                return Ok(response);
            }
            Ok(response) => {
                if response.body["error"] == "undecided" {
                    undecided_failure = Some(format!("{addr}: {}", response.message()));
                }
                last_failure = Some(format!("{addr}: {}", response.message()));
            }
            Err(e) if e.starts_with("connect") => last_failure = Some(format!("{addr}: {e}")),
            Err(e) => undecided_failure = Some(format!("{addr}: {e}")),
        }
    }
    match (undecided_failure, last_failure) {
        (Some(e), _) => Err(Error::Undecided(e)),
        (None, last_failure) => Err(Error::Unreachable(last_failure.unwrap_or_default())),
    }
}

/// Returns the error for a lost race, with the winning revision and its differences from the file.
async fn conflict(
    args: &Args,
    kind: TableKind,
    edit: &TableEdit,
    file: &Path,
    response: &Response,
) -> Error {
    let mut message = response.message();
    if let Ok(table) = fetch(args, kind).await {
        message.push_str("\nfrom the file to the winning table:\n");
        message.push_str(&difference::lines(&edit_rows(edit), &table_rows(kind, &table)));
    }
    message.push_str(&format!("{} is unchanged", file.display()));
    Error::Conflict(message)
}

/// Replaces by `_` all characters other than ASCII letters, digits, `-`, `_` and `.`, so that the
/// text needs no escaping in a query.
pub fn url_safe(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') { c } else { '_' })
        .collect()
}
