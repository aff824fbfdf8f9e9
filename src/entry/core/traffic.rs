//! Traffic side of the entry: from a request's arrival to its final answer.

use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::config::Targets;
use crate::routing::{Endpoint, choose};
use crate::types::{AttemptEnd, EndpointId, Refusal, RequestId, RequestMeta};

use super::requests::{Attempt, Phase, Request};
use super::{Dispatch, EntryAction, EntryCore};

/// Advice to callers that were refused for want of a place.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl EntryCore {
    pub(super) fn arrived(&mut self, now: Instant, req: RequestId, meta: RequestMeta) {
        match self.admit(now, &meta) {
            Ok(deadline) => {
                let request = Request {
                    meta,
                    deadline,
                    phase: Phase::Waiting,
                    tries: 0,
                };
                self.requests.insert(req, request);
                self.queue.push_back(req);
            }
            Err(refusal) => self.actions.push(EntryAction::Refuse { req, refusal }),
        }
    }

    fn admit(&self, now: Instant, meta: &RequestMeta) -> Result<Instant, Refusal> {
        if self
            .stopped
            .is_some_and(|at| now >= at + self.cfg.stop_grace)
        {
            return Err(Refusal::new(Code::Stopping));
        }
        let targets = self.targets().ok_or(Refusal::new(Code::NoConfiguration))?;
        let patience = validate(targets, meta).map_err(Refusal::new)?;
        if self.queue.len() >= self.cfg.queue_len {
            return Err(Refusal::new(Code::QueueFull).after(RETRY_AFTER));
        }
        Ok(now + patience)
    }

    pub(super) fn caller_gone(&mut self, req: RequestId) {
        if let Some(request) = self.requests.remove(&req) {
            self.queue.retain(|waiting| *waiting != req);
            self.release(&request.phase);
        }
    }

    pub(super) fn load_seen(&mut self, endpoint: &str, in_flight: u32, limit: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.load_seen(in_flight, limit);
        }
    }

    pub(super) fn attempt_ended(&mut self, req: RequestId, attempt: &str, end: AttemptEnd) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let Phase::Running(running) = &request.phase else {
            return;
        };
        if &*running.id != attempt {
            return;
        }
        let request = self.requests.remove(&req).expect("it was just found");
        self.release(&request.phase);
        let code = match end {
            AttemptEnd::Answered => return self.actions.push(EntryAction::Complete { req }),
            AttemptEnd::Refused(code) => code,
            AttemptEnd::NotSent => Code::NoEndpoint,
            AttemptEnd::Broken { .. } => Code::AnswerBroken,
            AttemptEnd::Mismatch(_) => Code::AnswerBroken,
            AttemptEnd::TimedOut => Code::AnswerTimeout,
        };
        let refusal = Refusal::new(code).after(RETRY_AFTER);
        self.actions.push(EntryAction::Refuse { req, refusal });
    }

    fn release(&mut self, phase: &Phase) {
        if let Phase::Running(attempt) = phase
            && let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint)
        {
            endpoint.own -= 1;
        }
    }

    /// Starts waiting requests while there are places, and refuses those that are too late.
    pub(super) fn pump(&mut self, now: Instant) {
        for _ in 0..self.queue.len() {
            let Some(req) = self.queue.pop_front() else {
                return;
            };
            let request = &self.requests[&req];
            if let Some(endpoint) = self.choose_endpoint(now, &request.meta.target.clone()) {
                self.dispatch(req, &endpoint);
            } else if self.requests[&req].deadline <= now {
                self.requests.remove(&req);
                let refusal = Refusal::new(Code::DeadlineUnreachable).after(RETRY_AFTER);
                self.actions.push(EntryAction::Refuse { req, refusal });
            } else {
                self.queue.push_back(req);
            }
        }
    }

    fn choose_endpoint(&mut self, now: Instant, target: &str) -> Option<EndpointId> {
        let zones_out = self.targets()?.zones_out.clone();
        let candidates: Vec<&Endpoint> = self
            .endpoints
            .values()
            .filter(|endpoint| &*endpoint.target == target)
            .filter(|endpoint| endpoint.is_serving() && endpoint.has_room())
            .filter(|endpoint| {
                self.membership.agent(&endpoint.host).is_some_and(|agent| {
                    !agent.is_leaving()
                        && !agent.is_silent(now, self.cfg.suspicion)
                        && !zones_out.contains(&agent.zone)
                })
            })
            .collect();
        choose(&candidates, &mut self.rng).map(|index| candidates[index].id.clone())
    }

    fn dispatch(&mut self, req: RequestId, endpoint: &str) {
        let generation = self.generation();
        self.attempts += 1;
        let attempt = format!(
            "{}-{:x}-{}",
            self.cfg.entry, self.cfg.instance, self.attempts
        );
        let endpoint = self.endpoints.get_mut(endpoint).expect("it was chosen");
        let agent = self
            .membership
            .agent(&endpoint.host)
            .expect("it was chosen");
        endpoint.own += 1;
        let request = self.requests.get_mut(&req).expect("it was waiting");
        request.tries += 1;
        request.phase = Phase::Running(Attempt {
            id: attempt.as_str().into(),
            endpoint: endpoint.id.clone(),
        });
        self.actions.push(EntryAction::Dispatch(Dispatch {
            req,
            attempt: attempt.into(),
            host: agent.host.clone(),
            traffic: agent.traffic,
            endpoint: endpoint.id.clone(),
            agent_instance: agent.instance.expect("it has answered"),
            version: endpoint.version.clone(),
            generation,
            resume_from: 0,
            suspect: false,
        }));
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.queue
            .iter()
            .map(|req| self.requests[req].deadline)
            .min()
    }
}

/// Time for which the caller of a valid request waits.
fn validate(targets: &Targets, meta: &RequestMeta) -> Result<Duration, Code> {
    let class = targets.class(&meta.class).ok_or(Code::UnknownClass)?;
    targets
        .customer(&meta.customer)
        .ok_or(Code::UnknownCustomer)?;
    if class.target != meta.target {
        return Err(Code::UnknownTarget);
    }
    if class.keyed && meta.key.is_none() {
        return Err(Code::KeyMissing);
    }
    if class.keyed {
        return Err(Code::StoreUnavailable);
    }
    Ok(meta.patience.unwrap_or(class.first_token))
}
