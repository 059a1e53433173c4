//! Carries out what the core's state machine of a request decides.

use super::attempts::{AttemptEvent, Attempts};
use super::job::Job;
use super::respond;
use crate::claims::{ClaimEvent, ClaimHandle};
use crate::control::ConnectionGuard;
use crate::gate::{Applicant, Permit};
use crate::reply::{self, Body};
use futures_util::future::{AbortHandle, Abortable, BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::attempt::{Action, Event, RequestOptions, RequestState, Timer};
use geraniummux_core::claim::{ClaimOptions, StoredResponse, claim_name};
use geraniummux_core::{AttemptEnd, Outcome, Reason, Time};
use http::Response;
use slog::debug;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

type Admission = Result<(Permit, Permit), Reason>;

enum Done {
    Admission(Admission),
    Event(Event),
}

/// One request under way.
pub struct Driver {
    job: Arc<Job>,
    request: RequestState,
    attempts: Attempts,
    work: FuturesUnordered<Abortable<BoxFuture<'static, Done>>>,
    admission: Option<AbortHandle>,
    permits: Option<(Permit, Permit)>,
    claim: Option<ClaimHandle>,
    replay: Option<StoredResponse>,
    timers: Vec<(Time, Timer)>,
    events: VecDeque<Event>,
    reply: Option<oneshot::Sender<Response<Body>>>,
    /// Outcome, and when the response was handed over.
    told: Option<(Outcome, Time)>,
    delivered: bool,
    /// Keeps a shutdown waiting until the response is delivered.
    _guard: ConnectionGuard,
}

impl Driver {
    /// Returns a driver that has not started, and where the response arrives.
    pub fn new(job: Job) -> (Self, oneshot::Receiver<Response<Body>>) {
        let job = Arc::new(job);
        let guard = job.shared.control.register_connection();
        let (tx, rx) = oneshot::channel();
        let request = RequestState::new(RequestOptions {
            idempotent: job.is_idempotent(),
            keyed: job.key().is_some(),
            deadline: job.deadline,
            depth: job.depth,
            p95: job.route_state.p95(),
            hedge_after: job.route_state.hedge_after(),
            ..RequestOptions::default()
        });
        let driver = Driver {
            attempts: Attempts::new(job.clone()),
            job,
            request,
            work: FuturesUnordered::new(),
            admission: None,
            permits: None,
            claim: None,
            replay: None,
            timers: Vec::new(),
            events: VecDeque::new(),
            reply: Some(tx),
            told: None,
            delivered: false,
            _guard: guard,
        };
        (driver, rx)
    }

    fn now(&self) -> Time {
        self.job.shared.clock.now()
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        let actions = self.request.start(self.now());
        self.perform(actions);
        while !self.request.is_done() {
            let event = self.next_event().await;
            if event == Event::Delivered {
                self.on_delivered();
            }
            let now = self.now();
            let actions = {
                let mut budgets = self.job.route_state.budgets();
                self.request.on_event(now, event, &mut budgets)
            };
            self.perform(actions);
        }
        self.finish();
    }

    async fn next_event(&mut self) -> Event {
        loop {
            if let Some(event) = self.events.pop_front() {
                return event;
            }
            let now = self.now();
            let next_timer = self.timers.iter().map(|(at, _)| *at).min();
            tokio::select! {
                biased;
                Some(done) = self.work.next(), if !self.work.is_empty() => match done {
                    Ok(Done::Event(event)) => return event,
                    Ok(Done::Admission(result)) => return self.on_admission(result),
                    Err(_aborted) => {}
                },
                event = self.attempts.next() => {
                    if let Some(event) = self.on_attempt(event) {
                        return event;
                    }
                }
                event = next_claim(self.claim.as_mut()) => return self.on_claim(event),
                () = left(self.reply.as_mut()) => {
                    self.reply = None;
                    return Event::CallerGone;
                }
                () = sleep_until(now, next_timer) => {
                    let now = self.now();
                    if let Some(i) = self.timers.iter().position(|(at, _)| *at <= now) {
                        return Event::Timer(self.timers.swap_remove(i).1);
                    }
                }
            }
        }
    }

    fn start<F>(&self, work: F) -> AbortHandle
    where
        F: Future<Output = Done> + Send + 'static,
    {
        let (abort, registration) = AbortHandle::new_pair();
        self.work.push(Abortable::new(work.boxed(), registration));
        abort
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform_one(action);
        }
    }

    fn perform_one(&mut self, action: Action) {
        match action {
            Action::Admit => self.admit(),
            Action::ReleaseSlot => {
                self.permits = None;
                if let Some(admission) = self.admission.take() {
                    admission.abort();
                }
            }
            Action::AcquireClaim => self.acquire_claim(),
            Action::Pick { attempt, avoid } => self.attempts.pick(attempt, avoid),
            Action::Open { attempt, connection, .. } => self.attempts.open(attempt, connection),
            Action::Send { attempt, not_after, depth } => {
                self.attempts.send(attempt, not_after, depth);
            }
            Action::Cancel { attempt } => {
                // An attempt that is cancelled by the deadline took too long.
                let late = self.now() >= self.job.deadline;
                let end = if late { AttemptEnd::Failed } else { AttemptEnd::Cancelled };
                self.attempts.cancel(attempt, end);
            }
            Action::ReportCrash { attempt, .. } => self.report_crash(attempt),
            Action::StartTimer { timer, at } => self.timers.push((at, timer)),
            Action::SettleClaim { outcome, response } => {
                let answer = response.and_then(|n| self.attempts.stored(n));
                if let Some(claim) = &self.claim {
                    claim.finish(outcome, answer);
                }
            }
            Action::MarkUndelivered => {
                if let Some(claim) = &self.claim {
                    claim.undelivered();
                }
            }
            Action::Respond { outcome, reason } => {
                self.tell(outcome);
                if let Some(reply) = self.reply.take() {
                    // A caller that has left misses nothing.
                    let _ = reply.send(reply::refusal(outcome, reason));
                }
            }
            Action::Relay { attempt, outcome } => self.relay(attempt, outcome),
            Action::Replay => self.replay(),
            Action::Abandon { outcome } => self.tell(outcome),
        }
    }

    fn tell(&mut self, outcome: Outcome) {
        self.told = Some((outcome, self.now()));
    }

    fn admit(&mut self) {
        let job = self.job.clone();
        self.admission = Some(self.start(async move {
            let applicant = Applicant {
                tenant: job.route.tenant.clone(),
                class: job.route.class.clone(),
                deadline: job.deadline,
            };
            let data = &job.shared.data;
            let tenant = data.tenant_gate(&job.route.tenant);
            let pool = data.pool_gate(&job.route.pool);
            let enter = async {
                let tenant = tenant.enter(&applicant).await?;
                Ok((tenant, pool.enter(&applicant).await?))
            };
            Done::Admission(enter.await)
        }));
    }

    fn on_admission(&mut self, result: Admission) -> Event {
        self.admission = None;
        match result {
            Ok(permits) => {
                self.permits = Some(permits);
                let quarantined = self.job.shared.data.is_blocked(self.job.fingerprint);
                Event::Admitted { quarantined }
            }
            Err(reason) => Event::AdmissionRefused { reason },
        }
    }

    fn acquire_claim(&mut self) {
        let job = &self.job;
        let options = ClaimOptions {
            name: claim_name(&job.route.tenant, &job.route.name, job.key().unwrap_or("")),
            holder: job.shared.data.new_id().into(),
            fingerprint: job.fingerprint,
            deadline: job.deadline,
            route_timeout: Duration::from_millis(job.route.timeout_ms),
            ..ClaimOptions::default()
        };
        let (tenant, class) = (job.route.tenant.clone(), job.route.class.clone());
        self.claim = Some(ClaimHandle::start(job.shared.clone(), options, tenant, class));
    }

    fn on_claim(&mut self, event: ClaimEvent) -> Event {
        match event {
            ClaimEvent::Granted => Event::ClaimGranted,
            ClaimEvent::Waiting => Event::ClaimWaiting,
            ClaimEvent::Replay(answer) => {
                self.replay = Some(answer);
                Event::ClaimReplay
            }
            ClaimEvent::Refused { outcome, reason } => Event::ClaimRefused { outcome, reason },
            ClaimEvent::Settled => Event::ClaimSettled,
        }
    }

    fn on_attempt(&mut self, event: AttemptEvent) -> Option<Event> {
        let event = self.attempts.on(event);
        if let Some(Event::ResponseReady { status, .. }) = &event
            && *status < 500
            && self.job.shared.data.answered(self.job.fingerprint)
        {
            self.job.shared.retract_crash_reports(self.job.fingerprint);
        }
        event
    }

    fn report_crash(&mut self, attempt: u8) {
        let Some(addr) = self.attempts.addr(attempt) else { return };
        let job = self.job.clone();
        job.shared.data.record_crash(job.fingerprint, addr);
        self.start(async move {
            let missing = job.shared.send_crash_report(job.fingerprint, addr).await;
            if missing > 0 {
                debug!(job.shared.log, "strike_unacknowledged"; "peers" => missing);
            }
            let quarantined = job.shared.data.is_blocked(job.fingerprint);
            Done::Event(Event::CrashReported { quarantined })
        });
    }

    fn relay(&mut self, attempt: u8, outcome: Outcome) {
        self.tell(outcome);
        let Some(answer) = self.attempts.take_answer(attempt) else {
            self.events.push_back(Event::DeliveryFailed);
            return;
        };
        let (rsp, end) = respond::relayed(&self.job, answer, outcome);
        self.hand_over(rsp, end);
    }

    fn replay(&mut self) {
        self.tell(Outcome::Served);
        let Some(answer) = self.replay.take() else {
            self.events.push_back(Event::DeliveryFailed);
            return;
        };
        let (rsp, end) = respond::replayed(&self.job, answer);
        self.hand_over(rsp, end);
        self.replay = None;
    }

    /// Gives the response to the caller's connection and watches its delivery.
    fn hand_over(&mut self, rsp: Response<Body>, end: oneshot::Receiver<u64>) {
        let sent = self.reply.take().is_some_and(|reply| reply.send(rsp).is_ok());
        if !sent {
            self.events.push_back(Event::DeliveryFailed);
            return;
        }
        let outgoing = self.job.transfer.outgoing.clone();
        self.start(async move {
            let delivered = match end.await {
                Ok(end) => outgoing.acknowledged(end).await,
                Err(_) => false,
            };
            Done::Event(if delivered { Event::Delivered } else { Event::DeliveryFailed })
        });
    }

    fn on_delivered(&mut self) {
        self.delivered = true;
        let replayed = self.attempts.is_empty();
        match (&self.claim, self.told) {
            // The claim decides whether this replay is the one that counts.
            (Some(claim), _) if replayed => claim.replay_delivered(),
            (_, Some((Outcome::Served, _))) => {
                let (shared, route) = (&self.job.shared, &self.job.route);
                shared.control.count_served(&shared.clock, &route.tenant, &route.class);
            }
            _ => {}
        }
    }

    fn finish(self) {
        let Driver { job, told, delivered, mut attempts, .. } = self;
        attempts.end_all(delivered);
        let (outcome, at) = told.unwrap_or((Outcome::Unknown, job.shared.clock.now()));
        let took = at.since(job.started);
        let telemetry = &job.shared.telemetry;
        telemetry.record_request(&job.route.tenant, &job.route.class, outcome, delivered, took);
        debug!(job.shared.log, "request"; "route" => &*job.route.name,
            "outcome" => outcome.as_str(), "delivered" => delivered,
            "attempts" => attempts.len(), "took_us" => took.as_micros() as u64);
    }
}

async fn next_claim(claim: Option<&mut ClaimHandle>) -> ClaimEvent {
    match claim {
        Some(claim) => claim.next().await,
        None => std::future::pending().await,
    }
}

/// Waits until the caller has left.
async fn left(reply: Option<&mut oneshot::Sender<Response<Body>>>) {
    match reply {
        Some(reply) => reply.closed().await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(now: Time, at: Option<Time>) {
    match at {
        Some(at) => tokio::time::sleep(at.since(now)).await,
        None => std::future::pending().await,
    }
}
