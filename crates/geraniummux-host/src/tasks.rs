//! The long-lived tasks of a host. One that ends, by a panic or by itself, is logged, counted and started again; the
//! host is not ready meanwhile.

use crate::host::{Host, Phase};
use futures_util::FutureExt;
use geraniummux_core::Time;
use slog::error;
use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Delay before a task that has ended is started again; it doubles with each further end.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Longest such delay.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Time without an end after which the delay is short again.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// Runs a task that has to run as long as the host serves. Aborting the handle ends it.
///
/// The state that the tasks share is protected by locks that survive a panic, so that a task continues with what
/// the one before has left.
pub fn spawn<F, T>(host: &Arc<Host>, name: &'static str, task: F) -> JoinHandle<()>
where
    F: Fn(Arc<Host>) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let host = host.clone();
    tokio::spawn(async move {
        let mut delay = MIN_RESTART_DELAY;
        loop {
            let started: Time = host.now();
            let ended = AssertUnwindSafe(task(host.clone())).catch_unwind().await;
            if host.phase() >= Phase::Draining && ended.is_ok() {
                return;
            }
            if host.now().since(started) >= STABLE_AFTER {
                delay = MIN_RESTART_DELAY;
            }
            let cause = ended.map_or_else(|panic| panic_message(&*panic), |()| "returned".into());
            host.metrics.task_ended(name);
            error!(host.log, "task_ended"; "task" => name, "cause" => cause,
                "restart_after_ms" => delay.as_millis() as u64);
            let _unready = host.mark_task_down();
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    })
}

/// Returns the text of a panic.
pub fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}
