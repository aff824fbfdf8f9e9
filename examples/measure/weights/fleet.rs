//! A fleet of hosts in this process, which run the weight service over simulated rate-limited
//! links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::types::Digest;
use limpetloom::weights::{Peer, WeightsConfig, WeightsNotice, WeightsService, WeightsState};
use tokio::sync::mpsc;

use super::host::{Context, Counters, HostSocket, Role, Server, serve};
use super::model::WeightVersion;
use super::net::{HostLink, Net, Pipe};

/// Copies of a version that a host's link carries in a link period, in each direction.
pub const HOST_COPIES: f64 = 2.0;
/// Copies of a version that the origin's link carries in a link period.
pub const ORIGIN_COPIES: f64 = 4.0;
/// Copies of a version that the link between regions carries in a link period.
pub const BETWEEN_REGIONS_COPIES: f64 = 4.0;

/// Interval at which progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Size of a fleet, rates of its links, and faults.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of regions.
    pub regions: usize,
    /// Time in which a host's link carries [`HOST_COPIES`] copies of a version.
    pub link_period: Duration,
    /// Seed of the random choices; the seeds of the hosts are derived from it.
    pub seed: u64,
    /// Host whose link has a tenth of the others' rate.
    pub slow_host: Option<usize>,
    /// Host that corrupts about one chunk in twenty that it sends.
    pub corrupting_host: Option<usize>,
}

/// A version became complete at a host.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Number of the host.
    pub host: usize,
    /// Digest of the version.
    pub version: Digest,
    /// Time at which the host reported it complete.
    pub at: Instant,
}

/// A running fleet.
pub struct Fleet {
    /// Configuration that the fleet was created with.
    pub config: FleetConfig,
    /// Links between hosts, origin and regions.
    pub net: Arc<Net>,
    /// Counters of the servers of all hosts.
    pub counters: Arc<Counters>,
    cx: Context,
    origin_addr: SocketAddr,
    /// `None` once the origin has stopped.
    origin: Option<Server>,
    /// Indexed by host number, like `sockets` and `hosts`.
    peers: Vec<Peer>,
    sockets: Vec<HostSocket>,
    /// `None` for a host that is down.
    hosts: Vec<Option<(WeightsService, Server)>>,
    ready_tx: mpsc::UnboundedSender<Ready>,
    ready_rx: mpsc::UnboundedReceiver<Ready>,
}

impl Fleet {
    /// Starts the origin and binds the addresses of the hosts; no host runs yet.
    pub fn new(config: FleetConfig, versions: &Arc<Vec<WeightVersion>>) -> Self {
        let net = Arc::new(create_links(&config, versions[0].size as f64));
        let counters = Arc::new(Counters::default());
        let cx = Context {
            net: net.clone(),
            counters: counters.clone(),
            versions: versions.clone(),
        };
        let socket = HostSocket::bind();
        let origin_addr = socket.addr();
        let origin = serve(
            socket.listener(),
            Role::Origin(versions.clone()),
            cx.clone(),
        );
        let sockets: Vec<HostSocket> = (0..config.hosts).map(|_| HostSocket::bind()).collect();
        let peers = sockets.iter().zip(&net.hosts).enumerate();
        let peers =
            peers.map(|(number, (socket, link))| create_peer(number, link.region, socket.addr()));
        let peers = peers.collect();
        let (ready_tx, ready_rx) = mpsc::unbounded_channel();
        Self {
            hosts: (0..config.hosts).map(|_| None).collect(),
            config,
            net,
            counters,
            cx,
            origin_addr,
            origin: Some(origin),
            peers,
            sockets,
            ready_tx,
            ready_rx,
        }
    }

    /// Starts a host that holds no chunks.
    pub fn start(&mut self, number: usize) {
        let listener = self.sockets[number].listener();
        let cfg = self.weights_config(number);
        let (service, notices) = WeightsService::spawn(cfg, self.config.seed + number as u64);
        let corrupts = self.config.corrupting_host == Some(number);
        let role = Role::Host {
            number,
            service: service.clone(),
            corrupts,
        };
        tokio::spawn(forward_ready(number, notices, self.ready_tx.clone()));
        service.set_peers(self.peers.clone());
        self.hosts[number] = Some((service, serve(listener, role, self.cx.clone())));
    }

    /// Starts every host.
    pub fn start_all(&mut self) {
        for number in 0..self.config.hosts {
            self.start(number);
        }
    }

    /// Kills a host and closes its connections.
    pub fn kill(&mut self, number: usize) {
        self.hosts[number] = None;
    }

    /// Stops the origin.
    pub fn stop_origin(&mut self) {
        self.origin = None;
    }

    /// Tells a host to fetch a version; does nothing if the host is down.
    pub fn fetch_at(&self, number: usize, version: &WeightVersion) {
        if let Some((service, _)) = &self.hosts[number] {
            service.fetch(version.wanted());
        }
    }

    /// Tells every running host to fetch a version.
    pub fn fetch_everywhere(&self, version: &WeightVersion) {
        for number in 0..self.config.hosts {
            self.fetch_at(number, version);
        }
    }

    /// Waits until `hosts` hosts hold a version, or until the deadline; returns the hosts that do,
    /// with the time at which each one completed it.
    pub async fn wait_until_held(
        &mut self,
        version: &Digest,
        hosts: usize,
        deadline: Instant,
    ) -> Vec<(usize, Instant)> {
        let mut done: Vec<(usize, Instant)> = Vec::new();
        let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
        let mut sent = self.sent_bytes();
        while done.len() < hosts {
            tokio::select! {
                Some(ready) = self.ready_rx.recv() => {
                    let known = done.iter().any(|(host, _)| *host == ready.host);
                    if ready.version == *version && !known {
                        done.push((ready.host, ready.at));
                    }
                }
                _ = progress.tick() => {
                    let now = self.sent_bytes();
                    let share = (now - sent) as f64 / self.send_capacity(PROGRESS_INTERVAL);
                    eprintln!("{} of {hosts} hosts ready, uplinks {share:.2} in use", done.len());
                    sent = now;
                }
                () = tokio::time::sleep_until(deadline.into()) => break,
            }
        }
        done
    }

    /// True if every chunk of a version is held by some host.
    pub fn holds_every_chunk(&self, version: &WeightVersion) -> bool {
        (0..version.chunks()).all(|index| {
            let mut services = self.hosts.iter().flatten();
            services.any(|(service, _)| service.chunk(&version.digest, index).is_some())
        })
    }

    /// Bytes that all hosts have sent so far.
    fn sent_bytes(&self) -> u64 {
        self.net.hosts.iter().map(|link| link.up.bytes()).sum()
    }

    /// Bytes that the uplinks of all hosts can carry in the given time.
    fn send_capacity(&self, time: Duration) -> f64 {
        let copies = HOST_COPIES * time.as_secs_f64() / self.config.link_period.as_secs_f64();
        copies * self.config.hosts as f64 * self.cx.versions[0].size as f64
    }

    /// State of a host's weight service; the default if the host is down.
    pub async fn state(&self, number: usize) -> WeightsState {
        match &self.hosts[number] {
            Some((service, _)) => service.state().await,
            None => WeightsState::default(),
        }
    }

    /// Number of chunks of a version that a host does not hold or holds with wrong bytes; zero if
    /// the host is down.
    pub fn bad_chunks(&self, number: usize, version: &WeightVersion) -> usize {
        let Some((service, _)) = &self.hosts[number] else {
            return 0;
        };
        let wrong = (0..version.chunks()).filter(|index| {
            service
                .chunk(&version.digest, *index)
                .is_none_or(|bytes| bytes != version.chunk(*index))
        });
        wrong.count()
    }

    /// Configuration of a host's weight service, with intervals in proportion to the physical
    /// limit.
    fn weights_config(&self, number: usize) -> WeightsConfig {
        let physical_limit = self.config.link_period / 2;
        let mut cfg = WeightsConfig::new(self.peers[number].clone(), vec![self.origin_addr]);
        cfg.announce_interval = physical_limit / 100;
        cfg.takeover_delay = physical_limit / 10;
        cfg.fetch_timeout = physical_limit;
        cfg
    }
}

/// Reports each version that becomes complete at a host.
async fn forward_ready(
    host: usize,
    mut notices: mpsc::UnboundedReceiver<WeightsNotice>,
    ready_tx: mpsc::UnboundedSender<Ready>,
) {
    while let Some(notice) = notices.recv().await {
        if let WeightsNotice::Held { version } = notice {
            let at = Instant::now();
            let _ = ready_tx.send(Ready { host, version, at });
        }
    }
}

/// Creates links with the rates of the configuration, for versions of `version_bytes`.
fn create_links(config: &FleetConfig, version_bytes: f64) -> Net {
    let rate = |copies: f64| copies * version_bytes / config.link_period.as_secs_f64();
    let hosts = (0..config.hosts).map(|number| {
        let share = match config.slow_host == Some(number) {
            true => 0.1,
            false => 1.0,
        };
        HostLink {
            region: number % config.regions,
            up: Pipe::new(rate(HOST_COPIES) * share),
            down: Pipe::new(rate(HOST_COPIES) * share),
        }
    });
    Net {
        hosts: hosts.collect(),
        origin: Pipe::new(rate(ORIGIN_COPIES)),
        between_regions: Pipe::new(rate(BETWEEN_REGIONS_COPIES)),
    }
}

fn create_peer(number: usize, region: usize, addr: SocketAddr) -> Peer {
    Peer {
        host: format!("h{number}").into(),
        zone: format!("z{region}-{}", number / 2 % 3).into(),
        region: format!("r{region}").into(),
        addr,
    }
}
