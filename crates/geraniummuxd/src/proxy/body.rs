//! Bodies of responses to callers, which report how their transfer ended.

use crate::delivery::Outgoing;
use crate::upstream::Head;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep};

/// A long answer of which nothing arrives for this time is aborted.
const MAX_STALL: Duration = Duration::from_secs(30);

/// Where a response is sent.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The caller's connection.
    pub outgoing: Arc<Outgoing>,
    /// The stream, over HTTP/2.
    pub stream: Option<u32>,
}

/// Reports the end of a transfer: the position of its last byte in the caller's connection, or
/// nothing if it broke.
pub struct EndReport {
    transfer: Transfer,
    end: Option<oneshot::Sender<u64>>,
}

impl EndReport {
    /// Returns a report and where it arrives.
    pub fn new(transfer: Transfer) -> (Self, oneshot::Receiver<u64>) {
        let (tx, rx) = oneshot::channel();
        (EndReport { transfer, end: Some(tx) }, rx)
    }

    fn complete(&mut self) {
        if let Some(end) = self.end.take() {
            self.transfer.outgoing.response_ended(self.transfer.stream, end);
        }
    }
}

/// A body of which all bytes are at hand.
pub struct WholeBody {
    data: Option<Bytes>,
    report: EndReport,
}

impl WholeBody {
    /// Returns a body that reports its end.
    pub fn new(data: Bytes, report: EndReport) -> Self {
        WholeBody { data: Some(data).filter(|d| !d.is_empty()), report }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |d| d.len() as u64))
    }
}

impl Drop for WholeBody {
    fn drop(&mut self) {
        // An empty body is dropped without being polled.
        if self.data.is_none() {
            self.report.complete();
        }
    }
}

/// A body that is relayed while it arrives. An error aborts the transfer to the caller.
pub struct LongBody {
    prefix: Option<Bytes>,
    /// Holds the connection, which is closed with the body.
    head: Box<Head>,
    ended: bool,
    stall: Pin<Box<Sleep>>,
    /// Whether the last poll found nothing, so that `stall` runs.
    waiting: bool,
    report: EndReport,
}

impl LongBody {
    /// Returns a body that begins with `prefix` and goes on with what `head` receives.
    pub fn new(prefix: Bytes, head: Box<Head>, report: EndReport) -> Self {
        let stall = Box::pin(tokio::time::sleep(MAX_STALL));
        let prefix = Some(prefix).filter(|p| !p.is_empty());
        LongBody { prefix, head, ended: false, stall, waiting: false, report }
    }
}

impl Body for LongBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let this = &mut *self;
        let frame = match Pin::new(&mut this.head.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                // The time that a slow caller takes between polls is not the target's.
                if !std::mem::replace(&mut this.waiting, true) {
                    this.stall.as_mut().reset(Instant::now() + MAX_STALL);
                }
                ready!(this.stall.as_mut().poll(cx));
                let stalled = io::Error::new(io::ErrorKind::TimedOut, "the target sends nothing");
                return Poll::Ready(Some(Err(stalled)));
            }
        };
        this.waiting = false;
        this.ended = match &frame {
            None => true,
            Some(Ok(_)) => this.head.body.is_end_stream(),
            Some(Err(_)) => false,
        };
        Poll::Ready(frame.map(|f| f.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.head.body.size_hint();
        let prefix = self.prefix.as_ref().map_or(0, |p| p.len() as u64);
        match rest.exact() {
            Some(len) => SizeHint::with_exact(len + prefix),
            None => SizeHint::default(),
        }
    }
}

impl Drop for LongBody {
    fn drop(&mut self) {
        if self.ended {
            self.report.complete();
        }
    }
}
