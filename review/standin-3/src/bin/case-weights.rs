//! The operator sets the weights of two of three services of split routes to 0. Counts the requests that these services
//! run later than the version binds.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

const HOSTS: usize = 3;
const ROUTES: usize = 16;
const SERVICES: [&str; 3] = ["ledger-stable", "ledger-next", "ledger-trial"];
const BEFORE: [u32; 3] = [20, 40, 40];
const AFTER: [u32; 3] = [100, 0, 0];
/// Time after the store's acknowledgement from which a version binds, and the stability window.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Requests to each route of each host after the change.
const REQUESTS_AFTER: usize = 6;

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

fn routes(weights: [u32; 3]) -> Value {
    let split: Vec<Value> =
        SERVICES.iter().zip(weights).map(|(s, w)| json!({"service": s, "weight": w})).collect();
    let route = |n| {
        json!({"name": format!("r-{n}"), "host": "spires.example", "path-prefix": format!("/issue{n}/"),
            "route-type": "unsafe", "timeout-s": 1.2, "target-latency-s": 0.4, "priority": 1, "traffic-split": split,
            "max-attempts": 2})
    };
    (0..ROUTES).map(route).collect()
}

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    for n in 0..6 {
        let handler = |t: Arc<Target>, req: Message, peer| async move { t.run(&req, peer, 1_500).await };
        fleet.add_target(SERVICES[n % 3], 30, handler).await?;
    }
    // Without the change, the final weights are in force from the start.
    fleet.configure(1, routes(if trouble { BEFORE } else { AFTER }), &SERVICES);
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(STABILITY_WINDOW + Duration::from_secs(1)).await;
    let before = |h: usize, r: usize| 10 + (7 * h + 5 * r) % 23;
    let sent = send_all(fleet, "aa", before).await;
    record.say(format!("{sent} requests were served before the change"));
    if trouble {
        fleet.configure(2, routes(AFTER), &SERVICES);
        record.say(format!("trouble: version 2 changes the weights from {BEFORE:?} to {AFTER:?}"));
    }
    tokio::time::sleep(CONFIG_APPLY + STABILITY_WINDOW).await;
    let sent = send_all(fleet, "bb", |_, _| REQUESTS_AFTER).await;
    let off: Vec<&str> =
        fleet.targets.iter().filter(|t| t.service != SERVICES[0]).map(|t| &*t.id).collect();
    let runs = fleet.runs.all();
    let wrong: Vec<_> = runs.iter().filter(|r| r.id.starts_with("bb") && off.contains(&&*r.target)).collect();
    for run in &wrong {
        record.say(format!("request {} ({}) ran at {}, of a service with weight 0", run.id, run.path, run.target));
    }
    record.say(format!(
        "{sent} requests were served later than the change binds, {} of them by services with weight 0",
        wrong.len()
    ));
    anyhow::ensure!(sent > 0, "no request was served");
    Ok(wrong.is_empty())
}

/// Sends requests to all routes of all hosts, one after the other on each route; returns how many were served.
async fn send_all<F>(fleet: &Fleet, prefix: &'static str, count: F) -> usize
where
    F: Fn(usize, usize) -> usize,
{
    let mut callers = JoinSet::new();
    for (h, host) in fleet.hosts.iter().enumerate() {
        for r in 0..ROUTES {
            let (record, addr, count) = (fleet.record.clone(), host.listen, count(h, r));
            callers.spawn(async move {
                let mut served = 0;
                for n in 0..count {
                    let id = format!("{prefix}{h:02x}{r:02x}{n:04x}");
                    let path = format!("/issue{r}/{n}");
                    let req = caller::request("POST", &path, "spires.example", &id, 1_200, b"leaf");
                    let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
                    let status = rsp.ok().flatten().map(|r| r.status);
                    record.line(format!("caller sent {id} to {addr} and got {status:?}"));
                    served += usize::from(status == Some(200));
                }
                served
            });
        }
    }
    callers.join_all().await.into_iter().sum()
}
