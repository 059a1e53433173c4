//! A short run of the soak, and the seeds that once failed.

use geraniummux_soak::{Options, run};
use std::path::PathBuf;
use std::time::Duration;

/// Seeds that once failed, with the cause, one on a line.
const REGRESSIONS: &str = include_str!("../seeds.txt");

/// Returns the program under test, which cargo builds next to the tests.
fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let path = exe.parent().and_then(|p| p.parent()).unwrap().join("geraniummux-host");
    assert!(path.exists(), "{} is missing: cargo build -p geraniummux-adapter", path.display());
    path
}

async fn play(seed: u64) {
    let opts = Options {
        seed,
        span: Duration::from_secs(6),
        hosts: 4,
        targets: 4,
        callers: 12,
        // A machine that builds at the same time can't keep promises with a time.
        timed: false,
        program: program(),
        dir: std::env::temp_dir()
            .join(format!("geraniummux-soak-test-{}-{seed}", std::process::id())),
    };
    let dir = opts.dir.clone();
    let report = run(opts).await.unwrap();
    assert!(report.broken.is_empty(), "{report}logs in {}", dir.display());
    assert!(report.served > 0, "{report}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_short_keeps_all_promises() {
    for seed in [1, 2] {
        play(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_failed_seeds_keep_all_promises() {
    for line in REGRESSIONS.lines().filter(|l| !l.starts_with('#') && !l.is_empty()) {
        play(line.split_whitespace().next().unwrap().parse().unwrap()).await;
    }
}
