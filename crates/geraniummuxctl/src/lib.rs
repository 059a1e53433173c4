//! Parts of `geraniummuxctl`, the operators' command-line tool.

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
