//! A stand-in for a target that is registered in the platform's store. It reports its load, refuses
//! requests for other targets, and records each request that it runs.

use crate::server::{self, Reply, read_body};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Number of requests that a target runs concurrently.
const SLOTS: u32 = 6;
/// Maximum number of requests that wait for a slot; further ones are refused.
const MAX_QUEUED: u32 = 12;
/// Slowdown that a target reports while it is as fast as usual, in percent.
const USUAL_SLOWDOWN_PERCENT: u32 = 100;
/// Suffix of paths on which a target closes the connection as soon as it runs the request, like a target
/// that crashes.
pub const CRASH_PATH_SUFFIX: &str = "/poison";
/// Time limit for waiting and running if a request has no `request-deadline-ms` header, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Number of runs of each request, over all targets.
#[derive(Debug, Default)]
pub struct RunCounts {
    runs_by_id: Mutex<HashMap<String, u32>>,
}

impl RunCounts {
    fn record(&self, id: &str) {
        *self
            .runs_by_id
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .entry(id.to_owned())
            .or_default() += 1;
    }

    /// Returns how often the request with this identity ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs_by_id.lock().unwrap_or_else(|e| e.into_inner()).get(id).copied().unwrap_or(0)
    }
}

/// A target stand-in.
#[derive(Debug)]
pub struct RegisteredTarget {
    /// Identity of the target, sent in the `instance-id` header.
    pub id: String,
    run_counts: Arc<RunCounts>,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    service_ms: AtomicU64,
    slowdown_percent: AtomicU32,
    leaving: AtomicBool,
    /// When the target began to leave, and for how long it may still get requests from then on.
    leaving_since: Mutex<Option<(Instant, Duration)>>,
    late_runs: Mutex<Vec<LateRun>>,
    demand: Mutex<Demand>,
    run_count: AtomicU32,
    /// Number of starts, as the time of the last one.
    starts: AtomicU64,
}

/// What a target says in its responses beside its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Demand {
    /// Nothing.
    #[default]
    None,
    /// It accepts so many requests a second from all hosts together.
    Limit(f64),
    /// It is leaving.
    Leaving,
    /// It refuses each request and wants nothing from that host for so many seconds.
    Pause(f64),
    /// It runs each request, but then writes a refusal without an id instead of the response.
    RepeatedRefusal,
}

/// A request that began to run after the time for which its leaving target was allowed to get requests.
#[derive(Clone, Copy, Debug)]
pub struct LateRun {
    /// When the target began to leave.
    pub leaving_since: Instant,
    /// When the request began to run.
    pub run_start: Instant,
}

impl RegisteredTarget {
    /// Returns a target whose requests each occupy a slot for `service_ms`.
    pub fn new(id: &str, service_ms: u64, run_counts: Arc<RunCounts>) -> Arc<Self> {
        Arc::new(RegisteredTarget {
            id: id.to_owned(),
            run_counts,
            slots: Semaphore::new(SLOTS as usize),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            service_ms: AtomicU64::new(service_ms),
            slowdown_percent: AtomicU32::new(USUAL_SLOWDOWN_PERCENT),
            leaving: AtomicBool::new(false),
            leaving_since: Mutex::default(),
            late_runs: Mutex::default(),
            demand: Mutex::default(),
            run_count: AtomicU32::new(0),
            starts: AtomicU64::new(1),
        })
    }

    /// Sets what the target says in its responses beside its load.
    pub fn set_demand(&self, demand: Demand) {
        *self.demand.lock().unwrap_or_else(|e| e.into_inner()) = demand;
    }

    /// Makes the next registration that of a target that has started again under its identity.
    pub fn restart(&self) {
        self.set_demand(Demand::None);
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    fn demand(&self) -> Demand {
        *self.demand.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the number of requests that ran at this target.
    pub fn run_count(&self) -> u32 {
        self.run_count.load(Ordering::Relaxed)
    }

    /// Returns the object that registers the target in the store.
    pub fn registration(&self, service: &str, addr: &str, zone: &str) -> Value {
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        json!({"service": service, "address": addr, "zone": zone, "version": "v1", "slots": SLOTS,
            "state": state, "warmup-left-s": 0, "sequence": 1,
            "born": self.starts.load(Ordering::Relaxed)})
    }

    /// Sets the time for which each request occupies a slot, in milliseconds.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.service_ms.store(service_ms, Ordering::Relaxed);
    }

    /// Sets the slowdown that the target reports, in percent of its usual speed; it does not change the
    /// service time.
    pub fn set_slowdown_percent(&self, percent: u32) {
        self.slowdown_percent.store(percent, Ordering::Relaxed);
    }

    /// Sets whether the target is leaving. `allowed` is the time for which a leaving target may still get
    /// requests; later ones are recorded as [late runs](LateRun).
    pub fn set_leaving(&self, leaving: bool, allowed: Duration) {
        self.leaving.store(leaving, Ordering::Relaxed);
        *self.leaving_since.lock().unwrap_or_else(|e| e.into_inner()) =
            leaving.then(|| (Instant::now(), allowed));
    }

    /// Accepts connections and serves their requests until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        server::serve(listener, move |req| {
            let target = self.clone();
            async move { target.handle(req).await }
        })
        .await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() == "/health" {
            return Reply::Send(self.response(StatusCode::OK, "", Bytes::new()));
        }
        let (parts, body) = req.into_parts();
        let id = header(&parts.headers, "request-id").to_owned();
        let expected = header(&parts.headers, "target-instance");
        if !expected.is_empty() && expected != self.id {
            return Reply::Send(self.response(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new()));
        }
        if parts.uri.path().ends_with(CRASH_PATH_SUFFIX) {
            self.record_run(&id);
            return Reply::Close;
        }
        let timeout_ms =
            header(&parts.headers, "request-deadline-ms").parse().unwrap_or(DEFAULT_TIMEOUT_MS);
        let body = read_body(body).await;
        if self.waiting.load(Ordering::Relaxed) >= MAX_QUEUED
            || matches!(self.demand(), Demand::Pause(_))
        {
            return self.refusal(&id);
        }
        let run = async {
            let waiting = CountGuard::new(&self.waiting);
            let slot = self.slots.acquire().await;
            drop(waiting);
            let _running = CountGuard::new(&self.running);
            self.record_run(&id);
            tokio::time::sleep(Duration::from_millis(self.service_ms.load(Ordering::Relaxed)))
                .await;
            drop(slot);
        };
        match tokio::time::timeout(Duration::from_millis(timeout_ms), run).await {
            Ok(()) if self.demand() == Demand::RepeatedRefusal => self.refusal(""),
            Ok(()) => Reply::Send(self.response(StatusCode::OK, &id, response_body(&id, &body))),
            Err(_) => Reply::Send(self.response(StatusCode::GATEWAY_TIMEOUT, &id, Bytes::new())),
        }
    }

    fn record_run(&self, id: &str) {
        self.run_counts.record(id);
        self.run_count.fetch_add(1, Ordering::Relaxed);
        let leaving = *self.leaving_since.lock().unwrap_or_else(|e| e.into_inner());
        let run_start = Instant::now();
        if let Some((leaving_since, _)) =
            leaving.filter(|(since, allowed)| run_start > *since + *allowed)
        {
            self.late_runs
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .push(LateRun { leaving_since, run_start });
        }
    }

    /// Returns the late runs of this target.
    pub fn late_runs(&self) -> Vec<LateRun> {
        self.late_runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn refusal(&self, id: &str) -> Reply {
        let mut rsp = self.response(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
        rsp.headers_mut().remove("response-signature");
        rsp.headers_mut().insert("not-executed", http::HeaderValue::from_static("1"));
        if let Demand::Pause(seconds) = self.demand()
            && let Ok(value) = seconds.to_string().parse()
        {
            rsp.headers_mut().insert(http::header::RETRY_AFTER, value);
        }
        Reply::Send(rsp)
    }

    fn response(&self, status: StatusCode, id: &str, body: Bytes) -> Response<Full<Bytes>> {
        let load = format!(
            "{},{},{SLOTS},{}",
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed),
            self.slowdown_percent.load(Ordering::Relaxed)
        );
        let rsp = Response::builder()
            .status(status)
            .header("backend-load", load)
            .header("instance-id", &self.id)
            .header("response-signature", format!("{}.{id}", self.id));
        let rsp = if id.is_empty() { rsp } else { rsp.header("request-id", id) };
        let rsp = match self.demand() {
            Demand::Limit(per_s) => rsp.header("server-limit", per_s.to_string()),
            Demand::Leaving => rsp.header("server-leaving", "1"),
            Demand::None | Demand::Pause(_) | Demand::RepeatedRefusal => rsp,
        };
        rsp.body(Full::new(body)).unwrap_or_default()
    }
}

/// Returns the body of the response to a request. It depends on the request, so that a caller can check
/// that a response is complete and belongs to its request.
pub fn response_body(id: &str, request_body: &[u8]) -> Bytes {
    Bytes::from(format!("{id}:{}:{}", request_body.len(), "x".repeat(2_000)))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Increments a counter and decrements it again when dropped.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
