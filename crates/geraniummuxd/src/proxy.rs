//! Accepts callers' requests, routes them and relays the answers.

use crate::control::{self, Phase};
use crate::entry;
use crate::reply::{self, Body, OUTCOME_HEADER};
use crate::shared::{InForce, Shared};
use crate::upstream;
use bytes::Bytes;
use geraniummux_core::config::{Route, Target};
use geraniummux_core::{Outcome, Reason};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use rand::RngExt;
use slog::debug;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Path on which callers ask for entry hosts.
const ENTRY_HOSTS_PATH: &str = "/.well-known/geraniummux/hosts";

/// Headers that concern one connection only and are never relayed (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Accepts callers on `listener` until the shutdown stops it.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut phase = shared.control.phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p >= Phase::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, shared.clone()));
            }
            // Out of file descriptors; one may be free shortly.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _guard = shared.control.connection();
    let mut draining = shared.control.phase();
    let mut aborting = shared.control.phase();
    // Losing the option only adds delay.
    let _ = stream.set_nodelay(true);
    let service = tower::service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(&shared, req).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let conn = builder.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut conn = std::pin::pin!(conn);
    // A connection error concerns that caller only.
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = draining.wait_for(|p| *p >= Phase::Draining) => conn.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = conn => {}
        _ = aborting.wait_for(|p| *p >= Phase::Aborting) => {}
    }
}

async fn respond(shared: &Shared, req: Request<Incoming>) -> Response<Body> {
    let http1 = req.version() <= http::Version::HTTP_11;
    let mut rsp = handle(shared, req).await;
    // While callers still learn that this host leaves, their idle connections are closed by the
    // answer to their next request, so that none is closed while a request is on its way.
    if http1 && *shared.control.phase().borrow() > Phase::Serving {
        rsp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    rsp
}

async fn handle(shared: &Shared, req: Request<Incoming>) -> Response<Body> {
    if req.uri().path() == ENTRY_HOSTS_PATH {
        return entry::answer(shared, req.uri().query());
    }
    let start = shared.clock.now();
    let in_force = match control::fresh(shared).await {
        Ok(in_force) => in_force,
        Err(reason) => return reply::refusal(Outcome::NotRun, reason),
    };
    let (parts, body) = req.into_parts();
    let host = request_host(&parts);
    let Some(route) = in_force.router.find(host, parts.method.as_str(), parts.uri.path()) else {
        return reply::refusal(Outcome::NotRun, Reason::NoRoute);
    };
    let result = forward(shared, &in_force, route, &parts, body).await;
    let outcome = result.as_ref().map_or_else(|(outcome, _)| *outcome, |_| Outcome::Served);
    if outcome == Outcome::Served {
        shared.control.count(&shared.clock, &route.tenant, &route.class);
    }
    let took = shared.clock.now().since(start);
    shared.telemetry.request(&route.tenant, &route.class, outcome, took);
    debug!(shared.log, "request"; "route" => &*route.name, "outcome" => outcome.as_str(),
        "took_us" => took.as_micros() as u64);
    result.unwrap_or_else(|(outcome, reason)| reply::refusal(outcome, reason))
}

fn request_host(parts: &Parts) -> &str {
    let authority = parts.uri.host();
    let header = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    authority.or(header).unwrap_or("")
}

async fn forward(
    shared: &Shared,
    in_force: &InForce,
    route: &Route,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<Body>, (Outcome, Reason)> {
    let limit = route.max_body_bytes as usize;
    let body = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|_| (Outcome::NotRun, Reason::BodyTooLarge))?
        .to_bytes();
    let target = pick(shared, in_force, route).ok_or((Outcome::NotRun, Reason::NoTarget))?;
    let req =
        upstream_request(parts, target, body).map_err(|_| (Outcome::NotRun, Reason::BadRequest))?;
    let timeout = Duration::from_millis(route.timeout_ms);
    let rsp = tokio::time::timeout(timeout, upstream::send(target.addr, req))
        .await
        .map_err(|_| (Outcome::Unknown, Reason::Deadline))?
        .map_err(|_| (Outcome::Unknown, Reason::TargetFailed))?;
    Ok(relay(rsp))
}

fn pick<'a>(shared: &Shared, in_force: &'a InForce, route: &Route) -> Option<&'a Target> {
    let pool = in_force.config.tables.pool(&route.pool)?;
    let now = shared.clock.now();
    let leaving = |t: &Target| t.leaving || shared.control.is_draining(t.addr, now);
    let usable: Vec<&Target> = pool.targets.iter().filter(|t| !leaving(t)).collect();
    if usable.is_empty() {
        return None;
    }
    Some(usable[rand::rng().random_range(0..usable.len())])
}

fn upstream_request(
    parts: &Parts,
    target: &Target,
    body: Bytes,
) -> http::Result<Request<Full<Bytes>>> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut req =
        Request::builder().method(parts.method.clone()).uri(path).body(Full::new(body))?;
    *req.headers_mut() = end_to_end_headers(&parts.headers);
    if !req.headers().contains_key(header::HOST) {
        let host = HeaderValue::from_str(&target.addr.to_string())?;
        req.headers_mut().insert(header::HOST, host);
    }
    Ok(req)
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}

fn relay(rsp: Response<Incoming>) -> Response<Body> {
    let (parts, body) = rsp.into_parts();
    let mut out = Response::new(body.map_err(io::Error::other).boxed());
    *out.status_mut() = parts.status;
    *out.headers_mut() = end_to_end_headers(&parts.headers);
    out.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Served.as_str()));
    out
}
