//! A burst: more is asked than engines can start in time.
//!
//! A request is sent when its predicted first event is in time. It waits for that only as long as
//! bridges the gap between two ends at a full engine, and is refused then: a queue makes all late.

use std::time::{Duration, Instant};

/// Part of the goal that a prediction may take, for what it does not see.
const GOAL_USED: f64 = 0.85;
/// Part of the goal that the prediction for a request that is late already may take: it must not
/// make others late, whose service counts for more.
const LATE_USED: f64 = 0.7;
/// Predicted wait up to which a broken stream goes on elsewhere; its caller leaves after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);
/// Part of the goal for which a request may wait for a place before it is refused.
const HOLD: f64 = 0.125;
/// The same for a caller that was refused before and gets no other turn, and for a request whose
/// endpoint failed.
const HOLD_AGAIN: f64 = 0.5;
/// Load below which a request is sent whatever the prediction says.
const IDLE_LOAD: f64 = 0.5;

/// A request that waits for a place.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct Wait {
    /// Time at which its caller first asked.
    pub asked: Instant,
    /// Time to the start of the answer for which service counts in full.
    pub goal: Duration,
    /// Latest time for the whole answer.
    pub deadline: Instant,
    /// True when it goes on with an answer that broke off.
    pub is_resumed: bool,
    /// True when it was refused before, or an endpoint failed it.
    pub is_again: bool,
}

impl Wait {
    /// Longest predicted time to the first event for which it is sent.
    pub fn room(&self, now: Instant) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        let on_time = self.asked + self.goal.mul_f64(GOAL_USED);
        match on_time.checked_duration_since(now) {
            Some(room) if !self.is_again => room,
            _ if self.is_resumed => RESUME_WAIT.min(left),
            _ => self.goal.mul_f64(LATE_USED).min(left),
        }
    }
}

/// Time for which a request may wait for a place.
pub(in crate::dispatch) fn hold(goal: Duration, is_again: bool) -> Duration {
    goal.mul_f64(if is_again { HOLD_AGAIN } else { HOLD })
}

/// True when a request is better sent now than held or refused.
pub(in crate::dispatch) fn is_worth_sending(
    predicted: Duration,
    room: Duration,
    load: f64,
) -> bool {
    predicted <= room || load < IDLE_LOAD
}
