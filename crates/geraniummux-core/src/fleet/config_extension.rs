//! Parts of the configuration that came after the encoding of [`ConfigChange`](super::ConfigChange) was fixed.
//!
//! They follow it in a message, where builds that don't know them ignore them.

use super::evacuations::Evacuations;
use super::routes::FleetConfig;
use super::teams::{Authentication, Team};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a change of the configuration holds beyond its fixed encoding.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigExtension {
    /// Names of all routes for which callers need no key.
    pub public_routes: Vec<Arc<str>>,
    /// Requests per second that cold targets of a pool accept, for all pools with such a limit.
    pub warm_up_limits: Vec<(Arc<str>, f64)>,
    /// Names of the teams that are gone.
    pub removed_teams: Vec<Arc<str>>,
    /// New and changed teams.
    pub teams: Vec<Arc<Team>>,
    /// The evacuated failure domains, if the sender watches them. They have a revision of their own.
    pub evacuations: Option<Evacuations>,
    /// Whether callers need keys, as there may be no team although they do. It follows the extension in a message;
    /// some builds neither send nor read it.
    #[serde(skip)]
    pub authentication: Authentication<()>,
}

impl ConfigExtension {
    /// Returns the extension of a change from `base`, or of one that holds all of `config`.
    pub(super) fn between(base: Option<&FleetConfig>, config: &FleetConfig) -> Self {
        let former = base.map_or(&[][..], |b| b.teams());
        let teams = config.teams();
        let is_new = |t: &&Arc<Team>| !former.contains(t);
        let is_gone = |t: &&Arc<Team>| teams.iter().all(|c| c.name != t.name);
        let public = config.routes.iter().filter(|r| r.public).map(|r| r.name.clone());
        let limits = config.pools.iter().filter_map(|p| Some((p.name.clone(), p.warm_up_per_s?)));
        ConfigExtension {
            public_routes: public.collect(),
            warm_up_limits: limits.collect(),
            removed_teams: former.iter().filter(is_gone).map(|t| t.name.clone()).collect(),
            teams: teams.iter().filter(is_new).cloned().collect(),
            evacuations: None,
            authentication: config.authentication.map(|_| ()),
        }
    }

    /// Adds what the extension holds to a configuration. `former` are the teams before the change.
    pub(super) fn apply_to(self, config: &mut FleetConfig, former: &[Arc<Team>]) {
        let ConfigExtension { mut public_routes, warm_up_limits, removed_teams, teams, .. } = self;
        public_routes.sort_unstable();
        for r in &mut config.routes {
            r.public = public_routes.binary_search(&r.name).is_ok();
        }
        for p in &mut config.pools {
            let limit = warm_up_limits.iter().find(|(pool, _)| *pool == p.name);
            p.warm_up_per_s = limit.map(|(_, per_s)| *per_s);
        }
        let is_replaced = |t: &Arc<Team>| {
            removed_teams.contains(&t.name) || teams.iter().any(|n| n.name == t.name)
        };
        let mut all: Vec<_> = former.iter().filter(|t| !is_replaced(t)).cloned().collect();
        all.extend(teams);
        all.sort_by(|a, b| a.name.cmp(&b.name));
        config.authentication = Authentication::received(self.authentication, all);
        config.is_complete = true;
    }
}
