//! Callers' requests, retries and departures, and how entries dispatch them.

use std::time::Duration;

use limpetloom::dispatch::{AttemptOutcome, CallerRequest, Decision, NextStep};
use limpetloom::types::Refusal;
use rand::Rng;
use rand_distr::{Distribution, Exp};

use super::super::callers::{CALLER_TIMEOUT, Caller, RequestOutcome};
use super::super::fleet::{self, ZONES};
use super::{CALLER_LATENCY, ENGINE_LATENCY, Event, Simulation};

/// Time without a first event after which an entry cancels an attempt, as a multiple of the
/// request class's `start_goal`.
const SILENCE_TIMEOUT_GOALS: f64 = 4.5;

/// Maximum number of retries of an abusive caller.
const ABUSIVE_RETRIES: u32 = 4;

/// Delay of an abusive caller before it retries.
const ABUSIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Shortest delay to the next wakeup of an entry, the resolution of a real timer.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);

impl Simulation {
    /// Adds a caller and schedules the next arrival. Arrivals are a Poisson process whose rate is
    /// the workload's `load_factor` times the capacity of all engines, multiplied during a burst by
    /// the burst's factor.
    pub(super) fn arrive(&mut self) {
        if self.now > self.workload.duration {
            return;
        }
        let zone = self.rng.random_range(0..ZONES);
        let mut caller = Caller::random(&mut self.rng, zone, self.now);
        if self.rng.random_bool(self.workload.abusive_share) {
            caller.is_abusive = true;
            caller.retries_left = ABUSIVE_RETRIES;
        }
        if self.rng.random_bool(self.workload.departing_share) {
            caller.departs_after = Some(caller.class.start_goal / 2);
        }
        let departs_after = caller.departs_after;
        self.callers.push(caller);
        let id = self.callers.len() - 1;
        self.schedule(CALLER_LATENCY, Event::Request(id));
        if let Some(delay) = departs_after {
            self.schedule(delay, Event::Departure(id));
        }
        let factor = match self.workload.burst {
            Some((from, to, factor)) if (from..to).contains(&self.now) => factor,
            _ => 1.0,
        };
        let rate = fleet::engine_capacity()
            * self.workload.engines as f64
            * self.workload.load_factor
            * factor;
        let interval = Exp::new(rate).map_or(1.0, |intervals| intervals.sample(&mut self.rng));
        self.schedule(Duration::from_secs_f64(interval), Event::Arrival);
    }

    pub(super) fn send_request(&mut self, id: usize) {
        let caller = &self.callers[id];
        if caller.outcome.is_some() {
            return;
        }
        let remaining = (caller.arrived_at + CALLER_TIMEOUT).saturating_sub(self.now);
        if remaining.is_zero() {
            self.callers[id].outcome = Some(RequestOutcome::Lost);
            return;
        }
        // Entry `n` is in zone `n % ZONES`; the caller picks one of its own zone.
        let entries_per_zone = self.workload.entries.div_ceil(ZONES);
        let entry = caller.zone + ZONES * self.rng.random_range(0..entries_per_zone);
        let entry = entry % self.workload.entries;
        let req = CallerRequest {
            request_id: "caller".into(),
            host: "site".into(),
            path: format!("/{}/x", caller.class.name).into(),
            key: None,
            timeout: Some(remaining.mul_f64(caller.timeout_factor)),
            model: None,
            prompt_tokens: caller.prompt as u32,
            answer_tokens: None,
            prompt_parts: [].into(),
            fingerprint: id as u64,
        };
        let now = self.instant();
        match self.entries[entry].admit(now, &req) {
            Ok(ticket) => {
                self.callers[id].ticket = Some((entry, ticket));
                self.tickets.insert((entry, ticket), id);
                self.dispatch(entry);
            }
            Err(refusal) => self.handle_refusal(id, &refusal),
        }
    }

    pub(super) fn dispatch(&mut self, entry: usize) {
        let now = self.instant();
        for (ticket, decision) in self.entries[entry].dispatch_waiting(now) {
            let Some(id) = self.tickets.get(&(entry, ticket)).copied() else {
                continue;
            };
            match decision {
                Decision::Send(lease) => {
                    // The endpoint id is `e` and the engine's index.
                    let engine = lease.endpoint[1..].parse().unwrap_or_default();
                    let caller = &mut self.callers[id];
                    caller.engine = Some(engine);
                    caller.attempt += 1;
                    let attempt = caller.attempt;
                    let silence_timeout = caller.class.start_goal.mul_f64(SILENCE_TIMEOUT_GOALS);
                    self.schedule(
                        ENGINE_LATENCY,
                        Event::Delivery {
                            caller: id,
                            attempt,
                        },
                    );
                    self.schedule(
                        silence_timeout,
                        Event::SilenceTimeout {
                            caller: id,
                            attempt,
                        },
                    );
                }
                // No attempt counts as silent here.
                Decision::KeepSilent(..) => {}
                Decision::Refuse(refusal, _) => {
                    self.tickets.remove(&(entry, ticket));
                    self.handle_refusal(id, &refusal);
                }
            }
        }
        self.schedule_wakeup(entry);
    }

    pub(super) fn schedule_wakeup(&mut self, entry: usize) {
        let Some(wake) = self.entries[entry].next_wakeup() else {
            return;
        };
        let delay = wake
            .saturating_duration_since(self.instant())
            .max(MIN_WAKEUP_DELAY);
        let at = self.now + delay;
        if self.wakeups[entry].is_none_or(|scheduled| at < scheduled) {
            self.wakeups[entry] = Some(at);
            self.schedule(delay, Event::Wakeup(entry));
        }
    }

    pub(super) fn attempt_ended(&mut self, id: usize, outcome: AttemptOutcome) {
        let Some((entry, ticket)) = self.callers[id].ticket else {
            return;
        };
        self.callers[id].engine = None;
        let now = self.instant();
        match self.entries[entry].attempt_ended(now, ticket, outcome) {
            NextStep::Wait | NextStep::KeepSilent => {}
            NextStep::Finish => {
                self.tickets.remove(&(entry, ticket));
                self.callers[id].outcome = Some(RequestOutcome::Lost);
            }
            NextStep::Refuse(refusal) => {
                self.tickets.remove(&(entry, ticket));
                self.handle_refusal(id, &refusal);
            }
        }
        self.dispatch(entry);
    }

    /// Schedules the caller's retry, if the refusal advises one and the caller has retries left. A
    /// request is lost if no retry is advised or if its caller has received events.
    pub(super) fn handle_refusal(&mut self, id: usize, refusal: &Refusal) {
        let caller = &mut self.callers[id];
        caller.ticket = None;
        caller.engine = None;
        caller.refusals += 1;
        let Some(retry_after) = refusal.retry_after.filter(|_| caller.events_received == 0) else {
            caller.outcome = Some(RequestOutcome::Lost);
            return;
        };
        if caller.retries_left == 0 {
            caller.outcome = Some(RequestOutcome::Refused);
            return;
        }
        caller.retries_left -= 1;
        let delay = if caller.is_abusive {
            ABUSIVE_RETRY_DELAY
        } else {
            retry_after
        };
        // The refusal travels to the caller, and the retry back to an entry.
        self.schedule(delay + CALLER_LATENCY * 2, Event::Request(id));
    }

    pub(super) fn check_silence(&mut self, id: usize, attempt: u32) {
        let caller = &self.callers[id];
        let is_silent =
            caller.attempt == attempt && caller.events_received == 0 && caller.outcome.is_none();
        if let Some(engine) = caller.engine.filter(|_| is_silent) {
            self.silent_attempts += 1;
            self.engines[engine].cancel(id, attempt);
            self.attempt_ended(id, AttemptOutcome::Silent);
        }
    }

    pub(super) fn depart(&mut self, id: usize) {
        let now = self.instant();
        let caller = &mut self.callers[id];
        if caller.outcome.is_some() || caller.first_event.is_some() {
            return;
        }
        caller.outcome = Some(RequestOutcome::Departed);
        let (attempt, engine) = (caller.attempt, caller.engine.take());
        if let Some(engine) = engine {
            self.engines[engine].cancel(id, attempt);
        }
        if let Some((entry, ticket)) = caller.ticket.take() {
            self.tickets.remove(&(entry, ticket));
            self.entries[entry].finish(now, ticket);
            self.dispatch(entry);
        }
    }
}
