//! Signals that a host handles.

use anyhow::Context;
use nix::sys::signal::SigSet;
use tokio::signal::unix::{Signal as Stream, SignalKind, signal};

/// Blocks SIGTERM and SIGHUP in this thread until [`Signals::handle`] is called, so that a signal that
/// arrives before does not end the process. To be called first, before there are other threads.
///
/// # Errors
///
/// Fails if the system does not allow it.
pub fn block() -> anyhow::Result<()> {
    handled().thread_block().context("blocking signals")
}

fn handled() -> SigSet {
    let mut signals = SigSet::empty();
    signals.add(nix::sys::signal::Signal::SIGTERM);
    signals.add(nix::sys::signal::Signal::SIGHUP);
    signals
}

/// The signals that a host handles.
pub(crate) struct Signals {
    pub(crate) stop: Stream,
    pub(crate) reload: Stream,
}

impl Signals {
    /// Installs the handlers, and lets the signals through that have been blocked.
    pub(crate) fn handle() -> anyhow::Result<Self> {
        let stop = signal(SignalKind::terminate()).context("handling SIGTERM")?;
        let reload = signal(SignalKind::hangup()).context("handling SIGHUP")?;
        handled().thread_unblock().context("unblocking signals")?;
        Ok(Signals { stop, reload })
    }
}
