//! Drives the state machine of a request: performs its actions and passes it the resulting events.

use super::attempts::{AttemptEvent, Attempts};
use super::context::RequestContext;
use super::respond;
use crate::claims::{ClaimEvent, ClaimHandle};
use crate::concurrency_limit::{AdmissionParams, Permit};
use crate::control::ConnectionGuard;
use crate::response::{self, Body};
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

/// Permits of the tenant's and the pool's concurrency limit, or the reason why a request is shed.
type AdmissionResult = Result<(Permit, Permit), Reason>;

/// The result of one of a request's background tasks.
enum TaskResult {
    Admission(AdmissionResult),
    Event(Event),
}

/// Drives one request to its end.
pub struct Driver {
    ctx: Arc<RequestContext>,
    request: RequestState,
    attempts: Attempts,
    /// Background tasks: admission, crash reports and waiting for delivery.
    tasks: FuturesUnordered<Abortable<BoxFuture<'static, TaskResult>>>,
    /// Aborts the admission task while it waits.
    admission: Option<AbortHandle>,
    permits: Option<(Permit, Permit)>,
    claim: Option<ClaimHandle>,
    /// The stored response of an earlier request with the same key.
    replay: Option<StoredResponse>,
    timers: Vec<(Time, Timer)>,
    /// Events that performed actions caused.
    events: VecDeque<Event>,
    /// Passes on the response; `None` once it was sent or the caller has disconnected.
    response_tx: Option<oneshot::Sender<Response<Body>>>,
    /// The outcome, and when it was determined.
    outcome: Option<(Outcome, Time)>,
    delivered: bool,
    /// Makes a shutdown wait until the response is delivered.
    _guard: ConnectionGuard,
}

impl Driver {
    /// Returns a driver that has not started, and the receiver of the response.
    pub fn new(ctx: RequestContext) -> (Self, oneshot::Receiver<Response<Body>>) {
        let ctx = Arc::new(ctx);
        let guard = ctx.shared.control.register_connection();
        let (tx, rx) = oneshot::channel();
        let request = RequestState::new(RequestOptions {
            idempotent: ctx.is_idempotent(),
            keyed: ctx.idempotency_key().is_some(),
            deadline: ctx.deadline,
            depth: ctx.depth,
            p95: ctx.route_state.p95(),
            hedge_after: ctx.route_state.hedge_after(),
            ..RequestOptions::default()
        });
        let driver = Driver {
            attempts: Attempts::new(ctx.clone()),
            ctx,
            request,
            tasks: FuturesUnordered::new(),
            admission: None,
            permits: None,
            claim: None,
            replay: None,
            timers: Vec::new(),
            events: VecDeque::new(),
            response_tx: Some(tx),
            outcome: None,
            delivered: false,
            _guard: guard,
        };
        (driver, rx)
    }

    fn now(&self) -> Time {
        self.ctx.shared.clock.now()
    }

    /// Drives the request to its end.
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
                let mut budgets = self.ctx.route_state.budgets();
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
                Some(done) = self.tasks.next(), if !self.tasks.is_empty() => match done {
                    Ok(TaskResult::Event(event)) => return event,
                    Ok(TaskResult::Admission(result)) => return self.on_admission(result),
                    Err(_aborted) => {}
                },
                event = self.attempts.next() => {
                    if let Some(event) = self.on_attempt_event(event) {
                        return event;
                    }
                }
                event = next_claim_event(self.claim.as_mut()) => return self.on_claim_event(event),
                () = caller_disconnected(self.response_tx.as_mut()) => {
                    self.response_tx = None;
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

    /// Starts a background task, whose result `next_event` handles.
    fn start_task<F>(&self, task: F) -> AbortHandle
    where
        F: Future<Output = TaskResult> + Send + 'static,
    {
        let (abort, registration) = AbortHandle::new_pair();
        self.tasks.push(Abortable::new(task.boxed(), registration));
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
                // An attempt that the deadline ended was too slow, which counts as a failure.
                let late = self.now() >= self.ctx.deadline;
                let end = if late { AttemptEnd::Failed } else { AttemptEnd::Cancelled };
                self.attempts.cancel(attempt, end);
            }
            Action::ReportCrash { attempt, .. } => self.report_crash(attempt),
            Action::StartTimer { timer, at } => self.timers.push((at, timer)),
            Action::SettleClaim { outcome, response } => {
                let response = response.and_then(|n| self.attempts.stored_response(n));
                if let Some(claim) = &self.claim {
                    claim.settle(outcome, response);
                }
            }
            Action::MarkUndelivered => {
                if let Some(claim) = &self.claim {
                    claim.mark_undelivered();
                }
            }
            Action::Respond { outcome, reason } => {
                self.set_outcome(outcome);
                if let Some(response_tx) = self.response_tx.take() {
                    // The caller may have disconnected.
                    let _ = response_tx.send(response::refusal(outcome, reason));
                }
            }
            Action::Relay { attempt, outcome } => self.relay(attempt, outcome),
            Action::Replay => self.replay(),
            Action::Abandon { outcome } => self.set_outcome(outcome),
        }
    }

    fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some((outcome, self.now()));
    }

    /// Starts to wait for admission by the limits of the tenant and, after that, of the pool.
    fn admit(&mut self) {
        let ctx = self.ctx.clone();
        self.admission = Some(self.start_task(async move {
            let params = AdmissionParams {
                tenant: ctx.route.tenant.clone(),
                class: ctx.route.class.clone(),
                deadline: ctx.deadline,
            };
            let data = &ctx.shared.data;
            let tenant = data.tenant_limit(&ctx.route.tenant);
            let pool = data.pool_limit(&ctx.route.pool);
            let acquire = async {
                let tenant = tenant.acquire(&params).await?;
                Ok((tenant, pool.acquire(&params).await?))
            };
            TaskResult::Admission(acquire.await)
        }));
    }

    fn on_admission(&mut self, result: AdmissionResult) -> Event {
        self.admission = None;
        match result {
            Ok(permits) => {
                self.permits = Some(permits);
                let quarantined = self.ctx.shared.data.is_blocked(self.ctx.fingerprint);
                Event::Admitted { quarantined }
            }
            Err(reason) => Event::AdmissionRefused { reason },
        }
    }

    fn acquire_claim(&mut self) {
        let ctx = &self.ctx;
        let options = ClaimOptions {
            name: claim_name(
                &ctx.route.tenant,
                &ctx.route.name,
                ctx.idempotency_key().unwrap_or(""),
            ),
            holder: ctx.shared.data.new_id().into(),
            fingerprint: ctx.fingerprint,
            deadline: ctx.deadline,
            route_timeout: Duration::from_millis(ctx.route.timeout_ms),
            ..ClaimOptions::default()
        };
        let (tenant, class) = (ctx.route.tenant.clone(), ctx.route.class.clone());
        self.claim = Some(ClaimHandle::start(ctx.shared.clone(), options, tenant, class));
    }

    fn on_claim_event(&mut self, event: ClaimEvent) -> Event {
        match event {
            ClaimEvent::Granted => Event::ClaimGranted,
            ClaimEvent::Waiting => Event::ClaimWaiting,
            ClaimEvent::Replay(response) => {
                self.replay = Some(response);
                Event::ClaimReplay
            }
            ClaimEvent::Refused { outcome, reason } => Event::ClaimRefused { outcome, reason },
            ClaimEvent::Settled => Event::ClaimSettled,
        }
    }

    fn on_attempt_event(&mut self, event: AttemptEvent) -> Option<Event> {
        let event = self.attempts.on_event(event);
        if let Some(Event::ResponseReady { status, .. }) = &event
            && *status < 500
            && self.ctx.shared.data.record_response(self.ctx.fingerprint)
        {
            self.ctx.shared.retract_crash_reports(self.ctx.fingerprint);
        }
        event
    }

    fn report_crash(&mut self, attempt: u8) {
        let Some(addr) = self.attempts.addr(attempt) else { return };
        let ctx = self.ctx.clone();
        ctx.shared.data.record_crash(ctx.fingerprint, addr);
        self.start_task(async move {
            let missing = ctx.shared.send_crash_report(ctx.fingerprint, addr).await;
            if missing > 0 {
                debug!(ctx.shared.log, "strike_unacknowledged"; "peers" => missing);
            }
            let quarantined = ctx.shared.data.is_blocked(ctx.fingerprint);
            TaskResult::Event(Event::CrashReported { quarantined })
        });
    }

    fn relay(&mut self, attempt: u8, outcome: Outcome) {
        self.set_outcome(outcome);
        let Some(response) = self.attempts.take_response(attempt) else {
            self.events.push_back(Event::DeliveryFailed);
            return;
        };
        let (rsp, end) = respond::relayed(&self.ctx, response, outcome);
        self.send_response(rsp, end);
    }

    fn replay(&mut self) {
        self.set_outcome(Outcome::Served);
        let Some(response) = self.replay.take() else {
            self.events.push_back(Event::DeliveryFailed);
            return;
        };
        let (rsp, end) = respond::replayed(&self.ctx, response);
        self.send_response(rsp, end);
        self.replay = None;
    }

    /// Passes the response to the caller's connection and waits for its delivery in the background.
    /// `end` receives the position of the response's end.
    fn send_response(&mut self, rsp: Response<Body>, end: oneshot::Receiver<u64>) {
        let sent = self.response_tx.take().is_some_and(|response_tx| response_tx.send(rsp).is_ok());
        if !sent {
            self.events.push_back(Event::DeliveryFailed);
            return;
        }
        let delivery = self.ctx.caller.delivery.clone();
        self.start_task(async move {
            let delivered = match end.await {
                Ok(end) => delivery.wait_acknowledged(end).await,
                Err(_) => false,
            };
            TaskResult::Event(if delivered { Event::Delivered } else { Event::DeliveryFailed })
        });
    }

    fn on_delivered(&mut self) {
        self.delivered = true;
        let replayed = self.attempts.is_empty();
        match (&self.claim, self.outcome) {
            // The claim decides whether this replay is counted, since several may be delivered.
            (Some(claim), _) if replayed => claim.replay_delivered(),
            (_, Some((Outcome::Served, _))) => {
                let (shared, route) = (&self.ctx.shared, &self.ctx.route);
                shared.control.count_served(&shared.clock, &route.tenant, &route.class);
            }
            _ => {}
        }
    }

    /// Ends the attempts and records the outcome in metrics and log.
    fn finish(self) {
        let Driver { ctx, outcome, delivered, mut attempts, .. } = self;
        attempts.end_all(delivered);
        let (outcome, at) = outcome.unwrap_or((Outcome::Unknown, ctx.shared.clock.now()));
        let took = at.since(ctx.started);
        let telemetry = &ctx.shared.telemetry;
        telemetry.record_request(&ctx.route.tenant, &ctx.route.class, outcome, delivered, took);
        debug!(ctx.shared.log, "request"; "route" => &*ctx.route.name,
            "outcome" => outcome.as_str(), "delivered" => delivered,
            "attempts" => attempts.len(), "took_us" => took.as_micros() as u64);
    }
}

/// Waits for the next event of the claim; pends forever if there is no claim.
async fn next_claim_event(claim: Option<&mut ClaimHandle>) -> ClaimEvent {
    match claim {
        Some(claim) => claim.next().await,
        None => std::future::pending().await,
    }
}

/// Waits until the caller has disconnected; pends forever if the response was sent.
async fn caller_disconnected(response_tx: Option<&mut oneshot::Sender<Response<Body>>>) {
    match response_tx {
        Some(response_tx) => response_tx.closed().await,
        None => std::future::pending().await,
    }
}

/// Sleeps until `at`; pends forever if it is `None`.
async fn sleep_until(now: Time, at: Option<Time>) {
    match at {
        Some(at) => tokio::time::sleep(at.since(now)).await,
        None => std::future::pending().await,
    }
}
