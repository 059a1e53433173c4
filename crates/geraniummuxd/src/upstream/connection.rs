//! One connection to a target.

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

/// A target that doesn't acknowledge data for this long has lost the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of an answer that is searched for its head, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// Counts what a connection has written, refuses to begin a request after its deadline, and keeps
/// the head of the answer as it arrived.
#[derive(Debug)]
pub struct Progress {
    clock: Clock,
    written: AtomicU64,
    /// Value of `written` when the present request was handed to hyper.
    begin: AtomicU64,
    /// Latest time for the first byte of the present request, in microseconds.
    not_after: AtomicU64,
    /// What arrived since the present request was handed to hyper, up to the end of the head.
    head: Mutex<Vec<u8>>,
}

impl Progress {
    fn head(&self) -> MutexGuard<'_, Vec<u8>> {
        self.head.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_untouched(&self) -> bool {
        self.written.load(Ordering::Acquire) == self.begin.load(Ordering::Acquire)
    }
}

impl Observer for Progress {
    fn before_write(&self) -> io::Result<()> {
        // The process may have been paused since the request was handed over.
        let late = self.clock.now().as_micros() > self.not_after.load(Ordering::Acquire);
        if late && self.is_untouched() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the deadline has passed"));
        }
        Ok(())
    }

    fn on_read(&self, bytes: &[u8]) {
        let mut head = self.head();
        let known = head.len();
        if known >= MAX_HEAD || head.ends_with(b"\r\n\r\n") {
            return;
        }
        head.extend_from_slice(&bytes[..bytes.len().min(MAX_HEAD - known)]);
        let end = head.windows(4).skip(known.saturating_sub(3)).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            head.truncate(known.saturating_sub(3) + end + 4);
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
    progress: Arc<Progress>,
    task: AbortHandle,
    addr: SocketAddr,
    /// When the last whole answer arrived; `None` if the connection is new.
    pub(super) answered: Option<Time>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept it.
    pub async fn open(addr: SocketAddr, clock: Clock) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        socket::set_options(&stream, USER_TIMEOUT);
        let stream = Arc::new(stream);
        let progress = Arc::new(Progress {
            clock,
            written: AtomicU64::new(0),
            begin: AtomicU64::new(0),
            not_after: AtomicU64::new(u64::MAX),
            head: Mutex::default(),
        });
        let io = TokioIo::new(ObservedStream::new(stream.clone(), progress.clone()));
        let (tx, conn) = http1::handshake(io).await.map_err(io::Error::other)?;
        // Errors of the connection reach its request through `tx`.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        Ok(Connection { tx, stream, progress, task, addr, answered: None })
    }

    /// Returns the target's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the connection carried a request before.
    pub fn is_reused(&self) -> bool {
        self.answered.is_some()
    }

    /// Prepares the next request, whose first byte must be written before `not_after`.
    pub(super) fn begin(&self, not_after: Time) {
        let written = self.progress.written.load(Ordering::Acquire);
        self.progress.begin.store(written, Ordering::Release);
        self.progress.not_after.store(not_after.as_micros(), Ordering::Release);
        self.progress.head().clear();
    }

    /// Returns whether the head of the answer has a `content-length`, as it arrived: hyper drops it
    /// from an answer that has a `transfer-encoding` too.
    pub(super) fn has_raw_length(&self) -> bool {
        let name = b"\ncontent-length";
        let head = self.progress.head();
        // After an interim answer the final head was not kept, so nothing is known about it.
        head.starts_with(b"HTTP/1.1 1")
            || head.windows(name.len()).any(|w| w.eq_ignore_ascii_case(name))
    }

    /// Returns whether no byte of the present request was handed to the kernel.
    pub(super) fn is_untouched(&self) -> bool {
        self.progress.is_untouched()
    }

    /// Returns whether nothing arrived since the last answer. Data can only be a late or second
    /// answer, and the end of the stream means that the target closed the connection.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Ending the task closes the socket, which cancels a request in flight at the target.
        self.task.abort();
    }
}
