//! What engines do, and what agents report of them.

use std::time::Duration;

use limpetloom::dispatch::AttemptOutcome;

use super::super::callers::End;
use super::super::engine::Job;
use super::super::fleet::{self, ZONES};
use super::{CALLER_WAY, ENGINE_WAY, Play, Time, What};

/// Time that an engine needs to load a version.
const LOADING: Duration = Duration::from_millis(300);

/// Time over which engines change their version by turns.
const TURNS: Duration = Duration::from_millis(3_400);

/// Time for which an engine that comes back is cold.
const COLD: Duration = Duration::from_millis(3_000);

impl Play {
    pub(super) fn deliver(&mut self, id: usize, attempt: u32) {
        let caller = &self.callers[id];
        let Some(engine) = caller.engine.filter(|_| caller.attempt == attempt) else {
            return;
        };
        if self.now < self.cold[engine].0 {
            self.cold[engine].1.push(self.now);
        }
        if self.engines[engine].is_dark {
            return;
        }
        let (running, waiting) = self.engines[engine].load();
        let sent = self.now.saturating_sub(ENGINE_WAY);
        self.callers[id].sent = Some((sent, running + waiting));
        let caller = &self.callers[id];
        let job = Job {
            caller: id,
            attempt,
            unread: caller.prompt,
            events: caller.events - caller.got,
        };
        match self.engines[engine].take(job) {
            true => self.run(engine),
            false => self.attempt_ended(id, AttemptOutcome::NotRun { is_full: true }),
        }
    }

    /// Starts a stride unless one is under way.
    pub(super) fn run(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if !model.is_busy
            && let Some(length) = model.start()
        {
            let life = model.incarnation;
            self.after(length, What::Stride(engine, life));
        }
    }

    pub(super) fn stride(&mut self, engine: usize, life: u64) {
        if self.engines[engine].incarnation != life || self.engines[engine].is_dark {
            return;
        }
        for event in self.engines[engine].end() {
            self.event(event.caller, event.attempt, event.is_last);
        }
        self.engines[engine].is_busy = false;
        self.run(engine);
        self.try_load(engine);
    }

    /// Loads the new version once the work that began before the order has ended.
    pub(super) fn try_load(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if model.is_changing && !model.is_busy && model.load().0 == 0 {
            self.after(LOADING, What::Loaded(engine));
        }
    }

    pub(super) fn event(&mut self, id: usize, attempt: u32, is_last: bool) {
        let (now, at) = (self.now, self.at());
        let caller = &mut self.callers[id];
        if caller.attempt != attempt || caller.end.is_some() {
            return;
        }
        let Some((entry, ticket)) = caller.at else {
            return;
        };
        caller.got += 1;
        let arrives = now + ENGINE_WAY + CALLER_WAY;
        match caller.first {
            None => caller.first = Some(arrives),
            Some(_) => caller.gap = caller.gap.max(arrives.saturating_sub(caller.newest)),
        }
        caller.newest = arrives;
        self.entries[entry].attempt_started(at, ticket, Some(1));
        if is_last {
            self.callers[id].end = Some(End::Answered);
            self.tickets.remove(&(entry, ticket));
            self.entries[entry].attempt_ended(at, ticket, AttemptOutcome::Answered);
            self.pump(entry);
        }
    }

    pub(super) fn dark(&mut self) {
        for engine in (0..self.load.engines).step_by(ZONES) {
            self.engines[engine].is_dark = true;
            for job in self.engines[engine].lose_all() {
                if self.callers[job.caller].got > 0 {
                    self.attempt_ended(job.caller, AttemptOutcome::Broken);
                }
            }
        }
    }

    pub(super) fn light(&mut self) {
        let now = self.at();
        for engine in (0..self.load.engines).step_by(ZONES) {
            let model = &mut self.engines[engine];
            model.is_dark = false;
            model.incarnation += 1;
            if self.load.returns_cold {
                self.cold[engine].0 = self.now + COLD;
                let listed = fleet::listed(engine, model, COLD);
                for core in &mut self.entries {
                    core.update_endpoint(now, listed.clone());
                }
            }
        }
    }

    pub(super) fn report(&mut self, engine: usize) {
        self.after(self.load.report, What::Report(engine));
        if self.engines[engine].is_dark {
            return;
        }
        let is_changed = self.engines[engine].version > 1 || self.engines[engine].is_changing;
        let order = self.order_at(engine).filter(|_| !is_changed);
        let push = self.load.push.filter(|at| *at <= self.now);
        let switch_in = order.filter(|_| push.is_some());
        let switch_in = switch_in.map(|at| at.saturating_sub(self.now));
        let load = fleet::report(&self.engines[engine], switch_in);
        let now = self.at();
        for entry in 0..self.load.entries {
            self.entries[entry].update_load(now, fleet::addr(engine).ip(), load.clone());
            self.pump(entry);
        }
    }

    /// Time at which an engine is told to change its version.
    pub(super) fn order_at(&self, engine: usize) -> Option<Time> {
        let turn = engine as f64 / self.load.engines as f64;
        self.load.push.map(|at| at + TURNS.mul_f64(turn))
    }
}
