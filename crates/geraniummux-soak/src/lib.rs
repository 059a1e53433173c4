//! A randomized soak: real entry hosts as separate processes, stand-ins for the platform around them,
//! and faults that a seed decides, in series and overlapping. What callers and targets see is checked
//! against the promises of the system.

#![forbid(unsafe_code)]

pub mod callers;
pub mod faults;
pub mod hosts;
pub mod report;
pub mod world;

pub use report::Report;
pub use world::{Options, run};
