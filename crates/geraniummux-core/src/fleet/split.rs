//! Divides the requests of a route among its pools.

use super::routes::{FleetRoute, PoolShare};
use std::sync::Arc;

/// Number of requests of the sequence among which its start is drawn.
const START_POSITIONS: u32 = 1_000;
/// Difference by which shares are off that are computed from the same weights in another order or scale.
const MAX_ROUNDING: f64 = 1e-12;

/// A pool that gets requests of a route.
#[derive(Clone, Debug)]
struct Part {
    pool: Arc<str>,
    /// Part of the route's requests; above 0.
    share: f64,
    /// Requests by which the pool is behind its share.
    credit: f64,
}

/// Smooth weighted round-robin over the pools of one route.
///
/// Each request goes to the pool that is furthest behind its share, so that the shares hold over short spans as well. The
/// sequence begins at a random position, so that hosts with little traffic together keep the shares.
///
/// The credits hold for the pools and the shares by which they were earned. If these change, the sequence begins anew;
/// if only their order changes or the scale of the weights, it goes on. A pool with weight 0 has no credit, and no request
/// can reach it.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    /// The shares of the route for which the parts were made.
    shares: Vec<PoolShare>,
    /// Sorted by pool.
    parts: Vec<Part>,
}

impl SplitState {
    /// Returns the pool for the next request; `None` if no pool has a weight above 0.
    ///
    /// `random` in 0..1 chooses the position at which the sequence begins: the pool at that point of the cumulative shares,
    /// in the order of names, is the first. It is used on the first call and after the pools or their shares have changed.
    pub fn next(&mut self, route: &FleetRoute, random: f64) -> Option<&Arc<str>> {
        if self.shares != route.shares {
            self.rebind(&route.shares, random);
        }
        self.advance().map(|i| &self.parts[i].pool)
    }

    /// Returns the index of the next part.
    fn advance(&mut self) -> Option<usize> {
        for part in &mut self.parts {
            part.credit += part.share;
        }
        let by_credit =
            |a: &usize, b: &usize| self.parts[*a].credit.total_cmp(&self.parts[*b].credit);
        let next = (0..self.parts.len()).max_by(by_credit)?;
        self.parts[next].credit -= 1.0;
        Some(next)
    }

    /// Sets the shares of the route, and begins anew if they differ from the present ones.
    fn rebind(&mut self, shares: &[PoolShare], random: f64) {
        let parts = parts(shares);
        let is_same =
            |(a, b): (&Part, &Part)| a.pool == b.pool && (a.share - b.share).abs() <= MAX_ROUNDING;
        self.shares = shares.to_vec();
        if parts.len() == self.parts.len() && parts.iter().zip(&self.parts).all(is_same) {
            return;
        }
        self.parts = parts;
        self.begin(random);
    }

    /// Moves to the position in the sequence at which it begins. Without that, the first requests of all hosts would reach
    /// the same pools, in the same order.
    fn begin(&mut self, random: f64) {
        // Falls into the range of the first pool; what remains is the point in that range.
        let mut point = random;
        let is_in_range = |p: &Part| {
            let is_in_range = point < p.share;
            if !is_in_range {
                point -= p.share;
            }
            is_in_range
        };
        let Some(first) = self.parts.iter().position(is_in_range) else { return };
        if self.parts.len() == 1 {
            return;
        }
        let share = self.parts[first].share;
        let requests = (f64::from(START_POSITIONS) * share).floor();
        let requests_before = (point / share * requests) as usize;
        // Twice as many, as the last request of the pool may lie a little beyond.
        let mut choices = (0..2 * START_POSITIONS).filter(|_| self.advance() == Some(first));
        let steps = choices.nth(requests_before);
        self.parts.iter_mut().for_each(|p| p.credit = 0.0);
        match steps {
            Some(steps) => (0..steps).for_each(|_| _ = self.advance()),
            // The first request of such a rare pool is far from the start of the sequence.
            None => self.parts[first].credit = 1.0,
        }
    }
}

/// Returns a part without credit for each pool with a weight above 0, sorted by pool.
fn parts(shares: &[PoolShare]) -> Vec<Part> {
    let is_usable = |s: &&PoolShare| s.weight > 0.0 && s.weight.is_finite();
    let usable = || shares.iter().filter(is_usable);
    // Relative to the largest weight, the sum of any weights is finite.
    let largest = usable().map(|s| s.weight).fold(0.0, f64::max);
    let total: f64 = usable().map(|s| s.weight / largest).sum();
    let mut parts: Vec<Part> = Vec::new();
    for s in usable() {
        let share = s.weight / largest / total;
        match parts.binary_search_by(|p| p.pool.cmp(&s.pool)) {
            Ok(i) => parts[i].share += share,
            Err(i) => parts.insert(i, Part { pool: s.pool.clone(), share, credit: 0.0 }),
        }
    }
    parts
}
