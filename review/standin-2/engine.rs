//! A model engine.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::origin::{PIECES, piece};
use crate::record::Recorder;

/// Time to load a version; `warmS` on the site `chakra-loom`.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Events of a stream, and the time before each.
pub const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a piece that turned bad counts, by the rule WHOLE.
const BAD_TIME: Duration = Duration::from_secs(3);

struct Staged {
    bytes: Vec<u8>,
    /// Time at which it turned bad.
    bad_since: Option<Instant>,
}

struct Loaded {
    version: u64,
    ready_at: Instant,
    /// Pieces that were bad for longer than `BAD_TIME` or missing when they were taken.
    bad_pieces: Vec<u64>,
}

struct State {
    id: String,
    born: u64,
    boots: u64,
    seq: u64,
    staged: BTreeMap<u64, Staged>,
    loaded: Option<Loaded>,
    /// Requests that began with a version whose pieces were bad.
    bad_runs: u64,
    /// Reads of staged pieces since the last write.
    reads: u64,
}

/// Behaviour that a scenario sets.
#[derive(Clone, Copy, Default)]
pub struct Behaviour {
    /// Time for the read of a staged piece.
    pub read_time: Duration,
    /// Version of whose staged pieces one turns bad while they are read back.
    pub spoil: Option<u64>,
}

/// A running engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    name: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    online: Arc<AtomicBool>,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Recorder,
}

impl Engine {
    /// Starts an engine that holds version 1, which is also staged.
    pub fn start(name: &str, addr: SocketAddr, record: Recorder) -> std::io::Result<Self> {
        let staged = |index| Staged { bytes: piece(1, index), bad_since: None };
        let engine = Self {
            name: name.to_owned(),
            addr,
            state: Arc::new(Mutex::new(State {
                id: format!("i-{name}-1"),
                born: now_ms(),
                boots: 1,
                seq: 0,
                staged: (0..PIECES).map(|index| (index, staged(index))).collect(),
                loaded: Some(Loaded {
                    version: 1,
                    ready_at: Instant::now(),
                    bad_pieces: Vec::new(),
                }),
                bad_runs: 0,
                reads: 0,
            })),
            online: Arc::new(AtomicBool::new(true)),
            behaviour: Arc::default(),
            record,
        };
        let served = engine.clone();
        http::serve(
            addr,
            engine.online.clone(),
            Arc::new(move |request, stream| served.handle(request, stream)),
        )?;
        Ok(engine)
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// The engine loses power: all connections end, and what was staged is lost.
    pub fn power_off(&self) {
        self.online.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        state.staged.clear();
        state.loaded = None;
    }

    /// Starts again as a new boot with a new id.
    pub fn power_on(&self) {
        let mut state = self.state.lock().unwrap();
        state.boots += 1;
        state.id = format!("i-{}-{}", self.name, state.boots);
        state.born = now_ms();
        state.seq = 0;
        self.online.store(true, Ordering::SeqCst);
    }

    pub fn is_online(&self) -> bool {
        self.online.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Version that it serves; `None` while it loads.
    pub fn version(&self) -> Option<u64> {
        self.state.lock().unwrap().served()
    }

    pub fn bad_runs(&self) -> u64 {
        self.state.lock().unwrap().bad_runs
    }

    /// Its entry in the store.
    pub fn spec(&self, zone: &str, seq: u64) -> String {
        let state = self.state.lock().unwrap();
        format!(
            r#"{{"service":"writers","address":"{}","zone":"{zone}","version":"s1","slots":16,"state":"ready","coldLeftMs":0,"seq":{seq},"born":{},"stage":"both"{}}}"#,
            self.addr,
            state.born,
            state.models()
        )
    }

    fn handle(&self, request: Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let index = request.number("numItems");
        match (&*request.method, &*request.path) {
            ("GET", "/limpetloom/report") => {
                let body = self.state.lock().unwrap().report();
                http::json(stream, "200 OK", &body)
            }
            ("POST", "/limpetloom/order") => self.order(&request, stream),
            ("PUT", path) if path.starts_with("/limpetloom/stage-put/") => {
                let mut state = self.state.lock().unwrap();
                let staged = Staged { bytes: request.body, bad_since: None };
                state.staged.insert(index.unwrap_or(0), staged);
                state.reads = 0;
                drop(state);
                http::json(stream, "200 OK", "{}")
            }
            ("GET", path) if path.starts_with("/limpetloom/stage-get/") => {
                self.read_staged(index.unwrap_or(0), stream)
            }
            _ => self.run(&request, stream),
        }
    }

    fn read_staged(&self, index: u64, stream: &mut TcpStream) -> std::io::Result<bool> {
        let behaviour = *self.behaviour.lock().unwrap();
        thread::sleep(behaviour.read_time);
        let mut state = self.state.lock().unwrap();
        let bytes = state.staged.get(&index).map(|staged| staged.bytes.clone());
        state.reads += 1;
        // Three pieces have been read back after the last write: the first one turns bad.
        if let Some(version) = behaviour.spoil
            && state.reads == 3
            && (0..PIECES).all(|index| state.is_sound(version, index))
            && let Some(staged) = state.staged.get_mut(&0)
        {
            staged.bytes[100] ^= 1;
            staged.bad_since = Some(Instant::now());
            self.record.line(format!("{}: staged piece 0 of version {version} turns bad", self.name));
        }
        drop(state);
        match bytes {
            Some(bytes) => http::answer(stream, "200 OK", "", &bytes),
            None => http::json(stream, "404 Not Found", "{}"),
        }
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let version = number_field(&body, "version");
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_loading = state.loaded.as_ref().is_some_and(|loaded| now < loaded.ready_at);
        let Some(version) = version.filter(|_| body.contains("\"start\"")) else {
            return http::json(stream, "400 Bad Request", "{}");
        };
        if state.served() == Some(version) {
            return http::json(stream, "200 OK", "{}");
        }
        if is_loading {
            return http::json(stream, "409 Conflict", "{}");
        }
        let is_bad = |index: &u64| match state.staged.get(index) {
            None => true,
            Some(staged) => {
                let is_recent = staged
                    .bad_since
                    .is_some_and(|since| now.saturating_duration_since(since) <= BAD_TIME);
                !state.is_sound(version, *index) && !is_recent
            }
        };
        let bad_pieces: Vec<u64> = (0..PIECES).filter(is_bad).collect();
        let ages: Vec<u128> = bad_pieces
            .iter()
            .filter_map(|index| Some(state.staged.get(index)?.bad_since?.elapsed().as_millis()))
            .collect();
        self.record.line(format!(
            "{}: order for version {version} accepted; pieces bad for more than 3 s or missing: {bad_pieces:?}, bad for {ages:?} ms",
            self.name
        ));
        state.seq += 1;
        state.loaded = Some(Loaded { version, ready_at: now + LOAD_TIME, bad_pieces });
        http::json(stream, "202 Accepted", "{}")
    }

    /// Runs a request of a requester.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let (own_id, version, is_bad) = {
            let mut state = self.state.lock().unwrap();
            let version = state.served();
            let is_bad = version.is_some()
                && state.loaded.as_ref().is_some_and(|loaded| !loaded.bad_pieces.is_empty());
            let is_meant = request.header("expect-instance").is_none_or(|meant| meant == state.id);
            state.bad_runs += u64::from(is_bad && is_meant);
            (state.id.clone(), version, is_bad)
        };
        let echo = format!("Request-Id: {id}\r\n");
        if request.header("expect-instance").is_some_and(|meant| meant != own_id) {
            return http::answer(stream, "421 Misdirected Request", &echo, b"");
        }
        let Some(version) = version else {
            let head = format!("{echo}Not-Executed: 1\r\n");
            return http::answer(stream, "503 Service Unavailable", &head, b"");
        };
        let bad = if is_bad { ", with a bad piece" } else { "" };
        self.record.line(format!("{}: runs {id} on version {version}{bad}", self.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {own_id}.{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let first = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        for event in first.unwrap_or(0) + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if !self.is_online() {
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

impl State {
    fn served(&self) -> Option<u64> {
        let loaded = self.loaded.as_ref()?;
        (Instant::now() >= loaded.ready_at).then_some(loaded.version)
    }

    fn is_sound(&self, version: u64, index: u64) -> bool {
        let staged = self.staged.get(&index);
        staged.is_some_and(|staged| staged.bytes == piece(version, index))
    }

    /// Fields on what it holds.
    fn models(&self) -> String {
        match self.served() {
            Some(version) => format!(
                r#","models":[{{"name":"m0","version":{version},"adapters":[]}}],"layers":{{"from":0,"target":16,"version":{version}}}"#
            ),
            None => r#","models":[]"#.to_owned(),
        }
    }

    fn report(&self) -> String {
        let is_busy = self.loaded.is_some() && self.served().is_none();
        format!(
            r#"{{"stage":"both","busy":{is_busy},"seq":{},"numWaiting":0,"numRunning":0,"kvUsed":0,"kvTotal":1640000,"handles":0,"pace":1.0,"born":{}{}}}"#,
            self.seq,
            self.born,
            self.models()
        )
    }
}

/// A number in a JSON object without nesting.
fn number_field(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |now| now.as_millis() as u64)
}
