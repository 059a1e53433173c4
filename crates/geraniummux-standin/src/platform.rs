//! A stand-in for the platform's object API, with call counts and injected faults.
//!
//! `POST /faults` replaces the [`Faults`], `GET /stats` returns the number of calls by method and kind,
//! `PUT /hosts` replaces the host list, `POST /backup` saves a copy of all objects and `POST /restore`
//! restores it.

use crate::server::{Reply, apply_json, read_body, serve};
use bytes::Bytes;
use geraniummux_core::uri;
use geraniummux_platform::http::{ListEntry, parse_etag};
use geraniummux_platform::{Condition, Error, HostEntry, Key, MemoryStore, Object, Version};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Injected faults of the object API. All are off by default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Kind of objects whose calls are affected; all calls if absent.
    pub kind: Option<String>,
    /// Whether connections are closed without a response and without carrying out the call.
    pub down: bool,
    /// Whether calls never get a response and are not carried out.
    pub hang: bool,
    /// Whether calls are refused with status 429.
    pub refuse: bool,
    /// Delay before each call is carried out, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose responses are lost.
    pub lose_write_answers: u32,
    /// Whether watches, of any kind, never get a response.
    pub silent_watch: bool,
    /// Whether reads return the object as it was before its last write.
    pub stale_reads: bool,
}

impl Faults {
    fn affects(&self, key: &Key) -> bool {
        self.kind.as_ref().is_none_or(|k| *k == key.kind)
    }
}

#[derive(Default)]
struct State {
    store: MemoryStore,
    /// Objects as they were before their last write.
    previous: BTreeMap<Key, Object>,
    backup: MemoryStore,
    hosts: Vec<HostEntry>,
    faults: Faults,
    /// Number of calls by method and kind.
    calls: BTreeMap<String, u64>,
}

/// A platform stand-in, shared by its connections.
pub struct PlatformStandin {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        PlatformStandin { state: Mutex::default(), changed: watch::channel(0).0 }
    }
}

/// Runs a platform stand-in on `listener` until the task is dropped.
pub async fn run(listener: TcpListener) {
    let standin = Arc::new(PlatformStandin::default());
    serve(listener, move |req| {
        let standin = standin.clone();
        async move { standin.handle(req).await }
    })
    .await;
}

fn query_param<'a>(req: &'a Request<Incoming>, name: &str) -> Option<Cow<'a, str>> {
    uri::query_value(req.uri().query()?, name)
}

fn object_reply(status: StatusCode, version: Version, value: Bytes) -> Reply {
    let mut rsp = Response::new(Full::new(value));
    *rsp.status_mut() = status;
    if let Ok(etag) = format!("\"{}\"", version.0).parse() {
        rsp.headers_mut().insert(header::ETAG, etag);
    }
    Reply::Send(rsp)
}

fn object_or_missing(object: Option<Object>) -> Reply {
    match object {
        Some(o) => object_reply(StatusCode::OK, o.version, o.value),
        None => Reply::text(StatusCode::NOT_FOUND, ""),
    }
}

impl PlatformStandin {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        let segments: Vec<_> = path.split('/').skip(1).map(uri::decode_segment).collect();
        let segments: Vec<&str> = segments.iter().map(AsRef::as_ref).collect();
        match (req.method(), segments.as_slice()) {
            (&Method::POST, ["faults"]) => {
                return apply_json(req, |faults| self.lock().faults = faults).await;
            }
            (&Method::GET, ["stats"]) => return Reply::json(&self.lock().calls),
            (&Method::PUT, ["hosts"]) => {
                return apply_json(req, |hosts| self.lock().hosts = hosts).await;
            }
            (&Method::POST, ["backup"]) => return self.back_up(),
            (&Method::POST, ["restore"]) => return self.restore(),
            _ => {}
        }
        if let Some(reply) = self.apply_faults(&req, &segments).await {
            return reply;
        }
        match (req.method().clone(), segments.as_slice()) {
            (Method::GET, ["v1", "hosts"]) => Reply::json(&self.lock().hosts),
            (Method::GET, ["v1", "objects", kind]) => self.list(&req, kind),
            (Method::GET, ["v1", "objects", kind, name]) => self.read(&Key::new(*kind, *name)),
            (Method::GET, ["v1", "watch", kind, name]) => {
                self.watch(&req, &Key::new(*kind, *name)).await
            }
            (Method::PUT, ["v1", "objects", kind, name]) => {
                self.write(req, &Key::new(*kind, *name)).await
            }
            (Method::DELETE, ["v1", "objects", kind, name]) => {
                self.delete(&req, &Key::new(*kind, *name))
            }
            _ => Reply::text(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn back_up(&self) -> Reply {
        let mut state = self.lock();
        state.backup = state.store.clone();
        Reply::text(StatusCode::NO_CONTENT, "")
    }

    /// Restores the values of the backup under new versions, since versions never repeat. Objects that are
    /// not in the backup are deleted; deleted objects are not created again.
    fn restore(&self) -> Reply {
        {
            let mut state = self.lock();
            let (saved, current) = (state.backup.list_all(), state.store.list_all());
            for (key, object) in current {
                // The versions were read under the same lock, so neither call can fail.
                let _ = match saved.iter().find(|(k, _)| *k == key) {
                    Some((_, o)) => {
                        let condition = Condition::Version(object.version);
                        state.store.put(&key, o.value.clone(), condition).map(drop)
                    }
                    None => state.store.delete(&key, object.version),
                };
            }
        }
        self.changed.send_modify(|n| *n += 1);
        Reply::text(StatusCode::NO_CONTENT, "")
    }

    /// Counts the call and applies its faults. Returns a reply if the call must not be carried out.
    async fn apply_faults(&self, req: &Request<Incoming>, segments: &[&str]) -> Option<Reply> {
        let faults = {
            let mut state = self.lock();
            let api = segments.get(1).copied().unwrap_or("");
            let kind = segments.get(2).copied().unwrap_or("");
            *state.calls.entry(format!("{} {api}/{kind}", req.method())).or_default() += 1;
            state.faults.clone()
        };
        let kind = segments.get(2).copied().unwrap_or(segments.get(1).copied().unwrap_or(""));
        if faults.kind.as_ref().is_some_and(|k| k != kind) {
            return None;
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Some(Reply::Close);
        }
        if faults.hang {
            return Some(Reply::Hang);
        }
        faults.refuse.then(|| Reply::text(StatusCode::TOO_MANY_REQUESTS, "refused"))
    }

    fn list(&self, req: &Request<Incoming>, kind: &str) -> Reply {
        let prefix = query_param(req, "prefix").unwrap_or_default();
        let objects = self.lock().store.list(kind, &prefix);
        let entries: Vec<ListEntry> = objects
            .into_iter()
            .map(|(key, object)| ListEntry {
                name: key.name,
                version: object.version,
                value: String::from_utf8_lossy(&object.value).into_owned(),
            })
            .collect();
        Reply::json(&entries)
    }

    fn read(&self, key: &Key) -> Reply {
        let state = self.lock();
        let stale = state.faults.stale_reads && state.faults.affects(key);
        let previous = stale.then(|| state.previous.get(key).cloned());
        object_or_missing(previous.flatten().or_else(|| state.store.get(key)))
    }

    async fn watch(&self, req: &Request<Incoming>, key: &Key) -> Reply {
        let after = query_param(req, "after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = query_param(req, "wait_ms").and_then(|v| v.parse().ok()).unwrap_or(1_000);
        if self.lock().faults.silent_watch {
            // The connection stays open, as if the platform had lost the watch.
            return Reply::Hang;
        }
        let mut changed = self.changed.subscribe();
        let newer = async {
            loop {
                let object = self.lock().store.get(key).filter(|o| o.version > Version(after));
                match object {
                    Some(o) => return object_reply(StatusCode::OK, o.version, o.value),
                    // The sender lives as long as the stand-in, so this can't fail.
                    None => drop(changed.changed().await),
                }
            }
        };
        tokio::time::timeout(Duration::from_millis(wait), newer)
            .await
            .unwrap_or_else(|_| Reply::text(StatusCode::NO_CONTENT, ""))
    }

    async fn write(&self, req: Request<Incoming>, key: &Key) -> Reply {
        let if_match = req.headers().get(header::IF_MATCH).and_then(|v| v.to_str().ok());
        let condition = match if_match.map(parse_etag) {
            Some(Some(version)) => Condition::Version(version),
            Some(None) => return Reply::text(StatusCode::BAD_REQUEST, "invalid If-Match"),
            None => Condition::Absent,
        };
        let value = read_body(req.into_body()).await;
        let reply = {
            let mut state = self.lock();
            let previous = state.store.get(key);
            match state.store.put(key, value, condition) {
                Ok(version) => {
                    if let Some(object) = previous {
                        state.previous.insert(key.clone(), object);
                    }
                    if state.faults.lose_write_answers > 0 && state.faults.affects(key) {
                        state.faults.lose_write_answers -= 1;
                        Reply::Close
                    } else {
                        let created = condition == Condition::Absent;
                        let status = if created { StatusCode::CREATED } else { StatusCode::OK };
                        object_reply(status, version, Bytes::new())
                    }
                }
                Err(Error::TooLarge) => Reply::text(StatusCode::PAYLOAD_TOO_LARGE, ""),
                Err(_) => Reply::text(StatusCode::PRECONDITION_FAILED, ""),
            }
        };
        self.changed.send_modify(|n| *n += 1);
        reply
    }

    fn delete(&self, req: &Request<Incoming>, key: &Key) -> Reply {
        let if_match = req.headers().get(header::IF_MATCH).and_then(|v| v.to_str().ok());
        let Some(version) = if_match.and_then(parse_etag) else {
            return Reply::text(StatusCode::BAD_REQUEST, "invalid If-Match");
        };
        match self.lock().store.delete(key, version) {
            Ok(()) => Reply::text(StatusCode::NO_CONTENT, ""),
            Err(_) => Reply::text(StatusCode::PRECONDITION_FAILED, ""),
        }
    }
}
