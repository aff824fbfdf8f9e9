//! A model engine.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
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

struct Loaded {
    version: u64,
    ready_at: Instant,
}

struct State {
    id: String,
    born: u64,
    seq: u64,
    staged: BTreeMap<u64, Vec<u8>>,
    loaded: Option<Loaded>,
}

/// A running engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    name: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// By how much the ids of a stream's events increase.
    id_step: u64,
    record: Recorder,
}

impl Engine {
    /// Starts an engine that holds version 1, which is also staged.
    pub fn start(
        name: &str,
        addr: SocketAddr,
        id_step: u64,
        record: Recorder,
    ) -> std::io::Result<Self> {
        let engine = Self {
            name: name.to_owned(),
            addr,
            state: Arc::new(Mutex::new(State {
                id: format!("i-{name}-1"),
                born: now_ms(),
                seq: 0,
                staged: (0..PIECES).map(|index| (index, piece(1, index))).collect(),
                loaded: Some(Loaded {
                    version: 1,
                    ready_at: Instant::now(),
                }),
            })),
            id_step,
            record,
        };
        let served = engine.clone();
        http::serve(
            addr,
            Arc::new(move |request, stream| served.handle(request, stream)),
        )?;
        Ok(engine)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
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
                state.staged.insert(index.unwrap_or(0), request.body);
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
        let state = self.state.lock().unwrap();
        let bytes = state.staged.get(&index).cloned();
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
        let is_loading = state
            .loaded
            .as_ref()
            .is_some_and(|loaded| now < loaded.ready_at);
        let Some(version) = version.filter(|_| body.contains("\"start\"")) else {
            return http::json(stream, "400 Bad Request", "{}");
        };
        if state.served() == Some(version) {
            return http::json(stream, "200 OK", "{}");
        }
        if is_loading {
            return http::json(stream, "409 Conflict", "{}");
        }
        if !(0..PIECES).all(|index| state.is_sound(version, index)) {
            return http::json(stream, "409 Conflict", "{}");
        }
        self.record.line(format!(
            "{}: order for version {version} accepted",
            self.name
        ));
        state.seq += 1;
        state.loaded = Some(Loaded {
            version,
            ready_at: now + LOAD_TIME,
        });
        http::json(stream, "202 Accepted", "{}")
    }

    /// Runs a request of a requester.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let (own_id, version) = {
            let state = self.state.lock().unwrap();
            (state.id.clone(), state.served())
        };
        let echo = format!("Request-Id: {id}\r\n");
        if request
            .header("expect-instance")
            .is_some_and(|meant| meant != own_id)
        {
            return http::answer(stream, "421 Misdirected Request", &echo, b"");
        }
        let Some(version) = version else {
            let head = format!("{echo}Not-Executed: 1\r\n");
            return http::answer(stream, "503 Service Unavailable", &head, b"");
        };
        self.record
            .line(format!("{}: runs {id} on version {version}", self.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {own_id}.{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let step = self.id_step;
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        for event in last.unwrap_or(0) / step + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {}\ndata: token-{event}\n\n", event * step);
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
        staged.is_some_and(|staged| *staged == piece(version, index))
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
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |now| now.as_millis() as u64)
}
