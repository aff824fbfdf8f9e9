//! Event rate estimated from an exponentially decaying count.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Estimator of events per second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Decayed count of events as of `last`.
    count: f64,
    /// Start of the measurement.
    since: Instant,
    /// Time of the last event.
    last: Instant,
}

impl Rate {
    /// Starts the measurement without any event.
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            since: now,
            last: now,
        }
    }

    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        self.count = self.decayed_count(now) + 1.0;
        self.last = now;
    }

    /// Events per second, corrected for a measurement shorter than the decay time.
    pub fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        let coverage = 1.0 - (-age / DECAY_TIME.as_secs_f64()).exp();
        if coverage <= 0.0 {
            return 0.0;
        }
        self.decayed_count(now) / (DECAY_TIME.as_secs_f64() * coverage)
    }

    fn decayed_count(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.count * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }
}
