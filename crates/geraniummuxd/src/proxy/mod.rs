//! Takes callers' requests, routes them and relays the answers.

mod accept;
mod attempts;
mod body;
mod driver;
mod headers;
mod http2;
mod job;
mod respond;

pub use accept::serve;

use crate::control::{self, Phase};
use crate::entry;
use crate::reply::{self, Body};
use crate::shared::Shared;
use body::Transfer;
use bytes::Bytes;
use driver::Driver;
use geraniummux_core::config::Route;
use geraniummux_core::{Fingerprint, Outcome, Reason, Time};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use job::{Job, Terms};
use std::sync::Arc;
use std::time::Duration;

/// Path on which callers ask for entry hosts.
const ENTRY_HOSTS_PATH: &str = "/.well-known/geraniummux/hosts";

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type Refused = (Outcome, Reason);

async fn handle<B>(shared: Arc<Shared>, transfer: Transfer, req: Request<B>) -> Response<Body>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    if req.uri().path() == ENTRY_HOSTS_PATH {
        return entry::respond(&shared, req.uri());
    }
    let http1 = req.version() <= Version::HTTP_11;
    let phase = shared.control.phase();
    let in_flight = shared.data.begin();
    let result = match admit(shared, transfer, req).await {
        Ok(job) => {
            let (driver, rsp) = Driver::new(job);
            // The request goes on if the caller leaves, until its attempts are cancelled.
            tokio::spawn(async move {
                driver.run().await;
                drop(in_flight);
            });
            rsp.await.map_err(|_| (Outcome::Unknown, Reason::TargetFailed))
        }
        Err(refused) => Err(refused),
    };
    let mut rsp = result.unwrap_or_else(|(outcome, reason)| reply::refusal(outcome, reason));
    // While callers still learn that this host leaves, their idle connections are closed by the
    // answer to their next request, so that none is closed while a request is on its way.
    if http1 && *phase.borrow() > Phase::Serving {
        rsp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    rsp
}

/// Finds the route of a request and reads its body.
async fn admit<B>(shared: Arc<Shared>, transfer: Transfer, req: Request<B>) -> Result<Job, Refused>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let started = shared.clock.now();
    let in_force =
        control::await_config(&shared).await.map_err(|reason| (Outcome::NotRun, reason))?;
    let (parts, body) = req.into_parts();
    // A response of unknown length over HTTP/1.0 ends with the connection, so that a truncated one
    // looks whole.
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err((Outcome::NotRun, Reason::BadRequest));
    }
    let host = request_host(&parts);
    let route = in_force
        .router
        .find(host, parts.method.as_str(), parts.uri.path())
        .ok_or((Outcome::NotRun, Reason::NoRoute))?
        .clone();
    let origin = Origin { generation: in_force.config.generation, host: host.to_owned(), started };
    let job = prepare(&shared, transfer, &route, parts, body, origin).await;
    if let Err((outcome, _)) = &job {
        let took = shared.clock.now().since(started);
        shared.telemetry.record_request(&route.tenant, &route.class, *outcome, false, took);
    }
    job
}

fn request_host(parts: &Parts) -> &str {
    let authority = parts.uri.host();
    let header = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    authority.or(header).unwrap_or("")
}

/// How a request came to its route.
struct Origin {
    generation: u64,
    host: String,
    started: Time,
}

async fn prepare<B>(
    shared: &Arc<Shared>,
    transfer: Transfer,
    route: &Arc<Route>,
    parts: Parts,
    body: B,
    origin: Origin,
) -> Result<Job, Refused>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let Origin { generation, host, started } = origin;
    let terms = Terms::read(&parts, route)?;
    let wall_deadline = shared.clock.wall() + terms.timeout;
    let body = tokio::time::timeout(terms.timeout, read_body(body, route.max_body_bytes))
        .await
        .map_err(|_| (Outcome::NotRun, Reason::Deadline))??;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::new(&route.tenant, parts.method.as_str(), path, &body);
    Ok(Job {
        shared: shared.clone(),
        generation,
        host,
        route: route.clone(),
        route_state: shared.data.routes.get(route, started),
        transfer,
        path: path.to_owned(),
        authority: parts.uri.authority().map(|a| a.as_str().to_owned()),
        headers: headers::for_target(&parts.headers),
        method: parts.method,
        body,
        fingerprint,
        started,
        depth: terms.depth,
        deadline: started + terms.timeout,
        wall_deadline,
    })
}

async fn read_body<B>(body: B, limit: u64) -> Result<Bytes, Refused>
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

/// Closes connections that were idle for too long, until the task is dropped.
pub async fn sweep_connections(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(Duration::from_secs(5));
    loop {
        interval.tick().await;
        let hosts = shared.control.lock().members.live_peers().count() + 1;
        shared.data.connections.sweep(hosts);
    }
}
