//! Stand-ins for the systems around geraniummux, for tests and the quickstart.
//!
//! They cover what the tests need and nothing more: [`platform`] is the object API with faults on
//! demand, [`target`] is a back end with slots, load reports and misbehaviour on demand, and
//! [`caller`] asks for entry hosts and sends requests. [`object_store`] and [`registered_target`] stand
//! for the platform that the system is deployed on, [`link`] disturbs connections to them.

#![forbid(unsafe_code)]

pub mod caller;
pub mod link;
pub mod object_store;
pub mod platform;
pub mod registered_target;
pub mod server;
pub mod target;
