//! A target: registers in the store, runs requests and records them.

use crate::http1::{Message, Reader};
use crate::record::Record;
use geraniummux_standin::object_store::ObjectStore;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub path: String,
    pub peer: SocketAddr,
    pub at: Instant,
}

/// The runs of requests at all targets.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn add(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }

    /// Returns the runs by the id of their request.
    pub fn by_id(&self) -> HashMap<String, Vec<Run>> {
        let mut out: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.all() {
            out.entry(run.id.clone()).or_default().push(run);
        }
        out
    }
}

/// What a target writes for a request.
pub enum Reply {
    /// A response with the usual headers.
    Respond { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// Bytes as they stand; the connection is closed after them if `close`.
    Raw { bytes: Vec<u8>, close: bool },
    /// Nothing; the connection is reset.
    Reset,
}

type Answer = Pin<Box<dyn Future<Output = Reply> + Send>>;
type Handler = dyn Fn(Arc<Target>, Message, SocketAddr) -> Answer + Send + Sync;

/// A target stand-in.
pub struct Target {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    pub slots: u32,
    pub born: AtomicU64,
    pub runs: Arc<Runs>,
    pub record: Arc<Record>,
    pub running: AtomicU32,
    pub waiting: AtomicU32,
    /// Time of a run in milliseconds.
    pub work_ms: AtomicU64,
    pub leaving: AtomicBool,
    pub room: Semaphore,
    pub handler: Box<Handler>,
    pub store: Arc<ObjectStore>,
    /// Incremented with each crash.
    pub crashes: watch::Sender<u64>,
    /// Time for which the target is down after a crash.
    pub down_for: Duration,
}

impl Target {
    /// Returns the registration as the target writes it.
    pub fn registration(&self) -> serde_json::Value {
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        serde_json::json!({"service": self.service, "address": self.addr.to_string(), "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "warmup-left-s": 0, "sequence": 1,
            "born": self.born.load(Ordering::Relaxed)})
    }

    /// Returns the headers that a target sends with each response.
    pub fn usual_headers(&self, id: Option<&str>) -> Vec<(String, String)> {
        let load = format!(
            "{},{},{}",
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed),
            self.slots
        );
        let mut out = vec![("Instance-Id".into(), self.id.clone()), ("Backend-Load".into(), load)];
        if let Some(id) = id {
            out.push(("Request-Id".into(), id.into()));
        }
        if self.leaving.load(Ordering::Relaxed) {
            out.push(("Server-Leaving".into(), "1".into()));
        }
        out
    }

    /// Runs a request for its time in a slot, and returns the usual response with a body of `len` bytes.
    pub async fn run(self: &Arc<Self>, req: &Message, peer: SocketAddr, len: usize) -> Reply {
        let id = req.header("request-id").unwrap_or("").to_owned();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let Ok(_slot) = self.room.acquire().await else { return Reply::Reset };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let _running = Count::new(&self.running);
        self.begin(&id, req, peer);
        let work = Duration::from_millis(self.work_ms.load(Ordering::Relaxed));
        tokio::time::sleep(work).await;
        let signature = format!("3e1b.{id}.{len}");
        let body = body(&id, len);
        self.record.line(format!("target {} answers {id} bytes={len}", self.id));
        Reply::Respond { status: 200, headers: vec![("Response-Signature".into(), signature)], body }
    }

    /// Records the start of a run.
    pub fn begin(&self, id: &str, req: &Message, peer: SocketAddr) {
        self.record.line(format!(
            "target {} runs {id} {} {} from {} deadline={}",
            self.id,
            req.method,
            req.path,
            peer.ip(),
            req.header("request-deadline-ms").unwrap_or("-")
        ));
        self.runs.add(Run {
            id: id.into(),
            target: self.id.clone(),
            path: req.path.clone(),
            peer,
            at: Instant::now(),
        });
    }

    /// Ends the process that the target stands for: all connections are reset, and new ones are refused until it is
    /// back with a new start time.
    pub fn crash(&self) {
        self.crashes.send_modify(|n| *n += 1);
    }

    /// Serves connections until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut crashes = self.crashes.subscribe();
        loop {
            let Some(open) = &listener else {
                tokio::time::sleep(self.down_for).await;
                listener = TcpListener::bind(self.addr).await.ok();
                self.born.store(unix_ms(), Ordering::Relaxed);
                self.store.put("servers", &self.id, self.registration());
                self.record.line(format!("target {} is back", self.id));
                crashes.borrow_and_update();
                continue;
            };
            let accepted = tokio::select! {
                accepted = open.accept() => accepted,
                _ = crashes.changed() => {
                    self.record.line(format!("target {} crashes", self.id));
                    listener = None;
                    continue;
                }
            };
            let Ok((stream, peer)) = accepted else { continue };
            let target = self.clone();
            let mut crashes = self.crashes.subscribe();
            crashes.borrow_and_update();
            tokio::spawn(async move {
                let socket = socket2::SockRef::from(&stream).try_clone();
                tokio::select! {
                    _ = target.serve_connection(stream, peer) => {}
                    _ = crashes.changed() => {
                        if let Ok(socket) = socket {
                            let _ = socket.set_linger(Some(Duration::ZERO));
                        }
                    }
                }
            });
        }
    }

    async fn serve_connection(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = Reader::new(reader);
        while let Some(req) = reader.request().await? {
            let reply = if req.path == "/health" {
                Reply::Respond { status: 200, headers: Vec::new(), body: Vec::new() }
            } else if req.header("target-instance").is_some_and(|t| t != self.id) {
                Reply::Respond { status: 421, headers: Vec::new(), body: Vec::new() }
            } else {
                let handled = (self.handler)(self.clone(), req.clone(), peer);
                tokio::select! {
                    reply = handled => reply,
                    // A target drops a request whose connection is closed.
                    () = reader.closed() => {
                        self.record.line(format!("target {} drops {}", self.id, req.header("request-id").unwrap_or("")));
                        return Ok(());
                    }
                }
            };
            match reply {
                Reply::Respond { status, headers, body } => {
                    let all = self.usual_headers(req.header("request-id")).into_iter().chain(headers);
                    writer.write_all(&response(status, all, &body)).await?;
                }
                Reply::Raw { bytes, close } => {
                    writer.write_all(&bytes).await?;
                    if close {
                        return Ok(());
                    }
                }
                Reply::Reset => {
                    let stream = reader_into(reader, writer);
                    if let Some(stream) = stream {
                        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                    }
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}

fn reader_into(
    reader: Reader<tokio::net::tcp::OwnedReadHalf>,
    writer: tokio::net::tcp::OwnedWriteHalf,
) -> Option<TcpStream> {
    reader.into_inner().reunite(writer).ok()
}

/// Encodes a response.
pub fn response<I>(status: u16, headers: I, body: &[u8]) -> Vec<u8>
where
    I: IntoIterator<Item = (String, String)>,
{
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Returns the body of the response to a request, which depends on its id.
pub fn body(id: &str, len: usize) -> Vec<u8> {
    let unit = format!("{id};");
    unit.bytes().cycle().take(len).collect()
}

/// Counts while it lives.
pub struct Count<'a>(&'a AtomicU32);

impl<'a> Count<'a> {
    pub fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Count(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}
