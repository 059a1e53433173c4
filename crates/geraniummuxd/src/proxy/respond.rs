//! Builds the responses that relay or replay an answer.

use super::body::{EndReport, LongBody, WholeBody};
use super::headers;
use super::job::Job;
use crate::response::{Body, OUTCOME_HEADER, REASON_HEADER, REPLAYED_HEADER};
use crate::upstream::Answer;
use bytes::Bytes;
use geraniummux_core::claim::StoredResponse;
use geraniummux_core::{Outcome, Reason};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::sync::oneshot;

/// Returns the response that relays a target's answer, and where its end is reported.
pub fn relayed(
    job: &Job,
    answer: Answer,
    outcome: Outcome,
) -> (Response<Body>, oneshot::Receiver<u64>) {
    let (report, end) = EndReport::new(job.transfer.clone());
    let (status, mut headers, body) = match answer {
        Answer::Whole { parts, body, .. } => {
            let mut headers = headers::for_caller(&parts.headers);
            fit_length(&job.method, parts.status, &mut headers);
            (parts.status, headers, WholeBody::new(body, report).boxed())
        }
        Answer::Long { prefix, head } => {
            let headers = headers::for_caller(&head.parts.headers);
            (head.parts.status, headers, LongBody::new(prefix, head, report).boxed())
        }
    };
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if outcome != Outcome::Served {
        let reason = HeaderValue::from_static(Reason::TargetFailed.as_str());
        headers.insert(REASON_HEADER, reason);
    }
    (respond(status, headers, body), end)
}

/// Returns the response that repeats a stored answer, and where its end is reported.
pub fn replayed(job: &Job, answer: StoredResponse) -> (Response<Body>, oneshot::Receiver<u64>) {
    let (report, end) = EndReport::new(job.transfer.clone());
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    fit_length(&job.method, status, &mut headers);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Served.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("1"));
    let body = WholeBody::new(Bytes::from(answer.body), report).boxed();
    (respond(status, headers, body), end)
}

/// Leaves the length of a whole body to hyper. A response to HEAD and a 304 name the length that
/// the body would have.
fn fit_length(method: &Method, status: StatusCode, headers: &mut HeaderMap) {
    if method != Method::HEAD && status != StatusCode::NOT_MODIFIED {
        headers.remove(header::CONTENT_LENGTH);
    }
}

fn respond(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut rsp = Response::new(body);
    *rsp.status_mut() = status;
    *rsp.headers_mut() = headers;
    rsp
}
