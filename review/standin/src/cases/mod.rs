//! The cases, and what they share.

pub mod foreign_entry;
pub mod late_stop;
pub mod load_header;
pub mod lone_host;
pub mod lost_watch;
pub mod same_id;

use crate::backend::{Backend, Options, Runs};
use crate::hosts::{Deploy, Host, free_ports};
use crate::http::{self, Ended};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Name of the callers' host.
pub const NAME: &str = "ledger.example";

/// What a case is run with.
pub struct Context {
    /// Root of the repository.
    pub root: PathBuf,
    /// Folder of the case, in which its record is written.
    pub folder: PathBuf,
    /// Folder for settings, logs and the ids of processes.
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// A small deployment: the store, backends and hosts.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub runs: Runs,
    pub hosts: Vec<Host>,
    pub deploy: Deploy,
}

impl Deployment {
    /// Prepares a deployment of `hosts` hosts, none of which runs yet.
    pub fn new(cx: &Context, hosts: u8) -> Self {
        Self::with_grace(cx, hosts, 6)
    }

    /// The same with another `grace-s`.
    pub fn with_grace(cx: &Context, hosts: u8, grace_s: u32) -> Self {
        let record = Record::create(&cx.folder.join("record.txt")).expect("the record");
        let store = Store::start(&record);
        let ports = free_ports(hosts);
        let hosts = (1..=hosts)
            .map(|n| Host::new(n, ports, hosts, store.addr(), &cx.temporary, grace_s, &record))
            .collect();
        Deployment { store, runs: Runs::default(), hosts, deploy: Deploy::read(&cx.root), record }
    }

    pub fn backend(&self, name: &str, opts: Options) -> Backend {
        Backend::start(name, opts, &self.store, &self.runs, &self.record)
    }

    pub fn start_hosts(&mut self) {
        for host in &mut self.hosts {
            host.start(&self.deploy);
        }
    }

    /// Waits until all hosts are ready. Returns false if that takes more than ten seconds.
    pub fn await_ready(&self) -> bool {
        let started = Instant::now();
        while !self.hosts.iter().all(Host::is_ready) {
            if started.elapsed() > Duration::from_secs(10) {
                self.record.line("not all hosts are ready after 10 s");
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line("all hosts are ready");
        true
    }
}

/// A route of the operator's configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub times: Times,
}

/// Times of a route in seconds.
#[derive(Clone, Copy)]
pub struct Times {
    pub timeout: f64,
    pub target_latency: f64,
}

/// Times like those of the small deployments.
pub const SHORT: Times = Times { timeout: 1.0, target_latency: 0.3 };

/// Returns a configuration document.
pub fn config(version: u32, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"name":"{}","host":"{NAME}","path-prefix":"{}","route-type":"{}","timeout-s":{},"target-latency-s":{},"priority":1,"service":"{}","max-attempts":2}}"#,
                r.name, r.prefix, r.kind, r.times.timeout, r.times.target_latency, r.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!(r#"{{"name":"{s}","health-path":"/health","max-conns":283,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A client's attempt: when it was sent, and how it ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub at: Duration,
    pub ended: Ended,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Time budget of a client.
const BUDGET: Duration = Duration::from_millis(1_000);

/// Sends one request to a host on a new connection, and records it.
pub fn send(record: &Record, host: &str, addr: SocketAddr, method: &str, path: &str) -> Attempt {
    send_with(record, host, addr, method, path, BUDGET)
}

/// The same with another time budget.
pub fn send_with(
    record: &Record,
    host: &str,
    addr: SocketAddr,
    method: &str,
    path: &str,
    budget: Duration,
) -> Attempt {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {NAME}\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: {}\r\nConnection: close\r\n{}\r\n",
        budget.as_millis(),
        if method == "POST" { "Content-Length: 0\r\n" } else { "" }
    );
    let at = record.now();
    let ended = http::call(addr, request.as_bytes(), budget + Duration::from_millis(500));
    let took = record.now() - at;
    record.line(&format!(
        "client: {method} {path} {id} sent to {host} at {:.3} s: {} after {} ms",
        at.as_secs_f64(),
        ended.describe(),
        took.as_millis()
    ));
    Attempt { id, at, ended }
}

/// Sends requests from several clients to all hosts in turn until `until`: each client one every `period`, or later
/// if it still waits for its last answer. The clients are spread over the period.
pub fn send_all(
    d: &Deployment,
    path: &'static str,
    clients: u32,
    period: Duration,
    until: Duration,
) -> Clients {
    let clients = (0..clients).map(|c| {
        let fronts: Vec<_> = d.hosts.iter().map(|h| (h.name.clone(), h.front())).collect();
        let record = d.record.clone();
        let mut next = record.now() + period * c / clients;
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut i = c as usize;
            while next.max(record.now()) < until {
                thread::sleep(next.saturating_sub(record.now()));
                let (name, addr) = &fronts[i % fronts.len()];
                attempts.push(send(&record, name, *addr, "GET", path));
                i += 1;
                next += period;
            }
            attempts
        })
    });
    Clients(clients.collect())
}

/// Clients that send requests.
pub struct Clients(Vec<thread::JoinHandle<Vec<Attempt>>>);

impl Clients {
    /// Waits until the clients have ended, and returns their attempts in the order in which they were sent.
    pub fn join(self) -> Vec<Attempt> {
        let mut all: Vec<Attempt> =
            self.0.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
        all.sort_by_key(|a| a.at);
        all
    }
}

/// Returns how many attempts were served, and the share of them.
pub fn served<'a>(attempts: impl Iterator<Item = &'a Attempt>) -> (usize, f64) {
    let (mut sent, mut served) = (0, 0);
    for a in attempts {
        sent += 1;
        served += usize::from(a.ended.status() == 200);
    }
    (served, served as f64 / f64::from(sent.max(1)))
}
