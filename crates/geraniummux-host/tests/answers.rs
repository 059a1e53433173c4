//! Targets whose responses are those to other requests, stop midway, or come late.

mod common;

use common::targets::{
    COMPLETE_BODY, Reply, ScriptedTarget, call_as, complete_response, identity, start_host_with,
};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
const REQUESTS: usize = 24;
/// Time after which a late target answers a probe.
const PROBE_DELAY: Duration = Duration::from_millis(90);

/// How a refusal that is repeated identifies the request that it was for.
#[derive(Clone, Copy, Debug)]
enum RepeatedId {
    Earlier,
    Missing,
}

fn refusal(addr: SocketAddr, status: &str, id: &str, repeated: RepeatedId) -> String {
    let id = match repeated {
        RepeatedId::Earlier => format!("a: {id}\r\n"),
        RepeatedId::Missing => String::new(),
    };
    let not_executed = if status.starts_with("421") { "" } else { "e: 1\r\n" };
    let target = identity(addr);
    format!("HTTP/1.1 {status}\r\n{id}d: {target}\r\n{not_executed}content-length: 0\r\n\r\n")
}

/// Starts a target that refuses its first request, and from the third on executes requests but writes
/// that refusal once more.
async fn start_repeating_target(status: &'static str, repeated: RepeatedId) -> ScriptedTarget {
    let first = Arc::new(Mutex::new(String::new()));
    ScriptedTarget::start(move |n, addr, id| match n {
        Some(0) => {
            *first.lock().unwrap() = id.to_owned();
            Reply::Keep(refusal(addr, status, id, RepeatedId::Earlier))
        }
        Some(2..) => Reply::Keep(refusal(addr, status, &first.lock().unwrap(), repeated)),
        _ => Reply::Keep(complete_response(addr, id)),
    })
    .await
}

/// Guards against a refusal that a target writes once more on a kept connection and that is taken for the
/// response to a later request: its caller is told that it was not run (REFUSED), or it runs at a second
/// target (TWICE).
#[tokio::test]
async fn host_repeated_refusal_says_nothing_of_later_requests() {
    let mut net = 50;
    for status in ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"] {
        for repeated in [RepeatedId::Earlier, RepeatedId::Missing] {
            let targets = [
                start_repeating_target(status, repeated).await,
                start_repeating_target(status, repeated).await,
            ];
            let addrs = targets.each_ref().map(|t| t.addr);
            let (_host, addr) = start_host_with(&addrs, &format!("127.9.9.{net}:7009")).await;
            net += 1;
            for n in 0..REQUESTS {
                let id = format!("r-{n}");
                let (got, _) = call_as(addr, "once", &id, TIME_LEFT_MS).await;
                let runs = targets.iter().map(|t| {
                    let requests = t.requests.lock().unwrap();
                    requests.iter().skip(1).filter(|r| **r == id).count()
                });
                let runs: usize = runs.sum();
                let case = format!("{status}, {repeated:?}, request {n}: {got}");
                assert!(runs <= 1, "{case}, {runs} runs");
                assert!(runs == 0 || got != StatusCode::SERVICE_UNAVAILABLE, "{case}");
            }
        }
    }
}

/// Guards against a caller that is told by a target's status alone that its request was not run (REFUSED),
/// while the target has run it: only the header for that says so.
#[tokio::test]
async fn host_failure_without_proof_is_no_refusal() {
    let statuses = ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"];
    for (net, status) in (70..).zip(statuses) {
        let fails = move |n: Option<usize>, addr: SocketAddr, id: &str| match n {
            Some(_) => Reply::Keep(format!(
                "HTTP/1.1 {status}\r\na: {id}\r\nd: {}\r\nf: digest\r\ncontent-length: 0\r\n\r\n",
                identity(addr)
            )),
            None => Reply::Keep(complete_response(addr, id)),
        };
        let target = ScriptedTarget::start(fails).await;
        let (_host, addr) = start_host_with(&[target.addr], &format!("127.9.9.{net}:7009")).await;
        let (got, _) = call_as(addr, "once", "r-0", TIME_LEFT_MS).await;
        assert_eq!(target.count(), 1, "{status}");
        assert_eq!(got, StatusCode::BAD_GATEWAY, "{status}");
    }
}

/// Where the head of a response stops.
const STOPS: [&str; 5] = ["HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "d: ", "f: digest\r\n", "\r\n\r\n"];

/// Returns the beginning of a complete response up to and with the first `stop`, without the last
/// byte of the head. A head without `length` declares none.
fn stopped_head(addr: SocketAddr, id: &str, stop: &str, length: bool) -> String {
    let whole = complete_response(addr, id);
    let whole = match length {
        true => whole,
        false => whole.replace(&format!("content-length: {}\r\n", COMPLETE_BODY.len()), ""),
    };
    let head_end = whole.find("\r\n\r\n").unwrap() + 3;
    let end = whole.find(stop).unwrap() + stop.len();
    whole[..end.min(head_end)].to_owned()
}

/// Guards against a response whose head stops midway and that is relayed as a complete one, with an empty
/// or a short body (MIXED): with and without a length, on new and on reused connections, for requests
/// that may be repeated and hedged, and for those that run once at most.
#[tokio::test]
async fn host_head_that_stops_midway_is_no_response() {
    let mut net = 60;
    for length in [true, false] {
        for complete_first in [0, 2] {
            let stopping = move |n: Option<usize>, addr: SocketAddr, id: &str| match n {
                Some(n) if n >= complete_first => {
                    let stop = STOPS[n % STOPS.len()];
                    Reply::Close(stopped_head(addr, id, stop, length))
                }
                _ => Reply::Keep(complete_response(addr, id)),
            };
            let targets =
                [ScriptedTarget::start(stopping).await, ScriptedTarget::start(stopping).await];
            let addrs = targets.each_ref().map(|t| t.addr);
            let (_host, addr) = start_host_with(&addrs, &format!("127.9.9.{net}:7009")).await;
            net += 1;
            for n in 0..REQUESTS {
                let (id, route) = (format!("r-{n}"), ["safe", "once"][n % 2]);
                let (status, body) = call_as(addr, route, &id, TIME_LEFT_MS).await;
                let case = format!("length {length}, after {complete_first}, request {n}");
                if status == StatusCode::OK {
                    assert_eq!(body, COMPLETE_BODY, "{case}");
                }
                let runs = |t: &ScriptedTarget| {
                    t.requests.lock().unwrap().iter().filter(|r| **r == id).count()
                };
                let runs: usize = targets.iter().map(runs).sum();
                assert!(route == "safe" || runs <= 1, "{case}: {runs} runs");
                assert!(runs == 0 || status != StatusCode::SERVICE_UNAVAILABLE, "{case}");
            }
            assert!(targets.iter().any(|t| t.count() > complete_first));
        }
    }
}

/// Guards against requests that are rejected with most of their time left, because all probes of a host
/// that selects targets itself are answered later than the first wait: the host may be the slow one.
#[tokio::test]
async fn host_probes_answered_late_rejects_nothing() {
    let late = |n: Option<usize>, addr: SocketAddr, id: &str| match n {
        Some(_) => Reply::Keep(complete_response(addr, id)),
        None => Reply::Later(PROBE_DELAY, complete_response(addr, id)),
    };
    let targets = [ScriptedTarget::start(late).await, ScriptedTarget::start(late).await];
    let addrs = targets.each_ref().map(|t| t.addr);
    let (host, addr) = start_host_with(&addrs, "127.9.9.65:7009").await;
    host.members().leave();
    for n in 0..4 {
        let (status, body) = call_as(addr, "safe", &format!("r-{n}"), TIME_LEFT_MS).await;
        assert_eq!((status, &*body), (StatusCode::OK, COMPLETE_BODY.as_bytes()));
    }
}
