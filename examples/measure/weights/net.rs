//! Simulated rate-limited links between hosts that run in one process; they count the bytes sent.
//!
//! A body is sent in slices over the sender's link, the link between regions if the hosts are in
//! different ones, and the receiver's link, in this order. Slices of bodies that share a link
//! alternate.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use limpetloom::weights::RateLimit;

/// Maximum bytes that are sent over a link at once.
const SLICE_BYTES: usize = 4096;

/// A rate-limited link, or one direction of a host's link.
#[derive(Debug)]
pub struct Pipe {
    limit: Mutex<RateLimit>,
    /// Bytes sent so far.
    bytes: AtomicU64,
    /// While true, no transmission starts; those that have reserved their time still end.
    cut: AtomicBool,
}

impl Pipe {
    /// Creates a link that is not cut.
    pub fn new(bytes_per_second: f64) -> Arc<Self> {
        Arc::new(Self {
            limit: Mutex::new(RateLimit::new(bytes_per_second as u64)),
            bytes: AtomicU64::new(0),
            cut: AtomicBool::new(false),
        })
    }

    /// Waits until the link is not cut and the time that the bytes take at its rate has passed;
    /// then counts them as sent.
    pub async fn transmit(&self, bytes: usize) {
        while self.cut.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sent_at = {
            let mut limit = self
                .limit
                .lock()
                .expect("no thread panics while it holds the lock");
            limit.reserve(Instant::now(), bytes as u64)
        };
        tokio::time::sleep_until(sent_at.into()).await;
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link if `cut` is true, otherwise restores it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Both directions of a host's link.
#[derive(Clone, Debug)]
pub struct HostLink {
    /// Index of the host's region.
    pub region: usize,
    /// Direction in which the host sends.
    pub up: Arc<Pipe>,
    /// Direction in which the host receives.
    pub down: Arc<Pipe>,
}

/// All links of a fleet.
#[derive(Debug)]
pub struct Net {
    /// Links of the hosts, by host number.
    pub hosts: Vec<HostLink>,
    /// Link on which the origin sends; the origin is in region 0.
    pub origin: Arc<Pipe>,
    /// Link that all traffic between regions shares, whatever its direction.
    pub between_regions: Arc<Pipe>,
}

impl Net {
    /// Links on the way to a host, in order; `from` is `None` for the origin.
    pub fn route(&self, from: Option<usize>, to: usize) -> Vec<Arc<Pipe>> {
        let to = &self.hosts[to];
        let (up, region) = match from {
            Some(from) => (&self.hosts[from].up, self.hosts[from].region),
            None => (&self.origin, 0),
        };
        let between_regions = (region != to.region).then_some(&self.between_regions);
        [Some(up), between_regions, Some(&to.down)]
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }
}

/// Splits the next slice off a body and returns it once it has been sent over all links; `None` at
/// the end of the body.
pub async fn next_slice(route: &[Arc<Pipe>], rest: &mut Bytes) -> Option<Bytes> {
    if rest.is_empty() {
        return None;
    }
    let slice = rest.split_to(rest.len().min(SLICE_BYTES));
    for pipe in route {
        pipe.transmit(slice.len()).await;
    }
    Some(slice)
}
