//! Attempts at a gate.

use std::time::{Duration, Instant};

use crate::types::{AttemptId, Digest};

/// An attempt that waits or runs.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The attempt.
    pub attempt: AttemptId,
    /// Rank of its class; a lower number goes first.
    pub priority: u8,
    /// True when it may be paused.
    pub deferrable: bool,
    /// True when it must run alone.
    pub suspect: bool,
    /// Version that must answer.
    pub version: Option<Digest>,
    /// Time within which answers of its class start.
    pub first_token: Duration,
    /// It is refused when it has not been admitted by this time.
    pub deadline: Instant,
    /// Digest of class and body.
    pub fingerprint: Digest,
    /// True for work that runs at most once.
    pub keyed: bool,
}

/// State of an attempt at the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// It runs.
    Active,
    /// It was ordered to pause and still counts.
    Pausing,
    /// It is paused.
    Paused,
    /// It was cancelled and counts until its end is reported.
    Cancelling,
}

/// An attempt that the endpoint holds.
#[derive(Clone, Debug)]
pub struct Running {
    /// The attempt.
    pub ticket: Ticket,
    /// Its state.
    pub state: RunState,
    /// Time at which it was admitted.
    pub admitted: Instant,
    first_token_at: Option<Instant>,
}

impl Running {
    /// An attempt that is admitted at `now`.
    pub fn new(now: Instant, ticket: Ticket) -> Self {
        Self {
            ticket,
            state: RunState::Active,
            admitted: now,
            first_token_at: None,
        }
    }

    /// True while it loads the endpoint.
    pub fn is_active(&self) -> bool {
        self.state != RunState::Paused
    }

    /// Notes the first token; returns the time that it took, once.
    pub fn started(&mut self, now: Instant) -> Option<Duration> {
        if self.first_token_at.is_some() {
            return None;
        }
        self.first_token_at = Some(now);
        Some(now.saturating_duration_since(self.admitted))
    }

    /// Time to the first token, and from there to `end`.
    pub fn spans(&self, end: Instant) -> Option<(Duration, Duration)> {
        let first = self.first_token_at?;
        let first_token = first.saturating_duration_since(self.admitted);
        Some((first_token, end.saturating_duration_since(first)))
    }
}
