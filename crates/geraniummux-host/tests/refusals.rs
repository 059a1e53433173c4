//! Targets that refuse requests and write their refusals once more.

mod common;

use common::targets::{COMPLETE_BODY, call_as, read_head, registered, start_host_with};
use geraniummux_core::fleet::{RegistryChange, RegistryDelta, Revision};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Identity of the target that has taken the place of another one at its address.
const PRESENT: &str = "t-present";
/// Time that callers have for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// Time for which the target works on a request.
const WORK: Duration = Duration::from_millis(200);

/// How the target refuses a request that is addressed to the former one, and what happens to the refusal.
#[derive(Clone, Copy, Debug)]
struct Form {
    /// Status and further header lines of the refusal.
    refusal: &'static str,
    /// Whether the former target's entry is removed when that of the present one is added.
    replaces_entry: bool,
    /// Time from the arrival of the same request on the same connection to the copy of the refusal; `None` if none
    /// is written.
    copy_after: Option<Duration>,
}

const MISDIRECTED: &str = "421 Misdirected Request\r\n";
const REFUSED: &str = "503 Service Unavailable\r\ne: 1\r\n";

/// A target that runs what is addressed to it, and refuses what is addressed to the former target at its address.
struct ReplacingTarget {
    form: Form,
    /// Requests that were refused.
    refused: AtomicUsize,
    /// The first refusal is written only after this.
    may_refuse: Notify,
    /// Requests that began to run.
    runs: AtomicUsize,
}

impl ReplacingTarget {
    async fn start(form: Form) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.9.9.7:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let target = Arc::new(ReplacingTarget {
            form,
            refused: AtomicUsize::new(0),
            may_refuse: Notify::new(),
            runs: AtomicUsize::new(0),
        });
        let serving = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        (target, addr)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut refusals: Vec<(String, String)> = Vec::new();
        while let Some(head) = read_head(&mut stream).await {
            let Some(id) = head.value("a") else {
                let health =
                    format!("HTTP/1.1 200 OK\r\nd: {PRESENT}\r\ncontent-length: 0\r\n\r\n");
                if stream.write_all(health.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            if head.value("c") != Some(PRESENT) {
                self.refused.fetch_add(1, Ordering::SeqCst);
                self.may_refuse.notified().await;
                let text =
                    format!("HTTP/1.1 {}a: {id}\r\ncontent-length: 0\r\n\r\n", self.form.refusal);
                refusals.push((id.to_owned(), text.clone()));
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.runs.fetch_add(1, Ordering::SeqCst);
            let copy = refusals.iter().find(|(refused, _)| refused == id);
            if let (Some((_, text)), Some(delay)) = (copy, self.form.copy_after) {
                tokio::time::sleep(delay).await;
                // The host may have closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
            }
            tokio::time::sleep(WORK).await;
            let len = COMPLETE_BODY.len();
            let text = format!(
                "HTTP/1.1 200 OK\r\na: {id}\r\nf: digest\r\ncontent-length: {len}\r\n\r\n{COMPLETE_BODY}"
            );
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends a request that runs once at most while the target at its address is replaced. Returns the status for the
/// caller and the number of runs.
async fn play(form: Form, peer: &str) -> (StatusCode, usize) {
    let (target, target_addr) = ReplacingTarget::start(form).await;
    let (host, addr) = start_host_with(&[target_addr], peer).await;
    let call = tokio::spawn(call_as(addr, "once", "r-0", TIME_LEFT_MS));
    while target.refused.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (_, RegistryChange::Put(former)) = registered("pool", target_addr) else { unreachable!() };
    let mut present = former.clone();
    present.id = PRESENT.into();
    let revision = |n| Revision::new(1, n);
    let mut changes = vec![(revision(2), RegistryChange::Put(present))];
    if form.replaces_entry {
        changes.push((revision(3), RegistryChange::Removed(former.id)));
    }
    let delta = RegistryDelta { from: Some(revision(1)), to: revision(3), changes };
    assert!(host.apply_targets(delta, "store"));
    target.may_refuse.notify_one();
    let (status, _) = call.await.unwrap();
    // A request that goes on to run after its response counts, too.
    tokio::time::sleep(WORK).await;
    (status, target.runs.load(Ordering::SeqCst))
}

/// Guards against a refusal that a target writes once more when the refused request is sent to it again, and that is
/// taken for the response to the later attempt: the caller is told that its request was not run, while it runs (REFUSED).
#[tokio::test]
async fn host_refusal_copied_when_sent_again_is_no_response() {
    let mut net = 110;
    for refusal in [MISDIRECTED, REFUSED] {
        for replaces_entry in [true, false] {
            for copy_after in [None, Some(Duration::ZERO), Some(Duration::from_millis(50))] {
                let form = Form { refusal, replaces_entry, copy_after };
                let result = play(form, &format!("127.9.9.{net}:7009")).await;
                assert_eq!(result, (StatusCode::OK, 1), "{form:?}");
                net += 1;
            }
        }
    }
}
