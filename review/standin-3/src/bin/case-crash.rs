//! A request that crashes each target comes again and again, and all hosts are killed four times, each time after they
//! have blocked it. Counts the requests that reach targets later than the stability window after the third crash.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::HashSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

const HOSTS: usize = 6;
const TARGETS: usize = 10;
const KILLS: usize = 4;
/// Time for which the hosts are down.
const DOWN: Duration = Duration::from_secs(1);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Times that the request comes again between two kills, and the pause between them.
const AGAIN: usize = 5;
const PAUSE: Duration = Duration::from_millis(1_000);
/// Requests per second of other callers.
const OTHERS_PER_S: u64 = 200;
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
    for _ in 0..TARGETS {
        let handler = |t: Arc<Target>, req: Message, peer| async move {
            if req.path.ends_with("/crash") {
                let id = req.header("request-id").unwrap_or("").to_owned();
                t.begin(&id, &req, peer);
                t.crash();
                std::future::pending::<()>().await;
            }
            t.run(&req, peer, 1_500).await
        };
        fleet.add_target("leaf-ledger", 60, handler).await?;
    }
    fleet.configure(
        1,
        json!([{"name": "r-issue", "host": "spires.example", "path-prefix": "/issue/", "route-type": "unsafe",
            "timeout-s": 1.2, "target-latency-s": 0.4, "priority": 1, "service": "leaf-ledger", "max-attempts": 2}]),
        &["leaf-ledger"],
    );
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    let others = {
        let (record, hosts) = (record.clone(), fleet.hosts.iter().map(|h| h.listen).collect::<Vec<_>>());
        tokio::spawn(async move {
            let mut timer = tokio::time::interval(Duration::from_micros(1_000_000 / OTHERS_PER_S));
            for n in 0_usize.. {
                timer.tick().await;
                let (record, addr) = (record.clone(), hosts[n % hosts.len()]);
                tokio::spawn(async move {
                    let id = format!("aa{n:06x}");
                    let req = caller::request("POST", &format!("/issue/{n}"), "spires.example", &id, 1_200, b"leaf");
                    let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
                    let status = rsp.ok().flatten().map(|r| r.status);
                    record.line(format!("caller sent {id} to {addr} and got {status:?}"));
                });
            }
        })
    };
    let mut sent = 0;
    for round in 0..=KILLS {
        if round > 0 && trouble {
            record.say(format!("trouble: all hosts are killed, the {round}. time"));
            fleet.hosts.iter().for_each(|h| h.signal(Signal::SIGKILL));
            tokio::time::sleep(DOWN).await;
            for i in 0..HOSTS {
                fleet.restart_host(i).await?;
            }
        }
        fleet.until_ready().await?;
        // The hosts are in touch again.
        tokio::time::sleep(STABILITY_WINDOW + Duration::from_secs(1)).await;
        for _ in 0..AGAIN {
            let addr = fleet.hosts[sent % HOSTS].listen;
            let id = format!("cc{sent:06x}");
            let req = caller::request("POST", "/issue/crash", "spires.example", &id, 1_200, b"leaf");
            let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
            record.line(format!("caller sent {id} to {addr} and got {:?}", rsp.ok().flatten().map(|r| r.status)));
            sent += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }
    others.abort();
    let crashes: Vec<_> = fleet.runs.all().into_iter().filter(|r| r.path.ends_with("/crash")).collect();
    let mut crashed = HashSet::new();
    let third = crashes.iter().find(|r| crashed.insert(r.target.clone()) && crashed.len() == 3).map(|r| r.at);
    let is_late = |at: Instant| third.is_some_and(|t| at > t + STABILITY_WINDOW);
    let late: HashSet<&str> = crashes.iter().filter(|r| is_late(r.at)).map(|r| &*r.id).collect();
    record.say(format!(
        "sent {sent} times; {} crashes of {} targets; {} retries reached targets later than {STABILITY_WINDOW:?} after \
         the third, {ALLOWED} are allowed",
        crashes.len(),
        crashed.len(),
        late.len()
    ));
    Ok(late.len() <= ALLOWED)
}
