//! HTTP client for the admin listeners of entry hosts.

use crate::errors::{Error, Result};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of one request. An edit whose write response was lost takes longer, because the host
/// reads the table back from the platform to find out whether the write took effect.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of an admin listener.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The decoded body; `Null` if it is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns the `message` field of an error response, or the status if there is none.
    pub fn message(&self) -> String {
        match self.body["message"].as_str() {
            Some(message) => message.to_owned(),
            None => format!("status {}", self.status),
        }
    }
}

/// Sends a request to the admin listener at `addr`, over a connection of its own.
///
/// # Errors
///
/// Returns a message that says why no complete response was received. It begins with "connect:" if
/// no connection could be established, so that the request was not sent.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> std::result::Result<Response, String> {
    let exchange = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| format!("connect: {e}"))?;
        let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::spawn(conn);
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        let rsp = tx.send_request(req).await.map_err(|e| e.to_string())?;
        let status = rsp.status();
        let body = rsp.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Response { status, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| format!("no answer within {CALL_TIMEOUT:?}"))?
}

/// Sends a GET request to the hosts in turn and returns the body of the first successful response.
///
/// # Errors
///
/// [`Error::Unreachable`], with the failure of each host, if no host responds with a success
/// status.
pub async fn get(admin_addrs: &[SocketAddr], path: &str) -> Result<Value> {
    let mut failures = Vec::new();
    for addr in admin_addrs {
        match call(*addr, Method::GET, path, Bytes::new()).await {
            Ok(response) if response.status.is_success() => return Ok(response.body),
            Ok(response) => failures.push(format!("{addr}: {}", response.message())),
            Err(e) => failures.push(format!("{addr}: {e}")),
        }
    }
    Err(Error::Unreachable(format!("no entry host answered: {}", failures.join("; "))))
}
