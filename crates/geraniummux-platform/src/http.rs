//! HTTP/1.1 client of the platform's object API.
//!
//! Versions are sent as `ETag` values, write conditions as `If-Match` and `If-None-Match`. Every
//! call has a timeout.

use crate::errors::{Error, Result};
use crate::object::{HostEntry, Key, MAX_VALUE_BYTES, Object, Version};
use crate::platform::{Condition, Platform};
use bytes::Bytes;
use geraniummux_core::uri;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call other than a watch. A healthy platform responds within milliseconds. A longer
/// timeout would only delay the read that finds out whether a write with a lost response took
/// effect.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a watch may take beyond the requested wait. It bounds a watch on a connection over
/// which no data arrives any more.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of a response body, in bytes. List calls return the largest ones.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// One object in the response to a list call.
#[derive(Debug, Deserialize, Serialize)]
pub struct ListEntry {
    /// Name of the object within its kind.
    pub name: String,
    /// Version of the object.
    pub version: Version,
    /// Value as text. All values written by geraniummux are JSON.
    pub value: String,
}

/// A client of the object API over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
}

struct HttpResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpPlatform {
    /// Returns a client of the platform at `addr`, without connecting to it.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        HttpPlatform { client, addr }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        headers: &[(header::HeaderName, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(name, value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|e| Error::Protocol(format!("invalid request: {e}")))?;
        let exchange = async {
            let rsp = self.client.request(req).await.map_err(|e| {
                if e.is_connect() {
                    Error::Unavailable(format!("connect to {}: {e}", self.addr))
                } else {
                    Error::Indeterminate(e.to_string())
                }
            })?;
            let (parts, body) = rsp.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| Error::Indeterminate(e.to_string()))?
                .to_bytes();
            Ok(HttpResponse { status: parts.status, headers: parts.headers, body })
        };
        let response = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::Indeterminate(format!("no response within {timeout:?}")))??;
        match response.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unavailable(format!("status {}", response.status)))
            }
            _ => Ok(response),
        }
    }

    async fn read(&self, path: String, timeout: Duration) -> Result<HttpResponse> {
        self.call(Method::GET, path, &[], Bytes::new(), timeout).await
    }
}

fn object_path(key: &Key) -> String {
    format!("/v1/objects/{}/{}", uri::encode(&key.kind), uri::encode(&key.name))
}

fn etag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

/// Parses the version from the value of an `ETag` or `If-Match` header, which is a quoted decimal
/// number. Returns `None` for any other value.
pub fn parse_etag(value: &str) -> Option<Version> {
    value.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok().map(Version)
}

fn parse_version(response: &HttpResponse) -> Result<Version> {
    response
        .headers
        .get(header::ETAG)
        .and_then(|v| v.to_str().ok())
        .and_then(parse_etag)
        .ok_or_else(|| Error::Protocol("the response has no valid ETag".to_owned()))
}

fn unexpected_status<T>(response: &HttpResponse) -> Result<T> {
    Err(Error::Protocol(format!("status {}", response.status)))
}

fn parse_object(response: HttpResponse) -> Result<Option<Object>> {
    match response.status {
        StatusCode::OK => {
            Ok(Some(Object { version: parse_version(&response)?, value: response.body }))
        }
        StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
        _ => unexpected_status(&response),
    }
}

fn decode<'a, T>(response: &'a HttpResponse) -> Result<T>
where
    T: Deserialize<'a>,
{
    if response.status != StatusCode::OK {
        return unexpected_status(response);
    }
    serde_json::from_slice(&response.body).map_err(|e| Error::Protocol(e.to_string()))
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>> {
        parse_object(self.read(object_path(key), CALL_TIMEOUT).await?)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        let condition = match condition {
            Condition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
            Condition::Version(v) => (header::IF_MATCH, etag(v)),
        };
        let response =
            self.call(Method::PUT, object_path(key), &[condition], value, CALL_TIMEOUT).await?;
        match response.status {
            StatusCode::OK | StatusCode::CREATED => parse_version(&response),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            _ => unexpected_status(&response),
        }
    }

    async fn delete(&self, key: &Key, version: Version) -> Result<()> {
        let condition = (header::IF_MATCH, etag(version));
        let response = self
            .call(Method::DELETE, object_path(key), &[condition], Bytes::new(), CALL_TIMEOUT)
            .await?;
        match response.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            _ => unexpected_status(&response),
        }
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<(Key, Object)>> {
        let (encoded_kind, prefix) = (uri::encode(kind), uri::encode(prefix));
        let path = format!("/v1/objects/{encoded_kind}?prefix={prefix}");
        let response = self.read(path, CALL_TIMEOUT).await?;
        let entries: Vec<ListEntry> = decode(&response)?;
        Ok(entries
            .into_iter()
            .map(|e| {
                let object = Object { version: e.version, value: Bytes::from(e.value) };
                (Key::new(kind, e.name), object)
            })
            .collect())
    }

    async fn watch(&self, key: &Key, after: Version, wait: Duration) -> Result<Option<Object>> {
        let path = format!(
            "/v1/watch/{}/{}?after={}&wait_ms={}",
            uri::encode(&key.kind),
            uri::encode(&key.name),
            after.0,
            wait.as_millis()
        );
        parse_object(self.read(path, wait + WATCH_TIMEOUT_MARGIN).await?)
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>> {
        decode(&self.read("/v1/hosts".to_owned(), CALL_TIMEOUT).await?)
    }
}
