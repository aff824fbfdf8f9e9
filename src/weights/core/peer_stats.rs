//! Statistics and backoff of one peer as a source of chunks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::weights::peers::Distance;

/// Divisor that gives the weight of the newest sample in the moving average.
const EWMA_DIVISOR: u32 = 4;
/// Backoff after the first failure of a peer; doubles with each consecutive failure.
const BACKOFF_BASE: Duration = Duration::from_millis(250);
/// Backoff after a peer sent a corrupt chunk.
const CORRUPT_BACKOFF: Duration = Duration::from_secs(600);
/// Number of consecutive failures after which the backoff no longer doubles.
const MAX_CONSECUTIVE_FAILURES: u32 = 7;

/// Address, measurements and backoff of one peer as a source of chunks.
#[derive(Clone, Debug)]
pub(super) struct PeerStats {
    pub addr: SocketAddr,
    pub distance: Distance,
    /// Number of chunks being fetched from the peer.
    pub active_fetches: usize,
    /// Exponential moving average of the time to fetch a chunk; `None` before the first chunk.
    pub mean_chunk_time: Option<Duration>,
    /// Counted up to [`MAX_CONSECUTIVE_FAILURES`].
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
}

impl PeerStats {
    pub fn new(addr: SocketAddr, distance: Distance) -> Self {
        Self {
            addr,
            distance,
            active_fetches: 0,
            mean_chunk_time: None,
            consecutive_failures: 0,
            backoff_until: None,
        }
    }

    pub fn is_usable(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    pub fn record_success(&mut self, took: Duration) {
        self.consecutive_failures = 0;
        let mean = match self.mean_chunk_time {
            Some(old) => (old * (EWMA_DIVISOR - 1) + took) / EWMA_DIVISOR,
            None => took,
        };
        self.mean_chunk_time = Some(mean);
    }

    pub fn record_failure(&mut self, now: Instant) {
        self.backoff_until = Some(now + BACKOFF_BASE * (1 << self.consecutive_failures));
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_CONSECUTIVE_FAILURES);
    }

    pub fn record_corrupt_chunk(&mut self, now: Instant) {
        self.backoff_until = Some(now + CORRUPT_BACKOFF);
    }

    /// Expected time to fetch one more chunk, weighted by distance.
    ///
    /// `median` is used for a peer that has not been measured.
    pub fn cost(&self, median: Duration) -> Duration {
        let queue = self.active_fetches as u32 + 1;
        self.mean_chunk_time.unwrap_or(median) * queue * distance_weight(self.distance)
    }
}

/// Weight of a chunk's expected time by distance; more distant peers are chosen only if they are
/// faster by the ratio of the weights.
fn distance_weight(distance: Distance) -> u32 {
    match distance {
        Distance::SameZone => 4,
        Distance::SameRegion => 5,
        Distance::OtherRegion => 40,
    }
}
