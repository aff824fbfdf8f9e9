//! Keyed requests: follows the steps of their claims.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::codes::Code;
use crate::delivery::{ChosenAttempt, Claim, ClaimStep, KeyedRequest, StoreReply};
use crate::types::{AttemptEnd, AttemptId, HostId, Key, Refusal, RequestId};
use crate::wire::SettleReply;

use super::requests::{Attempt, Phase};
use super::{EntryAction, EntryCore, StoreCallId};

impl EntryCore {
    /// Claims the key for an attempt that is planned; it is sent when the claim is held.
    pub(super) fn claim(&mut self, now: Instant, req: RequestId, attempt: Attempt) {
        let choice = ChosenAttempt {
            attempt: attempt.id.clone(),
            endpoint: attempt.endpoint.clone(),
            host: attempt.host.clone(),
            agent_instance: attempt.agent_instance,
        };
        let wall_clock = self.wall_clock(now);
        let request = self.requests.get_mut(&req).expect("it was waiting");
        request.phase = Phase::Claiming(attempt);
        let Some(key) = request.meta.key.clone() else {
            return;
        };
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.retry(choice);
            return self.follow(now, req, steps);
        }
        let operation = KeyedRequest {
            customer: request.meta.customer.clone(),
            class: request.meta.class.clone(),
            key,
            body: request.meta.fingerprint.clone(),
            issued: request.meta.key_issued,
        };
        match Claim::begin(operation, choice, wall_clock) {
            Ok((claim, steps)) => {
                self.claims.insert(req, claim);
                self.follow(now, req, steps);
            }
            Err(refusal) => self.end_refused(req, refusal),
        }
    }

    fn wall_clock(&self, now: Instant) -> SystemTime {
        self.cfg.wall_clock + now.saturating_duration_since(self.started_at)
    }

    pub(super) fn store_replied(&mut self, now: Instant, call_id: StoreCallId, reply: StoreReply) {
        if let Some(req) = self.store_ops.remove(&call_id)
            && let Some(claim) = self.claims.get_mut(&req)
        {
            let steps = claim.handle_store_reply(reply);
            self.follow(now, req, steps);
        }
    }

    pub(super) fn settle_replied(
        &mut self,
        now: Instant,
        req: RequestId,
        reply: Option<SettleReply>,
    ) {
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.handle_settle_reply(reply);
            self.follow(now, req, steps);
        }
    }

    /// The attempt of a keyed request ended.
    pub(super) fn claim_ended(
        &mut self,
        now: Instant,
        req: RequestId,
        end: &AttemptEnd,
        answer: Option<Arc<str>>,
    ) {
        if let Some(claim) = self.claims.get_mut(&req) {
            let steps = claim.handle_attempt_end(end, answer);
            self.follow(now, req, steps);
        }
    }

    /// Gives a keyed request up that has not run. Returns false when it has no claim.
    pub(super) fn give_claim_up(&mut self, now: Instant, req: RequestId, refusal: Refusal) -> bool {
        let Some(claim) = self.claims.get_mut(&req) else {
            return false;
        };
        let steps = claim.abandon(refusal);
        let is_given_up = !steps.is_empty();
        self.follow(now, req, steps);
        is_given_up
    }

    fn follow(&mut self, now: Instant, req: RequestId, steps: Vec<ClaimStep>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                ClaimStep::Store(call) => {
                    self.next_store_op += 1;
                    let call_id = self.next_store_op;
                    self.store_ops.insert(call_id, req);
                    self.actions.push(EntryAction::Store { call_id, call });
                }
                ClaimStep::Settle { host, key, attempt } => {
                    steps.extend(self.settle(req, host, key, attempt));
                }
                ClaimStep::Dispatch => self.claim_held(now, req),
                ClaimStep::NotRun(code) => self.claim_not_run(now, req, code),
                ClaimStep::Replay(answer) => {
                    self.end_answered(req);
                    self.actions.push(EntryAction::Replay { req, answer });
                }
                ClaimStep::Refuse(refusal) => self.end_refused(req, refusal),
                ClaimStep::Complete => {
                    self.end_answered(req);
                    self.actions.push(EntryAction::Complete { req });
                }
            }
        }
        if self.claims.get(&req).is_some_and(Claim::is_finished) {
            self.claims.remove(&req);
        }
    }

    /// Asks an agent, or goes on at once when its host is not known.
    fn settle(
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

    /// The claim is held: the attempt is sent, unless its endpoint has become unfit meanwhile.
    fn claim_held(&mut self, now: Instant, req: RequestId) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Phase::Claiming(attempt) = std::mem::replace(&mut request.phase, Phase::Waiting) else {
            return;
        };
        if request.caller_gone {
            self.give_place_back(&attempt);
            return self.give_up(now, req, Code::NoEndpoint);
        }
        if self.is_fit(now, &attempt) {
            return self.send(now, req, attempt);
        }
        self.give_place_back(&attempt);
        self.wait_again(req);
    }

    fn is_fit(&self, now: Instant, attempt: &Attempt) -> bool {
        let instance = self
            .membership
            .agent(&attempt.host)
            .and_then(|agent| agent.instance);
        let serving = self
            .endpoints
            .get(&attempt.endpoint)
            .is_some_and(|endpoint| endpoint.is_serving());
        let in_force = self.config.in_force(now).is_ok();
        let open = self.membership.share(now, &attempt.host) > 0.0;
        serving && in_force && open && instance == Some(attempt.agent_instance)
    }

    fn claim_not_run(&mut self, now: Instant, req: RequestId, code: Code) {
        match self.requests.get(&req) {
            Some(request) if request.caller_gone => self.give_up(now, req, code),
            Some(_) => self.retry(now, req, code),
            None => {}
        }
    }

    /// The caller of a keyed request has gone: what has not been sent is not sent any more, and
    /// the outcome of what has been sent is still recorded.
    pub(super) fn keyed_caller_gone(&mut self, now: Instant, req: RequestId) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.caller_gone = true;
        match &request.phase {
            Phase::Claiming(_) => {}
            Phase::Waiting if self.admission.remove(req) => {
                self.give_up(now, req, Code::NoEndpoint);
            }
            Phase::Waiting => {}
            Phase::Running(attempt) => {
                let attempt = attempt.id.clone();
                self.attempt_ended(now, req, &attempt, AttemptEnd::TimedOut, None);
            }
        }
    }
}
