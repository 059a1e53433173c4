//! Platform-specific formats of the traffic with callers and targets: header names, load reports,
//! readiness checks and the host list.

use bytes::Bytes;
use geraniummux_core::fleet::{TargetDemand, TargetReport};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Returns a text as the value of a header; `None` if no header can hold it, or the receiver would drop blanks at its
/// ends.
pub fn header_value(text: &str) -> Option<HeaderValue> {
    let is_kept = !text.is_empty() && text.trim_matches([' ', '\t']).len() == text.len();
    HeaderValue::from_str(text).ok().filter(|_| is_kept)
}

/// Names of platform-specific headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies a request; targets echo it in their responses.
    pub request_id: HeaderName,
    /// Time for which the sender of a request still waits for the response, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Identity of the target that a request is addressed to.
    pub expected_target: HeaderName,
    /// Identity of the target that responds to a probe.
    pub answering_target: HeaderName,
    /// Present in a response if the target did not execute the request.
    pub not_executed: HeaderName,
    /// Digest of a target's response; present in every complete response.
    pub digest: HeaderName,
    /// Key by which a caller shows that it belongs to a team. Not sent to targets.
    pub caller_key: HeaderName,
    /// Name of the team that a request belongs to, for the target.
    pub team: HeaderName,
}

/// Location of a caller that requests the host list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerLocation {
    /// The caller's failure domain, if the request names it.
    pub failure_domain: Option<Arc<str>>,
}

/// A header of a target's response whose value is not one that a sound target sends.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{name}: {value:?} is out of range or can't be read")]
pub struct InvalidHeader {
    /// Name of the header.
    pub name: HeaderName,
    /// Its value.
    pub value: HeaderValue,
}

/// Platform-specific formats of the traffic with callers and targets.
pub trait Protocol: Send + Sync + 'static {
    /// Returns the names of platform-specific headers.
    fn headers(&self) -> &HeaderNames;

    /// Parses the load that a target reports in a response's headers; `None` if it reports none.
    ///
    /// # Errors
    ///
    /// Fails if the header can't be read or its figures are not plausible.
    fn target_report(&self, headers: &HeaderMap) -> Result<Option<TargetReport>, InvalidHeader>;

    /// Parses what a target demands of all hosts in a response's headers.
    ///
    /// # Errors
    ///
    /// Fails if a header can't be read or its figure is not plausible, unless the target is leaving.
    fn target_demand(&self, headers: &HeaderMap) -> Result<TargetDemand, InvalidHeader>;

    /// Parses the time for which a target says in a health response that it stays cold; `None` if it does not
    /// say.
    ///
    /// # Errors
    ///
    /// Fails if the header can't be read or its figure is not plausible.
    fn warm_up_left(&self, headers: &HeaderMap) -> Result<Option<Duration>, InvalidHeader>;

    /// Returns whether a request to the readiness address is a readiness check.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Parses a request to the directory address; `None` if it does not request the host list.
    fn parse_host_list_request(&self, uri: &Uri) -> Option<CallerLocation>;

    /// Encodes a host list that callers may use for `ttl`. Returns its content type and body.
    fn host_list_response(&self, hosts: &[SocketAddr], ttl: Duration) -> (&'static str, Bytes);
}
