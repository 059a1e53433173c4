//! What is spoken to callers and targets, as far as it differs between platforms.

use bytes::Bytes;
use geraniummux_core::fleet::TargetReport;
use http::{HeaderMap, HeaderName, Uri};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names of headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// Time that the sender of a request waits for the answer, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Identity of the target that a request is meant for.
    pub expected_target: HeaderName,
    /// Identity of the target that answers a health check.
    pub answering_target: HeaderName,
    /// Present in an answer if the target did not run the request.
    pub not_executed: HeaderName,
    /// Digest of a target's answer; present in each whole answer.
    pub digest: HeaderName,
}

/// Where a caller is that asks for hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerLocation {
    /// Its failure domain, if it told.
    pub failure_domain: Option<Arc<str>>,
}

/// What is spoken to callers and targets.
pub trait Protocol: Send + Sync + 'static {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the load that a target reports in an answer.
    fn target_report(&self, headers: &HeaderMap) -> Option<TargetReport>;

    /// Returns whether a request to the readiness address asks for readiness.
    fn is_readiness_request(&self, uri: &Uri) -> bool;

    /// Returns who asks for hosts; `None` if a request to the directory address doesn't.
    fn parse_host_list_request(&self, uri: &Uri) -> Option<CallerLocation>;

    /// Encodes the answer that names hosts: content type and body.
    fn host_list_response(&self, hosts: &[SocketAddr], ttl: Duration) -> (&'static str, Bytes);
}
