//! At-most-once execution of keyed requests, as seen by the entry.
//!
//! A [`Claim`] handles one submission of a keyed request. Before the attempt is dispatched, the
//! claim writes an object that names it as the only attempt allowed to run the key. The driver
//! carries out the returned [`ClaimStep`]s and reports the replies of the object API
//! ([`Claim::handle_store_reply`]), the replies of agents ([`Claim::handle_settle_reply`]) and the
//! end of the attempt ([`Claim::handle_attempt_end`]):
//!
//! 1. [`Claim::begin`] is called with the chosen endpoint and writes the claim.
//! 2. [`ClaimStep::Dispatch`]: the claim is held, so the chosen attempt is dispatched. If the
//!    choice has become invalid in the meantime, [`Claim::retry`] or [`Claim::abandon`] is called
//!    instead.
//! 3. [`ClaimStep::NotRun`]: the attempt has certainly not run. The entry chooses another
//!    endpoint and calls [`Claim::retry`] with a new attempt id, or calls [`Claim::abandon`].
//! 4. [`ClaimStep::Replay`], [`ClaimStep::Refuse`], [`ClaimStep::Complete`]: the final answer.
//! 5. [`Claim::is_finished`]: no more steps will follow; the claim can be dropped.
//!
//! Without faults this takes two calls to the object API: one writes the claim, the other its
//! outcome.

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

/// Maximum number of reads of the claim object; after that the request is refused.
const READS_MAX: u32 = 6;

/// Retry-after time for a caller whose request is running or has an unknown outcome.
const SETTLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after time for a caller while the object API is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Next step that the entry has to take for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Call the object API and report the reply to [`Claim::handle_store_reply`].
    Store(StoreCall),
    /// Request the outcome of an attempt from the agent on a host and report the reply to
    /// [`Claim::handle_settle_reply`], or `None` if the host is unknown or unreachable.
    Settle {
        /// Host of the agent.
        host: HostId,
        /// Idempotency key of the request.
        key: Key,
        /// Attempt whose outcome is requested.
        attempt: AttemptId,
    },
    /// Dispatch the chosen attempt and report its end to [`Claim::handle_attempt_end`].
    Dispatch,
    /// The attempt has not run; call [`Claim::retry`] or [`Claim::abandon`].
    NotRun(Code),
    /// Send the caller the stored answer.
    Replay(Arc<str>),
    /// Refuse the request.
    Refuse(Refusal),
    /// The answer that was forwarded to the caller is complete.
    Complete,
}

/// State of a claim. `version` and `over` are versions of the claim object in the object API; 0
/// while there is none.
#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// The claim is being written over version `over` of the object.
    Writing { over: Generation },
    /// The claim is being read; the own write over `over` may have taken effect.
    Reading { over: Generation },
    /// The outcome of another submission's attempt is being requested from its agent.
    SettlingOther {
        version: Generation,
        other: Box<ClaimRecord>,
    },
    /// The claim is held; the attempt is running or about to be dispatched.
    Held { version: Generation },
    /// The outcome of the own attempt, of which `delivered` tokens reached the caller, is being
    /// requested from its agent.
    SettlingOwn { version: Generation, delivered: u64 },
    /// The attempt has not run; the entry has to choose another one or abandon the request.
    Choosing { version: Generation },
    /// The caller has its final answer; the outcome is being written to the object.
    Recording { retried: bool, call: StoreCall },
    /// No more steps will follow.
    Finished,
}

/// One submission of a keyed request at an entry.
#[derive(Clone, Debug)]
pub struct Claim {
    request: KeyedRequest,
    chosen: ChosenAttempt,
    /// Time of the submission.
    started_at: SystemTime,
    state: State,
    /// Reads of the claim object so far.
    ///
    /// Invariant: at most [`READS_MAX`].
    reads: u32,
    /// Calls of the object API so far, reads and writes.
    calls: u32,
}

impl Claim {
    /// Starts to claim the key for an attempt at the chosen endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`Code::KeyExpired`] when the key is older than [`KEY_RETENTION`], or was issued too
    /// far in the future.
    pub fn begin(
        request: KeyedRequest,
        chosen: ChosenAttempt,
        now: SystemTime,
    ) -> Result<(Self, Vec<ClaimStep>), Refusal> {
        if is_expired(request.issued, now) {
            return Err(Refusal::new(Code::KeyExpired));
        }
        let mut claim = Self {
            request,
            chosen,
            started_at: now,
            state: State::Finished,
            reads: 0,
            calls: 0,
        };
        let steps = claim.write(0);
        Ok((claim, steps))
    }

    /// The attempt that the claim currently names.
    pub fn chosen(&self) -> &ChosenAttempt {
        &self.chosen
    }

    /// Number of object API calls so far.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// True when no more steps will follow.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Handles the reply to a [`ClaimStep::Store`].
    pub fn handle_store_reply(&mut self, reply: StoreReply) -> Vec<ClaimStep> {
        match self.state.clone() {
            State::Writing { over } => self.handle_write_reply(over, reply),
            State::Reading { over } => self.handle_read_reply(over, reply),
            State::Recording { retried, call } => self.handle_record_reply(retried, call, reply),
            _ => Vec::new(),
        }
    }

    /// Handles the end of the dispatched attempt; `answer` is its complete answer, if collected.
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
                steps.extend(self.record_outcome(version, ClaimState::Done, answer));
                steps
            }
            EntryAttemptOutcome::Refused(code) if code.run_state() == RunState::NotRun => {
                self.not_run(version, *code)
            }
            EntryAttemptOutcome::NotSent => self.not_run(version, Code::NoEndpoint),
            EntryAttemptOutcome::Refused(code) => self.refuse_as_unknown(version, *code),
            EntryAttemptOutcome::Broken { delivered } => self.settle_own(version, *delivered),
            EntryAttemptOutcome::Mismatch(_) | EntryAttemptOutcome::TimedOut => {
                self.settle_own(version, 0)
            }
        }
    }

    /// Claims the key for a new attempt after [`ClaimStep::NotRun`], or after
    /// [`ClaimStep::Dispatch`] when the attempt was not dispatched.
    pub fn retry(&mut self, chosen: ChosenAttempt) -> Vec<ClaimStep> {
        let (State::Held { version } | State::Choosing { version }) = self.state else {
            return Vec::new();
        };
        self.chosen = chosen;
        self.write(version)
    }

    /// Refuses the request after [`ClaimStep::NotRun`], or after [`ClaimStep::Dispatch`] when the
    /// attempt was not dispatched. The key becomes free for the next submission.
    pub fn abandon(&mut self, refusal: Refusal) -> Vec<ClaimStep> {
        let (State::Held { version } | State::Choosing { version }) = self.state else {
            return Vec::new();
        };
        let mut steps = vec![ClaimStep::Refuse(refusal)];
        steps.extend(self.record_outcome(version, ClaimState::Open, None));
        steps
    }

    fn write(&mut self, over: Generation) -> Vec<ClaimStep> {
        self.state = State::Writing { over };
        let value = self.own_record().to_json();
        self.put(value, over)
    }

    fn read(&mut self, over: Generation) -> Vec<ClaimStep> {
        self.reads += 1;
        self.state = State::Reading { over };
        let key = self.request.store_key();
        self.call(StoreCall::Get { key })
    }

    fn handle_write_reply(&mut self, over: Generation, reply: StoreReply) -> Vec<ClaimStep> {
        match reply {
            StoreReply::Written { version } => self.hold(version),
            StoreReply::Refused => self.refuse_store_unavailable(),
            _ if self.reads >= READS_MAX => self.refuse_store_unavailable(),
            _ => self.read(over),
        }
    }

    fn handle_read_reply(&mut self, over: Generation, reply: StoreReply) -> Vec<ClaimStep> {
        match reply {
            StoreReply::Found { version, value } => match serde_json::from_str(&value) {
                Ok(record) => self.examine(version, record),
                Err(_) => self.refuse(Code::OutcomeUnknown),
            },
            StoreReply::Missing if self.reads < READS_MAX => self.write(0),
            StoreReply::Lost | StoreReply::Refused if self.reads < READS_MAX => self.read(over),
            _ => self.refuse_store_unavailable(),
        }
    }

    /// Decides what to do next from the claim that the object holds.
    fn examine(&mut self, version: Generation, record: ClaimRecord) -> Vec<ClaimStep> {
        if record.body != self.request.body {
            return self.refuse(Code::KeyReused);
        }
        if record.attempt == self.chosen.attempt && record.state == ClaimState::Claimed {
            return self.hold(version);
        }
        match (record.state, &record.answer) {
            (ClaimState::Done, Some(answer)) => {
                self.state = State::Finished;
                vec![ClaimStep::Replay(answer.clone())]
            }
            (ClaimState::Unknown, _) => self.refuse(Code::OutcomeUnknown),
            (ClaimState::Open, _) if self.reads < READS_MAX => self.write(version),
            (ClaimState::Open, _) => self.refuse_store_unavailable(),
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

    /// Refuses with `code` and marks the key's outcome as unknown, so that it never runs again: the
    /// agent has a record of another attempt at the key, or does not have the outcome of this one.
    fn refuse_as_unknown(&mut self, version: Generation, code: Code) -> Vec<ClaimStep> {
        let refusal = Refusal::new(code).with_retry_after(SETTLE_RETRY_AFTER);
        let mut steps = vec![ClaimStep::Refuse(refusal)];
        steps.extend(self.record_outcome(version, ClaimState::Unknown, None));
        steps
    }

    fn refuse(&mut self, code: Code) -> Vec<ClaimStep> {
        self.state = State::Finished;
        let refusal = match code.run_state() {
            RunState::NotRun => Refusal::new(code),
            RunState::Running | RunState::Unknown => {
                Refusal::new(code).with_retry_after(SETTLE_RETRY_AFTER)
            }
        };
        vec![ClaimStep::Refuse(refusal)]
    }

    /// Refuses because the object API is unavailable. This submission dispatched nothing, so it has
    /// not run.
    fn refuse_store_unavailable(&mut self) -> Vec<ClaimStep> {
        self.state = State::Finished;
        let refusal = Refusal::new(Code::StoreUnavailable).with_retry_after(STORE_RETRY_AFTER);
        vec![ClaimStep::Refuse(refusal)]
    }

    /// Writes the outcome over the own claim. The caller already has its final answer.
    fn record_outcome(
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

    /// Repeats a failed write of the outcome once. If that fails too, the agent still keeps the
    /// outcome until its process ends.
    fn handle_record_reply(
        &mut self,
        retried: bool,
        call: StoreCall,
        reply: StoreReply,
    ) -> Vec<ClaimStep> {
        let lost = matches!(reply, StoreReply::Lost | StoreReply::Refused);
        if retried || !lost {
            self.state = State::Finished;
            return Vec::new();
        }
        self.state = State::Recording {
            retried: true,
            call: call.clone(),
        };
        self.call(call)
    }

    fn own_record(&self) -> ClaimRecord {
        ClaimRecord::new(&self.chosen, self.request.body.clone(), self.started_at)
    }

    fn put(&mut self, value: Arc<str>, if_version: Generation) -> Vec<ClaimStep> {
        let key = self.request.store_key();
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
