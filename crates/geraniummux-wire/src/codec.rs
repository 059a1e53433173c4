//! Encoding, decoding and authentication of frames.

use crate::errors::{Error, Result};
use crate::message::Envelope;
use geraniummux_core::membership::MAX_HOST_NAME_LEN;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Maximum size of a datagram in bytes. It fits the common MTU of 1,500 with room for tunnel headers.
pub const MAX_DATAGRAM_LEN: usize = 1_200;
/// Maximum size of a frame on a TCP stream in bytes, without its length prefix: a configuration of
/// 1 MiB with room to spare.
pub const MAX_STREAM_FRAME_LEN: usize = 2 << 20;

/// Size in bytes of the length prefix of a frame on a stream.
pub const STREAM_PREFIX_LEN: usize = 4;

/// First bytes of each frame.
const MAGIC: [u8; 2] = *b"gm";
/// Version of the frame format and the messages, in the third byte of each frame.
const PROTOCOL_VERSION: u8 = 2;
/// Size in bytes of the magic number and the version.
const HEADER_LEN: usize = 3;
/// Size in bytes of the truncated HMAC-SHA256 tag.
const TAG_LEN: usize = 16;

/// Encodes and decodes frames that are authenticated with a shared key.
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

    /// Encodes an envelope into a frame with an authentication tag.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than `limit` bytes.
    pub fn encode(&self, envelope: &Envelope, limit: usize) -> Result<Vec<u8>> {
        let mut buf = Vec::with_capacity(256);
        buf.extend_from_slice(&MAGIC);
        buf.push(PROTOCOL_VERSION);
        let mut buf =
            postcard::to_extend(envelope, buf).map_err(|e| Error::Codec(e.to_string()))?;
        let tag = self.tag(&buf);
        buf.extend_from_slice(&tag);
        check_len(buf.len(), limit)?;
        Ok(buf)
    }

    /// Verifies the authentication tag of a frame and decodes its envelope.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than `limit` bytes, has another magic number or protocol
    /// version, a wrong tag, or content that is not exactly one envelope with a valid sender name.
    pub fn decode(&self, frame: &[u8], limit: usize) -> Result<Envelope> {
        check_len(frame.len(), limit)?;
        if frame.len() < HEADER_LEN + TAG_LEN || frame[..2] != MAGIC {
            return Err(Error::NotAFrame);
        }
        if frame[2] != PROTOCOL_VERSION {
            return Err(Error::UnsupportedVersion(frame[2]));
        }
        let (content, tag) = frame.split_at(frame.len() - TAG_LEN);
        // `verify_truncated_left` compares in constant time.
        let mut mac = self.mac.clone();
        mac.update(content);
        mac.verify_truncated_left(tag).map_err(|_| Error::TagMismatch)?;
        let (envelope, rest) = postcard::take_from_bytes::<Envelope>(&content[HEADER_LEN..])
            .map_err(|e| Error::Codec(e.to_string()))?;
        if !rest.is_empty() {
            return Err(Error::Codec(format!("{} trailing bytes after the message", rest.len())));
        }
        if envelope.from.is_empty() || envelope.from.len() > MAX_HOST_NAME_LEN {
            let len = envelope.from.len();
            return Err(Error::Codec(format!(
                "sender name has {len} bytes, expected 1 to {MAX_HOST_NAME_LEN}"
            )));
        }
        Ok(envelope)
    }

    /// Encodes an envelope for a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than [`MAX_DATAGRAM_LEN`].
    pub fn encode_datagram(&self, envelope: &Envelope) -> Result<Vec<u8>> {
        self.encode(envelope, MAX_DATAGRAM_LEN)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails like [`Codec::decode`], with the limit [`MAX_DATAGRAM_LEN`].
    pub fn decode_datagram(&self, datagram: &[u8]) -> Result<Envelope> {
        self.decode(datagram, MAX_DATAGRAM_LEN)
    }

    /// Encodes an envelope for a stream: the frame, preceded by its length as four bytes in network
    /// byte order.
    ///
    /// # Errors
    ///
    /// Fails if the frame is longer than [`MAX_STREAM_FRAME_LEN`].
    pub fn encode_stream(&self, envelope: &Envelope) -> Result<Vec<u8>> {
        let frame = self.encode(envelope, MAX_STREAM_FRAME_LEN)?;
        let mut out = Vec::with_capacity(STREAM_PREFIX_LEN + frame.len());
        // MAX_STREAM_FRAME_LEN is far below the range of the prefix.
        out.extend_from_slice(&(frame.len() as u32).to_be_bytes());
        out.extend_from_slice(&frame);
        Ok(out)
    }

    /// Verifies and decodes a frame that was read from a stream, without its length prefix.
    ///
    /// # Errors
    ///
    /// Fails like [`Codec::decode`], with the limit [`MAX_STREAM_FRAME_LEN`].
    pub fn decode_stream(&self, frame: &[u8]) -> Result<Envelope> {
        self.decode(frame, MAX_STREAM_FRAME_LEN)
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

/// Returns the length of the frame that follows a stream's length prefix.
///
/// # Errors
///
/// Fails if the frame is longer than [`MAX_STREAM_FRAME_LEN`], so that a reader never allocates more
/// than that.
pub fn stream_frame_len(prefix: [u8; STREAM_PREFIX_LEN]) -> Result<usize> {
    let len = u32::from_be_bytes(prefix) as usize;
    check_len(len, MAX_STREAM_FRAME_LEN)?;
    Ok(len)
}

fn check_len(len: usize, limit: usize) -> Result<()> {
    if len > limit { Err(Error::TooLong { len, limit }) } else { Ok(()) }
}
