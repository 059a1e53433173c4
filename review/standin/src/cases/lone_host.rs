//! A host joins whose seeds are gone. The backends limit the rate of their requests.

use super::{Context, Deployment, Route, SHORT, config, send_all};
use crate::Verdict;
use crate::backend::Options;
use std::thread;
use std::time::Duration;

/// `stability-window-s`.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Requests a second that each backend takes from all machines together.
const LIMIT_PER_S: f64 = 10.0;
/// The span in which the rule counts.
const SPAN: Duration = Duration::from_secs(4);
const OBSERVED: Duration = Duration::from_secs(12);
const BACKENDS: u32 = 4;

pub fn run(cx: &Context) -> Verdict {
    let mut d = Deployment::new(cx, 4);
    let routes = [Route {
        name: "r-lookup",
        prefix: "/lookup/",
        kind: "safe",
        service: "ledger",
        times: SHORT,
    }];
    d.store.put("config", "main", &config(7, &routes, &["ledger"]));
    let backend = |n| {
        let opts = Options {
            service: "ledger",
            slots: 6,
            work: Duration::from_millis(40),
            crash_on: None,
            down: Duration::ZERO,
        };
        d.backend(&format!("ledger-{n}"), opts)
    };
    let backends: Vec<_> = (1..=BACKENDS).map(backend).collect();
    if cx.trouble {
        d.hosts[3].set_gone_seeds();
    }
    d.start_hosts();
    if !d.await_ready() {
        return Verdict::CouldNotRun;
    }
    // All machines are in touch, and know each other as far as they will.
    thread::sleep(2 * STABILITY_WINDOW);
    for h in &d.hosts {
        d.record.line(&format!("{} names as hosts: {}", h.name, h.resolve()));
    }
    let end = d.record.now() + 2 * STABILITY_WINDOW + OBSERVED;
    let clients = send_all(&d, "/lookup/1", 12, Duration::from_millis(75), end);
    thread::sleep(STABILITY_WINDOW);
    backends.iter().for_each(|b| b.set_limit(LIMIT_PER_S));
    let named = d.record.now();
    clients.join();
    let allowed = 1.5 * LIMIT_PER_S * SPAN.as_secs_f64() + 5.0;
    let mut most = 0;
    let runs = d.runs.lock().unwrap();
    for n in 1..=BACKENDS {
        let id = format!("ledger-{n}-1");
        let arrivals: Vec<Duration> = runs
            .iter()
            .filter(|r| r.backend == id && r.at >= named + STABILITY_WINDOW)
            .map(|r| r.at)
            .collect();
        let in_span = |from: &Duration| {
            arrivals.iter().filter(|a| *from <= **a && **a < *from + SPAN).count()
        };
        let of_backend = arrivals.iter().map(in_span).max().unwrap_or(0);
        d.record.line(&format!(
            "{id}: at most {of_backend} requests in {} s, from {} s after it named its limit; {allowed} are allowed",
            SPAN.as_secs(),
            STABILITY_WINDOW.as_secs()
        ));
        most = most.max(of_backend);
    }
    if most as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
