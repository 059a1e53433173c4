//! Selects the hosts to which a caller is directed as its entry points.

use crate::membership::{Member, MemberState, Membership};
use rand::{Rng, RngExt};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a caller may use an [`EntryResponse`], in milliseconds.
pub const ENTRY_TTL_MS: u64 = 5_000;
/// Largest number of hosts in an [`EntryResponse`].
pub const MAX_ENTRY_HOSTS: usize = 3;

/// A host of an [`EntryResponse`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryHost {
    /// Address at which callers reach the host.
    pub addr: SocketAddr,
    /// Failure domain in which the host runs.
    pub failure_domain: Arc<str>,
}

/// The list of entry hosts for a caller, serialized as the body of the response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryResponse {
    /// The hosts, in the order in which the caller tries them.
    pub hosts: Vec<EntryHost>,
    /// How long the caller may use the list, in milliseconds.
    pub ttl_ms: u64,
}

impl EntryResponse {
    /// Returns a random choice of hosts for a caller in the failure domain `domain`.
    ///
    /// Only hosts that are alive are listed, those of `domain` first. `weight` returns a host's share
    /// of callers relative to the other hosts of its failure domain; a host without a positive finite
    /// weight is listed last in its domain.
    pub fn new<R, W>(members: &Membership, domain: Option<&str>, weight: W, rng: &mut R) -> Self
    where
        R: Rng + ?Sized,
        W: Fn(&Member) -> f64,
    {
        let mut candidates: Vec<(bool, f64, &Member)> = std::iter::once(members.local_member())
            .chain(members.peers())
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| {
                let remote = domain.is_some_and(|d| *d != *m.failure_domain);
                // Sorting by exponential variates whose rates are the weights gives a weighted
                // random order: each host comes first with a probability proportional to its
                // weight.
                let w = weight(m);
                let w = if w.is_finite() && w > 0.0 { w } else { f64::MIN_POSITIVE };
                (remote, -(1.0 - rng.random::<f64>()).ln() / w, m)
            })
            .collect();
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let hosts = candidates
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
