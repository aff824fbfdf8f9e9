//! Ends of attempts: what is passed on, tried again or refused.

use std::time::Instant;

use crate::codes::{Code, RunState};
use crate::types::{AttemptEnd, Digest, Refusal, RequestId};

use super::requests::{Phase, Request, Resume};
use super::traffic::RETRY_AFTER;
use super::{EntryAction, EntryCore};

/// Attempts at one request.
const MAX_TRIES: u32 = 4;

impl EntryCore {
    pub(super) fn attempt_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        attempt: &str,
        end: AttemptEnd,
    ) {
        let Some(running) = self.requests.get(&req).and_then(|r| r.attempt(attempt)) else {
            return;
        };
        let (endpoint, version) = (running.endpoint.clone(), running.version.clone());
        let started = running.started;
        let request = self.requests.get_mut(&req).expect("it was just found");
        let phase = std::mem::replace(&mut request.phase, Phase::Waiting);
        request.avoid = Some(endpoint.clone());
        let target = request.meta.target.clone();
        self.release(now, &phase);
        match end {
            AttemptEnd::Answered => {
                self.admission.ended(now, &target);
                self.answered(req);
                self.actions.push(EntryAction::Complete { req });
            }
            AttemptEnd::Refused(code) => {
                self.note_refusal(&endpoint, code);
                self.refused(now, req, code);
            }
            AttemptEnd::NotSent => {
                self.note_unreachable(&endpoint);
                self.retry(now, req, Code::NoEndpoint);
            }
            AttemptEnd::Broken { delivered } => self.broken(now, req, version, delivered),
            AttemptEnd::Mismatch(_) => self.failed(now, req, started, Code::AnswerBroken),
            AttemptEnd::TimedOut => self.failed(now, req, started, Code::AnswerTimeout),
        }
    }

    fn answered(&mut self, req: RequestId) {
        if let Some(request) = self.requests.remove(&req)
            && let Some(stats) = self.stats.get_mut(&request.meta.class)
        {
            stats.answered += 1;
        }
    }

    fn note_refusal(&mut self, endpoint: &str, code: Code) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match code {
            Code::EndpointFull | Code::PowerLimit | Code::DeadlineUnreachable => {
                endpoint.was_full();
            }
            _ => endpoint.was_refused(),
        }
    }

    fn note_unreachable(&mut self, endpoint: &str) {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return;
        };
        if let Some(agent) = self.membership.agent_mut(&endpoint.host) {
            agent.unreachable = true;
        }
    }

    /// The agent refused, so the endpoint has not seen the request.
    fn refused(&mut self, now: Instant, req: RequestId, code: Code) {
        match code {
            Code::Quarantined | Code::Malformed | Code::TooLarge => self.give_up(req, code),
            _ => self.retry(now, req, code),
        }
    }

    /// Tries again what this attempt has certainly not run, while its caller still waits.
    fn retry(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = &self.requests[&req];
        if request.resume.is_some() {
            return self.resume(now, req);
        }
        if request.tries >= MAX_TRIES || request.ticket.latest_start <= now {
            return self.give_up(req, code);
        }
        if !self.retries.draw() {
            return self.give_up(req, Code::RetriesSpent);
        }
        self.wait_again(req);
    }

    /// The answer broke off after `delivered` tokens had been passed on.
    fn broken(&mut self, now: Instant, req: RequestId, version: Option<Digest>, delivered: u64) {
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        request.may_have_run = true;
        let known = request.resume.as_ref().map_or(0, |resume| resume.from);
        let from = delivered.max(known);
        match version {
            _ if from == 0 => self.repeat(now, req, Code::AnswerBroken),
            Some(version) => {
                request.resume = Some(Resume { version, from });
                self.resume(now, req);
            }
            None => self.give_up(req, Code::AnswerBroken),
        }
    }

    /// The attempt failed in a way that leaves open how far it ran.
    fn failed(&mut self, now: Instant, req: RequestId, started: bool, code: Code) {
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        request.may_have_run = true;
        if started {
            self.give_up(req, code);
        } else {
            self.repeat(now, req, code);
        }
    }

    /// Runs a repeatable request again that may have run; its time starts anew.
    fn repeat(&mut self, now: Instant, req: RequestId, code: Code) {
        let request = self.requests.get_mut(&req).expect("its attempt ended");
        if request.tries >= MAX_TRIES || !self.retries.draw() {
            return self.give_up(req, code);
        }
        request.ticket.latest_start = now + request.first_token;
        self.wait_again(req);
    }

    fn wait_again(&mut self, req: RequestId) {
        let Request { meta, ticket, .. } = &self.requests[&req];
        self.admission
            .give_back(&meta.class, &meta.customer, *ticket);
    }

    /// Goes on with a broken answer on the same version or not at all.
    fn resume(&mut self, now: Instant, req: RequestId) {
        let within_limits = self.requests[&req].tries < MAX_TRIES;
        match self.choose_same_version(now, req) {
            Some(endpoint) if within_limits && self.retries.draw() => {
                self.dispatch(now, req, &endpoint);
            }
            _ => self.give_up(req, Code::AnswerBroken),
        }
    }

    /// Gives the final negative answer; never "not run" for what may have run.
    pub(super) fn give_up(&mut self, req: RequestId, code: Code) {
        let Some(request) = self.requests.remove(&req) else {
            return;
        };
        let code = match code.run_state() {
            RunState::NotRun if request.may_have_run => Code::AnswerBroken,
            _ => code,
        };
        let refusal = Refusal::new(code).after(RETRY_AFTER);
        self.refuse(req, &request.meta.class, refusal);
    }
}
