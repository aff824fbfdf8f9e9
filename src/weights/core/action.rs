//! Outputs of the decision logic for weight transfer.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::manifest::Manifest;

use super::{Have, Source, WantedVersion};

/// Work that the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum WeightsAction {
    /// Fetch and verify the manifest.
    FetchManifest {
        /// The version.
        wanted: WantedVersion,
        /// Where to fetch it from.
        source: Source,
        /// Address of the source.
        addr: SocketAddr,
    },
    /// Create the version in the chunk store; its chunks are served to peers as they arrive.
    OpenVersion {
        /// Digest of the manifest.
        version: Digest,
        /// The manifest.
        manifest: Arc<Manifest>,
    },
    /// Fetch and verify a chunk.
    FetchChunk {
        /// The version.
        wanted: WantedVersion,
        /// Index of the chunk.
        index: u32,
        /// Where to fetch it from.
        source: Source,
        /// Address of the source.
        addr: SocketAddr,
    },
    /// Abort one fetch of a chunk because another fetch of the same chunk was faster.
    AbortChunkFetch {
        /// Digest of the manifest.
        version: Digest,
        /// Index of the chunk.
        index: u32,
        /// Source of the aborted fetch.
        source: Source,
    },
    /// Abort all fetches and announcements of the version.
    AbortVersion {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Remove the version from the chunk store.
    DropVersion {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Announce to a peer what this host holds; the answer lists what the peer holds.
    Announce {
        /// The peer.
        host: HostId,
        /// Address of the peer.
        addr: SocketAddr,
        /// Digest of the manifest.
        version: Digest,
        /// What this host holds.
        have: Have,
    },
    /// Report that all chunks are verified and in memory.
    VersionHeld {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Report the share of chunks that are verified.
    Progress {
        /// Digest of the manifest.
        version: Digest,
        /// Share in permille.
        permille: u32,
    },
    /// Log a numbered event.
    Log {
        /// The event.
        event: Event,
        /// Details to log with the event.
        detail: String,
    },
}
