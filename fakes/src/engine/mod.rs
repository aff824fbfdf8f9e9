//! Stand-in for a model engine.
//!
//! It batches continuously: every running request gets one token in each step, and a step takes
//! longer the more requests run. After a start or a load it is cold: it is slower and bears few
//! requests, and bears more with each one that it completes. A cold engine that holds more than it
//! bears crashes. The answer to a request follows from its prompt, so that a client can tell
//! whether it got the whole answer to its own request.

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

/// Running stand-in for a model engine.
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
    /// The system's error when the address can not be bound.
    pub fn spawn(cfg: EngineConfig) -> io::Result<Self> {
        let addr = cfg.addr;
        let shared = Arc::new(Shared::new(cfg));
        let state = Arc::clone(&shared);
        let server = Server::spawn(addr, move |req| handle(Arc::clone(&state), req))?;
        let server = Arc::new(server);
        let tasks = [
            tokio::spawn(batch::run(Arc::clone(&shared))),
            tokio::spawn(batch::report(Arc::clone(&shared))),
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

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// What was served so far.
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().counters.clone()
    }

    /// Digest of the version that is active now.
    pub fn version(&self) -> Option<String> {
        self.shared.lock().version()
    }

    /// Instance of the engine's process.
    pub fn instance(&self) -> u64 {
        self.shared.lock().instance
    }

    /// Requests that run or wait now.
    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight()
    }

    /// Requests that the engine bears now.
    pub fn limit(&self) -> u32 {
        self.shared.limit(&self.shared.lock())
    }

    /// Draw in milliwatts now, without lag.
    pub fn power_mw(&self) -> u64 {
        self.shared.power_mw(&self.shared.lock())
    }

    /// Makes the engine cold without a word.
    pub fn turn_cold(&self) {
        self.shared.lock().completed_since_cold = 0;
    }

    /// Crashes the engine, which comes back after its restart time.
    pub fn crash(&self) {
        self.shared.crash(&mut self.shared.lock());
    }

    /// Takes the engine off the network, or back.
    pub fn set_online(&self, up: bool) {
        self.server.set_online(up);
    }
}

/// Takes the server down after a crash and up again after the restart time.
async fn supervise(shared: Arc<Shared>, server: Weak<Server>) {
    loop {
        shared.crashed.notified().await;
        set_online(&server, false);
        tokio::time::sleep(shared.cfg.restart_time).await;
        shared.lock().is_down = false;
        set_online(&server, true);
    }
}

fn set_online(server: &Weak<Server>, up: bool) {
    if let Some(server) = server.upgrade() {
        server.set_online(up);
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
