//! HTTP/1.1 connections to targets, and request-response exchanges on them.
//!
//! [`exchange`] is the one place where a message is written to a target, and where a response is matched with it.
//! What it returns is the target's response to that message, so that what the response says can be believed.

use crate::bodies::{self, BodyError, BodyMemory};
use crate::protocol::HeaderNames;
use bytes::Bytes;
use geraniummux_core::fleet::{CarriedRequests, ResponseLimits};
use geraniummux_core::{Time, is_final_status};
use http::header::{CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body::Body as _;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Maximum number of idle connections per target; a host rarely has more requests in flight there.
const MAX_IDLE_PER_TARGET: usize = 6;
/// Time after which an idle connection is closed; targets close theirs after about ten seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes on the wire that a response of undeclared length may have for each byte of its body, for the
/// framing of chunks.
const FRAMING_FACTOR: u64 = 2;

/// Bytes after a complete response from which a target counts as sending them without end. Fewer, such as a
/// response that is sent twice, only cost the connection.
const ENDLESS_SURPLUS_BYTES: usize = 64 << 10;
/// Time in which these bytes have to arrive. The connection is closed after that.
const SURPLUS_WAIT: Duration = Duration::from_millis(300);

/// Called once if a target goes on sending after a complete response.
pub type OnEndlessSurplus = Box<dyn FnOnce() + Send>;

/// A connection to a target. It is closed when dropped.
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: ReadAllowance,
    /// The peer that relays the connection.
    relay: Option<SocketAddr>,
    /// Differs from those of this host's other connections to targets; for logs.
    number: u64,
    /// Requests and probes that were passed to the connection.
    messages: u32,
    carried: CarriedRequests,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the connection.
    pub async fn open(addr: SocketAddr, on_surplus: OnEndlessSurplus) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Self::on_stream(addr, stream, None, on_surplus).await
    }

    /// Returns the connection to a target that the peer `relay` relays on `stream`.
    ///
    /// # Errors
    ///
    /// Fails if the stream is broken.
    pub async fn relayed(
        addr: SocketAddr,
        stream: TcpStream,
        relay: SocketAddr,
        on_surplus: OnEndlessSurplus,
    ) -> io::Result<Self> {
        Self::on_stream(addr, stream, Some(relay), on_surplus).await
    }

    async fn on_stream(
        addr: SocketAddr,
        stream: TcpStream,
        relay: Option<SocketAddr>,
        on_surplus: OnEndlessSurplus,
    ) -> io::Result<Self> {
        let allowance = ReadAllowance::default();
        let stream = LimitedStream {
            stream,
            allowance: allowance.clone(),
            surplus: 0,
            on_surplus: Some(on_surplus),
        };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| io::Error::other(e.to_string()))?;
        // The exchange on a connection reports how the connection ended.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let carried = CarriedRequests::default();
        Ok(Connection { addr, sender, task, allowance, relay, number, messages: 0, carried })
    }

    /// Returns the target's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether a peer relays the connection.
    pub fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }

    /// Returns the peer that relays the connection.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Returns the number by which logs name the connection.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns how many requests and probes were passed to the connection.
    pub fn messages(&self) -> u32 {
        self.messages
    }

    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Checks that a response is the one to the request with the given id or, without an id, to a probe.
    fn match_response(
        &self,
        parts: &Parts,
        id: Option<&HeaderValue>,
        names: &HeaderNames,
    ) -> Result<(), ExchangeError> {
        let headers = &parts.headers;
        let unproven = || ExchangeError::Unproven(pause(parts.status, headers));
        let mut echoes = headers.get_all(&names.request_id).iter();
        let echo = echoes.next();
        if echoes.any(|e| Some(e) != echo) || headers.values().any(contains_status_line) {
            return Err(ExchangeError::Merged);
        }
        match (id, echo) {
            (Some(id), Some(echo)) if id == echo => Ok(()),
            (Some(_), Some(_)) => Err(ExchangeError::OtherRequest),
            (Some(_), None) => Err(unproven()),
            (None, Some(echo)) if self.carried.contains(echo.as_bytes()) => {
                Err(ExchangeError::OtherRequest)
            }
            (None, _) if headers.contains_key(&names.answering_target) => Ok(()),
            (None, _) => Err(unproven()),
        }
    }
}

/// A target's complete response.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl TargetResponse {
    /// Returns for how long a target that refuses a request with 503 accepts no others, if it says so.
    pub fn pause(&self) -> Option<Duration> {
        pause(self.status, &self.headers)
    }
}

fn pause(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Why an exchange returned no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection was closed before any part of the request was written.
    NotSent,
    /// The connection has carried a request with this id before, so that nothing was written. A guard: callers choose
    /// their connections by the id.
    Carried,
    /// The connection broke before the head of a response arrived.
    NoResponse,
    /// The response is not valid HTTP, has no final status, or ended early.
    BadResponse,
    /// The response carries the id of another request.
    OtherRequest,
    /// The head stopped early and goes on with that of another response, as a value or several ids show.
    Merged,
    /// Nothing in the response shows that it is the one to the message. It asks for this pause, which is believed, as it
    /// is no copy of the refusal of a request, whose id it would carry.
    Unproven(Option<Duration>),
    /// The response is longer than the limit.
    TooLarge,
    /// This host has no memory left for the response.
    NoMemory,
}

impl ExchangeError {
    /// Returns the name of the error in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ExchangeError::NotSent => "not_sent",
            ExchangeError::Carried => "id_carried_before",
            ExchangeError::NoResponse => "no_answer",
            ExchangeError::BadResponse => "bad_answer",
            ExchangeError::OtherRequest => "answer_of_other_request",
            ExchangeError::Merged => "merged_answer",
            ExchangeError::Unproven(_) => "unproven_answer",
            ExchangeError::TooLarge => "answer_too_large",
            ExchangeError::NoMemory => "no_memory",
        }
    }
}

/// Sends the request with an id or, without one, a probe, and reads the complete response, whose body is limited.
/// Returns the connection if it can be reused.
///
/// A request's id is sent at most once on a connection, and its response has to carry it and no other. The response to
/// a probe has to name the target, and not to carry the id of a request that the connection has carried.
///
/// The connection is closed as soon as the target has sent more than such a response can need,
/// whether in the head, the body, the framing of chunks or trailers.
///
/// # Errors
///
/// Fails if there is no complete response to the message; [`ExchangeError::NotSent`] and [`ExchangeError::Carried`]
/// are returned only if the target can't have executed the request.
pub async fn exchange(
    mut conn: Connection,
    mut req: Request<Full<Bytes>>,
    id: Option<&HeaderValue>,
    names: &HeaderNames,
    limits: ResponseLimits,
    memory: BodyMemory,
) -> Result<(TargetResponse, Option<Connection>), ExchangeError> {
    let framed = limits.undeclared.saturating_mul(FRAMING_FACTOR);
    conn.allowance.begin_response(framed + MAX_HEAD_BYTES as u64);
    if conn.sender.ready().await.is_err() {
        return Err(ExchangeError::NotSent);
    }
    if let Some(id) = id {
        if !conn.carried.add(id.as_bytes()) {
            return Err(ExchangeError::Carried);
        }
        req.headers_mut().insert(&names.request_id, id.clone());
    }
    conn.messages += 1;
    let rsp = match conn.sender.try_send_request(req).await {
        Ok(rsp) => rsp,
        Err(e) if e.message().is_some() => return Err(ExchangeError::NotSent),
        Err(_) if conn.allowance.is_exhausted() => return Err(ExchangeError::TooLarge),
        Err(e) if e.error().is_parse_too_large() => return Err(ExchangeError::TooLarge),
        Err(e) if e.error().is_parse() => return Err(ExchangeError::BadResponse),
        Err(_) => return Err(ExchangeError::NoResponse),
    };
    let (parts, body) = rsp.into_parts();
    if !is_final_status(parts.status.as_u16()) {
        return Err(ExchangeError::BadResponse);
    }
    conn.match_response(&parts, id, names)?;
    let limit = match body.size_hint().exact() {
        Some(len) if len > limits.declared => return Err(ExchangeError::TooLarge),
        Some(len) => {
            conn.allowance.set(len + MAX_HEAD_BYTES as u64);
            len
        }
        // The end of the connection may be that of the peer which relays it, so that it does not show that
        // the response is complete.
        None if conn.is_relayed() && !parts.headers.contains_key(TRANSFER_ENCODING) => {
            return Err(ExchangeError::BadResponse);
        }
        None => limits.undeclared,
    };
    let body = match bodies::collect(body, limit, memory).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return Err(ExchangeError::TooLarge),
        Err(BodyError::NoMemory) => return Err(ExchangeError::NoMemory),
        Err(BodyError::Broken) if conn.allowance.is_exhausted() => {
            return Err(ExchangeError::TooLarge);
        }
        Err(BodyError::Broken) => return Err(ExchangeError::BadResponse),
    };
    conn.allowance.end_response();
    let response = TargetResponse { status: parts.status, headers: parts.headers, body };
    let closes = has_token(response.headers.get(CONNECTION), "close");
    let conn = (!closes && conn.is_open()).then_some(conn);
    Ok((response, conn))
}

/// What may still be read from a connection.
#[derive(Clone, Debug, Default)]
struct ReadAllowance(Arc<Allowed>);

#[derive(Debug, Default)]
struct Allowed {
    bytes: AtomicU64,
    /// Whether the last response is complete, so that nothing is due.
    is_complete: AtomicBool,
}

impl ReadAllowance {
    fn begin_response(&self, bytes: u64) {
        self.0.is_complete.store(false, Ordering::Relaxed);
        self.set(bytes);
    }

    fn end_response(&self) {
        self.0.is_complete.store(true, Ordering::Relaxed);
    }

    fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Relaxed)
    }

    fn set(&self, bytes: u64) {
        self.0.bytes.store(bytes, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.0.bytes.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: u64) {
        let left = self.0.bytes.load(Ordering::Relaxed);
        self.set(left.saturating_sub(bytes));
    }
}

/// A stream of which no more is read than its allowance. If unread bytes have arrived when it is dropped, it finds out
/// whether a target sends them without end after a complete response.
struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    /// Bytes that were read after a complete response.
    surplus: usize,
    on_surplus: Option<OnEndlessSurplus>,
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        if self.surplus == 0 {
            self.surplus = self.stream.try_read(&mut [0; 1]).unwrap_or(0);
        }
        let runtime = tokio::runtime::Handle::try_current();
        // The stream itself is closed here; its duplicate is read on for a while.
        let duplicate = || {
            let socket = SockRef::from(&self.stream).try_clone()?;
            TcpStream::from_std(socket.into())
        };
        if self.surplus > 0
            && let Ok(runtime) = runtime
            && let Ok(stream) = duplicate()
            && let Some(on_surplus) = self.on_surplus.take()
        {
            let allowance = self.allowance.clone();
            runtime.spawn(measure_surplus(stream, allowance, self.surplus, on_surplus));
        }
    }
}

/// Reads what a target goes on to send, and reports it if there is no end to it although its response is complete.
/// That is known only now, as the connection may end before the exchange has taken the response.
async fn measure_surplus(
    mut stream: TcpStream,
    allowance: ReadAllowance,
    mut surplus: usize,
    report: OnEndlessSurplus,
) {
    let mut buf = vec![0; 8 << 10];
    let reading = async {
        while surplus < ENDLESS_SURPLUS_BYTES {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return false,
                Ok(len) => surplus += len,
            }
        }
        true
    };
    if timeout(SURPLUS_WAIT, reading).await == Ok(true) && allowance.is_complete() {
        report();
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - filled;
        self.allowance.spend(read as u64);
        if self.allowance.is_complete() {
            self.surplus += read;
        }
        if read > 0 && self.allowance.is_exhausted() {
            let e = io::Error::new(io::ErrorKind::InvalidData, "the response is too long");
            return Poll::Ready(Err(e));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Returns whether a header's value goes on with the status line of another response, as it does if a target stops
/// within the value and then writes that response.
fn contains_status_line(value: &HeaderValue) -> bool {
    let is_status_line = |line: &[u8]| {
        let [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', code @ ..] = line else {
            return false;
        };
        code.len() >= 3 && code[..3].iter().all(u8::is_ascii_digit)
    };
    let bytes = value.as_bytes();
    (0..bytes.len()).any(|i| bytes[i] == b'H' && is_status_line(&bytes[i..]))
}

fn has_token(value: Option<&HeaderValue>, token: &str) -> bool {
    let value = value.and_then(|v| v.to_str().ok()).unwrap_or("");
    value.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// An idle connection.
struct Idle {
    conn: Connection,
    since: Time,
}

/// The idle connections to all targets.
pub struct IdleConnections {
    /// Sorted by address; the connections to one target in the order of their last use.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
    /// Maximum number of idle connections per target.
    limit: AtomicUsize,
}

impl Default for IdleConnections {
    fn default() -> Self {
        IdleConnections { idle: Mutex::default(), limit: AtomicUsize::new(MAX_IDLE_PER_TARGET) }
    }
}

impl IdleConnections {
    /// Takes the most recently used idle connection to a target that may carry the request with this id, if one is
    /// given, and the time for which it was idle.
    pub fn take_idle(
        &self,
        now: Time,
        addr: SocketAddr,
        id: Option<&HeaderValue>,
    ) -> Option<(Connection, Duration)> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let i = idle.binary_search_by_key(&addr, |(a, _)| *a).ok()?;
        let kept = &mut idle[i].1;
        kept.retain(|i| i.conn.is_open() && now.since(i.since) < IDLE_TIMEOUT);
        let may_carry = |i: &Idle| id.is_none_or(|id| i.conn.carried.may_carry(id.as_bytes()));
        let last = kept.remove(kept.iter().rposition(may_carry)?);
        Some((last.conn, now.since(last.since)))
    }

    /// Sets how many idle connections are kept per target, between 1 and `MAX_IDLE_PER_TARGET`.
    pub fn set_idle_limit(&self, limit: usize) {
        self.limit.store(limit.clamp(1, MAX_IDLE_PER_TARGET), Ordering::Relaxed);
    }

    /// Keeps a connection for reuse; the least recently used one is closed if there are too many.
    pub fn put_idle(&self, now: Time, conn: Connection) {
        if !conn.is_open() || conn.carried.is_full() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let addr = conn.addr;
        let i = idle.binary_search_by_key(&addr, |(a, _)| *a).unwrap_or_else(|i| {
            idle.insert(i, (addr, Vec::new()));
            i
        });
        let kept = &mut idle[i].1;
        while kept.len() >= self.limit.load(Ordering::Relaxed) {
            kept.remove(0);
        }
        kept.push(Idle { conn, since: now });
    }

    /// Closes all idle connections but those that `keep` names.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Connection) -> bool,
    {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        for (_, kept) in idle.iter_mut() {
            kept.retain(|i| keep(&i.conn));
        }
    }

    /// Closes connections that were idle for too long, and those to addresses for which `is_known`
    /// returns false.
    pub fn sweep<F>(&self, now: Time, is_known: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        for (_, kept) in idle.iter_mut() {
            kept.retain(|i| i.conn.is_open() && now.since(i.since) < IDLE_TIMEOUT);
        }
        idle.retain(|(addr, kept)| !kept.is_empty() && is_known(*addr));
    }
}
