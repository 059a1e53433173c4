//! Slot requests that await decisions.

use geraniummux_host::pending::PendingSlots;
use std::net::SocketAddr;

/// Slot requests that one process sends in a test.
const REQUESTS: usize = 1_000;

fn scheduler() -> SocketAddr {
    "127.9.9.1:1".parse().unwrap()
}

/// Guards against a restarted process that gives its requests the numbers of its former run: a scheduler would take
/// their ends and decisions for those of others (TWICE, LIMIT).
#[test]
fn open_numbers_differ_between_processes() {
    let processes: Vec<PendingSlots> = (0..20).map(|_| PendingSlots::default()).collect();
    let mut numbers = Vec::new();
    for process in &processes {
        numbers.extend((0..REQUESTS).map(|_| process.open(scheduler()).0));
    }
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), processes.len() * REQUESTS);
}
