//! Pipelined requests: starts requests that a caller has sent without waiting for the responses before them.
//!
//! hyper's server parses, orders and answers the requests of a connection one at a time. [`CallerStream`] is
//! between it and the socket. It passes each request on when the response to the one before it is written, and
//! meanwhile starts those behind the one in service that may run at the same time, as [`Pipeline`] decides. When
//! hyper gets to such a request, [`Pipelining::serve`] returns the response of the one that runs already.

use crate::host::{Host, Phase};
use crate::{proxy, tasks};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::FutureExt;
use geraniummux_core::fleet::{
    Pipeline, PipelineOptions, PipelinedKind, ReadAheadRequest, RouteIndex,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};
use http_body::Body;
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use slog::error;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWrite, Interest};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Sleep;

/// Maximum number of bytes that are read while a request is in service. A longer head is not looked at before its
/// turn.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes that one call reads.
const MAX_READ_BYTES: usize = 16 << 10;
/// Maximum number of headers; hyper refuses requests with more.
const MAX_HEADERS: usize = 100;
/// Interval at which a connection that is not read further is checked for its end, which unread bytes hide. Callers
/// that have disconnected must be noticed within 500 ms.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The requests of one caller's connection.
#[derive(Clone)]
pub struct Pipelining {
    host: Arc<Host>,
    shared: Arc<Mutex<Shared>>,
}

/// What the stream, the service and the requests that run ahead have in common.
#[derive(Default)]
struct Shared {
    pipeline: Pipeline,
    /// The request that was passed to hyper last, if it was started ahead.
    next: Option<EarlyRequest>,
    /// Waits to pass on the next request when the response in service is written.
    waiting: Option<Waker>,
}

/// A request that was started ahead. Dropping it cancels it.
struct EarlyRequest {
    method: Method,
    uri: Uri,
    task: JoinHandle<Option<Response<Full<Bytes>>>>,
}

impl EarlyRequest {
    /// Waits for the response; `None` if it was dropped.
    async fn response(&mut self) -> Option<Response<Full<Bytes>>> {
        (&mut self.task).await.ok().flatten()
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pipelining {
    /// Returns the state of a new connection.
    pub fn new(host: Arc<Host>) -> Self {
        let pipeline = Pipeline::new(PipelineOptions::default());
        Pipelining { host, shared: Arc::new(Mutex::new(Shared { pipeline, ..Shared::default() })) }
    }

    /// Returns the stream from which hyper has to read the connection.
    pub fn stream(&self, stream: TcpStream) -> CallerStream {
        CallerStream {
            pipelining: self.clone(),
            stream,
            buf: BytesMut::new(),
            framing: Framing::Head { passed: 0 },
            head: None,
            ahead: VecDeque::new(),
            parsed: 0,
            partial: 0,
            hangup_check: None,
        }
    }

    /// Serves the next request in order. While the host is stopping, its response closes the connection, unless
    /// requests behind it have been started.
    pub fn serve(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, Infallible>> + use<> {
        let index = self.host.routes();
        let mut shared = lock(&self.shared);
        // Only requests that are read ahead have a kind; it is the same.
        let was_started = shared.pipeline.take(kind_of(index.as_deref(), &req));
        let early = shared.next.take();
        let early =
            early.filter(|e| was_started && e.method == *req.method() && e.uri == *req.uri());
        drop(shared);
        let Pipelining { host, shared } = self.clone();
        async move {
            let mut rsp = match early {
                None => handle(&host, index, req).await,
                Some(mut early) => match early.response().await {
                    Some(rsp) => rsp,
                    None => handle_again(&host, index, req).await,
                },
            };
            let mut shared = lock(&shared);
            if host.phase() > Phase::Serving && shared.pipeline.started_ahead() == 0 {
                rsp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            shared.pipeline.on_answered();
            Ok(rsp)
        }
    }

    /// Returns whether the connection can be shut down without cutting a request that was started or leaving one
    /// unanswered behind a response that does not close the connection.
    pub fn is_settled(&self) -> bool {
        let shared = lock(&self.shared);
        let waits = shared.waiting.is_some() && !shared.pipeline.is_unanswered();
        shared.pipeline.started_ahead() == 0 && !waits
    }

    /// Starts a request ahead.
    fn start(
        &self,
        position: u64,
        index: Option<Arc<RouteIndex>>,
        req: Request<Empty<Bytes>>,
    ) -> EarlyRequest {
        self.host.metrics.pipelined_request();
        let (method, uri) = (req.method().clone(), req.uri().clone());
        let host = self.host.clone();
        // The connection owns the request, not the other way round.
        let shared: Weak<Mutex<Shared>> = Arc::downgrade(&self.shared);
        let task = tokio::spawn(async move {
            let rsp = handle(&host, index, req).await;
            let shared = shared.upgrade()?;
            let is_kept = lock(&shared).pipeline.on_response(position, response_bytes(&rsp));
            is_kept.then_some(rsp)
        });
        EarlyRequest { method, uri, task }
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

async fn handle<B>(
    host: &Arc<Host>,
    index: Option<Arc<RouteIndex>>,
    req: Request<B>,
) -> Response<Full<Bytes>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let handled = AssertUnwindSafe(proxy::handle(host, index.as_deref(), req)).catch_unwind().await;
    handled.unwrap_or_else(|panic| {
        error!(host.log, "request_failed"; "cause" => tasks::panic_message(&*panic));
        // The request may have run.
        proxy::failed_response()
    })
}

/// Serves a request that has run already, and whose response was dropped.
async fn handle_again(
    host: &Arc<Host>,
    index: Option<Arc<RouteIndex>>,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let rsp = handle(host, index, req).await;
    match proxy::promises_no_execution(rsp.status()) {
        true => proxy::failed_response(),
        false => rsp,
    }
}

fn response_bytes(rsp: &Response<Full<Bytes>>) -> u64 {
    let head: usize = rsp.headers().iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    rsp.body().size_hint().lower() + head as u64
}

/// Returns how a request relates to the others of its connection.
fn kind_of<B>(index: Option<&RouteIndex>, req: &Request<B>) -> PipelinedKind
where
    B: Body,
{
    let headers = req.headers();
    let is_plain = req.body().is_end_stream()
        && req.version() == Version::HTTP_11
        && req.method() != Method::CONNECT
        && !headers.contains_key(header::UPGRADE);
    if !is_plain || !proxy::route_of(index, req).is_some_and(|r| r.idempotent) {
        return PipelinedKind::Barrier;
    }
    let options = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let mut options = options.flat_map(|v| v.split(','));
    match options.any(|o| o.trim().eq_ignore_ascii_case("close")) {
        true => PipelinedKind::Last,
        false => PipelinedKind::Concurrent,
    }
}

/// What the next byte for hyper belongs to.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// A request's head, of which `passed` bytes were passed on.
    Head { passed: usize },
    /// A request's body, of which `left` bytes were not passed on.
    Body { left: u64 },
    /// The bytes can't be divided into requests here; hyper alone reads the rest of the connection.
    Unknown,
}

/// A complete head in the buffer.
struct Head {
    len: usize,
    /// What follows it.
    rest: Framing,
    /// The request, while it may start ahead and has not.
    waiting: Option<Box<Request<Empty<Bytes>>>>,
    early: Option<EarlyRequest>,
}

/// A caller's connection as hyper reads it; see the [module](self).
pub struct CallerStream {
    pipelining: Pipelining,
    stream: TcpStream,
    /// Bytes that were not passed on, and those of an incomplete head that were.
    buf: BytesMut,
    framing: Framing,
    /// The head at the start of the buffer, which is being passed on.
    head: Option<Head>,
    /// The heads behind it that were read ahead, as in the pipeline.
    ahead: VecDeque<Head>,
    /// Size of all these heads.
    parsed: usize,
    /// Number of bytes behind them that hold no complete head.
    partial: usize,
    hangup_check: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Passes bytes on to hyper; returns whether there were any.
    fn pass_on(&mut self, out: &mut ReadBufCursor<'_>) -> bool {
        match self.framing {
            Framing::Head { passed } => self.pass_on_head(passed, out),
            Framing::Body { left } => {
                let available = left.min(self.buf.len() as u64) as usize;
                let n = available.min(out.remaining());
                self.pass_on_bytes(n, out);
                self.framing = match left - n as u64 {
                    0 => Framing::Head { passed: 0 },
                    left => Framing::Body { left },
                };
                n > 0
            }
            Framing::Unknown => {
                let n = self.buf.len().min(out.remaining());
                self.pass_on_bytes(n, out);
                n > 0
            }
        }
    }

    fn pass_on_bytes(&mut self, n: usize, out: &mut ReadBufCursor<'_>) {
        out.put_slice(&self.buf[..n]);
        self.consume(n);
    }

    fn consume(&mut self, n: usize) {
        self.buf.advance(n);
        if self.buf.is_empty() {
            // Idle connections hold no buffer.
            self.buf = BytesMut::new();
        }
    }

    /// Passes on bytes of the next head when it is its turn.
    fn pass_on_head(&mut self, passed: usize, out: &mut ReadBufCursor<'_>) -> bool {
        let shared = self.pipelining.shared.clone();
        let mut shared = lock(&shared);
        if shared.pipeline.is_in_service() {
            return false;
        }
        shared.waiting = None;
        if self.head.is_none() {
            self.head = self.ahead.pop_front().or_else(|| self.parse_next(|_| None));
        }
        let Some(head) = &mut self.head else {
            // hyper applies the limits on heads as the bytes arrive.
            let n = (self.buf.len() - passed).min(out.remaining());
            out.put_slice(&self.buf[passed..passed + n]);
            self.framing = Framing::Head { passed: passed + n };
            if passed + n >= MAX_READ_AHEAD_BYTES {
                self.stop_framing(passed + n);
            }
            return n > 0;
        };
        if matches!(head.rest, Framing::Unknown) {
            self.stop_framing(passed);
            return self.pass_on(out);
        }
        let n = (head.len - passed).min(out.remaining());
        out.put_slice(&self.buf[passed..passed + n]);
        self.framing = Framing::Head { passed: passed + n };
        if passed + n == head.len {
            self.framing = head.rest;
            shared.next = head.early.take();
            self.head = None;
            self.parsed -= passed + n;
            self.consume(passed + n);
        }
        n > 0
    }

    /// Leaves the rest of the connection to hyper; `passed` bytes of the buffer were passed on.
    fn stop_framing(&mut self, passed: usize) {
        self.framing = Framing::Unknown;
        self.head = None;
        self.consume(passed);
    }

    /// Parses the first head behind those that were parsed; `None` if it is incomplete.
    fn parse_next<F>(&mut self, request: F) -> Option<Head>
    where
        F: FnOnce(&httparse::Request<'_, '_>) -> Option<Request<Empty<Bytes>>>,
    {
        let rest = &self.buf[self.parsed..];
        // A head that arrives in small pieces is not parsed again with each of them.
        let is_complete =
            self.partial == 0 || contains_head_end(&rest[self.partial.saturating_sub(2)..]);
        let head = if is_complete { parse_head(rest, request) } else { None };
        self.partial = if head.is_none() { rest.len() } else { 0 };
        self.parsed += head.as_ref().map_or(0, |h| h.len);
        head
    }

    /// Starts the requests in the buffer that may run at the same time as the one in service.
    fn start_ahead(&mut self) {
        let host = self.pipelining.host.clone();
        if self.buf.is_empty() || host.phase() > Phase::Serving {
            return;
        }
        let index = host.routes();
        let shared = self.pipelining.shared.clone();
        let mut shared = lock(&shared);
        while self.buf.len() > self.parsed && shared.pipeline.may_look_ahead() {
            let Some(mut head) = self.parse_next(to_request) else { break };
            let mut kind = PipelinedKind::Barrier;
            let mut response_bytes = 0;
            if let (Some(req), Framing::Head { .. }) = (&head.waiting, head.rest)
                && let Some(route) = proxy::route_of(index.as_deref(), req)
            {
                kind = kind_of(index.as_deref(), req);
                let mut fleet = host.fleet();
                let typical = fleet.typical_request(&route.name, route.latency_target);
                response_bytes = typical.body_bytes as u64;
            }
            if kind == PipelinedKind::Barrier {
                head.waiting = None;
            }
            let head_bytes = head.len as u64;
            shared.pipeline.read_ahead(ReadAheadRequest { kind, head_bytes, response_bytes });
            self.ahead.push_back(head);
        }
        while let Some(position) = shared.pipeline.start_next() {
            let Some(head) = self.ahead.iter_mut().find(|h| h.waiting.is_some()) else { break };
            // The routes may have changed since the request was read. It runs in its turn then.
            let req = head.waiting.take();
            let req = req.filter(|r| kind_of(index.as_deref(), r) != PipelinedKind::Barrier);
            head.early = req.map(|req| self.pipelining.start(position, index.clone(), *req));
        }
    }

    /// Reads into the buffer; returns whether the connection goes on. `len` is the space to provide.
    fn poll_fill(&mut self, cx: &mut Context<'_>, len: usize) -> Poll<io::Result<bool>> {
        ready!(self.stream.poll_read_ready(cx))?;
        self.buf.reserve(len);
        // Keeps no state between calls.
        let read = pin!(self.stream.read_buf(&mut self.buf)).poll(cx);
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
        read.map_ok(|n| n > 0)
    }

    /// Waits until the caller has closed the connection, without reading it.
    fn poll_hangup(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = self.stream.ready(Interest::READABLE).now_or_never();
            if ready.is_some_and(|r| r.is_ok_and(|r| r.is_read_closed())) {
                return Poll::Ready(());
            }
            let check = self
                .hangup_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(HANGUP_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(cx));
            self.hangup_check = None;
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut out: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.pass_on(&mut out) {
                return Poll::Ready(Ok(()));
            }
            let mut len = out.remaining().clamp(1, MAX_READ_BYTES);
            if matches!(this.framing, Framing::Head { .. }) {
                this.start_ahead();
                let mut shared = lock(&this.pipelining.shared);
                if shared.pipeline.is_in_service() {
                    shared.waiting = (!this.buf.is_empty()).then(|| cx.waker().clone());
                    let is_full = shared.pipeline.is_full();
                    drop(shared);
                    len = MAX_READ_AHEAD_BYTES.saturating_sub(this.buf.len()).min(len);
                    if is_full || len == 0 {
                        // hyper cancels the request in service at the end of the connection.
                        return this.poll_hangup(cx).map(Ok);
                    }
                }
            }
            this.hangup_check = None;
            if !ready!(this.poll_fill(cx, len))? {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes when it has written all that it has encoded.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        let mut shared = lock(&this.pipelining.shared);
        if shared.pipeline.on_written()
            && let Some(waiting) = &shared.waiting
        {
            waiting.wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Returns whether a head may end within `bytes`.
fn contains_head_end(bytes: &[u8]) -> bool {
    bytes.iter().enumerate().any(|(i, b)| {
        let rest = &bytes[i + 1..];
        *b == b'\n' && (rest.starts_with(b"\n") || rest.starts_with(b"\r\n"))
    })
}

/// Parses the head at the start of `buf` with the parser that hyper uses; `None` if it is incomplete.
fn parse_head<F>(buf: &[u8], request: F) -> Option<Head>
where
    F: FnOnce(&httparse::Request<'_, '_>) -> Option<Request<Empty<Bytes>>>,
{
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut []);
    match req.parse_with_uninit_headers(buf, &mut headers) {
        Ok(httparse::Status::Complete(len)) => {
            let waiting = request(&req).map(Box::new);
            Some(Head { len, rest: framing_behind(&req), waiting, early: None })
        }
        Ok(httparse::Status::Partial) => None,
        // hyper refuses it.
        Err(_) => Some(Head { len: 0, rest: Framing::Unknown, waiting: None, early: None }),
    }
}

/// Returns what follows a request's head. Where other readings are possible, hyper decides.
fn framing_behind(req: &httparse::Request<'_, '_>) -> Framing {
    let mut len = None;
    for h in req.headers.iter() {
        if h.name.eq_ignore_ascii_case(header::TRANSFER_ENCODING.as_str()) {
            return Framing::Unknown;
        }
        if h.name.eq_ignore_ascii_case(header::CONTENT_LENGTH.as_str()) {
            let is_number = h.value.iter().all(u8::is_ascii_digit);
            let value = str::from_utf8(h.value).ok().filter(|_| is_number);
            match value.and_then(|v| v.parse::<u64>().ok()) {
                Some(value) if len.is_none_or(|l| l == value) => len = Some(value),
                _ => return Framing::Unknown,
            }
        }
    }
    match len {
        _ if req.method == Some(Method::CONNECT.as_str()) => Framing::Unknown,
        None | Some(0) => Framing::Head { passed: 0 },
        Some(left) => Framing::Body { left },
    }
}

/// Returns a request without a body as hyper would; `None` if hyper would refuse it.
fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<Empty<Bytes>>> {
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for h in head.headers.iter() {
        let name = HeaderName::from_bytes(h.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(h.value).ok()?);
    }
    let mut req = Request::new(Empty::new());
    *req.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(head.path?).ok()?;
    *req.version_mut() = if head.version? == 1 { Version::HTTP_11 } else { Version::HTTP_10 };
    *req.headers_mut() = headers;
    Some(req)
}
