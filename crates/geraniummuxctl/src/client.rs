//! Calls to the admin listeners of entry hosts.

use crate::errors::{Error, Result};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest duration of one call. An edit may wait for a read-back after a lost answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer of an admin listener.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body; `Null` if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns the message of an error answer.
    pub fn message(&self) -> String {
        match self.body["message"].as_str() {
            Some(message) => message.to_owned(),
            None => format!("status {}", self.status),
        }
    }
}

/// Sends one request to one host.
///
/// # Errors
///
/// Describes why no whole answer arrived.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> std::result::Result<Answer, String> {
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
        Ok(Answer { status, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| format!("no answer within {CALL_TIMEOUT:?}"))?
}

/// Reads from the first host that answers.
///
/// # Errors
///
/// [`Error::Unreachable`] if none answers with success.
pub async fn get(admins: &[SocketAddr], path: &str) -> Result<Value> {
    let mut failures = Vec::new();
    for addr in admins {
        match call(*addr, Method::GET, path, Bytes::new()).await {
            Ok(answer) if answer.status.is_success() => return Ok(answer.body),
            Ok(answer) => failures.push(format!("{addr}: {}", answer.message())),
            Err(e) => failures.push(format!("{addr}: {e}")),
        }
    }
    Err(Error::Unreachable(format!("no entry host answered: {}", failures.join("; "))))
}
