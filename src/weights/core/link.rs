//! What a host knows of one peer as a source.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::weights::peers::Distance;

/// Weight of the newest sample in the moving average, as a divisor.
const EWMA_SHARE: u32 = 4;
/// First wait before a peer that failed is used again; doubles with each further failure.
const AVOID_BASE: Duration = Duration::from_millis(250);
/// Wait before a peer that sent a corrupt chunk is used again.
const AVOID_CORRUPT: Duration = Duration::from_secs(600);
/// Failures in a row after which the wait no longer doubles.
const MAX_STRIKES: u32 = 7;

/// One peer as a source of chunks.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub addr: SocketAddr,
    pub distance: Distance,
    /// Chunks that are being fetched from the peer.
    pub outstanding: usize,
    /// Moving average of the time that one chunk takes; `None` before the first.
    pub chunk_time: Option<Duration>,
    /// Failures in a row.
    strikes: u32,
    avoided_until: Option<Instant>,
}

impl Link {
    pub fn new(addr: SocketAddr, distance: Distance) -> Self {
        Self {
            addr,
            distance,
            outstanding: 0,
            chunk_time: None,
            strikes: 0,
            avoided_until: None,
        }
    }

    pub fn usable(&self, now: Instant) -> bool {
        self.avoided_until.is_none_or(|until| now >= until)
    }

    pub fn delivered(&mut self, took: Duration) {
        self.strikes = 0;
        let sample = match self.chunk_time {
            Some(old) => (old * (EWMA_SHARE - 1) + took) / EWMA_SHARE,
            None => took,
        };
        self.chunk_time = Some(sample);
    }

    pub fn failed(&mut self, now: Instant) {
        self.avoided_until = Some(now + AVOID_BASE * (1 << self.strikes));
        self.strikes = (self.strikes + 1).min(MAX_STRIKES);
    }

    pub fn corrupt(&mut self, now: Instant) {
        self.avoided_until = Some(now + AVOID_CORRUPT);
    }

    /// Expected time of one more chunk; `typical` stands in for a peer not yet measured.
    pub fn cost(&self, typical: Duration) -> Duration {
        let queue = self.outstanding as u32 + 1;
        self.chunk_time.unwrap_or(typical) * queue * distance_weight(self.distance)
    }
}

/// Factor by which a farther peer has to be faster to be chosen.
fn distance_weight(distance: Distance) -> u32 {
    match distance {
        Distance::Zone => 4,
        Distance::Region => 5,
        Distance::Elsewhere => 40,
    }
}
