//! Planned stop: requests are answered before the connections are closed.

use std::time::Instant;

use crate::codes::Code;
use crate::types::RequestId;

use super::EntryCore;
use super::requests::Phase;

impl EntryCore {
    /// True once no new request is accepted.
    pub(super) fn is_stop_grace_over(&self, now: Instant) -> bool {
        self.stop_requested_at
            .is_some_and(|at| now >= at + self.cfg.stop_grace)
    }

    /// True once every request has to be answered.
    pub(super) fn is_answer_time_over(&self, now: Instant) -> bool {
        self.answer_by().is_some_and(|at| now >= at)
    }

    /// Time by which every request has to be answered; `None` before a stop.
    fn answer_by(&self) -> Option<Instant> {
        self.stop_requested_at
            .map(|at| at + self.cfg.stop_answer_time)
    }

    /// Refuses the waiting requests and ends the running ones once they have to be answered. Keyed ones
    /// that run go on, since their outcome is kept for their callers.
    pub(super) fn end_at_stop(&mut self, now: Instant) {
        if !self.is_answer_time_over(now) {
            return;
        }
        self.reject_waiting(now, Code::Stopping);
        for req in self.unkeyed_running() {
            if let Some(request) = self.requests.get_mut(&req) {
                request.attempts.may_have_run = true;
            }
            self.reject(now, req, Code::Stopping);
        }
    }

    /// Time of [`Self::end_at_stop`], while there are requests that it ends.
    pub(super) fn next_stop_end(&self) -> Option<Instant> {
        let is_needed = !self.admission.is_empty() || !self.unkeyed_running().is_empty();
        self.answer_by().filter(|_| is_needed)
    }

    fn unkeyed_running(&self) -> Vec<RequestId> {
        let running = self.requests.iter().filter(|(_, request)| {
            request.meta.key.is_none() && matches!(request.phase, Phase::Running(_))
        });
        running.map(|(req, _)| *req).collect()
    }
}
