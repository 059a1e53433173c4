//! The memory for bodies under large responses and responses without end.

use geraniummux_core::fleet::{BodyBudget, BodyOptions};
use std::sync::Arc;

const CAPACITY: u64 = 1 << 20;

fn budget() -> BodyBudget {
    BodyBudget::new(BodyOptions::with_capacity(CAPACITY))
}

fn name(name: &str) -> Arc<str> {
    name.into()
}

/// Load pattern: downloads fill the memory for bodies. Short requests on other routes are admitted
/// beside them.
#[test]
fn admit_downloads_leave_room_for_other_routes() {
    let mut budget = budget();
    let admitted = (0..1_000).filter(|_| budget.admit(&name("downloads"), 90_000)).count();
    assert_eq!(admitted as u64, CAPACITY / 2 / 90_000);
    let others = (0..100).filter(|_| budget.admit(&name("lookups"), 1_500)).count();
    assert_eq!(others, 100);
    assert!(budget.held() <= CAPACITY);
}

/// A body of more than a route's share is admitted if the route holds nothing else.
#[test]
fn admit_single_large_body() {
    let mut budget = budget();
    assert!(budget.admit(&name("uploads"), CAPACITY * 3 / 4));
    assert!(!budget.admit(&name("uploads"), 1));
    budget.release(&name("uploads"), CAPACITY * 3 / 4);
    assert!(budget.admit(&name("uploads"), 1));
    assert!(!budget.admit(&name("others"), CAPACITY));
}

/// Guards against an overflow of the host's memory by bodies that are larger than expected.
#[test]
fn grow_is_bounded_by_the_reserve() {
    let mut budget = budget();
    let grown = (0..10_000).filter(|_| budget.grow(&name("r"), 1_000)).count() as u64;
    assert_eq!(grown, CAPACITY * 5 / 4 / 1_000);
    assert!(!budget.admit(&name("other"), 1));
    budget.release(&name("r"), grown * 1_000);
    assert_eq!(budget.held(), 0);
}

/// The limit of a response follows the route's own responses, within bounds.
#[test]
fn response_limit_follows_the_largest_response() {
    let mut budget = budget();
    let route = name("r");
    assert_eq!(budget.response_limits(&route).undeclared, CAPACITY / 32);
    budget.on_response(&route, 100);
    assert_eq!(budget.response_limits(&route).undeclared, CAPACITY / 64);
    budget.on_response(&route, 20_000);
    budget.on_response(&route, 10_000);
    assert_eq!(budget.response_limits(&route).undeclared, 80_000);
    budget.on_response(&route, CAPACITY);
    assert_eq!(budget.response_limits(&route).undeclared, CAPACITY / 4);
}

/// A response that declares its length is accepted up to the same size on all routes.
#[test]
fn response_limit_declared_length_is_independent_of_the_route() {
    let mut budget = budget();
    assert_eq!(budget.response_limits(&name("new")).declared, CAPACITY / 4);
    budget.on_response(&name("old"), 100);
    assert_eq!(budget.response_limits(&name("old")).declared, CAPACITY / 4);
}

/// One target that sends bytes without end doesn't raise the limit, however often it does so.
#[test]
fn response_limit_one_endless_target_does_not_raise_it() {
    let mut budget = budget();
    let route = name("r");
    budget.on_response(&route, 20_000);
    for _ in 0..50 {
        budget.on_limit_exceeded(&route, &name("endless"));
    }
    assert_eq!(budget.response_limits(&route).undeclared, 80_000);
    // Other responses in between show that the limit is right.
    budget.on_response(&route, 20_000);
    budget.on_limit_exceeded(&route, &name("endless too"));
    assert_eq!(budget.response_limits(&route).undeclared, 80_000);
}

/// Guards against a route whose responses have become larger being cut off for good.
#[test]
fn response_limit_several_targets_raise_it() {
    let mut budget = budget();
    let route = name("r");
    budget.on_response(&route, 20_000);
    budget.on_limit_exceeded(&route, &name("a"));
    budget.on_limit_exceeded(&route, &name("b"));
    assert_eq!(budget.response_limits(&route).undeclared, 160_000);
    for _ in 0..8 {
        budget.on_limit_exceeded(&route, &name("a"));
        budget.on_limit_exceeded(&route, &name("b"));
    }
    assert_eq!(budget.response_limits(&route).undeclared, CAPACITY / 4);
}

/// Guards against memory that grows with the names of routes that were ever configured, and against bytes that are no
/// longer counted because their route is gone.
#[test]
fn retain_routes_keeps_those_that_hold_bytes() {
    let mut budget = budget();
    let initial = budget.response_limits(&name("gone")).undeclared;
    for route in ["gone", "busy", "here"] {
        assert!(budget.admit(&name(route), 1_000));
        budget.on_response(&name(route), CAPACITY / 8);
    }
    for route in ["gone", "here"] {
        budget.release(&name(route), 1_000);
    }
    assert!(!budget.retain_routes(|route| route == "here"));
    assert_eq!(budget.held(), 1_000);
    assert!(budget.response_limits(&name("here")).undeclared > initial);
    budget.release(&name("busy"), 1_000);
    assert!(budget.retain_routes(|route| route == "here"));
    assert_eq!(budget.held(), 0);
    for route in ["gone", "busy"] {
        assert_eq!(budget.response_limits(&name(route)).undeclared, initial, "{route}");
    }
}
