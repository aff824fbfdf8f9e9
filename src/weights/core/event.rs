//! Inputs of the decision logic that moves weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::types::{Digest, HostId, TargetId};
use crate::weights::bitmap::ChunkSet;
use crate::weights::error::FetchError;
use crate::weights::manifest::Manifest;
use crate::weights::peers::Peer;

/// A version that this host has to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// The model.
    pub model: TargetId,
    /// Name of the version at origin and weight store.
    pub name: Arc<str>,
    /// Digest of the version's manifest.
    pub version: Digest,
    /// Hosts that want the version; `None` for every listed host.
    pub hosts: Option<Arc<[HostId]>>,
}

/// Where bytes come from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// Another agent.
    Peer(HostId),
    /// Origin or weight store, by its place in the settings.
    Origin(usize),
}

/// Something that the shell has seen.
#[derive(Clone, Debug)]
pub enum WeightsEvent {
    /// The version is wanted; an older one of the model is not wanted any longer.
    VersionWanted(WantedVersion),
    /// No version of the model is wanted any longer.
    ModelUnwanted {
        /// The model.
        model: TargetId,
    },
    /// The hosts were listed.
    PeersListed(Vec<Peer>),
    /// A fetch of a manifest ended.
    ManifestFetchDone {
        /// Digest of the manifest.
        version: Digest,
        /// Where it was fetched from.
        source: Source,
        /// The verified manifest.
        result: Result<Arc<Manifest>, FetchError>,
    },
    /// A fetch of a chunk ended; an accepted chunk is verified and in memory.
    ChunkFetchDone {
        /// Digest of the manifest.
        version: Digest,
        /// Index of the chunk.
        index: u32,
        /// Where it was fetched from.
        source: Source,
        /// Chunks that the source said it holds.
        have: Option<ChunkSet>,
        /// How long the bytes took on the way, without waiting for this host's own caps.
        result: Result<Duration, FetchError>,
    },
    /// The engine's staging was looked through; what was found is verified and in memory.
    StagingScanned {
        /// Digest of the manifest.
        version: Digest,
        /// Chunks that were found.
        found: ChunkSet,
    },
    /// A peer said which chunks it holds.
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
    /// An announcement to a peer was answered, or not.
    AnnouncementDone {
        /// The peer.
        host: HostId,
        /// Digest of the manifest.
        version: Digest,
        /// What the peer holds; `None` when it was not reached.
        have: Option<Have>,
    },
    /// Time has passed.
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
