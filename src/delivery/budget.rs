//! Retry budget: limits retries to a share of the requests plus a slack that all entries divide.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Width of one bucket of the sliding window.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);

/// Counts the requests and retries of one target in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    /// Start, requests and retries of each bucket, oldest first.
    buckets: VecDeque<(Instant, u32, u32)>,
}

/// Limit on the retries of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed on top of that, divided among the entries.
    pub slack: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a new request, as opposed to a retry.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).1 += 1;
    }

    /// Counts a retry if the share of one of `entries` entries allows it; returns false otherwise.
    pub fn try_take(&mut self, now: Instant, limit: RetryLimit, entries: u32) -> bool {
        let allowed = self.remaining(now, limit, entries) >= 1.0;
        if allowed {
            self.current_bucket(now).2 += 1;
        }
        allowed
    }

    /// Takes back a counted retry that was not sent.
    pub fn give_back(&mut self, now: Instant) {
        self.current_bucket(now);
        let mut newest_first = self.buckets.iter_mut().rev();
        if let Some(bucket) = newest_first.find(|(.., retries)| *retries > 0) {
            bucket.2 -= 1;
        }
    }

    /// Returns how many retries the share of one of `entries` entries still allows. The result is
    /// negative when requests have left the window but the retries they allowed have not.
    pub fn remaining(&mut self, now: Instant, limit: RetryLimit, entries: u32) -> f64 {
        self.current_bucket(now);
        let counts = self.buckets.iter();
        let (requests, retries) = counts.fold((0, 0), |sum, (_, a, b)| (sum.0 + a, sum.1 + b));
        let slack = limit.slack / f64::from(entries.max(1));
        limit.ratio * f64::from(requests) + slack - f64::from(retries)
    }

    fn current_bucket(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        while self
            .buckets
            .front()
            .is_some_and(|(at, ..)| now.saturating_duration_since(*at) > self.window)
        {
            self.buckets.pop_front();
        }
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|(at, ..)| now.saturating_duration_since(*at) >= BUCKET_WIDTH);
        if needs_bucket {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
