//! Response bodies that report when their last byte was passed to the caller's connection.

use crate::delivery::DeliveryTracker;
use crate::upstream::ResponseHead;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep};

/// A streamed response is aborted if the target sends nothing for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The caller's connection and, over HTTP/2, the stream on which a response is sent.
#[derive(Clone, Debug)]
pub struct CallerStream {
    /// Tracks the bytes written to the caller's connection.
    pub delivery: Arc<DeliveryTracker>,
    /// Id of the stream; `None` over HTTP/1.1.
    pub stream: Option<u32>,
}

/// Reports the position of a response's end in the byte stream of the caller's connection, in bytes
/// since the connection was opened, once the kernel has accepted the response's last byte. The
/// receiver fails if the transfer is aborted.
pub struct EndNotifier {
    caller: CallerStream,
    end: Option<oneshot::Sender<u64>>,
}

impl EndNotifier {
    /// Returns a notifier and the receiver of the position.
    pub fn new(caller: CallerStream) -> (Self, oneshot::Receiver<u64>) {
        let (tx, rx) = oneshot::channel();
        (EndNotifier { caller, end: Some(tx) }, rx)
    }

    /// Registers the end of the response, whose last byte was passed on or is passed on next.
    fn notify(&mut self) {
        if let Some(end) = self.end.take() {
            self.caller.delivery.track_response_end(self.caller.stream, end);
        }
    }
}

/// The body of a response that is buffered completely.
pub struct BufferedBody {
    data: Option<Bytes>,
    end_notifier: EndNotifier,
}

impl BufferedBody {
    /// Returns a body that reports its end.
    pub fn new(data: Bytes, end_notifier: EndNotifier) -> Self {
        BufferedBody { data: Some(data).filter(|d| !d.is_empty()), end_notifier }
    }
}

impl Body for BufferedBody {
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

impl Drop for BufferedBody {
    fn drop(&mut self) {
        // The end is reported on drop, since an empty body is never polled.
        if self.data.is_none() {
            self.end_notifier.notify();
        }
    }
}

/// A body that is relayed while it is received from the target. An error aborts the transfer to the
/// caller.
pub struct StreamedBody {
    prefix: Option<Bytes>,
    /// The rest of the body, with the connection, which is closed when the body is dropped.
    head: Box<ResponseHead>,
    /// Whether the last byte was received.
    ended: bool,
    stall_timer: Pin<Box<Sleep>>,
    /// Whether the last poll returned no data, so that `stall_timer` is running.
    waiting: bool,
    end_notifier: EndNotifier,
}

impl StreamedBody {
    /// Returns a body that begins with `prefix` and continues with the body of `head`.
    pub fn new(prefix: Bytes, head: Box<ResponseHead>, end_notifier: EndNotifier) -> Self {
        let stall_timer = Box::pin(tokio::time::sleep(STALL_TIMEOUT));
        let prefix = Some(prefix).filter(|p| !p.is_empty());
        StreamedBody { prefix, head, ended: false, stall_timer, waiting: false, end_notifier }
    }
}

impl Body for StreamedBody {
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
                // The timer starts here, so that the time that a slow caller takes between polls
                // doesn't count as a stall of the target.
                if !std::mem::replace(&mut this.waiting, true) {
                    this.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                }
                ready!(this.stall_timer.as_mut().poll(cx));
                let stalled = io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the target stopped sending the response body",
                );
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

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if self.ended {
            self.end_notifier.notify();
        }
    }
}
