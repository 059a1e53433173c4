//! The geraniummux daemon: sockets, timers and HTTP around the decisions of `geraniummux-core`.

pub mod actions;
pub mod admin;
pub mod claim_retention;
pub mod clock;
pub mod config_sync;
pub mod control;
pub mod entry;
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
pub mod settings;
pub mod shared;
pub mod status;
pub mod telemetry;
pub mod timers;
pub mod upstream;
pub mod usage;

pub use settings::Settings;
pub use shared::Shared;
