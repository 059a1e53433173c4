//! Accepts callers' connections, HTTP/1.1 and HTTP/2.

use super::body::Transfer;
use super::{handle, http2};
use crate::control::Phase;
use crate::delivery::Outgoing;
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

/// A caller that doesn't acknowledge or accept data for this long is cut off.
const USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the head of a request to arrive.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// First and longest pause before the rest of the first line of HTTP/2 is looked for. It doubles,
/// so that a caller that never sends the rest costs little.
const PREFACE_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(100));
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
            // Out of file descriptors; one may be free shortly.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _guard = shared.control.register_connection();
    socket::set_options(&stream, USER_TIMEOUT);
    let mut draining = shared.control.phase();
    let http2 = tokio::select! {
        http2 = tokio::time::timeout(HEAD_TIMEOUT, is_http2(&stream)) => http2,
        // Nothing was asked over this connection yet.
        _ = draining.wait_for(|p| *p >= Phase::Draining) => return,
    };
    let Ok(Ok(http2)) = http2 else { return };
    let stream = Arc::new(stream);
    let outgoing = Arc::new(Outgoing::new(stream.clone(), http2));
    let io = ObservedStream::new(stream, outgoing.clone());
    if http2 {
        http2::serve(io, outgoing.clone(), shared).await;
    } else {
        serve_http1(io, outgoing.clone(), shared).await;
    }
    outgoing.closed();
}

/// Returns whether the caller speaks HTTP/2, whose connections begin with a line of their own.
async fn is_http2(stream: &TcpStream) -> io::Result<bool> {
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";
    let mut begin = [0; PREFACE.len()];
    let (mut pause, longest) = PREFACE_PAUSE;
    loop {
        let n = stream.peek(&mut begin).await?;
        if n == 0 || !PREFACE.starts_with(&begin[..n]) {
            return Ok(false);
        }
        if n == PREFACE.len() {
            return Ok(true);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(longest);
    }
}

async fn serve_http1(io: ObservedStream<Outgoing>, outgoing: Arc<Outgoing>, shared: Arc<Shared>) {
    let mut draining = shared.control.phase();
    let mut aborting = shared.control.phase();
    let service = tower::service_fn(move |req| {
        let transfer = Transfer { outgoing: outgoing.clone(), stream: None };
        let rsp = handle(shared.clone(), transfer, req);
        async move { Ok::<_, Infallible>(rsp.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let conn = builder.serve_connection(TokioIo::new(io), TowerToHyperService::new(service));
    let mut conn = pin!(conn);
    let mut graceful = false;
    loop {
        tokio::select! {
            // An error concerns that caller only.
            _ = conn.as_mut() => return,
            _ = aborting.wait_for(|p| *p >= Phase::Aborting) => return,
            _ = draining.wait_for(|p| *p >= Phase::Draining), if !graceful => {
                conn.as_mut().graceful_shutdown();
                graceful = true;
            }
        }
    }
}
