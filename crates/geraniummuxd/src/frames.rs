//! Finds the ends of streams in the bytes of an HTTP/2 connection (RFC 9113, section 4.1).

const HEADER_LEN: usize = 9;
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const CONTINUATION: u8 = 9;
const END_STREAM: u8 = 0x1;
const END_HEADERS: u8 = 0x4;

/// Follows the frames that one side sends.
#[derive(Debug, Default)]
pub struct FrameScanner {
    header: [u8; HEADER_LEN],
    header_len: usize,
    payload_left: usize,
    /// Whether the header block in progress ends its stream.
    block_ends: bool,
}

impl FrameScanner {
    /// Takes the next bytes. Calls `ended` with the id of each stream that ends in them and with
    /// the number of these bytes up to its end.
    pub fn scan<E>(&mut self, bytes: &[u8], mut ended: E)
    where
        E: FnMut(u32, usize),
    {
        let mut at = 0;
        while at < bytes.len() {
            if self.header_len < HEADER_LEN {
                let n = (HEADER_LEN - self.header_len).min(bytes.len() - at);
                self.header[self.header_len..][..n].copy_from_slice(&bytes[at..at + n]);
                self.header_len += n;
                at += n;
                if self.header_len < HEADER_LEN {
                    return;
                }
                let [a, b, c, ..] = self.header;
                self.payload_left = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
            }
            let n = self.payload_left.min(bytes.len() - at);
            self.payload_left -= n;
            at += n;
            if self.payload_left == 0 {
                self.header_len = 0;
                if let Some(stream) = self.ended_stream() {
                    ended(stream, at);
                }
            }
        }
    }

    /// Returns the stream that the frame just completed ends.
    fn ended_stream(&mut self) -> Option<u32> {
        let [.., kind, flags, a, b, c, d] = self.header;
        if kind == HEADERS {
            self.block_ends = flags & END_STREAM != 0;
        }
        let ends = match kind {
            DATA => flags & END_STREAM != 0,
            // The stream ends with the last frame of the header block.
            HEADERS | CONTINUATION => self.block_ends && flags & END_HEADERS != 0,
            _ => false,
        };
        ends.then(|| u32::from_be_bytes([a, b, c, d]) & 0x7fff_ffff)
    }
}
