//! Ends of attempts and of requests: what is passed on, tried again or refused.

use std::sync::Arc;
use std::time::Instant;

use crate::codes::{Code, RunState};
use crate::delivery::{AttemptRules, QuarantineStatus, RetryDenied};
use crate::types::{AttemptEnd, Digest, Refusal, RequestId};

use super::requests::{Attempt, Phase, Request, Resume};
use super::traffic::RETRY_AFTER;
use super::{EntryAction, EntryCore, RETRIES};

/// Attempts at one request.
const MAX_TRIES: u32 = 4;
/// Attempts at one request that may break off at an endpoint.
const MAX_BREAKS: usize = 2;

impl EntryCore {
    pub(super) fn attempt_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        attempt: &str,
        end: AttemptEnd,
        answer: Option<Arc<str>>,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Some(running) = request.take_attempt(attempt) else {
            return;
        };
        request.avoid = Some(running.endpoint.clone());
        let target = request.meta.target.clone();
        let keyed = request.meta.key.is_some();
        self.give_place_back(&running);
        match &end {
            AttemptEnd::Answered => self.admission.ended(now, &target),
            AttemptEnd::Refused(code) => self.note_refusal(now, req, &running, *code),
            AttemptEnd::NotSent => self.note_unreachable(&running),
            _ => self.ask_soon(now, &running),
        }
        match keyed {
            true => self.claim_ended(now, req, &end, answer),
            false => self.repeatable_ended(now, req, running, end),
        }
    }

    fn repeatable_ended(&mut self, now: Instant, req: RequestId, run: Attempt, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered => {
                self.end_answered(req);
                self.actions.push(EntryAction::Complete { req });
            }
            AttemptEnd::Refused(Code::Quarantined) => self.give_up(now, req, Code::Quarantined),
            AttemptEnd::Refused(code) if code.run_state() == RunState::NotRun => {
                self.retry(now, req, code);
            }
            AttemptEnd::Refused(_) => self.broken(now, req, run.version, 0),
            AttemptEnd::NotSent => self.retry(now, req, Code::NoEndpoint),
            AttemptEnd::Broken { delivered } => self.broken(now, req, run.version, delivered),
            AttemptEnd::Mismatch(_) => self.failed(now, req, run.started, Code::AnswerBroken),
            AttemptEnd::TimedOut => self.failed(now, req, run.started, Code::AnswerTimeout),
        }
    }

    fn note_refusal(&mut self, now: Instant, req: RequestId, run: &Attempt, code: Code) {
        if code.run_state() != RunState::NotRun {
            return self.note_break(now, req, run);
        }
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
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

    /// The agent lives and says that its endpoint broke off. The next attempt runs alone; after a
    /// second break, here or as other processes say, the request is held to have crashed both
    /// endpoints.
    fn note_break(&mut self, now: Instant, req: RequestId, run: &Attempt) {
        self.ask_soon(now, run);
        let Some(endpoint) = self.endpoints.get(&run.endpoint) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.broke_at.push(endpoint.instance);
        for instance in &request.broke_at {
            self.quarantine
                .record_crash(now, &request.meta.fingerprint, *instance);
        }
        self.quarantine_changed(now);
    }

    fn note_unreachable(&mut self, run: &Attempt) {
        if let Some(agent) = self.membership.agent_mut(&run.host) {
            agent.unreachable = true;
        }
    }

    /// Asks the agent for its state without waiting for the next heartbeat.
    fn ask_soon(&mut self, now: Instant, run: &Attempt) {
        if let Some(agent) = self.membership.agent_mut(&run.host) {
            agent.next_sync = now;
        }
    }

    /// Tries again what this attempt has certainly not run, while its caller still waits.
    pub(super) fn retry(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = &self.requests[&req];
        if request.resume.is_some() {
            return self.resume(now, req);
        }
        let is_awaited = request.ticket.latest_start > now;
        match self.may_try_again(now, req, false, is_awaited) {
            Ok(()) => self.wait_again(req),
            Err(RetryDenied::OverBudget) => self.give_up(now, req, Code::RetriesSpent),
            Err(_) => self.give_up(now, req, code),
        }
    }

    /// The answer broke off after `delivered` tokens had been passed on.
    fn broken(&mut self, now: Instant, req: RequestId, version: Option<Digest>, delivered: u64) {
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        request.attempts.may_have_run = true;
        let known = request.resume.as_ref().map_or(0, |resume| resume.from);
        let from = delivered.max(known);
        match version {
            _ if from == 0 => self.repeat(now, req, Code::AnswerBroken),
            Some(version) => {
                request.resume = Some(Resume { version, from });
                self.resume(now, req);
            }
            None => self.give_up(now, req, Code::AnswerBroken),
        }
    }

    /// The attempt failed in a way that leaves open how far it ran.
    fn failed(&mut self, now: Instant, req: RequestId, started: bool, code: Code) {
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        request.attempts.may_have_run = true;
        if request.resume.is_some() && !started {
            self.resume(now, req);
        } else if started {
            self.give_up(now, req, code);
        } else {
            self.repeat(now, req, code);
        }
    }

    /// Runs a repeatable request again that may have run; its time starts anew.
    fn repeat(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = &self.requests[&req];
        let standing = self.quarantine.status(&request.meta.fingerprint);
        let is_harmful =
            request.broke_at.len() >= MAX_BREAKS || standing == QuarantineStatus::Quarantined;
        match self.may_try_again(now, req, is_harmful, true) {
            Ok(()) => {}
            Err(RetryDenied::Harmful) => return self.give_up(now, req, Code::RequestHarmful),
            Err(_) => return self.give_up(now, req, code),
        }
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        request.ticket.latest_start = now + request.first_token;
        request.patience = now.saturating_duration_since(request.arrived_at) + request.first_token;
        self.wait_again(req);
    }

    /// Judges another attempt at a request that may be run any number of times; keyed requests are
    /// judged by their claims before they come here.
    fn may_try_again(
        &mut self,
        now: Instant,
        req: RequestId,
        is_harmful: bool,
        is_awaited: bool,
    ) -> Result<(), RetryDenied> {
        let rules = AttemptRules {
            max: MAX_TRIES,
            is_repeatable: true,
            is_harmful,
            has_time_left: is_awaited,
        };
        let retries = &mut self.retries;
        let draw = || retries.try_take(now, RETRIES, 1);
        self.requests[&req].attempts.check_retry(rules, draw)
    }

    pub(super) fn wait_again(&mut self, req: RequestId) {
        let Request { meta, ticket, .. } = &self.requests[&req];
        self.admission.requeue(&meta.class, &meta.customer, *ticket);
    }

    /// Goes on with a broken answer on the same version or not at all.
    fn resume(&mut self, now: Instant, req: RequestId) {
        match self.choose_same_version(now, req) {
            Some(endpoint) if self.may_try_again(now, req, false, true).is_ok() => {
                let attempt = self.plan_attempt(now, req, &endpoint);
                self.send(now, req, attempt);
            }
            _ => self.give_up(now, req, Code::AnswerBroken),
        }
    }

    /// Gives the final negative answer; never "not run" for what may have run.
    pub(super) fn give_up(&mut self, now: Instant, req: RequestId, code: Code) {
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
            _ => Refusal::new(code).after(RETRY_AFTER),
        };
        if !self.give_claim_up(now, req, refusal.clone()) {
            self.end_refused(req, refusal);
        }
    }

    /// Ends a request with a refusal.
    pub(super) fn end_refused(&mut self, req: RequestId, refusal: Refusal) {
        if let Some(request) = self.end(req) {
            self.refuse(req, &request.meta.class, refusal);
        }
    }

    /// Ends a request whose caller got its answer.
    pub(super) fn end_answered(&mut self, req: RequestId) {
        if let Some(request) = self.end(req)
            && let Some(stats) = self.stats.get_mut(&request.meta.class)
        {
            stats.answered += 1;
        }
    }

    /// Forgets a request and gives the place back that it holds.
    pub(super) fn end(&mut self, req: RequestId) -> Option<Request> {
        let request = self.requests.remove(&req)?;
        if let Phase::Running(attempt) | Phase::Claiming(attempt) = &request.phase {
            self.give_place_back(attempt);
        }
        Some(request)
    }

    pub(super) fn give_place_back(&mut self, attempt: &Attempt) {
        self.shares.release(&attempt.target, &attempt.customer);
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.ended(attempt.started);
        }
    }
}
