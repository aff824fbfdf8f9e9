//! Task that owns the decision logic and carries out its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use crate::log_event;
use crate::types::{Digest, HostId};

use super::bitmap::ChunkSet;
use super::client::WeightsClient;
use super::core::{
    Have, Source, WantedVersion, WeightsAction, WeightsConfig, WeightsCore, WeightsEvent,
};
use super::error::FetchError;
use super::limit::{RateLimit, lock_rate};
use super::manifest::Manifest;
use super::origin::OriginApi;
use super::service::{Input, WeightsNotice, WeightsState};
use super::stage::{StagedChunk, Staging};
use super::store::ChunkStore;
use super::wire::PeerRequest;

/// Ticks in one announcement interval.
const TICKS_PER_INTERVAL: u32 = 2;
/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(2);

/// What a running task works on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Work {
    Manifest,
    Scan,
    Chunk(u32, Option<HostId>),
    Announce(HostId),
}

type Running = HashMap<(Digest, Work), AbortHandle>;

/// What a task ended with.
struct Done {
    version: Digest,
    work: Work,
    event: WeightsEvent,
    /// Bytes of a fetched manifest.
    manifest: Option<Bytes>,
    announcement_bytes: u64,
    /// Time that the fetch of a chunk took.
    took: Option<Duration>,
}

/// Owner of the decision logic.
pub(super) struct Driver {
    core: WeightsCore,
    origin: Arc<dyn OriginApi>,
    staging: Option<Arc<dyn Staging>>,
    store: Arc<ChunkStore>,
    client: WeightsClient,
    notices: mpsc::UnboundedSender<WeightsNotice>,
    tick: Duration,
    download_rate: Option<Arc<Mutex<RateLimit>>>,
    tasks: JoinSet<Done>,
    running: Running,
    /// Manifests fetched but not yet opened.
    manifests: HashMap<Digest, Bytes>,
    announcement_bytes: u64,
}

impl Driver {
    pub fn new(
        cfg: WeightsConfig,
        seed: u64,
        store: Arc<ChunkStore>,
        client: WeightsClient,
        download_rate: Option<Arc<Mutex<RateLimit>>>,
        notices: mpsc::UnboundedSender<WeightsNotice>,
    ) -> Self {
        Self {
            tick: (cfg.announce_interval / TICKS_PER_INTERVAL).max(MIN_TICK),
            download_rate,
            origin: cfg.origin_api.clone(),
            staging: cfg.staging.clone(),
            core: WeightsCore::new(cfg, seed),
            store,
            client,
            notices,
            tasks: JoinSet::new(),
            running: Running::new(),
            manifests: HashMap::new(),
            announcement_bytes: 0,
        }
    }

    pub async fn run(
        mut self,
        mut owner: mpsc::UnboundedReceiver<Input>,
        mut rx: mpsc::Receiver<WeightsEvent>,
    ) {
        let mut ticks = tokio::time::interval(self.tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                input = owner.recv() => match input {
                    Some(Input::Event(event)) => self.handle(event),
                    Some(Input::Inspect(reply)) => {
                        let _ = reply.send(self.state());
                    }
                    None => return,
                },
                Some(event) = rx.recv() => self.handle(event),
                Some(done) = self.tasks.join_next() => {
                    // A task that was stopped has no outcome.
                    if let Ok(done) = done {
                        self.done(done);
                    }
                }
                _ = ticks.tick() => self.handle(WeightsEvent::Tick),
            }
        }
    }

    fn state(&self) -> WeightsState {
        WeightsState {
            control_bytes: self.core.memory(),
            chunk_bytes: self.store.bytes(),
            peers: self.core.peers(),
            announcement_bytes: self.announcement_bytes,
        }
    }

    fn done(&mut self, done: Done) {
        self.running.remove(&(done.version.clone(), done.work));
        self.announcement_bytes += done.announcement_bytes;
        if let (Some(took), WeightsEvent::ChunkFetchDone { source, result, .. }) =
            (done.took, &done.event)
        {
            self.notify(WeightsNotice::ChunkFetched {
                from_origin: matches!(source, Source::Origin(_)),
                succeeded: result.is_ok(),
                took,
            });
        }
        if let Some(bytes) = done.manifest {
            self.manifests.insert(done.version, bytes);
        }
        self.handle(done.event);
    }

    fn handle(&mut self, event: WeightsEvent) {
        for action in self.core.handle(Instant::now(), event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: WeightsAction) {
        match action {
            WeightsAction::FetchManifest {
                wanted,
                source,
                addr,
            } => self.fetch_manifest(wanted, source, addr),
            WeightsAction::Open { version, manifest } => {
                if let Some(bytes) = self.manifests.remove(&version) {
                    self.store.open(&version, manifest.clone(), bytes);
                    self.scan(version, manifest);
                }
            }
            WeightsAction::FetchChunk {
                wanted,
                index,
                source,
                addr,
            } => self.fetch_chunk(wanted, index, source, addr),
            WeightsAction::AbortChunk {
                version,
                index,
                source,
            } => self.stop(version, chunk_work(index, &source)),
            WeightsAction::Abort { version } => self.stop_all(&version),
            WeightsAction::Drop { version } => {
                self.manifests.remove(&version);
                self.store.remove(&version);
            }
            WeightsAction::Announce {
                host,
                addr,
                version,
                have,
            } => self.announce(host, addr, version, have),
            WeightsAction::Held { version } => self.notify(WeightsNotice::Held { version }),
            WeightsAction::Progress { version, permille } => {
                self.notify(WeightsNotice::Progress { version, permille });
            }
            WeightsAction::Log { event, detail } => log_event!(event, "{detail}"),
        }
    }

    fn notify(&self, notice: WeightsNotice) {
        // An owner that no longer listens does not stop the transfer.
        let _ = self.notices.send(notice);
    }

    fn start(
        &mut self,
        version: Digest,
        work: Work,
        task: impl Future<Output = Done> + Send + 'static,
    ) {
        let handle = self.tasks.spawn(task);
        self.running.insert((version, work), handle);
    }

    fn stop(&mut self, version: Digest, work: Work) {
        if let Some(handle) = self.running.remove(&(version, work)) {
            handle.abort();
        }
    }

    fn stop_all(&mut self, version: &Digest) {
        self.running.retain(|(running, _), handle| {
            let stop = running == version;
            if stop {
                handle.abort();
            }
            !stop
        });
    }

    fn fetch_manifest(&mut self, wanted: WantedVersion, source: Source, addr: SocketAddr) {
        let client = self.client.clone();
        let origin = self.origin.clone();
        let version = wanted.version.clone();
        let task = async move {
            let fetched = client.manifest(&wanted, &source, addr).await;
            let verified = fetched.and_then(|bytes| {
                let manifest = origin.read_manifest(&bytes, &wanted)?;
                Ok((Arc::new(manifest), bytes))
            });
            let (result, manifest) = match verified {
                Ok((manifest, bytes)) => (Ok(manifest), Some(bytes)),
                Err(error) => (Err(error), None),
            };
            let event = WeightsEvent::ManifestFetchDone {
                version: wanted.version.clone(),
                source,
                result,
            };
            Done {
                version: wanted.version,
                work: Work::Manifest,
                event,
                manifest,
                announcement_bytes: 0,
                took: None,
            }
        };
        self.start(version, Work::Manifest, task);
    }

    /// Looks through the engine's staging for chunks of the version.
    fn scan(&mut self, version: Digest, manifest: Arc<Manifest>) {
        let Some(staging) = self.staging.clone() else {
            return;
        };
        let store = self.store.clone();
        let name = version.clone();
        let task = async move {
            let mut found = ChunkSet::default();
            for index in 0..manifest.len() {
                match staging.read(&name, index).await {
                    StagedChunk::Present(bytes) if manifest.is_chunk(index, &bytes) => {
                        store.insert(&name, index, bytes);
                        found.insert(index);
                    }
                    StagedChunk::Present(_) | StagedChunk::Absent => {}
                    StagedChunk::Unreachable => break,
                }
            }
            Done {
                version: name.clone(),
                work: Work::Scan,
                event: WeightsEvent::StagingScanned {
                    version: name,
                    found,
                },
                manifest: None,
                announcement_bytes: 0,
                took: None,
            }
        };
        self.start(version, Work::Scan, task);
    }

    fn fetch_chunk(&mut self, wanted: WantedVersion, index: u32, source: Source, addr: SocketAddr) {
        let Some(manifest) = self.store.manifest(&wanted.version) else {
            return;
        };
        let size = manifest.chunk_len(index);
        let start_at = self
            .download_rate
            .as_ref()
            .map(|limit| lock_rate(limit).reserve(Instant::now(), size));
        let client = self.client.clone();
        let store = self.store.clone();
        let version = wanted.version.clone();
        let work = chunk_work(index, &source);
        let done_work = work.clone();
        let task = async move {
            if let Some(start_at) = start_at {
                tokio::time::sleep_until(start_at.into()).await;
            }
            let sent = Instant::now();
            let fetched = client.chunk(&wanted, index, &source, addr, size).await;
            let took = sent.elapsed();
            let (result, have) = match fetched {
                Ok(arrived) if !manifest.is_chunk(index, &arrived.bytes) => {
                    (Err(FetchError::Corrupt), arrived.have)
                }
                Ok(arrived) => {
                    store.insert(&wanted.version, index, arrived.bytes);
                    (Ok(arrived.took), arrived.have)
                }
                Err(error) => (Err(error), None),
            };
            let event = WeightsEvent::ChunkFetchDone {
                version: wanted.version.clone(),
                index,
                source,
                have,
                result,
            };
            Done {
                version: wanted.version,
                work: done_work,
                event,
                manifest: None,
                announcement_bytes: 0,
                took: Some(took),
            }
        };
        self.start(version, work, task);
    }

    fn announce(&mut self, host: HostId, addr: SocketAddr, version: Digest, have: Have) {
        let client = self.client.clone();
        let work = Work::Announce(host.clone());
        let path = PeerRequest::Have(version.clone());
        let done_work = work.clone();
        let done_version = version.clone();
        let task = async move {
            let answer = client.announce(addr, &path, &have).await.ok();
            let announcement_bytes = have_bytes(&have) + answer.as_ref().map_or(0, have_bytes);
            let event = WeightsEvent::AnnouncementDone {
                host,
                version: done_version.clone(),
                have: answer,
            };
            Done {
                version: done_version,
                work: done_work,
                event,
                manifest: None,
                announcement_bytes,
                took: None,
            }
        };
        self.start(version, work, task);
    }
}

fn chunk_work(index: u32, source: &Source) -> Work {
    match source {
        Source::Peer(host) => Work::Chunk(index, Some(host.clone())),
        Source::Origin(_) => Work::Chunk(index, None),
    }
}

/// Bytes of one announcement, request line and headers included.
fn have_bytes(have: &Have) -> u64 {
    const HEAD: u64 = 200;
    match have {
        Have::Nothing => HEAD,
        Have::Chunks(have) => HEAD + have.memory() as u64,
    }
}
