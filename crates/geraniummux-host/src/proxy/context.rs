//! One request as it was taken from the caller.

use crate::host::Host;
use bytes::Bytes;
use geraniummux_core::fleet::{FleetPool, FleetRoute};
use geraniummux_core::{Fingerprint, Time};
use http::HeaderValue;
use http::request::Parts;
use std::sync::Arc;
use std::time::Duration;

/// One request as it was taken from the caller.
pub struct RequestContext {
    /// The host.
    pub host: Arc<Host>,
    /// Identity of the request.
    pub id: HeaderValue,
    /// Its route.
    pub route: Arc<FleetRoute>,
    /// The pool that serves it.
    pub pool: Arc<FleetPool>,
    /// Version of the configuration that it is routed by.
    pub version: u64,
    /// Whether a route to the same pools is less urgent, or all are equal.
    pub urgent: bool,
    /// Head of the request.
    pub parts: Parts,
    /// Body of the request.
    pub body: Bytes,
    /// When it arrived.
    pub started: Time,
    /// When its answer is due: the caller's deadline or the route's timeout.
    pub limit: Time,
    /// Usual time to run it.
    pub usual: Duration,
    /// Usual size of its bodies, in bytes.
    pub usual_bytes: u32,
    /// Recognizes the request when it comes again.
    pub fingerprint: Fingerprint,
}

impl RequestContext {
    /// Returns the time until the answer is due.
    pub fn time_left(&self, now: Time) -> Duration {
        self.limit.since(now)
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns the request's identity for logs.
    pub fn id(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}
