//! Rate of events as an exponentially decayed count.

use std::time::{Duration, Instant};

/// Time over which past events fade.
const FADE: Duration = Duration::from_secs(2);

/// Events a second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    count: f64,
    since: Instant,
    last: Instant,
}

impl Rate {
    /// No event yet.
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            since: now,
            last: now,
        }
    }

    /// Notes an event.
    pub fn note(&mut self, now: Instant) {
        self.count = self.faded(now) + 1.0;
        self.last = now;
    }

    /// Events a second; corrected for the time before the first measurement.
    pub fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        let seen = 1.0 - (-age / FADE.as_secs_f64()).exp();
        if seen <= 0.0 {
            return 0.0;
        }
        self.faded(now) / (FADE.as_secs_f64() * seen)
    }

    fn faded(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.count * (-passed / FADE.as_secs_f64()).exp()
    }
}
