//! An entry host on a platform that registers targets and configuration in a store.
//!
//! The host proxies callers' requests to targets, serves callers the list of entry hosts, and
//! replicates the store directly or from a peer. The decisions come from `geraniummux_core`; this
//! crate does the input and output. Three traits cover what differs between platforms: [`Protocol`],
//! the formats of the traffic with callers and targets, and [`Store`] and [`ContactStore`], the client of the store.
//!
//! [`run()`] starts a host, [`Host`] is the state that its tasks share. A request enters at
//! [`pipelining`] and [`proxy::handle`]; [`scheduling`] obtains its grant, and [`replication`] and [`reader`] keep the
//! targets and the configuration current. [`discovery`] finds the other hosts when the seeds don't answer. [`reach`]
//! opens connections to targets, through peers if need be.

#![forbid(unsafe_code)]

mod allowances;
pub mod bodies;
pub mod clock;
pub mod directory;
pub mod discovery;
pub mod figures;
pub mod fleet;
pub mod freshness;
pub mod host;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod pending;
pub mod pipelining;
pub mod protocol;
pub mod proxy;
pub mod reach;
pub mod reader;
pub mod replication;
pub mod retention;
pub mod run;
pub mod scheduling;
pub mod server;
pub mod settings;
pub mod signals;
pub mod stopping;
pub mod store;
pub mod tasks;
pub mod tunnel;
pub mod upstream;

pub use clock::Clock;
pub use host::Host;
pub use protocol::{CallerLocation, HeaderNames, InvalidHeader, Protocol};
pub use run::run;
pub use settings::Settings;
pub use store::{
    ConfigUpdate, ContactStore, EvacuationsUpdate, Store, StoreCheck, StoreError, StoredContacts,
    UnknownRouteType, WriteResult,
};
