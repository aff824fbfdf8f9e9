//! Cap on a rate of bytes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Cap on a rate of bytes, as a schedule of when each transfer may pass.
#[derive(Clone, Debug)]
pub struct RateLimit {
    bytes_per_second: u64,
    free_at: Option<Instant>,
}

impl RateLimit {
    /// A cap of so many bytes a second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            free_at: None,
        }
    }

    /// Changes the cap for what is booked from now on.
    pub fn set(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second.max(1);
    }

    /// Books `bytes` and returns the time at which they have passed.
    pub fn reserve(&mut self, now: Instant, bytes: u64) -> Instant {
        let start = self.free_at.map_or(now, |free_at| free_at.max(now));
        let took = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let end = start + took;
        self.free_at = Some(end);
        end
    }
}

/// A shared cap; one that a panic left behind is still whole.
pub(super) fn lock_rate(limit: &Mutex<RateLimit>) -> MutexGuard<'_, RateLimit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}
