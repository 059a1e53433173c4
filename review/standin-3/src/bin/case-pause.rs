//! A target in maintenance refuses all requests for 100 s and says so. Counts the requests that reach it meanwhile.

use geraniummux_review_3::caller;
use geraniummux_review_3::fleet::Fleet;
use geraniummux_review_3::http1::Message;
use geraniummux_review_3::record::Record;
use geraniummux_review_3::target::{Reply, Target};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::timeout;

const HOSTS: usize = 2;
const TARGETS: usize = 4;
const WORK_MS: u64 = 120;
const PER_S: u64 = 80;
/// Time for which the target wants nothing, as it says with each refusal.
const PAUSE: Duration = Duration::from_secs(90);
/// Time that the target takes to refuse a request.
const REFUSES_AFTER: Duration = Duration::from_millis(100);
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach the target from one host meanwhile.
const ALLOWED: usize = 2;

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
    let out = play(&mut fleet, trouble).await;
    fleet.stop().await;
    out
}

async fn play(fleet: &mut Fleet, trouble: bool) -> anyhow::Result<bool> {
    let record = fleet.record.clone();
    let in_maintenance = Arc::new(AtomicBool::new(false));
    // When requests arrived at the target, and when it answered them, by the host that the caller had chosen.
    let arrivals: Arc<Mutex<Vec<(usize, Instant, Instant)>>> = Arc::default();
    for i in 0..TARGETS {
        let (in_maintenance, arrivals) = (in_maintenance.clone(), arrivals.clone());
        let handler = move |t: Arc<Target>, req: Message, peer| {
            let (in_maintenance, arrivals) = (in_maintenance.clone(), arrivals.clone());
            async move {
                if i > 0 || !in_maintenance.load(Ordering::Relaxed) {
                    return t.run(&req, peer, 1_500).await;
                }
                let arrived = Instant::now();
                tokio::time::sleep(REFUSES_AFTER).await;
                let id = req.header("request-id").unwrap_or("").to_owned();
                let host = usize::from_str_radix(&id[..2], 16).unwrap_or(0);
                t.record.line(format!("target {} refuses {id} of host {host} with Retry-After {}", t.id, PAUSE.as_secs()));
                arrivals.lock().unwrap().push((host, arrived, Instant::now()));
                let headers = vec![
                    ("Not-Executed".into(), "1".into()),
                    ("Retry-After".into(), PAUSE.as_secs().to_string()),
                ];
                Reply::Respond { status: 503, headers, body: Vec::new() }
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
    if trouble {
        in_maintenance.store(true, Ordering::Relaxed);
        record.say(format!("trouble: target {} refuses all requests", fleet.targets[0].id));
    }
    let started = Instant::now();
    let mut timer = tokio::time::interval(Duration::from_micros(1_000_000 / PER_S));
    let mut n = 0_usize;
    while started.elapsed() < PAUSE {
        timer.tick().await;
        // Most callers use the first host.
        let host = usize::from(n % 8 == 0);
        let (record, addr, id) = (record.clone(), fleet.hosts[host].listen, format!("{host:02x}{n:08x}"));
        n += 1;
        tokio::spawn(async move {
            let req = caller::request("GET", &format!("/lookup/{n}"), "spires.example", &id, 1_000, b"");
            let rsp = caller::send(addr, &req, Duration::from_secs(2)).await;
            record.line(format!("caller sent {id} and got {:?}", rsp.ok().flatten().map(|r| r.status)));
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let arrivals = arrivals.lock().unwrap();
    let mut most = 0;
    for host in 0..HOSTS {
        let of_host: Vec<_> = arrivals.iter().filter(|a| a.0 == host).collect();
        for (_, _, answered) in &of_host {
            let meanwhile = |a: &&&(usize, Instant, Instant)| a.1 > *answered + GRACE && a.1 < *answered + PAUSE;
            most = most.max(of_host.iter().filter(meanwhile).count());
        }
        let after: Vec<String> =
            of_host.iter().map(|a| format!("{:.1}", (a.1 - started).as_secs_f64())).collect();
        record.say(format!("host {host}: requests reached the target after {} s", after.join(", ")));
    }
    record.say(format!("most requests of one host that reached the target within its pause: {most}; allowed {ALLOWED}"));
    Ok(most <= ALLOWED)
}
