//! Serves the host list to callers, and readiness and metrics to the platform.

use crate::host::Host;
use bytes::Bytes;
use geraniummux_core::{Member, MemberState, Membership};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use rand::seq::SliceRandom;
use slog::error;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of hosts in a host list.
const MAX_HOSTS: usize = 64;
/// Number of hosts in the caller's failure domain below which other domains' hosts are listed too.
const MIN_SAME_DOMAIN_HOSTS: usize = 2;

/// Responds to a request for the host list.
pub fn hosts<B>(host: &Arc<Host>, req: &Request<B>) -> Response<Full<Bytes>> {
    let Some(location) = host.protocol.parse_host_list_request(req.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    // A host that has just become ready lists itself at once instead of from the next membership tick
    // on.
    if host.is_ready() {
        host.members().enter_service();
    }
    let addrs = select_hosts(&host.members(), location.failure_domain.as_deref(), &mut rand::rng());
    if addrs.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (content_type, body) = host.protocol.host_list_response(&addrs, host.settings.load().ttl());
    let mut rsp = Response::new(Full::new(body));
    rsp.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    rsp
}

/// Returns the addresses of hosts for a caller in `domain`, in random order: those in its failure
/// domain, followed by the others if there are fewer than [`MIN_SAME_DOMAIN_HOSTS`].
fn select_hosts<R>(members: &Membership, domain: Option<&str>, rng: &mut R) -> Vec<SocketAddr>
where
    R: rand::Rng + ?Sized,
{
    let all = std::iter::once(members.local_member()).chain(members.peers());
    let (mut same_domain, mut other_domains): (Vec<&Member>, Vec<&Member>) = all
        .filter(|m| m.state == MemberState::Alive)
        .partition(|m| domain.is_none_or(|d| *d == *m.failure_domain));
    same_domain.shuffle(rng);
    other_domains.shuffle(rng);
    if same_domain.len() < MIN_SAME_DOMAIN_HOSTS {
        same_domain.extend(other_domains);
    }
    same_domain.iter().take(MAX_HOSTS).map(|m| m.http_addr).collect()
}

/// Responds to the platform's readiness check.
pub fn readiness<B>(host: &Arc<Host>, req: &Request<B>) -> Response<Full<Bytes>> {
    if !host.protocol.is_readiness_request(req.uri()) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    empty_response(if host.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Responds with the metrics as text.
pub fn metrics(host: &Arc<Host>) -> Response<Full<Bytes>> {
    match host.metrics.text() {
        Ok(text) => {
            let mut rsp = Response::new(Full::from(text));
            let text = HeaderValue::from_static("text/plain; version=0.0.4");
            rsp.headers_mut().insert(header::CONTENT_TYPE, text);
            rsp
        }
        Err(e) => {
            error!(host.log, "metrics_failed"; "error" => e.to_string());
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut rsp = Response::new(Full::default());
    *rsp.status_mut() = status;
    rsp
}
