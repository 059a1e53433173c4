//! The machines that the settings name as seeds lose power and stay down; then the processes of all others are killed at the
//! same moment and start again. Later, all servers name a limit of their requests.

use crate::host::Host;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, client, config, keep_logs, registration, trouble};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const HOSTS: usize = 6;
/// The first hosts are the seeds in the settings of all.
const SEEDS: usize = 3;
const SERVERS: usize = 3;
const GAP: Duration = Duration::from_millis(11);
/// `Server-Limit` of each server.
const LIMIT_PER_S: u32 = 4;
/// `stability-window-s` of the pages.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// The span in which the rule counts requests.
const SPAN: Duration = Duration::from_secs(4);

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let store = Store::new();
    store.put("config", "main", config());
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let work = Duration::from_millis(30);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), Answers::Limited, work).await?;
        store.put("servers", &id, registration(addr, "a", "ready"));
    }
    let at = store.serve(format!("{}:0", net.ip(90)).parse()?, Arc::default()).await?;
    let ips: Vec<String> = (1..=HOSTS).map(|n| net.ip(n)).collect();
    let ports = net.ports(&ips)?;
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let mut host = Host::new(&folder.0, &ips, i, "a", ports, at, &[])?;
        host.start()?;
        hosts.push(host);
    }
    for host in &hosts {
        if !host.until_ready(Duration::from_secs(10)).await {
            return Err("a host did not become ready".into());
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if trouble() {
        record.line(format!("hosts 0 to {} lose power and stay down", SEEDS - 1));
        hosts[..SEEDS].iter_mut().for_each(Host::kill);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    record.line(format!("hosts {SEEDS} to {} are killed", HOSTS - 1));
    hosts[SEEDS..].iter_mut().for_each(Host::kill);
    tokio::time::sleep(Duration::from_secs(1)).await;
    record.line("they are back");
    for host in &mut hosts[SEEDS..] {
        host.start()?;
    }
    for host in &hosts[SEEDS..] {
        if !host.until_ready(Duration::from_secs(10)).await {
            return Err("a host did not become ready again".into());
        }
    }
    tokio::time::sleep(Duration::from_secs(15)).await;
    let used = &hosts[SEEDS..];
    let before = traffic(record, used, "before", Duration::from_secs(3)).await;
    record.say(format!("before the limit: {} of {} served", before.0, before.1));
    record.line(format!("all servers name a limit of {LIMIT_PER_S} requests a second"));
    runs.limit.store(LIMIT_PER_S, Ordering::Relaxed);
    let named = Instant::now();
    let during = traffic(record, used, "during", Duration::from_secs(14)).await;
    record.say(format!("while they name it: {} of {} served", during.0, during.1));
    keep_logs(record, &folder.0, &["scheduling_pool"]);
    let from = named + STABILITY_WINDOW;
    let limit = 1.5 * f64::from(LIMIT_PER_S) * SPAN.as_secs_f64() + 5.0;
    let arrivals: Vec<(String, Instant)> = runs.all().into_iter().filter(|(_, at)| *at >= from).collect();
    let mut most = 0;
    for (server, begin) in &arrivals {
        let in_span = |(s, at): &&(String, Instant)| s == server && *at >= *begin && *at <= *begin + SPAN;
        most = most.max(arrivals.iter().filter(in_span).count());
    }
    record.say(format!(
        "from {} s after the first naming: one server got {most} requests in a span of 4 s, {limit} are allowed",
        STABILITY_WINDOW.as_secs()
    ));
    Ok(if most as f64 > limit { Outcome::Broken } else { Outcome::Held })
}

/// Sends requests to the hosts in turn. Returns how many were served, and all.
async fn traffic(record: &Record, hosts: &[Host], name: &str, time: Duration) -> (usize, usize) {
    let (mut tasks, begun, mut n) = (Vec::new(), Instant::now(), 0);
    while begun.elapsed() < time {
        let addr = hosts[n % hosts.len()].front();
        let id = format!("{name}-{n}");
        tasks.push(tokio::spawn(async move { client::call(addr, "issue", id).await }));
        n += 1;
        tokio::time::sleep(GAP).await;
    }
    let mut served = 0;
    for task in tasks {
        let Ok(got) = task.await else { continue };
        served += usize::from(got.is_served());
        record.line(format!("{} status {} took {} ms {}", got.id, got.status, got.took_ms, got.error));
    }
    (served, n)
}
