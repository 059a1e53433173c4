//! Detects whether the caller's TCP acknowledged the last byte of a response.
//!
//! The end of a response is a position in the connection's byte stream, which is determined when
//! the last byte is written to the socket. The response is delivered when all bytes up to that
//! position have left the kernel's send queue.

use crate::frames::FrameScanner;
use crate::socket::Observer;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

/// First interval at which the send queue is polled; quadruples up to `MAX_POLL_INTERVAL`. Callers
/// are about 1 ms away, and may delay an acknowledgement by 40 ms.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Polls of the send queue after which a response counts as not delivered. They take about 27 s, in
/// which TCP retransmits a lost segment several times.
const MAX_POLLS: u32 = 57;

/// Tracks the bytes written to one caller's connection and the ends of the responses in them.
#[derive(Debug)]
pub struct DeliveryTracker {
    stream: Arc<TcpStream>,
    /// Number of bytes that the kernel has accepted.
    written: AtomicU64,
    pending: Mutex<PendingEnds>,
    /// Wakes the tasks that wait for the end of an HTTP/2 stream.
    stream_ended: Notify,
}

/// Responses whose last byte was passed to the HTTP connection but not yet to the kernel.
#[derive(Debug, Default)]
struct PendingEnds {
    /// HTTP/1.1 responses, all of which end with the next flush.
    responses: Vec<oneshot::Sender<u64>>,
    /// HTTP/2 responses, with their stream ids.
    streams: Vec<(u32, oneshot::Sender<u64>)>,
    /// Finds the ends of streams; `None` over HTTP/1.1.
    scanner: Option<FrameScanner>,
}

impl DeliveryTracker {
    /// Returns a tracker for a connection on which nothing was written yet.
    pub fn new(stream: Arc<TcpStream>, http2: bool) -> Self {
        let scanner = http2.then(FrameScanner::default);
        DeliveryTracker {
            stream,
            written: AtomicU64::new(0),
            pending: Mutex::new(PendingEnds { scanner, ..PendingEnds::default() }),
            stream_ended: Notify::new(),
        }
    }

    fn pending(&self) -> MutexGuard<'_, PendingEnds> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Registers a response whose last byte was passed to the HTTP connection, or over HTTP/2 is
    /// about to be passed on `stream`. `end` receives the position after that byte once the kernel
    /// has accepted it, and is dropped if the connection or the stream ends before.
    pub fn track_response_end(&self, stream: Option<u32>, end: oneshot::Sender<u64>) {
        let mut pending = self.pending();
        match stream {
            None => pending.responses.push(end),
            Some(stream) => pending.streams.push((stream, end)),
        }
    }

    /// Waits until the kernel has accepted the end of an HTTP/2 stream that was registered with
    /// [`DeliveryTracker::track_response_end`], or the connection has ended.
    pub async fn stream_written(&self, stream: u32) {
        loop {
            let ended = self.stream_ended.notified();
            if !self.pending().streams.iter().any(|(s, _)| *s == stream) {
                return;
            }
            ended.await;
        }
    }

    /// Drops the registration of an HTTP/2 stream that was reset.
    pub fn stream_failed(&self, stream: u32) {
        self.pending().streams.retain(|(s, _)| *s != stream);
    }

    /// Drops all registrations, since nothing will be written any more.
    pub fn closed(&self) {
        let mut pending = self.pending();
        pending.responses.clear();
        pending.streams.clear();
        drop(pending);
        self.stream_ended.notify_waiters();
    }

    /// Waits until the caller's TCP has acknowledged all bytes up to `end`. Returns `false` if the
    /// connection was reset or the acknowledgement took too long.
    pub async fn wait_acknowledged(&self, end: u64) -> bool {
        let mut interval = MIN_POLL_INTERVAL;
        for _ in 0..MAX_POLLS {
            if self.acknowledged_len().is_some_and(|len| len >= end) {
                return true;
            }
            // A connection that was reset has no peer address and gets no further acknowledgements.
            if self.stream.peer_addr().is_err() {
                return self.acknowledged_len().is_some_and(|len| len >= end);
            }
            tokio::time::sleep(interval).await;
            interval = (interval * 4).min(MAX_POLL_INTERVAL);
        }
        false
    }

    /// Returns a lower bound of the number of bytes that the caller's TCP has acknowledged.
    fn acknowledged_len(&self) -> Option<u64> {
        // `written` is read first: bytes that are written in between only lower the result.
        let written = self.written.load(Ordering::Acquire);
        let queued = send_queue_len(&self.stream)?;
        Some(written.saturating_sub(queued))
    }
}

impl Observer for DeliveryTracker {
    fn on_write(&self, bytes: &[u8]) {
        let before = self.written.fetch_add(bytes.len() as u64, Ordering::AcqRel);
        let mut pending = self.pending();
        let PendingEnds { streams, scanner: Some(scanner), .. } = &mut *pending else { return };
        let mut any = false;
        scanner.scan(bytes, |stream, len| {
            if let Some(i) = streams.iter().position(|(s, _)| *s == stream) {
                // The request may have ended.
                let _ = streams.swap_remove(i).1.send(before + len as u64);
                any = true;
            }
        });
        drop(pending);
        if any {
            self.stream_ended.notify_waiters();
        }
    }

    fn on_flush(&self) {
        let responses = std::mem::take(&mut self.pending().responses);
        let written = self.written.load(Ordering::Acquire);
        for end in responses {
            // The request may have ended.
            let _ = end.send(written);
        }
    }
}

/// Returns the number of bytes in the kernel's send queue that are not acknowledged yet.
fn send_queue_len(stream: &TcpStream) -> Option<u64> {
    let mut len: libc::c_int = 0;
    // SAFETY: TIOCOUTQ (named SIOCOUTQ for sockets) writes one int through the pointer, which is
    // valid for the call; the descriptor is open as long as `stream` is borrowed.
    let rc = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut len) };
    if rc == 0 { u64::try_from(len).ok() } else { None }
}
