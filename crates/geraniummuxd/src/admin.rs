//! The admin API over HTTP/1.1: tables, status and usage as JSON, a status page and a health check.

use crate::config_sync::{self, EditRequest};
use crate::query;
use crate::response::{self, Body};
use crate::shared::Shared;
use crate::{status, usage};
use geraniummux_core::config_edit::EditError;
use geraniummux_core::usage::Month;
use geraniummux_core::{Error as CoreError, TableEdit, TableKind};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Maximum size of a submitted table, in bytes. Equal to the platform's limit for a value.
const MAX_TABLE_BYTES: usize = 1 << 20;

/// Accepts admin connections until the task is dropped.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors; one may be closed shortly.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shared = shared.clone();
        let service = tower::service_fn(move |req| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(handle(&shared, req).await) }
        });
        tokio::spawn(async move {
            // A connection error concerns only that client.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service))
                .await;
        });
    }
}

async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (req.method().clone(), segments.as_slice()) {
        (Method::GET, ["v1", "tables", name]) => get_table(shared, name),
        (Method::POST, ["v1", "tables", name]) => edit_table(shared, name, req).await,
        (Method::GET, ["v1", "status"]) => response::json(StatusCode::OK, &status::report(shared)),
        (Method::GET, ["status"]) => Response::new(response::full(status::page(shared))),
        (Method::GET, ["v1", "usage"]) => get_usage(shared, &req).await,
        (Method::GET, ["health"]) => health(shared).await,
        _ => error_response(StatusCode::NOT_FOUND, "not-found", "unknown path"),
    }
}

fn error_response(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    response::json(status, &json!({ "error": kind, "message": message }))
}

fn unknown_table(name: &str) -> Response<Body> {
    let message = format!("there is no table {name:?}; the tables are routes and pools");
    error_response(StatusCode::NOT_FOUND, "not-found", &message)
}

fn get_table(shared: &Shared, name: &str) -> Response<Body> {
    let Some(kind) = TableKind::from_name(name) else {
        return unknown_table(name);
    };
    let in_force = shared.in_force();
    let config = &in_force.config;
    let revision = config.revision(kind);
    let rows = match kind {
        TableKind::Routes => json!(config.tables.routes),
        TableKind::Pools => json!(config.tables.pools),
    };
    let mut response = json!({
        "generation": config.generation,
        "revision": revision.number,
        "writer": revision.writer,
    });
    response[kind.as_str()] = rows;
    response::json(StatusCode::OK, &response)
}

async fn edit_table(shared: &Arc<Shared>, name: &str, req: Request<Incoming>) -> Response<Body> {
    let Some(kind) = TableKind::from_name(name) else {
        return unknown_table(name);
    };
    let base = query::value(req.uri(), "base").and_then(|v| v.parse::<u64>().ok());
    let write_id = query::value(req.uri(), "write_id").map(str::to_owned);
    let writer = query::value(req.uri(), "writer").unwrap_or("unknown").to_owned();
    let (Some(base), Some(write_id)) = (base, write_id) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "the query parameters base (a revision number) and write_id are required",
        );
    };
    let Ok(body) = Limited::new(req.into_body(), MAX_TABLE_BYTES).collect().await else {
        let message =
            format!("the table exceeds {MAX_TABLE_BYTES} bytes or its transfer was interrupted");
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "too-large", &message);
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let edit = match TableEdit::parse(kind, &text) {
        Ok((edit, _)) => edit,
        Err(e) => {
            return error_response(StatusCode::UNPROCESSABLE_ENTITY, "invalid", &e.to_string());
        }
    };
    match config_sync::apply(shared, EditRequest { edit, base, writer, write_id }).await {
        Ok(config) => response::json(
            StatusCode::OK,
            &json!({
                "generation": config.generation,
                "revision": config.revision(kind).number,
            }),
        ),
        Err(e) => edit_error_response(&e),
    }
}

fn edit_error_response(e: &EditError) -> Response<Body> {
    let (status, kind) = match e {
        EditError::Rejected(CoreError::Conflict { .. }) => (StatusCode::CONFLICT, "conflict"),
        EditError::Rejected(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid"),
        EditError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
        EditError::Unsettled { .. } => (StatusCode::SERVICE_UNAVAILABLE, "undecided"),
        EditError::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
    };
    error_response(status, kind, &e.to_string())
}

async fn get_usage(shared: &Shared, req: &Request<Incoming>) -> Response<Body> {
    let current_month = Month::containing(shared.clock.wall()).to_string();
    let month = query::value(req.uri(), "month").unwrap_or(&current_month);
    let digits = |s: &str, len| s.len() == len && s.bytes().all(|b| b.is_ascii_digit());
    if !month.split_once('-').is_some_and(|(y, m)| digits(y, 4) && digits(m, 2)) {
        let message = format!("{month:?} is not a month: expected YYYY-MM");
        return error_response(StatusCode::BAD_REQUEST, "bad-request", &message);
    }
    match usage::totals(shared, month).await {
        Ok(totals) => response::json(StatusCode::OK, &totals),
        Err(e) => error_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &e),
    }
}

async fn health(shared: &Shared) -> Response<Body> {
    if status::is_ready(shared).await {
        Response::new(response::full("ready\n"))
    } else {
        error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            "this host does not serve requests at present",
        )
    }
}
