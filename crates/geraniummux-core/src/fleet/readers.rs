//! Which hosts read the platform's store, and whom the others hear from.
//!
//! All hosts order the live members in the same way. The first few read the store; each other host
//! follows one that precedes it, so that every host serves only a few followers. Store calls
//! therefore don't grow with the fleet. If nothing fresh arrives, the next ones in the order begin
//! to read as well, one after the other, and all others only much later.

use std::time::Duration;

/// Sizes and times of the distribution.
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Hosts that always read the store.
    pub roots: usize,
    /// Hosts, roots included, that read it soon after news stop arriving.
    pub scouts: usize,
    /// Most followers of one host while all hosts agree on the order.
    pub fanout: usize,
    /// Age of the news from which the first scout begins to read.
    pub stale_after: Duration,
    /// Time between two scouts.
    pub scout_step: Duration,
    /// Age of the news from which any host reads the store for itself.
    pub isolated_after: Duration,
}

impl Default for ReaderOptions {
    fn default() -> Self {
        ReaderOptions {
            roots: 2,
            scouts: 6,
            fanout: 4,
            stale_after: Duration::from_millis(700),
            scout_step: Duration::from_millis(150),
            isolated_after: Duration::from_millis(2_500),
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
pub enum Source {
    /// It reads the store.
    Store,
    /// It hears from other hosts only.
    Peers,
}

/// Decides whether a host reads the store, from the age of what it heard from its peers. A host that
/// reads although it is not a root goes on until the news of its peers are fresh.
pub fn source(rank: usize, age: Duration, reads: bool, opts: &ReaderOptions) -> Source {
    if rank < opts.roots {
        return Source::Store;
    }
    let limit = if reads {
        opts.stale_after / 2
    } else if rank < opts.scouts {
        opts.stale_after + opts.scout_step * (rank - opts.roots) as u32
    } else {
        // Spreads the hosts that are cut off from their peers over some time.
        opts.isolated_after + opts.scout_step * (rank % 8) as u32
    };
    if age >= limit { Source::Store } else { Source::Peers }
}

/// Returns the ranks of the hosts that a host may follow, the preferred one first.
pub fn leaders(position: Position, opts: &ReaderOptions) -> Vec<usize> {
    let Position { rank, hosts } = position;
    let mut ranks = Vec::new();
    if rank >= opts.roots {
        ranks.push((rank - opts.roots) / opts.fanout.max(1));
    }
    ranks.extend(0..opts.scouts);
    let mut out: Vec<usize> = Vec::new();
    for r in ranks {
        if r != rank && r < hosts && !out.contains(&r) {
            out.push(r);
        }
    }
    out
}
