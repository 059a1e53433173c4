//! Usage totals with real processes: stopped and killed hosts, and lost responses to writes.

mod common;

use common::{Fleet, Target, call, eventually, pools, routes};
use geraniummux_standin::platform::Faults;
use geraniummux_standin::target::Behaviour;
use http::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns the number of served requests over all months, tenants and classes, summed up from the
/// totals that a host reports. Returns `None` if a response can't be parsed.
async fn reported_total(fleet: &Fleet, host: usize) -> Option<u64> {
    let mut sum = 0;
    for (month, _) in fleet.platform.objects("usage").await {
        let path = format!("/v1/usage?month={month}");
        let response = call(fleet.hosts[host].admin, Method::GET, &path, &[], "").await;
        let response: Value = serde_json::from_slice(&response.body).ok()?;
        let rows = response["totals"].as_array()?;
        sum += rows.iter().filter_map(|r| r["served"].as_u64()).sum::<u64>();
    }
    Some(sum)
}

/// Starts a fleet of `n` hosts with one target.
async fn fleet(n: usize) -> (Fleet, Target) {
    let target = Target::start("t-1", Behaviour { service_ms: 1, ..Behaviour::default() }).await;
    let short_ttl = |_: usize, s: &mut Value| s["entry_ttl_ms"] = json!(100);
    let fleet = Fleet::with_settings(n, short_ttl).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    (fleet, target)
}

/// Sends requests through all hosts for this time. Returns the number of complete responses, and
/// the arrival times of those from the last host.
async fn send_for(fleet: &Fleet, time: Duration) -> (u64, Vec<Instant>) {
    let end = Instant::now() + time;
    let senders = fleet.hosts.iter().map(|host| async move {
        let mut responses = Vec::new();
        while Instant::now() < end {
            if host.get("/").await.is_ok_and(|a| a.header("geraniummux-outcome") == "served") {
                responses.push(Instant::now());
            }
        }
        responses
    });
    let responses = futures_util::future::join_all(senders).await;
    (responses.iter().map(|a| a.len() as u64).sum(), responses.last().cloned().unwrap_or_default())
}

/// Sends `keys` requests with an idempotency key each twice, to different hosts. Returns the number
/// of responses that are not replays, since replays are not counted as usage.
async fn send_with_keys(fleet: &Fleet, keys: usize) -> u64 {
    let mut first_responses = 0;
    for k in 0..keys {
        let key = format!("usage-{k}");
        for i in 0..2 {
            let host = &fleet.hosts[(k + i) % fleet.hosts.len()];
            let response = host.send(Method::POST, "/", &[("idempotency-key", &*key)], "").await;
            let response = response.expect("a response");
            assert_eq!(response.header("geraniummux-outcome"), "served");
            let replayed = response.header("geraniummux-replayed") == "1";
            assert_eq!(replayed, i == 1, "request {k}, sending {i}");
            first_responses += u64::from(!replayed);
        }
    }
    first_responses
}

/// Guards against counts that a stopping host doesn't write, against counts that are merged twice
/// because the response to a write was lost, and against hedged and repeated requests that count
/// twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn usage_over_stops() {
    let (mut fleet, target) = fleet(3).await;
    // Half of the requests are hedged, since one target is far slower than the typical latency.
    let slow = Target::start("t-2", Behaviour { service_ms: 60, ..Behaviour::default() }).await;
    let (received_first, _) = send_for(&fleet, Duration::from_millis(500)).await;
    let both = pools(&[("t-1", target.addr), ("t-2", slow.addr)]);
    fleet.apply(&both, &routes(json!({ "hedge_budget": 1.0 }))).await;
    let (received_hedged, _) = send_for(&fleet, Duration::from_secs(1)).await;
    let received = received_first + received_hedged + send_with_keys(&fleet, 30).await;
    let runs = target.record().await.runs + slow.record().await.runs;
    assert!(runs > received, "no request was hedged: {runs} runs, {received} responses");
    let kind = Some("usage".to_owned());
    fleet.platform.set_faults(&Faults { kind, lose_write_answers: 4, ..Faults::default() }).await;
    for host in &fleet.hosts[..2] {
        host.terminate();
    }
    for host in &mut fleet.hosts[..2] {
        assert!(host.wait().await.success());
    }
    fleet.hosts[2].terminate();
    // The last host writes its counts before it exits, so the totals are read after a restart.
    assert!(fleet.hosts[2].wait().await.success());
    fleet.hosts[2].spawn();
    eventually("a status response", || fleet.hosts[2].status()).await;
    let reported = eventually("a total", || reported_total(&fleet, 2)).await;
    assert_eq!(reported, received, "reported {reported}, received {received}");
    println!("received {received}, reported {reported}, run {runs}");
}

/// Guards against the loss of counts of a killed host that are older than one second, and against
/// counts of its that are merged twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn usage_over_kill() {
    let (mut fleet, _target) = fleet(4).await;
    let kind = Some("usage".to_owned());
    fleet.platform.set_faults(&Faults { kind, lose_write_answers: 6, ..Faults::default() }).await;
    let (received, from_killed) = send_for(&fleet, Duration::from_secs(3)).await;
    fleet.hosts[3].kill();
    let killed = Instant::now();
    let last_second = Duration::from_millis(1_100);
    let at_risk = from_killed.iter().filter(|t| killed - **t <= last_second).count() as u64;
    // The writer first waits for one TTL of the lease, and then collects the reports that the peers
    // have received from the killed host.
    let min_total = received - at_risk;
    let reported = eventually("the merge of the killed host's counts", || async {
        reported_total(&fleet, 0).await.filter(|t| *t >= min_total)
    })
    .await;
    assert!(reported <= received, "reported {reported}, received {received}");
    // Further merges must not change the total.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let final_total = reported_total(&fleet, 0).await.expect("a total");
    assert!(
        (reported..=received).contains(&final_total),
        "reported {final_total}, received {received}"
    );
    println!("received {received}, reported {final_total}, at risk {at_risk}");
}
