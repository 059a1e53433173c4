//! An entry of another writer in the store whose name contains a space, at the end of a page of the list.

use crate::host::Host;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, client, config, keep_logs, registration, trouble};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const SERVERS: usize = 6;
/// Entries of the other writer; a page of the list holds 500.
const FOREIGN: usize = 520;
/// `recovery-s` of the pages.
const RECOVERY: Duration = Duration::from_secs(15);
const GAP: Duration = Duration::from_millis(40);

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let store = Store::new();
    store.put("config", "main", config());
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let work = Duration::from_millis(30);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), Answers::Plain, work).await?;
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
    let before = traffic(record, &hosts, "before", Duration::from_secs(4)).await;
    record.say(format!("before: {} of {} served", before.0, before.1));
    if before.0 * 4 < before.1 * 3 {
        return Err("the hosts did not serve before the disruption".into());
    }
    if trouble() {
        record.line(format!("another writer creates {FOREIGN} entries of kind servers, such as \"rack 007 unit 3\""));
        for n in 0..FOREIGN {
            let name = format!("rack {:03} unit {}", n / 10, n % 10);
            store.put("servers", &name, json!({"height": 2, "service": "inventory"}));
        }
    }
    let meanwhile = traffic(record, &hosts, "meanwhile", Duration::from_secs(3)).await;
    record.say(format!("with the entries, before the fault: {} of {} served", meanwhile.0, meanwhile.1));
    record.line("all hosts are killed");
    hosts.iter_mut().for_each(Host::kill);
    tokio::time::sleep(Duration::from_secs(1)).await;
    record.line("all hosts are back");
    for host in &mut hosts {
        host.start()?;
    }
    let back = Instant::now();
    let first = traffic(record, &hosts, "recovering", RECOVERY).await;
    record.say(format!("in the first {} s after the hosts were back: {} of {} served", RECOVERY.as_secs(), first.0, first.1));
    let late = traffic(record, &hosts, "recovered", Duration::from_secs(10)).await;
    let ready = futures(&hosts).await;
    record.say(format!(
        "{} to {} s after the hosts were back: {} of {} served, {ready} of {HOSTS} hosts ready",
        RECOVERY.as_secs(), back.elapsed().as_secs(), late.0, late.1
    ));
    keep_logs(record, &folder.0, &["first_read", "store_call_failed"]);
    let was_served = meanwhile.0 * 4 >= meanwhile.1;
    Ok(if was_served && late.0 * 4 < late.1 { Outcome::Broken } else { Outcome::Held })
}

async fn futures(hosts: &[Host]) -> usize {
    let mut ready = 0;
    for host in hosts {
        ready += usize::from(host.is_ready().await);
    }
    ready
}

/// Sends requests to the hosts in turn. Returns how many were served, and all.
async fn traffic(record: &Record, hosts: &[Host], name: &str, time: Duration) -> (usize, usize) {
    let (mut tasks, begun, mut n) = (Vec::new(), Instant::now(), 0);
    while begun.elapsed() < time {
        let addr = hosts[n % hosts.len()].front();
        let route = ["lookup", "issue"][n / hosts.len() % 2];
        let id = format!("{name}-{n}");
        tasks.push(tokio::spawn(async move { client::call(addr, route, id).await }));
        n += 1;
        tokio::time::sleep(GAP).await;
    }
    let mut served = 0;
    for task in tasks {
        let Ok(got) = task.await else { continue };
        served += usize::from(got.is_served());
        record.line(format!("{} status {} {}", got.id, got.status, got.error));
    }
    (served, n)
}
