//! Choice of an endpoint for a request that waits.

use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::fleet::Ask;
use crate::dispatch::patterns::{Wait, few, is_worth_sending};
use crate::dispatch::work::{Assignment, Running, TicketId};
use crate::types::{EndpointId, Refusal};

use super::{Decision, DecisionInputs, Dispatcher};

/// Cost of leaving the region, in time; bytes between regions are dear.
const REGION_COST: Duration = Duration::from_millis(12);
/// Cost of leaving the zone, in time.
const ZONE_COST: Duration = Duration::from_millis(4);

impl Dispatcher {
    /// Places a request that waits, or refuses it when it waits in vain; `None` to wait on.
    pub(super) fn place(&mut self, now: Instant, ticket: TicketId) -> Option<Decision> {
        let work = self.works.get(&ticket)?;
        let configuration = self.configuration.as_ref()?;
        let target = configuration.targets.get(&work.target);
        let engine = target.and_then(|target| target.engine.as_ref());
        let ask = Ask {
            target: &work.target,
            model: work.model.as_deref(),
            version: work.version,
            answer_tokens: work.answer,
            engine,
            route_regions: &work.route.regions,
            customer_regions: work.customer.as_ref().map_or(&[], |c| &c.regions),
            tried: &work.tried,
        };
        let fitting: Vec<&Endpoint> = self
            .fleet
            .eligible(now, ask, self.cfg.version_grace)
            .collect();
        let mut grounds = DecisionInputs {
            configuration: configuration.version,
            eligible: fitting.len(),
            ..DecisionInputs::default()
        };
        let compared = match self.cfg.mitigations.hot_key {
            true => few(&fitting, &mut self.rng),
            false => fitting,
        };
        let goal = work.route.start_goal;
        let best = compared
            .into_iter()
            .map(|e| {
                let predicted = e.predict(now, engine, work.prompt, self.entries);
                (predicted, self.cost(e, predicted, goal), e)
            })
            .min_by_key(|(_, cost, _)| *cost);
        let exhausted = now >= work.hold_until || now >= work.deadline;
        let Some((predicted, _, endpoint)) = best else {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        };
        let wait = Wait {
            goal,
            deadline: work.deadline,
            is_resumed: work.version.is_some(),
            is_again: work.returned || !work.tried.is_empty(),
        };
        let room = wait.room(now);
        grounds.earliest_start = Some(predicted);
        grounds.start_budget = Some(room);
        grounds.since_first_attempt = now.saturating_duration_since(work.asked);
        let load = endpoint.load(now, self.entries);
        if self.cfg.mitigations.burst && !is_worth_sending(predicted, room, load) {
            return exhausted
                .then(|| self.give_up(now, ticket, Code::DeadlineUnreachable, grounds));
        }
        let id = endpoint.listed.id.clone();
        let rate = target.map_or(0.0, |target| target.cold_rate);
        if !self.cold_admits(now, &id, rate) {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        }
        Some(Decision::Send(self.lease(now, ticket, &id, predicted)?))
    }

    fn cost(&self, endpoint: &Endpoint, predicted: Duration, goal: Duration) -> Duration {
        let far = match endpoint {
            e if e.listed.region != self.cfg.region => REGION_COST,
            e if e.listed.zone != self.cfg.zone => ZONE_COST,
            _ => Duration::ZERO,
        };
        predicted + far + goal.mul_f64(endpoint.health.failing())
    }

    fn cold_admits(&mut self, now: Instant, id: &str, rate: f64) -> bool {
        let (factor, addend) = self.cfg.cold_rate_adjustment;
        let entries = self.entries;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return false;
        };
        let is_cold = endpoint.cold_until.is_some_and(|until| now < until);
        let is_cold = is_cold && self.cfg.mitigations.cold_return;
        !is_cold || rate <= 0.0 || endpoint.cold.admits(now, rate * factor + addend, entries)
    }

    fn lease(
        &mut self,
        now: Instant,
        ticket: TicketId,
        id: &EndpointId,
        predicted: Duration,
    ) -> Option<Assignment> {
        let entries = self.entries;
        let work = self.works.get_mut(&ticket)?;
        let endpoint = self.fleet.get_mut(id)?;
        let lease = Assignment {
            endpoint: id.clone(),
            addr: endpoint.listed.addr,
            customer: work.customer.as_ref().map(|customer| customer.id.clone()),
            attempt: work.attempts.sent + 1,
            assigned_at: now,
            predicted,
            since_first_attempt: now.saturating_duration_since(work.asked),
            in_system: endpoint.in_system(now, entries),
            load_age: endpoint.load_age(now),
        };
        endpoint.sent(now, work.prompt);
        work.waiting = false;
        work.tried.push(id.clone());
        work.attempts.sent += 1;
        work.running = Some(Running {
            endpoint: id.clone(),
            since: now,
            predicted,
            started: false,
        });
        Some(lease)
    }

    /// Remembers a request that is about to be refused, so that its caller is known when it comes
    /// back.
    pub(super) fn note_refused(&mut self, now: Instant, ticket: TicketId) {
        if let Some(work) = self.works.get(&ticket) {
            self.returns.refused(now, work.fingerprint, work.asked);
        }
    }

    /// Final answer to a request that waited in vain; it has ended.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        ticket: TicketId,
        code: Code,
        grounds: DecisionInputs,
    ) -> Decision {
        let attempts = self.works.get(&ticket).map(|work| work.attempts);
        self.note_refused(now, ticket);
        self.finish(now, ticket);
        let code = attempts
            .unwrap_or_default()
            .final_code(code, Code::OutcomeUnknown);
        let refusal = match code {
            Code::OutcomeUnknown => Refusal::new(code),
            Code::NoEndpoint => self.later(code),
            _ => self.soon(code),
        };
        Decision::Refuse(refusal, grounds)
    }
}
