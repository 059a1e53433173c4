//! The attempts of one request: connections, transfers and what they tell about the targets.

use super::headers;
use super::job::Job;
use crate::actions;
use crate::balancing::Picked;
use crate::control;
use crate::upstream::{self, Answer, Connection, Head, SendError};
use futures_util::future::{AbortHandle, Abortable, BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::attempt::{Connection as Which, Event, MAX_NON_IDEMPOTENT_IDLE, Refusal};
use geraniummux_core::claim::StoredResponse;
use geraniummux_core::{AttemptEnd, LoadReport, Time};
use http::{HeaderMap, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The end of one step of an attempt.
pub enum AttemptEvent {
    /// A target was chosen.
    Picked(u8, Option<Picked>),
    /// The connection is open or could not be opened.
    Opened(u8, io::Result<Connection>),
    /// The head of the answer arrived, or the attempt failed.
    Head(u8, Result<Head, SendError>),
    /// The answer was read, or is longer than the buffer.
    Answer(u8, Result<Answer, SendError>),
    /// The step was cancelled.
    Cancelled,
}

#[derive(Default)]
struct Attempt {
    target: Option<Picked>,
    conn: Option<Connection>,
    /// When the request was handed to the connection; `None` again after the attempt has ended.
    sent_at: Option<Time>,
    refusal: Option<Refusal>,
    report: Option<LoadReport>,
    answer: Option<Answer>,
    step: Option<AbortHandle>,
}

/// The attempts of one request.
pub struct Attempts {
    job: Arc<Job>,
    attempts: Vec<Attempt>,
    steps: FuturesUnordered<Abortable<BoxFuture<'static, AttemptEvent>>>,
}

impl Attempts {
    /// Returns the attempts of a request that has made none.
    pub fn new(job: Arc<Job>) -> Self {
        Attempts { job, attempts: Vec::new(), steps: FuturesUnordered::new() }
    }

    /// Returns the number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether there was no attempt.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the address of the attempt's target.
    pub fn addr(&self, n: u8) -> Option<SocketAddr> {
        self.attempts.get(usize::from(n))?.target.as_ref().map(|t| t.addr)
    }

    /// Waits for the end of a step; pends forever while there is none.
    pub async fn next(&mut self) -> AttemptEvent {
        match self.steps.next().await {
            Some(event) => event.unwrap_or(AttemptEvent::Cancelled),
            None => std::future::pending().await,
        }
    }

    fn start<F>(&mut self, n: u8, step: F)
    where
        F: Future<Output = AttemptEvent> + Send + 'static,
    {
        let (abort, registration) = AbortHandle::new_pair();
        self.steps.push(Abortable::new(step.boxed(), registration));
        self.attempts[usize::from(n)].step = Some(abort);
    }

    /// Chooses the target of a new attempt.
    pub fn pick(&mut self, n: u8, avoid: Vec<Arc<str>>) {
        self.attempts.push(Attempt::default());
        let job = self.job.clone();
        self.start(n, async move {
            // A host that was paused may not know the configuration or the leaving targets.
            let pool = match control::await_config(&job.shared).await {
                Ok(in_force) => job.pool(&in_force),
                Err(_) => None,
            };
            let leaving = job.shared.leaving_targets();
            let now = job.shared.clock.now();
            let balancing = &job.shared.data.balancing;
            let picked = pool.and_then(|pool| balancing.pick(&pool, &avoid, &leaving, now));
            AttemptEvent::Picked(n, picked)
        });
    }

    /// Gets the connection of an attempt.
    pub fn open(&mut self, n: u8, which: Which) {
        let Some(addr) = self.addr(n) else { return };
        let job = self.job.clone();
        self.start(n, async move {
            let connections = &job.shared.data.connections;
            let max_age = if job.is_idempotent() { Duration::MAX } else { MAX_NON_IDEMPOTENT_IDLE };
            let opened = match which {
                Which::Reuse => connections.reuse(addr, max_age).await,
                Which::New => connections.open(addr).await,
            };
            AttemptEvent::Opened(n, opened)
        });
    }

    /// Sends the request.
    pub fn send(&mut self, n: u8, not_after: Time, depth: u32) {
        let shared = self.job.shared.clone();
        let Some(addr) = self.addr(n) else { return };
        let attempt = &mut self.attempts[usize::from(n)];
        let conn = attempt.conn.take();
        let now = shared.clock.now();
        attempt.sent_at = Some(now);
        if let Some(target) = &attempt.target {
            shared.data.balancing.on_sent(target.id, now);
        }
        let req = self.job.attempt(&shared.data.new_id(), depth, addr);
        self.start(n, async move {
            let (Some(conn), Some(req)) = (conn, req) else {
                return AttemptEvent::Head(n, Err(SendError::NotSent));
            };
            AttemptEvent::Head(n, upstream::send(conn, req, not_after).await)
        });
    }

    /// Ends an attempt by closing its connection.
    pub fn cancel(&mut self, n: u8, end: AttemptEnd) {
        let Some(attempt) = self.attempts.get_mut(usize::from(n)) else { return };
        if let Some(step) = attempt.step.take() {
            step.abort();
        }
        attempt.conn = None;
        attempt.answer = None;
        self.end(n, end);
    }

    /// Ends all attempts after the request has ended.
    pub fn end_all(&mut self, delivered: bool) {
        let end = if delivered { AttemptEnd::Answered } else { AttemptEnd::Cancelled };
        for n in 0..self.attempts.len() as u8 {
            self.end(n, end);
        }
    }

    /// Tells the load estimate that an attempt ended.
    fn end(&mut self, n: u8, end: AttemptEnd) {
        let attempt = &mut self.attempts[usize::from(n)];
        let now = self.job.shared.clock.now();
        if let (Some(sent_at), Some(target)) = (attempt.sent_at.take(), &attempt.target) {
            let balancing = &self.job.shared.data.balancing;
            balancing.on_end(target.id, sent_at, end, attempt.report, now);
        }
    }

    /// Takes the end of a step and returns what it means for the request.
    pub fn on(&mut self, event: AttemptEvent) -> Option<Event> {
        match event {
            AttemptEvent::Picked(n, picked) => Some(self.on_picked(n, picked)),
            AttemptEvent::Opened(n, opened) => Some(self.on_opened(n, opened)),
            AttemptEvent::Head(n, head) => Some(self.on_head(n, head)),
            AttemptEvent::Answer(n, answer) => Some(self.on_answer(n, answer)),
            AttemptEvent::Cancelled => None,
        }
    }

    fn on_picked(&mut self, attempt: u8, picked: Option<Picked>) -> Event {
        let Some(picked) = picked else {
            return Event::NoTarget { attempt };
        };
        let idle = self.job.shared.data.connections.idle_time(picked.addr);
        let target = picked.name.clone();
        self.attempts[usize::from(attempt)].target = Some(picked);
        Event::Picked { attempt, target, idle }
    }

    fn on_opened(&mut self, attempt: u8, opened: io::Result<Connection>) -> Event {
        let shared = &self.job.shared;
        let slot = &mut self.attempts[usize::from(attempt)];
        let Ok(conn) = opened else {
            if let Some(target) = &slot.target {
                shared.data.balancing.on_connect_failed(target.id, shared.clock.now());
            }
            return Event::ConnectFailed { attempt };
        };
        // The target may have begun to leave, or this host may have been paused, since the pick.
        if !shared.may_send(conn.addr()) {
            return Event::ConnectFailed { attempt };
        }
        let reused = conn.is_reused();
        slot.conn = Some(conn);
        Event::Connected {
            attempt,
            reused,
            quarantined: shared.data.is_blocked(self.job.fingerprint),
        }
    }

    fn on_head(&mut self, attempt: u8, head: Result<Head, SendError>) -> Event {
        let head = match head {
            Ok(head) => head,
            Err(e) => return self.on_failure(attempt, e),
        };
        let parts = &head.parts;
        let slot = &mut self.attempts[usize::from(attempt)];
        slot.report = headers::single(&parts.headers, headers::LOAD_REPORT)
            .ok()
            .flatten()
            .and_then(LoadReport::parse);
        slot.refusal = refusal(parts.status, &parts.headers);
        let state = headers::single(&parts.headers, headers::TARGET_STATE);
        if state == Ok(Some("draining")) || slot.refusal == Some(Refusal::Draining) {
            actions::report_draining(&self.job.shared, head.conn.addr());
        }
        self.start(
            attempt,
            async move { AttemptEvent::Answer(attempt, upstream::collect(head).await) },
        );
        Event::ResponseHead { attempt }
    }

    fn on_answer(&mut self, attempt: u8, answer: Result<Answer, SendError>) -> Event {
        // The head alone proves that the handler was not invoked.
        if let Some(refusal) = self.attempts[usize::from(attempt)].refusal {
            if let Ok(Answer::Whole { conn: Some(conn), .. }) = answer {
                self.job.shared.data.connections.keep(conn);
            }
            self.end(attempt, AttemptEnd::Refused(refusal));
            return Event::Refused { attempt, refusal };
        }
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => return self.on_failure(attempt, e),
        };
        let slot = &mut self.attempts[usize::from(attempt)];
        if let Some(sent_at) = slot.sent_at {
            self.job.route_state.observe(self.job.shared.clock.now().since(sent_at));
        }
        let (status, buffered) = match answer {
            Answer::Whole { parts, body, conn } => {
                if let Some(conn) = conn {
                    self.job.shared.data.connections.keep(conn);
                }
                let status = parts.status;
                slot.answer = Some(Answer::Whole { parts, body, conn: None });
                let failed = status.is_server_error();
                let end = if failed { AttemptEnd::Failed } else { AttemptEnd::Answered };
                self.end(attempt, end);
                (status, true)
            }
            // A long answer keeps the target busy until its end.
            Answer::Long { prefix, head } => {
                let status = head.parts.status;
                slot.answer = Some(Answer::Long { prefix, head });
                (status, false)
            }
        };
        Event::ResponseReady { attempt, status: status.as_u16(), buffered }
    }

    fn on_failure(&mut self, attempt: u8, e: SendError) -> Event {
        let (end, event) = match e {
            SendError::NotSent => (AttemptEnd::Cancelled, Event::NotSent { attempt }),
            SendError::Broken => (AttemptEnd::Failed, Event::ConnectionLost { attempt }),
            SendError::BadAnswer => (AttemptEnd::Failed, Event::InvalidResponse { attempt }),
        };
        self.end(attempt, end);
        event
    }

    /// Takes the answer of an attempt.
    pub fn take_answer(&mut self, n: u8) -> Option<Answer> {
        self.attempts.get_mut(usize::from(n))?.answer.take()
    }

    /// Returns the whole answer of an attempt as it is kept with a claim.
    pub fn stored(&self, n: u8) -> Option<StoredResponse> {
        let Some(Answer::Whole { parts, body, .. }) = &self.attempts.get(usize::from(n))?.answer
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

fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    headers::single(headers, headers::REFUSED).ok().flatten().and_then(Refusal::parse)
}
