//! What a host concludes from responses of its targets that are copies, parts, or about a former run.

mod common;

use common::targets::{
    call_as, call_with, complete_response, identity, read_head, registered, serve_pool,
    start_host_with,
};
use geraniummux_core::MemberState;
use geraniummux_core::fleet::{RegistryChange, RegistryDelta, Revision};
use geraniummux_host::{Host, peers};
use http::{HeaderValue, StatusCode, header};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// Pause that a target asks for with a refusal.
const PAUSE: Duration = Duration::from_secs(1);
/// Time from the copy of a refusal to the response that is due.
const LATE: Duration = Duration::from_millis(20);
/// Time for which a target works on a request.
const WORK: Duration = Duration::from_millis(200);
/// Address without listeners.
const UNUSED: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 9, 9, 98));

/// A request or probe that has arrived at a target.
struct Arrived {
    /// Identity of a request; `None` for a probe.
    id: Option<String>,
    /// Number of its connection at the target.
    conn: usize,
    /// Identities of the requests that came before on its connection.
    before: Vec<String>,
    addr: SocketAddr,
}

enum Step {
    Write(String),
    /// Begins to run the request.
    Run,
    Wait(Duration),
}

/// A target that does what a function returns for each request and probe.
struct Target {
    addr: SocketAddr,
    /// Identities of the requests that it has begun to run.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Target {
    async fn start<F>(script: F) -> Self
    where
        F: Fn(&Arrived) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.9.9.7:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (script, begun) = (Arc::new(script), runs.clone());
        tokio::spawn(async move {
            for conn in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (script, begun) = (script.clone(), begun.clone());
                tokio::spawn(async move { serve(stream, conn, addr, &*script, &begun).await });
            }
        });
        Target { addr, runs }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|r| **r == id).count()
    }
}

async fn serve<F>(
    mut stream: TcpStream,
    conn: usize,
    addr: SocketAddr,
    script: &F,
    runs: &Mutex<Vec<String>>,
) where
    F: Fn(&Arrived) -> Vec<Step>,
{
    let mut before = Vec::new();
    while let Some(head) = read_head(&mut stream).await {
        let id = head.value("a").map(str::to_owned);
        let arrived = Arrived { id: id.clone(), conn, before: before.clone(), addr };
        for step in script(&arrived) {
            match step {
                Step::Write(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Run => runs.lock().unwrap().extend(id.clone()),
                Step::Wait(time) => tokio::time::sleep(time).await,
            }
        }
        before.extend(id);
    }
}

/// Returns a healthy answer to a probe.
fn health(addr: SocketAddr) -> String {
    format!("HTTP/1.1 200 OK\r\nd: {}\r\ncontent-length: 0\r\n\r\n", identity(addr))
}

/// Returns a refusal with further header lines.
fn refusal(id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\na: {id}\r\ne: 1\r\n{more}content-length: 0\r\n\r\n"
    )
}

/// Guards against a response that stops in its head, before the copy of an earlier refusal, and is taken for a refusal:
/// it has the ids of both requests. Callers are told that the later one was not run (REFUSED), or it runs at a second
/// target (TWICE).
#[tokio::test]
async fn host_response_with_two_ids_is_no_refusal() {
    let script = |r: &Arrived| match (&r.id, r.before.first()) {
        (None, _) => vec![Step::Write(health(r.addr))],
        (Some(id), None) => vec![Step::Write(refusal(id, ""))],
        (Some(id), Some(first)) => {
            let stopped = format!("HTTP/1.1 200 OK\r\na: {id}\r\nf: dig");
            vec![Step::Run, Step::Write(stopped + &refusal(first, ""))]
        }
    };
    let targets = [Target::start(script).await, Target::start(script).await];
    let (_host, addr) =
        start_host_with(&targets.each_ref().map(|t| t.addr), "127.9.9.140:7009").await;
    let mut ran = 0;
    for n in 0..6 {
        let id = format!("r-{n}");
        let (status, _) = call_as(addr, "once", &id, TIME_LEFT_MS).await;
        let runs: usize = targets.iter().map(|t| t.runs_of(&id)).sum();
        assert!(runs <= 1, "{id} runs {runs} times");
        assert!(runs == 0 || status != StatusCode::SERVICE_UNAVAILABLE, "{id}: {status}, runs");
        ran += runs;
    }
    assert!(ran > 0, "no connection is used again");
}

/// Guards against a caller that uses an id again after a refusal, and is told that its request was not run while it
/// runs (REFUSED): the target writes the former refusal once more.
#[tokio::test]
async fn host_id_that_a_caller_uses_again_is_not_refused_by_a_copy() {
    let refused = Mutex::new(false);
    let target = Target::start(move |r| {
        let Some(id) = &r.id else { return vec![Step::Write(health(r.addr))] };
        if !std::mem::replace(&mut *refused.lock().unwrap(), true) {
            return vec![Step::Write(refusal(id, ""))];
        }
        let copy = r.before.contains(id).then(|| Step::Write(refusal(id, "")));
        let response = [Step::Wait(LATE), Step::Write(complete_response(r.addr, id))];
        [Step::Run].into_iter().chain(copy).chain(response).collect()
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], "127.9.9.141:7009").await;
    let first = call_as(addr, "once", "r-0", TIME_LEFT_MS).await.0;
    assert_eq!((first, target.runs_of("r-0")), (StatusCode::SERVICE_UNAVAILABLE, 0));
    let second = call_as(addr, "once", "r-0", TIME_LEFT_MS).await.0;
    assert_eq!((second, target.runs_of("r-0")), (StatusCode::OK, 1));
}

/// Guards against sound responses that are refused for their ids: one that is written twice, and one of its own that a
/// target gives to the response to a probe.
#[tokio::test]
async fn host_ids_that_sound_targets_write_are_accepted() {
    let target = Target::start(|r| match &r.id {
        None => vec![Step::Write(health(r.addr).replacen("\r\n", "\r\na: health-1\r\n", 1))],
        Some(id) => {
            let line = format!("\r\na: {id}\r\n");
            vec![Step::Run, Step::Write(complete_response(r.addr, id).replacen("\r\n", &line, 1))]
        }
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], "127.9.9.154:7009").await;
    for id in ["r-0", "r-1", "r-2"] {
        let (status, _) = call_as(addr, "once", id, TIME_LEFT_MS).await;
        assert_eq!((status, target.runs_of(id)), (StatusCode::OK, 1), "{id}");
    }
}

/// Guards against a request that reaches its target without its id, since its caller names that header as one of the
/// connection: whatever names the target then passes for its response, also the copy of a probe's refusal (REFUSED).
#[tokio::test]
async fn host_id_that_a_caller_names_as_hop_by_hop_is_sent() {
    let target = Target::start(|r| match &r.id {
        None => vec![Step::Write(health(r.addr))],
        Some(id) => vec![Step::Run, Step::Write(complete_response(r.addr, id))],
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], "127.9.9.152:7009").await;
    let headers = [(header::CONNECTION, HeaderValue::from_static("a"))].into_iter().collect();
    let (status, _) = call_with(addr, "once", "r-0", TIME_LEFT_MS, headers).await;
    assert_eq!((status, target.runs_of("r-0")), (StatusCode::OK, 1));
}

/// Guards against a copy of a refusal where the answer to a probe is due: the target's pause begins anew, or the copy
/// counts as the answer, and the answer as the response to the request, which runs and is lost (LOST).
#[tokio::test]
async fn probe_copy_of_a_refusal_is_no_answer() {
    let pause = format!("retry-after: {}\r\n", PAUSE.as_secs());
    let mut results = Vec::new();
    for (net, pauses) in (142..).zip([true, false]) {
        let pause = pause.clone();
        let target = Target::start(move |r| {
            let names_target = format!("d: {}\r\n", identity(r.addr));
            let more = if pauses { &pause } else { &names_target };
            match (&r.id, r.before.first()) {
                (Some(id), None) if r.conn == 0 => vec![Step::Write(refusal(id, more))],
                (None, Some(first)) => vec![
                    Step::Write(refusal(first, more)),
                    Step::Wait(LATE),
                    Step::Write(health(r.addr)),
                ],
                (None, None) => vec![Step::Write(health(r.addr))],
                (Some(id), _) => vec![Step::Run, Step::Write(complete_response(r.addr, id))],
            }
        })
        .await;
        let (_host, addr) = start_host_with(&[target.addr], &format!("127.9.9.{net}:7009")).await;
        let first = call_as(addr, "once", "r-0", TIME_LEFT_MS).await.0;
        assert_eq!(first, StatusCode::SERVICE_UNAVAILABLE);
        if pauses {
            tokio::time::sleep(PAUSE + LATE).await;
        }
        let second = call_as(addr, "once", "r-1", TIME_LEFT_MS).await.0;
        results.push((second, target.runs_of("r-1")));
    }
    assert_eq!(results, [(StatusCode::OK, 1); 2], "with a pause, with the name of the target");
}

/// Guards against a pause that begins anew with the copy of a refusal where the response to a later request is due: the
/// target's requests are refused meanwhile (RECOVER).
#[tokio::test]
async fn host_copy_of_a_refusal_does_not_pause_its_target_again() {
    let target = Target::start(|r| match (&r.id, r.before.first()) {
        (None, _) => vec![Step::Write(health(r.addr))],
        (Some(id), None) if r.conn == 0 => {
            vec![Step::Write(refusal(id, &format!("retry-after: {}\r\n", PAUSE.as_secs())))]
        }
        (Some(_), Some(first)) => {
            let more = format!("retry-after: {}\r\n", PAUSE.as_secs());
            vec![Step::Run, Step::Write(refusal(first, &more))]
        }
        (Some(id), None) => vec![Step::Run, Step::Write(complete_response(r.addr, id))],
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], "127.9.9.144:7009").await;
    assert_eq!(call_as(addr, "once", "r-0", TIME_LEFT_MS).await.0, StatusCode::SERVICE_UNAVAILABLE);
    tokio::time::sleep(PAUSE + LATE).await;
    assert_eq!(call_as(addr, "once", "r-1", TIME_LEFT_MS).await.0, StatusCode::BAD_GATEWAY);
    assert_eq!(call_as(addr, "once", "r-2", TIME_LEFT_MS).await.0, StatusCode::OK);
}

/// Starts a host that exchanges messages with the one at `seed`.
async fn start_peer(
    name: &str,
    peer: &str,
    seed: &str,
    target: SocketAddr,
) -> (Arc<Host>, SocketAddr) {
    let host = common::named_host(name, peer.parse().unwrap(), &format!(r#"["{seed}"]"#)).await;
    let listener = TcpListener::bind(peer).await.unwrap();
    tokio::spawn(peers::serve(host.clone(), Arc::new(listener)));
    tokio::spawn(peers::receive(host.clone()));
    tokio::spawn(peers::run(host.clone()));
    let addr = serve_pool(&host, vec![registered("pool", target)], peer).await;
    (host, addr)
}

/// Lets whoever is at the address of a target answer 421 while the target starts again at another address, which the
/// peer of the host learns, and the host itself if `host_knows`. Returns how many of two targets each of them uses then.
async fn replace_during_a_request(nets: [u8; 2], host_knows: bool) -> [usize; 2] {
    let other = Target::start(|r| match &r.id {
        None => vec![Step::Write(health(r.addr))],
        Some(id) => vec![
            Step::Wait(WORK),
            Step::Write(format!(
                "HTTP/1.1 421 Misdirected Request\r\na: {id}\r\ne: 1\r\ncontent-length: 0\r\n\r\n"
            )),
        ],
    })
    .await;
    let [ours, theirs] = nets.map(|net| format!("127.9.9.{net}:7009"));
    let (host, addr) = start_peer("host-1", &ours, &theirs, other.addr).await;
    let (peer, _) = start_peer("host-2", &theirs, &ours, other.addr).await;
    for h in [&host, &peer] {
        while h.members().peers().filter(|m| m.state == MemberState::Alive).count() == 0 {
            tokio::time::sleep(LATE).await;
        }
    }
    let call = tokio::spawn(call_as(addr, "once", "r-0", TIME_LEFT_MS));
    tokio::time::sleep(WORK / 2).await;
    // The target starts again beside a target that is always usable.
    let put = |id: &str, port| {
        let (_, RegistryChange::Put(mut target)) = registered("pool", other.addr) else { panic!() };
        target.id = id.into();
        target.addr = SocketAddr::new(UNUSED, port);
        target.started_unix_ms = 1;
        (Revision::new(1, 2), RegistryChange::Put(target))
    };
    let present = identity(other.addr);
    let changes = vec![put(&present, 1), put("t-spare", 2)];
    for h in [&peer, &host].into_iter().take(1 + usize::from(host_knows)) {
        let (from, to) = (Some(Revision::new(1, 1)), Revision::new(1, 2));
        assert!(h.apply_targets(RegistryDelta { from, to, changes: changes.clone() }, "store"));
    }
    call.await.unwrap();
    // Messages to the peer arrive.
    tokio::time::sleep(LATE).await;
    [&host, &peer]
        .map(|h| h.fleet().table.candidates(h.now(), "pool", &[], 2, &mut rand::rng()).len())
}

/// Guards against a 421 of whoever is at the address of a former run of a target, and that takes the present run out of
/// use at all hosts for two seconds (RECOVER).
#[tokio::test]
async fn host_misdirected_at_a_former_run_keeps_the_present_one() {
    assert_eq!(replace_during_a_request([145, 146], true).await, [2, 2]);
}

/// Guards against the message of a peer that has met a former run of a target and doesn't know yet that it has started
/// again: it takes the present run out of use at the hosts that know it (RECOVER).
#[tokio::test]
async fn peer_misdirected_at_a_former_run_keeps_the_present_one() {
    let [_, at_peer] = replace_during_a_request([147, 148], false).await;
    assert_eq!(at_peer, 2);
}

/// Sends a request to a target that runs it, stops in the head of a response with this status and writes the copy of the
/// refusal of a probe. Returns the status for the caller and the number of runs.
async fn call_with_merged_head(status: &'static str, peer: &str) -> (StatusCode, usize) {
    let target = Target::start(move |r| match &r.id {
        None => vec![Step::Write(health(r.addr))],
        Some(id) => {
            let stopped = format!("HTTP/1.1 {status}\r\na: {id}\r\nf: dig");
            let copy = "HTTP/1.1 503 Service Unavailable\r\ne: 1\r\ncontent-length: 0\r\n\r\n";
            vec![Step::Run, Step::Write(stopped + copy)]
        }
    })
    .await;
    let (_host, addr) = start_host_with(&[target.addr], peer).await;
    let (status, _) = call_as(addr, "once", "r-0", TIME_LEFT_MS).await;
    (status, target.runs_of("r-0"))
}

/// Guards against a response that stops in its head, before the copy of the refusal of a probe, and is taken for a refusal:
/// a success with the declaration that nothing was executed contradicts itself (REFUSED).
#[tokio::test]
async fn host_success_that_declares_no_execution_is_no_refusal() {
    let result = call_with_merged_head("200 OK", "127.9.9.150:7009").await;
    assert_eq!(result, (StatusCode::BAD_GATEWAY, 1));
}

/// Guards against the same with a failure of a target that has run the request, whose status goes with the declaration.
#[tokio::test]
async fn host_failure_that_goes_on_with_a_refusal_is_no_refusal() {
    let result = call_with_merged_head("503 Service Unavailable", "127.9.9.151:7009").await;
    assert_eq!(result, (StatusCode::BAD_GATEWAY, 1));
}
