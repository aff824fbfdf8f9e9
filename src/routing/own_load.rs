//! Exact count of an entry's own requests at an endpoint, with its recent peak.

use std::time::{Duration, Instant};

/// Age up to which a load report may lag.
const LAG: Duration = Duration::from_secs(1);

/// Number of own requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct OwnLoad {
    now: u32,
    /// Invariant: both peaks are at least `now` as of their interval.
    peak: u32,
    last_peak: u32,
    interval_start: Instant,
}

impl OwnLoad {
    /// No request in flight.
    pub fn new(now: Instant) -> Self {
        Self {
            now: 0,
            peak: 0,
            last_peak: 0,
            interval_start: now,
        }
    }

    /// Number in flight.
    pub fn count(&self) -> u32 {
        self.now
    }

    /// One more is in flight.
    pub fn add(&mut self, now: Instant) {
        self.roll(now);
        self.now += 1;
        self.peak = self.peak.max(self.now);
    }

    /// One has ended.
    pub fn remove(&mut self, now: Instant) {
        self.roll(now);
        self.now = self.now.saturating_sub(1);
    }

    /// Highest number that a report may still count as this entry's.
    pub fn recent_peak(&mut self, now: Instant) -> u32 {
        self.roll(now);
        self.peak.max(self.last_peak)
    }

    fn roll(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.interval_start);
        if passed < LAG {
            return;
        }
        self.last_peak = if passed < 2 * LAG {
            self.peak
        } else {
            self.now
        };
        self.peak = self.now;
        self.interval_start = now;
    }
}
