//! Serves the list of entry hosts that callers may send requests to.

use crate::query;
use crate::response::{self, Body};
use crate::shared::Shared;
use geraniummux_core::EntryResponse;
use geraniummux_core::config_sync::Permit;
use http::{Response, StatusCode, Uri};

/// Returns the entry hosts for a caller, those in its failure domain first. `uri` is the request's
/// and may name the caller's failure domain in the parameter `domain`.
pub fn respond(shared: &Shared, uri: &Uri) -> Response<Body> {
    let failure_domain = query::value(uri, "domain").filter(|d| !d.is_empty());
    let now = shared.clock.now();
    let mut response = {
        let state = shared.control.lock();
        let mut response =
            EntryResponse::new(&state.members, failure_domain, |_| 1.0, &mut rand::rng());
        // This host refuses requests at present, so callers should use others.
        if matches!(state.config.permit(now), Permit::Refuse(_)) {
            let own = shared.settings.advertised();
            response.hosts.retain(|h| h.addr != own);
        }
        response
    };
    response.ttl_ms = shared.settings.entry_ttl_ms;
    response::json(StatusCode::OK, &response)
}
