//! Callers that reuse their connections and check each response.

use crate::harness::Harness;
use crate::report::Report;
use crate::teams::{self, Credential};
use bytes::Bytes;
use geraniummux_standin::caller::send_pipelined;
use geraniummux_standin::registered_target::response_body;
use http::{HeaderMap, Request, StatusCode, header};
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
/// Share of the idempotent requests that use a route without keys, in a run with teams.
const PUBLIC_SHARE: f64 = 0.15;

/// Requests that a caller sends at once if it pipelines them.
const MAX_PIPELINED: usize = 6;

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
    /// Headers that name the caller's team, in a run with teams.
    pub credential: Option<Credential>,
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
            let credential = harness.teams.as_ref().map(|teams| {
                let is_public = idempotent && rng.random_bool(PUBLIC_SHARE);
                teams.draw(&mut rng, is_public)
            });
            let record = send_as(&harness, &mut sender, host, &id, idempotent, credential).await;
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
    send_as(harness, sender, host, id, idempotent, None).await
}

async fn send_as(
    harness: &Harness,
    sender: &mut SendRequest<Full<Bytes>>,
    host: SocketAddr,
    id: &str,
    idempotent: bool,
    credential: Option<Credential>,
) -> RequestRecord {
    let body = if idempotent { Bytes::new() } else { Bytes::from(id.repeat(20)) };
    let method = if idempotent { "GET" } else { "POST" };
    let deadline = harness.route_times().timeout + DEADLINE_MARGIN;
    let mut req = Request::builder()
        .method(method)
        .uri(path(idempotent, credential.as_ref()))
        .header(header::HOST, "soak.example")
        .header("request-id", id)
        .header("request-deadline-ms", deadline.as_millis() as u64);
    for (name, value) in credential.iter().flat_map(|c| &c.headers) {
        req = req.header(*name, value);
    }
    let req = req.body(Full::new(body.clone()));
    let stopping_before = harness.only_graceful_stop(host);
    let exchange = async {
        // After a response the connection may need a moment before it accepts the next request.
        sender.ready().await?;
        let rsp = sender.send_request(req?).await?;
        let (parts, body) = rsp.into_parts();
        anyhow::Ok((parts, body.collect().await?.to_bytes()))
    };
    let (outcome, response_error) = match timeout(deadline + RESPONSE_MARGIN, exchange).await {
        Ok(Ok((parts, response))) => (
            Outcome::Response(parts.status),
            response_error(id, &body, parts.status, &parts.headers, &response),
        ),
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
        credential,
    }
}

/// Returns the path of a request.
fn path(idempotent: bool, credential: Option<&Credential>) -> &'static str {
    match idempotent {
        true if credential.is_some_and(|c| c.public) => "/open/x",
        true => "/read/x",
        false => "/write/x",
    }
}

/// Returns what is wrong with a response to the request `id` with this body, if anything.
fn response_error(
    id: &str,
    request_body: &[u8],
    status: StatusCode,
    headers: &HeaderMap,
    response: &Bytes,
) -> Option<String> {
    let response_id = headers.get("request-id");
    let id_matches = response_id.is_some_and(|v| v.as_bytes() == id.as_bytes());
    let body_matches = *response == response_body(id, request_body);
    let is_wrong = status.is_success() && !(id_matches && body_matches);
    // Responses of the hosts themselves have no id.
    let is_of_other = response_id.is_some() && !id_matches;
    (is_wrong || is_of_other).then(|| format!("{id}: response truncated or of another request"))
}

/// Sends idempotent requests in groups, each over a connection on which none waits for the response to the one before,
/// until the run is over. The responses have to come in order.
pub async fn run_pipelined(harness: Arc<Harness>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let deadline = harness.route_times().timeout + DEADLINE_MARGIN;
    let mut n = 0;
    while !harness.is_over() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(10..60))).await;
        let Some(host) = pick_host(&harness, &mut rng).await else { continue };
        let mut group = Vec::new();
        for _ in 0..rng.random_range(2..=MAX_PIPELINED) {
            n += 1;
            let is_public = rng.random_bool(PUBLIC_SHARE);
            let credential = harness.teams.as_ref().map(|t| t.draw(&mut rng, is_public));
            group.push((format!("{seed:x}-p-{n:x}"), credential));
        }
        let request = |(id, credential): &(String, Option<Credential>)| {
            let mut headers = vec![
                ("host", "soak.example".to_owned()),
                ("request-id", id.clone()),
                ("request-deadline-ms", deadline.as_millis().to_string()),
            ];
            headers.extend(credential.iter().flat_map(|c| c.headers.clone()));
            (path(true, credential.as_ref()).to_owned(), headers)
        };
        let requests: Vec<_> = group.iter().map(request).collect();
        // The hosts may run the requests one after another.
        let time = (deadline + RESPONSE_MARGIN) * group.len() as u32;
        let responses = send_pipelined(host, &requests, time).await.unwrap_or_default();
        let mut responses = responses.into_iter();
        for (id, credential) in group {
            let (outcome, response_error) = match responses.next() {
                Some(r) => (
                    Outcome::Response(r.status),
                    response_error(&id, &[], r.status, &r.headers, &r.body),
                ),
                None => (Outcome::NoResponse, None),
            };
            harness.record_request(RequestRecord {
                id,
                host,
                idempotent: true,
                outcome,
                response_error,
                // Requests after a response that closes the connection count as unread.
                only_graceful_stop: false,
                credential,
            });
        }
    }
}

/// Counts the finished requests by outcome and checks them against the runs that the targets recorded:
/// successful responses are complete, a request that is not idempotent runs at most once and not at all if
/// it is refused, a graceful stop aborts no request that runs, and leaving targets get no late requests.
/// The targets have to be done with all requests.
pub fn check(harness: &Harness, report: &mut Report) {
    let records = harness.take_requests();
    if let Some(teams) = &harness.teams {
        teams::check(harness, teams, &records, report);
    }
    for record in records {
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
