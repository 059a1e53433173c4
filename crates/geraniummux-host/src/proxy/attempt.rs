//! One send of a request to a target.

use super::headers;
use super::job::Job;
use super::place::Placed;
use crate::upstream::{self, Answer, ExchangeError};
use geraniummux_core::fleet::{Fault, TargetReport};
use http::{Request, StatusCode, Version};
use http_body_util::Full;
use slog::info;
use std::sync::Arc;

/// How a send ended.
pub enum Sent {
    /// The target's whole answer.
    Answered(Answer),
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request, and its answer is lost.
    Lost(&'static str),
}

/// The end of a send.
pub struct Ended {
    /// The target.
    pub target: Arc<str>,
    /// How it ended.
    pub sent: Sent,
    /// What the target said of its load.
    pub report: Option<TargetReport>,
}

/// Sends a request to the target that it was placed at and waits for the answer.
pub async fn send(job: Arc<Job>, placed: Placed) -> Ended {
    let Placed { target, conn, latency_factor, .. } = placed;
    let host = &job.host;
    let mut report = None;
    let sent_at = host.now();
    let Some(req) = request(&job, &target) else {
        return Ended { target, sent: Sent::NotRun("unsendable"), report };
    };
    let result = upstream::exchange(conn, req).await;
    let now = host.now();
    let end = match result {
        Ok((answer, conn)) => {
            report = host.protocol.target_report(&answer.headers);
            if let Some(report) = report {
                host.fleet().table.on_report(now, &target, report);
            }
            let end = judge(&job, answer);
            if !matches!(end, Sent::Lost(_))
                && let Some(conn) = conn
            {
                host.upstream.keep(now, conn);
            }
            end
        }
        Err(e @ ExchangeError::NotSent) => Sent::NotRun(e.as_str()),
        Err(e) => Sent::Lost(e.as_str()),
    };
    let result = match &end {
        Sent::Answered(answer) if answer.status.is_server_error() => {
            host.on_fault(&target, Fault::ServerError);
            "server_error"
        }
        Sent::Answered(answer) => {
            let mut fleet = host.fleet();
            fleet.table.on_success(now, &target);
            let bytes = job.body.len() + answer.body.len();
            fleet.observe(&job.route, now.since(sent_at), latency_factor, bytes);
            "answered"
        }
        Sent::NotRun("other_target") => {
            host.fleet().table.on_identity_mismatch(now, &target);
            "other_target"
        }
        Sent::NotRun(reason) => {
            host.on_fault(&target, Fault::Refused);
            reason
        }
        Sent::Lost(reason) => {
            host.on_fault(&target, Fault::Broken);
            reason
        }
    };
    host.metrics.send(&job.pool.name, result);
    info!(host.log, "send"; "id" => job.id(), "target" => &*target, "result" => result,
        "stretch" => latency_factor, "expected_ms" => job.service_time.mul_f64(latency_factor).as_millis() as u64,
        "took_ms" => now.since(sent_at).as_millis() as u64,
        "slowdown" => report.map_or(0.0, |r| r.slowdown));
    Ended { target, sent: end, report }
}

fn request(job: &Job, target: &str) -> Option<Request<Full<bytes::Bytes>>> {
    let path = job.parts.uri.path_and_query()?.as_str();
    let left = job.time_left(job.host.now());
    let mut req = Request::builder()
        .method(job.parts.method.clone())
        .uri(path)
        .version(Version::HTTP_11)
        .body(Full::new(job.body.clone()))
        .ok()?;
    *req.headers_mut() = headers::for_target(job, target, left);
    Some(req)
}

/// Decides what an answer means.
fn judge(job: &Job, answer: Answer) -> Sent {
    let names = job.host.protocol.headers();
    let id = answer.headers.get(&names.request_id);
    if id.is_some_and(|id| *id != job.id) {
        return Sent::Lost("answer_of_other_request");
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun("other_target");
    }
    if answer.headers.contains_key(&names.not_executed) {
        return Sent::NotRun("refused");
    }
    let proven = id.is_some() && answer.headers.contains_key(&names.digest);
    if answer.status.is_success() && !proven {
        return Sent::Lost("unproven_answer");
    }
    Sent::Answered(answer)
}
