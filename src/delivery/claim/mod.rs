//! Claim of a keyed request: the part of at-most-once delivery that the entry plays.
//!
//! One [`Claim`] follows one send of a keyed request. It says what to do next by
//! [`ClaimStep`]s, and takes in the replies of the object API ([`Claim::handle_store_reply`]), of agents
//! ([`Claim::handle_settle_reply`]) and the end of the attempt ([`Claim::handle_attempt_end`]):
//!
//! 1. [`Claim::begin`] with the endpoint that was chosen; the claim is written.
//! 2. [`ClaimStep::Dispatch`]: the claim is held, so the chosen attempt is dispatched. When the
//!    choice is out of date by then, [`Claim::retry`] or [`Claim::abandon`] is called instead.
//! 3. [`ClaimStep::NotRun`]: the attempt has certainly not run. The entry chooses another
//!    endpoint and calls [`Claim::retry`] with a new attempt id, or calls [`Claim::abandon`].
//! 4. [`ClaimStep::Replay`], [`ClaimStep::Refuse`], [`ClaimStep::Complete`]: the final answer.
//! 5. [`Claim::is_finished`]: nothing more will come; the claim can be dropped.
//!
//! The normal case takes two calls of the object API: the claim and its outcome.

mod keyed_request;
mod record;
mod settle;

#[cfg(test)]
mod tests;

pub use keyed_request::{ChosenAttempt, KeyedRequest};
pub use record::{ClaimRecord, ClaimState};

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::codes::{Code, RunState};
use crate::delivery::{StoreCall, StoreReply};
use crate::types::{AttemptId, EntryAttemptOutcome, Generation, HostId, Key, Refusal};

use super::KEY_RETENTION;
use keyed_request::is_expired;
use record::ANSWER_BYTES_MAX;

/// Reads or writes that are tried again before a claim is given up.
const ROUNDS_MAX: u32 = 6;

/// Advice to a caller whose request runs or whose outcome is not settled.
const SETTLE_RETRY: Duration = Duration::from_secs(1);

/// Advice to a caller while the object API does not answer.
const STORE_RETRY: Duration = Duration::from_secs(2);

/// What the entry has to do for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Call the object API; answered by [`Claim::handle_store_reply`].
    Store(StoreCall),
    /// Ask the agent of a host about an attempt; answered by [`Claim::handle_settle_reply`], with `None` when
    /// the host is not known or not reached.
    Settle {
        /// The host.
        host: HostId,
        /// The key.
        key: Key,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Dispatch the attempt that was chosen; answered by [`Claim::handle_attempt_end`].
    Dispatch,
    /// The attempt has not run; call [`Claim::retry`] or [`Claim::abandon`].
    NotRun(Code),
    /// Answer the caller with the stored answer.
    Replay(Arc<str>),
    /// Refuse the request.
    Refuse(Refusal),
    /// The answer that was passed on is whole.
    Complete,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// The claim is being written over version `over`.
    Writing { over: Generation },
    /// The claim is being read; our write over `over` may have taken effect.
    Reading { over: Generation },
    /// The agent of another send's attempt is being asked.
    SettlingOther {
        version: Generation,
        other: Box<ClaimRecord>,
    },
    /// The claim is held; the attempt runs or is about to.
    Held { version: Generation },
    /// The agent is being asked about the own attempt, of which `delivered` tokens reached the
    /// caller.
    SettlingOwn { version: Generation, delivered: u64 },
    /// The attempt has not run; the entry chooses.
    Choosing { version: Generation },
    /// The caller has its final answer; the outcome is being written.
    Recording { retried: bool, call: StoreCall },
    /// Nothing more will come.
    Over,
}

/// One send of a keyed request at an entry.
#[derive(Clone, Debug)]
pub struct Claim {
    operation: KeyedRequest,
    chosen: ChosenAttempt,
    now: SystemTime,
    state: State,
    /// Invariant: at most [`ROUNDS_MAX`].
    rounds: u32,
    calls: u32,
}

impl Claim {
    /// Starts to claim the key for an attempt at the chosen endpoint.
    ///
    /// # Errors
    ///
    /// [`Code::KeyExpired`] when the key was issued before the horizon.
    pub fn begin(
        operation: KeyedRequest,
        choice: ChosenAttempt,
        now: SystemTime,
    ) -> Result<(Self, Vec<ClaimStep>), Refusal> {
        if is_expired(operation.issued, now) {
            return Err(Refusal::new(Code::KeyExpired));
        }
        let mut claim = Self {
            operation,
            chosen: choice,
            now,
            state: State::Over,
            rounds: 0,
            calls: 0,
        };
        let steps = claim.write(0);
        Ok((claim, steps))
    }

    /// The attempt that the claim is made for.
    pub fn chosen(&self) -> &ChosenAttempt {
        &self.chosen
    }

    /// Calls of the object API so far.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// True when nothing more will come.
    pub fn is_finished(&self) -> bool {
        self.state == State::Over
    }

    /// Takes in the reply to a [`ClaimStep::Store`].
    pub fn handle_store_reply(&mut self, reply: StoreReply) -> Vec<ClaimStep> {
        match self.state.clone() {
            State::Writing { over } => self.written(over, reply),
            State::Reading { over } => self.read_back(over, reply),
            State::Recording { retried, call } => self.recorded(retried, call, reply),
            _ => Vec::new(),
        }
    }

    /// Takes in the end of the dispatched attempt.
    pub fn handle_attempt_end(
        &mut self,
        end: &EntryAttemptOutcome,
        answer: Option<Arc<str>>,
    ) -> Vec<ClaimStep> {
        let State::Held { version } = self.state else {
            return Vec::new();
        };
        match end {
            EntryAttemptOutcome::Answered => {
                let mut steps = vec![ClaimStep::Complete];
                steps.extend(self.record(version, ClaimState::Done, answer));
                steps
            }
            EntryAttemptOutcome::Refused(code) if code.run_state() == RunState::NotRun => {
                self.not_run(version, *code)
            }
            EntryAttemptOutcome::NotSent => self.not_run(version, Code::NoEndpoint),
            EntryAttemptOutcome::Refused(code) => self.unknown(version, *code),
            EntryAttemptOutcome::Broken { delivered } => self.settle_own(version, *delivered),
            EntryAttemptOutcome::Mismatch(_) | EntryAttemptOutcome::TimedOut => {
                self.settle_own(version, 0)
            }
        }
    }

    /// Claims the key for a new attempt after [`ClaimStep::NotRun`], or after
    /// [`ClaimStep::Dispatch`] when the attempt was not dispatched.
    pub fn retry(&mut self, choice: ChosenAttempt) -> Vec<ClaimStep> {
        let (State::Held { version } | State::Choosing { version }) = self.state else {
            return Vec::new();
        };
        self.chosen = choice;
        self.write(version)
    }

    /// Refuses the request after [`ClaimStep::NotRun`], or after [`ClaimStep::Dispatch`] when the
    /// attempt was not dispatched; the key is free for the next send.
    pub fn abandon(&mut self, refusal: Refusal) -> Vec<ClaimStep> {
        let (State::Held { version } | State::Choosing { version }) = self.state else {
            return Vec::new();
        };
        let mut steps = vec![ClaimStep::Refuse(refusal)];
        steps.extend(self.record(version, ClaimState::Open, None));
        steps
    }

    fn write(&mut self, over: Generation) -> Vec<ClaimStep> {
        self.state = State::Writing { over };
        let value = self.own_record().to_json();
        self.put(value, over)
    }

    fn read(&mut self, over: Generation) -> Vec<ClaimStep> {
        self.rounds += 1;
        self.state = State::Reading { over };
        let key = self.operation.store_key();
        self.call(StoreCall::Get { key })
    }

    fn written(&mut self, over: Generation, reply: StoreReply) -> Vec<ClaimStep> {
        match reply {
            StoreReply::Written { version } => self.hold(version),
            StoreReply::Refused => self.store_down(),
            _ if self.rounds >= ROUNDS_MAX => self.store_down(),
            _ => self.read(over),
        }
    }

    fn read_back(&mut self, over: Generation, reply: StoreReply) -> Vec<ClaimStep> {
        match reply {
            StoreReply::Found { version, value } => match serde_json::from_str(&value) {
                Ok(record) => self.examine(version, record),
                Err(_) => self.refuse(Code::OutcomeUnknown),
            },
            StoreReply::Missing if self.rounds < ROUNDS_MAX => self.write(0),
            StoreReply::Lost | StoreReply::Refused if self.rounds < ROUNDS_MAX => self.read(over),
            _ => self.store_down(),
        }
    }

    /// Decides by the claim that stands in the object API.
    fn examine(&mut self, version: Generation, record: ClaimRecord) -> Vec<ClaimStep> {
        if record.body != self.operation.body {
            return self.refuse(Code::KeyReused);
        }
        if record.attempt == self.chosen.attempt && record.state == ClaimState::Claimed {
            return self.hold(version);
        }
        match (record.state, &record.answer) {
            (ClaimState::Done, Some(answer)) => {
                self.state = State::Over;
                vec![ClaimStep::Replay(answer.clone())]
            }
            (ClaimState::Unknown, _) => self.refuse(Code::OutcomeUnknown),
            (ClaimState::Open, _) if self.rounds < ROUNDS_MAX => self.write(version),
            (ClaimState::Open, _) => self.store_down(),
            (ClaimState::Claimed | ClaimState::Done, _) => self.settle_other(version, record),
        }
    }

    fn hold(&mut self, version: Generation) -> Vec<ClaimStep> {
        self.state = State::Held { version };
        vec![ClaimStep::Dispatch]
    }

    fn not_run(&mut self, version: Generation, code: Code) -> Vec<ClaimStep> {
        self.state = State::Choosing { version };
        vec![ClaimStep::NotRun(code)]
    }

    /// The agent knows of another attempt at the key, or lost this one: it is never run again.
    fn unknown(&mut self, version: Generation, code: Code) -> Vec<ClaimStep> {
        let refusal = Refusal::new(code).with_retry_after(SETTLE_RETRY);
        let mut steps = vec![ClaimStep::Refuse(refusal)];
        steps.extend(self.record(version, ClaimState::Unknown, None));
        steps
    }

    fn refuse(&mut self, code: Code) -> Vec<ClaimStep> {
        self.state = State::Over;
        let refusal = match code.run_state() {
            RunState::NotRun => Refusal::new(code),
            RunState::Running | RunState::Unknown => {
                Refusal::new(code).with_retry_after(SETTLE_RETRY)
            }
        };
        vec![ClaimStep::Refuse(refusal)]
    }

    /// Nothing was dispatched by this send, so it has not run.
    fn store_down(&mut self) -> Vec<ClaimStep> {
        self.state = State::Over;
        let refusal = Refusal::new(Code::StoreUnavailable).with_retry_after(STORE_RETRY);
        vec![ClaimStep::Refuse(refusal)]
    }

    /// Writes the outcome over the own claim, after the caller has its final answer.
    fn record(
        &mut self,
        version: Generation,
        state: ClaimState,
        answer: Option<Arc<str>>,
    ) -> Vec<ClaimStep> {
        let value = ClaimRecord {
            state,
            answer: answer.filter(|text| text.len() <= ANSWER_BYTES_MAX),
            ..self.own_record()
        };
        let steps = self.put(value.to_json(), version);
        if let [ClaimStep::Store(call)] = &steps[..] {
            self.state = State::Recording {
                retried: false,
                call: call.clone(),
            };
        }
        steps
    }

    /// A lost write is repeated once; the agent knows the outcome as long as it lives.
    fn recorded(&mut self, retried: bool, call: StoreCall, reply: StoreReply) -> Vec<ClaimStep> {
        let lost = matches!(reply, StoreReply::Lost | StoreReply::Refused);
        if retried || !lost {
            self.state = State::Over;
            return Vec::new();
        }
        self.state = State::Recording {
            retried: true,
            call: call.clone(),
        };
        self.call(call)
    }

    fn own_record(&self) -> ClaimRecord {
        ClaimRecord::new(&self.chosen, self.operation.body.clone(), self.now)
    }

    fn put(&mut self, value: Arc<str>, if_version: Generation) -> Vec<ClaimStep> {
        let key = self.operation.store_key();
        self.call(StoreCall::Put {
            key,
            value,
            if_version,
        })
    }

    fn call(&mut self, call: StoreCall) -> Vec<ClaimStep> {
        self.calls += 1;
        vec![ClaimStep::Store(call)]
    }
}
