//! What control traffic costs each host, by the number of hosts, targets and by the tables' size.
//!
//! Measurements with a wall clock, so they don't run in CI:
//! `cargo test --release -p geraniummuxd --test scale -- --ignored --nocapture --test-threads 1`

mod common;

use common::{Daemon, Fleet, routes};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

/// R12: control traffic per entry host.
const MAX_CORE_SHARE: f64 = 0.016;
const MAX_MEMORY_MB: f64 = 128.0;
const MAX_BYTES_PER_S: f64 = 28_000.0;
/// Measured time. Leases are held from the start of it, so that probes and usage are part of it.
const MEASURED: Duration = Duration::from_secs(15);
/// A lease and a budget window have to pass before the first probe.
const WARM_UP: Duration = Duration::from_secs(28);

/// What one host used over the measured time.
#[derive(Clone, Copy, Default)]
struct Cost {
    core_share: f64,
    memory_mb: f64,
    bytes_per_s: f64,
    messages_per_s: f64,
}

/// Returns CPU time in seconds and resident memory in MB.
fn usage_of(host: &Daemon) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{}/stat", host.pid())).expect("stat");
    // The fields after the command name, which may contain spaces.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 =
        fields[11].parse::<f64>().expect("utime") + fields[12].parse::<f64>().expect("stime");
    let status = fs::read_to_string(format!("/proc/{}/status", host.pid())).expect("status");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("VmRSS");
    let kb: f64 = rss.trim().trim_end_matches(" kB").trim().parse().expect("kB");
    // The kernel counts in units of 10 ms.
    (ticks / 100.0, kb / 1_024.0)
}

/// Returns bytes and messages that a host sent to peers.
fn traffic(status: &Value) -> (f64, f64) {
    let of = |name: &str, field: &str| status["peer_traffic"][name][field].as_f64().unwrap_or(0.0);
    (
        of("udp_sent", "bytes") + of("tcp_sent", "bytes"),
        of("udp_sent", "messages") + of("tcp_sent", "messages"),
    )
}

fn tables(pools: usize, targets: usize, padding: usize) -> (Value, Value) {
    let rows: Vec<Value> = (0..pools)
        .map(|p| {
            let targets: Vec<Value> = (0..targets)
                .map(|t| {
                    json!({
                        "name": format!("t-{t}"), "failure_domain": "a",
                        "addr": format!("127.0.0.1:{}", 40_000 + p * 100 + t),
                    })
                })
                .collect();
            json!({ "name": format!("pool-{p}"), "probe_budget_per_s": 1.0, "targets": targets })
        })
        .collect();
    let mut table: Vec<Value> = Vec::new();
    for i in 0..padding.max(1) {
        let extra =
            json!({ "name": format!("route-{i}"), "path": format!("/{i}"), "pool": "pool-0" });
        table.push(routes(extra)[0].clone());
    }
    (json!(rows), json!(table))
}

struct Measured {
    mean: Cost,
    max: Cost,
    /// Platform calls a second of all hosts, by call.
    calls: BTreeMap<String, f64>,
}

async fn measure(hosts: usize, pools: usize, targets: usize, padding: usize) -> Measured {
    let quiet = |_: usize, s: &mut Value| s["log_level"] = json!("warning");
    let fleet = Fleet::with_settings(hosts, quiet).await;
    let (pool_rows, route_rows) = tables(pools, targets, padding);
    fleet.apply(&pool_rows, &route_rows).await;
    tokio::time::sleep(WARM_UP).await;
    let mut before = Vec::new();
    for host in &fleet.hosts {
        before.push((usage_of(host).0, traffic(&host.status().await.expect("status"))));
    }
    let calls_before = fleet.platform.stats().await;
    let start = Instant::now();
    tokio::time::sleep(MEASURED).await;
    let took = start.elapsed().as_secs_f64();
    let calls_after = fleet.platform.stats().await;
    let mut costs = Vec::new();
    for (host, (cpu, (bytes, messages))) in fleet.hosts.iter().zip(before) {
        let (cpu_now, memory_mb) = usage_of(host);
        let (bytes_now, messages_now) = traffic(&host.status().await.expect("status"));
        costs.push(Cost {
            core_share: (cpu_now - cpu) / took,
            memory_mb,
            bytes_per_s: (bytes_now - bytes) / took,
            messages_per_s: (messages_now - messages) / took,
        });
    }
    let of = |f: fn(&Cost) -> f64| {
        let values: Vec<f64> = costs.iter().map(f).collect();
        (
            values.iter().sum::<f64>() / values.len() as f64,
            values.iter().copied().fold(0.0, f64::max),
        )
    };
    let (core, memory, bytes, messages) = (
        of(|c| c.core_share),
        of(|c| c.memory_mb),
        of(|c| c.bytes_per_s),
        of(|c| c.messages_per_s),
    );
    let cost = |core_share, memory_mb, bytes_per_s, messages_per_s| Cost {
        core_share,
        memory_mb,
        bytes_per_s,
        messages_per_s,
    };
    let calls = calls_after.as_object().into_iter().flatten().map(|(name, n)| {
        let earlier = calls_before[name].as_f64().unwrap_or(0.0);
        (name.clone(), (n.as_f64().unwrap_or(0.0) - earlier) / took)
    });
    Measured {
        mean: cost(core.0, memory.0, bytes.0, messages.0),
        max: cost(core.1, memory.1, bytes.1, messages.1),
        calls: calls.collect(),
    }
}

fn print(label: &str, m: &Measured) {
    for (kind, c) in [("mean", m.mean), ("max", m.max)] {
        println!(
            "{label:<34} {kind:<4} {:5.2}% of a core {:6.1} MB {:7.0} B/s sent {:6.1} messages/s sent",
            c.core_share * 100.0,
            c.memory_mb,
            c.bytes_per_s,
            c.messages_per_s
        );
    }
    let calls: Vec<String> =
        m.calls.iter().filter(|(_, n)| **n > 0.0).map(|(c, n)| format!("{c} {n:.2}/s")).collect();
    println!("{label:<34} platform calls: {}", calls.join(", "));
}

/// R12 for today's size: 18 hosts, four pools of 15 targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measures for 45 s with a wall clock"]
async fn cost_of_18_hosts() {
    let m = measure(18, 4, 15, 1).await;
    print("18 hosts, 60 targets", &m);
    assert!(m.max.core_share <= MAX_CORE_SHARE, "{:.2}% of a core", m.max.core_share * 100.0);
    assert!(m.max.memory_mb <= MAX_MEMORY_MB, "{:.1} MB", m.max.memory_mb);
    assert!(m.max.bytes_per_s <= MAX_BYTES_PER_S, "{:.0} B/s", m.max.bytes_per_s);
}

/// How the cost grows with hosts, targets and tables.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measures for 5 min with a wall clock"]
async fn cost_slopes() {
    let mut by_hosts = Vec::new();
    for hosts in [6, 18, 36] {
        let m = measure(hosts, 4, 15, 1).await;
        print(&format!("{hosts} hosts, 60 targets"), &m);
        by_hosts.push(m);
    }
    let targets = measure(6, 8, 60, 1).await;
    print("6 hosts, 480 targets", &targets);
    let padded = measure(6, 4, 15, 3_000).await;
    print("6 hosts, 60 targets, 3000 routes", &padded);
    let slope = |a: &Measured, b: &Measured, steps: f64, what: &str| {
        println!(
            "for each further {what}: {:+.4}% of a core {:+.3} MB {:+.1} B/s (mean), {:+.1} B/s (max)",
            (b.mean.core_share - a.mean.core_share) * 100.0 / steps,
            (b.mean.memory_mb - a.mean.memory_mb) / steps,
            (b.mean.bytes_per_s - a.mean.bytes_per_s) / steps,
            (b.max.bytes_per_s - a.max.bytes_per_s) / steps,
        );
    };
    slope(&by_hosts[0], &by_hosts[1], 12.0, "host from 6 to 18");
    slope(&by_hosts[1], &by_hosts[2], 18.0, "host from 18 to 36");
    slope(&by_hosts[0], &targets, 420.0, "target");
    slope(&by_hosts[0], &padded, 2_999.0, "route");
    let calls = |m: &Measured| m.calls.values().sum::<f64>();
    let (few, many) = (calls(&by_hosts[0]), calls(&by_hosts[2]));
    println!("platform calls: {few:.2}/s with 6 hosts, {many:.2}/s with 36 hosts");
    assert!(many <= 2.0 * few, "calls grow with the fleet: {few:.2}/s to {many:.2}/s");
}
