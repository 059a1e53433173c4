//! A host is partitioned from all servers, whose answers have no length and end with their connections.

use crate::client::{self, Got};
use crate::host::Host;
use crate::link;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, config, keep_logs, registration, trouble};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const SERVERS: usize = 6;
/// `stability-window-s` of the pages.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(9);
/// Number of times that the hosts are started until each has the addresses of its own links.
const MAX_STARTS: usize = 10;
const GAP: Duration = Duration::from_millis(50);

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let framed = std::env::var_os("FRAMED").is_some();
    let answers = if framed { Answers::Plain } else { Answers::Unframed };
    let store = Store::new();
    store.put("config", "main", config());
    let cuts = [watch::channel(false).0, watch::channel(false).0];
    let mut links: [BTreeMap<SocketAddr, SocketAddr>; 2] = Default::default();
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let work = Duration::from_millis(30);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), answers, work).await?;
        store.put("servers", &id, registration(addr, ["a", "b"][n % 2], "ready"));
        for i in 0..2 {
            let link = link::open(&net.ip(110 + 10 * i + n), addr, cuts[i].subscribe()).await?;
            links[i].insert(addr, link);
        }
    }
    let ips: Vec<String> = (1..=2).map(|n| net.ip(n)).collect();
    let mut stores = Vec::new();
    for (i, links) in links.iter().enumerate() {
        let at = format!("{}:0", net.ip(90 + i)).parse()?;
        stores.push(store.serve(at, Arc::new(links.clone())).await?);
    }
    let mut hosts = Vec::new();
    for n in 1.. {
        hosts = start(&folder, &net, &ips, &stores).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        if hosts.iter().all(Host::read_own_links) {
            break;
        }
        if n == MAX_STARTS {
            return Err("the hosts did not read the addresses of their own links".into());
        }
        record.line("a host took the addresses of the other one's links from its peer; both are started again");
        hosts.clear();
    }
    let before = traffic(record, &hosts, "before", Duration::from_secs(3)).await;
    for (i, got) in before.iter().enumerate() {
        let served = got.iter().filter(|g| g.is_served()).count();
        record.say(format!("host {i} before the cut: {served} of {} first tries served", got.len()));
        if served * 10 < got.len() * 9 {
            return Err("the hosts did not serve before the disruption".into());
        }
    }
    if trouble() {
        record.line("host 0 is partitioned from all servers; consumers, the store and host 1 still reach it");
        cuts[0].send_replace(true);
    }
    let _ = traffic(record, &hosts, "first", STABILITY_WINDOW).await;
    let got = traffic(record, &hosts, "during", CUT - STABILITY_WINDOW).await;
    cuts[0].send_replace(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = traffic(record, &hosts, "after", Duration::from_secs(2)).await;
    let mut share = [0.0; 2];
    let mut failed = [0; 2];
    for i in 0..2 {
        let served = got[i].iter().filter(|g| g.is_served()).count();
        share[i] = served as f64 / got[i].len() as f64;
        failed[i] = got[i].len() - served;
        let ran = |g: &&Got| !g.is_served() && runs.of(&g.id).iter().any(|r| r.status == 200);
        let lost = got[i].iter().filter(ran).count();
        let once = got[i].iter().filter(ran).filter(|g| g.id.contains("issue")).count();
        record.say(format!(
            "host {i} during the cut: {served} of {} first tries served; {lost} of the others ran at a server, which \
             answered them wholly, {once} of these not idempotent",
            got[i].len()
        ));
        let served = after[i].iter().filter(|g| g.is_served()).count();
        record.say(format!("host {i} after the cut: {served} of {} served", after[i].len()));
    }
    keep_logs(record, &folder.0, &["targets_out_of_reach", "targets_in_reach", "bad_answer", "tunnel"]);
    let allowed = 10.0 + got[0].len() as f64 / 50.0;
    let is_broken = share[0] < share[1] * 2.0 / 3.0 && failed[0] as f64 > allowed;
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}

/// Starts both hosts, each with a view of the store in which the servers have the addresses of its own links.
async fn start(folder: &Folder, net: &Net, ips: &[String], stores: &[SocketAddr]) -> Result<Vec<Host>> {
    let ports = net.ports(ips)?;
    let mut hosts = Vec::new();
    for (i, at) in stores.iter().enumerate() {
        let mut host = Host::new(&folder.0, ips, i, ["a", "b"][i], ports, *at, &[])?;
        host.start()?;
        hosts.push(host);
    }
    for host in &hosts {
        if !host.until_ready(Duration::from_secs(10)).await {
            return Err("a host did not become ready".into());
        }
    }
    Ok(hosts)
}

/// Sends first tries to both hosts. Returns what their consumers got.
async fn traffic(record: &Record, hosts: &[Host], name: &str, time: Duration) -> Vec<Vec<Got>> {
    let (mut tasks, begun, mut n) = (Vec::new(), Instant::now(), 0);
    while begun.elapsed() < time {
        for (i, host) in hosts.iter().enumerate() {
            let (addr, route) = (host.front(), ["lookup", "issue"][n % 2]);
            let id = format!("{name}-{i}-{route}-{n}");
            tasks.push((i, tokio::spawn(async move { client::call(addr, route, id).await })));
        }
        n += 1;
        tokio::time::sleep(GAP).await;
    }
    let mut out = vec![Vec::new(); hosts.len()];
    for (i, task) in tasks {
        let Ok(got) = task.await else { continue };
        record.line(format!("{} status {} took {} ms {}", got.id, got.status, got.took_ms, got.error));
        out[i].push(got);
    }
    out
}
