//! Decisions of the geraniummux load balancer, without I/O.
//!
//! This crate performs no I/O, starts no threads and reads no clock: every deciding function takes
//! the present time as an argument and returns a value or a list of actions for the caller to
//! perform. The same code therefore runs in the daemons, in virtual-time tests and in programs that
//! embed it.
//!
//! Where to begin:
//!
//! - [`fleet`] makes the decisions of a host whose targets register with a store: routing, rating
//!   of targets, scheduling and replication. `geraniummux-host` runs it.
//! - [`config`], [`config_sync`] and [`config_edit`] handle the routes and pools that operators
//!   edit; [`balance`], [`load`] and [`probe_budget`] choose and probe the pools' targets, and
//!   [`admission`] queues requests. `geraniummuxd` runs these.
//! - [`attempt`] is the state machine of one request, with retries and hedges; [`claim`] ensures
//!   at-most-once execution, and [`quarantine`] blocks requests that crash targets.
//! - [`membership`] finds the live hosts, [`lease`] elects one of them for a task, and
//!   [`usage`] counts the served requests of each tenant.
//! - [`uri`] encodes what goes into the paths and queries of calls.

#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod budget;
pub mod claim;
pub mod config;
pub mod config_edit;
pub mod config_sync;
pub mod digest;
pub mod drain;
pub mod entry;
pub mod errors;
pub mod fleet;
pub mod lease;
pub mod load;
pub mod membership;
pub mod outcome;
pub mod pause;
pub mod probe_budget;
pub mod quarantine;
pub mod refusal;
pub mod routing;
pub mod time;
pub mod uri;
pub mod usage;

pub use admission::AdmissionController;
pub use attempt::RequestState;
pub use balance::{Balancer, BalancerOptions, Choice, Exclusion, Policy};
pub use budget::TokenBudget;
pub use claim::ClaimState;
pub use config::{Config, Pool, Route, TableEdit, TableKind, Tables, Target};
pub use config_edit::ConfigEdit;
pub use config_sync::ConfigSync;
pub use drain::{ShutdownState, TargetDrain};
pub use entry::EntryResponse;
pub use errors::{Error, Result};
pub use lease::{LeaseAction, LeaseOptions, LeaseResult, LeaseState};
pub use load::{AttemptEnd, LoadDigest, LoadOptions, LoadReport, LoadTable, TargetId};
pub use membership::{Member, MemberState, Membership};
pub use outcome::{Outcome, Reason, is_final_status};
pub use pause::PauseGate;
pub use probe_budget::ProbeScheduler;
pub use quarantine::{Fingerprint, Quarantine};
pub use refusal::Refusal;
pub use routing::Router;
pub use time::{Time, UnixMs};
pub use usage::{UsageCounters, UsageMerge};
