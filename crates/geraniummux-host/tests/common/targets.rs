//! Targets, callers and routes on loopback.

// Not every test file uses all of them.
#![allow(dead_code)]

use bytes::Bytes;
use geraniummux_core::fleet::{
    Authentication, FleetConfig, FleetPool, FleetRoute, PoolShare, RegisteredTarget,
    RegistryChange, RegistryDelta, Revision,
};
use geraniummux_host::server::{self, Service};
use geraniummux_host::{Host, scheduling};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body of a complete response.
pub const COMPLETE_BODY: &str = "complete";

/// The head of a request or a response.
pub struct Head(pub String);

impl Head {
    /// Returns the whole head.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns the value of the first header with this name.
    pub fn value(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.lines();
        lines.find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the values of all headers with this name, in any case.
    pub fn values(&self, name: &str) -> Vec<&str> {
        let lines = self.0.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).collect()
    }
}

/// Reads one request head; `None` if the connection is closed.
pub async fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(Head(String::from_utf8(head).unwrap()))
}

/// Reads one request head, and returns its id; `None` if the connection is closed.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    Some(head.value("a").unwrap_or("none").to_owned())
}

/// Returns the identity of the target at an address.
pub fn identity(addr: SocketAddr) -> String {
    format!("t-{:05}", addr.port())
}

/// Returns a complete response to the request `id`, or to a probe if that is "none", as [`read_request`] returns it.
pub fn complete_response(target: SocketAddr, id: &str) -> String {
    let id = if id == "none" { String::new() } else { format!("a: {id}\r\n") };
    let (len, target) = (COMPLETE_BODY.len(), identity(target));
    format!(
        "HTTP/1.1 200 OK\r\n{id}d: {target}\r\nf: digest\r\ncontent-length: {len}\r\n\r\n{COMPLETE_BODY}"
    )
}

pub fn route(name: &str, pool: &str) -> FleetRoute {
    FleetRoute {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        shares: vec![PoolShare { pool: pool.into(), weight: 1.0 }],
        idempotent: true,
        max_attempts: 3,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        priority: 1,
        public: false,
    }
}

pub fn registered(pool: &str, addr: SocketAddr) -> (Revision, RegistryChange) {
    let target = RegisteredTarget {
        id: identity(addr).into(),
        pool: pool.into(),
        addr,
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        warm_up: Duration::ZERO,
        started_unix_ms: 0,
    };
    (Revision::new(1, 1), RegistryChange::Put(target))
}

/// Sends a request to the host and returns the status and the body of its response.
pub async fn call(host: SocketAddr, route: &str, time_left_ms: u64) -> (StatusCode, Bytes) {
    call_as(host, route, &format!("r-{}", rand::random::<u64>()), time_left_ms).await
}

/// Sends a request with the identity `id`; see [`call`].
pub async fn call_as(
    host: SocketAddr,
    route: &str,
    id: &str,
    time_left_ms: u64,
) -> (StatusCode, Bytes) {
    call_with(host, route, id, time_left_ms, HeaderMap::new()).await
}

/// Sends a request with further headers; see [`call_as`].
pub async fn call_with(
    host: SocketAddr,
    route: &str,
    id: &str,
    time_left_ms: u64,
    headers: HeaderMap,
) -> (StatusCode, Bytes) {
    let stream = TcpStream::connect(host).await.unwrap();
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(async move { drop(conn.await) });
    let mut req = Request::get(format!("/{route}/x"))
        .header(header::HOST, "a.example")
        .header("a", id)
        .header("b", time_left_ms)
        .body(Full::<Bytes>::default())
        .unwrap();
    req.headers_mut().extend(headers);
    let rsp = sender.send_request(req).await.unwrap();
    (rsp.status(), rsp.into_body().collect().await.unwrap().to_bytes())
}

/// What a target does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Keep(String),
    /// Writes this and closes the connection.
    Close(String),
    /// Writes this after some time and keeps the connection.
    Later(Duration, String),
    /// Writes nothing and keeps the connection.
    Nothing,
}

/// A target whose replies a function makes.
pub struct ScriptedTarget {
    /// Address of the target.
    pub addr: SocketAddr,
    /// Identities of the requests that arrived, without probes.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Heads of these requests.
    pub heads: Arc<Mutex<Vec<Head>>>,
}

impl ScriptedTarget {
    /// Starts a target that replies to its n-th request, and to each probe with `None` for its number,
    /// with what `reply` returns for the number, the target's address and the request's identity.
    pub async fn start<F>(reply: F) -> Self
    where
        F: Fn(Option<usize>, SocketAddr, &str) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.9.9.7:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (reply, seen, seen_heads) = (Arc::new(reply), requests.clone(), heads.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (reply, seen, seen_heads) = (reply.clone(), seen.clone(), seen_heads.clone());
                tokio::spawn(async move {
                    while let Some(head) = read_head(&mut stream).await {
                        let id = head.value("a").unwrap_or("none").to_owned();
                        let number = (id != "none").then(|| {
                            seen_heads.lock().unwrap().push(head);
                            let mut seen = seen.lock().unwrap();
                            seen.push(id.clone());
                            seen.len() - 1
                        });
                        let (text, closes) = match reply(number, addr, &id) {
                            Reply::Keep(text) => (text, false),
                            Reply::Close(text) => (text, true),
                            Reply::Later(delay, text) => {
                                tokio::time::sleep(delay).await;
                                (text, false)
                            }
                            Reply::Nothing => (String::new(), false),
                        };
                        if stream.write_all(text.as_bytes()).await.is_err() || closes {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedTarget { addr, requests, heads }
    }

    /// Returns the number of requests that arrived.
    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

/// Starts a host whose pool "pool" has the given targets, with an idempotent route "safe" and a route
/// "once" whose requests run once at most. Returns it with its address for callers.
pub async fn start_host_with(targets: &[SocketAddr], peer: &str) -> (Arc<Host>, SocketAddr) {
    let host = super::host(peer.parse().unwrap(), "[]").await;
    let changes = targets.iter().map(|addr| registered("pool", *addr)).collect();
    let addr = serve_pool(&host, changes, peer).await;
    (host, addr)
}

/// Lets a host serve the pool "pool" as [`start_host_with`] does, and returns its address for callers.
pub async fn serve_pool(
    host: &Arc<Host>,
    changes: Vec<(Revision, RegistryChange)>,
    peer: &str,
) -> SocketAddr {
    host.members().enter_service();
    let pool = FleetPool {
        name: "pool".into(),
        health_path: "/health".into(),
        max_connections: 100,
        warm_up_per_s: None,
    };
    let once = FleetRoute { idempotent: false, ..route("once", "pool") };
    let config = FleetConfig {
        version: 1,
        era: 1,
        routes: vec![route("safe", "pool"), once],
        pools: vec![pool],
        authentication: Authentication::Disabled,
        is_complete: true,
        ..FleetConfig::default()
    };
    host.adopt_config(config, Revision::new(1, 1), "store");
    let list = RegistryDelta { from: None, to: Revision::new(1, 1), changes };
    assert!(host.apply_targets(list, "store"));
    let ip = peer.parse::<SocketAddr>().unwrap().ip();
    let listener = server::listen(Service::Requests, SocketAddr::new(ip, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(server::serve(host.clone(), Service::Requests, Arc::new(listener)));
    tokio::spawn(scheduling::run(host.clone()));
    addr
}

/// A log that panics in the task that writes a certain message to it.
pub struct PanicOn(&'static str);

impl PanicOn {
    /// Returns a log that panics on `message`.
    pub fn message(message: &'static str) -> Logger {
        Logger::root(PanicOn(message), o!())
    }

    /// Returns a log that never panics.
    pub fn nothing() -> Logger {
        Logger::root(Discard, o!())
    }
}

impl Drain for PanicOn {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        assert!(record.msg().to_string() != self.0, "caused by the test");
        Ok(())
    }
}
