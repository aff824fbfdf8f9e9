//! Selection of an endpoint for a waiting request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::codes::Code;
use crate::dispatch::configuration::Configuration;
use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::estimate::EngineModel;
use crate::dispatch::fleet::{EndpointQuery, NoneAccepts};
use crate::dispatch::patterns::{
    MIN_HOME_ENGINES, Rank, START_SHARE, WaitingRequest, leaves_room, retry_after_change,
    retry_after_rest, sample, should_send,
};
use crate::dispatch::request::{Assignment, RequestState, RunningAttempt, TicketId};
use crate::types::{EndpointId, Refusal};

use super::{Decision, DecisionInputs, Dispatcher, prompt_parts};

/// Cost of an endpoint in another region, as time; traffic between regions is expensive.
const REGION_COST: Duration = Duration::from_millis(12);
/// Cost of an endpoint in another zone of the region, as time.
const ZONE_COST: Duration = Duration::from_millis(4);

/// An endpoint that a request may be sent to.
struct Choice<'a> {
    /// Predicted time to the start of the answer.
    predicted: Duration,
    /// The same if the other entries send there too.
    predicted_shared: Duration,
    cost: Duration,
    endpoint: &'a Endpoint,
}

/// Performance model of the engines that a request is sent to; `None` for a plain service.
pub(super) fn engine_model<'a>(
    configuration: &'a Configuration,
    request: &'a RequestState,
) -> Option<&'a EngineModel> {
    let target = configuration.targets.get(&request.target);
    // Without an engine model, versions would not be checked.
    let admitted = request.admitted_target.engine.as_ref();
    target
        .and_then(|target| target.engine.as_ref())
        .or(admitted)
}

impl Dispatcher {
    /// Assigns an endpoint to a waiting request, or refuses it when it has waited too long. Returns
    /// `None` when it keeps waiting.
    pub(super) fn try_assign(&mut self, now: Instant, ticket: TicketId) -> Option<Decision> {
        let request = self.requests.get(&ticket)?;
        let configuration = self.configuration.as_ref()?;
        if let Some(blamed) = self.suspects.blamed_among(&request.suspects).cloned() {
            let inputs = DecisionInputs {
                configuration: configuration.version,
                ..DecisionInputs::default()
            };
            let decision = self.reject(now, ticket, Code::Quarantined, inputs);
            return Some(match decision {
                Decision::Refuse(refusal, inputs) => {
                    Decision::Refuse(refusal.with_prompt_parts(prompt_parts(&blamed)), inputs)
                }
                decision => decision,
            });
        }
        let target = configuration.targets.get(&request.target);
        let target = target.unwrap_or(&request.admitted_target);
        let engine = engine_model(configuration, request);
        let query = self.endpoint_query(configuration, request);
        let predict = |e: &Endpoint| e.predict(now, engine, request.prompt_tokens, self.entries);
        let sharing = self.fleet.sharing(now, &request.target, self.entries);
        let mut eligible: Vec<&Endpoint> = self
            .fleet
            .eligible(now, query, self.cfg.version_grace)
            .filter(|e| self.starts_in_time(now, e, engine, request, sharing))
            .collect();
        // Without a recent report of any engine, this entry is cut off from the agents.
        let has_reports = engine.is_some() && eligible.iter().any(|e| e.load_age(now).is_some());
        if self.cfg.mitigations.zone_loss && has_reports {
            eligible.retain(|e| !e.is_silent(now));
        }
        let mut inputs = DecisionInputs {
            configuration: configuration.version,
            eligible: eligible.len(),
            ..DecisionInputs::default()
        };
        let has_fitting = !eligible.is_empty();
        let latest = request.queue_deadline.min(request.deadline);
        let left = latest.saturating_duration_since(now);
        let is_continued = request.version.is_some() || request.silent.is_some();
        if !has_fitting
            && engine.is_some()
            && !is_continued
            && self
                .fleet
                .lacks_version(now, query, self.cfg.version_grace, left)
        {
            return Some(self.reject_unversioned(now, ticket, inputs));
        }
        if !has_fitting
            && let Some(NoneAccepts { first_end }) =
                self.fleet.none_accepts(now, query, self.cfg.version_grace)
            && first_end.is_none_or(|end| end > latest)
        {
            return Some(self.reject_unaccepted(now, ticket, first_end, inputs));
        }
        let admitting: Vec<&Endpoint> = eligible
            .into_iter()
            .filter(|e| e.limit.admits(now, self.entries))
            .collect();
        if has_fitting && admitting.is_empty() {
            return Some(self.reject(now, ticket, Code::LimitReached, inputs));
        }
        let Some(admitting) = self.ending_before_stop(now, request, engine, admitting) else {
            inputs.start_budget = self.stop_at.map(|at| at.saturating_duration_since(now));
            return Some(self.reject(now, ticket, Code::Stopping, inputs));
        };
        let goal = request.route.start_goal;
        let waiting = WaitingRequest {
            goal,
            deadline: request.deadline,
            is_continued,
            is_retry: request.is_returning || !request.tried.is_empty(),
        };
        let rank_cap = self
            .rank_traffic
            .get(&request.target)
            .and_then(|traffic| traffic.start_cap(now, request.route.priority, START_SHARE))
            .filter(|_| request.rank.is_some() && !waiting.is_continued);
        let start_budget = waiting.start_budget(now);
        let starts_soon = |choice: &Choice| {
            let load = match engine {
                Some(_) => choice.endpoint.load_shared(now, sharing),
                None => choice.endpoint.load(now, self.entries),
            };
            let leaves_room = match (engine, rank_cap) {
                (Some(engine), Some(cap)) => {
                    leaves_room(engine, choice.predicted_shared, load, cap)
                }
                _ => true,
            };
            let budget = match leaves_room {
                true => start_budget,
                false => Duration::ZERO,
            };
            should_send(choice.predicted_shared, budget, load)
        };
        let (preferred, others): (Vec<&Endpoint>, Vec<&Endpoint>) = admitting
            .into_iter()
            .partition(|e| self.fleet.is_preferred(&e.listed.id));
        let home = self.home_engines(engine, &preferred);
        let mut best: Option<Choice> = None;
        for (is_home, group) in [(true, home), (false, preferred), (false, others)] {
            let compared = match self.cfg.mitigations.hot_key {
                true => sample(&group, &mut self.rng),
                false => group,
            };
            let choices = compared.into_iter().map(|endpoint| {
                let predicted = predict(endpoint);
                let shared = engine.map(|engine| {
                    endpoint.predict_shared(now, engine, request.prompt_tokens, sharing)
                });
                Choice {
                    predicted,
                    predicted_shared: shared.unwrap_or(predicted),
                    cost: self.cost(endpoint, predicted, goal),
                    endpoint,
                }
            });
            let choices = best.into_iter().chain(choices);
            best = choices.min_by_key(|c| (!starts_soon(c), c.cost));
            let may_leave = match &best {
                Some(choice) if is_home => {
                    let key = (request.target.clone(), request.route.priority);
                    let demand = self.zone_demands.entry(key).or_default();
                    let share = demand.observe(now, choice.predicted_shared, start_budget);
                    self.zone_rng.random_bool(share)
                }
                _ => false,
            };
            if !may_leave && best.as_ref().is_some_and(starts_soon) {
                break;
            }
        }
        let is_expired = now >= request.queue_deadline || now >= self.bounded(request.deadline);
        let Some(choice) = best else {
            return is_expired.then(|| self.reject(now, ticket, Code::NoEndpoint, inputs));
        };
        inputs.predicted_start = Some(choice.predicted_shared);
        inputs.start_budget = Some(start_budget);
        inputs.since_first_attempt = now.saturating_duration_since(request.first_attempt_at);
        if self.cfg.mitigations.burst && !starts_soon(&choice) {
            let is_hopeless = !waiting.is_continued && self.backlog_outlasts(now, ticket, left);
            return (is_expired || is_hopeless)
                .then(|| self.reject(now, ticket, Code::DeadlineUnreachable, inputs));
        }
        let Choice {
            predicted,
            endpoint,
            ..
        } = choice;
        let id = endpoint.listed.id.clone();
        let rate = target.cold_rate;
        if !self.cold_rate_admits(now, &id, rate) {
            return is_expired.then(|| self.reject(now, ticket, Code::NoEndpoint, inputs));
        }
        Some(Decision::Send(self.assign(now, ticket, &id, predicted)?))
    }

    /// Constraints of a request on its endpoint.
    pub(super) fn endpoint_query<'a>(
        &self,
        configuration: &'a Configuration,
        request: &'a RequestState,
    ) -> EndpointQuery<'a> {
        EndpointQuery {
            target: &request.target,
            model: request.model.as_deref(),
            version: request.version,
            answer_tokens: request.answer_tokens,
            engine: engine_model(configuration, request),
            route_regions: &request.route.regions,
            customer_regions: request.customer.as_ref().map_or(&[], |c| &c.regions),
            tried: &request.tried,
        }
    }

    /// Engines of this entry's zone among those that a request may be sent to; none if they are too few to stay
    /// there.
    fn home_engines<'a>(
        &self,
        engine: Option<&EngineModel>,
        endpoints: &[&'a Endpoint],
    ) -> Vec<&'a Endpoint> {
        if engine.is_none() || !self.cfg.mitigations.zone_demand {
            return Vec::new();
        }
        let home = endpoints.iter().filter(|e| e.listed.zone == self.cfg.zone);
        let home: Vec<&Endpoint> = home.copied().collect();
        match home.len() >= MIN_HOME_ENGINES {
            true => home,
            false => Vec::new(),
        }
    }

    /// Cost of an endpoint as time: predicted start, distance, and recent failures as a share of
    /// the goal.
    fn cost(&self, endpoint: &Endpoint, predicted: Duration, goal: Duration) -> Duration {
        let distance = match endpoint {
            e if e.listed.region != self.cfg.region => REGION_COST,
            e if e.listed.zone != self.cfg.zone => ZONE_COST,
            _ => Duration::ZERO,
        };
        predicted + distance + goal.mul_f64(endpoint.health.failing())
    }

    /// True when the endpoint is not cold, or this entry's share of its cold rate allows one more
    /// request. `rate` is the declared cold rate in requests per second; 0 for no limit.
    fn cold_rate_admits(&mut self, now: Instant, id: &str, rate: f64) -> bool {
        let (factor, addend) = self.cfg.cold_rate_adjustment;
        let entries = self.entries;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return false;
        };
        let is_cold = endpoint.cold_deadline.is_some_and(|until| now < until);
        let is_cold = is_cold && self.cfg.mitigations.cold_return;
        !is_cold || rate <= 0.0 || endpoint.cold.admits(now, rate * factor + addend, entries)
    }

    /// Starts an attempt at an endpoint.
    fn assign(
        &mut self,
        now: Instant,
        ticket: TicketId,
        id: &EndpointId,
        predicted: Duration,
    ) -> Option<Assignment> {
        self.leave_backlog(now, ticket, true);
        let entries = self.entries;
        let request = self.requests.get_mut(&ticket)?;
        let endpoint = self.fleet.get_mut(id)?;
        let assignment = Assignment {
            endpoint: id.clone(),
            addr: endpoint.listed.addr,
            zone: endpoint.listed.zone.clone(),
            customer: request
                .customer
                .as_ref()
                .map(|customer| customer.id.clone()),
            attempt: request.attempts.sent + 1,
            assigned_at: now,
            predicted,
            since_first_attempt: now.saturating_duration_since(request.first_attempt_at),
            in_system: endpoint.in_system(now, entries),
            load_age: endpoint.load_age(now),
            version: endpoint.version(request.model.as_deref()),
            priority: request.rank.map(Rank::engine_priority),
        };
        let is_stream = request.route.is_stream;
        endpoint.sent(now, request.prompt_tokens, is_stream);
        endpoint.limit.sent(now, entries);
        let version = assignment.version;
        let model = endpoint.model(request.model.as_deref()).map(Arc::from);
        request.is_waiting = false;
        request.tried.push(id.clone());
        request.attempts.sent += 1;
        request.running = Some(RunningAttempt {
            endpoint: id.clone(),
            process: endpoint.process(),
            since: now,
            predicted,
            is_stream,
            started: false,
            was_silent: false,
            model,
            version,
            way: Duration::ZERO,
            start_bound: None,
            recall: None,
        });
        self.update_start_bound(now, ticket);
        Some(assignment)
    }

    /// Remembers a request that is about to be refused, so that a retry is recognised.
    pub(super) fn remember_refusal(&mut self, now: Instant, ticket: TicketId) {
        if let Some(request) = self.requests.get(&ticket) {
            self.refused_callers
                .record(now, request.fingerprint, request.first_attempt_at);
        }
    }

    /// Ends a request for which no endpoint serves a version that it may begin on, nor will soon.
    fn reject_unversioned(
        &mut self,
        now: Instant,
        ticket: TicketId,
        inputs: DecisionInputs,
    ) -> Decision {
        let decision = self.reject(now, ticket, Code::NoEndpoint, inputs);
        match decision {
            Decision::Refuse(refusal, inputs) if refusal.code == Code::NoEndpoint => {
                let wait = retry_after_change(&mut self.rng);
                Decision::Refuse(refusal.with_retry_after(wait), inputs)
            }
            decision => decision,
        }
    }

    /// Ends a request for which all endpoints rest, the first one until `first_end`, or leave.
    fn reject_unaccepted(
        &mut self,
        now: Instant,
        ticket: TicketId,
        first_end: Option<Instant>,
        inputs: DecisionInputs,
    ) -> Decision {
        let decision = self.reject(now, ticket, Code::NoneAccepts, inputs);
        match (decision, first_end) {
            (Decision::Refuse(refusal, inputs), Some(end)) if refusal.code == Code::NoneAccepts => {
                let left = end.saturating_duration_since(now);
                let wait = retry_after_rest(&mut self.rng, left);
                Decision::Refuse(refusal.with_retry_after(wait), inputs)
            }
            (decision, _) => decision,
        }
    }

    /// Ends a request that has waited too long, with a refusal. One with a silent attempt goes on with
    /// that.
    pub(super) fn reject(
        &mut self,
        now: Instant,
        ticket: TicketId,
        code: Code,
        inputs: DecisionInputs,
    ) -> Decision {
        if self.keep_silent(now, ticket) {
            return Decision::KeepSilent(code, inputs);
        }
        let attempts = self.requests.get(&ticket).map(|request| request.attempts);
        self.remember_refusal(now, ticket);
        self.finish(now, ticket);
        let code = attempts
            .unwrap_or_default()
            .final_code(code, Code::OutcomeUnknown);
        let refusal = match code {
            Code::OutcomeUnknown => Refusal::new(code),
            Code::NoEndpoint | Code::NoneAccepts | Code::Quarantined => {
                self.refuse_unavailable(code)
            }
            Code::Stopping => self.refuse_stopping(),
            _ => self.refuse_overload(code),
        };
        Decision::Refuse(refusal, inputs)
    }
}
