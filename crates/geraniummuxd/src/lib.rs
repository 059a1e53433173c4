//! The geraniummux daemon: sockets, timers and HTTP around the decisions of `geraniummux-core`.

pub mod actions;
pub mod admin;
pub mod balancing;
pub mod claim_retention;
pub mod claims;
pub mod clock;
pub mod config_sync;
pub mod control;
pub mod data_path;
pub mod delivery;
pub mod digests;
pub mod entry;
pub mod frames;
pub mod gate;
pub mod hooks;
pub mod host_list;
pub mod leases;
pub mod logging;
pub mod peer_messages;
pub mod peer_net;
pub mod platform_calls;
pub mod probes;
pub mod proxy;
pub mod reply;
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
