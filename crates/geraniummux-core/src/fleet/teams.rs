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

/// Whether callers need keys, and the teams `T` whose keys are valid.
///
/// A list of teams that has become empty differs from no list: no key is valid then.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Authentication<T> {
    /// Callers need no key.
    Disabled,
    /// Callers need a key of a team, except on public routes.
    Teams(T),
    /// Callers needed no key before. The current configuration has no teams and came from a peer whose build does not
    /// state whether callers need keys.
    PresumedDisabled,
    /// The configuration has no teams and came from a peer whose build does not state whether callers need keys.
    #[default]
    Unknown,
}

impl<T> Authentication<T> {
    /// Returns the teams; `None` if there is no list of teams.
    pub fn teams(&self) -> Option<&T> {
        match self {
            Authentication::Teams(teams) => Some(teams),
            Authentication::Disabled
            | Authentication::PresumedDisabled
            | Authentication::Unknown => None,
        }
    }

    /// Returns whether the operator has stated it, and it is not only presumed.
    pub fn is_stated(&self) -> bool {
        match self {
            Authentication::Disabled | Authentication::Teams(_) => true,
            Authentication::PresumedDisabled | Authentication::Unknown => false,
        }
    }

    /// Returns the same with other data about the teams.
    pub fn map<U, F>(&self, f: F) -> Authentication<U>
    where
        F: FnOnce(&T) -> U,
    {
        match self {
            Authentication::Disabled => Authentication::Disabled,
            Authentication::Teams(teams) => Authentication::Teams(f(teams)),
            Authentication::PresumedDisabled => Authentication::PresumedDisabled,
            Authentication::Unknown => Authentication::Unknown,
        }
    }

    /// Returns the name of the variant for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Authentication::Disabled => "disabled",
            Authentication::Teams(_) => "teams",
            Authentication::PresumedDisabled => "presumed_disabled",
            Authentication::Unknown => "unknown",
        }
    }
}

impl Authentication<Vec<Arc<Team>>> {
    /// Returns what follows from the teams of a peer and from what it states about them.
    pub(super) fn received(stated: Authentication<()>, teams: Vec<Arc<Team>>) -> Self {
        match stated {
            Authentication::Teams(()) => Authentication::Teams(teams),
            _ if !teams.is_empty() => Authentication::Teams(teams),
            Authentication::Disabled => Authentication::Disabled,
            Authentication::PresumedDisabled | Authentication::Unknown => Authentication::Unknown,
        }
    }

    /// Returns this, or what can be presumed if it is unknown. `former` is what was in force before.
    pub(super) fn or_presumed(self, former: &Self) -> Self {
        match (self, former) {
            (
                Authentication::Unknown,
                Authentication::Disabled | Authentication::PresumedDisabled,
            ) => Authentication::PresumedDisabled,
            (authentication, _) => authentication,
        }
    }
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
/// Fails if callers need keys or that is unknown, the route is not public, and the request does not have exactly one
/// key that a team holds.
pub fn identify_team<'a, I>(
    index: &RouteIndex,
    route: &FleetRoute,
    keys: I,
    is_current: bool,
) -> Result<Option<Arc<Team>>, KeyRefusal>
where
    I: IntoIterator<Item = &'a [u8]>,
{
    let teams = match &index.authentication {
        Authentication::Disabled | Authentication::PresumedDisabled => return Ok(None),
        Authentication::Unknown if route.public => return Ok(None),
        Authentication::Unknown => return Err(KeyRefusal::Unconfirmed),
        Authentication::Teams(teams) => teams,
    };
    let mut keys = keys.into_iter();
    let refusal = match (keys.next(), keys.next()) {
        (None, _) => KeyRefusal::NoKey,
        (Some(_), Some(_)) => KeyRefusal::SeveralKeys,
        (Some(key), None) => match teams.team_of_key(key) {
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
