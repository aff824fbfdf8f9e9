//! Handles requests from their arrival to the start of their answer: admission, choice of an
//! endpoint and dispatch.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::admission::{Offer, Ticket};
use crate::codes::Code;
use crate::config::{Class, Customer, Targets};
use crate::delivery::{Attempts, QuarantineStatus};
use crate::membership::Membership;
use crate::routing::{Candidate, Criteria, Endpoint};
use crate::types::{AttemptId, EndpointId, Refusal, RequestId, RequestMeta};

use super::placement::PlacementState;
use super::requests::{Attempt, Phase, Request};
use super::{Dispatch, EntryAction, EntryCore};

/// `Retry-After` time sent with refusals.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of a request's start budget that it may spend in the queue.
const QUEUE_WAIT_SHARE: f64 = 0.75;
/// Share of an endpoint's slots that customers above their fair share may use.
const OVER_SHARE_SLOTS: f64 = 0.85;

impl EntryCore {
    pub(super) fn on_request_arrived(&mut self, now: Instant, req: RequestId, meta: RequestMeta) {
        let class = meta.class.clone();
        if let Err(refusal) = self.admit(now, req, meta) {
            self.refuse(req, &class, refusal);
        }
    }

    fn admit(&mut self, now: Instant, req: RequestId, meta: RequestMeta) -> Result<(), Refusal> {
        if self.is_stop_grace_over(now) || self.is_answer_time_over(now) {
            return Err(Refusal::new(Code::Stopping));
        }
        let config = self.config.in_force(now).map_err(Refusal::new)?;
        let (class, customer) = validate(&config.targets, &meta).map_err(Refusal::new)?;
        if self.quarantine.status(&meta.fingerprint) == QuarantineStatus::Quarantined {
            return Err(Refusal::new(Code::Quarantined));
        }
        let first_token_target = class.first_token;
        let stall_timeout = (!class.deferrable).then_some(self.cfg.stall_timeout);
        let start_budget = meta.start_budget.unwrap_or(first_token_target);
        let offer = Offer {
            req,
            class: class.id.clone(),
            target: class.target.clone(),
            priority: class.priority,
            customer: customer.id.clone(),
            weight: customer.weight,
            cost: f64::from(meta.tokens.max(1)),
            latest_start: now + start_budget.mul_f64(QUEUE_WAIT_SHARE),
        };
        self.check_available(now, &offer.target)?;
        if let Some(evicted) = self.admission.offer(now, &offer)? {
            self.reject(now, evicted, Code::OverShare);
        }
        let request = Request {
            meta,
            weight: offer.weight,
            arrived_at: now,
            first_token_target,
            start_budget,
            stall_timeout,
            ticket: Ticket {
                req,
                cost: offer.cost,
                latest_start: offer.latest_start,
            },
            phase: Phase::Waiting,
            attempts: Attempts::default(),
            avoid_endpoint: None,
            caller_gone: false,
            failed_instances: Vec::new(),
            resume_point: None,
        };
        self.requests.insert(req, request);
        Ok(())
    }

    /// Refuses at arrival when the target has no available endpoint, instead of queueing the
    /// request.
    fn check_available(&self, now: Instant, target: &str) -> Result<(), Refusal> {
        if !available_endpoints(
            &self.endpoints,
            &self.placement,
            &self.membership,
            now,
            target,
        )
        .is_empty()
        {
            return Ok(());
        }
        let zone_out = self.endpoints.values().any(|endpoint| {
            &*endpoint.target == target && self.membership.is_zone_out(&endpoint.host)
        });
        let code = if zone_out {
            Code::ZoneOut
        } else {
            Code::NoEndpoint
        };
        Err(Refusal::new(code).with_retry_after(RETRY_AFTER))
    }

    pub(super) fn refuse(&mut self, req: RequestId, class: &str, refusal: Refusal) {
        if let Some(stats) = self.class_stats.get_mut(class) {
            stats.refused += 1;
        }
        self.actions.push(EntryAction::Refuse { req, refusal });
    }

    pub(super) fn on_caller_gone(&mut self, now: Instant, req: RequestId) {
        let keyed = |request: &Request| request.meta.key.is_some();
        if self.requests.get(&req).is_some_and(keyed) {
            return self.on_keyed_caller_gone(now, req);
        }
        self.admission.remove(req);
        self.remove_request(req);
    }

    pub(super) fn on_load_reported(&mut self, endpoint: &str, in_flight: u32, limit: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.update_load(in_flight, limit);
        }
    }

    pub(super) fn on_answer_started(&mut self, now: Instant, req: RequestId, attempt: &str) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Phase::Running(running) = &mut request.phase else {
            return;
        };
        if &*running.id != attempt || running.answer_started {
            return;
        }
        running.answer_started = true;
        if request.resume_point.is_none()
            && let Some(stats) = self.class_stats.get_mut(&request.meta.class)
        {
            stats.record_first_token(now.saturating_duration_since(request.arrived_at));
        }
        let wait = now.saturating_duration_since(running.sent_at);
        if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
            endpoint.started(now, wait);
        }
    }

    /// Starts queued requests while slots are free, and refuses those that can no longer start in
    /// time.
    pub(super) fn dispatch_waiting(&mut self, now: Instant) {
        for req in self.admission.take_expired(now) {
            self.reject(now, req, Code::DeadlineUnreachable);
        }
        if let Err(code) = self.config.in_force(now) {
            return self.reject_waiting(now, code);
        }
        for target in self.admission.targets() {
            while self.dispatch_next(now, &target) {}
        }
    }

    pub(super) fn reject_waiting(&mut self, now: Instant, code: Code) {
        for req in self.admission.take_all() {
            self.reject(now, req, code);
        }
    }

    /// Starts the next queued request of a target. Returns false when none is queued or no slot is
    /// free.
    ///
    /// Customers above their fair share may not fill an endpoint completely, so that a request of
    /// another customer need not wait for one of theirs to end.
    fn dispatch_next(&mut self, now: Instant, target: &str) -> bool {
        let Some(class) = self.admission.classes(target).into_iter().next() else {
            return false;
        };
        for (customer, ticket) in self.admission.heads(&class) {
            let is_over_share = self.shares.is_over_share(target, &customer);
            if let Some(endpoint) = self.choose_endpoint(now, ticket.req, is_over_share) {
                self.admission.take(&class, &customer, ticket.req);
                self.admission.started(now, &class);
                self.start_attempt(now, ticket.req, &endpoint);
                return true;
            }
            if !is_over_share {
                return false;
            }
        }
        false
    }

    fn start_attempt(&mut self, now: Instant, req: RequestId, endpoint: &str) {
        let attempt = self.reserve_slot(now, req, endpoint);
        match self.requests[&req].meta.key {
            Some(_) => self.claim_key(now, req, attempt),
            None => self.send_attempt(now, req, attempt),
        }
    }

    fn choose_endpoint(
        &mut self,
        now: Instant,
        req: RequestId,
        is_over_share: bool,
    ) -> Option<EndpointId> {
        let request = &self.requests[&req];
        let mut candidates = available_endpoints(
            &self.endpoints,
            &self.placement,
            &self.membership,
            now,
            &request.meta.target,
        );
        if candidates.len() > 1 {
            candidates.retain(|candidate| {
                Some(&candidate.endpoint.id) != request.avoid_endpoint.as_ref()
            });
        }
        if is_over_share {
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.open_share *= OVER_SHARE_SLOTS);
        }
        let criteria = Criteria {
            prefix: request.meta.prefix.as_deref(),
            expected_wait: self.admission.backlog_wait(now, &request.meta.target),
        };
        self.chooser
            .choose(now, &candidates, criteria, &mut self.rng)
    }

    /// Chooses the least loaded other endpoint with the same version, to continue an interrupted
    /// answer.
    pub(super) fn choose_endpoint_of_same_version(
        &self,
        now: Instant,
        req: RequestId,
    ) -> Option<EndpointId> {
        let request = &self.requests[&req];
        let version = &request.resume_point.as_ref()?.version;
        available_endpoints(
            &self.endpoints,
            &self.placement,
            &self.membership,
            now,
            &request.meta.target,
        )
        .into_iter()
        .filter(|candidate| candidate.endpoint.version.as_ref() == Some(version))
        .filter(|candidate| Some(&candidate.endpoint.id) != request.avoid_endpoint.as_ref())
        .min_by(|a, b| a.endpoint.load().total_cmp(&b.endpoint.load()))
        .map(|candidate| candidate.endpoint.id.clone())
    }

    /// Reserves a slot at an endpoint for a new attempt.
    pub(super) fn reserve_slot(&mut self, now: Instant, req: RequestId, endpoint: &str) -> Attempt {
        let Request { meta, weight, .. } = &self.requests[&req];
        self.shares.take(&meta.target, &meta.customer, *weight);
        let (target, customer) = (meta.target.clone(), meta.customer.clone());
        let id = self.next_attempt_id();
        let endpoint = self
            .endpoints
            .get_mut(endpoint)
            .expect("the endpoint was chosen from this map");
        endpoint.sent();
        let agent = self
            .membership
            .agent(&endpoint.host)
            .expect("the agent of a chosen endpoint is known");
        Attempt {
            id,
            endpoint: endpoint.id.clone(),
            host: endpoint.host.clone(),
            agent_instance: agent
                .instance
                .expect("an agent whose endpoint was chosen has answered a heartbeat"),
            version: endpoint.version.clone(),
            target,
            customer,
            sent_at: now,
            answer_started: false,
        }
    }

    /// Sends an attempt to its agent.
    pub(super) fn send_attempt(&mut self, now: Instant, req: RequestId, mut attempt: Attempt) {
        let Some(agent) = self.membership.agent(&attempt.host) else {
            return;
        };
        let request = self
            .requests
            .get_mut(&req)
            .expect("the request of an attempt exists");
        if request.attempts.sent == 0 {
            self.retry_window.record_request(now);
        }
        request.attempts.sent += 1;
        attempt.sent_at = now;
        let quarantine_status = self.quarantine.status(&request.meta.fingerprint);
        self.actions.push(EntryAction::Dispatch(Dispatch {
            req,
            attempt: attempt.id.clone(),
            host: attempt.host.clone(),
            traffic: agent.traffic,
            endpoint: attempt.endpoint.clone(),
            agent_instance: attempt.agent_instance,
            version: attempt.version.clone(),
            generation: self.config.generation(),
            resume_from: request
                .resume_point
                .as_ref()
                .map_or(0, |point| point.delivered_tokens),
            stall_timeout: request.stall_timeout,
            start_budget: (request.arrived_at + request.start_budget)
                .saturating_duration_since(now),
            suspect: quarantine_status == QuarantineStatus::Suspect
                || !request.failed_instances.is_empty(),
        }));
        request.phase = Phase::Running(attempt);
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        self.last_attempt_number += 1;
        let (entry, instance, number) =
            (&self.cfg.entry, self.cfg.instance, self.last_attempt_number);
        format!("{entry}-{instance:x}-{number}").into()
    }
}

/// Returns the class and customer of a request, or the code to refuse it with when the
/// configuration does not allow the request.
fn validate<'a>(
    targets: &'a Targets,
    meta: &RequestMeta,
) -> Result<(&'a Class, &'a Customer), Code> {
    let class = targets.class(&meta.class).ok_or(Code::UnknownClass)?;
    let customer = targets
        .customer(&meta.customer)
        .ok_or(Code::UnknownCustomer)?;
    if class.target != meta.target {
        return Err(Code::UnknownTarget);
    }
    if class.keyed && meta.key.is_none() {
        return Err(Code::KeyMissing);
    }
    Ok((class, customer))
}

/// Endpoints of a target that may get new requests, whether or not a slot is free.
fn available_endpoints<'a>(
    endpoints: &'a BTreeMap<EndpointId, Endpoint>,
    placement: &PlacementState,
    membership: &Membership,
    now: Instant,
    target: &str,
) -> Vec<Candidate<'a>> {
    endpoints
        .values()
        .filter(|endpoint| &*endpoint.target == target && endpoint.is_serving())
        .filter(|endpoint| !placement.is_switching(endpoint))
        .map(|endpoint| Candidate {
            endpoint,
            open_share: membership.share(now, &endpoint.host),
        })
        .filter(|candidate| candidate.open_share > 0.0)
        .collect()
}
