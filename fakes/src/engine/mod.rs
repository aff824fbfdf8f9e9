//! Stand-in for a model engine with continuous batching.
//!
//! Each step produces one token for every running request and takes longer the more requests run.
//! After it starts or loads weights, the engine is cold: it is slower, and its limit of requests is
//! low and grows with each completed request. A cold engine crashes on a request above its limit,
//! unless configured otherwise. The answer to a request is derived from its prompt, so that a
//! client can check that it received the whole answer to its own request.

mod admin;
mod batch;
mod chat;
mod config;
mod job;
mod prefix;
mod staging;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio_util::task::AbortOnDropHandle;

use crate::reply::{Reply, answer};
use crate::server::Server;

pub use chat::answer_tag;
pub use config::{EngineConfig, EngineCounters, EngineFaults};
use state::Shared;

/// Running stand-in for a model engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    server: Arc<Server>,
    shared: Arc<Shared>,
    _tasks: [AbortOnDropHandle<()>; 3],
}

impl Engine {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(cfg: EngineConfig) -> io::Result<Self> {
        let addr = cfg.addr;
        let shared = Arc::new(Shared::new(cfg));
        let state = Arc::clone(&shared);
        let server = Server::spawn(addr, move |req| handle(Arc::clone(&state), req))?;
        let server = Arc::new(server);
        let tasks = [
            tokio::spawn(batch::run(Arc::clone(&shared))),
            tokio::spawn(batch::report_load(Arc::clone(&shared))),
            tokio::spawn(supervise(Arc::clone(&shared), Arc::downgrade(&server))),
        ];
        Ok(Self {
            server,
            shared,
            _tasks: tasks.map(AbortOnDropHandle::new),
        })
    }

    /// Address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Counts since the engine was spawned.
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().counters.clone()
    }

    /// Digest of the active version.
    pub fn version(&self) -> Option<String> {
        self.shared.lock().version()
    }

    /// Instance id, which changes with each crash.
    pub fn instance(&self) -> u64 {
        self.shared.lock().instance
    }

    /// Number of running and waiting requests.
    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight()
    }

    /// Number of running and waiting requests above which the engine, while cold, is overloaded.
    pub fn limit(&self) -> u32 {
        self.shared.limit(&self.shared.lock())
    }

    /// Current power in milliwatts, without the lag of the status report.
    pub fn power_mw(&self) -> u64 {
        self.shared.power_mw(&self.shared.lock())
    }

    /// Makes the engine cold but keeps its instance and version, so that its status does not show
    /// the change.
    pub fn turn_cold(&self) {
        self.shared.lock().completed_since_cold = 0;
    }

    /// Crashes the engine, which starts again after its restart time.
    pub fn crash(&self) {
        self.shared.crash(&mut self.shared.lock());
    }

    /// Takes the engine off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }
}

/// Takes the server offline after a crash and back online after the restart time.
async fn supervise(shared: Arc<Shared>, server: Weak<Server>) {
    loop {
        shared.crashed.notified().await;
        set_online_if_running(&server, false);
        tokio::time::sleep(shared.cfg.restart_time).await;
        shared.lock().is_down = false;
        set_online_if_running(&server, true);
    }
}

fn set_online_if_running(server: &Weak<Server>, online: bool) {
    if let Some(server) = server.upgrade() {
        server.set_online(online);
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    if shared.lock().is_down {
        return None;
    }
    let path = req.uri().path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat::complete(shared, req).await,
        (Method::GET, "/admin/status") => Some(admin::status(&shared)),
        (Method::POST, "/admin/cancel") => admin::cancel(&shared, req).await,
        (Method::POST, "/admin/pause") => admin::pause(&shared, req).await,
        (Method::POST, "/admin/resume") => admin::resume(&shared, req).await,
        (Method::POST, "/admin/load") => admin::load(&shared, req).await,
        (Method::PUT, path) => admin::stage(&shared, path, req).await,
        _ => Some(answer(StatusCode::NOT_FOUND, "")),
    }
}
