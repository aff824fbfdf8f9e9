//! Attempts that a gate queues or runs.

use std::time::{Duration, Instant};

use crate::types::{AttemptId, Digest};

/// Scheduling parameters of an attempt, from its class and its offer.
#[derive(Clone, Debug)]
pub struct AttemptSpec {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Priority of its class; lower numbers are admitted first.
    pub priority: u8,
    /// True when it may be paused.
    pub deferrable: bool,
    /// True when it must run alone, because it may crash the endpoint.
    pub suspect: bool,
    /// Digest of the version that must answer; absent for a plain service.
    pub version: Option<Digest>,
    /// Target for the time to the first token.
    pub first_token_target: Duration,
    /// Time by which it must be admitted, or it is refused.
    pub deadline: Instant,
    /// Digest of class and body.
    pub fingerprint: Digest,
    /// True when it has an idempotency key and so must run at most once.
    pub keyed: bool,
}

/// State of an attempt at the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// It runs.
    Active,
    /// The endpoint was asked to pause it; it still occupies a slot.
    Pausing,
    /// The endpoint confirmed the pause.
    Paused,
    /// It was cancelled; it occupies a slot until its end is reported.
    Cancelling,
}

/// An attempt that was admitted to the endpoint and has not ended.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Scheduling parameters.
    pub spec: AttemptSpec,
    /// State at the endpoint.
    pub state: AttemptState,
    /// Time at which it was admitted.
    pub admitted: Instant,
    first_token_at: Option<Instant>,
}

impl RunningAttempt {
    /// Creates the record of an attempt that is admitted at `now`.
    pub fn new(now: Instant, spec: AttemptSpec) -> Self {
        Self {
            spec,
            state: AttemptState::Active,
            admitted: now,
            first_token_at: None,
        }
    }

    /// Returns true while it occupies a slot of the endpoint.
    pub fn is_active(&self) -> bool {
        self.state != AttemptState::Paused
    }

    /// Records the first token. Returns the time since admission; `None` when a first token was
    /// recorded before.
    pub fn record_first_token(&mut self, now: Instant) -> Option<Duration> {
        if self.first_token_at.is_some() {
            return None;
        }
        self.first_token_at = Some(now);
        Some(now.saturating_duration_since(self.admitted))
    }

    /// Time from admission to the first token, and from the first token to `end`.
    pub fn durations(&self, end: Instant) -> Option<(Duration, Duration)> {
        let first = self.first_token_at?;
        let first_token = first.saturating_duration_since(self.admitted);
        Some((first_token, end.saturating_duration_since(first)))
    }
}
