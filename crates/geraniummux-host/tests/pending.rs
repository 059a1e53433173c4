//! Slot requests that await decisions.

use geraniummux_core::fleet::SlotDecision;
use geraniummux_host::pending::{Delivery, PendingSlots};
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

/// Guards against decisions that are not delivered because requests were added out of order by two threads, so that
/// the scheduler counts as unresponsive.
#[test]
fn deliver_requests_of_several_threads_get_their_decisions() {
    let slots = PendingSlots::default();
    let open_all = || (0..REQUESTS).map(|_| slots.open(scheduler())).collect::<Vec<_>>();
    let opened = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(open_all)).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect::<Vec<_>>()
    });
    for (number, mut decisions) in opened {
        let delivery = slots.deliver(scheduler(), number, SlotDecision::Wait);
        assert_eq!(delivery, Delivery::Delivered, "{number}");
        assert_eq!(decisions.try_recv().unwrap(), SlotDecision::Wait);
    }
}
