//! A tenant sends more than its allowance while the hosts are stopped and started again in turn, for the second time.

use crate::client;
use crate::host::Host;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, config, keep_logs, registration, trouble};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOSTS: usize = 6;
const SERVERS: usize = 6;
const KEY: &str = "k-5f1c";
/// Allowance of the tenant. Its usual load is 62 requests a second; `hot_tenant` is 7.5 times as much.
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 900.0;
/// `quota-window-s`, `quota-overage` and `quota-slack` of the pages.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Pause between the stops of two hosts, and `grace-s`.
const STOP_GAP: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_secs(6);
/// Time between the two rounds of stops.
const CALM: Duration = Duration::from_secs(12);
/// Pause between two requests.
const HOT_GAP: Duration = Duration::from_micros(2_200);

type Hosts = Arc<Vec<Mutex<Host>>>;

/// Which hosts take new connections, and the requests by their id, each with the time at which it was sent.
struct State {
    serving: Mutex<Vec<bool>>,
    sent: Mutex<HashMap<String, Instant>>,
}

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let store = Store::new();
    let mut config = config();
    config["tenants"] = json!([{"name": "workshop", "api-keys": [KEY], "priority": 1,
        "rate-per-s": RATE_PER_S, "burst": BURST}]);
    store.put("config", "main", config);
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let work = Duration::from_millis(5);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), Answers::Plain, work).await?;
        store.put("servers", &id, registration(addr, "a", "ready"));
    }
    let at = store.serve(format!("{}:0", net.ip(90)).parse()?, Arc::default()).await?;
    let ips: Vec<String> = (1..=HOSTS).map(|n| net.ip(n)).collect();
    let ports = net.ports(&ips)?;
    let quota = [
        ("allowance_window_s", WINDOW.as_secs_f64()),
        ("allowance_overage", OVERAGE),
        ("allowance_slack", SLACK),
    ];
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let mut host = Host::new(&folder.0, &ips, i, "a", ports, at, &quota)?;
        host.start()?;
        hosts.push(host);
    }
    for host in &hosts {
        if !host.until_ready(Duration::from_secs(10)).await {
            return Err("a host did not become ready".into());
        }
    }
    let fronts: Vec<SocketAddr> = hosts.iter().map(Host::front).collect();
    let hosts: Hosts = Arc::new(hosts.into_iter().map(Mutex::new).collect());
    let state = Arc::new(State { serving: Mutex::new(vec![true; HOSTS]), sent: Mutex::default() });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let round_time = STOP_GAP * HOSTS as u32 + GRACE;
    if trouble() {
        record.line("first round: the hosts are stopped and started again in turn; the tenant sends 450 requests a second");
        let round = stop_in_turn(record, &hosts, &state);
        tokio::join!(round, send(&fronts, &state, "first", HOT_GAP, round_time));
    } else {
        send(&fronts, &state, "first", HOT_GAP, round_time).await;
    }
    tokio::time::sleep(CALM).await;
    record.line("the tenant sends 450 requests a second");
    let hot = send(&fronts, &state, "hot", HOT_GAP, Duration::from_secs(7));
    if trouble() {
        let round = async {
            tokio::time::sleep(Duration::from_millis(2_400)).await;
            record.line("second round of stops");
            stop_in_turn(record, &hosts, &state).await;
        };
        tokio::join!(hot, round);
    } else {
        hot.await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    keep_logs(record, &folder.0, &["stopping", "started"]);
    Ok(judge(record, &runs, &state))
}

/// Sends SIGTERM to one host after the other, and starts each again as soon as it has ended.
async fn stop_in_turn(record: &Record, hosts: &Hosts, state: &State) {
    let one = |i: usize| async move {
        tokio::time::sleep(STOP_GAP * i as u32).await;
        state.serving.lock().unwrap()[i] = false;
        record.line(format!("SIGTERM to host {i}"));
        hosts[i].lock().unwrap().signal(libc::SIGTERM);
        let end = Instant::now() + GRACE;
        while hosts[i].lock().unwrap().is_running() && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        hosts[i].lock().unwrap().kill();
        let started = hosts[i].lock().unwrap().start();
        record.line(format!("host {i} is started again: {}", started.is_ok()));
        let ready = hosts[i].lock().unwrap().ready_addr();
        while !Host::is_ready_at(ready).await && Instant::now() < end + GRACE {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        state.serving.lock().unwrap()[i] = true;
    };
    tokio::join!(one(0), one(1), one(2), one(3), one(4), one(5));
}

/// Sends requests, each of which may run once, to the hosts that take connections, in turn.
async fn send(fronts: &[SocketAddr], state: &Arc<State>, name: &str, gap: Duration, time: Duration) {
    let (begun, mut n) = (Instant::now(), 0);
    let mut ticks = tokio::time::interval(gap);
    while begun.elapsed() < time {
        ticks.tick().await;
        let serving = state.serving.lock().unwrap().clone();
        let usable: Vec<SocketAddr> =
            fronts.iter().zip(&serving).filter(|(_, s)| **s).map(|(a, _)| *a).collect();
        if let Some(addr) = usable.get(n % usable.len().max(1)).copied() {
            let id = format!("{name}-{n}");
            state.sent.lock().unwrap().insert(id.clone(), Instant::now());
            tokio::spawn(async move { client::call_as(addr, "issue", id, Some(KEY)).await });
        }
        n += 1;
    }
}

/// Counts, for each request, those that were sent and ran within the window that begins when it was sent.
fn judge(record: &Record, runs: &Runs, state: &State) -> Outcome {
    let sent = state.sent.lock().unwrap();
    let mut ran: Vec<(Instant, Instant)> = Vec::new();
    for (id, sent_at) in sent.iter() {
        if let Some(run) = runs.of(id).first() {
            ran.push((*sent_at, run.at));
        }
    }
    ran.sort();
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let within = |begin: Instant| {
        ran.iter().filter(|(sent, run)| *sent >= begin && *run <= begin + WINDOW).count()
    };
    let most = ran.iter().map(|(sent, _)| (within(*sent), *sent)).max();
    let Some((most, begin)) = most else { return Outcome::Held };
    for ms in (0..WINDOW.as_millis() as u64).step_by(250) {
        let from = begin + Duration::from_millis(ms);
        let count = ran.iter().filter(|(_, r)| *r >= from && *r < from + Duration::from_millis(250)).count();
        record.line(format!("of that window, {ms:4} ms: {count} requests run"));
    }
    record.say(format!(
        "{} requests sent, {} ran; in one window of 5 s, {most} were sent and ran, {limit} are allowed",
        sent.len(),
        ran.len()
    ));
    if most as f64 > limit { Outcome::Broken } else { Outcome::Held }
}
