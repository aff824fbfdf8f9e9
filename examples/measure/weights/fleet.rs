//! Hosts that run the product's weight service over rate-limited links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::types::Digest;
use limpetloom::weights::{Peer, WeightsConfig, WeightsNotice, WeightsService, WeightsState};
use tokio::sync::mpsc;

use super::host::{Context, Listener, Role, Seen, Socket, listen};
use super::model::Copy;
use super::net::{HostLink, Net, Pipe};

/// Copies that a host's link carries in T, each way.
pub const HOST_COPIES: f64 = 2.0;
/// Copies that the origin's link carries in T.
pub const ORIGIN_COPIES: f64 = 4.0;
/// Copies that the link between regions carries in T.
pub const BETWEEN_COPIES: f64 = 4.0;

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_millis(500);

/// Size of a fleet and of its links.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of regions.
    pub regions: usize,
    /// The time T.
    pub t: Duration,
    /// Seed of every random choice.
    pub seed: u64,
    /// Host whose link has a tenth of the rate.
    pub slow: Option<usize>,
    /// Host that corrupts one chunk in twenty that it sends.
    pub corrupts: Option<usize>,
}

/// One version that became complete at a host.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Number of the host.
    pub host: usize,
    /// The version.
    pub version: Digest,
    /// Time at which it was complete.
    pub at: Instant,
}

/// A running fleet.
pub struct Fleet {
    /// Its shape.
    pub shape: Shape,
    /// The links.
    pub net: Arc<Net>,
    /// Counters of the listeners.
    pub seen: Arc<Seen>,
    cx: Context,
    origin_addr: SocketAddr,
    origin: Option<Listener>,
    peers: Vec<Peer>,
    sockets: Vec<Socket>,
    hosts: Vec<Option<(WeightsService, Listener)>>,
    ready_tx: mpsc::UnboundedSender<Ready>,
    ready: mpsc::UnboundedReceiver<Ready>,
}

impl Fleet {
    /// Starts the origin and binds the hosts, none of which runs yet.
    pub fn new(shape: Shape, copies: &Arc<Vec<Copy>>) -> Self {
        let net = Arc::new(links(&shape, copies[0].size as f64));
        let seen = Arc::new(Seen::default());
        let cx = Context {
            net: net.clone(),
            seen: seen.clone(),
            copies: copies.clone(),
        };
        let socket = Socket::bind();
        let origin_addr = socket.addr();
        let origin = listen(socket.listener(), Role::Origin(copies.clone()), cx.clone());
        let sockets: Vec<Socket> = (0..shape.hosts).map(|_| Socket::bind()).collect();
        let peers = sockets.iter().zip(&net.hosts).enumerate();
        let peers = peers.map(|(number, (socket, link))| peer(number, link.region, socket.addr()));
        let peers = peers.collect();
        let (ready_tx, ready) = mpsc::unbounded_channel();
        Self {
            hosts: (0..shape.hosts).map(|_| None).collect(),
            shape,
            net,
            seen,
            cx,
            origin_addr,
            origin: Some(origin),
            peers,
            sockets,
            ready_tx,
            ready,
        }
    }

    /// Starts a host with empty memory.
    pub fn start(&mut self, number: usize) {
        let listener = self.sockets[number].listener();
        let cfg = self.config(number);
        let (service, notices) = WeightsService::spawn(cfg, self.shape.seed + number as u64);
        let corrupts = self.shape.corrupts == Some(number);
        let role = Role::Host {
            number,
            service: service.clone(),
            corrupts,
        };
        tokio::spawn(follow(number, notices, self.ready_tx.clone()));
        service.set_peers(self.peers.clone());
        self.hosts[number] = Some((service, listen(listener, role, self.cx.clone())));
    }

    /// Starts every host.
    pub fn start_all(&mut self) {
        for number in 0..self.shape.hosts {
            self.start(number);
        }
    }

    /// Kills a host with its connections.
    pub fn kill(&mut self, number: usize) {
        self.hosts[number] = None;
    }

    /// Stops the origin.
    pub fn stop_origin(&mut self) {
        self.origin = None;
    }

    /// Wants a version at a host.
    pub fn want_at(&self, number: usize, copy: &Copy) {
        if let Some((service, _)) = &self.hosts[number] {
            service.fetch(copy.wanted());
        }
    }

    /// Wants a version at every running host.
    pub fn want(&self, copy: &Copy) {
        for number in 0..self.shape.hosts {
            self.want_at(number, copy);
        }
    }

    /// Waits for the hosts to hold a version; returns when each one did, as far as `until`.
    pub async fn wait(
        &mut self,
        version: &Digest,
        hosts: usize,
        until: Instant,
    ) -> Vec<(usize, Instant)> {
        let mut done: Vec<(usize, Instant)> = Vec::new();
        let mut progress = tokio::time::interval(PROGRESS);
        let mut sent = self.sent();
        while done.len() < hosts {
            tokio::select! {
                Some(ready) = self.ready.recv() => {
                    let known = done.iter().any(|(host, _)| *host == ready.host);
                    if ready.version == *version && !known {
                        done.push((ready.host, ready.at));
                    }
                }
                _ = progress.tick() => {
                    let now = self.sent();
                    let share = (now - sent) as f64 / self.capacity(PROGRESS);
                    eprintln!("{} of {hosts} hosts ready, uplinks {share:.2} in use", done.len());
                    sent = now;
                }
                () = tokio::time::sleep_until(until.into()) => break,
            }
        }
        done
    }

    /// True when every chunk is held by some host.
    pub fn covers(&self, copy: &Copy) -> bool {
        (0..copy.chunks()).all(|index| {
            let mut services = self.hosts.iter().flatten();
            services.any(|(service, _)| service.chunk(&copy.digest, index).is_some())
        })
    }

    /// Bytes that all hosts have sent.
    fn sent(&self) -> u64 {
        self.net.hosts.iter().map(|link| link.up.bytes()).sum()
    }

    /// Bytes that all hosts can send in a time.
    fn capacity(&self, time: Duration) -> f64 {
        let copies = HOST_COPIES * time.as_secs_f64() / self.shape.t.as_secs_f64();
        copies * self.shape.hosts as f64 * self.cx.copies[0].size as f64
    }

    /// State of a host.
    pub async fn state(&self, number: usize) -> WeightsState {
        match &self.hosts[number] {
            Some((service, _)) => service.state().await,
            None => WeightsState::default(),
        }
    }

    /// Chunks of a version that a host holds with other bytes than the true ones.
    pub fn bad_chunks(&self, number: usize, copy: &Copy) -> usize {
        let Some((service, _)) = &self.hosts[number] else {
            return 0;
        };
        let wrong = (0..copy.chunks()).filter(|index| {
            service
                .chunk(&copy.digest, *index)
                .is_none_or(|bytes| bytes != copy.chunk(*index))
        });
        wrong.count()
    }

    fn config(&self, number: usize) -> WeightsConfig {
        let limit = self.shape.t / 2;
        let mut cfg = WeightsConfig::new(self.peers[number].clone(), vec![self.origin_addr]);
        cfg.announce_interval = limit / 100;
        cfg.takeover_delay = limit / 10;
        cfg.fetch_timeout = limit;
        cfg
    }
}

async fn follow(
    host: usize,
    mut notices: mpsc::UnboundedReceiver<WeightsNotice>,
    ready: mpsc::UnboundedSender<Ready>,
) {
    while let Some(notice) = notices.recv().await {
        if let WeightsNotice::Held { version } = notice {
            let at = Instant::now();
            let _ = ready.send(Ready { host, version, at });
        }
    }
}

fn links(shape: &Shape, copy: f64) -> Net {
    let rate = |copies: f64| copies * copy / shape.t.as_secs_f64();
    let hosts = (0..shape.hosts).map(|number| {
        let share = match shape.slow == Some(number) {
            true => 0.1,
            false => 1.0,
        };
        HostLink {
            region: number % shape.regions,
            up: Pipe::new(rate(HOST_COPIES) * share),
            down: Pipe::new(rate(HOST_COPIES) * share),
        }
    });
    Net {
        hosts: hosts.collect(),
        origin: Pipe::new(rate(ORIGIN_COPIES)),
        between: Pipe::new(rate(BETWEEN_COPIES)),
    }
}

fn peer(number: usize, region: usize, addr: SocketAddr) -> Peer {
    Peer {
        host: format!("h{number}").into(),
        zone: format!("z{region}-{}", number / 2 % 3).into(),
        region: format!("r{region}").into(),
        addr,
    }
}
