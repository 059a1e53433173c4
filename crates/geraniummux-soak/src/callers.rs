//! Callers that reuse their connections and check each response.

use crate::harness::Harness;
use crate::report::Report;
use bytes::Bytes;
use geraniummux_standin::registered_target::response_body;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time that callers have for a request beyond the timeout of its route.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);
/// Time for which a caller still waits for the response after the deadline has passed.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);
/// Time limit for opening a connection and for each step of a directory lookup.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests that a caller sends to a host before it asks the directory again.
const REQUESTS_PER_LOOKUP: u32 = 12;

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response with this status arrived.
    Response(StatusCode),
    /// The connection failed, or no complete response arrived in time.
    NoResponse,
}

/// A finished request and what was observed about it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request identity, sent in the `request-id` header.
    pub id: String,
    /// Host that the request was sent to.
    pub host: SocketAddr,
    /// Whether targets may run the request more than once.
    pub idempotent: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// What was wrong with the response, if anything.
    pub response_error: Option<String>,
    /// Whether the host was being stopped gracefully, and no disruption was active, both when the
    /// request was sent and when it ended.
    pub only_graceful_stop: bool,
}

/// Sends requests as caller `number` until the run is over.
pub async fn run(harness: Arc<Harness>, number: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut n = 0;
    while !harness.is_over() {
        let Some(host) = pick_host(&harness, &mut rng).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(mut sender) = connect(host).await else { continue };
        for _ in 0..REQUESTS_PER_LOOKUP {
            n += 1;
            let idempotent = rng.random::<f64>() < 0.6;
            let id = format!("{seed:x}-{number:x}-{n:x}");
            let record = send(&harness, &mut sender, host, &id, idempotent).await;
            let keep_connection =
                matches!(record.outcome, Outcome::Response(_)) && !sender.is_closed();
            harness.record_request(record);
            let pause = rng.random_range(10..60);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if !keep_connection || harness.is_over() {
                break;
            }
        }
    }
}

/// Asks the directory of a random host for entry hosts and picks one of them.
async fn pick_host(harness: &Harness, rng: &mut StdRng) -> Option<SocketAddr> {
    let directory = harness.directory_addrs[rng.random_range(0..harness.directory_addrs.len())];
    let req = Request::get("/resolve?name=soak.example&zone=zone-a").body(Full::default()).ok()?;
    let mut sender = connect(directory).await.ok()?;
    let rsp = timeout(CONNECT_TIMEOUT, sender.send_request(req)).await.ok()?.ok()?;
    let body = timeout(CONNECT_TIMEOUT, rsp.into_body().collect()).await.ok()?.ok()?.to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let addresses = body["addresses"].as_array()?;
    addresses.get(rng.random_range(0..addresses.len().max(1)))?.as_str()?.parse().ok()
}

/// Opens an HTTP/1.1 connection.
///
/// # Errors
///
/// Fails if the host does not accept it in time.
pub async fn connect(addr: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    // A connection error also fails the request that is using the connection.
    tokio::spawn(async move { drop(conn.await) });
    Ok(sender)
}

/// Sends one request and waits for its outcome.
pub async fn send(
    harness: &Harness,
    sender: &mut SendRequest<Full<Bytes>>,
    host: SocketAddr,
    id: &str,
    idempotent: bool,
) -> RequestRecord {
    let body = if idempotent { Bytes::new() } else { Bytes::from(id.repeat(20)) };
    let (method, path) = if idempotent { ("GET", "/read/x") } else { ("POST", "/write/x") };
    let deadline = harness.route_times().timeout + DEADLINE_MARGIN;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "soak.example")
        .header("request-id", id)
        .header("request-deadline-ms", deadline.as_millis() as u64)
        .body(Full::new(body.clone()));
    let stopping_before = harness.only_graceful_stop(host);
    let exchange = async {
        // After a response the connection may need a moment before it accepts the next request.
        sender.ready().await?;
        let rsp = sender.send_request(req?).await?;
        let (parts, body) = rsp.into_parts();
        anyhow::Ok((parts, body.collect().await?.to_bytes()))
    };
    let (outcome, response_error) = match timeout(deadline + RESPONSE_MARGIN, exchange).await {
        Ok(Ok((parts, response))) => {
            let response_id = parts.headers.get("request-id");
            let id_matches = response_id.is_some_and(|v| v.as_bytes() == id.as_bytes());
            let body_matches = response == response_body(id, &body);
            let is_wrong = parts.status.is_success() && !(id_matches && body_matches);
            // Responses of the hosts themselves have no id.
            let is_of_other = response_id.is_some() && !id_matches;
            (
                Outcome::Response(parts.status),
                (is_wrong || is_of_other)
                    .then(|| format!("{id}: response truncated or of another request")),
            )
        }
        _ => (Outcome::NoResponse, None),
    };
    let only_graceful_stop = stopping_before && harness.only_graceful_stop(host);
    RequestRecord {
        id: id.to_owned(),
        host,
        idempotent,
        outcome,
        response_error,
        only_graceful_stop,
    }
}

/// Counts the finished requests by outcome and checks them against the runs that the targets recorded:
/// successful responses are complete, a request that is not idempotent runs at most once and not at all if
/// it is refused, a graceful stop aborts no request that runs, and leaving targets get no late requests.
/// The targets have to be done with all requests.
pub fn check(harness: &Harness, report: &mut Report) {
    for record in harness.take_requests() {
        let runs = harness.run_counts.runs(&record.id);
        let guaranteed_not_run = matches!(
            record.outcome,
            Outcome::Response(
                StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::MISDIRECTED_REQUEST
            )
        );
        match &record.outcome {
            Outcome::Response(s) if s.is_success() => report.served += 1,
            Outcome::Response(_) if guaranteed_not_run => report.refused += 1,
            Outcome::Response(_) => report.failed += 1,
            Outcome::NoResponse => report.unanswered += 1,
        }
        report.checks += 4;
        report.requests += 1;
        report.violations.extend(record.response_error.clone());
        if matches!(record.outcome, Outcome::Response(s) if s.is_success()) && runs == 0 {
            report.violations.push(format!("{}: served, but did not run", record.id));
        }
        if record.idempotent && guaranteed_not_run && runs > 0 {
            report.idempotent_refused_and_run += 1;
        }
        let mut add_violation = |what: &str| {
            let targets = harness.run_counts.targets(&record.id).join(" ");
            let came_again = harness.run_counts.came_again(&record.id);
            report.violations.push(format!(
                "{} at {}: {what}, but ran {runs} times, at {targets}; {:?}; twice on a connection: {came_again}",
                record.id, record.host, record.outcome
            ));
        };
        if !record.idempotent && runs > 1 {
            add_violation("not idempotent");
        }
        if !record.idempotent && guaranteed_not_run && runs > 0 {
            add_violation("refused as not run");
        }
        if record.outcome == Outcome::NoResponse && record.only_graceful_stop && runs > 0 {
            report.violations.push(format!(
                "{}: no response because of a graceful stop, but ran {runs} times",
                record.id
            ));
        }
    }
    let late = harness
        .targets
        .iter()
        .flat_map(|t| t.late_runs())
        .filter(|l| harness.is_violation(l))
        .count();
    report.checks += 1;
    if late > 0 {
        report
            .violations
            .push(format!("{late} requests reached leaving targets later than allowed"));
    }
}
