//! Task that owns the decision logic and executes its actions.

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
use super::manifest::Manifest;
use super::origin::OriginApi;
use super::rate_limit::{RateLimit, lock_rate};
use super::service::{Input, WeightsNotice, WeightsState};
use super::staging::{StagedChunk, Staging};
use super::store::ChunkStore;
use super::wire::PeerRequest;

/// Ticks in one announcement interval.
const TICKS_PER_INTERVAL: u32 = 2;
/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(2);

/// Kind of a background task; unique among the running tasks of a version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum TaskKind {
    Manifest,
    Scan,
    /// Index of the chunk and the peer it is fetched from; `None` for an origin.
    Chunk(u32, Option<HostId>),
    Announce(HostId),
}

type RunningTasks = HashMap<(Digest, TaskKind), AbortHandle>;

/// Result of a background task.
struct FinishedTask {
    version: Digest,
    kind: TaskKind,
    event: WeightsEvent,
    /// Bytes of a manifest that was fetched and verified.
    manifest: Option<Bytes>,
    announcement_bytes: u64,
    /// Time from sending the request of a chunk to its end, also when it failed.
    took: Option<Duration>,
}

/// Driver of the decision logic: delivers events to it and executes its actions.
pub(super) struct Driver {
    core: WeightsCore,
    origin: Arc<dyn OriginApi>,
    staging: Option<Arc<dyn Staging>>,
    store: Arc<ChunkStore>,
    client: WeightsClient,
    notices: mpsc::UnboundedSender<WeightsNotice>,
    tick: Duration,
    download_rate: Option<Arc<Mutex<RateLimit>>>,
    tasks: JoinSet<FinishedTask>,
    running: RunningTasks,
    /// Bytes of manifests whose versions are not open yet.
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
            running: RunningTasks::new(),
            manifests: HashMap::new(),
            announcement_bytes: 0,
        }
    }

    pub async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<Input>,
        mut announcements: mpsc::Receiver<WeightsEvent>,
    ) {
        let mut ticks = tokio::time::interval(self.tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(Input::Event(event)) => self.handle(event),
                    Some(Input::Inspect(reply)) => {
                        let _ = reply.send(self.state());
                    }
                    None => return,
                },
                Some(event) = announcements.recv() => self.handle(event),
                Some(finished) = self.tasks.join_next() => {
                    // An aborted task has no result.
                    if let Ok(finished) = finished {
                        self.handle_finished(finished);
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

    fn handle_finished(&mut self, finished: FinishedTask) {
        self.running
            .remove(&(finished.version.clone(), finished.kind));
        self.announcement_bytes += finished.announcement_bytes;
        if let (Some(took), WeightsEvent::ChunkFetchDone { source, result, .. }) =
            (finished.took, &finished.event)
        {
            self.notify(WeightsNotice::ChunkFetched {
                from_origin: matches!(source, Source::Origin(_)),
                succeeded: result.is_ok(),
                took,
                others: self.running_chunk_fetches(),
            });
        }
        if let Some(bytes) = finished.manifest {
            self.manifests.insert(finished.version, bytes);
        }
        self.handle(finished.event);
    }

    fn running_chunk_fetches(&self) -> usize {
        let kinds = self.running.keys().map(|(_, kind)| kind);
        kinds
            .filter(|kind| matches!(kind, TaskKind::Chunk(..)))
            .count()
    }

    fn handle(&mut self, event: WeightsEvent) {
        for action in self.core.handle(Instant::now(), event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: WeightsAction) {
        match action {
            WeightsAction::FetchManifest {
                wanted,
                source,
                addr,
            } => self.fetch_manifest(wanted, source, addr),
            WeightsAction::OpenVersion { version, manifest } => {
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
            WeightsAction::AbortChunkFetch {
                version,
                index,
                source,
            } => self.abort_task(version, chunk_task(index, &source)),
            WeightsAction::AbortVersion { version } => self.abort_version(&version),
            WeightsAction::DropVersion { version } => {
                self.manifests.remove(&version);
                self.store.remove(&version);
            }
            WeightsAction::Announce {
                host,
                addr,
                version,
                have,
            } => self.announce(host, addr, version, have),
            WeightsAction::VersionHeld { version } => self.notify(WeightsNotice::Held { version }),
            WeightsAction::Progress { version, permille } => {
                self.notify(WeightsNotice::Progress { version, permille });
            }
            WeightsAction::Log { event, detail } => log_event!(event, "{detail}"),
        }
    }

    fn notify(&self, notice: WeightsNotice) {
        // The transfer continues when the owner has dropped the receiver.
        let _ = self.notices.send(notice);
    }

    fn spawn_task(
        &mut self,
        version: Digest,
        kind: TaskKind,
        task: impl Future<Output = FinishedTask> + Send + 'static,
    ) {
        let handle = self.tasks.spawn(task);
        self.running.insert((version, kind), handle);
    }

    fn abort_task(&mut self, version: Digest, kind: TaskKind) {
        if let Some(handle) = self.running.remove(&(version, kind)) {
            handle.abort();
        }
    }

    fn abort_version(&mut self, version: &Digest) {
        self.running.retain(|(running, _), handle| {
            let should_abort = running == version;
            if should_abort {
                handle.abort();
            }
            !should_abort
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
            FinishedTask {
                version: wanted.version,
                kind: TaskKind::Manifest,
                event,
                manifest,
                announcement_bytes: 0,
                took: None,
            }
        };
        self.spawn_task(version, TaskKind::Manifest, task);
    }

    /// Looks for valid chunks of the version in the engine's staging area.
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
            FinishedTask {
                version: name.clone(),
                kind: TaskKind::Scan,
                event: WeightsEvent::StagingScanned {
                    version: name,
                    found,
                },
                manifest: None,
                announcement_bytes: 0,
                took: None,
            }
        };
        self.spawn_task(version, TaskKind::Scan, task);
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
        let kind = chunk_task(index, &source);
        let task_kind = kind.clone();
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
            FinishedTask {
                version: wanted.version,
                kind: task_kind,
                event,
                manifest: None,
                announcement_bytes: 0,
                took: Some(took),
            }
        };
        self.spawn_task(version, kind, task);
    }

    fn announce(&mut self, host: HostId, addr: SocketAddr, version: Digest, have: Have) {
        let client = self.client.clone();
        let kind = TaskKind::Announce(host.clone());
        let path = PeerRequest::Have(version.clone());
        let task_kind = kind.clone();
        let done_version = version.clone();
        let task = async move {
            let answer = client.announce(addr, &path, &have).await.ok();
            let announcement_bytes =
                announcement_size(&have) + answer.as_ref().map_or(0, announcement_size);
            let event = WeightsEvent::AnnouncementDone {
                host,
                version: done_version.clone(),
                have: answer,
            };
            FinishedTask {
                version: done_version,
                kind: task_kind,
                event,
                manifest: None,
                announcement_bytes,
                took: None,
            }
        };
        self.spawn_task(version, kind, task);
    }
}

fn chunk_task(index: u32, source: &Source) -> TaskKind {
    match source {
        Source::Peer(host) => TaskKind::Chunk(index, Some(host.clone())),
        Source::Origin(_) => TaskKind::Chunk(index, None),
    }
}

/// Estimated size in bytes of one announcement, request line and headers included.
fn announcement_size(have: &Have) -> u64 {
    const HEADER_BYTES: u64 = 200;
    match have {
        Have::Nothing => HEADER_BYTES,
        Have::Chunks(have) => HEADER_BYTES + have.memory() as u64,
    }
}
