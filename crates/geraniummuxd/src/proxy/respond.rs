//! Builds the responses that relay a target's response or replay a stored one.

use super::body::{BufferedBody, EndNotifier, StreamedBody};
use super::context::RequestContext;
use super::headers;
use crate::response::{Body, OUTCOME_HEADER, REASON_HEADER, REPLAYED_HEADER};
use crate::upstream::UpstreamResponse;
use bytes::Bytes;
use geraniummux_core::claim::StoredResponse;
use geraniummux_core::{Outcome, Reason};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::sync::oneshot;

/// Returns the response that relays a target's response, with the outcome in a header, and the
/// receiver of the response's end position (see [`EndNotifier`]). An outcome other than `served`
/// gets the reason `target-failed`.
pub fn relayed(
    ctx: &RequestContext,
    response: UpstreamResponse,
    outcome: Outcome,
) -> (Response<Body>, oneshot::Receiver<u64>) {
    let (end_notifier, end) = EndNotifier::new(ctx.caller.clone());
    let (status, mut headers, body) = match response {
        UpstreamResponse::Buffered { parts, body, .. } => {
            let mut headers = headers::for_caller(&parts.headers);
            adjust_content_length(&ctx.method, parts.status, &mut headers);
            (parts.status, headers, BufferedBody::new(body, end_notifier).boxed())
        }
        UpstreamResponse::Streaming { prefix, head } => {
            let headers = headers::for_caller(&head.parts.headers);
            (head.parts.status, headers, StreamedBody::new(prefix, head, end_notifier).boxed())
        }
    };
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if outcome != Outcome::Served {
        let reason = HeaderValue::from_static(Reason::TargetFailed.as_str());
        headers.insert(REASON_HEADER, reason);
    }
    (build_response(status, headers, body), end)
}

/// Returns the response that replays a stored response, marked with [`REPLAYED_HEADER`], and the
/// receiver of the response's end position (see [`EndNotifier`]).
pub fn replayed(
    ctx: &RequestContext,
    response: StoredResponse,
) -> (Response<Body>, oneshot::Receiver<u64>) {
    let (end_notifier, end) = EndNotifier::new(ctx.caller.clone());
    // A claim replays only final statuses; anything else must not become a success.
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = HeaderMap::new();
    for (name, value) in &response.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    adjust_content_length(&ctx.method, status, &mut headers);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Served.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("1"));
    let body = BufferedBody::new(Bytes::from(response.body), end_notifier).boxed();
    (build_response(status, headers, body), end)
}

/// Removes `content-length`, which hyper sets for a buffered body. It is kept in a response to HEAD
/// and in a 304, where it is the length that the body would have.
fn adjust_content_length(method: &Method, status: StatusCode, headers: &mut HeaderMap) {
    if method != Method::HEAD && status != StatusCode::NOT_MODIFIED {
        headers.remove(header::CONTENT_LENGTH);
    }
}

fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut rsp = Response::new(body);
    *rsp.status_mut() = status;
    *rsp.headers_mut() = headers;
    rsp
}
