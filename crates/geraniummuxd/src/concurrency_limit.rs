//! Waiting for admission: one gate for each tenant and one for each pool.

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

/// A bounded number of requests under way, and a bounded queue before it.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

/// Who asks for admission.
#[derive(Clone, Debug)]
pub struct Applicant {
    /// The tenant.
    pub tenant: Arc<str>,
    /// The class within the tenant.
    pub class: Arc<str>,
    /// The request's deadline.
    pub deadline: Time,
}

/// A place behind a gate; given back when it is dropped.
pub struct Permit {
    gate: Arc<Gate>,
    since: Time,
}

/// Leaves the queue if the request stops waiting.
struct Waiting {
    gate: Arc<Gate>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Result<(), Reason>>,
    settled: bool,
}

impl Gate {
    /// Returns a gate for `limit` requests under way and `max_queued` waiting ones of each tenant.
    pub fn new(clock: Clock, limit: u32, max_queued: usize) -> Self {
        let options = AdmissionOptions {
            limit: limit.max(1),
            queue_len: max_queued,
            // A tenant may wait in at most half of all places.
            max_queued: 2 * max_queued,
            ..AdmissionOptions::default()
        };
        let admission = AdmissionController::new(options);
        let state = State { admission, next: 0, waiting: Vec::new() };
        Gate { clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes how many requests may be under way.
    pub fn set_limit(&self, limit: u32) {
        let mut state = self.lock();
        let verdicts = state.admission.set_limit(self.clock.now(), limit);
        state.tell(verdicts);
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// Returns why the request is shed.
    pub async fn enter(self: &Arc<Self>, applicant: &Applicant) -> Result<Permit, Reason> {
        let Some(mut waiting) = self.offer(applicant)? else {
            return Ok(Permit { gate: self.clone(), since: self.clock.now() });
        };
        let verdict = (&mut waiting.verdict).await;
        waiting.settled = true;
        // The sender is kept until there is a verdict, so the second case does not occur.
        verdict.unwrap_or(Err(Reason::Overloaded))?;
        Ok(Permit { gate: self.clone(), since: self.clock.now() })
    }

    /// Returns `None` if the request is admitted at once.
    fn offer(self: &Arc<Self>, applicant: &Applicant) -> Result<Option<Waiting>, Reason> {
        let mut state = self.lock();
        let ticket = state.next;
        state.next += 1;
        let offer = AdmissionRequest {
            ticket,
            tenant: applicant.tenant.clone(),
            class: applicant.class.clone(),
            deadline: applicant.deadline,
        };
        match state.admission.submit(self.clock.now(), offer) {
            Decision::Admitted => Ok(None),
            Decision::Refused(reason) => Err(reason),
            Decision::Queued => {
                let (tx, verdict) = oneshot::channel();
                state.waiting.push((ticket, tx));
                Ok(Some(Waiting { gate: self.clone(), ticket, verdict, settled: false }))
            }
        }
    }

    /// Returns how many requests have a place and how many wait.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.queued())
    }
}

impl State {
    fn tell(&mut self, verdicts: Vec<QueueDecision>) {
        for verdict in verdicts {
            let (ticket, result) = match verdict {
                QueueDecision::Admitted(ticket) => (ticket, Ok(())),
                QueueDecision::Refused(ticket, reason) => (ticket, Err(reason)),
            };
            if let Some(i) = self.waiting.iter().position(|(t, _)| *t == ticket) {
                // A receiver that is gone gives its place back in `Waiting::drop`.
                let _ = self.waiting.swap_remove(i).1.send(result);
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.gate.lock();
        state.waiting.retain(|(t, _)| *t != self.ticket);
        let admitted = matches!(self.verdict.try_recv(), Ok(Ok(())));
        if admitted {
            // The place was given but never used.
            let verdicts = state.admission.release(self.gate.clock.now(), Duration::ZERO);
            state.tell(verdicts);
        } else {
            state.admission.cancel(self.ticket);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        let verdicts = state.admission.release(now, now.since(self.since));
        state.tell(verdicts);
    }
}
