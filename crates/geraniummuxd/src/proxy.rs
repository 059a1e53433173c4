//! Accepts callers' requests, routes them and relays the answers.

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
use serde_json::json;
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

/// Accepts callers on `listener` until the task is dropped.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, shared.clone()));
            }
            // Out of file descriptors; one may be free shortly.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    // Losing the option only adds delay.
    let _ = stream.set_nodelay(true);
    let service = tower::service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(&shared, req).await) }
    });
    // A connection error concerns that caller only.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service))
        .await;
}

async fn handle(shared: &Shared, req: Request<Incoming>) -> Response<Body> {
    if req.uri().path() == ENTRY_HOSTS_PATH {
        return entry_hosts(shared);
    }
    let start = shared.clock.now();
    let in_force = shared.in_force();
    if in_force.config.generation == 0 {
        return reply::refusal(Outcome::NotRun, Reason::NotReady);
    }
    let (parts, body) = req.into_parts();
    let host = request_host(&parts);
    let Some(route) = in_force.router.find(host, parts.method.as_str(), parts.uri.path()) else {
        return reply::refusal(Outcome::NotRun, Reason::NoRoute);
    };
    let result = forward(&in_force, route, &parts, body).await;
    let outcome = result.as_ref().map_or_else(|(outcome, _)| *outcome, |_| Outcome::Served);
    let took = shared.clock.now().since(start);
    shared.telemetry.request(&route.tenant, &route.class, outcome, took);
    debug!(shared.log, "request"; "route" => &*route.name, "outcome" => outcome.as_str(),
        "took_us" => took.as_micros() as u64);
    result.unwrap_or_else(|(outcome, reason)| reply::refusal(outcome, reason))
}

fn entry_hosts(shared: &Shared) -> Response<Body> {
    let answer = json!({
        "hosts": [{
            "addr": shared.settings.advertised(),
            "failure_domain": shared.settings.failure_domain,
        }],
        "ttl_ms": shared.settings.entry_ttl_ms,
    });
    reply::json(http::StatusCode::OK, &answer)
}

fn request_host(parts: &Parts) -> &str {
    let authority = parts.uri.host();
    let header = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    authority.or(header).unwrap_or("")
}

async fn forward(
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
    let target = pick(in_force, route).ok_or((Outcome::NotRun, Reason::NoTarget))?;
    let req =
        upstream_request(parts, target, body).map_err(|_| (Outcome::NotRun, Reason::BadRequest))?;
    let timeout = Duration::from_millis(route.timeout_ms);
    let rsp = tokio::time::timeout(timeout, upstream::send(target.addr, req))
        .await
        .map_err(|_| (Outcome::Unknown, Reason::Deadline))?
        .map_err(|_| (Outcome::Unknown, Reason::TargetFailed))?;
    Ok(relay(rsp))
}

fn pick<'a>(in_force: &'a InForce, route: &Route) -> Option<&'a Target> {
    let pool = in_force.config.tables.pool(&route.pool)?;
    let usable: Vec<&Target> = pool.targets.iter().filter(|t| !t.leaving).collect();
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
