//! Keeps the configuration in force up to date with the platform, and carries out edits.

use crate::shared::Shared;
use bytes::Bytes;
use geraniummux_core::{Config, Error as CoreError, TableEdit};
use geraniummux_platform::{Condition, Error as PlatformError, Key, Platform, Version};
use slog::warn;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// How long a watch waits for a change before it is renewed.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Returns the key of the object that holds both tables.
pub fn tables_key() -> Key {
    Key::new("config", "tables")
}

/// Follows the platform's configuration object until the task is dropped.
pub async fn follow(shared: Arc<Shared>) {
    let mut version = Version::default();
    loop {
        match shared.platform.watch(&tables_key(), version, WATCH_WAIT).await {
            Ok(Some(object)) => {
                version = object.version;
                match serde_json::from_slice::<Config>(&object.value) {
                    Ok(config) => drop(shared.offer(Arc::new(config))),
                    Err(e) => {
                        warn!(shared.log, "config_unreadable"; "error" => e.to_string());
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
            Ok(None) => {}
            Err(e) => {
                warn!(shared.log, "watch_failed"; "error" => e.to_string());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Why an edit was not accepted.
#[derive(Debug)]
pub enum EditError {
    /// The edit is invalid or based on an outdated revision; nothing was written.
    Rejected(CoreError),
    /// The platform could not carry it out; `may_have_written` tells whether it may still have.
    Platform(PlatformError),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Rejected(e) => e.fmt(f),
            EditError::Platform(e) => e.fmt(f),
        }
    }
}

/// An edit of one table with its origin.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// New content of the table.
    pub edit: TableEdit,
    /// Revision of the table that the edit was made from.
    pub base: u64,
    /// Who makes the edit.
    pub writer: String,
    /// Identity of the write.
    pub write_id: String,
}

/// Carries out an edit and puts the result in force on this host.
///
/// # Errors
///
/// See [`EditError`].
pub async fn apply(shared: &Shared, req: EditRequest) -> Result<Arc<Config>, EditError> {
    loop {
        let object = shared.platform.get(&tables_key()).await.map_err(EditError::Platform)?;
        let (current, condition) = match object {
            Some(o) => {
                let config: Config = serde_json::from_slice(&o.value)
                    .map_err(|e| EditError::Platform(PlatformError::Protocol(e.to_string())))?;
                (config, Condition::Version(o.version))
            }
            None => (Config::default(), Condition::Absent),
        };
        // A write whose answer was lost shows in the object.
        if *current.write_id == *req.write_id {
            let config = Arc::new(current);
            shared.offer(config.clone());
            return Ok(config);
        }
        let next = current
            .with_edit(req.edit.clone(), req.base, &req.writer, &req.write_id)
            .map_err(EditError::Rejected)?;
        let value = serde_json::to_vec(&next)
            .map_err(|e| EditError::Platform(PlatformError::Protocol(e.to_string())))?;
        match shared.platform.put(&tables_key(), Bytes::from(value), condition).await {
            Ok(_) => {
                let config = Arc::new(next);
                shared.offer(config.clone());
                return Ok(config);
            }
            // Another edit won, or the answer was lost: the next read tells.
            Err(PlatformError::Conflict | PlatformError::Indeterminate(_)) => {}
            Err(e) => return Err(EditError::Platform(e)),
        }
    }
}
