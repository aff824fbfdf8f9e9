//! Choice of an endpoint for a request that waits.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use crate::codes::Code;
use crate::dispatch::endpoint::Endpoint;
use crate::dispatch::fleet::Ask;
use crate::dispatch::work::{Lease, Running, TicketId};
use crate::types::{EndpointId, Refusal};

use super::{Dispatcher, Grounds, Placing};

/// Part of the goal that a prediction may take, for what it does not see.
const GOAL_USED: f64 = 0.85;
/// Predicted wait up to which a broken stream goes on elsewhere; its caller leaves after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);
/// Part of the goal that the prediction for a request that is late already may take: it must not
/// make others late, whose service counts for more.
const LATE_USED: f64 = 0.7;
/// Load below which a request is sent whatever the prediction says.
const IDLE_LOAD: f64 = 0.5;
/// Endpoints that are compared for one request; few, so that entries do not all pick the same.
const COMPARED: usize = 5;
/// Cost of leaving the region, in time; bytes between regions are dear.
const REGION_COST: Duration = Duration::from_millis(12);
/// Cost of leaving the zone, in time.
const ZONE_COST: Duration = Duration::from_millis(4);

impl Dispatcher {
    /// Places a request that waits, or refuses it when it waits in vain; `None` to wait on.
    pub(super) fn place(&mut self, now: Instant, ticket: TicketId) -> Option<Placing> {
        let work = self.works.get(&ticket)?;
        let desired = self.desired.as_ref()?;
        let target = desired.targets.get(&work.target);
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
            .fitting(now, ask, self.cfg.version_grace)
            .collect();
        let mut grounds = Grounds {
            desired: desired.version,
            fitting: fitting.len(),
            ..Grounds::default()
        };
        let compared: Vec<&&Endpoint> = fitting.choose_multiple(&mut self.rng, COMPARED).collect();
        let goal = work.route.goal;
        let best = compared
            .into_iter()
            .map(|e| {
                let predicted = e.predict(now, engine, work.prompt, self.entries);
                (predicted, self.cost(e, predicted, goal), *e)
            })
            .min_by_key(|(_, cost, _)| *cost);
        let exhausted = now >= work.hold_until || now >= work.deadline;
        let Some((predicted, _, endpoint)) = best else {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        };
        let left = work.deadline.saturating_duration_since(now);
        let on_time = work.asked + goal.mul_f64(GOAL_USED);
        let is_resumed = work.version.is_some();
        let room = match on_time.checked_duration_since(now) {
            Some(room) if !work.returned && work.tried.is_empty() => room,
            _ if is_resumed => RESUME_WAIT.min(left),
            _ => goal.mul_f64(LATE_USED).min(left),
        };
        grounds.best = Some(predicted);
        grounds.room = Some(room);
        let load = endpoint.load(now, self.entries);
        if predicted > room && load >= IDLE_LOAD {
            return exhausted
                .then(|| self.give_up(now, ticket, Code::DeadlineUnreachable, grounds));
        }
        let id = endpoint.listed.id.clone();
        let rate = target.map_or(0.0, |target| target.cold_rate);
        if !self.cold_admits(now, &id, rate) {
            return exhausted.then(|| self.give_up(now, ticket, Code::NoEndpoint, grounds));
        }
        Some(Placing::Send(self.lease(now, ticket, &id, predicted)?))
    }

    fn cost(&self, endpoint: &Endpoint, predicted: Duration, goal: Duration) -> Duration {
        let far = match endpoint {
            e if e.listed.region != self.cfg.region => REGION_COST,
            e if e.listed.zone != self.cfg.zone => ZONE_COST,
            _ => Duration::ZERO,
        };
        predicted + far + goal.mul_f64(endpoint.failing())
    }

    fn cold_admits(&mut self, now: Instant, id: &str, rate: f64) -> bool {
        let (factor, addend) = self.cfg.cold;
        let entries = self.entries;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return false;
        };
        let is_cold = endpoint.cold_until.is_some_and(|until| now < until);
        !is_cold || rate <= 0.0 || endpoint.cold.admits(now, rate * factor + addend, entries)
    }

    fn lease(
        &mut self,
        now: Instant,
        ticket: TicketId,
        id: &EndpointId,
        predicted: Duration,
    ) -> Option<Lease> {
        let entries = self.entries;
        let work = self.works.get_mut(&ticket)?;
        let endpoint = self.fleet.get_mut(id)?;
        let lease = Lease {
            endpoint: id.clone(),
            addr: endpoint.listed.addr,
            customer: work.customer.as_ref().map(|customer| customer.id.clone()),
            attempt: work.attempts.sent + 1,
            at: now,
            predicted,
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

    /// Final answer to a request that waited in vain; it has ended.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        ticket: TicketId,
        code: Code,
        grounds: Grounds,
    ) -> Placing {
        let attempts = self.works.get(&ticket).map(|work| work.attempts);
        self.finish(now, ticket);
        let code = attempts
            .unwrap_or_default()
            .answer(code, Code::OutcomeUnknown);
        let refusal = match code {
            Code::OutcomeUnknown => Refusal::new(code),
            Code::NoEndpoint => self.later(code),
            _ => self.soon(code),
        };
        Placing::Refuse(refusal, grounds)
    }
}
