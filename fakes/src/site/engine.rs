//! Stand-in for a model engine or a plain service of the platform.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::raw::{ConnectionEnd, Flood, RawAnswer, event_text};
use crate::reply::{Body, Reply, answer, header, json as json_answer, query_number, read_body};
use crate::server::Server;

use super::faults::SiteEngineFaults;
use super::run::SiteRun;

/// Time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Time from a crash to the start of the next process, unless the faults say otherwise.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Length of the part of an event that a breaking stream sends; it ends before the `data` line.
const PARTIAL_EVENT_BYTES: usize = 6;
/// Number of layers of the model.
const LAYERS: u32 = 16;

/// Kind of back end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SiteEngineKind {
    /// A model engine, which answers with event streams once it was ordered to load weights.
    Model {
        /// Number of events of a whole stream.
        events: u64,
        /// Number of pieces of a version's weights.
        pieces: u64,
    },
    /// A plain service, which answers with a short text.
    Plain,
}

#[derive(Debug)]
struct State {
    /// Instance id, which requests may name in `expect-instance`.
    id: String,
    /// Incarnation of the process, `born` on the wire.
    incarnation: u64,
    /// Version of the loaded weights; `None` before the first load order and after a restart.
    version: Option<u64>,
    /// Staged pieces of weights, by index.
    staged: BTreeMap<u64, Bytes>,
    faults: SiteEngineFaults,
    /// Times at which requests arrived, also those that were refused, in their order.
    arrivals: Vec<Instant>,
    /// Requests run so far, in their order.
    runs: Vec<SiteRun>,
    /// Number of load orders accepted so far.
    orders: u64,
    /// Number of crashes so far.
    crashes: u64,
    /// Tells [`run_crashes`] that the process crashes.
    crash_tx: mpsc::UnboundedSender<()>,
    /// Floods sent so far.
    floods: u64,
    /// Cloned by each flood whose connection is open.
    open_floods: Arc<()>,
    /// Cloned by the body of each answer that is not sent to its end.
    open_answers: Arc<()>,
}

/// Running stand-in for a model engine or a plain service; dropping it stops it.
#[derive(Debug)]
pub struct SiteEngine {
    state: Arc<Mutex<State>>,
    server: Arc<Server>,
    kind: SiteEngineKind,
}

impl SiteEngine {
    /// Starts a back end without weights at an address.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(id: &str, addr: SocketAddr, kind: SiteEngineKind) -> io::Result<Self> {
        let (crash_tx, crash_rx) = mpsc::unbounded_channel();
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            incarnation: 1_000,
            version: None,
            staged: BTreeMap::new(),
            faults: SiteEngineFaults::default(),
            arrivals: Vec::new(),
            runs: Vec::new(),
            orders: 0,
            crashes: 0,
            crash_tx,
            floods: 0,
            open_floods: Arc::default(),
            open_answers: Arc::default(),
        }));
        let shared = state.clone();
        let server = Server::spawn(addr, move |req| serve(shared.clone(), kind, req))?;
        let server = Arc::new(server);
        tokio::spawn(run_crashes(
            Arc::downgrade(&state),
            Arc::downgrade(&server),
            crash_rx,
        ));
        Ok(Self {
            state,
            server,
            kind,
        })
    }

    /// Address of the back end.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Spec of the object that lists the back end as a server in the metadata store.
    pub fn server_spec(&self, service: &str, zone: &str) -> Value {
        let state = self.lock();
        let mut spec = json!({
            "service": service, "address": self.addr().to_string(), "zone": zone,
            "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0,
            "seq": 1, "born": state.incarnation,
        });
        if matches!(self.kind, SiteEngineKind::Model { .. }) {
            spec["stage"] = json!("both");
            spec["models"] = models(&state);
        }
        spec
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: SiteEngineFaults) {
        self.lock().faults = faults;
    }

    /// Takes the back end off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Simulates a restart of the process: the id stays, the incarnation changes, and no weights
    /// are loaded. Staged pieces and open connections stay.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Replaces the content of a staged piece by other bytes.
    pub fn corrupt_staged_piece(&self, index: u64) {
        self.lock().staged.insert(index, Bytes::from_static(b"rot"));
    }

    /// Version of the loaded weights.
    pub fn version(&self) -> Option<u64> {
        self.lock().version
    }

    /// Staged pieces of weights, by index.
    pub fn staged(&self) -> BTreeMap<u64, Bytes> {
        self.lock().staged.clone()
    }

    /// Times at which requests arrived, also those that were refused, in their order.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Requests that the back end ran, in their order.
    pub fn runs(&self) -> Vec<SiteRun> {
        self.lock().runs.clone()
    }

    /// Number of load orders that the engine accepted.
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Number of floods sent so far.
    pub fn floods(&self) -> u64 {
        self.lock().floods
    }

    /// Number of floods whose reader has not closed the connection.
    pub fn open_floods(&self) -> usize {
        Arc::strong_count(&self.lock().open_floods) - 1
    }

    /// Number of answers that have begun, whose connection is open and which are not sent to their
    /// end.
    pub fn open_answers(&self) -> usize {
        Arc::strong_count(&self.lock().open_answers) - 1
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn restart(&mut self) {
        self.incarnation += 1;
        self.version = None;
    }

    /// A flood in place of `answer`, counted while its connection is open.
    fn flood<B>(&mut self, flood: Flood, answer: &Response<B>) -> Response<Body> {
        self.floods += 1;
        let raw = RawAnswer {
            open: self.open_floods.clone(),
            ..flood.replacing(answer)
        };
        raw.into_response()
    }
}

/// Takes the process off the network when it crashes, which closes its connections, and starts the
/// next one.
async fn run_crashes(
    state: Weak<Mutex<State>>,
    server: Weak<Server>,
    mut crash_rx: mpsc::UnboundedReceiver<()>,
) {
    while crash_rx.recv().await.is_some() {
        let mut restart_time = RESTART_TIME;
        if let (Some(state), Some(server)) = (state.upgrade(), server.upgrade()) {
            server.set_online(false);
            let mut state = lock(&state);
            state.crashes += 1;
            restart_time = state.faults.restart_time.unwrap_or(RESTART_TIME);
        }
        tokio::time::sleep(restart_time).await;
        let (Some(state), Some(server)) = (state.upgrade(), server.upgrade()) else {
            return;
        };
        // Requests that arrived before the process was off the network crashed nothing more.
        while crash_rx.try_recv().is_ok() {}
        lock(&state).restart();
        server.set_online(true);
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
    let is_admin = path.starts_with("/limpetloom/") && req.method() != Method::PUT;
    if is_admin {
        let mut state = lock(&state);
        if let Some(flood) = state.faults.admin_flood {
            return Some(state.flood(flood, &answer(StatusCode::OK, "")));
        }
    }
    match &*path {
        "/limpetloom/report" => {
            let state = lock(&state);
            let mut answer = json_answer(&report(&state));
            state.faults.describe_process_in_report(&mut answer);
            Some(answer)
        }
        "/limpetloom/order" => handle_order(&state, kind, req).await,
        path if path.starts_with("/limpetloom/stage-put/") => {
            // The platform's `numItems` is the index of the piece here.
            let index = query_number(&req, "numItems");
            let bytes = read_body(req).await?;
            lock(&state).staged.insert(index, bytes);
            Some(answer(StatusCode::OK, ""))
        }
        path if path.starts_with("/limpetloom/stage-get/") => {
            // The platform's `numItems` is the index of the piece here.
            let index = query_number(&req, "numItems");
            let staged = lock(&state).staged.get(&index).cloned();
            Some(staged.map_or_else(
                || answer(StatusCode::NOT_FOUND, ""),
                |bytes| answer(StatusCode::OK, bytes),
            ))
        }
        _ => run_request(&state, kind, req).await,
    }
}

fn report(state: &State) -> Value {
    let mut report = json!({
        "stage": "both", "models": models(state), "busy": false, "seq": state.orders,
        "numWaiting": 0, "numRunning": 0, "kvUsed": 0, "kvTotal": 90_000, "handles": 0,
        "pace": 1.0, "born": state.incarnation,
    });
    if let Some(version) = state.version {
        report["layers"] = json!({"from": 0, "target": LAYERS, "version": version});
    }
    report
}

/// Handles a load order, which is accepted once all pieces are staged. Loading takes no time.
async fn handle_order(state: &Mutex<State>, kind: SiteEngineKind, req: Request<Incoming>) -> Reply {
    let order: Value = serde_json::from_slice(&read_body(req).await?).ok()?;
    let mut state = lock(state);
    let SiteEngineKind::Model { pieces, .. } = kind else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let is_staged = (0..pieces).all(|index| state.staged.contains_key(&index));
    if !is_staged || order["operation"] != "start" {
        return Some(answer(StatusCode::CONFLICT, ""));
    }
    state.orders += 1;
    state.version = order["version"].as_u64();
    Some(answer(StatusCode::ACCEPTED, ""))
}

/// Runs a request of a caller; `None` closes the connection without an answer.
async fn run_request(state: &Mutex<State>, kind: SiteEngineKind, req: Request<Incoming>) -> Reply {
    let request_id = header(&req, "request-id").to_owned();
    let expected_id = header(&req, "expect-instance").to_owned();
    let prefix = header(&req, "prompt-prefix").to_owned();
    let last_event = header(&req, "last-event-id").parse().unwrap_or(0);
    let headers = req.headers().clone();
    let path = req.uri().path_and_query()?.to_string();
    let body = read_body(req).await?;
    let queue_time = lock(state).faults.queue_time;
    if let Some(queue_time) = queue_time {
        tokio::time::sleep(queue_time).await;
    }
    let (mut faults, version, id, open) = {
        let mut state = lock(state);
        state.arrivals.push(Instant::now());
        if !expected_id.is_empty() && expected_id != state.id {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        if state.faults.shed_requests {
            return Some(state.faults.refusal());
        }
        let is_model = matches!(kind, SiteEngineKind::Model { .. });
        if is_model && state.version.is_none() {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        let version = state.version;
        state.runs.push(SiteRun {
            request_id: request_id.clone(),
            headers,
            body: body.clone(),
            path,
            begun_at: Instant::now(),
            version,
        });
        let open = state.open_answers.clone();
        (state.faults.clone(), state.version, state.id.clone(), open)
    };
    tokio::time::sleep(faults.silent_before_head).await;
    let has_part = |part: &String| shared_parts(&prefix).any(|shared| shared == part);
    let is_harmful =
        faults.crash_on_part.as_ref().is_some_and(has_part) || faults.crash_on_body == Some(body);
    if is_harmful {
        // The answer has begun, and no event follows.
        faults.silent_after = Some(0);
        lock(state).crash_tx.send(()).ok()?;
    }
    if faults.lose_answers {
        return None;
    }
    if let Some(raw) = faults.raw {
        return Some(raw.into_response());
    }
    let mut answer = match kind {
        SiteEngineKind::Plain => match faults.silent_for {
            Some(pause) => Response::new(paused_body(&plain_text(&id), pause, open)),
            None => answer(StatusCode::OK, plain_text(&id)),
        },
        SiteEngineKind::Model { events, .. } => {
            Response::new(stream_body(events, last_event, &faults, open))
        }
    };
    faults.describe_process(&mut answer);
    let headers = answer.headers_mut();
    let echoed_id = match faults.wrong_request_ids {
        true => "another",
        false => &request_id,
    };
    headers.insert("request-id", echoed_id.parse().ok()?);
    if !faults.unsigned {
        headers.insert("server-stamp", format!("stamp-of-{id}").parse().ok()?);
    }
    if let Some(version) = version {
        headers.insert("weight-versions", version.into());
    }
    if let Some(flood) = faults.flood {
        return Some(lock(state).flood(flood, &answer));
    }
    if let Some(end) = faults.without_length {
        let body = match kind {
            SiteEngineKind::Plain => {
                let mut text = plain_text(&id);
                text.truncate(match end {
                    ConnectionEnd::Close => text.len(),
                    ConnectionEnd::Reset => text.len() / 2,
                });
                text
            }
            SiteEngineKind::Model { events, .. } => {
                stream_text(events, last_event, faults.break_after, end)
            }
        };
        return Some(RawAnswer::without_length(&answer, body.as_bytes(), end).into_response());
    }
    Some(answer)
}

/// Ids in a `prompt-prefix` header, without the last one, which belongs to the request itself.
fn shared_parts(prefix: &str) -> impl Iterator<Item = &str> {
    let shared = prefix.rsplit_once(',').map_or("", |(shared, _)| shared);
    let ids = shared.split(',').filter_map(|part| part.split(':').next());
    ids.map(str::trim)
}

/// Body of a plain service's answer.
fn plain_text(id: &str) -> String {
    format!("done by {id}")
}

/// The events after number `last_event`, up to number `events`, as far as they are sent before a
/// break. One in good order leaves a part of the next event.
fn stream_text(
    events: u64,
    last_event: u64,
    break_after: Option<u64>,
    end: ConnectionEnd,
) -> String {
    let last = break_after.unwrap_or(events).min(events);
    let mut text: String = (last_event + 1..=last).map(event_text).collect();
    if last < events && end == ConnectionEnd::Close {
        text.push_str(&event_text(last + 1)[..PARTIAL_EVENT_BYTES]);
    }
    text
}

/// Body with a text whose second half comes after a pause.
fn paused_body(text: &str, pause: Duration, open: Arc<()>) -> Body {
    let (first, second) = text.split_at(text.len() / 2);
    let parts = [(Duration::ZERO, first), (pause, second)];
    let parts = parts.map(|(wait, part)| (wait, Bytes::from(part.to_owned())));
    let frames = stream::unfold((parts.into_iter(), open), |(mut parts, open)| async move {
        let (wait, part) = parts.next()?;
        tokio::time::sleep(wait).await;
        Some((Ok(Frame::data(part)), (parts, open)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Body with the events after number `last_event`, up to number `events`.
fn stream_body(events: u64, last_event: u64, faults: &SiteEngineFaults, open: Arc<()>) -> Body {
    let (break_after, silent_after) = (faults.break_after, faults.silent_after);
    let silent_for = faults.silent_for;
    let frames = stream::unfold((last_event + 1, open), move |(id, open)| async move {
        if id > events {
            return None;
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        match silent_for {
            Some(pause) if silent_after == Some(id - 1) => tokio::time::sleep(pause).await,
            None if silent_after.is_some_and(|last| id > last) => std::future::pending().await,
            _ => {}
        }
        let event = event_text(id);
        let frame = match break_after {
            Some(last) if id > last + 1 => {
                Err(io::Error::other("injected fault: the stream breaks"))
            }
            Some(last) if id > last => {
                let part = event[..PARTIAL_EVENT_BYTES].to_owned();
                Ok(Frame::data(Bytes::from(part)))
            }
            _ => Ok(Frame::data(Bytes::from(event))),
        };
        Some((frame, (id + 1, open)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
