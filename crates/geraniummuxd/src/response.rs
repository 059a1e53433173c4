//! Responses that an entry host generates itself, and the headers that it adds to responses.

use bytes::Bytes;
use geraniummux_core::{Outcome, Reason};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};

/// Response header with the outcome of the request.
pub const OUTCOME_HEADER: &str = "geraniummux-outcome";
/// Response header with the reason why a request was not served.
pub const REASON_HEADER: &str = "geraniummux-reason";
/// Response header that marks a replay of the stored response to an earlier request with the same
/// idempotency key.
pub const REPLAYED_HEADER: &str = "geraniummux-replayed";

/// The body of every response to a caller.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Returns a body with the given content.
pub fn full<B>(content: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(content.into()).map_err(|never| match never {}).boxed()
}

/// Returns the error response for a request that was not served. A 503 asks the caller to retry
/// after 1 s.
pub fn refusal(outcome: Outcome, reason: Reason) -> Response<Body> {
    let mut rsp = Response::new(full(format!("{outcome}: {reason}\n")));
    *rsp.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = rsp.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason.as_str()));
    if rsp.status() == StatusCode::SERVICE_UNAVAILABLE {
        rsp.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    rsp
}

/// Returns a response with `value` as JSON, or a 500 if it can't be serialized.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string().into_bytes()),
    };
    let mut rsp = Response::new(full(body));
    *rsp.status_mut() = status;
    rsp.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    rsp
}
