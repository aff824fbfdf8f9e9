//! Moving average of an endpoint's time to the first token.

use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Age from which the average is ignored, so that the endpoint is tried again.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

/// Exponentially weighted moving average of observed first-token times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    seconds: f64,
    /// Time of the last observed sample.
    last_sample: Option<Instant>,
}

impl Latency {
    /// Adds the first-token time of a request of this entry.
    pub fn observe(&mut self, now: Instant, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = match self.current(now) {
            Some(seconds) => seconds + EWMA_WEIGHT * (sample - seconds),
            None => sample,
        };
        self.last_sample = Some(now);
    }

    /// Stores the agent's average unless this entry has a recent sample.
    pub fn report(&mut self, now: Instant, average: Duration) {
        if self.current(now).is_none() && !average.is_zero() {
            self.seconds = average.as_secs_f64();
        }
    }

    /// Average in seconds; `None` without a sample within [`MAX_SAMPLE_AGE`].
    pub fn current(&self, now: Instant) -> Option<f64> {
        self.last_sample
            .filter(|at| now.saturating_duration_since(*at) < MAX_SAMPLE_AGE)
            .map(|_| self.seconds)
    }

    /// Discards the samples after a restart of the process.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
