//! Headers of forwarded requests and relayed responses.

use super::context::RequestContext;
use crate::protocol::header_value;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which is set again when the
/// message is forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// Parses a header that holds whole milliseconds; `None` if it is absent or not a number.
pub fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Returns the headers of a request as it is forwarded to a target; `None` if they can't name the target or the team.
pub fn for_target(ctx: &RequestContext, target: &str, time_left: Duration) -> Option<HeaderMap> {
    let names = ctx.host.protocol.headers();
    let mut out = end_to_end(&ctx.parts.headers);
    if !out.contains_key(HOST)
        && let Some(value) = ctx.parts.uri.host().and_then(|h| HeaderValue::from_str(h).ok())
    {
        out.insert(HOST, value);
    }
    out.insert(names.time_left_ms.clone(), HeaderValue::from(time_left.as_millis() as u64));
    out.insert(names.expected_target.clone(), header_value(target)?);
    if let Some(team) = &ctx.team {
        out.insert(names.team.clone(), header_value(&team.name)?);
    }
    Some(out)
}

/// Returns the end-to-end headers: all but hop-by-hop headers and those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || *name == KEEP_ALIVE
            || *name == EXPECT
            || connection_options.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()));
        if !is_hop_by_hop {
            out.append(name.clone(), value.clone());
        }
    }
    out
}
