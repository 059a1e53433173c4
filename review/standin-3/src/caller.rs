//! Callers: single requests and pipelined ones.

use crate::http1::{Message, Reader};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Encodes a request.
pub fn request(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: {deadline_ms}\r\n"
    );
    if !body.is_empty() || method == "POST" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a request on a new connection and reads the response; `None` if the connection ends before it.
pub async fn send(addr: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Option<Message>> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        stream.write_all(bytes).await?;
        Reader::new(stream).response(false).await
    };
    timeout(limit, exchange).await?
}
