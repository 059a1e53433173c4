//! Drives the claims of requests with an idempotency key: performs the platform calls that the
//! core's [`ClaimState`] returns.
//!
//! Each claim runs in a task of its own, which may outlive its request.

use crate::shared::Shared;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use geraniummux_core::claim::{
    CLAIM_KIND, CallResult, ClaimAction, ClaimOptions, ClaimState, StoredResponse,
};
use geraniummux_core::{Outcome, Reason, Time};
use geraniummux_platform::{Condition, Error, Key, Platform, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A command from the request to the task of its claim.
#[derive(Debug)]
enum Command {
    Settle { outcome: Outcome, response: Option<StoredResponse> },
    Undelivered,
    ReplayDelivered,
}

/// An event from a claim's task to the request.
#[derive(Debug)]
pub enum ClaimEvent {
    /// The request may run.
    Granted,
    /// Another request with the same key is running.
    Waiting,
    /// A request with the same key was served before; this is its stored response.
    Replay(StoredResponse),
    /// The request must not run.
    Refused {
        /// The outcome to report to the caller.
        outcome: Outcome,
        /// The reason to report to the caller.
        reason: Reason,
    },
    /// The response may be sent to the caller.
    Settled,
}

/// The request's handle of its claim.
#[derive(Debug)]
pub struct ClaimHandle {
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::UnboundedReceiver<ClaimEvent>,
}

impl ClaimHandle {
    /// Starts to acquire the claim. A delivered replay is counted in the usage of `tenant` and
    /// `class`.
    pub fn start(
        shared: Arc<Shared>,
        options: ClaimOptions,
        tenant: Arc<str>,
        class: Arc<str>,
    ) -> Self {
        let (commands, rx) = mpsc::unbounded_channel();
        let (tx, events) = mpsc::unbounded_channel();
        let key = Key::new(CLAIM_KIND, options.name.clone());
        let task = ClaimTask { state: ClaimState::new(options), shared, key, tenant, class, tx };
        tokio::spawn(task.run(rx));
        ClaimHandle { commands, events }
    }

    /// Waits for the next event; pends forever if the claim has ended.
    pub async fn next(&mut self) -> ClaimEvent {
        match self.events.recv().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    /// Settles the claim with the outcome of the request and the response to store.
    pub fn settle(&self, outcome: Outcome, response: Option<StoredResponse>) {
        self.send(Command::Settle { outcome, response });
    }

    /// Marks the stored response as undelivered.
    pub fn mark_undelivered(&self) {
        self.send(Command::Undelivered);
    }

    /// Reports that the replayed response was delivered. All replays together count once in the
    /// usage.
    pub fn replay_delivered(&self) {
        self.send(Command::ReplayDelivered);
    }

    fn send(&self, command: Command) {
        // A claim that has ended needs no further commands.
        let _ = self.commands.send(command);
    }
}

/// The task that drives one claim.
struct ClaimTask {
    state: ClaimState,
    shared: Arc<Shared>,
    key: Key,
    tenant: Arc<str>,
    class: Arc<str>,
    tx: mpsc::UnboundedSender<ClaimEvent>,
}

impl ClaimTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let clock = self.shared.clock;
        let mut wake_at: Option<Time> = None;
        // At most one call is outstanding. Commands are handled while it is.
        let mut call: Option<BoxFuture<'static, CallResult>> = None;
        let mut actions = self.state.start(clock.now(), clock.wall());
        let mut handle_open = true;
        loop {
            for action in actions.drain(..) {
                match action {
                    ClaimAction::StartTimer { at } => wake_at = Some(at),
                    action => call = self.perform(action).or(call),
                }
            }
            if !handle_open && call.is_none() && (self.state.is_done() || wake_at.is_none()) {
                return;
            }
            actions = tokio::select! {
                command = commands.recv(), if handle_open => match command {
                    Some(command) => self.on_command(clock.now(), command),
                    None => {
                        handle_open = false;
                        Vec::new()
                    }
                },
                result = call_result(call.as_mut()) => {
                    call = None;
                    self.state.on_result(clock.now(), clock.wall(), result)
                }
                () = sleep_until(clock.now(), wake_at), if wake_at.is_some() => {
                    wake_at = None;
                    self.state.on_timer(clock.now(), clock.wall())
                }
            };
        }
    }

    fn on_command(&mut self, now: Time, command: Command) -> Vec<ClaimAction> {
        match command {
            Command::Settle { outcome, response } => self.state.settle(now, outcome, response),
            Command::Undelivered => self.state.on_delivery_failed(now),
            Command::ReplayDelivered => self.state.on_replay_delivered(now),
        }
    }

    /// Performs an action. If it is a platform call, returns its future instead.
    fn perform(&self, action: ClaimAction) -> Option<BoxFuture<'static, CallResult>> {
        let event = match action {
            ClaimAction::Create { value } => return Some(self.put(value, Condition::Absent)),
            ClaimAction::Update { value, version } => {
                return Some(self.put(value, Condition::Version(Version(version))));
            }
            ClaimAction::Read => return Some(self.read()),
            ClaimAction::Delete { version } => return Some(self.delete(Version(version))),
            ClaimAction::UsageDecided { counts } => {
                if counts {
                    let clock = &self.shared.clock;
                    self.shared.control.count_served(clock, &self.tenant, &self.class);
                }
                return None;
            }
            ClaimAction::StartTimer { .. } | ClaimAction::Done => return None,
            ClaimAction::Granted => ClaimEvent::Granted,
            ClaimAction::Waiting => ClaimEvent::Waiting,
            ClaimAction::Replay { response } => ClaimEvent::Replay(response),
            ClaimAction::Refused { outcome, reason } => ClaimEvent::Refused { outcome, reason },
            ClaimAction::Settled { .. } => ClaimEvent::Settled,
        };
        // The request may have ended already.
        let _ = self.tx.send(event);
        None
    }

    fn put(&self, value: Vec<u8>, condition: Condition) -> BoxFuture<'static, CallResult> {
        let (shared, key) = (self.shared.clone(), self.key.clone());
        Box::pin(async move {
            match shared.platform.put(&key, Bytes::from(value), condition).await {
                Ok(version) => CallResult::Written { version: version.0 },
                Err(e) => write_failure(&e),
            }
        })
    }

    fn delete(&self, version: Version) -> BoxFuture<'static, CallResult> {
        let (shared, key) = (self.shared.clone(), self.key.clone());
        Box::pin(async move {
            match shared.platform.delete(&key, version).await {
                Ok(()) => CallResult::Written { version: 0 },
                Err(e) => write_failure(&e),
            }
        })
    }

    fn read(&self) -> BoxFuture<'static, CallResult> {
        let (shared, key) = (self.shared.clone(), self.key.clone());
        Box::pin(async move {
            match shared.platform.get(&key).await {
                Ok(Some(o)) => CallResult::Found { version: o.version.0, value: o.value.to_vec() },
                Ok(None) => CallResult::Absent,
                Err(_) => CallResult::Unavailable,
            }
        })
    }
}

fn write_failure(e: &Error) -> CallResult {
    match e {
        Error::Conflict => CallResult::Conflict,
        e if e.may_have_written() => CallResult::Indeterminate,
        _ => CallResult::Unavailable,
    }
}

async fn sleep_until(now: Time, at: Option<Time>) {
    tokio::time::sleep(at.map_or(Duration::ZERO, |at| at.since(now))).await;
}

/// Waits for the outstanding call; pends forever if there is none.
async fn call_result(call: Option<&mut BoxFuture<'static, CallResult>>) -> CallResult {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
