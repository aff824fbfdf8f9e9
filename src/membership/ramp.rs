//! Slow start of an availability zone that returns.

use std::time::{Duration, Instant};

/// Time until a zone that returned has its whole share.
const RAMP: Duration = Duration::from_secs(10);
/// Share at the start of the ramp.
const FIRST_SHARE: f64 = 0.1;

/// Linear growth of a zone's share.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    since: Instant,
}

impl Ramp {
    /// A ramp that starts at `now`.
    pub fn start(now: Instant) -> Self {
        Self { since: now }
    }

    /// Share at `now`, between the first share and 1.
    pub fn share(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.since).as_secs_f64() / RAMP.as_secs_f64();
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * passed).min(1.0)
    }

    /// True when the share is whole.
    pub fn is_finished(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= RAMP
    }
}
