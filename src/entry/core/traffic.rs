//! Traffic side of the entry: from a request's arrival to the start of its answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::admission::{Offer, Ticket};
use crate::codes::Code;
use crate::config::{Class, Customer, Targets};
use crate::delivery::{Attempts, QuarantineStatus};
use crate::membership::Membership;
use crate::routing::{Candidate, Criteria, Endpoint};
use crate::types::{AttemptId, EndpointId, Refusal, RequestId, RequestMeta};

use super::placing::Placing;
use super::requests::{Attempt, Phase, Request};
use super::{Dispatch, EntryAction, EntryCore};

/// Advice to callers for whom no endpoint is open.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of a request's time that its wait for a place may take.
const START_SHARE: f64 = 0.75;
/// Share of an endpoint's places that is open to customers over their share.
const OVER_SHARE: f64 = 0.85;

impl EntryCore {
    pub(super) fn arrived(&mut self, now: Instant, req: RequestId, meta: RequestMeta) {
        let class = meta.class.clone();
        if let Err(refusal) = self.admit(now, req, meta) {
            self.refuse(req, &class, refusal);
        }
    }

    fn admit(&mut self, now: Instant, req: RequestId, meta: RequestMeta) -> Result<(), Refusal> {
        if self.is_closed(now) {
            return Err(Refusal::new(Code::Stopping));
        }
        let config = self.config.in_force(now).map_err(Refusal::new)?;
        let (class, customer) = validate(&config.targets, &meta).map_err(Refusal::new)?;
        if self.quarantine.status(&meta.fingerprint) == QuarantineStatus::Quarantined {
            return Err(Refusal::new(Code::Quarantined));
        }
        let first_token = class.first_token;
        let silence = (!class.deferrable).then_some(self.cfg.stall_timeout);
        let time = meta.patience.unwrap_or(first_token);
        let offer = Offer {
            req,
            class: class.id.clone(),
            target: class.target.clone(),
            priority: class.priority,
            customer: customer.id.clone(),
            weight: customer.weight,
            cost: f64::from(meta.tokens.max(1)),
            latest_start: now + time.mul_f64(START_SHARE),
        };
        self.check_open(now, &offer.target)?;
        if let Some(evicted) = self.admission.offer(now, &offer)? {
            self.give_up(now, evicted, Code::OverShare);
        }
        let request = Request {
            meta,
            weight: offer.weight,
            arrived_at: now,
            first_token,
            patience: time,
            silence,
            ticket: Ticket {
                req,
                cost: offer.cost,
                latest_start: offer.latest_start,
            },
            phase: Phase::Waiting,
            attempts: Attempts::default(),
            avoid: None,
            caller_gone: false,
            broke_at: Vec::new(),
            resume: None,
        };
        self.requests.insert(req, request);
        Ok(())
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.stopped
            .is_some_and(|at| now >= at + self.cfg.stop_grace)
    }

    /// Refuses at once when no endpoint of the target is open, instead of letting the request wait.
    fn check_open(&self, now: Instant, target: &str) -> Result<(), Refusal> {
        if !choices(
            &self.endpoints,
            &self.placing,
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
        Err(Refusal::new(code).after(RETRY_AFTER))
    }

    pub(super) fn refuse(&mut self, req: RequestId, class: &str, refusal: Refusal) {
        if let Some(stats) = self.stats.get_mut(class) {
            stats.refused += 1;
        }
        self.actions.push(EntryAction::Refuse { req, refusal });
    }

    pub(super) fn caller_gone(&mut self, now: Instant, req: RequestId) {
        let keyed = |request: &Request| request.meta.key.is_some();
        if self.requests.get(&req).is_some_and(keyed) {
            return self.keyed_caller_gone(now, req);
        }
        self.admission.remove(req);
        self.end(req);
    }

    pub(super) fn load_seen(&mut self, endpoint: &str, in_flight: u32, limit: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.update_load(in_flight, limit);
        }
    }

    pub(super) fn attempt_started(&mut self, now: Instant, req: RequestId, attempt: &str) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let Phase::Running(running) = &mut request.phase else {
            return;
        };
        if &*running.id != attempt || running.started {
            return;
        }
        running.started = true;
        if request.resume.is_none()
            && let Some(stats) = self.stats.get_mut(&request.meta.class)
        {
            stats.first_token(now.saturating_duration_since(request.arrived_at));
        }
        let wait = now.saturating_duration_since(running.sent_at);
        if let Some(endpoint) = self.endpoints.get_mut(&running.endpoint) {
            endpoint.started(now, wait);
        }
    }

    /// Starts waiting requests while there are places, and refuses those that are too late.
    pub(super) fn pump(&mut self, now: Instant) {
        for req in self.admission.take_expired(now) {
            self.give_up(now, req, Code::DeadlineUnreachable);
        }
        if let Err(code) = self.config.in_force(now) {
            return self.refuse_waiting(now, code);
        }
        for target in self.admission.targets() {
            while self.start_next(now, &target) {}
        }
    }

    fn refuse_waiting(&mut self, now: Instant, code: Code) {
        for req in self.admission.take_all() {
            self.give_up(now, req, code);
        }
    }

    /// Starts the next request of a target; false when none waits or no place is free.
    ///
    /// Customers over their share leave a part of the places, so a request of another customer
    /// does not wait until one of theirs has ended.
    fn start_next(&mut self, now: Instant, target: &str) -> bool {
        let Some(class) = self.admission.classes(target).into_iter().next() else {
            return false;
        };
        for (customer, ticket) in self.admission.heads(&class) {
            let is_over = self.shares.is_over_share(target, &customer);
            if let Some(endpoint) = self.choose_endpoint(now, ticket.req, is_over) {
                self.admission.take(&class, &customer, ticket.req);
                self.admission.started(now, &class);
                self.start(now, ticket.req, &endpoint);
                return true;
            }
            if !is_over {
                return false;
            }
        }
        false
    }

    fn start(&mut self, now: Instant, req: RequestId, endpoint: &str) {
        let attempt = self.plan_attempt(now, req, endpoint);
        match self.requests[&req].meta.key {
            Some(_) => self.claim(now, req, attempt),
            None => self.send(now, req, attempt),
        }
    }

    fn choose_endpoint(
        &mut self,
        now: Instant,
        req: RequestId,
        is_over: bool,
    ) -> Option<EndpointId> {
        let request = &self.requests[&req];
        let mut choices = choices(
            &self.endpoints,
            &self.placing,
            &self.membership,
            now,
            &request.meta.target,
        );
        if choices.len() > 1 {
            choices.retain(|choice| Some(&choice.endpoint.id) != request.avoid.as_ref());
        }
        if is_over {
            choices
                .iter_mut()
                .for_each(|choice| choice.open_share *= OVER_SHARE);
        }
        let want = Criteria {
            prefix: request.meta.prefix.as_deref(),
            expected_wait: self.admission.backlog_wait(now, &request.meta.target),
        };
        self.chooser.choose(now, &choices, want, &mut self.rng)
    }

    /// Endpoint at which a broken answer can go on.
    pub(super) fn choose_same_version(&self, now: Instant, req: RequestId) -> Option<EndpointId> {
        let request = &self.requests[&req];
        let version = &request.resume.as_ref()?.version;
        choices(
            &self.endpoints,
            &self.placing,
            &self.membership,
            now,
            &request.meta.target,
        )
        .into_iter()
        .filter(|choice| choice.endpoint.version.as_ref() == Some(version))
        .filter(|choice| Some(&choice.endpoint.id) != request.avoid.as_ref())
        .min_by(|a, b| a.endpoint.load().total_cmp(&b.endpoint.load()))
        .map(|choice| choice.endpoint.id.clone())
    }

    /// Takes a place at an endpoint for an attempt.
    pub(super) fn plan_attempt(&mut self, now: Instant, req: RequestId, endpoint: &str) -> Attempt {
        let Request { meta, weight, .. } = &self.requests[&req];
        self.shares.take(&meta.target, &meta.customer, *weight);
        let (target, customer) = (meta.target.clone(), meta.customer.clone());
        let id = self.next_attempt();
        let endpoint = self.endpoints.get_mut(endpoint).expect("it was chosen");
        endpoint.sent();
        let agent = self
            .membership
            .agent(&endpoint.host)
            .expect("it was chosen");
        Attempt {
            id,
            endpoint: endpoint.id.clone(),
            host: endpoint.host.clone(),
            agent_instance: agent.instance.expect("an agent with a share has answered"),
            version: endpoint.version.clone(),
            target,
            customer,
            sent_at: now,
            started: false,
        }
    }

    /// Sends an attempt.
    pub(super) fn send(&mut self, now: Instant, req: RequestId, mut attempt: Attempt) {
        let Some(agent) = self.membership.agent(&attempt.host) else {
            return;
        };
        let request = self.requests.get_mut(&req).expect("it has an attempt");
        if request.attempts.sent == 0 {
            self.retries.record_request(now);
        }
        request.attempts.sent += 1;
        attempt.sent_at = now;
        let standing = self.quarantine.status(&request.meta.fingerprint);
        self.actions.push(EntryAction::Dispatch(Dispatch {
            req,
            attempt: attempt.id.clone(),
            host: attempt.host.clone(),
            traffic: agent.traffic,
            endpoint: attempt.endpoint.clone(),
            agent_instance: attempt.agent_instance,
            version: attempt.version.clone(),
            generation: self.config.generation(),
            resume_from: request.resume.as_ref().map_or(0, |resume| resume.from),
            stall_timeout: request.silence,
            start_budget: (request.arrived_at + request.patience).saturating_duration_since(now),
            suspect: standing == QuarantineStatus::Suspect || !request.broke_at.is_empty(),
        }));
        request.phase = Phase::Running(attempt);
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        let (entry, instance, number) = (&self.cfg.entry, self.cfg.instance, self.attempts);
        format!("{entry}-{instance:x}-{number}").into()
    }
}

/// Class and customer of a valid request.
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

/// Endpoints of a target that may get new work, whether or not a place is free.
fn choices<'a>(
    endpoints: &'a BTreeMap<EndpointId, Endpoint>,
    placing: &Placing,
    membership: &Membership,
    now: Instant,
    target: &str,
) -> Vec<Candidate<'a>> {
    endpoints
        .values()
        .filter(|endpoint| &*endpoint.target == target && endpoint.is_serving())
        .filter(|endpoint| !placing.is_switching(endpoint))
        .map(|endpoint| Candidate {
            endpoint,
            open_share: membership.share(now, &endpoint.host),
        })
        .filter(|choice| choice.open_share > 0.0)
        .collect()
}
