//! An agent's memory of keyed attempts: a key runs at most once in the agent's life.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::codes::Code;
use crate::types::{AttemptId, ClassId, CustomerId, Key};
use crate::wire::SettleState;

use super::KEY_RETENTION;

/// Attempts that are remembered at most; more are refused, none is forgotten early.
const ATTEMPTS_MAX: usize = 50_000;

/// Bytes of stored answers; the oldest answers go first, their outcome stays.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Name of keyed work: customer, class and key.
pub type WorkKey = (CustomerId, ClassId, Key);

/// What the ledger says of an offered attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferDecision {
    /// The attempt is noted and may run.
    Run,
    /// The key was answered already.
    Replay(Arc<str>),
    /// The attempt may not run.
    Refuse(Code),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    Running,
    Done(Option<Arc<str>>),
    Unknown,
    Fenced,
}

#[derive(Debug)]
struct Record {
    outcome: Outcome,
    work: Option<WorkKey>,
}

/// Keyed attempts that one agent process has seen, for as long as the key horizon.
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: HashMap<AttemptId, Record>,
    /// Invariant: names only attempts that run, ran, or may have run.
    works: BTreeMap<WorkKey, AttemptId>,
    /// Attempts in the order of their first sight.
    order: VecDeque<(Instant, AttemptId)>,
    /// Attempts with a stored answer, oldest first.
    answers: VecDeque<AttemptId>,
    answer_bytes: usize,
}

impl Ledger {
    /// Decides on an offered attempt and notes it when it may run.
    pub fn offer(&mut self, now: Instant, attempt: &AttemptId, work: WorkKey) -> OfferDecision {
        self.forget(now);
        if let Some(record) = self.attempts.get(attempt) {
            return again(&record.outcome);
        }
        if let Some(earlier) = self.works.get(&work).and_then(|id| self.attempts.get(id)) {
            return again(&earlier.outcome);
        }
        if self.attempts.len() >= ATTEMPTS_MAX {
            return OfferDecision::Refuse(Code::EndpointFull);
        }
        self.works.insert(work.clone(), attempt.clone());
        self.note(now, attempt, Outcome::Running, Some(work));
        OfferDecision::Run
    }

    /// Fences an attempt for good: it has not run and never will.
    pub fn fence(&mut self, now: Instant, attempt: &AttemptId) {
        match self.attempts.get_mut(attempt) {
            None => self.note(now, attempt, Outcome::Fenced, None),
            Some(record) if record.outcome == Outcome::Running => {
                record.outcome = Outcome::Fenced;
                if let Some(work) = record.work.take() {
                    self.works.remove(&work);
                }
            }
            Some(_) => {}
        }
    }

    /// Notes the whole answer of a running attempt.
    pub fn record_answer(&mut self, attempt: &AttemptId, answer: Option<Arc<str>>) {
        let Some(record) = self.attempts.get_mut(attempt) else {
            return;
        };
        if record.outcome != Outcome::Running {
            return;
        }
        self.answer_bytes += answer.as_ref().map_or(0, |text| text.len());
        record.outcome = Outcome::Done(answer);
        self.answers.push_back(attempt.clone());
        self.drop_answers();
    }

    /// Notes that a running attempt ended without proof of its outcome.
    pub fn record_lost(&mut self, attempt: &AttemptId) {
        if let Some(record) = self.attempts.get_mut(attempt)
            && record.outcome == Outcome::Running
        {
            record.outcome = Outcome::Unknown;
        }
    }

    /// Says what became of an attempt; one that was never seen is fenced.
    pub fn settle(&mut self, now: Instant, attempt: &AttemptId) -> (SettleState, Option<Arc<str>>) {
        match self.attempts.get(attempt).map(|record| &record.outcome) {
            None => {
                self.fence(now, attempt);
                (SettleState::Fenced, None)
            }
            Some(Outcome::Fenced) => (SettleState::Fenced, None),
            Some(Outcome::Running) => (SettleState::Running, None),
            Some(Outcome::Unknown) => (SettleState::Unknown, None),
            Some(Outcome::Done(answer)) => (SettleState::Done, answer.clone()),
        }
    }

    /// Number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// True when no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn note(&mut self, now: Instant, attempt: &AttemptId, outcome: Outcome, work: Option<WorkKey>) {
        self.attempts
            .insert(attempt.clone(), Record { outcome, work });
        self.order.push_back((now, attempt.clone()));
    }

    /// Drops attempts older than the key horizon.
    fn forget(&mut self, now: Instant) {
        while let Some((seen, _)) = self.order.front()
            && now.saturating_duration_since(*seen) > KEY_RETENTION
        {
            let Some((_, attempt)) = self.order.pop_front() else {
                return;
            };
            if let Some(record) = self.attempts.remove(&attempt) {
                self.answer_bytes -= answer_len(&record.outcome);
                if let Some(work) = record.work {
                    self.works.remove(&work);
                }
            }
        }
    }

    fn drop_answers(&mut self) {
        while self.answer_bytes > ANSWER_BYTES_MAX
            && let Some(attempt) = self.answers.pop_front()
        {
            if let Some(record) = self.attempts.get_mut(&attempt) {
                self.answer_bytes -= answer_len(&record.outcome);
                record.outcome = Outcome::Done(None);
            }
        }
    }
}

fn again(outcome: &Outcome) -> OfferDecision {
    match outcome {
        Outcome::Running => OfferDecision::Refuse(Code::StillRunning),
        Outcome::Done(Some(answer)) => OfferDecision::Replay(answer.clone()),
        Outcome::Done(None) | Outcome::Unknown => OfferDecision::Refuse(Code::OutcomeUnknown),
        Outcome::Fenced => OfferDecision::Refuse(Code::Fenced),
    }
}

fn answer_len(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Done(Some(answer)) => answer.len(),
        _ => 0,
    }
}
