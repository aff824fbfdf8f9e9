//! Record of the keyed attempts at an agent: each key runs at most once per agent process.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::codes::Code;
use crate::types::{AttemptId, ClassId, CustomerId, Key};
use crate::wire::SettleState;

use super::KEY_RETENTION;

/// Maximum number of recorded attempts. Further ones are refused, since dropping a record early
/// would allow a second run.
const ATTEMPTS_MAX: usize = 50_000;

/// Maximum size of all stored answers. The oldest answers are dropped first; that their attempts
/// completed stays recorded.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// An idempotency key with the customer and class that it is scoped to.
pub type ScopedKey = (CustomerId, ClassId, Key);

/// Decision on an offered attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferDecision {
    /// The attempt is recorded and may run.
    Run,
    /// The key was answered already; return the stored answer.
    Replay(Arc<str>),
    /// The attempt may not run.
    Refuse(Code),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    Running,
    /// Answered; the answer is `None` when it was not stored or was dropped.
    Done(Option<Arc<str>>),
    /// Ended, but whether it completed is not known.
    Unknown,
    /// Has not run and must never run.
    Fenced,
}

#[derive(Debug)]
struct Record {
    outcome: Outcome,
    /// Key that the attempt holds; `None` for a fenced attempt.
    key: Option<ScopedKey>,
}

/// Keyed attempts that one agent process has seen within [`KEY_RETENTION`].
#[derive(Debug, Default)]
pub struct Ledger {
    attempts: HashMap<AttemptId, Record>,
    /// The attempt that holds each key.
    ///
    /// Invariant: holds only attempts that are running, ran, or may have run.
    holders: BTreeMap<ScopedKey, AttemptId>,
    /// Attempts with the time at which they were first seen, oldest first.
    order: VecDeque<(Instant, AttemptId)>,
    /// Attempts with a stored answer, oldest first.
    answers: VecDeque<AttemptId>,
    answer_bytes: usize,
}

impl Ledger {
    /// Decides whether an offered attempt may run, and records it if so.
    pub fn offer(&mut self, now: Instant, attempt: &AttemptId, key: ScopedKey) -> OfferDecision {
        self.remove_expired(now);
        if let Some(record) = self.attempts.get(attempt) {
            return repeat_decision(&record.outcome);
        }
        if let Some(earlier) = self.holders.get(&key).and_then(|id| self.attempts.get(id)) {
            return repeat_decision(&earlier.outcome);
        }
        if self.attempts.len() >= ATTEMPTS_MAX {
            return OfferDecision::Refuse(Code::EndpointFull);
        }
        self.holders.insert(key.clone(), attempt.clone());
        self.insert(now, attempt, Outcome::Running, Some(key));
        OfferDecision::Run
    }

    /// Fences an attempt that has not run, so that it never will, and frees its key. An attempt
    /// that ended keeps its outcome.
    pub fn fence(&mut self, now: Instant, attempt: &AttemptId) {
        match self.attempts.get_mut(attempt) {
            None => self.insert(now, attempt, Outcome::Fenced, None),
            Some(record) if record.outcome == Outcome::Running => {
                record.outcome = Outcome::Fenced;
                if let Some(key) = record.key.take() {
                    self.holders.remove(&key);
                }
            }
            Some(_) => {}
        }
    }

    /// Records the complete answer of a running attempt.
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

    /// Records that a running attempt ended and that whether it completed is not known.
    pub fn record_lost(&mut self, attempt: &AttemptId) {
        if let Some(record) = self.attempts.get_mut(attempt)
            && record.outcome == Outcome::Running
        {
            record.outcome = Outcome::Unknown;
        }
    }

    /// Returns the outcome of an attempt, with its answer if stored. An attempt that was never seen
    /// is fenced.
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

    /// Number of recorded attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// True when no attempt is recorded.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn insert(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        outcome: Outcome,
        key: Option<ScopedKey>,
    ) {
        self.attempts
            .insert(attempt.clone(), Record { outcome, key });
        self.order.push_back((now, attempt.clone()));
    }

    /// Removes attempts first seen more than [`KEY_RETENTION`] ago.
    fn remove_expired(&mut self, now: Instant) {
        while let Some((seen, _)) = self.order.front()
            && now.saturating_duration_since(*seen) > KEY_RETENTION
        {
            let Some((_, attempt)) = self.order.pop_front() else {
                return;
            };
            if let Some(record) = self.attempts.remove(&attempt) {
                self.answer_bytes -= answer_len(&record.outcome);
                if let Some(key) = record.key {
                    self.holders.remove(&key);
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

/// Decision on another attempt at a key with a known outcome.
fn repeat_decision(outcome: &Outcome) -> OfferDecision {
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
