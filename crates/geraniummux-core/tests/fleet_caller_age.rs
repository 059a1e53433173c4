//! Estimates of how long callers have waited before a request.

use geraniummux_core::fleet::CallerAge;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Load pattern: rejected callers return with what is left of their time.
#[test]
fn observe_returning_caller_has_waited() {
    let mut age = CallerAge::default();
    for _ in 0..30 {
        assert_eq!(age.observe(ms(1_500)), ms(0));
    }
    for _ in 0..30 {
        assert_eq!(age.observe(ms(1_500)), ms(0));
        let waited = age.observe(ms(1_100));
        assert!(waited > ms(380) && waited <= ms(400), "{waited:?}");
    }
}

/// Guards against callers that wait less than others on the same route being taken for returning ones.
#[test]
fn observe_callers_with_different_deadlines_gives_no_estimate() {
    let mut age = CallerAge::default();
    for n in 0..200u64 {
        let left = 500 + 10 * (n * 7_919 % 100);
        assert_eq!(age.observe(ms(left)), ms(0), "{left} ms");
    }
}

/// Guards against one caller with a very long deadline that makes all others look like returning ones.
#[test]
fn observe_rare_long_deadline_gives_no_estimate() {
    let mut age = CallerAge::default();
    (0..100).for_each(|_| assert_eq!(age.observe(ms(1_500)), ms(0)));
    assert_eq!(age.observe(ms(60_000)), ms(0));
    let wrong = (0..10_000).filter(|_| !age.observe(ms(1_500)).is_zero()).count();
    assert!(wrong <= 50, "{wrong} of 10000");
    // The long deadline is forgotten in the end.
    let repeated = (0..30).filter(|_| !age.observe(ms(1_500)).is_zero()).count();
    assert_eq!(repeated, 0);
    assert!(age.observe(ms(1_000)) > ms(400));
}

/// Guards against estimates from the first few requests.
#[test]
fn observe_first_requests_gives_no_estimate() {
    let mut age = CallerAge::default();
    for left in [1_500, 1_000, 1_500, 900, 1_500] {
        assert_eq!(age.observe(ms(left)), ms(0));
    }
}
