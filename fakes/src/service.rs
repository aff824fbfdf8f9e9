//! Stand-in for a plain service whose calls have side effects, counted by idempotency key.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::engine::answer_tag;
use crate::raw::RawAnswer;
use crate::reply::{Reply, answer, header, read_body};
use crate::server::{ANY_PORT, Server};

/// Configuration of a stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Time that a call takes before its effect.
    pub delay: Duration,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            delay: Duration::from_millis(2),
        }
    }
}

/// Injected faults of a stand-in service, which a test can change at any time.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Additional time that each call takes.
    pub slow: Duration,
    /// Number of upcoming calls that take effect, but whose connection is closed without an answer.
    pub lose_answer_next: u32,
    /// Number of upcoming calls that are refused with status 503 and have no effect.
    pub refuse_next: u32,
    /// Number of upcoming answers that carry the id of another request.
    pub wrong_id_next: u32,
    /// What calls are answered with once they have taken effect.
    pub raw: Option<RawAnswer>,
}

/// Counts since the stand-in was spawned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounters {
    /// Calls that took effect.
    pub runs: u64,
    /// Idempotency keys whose calls took effect more than once.
    pub duplicated_keys: u64,
    /// Calls that took effect, but whose answer was lost.
    pub lost_answers: u64,
    /// Calls without an idempotency key that took effect.
    pub keyless: u64,
}

/// Running stand-in for a plain service; dropping it stops it.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    cfg: ServiceConfig,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Random instance id; changes with a restart.
    instance: u64,
    /// Calls in progress.
    running: u32,
    /// How many calls with each idempotency key took effect.
    runs: HashMap<String, u64>,
    faults: ServiceFaults,
    counters: ServiceCounters,
}

impl Service {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(cfg: ServiceConfig) -> io::Result<Self> {
        let addr = cfg.addr;
        let inner = Inner {
            instance: rand::random(),
            running: 0,
            runs: HashMap::new(),
            faults: ServiceFaults::default(),
            counters: ServiceCounters::default(),
        };
        let state = Arc::new(State {
            cfg,
            inner: Mutex::new(inner),
        });
        let shared = Arc::clone(&state);
        let server = Server::spawn(addr, move |req| handle(Arc::clone(&shared), req))?;
        Ok(Self { server, state })
    }

    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.state.lock().faults);
    }

    /// Counts so far.
    pub fn counters(&self) -> ServiceCounters {
        self.state.lock().counters.clone()
    }

    /// How many calls with an idempotency key took effect.
    pub fn runs(&self, key: &str) -> u64 {
        self.state.lock().runs.get(key).copied().unwrap_or_default()
    }

    /// Takes the service off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Closes all connections and continues as another instance, with its effects kept.
    pub fn restart(&self) {
        self.server.set_online(false);
        self.state.lock().instance = rand::random();
        self.server.set_online(true);
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in progress until it is dropped.
struct RunningCall<'a>(&'a State);

impl<'a> RunningCall<'a> {
    fn new(state: &'a State) -> Self {
        state.lock().running += 1;
        Self(state)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    if req.uri().path() == "/admin/status" {
        let inner = state.lock();
        let status = json!({"instance": inner.instance, "running": inner.running});
        return Some(crate::reply::json(&status));
    }
    let id = header(&req, "x-request-id").to_owned();
    let key = header(&req, "idempotency-key").to_owned();
    let path = req.uri().path().to_owned();
    let body = read_body(req).await?;
    let _running = RunningCall::new(&state);
    if take_fault(&mut state.lock().faults.refuse_next) {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    let slow = state.lock().faults.slow;
    tokio::time::sleep(state.cfg.delay + slow).await;
    let run = apply_effect(&state, &key)?;
    let raw = state.lock().faults.raw.clone();
    if let Some(raw) = raw {
        return Some(raw.into_response());
    }
    let tag = answer_tag(&String::from_utf8_lossy(&body));
    let mut res = crate::reply::json(&json!({
        "path": path,
        "key": key,
        "run": run,
        "tag": tag,
    }));
    let has_wrong_id = take_fault(&mut state.lock().faults.wrong_id_next);
    let id = if has_wrong_id { "another-request" } else { &id };
    res.headers_mut().insert("x-request-id", id.parse().ok()?);
    Some(res)
}

/// Counts the effect of a call and returns how many calls with its key have taken effect; `None`
/// when its answer is to be lost.
fn apply_effect(state: &State, key: &str) -> Option<u64> {
    let mut inner = state.lock();
    inner.counters.runs += 1;
    let run = if key.is_empty() {
        inner.counters.keyless += 1;
        1
    } else {
        let runs = inner.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    };
    inner.counters.duplicated_keys += u64::from(run == 2);
    if take_fault(&mut inner.faults.lose_answer_next) {
        inner.counters.lost_answers += 1;
        return None;
    }
    Some(run)
}

/// Decrements the number of upcoming faults; true when this call gets the fault.
fn take_fault(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
