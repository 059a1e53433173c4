//! All hosts are killed at once, and those that the settings name as seeds come back later than the others. Counts the
//! requests of a tenant that run in the windows of its allowance.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::Target;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::timeout;

const HOSTS: usize = 8;
const SEEDS: usize = 3;
const TARGETS: usize = 8;
const RATE: f64 = 200.0;
const BURST: f64 = 0.0;
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Requests per second that the tenant's callers send.
const OFFERED: u64 = 600;
/// Time for which hosts are down, and the seeds beyond that.
const DOWN: Duration = Duration::from_millis(700);
const SEEDS_LATER: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 1;
const ROUND: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    match timeout(Duration::from_secs(115), run(record.clone(), trouble)).await {
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
    fleet.extra = json!({"promises": {"repeat_ratio": 0.2, "repeat_slack": 294,
        "repeat_window_s": 10, "drain_s": 2.5, "grace_s": 6, "max_ttl_s": 5, "probes_per_s": 60, "heartbeat_s": 1.5,
        "allowance_window_s": 5, "allowance_overage": OVERAGE, "allowance_slack": SLACK, "lapse_s": 2.0}});
    let out = play(&mut fleet, trouble).await;
    fleet.stop().await;
    out
}

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    for _ in 0..TARGETS {
        let handler = |t: Arc<Target>, req: Message, peer| async move { t.run(&req, peer, 400).await };
        fleet.add_target("dispatch-api", 20, handler).await?;
    }
    let tenants = json!([{"name": "t-hot", "api-keys": ["k-hot"], "priority": 1, "rate-per-s": RATE, "burst": BURST}]);
    let routes = json!([{"name": "r-meter", "host": "plants.example", "path-prefix": "/meter/", "route-type": "unsafe",
        "timeout-s": 3, "target-latency-s": 0.5, "priority": 0, "service": "dispatch-api", "max-attempts": 1}]);
    fleet.configure_with(1, routes, &["dispatch-api"], Some(tenants));
    for _ in 0..HOSTS {
        fleet.start_host(fleet.store_addr)?;
    }
    fleet.until_ready().await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let callers = {
        let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
        let hosts: Vec<_> = fleet.hosts.iter().map(|h| h.listen).collect();
        tokio::spawn(async move {
            let mut timer = tokio::time::interval(Duration::from_micros(1_000_000 / OFFERED));
            for n in 0_usize.. {
                timer.tick().await;
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (record, addr) = (record.clone(), hosts[n % hosts.len()]);
                let id = format!("aa{n:08x}");
                sent.lock().unwrap().insert(id.clone(), Instant::now());
                tokio::spawn(async move {
                    let req = format!(
                        "POST /meter/{n} HTTP/1.1\r\nHost: plants.example\r\nRequest-Id: {id}\r\n\
                         Request-Deadline-Ms: 3000\r\nKey: k-hot\r\nContent-Length: 0\r\n\r\n"
                    );
                    let rsp = caller::send(addr, req.as_bytes(), Duration::from_secs(4)).await;
                    record.line(format!("caller sent {id} to {addr} and got {:?}", rsp.ok().flatten().map(|r| r.status)));
                });
            }
        })
    };
    tokio::time::sleep(Duration::from_secs(6)).await;
    for _ in 0..ROUNDS {
        let end = Instant::now() + ROUND;
        if trouble {
            record.line(format!("trouble: all hosts are killed; the seeds come back {SEEDS_LATER:?} after the others"));
            fleet.hosts.iter().for_each(|h| h.signal(Signal::SIGKILL));
            tokio::time::sleep(DOWN).await;
            for i in SEEDS..HOSTS {
                fleet.restart_host(i).await?;
            }
            tokio::time::sleep(SEEDS_LATER).await;
            for i in 0..SEEDS {
                fleet.restart_host(i).await?;
            }
        }
        tokio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
    stop.store(true, Ordering::Relaxed);
    callers.await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Requests that were both sent and run in a window count.
    let sent = sent.lock().unwrap();
    let mut requests: Vec<(Instant, Instant)> =
        fleet.runs.all().iter().filter_map(|r| Some((*sent.get(&r.id)?, r.at))).collect();
    requests.sort();
    anyhow::ensure!(!requests.is_empty(), "no request ran");
    let runs: Vec<Instant> = {
        let mut runs: Vec<Instant> = requests.iter().map(|r| r.1).collect();
        runs.sort();
        runs
    };
    let first = runs[0];
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let in_window = |i: usize| {
        let end = requests[i].0 + WINDOW;
        requests[i..].iter().take_while(|r| r.0 < end).filter(|r| r.1 < end).count()
    };
    let counts: Vec<usize> = (0..requests.len()).map(in_window).collect();
    let most = (0..requests.len()).max_by_key(|i| counts[*i]).unwrap_or(0);
    for s in 0..(runs[runs.len() - 1] - first).as_secs() {
        let from = first + Duration::from_secs(s);
        let n = runs.iter().filter(|at| **at >= from && **at < from + Duration::from_secs(1)).count();
        record.line(format!("second {s}: {n} runs"));
    }
    record.say(format!(
        "most runs of the tenant in {WINDOW:?}: {}, sent {:.1} s after the first run and later; allowed {allowed:.0}; {} runs in all",
        counts[most],
        requests[most].0.saturating_duration_since(first).as_secs_f64(),
        runs.len()
    ));
    Ok(counts[most] as f64 <= allowed)
}
