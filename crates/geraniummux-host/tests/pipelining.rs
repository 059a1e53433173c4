//! Pipelined requests of callers.

mod common;

use common::targets::{
    COMPLETE_BODY, Head, Reply, ScriptedTarget, call_as, complete_response, read_head,
    start_host_with,
};
use geraniummux_host::Host;
use geraniummux_host::host::Phase;
use geraniummux_host::stopping::Stop;
use http::StatusCode;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Time after which an event is taken never to happen.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
const TIME_LEFT_MS: u64 = 60_000;

/// What a [`HeldTarget`] sees.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrived(String),
    /// The host has closed the connection before the request was answered.
    Cancelled(String),
}

/// Targets that answer a request when the test releases it.
struct HeldTargets {
    addrs: Vec<SocketAddr>,
    events: mpsc::UnboundedReceiver<Event>,
    /// Events that were received. Hedges repeat them.
    seen: BTreeSet<Event>,
    released: watch::Sender<BTreeSet<String>>,
}

/// Releases all requests.
const ALL: &str = "all";

impl HeldTargets {
    async fn start(count: usize) -> Self {
        let (tx, events) = mpsc::unbounded_channel();
        let (released, rx) = watch::channel(BTreeSet::new());
        let mut addrs = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.9.9.8:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            addrs.push(addr);
            let (tx, rx) = (tx.clone(), rx.clone());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve_held(stream, addr, tx.clone(), rx.clone()));
                }
            });
        }
        HeldTargets { addrs, events, seen: BTreeSet::new(), released }
    }

    fn release(&self, id: &str) {
        self.released.send_modify(|ids| {
            ids.insert(id.to_owned());
        });
    }

    async fn next(&mut self) -> Event {
        loop {
            let event = timeout(GIVE_UP_AFTER, self.events.recv()).await;
            let event = event.expect("nothing happens").unwrap();
            if self.seen.insert(event.clone()) {
                return event;
            }
        }
    }

    /// Waits until these requests, and no others, have arrived.
    async fn expect_arrivals(&mut self, ids: &[&str]) {
        let mut missing: BTreeSet<_> = ids.iter().map(|id| id.to_string()).collect();
        while !missing.is_empty() {
            match self.next().await {
                Event::Arrived(id) => assert!(missing.remove(&id), "{id} arrives too early"),
                event => panic!("{event:?}"),
            }
        }
    }

    /// Waits until these requests are cancelled, before they have a result.
    async fn expect_cancelled(&mut self, ids: &[&str]) {
        let mut missing: BTreeSet<_> = ids.iter().map(|id| id.to_string()).collect();
        while !missing.is_empty() {
            match self.next().await {
                Event::Cancelled(id) => assert!(missing.remove(&id), "{id}"),
                event => panic!("{event:?}"),
            }
        }
    }

    /// Sends pipelined requests on another connection until they have run, so that the host has had time for what
    /// it would do on the connection under test, and checks that nothing else arrived meanwhile.
    async fn expect_nothing_else(&mut self, host: SocketAddr) {
        for _ in 0..5 {
            let ids = [unique_id(), unique_id()];
            let mut caller = Caller::connect(host).await;
            caller.send(&get("safe", &ids[0])).await;
            caller.send(&get("safe", &ids[1])).await;
            self.expect_arrivals(&[&ids[0], &ids[1]]).await;
            for id in &ids {
                self.release(id);
                assert_eq!(caller.read_id().await, *id);
            }
        }
    }
}

async fn serve_held(
    mut stream: TcpStream,
    addr: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    mut released: watch::Receiver<BTreeSet<String>>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let len = head.value("content-length").map_or(0, |v| v.parse().unwrap());
        stream.read_exact(&mut vec![0; len]).await.unwrap();
        let id = head.value("a").unwrap_or("none").to_owned();
        if id != "none" {
            let _ = events.send(Event::Arrived(id.clone()));
            tokio::select! {
                _ = released.wait_for(|ids| ids.contains(&id) || ids.contains(ALL)) => {}
                _ = stream.read_u8() => {
                    let _ = events.send(Event::Cancelled(id));
                    return;
                }
            }
        }
        if stream.write_all(complete_response(addr, &id).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns a complete response with a body of `len` bytes.
fn response_of_size(target: SocketAddr, id: &str, len: usize) -> String {
    let rsp = complete_response(target, id);
    let head = rsp.strip_suffix(COMPLETE_BODY).unwrap();
    let declared = |len: usize| format!("content-length: {len}");
    head.replace(&declared(COMPLETE_BODY.len()), &declared(len)) + &"x".repeat(len)
}

fn unique_id() -> String {
    static LAST: AtomicUsize = AtomicUsize::new(0);
    format!("u-{}", LAST.fetch_add(1, Ordering::Relaxed))
}

fn get(route: &str, id: &str) -> String {
    request(route, id, "")
}

/// Returns the head of a request with further header lines.
fn request(route: &str, id: &str, headers: &str) -> String {
    format!(
        "GET /{route}/x HTTP/1.1\r\nhost: a.example\r\na: {id}\r\nb: {TIME_LEFT_MS}\r\n{headers}\r\n"
    )
}

struct Caller(TcpStream);

impl Caller {
    async fn connect(host: SocketAddr) -> Self {
        Caller(TcpStream::connect(host).await.unwrap())
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads the next response; `None` if the connection is closed.
    async fn read(&mut self) -> Option<(Head, Vec<u8>)> {
        let read = async {
            let head = read_head(&mut self.0).await?;
            let len = head.value("content-length").map_or(0, |v| v.parse().unwrap());
            let mut body = vec![0; len];
            self.0.read_exact(&mut body).await.ok()?;
            Some((head, body))
        };
        timeout(GIVE_UP_AFTER, read).await.expect("the host does not respond")
    }

    /// Reads the next response, which must be complete, and returns its id.
    async fn read_id(&mut self) -> String {
        let (head, body) = self.read().await.expect("the connection is closed");
        assert_eq!(body, COMPLETE_BODY.as_bytes());
        head.value("a").unwrap().to_owned()
    }

    async fn expect_closed(&mut self) {
        assert!(self.read().await.is_none(), "a response instead of the end");
    }
}

/// Starts a host with held targets, which has served a request.
async fn start(targets: usize, peer: &str) -> (Arc<Host>, SocketAddr, HeldTargets) {
    let mut targets = HeldTargets::start(targets).await;
    let (host, addr) = start_host_with(&targets.addrs, peer).await;
    targets.release("r-first");
    let (status, _) = call_as(addr, "safe", "r-first", TIME_LEFT_MS).await;
    assert_eq!(status, StatusCode::OK);
    targets.expect_arrivals(&["r-first"]).await;
    (host, addr, targets)
}

/// Returns the value of a metric, summed over its labels.
fn metric(host: &Host, name: &str) -> u64 {
    let text = host.metrics.text().unwrap();
    let lines = text.lines().filter(|l| l.starts_with(name));
    lines.map(|l| l.rsplit_once(' ').unwrap().1.parse::<u64>().unwrap()).sum()
}

/// Waits until the host has got the responses to `count` requests in total.
async fn until_finished(host: &Host, count: u64) {
    let finished = async {
        while metric(host, "geraniummux_requests_total") < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(GIVE_UP_AFTER, finished).await.expect("the host has not got the responses");
}

/// Guards against idempotent requests that wait for the response before them, and against responses in the order of
/// their completion.
#[tokio::test]
async fn pipelined_idempotent_requests_run_concurrently() {
    let (host, addr, mut targets) = start(1, "127.9.9.90:7009").await;
    let mut caller = Caller::connect(addr).await;
    let ids = ["r-1", "r-2", "r-3"];
    caller.send(&ids.map(|id| get("safe", id)).concat()).await;
    targets.expect_arrivals(&ids).await;
    targets.release("r-3");
    targets.release("r-2");
    until_finished(&host, 3).await;
    targets.release("r-1");
    for id in ids {
        assert_eq!(caller.read_id().await, id);
    }
    assert_eq!(metric(&host, "geraniummux_pipelined_requests_total"), 2);
    // The connection goes on.
    caller.send(&get("safe", "r-4")).await;
    targets.release("r-4");
    assert_eq!(caller.read_id().await, "r-4");
    assert_eq!(metric(&host, "geraniummux_pipelined_requests_total"), 2);
}

/// Guards against a request that may run only once and starts while one before it is not answered, so that a caller
/// whose connection breaks sends it again (TWICE), and against requests that start before it is answered.
#[tokio::test]
async fn pipelined_not_idempotent_request_is_a_barrier() {
    let (_host, addr, mut targets) = start(1, "127.9.9.91:7009").await;
    let mut caller = Caller::connect(addr).await;
    let requests = [("safe", "r-1"), ("safe", "r-2"), ("once", "r-3"), ("safe", "r-4")];
    caller.send(&requests.map(|(route, id)| get(route, id)).concat()).await;
    targets.expect_arrivals(&["r-1", "r-2"]).await;
    targets.release("r-2");
    targets.expect_nothing_else(addr).await;
    targets.release("r-1");
    assert_eq!(caller.read_id().await, "r-1");
    assert_eq!(caller.read_id().await, "r-2");
    targets.expect_arrivals(&["r-3"]).await;
    targets.expect_nothing_else(addr).await;
    targets.release("r-3");
    assert_eq!(caller.read_id().await, "r-3");
    targets.expect_arrivals(&["r-4"]).await;
    targets.release("r-4");
    assert_eq!(caller.read_id().await, "r-4");
}

/// Guards against requests behind a response that closes the connection and have been sent to a target: the caller
/// sends them again (TWICE).
#[tokio::test]
async fn pipelined_request_that_closes_is_the_last() {
    let (_host, addr, mut targets) = start(1, "127.9.9.92:7009").await;
    for (n, headers) in
        ["connection: close\r\n", "Connection: x, Close\r\n"].into_iter().enumerate()
    {
        let mut caller = Caller::connect(addr).await;
        let ids = [1, 2, 3, 4].map(|i| format!("r-{n}-{i}"));
        caller.send(&get("safe", &ids[0])).await;
        caller.send(&request("safe", &ids[1], headers)).await;
        caller.send(&(get("safe", &ids[2]) + &get("once", &ids[3]))).await;
        targets.expect_arrivals(&[&ids[0], &ids[1]]).await;
        targets.expect_nothing_else(addr).await;
        targets.release(&ids[1]);
        targets.release(&ids[0]);
        assert_eq!(caller.read_id().await, ids[0]);
        let (head, _) = caller.read().await.unwrap();
        assert_eq!((head.value("a"), head.value("connection")), (Some(&*ids[1]), Some("close")));
        caller.expect_closed().await;
    }
    let mut caller = Caller::connect(addr).await;
    let old = get("safe", "r-old").replace("HTTP/1.1", "HTTP/1.0");
    caller.send(&(old + &get("safe", "r-behind") + &get("once", "r-behind-once"))).await;
    targets.expect_arrivals(&["r-old"]).await;
    targets.expect_nothing_else(addr).await;
    targets.release("r-old");
    assert_eq!(caller.read_id().await, "r-old");
    caller.expect_closed().await;
    targets.expect_nothing_else(addr).await;
}

/// Guards against requests of a caller that has disconnected and that keep targets busy.
#[tokio::test]
async fn pipelined_requests_of_a_caller_that_leaves_are_cancelled() {
    let (host, addr, mut targets) = start(1, "127.9.9.93:7009").await;
    let mut caller = Caller::connect(addr).await;
    caller.send(&(get("safe", "r-1") + &get("safe", "r-2") + &get("once", "r-3"))).await;
    targets.expect_arrivals(&["r-1", "r-2"]).await;
    let finished = metric(&host, "geraniummux_requests_total");
    drop(caller);
    targets.expect_cancelled(&["r-1", "r-2"]).await;
    assert_eq!(metric(&host, "geraniummux_requests_total"), finished, "cancelled by the deadline");
    targets.expect_nothing_else(addr).await;
    while host.caller_count() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a connection that starts requests without bound, and against a caller that has disconnected and is
/// not noticed because its connection is not read any further.
#[tokio::test]
async fn pipelined_requests_are_bounded_in_number() {
    const STARTED: usize = 9;
    let (host, addr, mut targets) = start(4, "127.9.9.94:7009").await;
    let ids: Vec<String> = (0..20).map(|n| format!("r-{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let all: String = ids.iter().map(|id| get("safe", id)).collect();
    let mut caller = Caller::connect(addr).await;
    caller.send(&all).await;
    targets.expect_arrivals(&ids[..STARTED]).await;
    targets.expect_nothing_else(addr).await;
    let finished = metric(&host, "geraniummux_requests_total");
    drop(caller);
    targets.expect_cancelled(&ids[..STARTED]).await;
    assert_eq!(metric(&host, "geraniummux_requests_total"), finished, "cancelled by the deadline");
    while host.caller_count() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The same requests are all answered in order if the caller stays.
    targets.release(ALL);
    let mut caller = Caller::connect(addr).await;
    caller.send(&all).await;
    for id in ids {
        assert_eq!(caller.read_id().await, id);
    }
}

/// Guards against a host that reads and holds all that a caller sends while a request is in service.
#[tokio::test]
async fn pipelined_requests_are_bounded_in_bytes() {
    const MANY: usize = 64 << 20;
    let (_host, addr, mut targets) = start(4, "127.9.9.95:7009").await;
    let caller = Caller::connect(addr).await;
    let (mut rx, mut tx) = caller.0.into_split();
    tx.write_all(get("safe", "r-1").as_bytes()).await.unwrap();
    targets.expect_arrivals(&["r-1"]).await;
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    let writer = tokio::spawn(async move {
        let many = get("once", "r-once").repeat(1_000);
        while count.load(Ordering::Relaxed) < MANY {
            tx.write_all(many.as_bytes()).await.unwrap();
            count.fetch_add(many.len(), Ordering::Relaxed);
        }
    });
    let mut before = usize::MAX;
    while before != written.load(Ordering::Relaxed) {
        before = written.load(Ordering::Relaxed);
        targets.expect_nothing_else(addr).await;
    }
    assert!(!writer.is_finished(), "the host has read {MANY} bytes");
    // The requests are read when it is their turn.
    targets.release(ALL);
    let drain = tokio::spawn(async move { while rx.read(&mut [0; 4_096]).await.unwrap() > 0 {} });
    while written.load(Ordering::Relaxed) == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    writer.abort();
    drain.abort();
}

/// Guards against a request that may run only once and starts while the response before it is not written: if the
/// connection breaks, the caller sends it again (TWICE).
#[tokio::test]
async fn pipelined_barrier_waits_until_the_response_is_written() {
    // More than the buffers of the sockets hold.
    const BODY_BYTES: usize = 12 << 20;
    let target = ScriptedTarget::start(|_, addr, id| match id {
        "r-large" => Reply::Keep(response_of_size(addr, id, BODY_BYTES)),
        _ => Reply::Keep(complete_response(addr, id)),
    })
    .await;
    let (host, addr) = start_host_with(&[target.addr], "127.9.9.105:7009").await;
    let mut caller = Caller::connect(addr).await;
    caller.send(&(get("safe", "r-large") + &get("once", "r-once") + &get("safe", "r-last"))).await;
    until_finished(&host, 1).await;
    for _ in 0..20 {
        let status = call_as(addr, "safe", &unique_id(), TIME_LEFT_MS).await.0;
        assert_eq!(status, StatusCode::OK);
    }
    let others = ["r-once", "r-last"].map(str::to_owned);
    assert!(others.iter().all(|id| !target.requests.lock().unwrap().contains(id)));
    let (head, body) = caller.read().await.unwrap();
    assert_eq!((head.value("a"), body.len()), (Some("r-large"), BODY_BYTES));
    for id in others {
        assert_eq!(caller.read_id().await, id);
    }
}

/// Guards against a caller that does not read, and whose responses fill the memory of the host.
#[tokio::test]
async fn pipelined_responses_are_bounded_in_bytes() {
    const BODY_BYTES: usize = 400_000;
    const MAX_HELD_BYTES: u64 = 1 << 20;
    let target =
        ScriptedTarget::start(|_, addr, id| Reply::Keep(response_of_size(addr, id, BODY_BYTES)))
            .await;
    let (host, addr) = start_host_with(&[target.addr], "127.9.9.96:7009").await;
    let mut caller = Caller::connect(addr).await;
    let ids: Vec<String> = (0..30).map(|n| format!("r-{n}")).collect();
    caller.send(&ids.iter().map(|id| get("safe", id)).collect::<String>()).await;
    // As long as the caller reads nothing, the host stops to send requests. Responses may be dropped, but all
    // requests are answered.
    let mut before = u64::MAX;
    while before != metric(&host, "geraniummux_sends_total") {
        before = metric(&host, "geraniummux_sends_total");
        for _ in 0..20 {
            assert_eq!(
                call_as(addr, "none", "r-none", TIME_LEFT_MS).await.0,
                StatusCode::NOT_FOUND
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let held = host.bodies.budget().held();
    assert!(held > 0 && held <= MAX_HELD_BYTES + 2 * BODY_BYTES as u64, "{held} bytes");
    for id in ids {
        let (head, body) = caller.read().await.unwrap();
        assert_eq!((head.value("a"), body.len()), (Some(&*id), BODY_BYTES));
    }
}

/// Guards against requests that a stopping host has started and cuts without a response (LOST), and against one that
/// it has not started and leaves unanswered on a connection that seems to go on.
#[tokio::test]
async fn pipelined_requests_in_flight_are_answered_by_a_stopping_host() {
    for (phase, peer) in [(Phase::Leaving, "127.9.9.97:7009"), (Phase::Draining, "127.9.9.98:7009")]
    {
        let (host, addr, mut targets) = start(1, peer).await;
        let mut caller = Caller::connect(addr).await;
        caller.send(&["r-1", "r-2", "r-3"].map(|id| get("safe", id)).concat()).await;
        caller.send(&get("once", "r-once")).await;
        targets.expect_arrivals(&["r-1", "r-2", "r-3"]).await;
        Stop::begin(&host, Duration::from_secs(60));
        host.enter_phase(phase);
        // A host that drains notices it in the task of each connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        for id in ["r-2", "r-1", "r-3"] {
            targets.release(id);
        }
        for (id, connection) in [("r-1", None), ("r-2", None), ("r-3", Some("close"))] {
            let (head, _) = caller.read().await.unwrap_or_else(|| panic!("{phase:?}: {id} is cut"));
            assert_eq!(
                (head.value("a"), head.value("connection")),
                (Some(id), connection),
                "{phase:?}"
            );
        }
        caller.expect_closed().await;
        assert!(targets.events.try_recv().is_err(), "r-once was sent");
        while host.caller_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against requests that a stopping host starts ahead although their responses follow one that closes the
/// connection.
#[tokio::test]
async fn pipelined_requests_to_a_stopping_host_do_not_start_ahead() {
    let (host, addr, mut targets) = start(1, "127.9.9.99:7009").await;
    Stop::begin(&host, Duration::from_secs(60));
    let mut caller = Caller::connect(addr).await;
    let short = |id| get("safe", id).replace(&TIME_LEFT_MS.to_string(), "9000");
    caller.send(&(short("r-1") + &short("r-2"))).await;
    targets.expect_arrivals(&["r-1"]).await;
    let mut other = Caller::connect(addr).await;
    other.send(&short("r-other")).await;
    targets.expect_arrivals(&["r-other"]).await;
    targets.release(ALL);
    let (head, _) = caller.read().await.unwrap();
    assert_eq!((head.value("a"), head.value("connection")), (Some("r-1"), Some("close")));
    caller.expect_closed().await;
    assert!(targets.events.try_recv().is_err(), "r-2 was sent");
}

/// Guards against a malformed or too long head that harms the requests before it, or whose successors are sent.
#[tokio::test]
async fn pipelined_malformed_head_is_refused_in_its_turn() {
    let (_host, addr, mut targets) = start(1, "127.9.9.100:7009").await;
    let long = request("safe", "r-long", &format!("x: {}\r\n", "x".repeat(40_000)));
    let cases = [
        ("GET / HTTP/1.1\r\nbad header\r\n\r\n".to_owned(), "400"),
        (request("safe", "r-bad", "content-length: 1\r\ncontent-length: 2\r\n"), "400"),
        (request("safe", "r-bad", "transfer-encoding: gzip\r\n"), "400"),
        (long, "431"),
    ];
    for (n, (malformed, status)) in cases.into_iter().enumerate() {
        let mut caller = Caller::connect(addr).await;
        let ids = [format!("r-{n}-1"), format!("r-{n}-2")];
        let all =
            get("safe", &ids[0]) + &get("safe", &ids[1]) + &malformed + &get("safe", "r-behind");
        // The host may close the connection before it has read all.
        let _ = caller.0.write_all(all.as_bytes()).await;
        targets.expect_arrivals(&[&ids[0], &ids[1]]).await;
        targets.expect_nothing_else(addr).await;
        targets.release(&ids[0]);
        targets.release(&ids[1]);
        assert_eq!(caller.read_id().await, ids[0]);
        assert_eq!(caller.read_id().await, ids[1]);
        let (head, _) = caller.read().await.unwrap();
        let expected = format!("HTTP/1.1 {status}");
        assert!(head.text().starts_with(&expected), "{n}: {}", head.text());
        caller.expect_closed().await;
    }
    targets.expect_nothing_else(addr).await;
}

/// Guards against heads that are not found because they arrive in pieces.
#[tokio::test]
async fn pipelined_head_in_pieces_is_served() {
    let (host, addr, mut targets) = start(1, "127.9.9.101:7009").await;
    let mut caller = Caller::connect(addr).await;
    let ids = ["r-1", "r-2", "r-3"];
    let all = ids.map(|id| get("safe", id)).concat();
    for piece in all.as_bytes().chunks(7) {
        caller.0.write_all(piece).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    targets.expect_arrivals(&ids).await;
    for id in ids.into_iter().rev() {
        targets.release(id);
    }
    for id in ids {
        assert_eq!(caller.read_id().await, id);
    }
    assert_eq!(metric(&host, "geraniummux_pipelined_requests_total"), 2);
}

/// Guards against bodies that are taken for requests, and against requests that start next to one with a body.
#[tokio::test]
async fn pipelined_request_with_a_body_is_a_barrier() {
    let (_host, addr, mut targets) = start(1, "127.9.9.102:7009").await;
    let body = get("safe", "r-smuggled");
    let with_body = |id| {
        let head = request("safe", id, &format!("content-length: {}\r\n", body.len()));
        head.replace("GET", "POST") + &body
    };
    let mut caller = Caller::connect(addr).await;
    let all = get("safe", "r-1")
        + &with_body("r-2")
        + &with_body("r-3")
        + &get("safe", "r-4")
        + &get("safe", "r-5");
    caller.send(&all).await;
    for id in ["r-1", "r-2", "r-3"] {
        targets.expect_arrivals(&[id]).await;
        targets.expect_nothing_else(addr).await;
        targets.release(id);
        assert_eq!(caller.read_id().await, id);
    }
    targets.expect_arrivals(&["r-4", "r-5"]).await;
    targets.release("r-4");
    targets.release("r-5");
    assert_eq!(caller.read_id().await, "r-4");
    assert_eq!(caller.read_id().await, "r-5");
}

/// Guards against requests that are lost or sent out of order around chunked bodies and interim responses.
#[tokio::test]
async fn pipelined_chunked_body_is_served_in_order() {
    let (_host, addr, mut targets) = start(1, "127.9.9.103:7009").await;
    targets.release(ALL);
    let mut caller = Caller::connect(addr).await;
    let chunked = request("once", "r-2", "transfer-encoding: chunked\r\n").replace("GET", "POST");
    let all = get("safe", "r-1")
        + &chunked
        + "4\r\nabcd\r\n0\r\n\r\n"
        + &get("safe", "r-3")
        + &get("once", "r-4");
    caller.send(&all).await;
    for id in ["r-1", "r-2", "r-3", "r-4"] {
        assert_eq!(caller.read_id().await, id);
    }
    targets.expect_arrivals(&["r-1", "r-2", "r-3", "r-4"]).await;
    let expecting = request("once", "r-6", "content-length: 4\r\nexpect: 100-continue\r\n");
    let mut caller = Caller::connect(addr).await;
    caller.send(&(get("safe", "r-5") + &expecting.replace("GET", "POST"))).await;
    assert_eq!(caller.read_id().await, "r-5");
    let (interim, _) = caller.read().await.unwrap();
    assert!(interim.text().starts_with("HTTP/1.1 100"), "{}", interim.text());
    caller.send(&("abcd".to_owned() + &get("safe", "r-7") + &get("safe", "r-8"))).await;
    for id in ["r-6", "r-7", "r-8"] {
        assert_eq!(caller.read_id().await, id);
    }
}

/// Guards against responses of other requests when many run at once and end in any order.
#[tokio::test]
async fn pipelined_twenty_requests_keep_their_order() {
    let target = ScriptedTarget::start(|_, addr, id| {
        let delay = Duration::from_millis(rand::random_range(0..30));
        Reply::Later(delay, complete_response(addr, id))
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], "127.9.9.104:7009").await;
    let mut caller = Caller::connect(addr).await;
    for round in 0..5 {
        let ids: Vec<String> = (0..20).map(|n| format!("r-{round}-{n}")).collect();
        let route = |n: usize| if n % 7 == 6 { "once" } else { "safe" };
        let all: String = ids.iter().enumerate().map(|(n, id)| get(route(n), id)).collect();
        caller.send(&all).await;
        for id in ids {
            assert_eq!(caller.read_id().await, id);
        }
    }
}
