//! Access to the platform's store, which holds the registered targets and the configuration, and the contacts of
//! hosts that are alone.

use geraniummux_core::fleet::{
    Contacts, Evacuations, FleetConfig, RegistryChange, RegistryDelta, Revision,
};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Why a call to the store returned no result.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The store no longer has the history since the requested revision; a full list is needed.
    #[error("the store no longer has the history since the requested revision")]
    HistoryGone,
    /// The store came back from a copy since the requested revision or during the call; a full list is
    /// needed.
    #[error("the store came back from a copy")]
    Restored,
    /// The store refused the call with this HTTP status.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store could not be reached or did not respond in time.
    #[error("the store is unreachable: {0}")]
    Unreachable(String),
    /// The response could not be decoded.
    #[error("invalid response from the store: {0}")]
    Invalid(String),
    /// A list could not be read to its end. This is what could be read.
    #[error("the list can't be read beyond {} objects", .0.len())]
    Incomplete(Vec<(Revision, RegistryChange)>),
}

/// The configuration as of a revision of the store.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// The revision of the store.
    pub revision: Revision,
    /// The configuration; `None` if it does not exist, is invalid, or did not change during a watch.
    pub config: Option<FleetConfig>,
    /// Why the stored configuration is invalid; `None` if it is valid or does not exist.
    pub invalid: Option<String>,
    /// Types of its routes that this version does not know.
    pub unknown_route_types: Vec<UnknownRouteType>,
}

impl ConfigUpdate {
    /// Returns an update without a configuration.
    pub fn unchanged(revision: Revision) -> Self {
        ConfigUpdate { revision, config: None, invalid: None, unknown_route_types: Vec::new() }
    }
}

/// Changes of the evacuations in a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationsUpdate {
    /// The revision of the store after the changes.
    pub revision: Revision,
    /// Failure domains, each with whether it is evacuated now, oldest change first.
    pub changes: Vec<(Arc<str>, bool)>,
}

/// A type of routes that this version does not know, and the routes of a configuration that have it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownRouteType {
    /// Name of the type.
    pub route_type: Arc<str>,
    /// The first route of this type.
    pub first_route: Arc<str>,
    /// Number of routes of this type.
    pub routes: usize,
}

/// What a check of the store shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreCheck {
    /// The era of the store.
    pub era: u64,
    /// The contacts of hosts that are alone, which may be a few seconds old.
    pub contacts: Contacts,
}

/// The contacts of hosts that are alone, as they are stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredContacts {
    /// The contacts; none if what is stored can't be read.
    pub contacts: Contacts,
    /// Revision of the object that holds them; `None` if it does not exist.
    pub revision: Option<u64>,
}

/// Result of a write on a condition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The value was written.
    Written,
    /// Another value was written before, and nothing was changed.
    Conflict,
}

/// Consistency that a read requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The result may be a few seconds old, also from before the store came back from a copy. Its revision
    /// is the default. Such a read costs the platform less.
    Stale,
    /// The result reflects every write that was acknowledged before the call.
    Latest,
}

/// Calls to the store. Each call applies its own time limit.
pub trait Store: Send + Sync + 'static {
    /// Checks with the cheapest available call whether the store responds to this host.
    fn check(&self) -> impl Future<Output = Result<StoreCheck, StoreError>> + Send;

    /// Returns all registered targets as a full list.
    fn list_targets(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<RegistryDelta, StoreError>> + Send;

    /// Reads the configuration.
    fn read_config(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<ConfigUpdate, StoreError>> + Send;

    /// Returns the evacuated failure domains. Called only if the settings name a time limit for evacuations.
    fn list_evacuations(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Evacuations, StoreError>> + Send;

    /// Waits up to `wait` for changes of the registered targets after `revision` and returns them.
    fn watch_targets(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<RegistryDelta, StoreError>> + Send;

    /// Waits up to `wait` for changes of the configuration after `revision` and returns the latest.
    fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigUpdate, StoreError>> + Send;

    /// Waits up to `wait` for changes of the evacuations after `revision` and returns them. Called only if the
    /// settings name a time limit for evacuations.
    fn watch_evacuations(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<EvacuationsUpdate, StoreError>> + Send;
}

/// Calls to the store by which hosts that are alone find each other. Each call applies its own time limit.
pub trait ContactStore: Send + Sync + 'static {
    /// Returns the contacts of hosts that are alone.
    fn read_contacts(&self) -> impl Future<Output = Result<StoredContacts, StoreError>> + Send;

    /// Replaces the contacts of hosts that are alone, if those stored are still of `revision`; `None` if there were
    /// none.
    fn write_contacts(
        &self,
        contacts: &Contacts,
        revision: Option<u64>,
    ) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;
}
