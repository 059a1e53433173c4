//! The difference between two versions of the configuration, for hosts that replicate it.
//!
//! A configuration can have thousands of routes, of which one version changes few.

use super::config_extension::ConfigExtension;
use super::evacuations::Evacuations;
use super::routes::{CallerLimits, ConfigEdition, FleetConfig, FleetPool, FleetRoute};
use super::teams::Authentication;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Leads from one version of the configuration to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// Edition that the change applies to; `None` if it holds the whole configuration.
    pub base: Option<ConfigEdition>,
    /// Edition after the change.
    pub edition: ConfigEdition,
    /// Names of the routes that are gone.
    pub removed: Vec<Arc<str>>,
    /// New and changed routes.
    pub routes: Vec<FleetRoute>,
    /// All pools.
    pub pools: Vec<FleetPool>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// What follows the change in a message; `None` if the sender's build has no extension, or the sender itself
    /// lacks what it would hold.
    #[serde(skip)]
    pub extension: Option<ConfigExtension>,
}

impl ConfigChange {
    /// Returns the change that holds a whole configuration.
    pub fn whole(config: &FleetConfig) -> Self {
        ConfigChange {
            base: None,
            edition: config.edition(),
            removed: Vec::new(),
            routes: config.routes.clone(),
            pools: config.pools.clone(),
            limits: config.limits,
            extension: config.is_complete.then(|| ConfigExtension::between(None, config)),
        }
    }

    /// Returns the change from `base` to `config`. It holds the whole configuration if routes can't be
    /// told apart by their names.
    pub fn between(base: &FleetConfig, config: &FleetConfig) -> Self {
        let (Some(old), Some(new)) = (by_name(base), by_name(config)) else {
            return ConfigChange::whole(config);
        };
        if config.is_complete && !base.is_complete {
            return ConfigChange::whole(config);
        }
        let find =
            |list: &[&FleetRoute], name: &str| list.binary_search_by(|r| (*r.name).cmp(name)).ok();
        let is_changed = |r: &&&FleetRoute| find(&old, &r.name).is_none_or(|i| old[i] != **r);
        let is_gone = |r: &&&FleetRoute| find(&new, &r.name).is_none();
        ConfigChange {
            base: Some(base.edition()),
            edition: config.edition(),
            removed: old.iter().filter(is_gone).map(|r| r.name.clone()).collect(),
            routes: new.iter().filter(is_changed).map(|r| (**r).clone()).collect(),
            pools: config.pools.clone(),
            limits: config.limits,
            extension: config.is_complete.then(|| ConfigExtension::between(Some(base), config)),
        }
    }

    /// Returns a change that leaves the configuration of the given edition as it is and holds the evacuations.
    /// Builds without the extension ignore it, since the edition is not newer than theirs.
    pub fn of_evacuations(
        edition: ConfigEdition,
        config: Option<&FleetConfig>,
        evacuations: Evacuations,
    ) -> Self {
        let extension =
            ConfigExtension { evacuations: Some(evacuations), ..ConfigExtension::default() };
        ConfigChange {
            base: Some(edition),
            edition,
            removed: Vec::new(),
            routes: Vec::new(),
            pools: config.map(|c| c.pools.clone()).unwrap_or_default(),
            limits: config.map(|c| c.limits).unwrap_or_default(),
            extension: Some(extension),
        }
    }

    /// Returns whether the change leaves the configuration as it is: it only brings what has a revision of its
    /// own, such as the evacuations.
    pub fn keeps_config(&self) -> bool {
        self.base == Some(self.edition)
    }

    /// Returns the configuration after the change; `None` if `current` is not the edition that the
    /// change applies to.
    pub fn apply(self, current: Option<&FleetConfig>) -> Option<FleetConfig> {
        if self.keeps_config() {
            // What its extension lacks is not gone.
            return current.filter(|c| c.edition() == self.edition).cloned();
        }
        let ConfigChange { base, edition, mut removed, routes, pools, limits, extension } = self;
        let ConfigEdition { version, era } = edition;
        let mut config = FleetConfig { version, era, pools, limits, ..FleetConfig::default() };
        let (is_complete_base, former_teams) = match base {
            None => {
                config.routes = routes;
                (true, &[][..])
            }
            Some(base) => {
                let current = current.filter(|c| c.edition() == base)?;
                removed.extend(routes.iter().map(|r| r.name.clone()));
                removed.sort_unstable();
                let is_kept = |r: &&FleetRoute| removed.binary_search(&r.name).is_err();
                config.routes = current.routes.iter().filter(is_kept).cloned().collect();
                config.routes.extend(routes);
                if let Authentication::Teams(_) = current.authentication {
                    config.authentication = current.authentication.clone();
                }
                (current.is_complete, current.teams())
            }
        };
        if let Some(extension) = extension {
            extension.apply_to(&mut config, former_teams);
            config.is_complete = is_complete_base;
        }
        if let Some(current) = current {
            config.authentication = config.authentication.or_presumed(&current.authentication);
        }
        Some(config)
    }
}

/// Returns the routes sorted by name; `None` if two have the same name.
fn by_name(config: &FleetConfig) -> Option<Vec<&FleetRoute>> {
    let mut routes: Vec<&FleetRoute> = config.routes.iter().collect();
    routes.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let is_unique = routes.windows(2).all(|pair| pair[0].name != pair[1].name);
    is_unique.then_some(routes)
}
