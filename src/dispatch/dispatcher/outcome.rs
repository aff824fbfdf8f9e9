//! Handling of the start and the outcome of an attempt.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::delivery::{AttemptRules, QuarantineStatus};
use crate::dispatch::configuration::Repeat;
use crate::dispatch::notice::{CrashSign, Notice};
use crate::dispatch::patterns::max_queue_time;
use crate::dispatch::request::{AttemptOutcome, Departure, RunningAttempt, TicketId};
use crate::types::{InstanceId, Refusal};

use super::{BrokenAttempt, Dispatcher, NextStep, digest};

/// Time for which a broken stream may wait for an endpoint to resume at.
const RESUME_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Age up to which a broken attempt is attributed to a crash of its endpoint.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of broken attempts kept while it is not known whether their endpoint crashed.
const MAX_BROKEN_ATTEMPTS: usize = 256;

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
        running.started = true;
        let took = now.saturating_duration_since(running.since);
        if let Some(endpoint) = self.fleet.get_mut(&running.endpoint) {
            endpoint.started(request.prompt_tokens, took, running.predicted);
        }
    }

    /// Records the outcome of the running attempt. The request has ended too unless
    /// [`NextStep::Wait`] is returned.
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
        let (fingerprint, prompt) = (request.fingerprint, request.prompt_tokens);
        if !matches!(
            outcome,
            AttemptOutcome::NotRun { .. } | AttemptOutcome::NotSent
        ) {
            request.attempts.may_have_run = true;
        }
        if matches!(outcome, AttemptOutcome::NotSent) {
            request.attempts.sent -= 1;
        }
        let parts = request.prompt_parts.clone();
        self.record_outcome(now, &running, prompt, fingerprint, outcome);
        self.record_ended(now, &running, &parts, outcome);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected | AttemptOutcome::CallerGone => {
                self.finish(now, ticket);
                NextStep::Finish
            }
            AttemptOutcome::TimedOut => {
                self.finish(now, ticket);
                NextStep::Refuse(Refusal::new(Code::AnswerTimeout))
            }
            AttemptOutcome::Failed
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => self.retry_or_finish(now, ticket, outcome),
        }
    }

    /// Updates the endpoint's statistics, and remembers broken attempts.
    fn record_outcome(
        &mut self,
        now: Instant,
        running: &RunningAttempt,
        prompt: u32,
        fingerprint: u64,
        outcome: AttemptOutcome,
    ) {
        let Some(endpoint) = self.fleet.get_mut(&running.endpoint) else {
            return;
        };
        let by_caller = matches!(outcome, AttemptOutcome::CallerGone);
        endpoint.occupancy.ended(prompt, running.started, by_caller);
        let incarnation = endpoint.listed.incarnation;
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected => {
                endpoint.health.succeeded();
                endpoint.record_work_time(now.saturating_duration_since(running.since));
            }
            AttemptOutcome::NotRun { is_full: true } => endpoint.health.was_full(now),
            AttemptOutcome::NotRun { is_full: false }
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {}
            AttemptOutcome::NotSent => {
                endpoint.health.failed(now);
                // A failed connection counts as a crash: the requests whose attempts broke there
                // shortly before are suspected.
                self.record_crash(
                    now,
                    &running.endpoint,
                    incarnation,
                    CrashSign::ConnectionFailed,
                );
            }
            AttemptOutcome::Broken => {
                endpoint.health.failed(now);
                self.broken_attempts.push_back(BrokenAttempt {
                    at: now,
                    endpoint: running.endpoint.clone(),
                    incarnation,
                    fingerprint,
                });
                if self.broken_attempts.len() > MAX_BROKEN_ATTEMPTS {
                    self.broken_attempts.pop_front();
                }
            }
            AttemptOutcome::Silent => endpoint.health.failed(now),
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
        let entries = self.entries;
        let Some(request) = self.requests.get_mut(&ticket) else {
            return NextStep::Finish;
        };
        let status = self.quarantine.status(&digest(request.fingerprint));
        let blamed = self.suspects.blamed_among(&request.prompt_parts).cloned();
        let rules = AttemptRules {
            max: request.route.max_attempts,
            is_repeatable: request.route.repeat != Repeat::Never,
            is_harmful: status == QuarantineStatus::Quarantined || blamed.is_some(),
            has_time_left: now < request.deadline,
        };
        let limit = self.cfg.retry;
        let budget = self.retry_budgets.get_mut(&request.target);
        let take_from_budget = || budget.is_some_and(|budget| budget.try_take(now, limit, entries));
        if request
            .attempts
            .check_retry(rules, take_from_budget)
            .is_ok()
        {
            request.is_waiting = true;
            request.queue_deadline = match request.version {
                Some(_) => now + RESUME_QUEUE_TIME,
                None => now + max_queue_time(request.route.start_goal),
            };
            self.queue.insert((false, request.first_attempt_at, ticket));
            return NextStep::Wait;
        }
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
        NextStep::Refuse(refusal.with_prompt_parts(blamed.into_iter().flatten()))
    }

    /// Removes a request; a running attempt ends with [`AttemptOutcome::CallerGone`]. Returns `None`
    /// when the request has ended before.
    pub fn finish(&mut self, now: Instant, ticket: TicketId) -> Option<Departure> {
        let request = self.requests.remove(&ticket)?;
        if request.is_waiting {
            // A request that waits again after a failed attempt is queued with `false`.
            self.queue
                .remove(&(request.is_returning, request.first_attempt_at, ticket));
            self.queue
                .remove(&(false, request.first_attempt_at, ticket));
        }
        if let Some(running) = &request.running {
            self.record_outcome(
                now,
                running,
                request.prompt_tokens,
                request.fingerprint,
                AttemptOutcome::CallerGone,
            );
            self.record_ended(
                now,
                running,
                &request.prompt_parts,
                AttemptOutcome::CallerGone,
            );
        }
        Some(Departure {
            attempts: request.attempts.sent,
            running: request.running.map(|running| {
                (
                    running.endpoint,
                    now.saturating_duration_since(running.since),
                )
            }),
        })
    }

    /// Handles the crash of an endpoint incarnation: requests whose attempts broke there within
    /// [`CRASH_WINDOW`] are suspected to have caused it.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        id: &str,
        incarnation: InstanceId,
        sign: CrashSign,
    ) {
        let mut attempts = 0;
        let mut remaining = VecDeque::new();
        for broken in std::mem::take(&mut self.broken_attempts) {
            if now.saturating_duration_since(broken.at) > CRASH_WINDOW {
                continue;
            }
            if &*broken.endpoint == id && broken.incarnation == incarnation {
                let fingerprint = digest(broken.fingerprint);
                let instance = instance(id, incarnation);
                self.quarantine.record_crash(now, &fingerprint, instance);
                attempts += 1;
            } else {
                remaining.push_back(broken);
            }
        }
        self.broken_attempts = remaining;
        if attempts > 0 {
            self.notify(Notice::EndpointCrashed {
                endpoint: id.into(),
                incarnation,
                attempts,
                sign,
            });
        }
    }
}

/// Identifies one incarnation of one endpoint; endpoints that start at the same time have equal
/// incarnation numbers.
fn instance(id: &str, incarnation: InstanceId) -> InstanceId {
    let mut hash = blake3::Hasher::new();
    hash.update(&incarnation.to_le_bytes())
        .update(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    InstanceId::from_le_bytes(bytes)
}
