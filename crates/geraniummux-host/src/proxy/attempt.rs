//! One attempt of a request at a target.

use super::context::RequestContext;
use super::headers;
use super::selection::SelectedTarget;
use crate::upstream::{self, ExchangeError, TargetResponse};
use geraniummux_core::fleet::{AttemptPermit, Fault, TargetReport};
use geraniummux_core::time::scaled;
use http::{Request, StatusCode, Version};
use http_body_util::Full;
use slog::info;
use std::sync::Arc;

/// Outcome of an attempt. The reasons are for logs and metrics.
pub enum AttemptOutcome {
    /// The target's complete response.
    Responded(TargetResponse),
    /// The target did not execute the request.
    NotExecuted(&'static str),
    /// The target may have executed the request, but there is no valid response.
    Lost(&'static str),
}

/// An attempt that has ended.
pub struct FinishedAttempt {
    /// The target.
    pub target: Arc<str>,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// The load that the target reported with its response.
    pub report: Option<TargetReport>,
    /// The permit with which it was sent.
    pub permit: AttemptPermit,
}

/// Sends a request to the selected target, waits for the response and records the outcome.
pub async fn send(
    ctx: Arc<RequestContext>,
    selected: SelectedTarget,
    permit: AttemptPermit,
) -> FinishedAttempt {
    let SelectedTarget { candidate, conn, latency_factor, .. } = selected;
    let target = candidate.id.clone();
    let host = &ctx.host;
    let mut report = None;
    let sent_at = host.now();
    let Some(req) = forwarded_request(&ctx, &target) else {
        return FinishedAttempt {
            target,
            outcome: AttemptOutcome::NotExecuted("unsendable"),
            report,
            permit,
        };
    };
    let route = &ctx.route.name;
    let limits = host.bodies.budget().response_limits(route);
    let relay = conn.relay();
    let (conn_number, messages_before) = (conn.number(), conn.messages());
    let mut status = None;
    let result = {
        let (names, memory) = (host.protocol.headers(), ctx.take_response_memory());
        upstream::exchange(conn, req, Some(&ctx.id), names, limits, memory).await
    };
    let now = host.now();
    let outcome = match result {
        Ok((response, conn)) => {
            status = Some(response.status.as_u16());
            let kind = classify(&ctx, &response);
            if matches!(kind, ResponseKind::Executed | ResponseKind::Refusal) {
                report = host.target_report(&target, &response.headers);
                if let Some(report) = report {
                    host.fleet().table.on_report(now, &target, report);
                }
                if let Some(pause) = response.pause() {
                    host.on_pause(&ctx.pool.name, &candidate, pause, relay);
                }
                if let Some(demand) = host.target_demand(&target, &response.headers) {
                    host.on_demand(&ctx.pool.name, &candidate, sent_at, demand);
                }
            }
            let outcome = match kind {
                ResponseKind::Executed => {
                    host.bodies.budget().on_response(route, response.body.len() as u64);
                    AttemptOutcome::Responded(response)
                }
                ResponseKind::Refusal => AttemptOutcome::NotExecuted("refused"),
                ResponseKind::OtherTarget => AttemptOutcome::NotExecuted("other_target"),
                ResponseKind::Unproven => {
                    AttemptOutcome::Lost(ExchangeError::Unproven(None).as_str())
                }
            };
            if !matches!(outcome, AttemptOutcome::Lost(_))
                && let Some(conn) = conn
            {
                host.upstream.put_idle(now, conn);
            }
            outcome
        }
        Err(e @ (ExchangeError::NotSent | ExchangeError::Carried)) => {
            AttemptOutcome::NotExecuted(e.as_str())
        }
        Err(e @ ExchangeError::TooLarge) => {
            host.bodies.budget().on_limit_exceeded(route, &target);
            AttemptOutcome::Lost(e.as_str())
        }
        Err(e) => {
            if let ExchangeError::Unproven(Some(pause)) = e {
                host.on_pause(&ctx.pool.name, &candidate, pause, relay);
            }
            AttemptOutcome::Lost(e.as_str())
        }
    };
    let result = match &outcome {
        AttemptOutcome::Responded(response) if response.status.is_server_error() => {
            host.on_fault(&target, Fault::ServerError);
            "server_error"
        }
        AttemptOutcome::Responded(response) => {
            let mut fleet = host.fleet();
            fleet.table.on_success(now, &target);
            let body_bytes = ctx.body.len() + response.body.len();
            fleet.observe(&ctx.route, now.since(sent_at), latency_factor, body_bytes);
            "answered"
        }
        AttemptOutcome::NotExecuted("other_target") => {
            host.on_identity_mismatch(&candidate);
            "other_target"
        }
        // The target is not the cause of this.
        AttemptOutcome::NotExecuted(reason) if *reason == ExchangeError::Carried.as_str() => reason,
        AttemptOutcome::NotExecuted(reason) => {
            host.on_fault(&target, Fault::Refused);
            reason
        }
        // Nor of this.
        AttemptOutcome::Lost(reason) if *reason == ExchangeError::NoMemory.as_str() => reason,
        AttemptOutcome::Lost(reason) if *reason == ExchangeError::TooLarge.as_str() => {
            host.on_fault(&target, Fault::Endless);
            reason
        }
        AttemptOutcome::Lost(reason) => {
            host.on_fault(&target, Fault::Broken);
            reason
        }
    };
    host.metrics.attempt(&ctx.pool.name, result);
    info!(host.log, "send"; "id" => ctx.id(), "target" => &*target, "result" => result,
        "status" => status.unwrap_or(0), "conn" => conn_number, "conn_messages_before" => messages_before,
        "stretch" => latency_factor, "expected_ms" => scaled(ctx.service_time, latency_factor).as_millis() as u64,
        "took_ms" => now.since(sent_at).as_millis() as u64,
        "slowdown" => report.map_or(0.0, |r| r.slowdown));
    FinishedAttempt { target, outcome, report, permit }
}

fn forwarded_request(ctx: &RequestContext, target: &str) -> Option<Request<Full<bytes::Bytes>>> {
    let path = ctx.parts.uri.path_and_query()?.as_str();
    let left = ctx.time_left(ctx.host.now());
    let mut req = Request::builder()
        .method(ctx.parts.method.clone())
        .uri(path)
        .version(Version::HTTP_11)
        .body(Full::new(ctx.body.clone()))
        .ok()?;
    *req.headers_mut() = headers::for_target(ctx, target, left)?;
    Some(req)
}

/// What a response to a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseKind {
    /// That of a target which may have executed the request.
    Executed,
    /// The target states that it has not executed the request.
    Refusal,
    /// Another target responded at the address, and has not executed the request. What it says of itself says nothing
    /// about the target.
    OtherTarget,
    /// A success without a digest, or a statement that does not go with the status.
    Unproven,
}

/// Classifies the response to a request. A refusal counts only with a status of refusals, and a success only with a
/// digest.
fn classify(ctx: &RequestContext, response: &TargetResponse) -> ResponseKind {
    let names = ctx.host.protocol.headers();
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::OtherTarget;
    }
    if response.headers.contains_key(&names.not_executed) {
        return match response.status {
            StatusCode::BAD_REQUEST
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => ResponseKind::Refusal,
            _ => ResponseKind::Unproven,
        };
    }
    if response.status.is_success() && !response.headers.contains_key(&names.digest) {
        return ResponseKind::Unproven;
    }
    ResponseKind::Executed
}
