//! Request metadata and results that the decision logic works with.

use std::time::{Duration, SystemTime};

use crate::codes::Code;

use super::{ClassId, CustomerId, Digest, Key, TargetId};

/// Description of a caller's request, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// Declared class of the request.
    pub class: ClassId,
    /// Customer whose limits and shares apply to the request.
    pub customer: CustomerId,
    /// Model or plain service that serves the class.
    pub target: TargetId,
    /// Idempotency key, scoped to customer and class.
    ///
    /// Invariant: present if requests of the class must not run more than once.
    pub key: Option<Key>,
    /// Time at which the caller issued the key, if the caller stated it.
    pub key_issued: Option<SystemTime>,
    /// Digest of class and body; the same for all requests with the same class and body.
    pub fingerprint: Digest,
    /// Digest of the start of the prompt, used for prefix affinity.
    pub prefix: Option<Digest>,
    /// Estimated number of tokens of the answer; 0 for a plain service.
    pub tokens: u32,
    /// Time within which the answer has to start, if the caller stated it.
    pub start_budget: Option<Duration>,
}

/// Final error answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Error code; states whether the request ran.
    pub code: Code,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Outcome of an attempt that an entry sent to an agent, as the entry observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAttemptOutcome {
    /// The complete answer arrived, including its end marker.
    Answered,
    /// The agent refused before the request was sent to the endpoint.
    Refused(Code),
    /// No connection was established, so no byte of the request was sent.
    NotSent,
    /// The connection broke after a byte may have been sent and before the end marker arrived.
    Broken {
        /// Number of tokens (or stream events) already forwarded to the caller.
        delivered: u64,
    },
    /// The answer had an unexpected attempt name, version or format.
    Mismatch(Code),
    /// The answer did not arrive in time.
    TimedOut,
}
