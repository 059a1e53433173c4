//! Carries out the platform calls of claims, which may go on after their request has ended.

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

/// What a request tells its claim.
#[derive(Debug)]
enum Command {
    Finish { outcome: Outcome, answer: Option<StoredResponse> },
    Undelivered,
    ReplayDelivered,
}

/// What a claim tells its request.
#[derive(Debug)]
pub enum ClaimEvent {
    /// The request may run.
    Granted,
    /// Another request with the key is running.
    Waiting,
    /// The request was answered before.
    Replay(StoredResponse),
    /// The request doesn't run.
    Refused {
        /// The outcome to tell.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// The response may go out.
    Settled,
}

/// The request's end of a claim.
#[derive(Debug)]
pub struct ClaimHandle {
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::UnboundedReceiver<ClaimEvent>,
}

impl ClaimHandle {
    /// Starts to acquire the claim. `tenant` and `class` are what a delivered replay counts for.
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

    /// Passes the outcome of the request.
    pub fn finish(&self, outcome: Outcome, answer: Option<StoredResponse>) {
        self.tell(Command::Finish { outcome, answer });
    }

    /// Marks the stored answer undelivered.
    pub fn undelivered(&self) {
        self.tell(Command::Undelivered);
    }

    /// Reports that the replayed answer was delivered, which counts once.
    pub fn replay_delivered(&self) {
        self.tell(Command::ReplayDelivered);
    }

    fn tell(&self, command: Command) {
        // A claim that has ended has nothing left to decide.
        let _ = self.commands.send(command);
    }
}

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
        let mut sleep: Option<Time> = None;
        // The state has at most one call outstanding. Commands are taken while it lasts.
        let mut call: Option<BoxFuture<'static, CallResult>> = None;
        let mut todo = self.state.start(clock.now(), clock.wall());
        let mut open = true;
        loop {
            for action in todo.drain(..) {
                match action {
                    ClaimAction::StartTimer { at } => sleep = Some(at),
                    action => call = self.perform(action).or(call),
                }
            }
            if !open && call.is_none() && (self.state.is_done() || sleep.is_none()) {
                return;
            }
            todo = tokio::select! {
                command = commands.recv(), if open => match command {
                    Some(command) => self.on_command(clock.now(), command),
                    None => {
                        open = false;
                        Vec::new()
                    }
                },
                result = pending_or(call.as_mut()) => {
                    call = None;
                    self.state.on_result(clock.now(), clock.wall(), result)
                }
                () = sleep_until(clock.now(), sleep), if sleep.is_some() => {
                    sleep = None;
                    self.state.on_timer(clock.now(), clock.wall())
                }
            };
        }
    }

    fn on_command(&mut self, now: Time, command: Command) -> Vec<ClaimAction> {
        match command {
            Command::Finish { outcome, answer } => self.state.settle(now, outcome, answer),
            Command::Undelivered => self.state.on_delivery_failed(now),
            Command::ReplayDelivered => self.state.on_replay_delivered(now),
        }
    }

    /// Performs an action; returns the call to make if it is one.
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
                Err(e) => failed_write(&e),
            }
        })
    }

    fn delete(&self, version: Version) -> BoxFuture<'static, CallResult> {
        let (shared, key) = (self.shared.clone(), self.key.clone());
        Box::pin(async move {
            match shared.platform.delete(&key, version).await {
                Ok(()) => CallResult::Written { version: 0 },
                Err(e) => failed_write(&e),
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

fn failed_write(e: &Error) -> CallResult {
    match e {
        Error::Conflict => CallResult::Conflict,
        e if e.may_have_written() => CallResult::Indeterminate,
        _ => CallResult::Unavailable,
    }
}

async fn sleep_until(now: Time, at: Option<Time>) {
    tokio::time::sleep(at.map_or(Duration::ZERO, |at| at.since(now))).await;
}

async fn pending_or(call: Option<&mut BoxFuture<'static, CallResult>>) -> CallResult {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
