//! Changes of the configuration in compressed form. Routes resemble each other, so that compression makes
//! a configuration several times smaller.

use crate::codec::MAX_STREAM_FRAME_LEN;
use crate::errors::{Error, Result};
use geraniummux_core::fleet::{ConfigChange, ConfigExtension};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum size of a change before compression in bytes, so that a reader never allocates more.
const MAX_UNPACKED_LEN: usize = 4 * MAX_STREAM_FRAME_LEN;

/// A [`ConfigChange`], its extension and whether callers need keys, one after the other, encoded with postcard and
/// compressed with LZ4. Builds ignore what follows the last part that they know.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedConfigChange {
    /// Size of the encoded change in bytes.
    len: u32,
    data: Vec<u8>,
}

impl fmt::Debug for PackedConfigChange {
    /// Writes the size only: the data holds the keys of callers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PackedConfigChange").field("len", &self.len).finish_non_exhaustive()
    }
}

impl PackedConfigChange {
    /// Encodes and compresses a change.
    ///
    /// # Errors
    ///
    /// Fails if the encoded change is longer than a follower accepts.
    pub fn pack(change: &ConfigChange) -> Result<Self> {
        let codec = |e: postcard::Error| Error::Codec(e.to_string());
        let mut encoded = postcard::to_stdvec(change).map_err(codec)?;
        if let Some(extension) = &change.extension {
            encoded = postcard::to_extend(extension, encoded).map_err(codec)?;
            encoded = postcard::to_extend(&extension.authentication, encoded).map_err(codec)?;
        }
        check_len(encoded.len())?;
        let data = lz4_flex::block::compress(&encoded);
        Ok(PackedConfigChange { len: encoded.len() as u32, data })
    }

    /// Decompresses and decodes the change.
    ///
    /// # Errors
    ///
    /// Fails if the content is invalid or longer than the limit.
    pub fn unpack(&self) -> Result<ConfigChange> {
        check_len(self.len as usize)?;
        let encoded = lz4_flex::block::decompress(&self.data, self.len as usize)
            .map_err(|e| Error::Codec(e.to_string()))?;
        let codec = |e: postcard::Error| Error::Codec(e.to_string());
        let (change, rest) = postcard::take_from_bytes::<ConfigChange>(&encoded).map_err(codec)?;
        if rest.is_empty() {
            return Ok(change);
        }
        let (mut extension, rest) =
            postcard::take_from_bytes::<ConfigExtension>(rest).map_err(codec)?;
        if !rest.is_empty() {
            extension.authentication = postcard::from_bytes(rest).map_err(codec)?;
        }
        Ok(ConfigChange { extension: Some(extension), ..change })
    }
}

fn check_len(len: usize) -> Result<()> {
    if len > MAX_UNPACKED_LEN {
        return Err(Error::TooLong { len, limit: MAX_UNPACKED_LEN });
    }
    Ok(())
}
