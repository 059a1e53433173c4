//! Measures the cost of a pool's scheduler by the number of targets and of waiting requests.
//!
//! Run with `cargo run --release -p geraniummux-core --example scheduler_cost`. The figures depend
//! on the machine, so CI does not run this.

use geraniummux_core::Time;
use geraniummux_core::fleet::{
    RegisteredTarget, RequestKey, Scheduler, SchedulerOptions, SlotRequest, TargetReport,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of events over which a cost is averaged.
const EVENTS: u32 = 500;
const SLOTS: u32 = 6;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(number: u64) -> RequestKey {
    RequestKey { host: "host".into(), number }
}

fn request() -> SlotRequest {
    SlotRequest {
        failure_domain: "a".into(),
        priority: 1,
        service_time: ms(120),
        body_bytes: 2_000,
        time_left: ms(600_000),
        latency_target_left: ms(600_000),
        hedgeable: true,
        avoid: Vec::new(),
    }
}

/// Returns a scheduler whose pool is full if any requests wait, and half full otherwise, and the number
/// of the next request.
fn scheduler(targets: u32, waiting: u32, now: Time) -> (Scheduler, u64) {
    let registered: Vec<RegisteredTarget> = (0..targets)
        .map(|i| RegisteredTarget {
            id: format!("t{i:04}").into(),
            pool: "pool".into(),
            addr: "127.0.0.1:1".parse().expect("a valid address"),
            failure_domain: format!("d{}", i % 5).into(),
            slots: SLOTS,
            leaving: false,
            warm_up: Duration::ZERO,
            started_unix_ms: 0,
        })
        .collect();
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    scheduler.update(registered.iter().map(|t| (t, false)));
    let full = if waiting > 0 { targets * (SLOTS + 1) + waiting } else { targets * SLOTS / 2 };
    for n in 0..full {
        scheduler.on_request(now, key(n.into()), request());
    }
    (scheduler, full.into())
}

/// Adds the time that a call takes.
fn timed<F, R>(total: &mut Duration, call: F)
where
    F: FnOnce() -> R,
{
    let start = Instant::now();
    drop(call());
    *total += start.elapsed();
}

fn main() {
    println!("us per event");
    println!("{:>8} {:>8} {:>10} {:>10} {:>10}", "targets", "waiting", "request", "end", "report");
    for (targets, waiting) in
        [(20, 0), (20, 40), (180, 0), (180, 40), (408, 0), (408, 40), (408, 400), (520, 0)]
    {
        let now = Time::from_millis(1_000_000);
        let (mut s, first) = scheduler(targets, waiting, now);
        let ids: Vec<Arc<str>> = (0..targets).map(|i| format!("t{i:04}").into()).collect();
        let report = TargetReport { running: SLOTS / 2, waiting: 0, slots: SLOTS, slowdown: 1.2 };
        let mut times = [Duration::ZERO; 3];
        for i in 0..EVENTS {
            let now = now + ms(u64::from(i));
            let id = ids[i as usize % ids.len()].clone();
            let [requests, ends, reports] = &mut times;
            timed(requests, || s.on_request(now, key(first + u64::from(i)), request()));
            // With a full pool, the end of an early request grants its slot to one that waits.
            let ended = if waiting > 0 { u64::from(i) } else { first + u64::from(i) };
            timed(ends, || s.on_grant_ended(now, &key(ended), None));
            timed(reports, || {
                s.on_report(now, &id, &report);
                s.tick(now)
            });
        }
        let [requests, ends, reports] = times.map(|t| t.as_secs_f64() * 1e6 / f64::from(EVENTS));
        println!("{targets:>8} {waiting:>8} {requests:>10.1} {ends:>10.1} {reports:>10.1}");
    }
}
