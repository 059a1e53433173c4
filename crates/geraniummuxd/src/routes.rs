//! State of each route that is not part of its configuration: budgets and observed latency.

use geraniummux_core::Time;
use geraniummux_core::budget::RouteBudgets;
use geraniummux_core::config::Route;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Number of responses between two calculations of the quantiles. Before the first calculation
/// there are none.
const QUANTILE_INTERVAL: u64 = 20;
/// Number of responses after which the histogram is reset, so that the quantiles follow changes of
/// the route's latency.
const MAX_WINDOW_SAMPLES: u64 = 1_000;
/// Lowest latency quantile that is used as the hedging delay.
const MIN_HEDGE_QUANTILE: f64 = 0.5;
/// Largest recorded latency, in microseconds: the longest route timeout.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

struct Latency {
    window: Histogram<u32>,
    p95: Option<Duration>,
    /// The latency quantile that is used as the hedging delay. With a shorter delay, the hedge
    /// budget would be spent on requests that are not slow.
    hedge_quantile: f64,
    hedge_after: Option<Duration>,
}

/// Returns the latency quantile that a share of requests equal to the hedge budget exceeds.
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
        // The bounds are constants that the library accepts.
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

    /// Returns the retry and hedge budgets, locked.
    pub fn budgets(&self) -> MutexGuard<'_, RouteBudgets> {
        self.budgets.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records the time from sending an attempt to its response.
    pub fn record_latency(&self, took: Duration) {
        let mut latency = self.latency();
        let Latency { window, p95, hedge_quantile, hedge_after } = &mut *latency;
        window.saturating_record((took.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS));
        if window.len() % QUANTILE_INTERVAL == 0 {
            let at = |quantile| Duration::from_micros(window.value_at_quantile(quantile));
            *p95 = Some(at(0.95));
            *hedge_after = Some(at(*hedge_quantile));
        }
        if window.len() >= MAX_WINDOW_SAMPLES {
            window.reset();
        }
    }

    /// Returns the 95th percentile of the observed latency, or `None` before the first calculation.
    pub fn p95(&self) -> Option<Duration> {
        self.latency().p95
    }

    /// Returns the hedging delay of an attempt, or `None` before the first calculation.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.latency().hedge_after
    }

    fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The states of all routes. The state of a route that remains in the table is kept over edits.
#[derive(Default)]
pub struct RouteStates {
    /// Sorted by route name.
    states: Mutex<Vec<(Arc<str>, Arc<RouteState>)>>,
}

impl RouteStates {
    /// Applies a changed routes table.
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

    /// Returns the state of a route, or a new state if the table no longer has the route.
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
