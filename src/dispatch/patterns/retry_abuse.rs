//! Retry abuse: refused callers come back, some of them at once and again and again.
//!
//! Where more is asked than can be served, each place for one that is late already costs one that
//! could be on time. So returning callers come last in order, wait longer, and are told to stay away
//! for longer than most bursts last.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Shorter patience than usual by this much tells a caller that has come back; clocks and callers
/// round to milliseconds, and a refusal takes longer.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// Bounds of the advice when to come back after an overload.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_900));
/// Bounds of the advice while nothing can serve the request.
const COME_BACK_LATER: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(2_000));

/// Tells callers that come back from those that ask for the first time.
#[derive(Clone, Debug, Default)]
pub(in crate::dispatch) struct Returns {
    /// Longest patience seen on each route.
    usual: HashMap<Arc<str>, Duration>,
}

impl Returns {
    /// Time for which the caller has been asking; `None` for a first attempt.
    pub fn asking_for(&mut self, route: &Arc<str>, patience: Duration) -> Option<Duration> {
        let usual = self.usual.entry(route.clone()).or_default();
        *usual = (*usual).max(patience);
        Some(*usual - patience).filter(|spent| *spent > RETURN_MARGIN)
    }
}

/// When a caller that is refused for want of room may come back.
pub(in crate::dispatch) fn come_back(rng: &mut SmallRng) -> Duration {
    rng.random_range(COME_BACK.0..COME_BACK.1)
}

/// When a caller may come back that nothing can serve.
pub(in crate::dispatch) fn come_back_later(rng: &mut SmallRng) -> Duration {
    rng.random_range(COME_BACK_LATER.0..COME_BACK_LATER.1)
}
