//! Stand-ins for the systems around geraniummux, for tests and the quickstart.
//!
//! They implement only what the tests need. For `geraniummuxd`, begin with [`platform`], an object API
//! with injected faults; [`target`] is a back end with slots, load reports and injected faults, and
//! [`caller`] looks up entry hosts and sends requests. For `geraniummux-host`, [`object_store`] and
//! [`registered_target`] stand in for the platform that it is deployed on, and [`link`] injects faults
//! into the connections to them.

#![forbid(unsafe_code)]

pub mod caller;
mod http1;
pub mod link;
pub mod object_store;
pub mod platform;
pub mod registered_target;
pub mod server;
pub mod target;
