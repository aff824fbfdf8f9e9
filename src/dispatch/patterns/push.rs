//! A push of weights in a burst: an engine that is about to change its version takes only what it
//! can finish before, so that the change does not wait for it and the others' work is not cut.

use std::time::{Duration, Instant};

/// Time by which a request may outlast the work of an engine that is about to change its version;
/// estimates of answers are often off by more.
const MAX_OVERRUN: Duration = Duration::from_millis(400);

/// True when a request that runs for `run` ends soon enough at an engine that changes its version
/// at `change_at`.
pub(in crate::dispatch) fn ends_before_change(
    now: Instant,
    change_at: Option<Instant>,
    run: Duration,
) -> bool {
    change_at.is_none_or(|at| now + run <= at + MAX_OVERRUN)
}
