//! The result of a run: requests by how they ended, injected faults and violated guarantees.

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
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Number of checks made.
    pub checks: usize,
    /// Violated guarantees, each with what was observed.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: served {}, refused {}, failed {}, unanswered {}; {} faults, {} checks, {} broken",
            self.seed,
            self.served,
            self.refused,
            self.failed,
            self.unanswered,
            self.faults.len(),
            self.checks,
            self.violations.len()
        )?;
        for violation in &self.violations {
            writeln!(f, "  broken: {violation}")?;
        }
        if !self.violations.is_empty() {
            for fault in &self.faults {
                writeln!(f, "  fault: {fault}")?;
            }
        }
        Ok(())
    }
}
