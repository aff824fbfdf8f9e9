//! Shell around the decision logic: the service that an agent runs.

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
use super::limit::{RateLimit, lock_rate};
use super::peers::Peer;
use super::stage;
use super::store::ChunkStore;
use super::wire::Sender;

/// Events that wait for the decision logic; peers' announcements beyond are dropped.
const EVENT_BUFFER: usize = 1024;

/// Weight transfer of one host; clones share it, and it ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct WeightsService {
    pub(super) inner: Arc<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub store: Arc<ChunkStore>,
    /// Peers' announcements; one that finds it full is dropped.
    pub events: mpsc::Sender<WeightsEvent>,
    /// What the owner asks for, in the order in which it asked.
    owner: mpsc::UnboundedSender<Input>,
    pub uploads: Semaphore,
    pub upload_rate: Option<Mutex<RateLimit>>,
    download_rate: Option<Arc<Mutex<RateLimit>>>,
    client: WeightsClient,
}

/// What the owner of the service asks for.
#[derive(Debug)]
pub(super) enum Input {
    /// An event.
    Event(WeightsEvent),
    /// A question about the state, for the dump and for measurements.
    Inspect(tokio::sync::oneshot::Sender<WeightsState>),
}

/// What the service tells its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightsNotice {
    /// All chunks of the version are verified and in memory.
    Held {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Share of the version's chunks that is verified.
    Progress {
        /// Digest of the manifest.
        version: Digest,
        /// Share in thousandths.
        permille: u32,
    },
    /// The fetch of a chunk has ended.
    ChunkFetched {
        /// True when it was asked of an origin, false when of another host.
        from_origin: bool,
        /// True when the chunk arrived and is what the manifest says.
        succeeded: bool,
        /// Time since the request was sent.
        took: Duration,
    },
}

/// Size of the service's state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WeightsState {
    /// Bytes of control state, without the chunks and the host list.
    pub control_bytes: usize,
    /// Bytes of the chunks in memory.
    pub chunk_bytes: u64,
    /// Peers that announcements are exchanged with.
    pub peers: usize,
    /// Bytes of announcements sent and answered since the start.
    pub announcement_bytes: u64,
}

impl WeightsService {
    /// Starts the service on the current runtime.
    ///
    /// The notices end when the last clone of the service is dropped.
    pub fn spawn(cfg: WeightsConfig, seed: u64) -> (Self, mpsc::UnboundedReceiver<WeightsNotice>) {
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        let (owner, owner_rx) = mpsc::unbounded_channel();
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
            events: tx,
            owner,
            uploads: Semaphore::new(cfg.max_uploads),
            upload_rate: cfg.upload_rate.map(|rate| Mutex::new(RateLimit::new(rate))),
            download_rate: download_rate.clone(),
            client: client.clone(),
        };
        tokio::spawn(
            Driver::new(cfg, seed, store, client, download_rate, notices).run(owner_rx, rx),
        );
        let service = Self {
            inner: Arc::new(inner),
        };
        (service, notices_rx)
    }

    /// Wants a version; work on an older one of the model stops at once.
    pub fn fetch(&self, wanted: WantedVersion) {
        self.send(WeightsEvent::VersionWanted(wanted));
    }

    /// Wants no version of the model any longer.
    pub fn release(&self, model: TargetId) {
        self.send(WeightsEvent::ModelUnwanted { model });
    }

    /// Tells who the hosts are, this one included or not.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        self.send(WeightsEvent::PeersListed(peers));
    }

    /// Changes the caps on chunk bytes a second, where the service has caps.
    pub fn set_rate(&self, bytes_per_second: u64) {
        if let Some(limit) = &self.inner.upload_rate {
            lock_rate(limit).set(bytes_per_second);
        }
        if let Some(limit) = &self.inner.download_rate {
            lock_rate(limit).set(bytes_per_second);
        }
    }

    /// Puts a held version into an engine's staging.
    ///
    /// # Errors
    ///
    /// [`StageError`] when the host does not hold the whole version, or the engine refuses.
    pub async fn stage(&self, engine: SocketAddr, version: &Digest) -> Result<(), StageError> {
        stage::stage(&self.inner.store, &self.inner.client, engine, version).await
    }

    /// Size of the state.
    pub async fn state(&self) -> WeightsState {
        let (tx, rx) = tokio::sync::oneshot::channel();
        if self.inner.owner.send(Input::Inspect(tx)).is_err() {
            return WeightsState::default();
        }
        rx.await.unwrap_or_default()
    }

    /// The manifest of a version that the host fetches or holds.
    pub fn manifest(&self, version: &str) -> Option<Arc<super::Manifest>> {
        self.inner.store.manifest(version)
    }

    /// Verified bytes of a chunk that the host holds.
    pub fn chunk(&self, version: &str, index: u32) -> Option<Bytes> {
        self.inner.store.chunk(version, index)
    }

    fn send(&self, event: WeightsEvent) {
        // The driver lives as long as any clone of the service.
        let _ = self.inner.owner.send(Input::Event(event));
    }
}
