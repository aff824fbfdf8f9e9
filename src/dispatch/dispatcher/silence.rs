//! Silent attempts: a sound endpoint may fall silent for a while and go on, so silence ends no attempt.
//! Another one is sent beside it, and the first of the two that goes on answers the request.

use std::time::Instant;

use crate::delivery::RetryDenied;
use crate::dispatch::configuration::Repeat;
use crate::dispatch::request::{AttemptOutcome, TicketId};

use super::Dispatcher;

impl Dispatcher {
    /// Counts the running attempt as silent and lets the request wait for another endpoint, under
    /// the rules of a retry. Otherwise the attempt stays the running one.
    ///
    /// # Errors
    ///
    /// Returns the reason when no other attempt is allowed.
    pub fn attempt_silent(&mut self, now: Instant, ticket: TicketId) -> Result<(), RetryDenied> {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return Err(RetryDenied::Exhausted);
        };
        if request.route.repeat == Repeat::Never {
            return Err(RetryDenied::MayHaveRun);
        }
        let is_alone = request.silent.is_none();
        let Some(running) = &mut request.running else {
            return Err(RetryDenied::Exhausted);
        };
        running.was_silent = true;
        self.is_changed = true;
        if let Some(endpoint) = self.fleet.get_mut(&running.endpoint) {
            endpoint.health.failed(now);
        }
        if !is_alone {
            return Err(RetryDenied::Exhausted);
        }
        self.queue_retry(now, ticket)?;
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.silent = request.running.take();
        }
        Ok(())
    }

    /// Makes the silent attempt, which goes on, the running one again. The other one ends with
    /// [`AttemptOutcome::Superseded`], or the request waits for it no longer.
    pub fn silent_attempt_resumed(&mut self, now: Instant, ticket: TicketId) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if request.silent.is_none() {
            return;
        }
        if let Some(superseded) = request.running.take() {
            self.record_attempt(now, ticket, &superseded, AttemptOutcome::Superseded);
        }
        self.keep_silent(now, ticket);
    }

    /// Records the outcome of the silent attempt. The request goes on with its running attempt, or
    /// waits for an endpoint. False when it has no silent attempt, or when that is the running one
    /// again.
    pub fn silent_attempt_ended(
        &mut self,
        now: Instant,
        ticket: TicketId,
        outcome: AttemptOutcome,
    ) -> bool {
        let request = self.requests.get_mut(&ticket);
        let Some(silent) = request.and_then(|request| request.silent.take()) else {
            return false;
        };
        self.record_attempt(now, ticket, &silent, outcome);
        true
    }

    /// Makes the silent attempt of a request without a running one its running attempt; false when it
    /// has none. A retry that the request still waited for goes back to the budget.
    pub(super) fn keep_silent(&mut self, now: Instant, ticket: TicketId) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return false;
        };
        if request.running.is_some() || request.silent.is_none() {
            return false;
        }
        request.running = request.silent.take();
        if std::mem::take(&mut request.is_waiting) {
            let request = request.clone();
            self.unqueue(ticket, &request);
            if let Some(budget) = self.retry_budgets.get_mut(&request.target) {
                budget.give_back(now);
            }
        }
        true
    }
}
