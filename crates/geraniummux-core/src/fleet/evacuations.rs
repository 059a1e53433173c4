//! Failure domains whose targets must get no requests, because the operator evacuates them.

use super::revision::Revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The failure domains that are evacuated as of a revision of the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evacuations {
    /// Revision of the store that this reflects.
    pub revision: Revision,
    /// Sorted names of the domains.
    domains: Vec<Arc<str>>,
}

impl Evacuations {
    /// Returns the state of a full list.
    pub fn new(revision: Revision, mut domains: Vec<Arc<str>>) -> Self {
        domains.sort_unstable();
        domains.dedup();
        Evacuations { revision, domains }
    }

    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.binary_search_by(|d| (**d).cmp(domain)).is_ok()
    }

    /// Returns the evacuated domains, sorted.
    pub fn domains(&self) -> &[Arc<str>] {
        &self.domains
    }

    /// Returns whether both name the same domains in the same era of the store.
    pub fn has_same_state(&self, other: &Evacuations) -> bool {
        self.revision.era == other.revision.era && self.domains == other.domains
    }

    /// Records that the evacuation of a domain was requested or withdrawn.
    pub fn set(&mut self, domain: &Arc<str>, is_evacuated: bool) {
        match (self.domains.binary_search(domain), is_evacuated) {
            (Err(i), true) => self.domains.insert(i, domain.clone()),
            (Ok(i), false) => drop(self.domains.remove(i)),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }
}
