//! Another writer leaves an entry among the servers. Then all processes are killed and start again.

use super::{Context, Deployment, Route, SHORT, config, send_all, served};
use crate::Verdict;
use crate::backend::Options;
use std::thread;
use std::time::Duration;

/// `value-bytes`.
const VALUE_BYTES: usize = 1_048_576;
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long requests are counted after the recovery.
const OBSERVED: Duration = Duration::from_secs(5);

pub fn run(cx: &Context) -> Verdict {
    let mut d = Deployment::new(cx, 3);
    let routes = [Route {
        name: "r-lookup",
        prefix: "/lookup/",
        kind: "safe",
        service: "ledger",
        times: SHORT,
    }];
    d.store.put("config", "main", &config(7, &routes, &["ledger"]));
    for n in 1..=4 {
        let opts = Options {
            service: "ledger",
            slots: 6,
            work: Duration::from_millis(20),
            crash_on: None,
            down: Duration::ZERO,
        };
        d.backend(&format!("ledger-{n}"), opts);
    }
    d.start_hosts();
    if !d.await_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let end = d.record.now() + Duration::from_secs(8) + RECOVERY + OBSERVED;
    let clients = send_all(&d, "/lookup/1", 3, Duration::from_millis(200), end);
    thread::sleep(Duration::from_secs(2));
    if cx.trouble {
        // An entry without the fields of a server, as large as the store takes it.
        let rest = r#"{"copied-from":"ledger-1","note":""}"#.len();
        let spec =
            format!(r#"{{"copied-from":"ledger-1","note":"{}"}}"#, "x".repeat(VALUE_BYTES - rest));
        d.store.put("servers", "copy of ledger-1", &spec);
    }
    thread::sleep(Duration::from_secs(4));
    let fault = d.record.now();
    d.hosts.iter_mut().for_each(|h| h.kill());
    thread::sleep(Duration::from_millis(500));
    d.start_hosts();
    let back = d.record.now();
    let attempts = clients.join();
    let (before, share_before) = served(attempts.iter().filter(|a| a.at < fault));
    let (after, share_after) = served(attempts.iter().filter(|a| a.at > back + RECOVERY));
    for h in &d.hosts {
        if let Some(line) = h.log_lines("list_targets").last() {
            d.record.line(&format!("log of {}: {line}", h.name));
        }
        d.record.line(&format!("{} is {}ready", h.name, if h.is_ready() { "" } else { "not " }));
    }
    d.record.line(&format!(
        "served before the final fault: {before} ({share_before:.2} of those sent); of those sent later than {} s \
         after the machines were back: {after} ({share_after:.2})",
        RECOVERY.as_secs()
    ));
    if share_before < 0.25 {
        return Verdict::CouldNotRun;
    }
    if share_after < 0.25 { Verdict::Broken } else { Verdict::Held }
}
