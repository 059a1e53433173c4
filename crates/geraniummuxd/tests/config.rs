//! Configuration over real processes: races, lost answers, outages, pauses, restored backups.

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

/// R7: an accepted configuration is in force on every host within this time.
const IN_FORCE: Duration = Duration::from_secs(12);

fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Sends an edit that is based on `base` and returns status and answer.
async fn edit(
    host: &Daemon,
    kind: &str,
    base: u64,
    writer: &str,
    rows: &Value,
) -> (StatusCode, Value) {
    let path = format!("/v1/tables/{kind}?base={base}&writer={writer}&write_id={writer}-{base}");
    let answer =
        call(host.admin, Method::POST, &path, &[], json!({ kind: rows }).to_string()).await;
    (answer.status, serde_json::from_slice(&answer.body).expect("answer as JSON"))
}

async fn generation(host: &Daemon) -> u64 {
    host.status().await.and_then(|s| s["generation"].as_u64()).unwrap_or(0)
}

/// Asserts that each host has at least this generation within the limit of R7.
async fn assert_in_force(hosts: &[Daemon], wanted: u64, since: Instant) {
    for host in hosts {
        while generation(host).await < wanted {
            assert!(since.elapsed() < IN_FORCE, "{} lacks generation {wanted}", host.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against two accepted edits of one revision, and against one that is lost without a word.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_races() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
    let (a, b) = (&fleet.hosts[0], &fleet.hosts[1]);
    for base in 1..=10 {
        let rows = pools(&[("t-1", nowhere())]);
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
        let (x, y) = (pools(&[("t-1", nowhere())]), routes(json!({ "timeout_ms": 1_000 + base })));
        let (x, y) = tokio::join!(
            edit(a, "pools", base + 10, "carl", &x),
            edit(b, "routes", base, "doris", &y)
        );
        assert_eq!((x.0, y.0), (StatusCode::OK, StatusCode::OK), "{} {}", x.1, y.1);
    }
    assert_in_force(&fleet.hosts, 2 + 10 + 20, Instant::now()).await;
}

/// Guards against an edit that is reported as failed, or made twice, because the answer to its
/// write was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_lost_answer() {
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
    let kind = Some("config".to_owned());
    let faults = Faults { lose_write_answers: 1, kind, ..Faults::default() };
    fleet.platform.set_faults(&faults).await;
    let (status, answer) =
        edit(&fleet.hosts[1], "routes", 1, "anna", &routes(json!({ "timeout_ms": 77 }))).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    assert_eq!(answer["generation"], 3);
    assert_in_force(&fleet.hosts, 3, Instant::now()).await;
    assert_eq!(fleet.platform.objects("config").await[0].1["generation"], 3);
}

/// Guards against an accepted edit that reaches only hosts which can read the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edit_then_platform_down() {
    let mut fleet = Fleet::start(4).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
    // One host hears of the edit only after its pause, when the platform is down.
    fleet.hosts[3].pause();
    let generation = fleet.hosts[0].apply("routes", &routes(json!({ "timeout_ms": 77 }))).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    let accepted = Instant::now();
    fleet.hosts[3].resume();
    assert_in_force(&fleet.hosts, generation, accepted).await;
    // A host that starts during the outage gets it from its peers.
    fleet.hosts[2].kill();
    fleet.hosts[2].spawn();
    assert_in_force(&fleet.hosts, generation, Instant::now()).await;
    fleet.hosts[2].await_serving().await;
}

/// Guards against a host that answers under an older configuration after it was paused.
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
        // Longer than what counts as a pause.
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        // These requests wait in the socket when the process resumes.
        let waiting =
            (0..20).map(|_| caller::send(paused.listen, Method::GET, "/", &[], Bytes::new()));
        let waiting = futures_util::future::join_all(waiting);
        let resume = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            paused.resume();
        };
        let (answers, ()) = tokio::join!(waiting, resume);
        for answer in answers {
            let answer = answer.expect("an answer");
            let by = answer.header("x-target-name");
            let refused = answer.header("geraniummux-outcome") == "not-run";
            assert!(refused || by == name, "status {} by {by:?}, not by {name}", answer.status);
        }
        eventually("service after the pause", || async {
            let answer = paused.get("/").await.ok()?;
            (answer.header("x-target-name") == name).then_some(())
        })
        .await;
    }
}

/// Guards against a host that relies on a watch which never answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_watch() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { silent_watch: true, ..Faults::default() }).await;
    // Watches that were waiting end; the next ones are silent.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    // An edit through a host of another fleet, which these hosts don't hear of.
    let (_, mut object) = fleet.platform.objects("config").await.remove(0);
    object["generation"] = json!(3);
    let url = "/v1/objects/config/tables";
    let present = call(fleet.platform.addr, Method::GET, url, &[], "").await;
    let etag = [("if-match", present.header("etag"))];
    let written = call(fleet.platform.addr, Method::PUT, url, &etag, object.to_string()).await;
    assert_eq!(written.status, StatusCode::OK);
    assert_in_force(&fleet.hosts, 3, Instant::now()).await;
}

/// Guards against a host that goes back to, or starts with, an outdated read of the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_reads() {
    let mut fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { stale_reads: true, ..Faults::default() }).await;
    // The platform answers first, with the state before the last edit.
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

/// Guards against hosts that follow a platform which was restored from a backup to an older state,
/// and against an edit that goes on from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restored_platform() {
    let fleet = Fleet::start(3).await;
    fleet.apply(&pools(&[("t-1", nowhere())]), &routes(json!({}))).await;
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
    // An edit right after another restore keeps the edits that the backup lacks.
    call(fleet.platform.addr, Method::POST, "/restore", &[], "").await;
    let (status, answer) =
        edit(&fleet.hosts[1], "pools", 1, "anna", &pools(&[("t-2", nowhere())])).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    assert_eq!(answer["generation"], generation_before + 1);
    let object = fleet.platform.objects("config").await.remove(0).1;
    assert_eq!(object["tables"]["routes"][0]["timeout_ms"], 77);
}

/// Guards against a host that serves on although it may have missed a configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_host() {
    let target = Target::start("t-1", Behaviour::default()).await;
    let mut fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    fleet.hosts[1].kill();
    let cut_off = Instant::now();
    eventually("the end of service", || async {
        let answer = fleet.hosts[0].get("/").await.ok()?;
        let refused = answer.header("geraniummux-outcome") == "not-run";
        assert!(refused || cut_off.elapsed() < IN_FORCE, "served after {:?}", cut_off.elapsed());
        refused.then_some(())
    })
    .await;
    fleet.platform.set_faults(&Faults::default()).await;
    fleet.hosts[0].await_serving().await;
}

/// Returns the platform calls per second of all hosts over `seconds`, and the most in one of them.
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

/// Guards against an outage that stops serving, against hosts that hammer a platform which is down,
/// and against a stampede when it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_without_stampede() {
    let n = 9;
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::start(n as usize).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({}))).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (usual, _) = calls_per_s(&fleet, 4).await;
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    let (down, _) = calls_per_s(&fleet, 9).await;
    for host in &fleet.hosts {
        let answer = host.get("/").await.expect("an answer during the outage");
        assert_eq!(answer.header("geraniummux-outcome"), "served", "{}", host.name);
    }
    fleet.platform.set_faults(&Faults::default()).await;
    let (_, peak) = calls_per_s(&fleet, 4).await;
    println!("{n} hosts: {usual:.1} calls/s, {down:.1} while down, at most {peak:.0} after");
    // Three hosts watch and read the tables and poll the host list every 2 s, and two hosts follow
    // each of two leases every 5 s: 5.3 calls/s.
    assert!(usual <= 8.0, "{usual:.1} calls/s on an ordinary day");
    // Every host may look for itself while nobody reaches the platform, but each backs off.
    let hosts = f64::from(n);
    assert!(down <= usual + hosts, "{down:.1} calls/s while down, {usual:.1} before");
    assert!(peak <= 2.0 * usual + 2.0 * hosts, "{peak:.1} calls/s after, {usual:.1} before");
}
