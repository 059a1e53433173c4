//! A stand-in for a caller: asks for entry hosts, keeps the answer for its term, sends requests.

use anyhow::{Context, bail};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest duration of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete answer.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

/// One entry host in the answer to the question which entry hosts to use.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryHost {
    /// Where it accepts requests.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: String,
}

/// The answer to the question which entry hosts to use.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryHosts {
    /// Entry hosts in order of preference.
    pub hosts: Vec<EntryHost>,
    /// How long the answer may be used, in milliseconds.
    pub ttl_ms: u64,
}

/// Sends one request over a new connection and reads the whole answer.
///
/// # Errors
///
/// Fails if the connection fails, the answer is cut off, or nothing arrives within 20 s.
pub async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> anyhow::Result<BufferedResponse> {
    let mut req = Request::builder().method(method).uri(path).header("host", addr.to_string());
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body)).context("building the request")?;
    let exchange = async {
        let stream =
            TcpStream::connect(addr).await.with_context(|| format!("connect to {addr}"))?;
        stream.set_nodelay(true)?;
        let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let conn = tokio::spawn(conn);
        let rsp = tx.send_request(req).await?;
        let (parts, body) = rsp.into_parts();
        let body = body.collect().await.context("the answer was cut off")?.to_bytes();
        conn.abort();
        Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .with_context(|| format!("no answer from {addr} within {EXCHANGE_TIMEOUT:?}"))?
}

/// Asks the first reachable of `seeds` which entry hosts to use.
///
/// # Errors
///
/// Fails if no seed answers.
pub async fn entry_hosts(seeds: &[SocketAddr], domain: &str) -> anyhow::Result<EntryHosts> {
    let path = format!("/.well-known/geraniummux/hosts?domain={domain}");
    let mut last = String::from("no seeds given");
    for seed in seeds {
        match send(*seed, Method::GET, &path, &[], Bytes::new()).await {
            Ok(answer) if answer.status == StatusCode::OK => {
                return serde_json::from_slice(&answer.body).context("invalid entry-host answer");
            }
            Ok(answer) => last = format!("{seed}: status {}", answer.status),
            Err(e) => last = format!("{seed}: {e:#}"),
        }
    }
    bail!("no entry host answered; last: {last}")
}
