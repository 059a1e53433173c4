//! The context of a request: its contents, route and deadline.

use super::body::CallerStream;
use super::headers;
use crate::routes::RouteState;
use crate::shared::{InForce, Shared};
use bytes::Bytes;
use geraniummux_core::config::Route;
use geraniummux_core::{Fingerprint, Outcome, Reason, Time, UnixMs};
use http::request::Parts;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request that was routed and read completely.
pub struct RequestContext {
    /// State of this host.
    pub shared: Arc<Shared>,
    /// Generation of the configuration that the route is from.
    pub generation: u64,
    /// The host that the caller named, for routing again after a change of the configuration.
    pub host: String,
    /// The route.
    pub route: Arc<Route>,
    /// Budgets and observed latency of the route.
    pub route_state: Arc<RouteState>,
    /// The connection and stream on which the response is sent.
    pub caller: CallerStream,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Host and port from the request's URI, as over HTTP/2; `None` if the URI is only a path.
    pub authority: Option<String>,
    /// Headers that each attempt carries.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Fingerprint that is equal for equal requests.
    pub fingerprint: Fingerprint,
    /// When the request arrived.
    pub started: Time,
    /// The call depth of the caller's request.
    pub depth: u32,
    /// The deadline on this host's monotonic clock.
    pub deadline: Time,
    /// The same deadline in wall-clock time, for the targets.
    pub wall_deadline: UnixMs,
}

/// Timeout and call depth of a request, from the caller's headers and the route.
pub struct RequestLimits {
    /// The smaller of the caller's and the route's timeout.
    pub timeout: Duration,
    /// The call depth of the caller's request.
    pub depth: u32,
}

impl RequestLimits {
    /// Checks and parses the caller's headers.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed or names a tenant other than the route's.
    pub fn read(parts: &Parts, route: &Route) -> Result<Self, (Outcome, Reason)> {
        let bad = (Outcome::NotRun, Reason::BadRequest);
        let text = |name| headers::single_value(&parts.headers, name).map_err(|()| bad);
        if text(headers::TENANT)?.is_some_and(|tenant| tenant != &*route.tenant) {
            return Err((Outcome::NotRun, Reason::WrongTenant));
        }
        if text(headers::IDEMPOTENCY_KEY)?.is_some_and(str::is_empty) {
            return Err(bad);
        }
        let number = |name, absent: u64| match text(name)? {
            None => Ok(absent),
            Some(value) => value.trim().parse::<u64>().map_err(|_| bad),
        };
        let timeout = number(headers::TIMEOUT, route.timeout_ms)?.min(route.timeout_ms);
        let depth = number(headers::DEPTH, 0)?;
        Ok(RequestLimits {
            timeout: Duration::from_millis(timeout),
            depth: u32::try_from(depth).unwrap_or(u32::MAX),
        })
    }
}

impl RequestContext {
    /// Returns the pool that serves the request under the configuration `in_force`, which may be
    /// newer than the request's route; `None` if no route matches any more.
    pub fn pool(&self, in_force: &InForce) -> Option<Arc<str>> {
        if in_force.config.generation == self.generation {
            return Some(self.route.pool.clone());
        }
        let path = self.path.split('?').next().unwrap_or("");
        let route = in_force.router.find(&self.host, self.method.as_str(), path)?;
        Some(route.pool.clone())
    }

    /// Returns whether the request is idempotent, so that it may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.is_idempotent(self.method.as_str())
    }

    /// Returns the idempotency key; `None` for an idempotent request, which needs none.
    pub fn idempotency_key(&self) -> Option<&str> {
        if self.is_idempotent() {
            return None;
        }
        headers::single_value(&self.headers, headers::IDEMPOTENCY_KEY).ok().flatten()
    }

    /// Returns the request of one attempt with id `id`, or `None` if it isn't a valid HTTP request.
    pub fn attempt_request(
        &self,
        id: &str,
        depth: u32,
        addr: SocketAddr,
    ) -> Option<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        let mut headers = self.headers.clone();
        headers::add_attempt_headers(&mut headers, id, self.wall_deadline, depth);
        headers::add_host(&mut headers, self.authority.as_deref(), addr);
        *req.headers_mut() = headers;
        Some(req)
    }
}
