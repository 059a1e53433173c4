//! Positions in the history of the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A position in the history of the platform's store.
///
/// The store numbers its changes. When it comes back from a copy, a new era begins: it has lost the latest
/// changes and assigns their numbers again. A number therefore identifies a state of the store only together
/// with the era, and each position of an era comes after all positions of earlier ones.
///
/// The default is a position before all others. It stands for data of unknown age, which any other replaces.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision {
    /// The era; 0 for a store that names none.
    pub era: u64,
    /// Number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// Returns a position.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
