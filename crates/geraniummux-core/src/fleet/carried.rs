//! Which requests a connection to a target has carried.
//!
//! A target may write a response once more, at any later time, on the connection of the request that it was for. The
//! copy carries that request's id. So a response with an id is known to be the one to an attempt only if the connection
//! has carried that id once. Whatever attempt is sent on a connection is therefore added here first, and is not sent if
//! its id has been added before: neither for an earlier attempt of the same request nor for another request whose caller
//! gave it the same id.

use xxhash_rust::xxh3::xxh3_64;

/// Requests after which a connection takes no others, so that what is known of it stays bounded.
const MAX_REQUESTS: usize = 1_024;

/// The requests that one connection has carried.
#[derive(Debug, Default)]
pub struct CarriedRequests {
    /// Hashes of the ids, sorted. Two ids with one hash cost no more than another connection.
    hashes: Vec<u64>,
}

impl CarriedRequests {
    /// Returns whether the connection has carried a request with this id.
    pub fn contains(&self, id: &[u8]) -> bool {
        self.hashes.binary_search(&xxh3_64(id)).is_ok()
    }

    /// Returns whether the connection may carry a request with this id.
    pub fn may_carry(&self, id: &[u8]) -> bool {
        !self.is_full() && !self.contains(id)
    }

    /// Adds a request that is about to be sent. Returns false, and adds nothing, if the connection may not carry it.
    #[must_use]
    pub fn add(&mut self, id: &[u8]) -> bool {
        if self.is_full() {
            return false;
        }
        let hash = xxh3_64(id);
        let Err(i) = self.hashes.binary_search(&hash) else { return false };
        self.hashes.insert(i, hash);
        true
    }

    /// Returns whether the connection takes no more requests.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }
}
