//! Stand-in for the platform's host list.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::reply::answer;
use crate::server::{ANY_PORT, Server};

/// What runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// One line of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// What runs there.
    pub role: Role,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address of the traffic listener.
    pub traffic: SocketAddr,
    /// True when the host is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Configuration of the stand-in.
#[derive(Clone, Debug)]
pub struct HostsConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Time after which a change shows in the list.
    pub lag: Duration,
}

impl Default for HostsConfig {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            lag: Duration::ZERO,
        }
    }
}

/// Running stand-in for the host list.
#[derive(Debug)]
pub struct Hosts {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    hosts: Vec<Host>,
    /// Lists that were in force, with the time since when; the oldest is what is shown.
    history: Vec<(Instant, Vec<Host>)>,
    reads: u64,
}

impl Hosts {
    /// Starts the stand-in with an empty list.
    ///
    /// # Errors
    /// The system's error when the address can not be bound.
    pub fn spawn(cfg: HostsConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            lag: cfg.lag,
            inner: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let server = Server::spawn(cfg.addr, move |_| {
            let list = shared.shown();
            async move { Some(answer(StatusCode::OK, list)) }
        })?;
        Ok(Self { server, state })
    }

    /// Address of the host list.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Takes the list off the network, or back.
    pub fn set_online(&self, up: bool) {
        self.server.set_online(up);
    }

    /// Number of reads so far.
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }

    /// Changes the list; the change shows after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut inner = self.state.lock();
        change(&mut inner.hosts);
        let hosts = inner.hosts.clone();
        inner.history.push((Instant::now(), hosts));
    }

    /// Adds a host, in place of one with the same name.
    pub fn add(&self, host: Host) {
        self.update(|hosts| {
            hosts.retain(|other| other.host != host.host);
            hosts.push(host);
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.update(|hosts| hosts.retain(|host| host.host != name));
    }

    /// Marks a host as leaving, or not.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        self.update(|hosts| {
            hosts
                .iter_mut()
                .filter(|host| host.host == name)
                .for_each(|host| host.leaving = leaving);
        });
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shown(&self) -> Vec<u8> {
        let mut inner = self.lock();
        inner.reads += 1;
        let visible = inner
            .history
            .iter()
            .rposition(|(since, _)| since.elapsed() >= self.lag);
        if let Some(visible) = visible {
            inner.history.drain(..visible);
        }
        let shown = match visible {
            Some(_) => inner.history.first().map(|(_, hosts)| hosts.as_slice()),
            None => None,
        };
        serde_json::to_vec(shown.unwrap_or_default()).unwrap_or_default()
    }
}
