//! What the tests with real processes share.

use geraniummux_soak::callers::{self, Outcome};
use geraniummux_soak::harness::Harness;
use geraniummux_soak::{Options, RouteTimes};
use std::path::PathBuf;
use std::time::Duration;

/// Returns the path of the entry host program, which cargo builds next to the tests.
pub fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let path = exe.parent().and_then(|p| p.parent()).unwrap().join("geraniummux-host");
    assert!(path.exists(), "{} is missing: cargo build -p geraniummux-adapter", path.display());
    path
}

/// Returns the settings of a run of two hosts and two targets without random faults and callers. `name` is part of the
/// name of its directory.
// Not every test file uses it.
#[allow(dead_code)]
pub fn calm(seed: u64, name: &str) -> Options {
    Options {
        seed,
        fault_duration: Duration::ZERO,
        hosts: 2,
        targets: 2,
        callers: 0,
        timed: false,
        demands: false,
        refusals: false,
        restores: false,
        restarts: false,
        seed_losses: false,
        teams: None,
        route_times: RouteTimes::SHORT,
        program: program(),
        other_program: None,
        dir: std::env::temp_dir().join(format!("geraniummux-{name}-{}-{seed}", std::process::id())),
    }
}

/// Returns these settings with the programs that the environment names: of all hosts, and of every second one.
#[allow(dead_code)]
pub fn with_programs_of_env(opts: Options) -> Options {
    let other_program = std::env::var_os("GERANIUMMUX_OTHER_PROGRAM").map(Into::into);
    match std::env::var_os("GERANIUMMUX_PROGRAM") {
        Some(program) => Options { program: program.into(), other_program, ..opts },
        None => Options { other_program, ..opts },
    }
}

/// Sends one request to a host and checks that a response, if any, is complete.
// Not every test file uses it.
#[allow(dead_code)]
pub async fn send(harness: &Harness, host: usize, id: &str, idempotent: bool) -> Outcome {
    let request_addr = harness.request_addrs()[host];
    let Ok(mut sender) = callers::connect(request_addr).await else { return Outcome::NoResponse };
    let record = callers::send(harness, &mut sender, request_addr, id, idempotent).await;
    assert_eq!(record.response_error, None);
    record.outcome
}
