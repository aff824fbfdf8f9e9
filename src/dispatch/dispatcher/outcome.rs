//! What follows the start and the end of an attempt.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::delivery::{AttemptRules, QuarantineStatus};
use crate::dispatch::configuration::Repeat;
use crate::dispatch::patterns::hold;
use crate::dispatch::work::{AttemptOutcome, Running, TicketId};
use crate::types::{InstanceId, Refusal};

use super::{Break, Dispatcher, NextStep, digest};

/// Time for which a broken stream may wait for a place to go on.
const RESUME_HOLD: Duration = Duration::from_millis(500);
/// Time within which a dead endpoint explains a broken attempt.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Broken attempts that are remembered until their endpoint is known to be dead or alive.
const BREAKS_MAX: usize = 256;

impl Dispatcher {
    /// The first event of the running attempt has come.
    pub fn attempt_started(&mut self, now: Instant, ticket: TicketId, version: Option<u64>) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        work.version = work.version.or(version);
        let Some(running) = work.running.as_mut().filter(|running| !running.started) else {
            return;
        };
        running.started = true;
        let took = now.saturating_duration_since(running.since);
        if let Some(endpoint) = self.fleet.get_mut(&running.endpoint) {
            endpoint.started(work.prompt, took, running.predicted);
        }
    }

    /// The running attempt has ended. The request has ended too unless the step says otherwise.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        ticket: TicketId,
        end: AttemptOutcome,
    ) -> NextStep {
        let Some(work) = self.works.get_mut(&ticket) else {
            return NextStep::Finish;
        };
        let Some(running) = work.running.take() else {
            return NextStep::Finish;
        };
        let (fingerprint, prompt) = (work.fingerprint, work.prompt);
        if !matches!(end, AttemptOutcome::NotRun { .. } | AttemptOutcome::NotSent) {
            work.attempts.may_have_run = true;
        }
        if matches!(end, AttemptOutcome::NotSent) {
            work.attempts.sent -= 1;
        }
        self.note_end(now, &running, prompt, fingerprint, end);
        match end {
            AttemptOutcome::Answered | AttemptOutcome::CallerGone => {
                self.finish(now, ticket);
                NextStep::Finish
            }
            AttemptOutcome::TimedOut => {
                self.finish(now, ticket);
                NextStep::Refuse(Refusal::new(Code::AnswerTimeout))
            }
            AttemptOutcome::Failed
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => self.again(now, ticket, end),
        }
    }

    fn note_end(
        &mut self,
        now: Instant,
        running: &Running,
        prompt: u32,
        fingerprint: u64,
        end: AttemptOutcome,
    ) {
        let Some(endpoint) = self.fleet.get_mut(&running.endpoint) else {
            return;
        };
        let by_caller = matches!(end, AttemptOutcome::CallerGone);
        endpoint.occupancy.left(prompt, running.started, by_caller);
        let incarnation = endpoint.listed.incarnation;
        match end {
            AttemptOutcome::Answered => {
                endpoint.health.succeeded();
                endpoint.worked(now.saturating_duration_since(running.since));
            }
            AttemptOutcome::NotRun { is_full: true } => endpoint.health.was_full(now),
            AttemptOutcome::NotRun { is_full: false }
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {}
            AttemptOutcome::NotSent => {
                endpoint.health.failed(now);
                self.crashed(now, &running.endpoint, incarnation);
            }
            AttemptOutcome::Broken => {
                endpoint.health.failed(now);
                self.breaks.push_back(Break {
                    at: now,
                    endpoint: running.endpoint.clone(),
                    incarnation,
                    fingerprint,
                });
                if self.breaks.len() > BREAKS_MAX {
                    self.breaks.pop_front();
                }
            }
            AttemptOutcome::Silent => endpoint.health.failed(now),
        }
        self.fleet.sweep();
    }

    /// Decides whether a request goes to another endpoint after a failed attempt.
    fn again(&mut self, now: Instant, ticket: TicketId, end: AttemptOutcome) -> NextStep {
        let entries = self.entries;
        let Some(work) = self.works.get_mut(&ticket) else {
            return NextStep::Finish;
        };
        let standing = self.quarantine.status(&digest(work.fingerprint));
        let rules = AttemptRules {
            max: work.route.max_attempts,
            is_repeatable: work.route.repeat != Repeat::Never,
            is_harmful: standing == QuarantineStatus::Quarantined,
            has_time_left: now < work.deadline,
        };
        let limit = self.cfg.retry;
        let budget = self.budgets.get_mut(&work.target);
        let draw = || budget.is_some_and(|budget| budget.try_take(now, limit, entries));
        if work.attempts.check_retry(rules, draw).is_ok() {
            work.waiting = true;
            work.hold_until = match work.version {
                Some(_) => now + RESUME_HOLD,
                None => now + hold(work.route.start_goal),
            };
            self.queue.insert((false, work.asked, ticket));
            return NextStep::Wait;
        }
        let code = match end {
            // The endpoint's own answer is passed on.
            AttemptOutcome::Failed => None,
            AttemptOutcome::NotRun { .. } => Some(Code::EndpointFull),
            _ => Some(Code::NoEndpoint),
        };
        let code = code.map(|code| work.attempts.final_code(code, Code::OutcomeUnknown));
        self.note_refused(now, ticket);
        self.finish(now, ticket);
        match code {
            None => NextStep::Finish,
            Some(code @ Code::OutcomeUnknown) => NextStep::Refuse(Refusal::new(code)),
            Some(code) => NextStep::Refuse(self.soon(code)),
        }
    }

    /// Forgets a request; a running attempt counts as left by the caller.
    pub fn finish(&mut self, now: Instant, ticket: TicketId) {
        let Some(work) = self.works.remove(&ticket) else {
            return;
        };
        if work.waiting {
            self.queue.remove(&(work.returned, work.asked, ticket));
            self.queue.remove(&(false, work.asked, ticket));
        }
        if let Some(running) = work.running {
            self.note_end(
                now,
                &running,
                work.prompt,
                work.fingerprint,
                AttemptOutcome::CallerGone,
            );
        }
    }

    /// An incarnation of an endpoint is dead: what broke there lately is suspected.
    pub(super) fn crashed(&mut self, now: Instant, id: &str, incarnation: InstanceId) {
        let mut kept = VecDeque::new();
        for broken in std::mem::take(&mut self.breaks) {
            if now.saturating_duration_since(broken.at) > CRASH_WINDOW {
                continue;
            }
            if &*broken.endpoint == id && broken.incarnation == incarnation {
                let fingerprint = digest(broken.fingerprint);
                let instance = instance(id, incarnation);
                self.quarantine.record_crash(now, &fingerprint, instance);
            } else {
                kept.push_back(broken);
            }
        }
        self.breaks = kept;
    }
}

/// One life of one endpoint; endpoints that start together have the same incarnation.
fn instance(id: &str, incarnation: InstanceId) -> InstanceId {
    let mut hash = blake3::Hasher::new();
    hash.update(&incarnation.to_le_bytes())
        .update(id.as_bytes());
    let mut short = [0; 8];
    short.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    InstanceId::from_le_bytes(short)
}
