//! The difference between two versions of the configuration, for hosts that replicate it.
//!
//! A configuration can have thousands of routes, of which one version changes few.

use super::routes::{CallerLimits, ConfigEdition, FleetConfig, FleetPool, FleetRoute};
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
        }
    }

    /// Returns the change from `base` to `config`. It holds the whole configuration if routes can't be
    /// told apart by their names.
    pub fn between(base: &FleetConfig, config: &FleetConfig) -> Self {
        let (Some(old), Some(new)) = (by_name(base), by_name(config)) else {
            return ConfigChange::whole(config);
        };
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
        }
    }

    /// Returns the configuration after the change; `None` if `current` is not the edition that the
    /// change applies to.
    pub fn apply(self, current: Option<&FleetConfig>) -> Option<FleetConfig> {
        let ConfigChange { base, edition, mut removed, routes, pools, limits } = self;
        let ConfigEdition { version, era } = edition;
        let Some(base) = base else {
            return Some(FleetConfig { version, era, routes, pools, limits });
        };
        let current = current.filter(|c| c.edition() == base)?;
        removed.extend(routes.iter().map(|r| r.name.clone()));
        removed.sort_unstable();
        let is_kept = |r: &&FleetRoute| removed.binary_search(&r.name).is_err();
        let kept = current.routes.iter().filter(is_kept).cloned();
        let routes = kept.chain(routes).collect();
        Some(FleetConfig { version, era, routes, pools, limits })
    }
}

/// Returns the routes sorted by name; `None` if two have the same name.
fn by_name(config: &FleetConfig) -> Option<Vec<&FleetRoute>> {
    let mut routes: Vec<&FleetRoute> = config.routes.iter().collect();
    routes.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let is_unique = routes.windows(2).all(|pair| pair[0].name != pair[1].name);
    is_unique.then_some(routes)
}
