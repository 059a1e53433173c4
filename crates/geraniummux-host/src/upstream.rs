//! HTTP/1.1 connections to targets, and request-response exchanges on them.

use crate::bodies::{self, BodyError, BodyMemory};
use bytes::Bytes;
use geraniummux_core::Time;
use geraniummux_core::fleet::ResponseLimits;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body::Body as _;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum number of idle connections per target; a host rarely has more requests in flight there.
const MAX_IDLE_PER_TARGET: usize = 6;
/// Time after which an idle connection is closed; targets close theirs after about ten seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes on the wire that a response of undeclared length may have for each byte of its body, for the
/// framing of chunks.
const FRAMING_FACTOR: u64 = 2;

/// A connection to a target. It is closed when dropped.
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: ReadAllowance,
    /// The peer that relays the connection.
    relay: Option<SocketAddr>,
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
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Self::on_stream(addr, stream, None).await
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
    ) -> io::Result<Self> {
        Self::on_stream(addr, stream, Some(relay)).await
    }

    async fn on_stream(
        addr: SocketAddr,
        stream: TcpStream,
        relay: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let allowance = ReadAllowance::default();
        let stream = LimitedStream { stream, allowance: allowance.clone() };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| io::Error::other(e.to_string()))?;
        // The exchange on a connection reports how the connection ended.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        Ok(Connection { addr, sender, task, allowance, relay })
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

    fn is_open(&self) -> bool {
        !self.sender.is_closed()
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

/// Why an exchange returned no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The connection was closed before any part of the request was written.
    NotSent,
    /// The connection broke before the head of a response arrived.
    NoResponse,
    /// The response is not valid HTTP or ended early.
    BadResponse,
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
            ExchangeError::NoResponse => "no_answer",
            ExchangeError::BadResponse => "bad_answer",
            ExchangeError::TooLarge => "answer_too_large",
            ExchangeError::NoMemory => "no_memory",
        }
    }
}

/// Sends a request and reads the complete response, whose body is limited. Returns the connection if it
/// can be reused.
///
/// The connection is closed as soon as the target has sent more than such a response can need,
/// whether in the head, the body, the framing of chunks or trailers.
///
/// # Errors
///
/// Fails if there is no complete response; [`ExchangeError::NotSent`] is returned only if the target
/// can't have executed the request.
pub async fn exchange(
    mut conn: Connection,
    req: Request<Full<Bytes>>,
    limits: ResponseLimits,
    memory: BodyMemory,
) -> Result<(TargetResponse, Option<Connection>), ExchangeError> {
    let framed = limits.undeclared.saturating_mul(FRAMING_FACTOR);
    conn.allowance.set(framed + MAX_HEAD_BYTES as u64);
    if conn.sender.ready().await.is_err() {
        return Err(ExchangeError::NotSent);
    }
    let rsp = match conn.sender.try_send_request(req).await {
        Ok(rsp) => rsp,
        Err(e) if e.message().is_some() => return Err(ExchangeError::NotSent),
        Err(_) if conn.allowance.is_exhausted() => return Err(ExchangeError::TooLarge),
        Err(e) if e.error().is_parse_too_large() => return Err(ExchangeError::TooLarge),
        Err(e) if e.error().is_parse() => return Err(ExchangeError::BadResponse),
        Err(_) => return Err(ExchangeError::NoResponse),
    };
    let (parts, body) = rsp.into_parts();
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
    let response = TargetResponse { status: parts.status, headers: parts.headers, body };
    let closes = has_token(response.headers.get(CONNECTION), "close");
    let conn = (!closes && conn.is_open()).then_some(conn);
    Ok((response, conn))
}

/// Number of bytes that may still be read from a connection.
#[derive(Clone, Debug, Default)]
struct ReadAllowance(Arc<AtomicU64>);

impl ReadAllowance {
    fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: u64) {
        let left = self.0.load(Ordering::Relaxed);
        self.set(left.saturating_sub(bytes));
    }
}

/// A stream of which no more is read than its allowance.
struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
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
    /// Takes the most recently used idle connection to a target, and the time for which it was idle.
    pub fn take_idle(&self, now: Time, addr: SocketAddr) -> Option<(Connection, Duration)> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let i = idle.binary_search_by_key(&addr, |(a, _)| *a).ok()?;
        while let Some(last) = idle[i].1.pop() {
            let idle_time = now.since(last.since);
            if last.conn.is_open() && idle_time < IDLE_TIMEOUT {
                return Some((last.conn, idle_time));
            }
        }
        None
    }

    /// Sets how many idle connections are kept per target, between 1 and `MAX_IDLE_PER_TARGET`.
    pub fn set_idle_limit(&self, limit: usize) {
        self.limit.store(limit.clamp(1, MAX_IDLE_PER_TARGET), Ordering::Relaxed);
    }

    /// Keeps a connection for reuse; the least recently used one is closed if there are too many.
    pub fn put_idle(&self, now: Time, conn: Connection) {
        if !conn.is_open() {
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
