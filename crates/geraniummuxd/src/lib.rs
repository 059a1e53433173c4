//! The geraniummux daemon: sockets, timers and HTTP around the decisions of `geraniummux-core`.

pub mod admin;
pub mod clock;
pub mod config_sync;
pub mod logging;
pub mod proxy;
pub mod reply;
pub mod settings;
pub mod shared;
pub mod telemetry;
pub mod upstream;

pub use settings::Settings;
pub use shared::Shared;
