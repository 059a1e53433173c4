//! Stops a host gracefully: callers move to other hosts, then the requests in flight finish. A request
//! whose deadline is after the exit is not sent to a target, since it might be cut; another host can serve it.

use crate::host::{Host, Phase};
use crate::peers;
use geraniummux_core::Time;
use slog::info;
use std::sync::Arc;
use std::time::Duration;

/// Time before the end of the grace period by which the process exits at the latest.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the exit at which the requests still in flight are answered, so that their callers get a
/// response instead of a closed connection.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Share of the grace period in which callers are still served while they move to other hosts. The
/// rest suffices to finish the requests that were accepted until then.
const SERVE_SHARE_OF_GRACE: f64 = 0.45;
/// Interval at which the host checks whether callers are still connected.
const CALLERS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The stop of a host that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    started: Time,
    grace: Duration,
}

impl Stop {
    /// Takes a host out of service. The process is killed after `grace`.
    pub fn begin(host: &Arc<Host>, grace: Duration) -> Self {
        info!(host.log, "stopping"; "callers" => host.caller_count(),
            "grace_ms" => grace.as_millis() as u64);
        let stop = Stop { started: host.now(), grace };
        host.set_finish_by(stop.exit_at() - RESPONSE_MARGIN);
        host.enter_phase(Phase::Leaving);
        peers::leave(host);
        stop
    }

    fn exit_at(&self) -> Time {
        self.started + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Waits while callers move to other hosts and are still served.
    pub async fn until_callers_have_moved(&self) {
        tokio::time::sleep(self.grace.mul_f64(SERVE_SHARE_OF_GRACE)).await;
    }

    /// Finishes the requests in flight; returns when the process may exit.
    pub async fn drain(&self, host: &Arc<Host>) {
        host.enter_phase(Phase::Draining);
        until_callers_gone(host, self.exit_at() - RESPONSE_MARGIN).await;
        let unfinished = host.caller_count();
        host.enter_phase(Phase::Exiting);
        until_callers_gone(host, self.exit_at()).await;
        info!(host.log, "stopped"; "callers" => host.caller_count(), "unfinished" => unfinished,
            "took_ms" => host.now().since(self.started).as_millis() as u64);
    }
}

async fn until_callers_gone(host: &Host, at_most_until: Time) {
    while host.caller_count() > 0 && host.now() < at_most_until {
        tokio::time::sleep(CALLERS_CHECK_INTERVAL).await;
    }
}

/// Returns whether a request that is due at `deadline` ends before the host exits, however long its target takes.
pub fn ends_before_exit(host: &Host, deadline: Time) -> bool {
    host.finish_by().is_none_or(|at| deadline <= at)
}
