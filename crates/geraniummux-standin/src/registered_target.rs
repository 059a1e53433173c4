//! A stand-in of a target that registers with the store, reports its load and checks what it is sent.

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

/// Slots of a target.
const SLOTS: u32 = 6;
/// Requests that may wait at a target; further ones are refused.
const QUEUE: u32 = 12;
/// End of a path on which a target breaks the connection as soon as it runs the request.
pub const POISON: &str = "/poison";
/// Time that a request may run without a deadline.
const NO_DEADLINE_MS: u64 = 10_000;

/// What all targets together ran.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<HashMap<String, u32>>,
}

impl Ledger {
    fn record(&self, id: &str) {
        *self.runs.lock().unwrap_or_else(|e| e.into_inner()).entry(id.to_owned()).or_default() += 1;
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).get(id).copied().unwrap_or(0)
    }
}

/// One target.
#[derive(Debug)]
pub struct RegisteredTarget {
    /// Its identity.
    pub id: String,
    ledger: Arc<Ledger>,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    work_ms: AtomicU64,
    draining: AtomicBool,
    /// When it began to leave, and how long it may still get requests.
    left: Mutex<Option<(Instant, Duration)>>,
    late_runs: Mutex<Vec<LateRun>>,
}

/// A request that began to run later than allowed after its target had begun to leave.
#[derive(Clone, Copy, Debug)]
pub struct LateRun {
    /// When the target began to leave.
    pub left: Instant,
    /// When the request began to run.
    pub ran: Instant,
}

impl RegisteredTarget {
    /// Returns a target that works `work_ms` on each request.
    pub fn new(id: &str, work_ms: u64, ledger: Arc<Ledger>) -> Arc<Self> {
        Arc::new(RegisteredTarget {
            id: id.to_owned(),
            ledger,
            slots: Semaphore::new(SLOTS as usize),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            work_ms: AtomicU64::new(work_ms),
            draining: AtomicBool::new(false),
            left: Mutex::default(),
            late_runs: Mutex::default(),
        })
    }

    /// Returns what the target writes into the store.
    pub fn entry(&self, service: &str, addr: &str, zone: &str) -> Value {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        json!({"service": service, "address": addr, "zone": zone, "version": "v1", "slots": SLOTS,
            "state": state, "warmup-left-s": 0, "sequence": 1, "born": 1})
    }

    /// Sets how long it works on each request.
    pub fn set_work(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Begins to leave, or comes back. `allowed` is how long it may still get requests.
    pub fn set_leaving(&self, leaving: bool, allowed: Duration) {
        self.draining.store(leaving, Ordering::Relaxed);
        *self.left.lock().unwrap_or_else(|e| e.into_inner()) =
            leaving.then(|| (Instant::now(), allowed));
    }

    /// Serves requests until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        server::serve(listener, move |req| {
            let target = self.clone();
            async move { target.answer(req).await }
        })
        .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() == "/health" {
            return Reply::Send(self.response(StatusCode::OK, "", Bytes::new()));
        }
        let (parts, body) = req.into_parts();
        let id = header(&parts.headers, "request-id").to_owned();
        let expected = header(&parts.headers, "target-instance");
        if !expected.is_empty() && expected != self.id {
            return Reply::Send(self.response(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new()));
        }
        if parts.uri.path().ends_with(POISON) {
            self.note_run(&id);
            return Reply::Close;
        }
        let limit = header(&parts.headers, "request-deadline-ms").parse().unwrap_or(NO_DEADLINE_MS);
        let body = read_body(body).await;
        if self.waiting.load(Ordering::Relaxed) >= QUEUE {
            return self.refusal(&id);
        }
        let run = async {
            let _waits = Count::new(&self.waiting);
            let slot = self.slots.acquire().await;
            drop(_waits);
            let _runs = Count::new(&self.running);
            self.note_run(&id);
            tokio::time::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed))).await;
            drop(slot);
        };
        match tokio::time::timeout(Duration::from_millis(limit), run).await {
            Ok(()) => Reply::Send(self.response(StatusCode::OK, &id, answer_body(&id, &body))),
            Err(_) => Reply::Send(self.response(StatusCode::GATEWAY_TIMEOUT, &id, Bytes::new())),
        }
    }

    fn note_run(&self, id: &str) {
        self.ledger.record(id);
        let left = *self.left.lock().unwrap_or_else(|e| e.into_inner());
        let ran = Instant::now();
        if let Some((left, _)) = left.filter(|(at, allowed)| ran > *at + *allowed) {
            self.late_runs.lock().unwrap_or_else(|e| e.into_inner()).push(LateRun { left, ran });
        }
    }

    /// Returns the requests that began to run later than allowed after it had begun to leave.
    pub fn late_runs(&self) -> Vec<LateRun> {
        self.late_runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn refusal(&self, id: &str) -> Reply {
        let mut rsp = self.response(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
        rsp.headers_mut().remove("response-signature");
        rsp.headers_mut().insert("not-executed", http::HeaderValue::from_static("1"));
        Reply::Send(rsp)
    }

    fn response(&self, status: StatusCode, id: &str, body: Bytes) -> Response<Full<Bytes>> {
        let load = format!(
            "{},{},{SLOTS},100",
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed)
        );
        let rsp = Response::builder()
            .status(status)
            .header("backend-load", load)
            .header("instance-id", &self.id)
            .header("response-signature", format!("{}.{id}", self.id));
        let rsp = if id.is_empty() { rsp } else { rsp.header("request-id", id) };
        rsp.body(Full::new(body)).unwrap_or_default()
    }
}

/// Returns the body of the answer to a request, by which a caller checks that it is whole and its own.
pub fn answer_body(id: &str, request_body: &[u8]) -> Bytes {
    Bytes::from(format!("{id}:{}:{}", request_body.len(), "x".repeat(2_000)))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Counts while it exists.
struct Count<'a>(&'a AtomicU32);

impl<'a> Count<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Count(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
