//! Keyed requests: performs the steps that their claims return.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::codes::Code;
use crate::delivery::{ChosenAttempt, Claim, ClaimStep, KeyedRequest, StoreReply};
use crate::types::{AttemptId, EntryAttemptOutcome, HostId, Key, Refusal, RequestId};
use crate::wire::SettleReply;

use super::requests::{Attempt, Phase};
use super::{EntryAction, EntryCore, StoreCallId};

impl EntryCore {
    /// Claims the key for an attempt that has a slot. The attempt is sent when the claim is held.
    pub(super) fn claim_key(&mut self, now: Instant, req: RequestId, attempt: Attempt) {
        let chosen_attempt = ChosenAttempt {
            attempt: attempt.id.clone(),
            endpoint: attempt.endpoint.clone(),
            host: attempt.host.clone(),
            agent_instance: attempt.agent_instance,
        };
        let wall_clock = self.wall_clock(now);
        let request = self.requests.get_mut(&req).expect("the request was queued");
        request.phase = Phase::Claiming(attempt);
        let Some(key) = request.meta.key.clone() else {
            return;
        };
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.retry(chosen_attempt);
            return self.perform_claim_steps(now, req, steps);
        }
        let keyed_request = KeyedRequest {
            customer: request.meta.customer.clone(),
            class: request.meta.class.clone(),
            key,
            body: request.meta.fingerprint.clone(),
            issued: request.meta.key_issued,
        };
        match Claim::begin(keyed_request, chosen_attempt, wall_clock) {
            Ok((claim, steps)) => {
                self.claims.insert(req, claim);
                self.perform_claim_steps(now, req, steps);
            }
            Err(refusal) => self.finish_refused(req, refusal),
        }
    }

    /// Wall-clock time that corresponds to `now`.
    fn wall_clock(&self, now: Instant) -> SystemTime {
        self.cfg.wall_clock + now.saturating_duration_since(self.started_at)
    }

    pub(super) fn on_store_replied(
        &mut self,
        now: Instant,
        call_id: StoreCallId,
        reply: StoreReply,
    ) {
        if let Some(req) = self.store_calls.remove(&call_id)
            && let Some(claim) = self.claims.get_mut(&req)
        {
            let steps = claim.handle_store_reply(reply);
            self.perform_claim_steps(now, req, steps);
        }
    }

    pub(super) fn on_settle_replied(
        &mut self,
        now: Instant,
        req: RequestId,
        reply: Option<SettleReply>,
    ) {
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.handle_settle_reply(reply);
            self.perform_claim_steps(now, req, steps);
        }
    }

    /// Reports the outcome of an attempt to the claim of its keyed request.
    pub(super) fn on_keyed_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        outcome: &EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) {
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.handle_attempt_end(outcome, answer);
            self.perform_claim_steps(now, req, steps);
        }
    }

    /// Refuses a keyed request that has not run through its claim. Returns false when there is no
    /// claim or the claim requires no step.
    pub(super) fn abandon_claim(&mut self, now: Instant, req: RequestId, refusal: Refusal) -> bool {
        let Some(claim) = self.claims.get_mut(&req) else {
            return false;
        };
        let steps = claim.abandon(refusal);
        let is_abandoned = !steps.is_empty();
        self.perform_claim_steps(now, req, steps);
        is_abandoned
    }

    fn perform_claim_steps(&mut self, now: Instant, req: RequestId, steps: Vec<ClaimStep>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                ClaimStep::Store(call) => {
                    self.next_store_call_id += 1;
                    let call_id = self.next_store_call_id;
                    self.store_calls.insert(call_id, req);
                    self.actions.push(EntryAction::Store { call_id, call });
                }
                ClaimStep::Settle { host, key, attempt } => {
                    steps.extend(self.request_settlement(req, host, key, attempt));
                }
                ClaimStep::Dispatch => self.on_claim_held(now, req),
                ClaimStep::NotRun(code) => self.on_claim_not_run(now, req, code),
                ClaimStep::Replay(answer) => {
                    self.finish_answered(req);
                    self.actions.push(EntryAction::Replay { req, answer });
                }
                ClaimStep::Refuse(refusal) => self.finish_refused(req, refusal),
                ClaimStep::Complete => {
                    self.finish_answered(req);
                    self.actions.push(EntryAction::Complete { req });
                }
            }
        }
        if self.claims.get(&req).is_some_and(Claim::is_finished) {
            self.claims.remove(&req);
        }
    }

    /// Requests the outcome of an attempt from its agent. When the host is not known, continues the
    /// claim at once as if the agent could not be reached.
    fn request_settlement(
        &mut self,
        req: RequestId,
        host: HostId,
        key: Key,
        attempt: AttemptId,
    ) -> Vec<ClaimStep> {
        let Some(agent) = self.membership.agent(&host) else {
            let claim = self.claims.get_mut(&req);
            return claim.map_or_else(Vec::new, |claim| claim.handle_settle_reply(None));
        };
        let control = agent.control;
        self.actions.push(EntryAction::Settle {
            req,
            host,
            control,
            key,
            attempt,
        });
        Vec::new()
    }

    /// Sends the attempt for which the key is claimed. Requeues the request when the attempt's
    /// endpoint has become unavailable in the meantime.
    fn on_claim_held(&mut self, now: Instant, req: RequestId) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Phase::Claiming(attempt) = std::mem::replace(&mut request.phase, Phase::Waiting) else {
            return;
        };
        if request.caller_gone {
            self.release_slot(&attempt);
            return self.reject(now, req, Code::NoEndpoint);
        }
        if self.can_still_run(now, &attempt) {
            return self.send_attempt(now, req, attempt);
        }
        self.release_slot(&attempt);
        self.requeue(req);
    }

    /// True when the endpoint and the agent instance of a planned attempt still take requests.
    fn can_still_run(&self, now: Instant, attempt: &Attempt) -> bool {
        let instance = self
            .membership
            .agent(&attempt.host)
            .and_then(|agent| agent.instance);
        let is_serving = self
            .endpoints
            .get(&attempt.endpoint)
            .is_some_and(|endpoint| endpoint.is_serving());
        let is_config_in_force = self.config.in_force(now).is_ok();
        let is_open = self.membership.share(now, &attempt.host) > 0.0;
        is_serving && is_config_in_force && is_open && instance == Some(attempt.agent_instance)
    }

    fn on_claim_not_run(&mut self, now: Instant, req: RequestId, code: Code) {
        match self.requests.get(&req) {
            Some(request) if request.caller_gone => self.reject(now, req, code),
            Some(_) => self.retry(now, req, code),
            None => {}
        }
    }

    /// Handles a caller that left before its keyed request was answered. An attempt that has not
    /// been sent is dropped; the outcome of one that has been sent is still recorded.
    pub(super) fn on_keyed_caller_gone(&mut self, now: Instant, req: RequestId) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.caller_gone = true;
        match &request.phase {
            Phase::Claiming(_) => {}
            Phase::Waiting if self.admission.remove(req) => {
                self.reject(now, req, Code::NoEndpoint);
            }
            Phase::Waiting => {}
            Phase::Running(attempt) => {
                let attempt = attempt.id.clone();
                self.on_attempt_ended(now, req, &attempt, EntryAttemptOutcome::TimedOut, None);
            }
        }
    }
}
