//! Non-idempotent requests run at most once under any fault, and responses report the outcome.

mod common;

use common::raw::{RawRequest, RawTarget, ResponseStep};
use common::{Fleet, Target, eventually, pools, routes};
use geraniummux_standin::caller::{self, BufferedResponse};
use geraniummux_standin::platform::Faults;
use geraniummux_standin::target::Behaviour;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Returns the outcome, reason and status of a response.
fn outcome_of(response: &BufferedResponse) -> (&str, &str, u16) {
    let reason = response.header("geraniummux-reason");
    (response.header("geraniummux-outcome"), reason, response.status.as_u16())
}

/// Guards against responses that differ from the table of claims on the design page.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_table() {
    let target = Target::start("t-1", Behaviour::default()).await;
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({ "timeout_ms": 5_000 }))).await;
    let [a, b] = &fleet.hosts[..] else { unreachable!() };
    let post = async |host: &common::Daemon, key: &str, path: &str, timeout: &str| {
        let headers = [("idempotency-key", key), ("x-request-timeout-ms", timeout)];
        host.send(Method::POST, path, &headers, "order").await.expect("a response")
    };

    // No claim: the request runs. Done: the stored response is replayed.
    let first = post(a, "k-1", "/", "5000").await;
    assert_eq!(outcome_of(&first), ("served", "", 200));
    for host in [a, b] {
        let again = post(host, "k-1", "/", "5000").await;
        assert_eq!(outcome_of(&again), ("served", "", 200));
        assert_eq!(again.header("geraniummux-replayed"), "1");
        assert_eq!(again.body, first.body);
    }

    // Another request with the same key.
    let other = post(b, "k-1", "/other", "5000").await;
    assert_eq!(outcome_of(&other), ("not-run", "key-reused", 422));

    // Running: the request waits and gets a replay, or ends at its deadline.
    target.set_behaviour(&Behaviour { service_ms: 700, ..Behaviour::default() }).await;
    let (slow, late, waited) = tokio::join!(
        post(a, "k-2", "/", "5000"),
        async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            post(b, "k-2", "/", "150").await
        },
        async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            post(b, "k-2", "/", "5000").await
        },
    );
    assert_eq!(outcome_of(&slow), ("served", "", 200));
    assert_eq!(outcome_of(&late), ("unknown", "claim-pending", 409));
    assert_eq!(outcome_of(&waited), ("served", "", 200));
    assert_eq!(waited.header("geraniummux-replayed"), "1");

    // Unknown outcome: the target never responded.
    target.set_behaviour(&Behaviour { stall: true, ..Behaviour::default() }).await;
    let stalled = post(a, "k-3", "/", "150").await;
    assert_eq!(outcome_of(&stalled), ("unknown", "deadline", 504));
    target.set_behaviour(&Behaviour::default()).await;
    assert_eq!(outcome_of(&post(b, "k-3", "/", "5000").await), ("unknown", "claim-pending", 409));

    // The response is too long to be stored.
    target.set_behaviour(&Behaviour { body_len: 100_000, ..Behaviour::default() }).await;
    assert_eq!(outcome_of(&post(a, "k-4", "/", "5000").await), ("served", "", 200));
    assert_eq!(outcome_of(&post(b, "k-4", "/", "5000").await), ("unknown", "answer-not-kept", 409));

    // Refused by the target: the claim is released.
    target.set_behaviour(&Behaviour { shed: true, ..Behaviour::default() }).await;
    assert_eq!(outcome_of(&post(a, "k-5", "/", "5000").await), ("not-run", "overloaded", 503));
    target.set_behaviour(&Behaviour::default()).await;
    assert_eq!(outcome_of(&post(b, "k-5", "/", "5000").await), ("served", "", 200));

    // The platform is unreachable: keyed requests are refused, even with a key that was used
    // before. Requests without a key are served.
    fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
    for key in ["k-1", "k-6"] {
        let refused = post(b, key, "/", "5000").await;
        assert_eq!(outcome_of(&refused), ("unknown", "claim-unavailable", 503));
    }
    let plain = a.send(Method::POST, "/", &[], "order").await.expect("a response");
    assert_eq!(outcome_of(&plain), ("served", "", 200));
    let get =
        a.send(Method::GET, "/", &[("idempotency-key", "k-7")], "").await.expect("a response");
    assert_eq!(outcome_of(&get), ("served", "", 200));
    fleet.platform.set_faults(&Faults::default()).await;

    let runs = target.record().await.runs_by_key;
    for (key, expected) in [("k-1", 1), ("k-2", 1), ("k-3", 1), ("k-4", 1), ("k-5", 1), ("k-6", 0)]
    {
        assert_eq!(runs.get(key).copied().unwrap_or(0), expected, "runs of {key}");
    }
    assert_eq!(fleet.platform.objects("claim").await.len(), 5, "an idempotent request has a claim");
}

/// Number of runs by path, counted at the targets.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Returns the script of a target that counts runs and misbehaves on some paths.
fn count_runs(runs: Runs) -> impl Fn(&RawRequest) -> Vec<ResponseStep> + Send + Sync + 'static {
    move |req| {
        let run = {
            let mut runs = runs.lock().expect("no panic while locked");
            let run = runs.entry(req.path().to_owned()).or_default();
            *run += 1;
            *run
        };
        let response = req.ok_response(&format!("run {run} of {}", req.path()));
        // The last digit of the path decides: fast, slow, no response, truncated response.
        match req.path().as_bytes().last() {
            Some(b'0'..=b'3') => vec![ResponseStep::Write(response)],
            Some(b'4'..=b'6') => {
                vec![ResponseStep::Pause(Duration::from_millis(60)), ResponseStep::Write(response)]
            }
            Some(b'7') => vec![ResponseStep::Hang],
            _ => vec![
                ResponseStep::Write(response[..response.len() / 2].to_vec()),
                ResponseStep::Close,
            ],
        }
    }
}

/// Injects faults at random hosts and the platform until `done`. Returns the number of faults.
async fn inject_faults(fleet: &mut Fleet, rng: &mut SmallRng, done: &AtomicBool) -> u32 {
    let mut faults = 0;
    while !done.load(Ordering::SeqCst) {
        faults += 1;
        let n = rng.random_range(0..fleet.hosts.len());
        let wait = Duration::from_millis(rng.random_range(20..400));
        match rng.random_range(0..5) {
            0 => {
                fleet.hosts[n].pause();
                tokio::time::sleep(wait).await;
                fleet.hosts[n].resume();
            }
            1 => {
                fleet.hosts[n].kill();
                fleet.hosts[n].spawn();
            }
            2 => {
                fleet
                    .platform
                    .set_faults(&Faults { lose_write_answers: 4, ..Faults::default() })
                    .await
            }
            3 => {
                fleet.platform.set_faults(&Faults { down: true, ..Faults::default() }).await;
                tokio::time::sleep(wait).await;
                fleet.platform.set_faults(&Faults::default()).await;
            }
            _ => fleet.platform.set_faults(&Faults { slow_ms: 30, ..Faults::default() }).await,
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..150))).await;
    }
    faults
}

/// Sends a request `sends` times through random hosts and returns the received responses.
async fn send_repeatedly(
    hosts: &[SocketAddr],
    path: &str,
    key: Option<&str>,
    sends: usize,
    seed: u64,
) -> Vec<BufferedResponse> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut responses = Vec::new();
    let mut headers = vec![("x-request-timeout-ms", "700")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    for _ in 0..sends {
        let host = hosts[rng.random_range(0..hosts.len())];
        // There is no response from a host that is killed, or paused for longer than the timeout.
        let sent = caller::send(host, Method::POST, path, &headers, "order".into());
        if let Ok(Ok(response)) = tokio::time::timeout(Duration::from_millis(1_500), sent).await {
            responses.push(response);
        }
    }
    responses
}

/// Guards against repeated runs, wrong replays and a false `not-run` when hosts are killed or
/// paused and the platform loses responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn non_idempotent_faults() {
    let seed = rand::random();
    eprintln!("seed {seed}");
    const REQUESTS: usize = 240;
    let runs = Runs::default();
    let t1 = RawTarget::start(count_runs(runs.clone())).await;
    let t2 = RawTarget::start(count_runs(runs.clone())).await;
    let mut fleet = Fleet::start(3).await;
    let route_table = routes(json!({ "retry_budget": 1.0, "timeout_ms": 1_000 }));
    fleet.apply(&pools(&[("t-1", t1.addr), ("t-2", t2.addr)]), &route_table).await;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.listen).collect();
    let done = Arc::new(AtomicBool::new(false));

    let calls = tokio::spawn({
        let (done, hosts) = (done.clone(), hosts.clone());
        async move {
            let mut responses = Vec::new();
            for batch in 0..REQUESTS / 24 {
                let mut calls = Vec::new();
                for n in batch * 24..(batch + 1) * 24 {
                    let hosts = hosts.clone();
                    calls.push(tokio::spawn(async move {
                        let path = format!("/order/{n}");
                        let key = format!("key-{n}");
                        // Every fourth request has no key.
                        let key = (n % 4 != 0).then_some(&*key);
                        let sends = if key.is_some() { 3 } else { 1 };
                        let responses =
                            send_repeatedly(&hosts, &path, key, sends, seed ^ n as u64).await;
                        (path, sends, responses)
                    }));
                }
                for call in calls {
                    responses.push(call.await.expect("a caller"));
                }
            }
            done.store(true, Ordering::SeqCst);
            responses
        }
    });
    let faults = inject_faults(&mut fleet, &mut SmallRng::seed_from_u64(seed), &done).await;
    let responses = calls.await.expect("the responses");

    let runs = runs.lock().expect("no panic while locked").clone();
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for (path, sends, responses) in &responses {
        let run = runs.get(path).copied().unwrap_or(0);
        assert!(run <= 1, "{path} ran {run} times");
        for response in responses {
            let (outcome, reason, status) = outcome_of(response);
            *counts.entry(if outcome == "served" { outcome } else { reason }).or_default() += 1;
            match outcome {
                "served" => assert_eq!(response.body, format!("run 1 of {path}")),
                _ => assert_ne!(status, 200, "{path}: {outcome}"),
            }
        }
        // A send without a response may have run the request.
        let all_not_run = responses.iter().all(|r| outcome_of(r).0 == "not-run");
        if all_not_run && responses.len() == *sends {
            assert_eq!(
                run,
                0,
                "{path}: {:?}",
                responses.iter().map(outcome_of).collect::<Vec<_>>()
            );
        }
    }
    eprintln!("{faults} faults, {} paths ran, responses {counts:?}", runs.len());
    assert!(runs.len() > REQUESTS / 4, "too few requests ran for a meaningful test");
    assert!(counts.get("served").copied().unwrap_or(0) > 0);
}

/// Guards against a second run by the holder of a claim that is paused after the claim was granted
/// and resumes after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_paused_holder() {
    let target = Target::start("t-1", Behaviour { service_ms: 1, ..Behaviour::default() }).await;
    let fleet = Fleet::start(2).await;
    fleet.apply(&pools(&[("t-1", target.addr)]), &routes(json!({ "timeout_ms": 600 }))).await;
    let [a, b] = &fleet.hosts[..] else { unreachable!() };
    let headers = [("idempotency-key", "k")];
    // The create takes effect, but its response is delayed, and the holder is paused meanwhile.
    fleet.platform.set_faults(&Faults { slow_ms: 150, ..Faults::default() }).await;
    let (first, second) = tokio::join!(a.send(Method::POST, "/", &headers, "x"), async {
        eventually("the claim", || async {
            (!fleet.platform.objects("claim").await.is_empty()).then_some(())
        })
        .await;
        a.pause();
        let second = b.send(Method::POST, "/", &headers, "x").await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        a.resume();
        second
    });
    let ran = target.record().await.runs;
    let outcomes: Vec<String> = [&first, &second]
        .into_iter()
        .map(|r| r.as_ref().map_or("broken", |r| r.header("geraniummux-outcome")).to_owned())
        .collect();
    // The outcomes are independent: one request may be released without a run while the other runs.
    let served = outcomes.iter().filter(|o| *o == "served").count() as u64;
    assert!(ran <= 1 && (served == 0 || ran == 1), "{ran} runs, outcomes {outcomes:?}");
    assert!(
        ran == 0 || outcomes.iter().any(|o| o != "not-run"),
        "{ran} runs, outcomes {outcomes:?}"
    );
    fleet.platform.set_faults(&Faults::default()).await;
    for host in [a, b] {
        host.send(Method::POST, "/", &headers, "x").await.expect("a response");
    }
    assert!(target.record().await.runs <= 1, "the request ran twice");
}
