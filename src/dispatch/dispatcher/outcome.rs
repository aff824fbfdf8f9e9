//! Handling of the start and the outcome of an attempt.

use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::delivery::{AttemptRules, RetryDenied};
use crate::dispatch::configuration::Repeat;
use crate::dispatch::notice::CrashSign;
use crate::dispatch::patterns::max_queue_time;
use crate::dispatch::request::{AttemptOutcome, Departure, RequestState, RunningAttempt, TicketId};
use crate::types::Refusal;

use super::{Dispatcher, NextStep, prompt_parts};

/// Time for which a broken stream may wait for an endpoint to resume at.
const RESUME_QUEUE_TIME: Duration = Duration::from_millis(500);

impl Dispatcher {
    /// Records the first event of the running attempt, and the weight version that answers.
    pub fn attempt_started(&mut self, now: Instant, ticket: TicketId, version: Option<u64>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.version = request.version.or(version);
        let Some(running) = request.running.as_mut().filter(|running| !running.started) else {
            return;
        };
        self.is_changed = true;
        running.started = true;
        running.recall = None;
        let took = now.saturating_duration_since(running.since);
        if let Some(endpoint) = self.fleet.get_mut(&running.endpoint) {
            endpoint.started(request.prompt_tokens, running.is_stream);
            endpoint.answered(now);
            if !running.was_silent {
                endpoint.record_start_time(took, running.predicted);
            }
        }
        self.update_start_bound(now, ticket);
    }

    /// Records the outcome of the running attempt. The request has ended too, with its silent attempt,
    /// unless [`NextStep::Wait`] or [`NextStep::KeepSilent`] is returned.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        ticket: TicketId,
        outcome: AttemptOutcome,
    ) -> NextStep {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return NextStep::Finish;
        };
        let Some(running) = request.running.take() else {
            return NextStep::Finish;
        };
        let deadline = request.deadline;
        let is_stopped = self.stop_at.is_some_and(|at| now >= at);
        self.record_attempt(now, ticket, &running, outcome);
        match outcome {
            AttemptOutcome::Answered
            | AttemptOutcome::Rejected
            | AttemptOutcome::Superseded
            | AttemptOutcome::CallerGone => {
                self.finish(now, ticket);
                NextStep::Finish
            }
            AttemptOutcome::TimedOut => {
                self.finish(now, ticket);
                // At the stop of the entry, its caller would have waited longer.
                let code = match is_stopped && now < deadline {
                    true => Code::OutcomeUnknown,
                    false => Code::AnswerTimeout,
                };
                NextStep::Refuse(Refusal::new(code))
            }
            AttemptOutcome::Failed
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent
            | AttemptOutcome::Recalled => self.retry_or_finish(now, ticket, outcome),
        }
    }

    /// Records the end of an attempt for its request, its endpoint and the suspects of crashes.
    pub(super) fn record_attempt(
        &mut self,
        now: Instant,
        ticket: TicketId,
        attempt: &RunningAttempt,
        outcome: AttemptOutcome,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        match outcome {
            AttemptOutcome::NotRun { .. } => {}
            AttemptOutcome::NotSent | AttemptOutcome::Withdrawn => request.attempts.sent -= 1,
            _ => request.attempts.may_have_run = true,
        }
        let (prompt, suspects) = (request.prompt_tokens, request.suspects.clone());
        if !matches!(
            outcome,
            AttemptOutcome::NotRun { .. }
                | AttemptOutcome::NotSent
                | AttemptOutcome::Withdrawn
                | AttemptOutcome::Recalled
        ) {
            let took = now.saturating_duration_since(attempt.since);
            let is_answered = outcome == AttemptOutcome::Answered;
            let (route, target) = (&request.route.name, &request.target);
            self.work_times
                .record(now, route, target, took, is_answered);
        }
        self.is_changed = true;
        self.update_start_bound(now, ticket);
        self.record_outcome(now, attempt, prompt, outcome);
        self.record_ended(now, attempt, &suspects, outcome);
    }

    /// Updates the endpoint's statistics.
    fn record_outcome(
        &mut self,
        now: Instant,
        running: &RunningAttempt,
        prompt: u32,
        outcome: AttemptOutcome,
    ) {
        let Some(endpoint) = self.fleet.get_mut(&running.endpoint) else {
            return;
        };
        if let AttemptOutcome::Answered
        | AttemptOutcome::Rejected
        | AttemptOutcome::Failed
        | AttemptOutcome::NotRun { .. } = outcome
        {
            endpoint.answered(now);
        }
        let by_caller = matches!(outcome, AttemptOutcome::CallerGone);
        let RunningAttempt {
            is_stream, started, ..
        } = *running;
        endpoint
            .occupancy
            .ended(prompt, is_stream, started, by_caller);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected => {
                endpoint.health.succeeded();
                if !running.was_silent {
                    endpoint.record_work_time(now.saturating_duration_since(running.since));
                }
            }
            AttemptOutcome::NotRun { is_full: true } => endpoint.health.was_full(now),
            AttemptOutcome::NotRun { is_full: false }
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Superseded
            | AttemptOutcome::Recalled
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {}
            AttemptOutcome::NotSent => {
                endpoint.health.failed(now);
                let process = endpoint.process();
                self.record_unattested_end(now, process, CrashSign::ConnectionFailed);
            }
            AttemptOutcome::Broken | AttemptOutcome::Silent => endpoint.health.failed(now),
        }
        self.fleet.sweep();
    }

    /// Puts a request back in the queue after a failed attempt if it may be repeated; otherwise
    /// ends it.
    fn retry_or_finish(
        &mut self,
        now: Instant,
        ticket: TicketId,
        outcome: AttemptOutcome,
    ) -> NextStep {
        if self.queue_retry(now, ticket).is_ok() {
            return NextStep::Wait;
        }
        if self.keep_silent(now, ticket) {
            return NextStep::KeepSilent;
        }
        let Some(request) = self.requests.get(&ticket) else {
            return NextStep::Finish;
        };
        let blamed = self.suspects.blamed_among(&request.suspects).cloned();
        let code = match outcome {
            // The endpoint's own answer is forwarded.
            AttemptOutcome::Failed => None,
            _ if blamed.is_some() => Some(Code::Quarantined),
            AttemptOutcome::NotRun { .. } => Some(Code::EndpointFull),
            _ => Some(Code::NoEndpoint),
        };
        let code = code.map(|code| request.attempts.final_code(code, Code::OutcomeUnknown));
        self.remember_refusal(now, ticket);
        self.finish(now, ticket);
        let Some(code) = code else {
            return NextStep::Finish;
        };
        let refusal = match code {
            Code::OutcomeUnknown => Refusal::new(code),
            Code::Quarantined => self.refuse_unavailable(code),
            code => self.refuse_overload(code),
        };
        let parts = blamed.iter().flat_map(prompt_parts);
        NextStep::Refuse(refusal.with_prompt_parts(parts))
    }

    /// Puts a request back in the queue if another attempt is allowed.
    pub(super) fn queue_retry(
        &mut self,
        now: Instant,
        ticket: TicketId,
    ) -> Result<(), RetryDenied> {
        let entries = self.entries;
        let deadline = self.deadline(ticket).unwrap_or(now);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return Err(RetryDenied::DeadlinePassed);
        };
        let rules = AttemptRules {
            max: request.route.max_attempts,
            is_repeatable: request.route.repeat != Repeat::Never,
            is_harmful: self.suspects.blamed_among(&request.suspects).is_some(),
            has_time_left: now < deadline,
        };
        let limit = self.cfg.retry;
        let budget = self.retry_budgets.get_mut(&request.target);
        let take_from_budget = || budget.is_some_and(|budget| budget.try_take(now, limit, entries));
        request.attempts.check_retry(rules, take_from_budget)?;
        request.is_waiting = true;
        request.queue_deadline = match request.version {
            Some(_) => now + RESUME_QUEUE_TIME,
            None => now + max_queue_time(request.route.start_goal),
        };
        let place = (request.rank, false, request.first_attempt_at, ticket);
        self.queue.insert(place, request.latest_decision());
        Ok(())
    }

    /// Removes a request; its attempts end with [`AttemptOutcome::CallerGone`]. Returns `None` when
    /// the request has ended before.
    pub fn finish(&mut self, now: Instant, ticket: TicketId) -> Option<Departure> {
        self.clear_start_bound(ticket);
        self.leave_backlog(now, ticket, false);
        let request = self.requests.remove(&ticket)?;
        self.unqueue(ticket, &request);
        self.is_changed |= request.open_attempts().next().is_some();
        let gone = AttemptOutcome::CallerGone;
        for attempt in request.open_attempts() {
            self.record_outcome(now, attempt, request.prompt_tokens, gone);
            self.record_ended(now, attempt, &request.suspects, gone);
        }
        let open = request.open_attempts().map(|attempt| {
            let took = now.saturating_duration_since(attempt.since);
            (attempt.endpoint.clone(), took)
        });
        Some(Departure {
            attempts: request.attempts.sent,
            open: open.collect(),
        })
    }

    /// Removes a request from the queue.
    pub(super) fn unqueue(&mut self, ticket: TicketId, request: &RequestState) {
        for place in request.possible_places(ticket) {
            self.queue.remove(&place);
        }
    }
}
