//! A stand-in for a target: slots with a FIFO queue, load reports and injected faults.
//!
//! `POST /control` replaces the [`Behaviour`], `GET /control` returns the [`RunRecord`].

use crate::server::{Reply, apply_json, read_body, serve};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Number of requests that a target runs at once.
const SLOTS: u32 = 6;
/// Maximum number of requests that wait for a slot; further ones are shed.
const MAX_QUEUED: u32 = 64;

/// State that a target declares.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests.
    #[default]
    Ready,
    /// Refuses requests because it is still starting.
    Starting,
    /// Serves requests but declares in each response that it is leaving.
    Draining,
}

impl State {
    const fn as_str(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Starting => "starting",
            State::Draining => "draining",
        }
    }
}

/// Behaviour of a target, with its injected faults. The default is a healthy target.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that a request occupies a slot, in milliseconds.
    pub service_ms: u64,
    /// State that the target declares.
    pub state: State,
    /// Whether every request fails at once with status 500.
    pub fail_fast: bool,
    /// Whether requests run but never get a response.
    pub stall: bool,
    /// Whether requests are refused with the refusal signal `shed`.
    pub shed: bool,
    /// Number of requests in flight that load reports contain; absent means the true number.
    pub reported_in_flight: Option<u32>,
    /// Text at which the process exits if the path of a request contains it, which simulates a crash.
    pub crash_on: Option<String>,
    /// Whether responses lack the echo of the request identity.
    pub no_echo: bool,
    /// Length of the response body in bytes; 0 means a short text.
    pub body_len: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            service_ms: 2,
            state: State::Ready,
            fail_fast: false,
            stall: false,
            shed: false,
            reported_in_flight: None,
            crash_on: None,
            no_echo: false,
            body_len: 0,
        }
    }
}

/// Requests that a target has run and probes that it has received.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RunRecord {
    /// Number of requests that reached the handler.
    pub runs: u64,
    /// Number of health probes received.
    pub probes: u64,
    /// Number of runs by idempotency key.
    pub runs_by_key: BTreeMap<String, u64>,
    /// When a request last reached the handler, in Unix milliseconds; 0 means never.
    pub last_run_ms: u64,
}

#[derive(Default)]
struct Inner {
    behaviour: Behaviour,
    record: RunRecord,
    in_flight: u32,
    queued: u32,
}

struct TargetStandin {
    name: String,
    inner: Mutex<Inner>,
    slots: Semaphore,
}

/// Runs a target stand-in on `listener` until the task is dropped.
pub async fn run(listener: TcpListener, name: String, behaviour: Behaviour) {
    let standin = Arc::new(TargetStandin {
        name,
        inner: Mutex::new(Inner { behaviour, ..Inner::default() }),
        slots: Semaphore::new(SLOTS as usize),
    });
    serve(listener, move |req| {
        let standin = standin.clone();
        async move { standin.handle(req).await }
    })
    .await;
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Increments a counter of the target and decrements it when the request ends or its connection closes.
struct CountGuard<'a> {
    standin: &'a TargetStandin,
    counter: fn(&mut Inner) -> &mut u32,
}

impl<'a> CountGuard<'a> {
    fn new(standin: &'a TargetStandin, counter: fn(&mut Inner) -> &mut u32) -> Self {
        *counter(&mut standin.lock()) += 1;
        CountGuard { standin, counter }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.counter)(&mut self.standin.lock()) -= 1;
    }
}

impl TargetStandin {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/control") => {
                return apply_json(req, |behaviour| self.lock().behaviour = behaviour).await;
            }
            (&Method::GET, "/control") => return Reply::json(&self.lock().record),
            (&Method::GET, "/health") => return self.health(),
            _ => {}
        }
        if let Some(signal) = self.refusal(&req) {
            return self.refuse(req.headers(), signal);
        }
        let slot = {
            let _queued = CountGuard::new(self, |inner| &mut inner.queued);
            self.slots.acquire().await
        };
        let _in_flight = CountGuard::new(self, |inner| &mut inner.in_flight);
        let reply = self.run_handler(req).await;
        drop(slot);
        reply
    }

    fn health(&self) -> Reply {
        let mut inner = self.lock();
        inner.record.probes += 1;
        let in_flight = inner.behaviour.reported_in_flight.unwrap_or(inner.in_flight);
        Reply::json(&serde_json::json!({
            "state": inner.behaviour.state.as_str(),
            "in_flight": in_flight,
            "queued": inner.queued,
        }))
    }

    /// Returns the refusal signal if the request must not reach the handler.
    fn refusal(&self, req: &Request<Incoming>) -> Option<&'static str> {
        let inner = self.lock();
        let deadline = req.headers().get("x-request-deadline");
        let deadline: Option<u64> = deadline.and_then(|v| v.to_str().ok()?.parse().ok());
        if deadline.is_some_and(|d| d <= unix_ms()) {
            return Some("deadline");
        }
        match inner.behaviour.state {
            State::Starting => Some("starting"),
            _ if inner.behaviour.shed || inner.queued >= MAX_QUEUED => Some("shed"),
            _ => None,
        }
    }

    fn refuse(&self, headers: &HeaderMap, signal: &'static str) -> Reply {
        let mut rsp = Response::new(Full::new(Bytes::from_static(b"refused\n")));
        *rsp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        rsp.headers_mut().insert("x-request-refused", HeaderValue::from_static(signal));
        self.add_report(headers, &mut rsp);
        Reply::Send(rsp)
    }

    async fn run_handler(&self, req: Request<Incoming>) -> Reply {
        let (parts, body) = req.into_parts();
        let body = read_body(body).await;
        let behaviour = {
            let mut inner = self.lock();
            inner.record.runs += 1;
            inner.record.last_run_ms = unix_ms();
            if let Some(key) = parts.headers.get("idempotency-key") {
                let key = String::from_utf8_lossy(key.as_bytes()).into_owned();
                *inner.record.runs_by_key.entry(key).or_default() += 1;
            }
            inner.behaviour.clone()
        };
        if behaviour.crash_on.as_deref().is_some_and(|t| parts.uri.path().contains(t)) {
            std::process::exit(134);
        }
        if behaviour.fail_fast {
            return Reply::text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
        }
        tokio::time::sleep(Duration::from_millis(behaviour.service_ms)).await;
        if behaviour.stall {
            return Reply::Hang;
        }
        let text =
            format!("{} {} by {} ({} bytes)\n", parts.method, parts.uri, self.name, body.len());
        let body = match behaviour.body_len {
            0 => Bytes::from(text),
            len => text.bytes().cycle().take(len).collect(),
        };
        let mut rsp = Response::new(Full::new(body));
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            rsp.headers_mut().insert("x-target-name", name);
        }
        self.add_report(&parts.headers, &mut rsp);
        Reply::Send(rsp)
    }

    /// Adds the load report, the declared state and the echo of the request identity.
    fn add_report(&self, req_headers: &HeaderMap, rsp: &mut Response<Full<Bytes>>) {
        let inner = self.lock();
        // The request whose response carries the report no longer counts as in flight.
        let others = inner.in_flight.saturating_sub(1);
        let in_flight = inner.behaviour.reported_in_flight.unwrap_or(others);
        let report = format!(
            "TEXT named_metrics.in_flight={in_flight},named_metrics.queued={}",
            inner.queued
        );
        if let Ok(value) = HeaderValue::from_str(&report) {
            rsp.headers_mut().insert("endpoint-load-metrics", value);
        }
        if inner.behaviour.state == State::Draining {
            rsp.headers_mut().insert("x-target-state", HeaderValue::from_static("draining"));
        }
        if let (false, Some(id)) = (inner.behaviour.no_echo, req_headers.get("x-request-id")) {
            rsp.headers_mut().insert("x-request-id", id.clone());
        }
    }
}
