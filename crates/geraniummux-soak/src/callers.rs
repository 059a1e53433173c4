//! Callers that keep their connections and check each answer.

use crate::report::Report;
use crate::world::World;
use bytes::Bytes;
use geraniummux_standin::registered_target::answer_body;
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

/// Time that a caller waits for an answer.
const LIMIT: Duration = Duration::from_millis(1_200);
/// Time for an answer to arrive after the limit that the host was told.
const MARGIN: Duration = Duration::from_millis(800);
/// Time for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Requests for which one answer of the directory is used.
const USES: u32 = 12;

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// With an answer.
    Answered(StatusCode),
    /// The connection ended or nothing came.
    Nothing,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its identity.
    pub id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How it ended.
    pub end: End,
    /// What was wrong with the answer.
    pub wrong: Option<String>,
    /// Whether the host was being stopped while no other fault was there.
    pub only_stopping: bool,
}

/// Sends requests until the world ends.
pub async fn run(world: Arc<World>, number: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut n = 0;
    while !world.is_over() {
        let Some(host) = choose(&world, &mut rng).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(mut sender) = connect(host).await else { continue };
        for _ in 0..USES {
            n += 1;
            let idempotent = rng.random::<f64>() < 0.6;
            let id = format!("{seed:x}-{number:x}-{n:x}");
            let asked = ask(&world, &mut sender, host, &id, idempotent).await;
            let goes_on = matches!(asked.end, End::Answered(_)) && !sender.is_closed();
            world.note(asked);
            let pause = rng.random_range(10..60);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if !goes_on || world.is_over() {
                break;
            }
        }
    }
}

/// Asks any host which hosts to use and chooses one of them.
async fn choose(world: &World, rng: &mut StdRng) -> Option<SocketAddr> {
    let any = world.directories[rng.random_range(0..world.directories.len())];
    let req = Request::get("/resolve?name=soak.example&zone=zone-a").body(Full::default()).ok()?;
    let mut sender = connect(any).await.ok()?;
    let rsp = timeout(CONNECT, sender.send_request(req)).await.ok()?.ok()?;
    let body = timeout(CONNECT, rsp.into_body().collect()).await.ok()?.ok()?.to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let addresses = body["addresses"].as_array()?;
    addresses.get(rng.random_range(0..addresses.len().max(1)))?.as_str()?.parse().ok()
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the host does not accept it in time.
pub async fn connect(addr: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    // How the connection ends is seen by the requests on it.
    tokio::spawn(async move { drop(conn.await) });
    Ok(sender)
}

/// Sends one request and waits for its end.
pub async fn ask(
    world: &World,
    sender: &mut SendRequest<Full<Bytes>>,
    host: SocketAddr,
    id: &str,
    idempotent: bool,
) -> Asked {
    let body = if idempotent { Bytes::new() } else { Bytes::from(id.repeat(20)) };
    let (method, path) = if idempotent { ("GET", "/read/x") } else { ("POST", "/write/x") };
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "soak.example")
        .header("request-id", id)
        .header("request-deadline-ms", LIMIT.as_millis() as u64)
        .body(Full::new(body.clone()));
    let stopping_before = world.only_stopping(host);
    let exchange = async {
        // Right after an answer the connection may need a moment before it takes the next request.
        sender.ready().await?;
        let rsp = sender.send_request(req?).await?;
        let (parts, body) = rsp.into_parts();
        anyhow::Ok((parts, body.collect().await?.to_bytes()))
    };
    let (end, wrong) = match timeout(LIMIT + MARGIN, exchange).await {
        Ok(Ok((parts, got))) => {
            let own =
                parts.headers.get("request-id").is_some_and(|v| v.as_bytes() == id.as_bytes());
            let whole = got == answer_body(id, &body);
            let wrong = parts.status.is_success() && !(own && whole);
            (End::Answered(parts.status), wrong.then(|| format!("{id}: not its own whole answer")))
        }
        _ => (End::Nothing, None),
    };
    let only_stopping = stopping_before && world.only_stopping(host);
    Asked { id: id.to_owned(), idempotent, end, wrong, only_stopping }
}

/// Checks all requests against what the targets ran.
pub fn check(world: &World, report: &mut Report) {
    for asked in world.take_asked() {
        let runs = world.ledger.runs(&asked.id);
        let promised = matches!(
            asked.end,
            End::Answered(
                StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::MISDIRECTED_REQUEST
            )
        );
        match &asked.end {
            End::Answered(s) if s.is_success() => report.served += 1,
            End::Answered(_) if promised => report.refused += 1,
            End::Answered(_) => report.failed += 1,
            End::Nothing => report.unanswered += 1,
        }
        report.checks += 3;
        report.broken.extend(asked.wrong.clone());
        if !asked.idempotent && runs > 1 {
            report.broken.push(format!("{}: ran {runs} times", asked.id));
        }
        if !asked.idempotent && promised && runs > 0 {
            report.broken.push(format!("{}: told as not run, but ran", asked.id));
        }
        if asked.end == End::Nothing && asked.only_stopping && runs > 0 {
            report.broken.push(format!("{}: cut off by a graceful stop", asked.id));
        }
    }
    let late =
        world.targets.iter().flat_map(|t| t.late_runs()).filter(|l| world.is_broken(l)).count();
    report.checks += 1;
    if late > 0 {
        report.broken.push(format!("{late} requests reached targets that had left"));
    }
}
