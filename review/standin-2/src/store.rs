//! The platform's store: objects by kind and name, lists in pages, watches. Linearizable, loses nothing.

use crate::http::{Message, Reader};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Most objects and bytes of a page.
const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

struct Event {
    rev: u64,
    kind: String,
    object: Value,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<Event>,
}

pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Addresses of servers as one host reaches them, through links of its own.
pub type Links = Arc<BTreeMap<SocketAddr, SocketAddr>>;

impl Store {
    pub fn new() -> Arc<Self> {
        let state = State { rev: 100, ..State::default() };
        Arc::new(Store { state: Mutex::new(state), changed: watch::channel(100).0 })
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut s = self.state.lock().unwrap();
        s.rev += 1;
        let rev = s.rev;
        let metadata = json!({"name": name, "rev": rev, "create-revision": rev, "finalizers": [], "deleting": false});
        let object = json!({"metadata": metadata, "spec": spec, "status": null});
        s.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        s.history.push(Event { rev, kind: kind.to_owned(), object });
        drop(s);
        self.changed.send_replace(rev);
    }

    /// Serves calls at an address until the runtime ends.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr, links: Links) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let at = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, links) = (store.clone(), links.clone());
                tokio::spawn(async move { store.connection(stream, links).await });
            }
        });
        Ok(at)
    }

    async fn connection(&self, stream: TcpStream, links: Links) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = Reader::new(reader);
        while let Ok(Some(req)) = reader.message(false).await {
            let (status, body) = self.answer(&req, &links).await;
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if writer.write_all((head + &text).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, req: &Message, links: &Links) -> (&'static str, Value) {
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let params: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (decode(n), decode(v)))
            .collect();
        let parts: Vec<String> = path.trim_matches('/').split('/').map(decode).collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match (req.word(0), &parts[..]) {
            ("GET", ["objects", kind]) => match params.get("watch").and_then(|w| w.parse().ok()) {
                Some(from) => {
                    let wait = params.get("wait-ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait), links).await
                }
                None => ("200 OK", self.list(kind, params.get("after"), links)),
            },
            ("GET", ["objects", kind, name]) => {
                let s = self.state.lock().unwrap();
                match s.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => ("200 OK", seen_by(object, links)),
                    None => ("404 Not Found", Value::Null),
                }
            }
            _ => ("404 Not Found", Value::Null),
        }
    }

    /// A page of the objects of a kind, by name, behind the name `after`.
    fn list(&self, kind: &str, after: Option<&String>, links: &Links) -> Value {
        let s = self.state.lock().unwrap();
        let of_kind = s.objects.iter().filter(|((k, n), _)| k == kind && after.is_none_or(|a| n > a));
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (_, object) in of_kind {
            let object = seen_by(object, links);
            bytes += object.to_string().len();
            if items.len() >= PAGE_OBJECTS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            items.push(object);
        }
        json!({"items": items, "has-more": more, "store-revision": s.rev})
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration, links: &Links) -> (&'static str, Value) {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait.min(Duration::from_secs(30));
        loop {
            changed.borrow_and_update();
            let (events, rev) = {
                let s = self.state.lock().unwrap();
                let new = s.history.iter().filter(|e| e.rev > from && e.kind == kind);
                let events: Vec<Value> =
                    new.map(|e| json!({"object": seen_by(&e.object, links), "deleted": false})).collect();
                (events, s.rev)
            };
            if !events.is_empty() || tokio::time::timeout_at(end, changed.changed()).await.is_err() {
                return ("200 OK", json!({"events": events, "store-revision": rev}));
            }
        }
    }
}

fn seen_by(object: &Value, links: &Links) -> Value {
    let mut object = object.clone();
    let addr = object["spec"]["address"].as_str().and_then(|a| a.parse().ok());
    if let Some(link) = addr.and_then(|a: SocketAddr| links.get(&a)) {
        object["spec"]["address"] = link.to_string().into();
    }
    object
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
