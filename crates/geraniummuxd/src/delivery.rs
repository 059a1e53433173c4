//! Finds out whether the last byte of a response was acknowledged by the caller's TCP.
//!
//! The end of a response is a position in the connection's byte stream. It is known once the
//! response's last byte was handed to the kernel. The response is delivered when the kernel's send
//! queue no longer reaches back to that position.

use crate::frames::FrameScanner;
use crate::socket::Observer;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

/// First pause before the send queue is looked at again; grows fourfold up to `MAX_PAUSE`. Callers
/// are about 1 ms away, and may delay an acknowledgement by 40 ms.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Looks at the send queue before a response counts as not delivered: about 25 s, in which TCP
/// repeats a lost segment several times.
const MAX_LOOKS: u32 = 57;

/// What is known about the bytes written to one caller.
#[derive(Debug)]
pub struct Outgoing {
    stream: Arc<TcpStream>,
    written: AtomicU64,
    ending: Mutex<Ending>,
    /// Wakes those who wait for the end of an HTTP/2 stream.
    stream_ended: Notify,
}

/// Responses whose last byte was given to the HTTP connection but not yet to the kernel.
#[derive(Debug, Default)]
struct Ending {
    /// Over HTTP/1.1 all of them end with the next flush.
    responses: Vec<oneshot::Sender<u64>>,
    /// Over HTTP/2, by stream.
    streams: Vec<(u32, oneshot::Sender<u64>)>,
    /// Present over HTTP/2.
    scanner: Option<FrameScanner>,
}

impl Outgoing {
    /// Returns the state of a connection on which nothing was written yet.
    pub fn new(stream: Arc<TcpStream>, http2: bool) -> Self {
        let scanner = http2.then(FrameScanner::default);
        Outgoing {
            stream,
            written: AtomicU64::new(0),
            ending: Mutex::new(Ending { scanner, ..Ending::default() }),
            stream_ended: Notify::new(),
        }
    }

    fn ending(&self) -> MutexGuard<'_, Ending> {
        self.ending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Notes that the HTTP connection took the last byte of a response, or over HTTP/2 is about to
    /// take the last byte of `stream`. `end` receives the position of that byte once it is in the
    /// kernel; it is dropped if the connection or the stream ends before.
    pub fn response_ended(&self, stream: Option<u32>, end: oneshot::Sender<u64>) {
        let mut ending = self.ending();
        match stream {
            None => ending.responses.push(end),
            Some(stream) => ending.streams.push((stream, end)),
        }
    }

    /// Waits until the end of an HTTP/2 stream that was noted before is in the kernel.
    pub async fn stream_written(&self, stream: u32) {
        loop {
            let ended = self.stream_ended.notified();
            if !self.ending().streams.iter().any(|(s, _)| *s == stream) {
                return;
            }
            ended.await;
        }
    }

    /// Notes that an HTTP/2 stream was reset.
    pub fn stream_failed(&self, stream: u32) {
        self.ending().streams.retain(|(s, _)| *s != stream);
    }

    /// Notes that nothing will be written any more.
    pub fn closed(&self) {
        let mut ending = self.ending();
        ending.responses.clear();
        ending.streams.clear();
        drop(ending);
        self.stream_ended.notify_waiters();
    }

    /// Waits until the caller's TCP has acknowledged all bytes up to `end`. Returns whether it has.
    pub async fn acknowledged(&self, end: u64) -> bool {
        let mut pause = FIRST_PAUSE;
        for _ in 0..MAX_LOOKS {
            if self.acknowledged_len().is_some_and(|len| len >= end) {
                return true;
            }
            // A connection that was reset has no peer and acknowledges nothing more.
            if self.stream.peer_addr().is_err() {
                return self.acknowledged_len().is_some_and(|len| len >= end);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 4).min(MAX_PAUSE);
        }
        false
    }

    /// Returns how many bytes the caller's TCP has acknowledged, at least.
    fn acknowledged_len(&self) -> Option<u64> {
        // Read first: bytes that are written between the two reads only lower the result.
        let written = self.written.load(Ordering::Acquire);
        let queued = send_queue_len(&self.stream)?;
        Some(written.saturating_sub(queued))
    }
}

impl Observer for Outgoing {
    fn on_write(&self, bytes: &[u8]) {
        let before = self.written.fetch_add(bytes.len() as u64, Ordering::AcqRel);
        let mut ending = self.ending();
        let Ending { streams, scanner: Some(scanner), .. } = &mut *ending else { return };
        let mut any = false;
        scanner.scan(bytes, |stream, len| {
            if let Some(i) = streams.iter().position(|(s, _)| *s == stream) {
                // The request may have lost interest.
                let _ = streams.swap_remove(i).1.send(before + len as u64);
                any = true;
            }
        });
        drop(ending);
        if any {
            self.stream_ended.notify_waiters();
        }
    }

    fn on_flush(&self) {
        let responses = std::mem::take(&mut self.ending().responses);
        let written = self.written.load(Ordering::Acquire);
        for end in responses {
            // The request may have lost interest.
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
