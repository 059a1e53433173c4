//! The geraniummux daemon: sockets, timers and HTTP around the decisions of `geraniummux-core`.

pub mod admin;
pub mod balancing;
pub mod claims;
pub mod clock;
pub mod config_sync;
pub mod data_path;
pub mod delivery;
pub mod gate;
pub mod logging;
pub mod proxy;
pub mod reply;
pub mod routes;
pub mod settings;
pub mod shared;
pub mod socket;
pub mod telemetry;
pub mod upstream;

pub use settings::Settings;
pub use shared::Shared;
