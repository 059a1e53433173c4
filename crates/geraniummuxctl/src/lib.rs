//! Library of `geraniummuxctl`, the command-line tool for operators. Begin with [`commands::run`].

#![forbid(unsafe_code)]

pub mod args;
pub mod client;
pub mod commands;
pub mod difference;
pub mod errors;
pub mod show;
pub mod table;

pub use args::Args;
pub use errors::{Error, Result};
