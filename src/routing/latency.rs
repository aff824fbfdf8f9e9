//! Moving average of an endpoint's time to the first token.

use std::time::{Duration, Instant};

/// Weight of a new sample.
const GAIN: f64 = 0.2;
/// Age at which an average is no longer believed, so that the endpoint is tried again.
const BELIEVED: Duration = Duration::from_secs(5);

/// Average of observed and reported first-token times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    seconds: f64,
    seen: Option<Instant>,
}

impl Latency {
    /// Takes in the time of one request of this entry.
    pub fn observe(&mut self, now: Instant, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = match self.believed(now) {
            Some(seconds) => seconds + GAIN * (sample - seconds),
            None => sample,
        };
        self.seen = Some(now);
    }

    /// Takes in the agent's average, which counts where this entry has none of its own.
    pub fn report(&mut self, now: Instant, average: Duration) {
        if self.believed(now).is_none() && !average.is_zero() {
            self.seconds = average.as_secs_f64();
        }
    }

    /// Average in seconds; `None` when there is none or it is too old.
    pub fn believed(&self, now: Instant) -> Option<f64> {
        self.seen
            .filter(|seen| now.saturating_duration_since(*seen) < BELIEVED)
            .map(|_| self.seconds)
    }

    /// Forgets the past of a process that has restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
