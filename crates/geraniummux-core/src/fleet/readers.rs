//! Which hosts read the platform's store, and from which leader the others replicate.
//!
//! All hosts order the live members in the same way. The first few, the primary readers, read the
//! store. In each failure domain, the first host follows a primary reader and every other host
//! follows one that precedes it in the domain, so that each host serves only a few followers and
//! little traffic crosses domains. The number of store calls therefore doesn't grow with the fleet.
//!
//! If the replicated data becomes stale, the next hosts in the order, the standby readers, start
//! reading one after the other. If it stays stale, the store may refuse all of them and yet serve
//! others: the other hosts check in growing groups whether it responds to them, which is cheap, and read
//! only if it does and no earlier group has read meanwhile. Without a check they read only if they get no
//! updates from any peer, or much later.

use crate::time::Time;
use std::time::Duration;

/// Parameters of the choice of readers and leaders.
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Number of primary readers, which always read the store.
    pub primary_readers: usize,
    /// Number of primary and standby readers together. Standby readers start reading soon after
    /// fresh updates stop arriving.
    pub readers: usize,
    /// Maximum number of followers of one host in its failure domain, while all hosts agree on the
    /// order.
    pub fanout: usize,
    /// Age of the replicated data at which the first standby reader starts reading.
    pub stale_after: Duration,
    /// Additional delay for each further host, so that hosts start reading one after the other.
    /// Applies to `stale_after`, `isolated_after` and `fallback_after`.
    pub standby_step: Duration,
    /// Age of the replicated data at which the first hosts after the standby readers check whether the
    /// store responds to them.
    pub check_after: Duration,
    /// Number of hosts in the first group that checks the store. Each further group is twice as large.
    pub first_check_group: usize,
    /// Additional delay for each further group.
    pub check_step: Duration,
    /// Delay before a host repeats a failed check; it doubles with each further one.
    pub recheck_after: Duration,
    /// Longest delay before a failed check is repeated.
    pub max_recheck_delay: Duration,
    /// Delay from the first check, if the store responds to it, until the first group reads the store.
    pub read_after_check: Duration,
    /// The same if earlier checks have failed. The store may be back for all, and the readers, which retry
    /// within 1.5 s, pass on what they read.
    pub read_after_failed_checks: Duration,
    /// Additional delay of the reads for each further group, in which the data of an earlier one may
    /// arrive.
    pub read_step: Duration,
    /// Time without updates from any peer after which a host that is neither a primary nor a
    /// standby reader starts reading.
    pub isolated_after: Duration,
    /// Age of the replicated data at which the first host after the standby readers starts reading
    /// although it gets updates from peers: the store may refuse all primary and standby readers.
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
            check_after: Duration::from_millis(1_000),
            first_check_group: 4,
            check_step: Duration::from_millis(50),
            recheck_after: Duration::from_millis(800),
            max_recheck_delay: Duration::from_secs(5),
            read_after_check: Duration::from_millis(250),
            read_after_failed_checks: Duration::from_secs(2),
            read_step: Duration::from_millis(75),
            isolated_after: Duration::from_millis(2_500),
            fallback_after: Duration::from_secs(6),
        }
    }
}

/// Position of a host in the order of live members, of the fleet or of its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of live members that precede the host.
    pub rank: usize,
    /// Number of live members, the host included.
    pub hosts: usize,
}

/// Where a host gets the configuration and the registered targets from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadSource {
    /// The platform's store.
    Store,
    /// The platform's store if it responds to a check, otherwise other hosts.
    StoreIfResponsive,
    /// Other hosts only.
    Peers,
}

/// How current the data is that a host replicates from its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerFreshness {
    /// Time since the replicated data was last known to match the store.
    pub age: Duration,
    /// Time since the last update from any peer.
    pub silence: Duration,
}

/// Returns whether a host reads the store, given its rank in the fleet and how current the data of
/// its peers is. `reads_store` is whether it does so already: a host that is not a primary reader
/// continues until the age of its peers' data is below half of `stale_after`.
///
/// While the store is unavailable, the data of all hosts becomes stale. Only the primary and standby
/// readers then try to reach the store, and after a long time the other hosts, one after the other.
pub fn read_source(
    rank: usize,
    freshness: PeerFreshness,
    reads_store: bool,
    opts: &ReaderOptions,
) -> ReadSource {
    let PeerFreshness { age, silence } = freshness;
    if rank < opts.primary_readers {
        return ReadSource::Store;
    }
    let delay = |n: usize| opts.standby_step * n as u32;
    let reads = if reads_store {
        age >= opts.stale_after / 2
    } else if rank < opts.readers {
        age >= opts.stale_after + delay(rank - opts.primary_readers)
    } else {
        // The delays stagger hosts that lose contact with their peers at the same time. The
        // remainder bounds them to 7 steps, so that the last hosts of a large fleet don't wait
        // long.
        silence >= opts.isolated_after + delay(rank % 8)
            || age >= opts.fallback_after + delay(rank - opts.readers)
    };
    if reads {
        return ReadSource::Store;
    }
    let checks = !reads_store
        && rank >= opts.readers
        && age >= opts.check_after + opts.check_step * check_group(rank - opts.readers, opts);
    if checks { ReadSource::StoreIfResponsive } else { ReadSource::Peers }
}

/// Whether the store responds to a host that does not read it, and when the host checks that again.
#[derive(Clone, Copy, Debug)]
pub struct StoreChecks {
    opts: ReaderOptions,
    /// When the store responded.
    responded_at: Option<Time>,
    /// Whether a check failed before.
    has_failed: bool,
    due: Time,
    interval: Duration,
}

impl StoreChecks {
    /// Returns the state of a host that has not checked the store.
    pub fn new(opts: ReaderOptions) -> Self {
        StoreChecks {
            opts,
            responded_at: None,
            has_failed: false,
            due: Time::default(),
            interval: opts.recheck_after,
        }
    }

    /// Returns whether the host checks the store now.
    pub fn is_due(&self, now: Time) -> bool {
        self.responded_at.is_none() && now >= self.due
    }

    /// Records the result of a check. `jitter` is a factor on the delay of the next check.
    pub fn record(&mut self, now: Time, responded: bool, jitter: f64) {
        if responded {
            self.responded_at = Some(now);
            return;
        }
        self.has_failed = true;
        self.due = now + self.interval.mul_f64(jitter);
        self.interval = (self.interval * 2).min(self.opts.max_recheck_delay);
    }

    /// Returns whether a host reads the store: it has responded, the host's turn has come, and data that an
    /// earlier group has read did not arrive.
    pub fn reads(&self, now: Time, rank: usize) -> bool {
        let opts = &self.opts;
        let first = match self.has_failed {
            true => opts.read_after_failed_checks,
            false => opts.read_after_check,
        };
        let group = check_group(rank.saturating_sub(opts.readers), opts);
        self.responded_at.is_some_and(|at| now >= at + first + opts.read_step * group)
    }
}

/// Returns the number of the group in which the host checks the store that has `index` hosts between the
/// standby readers and itself.
fn check_group(index: usize, opts: &ReaderOptions) -> u32 {
    (index / opts.first_check_group.max(1) + 1).ilog2()
}

/// A host to replicate from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leader {
    /// The host with this rank in the fleet.
    AnyDomain(usize),
    /// The host with this rank in the follower's failure domain.
    SameDomain(usize),
}

/// Returns the hosts that a host may follow, the preferred one first.
///
/// The preferred leader is a preceding host of the same failure domain. The first host of a domain
/// prefers the first primary reader, and primary readers prefer one another. All primary and standby
/// readers are fallbacks, in rank order. `in_fleet` and `in_domain` are the positions of the host
/// among all live members and among those of its failure domain.
pub fn leaders(in_fleet: Position, in_domain: Position, opts: &ReaderOptions) -> Vec<Leader> {
    let mut out = Vec::new();
    if in_fleet.rank >= opts.primary_readers && in_domain.rank > 0 {
        out.push(Leader::SameDomain((in_domain.rank - 1) / opts.fanout.max(1)));
    }
    let readers = (0..opts.readers).filter(|r| *r != in_fleet.rank && *r < in_fleet.hosts);
    out.extend(readers.map(Leader::AnyDomain));
    out
}
