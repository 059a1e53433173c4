//! Load digests: the compact load reports that hosts send to each other.
//!
//! [`LoadTable`](crate::load::LoadTable) creates and merges them. A digest entry is encoded as a
//! tuple without field names, so the order of its elements is part of the wire format.

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Size of a digest's datagram on the network without its entries, in bytes: IP and UDP headers
/// (28), and the message with its header and authentication tag for a sender's name of 16 bytes
/// (58).
pub const DIGEST_OVERHEAD_LEN: usize = 28 + 58;
/// Maximum size of one encoded [`DigestEntry`] in bytes.
pub const DIGEST_ENTRY_LEN: usize = 6;
/// Maximum number of entries in one digest, which keeps its frame below 1,200 bytes.
pub const DIGEST_MAX_ENTRIES: usize = 150;

/// Report of one target in a [`LoadDigest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestEntry {
    /// Position of the target among all targets of the sender, in the order of pool name, target
    /// name and address.
    pub index: u16,
    /// Number of requests at the target, executing and queued, at most 255.
    pub outstanding: u8,
    /// Age of the report when the digest was created, in ms. 255 stands for no report or an older
    /// one.
    pub age_ms: u8,
    /// Service time of the target relative to the mean of its pool, as observed by the sender, in
    /// units of 1/8, at most 255.
    pub slowness: u8,
}

impl Serialize for DigestEntry {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&self.outstanding)?;
        tuple.serialize_element(&self.age_ms)?;
        tuple.serialize_element(&self.slowness)?;
        tuple.end()
    }
}

struct DigestEntryVisitor;

impl<'de> Visitor<'de> for DigestEntryVisitor {
    type Value = DigestEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a tuple of index, outstanding, age and slowness")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<DigestEntry, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let index = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
        let outstanding = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
        let age_ms = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(2, &self))?;
        let slowness = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(3, &self))?;
        Ok(DigestEntry { index, outstanding, age_ms, slowness })
    }
}

impl<'de> Deserialize<'de> for DigestEntry {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(4, DigestEntryVisitor)
    }
}

/// Load reports of several targets, sent to peers over UDP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadDigest {
    /// Hash of the pool names, target names and addresses of all targets of the sender. A receiver
    /// with another hash ignores the digest, since the indexes refer to other targets there.
    pub targets_hash: u32,
    /// The reports.
    pub entries: Vec<DigestEntry>,
}

/// A digest that is due to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDigest {
    /// The digest.
    pub digest: LoadDigest,
    /// Number of peers to send it to, chosen at random among the live ones.
    pub fanout: usize,
}
