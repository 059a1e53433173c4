//! Attempts of one request.

use geraniummux_core::fleet::Executions;
use proptest::prelude::*;

/// Guards against a second attempt of a request that must run once (TWICE), whatever asks for it.
#[test]
fn start_not_idempotent_runs_once() {
    let mut executions = Executions::new(false, 3);
    let first = executions.start().unwrap();
    assert!(!executions.may_start());
    assert!(executions.start().is_none());
    executions.end(first, false);
    let second = executions.start().expect("the first was not executed");
    executions.end(second, true);
    assert!(executions.start().is_none());
    assert!(executions.may_have_executed());
    assert_eq!(executions.not_executed(), 1);
}

/// Guards against more attempts than the route allows.
#[test]
fn start_idempotent_runs_as_often_as_allowed() {
    let mut executions = Executions::new(true, 2);
    let (first, second) = (executions.start().unwrap(), executions.start().unwrap());
    assert!(executions.start().is_none());
    executions.end(first, false);
    executions.end(second, true);
    let third = executions.start().unwrap();
    assert!(executions.start().is_none());
    executions.end(third, true);
    assert!(executions.start().is_none());
}

/// Guards against a route without attempts, whose requests would never be sent.
#[test]
fn start_without_attempts_runs_once() {
    for idempotent in [false, true] {
        let mut executions = Executions::new(idempotent, 0);
        let first = executions.start().unwrap();
        assert!(executions.start().is_none());
        executions.end(first, true);
        assert!(executions.start().is_none());
    }
}

proptest! {
    /// Guards against an order of starts and ends in which more targets than allowed may execute a request.
    #[test]
    fn start_any_order_stays_within_the_attempts(
        idempotent: bool,
        max_attempts in 1_u32..5,
        steps in proptest::collection::vec((any::<bool>(), any::<bool>(), any::<prop::sample::Index>()), 0..40),
    ) {
        let mut executions = Executions::new(idempotent, max_attempts);
        let (mut under_way, mut executed) = (Vec::new(), 0);
        let allowed = if idempotent { max_attempts as usize } else { 1 };
        for (starts, may_have_executed, which) in steps {
            if starts {
                under_way.extend(executions.start());
            } else if !under_way.is_empty() {
                let permit = under_way.swap_remove(which.index(under_way.len()));
                executions.end(permit, may_have_executed);
                executed += usize::from(may_have_executed);
            }
            prop_assert!(under_way.len() + executed <= allowed);
        }
    }
}
