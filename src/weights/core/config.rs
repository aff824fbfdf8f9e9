//! Settings of the decision logic and of the service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::weights::origin::{OriginApi, ProductOrigin};
use crate::weights::peers::Peer;
use crate::weights::stage::Staging;

/// Settings of weight transfer on one host.
#[derive(Clone, Debug)]
pub struct WeightsConfig {
    /// This host.
    pub own: Peer,
    /// Origin and weight store, in the order in which they are asked.
    pub origins: Vec<SocketAddr>,
    /// What the origins' paths and manifests look like.
    pub origin_api: Arc<dyn OriginApi>,
    /// True when all regions share one draw from the origin; otherwise each region draws its own.
    pub share_origin_download: bool,
    /// Hosts that draw chunks where all regions share one draw.
    pub origin_downloaders: usize,
    /// Hosts of a region that draw the manifest from the origin at once; it is small against a
    /// copy, and the transfer starts only when it has spread.
    pub manifest_downloaders: u8,
    /// Staging of the engine beside the host, which may hold chunks already; absent where chunks
    /// are only put there.
    pub staging: Option<Arc<dyn Staging>>,
    /// Rings from which peers are taken; a host has up to twice as many peers.
    pub rings: usize,
    /// Chunks that are fetched from peers at once.
    pub max_downloads: usize,
    /// Chunks that are fetched from one peer at once.
    pub max_downloads_per_peer: usize,
    /// Chunks that are drawn from the origin at once.
    pub max_origin_downloads: usize,
    /// Chunks that are sent to peers at once.
    pub max_uploads: usize,
    /// Shortest time between two announcements to one peer.
    pub announce_interval: Duration,
    /// Time without news after which the next host in rank draws a chunk from the origin.
    pub takeover_delay: Duration,
    /// Wait after an origin failed, before it is asked again.
    pub origin_retry_delay: Duration,
    /// Time after which a fetch is given up.
    pub fetch_timeout: Duration,
    /// Bound on the memory for chunks in bytes.
    pub max_chunk_memory: u64,
    /// Versions that are kept at most, those that are wanted included; older ones go first.
    pub max_versions: usize,
    /// Cap on received chunk bytes a second; `None` for no cap.
    pub download_rate: Option<u64>,
    /// Cap on sent chunk bytes a second; `None` for no cap.
    pub upload_rate: Option<u64>,
}

impl WeightsConfig {
    /// Defaults for a host.
    pub fn new(own: Peer, origins: Vec<SocketAddr>) -> Self {
        Self {
            own,
            origins,
            origin_api: Arc::new(ProductOrigin),
            share_origin_download: false,
            origin_downloaders: 24,
            manifest_downloaders: 8,
            staging: None,
            rings: 4,
            max_downloads: 12,
            max_downloads_per_peer: 3,
            max_origin_downloads: 1,
            max_uploads: 4,
            announce_interval: Duration::from_millis(500),
            takeover_delay: Duration::from_secs(5),
            origin_retry_delay: Duration::from_secs(1),
            fetch_timeout: Duration::from_secs(30),
            max_chunk_memory: 64 << 30,
            max_versions: usize::MAX,
            download_rate: None,
            upload_rate: None,
        }
    }
}
