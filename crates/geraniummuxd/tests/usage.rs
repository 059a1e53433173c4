//! Usage totals over real processes: kills and lost write answers.

mod common;

use common::{Fleet, Target, call, eventually, pools, routes};
use geraniummux_standin::platform::Faults;
use geraniummux_standin::target::Behaviour;
use http::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns the total of the platform's usage objects over all months, tenants and classes, computed
/// from the totals that a host reports.
async fn total(fleet: &Fleet, host: usize) -> Option<u64> {
    let mut sum = 0;
    for (month, _) in fleet.platform.objects("usage").await {
        let path = format!("/v1/usage?month={month}");
        let answer = call(fleet.hosts[host].admin, Method::GET, &path, &[], "").await;
        let answer: Value = serde_json::from_slice(&answer.body).ok()?;
        let rows = answer["totals"].as_array()?;
        sum += rows.iter().filter_map(|r| r["served"].as_u64()).sum::<u64>();
    }
    Some(sum)
}

async fn fleet(n: usize) -> (Fleet, Target) {
    let target = Target::start("t-1", Behaviour { service_ms: 1, ..Behaviour::default() }).await;
    let short_ttl = |_: usize, s: &mut Value| s["entry_ttl_ms"] = json!(100);
    let fleet = Fleet::with_settings(n, short_ttl).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    (fleet, target)
}

/// Sends requests for a while and returns how many whole responses arrived from each host, and the
/// times of those of the last host.
async fn send_for(fleet: &Fleet, time: Duration) -> (u64, Vec<Instant>) {
    let end = Instant::now() + time;
    let senders = fleet.hosts.iter().map(|host| async move {
        let mut answers = Vec::new();
        while Instant::now() < end {
            if host.get("/").await.is_ok_and(|a| a.header("geraniummux-outcome") == "served") {
                answers.push(Instant::now());
            }
        }
        answers
    });
    let answers = futures_util::future::join_all(senders).await;
    (answers.iter().map(|a| a.len() as u64).sum(), answers.last().cloned().unwrap_or_default())
}

/// Sends each of `keys` requests with an idempotency key twice, to different hosts, and returns how
/// many first responses arrived. The second response is a replay, which does not count.
async fn send_repeated(fleet: &Fleet, keys: usize) -> u64 {
    let mut first = 0;
    for k in 0..keys {
        let key = format!("usage-{k}");
        for i in 0..2 {
            let host = &fleet.hosts[(k + i) % fleet.hosts.len()];
            let answer = host.send(Method::POST, "/", &[("idempotency-key", &*key)], "").await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.header("geraniummux-outcome"), "served");
            let replayed = answer.header("geraniummux-replayed") == "1";
            assert_eq!(replayed, i == 1, "request {k}, sending {i}");
            first += u64::from(!replayed);
        }
    }
    first
}

/// Guards against counts that a stopping host leaves behind, and against a write that counts twice
/// because its answer was lost, and against hedged and repeated requests that count twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn usage_over_stops() {
    let (mut fleet, target) = fleet(3).await;
    // Half of the requests are hedged, since one target is far slower than the usual latency.
    let slow = Target::start("t-2", Behaviour { service_ms: 60, ..Behaviour::default() }).await;
    let (got_first, _) = send_for(&fleet, Duration::from_millis(500)).await;
    let both = pools(&[("t-1", target.addr), ("t-2", slow.addr)]);
    fleet.apply(&both, &routes(json!({ "hedge_budget": 1.0 }))).await;
    let (got_hedged, _) = send_for(&fleet, Duration::from_secs(1)).await;
    let got = got_first + got_hedged + send_repeated(&fleet, 30).await;
    let runs = target.record().await.runs + slow.record().await.runs;
    assert!(runs > got, "no request was hedged: {runs} runs, {got} responses");
    let kind = Some("usage".to_owned());
    fleet.platform.set_faults(&Faults { kind, lose_write_answers: 4, ..Faults::default() }).await;
    for host in &fleet.hosts[..2] {
        host.terminate();
    }
    for host in &mut fleet.hosts[..2] {
        assert!(host.wait().await.success());
    }
    fleet.hosts[2].terminate();
    // Its own counts are written before it exits, when nobody is left to report the total.
    assert!(fleet.hosts[2].wait().await.success());
    fleet.hosts[2].spawn();
    eventually("a status answer", || fleet.hosts[2].status()).await;
    let reported = eventually("a total", || total(&fleet, 2)).await;
    assert_eq!(reported, got, "reported {reported}, answered {got}");
    println!("answered {got}, reported {reported}, run {runs}");
}

/// Guards against counts that are lost with a killed host beyond its last second, and against
/// counts that are taken over twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn usage_over_kill() {
    let (mut fleet, _target) = fleet(4).await;
    let kind = Some("usage".to_owned());
    fleet.platform.set_faults(&Faults { kind, lose_write_answers: 6, ..Faults::default() }).await;
    let (got, of_killed) = send_for(&fleet, Duration::from_secs(3)).await;
    fleet.hosts[3].kill();
    let killed = Instant::now();
    let last_second = Duration::from_millis(1_100);
    let at_risk = of_killed.iter().filter(|t| killed - **t <= last_second).count() as u64;
    // A writer first waits for a term of the lease; then the counts of the killed host's peers are
    // collected.
    let least = got - at_risk;
    let reported = eventually("the merge of the killed host's counts", || async {
        total(&fleet, 0).await.filter(|t| *t >= least)
    })
    .await;
    assert!(reported <= got, "reported {reported}, answered {got}");
    // Further merges change nothing.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let again = total(&fleet, 0).await.expect("a total");
    assert!((reported..=got).contains(&again), "reported {again}, answered {got}");
    println!("answered {got}, reported {again}, at risk {at_risk}");
}
