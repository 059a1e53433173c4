//! Teams of callers: their keys, priorities and allowances.

use super::routes::{FleetRoute, RouteIndex};
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

/// Why a request is refused for its keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// It has no key.
    NoKey,
    /// It has more than one key.
    SeveralKeys,
    /// No team holds its key.
    UnknownKey,
    /// The configuration may lack what would admit the request. The caller may send it again.
    Unconfirmed,
}

impl KeyRefusal {
    /// Returns the name of the reason for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            KeyRefusal::NoKey => "no_key",
            KeyRefusal::SeveralKeys => "several_keys",
            KeyRefusal::UnknownKey => "unknown_key",
            KeyRefusal::Unconfirmed => "key_unconfirmed",
        }
    }
}

/// Returns the team that a request on `route` with the given `keys` belongs to; `None` if it belongs to none.
/// `is_current` states that the configuration is not known to be out of date.
///
/// # Errors
///
/// Fails if there are teams, the route is not public, and the request does not have exactly one key that a team
/// holds.
pub fn identify_team<'a, I>(
    index: &RouteIndex,
    route: &FleetRoute,
    keys: I,
    is_current: bool,
) -> Result<Option<Arc<Team>>, KeyRefusal>
where
    I: IntoIterator<Item = &'a [u8]>,
{
    if index.teams.is_empty() {
        return Ok(None);
    }
    let mut keys = keys.into_iter();
    let refusal = match (keys.next(), keys.next()) {
        (None, _) => KeyRefusal::NoKey,
        (Some(_), Some(_)) => KeyRefusal::SeveralKeys,
        (Some(key), None) => match index.teams.team_of_key(key) {
            Some(team) => return Ok(Some(team.clone())),
            None => KeyRefusal::UnknownKey,
        },
    };
    if route.public {
        return Ok(None);
    }
    // An incomplete configuration may also lack that the route is public.
    let may_be_admitted = match refusal {
        KeyRefusal::UnknownKey => !is_current || !index.is_complete,
        KeyRefusal::NoKey | KeyRefusal::SeveralKeys => !index.is_complete,
        KeyRefusal::Unconfirmed => true,
    };
    Err(if may_be_admitted { KeyRefusal::Unconfirmed } else { refusal })
}
