//! Consumers.

use crate::http::{Message, Reader};
use crate::server::body_of;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends bytes on a new connection and reads one response.
pub async fn exchange(addr: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let all = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        stream.write_all(bytes).await?;
        let answer = Reader::new(&mut stream).message(true).await?;
        answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(limit, all).await.map_err(io::Error::from)?
}

pub async fn get(addr: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    exchange(addr, format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").as_bytes(), limit).await
}

/// What a consumer got.
#[derive(Clone, Debug)]
pub struct Got {
    pub id: String,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub signature: String,
    pub is_whole: bool,
    pub error: String,
    pub took_ms: u128,
}

impl Got {
    /// Served: a success with the digest and the whole body of the own request.
    pub fn is_served(&self) -> bool {
        self.status == 200 && !self.signature.is_empty() && self.is_whole
    }
}

/// Sends one request of a route (`issue`: not idempotent, `lookup`: idempotent) on a new connection.
pub async fn call(addr: SocketAddr, route: &str, id: String) -> Got {
    call_as(addr, route, id, None).await
}

/// Sends one request, with a tenant's key.
pub async fn call_as(addr: SocketAddr, route: &str, id: String, key: Option<&str>) -> Got {
    let key = key.map_or(String::new(), |key| format!("Key: {key}\r\n"));
    let (method, body) = if route == "issue" { ("POST", "leaf=1") } else { ("GET", "") };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!(
        "{method} /{route}/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 1200\r\n{key}{length}\r\n{body}"
    );
    let begun = std::time::Instant::now();
    let answer = exchange(addr, text.as_bytes(), Duration::from_secs(3)).await;
    let took_ms = begun.elapsed().as_millis();
    match answer {
        Ok(m) => Got {
            status: m.status(),
            signature: m.header("response-signature").to_owned(),
            is_whole: m.body == body_of(&id),
            error: String::new(),
            took_ms,
            id,
        },
        Err(e) => Got { id, status: 0, signature: String::new(), is_whole: false, error: e.to_string(), took_ms },
    }
}
