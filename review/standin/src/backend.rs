//! A backend: it runs one request at a time on a connection, answers health checks, and registers itself.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A request that a backend began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub backend: String,
    pub service: String,
    pub id: String,
}

/// What all backends ran, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Options {
    pub service: &'static str,
    pub slots: usize,
    pub work: Duration,
    /// A request with this path crashes the backend, which is back after `down`.
    pub crash_on: Option<&'static str>,
    pub down: Duration,
}

#[derive(Clone)]
pub struct Backend {
    inner: Arc<Inner>,
}

struct Inner {
    id: Mutex<String>,
    name: String,
    addr: SocketAddr,
    opts: Options,
    running: AtomicUsize,
    is_down: AtomicBool,
    is_leaving: AtomicBool,
    starts: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    runs: Runs,
    record: Record,
    store: Store,
    /// One of so many answers names this load in place of the true one.
    spoilt: Mutex<Option<(usize, &'static str)>>,
    answers: AtomicUsize,
    /// `Server-Limit` of its answers.
    limit: Mutex<Option<String>>,
    /// A path on which requests take longer than on others.
    slow: Mutex<Option<(&'static str, Duration)>>,
}

impl Backend {
    pub fn start(name: &str, opts: Options, store: &Store, runs: &Runs, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a backend");
        let addr = listener.local_addr().expect("the backend's address");
        let backend = Backend {
            inner: Arc::new(Inner {
                id: Mutex::new(format!("{name}-1")),
                name: name.into(),
                addr,
                opts,
                running: AtomicUsize::new(0),
                is_down: AtomicBool::new(false),
                is_leaving: AtomicBool::new(false),
                starts: AtomicUsize::new(1),
                connections: Mutex::default(),
                runs: runs.clone(),
                record: record.clone(),
                store: store.clone(),
                spoilt: Mutex::default(),
                answers: AtomicUsize::new(0),
                limit: Mutex::default(),
                slow: Mutex::default(),
            }),
        };
        backend.register();
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.inner.is_down.load(Ordering::SeqCst) {
                    reset(&stream);
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    serving.inner.connections.lock().unwrap().push(clone);
                }
                let backend = serving.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    /// Spoils the load that the backend names in one of so many answers to requests; `None` ends that.
    pub fn spoil_load(&self, spoilt: Option<(usize, &'static str)>) {
        *self.inner.spoilt.lock().unwrap() = spoilt;
    }

    /// Sets how long requests with a path take.
    pub fn set_work_on(&self, path: &'static str, work: Duration) {
        *self.inner.slow.lock().unwrap() = Some((path, work));
    }

    /// Sets the requests a second that the backend takes from all machines together.
    pub fn set_limit(&self, per_s: f64) {
        self.inner.record.line(&format!("{}: names its Server-Limit: {per_s:.1}", self.id()));
        *self.inner.limit.lock().unwrap() = Some(format!("{per_s:.1}"));
    }

    /// Restarts the backend under the same identity. Its entry is removed without a report that it drains; it
    /// says in its answers that it leaves, serves on for `drain`, ends, and is back after `down`.
    pub fn restart(&self, drain: Duration, down: Duration) {
        let inner = &self.inner;
        let id = self.id();
        inner.record.line(&format!("{id}: leaves"));
        inner.store.delete("servers", &id);
        inner.is_leaving.store(true, Ordering::SeqCst);
        thread::sleep(drain);
        inner.is_down.store(true, Ordering::SeqCst);
        inner.record.line(&format!("{id}: has ended"));
        for stream in inner.connections.lock().unwrap().drain(..) {
            reset(&stream);
        }
        thread::sleep(down);
        inner.running.store(0, Ordering::SeqCst);
        inner.is_leaving.store(false, Ordering::SeqCst);
        inner.is_down.store(false, Ordering::SeqCst);
        inner.record.line(&format!("{id}: has started again under the same id"));
        self.register();
    }

    fn id(&self) -> String {
        self.inner.id.lock().unwrap().clone()
    }

    fn register(&self) {
        let inner = &self.inner;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{},"state":"ready","warmup-left-s":0,"sequence":1,"born":{born}}}"#,
            inner.opts.service, inner.addr, inner.opts.slots
        );
        inner.store.put("servers", &self.id(), &spec);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = if request.target() == "/health" {
                let load = self.load();
                let id = self.id();
                let mut headers =
                    vec![("Instance-Id", id.as_str()), ("Backend-Load", load.as_str())];
                let is_leaving = self.inner.is_leaving.load(Ordering::SeqCst);
                if is_leaving {
                    headers.push(("Server-Leaving", "1"));
                }
                let limit = self.inner.limit.lock().unwrap().clone();
                if let Some(limit) = &limit {
                    headers.push(("Server-Limit", limit));
                }
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                http::response(status, &headers, b"")
            } else {
                match self.run(&request) {
                    Some(answer) => answer,
                    None => return,
                }
            };
            if (&stream).write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = self.inner.running.load(Ordering::SeqCst);
        format!("{running},0,{},100", self.inner.opts.slots)
    }

    /// Runs a request; `None` if that crashes the backend.
    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let inner = &self.inner;
        let id = request.header("request-id").unwrap_or("").to_string();
        let me = self.id();
        if request.header("target-instance").is_some_and(|t| t != me) {
            inner.record.line(&format!("{me}: request {id} is for another backend: 421"));
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", me.as_str())];
            return Some(http::response("421 Misdirected Request", &headers, b""));
        }
        let run = Run {
            at: inner.record.now(),
            backend: me.clone(),
            service: inner.opts.service.into(),
            id: id.clone(),
        };
        inner.record.line(&format!(
            "{me} ({}): runs {id} {}",
            inner.opts.service,
            request.target()
        ));
        inner.runs.lock().unwrap().push(run);
        if inner.opts.crash_on == Some(request.target()) {
            self.crash();
            return None;
        }
        inner.running.fetch_add(1, Ordering::SeqCst);
        let slow = inner.slow.lock().unwrap().filter(|(path, _)| *path == request.target());
        thread::sleep(slow.map_or(inner.opts.work, |(_, work)| work));
        inner.running.fetch_sub(1, Ordering::SeqCst);
        let n = inner.answers.fetch_add(1, Ordering::SeqCst);
        let load = match *inner.spoilt.lock().unwrap() {
            Some((one_in, load)) if n.is_multiple_of(one_in) => {
                inner.record.line(&format!("{me}: spoils its load in the answer to {id}: {load}"));
                String::from(load)
            }
            _ => self.load(),
        };
        let body = format!("{} ran {id}", inner.opts.service);
        let signature = format!("sig-{me}-{id}");
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Response-Signature", signature.as_str()),
            ("Backend-Load", load.as_str()),
        ];
        if inner.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        let limit = inner.limit.lock().unwrap().clone();
        if let Some(limit) = &limit {
            headers.push(("Server-Limit", limit));
        }
        Some(http::response("200 OK", &headers, body.as_bytes()))
    }

    /// The process ends: all its connections are reset, and it is back under a new identity after a while.
    fn crash(&self) {
        let inner = &self.inner;
        if inner.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        let old = self.id();
        inner.record.line(&format!("{old}: crashes"));
        for stream in inner.connections.lock().unwrap().drain(..) {
            reset(&stream);
        }
        let backend = self.clone();
        thread::spawn(move || {
            let inner = &backend.inner;
            thread::sleep(inner.opts.down);
            let start = inner.starts.fetch_add(1, Ordering::SeqCst) + 1;
            let id = format!("{}-{start}", inner.name);
            *inner.id.lock().unwrap() = id.clone();
            inner.running.store(0, Ordering::SeqCst);
            inner.is_down.store(false, Ordering::SeqCst);
            inner.record.line(&format!("{id}: is back in place of {old}"));
            inner.store.delete("servers", &old);
            backend.register();
        });
    }
}

/// Ends a connection as the end of its process does.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
