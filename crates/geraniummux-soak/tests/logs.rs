//! What the logs of the hosts tell.

use geraniummux_soak::logs::LogCounts;

fn count(lines: &[&str]) -> LogCounts {
    let mut counts = LogCounts::default();
    counts.add(&lines.join("\n"));
    counts
}

/// Guards against a count of requests on one connection that misses them, or takes the connections of two processes
/// for one.
#[test]
fn add_id_twice_on_a_connection_of_one_process_is_counted() {
    let started = "time=1 level=INFO event=started host=host-0 listen=127.0.0.1:1";
    let send = "time=2 level=INFO event=send host=host-0 conn_messages_before=0 conn=1 id=a";
    let other_id = "time=3 level=INFO event=send host=host-0 conn_messages_before=1 conn=1 id=b";
    let other_conn = "time=4 level=INFO event=send host=host-0 conn_messages_before=1 conn=11 id=a";
    let counts = count(&[started, send, other_id, other_conn, started, send]);
    assert_eq!(counts, LogCounts { attempts: 4, ..LogCounts::default() });
    let counts = count(&[started, send, other_id, send]);
    assert_eq!(counts, LogCounts { attempts: 3, same_connection: 1, ..LogCounts::default() });
}

/// Guards against a count of attempts that takes builds which log no connection for ones that kept to the rule.
#[test]
fn add_attempt_without_connection_is_counted_apart() {
    let send = "time=2 level=INFO event=send host=host-0 target=t-1 id=a";
    let counts = count(&[send, send]);
    assert_eq!(counts, LogCounts { attempts: 2, without_connection: 2, ..LogCounts::default() });
}

/// Guards against a count of repeats that takes in those that were not made or may be made freely.
#[test]
fn add_only_granted_repeats_of_requests_that_run_once_are_counted() {
    let counts = count(&[
        "event=repeat granted=true idempotent=false after=refused id=a",
        "event=repeat granted=false idempotent=false after=refused id=a",
        "event=repeat granted=true idempotent=true after=refused id=b",
        "time=5 level=WARN event=lines_left_out count=12",
    ]);
    assert_eq!(counts, LogCounts { repeats: 1, dropped_lines: 12, ..LogCounts::default() });
}
