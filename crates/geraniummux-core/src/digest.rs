//! The compact load summary that entry hosts send each other.

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Bytes of a digest's frame besides its entries: IP and UDP headers (28), and the message with
/// its header and authentication tag for a sender's name of 16 bytes.
pub const DIGEST_FRAME_LEN: usize = 28 + 58;
/// Largest number of bytes of one encoded [`DigestEntry`].
pub const DIGEST_ENTRY_LEN: usize = 6;
/// Largest number of entries in one digest, so that its frame stays below 1,200 bytes.
pub const DIGEST_MAX_ENTRIES: usize = 150;

/// One target's report in a [`LoadDigest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DigestEntry {
    /// Position of the target in the order of pool names, target names and addresses.
    pub index: u16,
    /// Requests at the target, running and waiting, at most 255.
    pub outstanding: u8,
    /// Age of the report when the digest was made, in ms; 255 if there is none.
    pub age_ms: u8,
    /// How much slower than its pool the sender found the target, in units of 1/8.
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

/// Reports that are news to other hosts, sent to peers over UDP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadDigest {
    /// Fingerprint of the names of all targets. A digest made from other tables is ignored, since
    /// its indexes mean other targets.
    pub targets_hash: u32,
    /// The reports.
    pub entries: Vec<DigestEntry>,
}

/// A digest that is due, and the number of random peers to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDigest {
    /// The digest.
    pub digest: LoadDigest,
    /// How many peers get it, chosen at random among the live ones.
    pub fanout: usize,
}
