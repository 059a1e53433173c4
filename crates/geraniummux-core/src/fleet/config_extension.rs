//! Parts of the configuration that came after the encoding of [`ConfigChange`](super::ConfigChange) was fixed.
//!
//! They follow it in a message, where builds that don't know them ignore them.

use super::evacuations::Evacuations;
use super::routes::FleetConfig;
use super::teams::Team;
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
}

impl ConfigExtension {
    /// Returns the extension of a change from `base`, or of one that holds all of `config`.
    pub(super) fn between(base: Option<&FleetConfig>, config: &FleetConfig) -> Self {
        let former = base.map_or(&[][..], |b| &b.teams);
        let is_new = |t: &&Arc<Team>| !former.contains(t);
        let is_gone = |t: &&Arc<Team>| config.teams.iter().all(|c| c.name != t.name);
        let public = config.routes.iter().filter(|r| r.public).map(|r| r.name.clone());
        let limits = config.pools.iter().filter_map(|p| Some((p.name.clone(), p.warm_up_per_s?)));
        ConfigExtension {
            public_routes: public.collect(),
            warm_up_limits: limits.collect(),
            removed_teams: former.iter().filter(is_gone).map(|t| t.name.clone()).collect(),
            teams: config.teams.iter().filter(is_new).cloned().collect(),
            evacuations: None,
        }
    }

    /// Adds what the extension holds to a configuration, whose teams are those before the change.
    pub(super) fn apply_to(self, config: &mut FleetConfig) {
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
        config.teams.retain(|t| !is_replaced(t));
        config.teams.extend(teams);
        config.teams.sort_by(|a, b| a.name.cmp(&b.name));
        config.is_complete = true;
    }
}
