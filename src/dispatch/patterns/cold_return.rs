//! A cold return: endpoints that come back together are cold and get a bounded number of requests in
//! a second, shared by all entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests that this entry sent to one cold endpoint.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    sent: VecDeque<Instant>,
}

impl ColdRateLimiter {
    /// True when one more request stays within this entry's part of `rate` a second.
    pub fn admits(&mut self, now: Instant, rate: f64, entries: u32) -> bool {
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW)
        {
            self.sent.pop_front();
        }
        let part = (rate / f64::from(entries.max(1))).floor().max(1.0);
        (self.sent.len() as f64) < part
    }

    /// Counts a request.
    pub fn sent(&mut self, now: Instant) {
        self.sent.push_back(now);
    }
}
