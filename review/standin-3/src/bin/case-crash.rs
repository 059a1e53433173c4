//! A request that crashes each target comes again and again, while some answers of the targets are lost by a reset.
//! Counts the retries that reach targets later than the stability window after the request has crashed the third.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::{Reply, Target};
use serde_json::json;
use std::collections::HashSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::timeout;

const HOSTS: usize = 6;
const TARGETS: usize = 17;
const WORK_MS: u64 = 120;
/// Requests per second beside the one that crashes targets.
const PER_S: u64 = 168;
/// Share of the targets that lose answers, and of the answers that they lose.
const LOSSY_TARGETS: usize = 10;
const LOST_SHARE: f64 = 0.4;
/// Length of one disturbance, and how many follow each other.
const LOSS_S: u64 = 4;
const LOSSES: u64 = 3;
/// Interval at which the request that crashes targets comes again.
const AGAIN: Duration = Duration::from_millis(1_100);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach targets later.
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
    let out = play(&mut fleet, trouble).await;
    fleet.stop().await;
    out
}

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    let loses = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    for i in 0..TARGETS {
        let (loses, lost) = (loses.clone(), lost.clone());
        let handler = move |t: Arc<Target>, req: Message, peer| {
            let (loses, lost) = (loses.clone(), lost.clone());
            async move {
                if req.path.ends_with("/crash") {
                    let id = req.header("request-id").unwrap_or("").to_owned();
                    t.begin(&id, &req, peer);
                    t.crash();
                    std::future::pending::<()>().await;
                }
                let reply = t.run(&req, peer, 1_500).await;
                let loses = i < LOSSY_TARGETS && loses.load(Ordering::Relaxed);
                if loses && rand::random_bool(LOST_SHARE) {
                    lost.fetch_add(1, Ordering::Relaxed);
                    t.record.line(format!("target {} loses the answer to {}", t.id, req.header("request-id").unwrap_or("")));
                    return Reply::Reset;
                }
                reply
            }
        };
        fleet.add_target("leaf-ledger", WORK_MS, handler).await?;
    }
    fleet.configure(
        1,
        json!([{"name": "r-lookup", "host": "spires.example", "path-prefix": "/lookup/", "route-type": "safe",
            "timeout-s": 1, "target-latency-s": 0.3, "priority": 2, "service": "leaf-ledger", "max-attempts": 2}]),
        &["leaf-ledger"],
    );
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let hosts: Vec<_> = fleet.hosts.iter().map(|h| h.listen).collect();
    let usual = {
        let (record, hosts) = (record.clone(), hosts.clone());
        tokio::spawn(async move {
            let mut timer = tokio::time::interval(Duration::from_micros(1_000_000 / PER_S));
            for n in 0_u64.. {
                timer.tick().await;
                let (record, addr) = (record.clone(), hosts[n as usize % hosts.len()]);
                tokio::spawn(async move {
                    let id = format!("aa{n:08x}");
                    let req = caller::request("GET", &format!("/lookup/{n}"), "spires.example", &id, 1_000, b"");
                    let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
                    record.line(format!("caller got {:?} for {id}", rsp.map(|r| r.map(|r| r.status))));
                });
            }
        })
    };
    tokio::time::sleep(Duration::from_secs(4)).await;
    if trouble {
        loses.store(true, Ordering::Relaxed);
        record.say(format!("trouble: {LOSSY_TARGETS} targets lose {LOST_SHARE} of their answers, {LOSSES} times for {LOSS_S} s"));
    }
    let end = Instant::now() + Duration::from_secs(LOSS_S * LOSSES);
    let mut timer = tokio::time::interval(AGAIN);
    let mut n = 0_usize;
    while Instant::now() < end {
        timer.tick().await;
        let (record, addr) = (record.clone(), hosts[n % hosts.len()]);
        let id = format!("cc{n:08x}");
        n += 1;
        tokio::spawn(async move {
            record.line(format!("caller sends {id}, which crashes targets"));
            let req = caller::request("GET", "/lookup/crash", "spires.example", &id, 1_000, b"");
            let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
            record.line(format!("caller got {:?} for {id}", rsp.map(|r| r.map(|r| r.status))));
        });
    }
    loses.store(false, Ordering::Relaxed);
    record.say(format!("{} answers were lost", lost.load(Ordering::Relaxed)));
    tokio::time::sleep(Duration::from_secs(3)).await;
    usual.abort();
    let crashes: Vec<_> = fleet.runs.all().into_iter().filter(|r| r.path.ends_with("/crash")).collect();
    let mut crashed = HashSet::new();
    let third = crashes.iter().find(|r| crashed.insert(r.target.clone()) && crashed.len() == 3).map(|r| r.at);
    let late: HashSet<&str> = crashes
        .iter()
        .filter(|r| third.is_some_and(|t| r.at > t + STABILITY_WINDOW))
        .map(|r| &*r.id)
        .collect();
    record.say(format!(
        "sent {n} times, {} crashes of targets, {} retries reached targets later than the window after the third",
        crashes.len(),
        late.len()
    ));
    Ok(late.len() <= ALLOWED)
}
