//! A host is stopped. It still takes requests that its targets can't end before it exits, and breaks them off.

use super::{Attempt, Context, Deployment, Route, Times, config, send_with};
use crate::Verdict;
use crate::backend::Options;
use std::thread;
use std::time::Duration;

/// `grace-s` of the large deployment.
const GRACE_S: u32 = 10;
/// Requests that are sent later after the SIGTERM have no excuse.
const EXCUSED: Duration = Duration::from_secs(3);
/// Time budget of a client, and timeout of the route.
const BUDGET: Duration = Duration::from_secs(8);
/// Usual work of a request, and the most that the sheet has for this kind.
const WORK: Duration = Duration::from_secs(1);
const MOST_WORK: Duration = Duration::from_secs(6);
const LONG: &str = "/issue/long";
/// When the requests are sent, in milliseconds after the SIGTERM.
const SENT_AT_MS: [u64; 5] = [1_000, 3_300, 3_700, 4_000, 4_300];

pub fn run(cx: &Context) -> Verdict {
    let mut d = Deployment::with_grace(cx, 3, GRACE_S);
    let times = Times { timeout: 8.0, target_latency: 2.5 };
    let routes =
        [Route { name: "r-issue", prefix: "/issue/", kind: "unsafe", service: "ledger", times }];
    d.store.put("config", "main", &config(7, &routes, &["ledger"]));
    for n in 1..=4 {
        let opts = Options {
            service: "ledger",
            slots: 6,
            work: WORK,
            crash_on: None,
            down: Duration::ZERO,
        };
        d.backend(&format!("ledger-{n}"), opts).set_work_on(LONG, MOST_WORK);
    }
    d.start_hosts();
    if !d.await_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let front = d.hosts[0].front();
    let client = |path: &'static str, after: Duration| {
        let (record, name) = (d.record.clone(), d.hosts[0].name.clone());
        thread::spawn(move || {
            thread::sleep(after);
            send_with(&record, &name, front, "POST", path, BUDGET)
        })
    };
    // Usual traffic, by which the host knows how long requests take.
    let usual: Vec<_> =
        (0..24).map(|i| client("/issue/1", Duration::from_millis(200) * i)).collect();
    for c in usual {
        if c.join().is_ok_and(|a: Attempt| a.ended.status() != 200) {
            return Verdict::CouldNotRun;
        }
    }
    if cx.trouble {
        d.hosts[0].terminate();
    }
    let stopped = d.record.now();
    // Clients keep the host list for some seconds, and connect to the host.
    let long: Vec<_> =
        SENT_AT_MS.iter().map(|ms| client(LONG, Duration::from_millis(*ms))).collect();
    let attempts: Vec<Attempt> = long.into_iter().filter_map(|c| c.join().ok()).collect();
    let runs = d.runs.lock().unwrap();
    let mut broken = 0;
    for a in &attempts {
        let ran = runs.iter().any(|r| r.id == a.id);
        let served = a.ended.status() == 200;
        let is_excused = a.at < stopped + EXCUSED;
        broken += usize::from(ran && !served && !is_excused);
        d.record.line(&format!(
            "{} was sent {:.1} s after the SIGTERM: {}, {}",
            a.id,
            (a.at - stopped).as_secs_f64(),
            if ran { "a backend was at work on it" } else { "not run" },
            a.ended.describe()
        ));
    }
    d.record.line(&format!(
        "{broken} requests that were sent later than {} s after the SIGTERM were passed on, and broken off while \
         their backends were at work",
        EXCUSED.as_secs()
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
