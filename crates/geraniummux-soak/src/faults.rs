//! Faults that are drawn from the seed of a run, and their injection.

use crate::harness::Harness;
use crate::hosts::SEEDS;
use geraniummux_standin::link::LinkFault;
use geraniummux_standin::registered_target::{CopyTrigger, Demand, RefusalCopy, Refusals};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Service times while hosts restart beside a frozen one, in milliseconds.
const SLOW_SERVICE_MS: std::ops::Range<u64> = 200..900;
/// Slowdowns that targets report, in percent.
const USUAL_PERCENT: u32 = 100;
const SLOW_PERCENT: u32 = 1_500;

/// A fault, with the index of the host or target that it affects and how long it lasts.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Suspends a host process with SIGSTOP.
    Pause(usize, Duration),
    /// Kills a host process with SIGKILL and starts it again after the given pause.
    Kill(usize, Duration),
    /// Stops a host process with SIGTERM and starts it again.
    Stop(usize),
    /// Makes a host process reload its settings with SIGHUP.
    Reload(usize),
    /// Raises the service time of a target.
    Slow(usize, Duration),
    /// Applies a link fault between the hosts and a target.
    TargetLink(usize, LinkFault, Duration),
    /// Closes all connections to a target.
    TargetReset(usize),
    /// Registers a target as leaving, and as ready again afterwards.
    Leave(usize, Duration),
    /// Applies a link fault between a host and the store.
    StoreLink(usize, LinkFault, Duration),
    /// Makes the store refuse all calls.
    StoreRefuses(Duration),
    /// Makes the store discard the history that its watches read.
    StoreCompacts,
    /// Publishes a new version of the configuration.
    Configure,
}

/// Draws the next fault for the given numbers of hosts and targets.
pub fn draw(rng: &mut StdRng, hosts: usize, targets: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    let span = Duration::from_millis(rng.random_range(200..2_500));
    let link_fault = match rng.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(5..300))),
        1 => LinkFault::HoldResponses,
        2 => LinkFault::StallOpen,
        _ => LinkFault::HoldAll,
    };
    match rng.random_range(0..13) {
        0 => Fault::Pause(host, span),
        1 => Fault::Kill(host, span / 4),
        2 | 3 => Fault::Stop(host),
        4 => Fault::Reload(host),
        5 => Fault::Slow(target, span),
        6 => Fault::TargetLink(target, link_fault, span),
        7 => Fault::TargetReset(target),
        8 => Fault::Leave(target, span + Duration::from_secs(3)),
        9 => Fault::StoreLink(host, link_fault, span),
        10 => Fault::StoreRefuses(span),
        11 => Fault::StoreCompacts,
        _ => Fault::Configure,
    }
}

/// Lets targets demand something in their responses, one after another, until the run is over. What they
/// demand is drawn from generators of its own, so that the other faults of a seed stay the same.
pub async fn make_demands(harness: Arc<Harness>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    while !harness.is_over() {
        let i = rng.random_range(0..harness.targets.len());
        harness.targets[i].set_demand(match rng.random_range(0..4) {
            0 => Demand::Limit(rng.random_range(0.0..20.0)),
            1 => Demand::Leaving,
            2 => Demand::Pause(rng.random_range(0.1..2.0)),
            _ => Demand::RepeatedRefusal,
        });
        let span = rng.random_range(100..1_500);
        tokio::time::sleep(Duration::from_millis(span)).await;
        harness.targets[i].restart();
        harness.register(i);
    }
}

/// Lets targets refuse requests, write refusals once more and start again at their addresses under other ids, in
/// series and overlapping, until the run is over. The entries of former ids are removed with the new entry or
/// later, again if the store brings them back. What happens is drawn from a generator of its own, so that the
/// other faults of a seed stay the same. Returns what was injected, in order.
pub async fn refuse_requests(harness: Arc<Harness>, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(24));
    let mut injected = Vec::new();
    let mut ids: Vec<Vec<String>> = harness.targets.iter().map(|t| vec![t.id()]).collect();
    let mut former: Vec<(String, Instant)> = Vec::new();
    let mut tasks = JoinSet::new();
    while !harness.is_over() {
        let i = rng.random_range(0..harness.targets.len());
        let mut ms = |range| Duration::from_millis(rng.random_range(range));
        let (span, entry_delay, stay, pause) =
            (ms(200..2_500), ms(0..400), ms(0..4_000), ms(50..700));
        let refusals = draw_refusals(&mut rng);
        let (kind, keeps_former) = (rng.random_range(0..4), rng.random_bool(0.5));
        let returns = rng.random_bool(0.25);
        let earlier = rng.random_range(0..ids[i].len());
        if kind == 0 {
            injected.push(format!("target {i} refuses for {span:?}: {refusals:?}"));
            tasks.spawn(refuse_all(harness.clone(), i, refusals.with_all_requests(), span));
        } else {
            let id = if returns {
                ids[i][earlier].clone()
            } else {
                let id = format!("t-{i}-{}", ids[i].len());
                ids[i].push(id.clone());
                id
            };
            let stay = if keeps_former { stay } else { Duration::ZERO };
            injected.push(format!(
                "target {i} is {id}, registered after {entry_delay:?}, former entry {stay:?} longer: {refusals:?}"
            ));
            harness.targets[i].set_refusals(refusals);
            former.push((harness.targets[i].id(), Instant::now() + entry_delay + stay));
            tasks.spawn(replace(harness.clone(), i, id, entry_delay, keeps_former));
        }
        tokio::time::sleep(pause).await;
        for (id, _) in former.iter().filter(|(_, end)| *end <= Instant::now()) {
            if harness.targets.iter().all(|t| t.id() != *id) {
                harness.unregister(id);
            }
        }
    }
    while tasks.join_next().await.is_some() {}
    harness.targets.iter().for_each(|t| t.set_refusals(Refusals::default()));
    injected
}

/// Draws how a target refuses requests and when it writes refusals once more.
fn draw_refusals(rng: &mut StdRng) -> Refusals {
    let mut ms = |range| Duration::from_millis(rng.random_range(range));
    let (refusal_delay, copy_delay, pause) = (ms(20..400), ms(1..200), ms(2..40));
    let trigger = match rng.random_range(0..8) {
        0 => CopyTrigger::Refusal,
        1 => CopyTrigger::Probe,
        2 => CopyTrigger::OtherRequest,
        3 => CopyTrigger::Any,
        _ => CopyTrigger::SameRequest,
    };
    let mut copy = RefusalCopy::new(trigger);
    if rng.random_bool(0.6) {
        copy = copy.with_delay(copy_delay);
    }
    if rng.random_bool(0.3) {
        copy = copy.in_two_parts(pause);
    }
    let mut refusals = Refusals::default();
    if rng.random_bool(0.9) {
        refusals = refusals.with_copy(copy);
    }
    if rng.random_bool(0.7) {
        refusals = refusals.with_delay(refusal_delay);
    }
    if rng.random_bool(0.3) {
        refusals = refusals.with_declaration_only();
    }
    if rng.random_bool(0.3) {
        refusals = refusals.without_target_id();
    }
    refusals
}

async fn refuse_all(harness: Arc<Harness>, i: usize, refusals: Refusals, span: Duration) {
    harness.targets[i].set_refusals(refusals);
    tokio::time::sleep(span).await;
    harness.targets[i].set_refusals(refusals.without_all_requests());
}

async fn replace(harness: Arc<Harness>, i: usize, id: String, delay: Duration, keeps: bool) {
    let _disruption = harness.begin_disruption();
    harness.replace(i, &id, delay, keeps).await;
}

/// Restores the store from copies, one after another, until the run is over. What was written since a copy is
/// written again shortly after, as the operator and the targets do. The times are drawn from generators of
/// their own, so that the other faults of a seed stay the same.
pub async fn restore_store(harness: Arc<Harness>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut pause = |range| Duration::from_millis(rng.random_range(range));
    while !harness.is_over() {
        let backup = harness.store.backup();
        tokio::time::sleep(pause(300..4_000)).await;
        let disruption = harness.begin_disruption();
        harness.store.set_refusal(Some(503));
        tokio::time::sleep(pause(0..1_500)).await;
        harness.store.restore(&backup);
        harness.store.set_refusal(None);
        tokio::time::sleep(pause(0..800)).await;
        harness.republish_config();
        for i in 0..harness.targets.len() {
            tokio::time::sleep(pause(0..200)).await;
            harness.register(i);
        }
        drop(disruption);
        tokio::time::sleep(pause(0..3_000)).await;
    }
}

/// Restarts one host twice or more until `end`, the first time before another host, often the scheduler of the pool, is
/// frozen, and then while it is. The processes live about as long, so that they have sent about as many requests.
/// When the frozen host goes on, requests are under way at targets of which half report that they have
/// become slow. What happens is drawn from a generator of its own, so that the other faults of a seed stay the same.
pub async fn restart_beside_frozen(harness: Arc<Harness>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let hosts = harness.request_addrs().len();
    while Instant::now() < end {
        let scheduler = harness.last_scheduler().filter(|_| rng.random_bool(0.7));
        let frozen = scheduler.unwrap_or_else(|| rng.random_range(0..hosts));
        let restarted = (frozen + rng.random_range(1..hosts)) % hosts;
        let life = rng.random_range(1_300..2_500);
        let disruption = harness.begin_disruption();
        harness.set_service_ms(rng.random_range(SLOW_SERVICE_MS));
        kill_and_restart(&harness, restarted).await;
        tokio::time::sleep(Duration::from_millis(life)).await;
        harness.signal(frozen, Signal::SIGSTOP);
        for _ in 0..rng.random_range(1..3) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..150))).await;
            kill_and_restart(&harness, restarted).await;
        }
        tokio::time::sleep(Duration::from_millis(life + rng.random_range(0..600))).await;
        harness.signal(frozen, Signal::SIGCONT);
        for _ in 0..rng.random_range(1..5) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
            let slow = rng.random_range(0..2);
            for (i, target) in harness.targets.iter().enumerate() {
                let percent = if i % 2 == slow { SLOW_PERCENT } else { USUAL_PERCENT };
                target.set_slowdown_percent(percent);
            }
        }
        harness.targets.iter().for_each(|t| t.set_slowdown_percent(USUAL_PERCENT));
        harness.set_service_ms(crate::harness::SERVICE_TIME_MS);
        drop(disruption);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_000))).await;
    }
}

/// Kills all hosts again and again until `end`. The seeds return seconds later than the others, which have to find each
/// other meanwhile. What happens is drawn from a generator of its own, so that the other faults of a seed stay the same.
pub async fn lose_seeds(harness: Arc<Harness>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(40));
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..3_000))).await;
        let disruption = harness.begin_disruption();
        let hosts = harness.request_addrs().len();
        let mut restarts = JoinSet::new();
        for i in 0..hosts {
            harness.signal(i, Signal::SIGKILL);
            let is_seed = i < usize::from(SEEDS);
            let away_ms =
                if is_seed { rng.random_range(2_000..6_000) } else { rng.random_range(0..500) };
            let harness = harness.clone();
            restarts.spawn(async move {
                harness.restart(i, Duration::from_millis(away_ms)).await;
            });
        }
        while restarts.join_next().await.is_some() {}
        drop(disruption);
    }
}

async fn kill_and_restart(harness: &Harness, i: usize) {
    harness.signal(i, Signal::SIGKILL);
    harness.restart(i, Duration::ZERO).await;
}

/// Injects a fault, waits until its time is over and clears it.
pub async fn inject(harness: Arc<Harness>, fault: Fault) {
    match fault {
        Fault::Pause(i, span) => {
            let _disruption = harness.begin_disruption();
            if harness.signal(i, Signal::SIGSTOP) {
                tokio::time::sleep(span).await;
                harness.signal(i, Signal::SIGCONT);
            }
        }
        Fault::Kill(i, pause) => {
            let _disruption = harness.begin_disruption();
            harness.signal(i, Signal::SIGKILL);
            harness.restart(i, pause).await;
        }
        Fault::Stop(i) => {
            let stop = harness.begin_graceful_stop(i);
            harness.signal(i, Signal::SIGTERM);
            harness.restart(i, Duration::from_millis(200)).await;
            drop(stop);
        }
        Fault::Reload(i) => {
            harness.signal(i, Signal::SIGHUP);
        }
        Fault::Slow(i, span) => {
            let _disruption = harness.begin_disruption();
            harness.targets[i].set_service_ms(400);
            tokio::time::sleep(span).await;
            harness.targets[i].set_service_ms(crate::harness::SERVICE_TIME_MS);
        }
        Fault::TargetLink(i, link_fault, span) => {
            let _disruption = harness.begin_disruption();
            harness.target_links[i].set_fault(link_fault);
            tokio::time::sleep(span).await;
            harness.target_links[i].set_fault(LinkFault::None);
        }
        Fault::TargetReset(i) => {
            let _disruption = harness.begin_disruption();
            harness.target_links[i].reset();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Fault::Leave(i, span) => harness.leave_and_return(i, span).await,
        Fault::StoreLink(i, link_fault, span) => {
            let _disruption = harness.begin_disruption();
            harness.store_links[i].set_fault(link_fault);
            tokio::time::sleep(span).await;
            harness.store_links[i].set_fault(LinkFault::None);
        }
        Fault::StoreRefuses(span) => {
            let _disruption = harness.begin_disruption();
            harness.store.set_refusal(Some(503));
            tokio::time::sleep(span).await;
            harness.store.set_refusal(None);
        }
        Fault::StoreCompacts => harness.store.compact(),
        Fault::Configure => harness.publish_config(),
    }
}
