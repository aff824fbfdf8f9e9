//! What the decision logic knows of a request.

use std::time::{Duration, SystemTime};

use crate::codes::Code;

use super::{ClassId, CustomerId, Digest, Key, TargetId};

/// Description of a caller's request, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// Class of work.
    pub class: ClassId,
    /// Customer that the request is accounted to.
    pub customer: CustomerId,
    /// Model or plain service that the class is served by.
    pub target: TargetId,
    /// Idempotency key, scoped to customer and class.
    ///
    /// Invariant: present when the class forbids repeats.
    pub key: Option<Key>,
    /// Time at which the caller issued the key, when it says so.
    pub key_issued: Option<SystemTime>,
    /// Digest of class and body; the same for every copy of a request.
    pub fingerprint: Digest,
    /// Digest of the leading part of the prompt, for prefix affinity.
    pub prefix: Option<Digest>,
    /// Estimate of the tokens that the answer takes; 0 for a plain service.
    pub tokens: u32,
    /// Time that the caller is willing to wait for the start of the answer, when it says so.
    pub start_budget: Option<Duration>,
}

/// Final negative answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Numbered code; says whether the request ran.
    pub code: Code,
    /// Time after which another try may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without advice on when to come back.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Adds the time after which another try may succeed.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// How one attempt ended, as the entry saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAttemptOutcome {
    /// The whole answer arrived, with its end mark.
    Answered,
    /// The agent refused before the endpoint saw the request.
    Refused(Code),
    /// No connection was made, so that no byte left the entry.
    NotSent,
    /// The connection broke after a byte may have been written and before the end mark.
    Broken {
        /// Number of tokens (or stream events) already passed on to the caller.
        delivered: u64,
    },
    /// The answer's attempt, version or shape was not the expected one.
    Mismatch(Code),
    /// The answer did not arrive in time.
    TimedOut,
}
