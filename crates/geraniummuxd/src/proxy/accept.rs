//! Accepts callers' connections and serves HTTP/1.1 and HTTP/2 on them.

use super::body::CallerStream;
use super::{handle, http2};
use crate::control::Phase;
use crate::delivery::DeliveryTracker;
use crate::shared::Shared;
use crate::socket::{self, ObservedStream};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// `TCP_USER_TIMEOUT` of callers' connections: a connection is closed if the caller doesn't
/// acknowledge or accept data for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which the head of a request must be received.
pub(super) const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// First and longest interval at which a connection is polled for the rest of a partly received
/// HTTP/2 preface. The interval doubles, so that a caller that never sends the rest costs little.
const PREFACE_POLL_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_millis(100));
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts callers on `listener` until the host stops accepting.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut phase = shared.control.phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p >= Phase::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, shared.clone()));
            }
            // Out of file descriptors; one may be closed shortly.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Detects the version of HTTP and serves one connection until its end.
async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _guard = shared.control.register_connection();
    socket::set_options(&stream, TCP_USER_TIMEOUT);
    let mut draining = shared.control.phase();
    let http2 = tokio::select! {
        http2 = tokio::time::timeout(REQUEST_HEAD_TIMEOUT, is_http2(&stream)) => http2,
        // No request has arrived on this connection yet.
        _ = draining.wait_for(|p| *p >= Phase::Draining) => return,
    };
    let Ok(Ok(http2)) = http2 else { return };
    let stream = Arc::new(stream);
    let delivery = Arc::new(DeliveryTracker::new(stream.clone(), http2));
    let io = ObservedStream::new(stream, delivery.clone());
    if http2 {
        http2::serve(io, delivery.clone(), shared).await;
    } else {
        serve_http1(io, delivery.clone(), shared).await;
    }
    delivery.closed();
}

/// Returns whether the connection begins with the HTTP/2 preface.
async fn is_http2(stream: &TcpStream) -> io::Result<bool> {
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";
    let mut buf = [0; PREFACE.len()];
    let (mut interval, longest) = PREFACE_POLL_INTERVAL;
    loop {
        let n = stream.peek(&mut buf).await?;
        if n == 0 || !PREFACE.starts_with(&buf[..n]) {
            return Ok(false);
        }
        if n == PREFACE.len() {
            return Ok(true);
        }
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(longest);
    }
}

async fn serve_http1(
    io: ObservedStream<DeliveryTracker>,
    delivery: Arc<DeliveryTracker>,
    shared: Arc<Shared>,
) {
    let mut draining = shared.control.phase();
    let mut aborting = shared.control.phase();
    let service = tower::service_fn(move |req| {
        let caller = CallerStream { delivery: delivery.clone(), stream: None };
        let rsp = handle(shared.clone(), caller, req);
        async move { Ok::<_, Infallible>(rsp.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(REQUEST_HEAD_TIMEOUT);
    let conn = builder.serve_connection(TokioIo::new(io), TowerToHyperService::new(service));
    let mut conn = pin!(conn);
    let mut graceful = false;
    loop {
        tokio::select! {
            // An error affects only this connection.
            _ = conn.as_mut() => return,
            _ = aborting.wait_for(|p| *p >= Phase::Aborting) => return,
            _ = draining.wait_for(|p| *p >= Phase::Draining), if !graceful => {
                conn.as_mut().graceful_shutdown();
                graceful = true;
            }
        }
    }
}
