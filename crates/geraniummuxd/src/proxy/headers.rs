//! Headers of relayed requests and responses.

use crate::response::{OUTCOME_HEADER, REASON_HEADER, REPLAYED_HEADER};
use crate::upstream::REQUEST_ID;
use geraniummux_core::UnixMs;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use std::net::SocketAddr;

/// Request header with the caller's timeout in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";
/// Request header with the tenant that the caller belongs to.
pub const TENANT: &str = "x-tenant";
/// Request header that identifies a non-idempotent request when the caller retries it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the absolute deadline in Unix milliseconds.
pub const DEADLINE: &str = "x-request-deadline";
/// Request header with the call depth, which each hop increases by 1.
pub const DEPTH: &str = "x-request-depth";
/// Response header in which a target declares that it did not run the request.
pub const REFUSED: &str = "x-request-refused";
/// Response header with the target's state; `draining` declares that the target is leaving.
pub const TARGET_STATE: &str = "x-target-state";
/// Response header with a target's load report.
pub const LOAD_REPORT: &str = "endpoint-load-metrics";

/// Hop-by-hop headers, which are never relayed (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// Hop-by-hop headers that the `http` crate has no constants for.
const HOP_BY_HOP_NONSTANDARD: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Response headers that are meant only for entry hosts, or that only entry hosts set. They are
/// removed from a target's response before it is relayed to the caller.
const INTERNAL_HEADERS: [&str; 7] = [
    REQUEST_ID,
    REFUSED,
    TARGET_STATE,
    LOAD_REPORT,
    OUTCOME_HEADER,
    REASON_HEADER,
    REPLAYED_HEADER,
];

/// Returns the only value of a header, or `None` if it is absent.
///
/// # Errors
///
/// Fails if there are several values or the value isn't ASCII text.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| ()),
        _ => Err(()),
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NONSTANDARD {
        headers.remove(name);
    }
}

/// Returns the headers of a caller's request that each attempt carries.
pub fn for_target(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    // The body has been received completely and is sent with its own length, so that there is no
    // `100 Continue` to wait for. The deadline replaces the timeout.
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers.remove(TIMEOUT);
    headers
}

/// Adds the id, deadline and call depth of one attempt.
pub fn add_attempt_headers(headers: &mut HeaderMap, id: &str, deadline: UnixMs, depth: u32) {
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(DEADLINE, HeaderValue::from(deadline.0));
    headers.insert(DEPTH, HeaderValue::from(depth));
}

/// Adds a `Host` header if the caller's request has none, as over HTTP/2: the authority of the
/// request, or else the target's address.
pub fn add_host(headers: &mut HeaderMap, authority: Option<&str>, addr: SocketAddr) {
    if headers.contains_key(header::HOST) {
        return;
    }
    let host = authority.map_or_else(|| addr.to_string(), str::to_owned);
    if let Ok(host) = HeaderValue::from_str(&host) {
        headers.insert(header::HOST, host);
    }
}

/// Returns the headers of a target's response that are relayed to the caller.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    for name in INTERNAL_HEADERS {
        headers.remove(name);
    }
    headers
}
