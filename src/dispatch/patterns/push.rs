//! Push of new weights during a burst: an engine that is about to switch its version gets only
//! requests that it can finish before, so that they neither delay the switch nor are cut off by it.

use std::time::{Duration, Instant};

/// Time by which the predicted end of a request may exceed the switch; estimates of answer lengths
/// are often off by more.
const MAX_OVERRUN: Duration = Duration::from_millis(400);

/// True when a request that runs for `run` ends at most [`MAX_OVERRUN`] after `change_at`, the time
/// at which the engine switches its version.
pub(in crate::dispatch) fn ends_before_change(
    now: Instant,
    change_at: Option<Instant>,
    run: Duration,
) -> bool {
    change_at.is_none_or(|at| now + run <= at + MAX_OVERRUN)
}
