//! Loss of a zone: endpoints that fail get nothing for a while, longer with each failure in a row,
//! so that requests do not spend their attempts on them one after the other.

use std::time::{Duration, Instant};

/// First pause after an endpoint failed; doubles with each further failure in a row.
const INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failures; about the time that a crashed endpoint takes to come back.
const MAX_PAUSE: Duration = Duration::from_millis(2_400);
/// Pause after an endpoint said that it is full: two load reports.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// Weight of the newest attempt in the share of failures.
const EWMA_WEIGHT: f64 = 0.15;

/// How an endpoint has answered lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures in a row.
    failures: u32,
    paused_until: Option<Instant>,
    /// Share of attempts that failed lately.
    failing: f64,
    /// True when failures pause nothing.
    is_ignored: bool,
}

impl Health {
    /// An endpoint of which nothing is known; `pauses` when failures pause it.
    pub fn new(pauses: bool) -> Self {
        Self {
            is_ignored: !pauses,
            ..Self::default()
        }
    }

    /// True while the endpoint gets nothing because of what it did.
    pub fn is_paused(&self, now: Instant) -> bool {
        !self.is_ignored && self.paused_until.is_some_and(|until| now < until)
    }

    /// Share of attempts that failed lately.
    pub fn failing(&self) -> f64 {
        if self.is_ignored { 0.0 } else { self.failing }
    }

    /// An answer has begun, which ends a row of failures.
    pub fn started(&mut self) {
        self.failures = 0;
    }

    /// An attempt succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.failing -= self.failing * EWMA_WEIGHT;
    }

    /// An attempt failed in a way that speaks against the endpoint.
    pub fn failed(&mut self, now: Instant) {
        self.failing += (1.0 - self.failing) * EWMA_WEIGHT;
        self.failures += 1;
        let pause = INITIAL_PAUSE * (1 << self.failures.min(5).saturating_sub(1));
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// The endpoint said that it has no room.
    pub fn was_full(&mut self, now: Instant) {
        self.failing += (1.0 - self.failing) * EWMA_WEIGHT;
        self.paused_until = self.paused_until.max(Some(now + FULL_PAUSE));
    }

    /// Its process is another.
    pub fn restarted(&mut self) {
        *self = Self::new(!self.is_ignored);
    }
}
