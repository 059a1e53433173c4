//! The attempts of one request: picks targets, opens connections, sends the request and reads the
//! responses, and updates the load estimates with the results.

use super::context::RequestContext;
use super::headers;
use crate::actions;
use crate::balancing::PickedTarget;
use crate::control;
use crate::upstream::{self, Connection, ResponseHead, SendError, UpstreamResponse};
use futures_util::future::{AbortHandle, Abortable, BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::attempt::{
    Connection as ConnectionKind, Event, MAX_NON_IDEMPOTENT_IDLE, Refusal,
};
use geraniummux_core::claim::StoredResponse;
use geraniummux_core::{AttemptEnd, LoadReport, Time};
use http::{HeaderMap, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The result of one step of an attempt, with the attempt's number.
pub enum AttemptEvent {
    /// A target was picked, or there is none.
    Picked(u8, Option<PickedTarget>),
    /// The connection is open or could not be opened.
    Opened(u8, io::Result<Connection>),
    /// The head of the response arrived, or the attempt failed.
    ResponseHead(u8, Result<ResponseHead, SendError>),
    /// The response was read, or is longer than the buffer.
    Response(u8, Result<UpstreamResponse, SendError>),
    /// The step was cancelled.
    Cancelled,
}

#[derive(Default)]
struct Attempt {
    target: Option<PickedTarget>,
    conn: Option<Connection>,
    /// When the request was passed to the connection; reset to `None` when the attempt ends.
    sent_at: Option<Time>,
    refusal: Option<Refusal>,
    report: Option<LoadReport>,
    response: Option<UpstreamResponse>,
    /// Aborts the current step.
    step: Option<AbortHandle>,
}

/// The attempts of one request.
pub struct Attempts {
    ctx: Arc<RequestContext>,
    attempts: Vec<Attempt>,
    steps: FuturesUnordered<Abortable<BoxFuture<'static, AttemptEvent>>>,
}

impl Attempts {
    /// Returns an empty list of attempts for a request.
    pub fn new(ctx: Arc<RequestContext>) -> Self {
        Attempts { ctx, attempts: Vec::new(), steps: FuturesUnordered::new() }
    }

    /// Returns the number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt was made.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the address of the target of attempt `n`, or `None` if none was picked.
    pub fn addr(&self, n: u8) -> Option<SocketAddr> {
        self.attempts.get(usize::from(n))?.target.as_ref().map(|t| t.addr)
    }

    /// Waits until a step ends; pends forever while no step is running.
    pub async fn next(&mut self) -> AttemptEvent {
        match self.steps.next().await {
            Some(event) => event.unwrap_or(AttemptEvent::Cancelled),
            None => std::future::pending().await,
        }
    }

    /// Starts a step of attempt `n`, whose result [`Attempts::next`] returns.
    fn start<F>(&mut self, n: u8, step: F)
    where
        F: Future<Output = AttemptEvent> + Send + 'static,
    {
        let (abort, registration) = AbortHandle::new_pair();
        self.steps.push(Abortable::new(step.boxed(), registration));
        self.attempts[usize::from(n)].step = Some(abort);
    }

    /// Adds attempt `n` and picks its target. Targets in `avoid` are picked only if there is no
    /// other.
    pub fn pick(&mut self, n: u8, avoid: Vec<Arc<str>>) {
        self.attempts.push(Attempt::default());
        let ctx = self.ctx.clone();
        self.start(n, async move {
            // After a pause, this host's configuration and list of leaving targets may be out of
            // date.
            let pool = match control::await_config(&ctx.shared).await {
                Ok(in_force) => ctx.pool(&in_force),
                Err(_) => None,
            };
            let leaving = ctx.shared.leaving_targets();
            let now = ctx.shared.clock.now();
            let balancing = &ctx.shared.data.balancing;
            let picked = pool.and_then(|pool| balancing.pick(&pool, &avoid, &leaving, now));
            AttemptEvent::Picked(n, picked)
        });
    }

    /// Gets the connection of attempt `n`, from the pool or a new one.
    pub fn open(&mut self, n: u8, kind: ConnectionKind) {
        let Some(addr) = self.addr(n) else { return };
        let ctx = self.ctx.clone();
        self.start(n, async move {
            let connections = &ctx.shared.data.connections;
            let max_age = if ctx.is_idempotent() { Duration::MAX } else { MAX_NON_IDEMPOTENT_IDLE };
            let opened = match kind {
                ConnectionKind::Reuse => connections.acquire(addr, max_age).await,
                ConnectionKind::New => connections.open(addr).await,
            };
            AttemptEvent::Opened(n, opened)
        });
    }

    /// Sends the request of attempt `n`, with the first byte not later than `not_after`.
    pub fn send(&mut self, n: u8, not_after: Time, depth: u32) {
        let shared = self.ctx.shared.clone();
        let Some(addr) = self.addr(n) else { return };
        let attempt = &mut self.attempts[usize::from(n)];
        let conn = attempt.conn.take();
        let now = shared.clock.now();
        attempt.sent_at = Some(now);
        if let Some(target) = &attempt.target {
            shared.data.balancing.on_sent(target.id, now);
        }
        let req = self.ctx.attempt_request(&shared.data.new_id(), depth, addr);
        self.start(n, async move {
            let (Some(conn), Some(req)) = (conn, req) else {
                return AttemptEvent::ResponseHead(n, Err(SendError::NotSent));
            };
            AttemptEvent::ResponseHead(n, upstream::send(conn, req, not_after).await)
        });
    }

    /// Ends attempt `n` by closing its connection, and drops its response.
    pub fn cancel(&mut self, n: u8, end: AttemptEnd) {
        let Some(attempt) = self.attempts.get_mut(usize::from(n)) else { return };
        if let Some(step) = attempt.step.take() {
            step.abort();
        }
        attempt.conn = None;
        attempt.response = None;
        self.end(n, end);
    }

    /// Ends all remaining attempts when the request ends.
    pub fn end_all(&mut self, delivered: bool) {
        let end = if delivered { AttemptEnd::Answered } else { AttemptEnd::Cancelled };
        for n in 0..self.attempts.len() as u8 {
            self.end(n, end);
        }
    }

    /// Records the end of attempt `n` in the load estimates, unless that was done before.
    fn end(&mut self, n: u8, end: AttemptEnd) {
        let attempt = &mut self.attempts[usize::from(n)];
        let now = self.ctx.shared.clock.now();
        if let (Some(sent_at), Some(target)) = (attempt.sent_at.take(), &attempt.target) {
            let balancing = &self.ctx.shared.data.balancing;
            balancing.on_end(target.id, sent_at, end, attempt.report, now);
        }
    }

    /// Handles the result of a step and returns the resulting event of the request, if any.
    pub fn on_event(&mut self, event: AttemptEvent) -> Option<Event> {
        match event {
            AttemptEvent::Picked(n, picked) => Some(self.on_picked(n, picked)),
            AttemptEvent::Opened(n, opened) => Some(self.on_opened(n, opened)),
            AttemptEvent::ResponseHead(n, head) => Some(self.on_head(n, head)),
            AttemptEvent::Response(n, response) => Some(self.on_response(n, response)),
            AttemptEvent::Cancelled => None,
        }
    }

    fn on_picked(&mut self, attempt: u8, picked: Option<PickedTarget>) -> Event {
        let Some(picked) = picked else {
            return Event::NoTarget { attempt };
        };
        let idle = self.ctx.shared.data.connections.idle_time(picked.addr);
        let target = picked.name.clone();
        self.attempts[usize::from(attempt)].target = Some(picked);
        Event::Picked { attempt, target, idle }
    }

    fn on_opened(&mut self, attempt: u8, opened: io::Result<Connection>) -> Event {
        let shared = &self.ctx.shared;
        let entry = &mut self.attempts[usize::from(attempt)];
        let Ok(conn) = opened else {
            if let Some(target) = &entry.target {
                shared.data.balancing.on_connect_failed(target.id, shared.clock.now());
            }
            return Event::ConnectFailed { attempt };
        };
        // Since the pick, the target may have started to leave or this host may have been paused.
        if !shared.may_send(conn.addr()) {
            return Event::ConnectFailed { attempt };
        }
        let reused = conn.is_reused();
        entry.conn = Some(conn);
        Event::Connected {
            attempt,
            reused,
            quarantined: shared.data.is_blocked(self.ctx.fingerprint),
        }
    }

    fn on_head(&mut self, attempt: u8, head: Result<ResponseHead, SendError>) -> Event {
        let head = match head {
            Ok(head) => head,
            Err(e) => return self.on_failure(attempt, e),
        };
        let parts = &head.parts;
        let entry = &mut self.attempts[usize::from(attempt)];
        entry.report = headers::single_value(&parts.headers, headers::LOAD_REPORT)
            .ok()
            .flatten()
            .and_then(LoadReport::parse);
        entry.refusal = refusal(parts.status, &parts.headers);
        let state = headers::single_value(&parts.headers, headers::TARGET_STATE);
        if state == Ok(Some("draining")) || entry.refusal == Some(Refusal::Draining) {
            actions::report_leaving(&self.ctx.shared, head.conn.addr());
        }
        self.start(attempt, async move {
            AttemptEvent::Response(attempt, upstream::collect(head).await)
        });
        Event::ResponseHead { attempt }
    }

    fn on_response(&mut self, attempt: u8, response: Result<UpstreamResponse, SendError>) -> Event {
        // The head alone proves that the handler was not invoked, even if the body is invalid.
        if let Some(refusal) = self.attempts[usize::from(attempt)].refusal {
            if let Ok(UpstreamResponse::Buffered { conn: Some(conn), .. }) = response {
                self.ctx.shared.data.connections.release(conn);
            }
            self.end(attempt, AttemptEnd::Refused(refusal));
            return Event::Refused { attempt, refusal };
        }
        let response = match response {
            Ok(response) => response,
            Err(e) => return self.on_failure(attempt, e),
        };
        let entry = &mut self.attempts[usize::from(attempt)];
        if let Some(sent_at) = entry.sent_at {
            self.ctx.route_state.record_latency(self.ctx.shared.clock.now().since(sent_at));
        }
        let (status, buffered) = match response {
            UpstreamResponse::Buffered { parts, body, conn } => {
                if let Some(conn) = conn {
                    self.ctx.shared.data.connections.release(conn);
                }
                let status = parts.status;
                entry.response = Some(UpstreamResponse::Buffered { parts, body, conn: None });
                let failed = status.is_server_error();
                let end = if failed { AttemptEnd::Failed } else { AttemptEnd::Answered };
                self.end(attempt, end);
                (status, true)
            }
            // The target is busy until the response was streamed, so the attempt has not ended.
            UpstreamResponse::Streaming { prefix, head } => {
                let status = head.parts.status;
                entry.response = Some(UpstreamResponse::Streaming { prefix, head });
                (status, false)
            }
        };
        Event::ResponseReady { attempt, status: status.as_u16(), buffered }
    }

    fn on_failure(&mut self, attempt: u8, e: SendError) -> Event {
        let (end, event) = match e {
            SendError::NotSent => (AttemptEnd::Cancelled, Event::NotSent { attempt }),
            SendError::ConnectionLost => (AttemptEnd::Failed, Event::ConnectionLost { attempt }),
            SendError::InvalidResponse => (AttemptEnd::Failed, Event::InvalidResponse { attempt }),
        };
        self.end(attempt, end);
        event
    }

    /// Removes and returns the response of attempt `n`.
    pub fn take_response(&mut self, n: u8) -> Option<UpstreamResponse> {
        self.attempts.get_mut(usize::from(n))?.response.take()
    }

    /// Returns the response of attempt `n` in the form that is stored with a claim, or `None` if it
    /// is not buffered completely.
    pub fn stored_response(&self, n: u8) -> Option<StoredResponse> {
        let Some(UpstreamResponse::Buffered { parts, body, .. }) =
            &self.attempts.get(usize::from(n))?.response
        else {
            return None;
        };
        let text = |v: &http::HeaderValue| v.to_str().map(str::to_owned).ok();
        let headers = headers::for_caller(&parts.headers)
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), text(value)?)))
            .collect();
        Some(StoredResponse { status: parts.status.as_u16(), headers, body: body.to_vec() })
    }
}

/// Returns the cause of a refusal that a target declares in its response, if it is one.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    headers::single_value(headers, headers::REFUSED).ok().flatten().and_then(Refusal::parse)
}
