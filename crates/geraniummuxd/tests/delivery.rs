//! A request counts as served only if its caller received the complete response.

mod common;

use bytes::Bytes;
use common::raw::{RawTarget, ResponseStep};
use common::{Daemon, Fleet, Target, eventually, pools, routes};
use geraniummux_standin::target::Behaviour;
use http::{Method, Request, Version};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Length of a body that exceeds what the kernel buffers for a connection that isn't read.
const LONG_BODY_LEN: usize = 16 << 20;

/// Returns the numbers of requests that ended, were delivered and were counted as served.
async fn request_counts(host: &Daemon) -> (u64, u64, u64) {
    let status = host.status().await.unwrap_or_default();
    let sum = |rows: &Value, fields: &[&str]| -> u64 {
        let rows = rows.as_array().cloned().unwrap_or_default();
        rows.iter().flat_map(|r| fields.iter().map(|f| r[*f].as_u64().unwrap_or(0))).sum()
    };
    let ended = sum(&status["classes"], &["served", "not_run", "unknown"]);
    (ended, sum(&status["classes"], &["delivered"]), sum(&status["counted"], &["served"]))
}

/// Waits until `ended` requests have ended. Returns the numbers of delivered and counted ones.
async fn await_ended(host: &Daemon, ended: u64) -> (u64, u64) {
    eventually("the end of all requests", || async {
        let (now, delivered, counted) = request_counts(host).await;
        (now >= ended).then_some((delivered, counted))
    })
    .await
}

/// Starts one entry host with a pool of one target.
async fn start_fleet(addr: SocketAddr, route: Value) -> Fleet {
    let fleet = Fleet::start(1).await;
    fleet.apply(&pools(&[("t-1", addr)]), &routes(route)).await;
    fleet
}

async fn http2_connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(addr).await.expect("connect");
    let io = TokioIo::new(stream);
    let (tx, conn) = http2::handshake(TokioExecutor::new(), io).await.expect("handshake");
    tokio::spawn(conn);
    tx
}

fn http2_get(path: &str) -> Request<Full<Bytes>> {
    let uri = format!("http://service.test{path}");
    Request::builder().uri(uri).version(Version::HTTP_2).body(Full::default()).expect("a request")
}

/// Guards against delivered responses that aren't counted or are counted twice, over HTTP/1.1 and
/// over HTTP/2 with concurrent streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivery_counted() {
    let target = RawTarget::start(|req| match req.path() {
        "/long" => vec![ResponseStep::Write(req.ok_response(&"x".repeat(1 << 20)))],
        "/empty" => vec![ResponseStep::Write(req.ok_response(""))],
        _ => vec![ResponseStep::Write(req.ok_response("ok"))],
    })
    .await;
    let fleet = start_fleet(target.addr, json!({})).await;
    let host = &fleet.hosts[0];
    for path in ["/", "/long", "/empty"] {
        for _ in 0..5 {
            host.get(path).await.expect("a response");
        }
    }
    assert_eq!(await_ended(host, 15).await, (15, 15));
    let tx = http2_connect(host.listen).await;
    let mut calls = Vec::new();
    for n in 0..60 {
        let mut tx = tx.clone();
        let (path, len) = [("/", 2), ("/long", 1 << 20), ("/empty", 0)][n % 3];
        calls.push(tokio::spawn(async move {
            let rsp = tx.send_request(http2_get(path)).await.expect("a response");
            assert_eq!(rsp.headers()["geraniummux-outcome"], "served");
            let body = rsp.into_body().collect().await.expect("a complete response");
            assert_eq!(body.to_bytes().len(), len);
        }));
    }
    for call in calls {
        call.await.expect("a complete response");
    }
    assert_eq!(await_ended(host, 75).await, (75, 75));
}

/// Guards against counting a request whose caller disconnected while the target ran it, and against
/// attempts that continue after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivery_caller_leaves() {
    let target = RawTarget::start(|_| vec![ResponseStep::Hang]).await;
    let fleet = start_fleet(target.addr, json!({})).await;
    let host = &fleet.hosts[0];
    for n in 1..=4 {
        let mut caller = TcpStream::connect(host.listen).await.expect("connect");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("send");
        eventually("the attempt", || async { (target.stats.requests() == n).then_some(()) }).await;
        drop(caller);
        eventually("the cancellation", || async { (target.stats.cancelled() == n).then_some(()) })
            .await;
    }
    let mut tx = http2_connect(host.listen).await;
    let call = tokio::spawn(async move { tx.send_request(http2_get("/")).await.map(drop) });
    eventually("the attempt", || async { (target.stats.requests() == 5).then_some(()) }).await;
    call.abort();
    eventually("the cancellation", || async { (target.stats.cancelled() == 5).then_some(()) })
        .await;
    assert_eq!(await_ended(host, 5).await, (0, 0));
}

/// Guards against counting a long response of which the caller read only a part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivery_caller_stops_reading() {
    let target = RawTarget::start(|req| match req.path() {
        "/long" => vec![ResponseStep::Write(req.ok_response(&"x".repeat(LONG_BODY_LEN)))],
        _ => vec![ResponseStep::Write(req.ok_response("ok"))],
    })
    .await;
    let fleet = start_fleet(target.addr, json!({})).await;
    let host = &fleet.hosts[0];
    let mut caller = TcpStream::connect(host.listen).await.expect("connect");
    SockRef::from(&caller).set_recv_buffer_size(4_096).expect("a small buffer");
    caller.write_all(b"GET /long HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("send");
    let mut first_bytes = [0; 1_000];
    caller.read_exact(&mut first_bytes).await.expect("the first part");
    drop(caller);
    assert_eq!(await_ended(host, 1).await, (0, 0));

    // Over HTTP/2 the stream is reset, while the connection stays open and serves other requests.
    let mut tx = http2_connect(host.listen).await;
    let rsp = tx.send_request(http2_get("/long")).await.expect("a head");
    let mut body = rsp.into_body();
    body.frame().await.expect("a part").expect("a part");
    drop(body);
    let rsp = tx.send_request(http2_get("/")).await.expect("a response");
    rsp.into_body().collect().await.expect("a complete response");
    assert_eq!(await_ended(host, 3).await, (1, 1));
}

/// Guards against a truncated response that looks complete over HTTP/2.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivery_truncated_http2() {
    let target = RawTarget::start(|req| {
        let response = req.ok_response(&"x".repeat(1 << 20));
        vec![ResponseStep::Write(response[..response.len() / 2].to_vec()), ResponseStep::Close]
    })
    .await;
    let fleet = start_fleet(target.addr, json!({})).await;
    let mut tx = http2_connect(fleet.hosts[0].listen).await;
    let rsp = tx.send_request(http2_get("/")).await.expect("a head");
    assert!(rsp.into_body().collect().await.is_err(), "the transfer looks complete");
    assert_eq!(await_ended(&fleet.hosts[0], 1).await, (0, 0));
}

/// Guards against a keyed request that is counted never or twice when its caller disconnects before
/// the response and retries the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivery_replay_counts_once() {
    let slow = Behaviour { service_ms: 150, ..Behaviour::default() };
    let target = Target::start("t-1", slow).await;
    let fleet = start_fleet(target.addr, json!({})).await;
    let host = &fleet.hosts[0];
    let mut caller = TcpStream::connect(host.listen).await.expect("connect");
    let request = b"POST / HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request).await.expect("send");
    eventually("the run", || async { (target.record().await.runs == 1).then_some(()) }).await;
    drop(caller);
    eventually("the undelivered mark of the claim", || async {
        let claims = fleet.platform.objects("claim").await;
        (claims.first()?.1["progress"]["done"]["delivery"] == "undelivered").then_some(())
    })
    .await;
    assert_eq!(request_counts(host).await.2, 0);
    for _ in 0..3 {
        let headers = [("idempotency-key", "k")];
        let response = host.send(Method::POST, "/", &headers, "").await.expect("a response");
        assert_eq!(response.header("geraniummux-replayed"), "1");
        assert_eq!(response.header("geraniummux-outcome"), "served");
        eventually("the count", || async { (request_counts(host).await.2 > 0).then_some(()) })
            .await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(request_counts(host).await.2, 1);
    assert_eq!(target.record().await.runs, 1);
}
