//! A stand-in for a target that is registered in the platform's store. It reports its load, refuses
//! requests for other targets, and records each request that it runs.

use crate::http1;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Number of requests that a target runs concurrently.
const SLOTS: u32 = 6;
/// Maximum number of requests that wait for a slot; further ones are refused.
const MAX_QUEUED: u32 = 12;
/// Slowdown that a target reports while it is as fast as usual, in percent.
const USUAL_SLOWDOWN_PERCENT: u32 = 100;
/// Factor by which a cold target is slower.
const COLD_FACTOR: u64 = 2;
/// Suffix of paths on which a target closes the connection as soon as it runs the request, like a target
/// that crashes.
pub const CRASH_PATH_SUFFIX: &str = "/poison";
/// Time limit for waiting and running if a request has no `request-deadline-ms` header, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Runs of each request, over all targets.
#[derive(Debug, Default)]
pub struct RunCounts {
    /// Ids of the targets that began to run a request, by its id.
    targets_by_id: Mutex<HashMap<String, Vec<String>>>,
    /// Ids of requests that came again on a connection that had carried them before.
    came_again: Mutex<HashSet<String>>,
}

impl RunCounts {
    fn record(&self, id: &str, target: String) {
        lock(&self.targets_by_id).entry(id.to_owned()).or_default().push(target);
    }

    /// Returns whether the request with this identity came again on a connection that had carried it before.
    pub fn came_again(&self, id: &str) -> bool {
        lock(&self.came_again).contains(id)
    }

    /// Returns how often the request with this identity ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.targets(id).len() as u32
    }

    /// Returns the ids of the targets that ran the request with this identity, one for each run.
    pub fn targets(&self, id: &str) -> Vec<String> {
        lock(&self.targets_by_id).get(id).cloned().unwrap_or_default()
    }
}

/// A target stand-in.
#[derive(Debug)]
pub struct RegisteredTarget {
    /// Identity of the target, sent in the `instance-id` header.
    id: Mutex<String>,
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
    /// When the target's domain began to be evacuated, and for how long it may still get requests from then on.
    evacuated_since: Mutex<Option<(Instant, Duration)>>,
    evacuated_runs: Mutex<Vec<LateRun>>,
    /// When the target became cold, and when it is warm again.
    cold: Mutex<Option<(Instant, Instant)>>,
    /// Requests that arrived while the target was cold.
    cold_arrivals: Mutex<Vec<LateRun>>,
    runs: Mutex<Vec<Run>>,
    /// Number of requests and probes that came with a caller's key.
    key_count: AtomicU32,
    demand: Mutex<Demand>,
    run_count: AtomicU32,
    /// Number of starts, as the time of the last one.
    starts: AtomicU64,
    /// Incremented to reset all open connections.
    resets: watch::Sender<u64>,
    refusals: Mutex<Refusals>,
    /// Number of refusals that may be written; later ones are held back.
    allowed_refusals: watch::Sender<u32>,
    /// Number of requests that the target refused or is about to refuse.
    refused_count: AtomicU32,
    copy_count: AtomicU32,
    accepted_count: AtomicU32,
    /// Number of requests whose id had come on the same connection before.
    same_connection_count: AtomicU32,
}

/// How a target refuses requests, and whether it writes its refusals once more.
#[derive(Clone, Copy, Debug)]
pub struct Refusals {
    delay: Duration,
    refuses_all: bool,
    declares: bool,
    names_target: bool,
    copy: Option<RefusalCopy>,
}

impl Default for Refusals {
    fn default() -> Self {
        Refusals {
            delay: Duration::ZERO,
            refuses_all: false,
            declares: false,
            names_target: true,
            copy: None,
        }
    }
}

impl Refusals {
    /// Returns these settings with refusals that are written `delay` after the request has arrived.
    #[must_use]
    pub fn with_delay(self, delay: Duration) -> Self {
        Refusals { delay, ..self }
    }

    /// Returns these settings for a target that refuses all requests and not only those for others.
    #[must_use]
    pub fn with_all_requests(self) -> Self {
        Refusals { refuses_all: true, ..self }
    }

    /// Returns these settings for a target that refuses only requests for others.
    #[must_use]
    pub fn without_all_requests(self) -> Self {
        Refusals { refuses_all: false, ..self }
    }

    /// Returns these settings for a target that answers requests for others like those that it refuses itself:
    /// with 503 and the declaration that they have not run, in place of 421.
    #[must_use]
    pub fn with_declaration_only(self) -> Self {
        Refusals { declares: true, ..self }
    }

    /// Returns these settings with refusals that have no `instance-id` header.
    #[must_use]
    pub fn without_target_id(self) -> Self {
        Refusals { names_target: false, ..self }
    }

    /// Returns these settings for a target that writes each refusal once more on its connection.
    #[must_use]
    pub fn with_copy(self, copy: RefusalCopy) -> Self {
        Refusals { copy: Some(copy), ..self }
    }
}

/// When a target writes a refusal once more on the same connection.
#[derive(Clone, Copy, Debug)]
pub struct RefusalCopy {
    trigger: CopyTrigger,
    delay: Duration,
    pause: Duration,
}

impl RefusalCopy {
    /// Returns a copy that is written as soon as the message `trigger` has arrived, before the response to it.
    pub fn new(trigger: CopyTrigger) -> Self {
        RefusalCopy { trigger, delay: Duration::ZERO, pause: Duration::ZERO }
    }

    /// Returns a copy that is written `delay` later; the target works on the message meanwhile.
    #[must_use]
    pub fn with_delay(self, delay: Duration) -> Self {
        RefusalCopy { delay, ..self }
    }

    /// Returns a copy that is written in two parts with this pause between them.
    #[must_use]
    pub fn in_two_parts(self, pause: Duration) -> Self {
        RefusalCopy { pause, ..self }
    }
}

/// The message on the connection of a refusal after which the copy is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyTrigger {
    /// The request that was refused, as soon as its refusal is written.
    Refusal,
    /// The request that was refused, when it is sent again.
    SameRequest,
    /// The next request with another id.
    OtherRequest,
    /// The next probe.
    Probe,
    /// The next message of any kind.
    Any,
}

/// A refusal that may be written once more.
struct Refusal {
    id: String,
    bytes: Vec<u8>,
    written: Instant,
}

impl Refusal {
    fn is_due(&self, trigger: CopyTrigger, req: &Request<Bytes>) -> bool {
        let is_same = header(req.headers(), "request-id") == self.id;
        match trigger {
            CopyTrigger::SameRequest => !is_probe(req) && is_same,
            CopyTrigger::OtherRequest => !is_probe(req) && !is_same,
            CopyTrigger::Probe => is_probe(req),
            CopyTrigger::Any | CopyTrigger::Refusal => true,
        }
    }

    /// Returns the time until the copy is due.
    fn time_left(&self, copy: RefusalCopy) -> Duration {
        match copy.trigger {
            CopyTrigger::Refusal => copy.delay.saturating_sub(self.written.elapsed()),
            _ => copy.delay,
        }
    }
}

fn is_probe(req: &Request<Bytes>) -> bool {
    req.uri().path() == "/health"
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

/// A request that began to run after the time for which its leaving or evacuated target was allowed to get requests,
/// or that arrived at a cold target.
#[derive(Clone, Copy, Debug)]
pub struct LateRun {
    /// When the target began to leave, its domain to be evacuated, or the target to be cold.
    pub since: Instant,
    /// When the request began to run, or arrived.
    pub run_start: Instant,
}

/// A run of a request and what the target was told of its caller.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identity of the request.
    pub id: String,
    /// When it began to run.
    pub start: Instant,
    /// Values of the header `Tenant-Id`.
    pub teams: Vec<String>,
}

impl RegisteredTarget {
    /// Returns a target whose requests each occupy a slot for `service_ms`.
    pub fn new(id: &str, service_ms: u64, run_counts: Arc<RunCounts>) -> Arc<Self> {
        Arc::new(RegisteredTarget {
            id: Mutex::new(id.to_owned()),
            run_counts,
            slots: Semaphore::new(SLOTS as usize),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            service_ms: AtomicU64::new(service_ms),
            slowdown_percent: AtomicU32::new(USUAL_SLOWDOWN_PERCENT),
            leaving: AtomicBool::new(false),
            leaving_since: Mutex::default(),
            late_runs: Mutex::default(),
            evacuated_since: Mutex::default(),
            evacuated_runs: Mutex::default(),
            cold: Mutex::default(),
            cold_arrivals: Mutex::default(),
            runs: Mutex::default(),
            key_count: AtomicU32::new(0),
            demand: Mutex::default(),
            run_count: AtomicU32::new(0),
            starts: AtomicU64::new(1),
            resets: watch::channel(0).0,
            refusals: Mutex::default(),
            allowed_refusals: watch::channel(u32::MAX).0,
            refused_count: AtomicU32::new(0),
            copy_count: AtomicU32::new(0),
            accepted_count: AtomicU32::new(0),
            same_connection_count: AtomicU32::new(0),
        })
    }

    /// Returns the identity of the target.
    pub fn id(&self) -> String {
        lock(&self.id).clone()
    }

    /// Makes the target one that has started again at its address under another identity: its connections
    /// are reset and their requests end.
    pub fn start_again_as(&self, id: &str) {
        self.set_id(id);
        self.restart();
        self.resets.send_modify(|n| *n += 1);
    }

    /// Gives the target another identity; its connections and requests live on.
    pub fn set_id(&self, id: &str) {
        id.clone_into(&mut lock(&self.id));
    }

    /// Sets how the target refuses requests.
    pub fn set_refusals(&self, refusals: Refusals) {
        *lock(&self.refusals) = refusals;
    }

    /// Allows so many refusals, counted from the first one of this target; later ones are held back. The delay of a
    /// refusal begins when it is allowed.
    pub fn allow_refusals(&self, count: u32) {
        self.allowed_refusals.send_replace(count);
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.resets.receiver_count()
    }

    /// Returns the number of requests that the target refused or is about to refuse.
    pub fn refused_count(&self) -> u32 {
        self.refused_count.load(Ordering::Relaxed)
    }

    /// Returns the number of refusals that the target wrote once more.
    pub fn copy_count(&self) -> u32 {
        self.copy_count.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that the target accepted so far.
    pub fn accepted_count(&self) -> u32 {
        self.accepted_count.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose id had come on the same connection before.
    pub fn same_connection_count(&self) -> u32 {
        self.same_connection_count.load(Ordering::Relaxed)
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed) == 0
    }

    /// Sets what the target says in its responses beside its load.
    pub fn set_demand(&self, demand: Demand) {
        *lock(&self.demand) = demand;
    }

    /// Makes the next registration that of a target that has started again under its identity.
    pub fn restart(&self) {
        self.set_demand(Demand::None);
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    fn demand(&self) -> Demand {
        *lock(&self.demand)
    }

    /// Returns the number of requests that ran at this target.
    pub fn run_count(&self) -> u32 {
        self.run_count.load(Ordering::Relaxed)
    }

    /// Makes the target cold for a time, during which it takes twice as long for each request.
    pub fn set_cold(&self, time: Duration) {
        let now = Instant::now();
        *lock(&self.cold) = Some((now, now + time));
    }

    /// Returns for how long the target stays cold.
    fn cold_time_left(&self) -> Duration {
        lock(&self.cold)
            .map_or(Duration::ZERO, |(_, end)| end.saturating_duration_since(Instant::now()))
    }

    /// Sets whether the target's domain is evacuated. `allowed` is the time for which the target may still get requests;
    /// later ones are recorded.
    pub fn set_evacuated(&self, evacuated: bool, allowed: Duration) {
        *lock(&self.evacuated_since) = evacuated.then(|| (Instant::now(), allowed));
    }

    /// Returns the runs that began after the allowed time of an evacuation.
    pub fn evacuated_runs(&self) -> Vec<LateRun> {
        lock(&self.evacuated_runs).clone()
    }

    /// Returns the requests that arrived while the target was cold, in order.
    pub fn cold_arrivals(&self) -> Vec<LateRun> {
        lock(&self.cold_arrivals).clone()
    }

    /// Returns all runs of requests, in order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Returns the number of requests and probes that came with a caller's key.
    pub fn key_count(&self) -> u32 {
        self.key_count.load(Ordering::Relaxed)
    }

    /// Returns the object that registers the target in the store.
    pub fn registration(&self, service: &str, addr: &str, zone: &str) -> Value {
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        json!({"service": service, "address": addr, "zone": zone, "version": "v1", "slots": SLOTS,
            "state": state, "warmup-left-s": self.cold_time_left().as_secs_f64(), "sequence": 1,
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
        *lock(&self.leaving_since) = leaving.then(|| (Instant::now(), allowed));
    }

    /// Accepts connections and serves their requests until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // The process may be out of file descriptors; a later attempt may succeed.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            self.accepted_count.fetch_add(1, Ordering::Relaxed);
            let target = self.clone();
            let mut resets = self.resets.subscribe();
            tokio::spawn(async move {
                tokio::select! {
                    () = target.serve_connection(stream) => {}
                    _ = resets.changed() => {}
                }
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        // Without this option, responses are only slower.
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let mut refused: Option<Refusal> = None;
        let mut ids = HashSet::new();
        // A connection error affects only this connection.
        loop {
            if self.copy_unprompted(&mut reader, &mut writer, &mut refused).await.is_err() {
                return;
            }
            let Ok(Some(req)) = http1::read_request(&mut reader).await else { return };
            let id = header(req.headers(), "request-id");
            if !id.is_empty() && !ids.insert(id.to_owned()) {
                self.same_connection_count.fetch_add(1, Ordering::Relaxed);
                lock(&self.run_counts.came_again).insert(id.to_owned());
            }
            let copy = lock(&self.refusals).copy;
            let due = copy.filter(|c| refused.as_ref().is_some_and(|r| r.is_due(c.trigger, &req)));
            let due = due.and_then(|copy| Some((copy, refused.take()?)));
            let is_last = header(req.headers(), "connection").eq_ignore_ascii_case("close");
            let refusal = tokio::select! {
                refusal = self.respond(&mut writer, req, due) => refusal,
                // A target drops a request whose connection is closed.
                () = http1::closed(&mut reader) => return,
            };
            match refusal {
                Ok(refusal) if !is_last => refused = refusal.or(refused),
                _ => return,
            }
        }
    }

    /// Writes the copy of a refusal that no further message triggers, unless a message arrives before it is due.
    async fn copy_unprompted(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        writer: &mut OwnedWriteHalf,
        refused: &mut Option<Refusal>,
    ) -> std::io::Result<()> {
        let copy = lock(&self.refusals).copy.filter(|c| c.trigger == CopyTrigger::Refusal);
        if let (Some(copy), Some(refusal)) = (copy, &*refused) {
            tokio::select! {
                () = tokio::time::sleep(refusal.time_left(copy)) => {
                    self.write_copy(writer, copy, refusal).await?;
                    *refused = None;
                }
                _ = reader.fill_buf() => {}
            }
        }
        Ok(())
    }

    async fn write_copy(
        &self,
        writer: &mut OwnedWriteHalf,
        copy: RefusalCopy,
        refusal: &Refusal,
    ) -> std::io::Result<()> {
        let mut rest = &refusal.bytes[..];
        if !copy.pause.is_zero() {
            let (first, second) = rest.split_at(rest.len() / 2);
            writer.write_all(first).await?;
            tokio::time::sleep(copy.pause).await;
            rest = second;
        }
        writer.write_all(rest).await?;
        self.copy_count.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Handles a request and writes the response, and the copy of a refusal when it is due. Returns the response if it
    /// is a refusal.
    async fn respond(
        &self,
        writer: &mut OwnedWriteHalf,
        req: Request<Bytes>,
        due: Option<(RefusalCopy, Refusal)>,
    ) -> std::io::Result<Option<Refusal>> {
        let id = header(req.headers(), "request-id").to_owned();
        let mut response = None;
        let mut handled = pin!(self.handle(req));
        if let Some((copy, refusal)) = due {
            let time_left = refusal.time_left(copy);
            let mut delay = pin!(tokio::time::sleep(time_left));
            if !time_left.is_zero() {
                tokio::select! {
                    rsp = &mut handled => response = Some(rsp),
                    () = &mut delay => {}
                }
            }
            if let Some(Some(rsp)) = &response {
                writer.write_all(&http1::encode(rsp)).await?;
                delay.await;
            }
            self.write_copy(writer, copy, &refusal).await?;
        }
        let is_written = response.is_some();
        let response = match response {
            Some(rsp) => rsp,
            None => handled.await,
        };
        let Some(rsp) = response else {
            return Err(std::io::Error::other("connection closed by the target"));
        };
        let bytes = http1::encode(&rsp);
        if !is_written {
            writer.write_all(&bytes).await?;
        }
        let is_refusal = rsp.status() == StatusCode::MISDIRECTED_REQUEST
            || rsp.headers().contains_key("not-executed");
        Ok((is_refusal && !id.is_empty()).then(|| Refusal { id, bytes, written: Instant::now() }))
    }

    /// Handles a request. Returns the response, or `None` if the connection is to be closed without one.
    async fn handle(&self, req: Request<Bytes>) -> Option<Response<Bytes>> {
        if req.headers().contains_key("key") {
            self.key_count.fetch_add(1, Ordering::Relaxed);
        }
        if is_probe(&req) {
            let mut rsp = self.response(StatusCode::OK, "", Bytes::new());
            if lock(&self.cold).is_some() {
                let left = self.cold_time_left().as_millis() as u64;
                rsp.headers_mut().insert("warmup-remaining-ms", left.into());
            }
            return Some(rsp);
        }
        let (parts, body) = req.into_parts();
        let id = header(&parts.headers, "request-id").to_owned();
        let expected = header(&parts.headers, "target-instance");
        let refusals = *lock(&self.refusals);
        if !expected.is_empty() && expected != self.id() {
            if refusals.declares {
                return Some(self.refuse(&id).await);
            }
            self.delay_refusal(refusals).await;
            let rsp = self.response(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new());
            return Some(named(rsp, refusals));
        }
        if let Some((since, end)) = *lock(&self.cold) {
            let run_start = Instant::now();
            if run_start < end {
                lock(&self.cold_arrivals).push(LateRun { since, run_start });
            }
        }
        if parts.uri.path().ends_with(CRASH_PATH_SUFFIX) {
            self.record_run(&id, &parts.headers);
            return None;
        }
        let timeout_ms =
            header(&parts.headers, "request-deadline-ms").parse().unwrap_or(DEFAULT_TIMEOUT_MS);
        if refusals.refuses_all
            || self.waiting.load(Ordering::Relaxed) >= MAX_QUEUED
            || matches!(self.demand(), Demand::Pause(_))
        {
            return Some(self.refuse(&id).await);
        }
        let run = async {
            let waiting = CountGuard::new(&self.waiting);
            let slot = self.slots.acquire().await;
            drop(waiting);
            let _running = CountGuard::new(&self.running);
            self.record_run(&id, &parts.headers);
            let factor = if self.cold_time_left().is_zero() { 1 } else { COLD_FACTOR };
            let service_ms = factor * self.service_ms.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(service_ms)).await;
            drop(slot);
        };
        Some(match tokio::time::timeout(Duration::from_millis(timeout_ms), run).await {
            Ok(()) if self.demand() == Demand::RepeatedRefusal => self.refusal(""),
            Ok(()) => self.response(StatusCode::OK, &id, response_body(&id, &body)),
            Err(_) => self.response(StatusCode::GATEWAY_TIMEOUT, &id, Bytes::new()),
        })
    }

    /// Refuses a request with the declaration that it has not run.
    async fn refuse(&self, id: &str) -> Response<Bytes> {
        let refusals = *lock(&self.refusals);
        self.delay_refusal(refusals).await;
        named(self.refusal(id), refusals)
    }

    async fn delay_refusal(&self, refusals: Refusals) {
        let earlier = self.refused_count.fetch_add(1, Ordering::Relaxed);
        // This can't fail: the sender lives as long as the target.
        let _ = self.allowed_refusals.subscribe().wait_for(|allowed| earlier < *allowed).await;
        if !refusals.delay.is_zero() {
            tokio::time::sleep(refusals.delay).await;
        }
    }

    fn record_run(&self, id: &str, headers: &HeaderMap) {
        self.run_counts.record(id, self.id());
        self.run_count.fetch_add(1, Ordering::Relaxed);
        let run_start = Instant::now();
        let text = |v: &HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
        let teams = headers.get_all("tenant-id").iter().map(text).collect();
        lock(&self.runs).push(Run { id: id.to_owned(), start: run_start, teams });
        for (since, late_runs) in
            [(&self.leaving_since, &self.late_runs), (&self.evacuated_since, &self.evacuated_runs)]
        {
            let late = lock(since).filter(|(since, allowed)| run_start > *since + *allowed);
            if let Some((since, _)) = late {
                lock(late_runs).push(LateRun { since, run_start });
            }
        }
    }

    /// Returns the late runs of this target.
    pub fn late_runs(&self) -> Vec<LateRun> {
        lock(&self.late_runs).clone()
    }

    fn refusal(&self, id: &str) -> Response<Bytes> {
        let mut rsp = self.response(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
        rsp.headers_mut().remove("response-signature");
        rsp.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
        if let Demand::Pause(seconds) = self.demand()
            && let Ok(value) = seconds.to_string().parse()
        {
            rsp.headers_mut().insert(header::RETRY_AFTER, value);
        }
        rsp
    }

    fn response(&self, status: StatusCode, id: &str, body: Bytes) -> Response<Bytes> {
        let target = self.id();
        let load = format!(
            "{},{},{SLOTS},{}",
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed),
            self.slowdown_percent.load(Ordering::Relaxed)
        );
        let rsp = Response::builder()
            .status(status)
            .header("backend-load", load)
            .header("instance-id", &target)
            .header("response-signature", format!("{target}.{id}"));
        let rsp = if id.is_empty() { rsp } else { rsp.header("request-id", id) };
        let rsp = match self.demand() {
            Demand::Limit(per_s) => rsp.header("server-limit", per_s.to_string()),
            Demand::Leaving => rsp.header("server-leaving", "1"),
            Demand::None | Demand::Pause(_) | Demand::RepeatedRefusal => rsp,
        };
        rsp.body(body).unwrap_or_default()
    }
}

/// Returns the body of the response to a request. It depends on the request, so that a caller can check
/// that a response is complete and belongs to its request.
pub fn response_body(id: &str, request_body: &[u8]) -> Bytes {
    Bytes::from(format!("{id}:{}:{}", request_body.len(), "x".repeat(2_000)))
}

/// Returns a refusal with or without the header that names the target.
fn named(mut rsp: Response<Bytes>, refusals: Refusals) -> Response<Bytes> {
    if !refusals.names_target {
        rsp.headers_mut().remove("instance-id");
    }
    rsp
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
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
