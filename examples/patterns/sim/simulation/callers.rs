//! What callers do, and what entries decide about them.

use std::time::Duration;

use limpetloom::dispatch::{AttemptOutcome, CallerRequest, Decision, NextStep};
use limpetloom::types::Refusal;
use rand::Rng;
use rand_distr::{Distribution, Exp};

use super::super::callers::{Caller, End, PATIENCE};
use super::super::fleet::{self, ZONES};
use super::{CALLER_WAY, ENGINE_WAY, Play, What};

/// Silence before the first event after which an entry gives an engine up, in goals.
const SILENT_GOALS: f64 = 4.5;

/// Times that an abusive caller comes back.
const ABUSE: u32 = 4;

/// Wait of an abusive caller before it comes back.
const ABUSE_WAIT: Duration = Duration::from_millis(5);

/// Shortest time to the next look at what waits, as a timer has it.
const WAKE_MIN: Duration = Duration::from_millis(1);

impl Play {
    pub(super) fn arrive(&mut self) {
        if self.now > self.load.length {
            return;
        }
        let zone = self.rng.random_range(0..ZONES);
        let mut caller = Caller::draw(&mut self.rng, zone, self.now);
        if self.rng.random_bool(self.load.abusive) {
            caller.is_abusive = true;
            caller.returns_left = ABUSE;
        }
        if self.rng.random_bool(self.load.leaving) {
            caller.leaves_after = Some(caller.class.goal / 2);
        }
        let leaves_after = caller.leaves_after;
        self.callers.push(caller);
        let id = self.callers.len() - 1;
        self.after(CALLER_WAY, What::Ask(id));
        if let Some(wait) = leaves_after {
            self.after(wait, What::Leave(id));
        }
        let factor = match self.load.burst {
            Some((from, to, factor)) if (from..to).contains(&self.now) => factor,
            _ => 1.0,
        };
        let rate = fleet::capacity() * self.load.engines as f64 * self.load.load_factor * factor;
        let gap = Exp::new(rate).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        self.after(Duration::from_secs_f64(gap), What::Arrive);
    }

    pub(super) fn ask(&mut self, id: usize) {
        let caller = &self.callers[id];
        if caller.end.is_some() {
            return;
        }
        let left = (caller.asked + PATIENCE).saturating_sub(self.now);
        if left.is_zero() {
            self.callers[id].end = Some(End::Lost);
            return;
        }
        let per_zone = self.load.entries.div_ceil(ZONES);
        let entry = caller.zone + ZONES * self.rng.random_range(0..per_zone);
        let entry = entry % self.load.entries;
        let req = CallerRequest {
            name: "caller".into(),
            host: "site".into(),
            path: format!("/{}/x", caller.class.name).into(),
            key: None,
            timeout: Some(left.mul_f64(caller.hurry)),
            model: None,
            prompt_tokens: caller.prompt as u32,
            answer_tokens: None,
            fingerprint: id as u64,
        };
        let now = self.at();
        match self.entries[entry].admit(now, &req) {
            Ok(ticket) => {
                self.callers[id].at = Some((entry, ticket));
                self.tickets.insert((entry, ticket), id);
                self.pump(entry);
            }
            Err(refusal) => self.refused(id, &refusal),
        }
    }

    pub(super) fn pump(&mut self, entry: usize) {
        let now = self.at();
        for (ticket, placing) in self.entries[entry].dispatch_waiting(now) {
            let Some(id) = self.tickets.get(&(entry, ticket)).copied() else {
                continue;
            };
            match placing {
                Decision::Send(lease) => {
                    let engine = lease.endpoint[1..].parse().unwrap_or_default();
                    let caller = &mut self.callers[id];
                    caller.engine = Some(engine);
                    caller.attempt += 1;
                    let attempt = caller.attempt;
                    let silence = caller.class.goal.mul_f64(SILENT_GOALS);
                    self.after(
                        ENGINE_WAY,
                        What::Deliver {
                            caller: id,
                            attempt,
                        },
                    );
                    self.after(
                        silence,
                        What::Silent {
                            caller: id,
                            attempt,
                        },
                    );
                }
                Decision::Refuse(refusal, _) => {
                    self.tickets.remove(&(entry, ticket));
                    self.refused(id, &refusal);
                }
            }
        }
        self.plan_wake(entry);
    }

    pub(super) fn plan_wake(&mut self, entry: usize) {
        let Some(wake) = self.entries[entry].next_wakeup() else {
            return;
        };
        let wait = wake.saturating_duration_since(self.at()).max(WAKE_MIN);
        let at = self.now + wait;
        if self.wakes[entry].is_none_or(|planned| at < planned) {
            self.wakes[entry] = Some(at);
            self.after(wait, What::Wake(entry));
        }
    }

    pub(super) fn attempt_ended(&mut self, id: usize, end: AttemptOutcome) {
        let Some((entry, ticket)) = self.callers[id].at else {
            return;
        };
        self.callers[id].engine = None;
        let now = self.at();
        match self.entries[entry].attempt_ended(now, ticket, end) {
            NextStep::Wait => {}
            NextStep::Finish => {
                self.tickets.remove(&(entry, ticket));
                self.callers[id].end = Some(End::Lost);
            }
            NextStep::Refuse(refusal) => {
                self.tickets.remove(&(entry, ticket));
                self.refused(id, &refusal);
            }
        }
        self.pump(entry);
    }

    pub(super) fn refused(&mut self, id: usize, refusal: &Refusal) {
        let caller = &mut self.callers[id];
        caller.at = None;
        caller.engine = None;
        caller.refused += 1;
        let Some(wait) = refusal.retry_after.filter(|_| caller.got == 0) else {
            caller.end = Some(End::Lost);
            return;
        };
        if caller.returns_left == 0 {
            caller.end = Some(End::Refused);
            return;
        }
        caller.returns_left -= 1;
        let wait = if caller.is_abusive { ABUSE_WAIT } else { wait };
        self.after(wait + CALLER_WAY * 2, What::Ask(id));
    }

    pub(super) fn silent(&mut self, id: usize, attempt: u32) {
        let caller = &self.callers[id];
        let is_silent = caller.attempt == attempt && caller.got == 0 && caller.end.is_none();
        if let Some(engine) = caller.engine.filter(|_| is_silent) {
            self.wasted += 1;
            self.engines[engine].cancel(id, attempt);
            self.attempt_ended(id, AttemptOutcome::Silent);
        }
    }

    pub(super) fn leave(&mut self, id: usize) {
        let now = self.at();
        let caller = &mut self.callers[id];
        if caller.end.is_some() || caller.first.is_some() {
            return;
        }
        caller.end = Some(End::Left);
        let (attempt, engine) = (caller.attempt, caller.engine.take());
        if let Some(engine) = engine {
            self.engines[engine].cancel(id, attempt);
        }
        if let Some((entry, ticket)) = caller.at.take() {
            self.tickets.remove(&(entry, ticket));
            self.entries[entry].finish(now, ticket);
            self.pump(entry);
        }
    }
}
