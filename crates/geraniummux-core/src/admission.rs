//! Admission control of one pool: a concurrency limit, bounded queues and load shedding.
//!
//! Start with [`AdmissionController`]. Requests beyond the concurrency limit wait in one queue for
//! each tenant and class. Freed slots go to the tenants in round-robin order, and within a tenant
//! to its classes in round-robin order, so that a burst of one tenant doesn't delay the others. A
//! request that can't be answered before its deadline is shed, either when it is submitted or when
//! it reaches the head of its queue.

use crate::outcome::Reason;
use crate::time::Time;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a queued request. Chosen by the daemon; unique among the queued requests of a pool.
pub type Ticket = u64;

/// Settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Maximum number of admitted requests that have not been released (concurrency limit).
    pub limit: u32,
    /// Maximum length of the queue of one tenant and class.
    pub queue_len: usize,
    /// Maximum number of queued requests of all tenants. A tenant may queue at most as many
    /// requests as this limit leaves free, so a single tenant fills at most half of it and the
    /// others can still queue.
    pub max_queued: usize,
    /// Maximum number of queues over all tenants and classes.
    pub max_queues: usize,
    /// Service time that is assumed until the first one is observed. The service time is the time
    /// from admission to release.
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

/// A request to be admitted.
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

/// Result of [`AdmissionController::submit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is admitted and holds a slot until [`AdmissionController::release`].
    Admitted,
    /// The request is queued; a later [`QueueDecision`] carries its ticket.
    Queued,
    /// The request is shed.
    Refused(Reason),
}

/// Final decision on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request is admitted and holds a slot until [`AdmissionController::release`].
    Admitted(Ticket),
    /// The request is shed, since it can't be answered before its deadline.
    Refused(Ticket, Reason),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Time,
    /// Half of the time to the deadline when the request was queued. Limits the time that is
    /// reserved for its execution.
    max_reserve: Duration,
}

/// The queued requests of one class of a tenant.
#[derive(Clone, Debug)]
struct Queue {
    class: Arc<str>,
    waiting: VecDeque<Waiting>,
}

/// A tenant with queued requests.
#[derive(Clone, Debug)]
struct Tenant {
    name: Arc<str>,
    /// Number of queued requests of all its classes.
    waiting: usize,
    /// Non-empty queues in round-robin order.
    queues: VecDeque<Queue>,
}

/// Admission control of one pool.
///
/// The daemon submits each request with [`submit`](AdmissionController::submit) and reports the
/// end of each admitted one with [`release`](AdmissionController::release).
#[derive(Clone, Debug)]
pub struct AdmissionController {
    options: AdmissionOptions,
    /// Number of admitted requests that have not been released.
    running: u32,
    /// Tenants with queued requests, in round-robin order.
    tenants: VecDeque<Tenant>,
    /// Moving average of the service time, in seconds.
    mean_service_s: f64,
    /// Moving average of the absolute deviation from the mean service time, in seconds.
    service_deviation_s: f64,
}

/// Mean absolute deviations added to the mean service time when a request is queued. At 150% load,
/// 88% of the capacity is answered in time without this margin and 98% with it.
const ENQUEUE_DEVIATIONS: f64 = 3.0;
/// Mean absolute deviations added to the mean service time when a request leaves its queue.
const DEQUEUE_DEVIATIONS: f64 = 2.0;
/// Weight of a new observation in the moving averages of the service time.
const SERVICE_EWMA_WEIGHT: f64 = 0.05;

impl AdmissionController {
    /// Returns a controller without requests.
    pub fn new(options: AdmissionOptions) -> Self {
        AdmissionController {
            options,
            running: 0,
            tenants: VecDeque::new(),
            mean_service_s: options.initial_service.as_secs_f64(),
            service_deviation_s: 0.0,
        }
    }

    /// Admits, queues or sheds a request.
    pub fn submit(&mut self, now: Time, request: AdmissionRequest) -> Decision {
        if now >= request.deadline {
            return Decision::Refused(Reason::Deadline);
        }
        if self.running < self.options.limit && self.tenants.is_empty() {
            self.running += 1;
            return Decision::Admitted;
        }
        // The mean covers all routes of the pool and may be much longer than this request's
        // service time, so at most half of the time to its deadline is reserved for execution.
        let max_reserve = request.deadline.since(now) / 2;
        let service = self.service_time_with_margin(ENQUEUE_DEVIATIONS).min(max_reserve);
        let own = self.queued_of(&request.tenant);
        if now + self.expected_wait(&request.tenant, own) + service > request.deadline {
            return Decision::Refused(Reason::Overloaded);
        }
        if own >= self.options.max_queued.saturating_sub(self.queued()) {
            return Decision::Refused(Reason::Overloaded);
        }
        let waiting = Waiting { ticket: request.ticket, deadline: request.deadline, max_reserve };
        if self.enqueue(request.tenant, request.class, waiting) {
            Decision::Queued
        } else {
            Decision::Refused(Reason::Overloaded)
        }
    }

    /// Releases the slot of an admitted request and returns the decisions on the queued requests
    /// that follow from it.
    ///
    /// `service` is the time since admission. It is zero for a slot that was not used, which then
    /// doesn't count as an observation of the service time.
    pub fn release(&mut self, now: Time, service: Duration) -> Vec<QueueDecision> {
        self.running = self.running.saturating_sub(1);
        if !service.is_zero() {
            let error = service.as_secs_f64() - self.mean_service_s;
            self.mean_service_s += SERVICE_EWMA_WEIGHT * error;
            self.service_deviation_s +=
                SERVICE_EWMA_WEIGHT * (error.abs() - self.service_deviation_s);
        }
        self.assign_slots(now)
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

    /// Changes the concurrency limit, for example when the number of targets or hosts changes, and
    /// returns the decisions on the queued requests that follow from it. The limit is at least 1.
    pub fn set_limit(&mut self, now: Time, limit: u32) -> Vec<QueueDecision> {
        self.options.limit = limit.max(1);
        self.assign_slots(now)
    }

    /// Returns the number of admitted requests that have not been released.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.tenants.iter().map(|t| t.waiting).sum()
    }

    /// Returns the mean service time plus `deviations` mean absolute deviations.
    fn service_time_with_margin(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.mean_service_s + deviations * self.service_deviation_s)
    }

    /// Returns the expected queueing time of a new request of a tenant that already has `own`
    /// queued ones. Tenants are served in round-robin order, so at most `own + 1` requests of each
    /// other tenant are ahead of it.
    fn expected_wait(&self, tenant: &str, own: usize) -> Duration {
        let precede = |t: &Tenant| if *t.name == *tenant { own } else { t.waiting.min(own + 1) };
        let ahead: usize = self.tenants.iter().map(precede).sum();
        let rounds = (ahead + 1) as f64 / f64::from(self.options.limit);
        Duration::from_secs_f64(rounds * self.mean_service_s)
    }

    fn queued_of(&self, tenant: &str) -> usize {
        self.tenants.iter().find(|t| *t.name == *tenant).map_or(0, |t| t.waiting)
    }

    /// Appends a request to the queue of its tenant and class; returns false if the queue is full
    /// or would exceed the maximum number of queues.
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

    /// Assigns free slots to queued requests, one tenant after the other.
    fn assign_slots(&mut self, now: Time) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        let service = self.service_time_with_margin(DEQUEUE_DEVIATIONS);
        while self.running < self.options.limit {
            let Some(mut tenant) = self.tenants.pop_front() else {
                break;
            };
            if let Some(ticket) = tenant.dequeue(now, service, &mut decisions) {
                self.running += 1;
                decisions.push(QueueDecision::Admitted(ticket));
            }
            if tenant.waiting > 0 {
                self.tenants.push_back(tenant);
            }
        }
        decisions
    }
}

impl Tenant {
    /// Removes the next request that can still be answered before its deadline and returns its
    /// ticket. Sheds the requests ahead of it.
    fn dequeue(
        &mut self,
        now: Time,
        service: Duration,
        decisions: &mut Vec<QueueDecision>,
    ) -> Option<Ticket> {
        loop {
            let mut queue = self.queues.pop_front()?;
            let next = queue.waiting.pop_front()?;
            self.waiting -= 1;
            // The classes of a tenant are served in round-robin order.
            if !queue.waiting.is_empty() {
                self.queues.push_back(queue);
            }
            if now + service.min(next.max_reserve) <= next.deadline {
                return Some(next.ticket);
            }
            decisions.push(QueueDecision::Refused(next.ticket, Reason::Overloaded));
        }
    }
}
