//! Shares of teams in the work of one pool, so that one team's load does not delay the others.
//!
//! A team's size is the rate of its allowance or, without one, the rate at which it usually sends. While
//! requests wait, a team that has had clearly more work done for its size than all teams together goes after the
//! others. Its usage decays, so that it is never left out for long.

use super::allowance::TeamTerms;
use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Time in which the weight of work that was granted decays to about a third (1/e).
const USAGE_DECAY: Duration = Duration::from_millis(1_000);
/// Time in which the usual rate of a team follows its present one.
const USUAL_RATE_DECAY: Duration = Duration::from_secs(20);
/// Usage of a team for its size, as a multiple of that of all teams, from which it goes after the others.
const EXCESS_RATIO: f64 = 1.25;
/// Smallest size of a team in requests per second, so that single requests of a small team don't count as excess.
const MIN_SIZE: f64 = 1.0;
/// Time without requests after which a team is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Usage {
    team: Arc<str>,
    /// Requests per second of its allowance; 0 if it has none.
    allowed_per_s: f64,
    /// Usual requests per second, as of `at`.
    usual_per_s: f64,
    /// Work granted in the time of the decay, in seconds of service time as of `at`.
    work_s: f64,
    at: Time,
}

impl Usage {
    fn decay(&mut self, now: Time) {
        let age = now.since(self.at).as_secs_f64();
        self.work_s *= (-age / USAGE_DECAY.as_secs_f64()).exp();
        self.usual_per_s *= (-age / USUAL_RATE_DECAY.as_secs_f64()).exp();
        self.at = now;
    }

    fn size(&self) -> f64 {
        let size = if self.allowed_per_s > 0.0 { self.allowed_per_s } else { self.usual_per_s };
        size.max(MIN_SIZE)
    }
}

/// The work that one pool has done for each team lately.
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    /// Sorted by team.
    usages: Vec<Usage>,
}

impl TeamShares {
    fn entry(&mut self, now: Time, team: &Arc<str>) -> &mut Usage {
        let i = self.usages.binary_search_by(|u| u.team.cmp(team)).unwrap_or_else(|i| {
            let team = team.clone();
            let usage = Usage { team, allowed_per_s: 0.0, usual_per_s: 0.0, work_s: 0.0, at: now };
            self.usages.insert(i, usage);
            i
        });
        &mut self.usages[i]
    }

    /// Records the arrival of a request.
    pub fn on_arrival(&mut self, now: Time, terms: &TeamTerms) {
        let usage = self.entry(now, &terms.team);
        usage.decay(now);
        usage.allowed_per_s = f64::from(terms.weight);
        usage.usual_per_s += 1.0 / USUAL_RATE_DECAY.as_secs_f64();
    }

    /// Records that a request with this service time was granted a slot.
    pub fn on_grant(&mut self, now: Time, team: &Arc<str>, service_time: Duration) {
        let usage = self.entry(now, team);
        usage.decay(now);
        usage.work_s += service_time.as_secs_f64();
    }

    /// Returns the teams that have had more than their share, sorted by name.
    pub fn in_excess(&mut self, now: Time) -> Vec<Arc<str>> {
        self.usages.retain(|u| now.since(u.at) < RETENTION);
        self.usages.iter_mut().for_each(|u| u.decay(now));
        let work: f64 = self.usages.iter().map(|u| u.work_s).sum();
        let size: f64 = self.usages.iter().map(Usage::size).sum();
        let limit = EXCESS_RATIO * work / size.max(MIN_SIZE);
        let is_in_excess = |u: &&Usage| u.work_s > limit * u.size();
        self.usages.iter().filter(is_in_excess).map(|u| u.team.clone()).collect()
    }
}
