//! The proxy: receives callers' requests, routes them and relays the responses of targets.
//!
//! [`serve`] accepts connections. Each request is routed and read completely, and then a `Driver`
//! performs the actions that the core's state machine decides on.

mod accept;
mod attempts;
mod body;
mod context;
mod driver;
mod headers;
mod http2;
mod respond;

pub use accept::serve;

use crate::control::{self, Phase};
use crate::entry;
use crate::response::{self, Body};
use crate::shared::Shared;
use body::CallerStream;
use bytes::Bytes;
use context::{RequestContext, RequestLimits};
use driver::Driver;
use geraniummux_core::config::Route;
use geraniummux_core::{Fingerprint, Outcome, Reason, Time};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::sync::Arc;
use std::time::Duration;

/// Path at which callers get the list of entry hosts.
const ENTRY_HOSTS_PATH: &str = "/.well-known/geraniummux/hosts";

type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Outcome and reason of a request that is rejected before it is driven.
type Rejection = (Outcome, Reason);

/// Handles one request and returns the response for its caller.
async fn handle<B>(shared: Arc<Shared>, caller: CallerStream, req: Request<B>) -> Response<Body>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    if req.uri().path() == ENTRY_HOSTS_PATH {
        return entry::respond(&shared, req.uri());
    }
    let http1 = req.version() <= Version::HTTP_11;
    let phase = shared.control.phase();
    let in_flight = shared.data.track_in_flight();
    let result = match receive(shared, caller, req).await {
        Ok(context) => {
            let (driver, rsp) = Driver::new(context);
            // The driver runs on if the caller disconnects, until its attempts are cancelled.
            tokio::spawn(async move {
                driver.run().await;
                drop(in_flight);
            });
            rsp.await.map_err(|_| (Outcome::Unknown, Reason::TargetFailed))
        }
        Err(rejection) => Err(rejection),
    };
    let mut rsp = result.unwrap_or_else(|(outcome, reason)| response::refusal(outcome, reason));
    // While this host's departure is still being announced to callers, their idle connections are
    // closed with the response to the next request, so that none is closed while a request is on
    // its way.
    if http1 && *phase.borrow() > Phase::Serving {
        rsp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    rsp
}

/// Routes a request and reads its body.
async fn receive<B>(
    shared: Arc<Shared>,
    caller: CallerStream,
    req: Request<B>,
) -> Result<RequestContext, Rejection>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let started = shared.clock.now();
    let in_force =
        control::await_config(&shared).await.map_err(|reason| (Outcome::NotRun, reason))?;
    let (parts, body) = req.into_parts();
    // Over HTTP/1.0, a response of unknown length is delimited by the end of the connection, so
    // that the caller can't detect a truncated one.
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err((Outcome::NotRun, Reason::BadRequest));
    }
    let host = request_host(&parts);
    let route = in_force
        .router
        .find(host, parts.method.as_str(), parts.uri.path())
        .ok_or((Outcome::NotRun, Reason::NoRoute))?
        .clone();
    let routing =
        RoutingInfo { generation: in_force.config.generation, host: host.to_owned(), started };
    let context = build_context(&shared, caller, &route, parts, body, routing).await;
    if let Err((outcome, _)) = &context {
        let took = shared.clock.now().since(started);
        shared.telemetry.record_request(&route.tenant, &route.class, *outcome, false, took);
    }
    context
}

/// Returns the host that a request names, from its URI or the `Host` header, or an empty string.
fn request_host(parts: &Parts) -> &str {
    let authority = parts.uri.host();
    let header = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    authority.or(header).unwrap_or("")
}

/// Data of the route lookup that the request's context keeps.
struct RoutingInfo {
    /// Generation of the configuration that the route is from.
    generation: u64,
    /// The host that the caller named.
    host: String,
    /// When the request arrived.
    started: Time,
}

/// Checks the caller's headers, reads the body and returns the context of the request.
async fn build_context<B>(
    shared: &Arc<Shared>,
    caller: CallerStream,
    route: &Arc<Route>,
    parts: Parts,
    body: B,
    routing: RoutingInfo,
) -> Result<RequestContext, Rejection>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let RoutingInfo { generation, host, started } = routing;
    let limits = RequestLimits::read(&parts, route)?;
    let wall_deadline = shared.clock.wall() + limits.timeout;
    let body = tokio::time::timeout(limits.timeout, read_body(body, route.max_body_bytes))
        .await
        .map_err(|_| (Outcome::NotRun, Reason::Deadline))??;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::new(&route.tenant, parts.method.as_str(), path, &body);
    Ok(RequestContext {
        shared: shared.clone(),
        generation,
        host,
        route: route.clone(),
        route_state: shared.data.routes.get(route, started),
        caller,
        path: path.to_owned(),
        authority: parts.uri.authority().map(|a| a.as_str().to_owned()),
        headers: headers::for_target(&parts.headers),
        method: parts.method,
        body,
        fingerprint,
        started,
        depth: limits.depth,
        deadline: started + limits.timeout,
        wall_deadline,
    })
}

async fn read_body<B>(body: B, limit: u64) -> Result<Bytes, Rejection>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match std::pin::pin!(Limited::new(body, limit)).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err((Outcome::NotRun, Reason::BodyTooLarge)),
        Err(_) => Err((Outcome::NotRun, Reason::BadRequest)),
    }
}

/// Closes connections to targets that were idle for too long, and adjusts the limit of idle
/// connections to the number of entry hosts, every 5 s until the task is dropped.
pub async fn sweep_connections(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(Duration::from_secs(5));
    loop {
        interval.tick().await;
        let hosts = shared.control.lock().members.live_peers().count() + 1;
        shared.data.connections.sweep(hosts);
    }
}
