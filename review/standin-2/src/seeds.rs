//! The machines that the settings name as seeds lose power and stay down; then the processes of all others are killed at the
//! same moment and start again. The requests are of a tenant with an allowance, far within it.

use crate::host::Host;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, client, config, keep_logs, registration, trouble};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOSTS: usize = 6;
/// The first hosts are the seeds in the settings of all.
const SEEDS: usize = 3;
const SERVERS: usize = 6;
/// `recovery-s` of the pages.
const RECOVERY: Duration = Duration::from_secs(15);
const GAP: Duration = Duration::from_millis(40);
const KEY: &str = "k-5f1c";
/// Allowance of the tenant; the case sends 25 requests a second.
const RATE_PER_S: u32 = 200;

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let store = Store::new();
    let mut config = config();
    config["tenants"] = json!([{"name": "workshop", "api-keys": [KEY], "priority": 1,
        "rate-per-s": RATE_PER_S, "burst": 100}]);
    store.put("config", "main", config);
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let work = Duration::from_millis(30);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), Answers::Plain, work).await?;
        store.put("servers", &id, registration(addr, "a", "ready"));
    }
    let at = store.serve(format!("{}:0", net.ip(90)).parse()?, Arc::default()).await?;
    let ips: Vec<String> = (1..=HOSTS).map(|n| net.ip(n)).collect();
    let ports = net.ports(&ips)?;
    let quota = [("allowance_window_s", 5.0), ("allowance_overage", 0.1), ("allowance_slack", 20.0)];
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
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = traffic(record, &hosts, "before", Duration::from_secs(4)).await;
    record.say(format!("before: {} of {} served", before.0, before.1));
    if before.0 * 4 < before.1 * 3 {
        return Err("the hosts did not serve before the disruption".into());
    }
    if trouble() {
        record.line(format!("hosts 0 to {} lose power and stay down", SEEDS - 1));
        hosts[..SEEDS].iter_mut().for_each(Host::kill);
    }
    let meanwhile = traffic(record, &hosts[SEEDS..], "meanwhile", Duration::from_secs(6)).await;
    record.say(format!("before the final fault: {} of {} served", meanwhile.0, meanwhile.1));
    record.line(format!("hosts {SEEDS} to {} are killed", HOSTS - 1));
    hosts[SEEDS..].iter_mut().for_each(Host::kill);
    tokio::time::sleep(Duration::from_secs(1)).await;
    record.line("they are back");
    for host in &mut hosts[SEEDS..] {
        host.start()?;
    }
    let back = Instant::now();
    let first = traffic(record, &hosts[SEEDS..], "recovering", RECOVERY).await;
    record.say(format!("in the first {} s after they were back: {} of {} served", RECOVERY.as_secs(), first.0, first.1));
    let late = traffic(record, &hosts[SEEDS..], "recovered", Duration::from_secs(10)).await;
    let mut ready = 0;
    for host in &hosts[SEEDS..] {
        ready += usize::from(host.is_ready().await);
    }
    record.say(format!(
        "{} to {} s after they were back: {} of {} served; {ready} of {} hosts say that they are ready",
        RECOVERY.as_secs(), back.elapsed().as_secs(), late.0, late.1, HOSTS - SEEDS
    ));
    keep_logs(record, &folder.0, &["first_read", "admission_refused", "scheduling_pool"]);
    let was_served = meanwhile.0 * 4 >= meanwhile.1;
    Ok(if was_served && late.0 * 4 < late.1 { Outcome::Broken } else { Outcome::Held })
}

/// Sends requests to the hosts in turn. Returns how many were served, and all.
async fn traffic(record: &Record, hosts: &[Host], name: &str, time: Duration) -> (usize, usize) {
    let (mut tasks, begun, mut n) = (Vec::new(), Instant::now(), 0);
    while begun.elapsed() < time {
        let addr = hosts[n % hosts.len()].front();
        let route = ["lookup", "issue"][n / hosts.len() % 2];
        let id = format!("{name}-{n}");
        tasks.push(tokio::spawn(async move { client::call_as(addr, route, id, Some(KEY)).await }));
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
