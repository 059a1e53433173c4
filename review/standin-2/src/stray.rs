//! Before some of their answers, half of the servers send bytes that are no response: a status line that breaks off.

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
            (_, true) => Answers::Stray,
            (_, false) => Answers::Plain,
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
    let (mut served, mut twice, mut refused) = (0, 0, 0);
    for task in tasks {
        let got = task.await?;
        let ran = runs.of(&got.id).len();
        record.line(format!("{} status {} whole {} ran {ran} times {}", got.id, got.status, got.is_whole, got.error));
        served += usize::from(got.is_served());
        twice += usize::from(ran > 1);
        refused += usize::from(ran > 0 && [408, 421, 429, 503].contains(&got.status));
    }
    record.say(format!(
        "{REQUESTS} requests that may run once at most: {served} served; {twice} ran more than once, {refused} were \
         refused (408, 421, 429, 503) and ran"
    ));
    keep_logs(record, &folder.0, &["other_target", "repeat"]);
    Ok(if twice > 0 { Outcome::Broken } else { Outcome::Held })
}
