//! One entry host on a platform that registers targets and configuration in a store.
//!
//! The host serves callers, tells them which hosts to use, follows the store directly or through
//! its peers, and decides with `geraniummux_core`. What differs between platforms stands behind two
//! traits: [`Protocol`] for what is spoken to callers and targets, [`Store`] for the store.

#![forbid(unsafe_code)]

pub mod clock;
pub mod directory;
pub mod fleet;
pub mod freshness;
pub mod host;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod protocol;
pub mod proxy;
pub mod reader;
pub mod replication;
pub mod run;
pub mod scheduling;
pub mod server;
pub mod settings;
pub mod store;
pub mod upstream;

pub use clock::Clock;
pub use host::Host;
pub use protocol::{CallerLocation, HeaderNames, Protocol};
pub use run::run;
pub use settings::Settings;
pub use store::{ConfigUpdate, Store, StoreError};
