//! Concurrency limits with a bounded admission queue, one for each tenant and one for each pool.
//!
//! The core's [`AdmissionController`] decides; this module lets requests wait for its decision.

use crate::clock::Clock;
use geraniummux_core::admission::{
    AdmissionOptions, AdmissionRequest, Decision, QueueDecision, Ticket,
};
use geraniummux_core::{AdmissionController, Reason, Time};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

struct State {
    admission: AdmissionController,
    next: Ticket,
    waiting: Vec<(Ticket, oneshot::Sender<Result<(), Reason>>)>,
}

/// Bounds the number of requests in flight and queues the requests above the limit.
pub struct ConcurrencyLimit {
    clock: Clock,
    state: Mutex<State>,
}

/// Parameters of a request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionParams {
    /// The tenant.
    pub tenant: Arc<str>,
    /// The request's class within the tenant.
    pub class: Arc<str>,
    /// The request's deadline.
    pub deadline: Time,
}

/// Admission of one request under a [`ConcurrencyLimit`]; released when it is dropped.
pub struct Permit {
    limit: Arc<ConcurrencyLimit>,
    acquired_at: Time,
}

/// A queued request. Dropping it before the decision removes it from the queue.
struct Waiting {
    limit: Arc<ConcurrencyLimit>,
    ticket: Ticket,
    decision: oneshot::Receiver<Result<(), Reason>>,
    decided: bool,
}

impl ConcurrencyLimit {
    /// Returns a limit of `limit` requests in flight, with at most `max_queued` queued requests of
    /// each tenant.
    pub fn new(clock: Clock, limit: u32, max_queued: usize) -> Self {
        let options = AdmissionOptions {
            limit: limit.max(1),
            queue_len: max_queued,
            // One tenant alone fills at most half of the queue.
            max_queued: 2 * max_queued,
            ..AdmissionOptions::default()
        };
        let admission = AdmissionController::new(options);
        let state = State { admission, next: 0, waiting: Vec::new() };
        ConcurrencyLimit { clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes how many requests may be in flight.
    pub fn set_limit(&self, limit: u32) {
        let mut state = self.lock();
        let decisions = state.admission.set_limit(self.clock.now(), limit);
        state.notify(decisions);
    }

    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is shed.
    pub async fn acquire(self: &Arc<Self>, params: &AdmissionParams) -> Result<Permit, Reason> {
        let Some(mut waiting) = self.submit(params)? else {
            return Ok(Permit { limit: self.clone(), acquired_at: self.clock.now() });
        };
        let decision = (&mut waiting.decision).await;
        waiting.decided = true;
        // The sender is kept until there is a decision, so the receiver itself does not fail.
        decision.unwrap_or(Err(Reason::Overloaded))?;
        Ok(Permit { limit: self.clone(), acquired_at: self.clock.now() })
    }

    /// Submits a request to the admission control. Returns `None` if it is admitted at once.
    fn submit(self: &Arc<Self>, params: &AdmissionParams) -> Result<Option<Waiting>, Reason> {
        let mut state = self.lock();
        let ticket = state.next;
        state.next += 1;
        let request = AdmissionRequest {
            ticket,
            tenant: params.tenant.clone(),
            class: params.class.clone(),
            deadline: params.deadline,
        };
        match state.admission.submit(self.clock.now(), request) {
            Decision::Admitted => Ok(None),
            Decision::Refused(reason) => Err(reason),
            Decision::Queued => {
                let (tx, decision) = oneshot::channel();
                state.waiting.push((ticket, tx));
                Ok(Some(Waiting { limit: self.clone(), ticket, decision, decided: false }))
            }
        }
    }

    /// Returns the numbers of admitted and of queued requests.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.queued())
    }
}

impl State {
    /// Passes decisions to the requests that wait for them.
    fn notify(&mut self, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            let (ticket, result) = match decision {
                QueueDecision::Admitted(ticket) => (ticket, Ok(())),
                QueueDecision::Refused(ticket, reason) => (ticket, Err(reason)),
            };
            if let Some(i) = self.waiting.iter().position(|(t, _)| *t == ticket) {
                // If the request no longer waits, `Waiting::drop` releases its admission.
                let _ = self.waiting.swap_remove(i).1.send(result);
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut state = self.limit.lock();
        state.waiting.retain(|(t, _)| *t != self.ticket);
        let admitted = matches!(self.decision.try_recv(), Ok(Ok(())));
        if admitted {
            // The request was admitted but will not run.
            let decisions = state.admission.release(self.limit.clock.now(), Duration::ZERO);
            state.notify(decisions);
        } else {
            state.admission.cancel(self.ticket);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.limit.clock.now();
        let mut state = self.limit.lock();
        let decisions = state.admission.release(now, now.since(self.acquired_at));
        state.notify(decisions);
    }
}
