//! Limits the memory for bodies of requests and responses, which a host holds whole before it passes
//! them on.
//!
//! All bodies share one budget. A route holds a part of it at most, so that other routes are served
//! beside one with large bodies. A request is admitted only if the bodies that it is expected to need
//! fit; beyond that, a reserve is left for bodies that turn out larger.
//!
//! A response that declares its length may be as long as a fixed share of the budget. One that does not
//! has a limit of its route, which follows from the route's largest complete response so far. A target
//! that exceeds it is taken to send bytes without end. If another target of the route exceeds the
//! limit as well, the route's responses have become larger, and the limit is doubled.

use std::sync::Arc;

/// Limits of a [`BodyBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BodyOptions {
    /// Bytes up to which requests are admitted.
    pub capacity: u64,
    /// Share of the capacity that one route may hold while it holds anything else.
    pub route_share: f64,
    /// Bytes beyond the capacity for bodies that are larger than expected, as a share of it.
    pub growth_reserve: f64,
    /// Lowest limit of a response of undeclared length, as a share of the capacity.
    pub min_response_share: f64,
    /// The same on a route without a complete response so far.
    pub initial_response_share: f64,
    /// Highest limit of any response, as a share of the capacity.
    pub max_response_share: f64,
    /// Limit of a response of undeclared length as a multiple of the route's largest complete response.
    pub response_factor: f64,
}

impl BodyOptions {
    /// Returns the limits for a budget of `capacity` bytes.
    pub fn with_capacity(capacity: u64) -> Self {
        BodyOptions {
            capacity,
            route_share: 0.5,
            growth_reserve: 0.25,
            min_response_share: 1.0 / 64.0,
            initial_response_share: 1.0 / 32.0,
            max_response_share: 1.0 / 4.0,
            response_factor: 4.0,
        }
    }

    fn share(&self, share: f64) -> u64 {
        (self.capacity as f64 * share) as u64
    }
}

/// The largest accepted bodies of a response, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimits {
    /// If the response declares its length.
    pub declared: u64,
    /// If the length is known only at the end.
    pub undeclared: u64,
}

/// Bodies of one route.
#[derive(Clone, Debug, Default)]
struct RouteBodies {
    held: u64,
    /// Size of the largest complete response.
    largest: Option<u64>,
    /// Lower bound of the limit of one response, raised by responses that exceeded it.
    raised_limit: u64,
    /// The target whose response exceeded the limit last.
    exceeded_by: Option<Arc<str>>,
}

/// The memory of one host for bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    opts: BodyOptions,
    held: u64,
    /// Sorted by route.
    routes: Vec<(Arc<str>, RouteBodies)>,
}

impl BodyBudget {
    /// Returns a budget of which nothing is held.
    pub fn new(opts: BodyOptions) -> Self {
        BodyBudget { opts, held: 0, routes: Vec::new() }
    }

    /// Replaces the limits; what is held stays held.
    pub fn set_options(&mut self, opts: BodyOptions) {
        self.opts = opts;
    }

    /// Returns the bytes held by all routes.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Reserves the bytes that a new request is expected to need. Returns false, and reserves nothing,
    /// if they don't fit.
    pub fn admit(&mut self, route: &Arc<str>, bytes: u64) -> bool {
        let opts = self.opts;
        let held_by_all = self.held;
        let state = self.route(route);
        let fits_route =
            state.held == 0 || state.held.saturating_add(bytes) <= opts.share(opts.route_share);
        if !fits_route || held_by_all.saturating_add(bytes) > opts.capacity {
            return false;
        }
        state.held += bytes;
        self.held += bytes;
        true
    }

    /// Reserves further bytes for a body that is larger than expected. Returns false, and reserves
    /// nothing, if they don't fit.
    pub fn grow(&mut self, route: &Arc<str>, bytes: u64) -> bool {
        let limit = self.opts.capacity + self.opts.share(self.opts.growth_reserve);
        if self.held.saturating_add(bytes) > limit {
            return false;
        }
        self.route(route).held += bytes;
        self.held += bytes;
        true
    }

    /// Releases bytes that were reserved for a route.
    pub fn release(&mut self, route: &Arc<str>, bytes: u64) {
        let state = self.route(route);
        state.held = state.held.saturating_sub(bytes);
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the largest accepted bodies of a response on a route.
    pub fn response_limits(&mut self, route: &Arc<str>) -> ResponseLimits {
        let opts = self.opts;
        let state = self.route(route);
        let expected = match state.largest {
            Some(largest) => (largest as f64 * opts.response_factor) as u64,
            None => opts.share(opts.initial_response_share),
        };
        let (min, max) = (opts.share(opts.min_response_share), opts.share(opts.max_response_share));
        let undeclared = expected.max(state.raised_limit).clamp(min, max);
        ResponseLimits { declared: max, undeclared }
    }

    /// Records the size of a complete response.
    pub fn on_response(&mut self, route: &Arc<str>, bytes: u64) {
        let state = self.route(route);
        state.largest = state.largest.max(Some(bytes));
        state.exceeded_by = None;
    }

    /// Records that a response of `target` exceeded the route's limits.
    pub fn on_limit_exceeded(&mut self, route: &Arc<str>, target: &Arc<str>) {
        let limit = self.response_limits(route).undeclared;
        let state = self.route(route);
        match &state.exceeded_by {
            Some(other) if other != target => {
                state.raised_limit = limit.saturating_mul(2);
                state.exceeded_by = None;
            }
            _ => state.exceeded_by = Some(target.clone()),
        }
    }

    /// Forgets what is known of the bodies of other routes, but for those that hold bytes. Returns whether none of
    /// these is left.
    pub fn retain_routes<F>(&mut self, is_route: F) -> bool
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|(route, state)| state.held > 0 || is_route(route));
        self.routes.iter().all(|(route, _)| is_route(route))
    }

    fn route(&mut self, route: &Arc<str>) -> &mut RouteBodies {
        let i = self.routes.binary_search_by(|(r, _)| r.cmp(route)).unwrap_or_else(|i| {
            self.routes.insert(i, (route.clone(), RouteBodies::default()));
            i
        });
        &mut self.routes[i].1
    }
}
