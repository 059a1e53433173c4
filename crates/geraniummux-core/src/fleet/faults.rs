//! Which targets fail, summed over what all hosts see.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why an exchange with a target failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fault {
    /// No connection could be made, or a fresh one gave no answer to a health check.
    Unreachable,
    /// The connection broke, or the answer was unusable, after the request was sent.
    Broken,
    /// No answer came in a time in which other targets answer.
    Silent,
    /// The answer was a server error.
    ServerError,
    /// It refused the request although it reported room.
    Refused,
}

impl Fault {
    /// Returns how much the fault counts towards leaving the target out.
    pub fn weight(self) -> f64 {
        match self {
            Fault::Unreachable => 2.0,
            Fault::Broken | Fault::Silent => 1.0,
            // A few requests fail on sound targets.
            Fault::ServerError => 0.7,
            // A refusal may only mean that the report was outdated.
            Fault::Refused => 0.2,
        }
    }

    /// Returns the name of the fault in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Unreachable => "unreachable",
            Fault::Broken => "broken",
            Fault::Silent => "silent",
            Fault::ServerError => "server_error",
            Fault::Refused => "refused",
        }
    }
}

/// Limits of the fault score.
#[derive(Clone, Copy, Debug)]
pub struct FaultOptions {
    /// Time in which a score halves.
    pub half_life: Duration,
    /// Score from which a target is left out while others are usable.
    pub eject_at: f64,
    /// Part of the score that one success removes.
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

/// The decaying sum of a target's faults.
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

    /// Adds faults of this host or of a peer.
    pub fn add(&mut self, now: Time, weight: f64, opts: &FaultOptions) {
        self.score = (self.at(now, opts) + weight).min(4.0 * opts.eject_at);
        self.at = now;
    }

    /// Records a success.
    pub fn relieve(&mut self, now: Time, opts: &FaultOptions) {
        if self.score > 0.0 {
            self.score = self.at(now, opts) * (1.0 - opts.success_relief);
            self.at = now;
        }
    }

    /// Returns whether the target is to be left out while others are usable.
    pub fn is_ejected(&self, now: Time, opts: &FaultOptions) -> bool {
        self.at(now, opts) >= opts.eject_at
    }
}
