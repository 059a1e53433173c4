//! Forgets what a host keeps by the names of routes and pools that are no longer configured. Names may change with each
//! version of the configuration.

use crate::host::Host;
use geraniummux_core::Time;
use geraniummux_core::fleet::RouteIndex;
use std::sync::Arc;

/// For which configuration everything was forgotten that belongs to others.
#[derive(Default)]
pub struct Retention {
    done_for: Option<Arc<RouteIndex>>,
}

impl Retention {
    /// Forgets what can be forgotten by now. To be called regularly, as budgets count for a while.
    pub fn tick(&mut self, host: &Host, now: Time) {
        let Some(index) = host.routes() else { return };
        if self.done_for.as_ref().is_some_and(|done| Arc::ptr_eq(done, &index)) {
            return;
        }
        let mut routes: Vec<&str> = index.routes().iter().map(|r| &*r.name).collect();
        routes.sort_unstable();
        let is_route = |name: &str| routes.binary_search(&name).is_ok();
        let is_pool = |name: &str| index.pool(name).is_some();
        let opts = host.extra_attempt_options();
        let are_budgets_done = host.fleet().retain_configured(now, &opts, is_route, is_pool);
        let are_bodies_done = host.bodies.budget().retain_routes(is_route);
        if are_budgets_done && are_bodies_done {
            self.done_for = Some(index);
        }
    }
}
