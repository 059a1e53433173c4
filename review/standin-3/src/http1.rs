//! Reads and writes HTTP/1.1 messages.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A message: start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and path of a request.
    pub method: String,
    pub path: String,
    /// Status of a response.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// A buffered reader of messages.
pub struct Reader<R> {
    stream: R,
    buf: Vec<u8>,
}

impl<R> Reader<R>
where
    R: AsyncRead + Unpin,
{
    pub fn new(stream: R) -> Self {
        Reader { stream, buf: Vec::new() }
    }

    /// Returns the stream.
    pub fn into_inner(self) -> R {
        self.stream
    }

    pub fn get_ref(&self) -> &R {
        &self.stream
    }

    /// Reads more bytes; returns false at the end of the stream.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Waits until the peer has closed the connection; bytes that arrive meanwhile are kept.
    pub async fn closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Reads a request; `None` at the end of the stream.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        self.message(true, false).await
    }

    /// Reads a response; `None` at the end of the stream before its first byte.
    pub async fn response(&mut self, is_head: bool) -> io::Result<Option<Message>> {
        self.message(false, is_head).await
    }

    async fn message(&mut self, is_request: bool, is_head: bool) -> io::Result<Option<Message>> {
        let invalid = |e: httparse::Error| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
        let (mut message, len) = loop {
            let mut headers = [httparse::EMPTY_HEADER; 128];
            let mut out = Message::default();
            let parsed = if is_request {
                let mut req = httparse::Request::new(&mut headers);
                let parsed = req.parse(&self.buf).map_err(invalid)?;
                out.method = req.method.unwrap_or("").to_owned();
                out.path = req.path.unwrap_or("").to_owned();
                out.headers = copied(req.headers);
                parsed
            } else {
                let mut rsp = httparse::Response::new(&mut headers);
                let parsed = rsp.parse(&self.buf).map_err(invalid)?;
                out.status = rsp.code.unwrap_or(0);
                out.headers = copied(rsp.headers);
                parsed
            };
            if let httparse::Status::Complete(len) = parsed {
                break (out, len);
            }
            if !self.fill().await? {
                let is_empty = self.buf.is_empty();
                return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        self.buf.drain(..len);
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
        let length = message.header("content-length").and_then(|v| v.trim().parse::<usize>().ok());
        let has_no_body = is_head || matches!(message.status, 100..=199 | 204 | 304);
        if has_no_body && !is_request {
            return Ok(Some(message));
        }
        message.body = match (is_chunked, length) {
            (true, _) => self.chunked().await?,
            (false, Some(len)) => self.take(len).await?,
            (false, None) if is_request => Vec::new(),
            (false, None) => {
                while self.fill().await? {}
                std::mem::take(&mut self.buf)
            }
        };
        Ok(Some(message))
    }

    async fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2).await?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line().await?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
            if size == 0 {
                while !self.line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size).await?);
            self.line().await?;
        }
    }
}

fn copied(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect()
}
