//! A stand-in for the object store of the platform that the system is deployed on: it reads, lists,
//! writes, deletes and watches objects in memory.

use crate::server::{self, Reply, read_body};
use geraniummux_core::uri;
use http::{HeaderName, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Header with the era of the store.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Maximum number of changes that are kept for watches; older ones are discarded.
const MAX_HISTORY_EVENTS: usize = 1_000;
/// Longest time for which a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Maximum number of objects on one page of a list.
const MAX_PAGE_OBJECTS: usize = 500;

#[derive(Clone, Debug)]
struct Event {
    kind: String,
    revision: u64,
    object: Value,
    deleted: bool,
}

/// A copy of a store's objects, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times that the store was restored from a copy, plus 1.
    era: u64,
    revision: u64,
    /// Number of calls.
    calls: u64,
    objects: BTreeMap<(String, String), Value>,
    history: VecDeque<Event>,
    /// Status with which all calls are refused; `None` serves them.
    refusal_status: Option<u16>,
    /// Number of objects on one page of a list; `None` for the maximum.
    page_objects: Option<usize>,
}

/// The object store.
#[derive(Debug)]
pub struct ObjectStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        let state = Mutex::new(State { era: 1, revision: 1, ..State::default() });
        ObjectStore { state, changed: watch::channel(1).0 }
    }
}

impl ObjectStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Creates or replaces an object. A write of the value that the object has already is no change.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.put_in(self.lock(), kind, name, spec);
    }

    fn put_in(&self, mut state: MutexGuard<'_, State>, kind: &str, name: &str, spec: Value) {
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|o| o["spec"] == spec) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let metadata = json!({"name": name, "rev": revision, "finalizers": [], "deleting": false});
        let object = json!({"metadata": metadata, "spec": spec, "status": null});
        state.objects.insert(key, object.clone());
        self.record(state, kind, object, false);
    }

    /// Deletes an object; does nothing if there is none.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            self.record(state, kind, object, true);
        }
    }

    /// Sets the status with which all calls are refused; `None` serves them again.
    pub fn set_refusal(&self, status: Option<u16>) {
        self.lock().refusal_status = status;
    }

    /// Sets the number of objects on one page of a list, which is 500 by default.
    pub fn set_page_objects(&self, count: usize) {
        self.lock().page_objects = Some(count);
    }

    /// Returns a copy of all objects.
    pub fn backup(&self) -> Backup {
        let state = self.lock();
        Backup { revision: state.revision, objects: state.objects.clone() }
    }

    /// Restores the objects of a copy. Later changes are lost, and their revisions are assigned again.
    pub fn restore(&self, backup: &Backup) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = backup.revision;
        state.objects = backup.objects.clone();
        state.history.retain(|e| e.revision <= backup.revision);
        drop(state);
        self.changed.send_replace(backup.revision);
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Discards the history. A watch from before the current revision then gets status 410.
    pub fn compact(&self) {
        self.lock().history.clear();
    }

    fn record(&self, mut state: MutexGuard<'_, State>, kind: &str, object: Value, deleted: bool) {
        let revision = state.revision;
        if state.history.len() >= MAX_HISTORY_EVENTS {
            state.history.pop_front();
        }
        state.history.push_back(Event { kind: kind.to_owned(), revision, object, deleted });
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Accepts connections and serves their calls until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        server::serve(listener, move |req| {
            let store = self.clone();
            async move { store.handle(req).await }
        })
        .await;
    }

    /// Handles a call. The response names the era in which it is sent.
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        self.lock().calls += 1;
        let mut reply = self.respond(req).await;
        if let Reply::Send(rsp) = &mut reply {
            rsp.headers_mut().insert(ERA_HEADER, self.lock().era.into());
        }
        reply
    }

    async fn respond(&self, req: Request<Incoming>) -> Reply {
        if let Some(status) = self.lock().refusal_status {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return Reply::text(status, "");
        }
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').map(uri::decode_segment).collect();
        let parts: Vec<&str> = parts.iter().map(AsRef::as_ref).collect();
        match (req.method().clone(), &parts[..]) {
            (Method::GET, ["objects", kind]) => match query_number(&query, "watch") {
                Some(from) => self.watch(kind, from, query_number(&query, "wait-ms")).await,
                None => self.list(kind, &uri::query_value(&query, "after").unwrap_or_default()),
            },
            (Method::GET, ["objects", kind, name]) => {
                match self.lock().objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => Reply::json(object),
                    None => Reply::text(StatusCode::NOT_FOUND, ""),
                }
            }
            (Method::POST, ["objects", kind]) => {
                let body = read_body(req.into_body()).await;
                match serde_json::from_slice::<Value>(&body) {
                    Ok(object) => self.create(kind, &object),
                    Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
                }
            }
            (Method::PUT, ["objects", kind, name]) => {
                let body = read_body(req.into_body()).await;
                match serde_json::from_slice::<Value>(&body) {
                    Ok(object) => self.replace(kind, name, &object),
                    Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
                }
            }
            (Method::DELETE, ["objects", kind, name]) => {
                self.delete(kind, name);
                Reply::text(StatusCode::OK, "")
            }
            _ => Reply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Creates an object, unless there is one of its name.
    fn create(&self, kind: &str, object: &Value) -> Reply {
        let Some(name) = object["metadata"]["name"].as_str() else {
            return Reply::text(StatusCode::BAD_REQUEST, "the object has no name");
        };
        let state = self.lock();
        if let Some(existing) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
            return Reply::text(StatusCode::CONFLICT, existing.to_string());
        }
        self.put_in(state, kind, name, object["spec"].clone());
        Reply::text(StatusCode::CREATED, object.to_string())
    }

    /// Replaces an object. If the call names a revision, there has to be an object of that revision; otherwise the
    /// object is created if there is none.
    fn replace(&self, kind: &str, name: &str, object: &Value) -> Reply {
        let state = self.lock();
        if let Some(revision) = object["metadata"]["rev"].as_u64() {
            match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                None => return Reply::text(StatusCode::NOT_FOUND, ""),
                Some(existing) if existing["metadata"]["rev"] != revision => {
                    return Reply::text(StatusCode::CONFLICT, existing.to_string());
                }
                Some(_) => {}
            }
        }
        self.put_in(state, kind, name, object["spec"].clone());
        Reply::text(StatusCode::OK, object.to_string())
    }

    /// Returns the page of a list that begins after the name `after`; the first one if that is empty.
    fn list(&self, kind: &str, after: &str) -> Reply {
        let state = self.lock();
        let from = (kind.to_owned(), after.to_owned());
        let from = if after.is_empty() { Bound::Included(from) } else { Bound::Excluded(from) };
        let later = state.objects.range((from, Bound::Unbounded));
        let mut objects = later.take_while(|((k, _), _)| k == kind).map(|(_, o)| o);
        let page_objects = state.page_objects.unwrap_or(MAX_PAGE_OBJECTS);
        let items: Vec<&Value> = objects.by_ref().take(page_objects).collect();
        let has_more = objects.next().is_some();
        Reply::json(
            &json!({"items": items, "has-more": has_more, "store-revision": state.revision}),
        )
    }

    async fn watch(&self, kind: &str, from: u64, wait_ms: Option<u64>) -> Reply {
        let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if let Some(reply) = self.events_after(kind, from) {
                return reply;
            }
            if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
                let revision = self.lock().revision;
                return Reply::json(&json!({"events": [], "store-revision": revision}));
            }
        }
    }

    /// Returns the changes of a kind after a revision, or status 410 if some of them were discarded or the
    /// store does not have that revision. Returns `None` if there are none yet.
    fn events_after(&self, kind: &str, from: u64) -> Option<Reply> {
        let state = self.lock();
        let oldest = state.history.front().map_or(state.revision + 1, |e| e.revision);
        if from > state.revision || from + 1 < oldest && from < state.revision {
            return Some(Reply::text(StatusCode::GONE, ""));
        }
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(|e| e.kind == kind && e.revision > from)
            .map(|e| json!({"object": e.object, "deleted": e.deleted}))
            .collect();
        let body = json!({"events": events, "store-revision": state.revision});
        (!events.is_empty()).then(|| Reply::json(&body))
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    uri::query_value(query, name)?.parse().ok()
}
