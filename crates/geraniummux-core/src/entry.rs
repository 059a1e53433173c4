//! Which entry hosts a caller gets.

use crate::membership::{Member, MemberState, Membership};
use rand::{Rng, RngExt};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a caller may use an answer, in milliseconds.
pub const ENTRY_TTL_MS: u64 = 5_000;
/// Number of addresses in an answer.
pub const MAX_ENTRY_HOSTS: usize = 3;

/// One address of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryHost {
    /// Where callers reach the host.
    pub addr: SocketAddr,
    /// Failure domain that the host runs in.
    pub failure_domain: Arc<str>,
}

/// The answer to a caller, serialized as it is sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryResponse {
    /// The addresses, in the order in which the caller tries them.
    pub hosts: Vec<EntryHost>,
    /// How long the answer may be used, in milliseconds.
    pub ttl_ms: u64,
}

impl EntryResponse {
    /// Returns the answer for a caller in `domain`.
    ///
    /// Only hosts that are alive are named. `weight` returns a host's share of callers relative to
    /// others of its failure domain; a host without a positive weight is named last.
    pub fn new<R, W>(members: &Membership, domain: Option<&str>, weight: W, rng: &mut R) -> Self
    where
        R: Rng + ?Sized,
        W: Fn(&Member) -> f64,
    {
        let mut keyed: Vec<(bool, f64, &Member)> = std::iter::once(members.local_member())
            .chain(members.peers())
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| {
                let remote = domain.is_some_and(|d| *d != *m.failure_domain);
                // The smallest of exponential variables falls on each host in proportion to its
                // rate, which gives a weighted random order.
                let w = weight(m);
                let w = if w.is_finite() && w > 0.0 { w } else { f64::MIN_POSITIVE };
                (remote, -(1.0 - rng.random::<f64>()).ln() / w, m)
            })
            .collect();
        keyed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let hosts = keyed
            .into_iter()
            .take(MAX_ENTRY_HOSTS)
            .map(|(_, _, m)| EntryHost {
                addr: m.http_addr,
                failure_domain: m.failure_domain.clone(),
            })
            .collect();
        EntryResponse { hosts, ttl_ms: ENTRY_TTL_MS }
    }
}
