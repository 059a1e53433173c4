//! Holds bodies of requests and responses within the memory budget of the host.

use bytes::{Bytes, BytesMut};
use geraniummux_core::fleet::{BodyBudget, BodyOptions};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::{Arc, Mutex, MutexGuard};

/// The memory budget for bodies, shared by the requests of a host.
#[derive(Clone)]
pub struct Bodies(Arc<Mutex<BodyBudget>>);

impl Bodies {
    /// Returns a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        Bodies(Arc::new(Mutex::new(BodyBudget::new(BodyOptions::with_capacity(capacity)))))
    }

    /// Changes the budget to `capacity` bytes.
    pub fn set_capacity(&self, capacity: u64) {
        self.budget().set_options(BodyOptions::with_capacity(capacity));
    }

    /// Locks the budget.
    pub fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reserves the memory that a request of a route is expected to need; `None` if it is not available.
    pub fn admit(&self, route: &Arc<str>, bytes: u64) -> Option<BodyMemory> {
        let admitted = self.budget().admit(route, bytes);
        admitted.then(|| BodyMemory {
            bodies: self.clone(),
            route: route.clone(),
            reserved: bytes,
            used: 0,
        })
    }

    /// Returns memory of a route without any bytes reserved.
    pub fn unreserved(&self, route: &Arc<str>) -> BodyMemory {
        BodyMemory { bodies: self.clone(), route: route.clone(), reserved: 0, used: 0 }
    }
}

/// Memory that is reserved for a body until it is dropped.
pub struct BodyMemory {
    bodies: Bodies,
    route: Arc<str>,
    reserved: u64,
    used: u64,
}

impl BodyMemory {
    /// Uses `bytes` of the reserved memory, and reserves more if that does not suffice. Returns whether
    /// the memory is available.
    fn use_bytes(&mut self, bytes: u64) -> bool {
        let missing = (self.used + bytes).saturating_sub(self.reserved);
        if missing > 0 && !self.bodies.budget().grow(&self.route, missing) {
            return false;
        }
        self.reserved += missing;
        self.used += bytes;
        true
    }

    /// Moves `bytes` of the reserved memory to another reservation, as far as there are so many.
    pub fn split(&mut self, bytes: u64) -> BodyMemory {
        let moved = bytes.min(self.reserved - self.used);
        self.reserved -= moved;
        BodyMemory {
            bodies: self.bodies.clone(),
            route: self.route.clone(),
            reserved: moved,
            used: 0,
        }
    }

    /// Returns a body that keeps the used memory reserved until it is dropped.
    fn attach(mut self, body: Bytes) -> Bytes {
        let unused = self.reserved - self.used;
        self.bodies.budget().release(&self.route, unused);
        self.reserved = self.used;
        Bytes::from_owner(HeldBody { body, _memory: self })
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.bodies.budget().release(&self.route, self.reserved);
    }
}

/// A body with the memory that is reserved for it.
struct HeldBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The host has no memory left for the body.
    NoMemory,
    /// The connection broke or the body is malformed.
    Broken,
}

/// Reads a body of up to `limit` bytes. The result keeps its memory reserved until it is dropped.
///
/// # Errors
///
/// Fails if the body is too large, broken, or finds no memory. A body whose declared length exceeds
/// the limit is not read.
pub async fn collect<B>(mut body: B, limit: u64, mut memory: BodyMemory) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit {
        return Err(BodyError::TooLarge);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if data.is_empty() {
            continue;
        }
        if memory.used + data.len() as u64 > limit {
            return Err(BodyError::TooLarge);
        }
        if !memory.use_bytes(data.len() as u64) {
            return Err(BodyError::NoMemory);
        }
        // A body in one piece is not copied.
        if first.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
    }
    let whole = if rest.is_empty() { first } else { rest.freeze() };
    Ok(if whole.is_empty() { whole } else { memory.attach(whole) })
}
