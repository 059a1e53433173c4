//! Proxies callers' requests: routes them, sends them to targets and relays the responses.
//!
//! [`handle`] is the entry point; `request` serves one routed request with `selection` and `attempt`.

mod attempt;
mod context;
mod headers;
mod request;
mod response;
pub(crate) mod selection;

pub use response::promises_no_execution;
pub use selection::recheck_leaving;

use crate::bodies::{self, BodyError};
use crate::host::Host;
use crate::stopping;
use bytes::Bytes;
use context::RequestContext;
use geraniummux_core::Fingerprint;
use geraniummux_core::fleet::{
    AdmissionRules, FleetRoute, KeyRefusal, RouteIndex, Team, identify_team,
};
use geraniummux_core::time::{scaled, seconds};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use http_body_util::Full;
use slog::{info, warn};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `Retry-After` of a host that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Retry-After` of a host whose configuration may lack a key: the interval of replication updates, with which a newer
/// configuration arrives at the latest unless this host is cut off.
const UNCONFIRMED_KEY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves one request of a caller, routed by `index`.
pub async fn handle<B>(
    host: &Arc<Host>,
    index: Option<&RouteIndex>,
    req: Request<B>,
) -> Response<Full<Bytes>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let (mut parts, body) = req.into_parts();
    let Some(index) = index else {
        warn!(host.log, "refused"; "reason" => "no_config", "path" => parts.uri.path());
        return response::retry_later(NO_CONFIG_RETRY_AFTER);
    };
    let name = host_name(&parts.headers, &parts.uri);
    let Some(route) = index.find(name, parts.uri.path()).cloned() else {
        info!(host.log, "refused"; "reason" => "no_route", "name" => name,
            "path" => parts.uri.path(), "version" => index.version);
        return response::local(StatusCode::NOT_FOUND);
    };
    let team = match identify(host, index, &route, &mut parts) {
        Ok(team) => team,
        Err(unserved) => return refuse(host, &route, None, &unserved),
    };
    match prepare(host, index, &route, team.clone(), parts, body).await {
        Ok(context) => request::run(Arc::new(context)).await,
        Err(unserved) => refuse(host, &route, team.as_deref(), &unserved),
    }
}

/// Returns the response to a request that failed in this host, and may have run.
pub fn failed_response() -> Response<Full<Bytes>> {
    response::local(StatusCode::BAD_GATEWAY)
}

/// Returns the route of a request; `None` if there is no configuration or no such route.
pub fn route_of<'a, B>(
    index: Option<&'a RouteIndex>,
    req: &Request<B>,
) -> Option<&'a Arc<FleetRoute>> {
    index?.find(host_name(req.headers(), req.uri()), req.uri().path())
}

/// Records a request that is not sent to any target, and returns the response to it.
fn refuse(
    host: &Host,
    route: &FleetRoute,
    team: Option<&Team>,
    unserved: &Unserved,
) -> Response<Full<Bytes>> {
    info!(host.log, "refused"; "reason" => unserved.reason, "route" => &*route.name,
        "body_bytes_held" => host.bodies.budget().held());
    let team = team.map(|t| &*t.name);
    host.metrics.request(&route.name, team, unserved.reason, Duration::ZERO);
    unserved.response()
}

/// Returns the team that a request belongs to, and removes the caller's key and what it sent as the name of a team
/// from its head, so that neither reaches a target or a log. Does nothing if callers need no keys.
fn identify(
    host: &Host,
    index: &RouteIndex,
    route: &FleetRoute,
    parts: &mut Parts,
) -> Result<Option<Arc<Team>>, Unserved> {
    if !index.removes_caller_identity() {
        return Ok(None);
    }
    let names = host.protocol.headers();
    // In this order, so that a configuration which is put in force meanwhile counts as newer than the index.
    let is_current =
        host.freshness().is_config_current(host.now()) && host.config_version() == index.version;
    let keys = parts.headers.get_all(&names.caller_key).iter().map(HeaderValue::as_bytes);
    let team = identify_team(index, route, keys, is_current);
    parts.headers.remove(&names.caller_key);
    parts.headers.remove(&names.team);
    team.map_err(Unserved::for_key)
}

/// Returns the host name that a request is addressed to; empty if there is none.
fn host_name<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let header = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    header.or(uri.host()).unwrap_or("")
}

/// A request that is not sent to any target.
struct Unserved {
    status: StatusCode,
    /// For logs and metrics.
    reason: &'static str,
    /// Time after which the caller may send the request again.
    retry_after: Option<Duration>,
}

impl Unserved {
    fn local(status: StatusCode, reason: &'static str) -> Self {
        Unserved { status, reason, retry_after: None }
    }

    /// Returns the rejection of a request with `time_left` until its deadline. Callers return at
    /// different times, so that they don't meet the same shortage together.
    fn retry_later(reason: &'static str, time_left: Duration) -> Self {
        let share = AdmissionRules::default().retry_after_share;
        let delay = scaled(time_left, share * (0.5 + 0.5 * rand::random::<f64>()));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Unserved { status, reason, retry_after: Some(delay) }
    }

    /// Returns the refusal of a request for its keys.
    fn for_key(refusal: KeyRefusal) -> Self {
        let reason = refusal.as_str();
        match refusal {
            KeyRefusal::NoKey | KeyRefusal::SeveralKeys | KeyRefusal::UnknownKey => {
                Unserved::local(StatusCode::UNAUTHORIZED, reason)
            }
            KeyRefusal::Unconfirmed => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let retry_after = Some(UNCONFIRMED_KEY_RETRY_AFTER);
                Unserved { status, reason, retry_after }
            }
        }
    }

    /// Returns the rejection of a request that other hosts can serve at once.
    fn elsewhere(reason: &'static str) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Unserved { status, reason, retry_after: Some(Duration::ZERO) }
    }

    fn response(&self) -> Response<Full<Bytes>> {
        match self.retry_after {
            Some(delay) => response::retry_later(delay),
            None => response::local(self.status),
        }
    }
}

/// Reads the body and collects what is needed to serve the request.
async fn prepare<B>(
    host: &Arc<Host>,
    index: &RouteIndex,
    route: &Arc<FleetRoute>,
    team: Option<Arc<Team>>,
    parts: Parts,
    body: B,
) -> Result<RequestContext, Unserved>
where
    B: Body<Data = Bytes> + Unpin,
{
    let started = host.now();
    let names = host.protocol.headers();
    let id = parts.headers.get(&names.request_id).cloned();
    let id = id.ok_or(Unserved::local(StatusCode::BAD_REQUEST, "no_request_id"))?;
    let time_left = headers::parse_millis(&parts.headers, &names.time_left_ms);
    let deadline = started + time_left.unwrap_or(route.timeout).min(route.timeout);
    let typical = *host.fleet().typical_request(&route.name, route.latency_target);
    let typical_response = typical.body_bytes as u64;
    let expected = typical_response.saturating_add(body.size_hint().lower());
    let max_request_body = index.limits.max_body_bytes as u64;
    if body.size_hint().lower() > max_request_body {
        return Err(Unserved::local(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let Some(mut memory) = host.bodies.admit(&route.name, expected) else {
        return Err(Unserved::retry_later("no_memory", deadline.since(started)));
    };
    let response_memory = memory.split(typical_response);
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        let whole = bodies::collect(body, max_request_body, memory);
        match tokio::time::timeout(deadline.since(started), whole).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(BodyError::TooLarge)) => {
                return Err(Unserved::local(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
            }
            Ok(Err(BodyError::NoMemory)) => {
                return Err(Unserved::retry_later("no_memory", deadline.since(host.now())));
            }
            Ok(Err(BodyError::Broken)) => {
                return Err(Unserved::local(StatusCode::BAD_REQUEST, "body_broken"));
            }
            Err(_) => return Err(Unserved::local(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
        }
    };
    let service_time = seconds(typical.service_time_s);
    if !stopping::ends_before_exit(host, deadline) {
        return Err(Unserved::elsewhere("stopping"));
    }
    let mut fleet = host.fleet();
    let pool = fleet.split(&route.name).next(route, rand::random::<f64>());
    let pool = pool.and_then(|name| index.pool(name)).cloned();
    let Some(pool) = pool else {
        return Err(Unserved::retry_later("no_pool", deadline.since(host.now())));
    };
    let opts = host.extra_attempt_options();
    fleet.extra_attempts(&pool.name).on_first_attempt(started, &opts);
    drop(fleet);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::new(&route.host, parts.method.as_str(), path, &body);
    Ok(RequestContext {
        host: host.clone(),
        id,
        urgent: index.is_urgent(route, context::priority(route, team.as_deref())),
        route: route.clone(),
        team,
        pool,
        has_token: AtomicBool::new(false),
        config_version: index.version,
        parts,
        body,
        started,
        deadline,
        service_time,
        typical_body_bytes: typical.body_bytes as u32,
        response_memory: Mutex::new(Some(response_memory)),
        fingerprint,
    })
}
