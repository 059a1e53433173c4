//! What a registered target writes on a connection, byte by byte.

use geraniummux_standin::caller::send_pipelined;
use geraniummux_standin::registered_target::{
    CopyTrigger, RefusalCopy, Refusals, RegisteredTarget, RunCounts,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// A connection to a target, and the target.
struct Play {
    target: Arc<RegisteredTarget>,
    run_counts: Arc<RunCounts>,
    conn: BufReader<TcpStream>,
}

impl Play {
    async fn new(refusals: Refusals) -> Self {
        let run_counts = Arc::new(RunCounts::default());
        let target = RegisteredTarget::new("t-new", 100, run_counts.clone());
        target.set_refusals(refusals);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(target.clone().serve(listener));
        let conn = BufReader::new(TcpStream::connect(addr).await.unwrap());
        Play { target, run_counts, conn }
    }

    async fn send(&mut self, id: &str, target: &str) {
        let req = format!(
            "POST /write/x HTTP/1.1\r\nrequest-id: {id}\r\ntarget-instance: {target}\r\n\
             transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        );
        self.conn.get_mut().write_all(req.as_bytes()).await.unwrap();
    }

    async fn probe(&mut self) {
        self.conn.get_mut().write_all(b"GET /health HTTP/1.1\r\n\r\n").await.unwrap();
    }

    /// Reads a response. Returns its status, request id and target id.
    async fn read(&mut self) -> (String, String, String) {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            assert_ne!(self.conn.read_line(&mut line).await.unwrap(), 0, "closed after {head:?}");
            match line.trim_end() {
                "" => break,
                line => head.push(line.to_owned()),
            }
        }
        let header = |name: &str| {
            let value = head.iter().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
            value.unwrap_or_default().to_owned()
        };
        let mut body = vec![0; header("content-length").parse().unwrap()];
        self.conn.read_exact(&mut body).await.unwrap();
        let status = head[0].split(' ').nth(1).unwrap().to_owned();
        (status, header("request-id"), header("instance-id"))
    }
}

fn response(status: &str, id: &str, target: &str) -> (String, String, String) {
    (status.to_owned(), id.to_owned(), target.to_owned())
}

/// Guards against a stand-in that can't write a refusal once more when its request is sent again, before the
/// response to it.
#[tokio::test]
async fn copy_when_sent_again_precedes_response() {
    let at_once = RefusalCopy::new(CopyTrigger::SameRequest);
    for copy in [at_once, at_once.with_delay(Duration::from_millis(20))] {
        let copy = copy.in_two_parts(Duration::from_millis(5));
        let mut play = Play::new(Refusals::default().with_copy(copy)).await;
        play.send("a", "t-old").await;
        assert_eq!(play.read().await, response("421", "a", "t-new"));
        play.probe().await;
        assert_eq!(play.read().await, response("200", "", "t-new"));
        play.send("a", "t-new").await;
        assert_eq!(play.read().await, response("421", "a", "t-new"));
        assert_eq!(play.read().await, response("200", "a", "t-new"));
        assert_eq!(play.run_counts.targets("a"), ["t-new"]);
        assert_eq!((play.target.refused_count(), play.target.copy_count()), (1, 1));
    }
}

/// Guards against a stand-in that can't write a refusal once more where the next response is due, or after it.
#[tokio::test]
async fn copy_late_comes_with_next_message() {
    let copy = RefusalCopy::new(CopyTrigger::Any);
    let refusals = Refusals::default().with_declaration_only().without_target_id().with_copy(copy);
    let mut play = Play::new(refusals).await;
    play.send("a", "t-old").await;
    assert_eq!(play.read().await, response("503", "a", ""));
    play.probe().await;
    assert_eq!(play.read().await, response("503", "a", ""));
    assert_eq!(play.read().await, response("200", "", "t-new"));
    let later = RefusalCopy::new(CopyTrigger::Probe).with_delay(Duration::from_millis(20));
    play.target.set_refusals(Refusals::default().with_all_requests().with_copy(later));
    play.send("b", "t-new").await;
    assert_eq!(play.read().await, response("503", "b", "t-new"));
    play.probe().await;
    assert_eq!(play.read().await, response("200", "", "t-new"));
    assert_eq!(play.read().await, response("503", "b", "t-new"));
    assert_eq!(play.run_counts.runs("a") + play.run_counts.runs("b"), 0);
}

/// Guards against a stand-in that can't write a refusal once more on its own, or with a message that comes before the
/// copy is due.
#[tokio::test]
async fn copy_unprompted_is_written_once() {
    let copy = RefusalCopy::new(CopyTrigger::Refusal).with_delay(Duration::from_millis(40));
    let mut play = Play::new(Refusals::default().with_copy(copy)).await;
    play.send("a", "t-old").await;
    assert_eq!(play.read().await, response("421", "a", "t-new"));
    assert_eq!(play.read().await, response("421", "a", "t-new"));
    play.send("b", "t-old").await;
    assert_eq!(play.read().await, response("421", "b", "t-new"));
    play.send("c", "t-new").await;
    assert_eq!(play.read().await, response("421", "b", "t-new"));
    assert_eq!(play.read().await, response("200", "c", "t-new"));
    play.probe().await;
    assert_eq!(play.read().await, response("200", "", "t-new"));
    assert_eq!(play.target.copy_count(), 2);
}

/// Guards against a count that misses a request whose id has come on the connection before, or counts probes.
#[tokio::test]
async fn same_connection_count_counts_ids_that_come_again() {
    let mut play = Play::new(Refusals::default()).await;
    for (id, target) in [("a", "t-old"), ("b", "t-old"), ("a", "t-new")] {
        play.probe().await;
        play.read().await;
        play.send(id, target).await;
        play.read().await;
    }
    assert_eq!(play.target.same_connection_count(), 1);
    assert!(play.run_counts.came_again("a") && !play.run_counts.came_again("b"));
    assert_eq!(play.target.accepted_count(), 1);
    assert!(play.target.is_idle());
}

/// Guards against a start under another id that leaves the connections or the requests of the former process.
#[tokio::test]
async fn start_again_ends_connections_and_requests() {
    let mut play = Play::new(Refusals::default()).await;
    play.send("a", "t-new").await;
    while play.run_counts.runs("a") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    play.target.start_again_as("t-newer");
    let mut rest = Vec::new();
    assert!(matches!(play.conn.read_to_end(&mut rest).await, Ok(0) | Err(_)));
    assert_eq!(play.target.id(), "t-newer");
}

/// Guards against refusals that can't be held back, or that are lost then.
#[tokio::test]
async fn held_refusal_is_written_after_hold() {
    let mut play = Play::new(Refusals::default()).await;
    play.target.allow_refusals(0);
    play.send("a", "t-old").await;
    while play.target.refused_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(tokio::time::timeout(Duration::from_millis(50), play.read()).await.is_err());
    play.target.allow_refusals(1);
    assert_eq!(play.read().await, response("421", "a", "t-new"));
}

/// Guards against checks of the soak that see nothing: a target that does not show that it is cold, or does not record
/// what it was told of the caller, and responses to pipelined requests that are lost or out of order.
#[tokio::test]
async fn target_records_what_it_is_told() {
    let play = Play::new(Refusals::default()).await;
    let (target, addr) = (play.target, play.conn.get_ref().peer_addr().unwrap());
    assert_eq!(target.registration("pool", "a", "z")["warmup-left-s"], 0.0);
    target.set_cold(Duration::from_secs(60));
    assert!(target.registration("pool", "a", "z")["warmup-left-s"].as_f64().unwrap() > 50.0);
    target.set_evacuated(true, Duration::ZERO);
    let request = |id: &str, name, value: &str| {
        let headers = vec![("request-id", id.to_owned()), (name, value.to_owned())];
        ("/read/x".to_owned(), headers)
    };
    let requests = [
        ("/health".to_owned(), Vec::new()),
        request("r-1", "Tenant-Id", "ash"),
        request("r-2", "Key", "key-0"),
    ];
    let responses = send_pipelined(addr, &requests, Duration::from_secs(5)).await.unwrap();
    let left: u64 = responses[0].header("warmup-remaining-ms").parse().unwrap();
    assert!((50_000..=60_000).contains(&left), "{left}");
    let ids: Vec<&str> = responses.iter().map(|r| r.header("request-id")).collect();
    assert_eq!(ids, ["", "r-1", "r-2"]);
    let told: Vec<(String, Vec<String>)> =
        target.runs().into_iter().map(|r| (r.id, r.teams)).collect();
    let ash = vec!["ash".to_owned()];
    assert_eq!(told, [("r-1".to_owned(), ash), ("r-2".to_owned(), Vec::new())]);
    assert_eq!(target.key_count(), 1);
    assert_eq!((target.cold_arrivals().len(), target.evacuated_runs().len()), (2, 2));
}
