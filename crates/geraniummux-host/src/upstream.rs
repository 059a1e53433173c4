//! HTTP/1.1 connections to targets, and request-response exchanges on them.

use bytes::Bytes;
use geraniummux_core::Time;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum number of idle connections per target; a host rarely has more requests in flight there.
const MAX_IDLE_PER_TARGET: usize = 6;
/// Time after which an idle connection is closed; targets close theirs after about ten seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A connection to a target. It is closed when dropped.
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
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
        let (sender, conn) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| io::Error::other(e.to_string()))?;
        // The exchange on a connection reports how the connection ended.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        Ok(Connection { addr, sender, task })
    }

    /// Returns the target's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
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
    /// The response is not valid HTTP, is too large, or ended early.
    BadResponse,
}

impl ExchangeError {
    /// Returns the name of the error in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ExchangeError::NotSent => "not_sent",
            ExchangeError::NoResponse => "no_answer",
            ExchangeError::BadResponse => "bad_answer",
        }
    }
}

/// Sends a request and reads the complete response. Returns the connection if it can be reused.
///
/// # Errors
///
/// Fails if there is no complete response; [`ExchangeError::NotSent`] is returned only if the target
/// can't have executed the request.
pub async fn exchange(
    mut conn: Connection,
    req: Request<Full<Bytes>>,
) -> Result<(TargetResponse, Option<Connection>), ExchangeError> {
    if conn.sender.ready().await.is_err() {
        return Err(ExchangeError::NotSent);
    }
    let rsp = match conn.sender.try_send_request(req).await {
        Ok(rsp) => rsp,
        Err(e) if e.message().is_some() => return Err(ExchangeError::NotSent),
        Err(e) if e.error().is_parse() => return Err(ExchangeError::BadResponse),
        Err(_) => return Err(ExchangeError::NoResponse),
    };
    let (parts, body) = rsp.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| ExchangeError::BadResponse)?.to_bytes();
    let response = TargetResponse { status: parts.status, headers: parts.headers, body };
    let closes = has_token(response.headers.get(CONNECTION), "close");
    let conn = (!closes && conn.is_open()).then_some(conn);
    Ok((response, conn))
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
