//! Limit on a byte rate.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limit on a byte rate that schedules transfers one after the other.
#[derive(Clone, Debug)]
pub struct RateLimit {
    bytes_per_second: u64,
    next_start: Option<Instant>,
}

impl RateLimit {
    /// Creates a limit; a rate of 0 counts as 1 byte per second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            next_start: None,
        }
    }

    /// Changes the rate for later reservations; earlier ones keep their time.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second.max(1);
    }

    /// Reserves the transfer of `bytes` and returns the time at which it ends.
    pub fn reserve(&mut self, now: Instant, bytes: u64) -> Instant {
        let start = self
            .next_start
            .map_or(now, |next_start| next_start.max(now));
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let end = start + duration;
        self.next_start = Some(end);
        end
    }
}

/// Locks a shared limit; a poisoned lock is used too, as every update leaves a valid state.
pub(super) fn lock_rate(limit: &Mutex<RateLimit>) -> MutexGuard<'_, RateLimit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}
