//! What a run did and what it found.

use std::fmt;

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests by how they ended, from the callers' side.
    pub served: usize,
    /// Refused with the promise that they were not run.
    pub refused: usize,
    /// Answered with another failure.
    pub failed: usize,
    /// Ended without an answer.
    pub unanswered: usize,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
    /// Promises that were checked.
    pub checks: usize,
    /// Promises that were broken, with what was seen.
    pub broken: Vec<String>,
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
            self.broken.len()
        )?;
        for broken in &self.broken {
            writeln!(f, "  broken: {broken}")?;
        }
        if !self.broken.is_empty() {
            for fault in &self.faults {
                writeln!(f, "  fault: {fault}")?;
            }
        }
        Ok(())
    }
}
