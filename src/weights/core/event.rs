//! Inputs of the decision logic for weight transfer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::types::{Digest, HostId, TargetId};
use crate::weights::bitmap::ChunkSet;
use crate::weights::error::FetchError;
use crate::weights::manifest::Manifest;
use crate::weights::peers::Peer;

/// A version of a model that this host has to fetch and hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// The model.
    pub model: TargetId,
    /// Name of the version at the origin and the weight store.
    pub name: Arc<str>,
    /// Digest of the version's manifest.
    pub version: Digest,
    /// Hosts that take part in the transfer; `None` for every listed host.
    pub hosts: Option<Arc<[HostId]>>,
}

/// Source of a fetch.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The agent of another host.
    Peer(HostId),
    /// An origin, by its index in [`WeightsConfig::origins`](super::WeightsConfig::origins).
    Origin(usize),
}

/// Input from the driver.
#[derive(Clone, Debug)]
pub enum WeightsEvent {
    /// The version is wanted; other versions of the model are no longer wanted.
    VersionWanted(WantedVersion),
    /// No version of the model is wanted anymore.
    ModelUnwanted {
        /// The model.
        model: TargetId,
    },
    /// The list of hosts was updated.
    PeersListed(Vec<Peer>),
    /// The fetch of a manifest ended.
    ManifestFetchDone {
        /// Digest of the manifest.
        version: Digest,
        /// Where it was fetched from.
        source: Source,
        /// The verified manifest.
        result: Result<Arc<Manifest>, FetchError>,
    },
    /// The fetch of a chunk ended; on success the chunk is verified and in memory.
    ChunkFetchDone {
        /// Digest of the manifest.
        version: Digest,
        /// Index of the chunk.
        index: u32,
        /// Where it was fetched from.
        source: Source,
        /// Chunks that the source holds, as given in its response.
        have: Option<ChunkSet>,
        /// Duration of the request, without the wait for this host's own rate limit.
        result: Result<Duration, FetchError>,
    },
    /// The search of the engine's staging area ended; the chunks found are verified and in memory.
    StagingScanned {
        /// Digest of the manifest.
        version: Digest,
        /// Chunks that were found.
        found: ChunkSet,
    },
    /// An announcement of a peer was received.
    AnnouncementReceived {
        /// The peer.
        host: HostId,
        /// Address of the peer's traffic listener.
        addr: SocketAddr,
        /// Digest of the manifest.
        version: Digest,
        /// What the peer holds.
        have: Have,
    },
    /// An announcement to a peer was answered, or failed.
    AnnouncementDone {
        /// The peer.
        host: HostId,
        /// Digest of the manifest.
        version: Digest,
        /// What the peer holds; `None` when the announcement failed.
        have: Option<Have>,
    },
    /// Periodic tick.
    Tick,
}

/// What a host holds of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Have {
    /// Neither manifest nor chunks.
    Nothing,
    /// The manifest and these chunks.
    Chunks(ChunkSet),
}
