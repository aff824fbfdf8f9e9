//! Order in which work passes a gate: admits, refuses, pauses and resumes.

use std::time::Instant;

use crate::codes::Code;
use crate::types::AttemptId;

use super::{EndpointKind, Gate, GateStep, Phase, RunState, Running, Ticket};

impl Gate {
    /// Offers an attempt; the steps admit, queue (no step) or refuse it.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Vec<GateStep> {
        if let Some(code) = self.refusal(&ticket) {
            return vec![GateStep::Refuse(Box::new(ticket), code)];
        }
        if self.queue.len() >= self.cfg.limit as usize {
            return vec![GateStep::Refuse(Box::new(ticket), Code::EndpointFull)];
        }
        let place = self
            .queue
            .partition_point(|waiting| waiting.priority <= ticket.priority);
        self.queue.insert(place, ticket);
        self.pump(now)
    }

    /// Moves work on: refuses what waited too long, admits, pauses and resumes.
    pub fn pump(&mut self, now: Instant) -> Vec<GateStep> {
        let mut steps = self.expire(now);
        while let Some(attempt) = self.admit_next(now) {
            steps.push(GateStep::Admit(attempt));
        }
        let step = match self.queue.first() {
            _ if self.active() > self.power_limit() => self.pause_one(|_| true),
            Some(next) if !next.deferrable && !next.suspect => self.make_room(now),
            _ => self.resume(now),
        };
        steps.extend(step);
        self.clear_retry(now);
        steps
    }

    fn refusal(&self, ticket: &Ticket) -> Option<Code> {
        match &self.phase {
            Phase::Leaving(_) => return Some(Code::EndpointLeaving),
            Phase::Down(_) => return Some(Code::NoEndpoint),
            Phase::Loading(_) => return Some(Code::WrongVersion),
            Phase::Cold(_) | Phase::Ready(_) => {}
        }
        let expected = match self.cfg.kind {
            EndpointKind::Model => self.phase.version() == ticket.version.as_ref(),
            EndpointKind::Service => ticket.version.is_none(),
        };
        if !expected {
            return Some(Code::WrongVersion);
        }
        (self.power_limit() == 0).then_some(Code::PowerLimit)
    }

    fn expire(&mut self, now: Instant) -> Vec<GateStep> {
        let (late, waiting) = self
            .queue
            .drain(..)
            .partition(|ticket| ticket.deadline <= now);
        self.queue = waiting;
        let late: Vec<Ticket> = late;
        late.into_iter()
            .map(|ticket| GateStep::Refuse(Box::new(ticket), Code::DeadlineUnreachable))
            .collect()
    }

    fn admit_next(&mut self, now: Instant) -> Option<AttemptId> {
        let next = self.queue.first()?;
        let alone = self.running.values().any(|run| run.ticket.suspect);
        let paused = next.deferrable && self.has_paused();
        let blocked = alone || paused || (next.suspect && !self.running.is_empty());
        if blocked || !self.has_room(now) {
            return None;
        }
        let ticket = self.queue.remove(0);
        let attempt = ticket.attempt.clone();
        self.running
            .insert(attempt.clone(), Running::new(now, ticket));
        Some(attempt)
    }

    /// A cold endpoint counts paused work too, so it never holds more than its bound.
    fn has_room(&self, now: Instant) -> bool {
        let held = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let counted = match self.phase {
            Phase::Ready(_) => self.active(),
            _ => held,
        };
        counted < self.limit(now)
    }

    /// Pauses deferrable work for a waiting attempt of higher priority.
    fn make_room(&mut self, now: Instant) -> Option<GateStep> {
        let priority = self.queue.first()?.priority;
        let ready = matches!(self.phase, Phase::Ready(_));
        if !ready || self.has_room(now) {
            return None;
        }
        self.pause_one(|candidate| candidate > priority)
    }

    /// Pauses the newest deferrable work of the lowest priority, one at a time.
    fn pause_one(&mut self, may_pause: impl Fn(u8) -> bool) -> Option<GateStep> {
        let mut running = self.running.values();
        if running.any(|run| run.state == RunState::Pausing) {
            return None;
        }
        let (attempt, running) = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.state == RunState::Active && run.ticket.deferrable)
            .filter(|(_, run)| may_pause(run.ticket.priority))
            .max_by_key(|(_, run)| (run.ticket.priority, run.admitted))?;
        running.state = RunState::Pausing;
        Some(GateStep::Pause(attempt.clone()))
    }

    fn resume(&mut self, now: Instant) -> Option<GateStep> {
        if self.active() >= self.bound(now) {
            return None;
        }
        let (attempt, running) = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.state == RunState::Paused)
            .min_by_key(|(_, run)| (run.ticket.priority, run.admitted))?;
        running.state = RunState::Active;
        Some(GateStep::Resume(attempt.clone()))
    }

    fn has_paused(&self) -> bool {
        let mut running = self.running.values();
        running.any(|run| run.state == RunState::Paused)
    }
}
