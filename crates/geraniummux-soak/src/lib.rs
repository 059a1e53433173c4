//! A randomized soak test. It runs real entry hosts as separate processes, with stand-ins for the
//! platform, the targets and the callers in its own process, and injects faults drawn from a seed, one
//! after another and overlapping. What callers and targets observe is checked against the guarantees
//! of the system.
//!
//! Begin with [`harness`], which sets up a run and drives it. [`faults`] draws and injects the faults,
//! [`callers`] sends the requests and checks how they ended; [`teams`] adds teams with keys, evacuations, cold targets and
//! their checks.

#![forbid(unsafe_code)]

pub mod callers;
pub mod faults;
pub mod harness;
pub mod hosts;
pub mod logs;
pub mod report;
pub mod teams;

pub use harness::{Options, RouteTimes, run};
pub use report::Report;
pub use teams::TeamChecks;
