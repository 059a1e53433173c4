//! The store loses its answers to the watches that wait for a change of the configuration. Later, calm changes
//! have to be in force in time all the same.

use super::{Attempt, Context, Deployment, Route, SHORT, config, send};
use crate::Verdict;
use crate::backend::Options;
use std::thread;
use std::time::Duration;

/// `stability-window-s`: a machine is in touch so long after the end of a disturbance of the store.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// `config-apply-s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// How long the store loses answers.
const LOSS: Duration = Duration::from_millis(1_000);
/// How long requests are sent after the last change is due.
const OBSERVED: Duration = Duration::from_secs(5);

fn options(service: &'static str) -> Options {
    let work = Duration::from_millis(20);
    Options { service, slots: 6, work, crash_on: None, down: Duration::ZERO }
}

pub fn run(cx: &Context) -> Verdict {
    let mut d = Deployment::new(cx, 3);
    let services = ["ledger", "archive"];
    let lookup = |service| Route {
        name: "r-lookup",
        prefix: "/lookup/",
        kind: "safe",
        service,
        times: SHORT,
    };
    let fetch =
        |service| Route { name: "r-fetch", prefix: "/fetch/", kind: "safe", service, times: SHORT };
    let survey = || Route {
        name: "r-survey",
        prefix: "/survey/",
        kind: "safe",
        service: "archive",
        times: SHORT,
    };
    d.store.put("config", "main", &config(7, &[lookup("ledger"), fetch("ledger")], &services));
    for service in services {
        for n in 1..=3 {
            d.backend(&format!("{service}-{n}"), options(service));
        }
    }
    d.start_hosts();
    if !d.await_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(5));

    // A change in calm times, which all hosts adopt. The readers of the store begin new watches after it.
    let routes = [lookup("ledger"), fetch("ledger"), survey()];
    d.store.put("config", "main", &config(9, &routes, &services));
    thread::sleep(Duration::from_secs(3));
    let calm: Vec<Attempt> = attempts(&d, "/survey/1");
    if calm.iter().any(|a| a.ended.status() != 200) {
        d.record.line("a change in calm times is not in force after 3 s");
        return Verdict::CouldNotRun;
    }

    if cx.trouble {
        d.store.lose_watch_answers(true);
        d.record.line("the store begins to lose answers to watches");
    }
    let begun = d.record.now();
    thread::sleep(Duration::from_millis(100));
    let routes = [lookup("ledger"), fetch("archive"), survey()];
    d.store.put("config", "main", &config(12, &routes, &services));
    let first_acknowledged = d.record.now();
    thread::sleep(LOSS - Duration::from_millis(100));
    let (answered, lost) = d.store.lose_watch_answers(false);
    let ended = d.record.now();
    if cx.trouble {
        d.record.line(&format!(
            "the store loses no more answers: {lost} were lost and {answered} given in {:.1} s",
            (ended - begun).as_secs_f64()
        ));
        if lost == 0 {
            return Verdict::CouldNotRun;
        }
    }

    // From here on the store is calm, and all machines are in touch.
    thread::sleep(STABILITY_WINDOW + Duration::from_millis(200));
    let routes = [lookup("archive"), fetch("archive"), survey()];
    d.store.put("config", "main", &config(13, &routes, &services));
    let acknowledged = d.record.now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
    let mut old = [0, 0];
    let mut sent = 0;
    while d.record.now() < acknowledged + CONFIG_APPLY + OBSERVED {
        for (i, path) in ["/fetch/1", "/lookup/1"].into_iter().enumerate() {
            for attempt in attempts(&d, path) {
                sent += 1;
                let runs = d.runs.lock().unwrap();
                let by_old = runs.iter().any(|r| r.id == attempt.id && r.service == "ledger");
                old[i] += usize::from(by_old);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    d.record.line(&format!(
        "of {sent} requests, sent {:.1} s and more after version c and {:.1} s and more after version d were \
         acknowledged, by machines in touch, {} of /fetch/ were run by the service before version c, and {} of \
         /lookup/ by the service before version d",
        (acknowledged + CONFIG_APPLY - first_acknowledged).as_secs_f64(),
        CONFIG_APPLY.as_secs_f64(),
        old[0],
        old[1]
    ));
    if old[0] + old[1] > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request to each host.
fn attempts(d: &Deployment, path: &str) -> Vec<Attempt> {
    d.hosts.iter().map(|h| send(&d.record, &h.name, h.front(), "GET", path)).collect()
}
