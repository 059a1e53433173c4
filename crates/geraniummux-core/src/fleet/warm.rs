//! Tracks which hosts hold idle connections to which targets of a pool, as its scheduler sees it.
//!
//! A host keeps the connection on which a target has answered, until it is used again or closed after
//! some idle time. The scheduler learns both from grants and their ends, so that no message is needed.

use crate::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of idle connections tracked per host; the oldest are forgotten.
const MAX_PER_HOST: usize = 32;

/// An idle connection.
#[derive(Clone, Debug)]
struct Idle {
    target: Arc<str>,
    since: Time,
}

/// The idle connections of all hosts to the targets of one pool.
#[derive(Clone, Debug, Default)]
pub struct WarmConnections {
    /// Sorted by host; the connections of each host in the order in which they became idle.
    hosts: Vec<(Arc<str>, Vec<Idle>)>,
}

impl WarmConnections {
    /// Records that a target has answered a host, which keeps the connection.
    pub fn put(&mut self, now: Time, host: &Arc<str>, target: &Arc<str>) {
        let i = self.hosts.binary_search_by(|(h, _)| h.cmp(host)).unwrap_or_else(|i| {
            self.hosts.insert(i, (host.clone(), Vec::new()));
            i
        });
        let idle = &mut self.hosts[i].1;
        if idle.len() >= MAX_PER_HOST {
            idle.remove(0);
        }
        idle.push(Idle { target: target.clone(), since: now });
    }

    /// Records that a host uses its latest idle connection to a target, if it has one.
    pub fn take(&mut self, host: &str, target: &str) {
        let Ok(i) = self.hosts.binary_search_by(|(h, _)| (**h).cmp(host)) else { return };
        let idle = &mut self.hosts[i].1;
        if let Some(c) = idle.iter().rposition(|c| *c.target == *target) {
            idle.remove(c);
        }
    }

    /// Returns the targets to which a host has connections that are idle for less than `max_idle`, the
    /// most recently used first.
    pub fn targets_of(
        &self,
        now: Time,
        host: &str,
        max_idle: Duration,
    ) -> impl Iterator<Item = &Arc<str>> {
        let i = self.hosts.binary_search_by(|(h, _)| (**h).cmp(host)).ok();
        let idle = i.map_or(&[][..], |i| &self.hosts[i].1);
        let recent = idle.iter().rev().take_while(move |c| now.since(c.since) < max_idle);
        recent.map(|c| &c.target)
    }

    /// Forgets connections that are idle for `max_idle` or longer, and hosts without any.
    pub fn expire(&mut self, now: Time, max_idle: Duration) {
        for (_, idle) in &mut self.hosts {
            idle.retain(|c| now.since(c.since) < max_idle);
        }
        self.hosts.retain(|(_, idle)| !idle.is_empty());
    }
}
