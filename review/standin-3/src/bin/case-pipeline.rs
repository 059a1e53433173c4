//! A caller pipelines safe requests with large responses, on a route that allows one attempt. One target at a
//! time is slow. Counts the requests that run on more targets than the route allows.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Reader;
use geraniummux_review_3::record::Record;
use serde_json::json;
use std::collections::HashSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const HOSTS: usize = 3;
const TARGETS: usize = 7;
const WORK_MS: u64 = 54;
/// Factor of the slow target, one of seven: the dose of `srv_slow` is 0.15 of the targets, 4 times.
const SLOW_FACTOR: u64 = 4;
/// Time for which a target is slow; another one is after that.
const SLOW_FOR: Duration = Duration::from_millis(6_500);
const MAX_ATTEMPTS: usize = 1;
const LARGE_BYTES: usize = 400_000;
const SMALL_BYTES: usize = 2_000;
/// Requests that a caller sends before the first is answered.
const WINDOW: usize = 8;
/// Batches of each host's caller.
const BATCHES: usize = 40;
/// Requests with small responses before each batch.
const SMALL_BETWEEN: usize = 50;
/// Requests that may break the rule.
const ALLOWED: usize = 3;

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

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    for _ in 0..TARGETS {
        let handler = |t: Arc<geraniummux_review_3::target::Target>, req: geraniummux_review_3::http1::Message, peer| async move {
            let len = if req.path.contains("/year/") { LARGE_BYTES } else { SMALL_BYTES };
            t.run(&req, peer, len).await
        };
        fleet.add_target("manifest", WORK_MS, handler).await?;
    }
    fleet.configure(
        1,
        json!([{"name": "r-schedule", "host": "ferry.example", "path-prefix": "/schedule/", "route-type": "safe",
            "timeout-s": 5, "target-latency-s": 0.5, "priority": 2, "service": "manifest",
            "max-attempts": MAX_ATTEMPTS}]),
        &["manifest"],
    );
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let slowing = trouble.then(|| {
        let (record, targets) = (record.clone(), fleet.targets.clone());
        tokio::spawn(async move {
            for slow in targets.iter().cycle() {
                slow.work_ms.store(WORK_MS * SLOW_FACTOR, Ordering::Relaxed);
                record.say(format!("trouble: target {} takes {SLOW_FACTOR} times as long for {SLOW_FOR:?}", slow.id));
                tokio::time::sleep(SLOW_FOR).await;
                slow.work_ms.store(WORK_MS, Ordering::Relaxed);
            }
        })
    });
    let mut callers = tokio::task::JoinSet::new();
    for (i, host) in fleet.hosts.iter().enumerate() {
        let (record, addr) = (record.clone(), host.listen);
        callers.spawn(async move {
            let mut wrong = 0;
            for n in 0..BATCHES {
                let batch = i * BATCHES + n;
                pages(&record, addr, batch).await;
                wrong += pipelined(&record, addr, batch).await?;
            }
            Ok::<_, anyhow::Error>(wrong)
        });
    }
    let mut wrong = 0;
    while let Some(caller) = callers.join_next().await {
        wrong += caller??;
    }
    if let Some(slowing) = slowing {
        slowing.abort();
    }
    let by_id = fleet.runs.by_id();
    let mut broken = 0;
    for (id, runs) in &by_id {
        let on: HashSet<&str> = runs.iter().map(|r| &*r.target).collect();
        if on.len() > MAX_ATTEMPTS {
            broken += 1;
            record.say(format!("request {id} ran {} times, on {} targets; max-attempts is {MAX_ATTEMPTS}", runs.len(), on.len()));
        }
    }
    let runs: usize = by_id.values().map(Vec::len).sum();
    record.say(format!(
        "{} requests, {runs} runs, {broken} on more targets than max-attempts, {wrong} answers missing or wrong",
        by_id.len()
    ));
    Ok(broken <= ALLOWED && wrong == 0)
}

/// Sends requests with small responses, a few at a time.
async fn pages(record: &Arc<Record>, addr: std::net::SocketAddr, batch: usize) {
    let mut callers = tokio::task::JoinSet::new();
    for n in 0..SMALL_BETWEEN {
        if callers.len() >= 6 {
            callers.join_next().await;
        }
        let record = record.clone();
        callers.spawn(async move {
            let id = format!("{batch:04x}a{n:04x}");
            let req = caller::request("GET", &format!("/schedule/day/{n}"), "ferry.example", &id, 5_000, b"");
            let rsp = caller::send(addr, &req, Duration::from_secs(6)).await;
            record.line(format!("caller got {:?} for {id}", rsp.map(|r| r.map(|r| r.status))));
        });
    }
    while callers.join_next().await.is_some() {}
}

/// Sends requests without waiting for the responses, and reads these; returns how many are missing or wrong.
async fn pipelined(record: &Record, addr: std::net::SocketAddr, batch: usize) -> anyhow::Result<usize> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    let ids: Vec<String> = (0..WINDOW).map(|n| format!("{batch:04x}b{n:04x}")).collect();
    let send = async {
        for (n, id) in ids.iter().enumerate() {
            let path = format!("/schedule/year/{batch}-{n}");
            writer.write_all(&caller::request("GET", &path, "ferry.example", id, 5_000, b"")).await?;
            record.line(format!("caller sends {id} to {addr}"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok::<_, std::io::Error>(())
    };
    let read = async {
        let mut reader = Reader::new(reader);
        let mut wrong = 0;
        for id in &ids {
            let rsp = timeout(Duration::from_secs(6), reader.response(false)).await;
            let is_right = matches!(&rsp, Ok(Ok(Some(r))) if r.status == 200 && r.header("request-id") == Some(id)
                && r.body == geraniummux_review_3::target::body(id, LARGE_BYTES));
            wrong += usize::from(!is_right);
            record.line(format!("caller got the response to {id}: right={is_right}"));
        }
        wrong
    };
    let (sent, wrong) = tokio::join!(send, read);
    sent?;
    Ok(wrong)
}
