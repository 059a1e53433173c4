//! Objects kept in memory, with the platform's version and condition rules.

use crate::errors::{Error, Result};
use crate::object::{Key, MAX_VALUE_LEN, Object, Version};
use crate::platform::Condition;
use bytes::Bytes;
use std::collections::BTreeMap;

/// A synchronous object store. Versions rise over the whole store, so none repeats for a key.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<Key, Object>,
    last_version: u64,
}

impl MemoryStore {
    /// Reads an object.
    pub fn get(&self, key: &Key) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    /// Writes an object if `condition` holds.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] or [`Error::TooLarge`]; nothing is written then.
    pub fn put(&mut self, key: &Key, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE_LEN {
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

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if it has another version.
    pub fn delete(&mut self, key: &Key, version: Version) -> Result<()> {
        match self.objects.get(key) {
            Some(o) if o.version != version => Err(Error::Conflict),
            _ => {
                self.objects.remove(key);
                Ok(())
            }
        }
    }

    /// Lists all objects, in order of their keys.
    pub fn list_all(&self) -> Vec<(Key, Object)> {
        self.objects.iter().map(|(k, o)| (k.clone(), o.clone())).collect()
    }

    /// Lists the objects of a kind whose names start with `prefix`, in order of their names.
    pub fn list(&self, kind: &str, prefix: &str) -> Vec<(Key, Object)> {
        self.objects
            .iter()
            .filter(|(k, _)| k.kind == kind && k.name.starts_with(prefix))
            .map(|(k, o)| (k.clone(), o.clone()))
            .collect()
    }
}
