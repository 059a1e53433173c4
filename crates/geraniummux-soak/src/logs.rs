//! What the logs of the hosts tell about a run. Hosts drop lines beyond a rate, and a killed process loses
//! its last ones, so that the counts are lower bounds.

use std::collections::{HashMap, HashSet};

/// Counts from the logs of the hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogCounts {
    /// Attempts that ended.
    pub attempts: usize,
    /// Retries of requests that are not idempotent.
    pub repeats: usize,
    /// Attempts on a connection that had carried a request with the same id before.
    pub same_connection: usize,
    /// Attempts that are logged without their connection, as by earlier builds.
    pub without_connection: usize,
    /// Lines that the hosts have dropped.
    pub dropped_lines: usize,
}

impl LogCounts {
    /// Adds what one host has logged, over all its processes.
    pub fn add(&mut self, log: &str) {
        // Connections are numbered anew by each process.
        let mut ids_by_conn: HashMap<&str, HashSet<&str>> = HashMap::new();
        for line in log.lines() {
            match field(line, "event") {
                Some("started") => ids_by_conn.clear(),
                Some("repeat") => {
                    let counts = field(line, "idempotent") == Some("false")
                        && field(line, "granted") == Some("true");
                    self.repeats += usize::from(counts);
                }
                Some("send") => {
                    self.attempts += 1;
                    match (field(line, "conn"), field(line, "id")) {
                        (Some(conn), Some(id)) => {
                            let is_first = ids_by_conn.entry(conn).or_default().insert(id);
                            self.same_connection += usize::from(!is_first);
                        }
                        _ => self.without_connection += 1,
                    }
                }
                Some("lines_left_out") => {
                    let count = field(line, "count").and_then(|c| c.parse().ok());
                    self.dropped_lines += count.unwrap_or(0);
                }
                _ => {}
            }
        }
    }
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
