//! The messages.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Name of the sending host.
    pub from: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Generation of the configuration that is in force at the sender.
    pub generation: u64,
    /// The message.
    pub message: Message,
}

/// All messages between entry hosts. New variants are added at the end, since postcard encodes a
/// variant by its position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Asks for the configuration if it is newer than `generation`.
    FetchConfig {
        /// Generation that the asker has.
        generation: u64,
    },
    /// A configuration as JSON; answers [`Message::FetchConfig`] or is sent after an edit.
    Config {
        /// The encoded configuration.
        json: Vec<u8>,
    },
    /// The asker's configuration is up to date.
    NoNewerConfig,
}
