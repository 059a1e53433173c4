//! Listeners for connections from callers and from the platform.

use crate::directory;
use crate::host::{Host, Phase};
use crate::pipelining::Pipelining;
use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::convert::Infallible;
use std::future::{poll_fn, ready};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Length of the accept queue; a burst of callers arrives within milliseconds.
const LISTEN_BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time beyond the callers' idle timeout after which an idle connection is closed, so that no
/// connection is closed on which a caller may still send a request.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Callers' idle timeout before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum size of the buffer for a request's head; the configuration may allow more. Longer heads
/// are refused with status 431.
const MIN_HEADER_BUFFER_BYTES: usize = 16 << 10;

/// What a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// Callers' requests to targets.
    Requests,
    /// Callers' requests for the host list.
    Directory,
    /// The platform's readiness checks.
    Readiness,
    /// Metrics as text.
    Metrics,
}

impl Service {
    /// Returns the name of the service in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Service::Requests => "requests",
            Service::Directory => "directory",
            Service::Readiness => "readiness",
            Service::Metrics => "metrics",
        }
    }
}

/// Opens the listener of a service.
///
/// # Errors
///
/// Fails if the address can't be bound; the error names the service and the address.
pub fn listen(service: Service, addr: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("{}: can't listen on {addr}", service.as_str()))
}

/// Accepts and serves connections until the task is dropped. The listener for callers' requests
/// stops accepting when the host starts to drain.
pub async fn serve(host: Arc<Host>, service: Service, listener: Arc<TcpListener>) {
    let mut phases = host.phases();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until_draining(&mut phases), if service == Service::Requests => return,
        };
        match accepted {
            Ok((stream, _)) => {
                host.metrics.connection(service.as_str());
                let host = host.clone();
                tokio::spawn(async move { serve_connection(host, service, stream).await });
            }
            Err(e) => {
                warn!(host.log, "accept_failed"; "service" => service.as_str(),
                    "error" => e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(host: Arc<Host>, service: Service, stream: TcpStream) {
    // A failure to set TCP_NODELAY only delays responses.
    let _ = SockRef::from(&stream).set_tcp_nodelay(true);
    let limits = host.routes().map(|r| r.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout) + IDLE_MARGIN;
    let head = limits.map_or(0, |l| l.max_header_bytes).max(MIN_HEADER_BUFFER_BYTES);
    let guard = (service == Service::Requests).then(|| host.register_caller());
    let mut phases = host.phases();
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(idle).max_buf_size(head);
    let respond: fn(&Arc<Host>, &Request<Incoming>) -> Response<Full<Bytes>> = match service {
        Service::Requests => {
            let pipelining = Pipelining::new(host);
            let stream = pipelining.stream(stream);
            let conn = server.serve_connection(stream, service_fn(|req| pipelining.serve(req)));
            finish(conn, &mut phases, || pipelining.is_settled()).await;
            return drop(guard);
        }
        Service::Directory => directory::hosts,
        Service::Readiness => directory::readiness,
        Service::Metrics => |host, _| directory::metrics(host),
    };
    let dispatch = service_fn(|req| ready(Ok::<_, Infallible>(respond(&host, &req))));
    finish(server.serve_connection(TokioIo::new(stream), dispatch), &mut phases, || true).await;
}

/// Serves a connection until its end. When the host drains, it is shut down as soon as it is settled.
async fn finish<I, S, F>(
    conn: http1::Connection<I, S>,
    phases: &mut watch::Receiver<Phase>,
    is_settled: F,
) where
    I: Read + Write + Unpin,
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<Full<Bytes>>,
            Error = Infallible,
        >,
    F: Fn() -> bool,
{
    let mut conn = pin!(conn);
    // On an error the caller has disconnected or violated the protocol; hyper has already responded.
    tokio::select! {
        _ = conn.as_mut() => return,
        () = until_draining(phases) => {}
    }
    let is_over = poll_fn(|cx| match conn.as_mut().poll(cx) {
        Poll::Ready(_) => Poll::Ready(true),
        Poll::Pending if is_settled() => Poll::Ready(false),
        Poll::Pending => Poll::Pending,
    });
    if is_over.await {
        return;
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

async fn until_draining(phases: &mut watch::Receiver<Phase>) {
    if phases.wait_for(|p| *p >= Phase::Draining).await.is_err() {
        std::future::pending().await
    }
}
