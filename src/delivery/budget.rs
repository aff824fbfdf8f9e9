//! Budget for sending requests once more, shared by all entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Width of one count of the window.
const SLICE: Duration = Duration::from_millis(500);

/// Requests and repeats of one target in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    /// Counts of requests and repeats by slice, oldest first.
    slices: VecDeque<(Instant, u32, u32)>,
}

/// What repeats may amount to over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Share of the requests.
    pub ratio: f64,
    /// Repeats beyond that share.
    pub slack: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

impl RetryWindow {
    /// An empty window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).1 += 1;
    }

    /// Draws a repeat; false when the budget of this entry, one of `entries`, is spent.
    pub fn try_take(&mut self, now: Instant, limit: RetryLimit, entries: u32) -> bool {
        let drawn = self.remaining(now, limit, entries) >= 1.0;
        if drawn {
            self.slice(now).2 += 1;
        }
        drawn
    }

    /// Repeats that the budget of this entry, one of `entries`, still allows; below 0 once requests
    /// that paid for repeats have left the window.
    pub fn remaining(&mut self, now: Instant, limit: RetryLimit, entries: u32) -> f64 {
        self.slice(now);
        let counts = self.slices.iter();
        let (requests, repeats) = counts.fold((0, 0), |sum, (_, a, b)| (sum.0 + a, sum.1 + b));
        let slack = limit.slack / f64::from(entries.max(1));
        limit.ratio * f64::from(requests) + slack - f64::from(repeats)
    }

    fn slice(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        while self
            .slices
            .front()
            .is_some_and(|(at, ..)| now.saturating_duration_since(*at) > self.window)
        {
            self.slices.pop_front();
        }
        let fresh = self
            .slices
            .back()
            .is_none_or(|(at, ..)| now.saturating_duration_since(*at) >= SLICE);
        if fresh {
            self.slices.push_back((now, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
