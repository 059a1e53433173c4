//! The pool of idle connections to targets.

use super::connection::Connection;
use crate::clock::Clock;
use geraniummux_core::Time;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Largest number of idle connections that a host keeps to a target.
const MAX_IDLE_PER_TARGET: usize = 8;
/// Largest number of idle connections that all hosts together keep to a target. A target accepts
/// about 300 connections; the rest is left for requests in flight and new connections.
const MAX_FLEET_IDLE_PER_TARGET: usize = 240;
/// Time after which an idle connection is closed. Targets close idle connections after some time as
/// well.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct IdleConnections {
    addr: SocketAddr,
    /// The most recently used connection is last.
    connections: Vec<Connection>,
}

/// The idle connections of this host.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: Clock,
    /// Limit of idle connections to a target: this host's share of [`MAX_FLEET_IDLE_PER_TARGET`],
    /// at most [`MAX_IDLE_PER_TARGET`].
    max_idle: AtomicUsize,
    /// Sorted by address.
    idle: Mutex<Vec<IdleConnections>>,
}

impl ConnectionPool {
    /// Returns an empty pool.
    pub fn new(clock: Clock) -> Self {
        ConnectionPool { clock, max_idle: AtomicUsize::new(1), idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnections>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the time since the last response on the most recently used idle connection to a
    /// target, or `None` if there is no idle connection.
    pub fn idle_time(&self, addr: SocketAddr) -> Option<Duration> {
        let idle = self.lock();
        let i = idle.binary_search_by_key(&addr, |e| e.addr).ok()?;
        let last_response_at = idle[i].connections.last()?.last_response_at?;
        Some(self.clock.now().since(last_response_at))
    }

    /// Returns a usable connection that was idle for at most `max_age`, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept a new connection.
    pub async fn acquire(&self, addr: SocketAddr, max_age: Duration) -> io::Result<Connection> {
        while let Some(mut conn) = self.take(addr) {
            let fresh = conn.last_response_at.is_some_and(|t| self.clock.now().since(t) <= max_age);
            if fresh && conn.tx.ready().await.is_ok() && conn.has_no_pending_input() {
                return Ok(conn);
            }
        }
        self.open(addr).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't accept the connection.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        Connection::open(addr, self.clock).await
    }

    /// Puts a connection back into the pool. Its last response must have been read completely and
    /// have echoed the id of the attempt.
    pub fn release(&self, mut conn: Connection) {
        let now = self.clock.now();
        conn.last_response_at = Some(now);
        if conn.tx.is_closed() {
            return;
        }
        let max_idle = self.max_idle.load(Ordering::Relaxed);
        let mut closing = Vec::new();
        let mut idle = self.lock();
        let i = idle.binary_search_by_key(&conn.addr(), |e| e.addr).unwrap_or_else(|i| {
            idle.insert(i, IdleConnections { addr: conn.addr(), connections: Vec::new() });
            i
        });
        let connections = &mut idle[i].connections;
        connections.push(conn);
        let expired =
            |c: &Connection| c.last_response_at.is_none_or(|t| now.since(t) > MAX_IDLE_TIME);
        while connections.len() > max_idle || connections.first().is_some_and(expired) {
            closing.push(connections.remove(0));
        }
        // Sockets are closed after the lock is released, since closing takes long.
        drop(idle);
        drop(closing);
    }

    /// Closes connections that were idle for too long, including those to removed targets, and
    /// adjusts the limit of idle connections to the number of entry hosts, `hosts`.
    pub fn sweep(&self, hosts: usize) {
        let now = self.clock.now();
        let max_idle = (MAX_FLEET_IDLE_PER_TARGET / hosts.max(1)).clamp(1, MAX_IDLE_PER_TARGET);
        self.max_idle.store(max_idle, Ordering::Relaxed);
        let mut idle = self.lock();
        for entry in idle.iter_mut() {
            entry.connections.retain(|c| c.last_response_at.is_some_and(|t| is_fresh(now, t)));
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

fn is_fresh(now: Time, last_response_at: Time) -> bool {
    now.since(last_response_at) <= MAX_IDLE_TIME
}
