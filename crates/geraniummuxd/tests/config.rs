//! Configuration with real processes: concurrent edits, lost responses, outages, pauses and
//! restored backups.

mod common;

use bytes::Bytes;
use common::{Daemon, Fleet, Target, call, eventually, pools, routes};
use geraniummux_standin::caller;
use geraniummux_standin::platform::Faults;
use geraniummux_standin::target::Behaviour;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Requirement R7: an accepted configuration is in force on every host within this time.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(12);

/// Returns an address at which no target listens.
fn unused_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Sends an edit of a table, based on the revision `base`, and returns the status and body of the
/// response.
async fn edit(
    host: &Daemon,
    kind: &str,
    base: u64,
    writer: &str,
    rows: &Value,
) -> (StatusCode, Value) {
    let path = format!("/v1/tables/{kind}?base={base}&writer={writer}&write_id={writer}-{base}");
    let response =
        call(host.admin, Method::POST, &path, &[], json!({ kind: rows }).to_string()).await;
    (response.status, serde_json::from_slice(&response.body).expect("response as JSON"))
}

/// Returns the generation of the configuration in force, or 0 without one.
async fn generation(host: &Daemon) -> u64 {
    host.status().await.and_then(|s| s["generation"].as_u64()).unwrap_or(0)
}

/// Asserts that each host has at least this generation in force within the limit of R7.
async fn assert_in_force(hosts: &[Daemon], min_generation: u64, since: Instant) {
    for host in hosts {
        while generation(host).await < min_generation {
            assert!(
                since.elapsed() < MAX_IN_FORCE_DELAY,
                "{} lacks generation {min_generation}",
                host.name
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against two concurrent edits of one revision that are both accepted, and against an edit
/// that is overwritten although it was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_races() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    let (a, b) = (&fleet.hosts[0], &fleet.hosts[1]);
    for base in 1..=10 {
        let rows = pools(&[("t-1", unused_addr())]);
        let (x, y) = tokio::join!(
            edit(a, "pools", base, "anna", &rows),
            edit(b, "pools", base, "bertil", &rows)
        );
        let (winner, loser) = if x.0 == StatusCode::OK { ("anna", y) } else { ("bertil", x) };
        assert_eq!(loser.0, StatusCode::CONFLICT, "{}", loser.1);
        let message = loser.1["message"].as_str().unwrap_or_default();
        let names_winner = format!("at revision {} (written by {winner})", base + 1);
        assert!(message.contains(&names_winner), "{message}");
    }
    for base in 1..=10 {
        let (x, y) =
            (pools(&[("t-1", unused_addr())]), routes(json!({ "timeout_ms": 1_000 + base })));
        let (x, y) = tokio::join!(
            edit(a, "pools", base + 10, "carl", &x),
            edit(b, "routes", base, "doris", &y)
        );
        assert_eq!((x.0, y.0), (StatusCode::OK, StatusCode::OK), "{} {}", x.1, y.1);
    }
    assert_in_force(&fleet.hosts, 2 + 10 + 20, Instant::now()).await;
}

/// Guards against an edit that is reported as failed, or applied twice, because the response to its
/// write was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_lost_answer() {
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    let kind = Some("config".to_owned());
    let faults = Faults { lose_write_answers: 1, kind, ..Faults::default() };
    fleet.platform.set_faults(&faults).await;
    let (status, response) =
        edit(&fleet.hosts[1], "routes", 1, "anna", &routes(json!({ "timeout_ms": 77 }))).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    assert_eq!(response["generation"], 3);
    assert_in_force(&fleet.hosts, 3, Instant::now()).await;
    assert_eq!(fleet.platform.objects("config").await[0].1["generation"], 3);
}

/// Guards against an accepted edit that reaches only hosts that can read the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_then_platform_down() {
    let mut fleet = Fleet::start(4).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    // One host is paused during the edit and resumes when the platform is down.
    fleet.hosts[3].pause();
    let generation = fleet.hosts[0].apply("routes", &routes(json!({ "timeout_ms": 77 }))).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    let accepted = Instant::now();
    fleet.hosts[3].resume();
    assert_in_force(&fleet.hosts, generation, accepted).await;
    // A host that starts during the outage gets the configuration from its peers.
    fleet.hosts[2].kill();
    fleet.hosts[2].spawn();
    assert_in_force(&fleet.hosts, generation, Instant::now()).await;
    fleet.hosts[2].await_serving().await;
}

/// Guards against a host that handles requests under an outdated configuration after it was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_over_edit() {
    let old = Target::start("old", Behaviour::default()).await;
    let new = Target::start("new", Behaviour::default()).await;
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("old", old.addr)]), &routes(json!({}))).await;
    let mut names = [("old", old.addr), ("new", new.addr)];
    for _ in 0..3 {
        names.swap(0, 1);
        let (name, addr) = names[0];
        let paused = &fleet.hosts[2];
        paused.pause();
        fleet.hosts[0].apply("pools", &pools(&[(name, addr)])).await;
        // Longer than the shortest time that is detected as a pause.
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        // These requests are queued in the socket when the process resumes.
        let queued =
            (0..20).map(|_| caller::send(paused.listen, Method::GET, "/", &[], Bytes::new()));
        let queued = futures_util::future::join_all(queued);
        let resume = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            paused.resume();
        };
        let (responses, ()) = tokio::join!(queued, resume);
        for response in responses {
            let response = response.expect("a response");
            let target_name = response.header("x-target-name");
            let not_run = response.header("geraniummux-outcome") == "not-run";
            assert!(
                not_run || target_name == name,
                "status {} by {target_name:?}, not by {name}",
                response.status
            );
        }
        eventually("service after the pause", || async {
            let response = paused.get("/").await.ok()?;
            (response.header("x-target-name") == name).then_some(())
        })
        .await;
    }
}

/// Guards against a host that depends on a watch to which the platform never responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_watch() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { silent_watch: true, ..Faults::default() }).await;
    // Waiting watches end; later ones get no response.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    // A write directly to the platform, so that no host announces the new generation.
    let (_, mut object) = fleet.platform.objects("config").await.remove(0);
    object["generation"] = json!(3);
    let url = "/v1/objects/config/tables";
    let present = call(fleet.platform.addr, Method::GET, url, &[], "").await;
    let etag = [("if-match", present.header("etag"))];
    let written = call(fleet.platform.addr, Method::PUT, url, &etag, object.to_string()).await;
    assert_eq!(written.status, StatusCode::OK);
    assert_in_force(&fleet.hosts, 3, Instant::now()).await;
}

/// Guards against a host that adopts an older configuration, or starts with one, because the
/// platform returned outdated state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_reads() {
    let mut fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { stale_reads: true, ..Faults::default() }).await;
    // The host reads the platform before it reaches a peer, and gets the state before the last
    // edit.
    fleet.hosts[1].kill();
    [&fleet.hosts[0], &fleet.hosts[2]].iter().for_each(|h| h.pause());
    fleet.hosts[1].spawn();
    eventually("a read of the platform", || async {
        (generation(&fleet.hosts[1]).await > 0).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let status = fleet.hosts[1].status().await.expect("status");
    assert_eq!(status["serving"], "starting");
    [&fleet.hosts[0], &fleet.hosts[2]].iter().for_each(|h| h.resume());
    eventually("a start with stale reads", || async {
        let status = fleet.hosts[1].status().await?;
        let generation = status["generation"].as_u64()?;
        assert!(status["serving"] != "yes" || generation == 2, "serves generation {generation}");
        (status["serving"] == "yes").then_some(())
    })
    .await;
    for host in &fleet.hosts {
        assert_eq!(generation(host).await, 2, "{}", host.name);
    }
}

/// Guards against hosts that adopt the older configuration of a platform that was restored from a
/// backup, and against an edit that is based on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restored_platform() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", unused_addr())]), &routes(json!({}))).await;
    call(fleet.platform.addr, Method::POST, "/backup", &[], "").await;
    let generation_before =
        fleet.hosts[0].apply("routes", &routes(json!({ "timeout_ms": 77 }))).await;
    call(fleet.platform.addr, Method::POST, "/restore", &[], "").await;
    assert_eq!(fleet.platform.objects("config").await[0].1["generation"], generation_before - 1);
    eventually("writing back", || async {
        for host in &fleet.hosts {
            assert_eq!(generation(host).await, generation_before, "{} went back", host.name);
        }
        let object = fleet.platform.objects("config").await.remove(0).1;
        (object["generation"] == generation_before).then_some(())
    })
    .await;
    // An edit directly after a restore keeps the edits that the backup lacks.
    call(fleet.platform.addr, Method::POST, "/restore", &[], "").await;
    let (status, response) =
        edit(&fleet.hosts[1], "pools", 1, "anna", &pools(&[("t-2", unused_addr())])).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    assert_eq!(response["generation"], generation_before + 1);
    let object = fleet.platform.objects("config").await.remove(0).1;
    assert_eq!(object["tables"]["routes"][0]["timeout_ms"], 77);
}

/// Guards against a host that continues to serve without any contact to peers or the platform, so
/// that it may have missed a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_host() {
    let target = Target::start("t-1", Behaviour::default()).await;
    let mut fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    fleet.hosts[1].kill();
    let isolated_since = Instant::now();
    eventually("the end of service", || async {
        let response = fleet.hosts[0].get("/").await.ok()?;
        let not_run = response.header("geraniummux-outcome") == "not-run";
        assert!(
            not_run || isolated_since.elapsed() < MAX_IN_FORCE_DELAY,
            "served after {:?}",
            isolated_since.elapsed()
        );
        not_run.then_some(())
    })
    .await;
    fleet.platform.set_faults(&Faults::default()).await;
    fleet.hosts[0].await_serving().await;
}

/// Returns the mean number of platform calls per second of all hosts over `seconds`, and the
/// maximum in one second.
async fn calls_per_s(fleet: &Fleet, seconds: usize) -> (f64, f64) {
    let mut counts = Vec::new();
    for _ in 0..=seconds {
        let stats = fleet.platform.stats().await;
        let calls = stats.as_object().into_iter().flatten().filter_map(|(_, n)| n.as_f64());
        counts.push(calls.sum::<f64>());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let rates: Vec<f64> = counts.windows(2).map(|w| w[1] - w[0]).collect();
    (rates.iter().sum::<f64>() / rates.len() as f64, rates.into_iter().fold(0.0, f64::max))
}

/// Guards against hosts that stop serving during an outage of the platform, against a high rate of
/// calls during the outage, and against a burst of calls when it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_without_stampede() {
    let n = 9;
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::start(n as usize).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (normal, _) = calls_per_s(&fleet, 4).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    let (during_outage, _) = calls_per_s(&fleet, 9).await;
    for host in &fleet.hosts {
        let response = host.get("/").await.expect("a response during the outage");
        assert_eq!(response.header("geraniummux-outcome"), "served", "{}", host.name);
    }
    fleet.platform.set_faults(&Faults::default()).await;
    let (_, peak) = calls_per_s(&fleet, 4).await;
    println!(
        "{n} hosts: {normal:.1} calls/s, {during_outage:.1} while down, at most {peak:.0} after"
    );
    // Three hosts watch and read the tables and poll the host list every 2 s, and two hosts read or
    // renew each of two leases every 5 s: 5.3 calls/s.
    assert!(normal <= 8.0, "{normal:.1} calls/s in normal operation");
    // Every host may read the tables itself while no host reaches the platform, but each backs off.
    let hosts = f64::from(n);
    assert!(
        during_outage <= normal + hosts,
        "{during_outage:.1} calls/s while down, {normal:.1} before"
    );
    assert!(peak <= 2.0 * normal + 2.0 * hosts, "{peak:.1} calls/s after, {normal:.1} before");
}
