//! Half of the servers cut some of their answers off within the status line and then answer the request with their own 500.

use crate::host::Host;
use crate::server::{Answers, Runs, Server};
use crate::store::Store;
use crate::{Folder, Net, Outcome, Record, Result, client, config, keep_logs, registration, trouble};
use std::sync::Arc;
use std::time::Duration;

const HOSTS: usize = 3;
const SERVERS: usize = 4;
const REQUESTS: usize = 1_200;
const GAP: Duration = Duration::from_millis(20);

pub async fn run(record: &Record) -> Result<Outcome> {
    let (folder, net, runs) = (Folder::new()?, Net::new(), Arc::new(Runs::default()));
    let store = Store::new();
    store.put("config", "main", config());
    for n in 0..SERVERS {
        let id = format!("i-{n:04}");
        let answers = match (n % 2, trouble()) {
            (0, _) => Answers::Plain,
            (_, true) => Answers::CutStatusLine,
            (_, false) => Answers::Failing,
        };
        let work = Duration::from_millis(160);
        let addr = Server::start(&id, &net.ip(100 + n), runs.clone(), answers, work).await?;
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
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut tasks = Vec::new();
    for n in 0..REQUESTS {
        let addr = hosts[n % HOSTS].front();
        let id = format!("issue-{n}");
        tasks.push(tokio::spawn(async move { client::call(addr, "issue", id).await }));
        tokio::time::sleep(GAP).await;
    }
    let (mut served, mut failed, mut mixed, mut twice) = (0, 0, 0, 0);
    for task in tasks {
        let got = task.await?;
        let ran = runs.of(&got.id);
        let statuses: Vec<u16> = ran.iter().map(|r| r.status).collect();
        record.line(format!("{} status {} whole {} runs {statuses:?} {}", got.id, got.status, got.is_whole, got.error));
        twice += usize::from(ran.len() > 1);
        let is_success = (200..300).contains(&got.status);
        if is_success && !(got.is_whole && statuses.contains(&200)) {
            mixed += 1;
        }
        match got.is_served() {
            true => served += 1,
            false => failed += 1,
        }
    }
    record.say(format!(
        "{REQUESTS} requests: {served} served, {failed} not; {mixed} successes where the server had answered with its 500, \
         {twice} ran twice"
    ));
    keep_logs(record, &folder.0, &["merged_answer", "bad_answer"]);
    Ok(if mixed + twice > 0 { Outcome::Broken } else { Outcome::Held })
}
