//! Stand-ins for the systems around geraniummux, for tests and the quickstart.
//!
//! They cover what the tests need and nothing more: [`platform`] is the object API with faults on
//! demand, [`target`] is a back end with slots, load reports and misbehaviour on demand, and
//! [`caller`] asks for entry hosts and sends requests.

#![forbid(unsafe_code)]

pub mod caller;
pub mod platform;
pub mod server;
pub mod target;
