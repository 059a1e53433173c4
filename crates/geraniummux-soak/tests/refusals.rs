//! Refusals that a target writes once more on the connection on which it has refused the request.
//!
//! In each test, all targets of a pool start again at their addresses under other ids while requests are sent that were
//! meant for the former ones. The refusals come when the hosts know the new targets, so that the requests are sent again.

mod common;

use common::{program, send};
use geraniummux_soak::callers::Outcome;
use geraniummux_soak::harness::Harness;
use geraniummux_soak::{Options, RouteTimes};
use geraniummux_standin::registered_target::{CopyTrigger, RefusalCopy, Refusals};
use http::StatusCode;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Requests that must run once, for each target.
const REQUESTS_PER_TARGET: usize = 4;
/// Requests that are sent to each host afterwards.
const LATER_REQUESTS: usize = 2;
/// Rounds of requests in which one target refuses all, and requests in each round.
const ROUNDS: usize = 6;
const REQUESTS_PER_ROUND: usize = 6;
/// Service time of all targets; all copies are written within it.
const SERVICE_MS: u64 = 400;
/// Time after the last response in which a target would run a request that it still has.
const WORK_TIME: Duration = Duration::from_millis(3 * SERVICE_MS);
/// Time without requests after which no host probes the targets.
const POOL_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Slowdowns that targets report, in percent.
const USUAL_PERCENT: u32 = 100;
const SLOW_PERCENT: u32 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SERVED: Outcome = Outcome::Response(StatusCode::OK);

/// How the targets get their new ids.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    /// They start again and refuse requests for the former ones.
    StartAgain,
    /// They refuse requests, and then take other ids on open connections.
    OnOpenConnections,
}

/// What a test plays.
struct Form {
    /// Number of the loopback network of this test.
    net: u64,
    hosts: u8,
    targets: usize,
    refusals: Refusals,
    change: Change,
    /// Whether the entries of the former targets stay registered.
    keeps_former: bool,
}

impl Form {
    /// Returns a form with one host and one target, whose former entry is removed.
    fn new(net: u64, refusals: Refusals) -> Self {
        let change = Change::StartAgain;
        Form { net, hosts: 1, targets: 1, refusals, change, keeps_former: false }
    }

    fn with_hosts(self, hosts: u8) -> Self {
        Form { hosts, ..self }
    }

    fn with_targets(self, targets: usize) -> Self {
        Form { targets, ..self }
    }

    fn with_former_entries(self) -> Self {
        Form { keeps_former: true, ..self }
    }

    fn on_open_connections(self) -> Self {
        Form { change: Change::OnOpenConnections, ..self }
    }
}

/// Returns whether an outcome tells the caller that its request has not run and will not run.
fn is_promise(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Response(
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        )
    )
}

/// Returns refusals that are copied when the request is sent again, so long after it arrives.
fn copied_when_sent_again(delay: Duration) -> Refusals {
    Refusals::default().with_copy(RefusalCopy::new(CopyTrigger::SameRequest).with_delay(delay))
}

/// Starts the hosts and targets of a form. For a fleet of two builds, the environment names the program of all hosts and
/// that of the second one.
async fn start_harness(form: &Form) -> Arc<Harness> {
    let opts = Options {
        // Runs of different processes at the same time use different addresses.
        seed: u64::from(100 + std::process::id() % 100) * 128 + form.net,
        fault_duration: Duration::ZERO,
        hosts: form.hosts,
        targets: form.targets,
        callers: 0,
        timed: false,
        demands: false,
        refusals: false,
        restores: false,
        restarts: false,
        route_times: RouteTimes::LONG,
        program: std::env::var_os("GERANIUMMUX_PROGRAM").map_or_else(program, Into::into),
        other_program: std::env::var_os("GERANIUMMUX_OTHER_PROGRAM").map(Into::into),
        dir: std::env::temp_dir().join(format!(
            "geraniummux-refusals-{}-{}",
            std::process::id(),
            form.net
        )),
    };
    let harness = Harness::start(&opts).await.unwrap();
    for request_addr in harness.request_addrs() {
        assert!(harness.await_newest_config(*request_addr).await, "{request_addr} does not serve");
    }
    for directory_addr in &harness.directory_addrs {
        assert!(harness.await_whole_directory(*directory_addr).await);
    }
    tokio::time::sleep(POOL_IDLE_TIME).await;
    await_targets(&harness).await;
    harness.set_service_ms(SERVICE_MS);
    Arc::new(harness)
}

/// Waits until all hosts know the targets that are registered now.
async fn await_targets(harness: &Harness) {
    let revision = harness.store.revision();
    let knows = |i| {
        let log = harness.log_of(i);
        let line = log.lines().rfind(|l| l.contains("event=targets_changed")).unwrap_or_default();
        let read = line.split_whitespace().find_map(|w| w.strip_prefix("revision="));
        let read = read.and_then(|r| r.rsplit('/').next()?.parse::<u64>().ok());
        read.is_some_and(|r| r >= revision)
    };
    let hosts = harness.request_addrs().len();
    wait_until(harness, || (0..hosts).all(knows)).await;
}

/// Waits until a condition holds. Fails if a host fails meanwhile.
async fn wait_until<F>(harness: &Harness, holds: F)
where
    F: Fn() -> bool,
{
    while !holds() {
        assert_eq!(harness.process_failures(), Vec::<String>::new());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The requests that must run once.
struct Requests {
    ids: Vec<String>,
    ended: Arc<Mutex<BTreeSet<usize>>>,
    tasks: Vec<JoinHandle<Outcome>>,
}

impl Requests {
    /// Sends all requests to the first host at once.
    fn send(harness: &Arc<Harness>, count: usize) -> Self {
        let ids: Vec<String> = (0..count).map(|n| format!("once-{n}")).collect();
        let ended = Arc::new(Mutex::new(BTreeSet::new()));
        let send_one = |(n, id): (usize, &String)| {
            let (harness, id, ended) = (harness.clone(), id.clone(), ended.clone());
            tokio::spawn(async move {
                let outcome = send(&harness, 0, &id, false).await;
                ended.lock().unwrap().insert(n);
                outcome
            })
        };
        let tasks = ids.iter().enumerate().map(send_one).collect();
        Requests { ids, ended, tasks }
    }

    fn has_ended(&self, n: usize) -> bool {
        self.ended.lock().unwrap().contains(&n)
    }

    fn all_ended(&self) -> bool {
        self.ended.lock().unwrap().len() == self.ids.len()
    }

    /// Returns how many requests run, have run or have ended.
    fn settled(&self, harness: &Harness) -> usize {
        let ran = |n: usize| harness.run_counts.runs(&self.ids[n]) > 0;
        (0..self.ids.len()).filter(|n| self.has_ended(*n) || ran(*n)).count()
    }
}

fn refused_count(harness: &Harness) -> u32 {
    harness.targets.iter().map(|t| t.refused_count()).sum()
}

/// Lets the targets write their refusals one after another, each when the request of the one before runs or has ended,
/// until all requests have ended. The other targets report that they are slow, so that the request is sent there again.
async fn release_refusals(harness: &Harness, requests: &Requests) {
    let targets = &harness.targets;
    let mut allowed = vec![0; targets.len()];
    loop {
        let holding = || (0..targets.len()).find(|i| allowed[*i] < targets[*i].refused_count());
        wait_until(harness, || requests.all_ended() || holding().is_some()).await;
        let Some(i) = holding() else { break };
        for (other, target) in targets.iter().enumerate() {
            target.set_slowdown_percent(if other == i { USUAL_PERCENT } else { SLOW_PERCENT });
        }
        let progress = || (requests.settled(harness), refused_count(harness));
        let before = progress();
        allowed[i] += 1;
        targets[i].allow_refusals(allowed[i]);
        wait_until(harness, || requests.all_ended() || progress() != before).await;
    }
    targets.iter().for_each(|t| t.set_slowdown_percent(USUAL_PERCENT));
}

/// Plays a form. Returns what was wrong: requests that were refused with a promise and ran, that ran twice or that were
/// not served, also of those sent to all hosts afterwards.
async fn play(form: Form) -> Vec<String> {
    let harness = start_harness(&form).await;
    let former: Vec<String> = harness.targets.iter().map(|t| t.id()).collect();
    for (i, target) in harness.targets.iter().enumerate() {
        target.allow_refusals(0);
        harness.target_links[i].reset();
        if form.change == Change::OnOpenConnections {
            target.set_refusals(form.refusals.with_all_requests());
        } else {
            harness.start_again_as(i, &format!("{}-new", former[i]));
            target.set_refusals(form.refusals);
        }
        wait_until(&harness, || target.connection_count() == 0).await;
    }
    let count = form.targets * REQUESTS_PER_TARGET;
    let requests = Requests::send(&harness, count);
    wait_until(&harness, || {
        assert!(requests.ended.lock().unwrap().is_empty(), "a request ended before its refusal");
        refused_count(&harness) == count as u32
    })
    .await;
    for (i, target) in harness.targets.iter().enumerate() {
        if form.change == Change::OnOpenConnections {
            target.set_id(&format!("{}-new", former[i]));
            target.set_refusals(form.refusals);
        }
        harness.register(i);
        if !form.keeps_former {
            harness.unregister(&former[i]);
        }
    }
    await_targets(&harness).await;
    release_refusals(&harness, &requests).await;
    let mut faults = Vec::new();
    for n in 0..usize::from(form.hosts) * LATER_REQUESTS {
        let host = n % usize::from(form.hosts);
        let outcome = send(&harness, host, &format!("later-{n}"), false).await;
        if outcome != SERVED {
            faults.push(format!("later-{n}: {outcome:?} by host {host}"));
        }
    }
    let ids = requests.ids.clone();
    let mut outcomes = Vec::new();
    for task in requests.tasks {
        outcomes.push(task.await.unwrap());
    }
    tokio::time::sleep(WORK_TIME).await;
    for (id, outcome) in ids.iter().zip(outcomes) {
        let targets = harness.run_counts.targets(id);
        if outcome != SERVED || targets.len() != 1 {
            faults.push(format!("{id}: {outcome:?}, ran at {targets:?}"));
        }
    }
    faults.extend(harness.process_failures());
    if !faults.is_empty() {
        let copies: u32 = harness.targets.iter().map(|t| t.copy_count()).sum();
        let of = format!("{count} requests, {} hosts, {} targets", form.hosts, form.targets);
        faults.insert(0, format!("{} faults; {of}, {copies} copies:", faults.len()));
    }
    faults
}

/// Plays forms concurrently and checks that nothing was wrong in any of them.
async fn assert_kept<const N: usize>(forms: [Form; N]) {
    let mut faults = Vec::new();
    for form in forms.map(|form| tokio::spawn(play(form))) {
        faults.extend(form.await.unwrap());
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against requests that are not sent again after refusals, and so aren't served, also without copies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_without_copy_is_retried() {
    let refusals = Refusals::default();
    assert_kept([
        Form::new(1, refusals),
        Form::new(2, refusals).with_hosts(3),
        Form::new(3, refusals).with_targets(3),
        Form::new(4, refusals).with_former_entries(),
        Form::new(5, refusals).with_former_entries().with_targets(3),
        Form::new(6, refusals.with_declaration_only()),
        Form::new(7, refusals).on_open_connections(),
    ])
    .await;
}

/// Guards against the copy of a refusal that is taken for the response to the second attempt (REFUSED).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_when_sent_again_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::ZERO);
    assert_kept([Form::new(8, refusals), Form::new(9, refusals).with_hosts(3)]).await;
}

/// Guards against the same with a copy that comes shortly after the second attempt has arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_shortly_after_sent_again_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::from_millis(5));
    assert_kept([Form::new(10, refusals), Form::new(11, refusals).with_hosts(3)]).await;
}

/// Guards against the same with a copy that comes while the target has been at work for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_long_after_sent_again_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::from_millis(150));
    assert_kept([Form::new(12, refusals), Form::new(13, refusals).with_hosts(3)]).await;
}

/// Guards against the same with a copy that comes in two parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_in_two_parts_is_no_promise() {
    let copy = RefusalCopy::new(CopyTrigger::SameRequest).in_two_parts(Duration::from_millis(20));
    let refusals = Refusals::default().with_copy(copy);
    assert_kept([Form::new(14, refusals), Form::new(15, refusals).with_hosts(3)]).await;
}

/// Guards against the same with refusals that don't come at once when the hosts know the new target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_delayed_and_copied_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::ZERO).with_delay(Duration::from_millis(60));
    assert_kept([Form::new(16, refusals), Form::new(17, refusals).with_hosts(3)]).await;
}

/// Guards against the same with refusals that don't name their target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_without_target_id_copied_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::ZERO).without_target_id();
    assert_kept([Form::new(18, refusals), Form::new(19, refusals).with_hosts(3)]).await;
}

/// Guards against requests that run at two targets, because the copy is taken for another refusal (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_of_three_targets_copied_run_requests_once() {
    let form = |net, delay| Form::new(net, copied_when_sent_again(delay)).with_targets(3);
    let late = Duration::from_millis(150);
    assert_kept([form(20, Duration::ZERO), form(21, late), form(39, late).with_hosts(3)]).await;
}

/// Guards against a broken promise while two entries are registered for the one address (REFUSED).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_beside_former_entry_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::ZERO);
    let form = |net| Form::new(net, refusals).with_former_entries();
    assert_kept([form(22), form(23).with_hosts(3)]).await;
}

/// Guards against requests that run twice while two entries are registered for each address (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_copied_beside_former_entries_run_requests_once() {
    let form = |net, delay| {
        Form::new(net, copied_when_sent_again(delay)).with_former_entries().with_targets(3)
    };
    let late = Duration::from_millis(150);
    assert_kept([form(24, Duration::ZERO), form(25, late), form(40, late).with_hosts(3)]).await;
}

/// Guards against a broken promise if the refusal is a 503 with the declaration in place of a 421 (REFUSED).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_declared_and_copied_is_no_promise() {
    let refusals = copied_when_sent_again(Duration::ZERO);
    let declared = refusals.with_declaration_only();
    assert_kept([
        Form::new(26, refusals).on_open_connections(),
        Form::new(27, refusals).on_open_connections().with_hosts(3),
        Form::new(28, declared),
        Form::new(29, declared).with_hosts(3),
    ])
    .await;
}

/// Guards against requests that are not served because a copy comes where the response to a probe is due.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_before_probe_response_is_retried() {
    let refusals = Refusals::default().with_copy(RefusalCopy::new(CopyTrigger::Probe));
    let unnamed = refusals.without_target_id();
    assert_kept([
        Form::new(30, refusals),
        Form::new(31, refusals).with_hosts(3),
        Form::new(32, refusals).with_targets(3),
        Form::new(33, unnamed),
        Form::new(34, unnamed).with_targets(3),
        Form::new(35, refusals).on_open_connections(),
    ])
    .await;
}

/// Guards against refusals that are taken for the responses to other requests on the same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_for_other_request_is_no_promise() {
    let copying = Refusals::default().with_copy(RefusalCopy::new(CopyTrigger::OtherRequest));
    let harness = start_harness(&Form::new(36, copying).with_targets(3)).await;
    let mut ended = Vec::new();
    for round in 0..ROUNDS {
        for (i, target) in harness.targets.iter().enumerate() {
            let is_refusing = i == round % harness.targets.len();
            target.set_refusals(if is_refusing { copying.with_all_requests() } else { copying });
        }
        let send_one = |n| {
            let (harness, id) = (harness.clone(), format!("other-{round}-{n}"));
            tokio::spawn(async move { (send(&harness, 0, &id, false).await, id) })
        };
        let tasks: Vec<_> = (0..REQUESTS_PER_ROUND).map(send_one).collect();
        for task in tasks {
            ended.push(task.await.unwrap());
        }
    }
    tokio::time::sleep(WORK_TIME).await;
    let is_broken = |outcome: &Outcome, runs: u32| runs > u32::from(!is_promise(outcome));
    ended.retain(|(outcome, id)| is_broken(outcome, harness.run_counts.runs(id)));
    assert_eq!(ended, [], "refused and ran, or ran twice");
    assert_eq!(harness.process_failures(), Vec::<String>::new());
}

/// Guards against the copy of a refusal that is taken for the response to the same request when its caller, which was
/// told of the refusal, sends it again under the same id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_copied_when_caller_repeats_id_is_no_promise() {
    for (net, refusals) in [(37, Refusals::default()), (38, copied_when_sent_again(Duration::ZERO))]
    {
        let harness = start_harness(&Form::new(net, refusals)).await;
        let target = &harness.targets[0];
        target.set_refusals(refusals.with_all_requests());
        let refused = send(&harness, 0, "again", false).await;
        assert!(is_promise(&refused), "{refused:?}");
        assert_eq!(harness.run_counts.runs("again"), 0);
        target.set_refusals(refusals);
        let outcome = send(&harness, 0, "again", false).await;
        tokio::time::sleep(WORK_TIME).await;
        let runs = harness.run_counts.runs("again");
        assert_eq!((outcome, runs), (SERVED, 1), "{refusals:?}");
    }
}
