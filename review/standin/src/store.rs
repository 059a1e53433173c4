//! The platform's store: objects by kind and name with one revision counter, lists and watches.

use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to the answer of a call that is lost: nothing more is sent on its connection, which stays open.
#[derive(Clone, Copy, Debug, Default)]
struct Losses {
    /// Whether answers to watches that carry events are lost at present.
    watches: bool,
    /// Calls answered, and answers lost, since the losses began.
    answered: usize,
    lost: usize,
}

/// Objects of a page, and bytes after which no further object is added to it.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects as JSON, by kind and name.
    objects: BTreeMap<(String, String), String>,
    events: Vec<Event>,
    losses: Losses,
}

#[derive(Clone)]
pub struct Store {
    addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let store = Store {
            addr: listener.local_addr().expect("the store's address"),
            shared: Arc::new((
                Mutex::new(State { revision: 100, ..State::default() }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes the `spec` of an object. Returns when the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","rev":{revision},"create-revision":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        );
        state.objects.insert((kind.into(), name.into()), object.clone());
        state.events.push(Event { revision, kind: kind.into(), object, deleted: false });
        changed.notify_all();
        drop(state);
        let shown = spec.get(..500).unwrap_or(spec);
        let len = spec.len();
        self.record.line(&format!(
            "store: {kind}/{name} accepted at revision {revision}, {len} bytes: {shown}"
        ));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.into(), name.into())) else { return };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event { revision, kind: kind.into(), object, deleted: true });
        changed.notify_all();
        drop(state);
        self.record.line(&format!("store: {kind}/{name} removed at revision {revision}"));
    }

    /// Begins or ends the loss of answers to watches. Returns how many calls were answered and how many
    /// answers were lost while it lasted.
    pub fn lose_watch_answers(&self, lose: bool) -> (usize, usize) {
        let mut state = self.shared.0.lock().unwrap();
        let was = state.losses;
        state.losses = Losses { watches: lose, ..Losses::default() };
        (was.answered, was.lost)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let Some(body) = self.answer(request.target()) else {
                // A connection on which an answer is lost returns nothing further.
                thread::sleep(Duration::from_secs(600));
                return;
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if (&stream).write_all(&http::response("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Returns the body of an answer; `None` if the answer is lost.
    fn answer(&self, target: &str) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.trim_start_matches("/objects/").to_string();
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let Some(from) = number("watch") else {
            state.losses.answered += 1;
            let after = query.split('&').find_map(|p| p.strip_prefix("after=")).map(decoded);
            let of_kind = state
                .objects
                .iter()
                .filter(|((k, n), _)| *k == kind && after.as_ref().is_none_or(|after| n > after));
            let (mut items, mut len, mut has_more) = (Vec::new(), 0, false);
            for (_, object) in of_kind {
                if items.len() >= PAGE_ITEMS || len >= PAGE_BYTES {
                    has_more = true;
                    break;
                }
                len += object.len();
                items.push(object.as_str());
            }
            return Some(format!(
                r#"{{"items":[{}],"has-more":{has_more},"store-revision":{}}}"#,
                items.join(","),
                state.revision
            ));
        };
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|e| e.revision > from && e.kind == kind)
                .map(|e| format!(r#"{{"object":{},"deleted":{}}}"#, e.object, e.deleted))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                if state.losses.watches && !events.is_empty() {
                    state.losses.lost += 1;
                    drop(state);
                    self.record.line(&format!(
                        "store: the answer to a watch of {kind} from {from} is lost"
                    ));
                    return None;
                }
                state.losses.answered += 1;
                let revision = state.revision;
                return Some(format!(
                    r#"{{"events":[{}],"store-revision":{revision}}}"#,
                    events.join(",")
                ));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns a value of a query without percent-encoding.
fn decoded(value: &str) -> String {
    let mut out = Vec::new();
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|c| std::str::from_utf8(c).ok());
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) if *first == b'%' => {
                out.push(byte);
                rest = &tail[2..];
            }
            _ => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
