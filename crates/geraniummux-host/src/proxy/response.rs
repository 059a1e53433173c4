//! Answers to callers.

use super::headers;
use crate::upstream::TargetResponse;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::time::Duration;

/// Returns an answer of the host's own, without a body.
pub fn own(status: StatusCode) -> Response<Full<Bytes>> {
    let mut rsp = Response::new(Full::default());
    *rsp.status_mut() = status;
    rsp
}

/// Returns the answer to a request that was not run and may come back after `delay`.
pub fn retry_later(delay: Duration) -> Response<Full<Bytes>> {
    let mut rsp = own(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        rsp.headers_mut().insert(header::RETRY_AFTER, value);
    }
    rsp
}

/// Returns a target's answer as it is relayed.
pub fn relayed(response: TargetResponse) -> Response<Full<Bytes>> {
    let mut rsp = Response::new(Full::new(response.body));
    *rsp.status_mut() = response.status;
    *rsp.headers_mut() = headers::end_to_end(&response.headers);
    rsp
}
