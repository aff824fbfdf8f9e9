//! Concurrency limit of an endpoint: grows with successful answers, drops at once on a failure.

use std::time::{Duration, Instant};

/// Time after the last sign of life for which a limit above the cold limit stays valid.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// A first token that takes more than this many times the average indicates a lost cache.
const SPIKE_FACTOR: u32 = 4;

/// Weight of a new sample in the exponential moving average is one divided by this number.
const AVERAGE_SPAN: u32 = 8;

/// Adaptive limit on the requests that run at an endpoint at the same time.
#[derive(Clone, Debug)]
pub struct Capacity {
    cold_limit: u32,
    max_limit: u32,
    /// Number of answers for which the cold limit holds.
    warm_up_answers: u32,
    /// Answers since the endpoint became cold, counted up to `warm_up_answers`.
    answers: u32,
    /// Invariant: between `cold_limit` and `max_limit`.
    limit: u32,
    /// Moving average of the time to the first token.
    first_token: Option<Duration>,
    /// Last sign of life of the process that the limit was measured on.
    evidence_at: Option<Instant>,
}

impl Capacity {
    /// Starts at the cold limit, which holds for `warm_up_answers` answers. `cold_limit` is
    /// clamped to between 1 and `max_limit`.
    pub fn new(cold_limit: u32, max_limit: u32, warm_up_answers: u32) -> Self {
        let max_limit = max_limit.max(1);
        let cold_limit = cold_limit.clamp(1, max_limit);
        Self {
            cold_limit,
            max_limit,
            warm_up_answers,
            answers: 0,
            limit: cold_limit,
            first_token: None,
            evidence_at: None,
        }
    }

    /// Limit at `now`; the cold limit when the last sign of life is older than [`EVIDENCE_TTL`].
    pub fn limit(&self, now: Instant) -> u32 {
        let fresh = self
            .evidence_at
            .is_some_and(|at| now.saturating_duration_since(at) < EVIDENCE_TTL);
        if fresh { self.limit } else { self.cold_limit }
    }

    /// Returns true once the limit has grown to the maximum.
    pub fn is_warm(&self) -> bool {
        self.limit == self.max_limit
    }

    /// Moving average of the time to the first token; zero without a sample.
    pub fn first_token(&self) -> Duration {
        self.first_token.unwrap_or_default()
    }

    /// Records a sign of life of the endpoint's current process.
    pub fn record_alive(&mut self, now: Instant) {
        self.evidence_at = Some(now);
    }

    /// Resets to the cold limit and discards all samples.
    pub fn reset(&mut self) {
        self.limit = self.cold_limit;
        self.answers = 0;
        self.first_token = None;
        self.evidence_at = None;
    }

    /// Records the time to a first token. Returns true when it spiked, which resets the capacity
    /// to the cold limit.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        first_token: Duration,
        target: Duration,
    ) -> bool {
        let late = first_token > target;
        let spiked = late
            && self
                .first_token
                .is_some_and(|average| first_token > average * SPIKE_FACTOR);
        if spiked {
            self.reset();
        } else if late {
            self.limit = (self.limit * 7 / 8).max(self.cold_limit);
        }
        self.update_average(first_token);
        self.record_alive(now);
        spiked
    }

    /// Records a complete answer. After the warm-up, the limit grows by one when the first token
    /// was in time.
    pub fn record_answer(&mut self, now: Instant, first_token: Duration, target: Duration) {
        if self.answers < self.warm_up_answers {
            self.answers += 1;
        } else if first_token <= target {
            self.limit = (self.limit + 1).min(self.max_limit);
        }
        self.record_alive(now);
    }

    fn update_average(&mut self, sample: Duration) {
        self.first_token = Some(match self.first_token {
            None => sample,
            Some(average) => (average * (AVERAGE_SPAN - 1) + sample) / AVERAGE_SPAN,
        });
    }
}
