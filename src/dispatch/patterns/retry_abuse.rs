//! Retry abuse: refused callers come back, some of them at once and again and again.
//!
//! Where more is asked than can be served, each place for one that is late already costs one that
//! could be on time. So returning callers come last in order, get a place only where an engine starts
//! soon, and are told to stay away for longer than most bursts last.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

/// Bounds of the advice when to come back after an overload.
const OVERLOAD_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_900));
/// Bounds of the advice while nothing can serve the request.
const UNAVAILABLE_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(2_000));

/// Time for which a refused caller is expected back: the longest advice, and a second for its way.
const REMEMBER_TIME: Duration = Duration::from_secs(3);
/// Refused callers that are remembered; an entry refuses fewer in that time at twenty times its
/// usual load.
const MAX_REFUSED: usize = 4_096;

/// Tells callers that come back from those that ask for the first time.
///
/// A copy of a request has the fingerprint of the first one. What is left of its patience tells
/// nothing: callers differ in it by more than the time that they stay away.
#[derive(Clone, Debug, Default)]
pub(in crate::dispatch) struct RefusedCallers {
    /// Time of the first attempt of each refused request.
    first_attempts: HashMap<u64, Instant>,
    /// Refusals, oldest first.
    ///
    /// Invariant: at most [`MAX_REFUSED`], and every key of `first_attempts` is in it.
    refused: VecDeque<(Instant, u64)>,
}

impl RefusedCallers {
    /// A request that first came at `asked` is refused.
    pub fn refused(&mut self, now: Instant, fingerprint: u64, first_attempt_at: Instant) {
        self.expire(now);
        self.first_attempts.insert(fingerprint, first_attempt_at);
        self.refused.push_back((now, fingerprint));
    }

    /// Time of the first attempt of a caller that has come back; `None` for a first attempt.
    pub fn take(&mut self, now: Instant, fingerprint: u64) -> Option<Instant> {
        self.expire(now);
        self.first_attempts.remove(&fingerprint)
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REMEMBER_TIME;
        while self.refused.len() >= MAX_REFUSED || self.refused.front().is_some_and(|r| is_old(r.0))
        {
            let Some((_, fingerprint)) = self.refused.pop_front() else {
                return;
            };
            if !self.refused.iter().any(|(_, later)| *later == fingerprint) {
                self.first_attempts.remove(&fingerprint);
            }
        }
    }
}

/// When a caller that is refused for want of room may come back.
pub(in crate::dispatch) fn retry_after_overload(rng: &mut SmallRng) -> Duration {
    rng.random_range(OVERLOAD_RETRY_AFTER.0..OVERLOAD_RETRY_AFTER.1)
}

/// When a caller may come back that nothing can serve.
pub(in crate::dispatch) fn retry_after_unavailable(rng: &mut SmallRng) -> Duration {
    rng.random_range(UNAVAILABLE_RETRY_AFTER.0..UNAVAILABLE_RETRY_AFTER.1)
}
