//! Admission of requests to a pool: bounded queues, fairness between tenants, and shedding.

use crate::outcome::Reason;
use crate::time::Time;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a queued request. Chosen by the daemon, unique among the queued ones of a pool.
pub type Ticket = u64;

/// Settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Requests that may be under way at once.
    pub limit: u32,
    /// Longest queue of one tenant and class.
    pub queue_len: usize,
    /// Most waiting requests of all tenants. A tenant may have at most as many waiting as places
    /// are left, so that one tenant alone fills half of them and others still find room.
    pub max_queued: usize,
    /// Most queues, over all tenants and classes.
    pub max_queues: usize,
    /// Assumed time from admission to release before one was observed.
    pub initial_service: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            limit: 64,
            queue_len: 256,
            max_queued: 1_024,
            max_queues: 256,
            initial_service: Duration::from_millis(10),
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Identifies the request while it is queued.
    pub ticket: Ticket,
    /// The tenant.
    pub tenant: Arc<str>,
    /// The class within the tenant.
    pub class: Arc<str>,
    /// The request's deadline.
    pub deadline: Time,
}

/// What becomes of an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request has a slot.
    Admitted,
    /// The request waits; a later [`QueueDecision`] names its ticket.
    Queued,
    /// The request is shed.
    Refused(Reason),
}

/// What became of a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request has a slot.
    Admitted(Ticket),
    /// The request is shed: its deadline would pass before it could be answered.
    Refused(Ticket, Reason),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Time,
    /// Half of the time that the request had when it was queued.
    half: Duration,
}

/// The waiting requests of a class.
#[derive(Clone, Debug)]
struct Queue {
    class: Arc<str>,
    waiting: VecDeque<Waiting>,
}

/// A tenant with waiting requests.
#[derive(Clone, Debug)]
struct Tenant {
    name: Arc<str>,
    /// Waiting requests of all its classes.
    waiting: usize,
    /// Classes with waiting requests, in the order of their turns.
    queues: VecDeque<Queue>,
}

/// The admission of one pool.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    options: AdmissionOptions,
    running: u32,
    /// In the order of their turns.
    tenants: VecDeque<Tenant>,
    /// Moving average of the time from admission to release, in seconds.
    service: f64,
    /// Moving average of its absolute deviation, in seconds.
    deviation: f64,
}

/// Deviations added to the mean service time when a request is queued. Without them 88% of the
/// capacity answered in time at 150% load, with them 98%.
const OFFER_DEVIATIONS: f64 = 3.0;
/// Deviations added to the mean service time when a request leaves the queue.
const NEXT_DEVIATIONS: f64 = 2.0;
/// Weight of a new observation in the moving average of the service time.
const SERVICE_WEIGHT: f64 = 0.05;

impl AdmissionController {
    /// Returns an admission without requests.
    pub fn new(options: AdmissionOptions) -> Self {
        AdmissionController {
            options,
            running: 0,
            tenants: VecDeque::new(),
            service: options.initial_service.as_secs_f64(),
            deviation: 0.0,
        }
    }

    /// Decides on a request.
    pub fn submit(&mut self, now: Time, request: AdmissionRequest) -> Decision {
        if now >= request.deadline {
            return Decision::Refused(Reason::Deadline);
        }
        if self.running < self.options.limit && self.tenants.is_empty() {
            self.running += 1;
            return Decision::Admitted;
        }
        // The service time of other routes of the pool may be much longer than this request's, so
        // at most half of its time is set aside.
        let half = request.deadline.since(now) / 2;
        let service = self.likely_service_time(OFFER_DEVIATIONS).min(half);
        let own = self.waiting_of(&request.tenant);
        if now + self.expected_wait(&request.tenant, own) + service > request.deadline {
            return Decision::Refused(Reason::Overloaded);
        }
        if own >= self.options.max_queued.saturating_sub(self.queued()) {
            return Decision::Refused(Reason::Overloaded);
        }
        let waiting = Waiting { ticket: request.ticket, deadline: request.deadline, half };
        if self.enqueue(request.tenant, request.class, waiting) {
            Decision::Queued
        } else {
            Decision::Refused(Reason::Overloaded)
        }
    }

    /// Takes back the slot of an admitted request, which took `service` from its admission, and
    /// hands it to waiting requests. `service` is zero for a slot that was not used, which teaches
    /// nothing about the service time.
    pub fn release(&mut self, now: Time, service: Duration) -> Vec<QueueDecision> {
        self.running = self.running.saturating_sub(1);
        if !service.is_zero() {
            let error = service.as_secs_f64() - self.service;
            self.service += SERVICE_WEIGHT * error;
            self.deviation += SERVICE_WEIGHT * (error.abs() - self.deviation);
        }
        self.fill(now)
    }

    /// Removes a request from its queue; returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for tenant in &mut self.tenants {
            for queue in &mut tenant.queues {
                if let Some(i) = queue.waiting.iter().position(|w| w.ticket == ticket) {
                    queue.waiting.remove(i);
                    tenant.waiting -= 1;
                    tenant.queues.retain(|q| !q.waiting.is_empty());
                    self.tenants.retain(|t| t.waiting > 0);
                    return true;
                }
            }
        }
        false
    }

    /// Changes the limit, for example when the number of targets or hosts changes.
    pub fn set_limit(&mut self, now: Time, limit: u32) -> Vec<QueueDecision> {
        self.options.limit = limit.max(1);
        self.fill(now)
    }

    /// Returns how many requests have a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.tenants.iter().map(|t| t.waiting).sum()
    }

    fn likely_service_time(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.service + deviations * self.deviation)
    }

    /// Returns how long a request would wait that is offered by a tenant with `own` waiting ones:
    /// tenants take turns, so only as many requests of another tenant precede it.
    fn expected_wait(&self, tenant: &str, own: usize) -> Duration {
        let precede = |t: &Tenant| if *t.name == *tenant { own } else { t.waiting.min(own + 1) };
        let ahead: usize = self.tenants.iter().map(precede).sum();
        let rounds = (ahead + 1) as f64 / f64::from(self.options.limit);
        Duration::from_secs_f64(rounds * self.service)
    }

    fn waiting_of(&self, tenant: &str) -> usize {
        self.tenants.iter().find(|t| *t.name == *tenant).map_or(0, |t| t.waiting)
    }

    /// Appends a request to the queue of its tenant and class; returns whether there was room.
    fn enqueue(&mut self, name: Arc<str>, class: Arc<str>, waiting: Waiting) -> bool {
        let queues: usize = self.tenants.iter().map(|t| t.queues.len()).sum();
        let may_add = queues < self.options.max_queues;
        let i = match self.tenants.iter().position(|t| t.name == name) {
            Some(i) => i,
            None if may_add => {
                self.tenants.push_back(Tenant { name, waiting: 0, queues: VecDeque::new() });
                self.tenants.len() - 1
            }
            None => return false,
        };
        let tenant = &mut self.tenants[i];
        match tenant.queues.iter_mut().find(|q| q.class == class) {
            Some(queue) if queue.waiting.len() >= self.options.queue_len => return false,
            Some(queue) => queue.waiting.push_back(waiting),
            None if may_add => {
                tenant.queues.push_back(Queue { class, waiting: VecDeque::from([waiting]) });
            }
            None => return false,
        }
        tenant.waiting += 1;
        true
    }

    /// Gives free slots to waiting requests, one tenant after the other.
    fn fill(&mut self, now: Time) -> Vec<QueueDecision> {
        let mut verdicts = Vec::new();
        let service = self.likely_service_time(NEXT_DEVIATIONS);
        while self.running < self.options.limit {
            let Some(mut tenant) = self.tenants.pop_front() else {
                break;
            };
            if let Some(ticket) = tenant.next(now, service, &mut verdicts) {
                self.running += 1;
                verdicts.push(QueueDecision::Admitted(ticket));
            }
            if tenant.waiting > 0 {
                self.tenants.push_back(tenant);
            }
        }
        verdicts
    }
}

impl Tenant {
    /// Takes the next request that can still be answered in time; sheds the others.
    fn next(
        &mut self,
        now: Time,
        service: Duration,
        verdicts: &mut Vec<QueueDecision>,
    ) -> Option<Ticket> {
        loop {
            let mut queue = self.queues.pop_front()?;
            let next = queue.waiting.pop_front()?;
            self.waiting -= 1;
            // The classes of a tenant take turns.
            if !queue.waiting.is_empty() {
                self.queues.push_back(queue);
            }
            if now + service.min(next.half) <= next.deadline {
                return Some(next.ticket);
            }
            verdicts.push(QueueDecision::Refused(next.ticket, Reason::Overloaded));
        }
    }
}
