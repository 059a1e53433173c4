//! Which hosts read the platform's store, and whom the others hear from.
//!
//! All hosts order the live members in the same way. The first few read the store; in each failure
//! domain the first follows one of them and each other one a host of the domain that precedes it, so that
//! every host serves only a few followers and little crosses domains. Store calls
//! therefore don't grow with the fleet. If nothing fresh arrives, the next ones in the order begin
//! to read as well, one after the other; the others only if they hear nothing from any peer, or much
//! later.

use std::time::Duration;

/// Sizes and times of the distribution.
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Hosts that always read the store.
    pub primary_readers: usize,
    /// Hosts, roots included, that read it soon after news stop arriving.
    pub readers: usize,
    /// Most followers of one host while all hosts agree on the order.
    pub fanout: usize,
    /// Age of the news from which the first scout begins to read.
    pub stale_after: Duration,
    /// Time between two scouts.
    pub standby_step: Duration,
    /// Silence of all peers after which any host reads the store for itself.
    pub isolated_after: Duration,
    /// Age of the news from which hosts beyond the scouts begin to read, although they hear from
    /// their peers: all scouts may be refused.
    pub fallback_after: Duration,
}

impl Default for ReaderOptions {
    fn default() -> Self {
        ReaderOptions {
            primary_readers: 2,
            readers: 6,
            fanout: 4,
            stale_after: Duration::from_millis(700),
            standby_step: Duration::from_millis(150),
            isolated_after: Duration::from_millis(2_500),
            fallback_after: Duration::from_secs(6),
        }
    }
}

/// The place of a host in the order of live members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of members that precede the host.
    pub rank: usize,
    /// Number of live members, the host included.
    pub hosts: usize,
}

/// Whether a host reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadSource {
    /// It reads the store.
    Store,
    /// It hears from other hosts only.
    Peers,
}

/// What a host heard from its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerFreshness {
    /// How long ago their knowledge was known to be current.
    pub age: Duration,
    /// How long ago any of them told of its knowledge.
    pub silence: Duration,
}

/// Decides whether a host reads the store, from what it heard from its peers. A host that reads
/// although it is not a root goes on until the news of its peers are fresh.
///
/// While the store is away, the news of all hosts grow old. Only the scouts then try to reach it, and
/// after a long time others, one after the other.
pub fn read_source(
    rank: usize,
    heard: PeerFreshness,
    reads: bool,
    opts: &ReaderOptions,
) -> ReadSource {
    let PeerFreshness { age, silence } = heard;
    if rank < opts.primary_readers {
        return ReadSource::Store;
    }
    let step = |n: usize| opts.standby_step * n as u32;
    let stale = if reads {
        age >= opts.stale_after / 2
    } else if rank < opts.readers {
        age >= opts.stale_after + step(rank - opts.primary_readers)
    } else {
        // The steps spread hosts that are cut off from their peers at the same time.
        silence >= opts.isolated_after + step(rank % 8)
            || age >= opts.fallback_after + step(rank - opts.readers)
    };
    if stale { ReadSource::Store } else { ReadSource::Peers }
}

/// A host to follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leader {
    /// The one with this rank among all hosts.
    AnyDomain(usize),
    /// The one with this rank among the hosts of the own failure domain.
    SameDomain(usize),
}

/// Returns the hosts that a host may follow, the preferred one first: one of its failure domain that
/// precedes it there, or the first root for the first of the domain. `near` is its place among the hosts
/// of its domain.
pub fn leaders(place: Position, near: Position, opts: &ReaderOptions) -> Vec<Leader> {
    let mut out = Vec::new();
    if place.rank >= opts.primary_readers && near.rank > 0 {
        out.push(Leader::SameDomain((near.rank - 1) / opts.fanout.max(1)));
    }
    let readers = (0..opts.readers).filter(|r| *r != place.rank && *r < place.hosts);
    out.extend(readers.map(Leader::AnyDomain));
    out
}
