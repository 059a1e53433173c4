//! The geraniummux daemon: the sockets, timers and HTTP for the state machines of
//! `geraniummux-core`.
//!
//! Begin with [`Shared`], the state that all tasks share. Requests of callers are handled in
//! [`proxy`]. The control path (membership, configuration, leaving targets, usage and shutdown) has
//! its state in [`control`]; [`timers`], [`peer_messages`] and [`admin`] pass events to it, and
//! [`actions`] performs the resulting actions.

pub mod actions;
pub mod admin;
pub mod balancing;
pub mod claim_retention;
pub mod claims;
pub mod clock;
pub mod concurrency_limit;
pub mod config_sync;
pub mod control;
pub mod data_exchange;
pub mod data_path;
pub mod delivery;
pub mod digests;
pub mod entry;
pub mod frames;
pub mod host_list;
pub mod leases;
pub mod logging;
pub mod peer_messages;
pub mod peer_net;
pub mod platform_calls;
pub mod probes;
pub mod proxy;
pub mod query;
pub mod response;
pub mod routes;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod status;
pub mod telemetry;
pub mod timers;
pub mod upstream;
pub mod usage;

pub use settings::Settings;
pub use shared::Shared;
