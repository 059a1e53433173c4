//! Encodes and decodes frames.

use crate::errors::{Error, Result};
use crate::message::Envelope;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Largest datagram in bytes; it fits the usual MTU of 1,500 with room for tunnel headers.
pub const MAX_DATAGRAM_LEN: usize = 1_200;
/// Largest frame on a TCP stream in bytes: a configuration of 1 MiB with room to spare.
pub const MAX_STREAM_FRAME_LEN: usize = 2 << 20;

const MAGIC: [u8; 2] = *b"gm";
const VERSION: u8 = 1;
const HEADER_LEN: usize = 3;
const TAG_LEN: usize = 16;

/// Encodes and decodes frames with one shared key.
#[derive(Clone)]
pub struct Codec {
    mac: Hmac<Sha256>,
}

impl Codec {
    /// Returns a codec that authenticates frames with `key`.
    pub fn new(key: &[u8]) -> Self {
        // HMAC accepts keys of any length, so this can't fail.
        let mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts any key length");
        Codec { mac }
    }

    /// Encodes an envelope into a frame of at most `limit` bytes.
    pub fn encode(&self, envelope: &Envelope, limit: usize) -> Result<Vec<u8>> {
        let mut buf = Vec::with_capacity(256);
        buf.extend_from_slice(&MAGIC);
        buf.push(VERSION);
        let mut buf =
            postcard::to_extend(envelope, buf).map_err(|e| Error::Codec(e.to_string()))?;
        let tag = self.tag(&buf);
        buf.extend_from_slice(&tag);
        check_len(buf.len(), limit)?;
        Ok(buf)
    }

    /// Decodes a frame of at most `limit` bytes.
    pub fn decode(&self, frame: &[u8], limit: usize) -> Result<Envelope> {
        check_len(frame.len(), limit)?;
        if frame.len() < HEADER_LEN + TAG_LEN || frame[..2] != MAGIC {
            return Err(Error::NotAFrame);
        }
        if frame[2] != VERSION {
            return Err(Error::Version(frame[2]));
        }
        let (content, tag) = frame.split_at(frame.len() - TAG_LEN);
        // Comparing through the library keeps the comparison constant-time.
        let mut mac = self.mac.clone();
        mac.update(content);
        mac.verify_truncated_left(tag).map_err(|_| Error::Tag)?;
        postcard::from_bytes(&content[HEADER_LEN..]).map_err(|e| Error::Codec(e.to_string()))
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_LEN] {
        let mut mac = self.mac.clone();
        mac.update(content);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full[..TAG_LEN]);
        tag
    }
}

fn check_len(len: usize, limit: usize) -> Result<()> {
    if len > limit { Err(Error::TooLong { len, limit }) } else { Ok(()) }
}
