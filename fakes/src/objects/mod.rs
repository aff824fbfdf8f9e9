//! Stand-in for the object API: versioned objects with conditional writes, lists and watches.

mod faults;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::reply::{
    Body, Reply, answer, full_body, percent_decode, query_number, query_param, read_body,
};
use crate::server::{ANY_PORT, Server};

pub use faults::{ObjectCounters, ObjectFaults, Outage};
use store::{Conflict, Store};

/// Largest value, in bytes.
const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Time after which the connection of a hanging call is closed.
const HANG_TIME: Duration = Duration::from_secs(60);

/// Configuration of a stand-in object API.
#[derive(Clone, Debug)]
pub struct ObjectsConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Writes allowed per second; further ones are answered with status 429.
    pub writes_per_s: u64,
    /// Reads, lists and watches allowed per second; further ones are answered with status 429.
    pub reads_per_s: u64,
}

impl Default for ObjectsConfig {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            writes_per_s: u64::MAX,
            reads_per_s: u64::MAX,
        }
    }
}

/// Running stand-in for the object API; dropping it stops it.
#[derive(Debug)]
pub struct Objects {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    cfg: ObjectsConfig,
    inner: Mutex<Inner>,
    /// Version of the newest change; wakes waiting watches.
    newest: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    faults: ObjectFaults,
    counters: ObjectCounters,
    /// Start of the one-second window of the rate limits; `None` before the first call.
    window_start: Option<Instant>,
    reads_in_window: u64,
    writes_in_window: u64,
}

impl Objects {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(cfg: ObjectsConfig) -> io::Result<Self> {
        let addr = cfg.addr;
        let state = Arc::new(State {
            cfg,
            inner: Mutex::default(),
            newest: watch::Sender::new(0),
        });
        let shared = Arc::clone(&state);
        let server = Server::spawn(addr, move |req| handle(Arc::clone(&shared), req))?;
        Ok(Self { server, state })
    }

    /// Address of the object API.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut ObjectFaults)) {
        change(&mut self.state.lock().faults);
    }

    /// Takes the object API off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Counts of the calls so far.
    pub fn counters(&self) -> ObjectCounters {
        self.state.lock().counters.clone()
    }

    /// Current version and value of an object, unaffected by injected faults and not counted.
    pub fn peek(&self, key: &str) -> Option<(u64, String)> {
        let inner = self.state.lock();
        let current = inner.store.get(key, 0)?;
        Some((current.version, current.value?.to_string()))
    }

    /// Writes an object regardless of its version and returns the new version; unaffected by
    /// injected faults and not counted.
    pub fn force_put(&self, key: &str, value: &str) -> u64 {
        let mut inner = self.state.lock();
        let version = inner.store.force(key, Some(value.into()));
        self.state.newest.send_replace(version);
        version
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns its injected delay and the way in which it fails.
    fn admit(&self, is_write: bool) -> (Duration, Outage) {
        let mut inner = self.lock();
        inner.roll_window();
        let is_over_rate = if is_write {
            inner.counters.writes += 1;
            inner.writes_in_window += 1;
            inner.writes_in_window > self.cfg.writes_per_s
        } else {
            inner.counters.reads += 1;
            inner.reads_in_window += 1;
            inner.reads_in_window > self.cfg.reads_per_s
        };
        let outage = match inner.faults.outage {
            Outage::None if is_over_rate => Outage::RateLimited,
            outage => outage,
        };
        if outage != Outage::None {
            inner.counters.refused += 1;
        }
        (inner.faults.slow, outage)
    }
}

impl Inner {
    /// Starts a new rate limit window once the current one has lasted a second.
    fn roll_window(&mut self) {
        let now = Instant::now();
        let has_ended = self
            .window_start
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if has_ended {
            self.window_start = Some(now);
            self.reads_in_window = 0;
            self.writes_in_window = 0;
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    let is_write = matches!(*req.method(), Method::PUT | Method::DELETE);
    let (slow, outage) = state.admit(is_write);
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    match outage {
        Outage::None => {}
        Outage::RateLimited => return Some(answer(StatusCode::TOO_MANY_REQUESTS, "")),
        Outage::Unavailable => return Some(answer(StatusCode::SERVICE_UNAVAILABLE, "")),
        Outage::Cut => return None,
        Outage::Hang => {
            tokio::time::sleep(HANG_TIME).await;
            return None;
        }
    }
    let path = req.uri().path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/objects") => Some(list(&state, &req)),
        (Method::GET, "/watch") => Some(watch_changes(&state, &req).await),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) => handle_object(&state, method, &percent_decode(key), req).await,
            None => Some(answer(StatusCode::NOT_FOUND, "")),
        },
    }
}

/// Handles a call on a single object.
async fn handle_object(state: &State, method: Method, key: &str, req: Request<Incoming>) -> Reply {
    match method {
        Method::GET => Some(get(state, key)),
        Method::PUT => {
            let if_version = query_number(&req, "if_version");
            let value = read_body(req).await?;
            put(state, key, &value, if_version)
        }
        Method::DELETE => write(state, key, None, query_number(&req, "if_version")),
        _ => Some(answer(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

fn get(state: &State, key: &str) -> Response<Body> {
    let inner = state.lock();
    let found = inner.store.get(key, inner.faults.stale_writes);
    match found.and_then(|revision| revision.value.map(|value| (revision.version, value))) {
        Some((version, value)) => with_version(StatusCode::OK, version, value.as_bytes().to_vec()),
        None => answer(StatusCode::NOT_FOUND, ""),
    }
}

fn put(state: &State, key: &str, value: &Bytes, if_version: u64) -> Reply {
    if value.len() > VALUE_LIMIT_BYTES {
        return Some(answer(StatusCode::PAYLOAD_TOO_LARGE, ""));
    }
    match std::str::from_utf8(value) {
        Ok(value) => write(state, key, Some(value.into()), if_version),
        Err(_) => Some(answer(StatusCode::BAD_REQUEST, "")),
    }
}

/// Puts the value or, when it is `None`, deletes the object, if its version is `if_version`.
fn write(state: &State, key: &str, value: Option<Arc<str>>, if_version: u64) -> Reply {
    let mut inner = state.lock();
    match inner.store.write(key, value, if_version) {
        Ok(version) => {
            inner.counters.written += 1;
            state.newest.send_replace(version);
            if inner.loses_answer() {
                return None;
            }
            Some(with_version(StatusCode::OK, version, Vec::new()))
        }
        Err(Conflict { current }) => {
            inner.counters.conflicts += 1;
            Some(with_version(StatusCode::CONFLICT, current, Vec::new()))
        }
    }
}

impl Inner {
    /// Decides whether the answer to the write just made is lost, and counts it.
    fn loses_answer(&mut self) -> bool {
        let is_lost = self.faults.lose_answer(self.counters.written);
        self.counters.lost_answers += u64::from(is_lost);
        is_lost
    }
}

fn list(state: &State, req: &Request<Incoming>) -> Response<Body> {
    let prefix = query_param(req, "prefix").unwrap_or_default();
    let inner = state.lock();
    let objects = inner.store.list(&prefix, inner.faults.stale_writes);
    crate::reply::json(&Value::Array(objects))
}

/// Answers with the changes after a version as soon as there are any, or with none when the wait is
/// over.
async fn watch_changes(state: &State, req: &Request<Incoming>) -> Response<Body> {
    let prefix = query_param(req, "prefix").unwrap_or_default();
    let after = query_number(req, "after");
    let wait = Duration::from_millis(query_number(req, "wait_ms"));
    state.lock().counters.watches += 1;
    let mut newest = state.newest.subscribe();
    let deadline = tokio::time::sleep(wait);
    tokio::pin!(deadline);
    loop {
        newest.mark_unchanged();
        let changes = state.lock().store.changes(&prefix, after);
        if !changes.is_empty() {
            return crate::reply::json(&Value::Array(changes));
        }
        tokio::select! {
            () = &mut deadline => return crate::reply::json(&json!([])),
            _ = newest.changed() => {}
        }
    }
}

fn with_version(status: StatusCode, version: u64, body: Vec<u8>) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res.headers_mut().insert("x-version", version.into());
    res
}
