//! How much an endpoint bears: rises on evidence, falls at once.

use std::time::{Duration, Instant};

/// Time for which a sign of the endpoint's instance vouches for more than the cold bound.
pub const EVIDENCE_LIFE: Duration = Duration::from_secs(3);

/// A first token this many times later than usual is a sign of a lost cache.
const JUMP_FACTOR: u32 = 4;

/// Weight of a new sample in the moving average is one in this number.
const AVERAGE_SPAN: u32 = 8;

/// Number of requests that an endpoint bears at once.
#[derive(Clone, Debug)]
pub struct Capacity {
    cold: u32,
    max: u32,
    /// Answers until which the cold bound holds.
    warm_up: u32,
    /// Answers since the endpoint became cold, counted up to `warm_up`.
    answers: u32,
    /// Invariant: between `cold` and `max`.
    limit: u32,
    /// Moving average of the time to the first token.
    first_token: Option<Duration>,
    /// Last sign of the instance that the evidence is about.
    evidence_at: Option<Instant>,
}

impl Capacity {
    /// Starts at the cold bound, which holds for `warm_up` answers; `cold` is brought between 1 and
    /// `max`.
    pub fn new(cold: u32, max: u32, warm_up: u32) -> Self {
        let max = max.max(1);
        let cold = cold.clamp(1, max);
        Self {
            cold,
            max,
            warm_up,
            answers: 0,
            limit: cold,
            first_token: None,
            evidence_at: None,
        }
    }

    /// Requests that the endpoint bears at `now`; the cold bound once evidence is old.
    pub fn limit(&self, now: Instant) -> u32 {
        let fresh = self
            .evidence_at
            .is_some_and(|at| now.saturating_duration_since(at) < EVIDENCE_LIFE);
        if fresh { self.limit } else { self.cold }
    }

    /// True once the full limit was reached on evidence.
    pub fn is_warm(&self) -> bool {
        self.limit == self.max
    }

    /// Moving average of the time to the first token.
    pub fn first_token(&self) -> Duration {
        self.first_token.unwrap_or_default()
    }

    /// The known instance showed that it lives.
    pub fn seen(&mut self, now: Instant) {
        self.evidence_at = Some(now);
    }

    /// Falls back to the cold bound and forgets the evidence.
    pub fn collapse(&mut self) {
        self.limit = self.cold;
        self.answers = 0;
        self.first_token = None;
        self.evidence_at = None;
    }

    /// Takes in the time to a first token. Returns true when it jumped, so that the capacity fell
    /// to the cold bound.
    pub fn started(&mut self, now: Instant, first_token: Duration, target: Duration) -> bool {
        let late = first_token > target;
        let jumped = late
            && self
                .first_token
                .is_some_and(|usual| first_token > usual * JUMP_FACTOR);
        if jumped {
            self.collapse();
        } else if late {
            self.limit = (self.limit * 7 / 8).max(self.cold);
        }
        self.average(first_token);
        self.seen(now);
        jumped
    }

    /// Takes in a whole answer; after the warm-up the capacity rises by one when its first token was
    /// in time.
    pub fn completed(&mut self, now: Instant, first_token: Duration, target: Duration) {
        if self.answers < self.warm_up {
            self.answers += 1;
        } else if first_token <= target {
            self.limit = (self.limit + 1).min(self.max);
        }
        self.seen(now);
    }

    fn average(&mut self, sample: Duration) {
        self.first_token = Some(match self.first_token {
            None => sample,
            Some(usual) => (usual * (AVERAGE_SPAN - 1) + sample) / AVERAGE_SPAN,
        });
    }
}
