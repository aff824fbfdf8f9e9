//! Outputs of the decision logic that moves weights.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::telemetry::Event;
use crate::types::{Digest, HostId};
use crate::weights::manifest::Manifest;

use super::{Have, Source, WantedVersion};

/// Something that the shell has to do.
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
    /// Keep room for the version's chunks and serve them as they arrive.
    Open {
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
    /// Stop one fetch of a chunk; another one was faster.
    AbortChunk {
        /// Digest of the manifest.
        version: Digest,
        /// Index of the chunk.
        index: u32,
        /// Where it was being fetched from.
        source: Source,
    },
    /// Stop every fetch and announcement of the version.
    Abort {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Free the version's memory.
    Drop {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Tell a peer what this host holds, and ask what it holds.
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
    /// All chunks are verified and in memory.
    Held {
        /// Digest of the manifest.
        version: Digest,
    },
    /// Share of the chunks that is verified.
    Progress {
        /// Digest of the manifest.
        version: Digest,
        /// Share in thousandths.
        permille: u32,
    },
    /// Log a numbered event.
    Log {
        /// The event.
        event: Event,
        /// Detail for the reader.
        detail: String,
    },
}
