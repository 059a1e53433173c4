//! Tests of the bounds of the retry and hedge budgets.

use geraniummux_core::Time;
use geraniummux_core::budget::{BudgetOptions, TokenBudget};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Guards against a sequence of requests that spends more than the documented bound, and against a
/// budget that can't be spent.
#[test]
fn try_spend_stays_within_bound() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let options = BudgetOptions::default();
        let mut budget = TokenBudget::new(options, Time::ZERO);
        let mut now = Time::ZERO;
        let (mut firsts, mut extras) = ([0u32; 12], [0u32; 12]);
        for _ in 0..20_000 {
            now = now + Duration::from_micros(rng.random_range(0..20_000));
            let depth = rng.random_range(0..12u32);
            if rng.random_bool(0.4) {
                budget.deposit(now, depth);
                firsts[depth as usize] += 1;
            } else if budget.try_spend(now, depth) {
                extras[depth as usize] += 1;
            }
        }
        for depth in 0..12 {
            let earned = options.burst
                + options.ratio * f64::from(firsts[depth])
                + options.floor_per_s * now.as_micros() as f64 / 1e6;
            let bound = earned / f64::from(1u32 << depth);
            let spent = f64::from(extras[depth]);
            assert!(spent <= bound + 1e-6, "seed {seed}, depth {depth}: {spent} > {bound}");
        }
        let earned = options.burst + options.ratio * f64::from(firsts[0]);
        assert!(f64::from(extras[0]) > 0.9 * earned, "seed {seed}: not usable: {extras:?}");
    }
}

/// Guards against extra attempts from saved tokens when the ratio disables them.
#[test]
fn try_spend_ratio_zero_allows_none() {
    let options = BudgetOptions { ratio: 0.0, ..BudgetOptions::default() };
    let mut budget = TokenBudget::new(options, Time::ZERO);
    budget.deposit(Time::ZERO, 0);
    assert!(!budget.try_spend(Time::from_millis(60_000), 0));
}

/// Rule by which a level of the chain decides on an extra attempt.
#[derive(Clone, Copy, Debug)]
enum Rule {
    /// A fixed maximum number of retries for each request.
    Fixed(u32),
    /// A token budget that ignores the depth.
    Flat,
    /// The token budget, which is halved with each level of depth.
    Halved,
}

const LEVELS: usize = 10;
const HOSTS: usize = 18;
const MAX_RETRIES: u32 = 3;

/// A chain of services, each of which calls the next one. Every call of the last one fails.
struct Chain {
    rule: Rule,
    /// One budget per level and host.
    budgets: Vec<Vec<TokenBudget>>,
    calls: [u64; LEVELS],
    now: Time,
    rng: StdRng,
}

impl Chain {
    fn call(&mut self, level: usize) {
        let host = self.rng.random_range(0..HOSTS);
        let depth = if matches!(self.rule, Rule::Halved) { level as u32 } else { 0 };
        self.budgets[level][host].deposit(self.now, depth);
        for attempt in 0..=MAX_RETRIES {
            let allowed = match self.rule {
                _ if attempt == 0 => true,
                Rule::Fixed(retries) => attempt <= retries,
                _ => self.budgets[level][host].try_spend(self.now, depth),
            };
            if !allowed {
                return;
            }
            self.calls[level] += 1;
            if level + 1 < LEVELS {
                self.call(level + 1);
            }
        }
    }
}

/// Returns the number of calls at the last level per request to the chain.
fn amplification(rule: Rule, requests: u64) -> f64 {
    let options = BudgetOptions { floor_per_s: 0.0, ..BudgetOptions::default() };
    let budget = TokenBudget::new(options, Time::ZERO);
    let mut chain = Chain {
        rule,
        budgets: vec![vec![budget; HOSTS]; LEVELS],
        calls: [0; LEVELS],
        now: Time::ZERO,
        rng: StdRng::seed_from_u64(1),
    };
    for _ in 0..requests {
        chain.call(0);
    }
    chain.calls[LEVELS - 1] as f64 / requests as f64
}

/// Guards against retries that multiply over ten levels while every call of the last level fails.
///
/// The bound is the product of `1 + 0.1 / 2^d` over the depths, which is below `e^0.2 = 1.2215`.
/// The initial tokens of the budgets add at most `18 * 20 * 1.2215 = 440` calls to 50,000.
#[test]
fn amplification_ten_levels_bounded() {
    const REQUESTS: u64 = 50_000;
    let bound = 0.2f64.exp() * (1.0 + (HOSTS * 20) as f64 / REQUESTS as f64);
    let fixed = amplification(Rule::Fixed(1), 200);
    let flat = amplification(Rule::Flat, REQUESTS);
    let halved = amplification(Rule::Halved, REQUESTS);
    println!(
        "one retry each: {fixed:.1}, flat budget: {flat:.2}, halved: {halved:.3}, bound {bound:.3}"
    );
    assert!(halved <= bound, "{halved} > {bound}");
    // The other rules must exceed the bound, since the test would prove nothing otherwise.
    assert!(fixed > bound && flat > bound);
}
