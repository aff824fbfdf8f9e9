//! Hosts and an origin without sockets: actions come back as events after a fixed delay.

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

/// A host.
pub struct Node {
    core: WeightsCore,
    epoch: u64,
    pub have: BTreeMap<Digest, BTreeSet<u32>>,
    pub held: BTreeSet<Digest>,
    pub corrupt_seen: u32,
}

/// All hosts, the origin and the faults that are switched on.
pub struct World {
    pub now: Instant,
    pub nodes: Vec<Option<Node>>,
    queue: BTreeMap<(Instant, u64), (usize, u64, WeightsEvent)>,
    sequence: u64,
    regions: usize,
    memory: u64,
    /// Versions that hosts keep which start from now on.
    pub versions: usize,
    /// True when all regions share one draw from the origin.
    pub one_draw: bool,
    pub origin_up: bool,
    /// True when the origin publishes another manifest under the name.
    pub origin_changed: bool,
    /// Chunks drawn from the origin.
    pub drawn: u32,
    /// Manifests drawn from the origin.
    pub manifests: u32,
    /// Chunks that crossed between regions, from peers.
    pub crossed: u32,
    pub corrupt: Option<usize>,
    pub stalled: Option<usize>,
    pub cut: bool,
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

impl World {
    pub fn new(hosts: usize, regions: usize) -> Self {
        let mut world = Self {
            now: Instant::now(),
            nodes: (0..hosts).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            regions,
            memory: u64::MAX,
            one_draw: false,
            versions: usize::MAX,
            origin_up: true,
            origin_changed: false,
            drawn: 0,
            manifests: 0,
            crossed: 0,
            corrupt: None,
            stalled: None,
            cut: false,
            logged: Vec::new(),
        };
        (0..hosts).for_each(|host| world.start(host));
        world
    }

    /// A world whose regions share one draw from the origin.
    pub fn with_one_draw(hosts: usize, regions: usize) -> Self {
        let mut world = Self::new(hosts, regions);
        world.one_draw = true;
        (0..hosts).for_each(|host| world.start(host));
        world
    }

    /// Bounds the memory of hosts that start from now on, in whole versions.
    pub fn bound_memory(&mut self, versions: u64) {
        self.memory = versions * u64::from(CHUNKS) * CHUNK_BYTES;
    }

    pub fn start(&mut self, host: usize) {
        let mut cfg = WeightsConfig::new(self.peer(host), vec![self.peer(0).addr]);
        cfg.takeover_delay = Duration::from_secs(2);
        cfg.max_chunk_memory = self.memory;
        cfg.share_origin_download = self.one_draw;
        cfg.max_versions = self.versions;
        self.sequence += 1;
        self.nodes[host] = Some(Node {
            core: WeightsCore::new(cfg, host as u64),
            epoch: self.sequence,
            have: BTreeMap::new(),
            held: BTreeSet::new(),
            corrupt_seen: 0,
        });
        let peers = (0..self.nodes.len()).map(|host| self.peer(host)).collect();
        self.tell(host, WeightsEvent::PeersListed(peers));
        self.post(host, TICK, WeightsEvent::Tick);
    }

    pub fn kill(&mut self, host: usize) {
        self.nodes[host] = None;
    }

    pub fn want(&mut self, wanted: &WantedVersion) {
        for host in 0..self.nodes.len() {
            self.want_at(host, wanted);
        }
    }

    pub fn want_at(&mut self, host: usize, wanted: &WantedVersion) {
        self.tell(host, WeightsEvent::VersionWanted(wanted.clone()));
    }

    /// Delivers announcements that the peers sent long ago, before any answer of theirs.
    pub fn deliver_old_announcements(&mut self, host: usize, version: &str) {
        for peer in (0..self.nodes.len()).filter(|peer| *peer != host) {
            let sender = self.peer(peer);
            let event = WeightsEvent::AnnouncementReceived {
                host: sender.host,
                addr: sender.addr,
                version: version.into(),
                have: Have::Nothing,
            };
            self.post(host, DELAY / 10, event);
        }
    }

    /// Runs until every live host holds the version; returns the time that it took.
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
            let ((at, _), (host, epoch, event)) = entry.remove_entry();
            self.now = at;
            let alive = self.nodes[host].as_ref().is_some_and(|n| n.epoch == epoch);
            if !alive {
                continue;
            }
            if matches!(event, WeightsEvent::Tick) {
                self.post(host, TICK, WeightsEvent::Tick);
            }
            self.tell(host, event);
        }
        self.now = end;
    }

    /// Chunks of a version that at least one live host has.
    pub fn covered(&self, version: &str) -> usize {
        let held = self
            .nodes
            .iter()
            .flatten()
            .filter_map(|n| n.have.get(version));
        held.flatten().collect::<BTreeSet<_>>().len()
    }

    pub fn memory(&self, host: usize) -> usize {
        self.nodes[host]
            .as_ref()
            .map_or(0, |node| node.core.memory())
    }

    pub fn has(&self, host: usize, version: &str) -> usize {
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

    fn post(&mut self, host: usize, delay: Duration, event: WeightsEvent) {
        if let Some(node) = &self.nodes[host] {
            self.sequence += 1;
            let at = (self.now + delay, self.sequence);
            self.queue.insert(at, (host, node.epoch, event));
        }
    }

    fn tell(&mut self, host: usize, event: WeightsEvent) {
        let Some(node) = &mut self.nodes[host] else {
            return;
        };
        let actions = node.core.handle(self.now, event);
        actions
            .into_iter()
            .for_each(|action| self.act(host, action));
    }

    fn act(&mut self, host: usize, action: WeightsAction) {
        let Some(node) = &mut self.nodes[host] else {
            return;
        };
        match action {
            WeightsAction::Open { version, .. } => {
                node.have.entry(version).or_default();
            }
            WeightsAction::Drop { version } => {
                node.have.remove(&version);
                node.held.remove(&version);
            }
            WeightsAction::Held { version } => {
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
            WeightsAction::AbortChunk { .. }
            | WeightsAction::Abort { .. }
            | WeightsAction::Progress { .. } => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let same_region = from % self.regions == to % self.regions;
        self.nodes[to].is_some() && self.stalled != Some(to) && (same_region || !self.cut)
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
                if !self.origin_up || self.cut && !host.is_multiple_of(self.regions) =>
            {
                Err(FetchError::Unreachable)
            }
            Source::Origin(_) if self.origin_changed => Err(FetchError::Corrupt),
            Source::Origin(_) => {
                self.manifests += 1;
                Ok(())
            }
            Source::Peer(peer) => match self.reaches(host, peer.parse().unwrap()) {
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
        self.post(host, DELAY, event);
    }

    fn fetch_chunk(&mut self, host: usize, version: Digest, index: u32, source: Source) {
        let (result, have) = match &source {
            Source::Origin(_)
                if !self.origin_up || self.cut && !host.is_multiple_of(self.regions) =>
            {
                (Err(FetchError::Unreachable), None)
            }
            Source::Origin(_) => {
                self.drawn += 1;
                (Ok(DELAY), None)
            }
            Source::Peer(peer) => self.peer_chunk(host, peer.parse().unwrap(), &version, index),
        };
        if result.is_ok()
            && let Some(node) = &mut self.nodes[host]
            && let Some(chunks) = node.have.get_mut(&version)
        {
            chunks.insert(index);
        }
        let delay = match result {
            Err(FetchError::TimedOut) => Duration::from_secs(5),
            _ => DELAY,
        };
        let event = WeightsEvent::ChunkFetchDone {
            version,
            index,
            source,
            have,
            result,
        };
        self.post(host, delay, event);
    }

    fn peer_chunk(
        &mut self,
        host: usize,
        peer: usize,
        version: &str,
        index: u32,
    ) -> (Result<Duration, FetchError>, Option<ChunkSet>) {
        if self.stalled == Some(peer) {
            return (Err(FetchError::TimedOut), None);
        }
        if !self.reaches(host, peer) {
            return (Err(FetchError::Unreachable), None);
        }
        let Have::Chunks(have) = self.have(peer, version) else {
            return (Err(FetchError::Missing), None);
        };
        if !have.contains(index) {
            return (Err(FetchError::Missing), Some(have));
        }
        if self.corrupt == Some(peer) {
            let node = self.nodes[host].as_mut().unwrap();
            node.corrupt_seen += 1;
            return (Err(FetchError::Corrupt), Some(have));
        }
        if host % self.regions != peer % self.regions {
            self.crossed += 1;
        }
        (Ok(DELAY), Some(have))
    }

    fn announce(&mut self, host: usize, to: usize, version: Digest, have: Have) {
        let reached = self.reaches(host, to);
        let answer = reached.then(|| self.have(to, &version));
        if reached {
            let sender = self.peer(host);
            let event = WeightsEvent::AnnouncementReceived {
                host: sender.host,
                addr: sender.addr,
                version: version.clone(),
                have,
            };
            self.post(to, DELAY, event);
        }
        let event = WeightsEvent::AnnouncementDone {
            host: format!("{to}").into(),
            version,
            have: answer,
        };
        self.post(host, DELAY, event);
    }
}
