//! Teams of callers: their keys, priorities and allowances.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A key by which callers show that they belong to a team. It is a secret: its debug output hides it.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Returns a key.
    pub fn new(key: &str) -> Self {
        ApiKey(key.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The requests that a team may send through all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allowance {
    /// Requests per second; above 0.
    pub per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// A team of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Unique name of the team.
    pub name: Arc<str>,
    /// The keys of its callers; no other team has any of them.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which replaces that of their routes; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Limit of its requests; `None` if there is none.
    pub allowance: Option<Allowance>,
}

/// Index of the teams of a configuration.
#[derive(Clone, Debug, Default)]
pub struct TeamIndex {
    /// Sorted by name.
    teams: Vec<Arc<Team>>,
    /// Sorted by key, each with the position of its team.
    keys: Vec<(ApiKey, u32)>,
}

impl TeamIndex {
    /// Builds the index of teams with different names and keys.
    pub fn new(teams: &[Arc<Team>]) -> Self {
        let mut teams = teams.to_vec();
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(ApiKey, u32)> = (0..)
            .zip(&teams)
            .flat_map(|(i, t)| t.keys.iter().map(move |k| (k.clone(), i)))
            .collect();
        keys.sort_unstable();
        TeamIndex { teams, keys }
    }

    /// Returns whether there are no teams, so that callers need no keys.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the team that holds a key.
    pub fn team_of_key(&self, key: &[u8]) -> Option<&Arc<Team>> {
        let i = self.keys.binary_search_by(|(k, _)| k.0.as_bytes().cmp(key)).ok()?;
        Some(&self.teams[self.keys[i].1 as usize])
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        let i = self.teams.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.teams[i])
    }
}
