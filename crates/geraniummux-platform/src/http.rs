//! The HTTP binding of the object API.

use crate::errors::{Error, Result};
use crate::object::{HostEntry, Key, MAX_VALUE_LEN, Object, Version};
use crate::platform::{Condition, Platform};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest duration of a call other than a watch. The platform answers in milliseconds when
/// healthy; a longer wait only delays the read-back that settles a lost answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a watch may take beyond the wait that was asked for. A watch on a connection that
/// went silent ends after this time.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Largest answer to a list call, in bytes.
const MAX_LIST_LEN: usize = 64 << 20;

/// One object in the answer to a list call.
#[derive(Debug, Deserialize, Serialize)]
pub struct ListEntry {
    /// Name within the kind.
    pub name: String,
    /// Version of the value.
    pub version: Version,
    /// The value as text. All values written by geraniummux are JSON.
    pub value: String,
}

/// A client of the object API over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpPlatform {
    /// Returns a client of the platform at `addr`. No connection is made yet.
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
    ) -> Result<Answer> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            req = req.header(name, value);
        }
        let req =
            req.body(Full::new(body)).map_err(|e| Error::Protocol(format!("bad request: {e}")))?;
        let exchange = async {
            let rsp = self.client.request(req).await.map_err(|e| {
                if e.is_connect() {
                    Error::Unavailable(format!("connect to {}: {e}", self.addr))
                } else {
                    Error::Indeterminate(e.to_string())
                }
            })?;
            let (parts, body) = rsp.into_parts();
            let body = Limited::new(body, MAX_LIST_LEN)
                .collect()
                .await
                .map_err(|e| Error::Indeterminate(e.to_string()))?
                .to_bytes();
            Ok(Answer { status: parts.status, headers: parts.headers, body })
        };
        let answer = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::Indeterminate(format!("no answer within {timeout:?}")))??;
        match answer.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unavailable(format!("status {}", answer.status)))
            }
            _ => Ok(answer),
        }
    }

    async fn read(&self, path: String, timeout: Duration) -> Result<Answer> {
        self.call(Method::GET, path, &[], Bytes::new(), timeout).await
    }
}

fn object_path(key: &Key) -> String {
    format!("/v1/objects/{}/{}", key.kind, key.name)
}

fn etag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

/// Parses the version from an `ETag` value.
pub fn parse_etag(value: &str) -> Option<Version> {
    value.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok().map(Version)
}

fn version_of(answer: &Answer) -> Result<Version> {
    answer
        .headers
        .get(header::ETAG)
        .and_then(|v| v.to_str().ok())
        .and_then(parse_etag)
        .ok_or_else(|| Error::Protocol("the answer has no valid ETag".to_owned()))
}

fn unexpected<T>(answer: &Answer) -> Result<T> {
    Err(Error::Protocol(format!("status {}", answer.status)))
}

fn object_of(answer: Answer) -> Result<Option<Object>> {
    match answer.status {
        StatusCode::OK => Ok(Some(Object { version: version_of(&answer)?, value: answer.body })),
        StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
        _ => unexpected(&answer),
    }
}

fn decode<'a, T>(answer: &'a Answer) -> Result<T>
where
    T: Deserialize<'a>,
{
    if answer.status != StatusCode::OK {
        return unexpected(answer);
    }
    serde_json::from_slice(&answer.body).map_err(|e| Error::Protocol(e.to_string()))
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>> {
        object_of(self.read(object_path(key), CALL_TIMEOUT).await?)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE_LEN {
            return Err(Error::TooLarge);
        }
        let condition = match condition {
            Condition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
            Condition::Version(v) => (header::IF_MATCH, etag(v)),
        };
        let answer =
            self.call(Method::PUT, object_path(key), &[condition], value, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => version_of(&answer),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            _ => unexpected(&answer),
        }
    }

    async fn delete(&self, key: &Key, version: Version) -> Result<()> {
        let condition = (header::IF_MATCH, etag(version));
        let answer = self
            .call(Method::DELETE, object_path(key), &[condition], Bytes::new(), CALL_TIMEOUT)
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            _ => unexpected(&answer),
        }
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<(Key, Object)>> {
        let answer = self.read(format!("/v1/objects/{kind}?prefix={prefix}"), CALL_TIMEOUT).await?;
        let entries: Vec<ListEntry> = decode(&answer)?;
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
            key.kind,
            key.name,
            after.0,
            wait.as_millis()
        );
        object_of(self.read(path, wait + WATCH_GRACE).await?)
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>> {
        decode(&self.read("/v1/hosts".to_owned(), CALL_TIMEOUT).await?)
    }
}
