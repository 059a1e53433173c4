//! An HTTP/1.1 connection to a target.

use crate::clock::Clock;
use crate::socket::{self, ObservedStream, Observer};
use bytes::Bytes;
use geraniummux_core::Time;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// `TCP_USER_TIMEOUT` of connections to targets: the connection counts as broken if the target
/// doesn't acknowledge data for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest part of a response's head that is kept for [`Connection::has_raw_content_length`], which
/// bounds the memory of a connection. A `content-length` beyond it is not found.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Observes the socket of a connection: counts the written bytes, refuses to start a request after
/// its latest send time, and keeps the raw head of the response.
#[derive(Debug)]
pub struct ConnectionObserver {
    clock: Clock,
    /// Number of bytes that the kernel has accepted.
    written: AtomicU64,
    /// Value of `written` when the current request was passed to hyper.
    request_start: AtomicU64,
    /// Latest time to send the first byte of the current request, in microseconds.
    not_after: AtomicU64,
    /// Bytes received since the current request was passed to hyper, up to the end of the head.
    head: Mutex<Vec<u8>>,
}

impl ConnectionObserver {
    fn head(&self) -> MutexGuard<'_, Vec<u8>> {
        self.head.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_unsent(&self) -> bool {
        self.written.load(Ordering::Acquire) == self.request_start.load(Ordering::Acquire)
    }
}

impl Observer for ConnectionObserver {
    fn before_write(&self) -> io::Result<()> {
        // The process may have been paused since the request was passed to hyper.
        let late = self.clock.now().as_micros() > self.not_after.load(Ordering::Acquire);
        if late && self.is_unsent() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the latest send time of the request has passed",
            ));
        }
        Ok(())
    }

    fn on_read(&self, bytes: &[u8]) {
        let mut head = self.head();
        let kept_len = head.len();
        if kept_len >= MAX_HEAD_BYTES || head.ends_with(b"\r\n\r\n") {
            return;
        }
        head.extend_from_slice(&bytes[..bytes.len().min(MAX_HEAD_BYTES - kept_len)]);
        let end = head.windows(4).skip(kept_len.saturating_sub(3)).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            head.truncate(kept_len.saturating_sub(3) + end + 4);
        }
    }

    fn on_write(&self, bytes: &[u8]) {
        self.written.fetch_add(bytes.len() as u64, Ordering::AcqRel);
    }
}

/// An HTTP/1.1 connection to a target. It is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    pub(super) tx: SendRequest<Full<Bytes>>,
    stream: Arc<TcpStream>,
    observer: Arc<ConnectionObserver>,
    task: AbortHandle,
    addr: SocketAddr,
    /// When the connection was last returned to the pool after a complete response; `None` on a new
    /// connection.
    pub(super) last_response_at: Option<Time>,
}

impl Connection {
    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept the connection.
    pub async fn open(addr: SocketAddr, clock: Clock) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        socket::set_options(&stream, TCP_USER_TIMEOUT);
        let stream = Arc::new(stream);
        let observer = Arc::new(ConnectionObserver {
            clock,
            written: AtomicU64::new(0),
            request_start: AtomicU64::new(0),
            not_after: AtomicU64::new(u64::MAX),
            head: Mutex::default(),
        });
        let io = TokioIo::new(ObservedStream::new(stream.clone(), observer.clone()));
        let (tx, conn) = http1::handshake(io).await.map_err(io::Error::other)?;
        // Errors of the connection are reported to its request through `tx`.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        Ok(Connection { tx, stream, observer, task, addr, last_response_at: None })
    }

    /// Returns the target's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the connection comes from the pool, and so has carried an earlier request
    /// and its complete response.
    pub fn is_reused(&self) -> bool {
        self.last_response_at.is_some()
    }

    /// Prepares the next request, whose first byte must not be written after `not_after`.
    pub(super) fn begin_request(&self, not_after: Time) {
        let written = self.observer.written.load(Ordering::Acquire);
        self.observer.request_start.store(written, Ordering::Release);
        self.observer.not_after.store(not_after.as_micros(), Ordering::Release);
        self.observer.head().clear();
    }

    /// Returns whether the raw head of the response has a `content-length`. Hyper removes it from
    /// the parsed headers if there is a `transfer-encoding` as well.
    pub(super) fn has_raw_content_length(&self) -> bool {
        let name = b"\ncontent-length";
        let head = self.observer.head();
        // Only the head of an interim (1xx) response was kept. The final head, which was not, is
        // assumed to contain one.
        head.starts_with(b"HTTP/1.1 1")
            || head.windows(name.len()).any(|w| w.eq_ignore_ascii_case(name))
    }

    /// Returns whether no byte of the current request was passed to the kernel.
    pub(super) fn is_unsent(&self) -> bool {
        self.observer.is_unsent()
    }

    /// Returns whether nothing was received since the last response. Data could only be a late or
    /// second response, and an end of stream means that the target closed the connection.
    pub(super) fn has_no_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Aborting the task closes the socket, which cancels a request in flight at the target.
        self.task.abort();
    }
}
