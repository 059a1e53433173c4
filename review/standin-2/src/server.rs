//! Servers (back ends) with an identity and slots, and the runs that they record.

use crate::http::{Message, Reader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const SLOTS: usize = 6;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Status with which the server answered.
    pub status: u16,
    pub at: Instant,
}

/// The runs of all servers, by the id of the request.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<Run>>>);

impl Runs {
    pub fn of(&self, id: &str) -> Vec<Run> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    fn add(&self, id: &str, run: Run) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }
}

/// How a server answers the requests that it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answers {
    /// With a length.
    Plain,
    /// Without a length; the answer ends with its connection.
    Unframed,
    /// Of 50 answers, one is cut off within its status line; the server then answers the request with its own 500.
    CutStatusLine,
    /// With a length. Before one of 50 answers come bytes that are no response: a status line that breaks off.
    Stray,
    /// Of 50 requests, the server fails one with its own 500.
    Failing,
}

pub struct Server {
    pub id: String,
    runs: Arc<Runs>,
    answers: Answers,
    work: Duration,
    running: AtomicU32,
    count: AtomicU32,
    slots: Semaphore,
}

/// The body of the answer to a request, by which a consumer knows that it is whole and its own.
pub fn body_of(id: &str) -> Vec<u8> {
    format!("{id}:{}", "x".repeat(1_500)).into_bytes()
}

impl Server {
    pub async fn start(
        id: &str,
        ip: &str,
        runs: Arc<Runs>,
        answers: Answers,
        work: Duration,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let server = Arc::new(Server {
            id: id.to_owned(),
            runs,
            answers,
            work,
            running: AtomicU32::new(0),
            count: AtomicU32::new(0),
            slots: Semaphore::new(SLOTS),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.connection(stream).await });
            }
        });
        Ok(addr)
    }

    fn own_headers(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        format!("Instance-Id: {}\r\nBackend-Load: {running},0,{SLOTS},100\r\n", self.id)
    }

    async fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = Reader::new(reader);
        while let Ok(Some(req)) = reader.message(false).await {
            let (bytes, keeps) = tokio::select! {
                answer = self.answer(&req) => answer,
                // Drops a request whose connection is closed.
                () = reader.closed() => return,
            };
            if writer.write_all(&bytes).await.is_err() || !keeps {
                let _ = writer.shutdown().await;
                return;
            }
        }
    }

    /// The bytes of the answer, and whether the connection is kept.
    async fn answer(&self, req: &Message) -> (Vec<u8>, bool) {
        let own = self.own_headers();
        if req.word(1) == "/health" {
            return (format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n").into_bytes(), true);
        }
        let id = req.header("request-id").to_owned();
        let named = req.header("target-instance");
        if !named.is_empty() && named != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\n{own}Content-Length: 0\r\n\r\n"
            );
            return (head.into_bytes(), true);
        }
        let _slot = self.slots.acquire().await;
        self.running.fetch_add(1, Ordering::Relaxed);
        let n = self.count.fetch_add(1, Ordering::Relaxed);
        let is_bad = n % 50 == 25;
        let fails = is_bad && matches!(self.answers, Answers::CutStatusLine | Answers::Failing);
        let status = if fails { 500 } else { 200 };
        self.runs.add(&id, Run { status, at: Instant::now() });
        tokio::time::sleep(self.work).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        let own = self.own_headers();
        let common = format!("Request-Id: {id}\r\nResponse-Signature: {}.{id}.{status}\r\n{own}", self.id);
        if fails {
            let cut = if self.answers == Answers::CutStatusLine { "HTTP/1.1 200 O" } else { "" };
            let text = "internal error";
            let head = format!(
                "{cut}HTTP/1.1 500 Internal Server Error\r\n{common}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            return (head.into_bytes(), true);
        }
        let body = body_of(&id);
        let stray = if is_bad && self.answers == Answers::Stray { "HTTP/1.1 421 M" } else { "" };
        let (framing, keeps) = match self.answers {
            Answers::Unframed => (String::from("Connection: close\r\n"), false),
            _ => (format!("Content-Length: {}\r\n", body.len()), true),
        };
        let mut bytes = format!("{stray}HTTP/1.1 200 OK\r\n{common}{framing}\r\n").into_bytes();
        bytes.extend(body);
        (bytes, keeps)
    }
}
