//! Accepts callers' connections, HTTP/1.1 and HTTP/2.

use super::handle;
use crate::control::Phase;
use crate::delivery::Outgoing;
use crate::shared::Shared;
use crate::socket::{self, ObservedStream};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A caller that doesn't acknowledge or accept data for this long is cut off.
const USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
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
    socket::prepare(&stream, USER_TIMEOUT);
    let stream = Arc::new(stream);
    let outgoing = Arc::new(Outgoing::new(stream.clone()));
    let io = TokioIo::new(ObservedStream::new(stream, outgoing.clone()));
    let _guard = shared.control.connection();
    let mut draining = shared.control.phase();
    let mut aborting = shared.control.phase();
    let service = {
        let outgoing = outgoing.clone();
        tower::service_fn(move |req| {
            let (shared, outgoing) = (shared.clone(), outgoing.clone());
            async move { Ok::<_, Infallible>(handle(shared, outgoing, req).await) }
        })
    };
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    builder.http2().timer(TokioTimer::new());
    let mut conn = pin!(builder.serve_connection(io, TowerToHyperService::new(service)));
    let mut graceful = false;
    loop {
        tokio::select! {
            // An error concerns that caller only.
            _ = conn.as_mut() => break,
            _ = aborting.wait_for(|p| *p >= Phase::Aborting) => break,
            _ = draining.wait_for(|p| *p >= Phase::Draining), if !graceful => {
                conn.as_mut().graceful_shutdown();
                graceful = true;
            }
        }
    }
    outgoing.closed();
}
