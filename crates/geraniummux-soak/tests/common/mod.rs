//! What the tests with real processes share.

use geraniummux_soak::callers::{self, Outcome};
use geraniummux_soak::harness::Harness;
use std::path::PathBuf;

/// Returns the path of the entry host program, which cargo builds next to the tests.
pub fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let path = exe.parent().and_then(|p| p.parent()).unwrap().join("geraniummux-host");
    assert!(path.exists(), "{} is missing: cargo build -p geraniummux-adapter", path.display());
    path
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
