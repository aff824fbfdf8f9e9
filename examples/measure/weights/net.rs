//! Rate-limited links between the hosts of one process, and what crossed them.
//!
//! A body passes the sender's link, the link between regions where there is one, and the
//! receiver's link, in slices and in this order. Bodies that share a link take turns.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use limpetloom::weights::RateLimit;

/// Bytes that pass a link in one go.
const SLICE: usize = 4096;

/// One direction of a link.
#[derive(Debug)]
pub struct Pipe {
    limit: Mutex<RateLimit>,
    bytes: AtomicU64,
    cut: AtomicBool,
}

impl Pipe {
    /// A link of so many bytes a second.
    pub fn new(bytes_per_second: f64) -> Arc<Self> {
        Arc::new(Self {
            limit: Mutex::new(RateLimit::new(bytes_per_second as u64)),
            bytes: AtomicU64::new(0),
            cut: AtomicBool::new(false),
        })
    }

    /// Waits until the bytes have passed.
    pub async fn pass(&self, bytes: usize) {
        while self.cut.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let until = {
            let mut limit = self.limit.lock().expect("no holder panics");
            limit.reserve(Instant::now(), bytes as u64)
        };
        tokio::time::sleep_until(until.into()).await;
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that have passed.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link or joins it again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Both directions of a host's link.
#[derive(Clone, Debug)]
pub struct HostLink {
    /// Region of the host.
    pub region: usize,
    /// Bytes that the host sends.
    pub up: Arc<Pipe>,
    /// Bytes that the host receives.
    pub down: Arc<Pipe>,
}

/// All links.
#[derive(Debug)]
pub struct Net {
    /// Links of the hosts.
    pub hosts: Vec<HostLink>,
    /// Link of the origin, which is in the first region.
    pub origin: Arc<Pipe>,
    /// Link between the first region and the others.
    pub between: Arc<Pipe>,
}

impl Net {
    /// Links that bytes pass on the way to a host; `from` is `None` for the origin.
    pub fn route(&self, from: Option<usize>, to: usize) -> Vec<Arc<Pipe>> {
        let to = &self.hosts[to];
        let (up, region) = match from {
            Some(from) => (&self.hosts[from].up, self.hosts[from].region),
            None => (&self.origin, 0),
        };
        let between = (region != to.region).then_some(&self.between);
        [Some(up), between, Some(&to.down)]
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }
}

/// Next slice of a body, once it has passed the links.
pub async fn next_slice(route: &[Arc<Pipe>], rest: &mut Bytes) -> Option<Bytes> {
    if rest.is_empty() {
        return None;
    }
    let slice = rest.split_to(rest.len().min(SLICE));
    for pipe in route {
        pipe.pass(slice.len()).await;
    }
    Some(slice)
}
