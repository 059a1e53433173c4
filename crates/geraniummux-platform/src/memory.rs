//! In-memory object store with the platform's rules for versions and conditions, for tests.

use crate::errors::{Error, Result};
use crate::object::{Key, MAX_VALUE_BYTES, Object, Version};
use crate::platform::Condition;
use bytes::Bytes;
use std::collections::BTreeMap;

/// A synchronous object store. Versions are numbered across all objects, so a key never has the
/// same version twice, even after its object was deleted.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<Key, Object>,
    last_version: u64,
}

impl MemoryStore {
    /// Returns an object, or `None` if it does not exist.
    pub fn get(&self, key: &Key) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// Writes an object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the condition does not hold and [`Error::TooLarge`] if the
    /// value exceeds [`MAX_VALUE_BYTES`]. Nothing is written then.
    pub fn put(&mut self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        let present = self.objects.get(key).map(|o| o.version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(v) => present == Some(v),
        };
        if !holds {
            return Err(Error::Conflict);
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        self.objects.insert(key.clone(), Object { version, value });
        Ok(version)
    }

    /// Deletes an object if it has this version. Deleting a missing object succeeds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the object has another version.
    pub fn delete(&mut self, key: &Key, version: Version) -> Result<()> {
        match self.objects.get(key) {
            Some(o) if o.version != version => Err(Error::Conflict),
            _ => {
                self.objects.remove(key);
                Ok(())
            }
        }
    }

    /// Returns all objects, sorted by key.
    pub fn list_all(&self) -> Vec<(Key, Object)> {
        self.objects.iter().map(|(k, o)| (k.clone(), o.clone())).collect()
    }

    /// Returns the objects of a kind whose names start with `prefix`, sorted by name.
    pub fn list(&self, kind: &str, prefix: &str) -> Vec<(Key, Object)> {
        self.objects
            .iter()
            .filter(|(k, _)| k.kind == kind && k.name.starts_with(prefix))
            .map(|(k, o)| (k.clone(), o.clone()))
            .collect()
    }
}
