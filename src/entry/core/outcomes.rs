//! Handles the outcomes of attempts: completes, retries, resumes or refuses the request.

use std::sync::Arc;
use std::time::Instant;

use crate::codes::{Code, RunState};
use crate::delivery::{AttemptRules, QuarantineStatus, RetryDenied};
use crate::types::{Digest, EntryAttemptOutcome, Refusal, RequestId};

use super::requests::{Attempt, Phase, Request, ResumePoint};
use super::traffic::RETRY_AFTER;
use super::{EntryAction, EntryCore, RETRY_LIMIT};

/// Attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Endpoint failures during one request after which it counts as harmful.
const MAX_ENDPOINT_FAILURES: usize = 2;

impl EntryCore {
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        attempt: &str,
        outcome: EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Some(running) = request.take_running_attempt(attempt) else {
            return;
        };
        request.avoid_endpoint = Some(running.endpoint.clone());
        let target = request.meta.target.clone();
        let is_keyed = request.meta.key.is_some();
        self.release_slot(&running);
        match &outcome {
            EntryAttemptOutcome::Answered => self.admission.ended(now, &target),
            EntryAttemptOutcome::Refused(code) => self.record_refusal(now, req, &running, *code),
            EntryAttemptOutcome::NotSent => self.mark_unreachable(&running),
            _ => self.sync_soon(now, &running),
        }
        match is_keyed {
            true => self.on_keyed_ended(now, req, &outcome, answer),
            false => self.on_repeatable_ended(now, req, running, outcome),
        }
    }

    fn on_repeatable_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        attempt: Attempt,
        outcome: EntryAttemptOutcome,
    ) {
        match outcome {
            EntryAttemptOutcome::Answered => {
                self.finish_answered(req);
                self.actions.push(EntryAction::Complete { req });
            }
            EntryAttemptOutcome::Refused(Code::Quarantined) => {
                self.reject(now, req, Code::Quarantined)
            }
            EntryAttemptOutcome::Refused(code) if code.run_state() == RunState::NotRun => {
                self.retry(now, req, code);
            }
            EntryAttemptOutcome::Refused(_) => self.on_answer_broken(now, req, attempt.version, 0),
            EntryAttemptOutcome::NotSent => self.retry(now, req, Code::NoEndpoint),
            EntryAttemptOutcome::Broken { delivered } => {
                self.on_answer_broken(now, req, attempt.version, delivered)
            }
            EntryAttemptOutcome::Mismatch(_) => {
                self.on_attempt_failed(now, req, attempt.answer_started, Code::AnswerBroken)
            }
            EntryAttemptOutcome::TimedOut => {
                self.on_attempt_failed(now, req, attempt.answer_started, Code::AnswerTimeout)
            }
        }
    }

    fn record_refusal(&mut self, now: Instant, req: RequestId, attempt: &Attempt, code: Code) {
        if code.run_state() != RunState::NotRun {
            return self.record_endpoint_failure(now, req, attempt);
        }
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else {
            return;
        };
        match code {
            Code::EndpointFull | Code::PowerLimit | Code::DeadlineUnreachable => {
                endpoint.mark_full();
            }
            Code::Quarantined | Code::Fenced => {}
            _ => endpoint.mark_refusing(),
        }
    }

    /// Records that the agent is alive but reports that its endpoint failed while it ran the
    /// request. The next attempt runs alone. After a second failure, seen here or reported by other
    /// processes, the request is assumed to have crashed both endpoints.
    fn record_endpoint_failure(&mut self, now: Instant, req: RequestId, attempt: &Attempt) {
        self.sync_soon(now, attempt);
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.failed_instances.push(endpoint.instance);
        for instance in &request.failed_instances {
            self.quarantine
                .record_crash(now, &request.meta.fingerprint, *instance);
        }
        self.on_quarantine_changed(now);
    }

    fn mark_unreachable(&mut self, attempt: &Attempt) {
        if let Some(agent) = self.membership.agent_mut(&attempt.host) {
            agent.unreachable = true;
        }
    }

    /// Makes the next heartbeat to the agent due now, to get its current state.
    fn sync_soon(&mut self, now: Instant, attempt: &Attempt) {
        if let Some(agent) = self.membership.agent_mut(&attempt.host) {
            agent.next_sync = now;
        }
    }

    /// Retries a request that the attempt has certainly not run, as long as it can still start in
    /// time.
    pub(super) fn retry(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = &self.requests[&req];
        if request.resume_point.is_some() {
            return self.resume_answer(now, req);
        }
        let has_time_left = request.ticket.latest_start > now;
        match self.check_retry(now, req, false, has_time_left) {
            Ok(()) => self.requeue(req),
            Err(RetryDenied::OverBudget) => self.reject(now, req, Code::RetriesSpent),
            Err(_) => self.reject(now, req, code),
        }
    }

    /// Handles an answer that was interrupted after `delivered` tokens had reached the caller.
    fn on_answer_broken(
        &mut self,
        now: Instant,
        req: RequestId,
        version: Option<Digest>,
        delivered: u64,
    ) {
        let request = self
            .requests
            .get_mut(&req)
            .expect("the request of an ended attempt exists");
        request.attempts.may_have_run = true;
        let known = request
            .resume_point
            .as_ref()
            .map_or(0, |point| point.delivered_tokens);
        let delivered_tokens = delivered.max(known);
        match version {
            _ if delivered_tokens == 0 => self.rerun(now, req, Code::AnswerBroken),
            Some(version) => {
                request.resume_point = Some(ResumePoint {
                    version,
                    delivered_tokens,
                });
                self.resume_answer(now, req);
            }
            None => self.reject(now, req, Code::AnswerBroken),
        }
    }

    /// Handles an attempt that failed after an unknown part of it had run.
    fn on_attempt_failed(
        &mut self,
        now: Instant,
        req: RequestId,
        answer_started: bool,
        code: Code,
    ) {
        let request = self
            .requests
            .get_mut(&req)
            .expect("the request of an ended attempt exists");
        request.attempts.may_have_run = true;
        if request.resume_point.is_some() && !answer_started {
            self.resume_answer(now, req);
        } else if answer_started {
            self.reject(now, req, code);
        } else {
            self.rerun(now, req, code);
        }
    }

    /// Runs a repeatable request again although it may have run already. Its start budget is reset
    /// to the first-token target, counted from now.
    fn rerun(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = &self.requests[&req];
        let quarantine_status = self.quarantine.status(&request.meta.fingerprint);
        let is_harmful = request.failed_instances.len() >= MAX_ENDPOINT_FAILURES
            || quarantine_status == QuarantineStatus::Quarantined;
        match self.check_retry(now, req, is_harmful, true) {
            Ok(()) => {}
            Err(RetryDenied::Harmful) => return self.reject(now, req, Code::RequestHarmful),
            Err(_) => return self.reject(now, req, code),
        }
        let request = self
            .requests
            .get_mut(&req)
            .expect("the request of an ended attempt exists");
        request.ticket.latest_start = now + request.first_token_target;
        request.start_budget =
            now.saturating_duration_since(request.arrived_at) + request.first_token_target;
        self.requeue(req);
    }

    /// Decides whether a repeatable request may have another attempt, and takes it from the retry
    /// budget. For keyed requests, the claim has already made sure that the request did not run.
    fn check_retry(
        &mut self,
        now: Instant,
        req: RequestId,
        is_harmful: bool,
        has_time_left: bool,
    ) -> Result<(), RetryDenied> {
        let rules = AttemptRules {
            max: MAX_ATTEMPTS,
            is_repeatable: true,
            is_harmful,
            has_time_left: has_time_left && !self.is_answer_time_over(now),
        };
        let retries = &mut self.retry_window;
        let take_retry = || retries.try_take(now, RETRY_LIMIT, 1);
        self.requests[&req].attempts.check_retry(rules, take_retry)
    }

    /// Returns a request to its queue.
    pub(super) fn requeue(&mut self, req: RequestId) {
        let Request { meta, ticket, .. } = &self.requests[&req];
        self.admission.requeue(&meta.class, &meta.customer, *ticket);
    }

    /// Continues an interrupted answer on the same version, or rejects the request.
    fn resume_answer(&mut self, now: Instant, req: RequestId) {
        match self.choose_endpoint_of_same_version(now, req) {
            Some(endpoint) if self.check_retry(now, req, false, true).is_ok() => {
                let attempt = self.reserve_slot(now, req, &endpoint);
                self.send_attempt(now, req, attempt);
            }
            _ => self.reject(now, req, Code::AnswerBroken),
        }
    }

    /// Ends a request with a refusal. A code that means "not run" is replaced when the request may
    /// have run.
    pub(super) fn reject(&mut self, now: Instant, req: RequestId, code: Code) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let unknown = match code {
            Code::Quarantined => Code::RequestHarmful,
            _ => Code::AnswerBroken,
        };
        let code = request.attempts.final_code(code, unknown);
        let refusal = match code {
            Code::Quarantined | Code::RequestHarmful => Refusal::new(code),
            _ => Refusal::new(code).with_retry_after(RETRY_AFTER),
        };
        if !self.abandon_claim(now, req, refusal.clone()) {
            self.finish_refused(req, refusal);
        }
    }

    /// Removes a request and sends its refusal.
    pub(super) fn finish_refused(&mut self, req: RequestId, refusal: Refusal) {
        if let Some(request) = self.remove_request(req) {
            self.refuse(req, &request.meta.class, refusal);
        }
    }

    /// Removes a request whose caller gets an answer, and counts it.
    pub(super) fn finish_answered(&mut self, req: RequestId) {
        if let Some(request) = self.remove_request(req)
            && let Some(stats) = self.class_stats.get_mut(&request.meta.class)
        {
            stats.answered += 1;
        }
    }

    /// Removes a request and releases the slot that it holds.
    pub(super) fn remove_request(&mut self, req: RequestId) -> Option<Request> {
        let request = self.requests.remove(&req)?;
        if let Phase::Running(attempt) | Phase::Claiming(attempt) = &request.phase {
            self.release_slot(attempt);
        }
        Some(request)
    }

    pub(super) fn release_slot(&mut self, attempt: &Attempt) {
        self.shares.release(&attempt.target, &attempt.customer);
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.ended(attempt.answer_started);
        }
    }
}
