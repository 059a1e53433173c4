//! A TCP stream that can be observed by a second owner while hyper reads and writes it.

use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Learns what is read from and written to a stream.
pub trait Observer: Send + Sync + 'static {
    /// Decides directly before a write whether it may take place.
    ///
    /// # Errors
    ///
    /// The error that the writer gets instead.
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }

    /// Bytes arrived.
    fn on_read(&self, _bytes: &[u8]) {}

    /// Bytes were taken over by the kernel.
    fn on_write(&self, bytes: &[u8]);

    /// The writer has handed all its bytes to the kernel.
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
    /// Returns a stream that reports to `observer`. Only one `ObservedStream` may read and write.
    pub fn new(stream: Arc<TcpStream>, observer: Arc<O>) -> Self {
        ObservedStream { stream, observer }
    }

    fn poll_io<F>(&self, cx: &mut Context<'_>, mut write: F) -> Poll<io::Result<usize>>
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

/// Sets the options of every HTTP connection: no delay of small writes, and an end for connections
/// whose peer has stopped acknowledging.
pub fn set_options(stream: &TcpStream, user_timeout: Duration) {
    // A connection without these options still works.
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
        let n = ready!(self.poll_io(cx, |stream| stream.try_write(buf)))?;
        self.observer.on_write(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(self.poll_io(cx, |stream| stream.try_write_vectored(bufs)))?;
        let mut left = n;
        for buf in bufs {
            let part = left.min(buf.len());
            self.observer.on_write(&buf[..part]);
            left -= part;
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
