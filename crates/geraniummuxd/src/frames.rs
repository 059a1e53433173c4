//! Detects the ends of streams in the bytes of an HTTP/2 connection (RFC 9113, section 4.1).

/// Length of a frame header, in bytes.
const FRAME_HEADER_LEN: usize = 9;
// Frame types and flags of RFC 9113, section 6.
const TYPE_DATA: u8 = 0;
const TYPE_HEADERS: u8 = 1;
const TYPE_CONTINUATION: u8 = 9;
const FLAG_END_STREAM: u8 = 0x1;
const FLAG_END_HEADERS: u8 = 0x4;

/// Incremental parser for the frames that one side of a connection sends.
#[derive(Debug, Default)]
pub struct FrameScanner {
    header: [u8; FRAME_HEADER_LEN],
    header_len: usize,
    payload_remaining: usize,
    /// Whether the header block that is being sent ends its stream.
    header_block_ends_stream: bool,
}

impl FrameScanner {
    /// Parses the next bytes of the connection. For each stream that ends in them, calls
    /// `on_stream_end` with the stream's id and the number of these bytes up to its end.
    pub fn scan<E>(&mut self, bytes: &[u8], mut on_stream_end: E)
    where
        E: FnMut(u32, usize),
    {
        let mut pos = 0;
        while pos < bytes.len() {
            if self.header_len < FRAME_HEADER_LEN {
                let n = (FRAME_HEADER_LEN - self.header_len).min(bytes.len() - pos);
                self.header[self.header_len..][..n].copy_from_slice(&bytes[pos..pos + n]);
                self.header_len += n;
                pos += n;
                if self.header_len < FRAME_HEADER_LEN {
                    return;
                }
                let [a, b, c, ..] = self.header;
                self.payload_remaining =
                    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
            }
            let n = self.payload_remaining.min(bytes.len() - pos);
            self.payload_remaining -= n;
            pos += n;
            if self.payload_remaining == 0 {
                self.header_len = 0;
                if let Some(stream) = self.ended_stream() {
                    on_stream_end(stream, pos);
                }
            }
        }
    }

    /// Returns the id of the stream that the completed frame ends, if any.
    fn ended_stream(&mut self) -> Option<u32> {
        let [.., kind, flags, a, b, c, d] = self.header;
        if kind == TYPE_HEADERS {
            self.header_block_ends_stream = flags & FLAG_END_STREAM != 0;
        }
        let ends = match kind {
            TYPE_DATA => flags & FLAG_END_STREAM != 0,
            // END_STREAM is set on the HEADERS frame, but the stream ends with the last frame of
            // the header block.
            TYPE_HEADERS | TYPE_CONTINUATION => {
                self.header_block_ends_stream && flags & FLAG_END_HEADERS != 0
            }
            _ => false,
        };
        ends.then(|| u32::from_be_bytes([a, b, c, d]) & 0x7fff_ffff)
    }
}
