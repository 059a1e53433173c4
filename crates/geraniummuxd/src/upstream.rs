//! Connections to targets: HTTP/1.1, one request at a time.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Sends a request to a target over a new connection and returns the head of its answer.
///
/// # Errors
///
/// Fails if the connection can't be made or breaks before the head is complete.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The connection ends with its only exchange.
    tokio::spawn(conn);
    tx.send_request(req).await.map_err(io::Error::other)
}
