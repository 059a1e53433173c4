//! Minimal HTTP/1.1: reads heads and bodies with a length, in chunks or up to the end of the connection.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest head that is read.
const MAX_HEAD: usize = 64 << 10;

/// A message with its first line, headers in order and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    /// Word `i` of the first line.
    pub fn word(&self, i: usize) -> &str {
        self.first.split(' ').nth(i).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader<R> {
    inner: R,
    buf: Vec<u8>,
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(inner: R) -> Self {
        Reader { inner, buf: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8 << 10];
        let n = self.inner.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(i) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..i]).into_owned();
                self.buf.drain(..i + 2);
                return Ok(line);
            }
            if self.buf.len() > MAX_HEAD || self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads the next message; `None` at the end of the connection. A response without a length ends with it.
    pub async fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        if self.buf.is_empty() && self.fill().await? == 0 {
            return Ok(None);
        }
        let mut m = Message { first: self.line().await?, ..Message::default() };
        loop {
            let line = self.line().await?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
            m.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if m.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let len = usize::from_str_radix(&self.line().await?, 16);
                let len = len.map_err(|_| invalid("chunk"))?;
                let chunk = self.exact(len).await?;
                m.body.extend(chunk);
                self.line().await?;
                if len == 0 {
                    break;
                }
            }
        } else if !m.header("content-length").is_empty() {
            let len = m.header("content-length").parse().map_err(|_| invalid("length"))?;
            m.body = self.exact(len).await?;
        } else if is_response {
            while self.fill().await? > 0 {}
            m.body = std::mem::take(&mut self.buf);
        }
        Ok(Some(m))
    }

    /// Waits for the end of the connection.
    pub async fn closed(&mut self) {
        while self.fill().await.is_ok_and(|n| n > 0) {}
    }
}
