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
/// Request header that identifies a non-idempotent request over its repeats.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the absolute deadline in Unix milliseconds.
pub const DEADLINE: &str = "x-request-deadline";
/// Request header with the call depth.
pub const DEPTH: &str = "x-request-depth";
/// Response header by which a target declares that it did not run the request.
pub const REFUSED: &str = "x-request-refused";
/// Response header by which a target declares that it is leaving.
pub const TARGET_STATE: &str = "x-target-state";
/// Response header with a target's load report.
pub const LOAD_REPORT: &str = "endpoint-load-metrics";

/// Headers that concern one connection only and are never relayed (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
const HOP_BY_HOP_UNREGISTERED: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Headers between a target and its entry host, which callers neither need nor may be told by a
/// target.
const TARGET_ONLY: [&str; 7] = [
    REQUEST_ID,
    REFUSED,
    TARGET_STATE,
    LOAD_REPORT,
    OUTCOME_HEADER,
    REASON_HEADER,
    REPLAYED_HEADER,
];

/// Returns the only value of a header; `Err` if there are several or it isn't text.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| ()),
        _ => Err(()),
    }
}

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
    for name in HOP_BY_HOP_UNREGISTERED {
        headers.remove(name);
    }
}

/// Returns the headers of a caller's request as each attempt carries them.
pub fn for_target(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    // The body is sent whole with its own length, and the deadline is absolute.
    for name in [header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers.remove(TIMEOUT);
    headers
}

/// Adds the headers of one attempt.
pub fn add_attempt(headers: &mut HeaderMap, id: &str, deadline: UnixMs, depth: u32) {
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(DEADLINE, HeaderValue::from(deadline.0));
    headers.insert(DEPTH, HeaderValue::from(depth));
}

/// Adds the `Host` header if the caller's request has none, as over HTTP/2.
pub fn add_host(headers: &mut HeaderMap, authority: Option<&str>, addr: SocketAddr) {
    if headers.contains_key(header::HOST) {
        return;
    }
    let host = authority.map_or_else(|| addr.to_string(), str::to_owned);
    if let Ok(host) = HeaderValue::from_str(&host) {
        headers.insert(header::HOST, host);
    }
}

/// Returns the headers of a target's answer as the caller gets them.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    for name in TARGET_ONLY {
        headers.remove(name);
    }
    headers
}
