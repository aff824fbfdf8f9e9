//! Settings of the decision logic and the service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::weights::origin::{DefaultOriginApi, OriginApi};
use crate::weights::peers::Peer;
use crate::weights::staging::Staging;

/// Default of [`WeightsConfig::max_link_wait`]: half of the time within which the cancellation of a
/// request has to take effect at its endpoint.
const MAX_LINK_WAIT: Duration = Duration::from_millis(250);

/// Settings of weight transfer on one host.
#[derive(Clone, Debug)]
pub struct WeightsConfig {
    /// This host.
    pub own: Peer,
    /// Addresses of the origins, such as weight store and origin, in the order of preference.
    pub origins: Vec<SocketAddr>,
    /// Paths and manifest format of the origins.
    pub origin_api: Arc<dyn OriginApi>,
    /// True when all regions share one download from the origin; otherwise each region downloads
    /// its own copy.
    pub share_origin_download: bool,
    /// Number of hosts that download chunks from the origin when all regions share one download.
    pub origin_downloaders: usize,
    /// Number of hosts of a region that may download the manifest from the origin at the same
    /// time. The manifest is much smaller than the chunks, and the transfer starts only once hosts
    /// have it.
    pub manifest_downloaders: u8,
    /// Staging area of the engine on this host, which is searched for chunks when a version is
    /// opened; `None` to skip the search.
    pub staging: Option<Arc<dyn Staging>>,
    /// Number of rings that peers are taken from; each ring contributes at most two.
    pub rings: usize,
    /// Maximum number of chunks fetched from peers at once.
    pub max_downloads: usize,
    /// Maximum number of chunks fetched from one peer at once.
    pub max_downloads_per_peer: usize,
    /// Maximum number of chunks downloaded from the origin at once.
    pub max_origin_downloads: usize,
    /// Longest wait on the host's link that chunks may cause to other traffic. Fewer chunks are
    /// fetched at once while it is exceeded, but at least one.
    pub max_link_wait: Duration,
    /// Maximum number of chunks sent to peers at once.
    pub max_uploads: usize,
    /// Minimum time between two announcements to one peer.
    pub announce_interval: Duration,
    /// Time without new chunks after which the host of the next rank takes over the download of a
    /// chunk from the origin.
    pub takeover_delay: Duration,
    /// Time after a failed request to an origin before the next request.
    pub origin_retry_delay: Duration,
    /// Timeout of a request.
    pub fetch_timeout: Duration,
    /// Maximum memory for chunks in bytes.
    pub max_chunk_memory: u64,
    /// Maximum number of open versions, including the wanted ones; the oldest superseded versions
    /// are dropped first.
    pub max_versions: usize,
    /// Limit on received chunk bytes per second; `None` for no limit.
    pub download_rate: Option<u64>,
    /// Limit on sent chunk bytes per second; `None` for no limit.
    pub upload_rate: Option<u64>,
}

impl WeightsConfig {
    /// Default settings of a host.
    pub fn new(own: Peer, origins: Vec<SocketAddr>) -> Self {
        Self {
            own,
            origins,
            origin_api: Arc::new(DefaultOriginApi),
            share_origin_download: false,
            origin_downloaders: 24,
            manifest_downloaders: 8,
            staging: None,
            rings: 4,
            max_downloads: 12,
            max_downloads_per_peer: 3,
            max_origin_downloads: 1,
            max_link_wait: MAX_LINK_WAIT,
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
