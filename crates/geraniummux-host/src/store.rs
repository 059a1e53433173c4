//! The platform's store, as far as a host reads it.

use geraniummux_core::fleet::{Delta, FleetConfig};
use std::future::Future;
use std::time::Duration;

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The history since the asked revision is gone; a full list is needed.
    #[error("the history since the asked revision is gone")]
    HistoryGone,
    /// The store refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store was not reached or did not answer in time.
    #[error("the store was not reached: {0}")]
    Unreachable(String),
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Invalid(String),
}

/// The configuration up to a revision of the store.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// The revision.
    pub revision: u64,
    /// The configuration, if it changed or was asked for, exists and is valid.
    pub config: Option<FleetConfig>,
    /// Why the configuration in the store can't be used.
    pub invalid: Option<String>,
}

/// How current an answer has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// It may be some seconds old; such a call costs the platform less.
    Stale,
    /// It holds all that was acknowledged before.
    Latest,
}

/// The calls to the store. Each has a time limit of its own.
pub trait Store: Send + Sync + 'static {
    /// Makes the cheapest call that shows whether the store answers this host.
    fn check(&self) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists the registered targets.
    fn list_targets(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Delta, StoreError>> + Send;

    /// Reads the configuration.
    fn read_config(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<ConfigUpdate, StoreError>> + Send;

    /// Waits up to `wait` for changes of the registered targets after `revision`.
    fn watch_targets(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Delta, StoreError>> + Send;

    /// Waits up to `wait` for changes of the configuration after `revision`.
    fn watch_config(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigUpdate, StoreError>> + Send;
}
