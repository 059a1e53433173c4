//! Decisions of a host that serves a fleet of targets registered with the platform.
//!
//! A [`FleetConfig`] routes requests to pools, a [`TargetRegistry`] holds the targets of the pools,
//! and a [`TargetTable`] the load and faults of each target. For each pool, the [`Scheduler`] of one
//! host grants slots to the requests of all hosts; a host whose scheduler doesn't answer selects a
//! target itself with [`TargetTable::candidates`] and [`admit`]. All of them take the present time
//! as an argument and do no I/O.

mod admission;
mod allowance;
mod bodies;
mod bounds;
mod carried;
mod config_change;
mod config_extension;
mod contacts;
mod demands;
mod evacuations;
mod executions;
mod extra_attempts;
mod faults;
mod forecast;
mod limits;
mod pipeline;
mod probes;
mod reach;
mod readers;
mod registry;
mod revision;
mod routes;
mod scheduler;
mod split;
mod table;
mod team_shares;
mod teams;
mod warm;
mod warm_up;

pub use admission::{
    AdmissionDecision, AdmissionInput, AdmissionRejectReason, AdmissionRules, admit,
};
pub use allowance::{
    ALLOCATORS, AllowanceAllocator, AllowanceAnswer, AllowanceShare, AllowanceStock,
    TOKEN_LIFETIME, TeamTerms, TokenGrant, TokenMessage, TokenRequest, TokenState,
};
pub use bodies::{BodyBudget, BodyOptions, ResponseLimits};
pub use bounds::{MAX_SLOTS, MAX_WARM_UP, is_plausible_fault_weight};
pub use carried::CarriedRequests;
pub use config_change::ConfigChange;
pub use config_extension::ConfigExtension;
pub use contacts::{Contact, Contacts, Discovery, DiscoveryStep, MAX_CONTACTS};
pub use demands::{Demands, LEAVING_RECHECK_INTERVAL, ReportedDemand, TargetDemand};
pub use evacuations::Evacuations;
pub use executions::{AttemptPermit, Executions};
pub use extra_attempts::{ExtraAttempt, ExtraAttemptBudget, ExtraAttemptOptions};
pub use faults::{Fault, FaultOptions, FaultScore};
pub use forecast::{ForecastOptions, TargetReport, has_slowed, latency_factor};
pub use limits::{MAX_LIMIT_AGE, RateBucket};
pub use pipeline::{Pipeline, PipelineOptions, PipelinedKind, ReadAheadRequest};
pub use probes::ProbeBudget;
pub use reach::{ReachOptions, RelayPeer, Relays, TargetPath, TargetReach};
pub use readers::{
    Leader, PeerFreshness, Position, ReadSource, ReaderOptions, StoreChecks, leaders, read_source,
};
pub use registry::{
    EvacuationDifference, RegisteredTarget, RegistryChange, RegistryDelta, TargetRegistry,
    TargetRun,
};
pub use revision::Revision;
pub use routes::{
    CallerLimits, ConfigEdition, FleetConfig, FleetPool, FleetRoute, PoolShare, RouteIndex,
};
pub use scheduler::{
    MAX_ALLOCATOR_WAIT, PASS_INTERVAL, RejectReason, RequestKey, Scheduler, SchedulerOptions,
    SlotDecision, SlotRequest, StaleTarget,
};
pub use split::SplitState;
pub use table::{Candidate, Rating, TableOptions, TargetTable};
pub use team_shares::TeamShares;
pub use teams::{Allowance, ApiKey, Authentication, KeyRefusal, Team, TeamIndex, identify_team};
pub use warm::WarmConnections;
pub use warm_up::{WarmUpRules, WarmUpShares};
