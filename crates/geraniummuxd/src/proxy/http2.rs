//! Serves callers' HTTP/2 connections.
//!
//! This uses the h2 crate directly, because the end of a response in the connection's byte stream
//! is found by its stream id, which hyper doesn't expose.

use super::accept::REQUEST_HEAD_TIMEOUT;
use super::body::CallerStream;
use super::handle;
use crate::control::Phase;
use crate::delivery::DeliveryTracker;
use crate::response::Body;
use crate::shared::Shared;
use crate::socket::ObservedStream;
use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode, header};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Largest number of concurrent streams of one connection.
const MAX_STREAMS: u32 = 256;
/// Largest total size of a request's headers, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 << 10;
/// A stream is reset if the caller accepts no data of its response for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The body of a request, received on a stream.
struct RequestBody(RecvStream);

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        let data = match ready!(self.0.poll_data(cx)) {
            Some(Ok(data)) => data,
            Some(Err(e)) => return Poll::Ready(Some(Err(e))),
            None => return Poll::Ready(None),
        };
        // The data stays in memory, but the route's limit bounds its size.
        let _ = self.0.flow_control().release_capacity(data.len());
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }
}

/// Serves one connection until its end.
pub async fn serve(
    io: ObservedStream<DeliveryTracker>,
    delivery: Arc<DeliveryTracker>,
    shared: Arc<Shared>,
) {
    let mut draining = shared.control.phase();
    let mut aborting = shared.control.phase();
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS).max_header_list_size(MAX_HEADER_LIST_BYTES);
    let handshake = tokio::select! {
        handshake = tokio::time::timeout(REQUEST_HEAD_TIMEOUT, builder.handshake(io)) => handshake,
        // No stream was opened yet.
        _ = draining.wait_for(|p| *p >= Phase::Draining) => return,
    };
    let Ok(Ok(conn)) = handshake else { return };
    let mut conn: Connection<_, Bytes> = conn;
    let mut graceful = false;
    loop {
        tokio::select! {
            accepted = conn.accept() => {
                let Some(Ok((req, respond))) = accepted else { return };
                tokio::spawn(serve_stream(req, respond, delivery.clone(), shared.clone()));
            }
            _ = aborting.wait_for(|p| *p >= Phase::Aborting) => return,
            _ = draining.wait_for(|p| *p >= Phase::Draining), if !graceful => {
                conn.graceful_shutdown();
                graceful = true;
            }
        }
    }
}

/// Serves the request of one stream, and waits until its response was written.
async fn serve_stream(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    delivery: Arc<DeliveryTracker>,
    shared: Arc<Shared>,
) {
    let stream = respond.stream_id().as_u32();
    let is_head = req.method() == Method::HEAD;
    let caller = CallerStream { delivery: delivery.clone(), stream: Some(stream) };
    let rsp = tokio::select! {
        rsp = handle(shared, caller, req.map(RequestBody)) => rsp,
        // The caller has reset the stream; dropping the request cancels it.
        _ = poll_fn(|cx| respond.poll_reset(cx)) => {
            delivery.stream_failed(stream);
            return;
        }
    };
    let sent = match send_response(&mut respond, rsp, is_head).await {
        Ok(mut tx) => tokio::select! {
            () = delivery.stream_written(stream) => true,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => false,
        },
        Err(_) => false,
    };
    if !sent {
        delivery.stream_failed(stream);
    }
}

/// Sends a response. A body that fails resets the stream.
async fn send_response(
    respond: &mut SendResponse<Bytes>,
    rsp: Response<Body>,
    is_head: bool,
) -> Result<SendStream<Bytes>, h2::Error> {
    let (mut parts, body) = rsp.into_parts();
    let bodiless = matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if let (Some(len), false) = (body.size_hint().exact(), is_head || bodiless) {
        parts.headers.insert(header::CONTENT_LENGTH, len.into());
    }
    let head = Response::from_parts(parts, ());
    if body.is_end_stream() {
        // The body reports its end when it is dropped, which must precede the end of the stream.
        drop(body);
        return respond.send_response(head, true);
    }
    let mut tx = respond.send_response(head, false)?;
    match send_body(&mut tx, body).await {
        Ok(()) => Ok(tx),
        Err(e) => {
            tx.send_reset(Reason::INTERNAL_ERROR);
            Err(e)
        }
    }
}

async fn send_body(tx: &mut SendStream<Bytes>, mut body: Body) -> Result<(), h2::Error> {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            reason = poll_fn(|cx| tx.poll_reset(cx)) => return Err(reason?.into()),
        };
        let Some(frame) = frame else {
            drop(body);
            return tx.send_data(Bytes::new(), true);
        };
        let Ok(frame) = frame else { return Err(Reason::INTERNAL_ERROR.into()) };
        let Ok(mut data) = frame.into_data() else { continue };
        let last = body.is_end_stream();
        while !data.is_empty() {
            let len = wait_for_capacity(tx, data.len()).await?;
            let part = data.split_to(len);
            if last && data.is_empty() {
                drop(body);
                return tx.send_data(part, true);
            }
            tx.send_data(part, false)?;
        }
    }
}

/// Waits for flow-control capacity, and returns how many of `len` bytes may be sent.
async fn wait_for_capacity(tx: &mut SendStream<Bytes>, len: usize) -> Result<usize, h2::Error> {
    tx.reserve_capacity(len);
    loop {
        let granted = tokio::time::timeout(STALL_TIMEOUT, poll_fn(|cx| tx.poll_capacity(cx))).await;
        match granted {
            Ok(Some(granted)) => match granted?.min(len) {
                0 => {}
                len => return Ok(len),
            },
            Ok(None) | Err(_) => return Err(Reason::CANCEL.into()),
        }
    }
}
