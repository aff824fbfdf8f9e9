//! A burst: more is asked than engines can start in time.
//!
//! A request is sent when its predicted first event is in time. It waits for that as long as it can
//! still be on time, and is refused then: a queue makes all late.

use std::time::{Duration, Instant};

/// Part of the goal that the predicted time to the first event may take when a request is sent, for
/// what the prediction does not see and the time that it has waited: 0.6, 0.7 and 0.85 were played on
/// the standard days.
const START_SHARE: f64 = 0.7;
/// The same for a request that is late already: less, since an answer that is on time counts for
/// four that are late.
const LATE_START_SHARE: f64 = 0.5;
/// Predicted wait up to which a broken stream goes on elsewhere; its caller leaves after two
/// seconds without an event.
const RESUME_START_BUDGET: Duration = Duration::from_millis(1_200);
/// Part of the goal for which a request may wait for a place before it is refused: it can still be on
/// time after that, as the mean prediction for the first event is a third of the goal.
const MAX_QUEUE_SHARE: f64 = 0.5;
/// Load below which a request is sent whatever the prediction says.
const IDLE_LOAD: f64 = 0.5;

/// A request that waits for a place.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct WaitingRequest {
    /// Time to the start of the answer for which service counts in full.
    pub goal: Duration,
    /// Latest time for the whole answer.
    pub deadline: Instant,
    /// True when it goes on with an answer that broke off.
    pub is_resumed: bool,
    /// True when it was refused before, or an endpoint failed it.
    pub is_retry: bool,
}

impl WaitingRequest {
    /// Longest predicted time to the first event for which it is sent.
    pub fn start_budget(&self, now: Instant) -> Duration {
        let start_budget = match self {
            Self {
                is_retry: false, ..
            } => self.goal.mul_f64(START_SHARE),
            Self {
                is_resumed: true, ..
            } => RESUME_START_BUDGET,
            _ => self.goal.mul_f64(LATE_START_SHARE),
        };
        start_budget.min(self.deadline.saturating_duration_since(now))
    }
}

/// Time for which a request may wait for a place.
pub(in crate::dispatch) fn max_queue_time(goal: Duration) -> Duration {
    goal.mul_f64(MAX_QUEUE_SHARE)
}

/// True when a request is better sent now than held or refused.
pub(in crate::dispatch) fn should_send(
    predicted: Duration,
    start_budget: Duration,
    load: f64,
) -> bool {
    predicted <= start_budget || load < IDLE_LOAD
}
