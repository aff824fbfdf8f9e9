//! Engines' passes, failures and version switches, and the load reports of their agents.

use std::time::Duration;

use limpetloom::dispatch::AttemptOutcome;

use super::super::callers::RequestOutcome;
use super::super::engine::Job;
use super::super::fleet::{self, ZONES};
use super::{CALLER_LATENCY, ENGINE_LATENCY, Event, Simulation, Time};

/// Time that an engine takes to load a version.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time over which the orders to switch to the new version are spread, evenly over the engines.
const ROLLOUT_DURATION: Duration = Duration::from_millis(3_400);

/// Time for which an engine is cold after it returns from a zone loss.
const COLD_PERIOD: Duration = Duration::from_millis(3_000);

impl Simulation {
    /// Queues an attempt at its engine, unless the attempt is over or the engine does not respond.
    pub(super) fn deliver(&mut self, id: usize, attempt: u32) {
        let caller = &self.callers[id];
        let Some(engine) = caller.engine.filter(|_| caller.attempt == attempt) else {
            return;
        };
        if self.now < self.cold_arrivals[engine].0 {
            self.cold_arrivals[engine].1.push(self.now);
        }
        if self.engines[engine].is_unresponsive {
            return;
        }
        let (running, waiting) = self.engines[engine].load();
        let sent = self.now.saturating_sub(ENGINE_LATENCY);
        self.callers[id].last_send = Some((sent, running + waiting));
        let caller = &self.callers[id];
        let job = Job {
            caller: id,
            attempt,
            prefill_left: caller.prompt,
            events_left: caller.events - caller.events_received,
        };
        match self.engines[engine].enqueue(job) {
            true => self.start_pass(engine),
            false => self.attempt_ended(id, AttemptOutcome::NotRun { is_full: true }),
        }
    }

    /// Starts a pass unless one is in progress.
    pub(super) fn start_pass(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        if !engine_state.is_busy
            && let Some(duration) = engine_state.start_pass()
        {
            let incarnation = engine_state.incarnation;
            self.schedule(duration, Event::PassEnd(engine, incarnation));
        }
    }

    pub(super) fn end_pass(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation || self.engines[engine].is_unresponsive {
            return;
        }
        for event in self.engines[engine].end_pass() {
            self.receive_event(event.caller, event.attempt, event.is_last);
        }
        self.engines[engine].is_busy = false;
        self.start_pass(engine);
        self.try_load_version(engine);
    }

    /// Starts to load the new version once the requests that were running at the switch order have
    /// ended.
    pub(super) fn try_load_version(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        if engine_state.is_switching && !engine_state.is_busy && engine_state.load().0 == 0 {
            self.schedule(LOAD_TIME, Event::VersionLoaded(engine));
        }
    }

    /// Records an event of an answer, at the caller and at the entry that forwards it.
    pub(super) fn receive_event(&mut self, id: usize, attempt: u32, is_last: bool) {
        let (now, at) = (self.now, self.instant());
        let caller = &mut self.callers[id];
        if caller.attempt != attempt || caller.outcome.is_some() {
            return;
        }
        let Some((entry, ticket)) = caller.ticket else {
            return;
        };
        caller.events_received += 1;
        let arrival = now + ENGINE_LATENCY + CALLER_LATENCY;
        match caller.first_event {
            None => caller.first_event = Some(arrival),
            Some(_) => {
                caller.max_gap = caller
                    .max_gap
                    .max(arrival.saturating_sub(caller.last_event))
            }
        }
        caller.last_event = arrival;
        self.entries[entry].attempt_started(at, ticket, Some(1));
        if is_last {
            self.callers[id].outcome = Some(RequestOutcome::Answered);
            self.tickets.remove(&(entry, ticket));
            self.entries[entry].attempt_ended(at, ticket, AttemptOutcome::Answered);
            self.dispatch(entry);
        }
    }

    /// Stops the engines of the first zone, which are every `ZONES`th. Entries see at once that the
    /// attempts of requests with events have broken; the others end by their silence timeout.
    pub(super) fn lose_zone(&mut self) {
        for engine in (0..self.workload.engines).step_by(ZONES) {
            self.engines[engine].is_unresponsive = true;
            for job in self.engines[engine].drop_jobs() {
                if self.callers[job.caller].events_received > 0 {
                    self.attempt_ended(job.caller, AttemptOutcome::Broken);
                }
            }
        }
    }

    /// Restarts the engines of the first zone, without the requests that they had.
    pub(super) fn restore_zone(&mut self) {
        let now = self.instant();
        for engine in (0..self.workload.engines).step_by(ZONES) {
            let engine_state = &mut self.engines[engine];
            engine_state.is_unresponsive = false;
            engine_state.incarnation += 1;
            if self.workload.returns_cold {
                self.cold_arrivals[engine].0 = self.now + COLD_PERIOD;
                let endpoint = fleet::listed_endpoint(engine, engine_state, COLD_PERIOD);
                for dispatcher in &mut self.entries {
                    dispatcher.update_endpoint(now, endpoint.clone());
                }
            }
        }
    }

    /// Reports an engine's load to all entries. From the start of the rollout until the engine is
    /// ordered to switch, the report contains the time left until then.
    pub(super) fn report_load(&mut self, engine: usize) {
        self.schedule(self.workload.report_interval, Event::LoadReport(engine));
        if self.engines[engine].is_unresponsive {
            return;
        }
        let has_order = self.engines[engine].version > 1 || self.engines[engine].is_switching;
        let switch_time = self.switch_time(engine).filter(|_| !has_order);
        let rollout_start = self.workload.rollout_start.filter(|at| *at <= self.now);
        let switch_in = switch_time.filter(|_| rollout_start.is_some());
        let switch_in = switch_in.map(|at| at.saturating_sub(self.now));
        let load = fleet::endpoint_load(&self.engines[engine], switch_in);
        let now = self.instant();
        for entry in 0..self.workload.entries {
            self.entries[entry].update_load(now, fleet::engine_addr(engine).ip(), load.clone());
            self.dispatch(entry);
        }
    }

    /// Time at which an engine is ordered to switch its version.
    pub(super) fn switch_time(&self, engine: usize) -> Option<Time> {
        let fraction = engine as f64 / self.workload.engines as f64;
        self.workload
            .rollout_start
            .map(|at| at + ROLLOUT_DURATION.mul_f64(fraction))
    }
}
