//! Simulated hosts and origin without sockets: actions lead to events after a fixed delay.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::telemetry::Event;
use crate::types::Digest;
use crate::weights::{
    ChunkHash, ChunkSet, FetchError, Have, Manifest, Peer, Source, WantedVersion, WeightsAction,
    WeightsConfig, WeightsCore, WeightsEvent,
};

pub const CHUNKS: u32 = 40;
const CHUNK_BYTES: u64 = 100;
const DELAY: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(250);
/// Time of a chunk of 24 KiB on a link of 0.9 Mbit/s.
pub const NARROW_CHUNK_TIME: Duration = Duration::from_millis(216);
/// Time within which the cancellation of a request has to reach its endpoint.
pub const MAX_REQUEST_WAIT: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// A simulated host.
pub struct Node {
    core: WeightsCore,
    incarnation: u64,
    pub have: BTreeMap<Digest, BTreeSet<u32>>,
    pub held: BTreeSet<Digest>,
    pub corrupt_chunks: u32,
    /// Time at which the last chunk on the host's link arrives.
    link_free_at: Instant,
}

/// All simulated hosts, the origin and the active faults.
pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Option<Node>>,
    queue: BTreeMap<(Instant, u64), (usize, u64, WeightsEvent)>,
    sequence: u64,
    regions: usize,
    max_chunk_memory: u64,
    /// Versions kept at most by hosts that are started afterwards.
    pub max_versions: usize,
    /// Longest wait on a link that hosts that are started afterwards allow their chunks to cause.
    pub max_link_wait: Duration,
    /// Takeover delay of hosts that are started afterwards.
    pub takeover_delay: Duration,
    /// Least time between two announcements to one peer, for hosts that are started afterwards.
    pub announce_interval: Duration,
    /// Time that the link of the origin takes to carry one chunk; all running downloads share it.
    pub origin_chunk_time: Duration,
    origin_free_at: Instant,
    /// True when all regions share one download from the origin.
    pub share_origin_download: bool,
    pub origin_up: bool,
    /// True when the origin publishes a different manifest under the same name.
    pub origin_manifest_changed: bool,
    /// Chunks downloaded from the origin.
    pub origin_chunks: u32,
    /// Manifests downloaded from the origin.
    pub origin_manifests: u32,
    /// Chunks fetched from peers of another region.
    pub cross_region_chunks: u32,
    pub corrupting_host: Option<usize>,
    pub stalled_host: Option<usize>,
    pub is_partitioned: bool,
    /// Time that the link of a host takes to carry one chunk to it; hosts that are not listed have
    /// a link without a limit.
    pub link_chunk_time: BTreeMap<usize, Duration>,
    pub logged: Vec<Event>,
}

pub fn wanted(model: &str, version: &str) -> WantedVersion {
    WantedVersion {
        model: model.into(),
        name: version.into(),
        version: version.into(),
        hosts: None,
    }
}

impl Fleet {
    pub fn new(hosts: usize, regions: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            nodes: (0..hosts).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            regions,
            max_chunk_memory: u64::MAX,
            share_origin_download: false,
            max_versions: usize::MAX,
            max_link_wait: MAX_REQUEST_WAIT / 2,
            takeover_delay: Duration::from_secs(2),
            announce_interval: 2 * TICK,
            origin_chunk_time: Duration::ZERO,
            origin_free_at: Instant::now(),
            origin_up: true,
            origin_manifest_changed: false,
            origin_chunks: 0,
            origin_manifests: 0,
            cross_region_chunks: 0,
            corrupting_host: None,
            stalled_host: None,
            is_partitioned: false,
            link_chunk_time: BTreeMap::new(),
            logged: Vec::new(),
        };
        (0..hosts).for_each(|host| fleet.start(host));
        fleet
    }

    /// Creates a fleet whose regions share one download from the origin.
    pub fn with_shared_origin_download(hosts: usize, regions: usize) -> Self {
        let mut fleet = Self::new(hosts, regions);
        fleet.share_origin_download = true;
        (0..hosts).for_each(|host| fleet.start(host));
        fleet
    }

    /// Limits the chunk memory of hosts that are started afterwards to a number of versions.
    pub fn limit_memory(&mut self, versions: u64) {
        self.max_chunk_memory = versions * u64::from(CHUNKS) * CHUNK_BYTES;
    }

    pub fn start(&mut self, host: usize) {
        let mut cfg = WeightsConfig::new(self.peer(host), vec![self.peer(0).addr]);
        cfg.takeover_delay = self.takeover_delay;
        cfg.announce_interval = self.announce_interval;
        cfg.origin_retry_delay = cfg.origin_retry_delay.min(self.takeover_delay / 2);
        cfg.fetch_timeout = FETCH_TIMEOUT;
        cfg.max_link_wait = self.max_link_wait;
        cfg.max_chunk_memory = self.max_chunk_memory;
        cfg.share_origin_download = self.share_origin_download;
        cfg.max_versions = self.max_versions;
        self.sequence += 1;
        self.nodes[host] = Some(Node {
            core: WeightsCore::new(cfg, host as u64),
            incarnation: self.sequence,
            have: BTreeMap::new(),
            held: BTreeSet::new(),
            corrupt_chunks: 0,
            link_free_at: self.now,
        });
        let peers = (0..self.nodes.len()).map(|host| self.peer(host)).collect();
        self.deliver(host, WeightsEvent::PeersListed(peers));
        self.schedule(host, self.announce_interval / 2, WeightsEvent::Tick);
    }

    pub fn kill(&mut self, host: usize) {
        self.nodes[host] = None;
    }

    pub fn want_everywhere(&mut self, wanted: &WantedVersion) {
        for host in 0..self.nodes.len() {
            self.want_at(host, wanted);
        }
    }

    pub fn want_at(&mut self, host: usize, wanted: &WantedVersion) {
        self.deliver(host, WeightsEvent::VersionWanted(wanted.clone()));
    }

    /// Delivers outdated announcements of all peers before the answers to the host's own ones.
    pub fn deliver_old_announcements(&mut self, host: usize, version: &str) {
        for peer in (0..self.nodes.len()).filter(|peer| *peer != host) {
            let sender = self.peer(peer);
            let event = WeightsEvent::AnnouncementReceived {
                host: sender.host,
                addr: sender.addr,
                version: version.into(),
                have: Have::Nothing,
            };
            self.schedule(host, DELAY / 10, event);
        }
    }

    /// Runs until every live host holds the version; returns the time it took.
    ///
    /// `None` when that takes more than 120 seconds.
    pub fn run_until_held(&mut self, version: &str) -> Option<Duration> {
        let start = self.now;
        while self.now < start + Duration::from_secs(120) {
            let mut live = self.nodes.iter().flatten();
            if live.all(|node| node.held.contains(version)) {
                return Some(self.now - start);
            }
            self.run_for(DELAY);
        }
        None
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), (host, incarnation, event)) = entry.remove_entry();
            self.now = at;
            let alive = self.nodes[host]
                .as_ref()
                .is_some_and(|n| n.incarnation == incarnation);
            if !alive {
                continue;
            }
            if matches!(event, WeightsEvent::Tick) {
                self.schedule(host, self.announce_interval / 2, WeightsEvent::Tick);
            }
            self.deliver(host, event);
        }
        self.now = end;
    }

    /// Number of chunks of a version that at least one live host has.
    pub fn chunks_in_fleet(&self, version: &str) -> usize {
        let held = self
            .nodes
            .iter()
            .flatten()
            .filter_map(|n| n.have.get(version));
        held.flatten().collect::<BTreeSet<_>>().len()
    }

    /// Runs for a time; returns the longest wait of a packet to a host meanwhile.
    pub fn longest_link_wait(&mut self, host: usize, time: Duration) -> Duration {
        let end = self.now + time;
        let mut longest = Duration::ZERO;
        while self.now < end {
            self.run_for(DELAY);
            longest = longest.max(self.link_wait(host));
        }
        longest
    }

    /// Time for which a packet that is sent to a host now waits behind the chunks on its link.
    fn link_wait(&self, host: usize) -> Duration {
        let node = self.nodes[host].as_ref();
        node.map_or(Duration::ZERO, |node| {
            node.link_free_at.saturating_duration_since(self.now)
        })
    }

    pub fn core_memory(&self, host: usize) -> usize {
        self.nodes[host]
            .as_ref()
            .map_or(0, |node| node.core.memory())
    }

    pub fn chunk_count(&self, host: usize, version: &str) -> usize {
        let node = self.nodes[host].as_ref();
        node.and_then(|node| node.have.get(version))
            .map_or(0, BTreeSet::len)
    }

    fn peer(&self, host: usize) -> Peer {
        let region = host % self.regions;
        Peer {
            host: format!("{host}").into(),
            zone: format!("z{region}").into(),
            region: format!("r{region}").into(),
            addr: ([127, 0, 0, 1], host as u16 + 1).into(),
        }
    }

    fn schedule(&mut self, host: usize, delay: Duration, event: WeightsEvent) {
        if let Some(node) = &self.nodes[host] {
            self.sequence += 1;
            let at = (self.now + delay, self.sequence);
            self.queue.insert(at, (host, node.incarnation, event));
        }
    }

    fn deliver(&mut self, host: usize, event: WeightsEvent) {
        let Some(node) = &mut self.nodes[host] else {
            return;
        };
        if let WeightsEvent::ChunkFetchDone {
            version,
            index,
            result: Ok(_),
            ..
        } = &event
            && let Some(chunks) = node.have.get_mut(version)
        {
            chunks.insert(*index);
        }
        let actions = node.core.handle(self.now, event);
        actions
            .into_iter()
            .for_each(|action| self.execute(host, action));
    }

    fn execute(&mut self, host: usize, action: WeightsAction) {
        let Some(node) = &mut self.nodes[host] else {
            return;
        };
        match action {
            WeightsAction::OpenVersion { version, .. } => {
                node.have.entry(version).or_default();
            }
            WeightsAction::DropVersion { version } => {
                node.have.remove(&version);
                node.held.remove(&version);
            }
            WeightsAction::VersionHeld { version } => {
                assert_eq!(node.have[&version].len() as u32, CHUNKS);
                node.held.insert(version);
            }
            WeightsAction::Log { event, .. } => self.logged.push(event),
            WeightsAction::FetchManifest { wanted, source, .. } => {
                self.fetch_manifest(host, wanted, source);
            }
            WeightsAction::FetchChunk {
                wanted,
                index,
                source,
                ..
            } => {
                self.fetch_chunk(host, wanted.version, index, source);
            }
            WeightsAction::Announce {
                host: to,
                version,
                have,
                ..
            } => {
                self.announce(host, to.parse().unwrap(), version, have);
            }
            WeightsAction::AbortChunkFetch { .. }
            | WeightsAction::AbortVersion { .. }
            | WeightsAction::Progress { .. } => {}
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let same_region = from % self.regions == to % self.regions;
        self.nodes[to].is_some()
            && self.stalled_host != Some(to)
            && (same_region || !self.is_partitioned)
    }

    fn have(&self, host: usize, version: &str) -> Have {
        let node = self.nodes[host].as_ref();
        match node.and_then(|node| node.have.get(version)) {
            Some(have) => Have::Chunks(have.iter().copied().collect()),
            None => Have::Nothing,
        }
    }

    fn fetch_manifest(&mut self, host: usize, wanted: WantedVersion, source: Source) {
        let found = match &source {
            Source::Origin(_)
                if !self.origin_up || self.is_partitioned && !host.is_multiple_of(self.regions) =>
            {
                Err(FetchError::Unreachable)
            }
            Source::Origin(_) if self.origin_manifest_changed => Err(FetchError::Corrupt),
            Source::Origin(_) => {
                self.origin_manifests += 1;
                Ok(())
            }
            Source::Peer(peer) => match self.can_reach(host, peer.parse().unwrap()) {
                true => Ok(()),
                false => Err(FetchError::Unreachable),
            },
        };
        let manifest = Manifest {
            size: u64::from(CHUNKS) * CHUNK_BYTES,
            chunk_size: CHUNK_BYTES,
            hash: ChunkHash::Blake3,
            chunks: vec![[0; 32]; CHUNKS as usize],
        };
        let event = WeightsEvent::ManifestFetchDone {
            version: wanted.version,
            source,
            result: found.map(|()| Arc::new(manifest)),
        };
        self.schedule(host, DELAY, event);
    }

    fn fetch_chunk(&mut self, host: usize, version: Digest, index: u32, source: Source) {
        let (result, have) = match &source {
            Source::Origin(_)
                if !self.origin_up || self.is_partitioned && !host.is_multiple_of(self.regions) =>
            {
                (Err(FetchError::Unreachable), None)
            }
            Source::Origin(_) => {
                self.origin_chunks += 1;
                (Ok(DELAY), None)
            }
            Source::Peer(peer) => {
                self.fetch_chunk_from_peer(host, peer.parse().unwrap(), &version, index)
            }
        };
        let (result, delay) = match result {
            Ok(_) if matches!(source, Source::Origin(_)) => self.carry_origin_chunk(host),
            Ok(_) => self.carry_chunk(host),
            Err(FetchError::TimedOut) => (result, FETCH_TIMEOUT),
            Err(_) => (result, DELAY),
        };
        let event = WeightsEvent::ChunkFetchDone {
            version,
            index,
            source,
            have,
            result,
        };
        self.schedule(host, delay, event);
    }

    /// Puts a chunk on the link of the origin and then on that of a host.
    fn carry_origin_chunk(&mut self, host: usize) -> (Result<Duration, FetchError>, Duration) {
        self.origin_free_at = self.origin_free_at.max(self.now) + self.origin_chunk_time;
        let sent_after = self.origin_free_at - self.now;
        let (result, delay) = self.carry_chunk(host);
        match (result, sent_after + delay <= FETCH_TIMEOUT) {
            (Ok(took), true) => (Ok(sent_after + took), sent_after + delay),
            _ => (Err(FetchError::TimedOut), FETCH_TIMEOUT),
        }
    }

    /// Puts a chunk on the link of a host; returns the result of its fetch and the time until then.
    /// A chunk that arrives after the timeout occupies the link all the same.
    fn carry_chunk(&mut self, host: usize) -> (Result<Duration, FetchError>, Duration) {
        let chunk_time = self.link_chunk_time.get(&host).copied().unwrap_or_default();
        let sent_at = self.now + DELAY;
        let Some(node) = &mut self.nodes[host] else {
            return (Err(FetchError::Unreachable), DELAY);
        };
        node.link_free_at = node.link_free_at.max(sent_at) + chunk_time;
        let took = node.link_free_at - self.now;
        match took <= FETCH_TIMEOUT {
            true => (Ok(took), took),
            false => (Err(FetchError::TimedOut), FETCH_TIMEOUT),
        }
    }

    fn fetch_chunk_from_peer(
        &mut self,
        host: usize,
        peer: usize,
        version: &str,
        index: u32,
    ) -> (Result<Duration, FetchError>, Option<ChunkSet>) {
        if self.stalled_host == Some(peer) {
            return (Err(FetchError::TimedOut), None);
        }
        if !self.can_reach(host, peer) {
            return (Err(FetchError::Unreachable), None);
        }
        let Have::Chunks(have) = self.have(peer, version) else {
            return (Err(FetchError::Missing), None);
        };
        if !have.contains(index) {
            return (Err(FetchError::Missing), Some(have));
        }
        if self.corrupting_host == Some(peer) {
            let node = self.nodes[host].as_mut().unwrap();
            node.corrupt_chunks += 1;
            return (Err(FetchError::Corrupt), Some(have));
        }
        if host % self.regions != peer % self.regions {
            self.cross_region_chunks += 1;
        }
        (Ok(DELAY), Some(have))
    }

    fn announce(&mut self, host: usize, to: usize, version: Digest, have: Have) {
        let reached = self.can_reach(host, to);
        let answer = reached.then(|| self.have(to, &version));
        if reached {
            let sender = self.peer(host);
            let event = WeightsEvent::AnnouncementReceived {
                host: sender.host,
                addr: sender.addr,
                version: version.clone(),
                have,
            };
            self.schedule(to, DELAY, event);
        }
        let event = WeightsEvent::AnnouncementDone {
            host: format!("{to}").into(),
            version,
            have: answer,
        };
        self.schedule(host, DELAY, event);
    }
}
