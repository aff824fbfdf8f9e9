//! Times of a planned stop.

use std::time::Duration;

/// Time for which a stopping process accepts connections: load balancers check every second and
/// remove a process after two failed checks.
const ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace at which connections are closed, so that the process ends by
/// itself.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Time before that by which each request is answered, for the answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Greatest parts of the grace that the margins take.
const MAX_CLOSE_PART: u32 = 8;
const MAX_ANSWER_PART: u32 = 40;

/// Times of a planned stop, counted from its signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// Connections are accepted until then.
    pub accept: Duration,
    /// Every request is answered by then.
    pub answer: Duration,
    /// Connections are closed then.
    pub close: Duration,
}

impl StopTimes {
    /// Divides the grace, after which the process is killed.
    pub fn new(grace: Duration) -> Self {
        let close = grace - CLOSE_MARGIN.min(grace / MAX_CLOSE_PART);
        let answer = close - ANSWER_MARGIN.min(grace / MAX_ANSWER_PART);
        Self {
            // Requests that come last need some time too.
            accept: ACCEPT_TIME.min(answer / 2),
            answer,
            close,
        }
    }
}
