//! The little of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the request target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a declared length or in chunks; `None` at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if stream.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first = message.first.trim_end().to_string();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; len + 2];
            stream.read_exact(&mut chunk)?;
            if len == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..len]);
        }
    } else if let Some(len) = message.header("content-length") {
        message.body = vec![0; len.parse().map_err(io::Error::other)?];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Returns a response as bytes.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// How an attempt of a client ended.
#[derive(Clone, Debug)]
pub enum Ended {
    Answered(Message),
    /// The connection could not be established.
    NoConnection(String),
    /// The connection ended without a complete answer.
    Closed(String),
    /// There was no answer within the time that the client waits.
    TimedOut,
}

impl Ended {
    pub fn status(&self) -> u16 {
        match self {
            Ended::Answered(m) => m.status(),
            _ => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Ended::Answered(m) => match m.header("response-signature") {
                Some(signature) => format!("{} signature {signature}", m.status()),
                None => format!("{} no signature", m.status()),
            },
            Ended::NoConnection(e) => format!("no connection: {e}"),
            Ended::Closed(e) => format!("connection closed without an answer: {e}"),
            Ended::TimedOut => String::from("no answer in time"),
        }
    }
}

/// Sends one request on a new connection and waits `limit` for the answer.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> Ended {
    let stream = match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(e) => return Ended::NoConnection(e.to_string()),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    if let Err(e) = (&stream).write_all(request) {
        return Ended::Closed(e.to_string());
    }
    match read(&mut BufReader::new(stream)) {
        Ok(Some(message)) => Ended::Answered(message),
        Ok(None) => Ended::Closed(String::from("end of the connection")),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Ended::TimedOut
        }
        Err(e) => Ended::Closed(e.to_string()),
    }
}
