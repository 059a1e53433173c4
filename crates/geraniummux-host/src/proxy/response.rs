//! Responses to callers.

use super::headers;
use crate::upstream::TargetResponse;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::time::Duration;

/// Returns a response that this host generates, without a body.
pub fn local(status: StatusCode) -> Response<Full<Bytes>> {
    let mut rsp = Response::new(Full::default());
    *rsp.status_mut() = status;
    rsp
}

/// Returns the response to a request that was not executed and may be sent again after `delay`, which
/// `Retry-After` gives in seconds with three decimals.
pub fn retry_later(delay: Duration) -> Response<Full<Bytes>> {
    rejection(StatusCode::SERVICE_UNAVAILABLE, delay)
}

/// Like [`retry_later`], with a status that promises that the request was not executed.
pub fn rejection(status: StatusCode, delay: Duration) -> Response<Full<Bytes>> {
    let mut rsp = local(status);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        rsp.headers_mut().insert(header::RETRY_AFTER, value);
    }
    rsp
}

/// Returns whether a status tells the caller that its request was not executed and may be sent again.
pub fn promises_no_execution(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Returns a target's response as it is relayed to the caller.
pub fn relayed(response: TargetResponse) -> Response<Full<Bytes>> {
    let mut rsp = Response::new(Full::new(response.body));
    *rsp.status_mut() = response.status;
    *rsp.headers_mut() = headers::end_to_end(&response.headers);
    rsp
}
