//! Retry abuse: refused callers retry, some of them immediately and repeatedly.
//!
//! Under overload, each slot given to a request that is already late is taken from one that could
//! start on time. Returning callers therefore come last in the queue, are sent only to an engine
//! that starts soon, and get a Retry-After that is longer than most bursts.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

/// Bounds of the Retry-After after an overload.
const OVERLOAD_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_900));
/// Bounds of the Retry-After while nothing can serve the request.
const UNAVAILABLE_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(2_000));

/// Bounds of the Retry-After while every endpoint serves a version that has ended. Holding the next one takes
/// seconds, and who returns meanwhile is refused again.
const CHANGE_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(1_500), Duration::from_millis(2_500));

/// Bounds of the Retry-After of a stopping entry: others take its callers, who should not come at the
/// same instant.
const STOP_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(250));

/// Time after the earliest end of a rest within which refused callers return, spread at random.
const REST_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Longest wait for the end of a rest that is named to callers: another entry may be accepted sooner.
const MAX_REST_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Time for which a refusal is remembered: the longest Retry-After of an overload plus one second for
/// transit.
const REMEMBER_TIME: Duration = Duration::from_secs(3);
/// Maximum number of remembered refusals; at twenty times its usual load an entry refuses fewer in
/// [`REMEMBER_TIME`].
const MAX_REFUSED: usize = 4_096;

/// Distinguishes retries of refused requests from first attempts.
///
/// A retry has the fingerprint of the first attempt. The caller's remaining timeout is no
/// indication: timeouts differ between callers by more than the delay before a retry.
#[derive(Clone, Debug, Default)]
pub(in crate::dispatch) struct RefusedCallers {
    /// Time of the first attempt of each refused request, by fingerprint.
    first_attempts: HashMap<u64, Instant>,
    /// Refusals as (time, fingerprint), oldest first.
    ///
    /// Invariant: at most [`MAX_REFUSED`], and every key of `first_attempts` is in it.
    refused: VecDeque<(Instant, u64)>,
}

impl RefusedCallers {
    /// Records the refusal of a request whose first attempt was at `first_attempt_at`.
    pub fn record(&mut self, now: Instant, fingerprint: u64, first_attempt_at: Instant) {
        self.expire(now);
        self.first_attempts.insert(fingerprint, first_attempt_at);
        self.refused.push_back((now, fingerprint));
    }

    /// Removes a refused request and returns the time of its first attempt; `None` when the request
    /// is itself a first attempt.
    pub fn take(&mut self, now: Instant, fingerprint: u64) -> Option<Instant> {
        self.expire(now);
        self.first_attempts.remove(&fingerprint)
    }

    /// Drops refusals that are too old or exceed [`MAX_REFUSED`].
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

/// Random Retry-After for a caller refused because of overload.
pub(in crate::dispatch) fn retry_after_overload(rng: &mut SmallRng) -> Duration {
    rng.random_range(OVERLOAD_RETRY_AFTER.0..OVERLOAD_RETRY_AFTER.1)
}

/// Random Retry-After for a caller that nothing can serve.
pub(in crate::dispatch) fn retry_after_unavailable(rng: &mut SmallRng) -> Duration {
    rng.random_range(UNAVAILABLE_RETRY_AFTER.0..UNAVAILABLE_RETRY_AFTER.1)
}

/// Random Retry-After for a caller while no endpoint serves a version that it may begin on.
pub(in crate::dispatch) fn retry_after_change(rng: &mut SmallRng) -> Duration {
    rng.random_range(CHANGE_RETRY_AFTER.0..CHANGE_RETRY_AFTER.1)
}

/// Random Retry-After for a caller whose entry stops.
pub(in crate::dispatch) fn retry_after_stop(rng: &mut SmallRng) -> Duration {
    rng.random_range(STOP_RETRY_AFTER.0..STOP_RETRY_AFTER.1)
}

/// Random Retry-After for a caller while all endpoints rest, the first of them for `left`.
pub(in crate::dispatch) fn retry_after_rest(rng: &mut SmallRng, left: Duration) -> Duration {
    left.min(MAX_REST_RETRY_AFTER) + REST_RETURN_SPREAD.mul_f64(rng.random_range(0.0..1.0))
}
