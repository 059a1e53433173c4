//! A caller's request and what is fixed about it when it arrives.

use crate::allowances;
use crate::bodies::BodyMemory;
use crate::host::Host;
use bytes::Bytes;
use geraniummux_core::fleet::{FleetPool, FleetRoute, Team, TeamTerms};
use geraniummux_core::{Fingerprint, Time};
use http::HeaderValue;
use http::request::Parts;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A caller's request and what is fixed about it when it arrives.
pub struct RequestContext {
    /// The host that serves the request.
    pub host: Arc<Host>,
    /// Identity of the request, as the caller sent it.
    pub id: HeaderValue,
    /// The route that matches the request.
    pub route: Arc<FleetRoute>,
    /// The team that the request belongs to, if there are teams and it has the key of one.
    pub team: Option<Arc<Team>>,
    /// The pool that serves the request.
    pub pool: Arc<FleetPool>,
    /// Whether the request has a token of its team's allowance.
    pub has_token: AtomicBool,
    /// Version of the configuration by which the request is routed.
    pub config_version: u64,
    /// Whether another route to the same pools is less urgent than this one, or all are equally
    /// urgent.
    pub urgent: bool,
    /// Head of the request. If there are teams, it has neither the caller's key nor a name of a team.
    pub parts: Parts,
    /// Body of the request.
    pub body: Bytes,
    /// When the request arrived.
    pub started: Time,
    /// When the response is due: at the caller's deadline or the route's timeout, whichever is first.
    pub deadline: Time,
    /// Typical service time of the route's requests.
    pub service_time: Duration,
    /// Typical size of the bodies of a request and its response on this route, in bytes.
    pub typical_body_bytes: u32,
    /// Memory reserved for the response, until an attempt takes it.
    pub response_memory: Mutex<Option<BodyMemory>>,
    /// Identifies equal requests, so that those that crash targets can be blocked.
    pub fingerprint: Fingerprint,
}

impl RequestContext {
    /// Returns the time until the response is due.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns memory for a response: what is reserved for it, unless another attempt has taken that.
    pub fn take_response_memory(&self) -> BodyMemory {
        let reserved = self.response_memory.lock().unwrap_or_else(|e| e.into_inner()).take();
        reserved.unwrap_or_else(|| self.host.bodies.unreserved(&self.route.name))
    }

    /// Returns what a scheduler has to know of the request's team.
    pub fn team_terms(&self) -> Option<TeamTerms> {
        let team = self.team.as_ref()?;
        Some(TeamTerms {
            team: team.name.clone(),
            needs_token: self.needs_token(),
            weight: team.allowance.map_or(0.0, |a| a.per_s as f32),
        })
    }

    /// Returns whether the request must not be sent before it has a token of its team's allowance. All attempts
    /// of a request share one token.
    pub fn needs_token(&self) -> bool {
        let has_allowance = self.team.as_ref().is_some_and(|t| t.allowance.is_some());
        has_allowance && !self.has_token.load(Ordering::Relaxed)
    }

    /// Records that the request has a token.
    pub fn set_token(&self) {
        self.has_token.store(true, Ordering::Relaxed);
    }

    /// Returns the token of a request that has ended and has not run.
    pub fn give_back_token(&self) {
        if let Some(team) = &self.team
            && self.has_token.swap(false, Ordering::Relaxed)
        {
            allowances::give_back(&self.host, &team.name);
        }
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns the priority of the request: that of its team or, if that has none, of its route.
    pub fn priority(&self) -> u32 {
        priority(&self.route, self.team.as_deref())
    }

    /// Returns the name of the request's team for logs; empty if there is none.
    pub fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |t| &*t.name)
    }

    /// Returns the request's identity for logs; "unreadable" if it is not text.
    pub fn id(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}

/// Returns the priority of the requests of a route and a team.
pub fn priority(route: &FleetRoute, team: Option<&Team>) -> u32 {
    team.and_then(|t| t.priority).unwrap_or(route.priority)
}
