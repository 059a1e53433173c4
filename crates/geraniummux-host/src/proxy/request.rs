//! The course of one request: sends, repeats, hedges, its deadline and its answer.

use super::attempt::{self, Ended, Sent};
use super::job::Job;
use super::place::{self, Placed, Placement};
use super::reply;
use crate::peers;
use crate::scheduling::Grant;
use crate::upstream::Answer;
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use geraniummux_core::Time;
use geraniummux_core::fleet::{ExtraAttempt, Fault};
use http::{Response, StatusCode};
use http_body_util::Full;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// Sends of one request that targets may refuse without having run it.
const MAX_REFUSED_SENDS: u32 = 3;
/// A request is sent to a second target when the first takes this multiple of its expected time.
const HEDGE_STRETCH: f64 = 2.0;
/// A hedge comes no earlier than after this part of the latency target.
const HEDGE_OF_TARGET: f64 = 0.4;
/// A target that takes this multiple of its expected time is reported as silent.
const SILENT_STRETCH: f64 = 3.0;

enum Step {
    Looked(Placement),
    /// A second place was connected to, or can't be used.
    Hedged(Arc<str>, Option<Placed>),
    Ended(Ended),
}

/// A send without an answer so far.
struct Flight {
    target: Arc<str>,
    addr: SocketAddr,
    sent: Time,
    expected: Duration,
}

/// The course of one request.
struct Course {
    job: Arc<Job>,
    steps: FuturesUnordered<BoxFuture<'static, Step>>,
    flights: Vec<Flight>,
    tried: Vec<Arc<str>>,
    looking: bool,
    /// Places that a scheduler gave.
    grants: Vec<Grant>,
    hedge_at: Option<Time>,
    /// Sends that may have run.
    sends: u32,
    refused_sends: u32,
    /// Whether a send ended that may have run.
    lost: bool,
    /// The last failure that a target answered with.
    failure: Option<Answer>,
    refusal: Option<(&'static str, Duration)>,
    reason: &'static str,
}

/// Runs a request to its end and returns the answer for the caller.
pub async fn run(job: Arc<Job>) -> Response<Full<Bytes>> {
    let host = job.host.clone();
    let now = host.now();
    if host.fleet().quarantine.is_blocked(now, job.fingerprint) {
        info!(host.log, "request"; "id" => job.id(), "route" => &*job.route.name,
            "outcome" => "blocked", "reason" => "crashes targets");
        host.metrics.request(&job.route.name, "blocked", Duration::ZERO);
        return reply::own(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut course = Course::new(job.clone());
    course.look();
    let limit = tokio::time::sleep(job.time_left(now));
    tokio::pin!(limit);
    let rsp = loop {
        let hedge = course.hedge_at.map(|at| at.since(host.now()));
        tokio::select! {
            biased;
            Some(step) = course.steps.next() => {
                if let Some(rsp) = course.on(step) {
                    break rsp;
                }
            }
            () = &mut limit => {
                course.reason = "deadline";
                break course.give_up();
            }
            (target, latency_factor) = next_hedge(&mut course.grants) => course.use_place(target, latency_factor),
            () = sleep(hedge) => course.hedge(),
        }
    };
    course.log(&rsp);
    rsp
}

async fn sleep(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

/// Waits for a second place.
async fn next_hedge(grants: &mut [Grant]) -> (Arc<str>, f64) {
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

impl Course {
    fn new(job: Arc<Job>) -> Self {
        Course {
            job,
            steps: FuturesUnordered::new(),
            flights: Vec::new(),
            tried: Vec::new(),
            looking: false,
            grants: Vec::new(),
            hedge_at: None,
            sends: 0,
            refused_sends: 0,
            lost: false,
            failure: None,
            refusal: None,
            reason: "",
        }
    }

    /// Begins to look for a target.
    fn look(&mut self) {
        self.looking = true;
        let (job, tried) = (self.job.clone(), self.tried.clone());
        self.steps.push(async move { Step::Looked(place::find(job, tried).await) }.boxed());
    }

    /// Takes the end of a step. Returns the answer for the caller if the request has ended.
    fn on(&mut self, step: Step) -> Option<Response<Full<Bytes>>> {
        match step {
            Step::Looked(Placement::Placed(placed)) => {
                self.looking = false;
                self.send(placed);
                None
            }
            Step::Looked(Placement::Refused { reason, retry_after }) => {
                self.looking = false;
                self.refusal = Some((reason, retry_after));
                self.reason = reason;
                self.end_if_idle()
            }
            Step::Hedged(target, placed) => {
                self.looking = false;
                match placed {
                    Some(placed) => self.send(placed),
                    None => self.decline(&target),
                }
                self.end_if_idle()
            }
            Step::Ended(Ended { target, sent, report }) => {
                if let (Some(report), Some(grant)) = (report, self.grants.last_mut()) {
                    grant.set_report(&target, report);
                }
                let flight = self.flights.iter().position(|f| f.target == target);
                let addr = flight.map(|i| self.flights.swap_remove(i).addr);
                if self.flights.is_empty() && !self.looking {
                    // Tells the schedulers that the places are free.
                    self.grants.clear();
                }
                self.on_sent(addr, sent)
            }
        }
    }

    /// Connects to a second place that a scheduler gave, if another send is allowed.
    fn use_place(&mut self, target: Arc<str>, latency_factor: f64) {
        let job = self.job.clone();
        let wanted = !self.looking && self.sends < job.route.max_attempts;
        let granted = wanted && job.host.try_extra_attempt(&job.pool.name, ExtraAttempt::Hedge);
        info!(job.host.log, "hedge"; "id" => job.id(), "granted" => granted,
            "by" => "scheduler", "target" => &*target,
            "waited_ms" => job.held_for(job.host.now()).as_millis() as u64);
        if !granted {
            self.decline(&target);
            return;
        }
        self.looking = true;
        self.hedge_at = None;
        let connect = async move {
            let conn = place::connect(&job, &target).await;
            let placed = conn.map(|conn| Placed {
                target: target.clone(),
                conn,
                latency_factor,
                grant: None,
            });
            Step::Hedged(target, placed)
        };
        self.steps.push(connect.boxed());
    }

    fn decline(&self, target: &Arc<str>) {
        for grant in &self.grants {
            grant.decline(target);
        }
    }

    fn send(&mut self, mut placed: Placed) {
        self.grants.extend(placed.grant.take());
        let now = self.job.host.now();
        let expected = self.job.service_time.mul_f64(placed.latency_factor);
        let addr = placed.conn.addr();
        self.sends += 1;
        self.tried.push(placed.target.clone());
        self.flights.push(Flight { target: placed.target.clone(), addr, sent: now, expected });
        let may_hedge = self.job.route.idempotent && self.sends < self.job.route.max_attempts;
        self.hedge_at = may_hedge.then(|| {
            let earliest = self.job.route.latency_target.mul_f64(HEDGE_OF_TARGET);
            now + expected.mul_f64(HEDGE_STRETCH).max(earliest)
        });
        let job = self.job.clone();
        self.steps.push(async move { Step::Ended(attempt::send(job, placed).await) }.boxed());
    }

    fn on_sent(&mut self, addr: Option<SocketAddr>, sent: Sent) -> Option<Response<Full<Bytes>>> {
        let idempotent = self.job.route.idempotent;
        match sent {
            Sent::Answered(answer) if idempotent && answer.status.is_server_error() => {
                self.reason = "server_error";
                self.failure = Some(answer);
            }
            Sent::Answered(answer) => {
                self.reason = "answered";
                self.retract_crash_reports(addr);
                return Some(reply::relayed(answer));
            }
            Sent::NotRun(reason) => {
                self.sends -= 1;
                self.refused_sends += 1;
                self.reason = reason;
            }
            Sent::Lost(reason) => {
                self.lost = true;
                self.reason = reason;
                if let Some(addr) = addr.filter(|_| reason == "no_answer") {
                    peers::send_crash_report(&self.job.host, self.job.fingerprint, addr, false);
                }
            }
        }
        self.repeat();
        self.end_if_idle()
    }

    /// Takes back strikes of a request that a target answered.
    fn retract_crash_reports(&self, addr: Option<SocketAddr>) {
        let (host, fingerprint) = (&self.job.host, self.job.fingerprint);
        let now = host.now();
        let cleared = {
            let quarantine = &mut host.fleet().quarantine;
            !quarantine.is_empty() && quarantine.record_answer(now, fingerprint)
        };
        if let Some(addr) = addr.filter(|_| cleared) {
            peers::send_crash_report(host, fingerprint, addr, true);
        }
    }

    /// Looks for another target after a failed send, if that is allowed.
    fn repeat(&mut self) {
        let job = self.job.clone();
        let now = job.host.now();
        let repeatable = job.route.idempotent || !self.lost;
        let allowed = repeatable
            && self.flights.is_empty()
            && !self.looking
            && self.sends < job.route.max_attempts
            && self.refused_sends < MAX_REFUSED_SENDS
            && job.time_left(now) > job.service_time / 2
            && !job.host.fleet().quarantine.is_blocked(now, job.fingerprint);
        if !allowed {
            return;
        }
        let granted = job.host.try_extra_attempt(&job.pool.name, ExtraAttempt::Retry);
        info!(job.host.log, "repeat"; "id" => job.id(), "after" => self.reason,
            "granted" => granted, "time_left_ms" => job.time_left(now).as_millis() as u64);
        if granted {
            self.look();
        }
    }

    /// Looks for a second target while the first has not answered.
    fn hedge(&mut self) {
        self.hedge_at = None;
        let job = self.job.clone();
        let now = job.host.now();
        if self.looking || job.time_left(now) < job.service_time {
            return;
        }
        let granted = job.host.try_extra_attempt(&job.pool.name, ExtraAttempt::Hedge);
        info!(job.host.log, "hedge"; "id" => job.id(), "granted" => granted, "by" => "time",
            "waited_ms" => now.since(job.started).as_millis() as u64);
        if granted {
            self.look();
        }
    }

    /// Returns the final answer if nothing is under way.
    fn end_if_idle(&mut self) -> Option<Response<Full<Bytes>>> {
        (self.flights.is_empty() && !self.looking).then(|| self.give_up())
    }

    /// Returns the answer to a request that was not served.
    fn give_up(&mut self) -> Response<Full<Bytes>> {
        if let Some(answer) = self.failure.take() {
            return reply::relayed(answer);
        }
        if !self.flights.is_empty() {
            return reply::own(StatusCode::GATEWAY_TIMEOUT);
        }
        if self.lost {
            return reply::own(StatusCode::BAD_GATEWAY);
        }
        let (_, retry_after) = self.refusal.unwrap_or_default();
        reply::retry_later(retry_after)
    }

    fn log(&self, rsp: &Response<Full<Bytes>>) {
        let job = &self.job;
        let now = job.host.now();
        for flight in &self.flights {
            if now.since(flight.sent) > flight.expected.mul_f64(SILENT_STRETCH) {
                job.host.on_fault(&flight.target, Fault::Silent);
            }
        }
        let took = now.since(job.started);
        let status = rsp.status();
        let outcome = match status {
            s if s.is_success() => "served",
            StatusCode::SERVICE_UNAVAILABLE if !self.lost => "refused",
            _ => "failed",
        };
        job.host.metrics.request(&job.route.name, outcome, took);
        info!(job.host.log, "request"; "id" => job.id(), "route" => &*job.route.name,
            "pool" => &*job.pool.name, "version" => job.version, "outcome" => outcome,
            "status" => status.as_u16(), "reason" => self.reason,
            "targets" => self.tried.join(","), "took_ms" => took.as_millis() as u64,
            "limit_ms" => job.limit.since(job.started).as_millis() as u64);
    }
}
