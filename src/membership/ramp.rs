//! Slow start of an availability zone that returns to service.

use std::time::{Duration, Instant};

/// Time until a zone that returned has its full share.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Share at the start of the ramp.
const INITIAL_SHARE: f64 = 0.1;

/// Linear growth of a zone's share of the work.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    since: Instant,
}

impl Ramp {
    /// Starts a ramp at `now`.
    pub fn start(now: Instant) -> Self {
        Self { since: now }
    }

    /// Share at `now`, between `INITIAL_SHARE` and 1.
    pub fn share(&self, now: Instant) -> f64 {
        let progress =
            now.saturating_duration_since(self.since).as_secs_f64() / RAMP_TIME.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0)
    }

    /// True when the full share is reached.
    pub fn is_finished(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= RAMP_TIME
    }
}
