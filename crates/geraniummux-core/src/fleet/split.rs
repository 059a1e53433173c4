//! Divides the requests of a route among its pools.

use super::routes::FleetRoute;
use std::sync::Arc;

/// Smooth weighted round-robin over the pools of one route.
///
/// Each request goes to the pool that is furthest behind its share, so that the shares hold over
/// short spans as well. A random start prevents hosts with little traffic from all favouring the
/// same pool.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    /// Credit of each pool, in requests; a request costs the chosen pool one.
    credits: Vec<f64>,
}

impl SplitState {
    /// Returns the pool for the next request; `None` if the weights add up to zero. The only pool
    /// of a route is returned whatever its weight.
    ///
    /// `random` in 0..1 chooses the first pool. It is used on the first call and after the number
    /// of shares has changed.
    pub fn next<'a>(&mut self, route: &'a FleetRoute, random: f64) -> Option<&'a Arc<str>> {
        if let [only] = &route.shares[..] {
            return Some(&only.pool);
        }
        let total: f64 = route.shares.iter().map(|s| s.weight).sum();
        if total <= 0.0 {
            return None;
        }
        if self.credits.len() != route.shares.len() {
            self.start(route, random * total);
        }
        for (credit, share) in self.credits.iter_mut().zip(&route.shares) {
            *credit += share.weight / total;
        }
        let best =
            (0..self.credits.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[best] -= 1.0;
        Some(&route.shares[best].pool)
    }

    /// Resets the credits so that the pool at `point` in the cumulative weights is chosen first.
    fn start(&mut self, route: &FleetRoute, point: f64) {
        let mut end = 0.0;
        let mut found = false;
        self.credits.clear();
        for share in &route.shares {
            end += share.weight;
            let first = !found && point < end;
            found |= first;
            self.credits.push(if first { 1.0 } else { 0.0 });
        }
    }
}
