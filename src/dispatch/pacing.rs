//! Times of the passes over the waiting requests: what they cost is bounded, however many wait and
//! however often something changes for them.

use std::time::{Duration, Instant};

/// Shortest pause between two passes.
const MIN_PAUSE: Duration = Duration::from_millis(3);
/// Longest pause; a pass may have taken long because the process stood still.
const MAX_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a pass over all waiting requests as a multiple of its duration, so that such passes take
/// at most a fifth of the time.
const PAUSE_FACTOR: u32 = 4;

/// A pass over waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pass {
    /// Over all of them.
    Full,
    /// Over those that may wait no longer.
    Expired,
}

/// Decides when passes are made.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassPacing {
    /// Time from which any pass may be made; `None` before the first pass.
    any_from: Option<Instant>,
    /// Time from which a full pass may be made; `None` before the first one.
    full_from: Option<Instant>,
}

impl PassPacing {
    /// Records a pass.
    pub fn passed(&mut self, pass: Pass, began: Instant, ended: Instant) {
        let shortest = ended + MIN_PAUSE;
        self.any_from = Some(shortest);
        if pass == Pass::Full {
            let took = ended.saturating_duration_since(began);
            let pause = took.saturating_mul(PAUSE_FACTOR);
            self.full_from = Some(ended + pause.clamp(MIN_PAUSE, MAX_PAUSE));
        }
    }

    /// Time of the next pass; `None` for none. `is_wanted` tells that something has changed for waiting
    /// requests, and `deadline` is the earliest time until which one may wait.
    pub fn next(
        &self,
        now: Instant,
        is_wanted: bool,
        deadline: Option<Instant>,
    ) -> Option<Instant> {
        let any_from = self.any_from.unwrap_or(now);
        let full = is_wanted.then(|| self.full_from.unwrap_or(now).max(any_from));
        let expired = deadline.map(|at| at.max(any_from));
        full.into_iter().chain(expired).min()
    }

    /// Pass that is made now, if any.
    pub fn due(&self, now: Instant, is_wanted: bool, deadline: Option<Instant>) -> Option<Pass> {
        let is_reached = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        if is_reached(self.next(now, is_wanted, None)) {
            Some(Pass::Full)
        } else if is_reached(self.next(now, false, deadline)) {
            Some(Pass::Expired)
        } else {
            None
        }
    }
}
