//! Zone loss: endpoints that fail get no requests for a while, with exponential backoff, so that
//! requests do not spend their attempts on one failed endpoint after another.

use std::time::{Duration, Instant};

/// Pause after the first failure; doubles with each further consecutive failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failures; about the restart time of a crashed endpoint.
const MAX_PAUSE: Duration = Duration::from_millis(2_400);
/// Pause after an endpoint reported that it is full: the interval of two load reports.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// Weight of the newest attempt in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.15;

/// Failure statistics and backoff of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    paused_until: Option<Instant>,
    /// Moving average of the share of failed attempts.
    failing: f64,
    /// True when failures are ignored; disables the mitigation.
    is_ignored: bool,
}

impl Health {
    /// Creates the state of an endpoint without attempts; with `pauses`, failures pause it.
    pub fn new(pauses: bool) -> Self {
        Self {
            is_ignored: !pauses,
            ..Self::default()
        }
    }

    /// True while the endpoint gets no requests because of failures or a full queue.
    pub fn is_paused(&self, now: Instant) -> bool {
        !self.is_ignored && self.paused_until.is_some_and(|until| now < until)
    }

    /// Moving average of the share of failed attempts.
    pub fn failing(&self) -> f64 {
        if self.is_ignored { 0.0 } else { self.failing }
    }

    /// Records the start of an answer, which resets the consecutive failures.
    pub fn started(&mut self) {
        self.failures = 0;
    }

    /// Records a successful attempt.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.failing -= self.failing * EWMA_WEIGHT;
    }

    /// Records an attempt that failed through a fault of the endpoint.
    pub fn failed(&mut self, now: Instant) {
        self.failing += (1.0 - self.failing) * EWMA_WEIGHT;
        self.failures += 1;
        let pause = INITIAL_PAUSE * (1 << self.failures.min(5).saturating_sub(1));
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Records that the endpoint had no free slot.
    pub fn was_full(&mut self, now: Instant) {
        self.failing += (1.0 - self.failing) * EWMA_WEIGHT;
        self.paused_until = self.paused_until.max(Some(now + FULL_PAUSE));
    }

    /// Resets the state after a restart of the endpoint's process.
    pub fn restarted(&mut self) {
        *self = Self::new(!self.is_ignored);
    }
}
