//! Proxies callers' requests: routes them, sends them to targets and relays the responses.
//!
//! [`handle`] is the entry point; `request` serves one routed request with `selection` and `attempt`.

mod attempt;
mod context;
mod headers;
mod request;
mod response;
pub(crate) mod selection;

use crate::host::{Host, Phase};
use bytes::Bytes;
use context::RequestContext;
use geraniummux_core::Fingerprint;
use geraniummux_core::fleet::{FleetRoute, RouteIndex};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of a host that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Serves one request of a caller. While the host is stopping, the response closes the connection.
pub async fn handle(host: Arc<Host>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut rsp = respond(&host, req).await;
    if host.phase() > Phase::Serving {
        rsp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    rsp
}

async fn respond(host: &Arc<Host>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    let Some(index) = host.routes() else {
        warn!(host.log, "refused"; "reason" => "no_config", "path" => parts.uri.path());
        return response::retry_later(NO_CONFIG_RETRY_AFTER);
    };
    let name = host_name(&parts);
    let Some(route) = index.find(name, parts.uri.path()) else {
        info!(host.log, "refused"; "reason" => "no_route", "name" => name,
            "path" => parts.uri.path(), "version" => index.version);
        return response::local(StatusCode::NOT_FOUND);
    };
    match prepare(host, &index, route, parts, body).await {
        Ok(context) => request::run(Arc::new(context)).await,
        Err((status, reason)) => {
            info!(host.log, "refused"; "reason" => reason, "route" => &*route.name);
            host.metrics.request(&route.name, reason, Duration::ZERO);
            response::local(status)
        }
    }
}

/// Returns the host name that a request is addressed to; empty if there is none.
fn host_name(parts: &Parts) -> &str {
    let header = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    header.or(parts.uri.host()).unwrap_or("")
}

/// Reads the body and collects what is needed to serve the request. Fails with the status for the
/// caller and the reason for logs and metrics.
async fn prepare(
    host: &Arc<Host>,
    index: &RouteIndex,
    route: &Arc<FleetRoute>,
    parts: Parts,
    body: Incoming,
) -> Result<RequestContext, (StatusCode, &'static str)> {
    let started = host.now();
    let names = host.protocol.headers();
    let id = parts.headers.get(&names.request_id).cloned();
    let id = id.ok_or((StatusCode::BAD_REQUEST, "no_request_id"))?;
    let time_left = headers::parse_millis(&parts.headers, &names.time_left_ms);
    let deadline = started + time_left.unwrap_or(route.timeout).min(route.timeout);
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        let whole = Limited::new(body, index.limits.max_body_bytes).collect();
        match tokio::time::timeout(deadline.since(started), whole).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
            }
            Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "body_broken")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
        }
    };
    let mut fleet = host.fleet();
    let pool = fleet.split(&route.name).next(route, rand::random::<f64>());
    let pool = pool.and_then(|name| index.pool(name)).cloned();
    let pool = pool.ok_or((StatusCode::SERVICE_UNAVAILABLE, "no_pool"))?;
    let typical = *fleet.typical_request(&route.name, route.latency_target);
    let opts = host.extra_attempt_options();
    fleet.extra_attempts(&pool.name).on_first_attempt(started, &opts);
    drop(fleet);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::new(&route.host, parts.method.as_str(), path, &body);
    Ok(RequestContext {
        host: host.clone(),
        id,
        urgent: index.is_urgent(route),
        route: route.clone(),
        pool,
        config_version: index.version,
        parts,
        body,
        started,
        deadline,
        service_time: Duration::from_secs_f64(typical.service_time_s),
        typical_body_bytes: typical.body_bytes as u32,
        fingerprint,
    })
}
