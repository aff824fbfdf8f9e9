//! Scheduling of attempts at one endpoint: admits, refuses, pauses and resumes them.

use std::time::Instant;

use crate::codes::Code;
use crate::types::AttemptId;

use super::{AttemptSpec, AttemptState, EndpointKind, Gate, GateAction, Phase, RunningAttempt};

impl Gate {
    /// Offers an attempt. The returned actions admit or refuse it; without an action for it, it
    /// waits in the queue.
    pub fn offer(&mut self, now: Instant, spec: AttemptSpec) -> Vec<GateAction> {
        if let Some(code) = self.refusal(&spec) {
            return vec![GateAction::Refuse(Box::new(spec), code)];
        }
        if self.queue.len() >= self.cfg.limit as usize {
            return vec![GateAction::Refuse(Box::new(spec), Code::EndpointFull)];
        }
        let position = self
            .queue
            .partition_point(|waiting| waiting.priority <= spec.priority);
        self.queue.insert(position, spec);
        self.schedule(now)
    }

    /// Refuses attempts whose deadline has passed, admits what the limit allows, then pauses or
    /// resumes at most one deferrable attempt.
    pub fn schedule(&mut self, now: Instant) -> Vec<GateAction> {
        let mut actions = self.refuse_expired(now);
        while let Some(attempt) = self.admit_next(now) {
            actions.push(GateAction::Admit(attempt));
        }
        let action = match self.queue.first() {
            _ if self.active_count() > self.power_limit() => self.pause_one(|_| true),
            Some(next) if !next.deferrable && !next.suspect => self.pause_for_next(now),
            _ => self.resume_one(now),
        };
        actions.extend(action);
        self.clear_elapsed_retry(now);
        actions
    }

    fn refusal(&self, spec: &AttemptSpec) -> Option<Code> {
        match &self.phase {
            Phase::Leaving(_) => return Some(Code::EndpointLeaving),
            Phase::Down(_) => return Some(Code::NoEndpoint),
            Phase::Loading(_) => return Some(Code::WrongVersion),
            Phase::Cold(_) | Phase::Ready(_) => {}
        }
        let expected = match self.cfg.kind {
            EndpointKind::Model => self.phase.version() == spec.version.as_ref(),
            EndpointKind::Service => spec.version.is_none(),
        };
        if !expected {
            return Some(Code::WrongVersion);
        }
        (self.power_limit() == 0).then_some(Code::PowerLimit)
    }

    fn refuse_expired(&mut self, now: Instant) -> Vec<GateAction> {
        let (expired, waiting) = self.queue.drain(..).partition(|spec| spec.deadline <= now);
        self.queue = waiting;
        let expired: Vec<AttemptSpec> = expired;
        expired
            .into_iter()
            .map(|spec| GateAction::Refuse(Box::new(spec), Code::DeadlineUnreachable))
            .collect()
    }

    /// Admits the head of the queue when a slot is free. A suspect runs alone, and deferrable work
    /// waits until all paused work has resumed.
    fn admit_next(&mut self, now: Instant) -> Option<AttemptId> {
        let next = self.queue.first()?;
        let runs_suspect = self.running.values().any(|run| run.spec.suspect);
        let behind_paused = next.deferrable && self.has_paused();
        let blocked = runs_suspect || behind_paused || (next.suspect && !self.running.is_empty());
        if blocked || !self.has_free_slot(now) {
            return None;
        }
        let spec = self.queue.remove(0);
        let attempt = spec.attempt.clone();
        self.running
            .insert(attempt.clone(), RunningAttempt::new(now, spec));
        Some(attempt)
    }

    /// Paused work counts too unless the endpoint is ready, so that a cold endpoint never holds
    /// more attempts than its limit.
    fn has_free_slot(&self, now: Instant) -> bool {
        let held = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let occupied = match self.phase {
            Phase::Ready(_) => self.active_count(),
            _ => held,
        };
        occupied < self.limit(now)
    }

    /// Pauses deferrable work of lower priority than the head of the queue when no slot is free.
    fn pause_for_next(&mut self, now: Instant) -> Option<GateAction> {
        let priority = self.queue.first()?.priority;
        let ready = matches!(self.phase, Phase::Ready(_));
        if !ready || self.has_free_slot(now) {
            return None;
        }
        self.pause_one(|candidate| candidate > priority)
    }

    /// Pauses the newest deferrable attempt of the lowest priority, unless a pause is already
    /// pending.
    fn pause_one(&mut self, may_pause: impl Fn(u8) -> bool) -> Option<GateAction> {
        let mut running = self.running.values();
        if running.any(|run| run.state == AttemptState::Pausing) {
            return None;
        }
        let (attempt, running) = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.state == AttemptState::Active && run.spec.deferrable)
            .filter(|(_, run)| may_pause(run.spec.priority))
            .max_by_key(|(_, run)| (run.spec.priority, run.admitted))?;
        running.state = AttemptState::Pausing;
        Some(GateAction::Pause(attempt.clone()))
    }

    /// Resumes the oldest paused attempt of the highest priority when a slot is free.
    fn resume_one(&mut self, now: Instant) -> Option<GateAction> {
        if self.active_count() >= self.concurrency_limit(now) {
            return None;
        }
        let (attempt, running) = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.state == AttemptState::Paused)
            .min_by_key(|(_, run)| (run.spec.priority, run.admitted))?;
        running.state = AttemptState::Active;
        Some(GateAction::Resume(attempt.clone()))
    }

    fn has_paused(&self) -> bool {
        let mut running = self.running.values();
        running.any(|run| run.state == AttemptState::Paused)
    }
}
