//! Callers send an upload in chunks and then pipeline safe requests on the same connection; some of them leave early.
//! Counts the requests that reach targets, and the targets that are still at work, half a second after that.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::{Message, Reader};
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

const HOSTS: usize = 3;
const TARGETS: usize = 18;
const UPLOAD_BYTES: usize = 60_000;
const READ_WORK_MS: u64 = 900;
/// Safe requests that a caller sends before the first is answered.
const WINDOW: usize = 3;
const CALLERS: usize = 40;
/// One caller in so many leaves.
const LEAVES: usize = 4;
/// Time after which a caller leaves, within half of the latency target.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach targets later.
const ALLOWED: usize = 5;

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    match timeout(Duration::from_secs(110), run(record.clone(), trouble)).await {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::FAILURE,
        Ok(Err(e)) => {
            record.say(format!("could not run: {e:#}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("could not run: out of time");
            ExitCode::from(2)
        }
    }
}

async fn run(record: Arc<Record>, trouble: bool) -> anyhow::Result<bool> {
    let mut fleet = Fleet::new(record.clone()).await?;
    fleet.memory_mb = 384.0;
    fleet.extra = json!({"cores": 0.24, "link_mbps": 10.0, "promises": {"repeat_ratio": 0.2, "repeat_slack": 160,
        "repeat_window_s": 10, "drain_s": 2.5, "grace_s": 6, "max_ttl_s": 5, "probes_per_s": 42, "heartbeat_s": 1.5,
        "lapse_s": 2.0}});
    let out = play(&mut fleet, trouble).await;
    fleet.stop().await;
    out
}

/// Starts and ends of the runs of safe requests, by id.
type Work = Arc<Mutex<Vec<(String, Instant, Option<Instant>)>>>;

/// Records the end of a run when dropped, also if the target drops the request.
struct Working {
    work: Work,
    index: usize,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.work.lock().unwrap()[self.index].2 = Some(Instant::now());
    }
}

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    let work: Work = Arc::default();
    for _ in 0..TARGETS {
        let work = work.clone();
        let handler = move |t: Arc<Target>, req: Message, peer| {
            let work = work.clone();
            async move {
                if req.method == "POST" {
                    return t.run(&req, peer, 400).await;
                }
                let _working = {
                    let mut all = work.lock().unwrap();
                    all.push((req.header("request-id").unwrap_or("").to_owned(), Instant::now(), None));
                    Working { work: work.clone(), index: all.len() - 1 }
                };
                tokio::time::sleep(Duration::from_millis(READ_WORK_MS)).await;
                t.run(&req, peer, 5_000).await
            }
        };
        fleet.add_target("manifest", 50, handler).await?;
    }
    let route = |name, prefix, kind| {
        json!({"name": name, "host": "ferry.example", "path-prefix": prefix, "route-type": kind, "timeout-s": 3,
            "target-latency-s": 1.2, "priority": 1, "service": "manifest", "max-attempts": 1})
    };
    fleet.configure(
        1,
        json!([route("r-upload", "/manifest/", "upload"), route("r-read", "/schedule/", "safe")]),
        &["manifest"],
    );
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        let (record, addr) = (record.clone(), fleet.hosts[n % HOSTS].listen);
        let leaves = trouble && n % LEAVES == 0;
        callers.spawn(async move {
            tokio::time::sleep(Duration::from_millis(300 * n as u64)).await;
            call(&record, addr, n, leaves).await
        });
    }
    let mut left: HashMap<String, Instant> = HashMap::new();
    let mut served = 0;
    while let Some(result) = callers.join_next().await {
        let (answered, closed) = result??;
        served += answered;
        left.extend(closed);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let work = work.lock().unwrap();
    let of_left = || work.iter().filter_map(|(id, start, end)| Some((id, *start, *end, *left.get(id)?)));
    let late = of_left().filter(|(_, start, _, closed)| *start > *closed + GRACE);
    let late = late.inspect(|(id, start, _, closed)| {
        record.say(format!("{id} reached a target {:.3} s after its caller had left", (*start - *closed).as_secs_f64()));
    });
    let late = late.count();
    let had_started = of_left().filter(|(_, start, _, closed)| start <= closed);
    let still = had_started.clone().filter(|(_, _, end, closed)| end.is_none_or(|end| end > *closed + GRACE)).count();
    let had_started = had_started.count();
    record.say(format!(
        "{served} requests were answered; of those whose callers left, {late} reached targets later than {GRACE:?} after that, \
         and targets were then still at work on {still} of the {had_started} that they had begun"
    ));
    Ok(late <= ALLOWED && 4 * still <= had_started)
}

/// Uploads in chunks, then pipelines safe requests. Returns how many were answered, and the requests that the caller left
/// unanswered with the time of that.
async fn call(
    record: &Record,
    addr: SocketAddr,
    n: usize,
    leaves: bool,
) -> anyhow::Result<(usize, Vec<(String, Instant)>)> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    let mut reader = Reader::new(reader);
    let head = format!(
        "POST /manifest/{n} HTTP/1.1\r\nHost: ferry.example\r\nRequest-Id: aa{n:06x}\r\nRequest-Deadline-Ms: 3000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut upload = head.into_bytes();
    for chunk in vec![b'm'; UPLOAD_BYTES].chunks(8_000) {
        upload.extend(format!("{:x}\r\n", chunk.len()).bytes());
        upload.extend(chunk);
        upload.extend(b"\r\n");
    }
    upload.extend(b"0\r\n\r\n");
    writer.write_all(&upload).await?;
    let rsp = timeout(Duration::from_secs(5), reader.response(false)).await??;
    anyhow::ensure!(rsp.is_some_and(|r| r.status == 200), "the upload of caller {n} was not served");
    let ids: Vec<String> = (0..WINDOW).map(|i| format!("bb{n:04x}{i:02x}")).collect();
    let mut requests = Vec::new();
    for id in &ids {
        requests.extend(caller::request("GET", &format!("/schedule/{id}"), "ferry.example", id, 3_000, b""));
    }
    writer.write_all(&requests).await?;
    record.line(format!("caller {n} sent {ids:?} to {addr}"));
    if leaves {
        tokio::time::sleep(LEAVES_AFTER).await;
        record.line(format!("caller {n} closes its connection"));
        drop((reader, writer));
        drop(stream);
        let closed = Instant::now();
        return Ok((0, ids.into_iter().map(|id| (id, closed)).collect()));
    }
    let mut answered = 0;
    for id in &ids {
        let rsp = timeout(Duration::from_secs(5), reader.response(false)).await??;
        let status = rsp.map(|r| r.status);
        record.line(format!("caller {n} got {status:?} for {id}"));
        answered += usize::from(status == Some(200));
    }
    Ok((answered, Vec::new()))
}
