//! Tells callers which entry hosts to use.

use crate::query;
use crate::reply::{self, Body};
use crate::shared::Shared;
use geraniummux_core::EntryResponse;
use geraniummux_core::config_sync::Permit;
use http::{Response, StatusCode, Uri};

/// Returns the answer for a caller; `uri` is that of its request.
pub fn respond(shared: &Shared, uri: &Uri) -> Response<Body> {
    let domain = query::value(uri, "domain").filter(|d| !d.is_empty());
    let now = shared.clock.now();
    let mut answer = {
        let state = shared.control.lock();
        let mut answer = EntryResponse::new(&state.members, domain, |_| 1.0, &mut rand::rng());
        // A host that is cut off refuses requests.
        if matches!(state.config.permit(now), Permit::Refuse(_)) {
            let own = shared.settings.advertised();
            answer.hosts.retain(|h| h.addr != own);
        }
        answer
    };
    answer.ttl_ms = shared.settings.entry_ttl_ms;
    reply::json(StatusCode::OK, &answer)
}
