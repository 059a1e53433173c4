//! Decisions of the geraniummux load balancer.
//!
//! This crate performs no I/O, starts no threads and reads no clock: every deciding function takes
//! the present time as an argument and returns a value or a list of actions for the caller to
//! perform. The same code therefore runs in the daemon, in virtual-time tests and in programs
//! that embed it.

#![forbid(unsafe_code)]

pub mod balance;
pub mod config;
pub mod errors;
pub mod lease;
pub mod load;
pub mod measure;
pub mod outcome;
pub mod routing;
pub mod time;

pub use balance::{Balancer, BalancerOptions, Choice, Exclusion, Policy};
pub use config::{Config, Pool, Route, TableEdit, TableKind, Tables, Target};
pub use errors::{Error, Result};
pub use lease::{LeaseAction, LeaseOptions, LeaseResult, LeaseState};
pub use load::{AttemptEnd, LoadDigest, LoadOptions, LoadReport, LoadTable, Refusal, TargetId};
pub use measure::ProbeScheduler;
pub use outcome::{Outcome, Reason};
pub use routing::Router;
pub use time::{Time, UnixMs};
