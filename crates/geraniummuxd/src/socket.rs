//! A TCP stream that reports the bytes read and written by hyper to an observer, while a second
//! owner has access to the socket.

use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observer of the reads and writes on a stream.
pub trait Observer: Send + Sync + 'static {
    /// Called directly before each write; an error prevents the write.
    ///
    /// # Errors
    ///
    /// The returned error is passed to the writer.
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called with bytes that were read from the stream.
    fn on_read(&self, _bytes: &[u8]) {}

    /// Called with bytes that the kernel accepted for sending.
    fn on_write(&self, bytes: &[u8]);

    /// Called when the writer flushes, after the kernel has accepted all its bytes.
    fn on_flush(&self) {}
}

/// A stream whose reads and writes are reported to an [`Observer`].
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: Arc<TcpStream>,
    observer: Arc<O>,
}

impl<O> ObservedStream<O>
where
    O: Observer,
{
    /// Returns a stream that reports to `observer`. Other owners of `stream` must not read or
    /// write.
    pub fn new(stream: Arc<TcpStream>, observer: Arc<O>) -> Self {
        ObservedStream { stream, observer }
    }

    fn poll_write_with<F>(&self, cx: &mut Context<'_>, mut write: F) -> Poll<io::Result<usize>>
    where
        F: FnMut(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            self.observer.before_write()?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Sets the socket options of an HTTP connection: `TCP_NODELAY`, and `TCP_USER_TIMEOUT`, which
/// closes the connection if sent data is not acknowledged for `user_timeout`.
pub fn set_options(stream: &TcpStream, user_timeout: Duration) {
    // The connection also works without these options.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

impl<O> AsyncRead for ObservedStream<O>
where
    O: Observer,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.observer.on_read(&buf.filled()[before..]);
                    return Poll::Ready(result.map(|_| ()));
                }
            }
        }
    }
}

impl<O> AsyncWrite for ObservedStream<O>
where
    O: Observer,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(self.poll_write_with(cx, |stream| stream.try_write(buf)))?;
        self.observer.on_write(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs)))?;
        let mut remaining = n;
        for buf in bufs {
            let written = remaining.min(buf.len());
            self.observer.on_write(&buf[..written]);
            remaining -= written;
        }
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
