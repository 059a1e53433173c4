//! Serves one request: attempts, retries, hedges, the deadline and the response.

use super::attempt::{self, AttemptOutcome, FinishedAttempt};
use super::context::RequestContext;
use super::response;
use super::selection::{self, Connect, Rejection, SelectedTarget, Selection};
use crate::host::Phase;
use crate::peers;
use crate::scheduling::{Grant, HedgeGrant};
use crate::stopping;
use crate::upstream::TargetResponse;
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::Time;
use geraniummux_core::fleet::{Executions, ExtraAttempt, Fault};
use geraniummux_core::time::scaled;
use http::{Response, StatusCode};
use http_body_util::Full;
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;

/// Attempts that targets refused without executing the request, after which it is not retried.
const MAX_NOT_EXECUTED_ATTEMPTS: u32 = 3;
/// Delay from the latest attempt to a hedge, as a multiple of the expected latency at its target.
const HEDGE_LATENCY_FACTOR: f64 = 2.0;
/// Shortest delay from an attempt to a hedge, as a share of the route's latency target.
const MIN_HEDGE_DELAY_SHARE: f64 = 0.4;
/// Multiple of the expected latency after which a missing response is recorded as [`Fault::Silent`]
/// when the request is finished.
const SILENT_LATENCY_FACTOR: f64 = 3.0;

/// A step of a request that has completed.
enum Event {
    TargetSelected(Selection),
    /// A connection for a granted hedge was opened, or its target can't be used.
    HedgeConnected(Arc<str>, Option<SelectedTarget>),
    AttemptEnded(FinishedAttempt),
}

/// An attempt that has not ended.
struct AttemptInFlight {
    target: Arc<str>,
    addr: SocketAddr,
    sent_at: Time,
    expected: Duration,
}

/// A request that is being served.
struct ActiveRequest {
    ctx: Arc<RequestContext>,
    events: FuturesUnordered<BoxFuture<'static, Event>>,
    in_flight: Vec<AttemptInFlight>,
    tried: Vec<Arc<str>>,
    selecting: bool,
    /// Grants of the pool's scheduler.
    grants: Vec<Grant>,
    hedge_at: Option<Time>,
    /// Decides whether another attempt may start.
    executions: Executions,
    /// The last server error with which a target responded.
    failure: Option<TargetResponse>,
    rejection: Option<Rejection>,
    reason: &'static str,
}

/// Serves a request until it is finished and returns the response for the caller.
pub async fn run(ctx: Arc<RequestContext>) -> Response<Full<Bytes>> {
    let host = ctx.host.clone();
    let now = host.now();
    if host.fleet().quarantine.is_blocked(now, ctx.fingerprint) {
        info!(host.log, "request"; "id" => ctx.id(), "route" => &*ctx.route.name,
            "team" => ctx.team_name(), "outcome" => "blocked", "reason" => "crashes targets");
        let team = ctx.team.as_ref().map(|t| &*t.name);
        host.metrics.request(&ctx.route.name, team, "blocked", Duration::ZERO);
        return response::local(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut active = ActiveRequest::new(ctx.clone());
    active.select_target();
    let deadline = tokio::time::sleep(ctx.time_left(now));
    tokio::pin!(deadline);
    let mut phases = host.phases();
    let mut phase = Phase::Serving;
    let rsp = loop {
        let hedge_delay = active.hedge_at.map(|at| at.since(host.now()));
        tokio::select! {
            biased;
            Some(event) = active.events.next() => {
                if let Some(rsp) = active.on_event(event) {
                    break rsp;
                }
            }
            () = &mut deadline => {
                active.reason = "deadline";
                break active.failure_response();
            }
            later = later_phase(&mut phases, phase) => {
                phase = later;
                if phase == Phase::Exiting {
                    active.reason = "stopping";
                    break active.failure_response();
                }
                if let Some(rsp) = active.on_stopping() {
                    break rsp;
                }
            }
            hedge = next_hedge_grant(&mut active.grants) => active.on_hedge_grant(hedge),
            () = sleep(hedge_delay) => active.start_hedge(),
        }
    };
    active.record_result(&rsp);
    rsp
}

async fn sleep(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

/// Waits until the host is in a later phase than `current`, and returns that.
async fn later_phase(phases: &mut watch::Receiver<Phase>, current: Phase) -> Phase {
    // The host owns the sender, and outlives its requests.
    phases.wait_for(|p| *p > current).await.map_or(Phase::Exiting, |p| *p)
}

/// Waits until the scheduler grants a hedge.
async fn next_hedge_grant(grants: &mut [Grant]) -> HedgeGrant {
    std::future::poll_fn(|cx| {
        for grant in grants.iter_mut() {
            if let Poll::Ready(hedge) = grant.poll_hedge(cx) {
                return Poll::Ready(hedge);
            }
        }
        Poll::Pending
    })
    .await
}

impl ActiveRequest {
    fn new(ctx: Arc<RequestContext>) -> Self {
        let executions = Executions::new(ctx.route.idempotent, ctx.route.max_attempts);
        ActiveRequest {
            ctx,
            events: FuturesUnordered::new(),
            in_flight: Vec::new(),
            tried: Vec::new(),
            selecting: false,
            grants: Vec::new(),
            hedge_at: None,
            executions,
            failure: None,
            rejection: None,
            reason: "",
        }
    }

    /// Starts the selection of a target.
    fn select_target(&mut self) {
        self.selecting = true;
        let (ctx, tried) = (self.ctx.clone(), self.tried.clone());
        self.events.push(
            async move { Event::TargetSelected(selection::select(ctx, tried).await) }.boxed(),
        );
    }

    /// Handles an event. Returns the response for the caller if the request is finished.
    fn on_event(&mut self, event: Event) -> Option<Response<Full<Bytes>>> {
        match event {
            Event::TargetSelected(Selection::Selected(selected)) => {
                self.selecting = false;
                self.send(*selected)
            }
            Event::TargetSelected(Selection::Rejected(rejection)) => {
                self.selecting = false;
                self.rejection = Some(rejection);
                self.reason = rejection.reason;
                self.finish_if_idle()
            }
            Event::HedgeConnected(target, selected) => {
                self.selecting = false;
                match selected {
                    Some(selected) => self.send(selected),
                    None => {
                        self.decline_hedge(&target);
                        self.finish_if_idle()
                    }
                }
            }
            Event::AttemptEnded(FinishedAttempt { target, outcome, report, permit }) => {
                let may_have_executed = !matches!(outcome, AttemptOutcome::NotExecuted(_));
                self.executions.end(permit, may_have_executed);
                if let (Some(report), Some(grant)) = (report, self.grants.last_mut()) {
                    grant.set_report(&target, report);
                }
                let index = self.in_flight.iter().position(|a| a.target == target);
                let addr = index.map(|i| self.in_flight.swap_remove(i).addr);
                if self.in_flight.is_empty() && !self.selecting {
                    // Dropping the grants notifies the scheduler that their slots are free.
                    self.grants.clear();
                }
                self.on_outcome(addr, outcome)
            }
        }
    }

    fn ends_before_exit(&self) -> bool {
        stopping::ends_before_exit(&self.ctx.host, self.ctx.deadline)
    }

    /// Returns the response for the caller if the host is stopping, no target is at work on the request, and one
    /// might not be done with it before the exit.
    fn on_stopping(&mut self) -> Option<Response<Full<Bytes>>> {
        if !self.in_flight.is_empty() || self.ends_before_exit() {
            return None;
        }
        self.reason = "stopping";
        // Another host can serve the request at once.
        self.rejection = Some(Rejection::unavailable(self.reason, Duration::ZERO));
        Some(self.failure_response())
    }

    /// Connects to the target of a hedge that the scheduler granted, if another attempt is allowed.
    fn on_hedge_grant(&mut self, hedge: HedgeGrant) {
        let HedgeGrant { number, target, latency_factor } = hedge;
        let ctx = self.ctx.clone();
        let wanted = !self.selecting && self.executions.may_start();
        let granted = wanted && ctx.host.try_extra_attempt(&ctx.pool.name, ExtraAttempt::Hedge);
        info!(ctx.host.log, "hedge"; "id" => ctx.id(), "granted" => granted,
            "by" => "scheduler", "number" => number, "target" => &*target,
            "idempotent" => ctx.route.idempotent,
            "waited_ms" => ctx.elapsed(ctx.host.now()).as_millis() as u64);
        if !granted {
            self.decline_hedge(&target);
            return;
        }
        self.selecting = true;
        self.hedge_at = None;
        let connect = async move {
            let selected = match selection::connect(&ctx, &target, latency_factor).await {
                Connect::Connected(candidate, conn) => {
                    Some(SelectedTarget { candidate, conn, latency_factor, grant: None })
                }
                Connect::Slowed(_) | Connect::Unusable | Connect::NoPath => None,
            };
            Event::HedgeConnected(target, selected)
        };
        self.events.push(connect.boxed());
    }

    fn decline_hedge(&self, target: &Arc<str>) {
        for grant in &self.grants {
            grant.decline_hedge(target);
        }
    }

    /// Sends the request to a target. Returns the response for the caller instead if the target might not be done with
    /// it before the host exits, and none is at work on it yet.
    fn send(&mut self, mut selected: SelectedTarget) -> Option<Response<Full<Bytes>>> {
        let rejected = self.on_stopping();
        if rejected.is_some() {
            return rejected;
        }
        let Some(permit) = self.executions.start() else {
            let ctx = &self.ctx;
            warn!(ctx.host.log, "attempt_refused"; "id" => ctx.id(),
                "target" => &*selected.candidate.id, "idempotent" => ctx.route.idempotent);
            ctx.host.upstream.put_idle(ctx.host.now(), selected.conn);
            return self.finish_if_idle();
        };
        self.grants.extend(selected.grant.take());
        let now = self.ctx.host.now();
        let expected = scaled(self.ctx.service_time, selected.latency_factor);
        let addr = selected.conn.addr();
        self.tried.push(selected.candidate.id.clone());
        self.in_flight.push(AttemptInFlight {
            target: selected.candidate.id.clone(),
            addr,
            sent_at: now,
            expected,
        });
        self.hedge_at = self.executions.may_start().then(|| {
            let earliest = scaled(self.ctx.route.latency_target, MIN_HEDGE_DELAY_SHARE);
            now + scaled(expected, HEDGE_LATENCY_FACTOR).max(earliest)
        });
        let ctx = self.ctx.clone();
        self.events.push(
            async move { Event::AttemptEnded(attempt::send(ctx, selected, permit).await) }.boxed(),
        );
        None
    }

    fn on_outcome(
        &mut self,
        addr: Option<SocketAddr>,
        outcome: AttemptOutcome,
    ) -> Option<Response<Full<Bytes>>> {
        let idempotent = self.ctx.route.idempotent;
        match outcome {
            AttemptOutcome::Responded(response)
                if idempotent && response.status.is_server_error() =>
            {
                self.reason = "server_error";
                self.failure = Some(response);
            }
            AttemptOutcome::Responded(response)
                if !idempotent && response::promises_no_execution(response.status) =>
            {
                // The target did not declare that it has not executed the request.
                self.reason = "unproven_refusal";
            }
            AttemptOutcome::Responded(response) => {
                self.reason = "answered";
                self.retract_crash_reports(addr);
                return Some(response::relayed(response));
            }
            AttemptOutcome::NotExecuted(reason) => self.reason = reason,
            AttemptOutcome::Lost(reason) => {
                self.reason = reason;
                if let Some(addr) = addr.filter(|_| reason == "no_answer") {
                    peers::send_crash_report(&self.ctx.host, self.ctx.fingerprint, addr, false);
                }
            }
        }
        self.retry();
        self.finish_if_idle()
    }

    /// Retracts the crash reports of a request to which a target responded.
    fn retract_crash_reports(&self, addr: Option<SocketAddr>) {
        let (host, fingerprint) = (&self.ctx.host, self.ctx.fingerprint);
        let now = host.now();
        let cleared = {
            let quarantine = &mut host.fleet().quarantine;
            !quarantine.is_empty() && quarantine.record_answer(now, fingerprint)
        };
        if let Some(addr) = addr.filter(|_| cleared) {
            peers::send_crash_report(host, fingerprint, addr, true);
        }
    }

    /// Starts the selection of another target after a failed attempt, if a retry is allowed.
    fn retry(&mut self) {
        let ctx = self.ctx.clone();
        let now = ctx.host.now();
        let allowed = self.executions.may_start()
            && self.in_flight.is_empty()
            && !self.selecting
            && self.executions.not_executed() < MAX_NOT_EXECUTED_ATTEMPTS
            && ctx.time_left(now) > ctx.service_time / 2
            && self.ends_before_exit()
            && !ctx.host.fleet().quarantine.is_blocked(now, ctx.fingerprint);
        if !allowed {
            return;
        }
        let granted = ctx.host.try_extra_attempt(&ctx.pool.name, ExtraAttempt::Retry);
        info!(ctx.host.log, "repeat"; "id" => ctx.id(), "after" => self.reason,
            "idempotent" => ctx.route.idempotent,
            "granted" => granted, "time_left_ms" => ctx.time_left(now).as_millis() as u64);
        if granted {
            self.select_target();
        }
    }

    /// Starts the selection of a second target while the first has not responded, if a hedge is allowed.
    fn start_hedge(&mut self) {
        self.hedge_at = None;
        let ctx = self.ctx.clone();
        let now = ctx.host.now();
        let allowed = self.executions.may_start() && !self.selecting;
        if !allowed || ctx.time_left(now) < ctx.service_time {
            return;
        }
        let granted = ctx.host.try_extra_attempt(&ctx.pool.name, ExtraAttempt::Hedge);
        info!(ctx.host.log, "hedge"; "id" => ctx.id(), "granted" => granted, "by" => "time",
            "idempotent" => ctx.route.idempotent,
            "waited_ms" => now.since(ctx.started).as_millis() as u64);
        if granted {
            self.select_target();
        }
    }

    /// Returns the final response if no attempt or selection is under way.
    fn finish_if_idle(&mut self) -> Option<Response<Full<Bytes>>> {
        (self.in_flight.is_empty() && !self.selecting).then(|| self.failure_response())
    }

    /// Returns the response to a request that failed: the last server error of a target, if there is
    /// one, and otherwise a response of this host.
    fn failure_response(&mut self) -> Response<Full<Bytes>> {
        if let Some(response) = self.failure.take() {
            return response::relayed(response);
        }
        if !self.in_flight.is_empty() {
            return response::local(StatusCode::GATEWAY_TIMEOUT);
        }
        if self.executions.may_have_executed() {
            return response::local(StatusCode::BAD_GATEWAY);
        }
        let unavailable = || Rejection::unavailable(self.reason, Duration::ZERO);
        let rejection = self.rejection.unwrap_or_else(unavailable);
        response::rejection(rejection.status, rejection.retry_after)
    }

    fn record_result(&self, rsp: &Response<Full<Bytes>>) {
        let ctx = &self.ctx;
        let now = ctx.host.now();
        for attempt in &self.in_flight {
            if now.since(attempt.sent_at) > scaled(attempt.expected, SILENT_LATENCY_FACTOR) {
                ctx.host.on_fault(&attempt.target, Fault::Silent);
            }
        }
        if self.in_flight.is_empty() && !self.executions.may_have_executed() {
            ctx.give_back_token();
        }
        let took = now.since(ctx.started);
        let status = rsp.status();
        let outcome = match status {
            s if s.is_success() => "served",
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
                if !self.executions.may_have_executed() =>
            {
                "refused"
            }
            _ => "failed",
        };
        let team = ctx.team.as_ref().map(|t| &*t.name);
        ctx.host.metrics.request(&ctx.route.name, team, outcome, took);
        info!(ctx.host.log, "request"; "id" => ctx.id(), "route" => &*ctx.route.name,
            "team" => ctx.team_name(),
            "pool" => &*ctx.pool.name, "version" => ctx.config_version, "outcome" => outcome,
            "status" => status.as_u16(), "reason" => self.reason,
            "targets" => self.tried.join(","), "took_ms" => took.as_millis() as u64,
            "limit_ms" => ctx.deadline.since(ctx.started).as_millis() as u64);
    }
}
