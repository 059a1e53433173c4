//! Distributes the configuration and applies edits to it: the I/O for the state machines
//! [`ConfigSync`](geraniummux_core::ConfigSync) and [`ConfigEdit`] of the core.

use crate::shared::Shared;
use crate::{actions, peer_messages, peer_net};
use bytes::Bytes;
use geraniummux_core::config_edit::{EditAction, EditError, ReadResult, WriteResult};
use geraniummux_core::config_sync::{ConfigAction, FetchResult, PlatformResult};
use geraniummux_core::{Config, ConfigEdit, TableEdit};
use geraniummux_platform::{Condition, Error as PlatformError, Key, Object, Platform, Version};
use geraniummux_wire::Message;
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of an exchange with a peer about the configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the key of the platform's object with the configuration, which contains both tables.
pub fn tables_key() -> Key {
    Key::new("config", "tables")
}

/// Performs an action of the distribution of the configuration in a new task. The result is passed
/// back to the core.
pub fn perform(shared: &Arc<Shared>, action: ConfigAction) {
    let shared = shared.clone();
    match action {
        ConfigAction::Fetch { id, peer, generation } => {
            tokio::spawn(async move {
                let result = fetch(&shared, peer, generation).await;
                let now = shared.clock.now();
                actions::config(&shared, |s| s.config.on_fetch_result(now, id, result));
            });
        }
        ConfigAction::Push { to, config } => {
            tokio::spawn(async move {
                let message = peer_messages::config_message(&config);
                // A peer that misses the push fetches the configuration when it receives a message
                // with the new generation.
                let _ = peer_net::call(&shared, to, message, PEER_TIMEOUT).await;
            });
        }
        ConfigAction::Read { id } => {
            tokio::spawn(async move {
                let result = shared.platform.get(&tables_key()).await;
                on_platform_result(
                    &shared,
                    id,
                    result.map(|o| parse_object(&shared, o, PlatformResult::Absent)),
                );
            });
        }
        ConfigAction::Watch { id, after, wait } => {
            tokio::spawn(async move {
                let result = shared.platform.watch(&tables_key(), Version(after), wait).await;
                on_platform_result(
                    &shared,
                    id,
                    result.map(|o| parse_object(&shared, o, PlatformResult::Unchanged)),
                );
            });
        }
        ConfigAction::WriteBack { id, config, version } => {
            tokio::spawn(async move {
                warn!(shared.log, "config_written_back"; "generation" => config.generation);
                let result = match write(&shared, &config, version).await {
                    Ok(version) => Ok(PlatformResult::Written { version: version.0 }),
                    Err(PlatformError::Conflict) => Ok(PlatformResult::Conflict),
                    Err(e) => Err(e),
                };
                on_platform_result(&shared, id, result);
            });
        }
        // Performed under the lock of the state by `actions::config`.
        ConfigAction::InForce(_) => {}
    }
}

fn on_platform_result(
    shared: &Arc<Shared>,
    id: u64,
    result: Result<PlatformResult, PlatformError>,
) {
    let result = result.unwrap_or_else(|e| {
        warn!(shared.log, "platform_call_failed"; "object" => "config/tables",
            "error" => e.to_string());
        shared.telemetry.count_event("platform_failures");
        PlatformResult::Failed
    });
    let now = shared.clock.now();
    actions::config(shared, |s| s.config.on_platform_result(now, id, result, &mut rand::rng()));
}

fn parse_object(
    shared: &Shared,
    object: Option<Object>,
    if_absent: PlatformResult,
) -> PlatformResult {
    let Some(object) = object else { return if_absent };
    match serde_json::from_slice::<Config>(&object.value) {
        Ok(config) => {
            PlatformResult::Object { version: object.version.0, config: Arc::new(config) }
        }
        Err(e) => {
            warn!(shared.log, "config_unreadable"; "error" => e.to_string());
            PlatformResult::Failed
        }
    }
}

async fn write(
    shared: &Shared,
    config: &Config,
    version: Option<u64>,
) -> Result<Version, PlatformError> {
    let value = serde_json::to_vec(config).map_err(|e| PlatformError::Protocol(e.to_string()))?;
    let condition = version.map_or(Condition::Absent, |v| Condition::Version(Version(v)));
    shared.platform.put(&tables_key(), Bytes::from(value), condition).await
}

async fn fetch(shared: &Arc<Shared>, peer: SocketAddr, generation: u64) -> FetchResult {
    // A host that starts needs the leaving targets before it serves.
    if !shared.control.is_synced() && !peer_messages::exchange_state(shared, peer).await {
        return FetchResult::Failed;
    }
    let message = Message::FetchConfig { generation };
    match peer_net::call(shared, peer, message, PEER_TIMEOUT).await.map(|e| e.message) {
        Ok(Message::Config { json }) => match serde_json::from_slice::<Config>(&json) {
            Ok(config) => FetchResult::Config(Arc::new(config)),
            Err(e) => {
                warn!(shared.log, "config_unreadable"; "peer" => peer.to_string(),
                    "error" => e.to_string());
                FetchResult::Failed
            }
        },
        Ok(Message::NoNewerConfig) => FetchResult::NoNewer,
        Ok(Message::NotReady) => FetchResult::NotReady,
        Ok(_) | Err(_) => FetchResult::Failed,
    }
}

/// Notifies all peers of the targets that the pools table marks as leaving.
fn report_leaving_targets(shared: &Arc<Shared>, config: &Config) {
    let targets = config.tables.pools.iter().flat_map(|p| &p.targets);
    for target in targets.filter(|t| t.leaving) {
        actions::report_leaving(shared, target.addr);
    }
}

/// Edit of one table, with its origin.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// New rows of the table.
    pub edit: TableEdit,
    /// Revision of the table that the edit is based on.
    pub base: u64,
    /// Author of the edit.
    pub writer: String,
    /// Id of the write, unique to this edit. It identifies the edit in the object if the response
    /// to the write is lost.
    pub write_id: String,
}

/// Applies an edit: writes the new configuration to the platform, puts it in force on this host and
/// sends it to peers. Returns the new configuration.
///
/// # Errors
///
/// Returns an [`EditError`] if the edit was rejected or could not be written. After
/// [`EditError::Unsettled`] the edit may or may not have been written.
pub async fn apply(shared: &Arc<Shared>, req: EditRequest) -> Result<Arc<Config>, EditError> {
    let in_force = shared.in_force().config.clone();
    let mut edit = ConfigEdit::new(
        shared.clock.now(),
        req.edit,
        req.base,
        Arc::from(&*req.writer),
        Arc::from(&*req.write_id),
        in_force,
    );
    let mut action = edit.start();
    loop {
        action = match action {
            EditAction::Read => {
                let result = read_result(shared.platform.get(&tables_key()).await);
                edit.on_read(shared.clock.now(), result, &mut rand::rng())
            }
            EditAction::Write { config, version } => {
                let result = write_result(write(shared, &config, version).await);
                edit.on_write(shared.clock.now(), result, &mut rand::rng())
            }
            EditAction::Wait { until } => {
                tokio::time::sleep(until.since(shared.clock.now())).await;
                edit.resume()
            }
            EditAction::Done(result) => {
                if let Ok(config) = &result {
                    on_edit_accepted(shared, config, &req.writer);
                }
                return result;
            }
        };
    }
}

fn on_edit_accepted(shared: &Arc<Shared>, config: &Arc<Config>, writer: &str) {
    info!(shared.log, "edit_accepted"; "writer" => writer, "generation" => config.generation);
    let now = shared.clock.now();
    actions::config(shared, |s| {
        s.config.on_edit(now, config.clone(), &s.members, &mut rand::rng())
    });
    report_leaving_targets(shared, config);
}

fn read_result(result: Result<Option<Object>, PlatformError>) -> ReadResult {
    match result {
        Ok(None) => ReadResult::Absent,
        Ok(Some(o)) => match serde_json::from_slice::<Config>(&o.value) {
            Ok(config) => ReadResult::Object { version: o.version.0, config: Arc::new(config) },
            Err(e) => ReadResult::Failed(format!("the object config/tables is unreadable: {e}")),
        },
        Err(e) => ReadResult::Failed(e.to_string()),
    }
}

fn write_result(result: Result<Version, PlatformError>) -> WriteResult {
    match result {
        Ok(_) => WriteResult::Written,
        Err(PlatformError::Conflict) => WriteResult::Conflict,
        Err(PlatformError::TooLarge) => WriteResult::TooLarge,
        Err(e) if e.may_have_written() => WriteResult::Lost(e.to_string()),
        Err(e) => WriteResult::Refused(e.to_string()),
    }
}
