//! The weight transfer service that an agent runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc};

use crate::types::{Digest, TargetId};

use super::client::WeightsClient;
use super::core::{WantedVersion, WeightsConfig, WeightsEvent};
use super::driver::Driver;
use super::error::StageError;
use super::peers::Peer;
use super::rate_limit::{RateLimit, lock_rate};
use super::staging;
use super::store::ChunkStore;
use super::wire::Sender;

/// Announcements of peers that wait for the decision logic; further ones are dropped.
const ANNOUNCEMENT_BUFFER: usize = 1024;

/// Weight transfer of one host; clones share it, and it stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct WeightsService {
    pub(super) inner: Arc<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub store: Arc<ChunkStore>,
    /// Announcements received from peers; dropped while the channel is full.
    pub announcements: mpsc::Sender<WeightsEvent>,
    /// Inputs of the owner, handled in the order of sending.
    inputs: mpsc::UnboundedSender<Input>,
    pub uploads: Semaphore,
    pub upload_rate: Option<Mutex<RateLimit>>,
    download_rate: Option<Arc<Mutex<RateLimit>>>,
    client: WeightsClient,
}

/// Input from the owner of the service.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the decision logic.
    Event(WeightsEvent),
    /// A request for the state, for the dump and for measurements.
    Inspect(tokio::sync::oneshot::Sender<WeightsState>),
}

/// Notification from the service to its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightsNotice {
    /// All chunks of the version are verified and in memory.
    Held {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Share of the version's chunks that are verified.
    Progress {
        /// Digest of the manifest.
        version: Digest,
        /// Share in permille.
        permille: u32,
    },
    /// The fetch of a chunk has ended.
    ChunkFetched {
        /// True when the source was an origin, false when it was another host.
        from_origin: bool,
        /// True when the chunk arrived and has the digest listed in the manifest.
        succeeded: bool,
        /// Time since the request was sent.
        took: Duration,
        /// Fetches that run on, over all versions.
        others: usize,
    },
}

/// Sizes of the service's state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WeightsState {
    /// Bytes of control state, without the chunks and the host list.
    pub control_bytes: usize,
    /// Size of the chunks in memory, in bytes.
    pub chunk_bytes: u64,
    /// Number of peers that announcements are exchanged with.
    pub peers: usize,
    /// Estimated bytes of announcements sent and of their answers since the start.
    pub announcement_bytes: u64,
}

impl WeightsService {
    /// Starts the service on the current runtime.
    ///
    /// The channel of notices closes when the last clone of the service is dropped.
    pub fn spawn(cfg: WeightsConfig, seed: u64) -> (Self, mpsc::UnboundedReceiver<WeightsNotice>) {
        let (announcements_tx, announcements_rx) = mpsc::channel(ANNOUNCEMENT_BUFFER);
        let (inputs, inputs_rx) = mpsc::unbounded_channel();
        let (notices, notices_rx) = mpsc::unbounded_channel();
        let store = Arc::new(ChunkStore::default());
        let own = Sender {
            host: cfg.own.host.clone(),
            addr: cfg.own.addr,
        };
        let client = WeightsClient::new(own, cfg.fetch_timeout, cfg.origin_api.clone());
        let download_rate = cfg
            .download_rate
            .map(|rate| Arc::new(Mutex::new(RateLimit::new(rate))));
        let inner = Inner {
            store: store.clone(),
            announcements: announcements_tx,
            inputs,
            uploads: Semaphore::new(cfg.max_uploads),
            upload_rate: cfg.upload_rate.map(|rate| Mutex::new(RateLimit::new(rate))),
            download_rate: download_rate.clone(),
            client: client.clone(),
        };
        tokio::spawn(
            Driver::new(cfg, seed, store, client, download_rate, notices)
                .run(inputs_rx, announcements_rx),
        );
        let service = Self {
            inner: Arc::new(inner),
        };
        (service, notices_rx)
    }

    /// Starts to fetch a version; the transfer of an older version of the model stops at once.
    pub fn fetch(&self, wanted: WantedVersion) {
        self.send(WeightsEvent::VersionWanted(wanted));
    }

    /// Stops the transfer of all versions of the model.
    pub fn release(&self, model: TargetId) {
        self.send(WeightsEvent::ModelUnwanted { model });
    }

    /// Sets the hosts that exchange weights; the list may include this one or not.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        self.send(WeightsEvent::PeersListed(peers));
    }

    /// Changes the limits on chunk bytes per second, if the service was started with limits.
    pub fn set_rate(&self, bytes_per_second: u64) {
        if let Some(limit) = &self.inner.upload_rate {
            lock_rate(limit).set_rate(bytes_per_second);
        }
        if let Some(limit) = &self.inner.download_rate {
            lock_rate(limit).set_rate(bytes_per_second);
        }
    }

    /// Writes a held version to an engine's staging area.
    ///
    /// # Errors
    ///
    /// [`StageError`] when the host does not hold all chunks of the version, or the engine does not
    /// accept the bytes.
    pub async fn stage(&self, engine: SocketAddr, version: &Digest) -> Result<(), StageError> {
        staging::stage_version(&self.inner.store, &self.inner.client, engine, version).await
    }

    /// Returns the sizes of the state.
    pub async fn state(&self) -> WeightsState {
        let (tx, rx) = tokio::sync::oneshot::channel();
        if self.inner.inputs.send(Input::Inspect(tx)).is_err() {
            return WeightsState::default();
        }
        rx.await.unwrap_or_default()
    }

    /// Returns the manifest of a version that the host is fetching or holds.
    pub fn manifest(&self, version: &str) -> Option<Arc<super::Manifest>> {
        self.inner.store.manifest(version)
    }

    /// Returns the verified bytes of a chunk that the host holds.
    pub fn chunk(&self, version: &str, index: u32) -> Option<Bytes> {
        self.inner.store.chunk(version, index)
    }

    fn send(&self, event: WeightsEvent) {
        // The driver runs as long as any clone of the service exists.
        let _ = self.inner.inputs.send(Input::Event(event));
    }
}
