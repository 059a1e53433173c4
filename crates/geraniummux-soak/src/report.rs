//! The result of a run: requests by how they ended, injected faults and violated guarantees.

use crate::logs::LogCounts;
use std::fmt;

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed from which the faults were drawn.
    pub seed: u64,
    /// Number of requests that got a response with a success status.
    pub served: usize,
    /// Number of requests that got a status which guarantees that no target ran them.
    pub refused: usize,
    /// Number of requests that got a response with any other status.
    pub failed: usize,
    /// Number of requests that got no complete response.
    pub unanswered: usize,
    /// Number of finished requests.
    pub requests: usize,
    /// Number of idempotent requests that were refused although a target had run them.
    pub idempotent_refused_and_run: usize,
    /// What the targets observed.
    pub targets: TargetCounts,
    /// What the hosts logged.
    pub logs: LogCounts,
    /// What was observed of teams and cold targets, to tell whether their checks had anything to check.
    pub observed: Vec<String>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Number of checks made.
    pub checks: usize,
    /// Violated guarantees, each with what was observed.
    pub violations: Vec<String>,
}

/// What the targets of a run observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetCounts {
    /// Requests that they refused.
    pub refusals: usize,
    /// Refusals that they wrote once more.
    pub copies: usize,
    /// Requests whose id had come on the same connection before.
    pub same_connection: usize,
    /// Connections that they accepted.
    pub connections: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: served {}, refused {}, failed {}, unanswered {}; {} faults, {} checks, {} violations",
            self.seed,
            self.served,
            self.refused,
            self.failed,
            self.unanswered,
            self.faults.len(),
            self.checks,
            self.violations.len()
        )?;
        let (targets, logs) = (&self.targets, &self.logs);
        writeln!(
            f,
            "  targets: {} requests refused, {} copies, {} times the same id on a connection, {} connections \
             ({:.2} per request)",
            targets.refusals,
            targets.copies,
            targets.same_connection,
            targets.connections,
            targets.connections as f64 / self.requests.max(1) as f64
        )?;
        writeln!(
            f,
            "  logs: {} attempts, {} of them on a connection with the same id ({} without connection), {} repeats of \
             requests that must run once; {} lines dropped; {} idempotent requests refused and run",
            logs.attempts,
            logs.same_connection,
            logs.without_connection,
            logs.repeats,
            logs.dropped_lines,
            self.idempotent_refused_and_run
        )?;
        for observed in &self.observed {
            writeln!(f, "  {observed}")?;
        }
        for violation in &self.violations {
            writeln!(f, "  violation: {violation}")?;
        }
        if !self.violations.is_empty() {
            for fault in &self.faults {
                writeln!(f, "  fault: {fault}")?;
            }
        }
        Ok(())
    }
}
