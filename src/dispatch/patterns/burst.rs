//! Burst: requests exceed what engines can start in time.
//!
//! A request is sent when its predicted time to the first event is within its start budget. It
//! waits while it can still start on time and is then refused: a longer queue would make every
//! request late.

use std::time::{Duration, Instant};

/// Share of the goal (the route's objective for the time to the first event) that the predicted
/// time to the first event may take when a request is sent. The rest covers prediction errors and
/// the time already waited. 0.6, 0.7 and 0.85 were compared in simulations of a day's traffic.
pub(in crate::dispatch) const START_SHARE: f64 = 0.7;
/// The same share for a retried request, which is already late. It is lower because an answer on
/// time is worth four late ones.
const LATE_START_SHARE: f64 = 0.5;
/// Predicted time to the first event up to which a request whose attempt broke off or is silent is
/// continued elsewhere; its caller disconnects after two seconds without an event.
const RESUME_START_BUDGET: Duration = Duration::from_millis(1_200);
/// Share of the goal for which a request may wait for an endpoint before it is refused. It can
/// still start on time after that, as the mean predicted time to the first event is a third of the
/// goal.
const MAX_QUEUE_SHARE: f64 = 0.5;
/// Load (requests per slot) below which a request is sent regardless of the prediction.
const IDLE_LOAD: f64 = 0.5;

/// Timing of a request that waits for an endpoint.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct WaitingRequest {
    /// Objective for the time to the first event.
    pub goal: Duration,
    /// Deadline for the whole answer.
    pub deadline: Instant,
    /// True when it resumes a broken stream, or when an attempt of it is silent.
    pub is_continued: bool,
    /// True when it was refused before, or an attempt has failed; always true when it is continued.
    pub is_retry: bool,
}

impl WaitingRequest {
    /// Longest predicted time to the first event with which it is sent.
    pub fn start_budget(&self, now: Instant) -> Duration {
        let start_budget = match self {
            Self {
                is_retry: false, ..
            } => self.goal.mul_f64(START_SHARE),
            Self {
                is_continued: true, ..
            } => RESUME_START_BUDGET,
            _ => self.goal.mul_f64(LATE_START_SHARE),
        };
        start_budget.min(self.deadline.saturating_duration_since(now))
    }
}

/// Longest time that a request may wait for an endpoint.
pub(in crate::dispatch) fn max_queue_time(goal: Duration) -> Duration {
    goal.mul_f64(MAX_QUEUE_SHARE)
}

/// True when a request is sent now instead of waiting or being refused.
pub(in crate::dispatch) fn should_send(
    predicted: Duration,
    start_budget: Duration,
    load: f64,
) -> bool {
    predicted <= start_budget || load < IDLE_LOAD
}
