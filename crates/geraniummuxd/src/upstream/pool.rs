//! Idle connections, by target.

use super::connection::Connection;
use crate::clock::Clock;
use geraniummux_core::Time;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Most idle connections that a host keeps per target.
const MAX_IDLE: usize = 8;
/// Idle connections that a target has room for, of all hosts together. It has about 300
/// connections; the rest is for requests in flight and new connections.
const FLEET_IDLE: usize = 240;
/// Idle connections are closed after this time, since targets close theirs at some time as well.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Idle {
    addr: SocketAddr,
    /// The most recently used is last.
    connections: Vec<Connection>,
}

/// The idle connections of this host.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    /// Idle connections kept per target, this host's share of [`FLEET_IDLE`].
    max_idle: AtomicUsize,
    /// Sorted by address.
    idle: Mutex<Vec<Idle>>,
}

impl Connections {
    /// Returns an empty pool.
    pub fn new(clock: Clock) -> Self {
        Connections { clock, max_idle: AtomicUsize::new(1), idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the time since the last answer on the most recently used idle connection.
    pub fn idle_time(&self, addr: SocketAddr) -> Option<Duration> {
        let idle = self.lock();
        let i = idle.binary_search_by_key(&addr, |e| e.addr).ok()?;
        let answered = idle[i].connections.last()?.answered?;
        Some(self.clock.now().since(answered))
    }

    /// Returns an idle connection if there is a usable one not older than `max_age`, else a new
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept a new connection.
    pub async fn reuse(&self, addr: SocketAddr, max_age: Duration) -> io::Result<Connection> {
        while let Some(mut conn) = self.take(addr) {
            let fresh = conn.answered.is_some_and(|t| self.clock.now().since(t) <= max_age);
            if fresh && conn.tx.ready().await.is_ok() && conn.is_quiet() {
                return Ok(conn);
            }
        }
        self.open(addr).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept it.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        Connection::open(addr, self.clock).await
    }

    /// Keeps a connection whose answer was read whole and whose target echoes request identities.
    pub fn keep(&self, mut conn: Connection) {
        let now = self.clock.now();
        conn.answered = Some(now);
        if conn.tx.is_closed() {
            return;
        }
        let max_idle = self.max_idle.load(Ordering::Relaxed);
        let mut closing = Vec::new();
        let mut idle = self.lock();
        let i = idle.binary_search_by_key(&conn.addr(), |e| e.addr).unwrap_or_else(|i| {
            idle.insert(i, Idle { addr: conn.addr(), connections: Vec::new() });
            i
        });
        let connections = &mut idle[i].connections;
        connections.push(conn);
        let expired = |c: &Connection| c.answered.is_none_or(|t| now.since(t) > MAX_IDLE_TIME);
        while connections.len() > max_idle || connections.first().is_some_and(expired) {
            closing.push(connections.remove(0));
        }
        // Closing a socket takes longer than the lock should be held.
        drop(idle);
        drop(closing);
    }

    /// Closes connections that were idle for too long, also those to targets that are gone, and
    /// adapts the number of those that are kept to the number of entry hosts.
    pub fn sweep(&self, hosts: usize) {
        let now = self.clock.now();
        let max_idle = (FLEET_IDLE / hosts.max(1)).clamp(1, MAX_IDLE);
        self.max_idle.store(max_idle, Ordering::Relaxed);
        let mut idle = self.lock();
        for entry in idle.iter_mut() {
            entry.connections.retain(|c| c.answered.is_some_and(|t| in_time(now, t)));
            let excess = entry.connections.len().saturating_sub(max_idle);
            entry.connections.drain(..excess);
        }
        idle.retain(|e| !e.connections.is_empty());
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let i = idle.binary_search_by_key(&addr, |e| e.addr).ok()?;
        idle[i].connections.pop()
    }
}

fn in_time(now: Time, answered: Time) -> bool {
    now.since(answered) <= MAX_IDLE_TIME
}
