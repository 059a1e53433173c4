//! Faults that a seed decides.

use crate::world::World;
use geraniummux_standin::link::Disturbance;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A host stands still for a while.
    Pause(usize, Duration),
    /// A host is killed and starts again.
    Kill(usize, Duration),
    /// A host is stopped gracefully and starts again.
    Stop(usize),
    /// A host reads its settings again.
    Reload(usize),
    /// A target works much longer.
    Slow(usize, Duration),
    /// The way to a target is disturbed.
    TargetLink(usize, Disturbance, Duration),
    /// All connections to a target are reset.
    TargetReset(usize),
    /// A target leaves and comes back.
    Leave(usize, Duration),
    /// The way from a host to the store is disturbed.
    StoreLink(usize, Disturbance, Duration),
    /// The store refuses all calls.
    StoreRefuses(Duration),
    /// The store forgets its history.
    StoreCompacts,
    /// The operator changes the configuration.
    Configure,
}

/// Draws a fault.
pub fn draw(rng: &mut StdRng, hosts: usize, targets: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    let span = Duration::from_millis(rng.random_range(200..2_500));
    let disturbance = match rng.random_range(0..4) {
        0 => Disturbance::Delay(Duration::from_millis(rng.random_range(5..300))),
        1 => Disturbance::CutAnswers,
        2 => Disturbance::SilenceOpen,
        _ => Disturbance::Cut,
    };
    match rng.random_range(0..13) {
        0 => Fault::Pause(host, span),
        1 => Fault::Kill(host, span / 4),
        2 | 3 => Fault::Stop(host),
        4 => Fault::Reload(host),
        5 => Fault::Slow(target, span),
        6 => Fault::TargetLink(target, disturbance, span),
        7 => Fault::TargetReset(target),
        8 => Fault::Leave(target, span + Duration::from_secs(3)),
        9 => Fault::StoreLink(host, disturbance, span),
        10 => Fault::StoreRefuses(span),
        11 => Fault::StoreCompacts,
        _ => Fault::Configure,
    }
}

/// Injects a fault and takes it back.
pub async fn inject(world: Arc<World>, fault: Fault) {
    match fault {
        Fault::Pause(i, span) => {
            let _harm = world.harm();
            if world.signal(i, Signal::SIGSTOP) {
                tokio::time::sleep(span).await;
                world.signal(i, Signal::SIGCONT);
            }
        }
        Fault::Kill(i, pause) => {
            let _harm = world.harm();
            world.signal(i, Signal::SIGKILL);
            world.restart(i, pause).await;
        }
        Fault::Stop(i) => {
            let stopping = world.stopping(i);
            world.signal(i, Signal::SIGTERM);
            world.restart(i, Duration::from_millis(200)).await;
            drop(stopping);
        }
        Fault::Reload(i) => {
            world.signal(i, Signal::SIGHUP);
        }
        Fault::Slow(i, span) => {
            let _harm = world.harm();
            world.targets[i].set_work(400);
            tokio::time::sleep(span).await;
            world.targets[i].set_work(crate::world::WORK_MS);
        }
        Fault::TargetLink(i, disturbance, span) => {
            let _harm = world.harm();
            world.target_links[i].disturb(disturbance);
            tokio::time::sleep(span).await;
            world.target_links[i].disturb(Disturbance::None);
        }
        Fault::TargetReset(i) => {
            let _harm = world.harm();
            world.target_links[i].reset();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Fault::Leave(i, span) => world.leave(i, span).await,
        Fault::StoreLink(i, disturbance, span) => {
            let _harm = world.harm();
            world.store_links[i].disturb(disturbance);
            tokio::time::sleep(span).await;
            world.store_links[i].disturb(Disturbance::None);
        }
        Fault::StoreRefuses(span) => {
            let _harm = world.harm();
            world.store.refuse(Some(503));
            tokio::time::sleep(span).await;
            world.store.refuse(None);
        }
        Fault::StoreCompacts => world.store.compact(),
        Fault::Configure => world.configure(),
    }
}
