//! A stand-in for a caller: looks up entry hosts and sends requests.

use crate::http1;
use anyhow::{Context, bail};
use bytes::Bytes;
use geraniummux_core::uri;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Time limit for a request and its response, including the connect.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// A response whose body was read completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Returns the value of a header, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

/// An entry host in the response to a lookup.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryHost {
    /// Address on which the host accepts requests.
    pub addr: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
}

/// The response to a lookup of entry hosts.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryHosts {
    /// Entry hosts in order of preference.
    pub hosts: Vec<EntryHost>,
    /// Time for which the response may be used, in milliseconds.
    pub ttl_ms: u64,
}

/// Sends one request over a new connection and reads the complete response.
///
/// # Errors
///
/// Fails if the connection fails, or the complete response doesn't arrive within 20 s.
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
            TcpStream::connect(addr).await.with_context(|| format!("connecting to {addr}"))?;
        stream.set_nodelay(true)?;
        let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let conn = tokio::spawn(conn);
        let rsp = tx.send_request(req).await?;
        let (parts, body) = rsp.into_parts();
        let body = body.collect().await.context("reading the response body")?.to_bytes();
        conn.abort();
        Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .with_context(|| format!("no complete response from {addr} within {EXCHANGE_TIMEOUT:?}"))?
}

/// Sends idempotent requests without a body over a new connection, all at once, each as its path and headers. Returns the
/// responses in the order of their arrival, and stops at the one that closes the connection or that does not arrive.
///
/// # Errors
///
/// Fails if no connection can be opened, or the requests can't be sent.
pub async fn send_pipelined(
    addr: SocketAddr,
    requests: &[(String, Vec<(&str, String)>)],
    time: Duration,
) -> anyhow::Result<Vec<BufferedResponse>> {
    let mut text = String::new();
    for (path, headers) in requests {
        text += &format!("GET {path} HTTP/1.1\r\n");
        headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
        text += "\r\n";
    }
    let stream = tokio::time::timeout(time, TcpStream::connect(addr)).await??;
    let (reader, mut writer) = stream.into_split();
    writer.write_all(text.as_bytes()).await?;
    let mut reader = BufReader::new(reader);
    let mut responses = Vec::new();
    let all = async {
        while responses.len() < requests.len() {
            let Ok(Some(rsp)) = http1::read_response(&mut reader).await else { return };
            let (parts, body) = rsp.into_parts();
            let closes = parts.headers.get("connection").is_some_and(|v| v == "close");
            responses.push(BufferedResponse { status: parts.status, headers: parts.headers, body });
            if closes {
                return;
            }
        }
    };
    // The responses that arrived in time count.
    let _ = tokio::time::timeout(time, all).await;
    Ok(responses)
}

/// Looks up the entry hosts that callers in a failure domain should use, at the first of `seeds` that
/// responds with status 200.
///
/// # Errors
///
/// Fails if no seed responds with status 200, or the response can't be parsed.
pub async fn entry_hosts(seeds: &[SocketAddr], domain: &str) -> anyhow::Result<EntryHosts> {
    let path = format!("/.well-known/geraniummux/hosts?domain={}", uri::encode(domain));
    let mut last_error = String::from("no seeds given");
    for seed in seeds {
        match send(*seed, Method::GET, &path, &[], Bytes::new()).await {
            Ok(rsp) if rsp.status == StatusCode::OK => {
                return serde_json::from_slice(&rsp.body)
                    .context("parsing the entry host response");
            }
            Ok(rsp) => last_error = format!("{seed}: status {}", rsp.status),
            Err(e) => last_error = format!("{seed}: {e:#}"),
        }
    }
    bail!("entry host lookup failed at all seeds; last error: {last_error}")
}
