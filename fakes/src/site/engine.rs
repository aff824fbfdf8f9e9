//! An engine or a plain service of the platform.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::reply::{Body, Reply, answer, header, json as json_answer, query_number, read};
use crate::server::Server;

/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(5);
/// Layers of the model.
const LAYERS: u32 = 16;

/// What stands behind an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SiteEngineKind {
    /// A model engine: streams of so many events, once it was told to load weights.
    Model {
        /// Events of each stream.
        events: u64,
        /// Pieces of a version.
        pieces: u64,
    },
    /// A plain service.
    Plain,
}

/// Faults that are in force.
#[derive(Clone, Debug, Default)]
pub struct SiteEngineFaults {
    /// Streams break off in the middle of the event after so many.
    pub break_after: Option<u64>,
    /// Requests are refused with the mark that they have not run.
    pub shed_requests: bool,
    /// Requests run and the connection is closed without an answer.
    pub lose_answers: bool,
    /// Answers carry the name of another request.
    pub wrong_request_ids: bool,
    /// Answers have no signature.
    pub unsigned: bool,
    /// Streams stay silent after so many events.
    pub silent_after: Option<u64>,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct SiteRun {
    /// Name of the request.
    pub request_id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its path and query.
    pub path: String,
}

#[derive(Debug)]
struct State {
    id: String,
    born: u64,
    version: Option<u64>,
    staged: BTreeMap<u64, Bytes>,
    faults: SiteEngineFaults,
    runs: Vec<SiteRun>,
    orders: u64,
}

/// An engine; dropping it stops it.
#[derive(Debug)]
pub struct SiteEngine {
    state: Arc<Mutex<State>>,
    server: Server,
    kind: SiteEngineKind,
}

impl SiteEngine {
    /// Starts an engine without weights at an address.
    ///
    /// # Errors
    /// The system's error when the address can not be bound.
    pub fn spawn(id: &str, addr: SocketAddr, kind: SiteEngineKind) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            born: 1_000,
            version: None,
            staged: BTreeMap::new(),
            faults: SiteEngineFaults::default(),
            runs: Vec::new(),
            orders: 0,
        }));
        let shared = state.clone();
        let server = Server::spawn(addr, move |req| serve(shared.clone(), kind, req))?;
        Ok(Self {
            state,
            server,
            kind,
        })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its entry in the list of servers.
    pub fn entry(&self, service: &str, zone: &str) -> Value {
        let state = self.lock();
        let mut entry = json!({
            "service": service, "address": self.addr().to_string(), "zone": zone,
            "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0,
            "seq": 1, "born": state.born,
        });
        if matches!(self.kind, SiteEngineKind::Model { .. }) {
            entry["stage"] = json!("both");
            entry["models"] = models(&state);
        }
        entry
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: SiteEngineFaults) {
        self.lock().faults = faults;
    }

    /// Takes the engine down, or up again.
    pub fn set_online(&self, up: bool) {
        self.server.set_online(up);
    }

    /// Ends the process and starts it again under its name, without weights.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.born += 1;
        state.version = None;
    }

    /// Spoils a staged piece.
    pub fn corrupt_staged_piece(&self, index: u64) {
        self.lock().staged.insert(index, Bytes::from_static(b"rot"));
    }

    /// Version that it serves.
    pub fn version(&self) -> Option<u64> {
        self.lock().version
    }

    /// Staged pieces.
    pub fn staged(&self) -> BTreeMap<u64, Bytes> {
        self.lock().staged.clone()
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<SiteRun> {
        self.lock().runs.clone()
    }

    /// Orders that it took.
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn models(state: &State) -> Value {
    let version = state.version.iter();
    version
        .map(|version| json!({"name": "m0", "version": version, "adapters": []}))
        .collect()
}

async fn serve(state: Arc<Mutex<State>>, kind: SiteEngineKind, req: Request<Incoming>) -> Reply {
    let path = req.uri().path().to_owned();
    match &*path {
        "/limpetloom/report" => Some(json_answer(&report(&lock(&state)))),
        "/limpetloom/order" => order(&state, kind, req).await,
        path if path.starts_with("/limpetloom/stage-put/") => {
            let index = query_number(&req, "numItems");
            let bytes = read(req).await?;
            lock(&state).staged.insert(index, bytes);
            Some(answer(StatusCode::OK, ""))
        }
        path if path.starts_with("/limpetloom/stage-get/") => {
            let index = query_number(&req, "numItems");
            let staged = lock(&state).staged.get(&index).cloned();
            Some(staged.map_or_else(
                || answer(StatusCode::NOT_FOUND, ""),
                |bytes| answer(StatusCode::OK, bytes),
            ))
        }
        _ => run(&state, kind, req).await,
    }
}

fn report(state: &State) -> Value {
    let mut report = json!({
        "stage": "both", "models": models(state), "busy": false, "seq": state.orders,
        "numWaiting": 0, "numRunning": 0, "kvUsed": 0, "kvTotal": 90_000, "handles": 0,
        "pace": 1.0, "born": state.born,
    });
    if let Some(version) = state.version {
        report["layers"] = json!({"from": 0, "target": LAYERS, "version": version});
    }
    report
}

async fn order(state: &Mutex<State>, kind: SiteEngineKind, req: Request<Incoming>) -> Reply {
    let order: Value = serde_json::from_slice(&read(req).await?).ok()?;
    let mut state = lock(state);
    let SiteEngineKind::Model { pieces, .. } = kind else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let whole = (0..pieces).all(|index| state.staged.contains_key(&index));
    if !whole || order["operation"] != "start" {
        return Some(answer(StatusCode::CONFLICT, ""));
    }
    state.orders += 1;
    state.version = order["version"].as_u64();
    Some(answer(StatusCode::ACCEPTED, ""))
}

async fn run(state: &Mutex<State>, kind: SiteEngineKind, req: Request<Incoming>) -> Reply {
    let request_id = header(&req, "request-id").to_owned();
    let expected = header(&req, "expect-instance").to_owned();
    let after = header(&req, "last-event-id").parse().unwrap_or(0);
    let headers = req.headers().clone();
    let path = req.uri().path_and_query()?.to_string();
    let body = read(req).await?;
    let (faults, version, id) = {
        let mut state = lock(state);
        if !expected.is_empty() && expected != state.id {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        if state.faults.shed_requests {
            let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, "");
            refusal
                .headers_mut()
                .insert("not-executed", "1".parse().ok()?);
            return Some(refusal);
        }
        let is_model = matches!(kind, SiteEngineKind::Model { .. });
        if is_model && state.version.is_none() {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        state.runs.push(SiteRun {
            request_id: request_id.clone(),
            headers,
            body,
            path,
        });
        (state.faults.clone(), state.version, state.id.clone())
    };
    if faults.lose_answers {
        return None;
    }
    let mut answer = match kind {
        SiteEngineKind::Plain => answer(StatusCode::OK, format!("done by {id}")),
        SiteEngineKind::Model { events, .. } => Response::new(stream_body(events, after, &faults)),
    };
    let headers = answer.headers_mut();
    let echoed = match faults.wrong_request_ids {
        true => "another",
        false => &request_id,
    };
    headers.insert("request-id", echoed.parse().ok()?);
    if !faults.unsigned {
        headers.insert("server-stamp", format!("stamp-of-{id}").parse().ok()?);
    }
    if let Some(version) = version {
        headers.insert("weight-versions", version.into());
    }
    Some(answer)
}

/// Events after `after`, up to `events`.
fn stream_body(events: u64, after: u64, faults: &SiteEngineFaults) -> Body {
    let (break_after, silent_after) = (faults.break_after, faults.silent_after);
    let frames = stream::unfold(after + 1, move |id| async move {
        if id > events {
            return None;
        }
        tokio::time::sleep(EVENT_TIME).await;
        if silent_after.is_some_and(|last| id > last) {
            std::future::pending::<()>().await;
        }
        let event = format!("id: {id}\ndata: token {id}\n\n");
        let frame = match break_after {
            Some(last) if id > last + 1 => Err(io::Error::other("the stand-in breaks off")),
            Some(last) if id > last => Ok(Frame::data(Bytes::from(event[..6].to_owned()))),
            _ => Ok(Frame::data(Bytes::from(event))),
        };
        Some((frame, id + 1))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
