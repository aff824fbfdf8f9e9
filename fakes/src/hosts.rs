//! Stand-in for the platform's host list, served as a JSON array on every path.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::reply::answer;
use crate::server::{ANY_PORT, Server};

/// Kind of process on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry, which accepts requests from callers.
    Entry,
    /// Agent, which runs requests on the endpoints of its host.
    Agent,
}

/// One host of the list, in the form in which it is served.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the host.
    pub region: String,
    /// Kind of process on the host.
    pub role: Role,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address of the traffic listener.
    pub traffic: SocketAddr,
    /// True when the host is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Configuration of a stand-in host list.
#[derive(Clone, Debug)]
pub struct HostsConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Delay until a change is visible in the served list.
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

/// Running stand-in for the host list; dropping it stops it.
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
    /// Successive lists, oldest first, each with the time of its change. The list that is visible
    /// now and all later ones are kept.
    history: Vec<(Instant, Vec<Host>)>,
    reads: u64,
}

impl Hosts {
    /// Starts the stand-in with an empty list.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn(cfg: HostsConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            lag: cfg.lag,
            inner: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let server = Server::spawn(cfg.addr, move |_| {
            let list = shared.read_visible();
            async move { Some(answer(StatusCode::OK, list)) }
        })?;
        Ok(Self { server, state })
    }

    /// Address of the host list.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Takes the list off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Number of requests for the list so far.
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }

    /// Changes the list; clients see the change after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut inner = self.state.lock();
        change(&mut inner.hosts);
        let hosts = inner.hosts.clone();
        inner.history.push((Instant::now(), hosts));
    }

    /// Adds a host, replacing one with the same name.
    pub fn add(&self, host: Host) {
        self.update(|hosts| {
            hosts.retain(|other| other.host != host.host);
            hosts.push(host);
        });
    }

    /// Removes the host with a name, if it is listed.
    pub fn remove(&self, name: &str) {
        self.update(|hosts| hosts.retain(|host| host.host != name));
    }

    /// Sets or clears the leaving mark of a host.
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

    /// Counts a read and returns the visible list as JSON; an empty list before the first change is
    /// older than the lag.
    fn read_visible(&self) -> Vec<u8> {
        let mut inner = self.lock();
        inner.reads += 1;
        let visible_index = inner
            .history
            .iter()
            .rposition(|(since, _)| since.elapsed() >= self.lag);
        if let Some(visible_index) = visible_index {
            inner.history.drain(..visible_index);
        }
        let visible = match visible_index {
            Some(_) => inner.history.first().map(|(_, hosts)| hosts.as_slice()),
            None => None,
        };
        serde_json::to_vec(visible.unwrap_or_default()).unwrap_or_default()
    }
}
