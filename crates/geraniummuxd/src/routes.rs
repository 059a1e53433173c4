//! What is kept for each route beside its row: budgets and observed latency.

use geraniummux_core::Time;
use geraniummux_core::budget::RouteBudgets;
use geraniummux_core::config::Route;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Answers after which the p95 is known, and between two calculations of it.
const SAMPLES: u64 = 20;
/// Answers after which the histogram starts anew, so that the p95 follows the route's latency.
const WINDOW: u64 = 1_000;
/// Lowest quantile of the latency after which attempts are hedged.
const MIN_HEDGE_QUANTILE: f64 = 0.5;
/// Largest recorded latency, in microseconds; the longest route timeout.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

struct Latency {
    window: Histogram<u32>,
    p95: Option<Duration>,
    /// The quantile after which attempts are hedged. Hedging earlier than the budget allows would
    /// spend it on requests that are not slow.
    hedge_quantile: f64,
    hedge_after: Option<Duration>,
}

/// Returns the quantile of the latency that leaves the share of the hedge budget above it.
fn hedge_quantile(hedge_budget: f64) -> f64 {
    (1.0 - hedge_budget).max(MIN_HEDGE_QUANTILE)
}

/// Budgets and observed latency of a route.
pub struct RouteState {
    budgets: Mutex<RouteBudgets>,
    latency: Mutex<Latency>,
}

impl RouteState {
    fn new(route: &Route, now: Time) -> Self {
        // The arguments are constants within the library's limits.
        let window = Histogram::new_with_max(MAX_LATENCY_MICROS, 2).expect("valid bounds");
        RouteState {
            budgets: Mutex::new(RouteBudgets::new(route.retry_budget, route.hedge_budget, now)),
            latency: Mutex::new(Latency {
                window,
                p95: None,
                hedge_quantile: hedge_quantile(route.hedge_budget),
                hedge_after: None,
            }),
        }
    }

    /// Returns the budgets.
    pub fn budgets(&self) -> MutexGuard<'_, RouteBudgets> {
        self.budgets.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records the time from sending an attempt to its answer.
    pub fn observe(&self, took: Duration) {
        let mut latency = self.latency();
        let Latency { window, p95, hedge_quantile, hedge_after } = &mut *latency;
        window.saturating_record((took.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS));
        if window.len() % SAMPLES == 0 {
            let at = |quantile| Duration::from_micros(window.value_at_quantile(quantile));
            *p95 = Some(at(0.95));
            *hedge_after = Some(at(*hedge_quantile));
        }
        if window.len() >= WINDOW {
            window.reset();
        }
    }

    /// Returns the 95th percentile of the observed latency, or `None` while it is not known.
    pub fn p95(&self) -> Option<Duration> {
        self.latency().p95
    }

    /// Returns the time after which an attempt is hedged, or `None` while it is not known.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.latency().hedge_after
    }

    fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The state of all routes, which outlives edits of the routes table.
#[derive(Default)]
pub struct RouteStates {
    /// Sorted by route name.
    states: Mutex<Vec<(Arc<str>, Arc<RouteState>)>>,
}

impl RouteStates {
    /// Adopts a changed routes table.
    pub fn update(&self, routes: &[Route], now: Time) {
        let mut states = self.lock();
        states.retain(|(name, _)| routes.iter().any(|r| r.name == *name));
        for route in routes {
            match states.binary_search_by(|(name, _)| name.cmp(&route.name)) {
                Ok(i) => {
                    let mut budgets = states[i].1.budgets();
                    budgets.retry.set_ratio(route.retry_budget);
                    budgets.hedge.set_ratio(route.hedge_budget);
                    states[i].1.latency().hedge_quantile = hedge_quantile(route.hedge_budget);
                }
                Err(i) => {
                    let state = Arc::new(RouteState::new(route, now));
                    states.insert(i, (route.name.clone(), state));
                }
            }
        }
    }

    /// Returns the state of a route; a new one if the table has no such route any more.
    pub fn get(&self, route: &Route, now: Time) -> Arc<RouteState> {
        let states = self.lock();
        match states.binary_search_by(|(name, _)| name.cmp(&route.name)) {
            Ok(i) => states[i].1.clone(),
            Err(_) => Arc::new(RouteState::new(route, now)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Arc<str>, Arc<RouteState>)>> {
        self.states.lock().unwrap_or_else(|e| e.into_inner())
    }
}
