//! One request as it was received, with what was decided about it at the start.

use super::body::Transfer;
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

/// A request for which a route was found and whose body was read.
pub struct Job {
    /// State of the host.
    pub shared: Arc<Shared>,
    /// Generation of the configuration that the route is from.
    pub generation: u64,
    /// The host that the caller asked for.
    pub host: String,
    /// The route.
    pub route: Arc<Route>,
    /// Budgets and latency of the route.
    pub route_state: Arc<RouteState>,
    /// Where the response is sent.
    pub transfer: Transfer,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Host and port that the caller asked for, if not given by a header.
    pub authority: Option<String>,
    /// Headers that each attempt carries.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// When the request arrived.
    pub started: Time,
    /// The call depth of the caller's request.
    pub depth: u32,
    /// The deadline on both clocks.
    pub deadline: Time,
    /// See `deadline`.
    pub wall_deadline: UnixMs,
}

/// What the caller's headers say about a request.
pub struct Terms {
    /// The smaller of the caller's and the route's timeout.
    pub timeout: Duration,
    /// The call depth.
    pub depth: u32,
}

impl Terms {
    /// Reads the caller's headers.
    ///
    /// # Errors
    ///
    /// The request is malformed or names another tenant.
    pub fn read(parts: &Parts, route: &Route) -> Result<Self, (Outcome, Reason)> {
        let bad = (Outcome::NotRun, Reason::BadRequest);
        let text = |name| headers::single(&parts.headers, name).map_err(|()| bad);
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
        Ok(Terms {
            timeout: Duration::from_millis(timeout),
            depth: u32::try_from(depth).unwrap_or(u32::MAX),
        })
    }
}

impl Job {
    /// Returns the pool that serves the request under `in_force`, which may be newer than the route
    /// that the request was admitted by; `None` if no route matches any more.
    pub fn pool(&self, in_force: &InForce) -> Option<Arc<str>> {
        if in_force.config.generation == self.generation {
            return Some(self.route.pool.clone());
        }
        let path = self.path.split('?').next().unwrap_or("");
        let route = in_force.router.find(&self.host, self.method.as_str(), path)?;
        Some(route.pool.clone())
    }

    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.is_idempotent(self.method.as_str())
    }

    /// Returns the idempotency key, if it matters.
    pub fn key(&self) -> Option<&str> {
        if self.is_idempotent() {
            return None;
        }
        headers::single(&self.headers, headers::IDEMPOTENCY_KEY).ok().flatten()
    }

    /// Returns the request of one attempt, or `None` if it can't be sent.
    pub fn attempt(&self, id: &str, depth: u32, addr: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        let mut headers = self.headers.clone();
        headers::add_attempt(&mut headers, id, self.wall_deadline, depth);
        headers::add_host(&mut headers, self.authority.as_deref(), addr);
        *req.headers_mut() = headers;
        Some(req)
    }
}
