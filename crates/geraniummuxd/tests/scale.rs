//! Measures the cost of control traffic per host, depending on the number of hosts, targets and
//! routes.
//!
//! The measurements depend on the speed of the machine, so CI doesn't run them:
//! `cargo test --release -p geraniummuxd --test scale -- --ignored --nocapture --test-threads 1`

mod common;

use common::{Daemon, Fleet, routes};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

// Requirement R12: limits of the cost of control traffic per entry host.

/// CPU time, as a share of one core.
const MAX_CORE_SHARE: f64 = 0.016;
/// Resident memory.
const MAX_MEMORY_MB: f64 = 128.0;
/// Bytes sent to peers.
const MAX_BYTES_PER_S: f64 = 28_000.0;
/// Duration of a measurement. Leases are held when it starts, so that it includes probes and the
/// merging of usage.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
/// Time before a measurement. The TTL of a lease and a window of the probe budget have to pass
/// before the first probe.
const WARM_UP: Duration = Duration::from_secs(28);

/// Cost of one host during a measurement.
#[derive(Clone, Copy, Default)]
struct Cost {
    core_share: f64,
    memory_mb: f64,
    bytes_per_s: f64,
    messages_per_s: f64,
}

/// Returns the CPU time of a host in seconds and its resident memory in MB.
fn cpu_and_memory(host: &Daemon) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{}/stat", host.pid())).expect("stat");
    // The fields are counted from the end of the command name, which may contain spaces.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 =
        fields[11].parse::<f64>().expect("utime") + fields[12].parse::<f64>().expect("stime");
    let status = fs::read_to_string(format!("/proc/{}/status", host.pid())).expect("status");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("VmRSS");
    let kb: f64 = rss.trim().trim_end_matches(" kB").trim().parse().expect("kB");
    // The kernel counts in units of 10 ms.
    (ticks / 100.0, kb / 1_024.0)
}

/// Returns the number of bytes and of messages that a host sent to peers.
fn traffic(status: &Value) -> (f64, f64) {
    let counter =
        |name: &str, field: &str| status["peer_traffic"][name][field].as_f64().unwrap_or(0.0);
    (
        counter("udp_sent", "bytes") + counter("tcp_sent", "bytes"),
        counter("udp_sent", "messages") + counter("tcp_sent", "messages"),
    )
}

/// Returns the rows of a pools table, with `targets` targets in each pool, and of a routes table.
fn tables(pools: usize, targets: usize, route_count: usize) -> (Value, Value) {
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
    for i in 0..route_count.max(1) {
        let extra =
            json!({ "name": format!("route-{i}"), "path": format!("/{i}"), "pool": "pool-0" });
        table.push(routes(extra)[0].clone());
    }
    (json!(rows), json!(table))
}

/// Cost of the hosts of a fleet during a measurement.
struct Measurement {
    mean: Cost,
    max: Cost,
    /// Platform calls per second of all hosts, by method and kind of object.
    calls: BTreeMap<String, f64>,
}

/// Starts a fleet with these tables and measures its cost after the warm-up.
async fn measure(hosts: usize, pools: usize, targets: usize, route_count: usize) -> Measurement {
    let only_warnings = |_: usize, s: &mut Value| s["log_level"] = json!("warning");
    let fleet = Fleet::with_settings(hosts, only_warnings).await;
    let (pool_rows, route_rows) = tables(pools, targets, route_count);
    fleet.apply(&pool_rows, &route_rows).await;
    tokio::time::sleep(WARM_UP).await;
    let mut before = Vec::new();
    for host in &fleet.hosts {
        before.push((cpu_and_memory(host).0, traffic(&host.status().await.expect("status"))));
    }
    let calls_before = fleet.platform.stats().await;
    let start = Instant::now();
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let calls_after = fleet.platform.stats().await;
    let mut costs = Vec::new();
    for (host, (cpu, (bytes, messages))) in fleet.hosts.iter().zip(before) {
        let (cpu_now, memory_mb) = cpu_and_memory(host);
        let (bytes_now, messages_now) = traffic(&host.status().await.expect("status"));
        costs.push(Cost {
            core_share: (cpu_now - cpu) / elapsed_s,
            memory_mb,
            bytes_per_s: (bytes_now - bytes) / elapsed_s,
            messages_per_s: (messages_now - messages) / elapsed_s,
        });
    }
    let mean_and_max = |f: fn(&Cost) -> f64| {
        let values: Vec<f64> = costs.iter().map(f).collect();
        (
            values.iter().sum::<f64>() / values.len() as f64,
            values.iter().copied().fold(0.0, f64::max),
        )
    };
    let (core, memory, bytes, messages) = (
        mean_and_max(|c| c.core_share),
        mean_and_max(|c| c.memory_mb),
        mean_and_max(|c| c.bytes_per_s),
        mean_and_max(|c| c.messages_per_s),
    );
    let cost = |core_share, memory_mb, bytes_per_s, messages_per_s| Cost {
        core_share,
        memory_mb,
        bytes_per_s,
        messages_per_s,
    };
    let calls = calls_after.as_object().into_iter().flatten().map(|(name, n)| {
        let earlier = calls_before[name].as_f64().unwrap_or(0.0);
        (name.clone(), (n.as_f64().unwrap_or(0.0) - earlier) / elapsed_s)
    });
    Measurement {
        mean: cost(core.0, memory.0, bytes.0, messages.0),
        max: cost(core.1, memory.1, bytes.1, messages.1),
        calls: calls.collect(),
    }
}

fn print(label: &str, m: &Measurement) {
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

/// Guards against a cost above requirement R12 with 18 hosts and four pools of 15 targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measures for 45 s with a wall clock"]
async fn cost_of_18_hosts() {
    let m = measure(18, 4, 15, 1).await;
    print("18 hosts, 60 targets", &m);
    assert!(m.max.core_share <= MAX_CORE_SHARE, "{:.2}% of a core", m.max.core_share * 100.0);
    assert!(m.max.memory_mb <= MAX_MEMORY_MB, "{:.1} MB", m.max.memory_mb);
    assert!(m.max.bytes_per_s <= MAX_BYTES_PER_S, "{:.0} B/s", m.max.bytes_per_s);
}

/// Guards against platform calls that grow with the number of hosts. Prints how the cost of a host
/// grows with the number of hosts, targets and routes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measures for 5 min with a wall clock"]
async fn cost_slopes() {
    let mut by_hosts = Vec::new();
    for hosts in [6, 18, 36] {
        let m = measure(hosts, 4, 15, 1).await;
        print(&format!("{hosts} hosts, 60 targets"), &m);
        by_hosts.push(m);
    }
    let many_targets = measure(6, 8, 60, 1).await;
    print("6 hosts, 480 targets", &many_targets);
    let many_routes = measure(6, 4, 15, 3_000).await;
    print("6 hosts, 60 targets, 3000 routes", &many_routes);
    let slope = |a: &Measurement, b: &Measurement, steps: f64, what: &str| {
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
    slope(&by_hosts[0], &many_targets, 420.0, "target");
    slope(&by_hosts[0], &many_routes, 2_999.0, "route");
    let calls = |m: &Measurement| m.calls.values().sum::<f64>();
    let (few, many) = (calls(&by_hosts[0]), calls(&by_hosts[2]));
    println!("platform calls: {few:.2}/s with 6 hosts, {many:.2}/s with 36 hosts");
    assert!(many <= 2.0 * few, "calls grow with the fleet: {few:.2}/s to {many:.2}/s");
}
