//! Cold return: endpoints that restart together are cold, and each gets a limited number of
//! requests per second from all entries together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sliding window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Sliding-window rate limiter for the requests of this entry to one cold endpoint.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    /// Times of the requests within the window, oldest first.
    sent: VecDeque<Instant>,
}

impl ColdRateLimiter {
    /// True when one more request is within this entry's equal part of `rate` requests per second.
    /// The part is at least one request.
    pub fn admits(&mut self, now: Instant, rate: f64, entries: u32) -> bool {
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW)
        {
            self.sent.pop_front();
        }
        let limit = (rate / f64::from(entries.max(1))).floor().max(1.0);
        (self.sent.len() as f64) < limit
    }

    /// Records a sent request.
    pub fn sent(&mut self, now: Instant) {
        self.sent.push_back(now);
    }
}
