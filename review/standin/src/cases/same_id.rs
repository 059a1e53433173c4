//! The backends of a service restart one after the other, each under the id that it had.

use super::{Attempt, Context, Deployment, Route, SHORT, config, send_all, served};
use crate::Verdict;
use crate::backend::Options;
use std::thread;
use std::time::Duration;

/// `drain-s`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_200);
/// Time for which a backend is down.
const DOWN: Duration = Duration::from_millis(800);
/// Time between the restarts of two backends.
const GAP: Duration = Duration::from_millis(500);
/// How long requests are sent after the last restart.
const OBSERVED: Duration = Duration::from_secs(75);
/// Time between two requests of a client.
const PERIOD: Duration = Duration::from_millis(500);
const BACKENDS: u32 = 3;

pub fn run(cx: &Context) -> Verdict {
    let mut d = Deployment::new(cx, 3);
    let routes = [
        Route {
            name: "r-lookup",
            prefix: "/lookup/",
            kind: "safe",
            service: "ledger",
            times: SHORT,
        },
        Route {
            name: "r-fetch",
            prefix: "/fetch/",
            kind: "safe",
            service: "archive",
            times: SHORT,
        },
    ];
    d.store.put("config", "main", &config(7, &routes, &["ledger", "archive"]));
    let start = |service: &'static str, work: u64| {
        let backend = |n| {
            let work = Duration::from_millis(work);
            let opts = Options { service, slots: 6, work, crash_on: None, down: Duration::ZERO };
            d.backend(&format!("{service}-{n}"), opts)
        };
        (1..=BACKENDS).map(backend).collect::<Vec<_>>()
    };
    let ledger = start("ledger", 300);
    let _archive = start("archive", 120);
    d.start_hosts();
    if !d.await_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let calm = Duration::from_secs(3);
    let cycle = GAP + DRAIN + DOWN;
    let end = d.record.now() + calm + cycle * BACKENDS + OBSERVED;
    let lookups = send_all(&d, "/lookup/1", 12, PERIOD, end);
    let fetches = send_all(&d, "/fetch/1", 12, PERIOD, end);
    thread::sleep(calm);
    if cx.trouble {
        for backend in &ledger {
            backend.restart(DRAIN, DOWN);
            thread::sleep(GAP);
        }
        d.record.line("all backends of the ledger have started again and are registered as ready");
    }
    let restarted = d.record.now();
    let (lookups, fetches) = (lookups.join(), fetches.join());
    let (_, of_lookups) = served(lookups.iter());
    let (_, of_all) = served(lookups.iter().chain(&fetches));
    // Five seconds are ample for the backends to be known and used again.
    let late = |a: &&Attempt| a.at > restarted + Duration::from_secs(5);
    let (served_late, share_late) = served(lookups.iter().filter(late));
    d.record.line(&format!(
        "served: {of_lookups:.3} of the lookups and {of_all:.3} of all requests of the day; of the lookups that were \
         sent later than 5 s after all backends were back, {served_late} ({share_late:.3})"
    ));
    if of_lookups < of_all / 4.0 { Verdict::Broken } else { Verdict::Held }
}
