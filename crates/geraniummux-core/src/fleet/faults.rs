//! Scores the faults of targets that this host and its peers observe, to eject failing targets.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why an exchange with a target failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fault {
    /// No connection could be opened, or a probe on a new connection got no response.
    Unreachable,
    /// The connection broke or the response was unusable after the request was sent.
    Broken,
    /// The response was longer than any response should be, as if it had no end.
    Endless,
    /// No response came within a time in which other targets answer.
    Silent,
    /// The response was a server error.
    ServerError,
    /// The target refused the request although it had reported free slots.
    Refused,
}

impl Fault {
    /// Returns how much the fault counts towards ejecting the target.
    pub fn weight(self) -> f64 {
        match self {
            // Each such response costs memory and link time, so the first one ejects the target.
            Fault::Endless => 4.0,
            Fault::Unreachable => 2.0,
            Fault::Broken | Fault::Silent => 1.0,
            // Healthy targets fail a few requests as well.
            Fault::ServerError => 0.7,
            // The report may have been outdated when the target refused.
            Fault::Refused => 0.2,
        }
    }

    /// Returns the name of the fault in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Unreachable => "unreachable",
            Fault::Broken => "broken",
            Fault::Endless => "endless",
            Fault::Silent => "silent",
            Fault::ServerError => "server_error",
            Fault::Refused => "refused",
        }
    }
}

/// Parameters of a [`FaultScore`].
#[derive(Clone, Copy, Debug)]
pub struct FaultOptions {
    /// Time in which a score decays to half.
    pub half_life: Duration,
    /// Score at which a target is ejected while others are usable.
    pub eject_at: f64,
    /// Fraction of the score that one success removes.
    pub success_relief: f64,
}

impl Default for FaultOptions {
    fn default() -> Self {
        FaultOptions {
            half_life: Duration::from_millis(1_500),
            eject_at: 2.0,
            success_relief: 0.05,
        }
    }
}

/// Exponentially decaying sum of the weights of one target's faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultScore {
    score: f64,
    at: Time,
}

impl FaultScore {
    /// Returns the score at `now`.
    pub fn at(&self, now: Time, opts: &FaultOptions) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / opts.half_life.as_secs_f64();
        self.score * (-halves * std::f64::consts::LN_2).exp()
    }

    /// Adds the weight of a fault that this host or a peer observed.
    pub fn add(&mut self, now: Time, weight: f64, opts: &FaultOptions) {
        // `max` takes a weight that is no number for 0.
        self.score = (self.at(now, opts) + weight.max(0.0)).min(4.0 * opts.eject_at);
        self.at = now;
    }

    /// Lowers the score after a successful request.
    pub fn relieve(&mut self, now: Time, opts: &FaultOptions) {
        if self.score > 0.0 {
            self.score = self.at(now, opts) * (1.0 - opts.success_relief);
            self.at = now;
        }
    }

    /// Returns whether the target is to be ejected while others are usable.
    pub fn is_ejected(&self, now: Time, opts: &FaultOptions) -> bool {
        self.at(now, opts) >= opts.eject_at
    }
}
